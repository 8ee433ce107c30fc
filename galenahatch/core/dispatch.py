# Licensed under the Apache License, Version 2.0 (the "License"); you may
# not use this file except in compliance with the License. You may obtain
# a copy of the License at
#
#     http://www.apache.org/licenses/LICENSE-2.0
#
# Unless required by applicable law or agreed to in writing, software
# distributed under the License is distributed on an "AS IS" BASIS, WITHOUT
# WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied. See the
# License for the specific language governing permissions and limitations
# under the License.

"""The owner's decisions: which engines a generation runs on, and when.

One owner decides for all VMs, so that the memory of each decode engine is
counted once. A request is placed when its decode engine has room for its
whole predicted life and its prefill engine is about to be idle; until then
it waits here, where order and refusal stay possible.

A request that can't start in time waits for what those leave that can, if it
will be served before its caller leaves, and is refused at once otherwise,
with the time at which there is room. One that may still start in time is
decided on a moment later, while a refusal costs its caller nothing yet. What
is kept is served before all that came after it (`core/waitqueue`). Time counts
from a caller's first attempt: who comes back has waited already.

Times are monotonic seconds, passed in; there is no input or output here.
"""

import dataclasses
import random
import typing

from galenahatch.core import admission
from galenahatch.core import decodeprefill
from galenahatch.core import figures
from galenahatch.core import forecast
from galenahatch.core import generations
from galenahatch.core import memory
from galenahatch.core import modelengines
from galenahatch.core import placements
from galenahatch.core import pool
from galenahatch.core import ratelimits
from galenahatch.core import rebalancing as divisions
from galenahatch.core import retryafter
from galenahatch.core import upstreams
from galenahatch.core import waitqueue
from galenahatch import ids

PREFILL_LOOKAHEAD_S: typing.Final = 0.02
"""Seconds of work that a prefill engine may have ahead; the rest waits in
the queue, where it can still be reordered."""
_RECHECK: typing.Final = 0.02
_ON_ITS_WAY: typing.Final = 1.0
"""Seconds for which a placed run need not stand in its VM's list: four
beats."""

Job = generations.Job


class Dispatcher:
    """Engines of one service, and requests that wait for them.

    Args:
        capacity: tokens of KV cache of each engine.
        slots: runs at once of each engine.
        limiter: of engines that name the rate of requests that they take;
            one of its own if not said.
    """

    def __init__(
        self,
        capacity: int,
        slots: int,
        limiter: ratelimits.Limiter | None = None,
    ) -> None:
        if limiter is None:
            limiter = ratelimits.Limiter(random.Random())
        self._limiter = limiter
        self._pool = pool.Pool(capacity, slots, limiter)
        self._measures = figures.Estimator()
        self._returns = retryafter.RetrySchedule()
        self._queue = waitqueue.WaitQueue(self._measures)
        self._forecast = forecast.Forecast(
            self._pool, self._measures, self._queue
        )
        self._division = divisions.Rebalancer(
            self._pool, self._measures, self._forecast
        )
        self._admission = admission.Admission(
            self._pool,
            self._queue,
            self._forecast,
            self._returns,
            self._division,
            limiter,
        )
        self._placements: dict[ids.StreamId, placements.Placement] = {}

    @property
    def waiting_count(self) -> int:
        """Requests in the queue."""
        return len(self._queue)

    @property
    def running_count(self) -> int:
        """Runs placed and not ended."""
        return len(self._placements)

    @property
    def engines(self) -> pool.Pool:
        """The engines."""
        return self._pool

    @property
    def rebalancer(self) -> divisions.Rebalancer:
        """How many engines should be at each stage."""
        return self._division

    @property
    def measured_figures(self) -> figures.Figures:
        """What was measured so far."""
        self._measures.record_pace(
            self._pool.mean_pace(self._measures.figures.pace)
        )
        return self._measures.figures

    # News of engines.

    def set_engines(
        self,
        engines: typing.Iterable[upstreams.Upstream],
        leaving: typing.Container[ids.UpstreamId],
        now: float,
    ) -> None:
        """Take the engines that take work.

        Args:
            engines: of the service.
            leaving: engines that have said that they leave.
            now: monotonic seconds.
        """
        present = list(engines)
        self._division.set_engines((e.id for e in present), leaving, now)
        self._pool.set_engines(present, self._measures.figures.pace, now)

    def adopt_figures(self, told: figures.Figures) -> None:
        """Take what another owner has measured, if it has seen more."""
        if not self._measures.adopt(told):
            return
        for engine in self._pool.decodes.values():
            if not engine.memory.runs:
                engine.memory.pace = told.pace

    def plan_stage_changes(
        self, now: float
    ) -> list[tuple[upstreams.Upstream, upstreams.Stage]]:
        """Return the engines whose stage should change."""
        return self._division.plan_stage_changes(bool(self._queue), now)

    # The life of a request.

    def submit(self, job: Job, now: float) -> generations.Decision | None:
        """Take a request; return a decision if it is refused at once."""
        first_at = self._returns.record_arrival(job.fingerprint)
        returned = first_at is not None
        output = self._measures.lengths.predict(
            job.output_hint, job.max_output
        )
        job = dataclasses.replace(
            job, predicted_output=output, is_retry=returned
        )
        if first_at is not None:
            job = dataclasses.replace(
                job,
                start_deadline=job.start_deadline - job.arrived_at + first_at,
            )
        self._measures.record_size(job.prompt_tokens, job.predicted_output)
        if not returned:
            self._measures.record_arrival(now)
        self._forget(job.stream, now)
        if not self._pool.decodes:
            return self._admission.refuse(job, 'no_engine', now)
        if not job.is_continuation:
            if self._admission.is_limited(job, now):
                return self._admission.refuse(job, 'engines_hold_back', now)
            owed = 1 + self._returns.due_count(now)
            wait = self._forecast.predict_wait(job, owed, now)
            if now + wait > waitqueue.first_event_limit(job):
                return self._admission.queue_late(job, wait, now)
        self._queue.add(job)
        return None

    def withdraw(self, stream: ids.StreamId) -> Job | None:
        """Remove and return a request that waits: its caller is gone."""
        return self._queue.remove(stream)

    def decide(self, now: float) -> list[generations.Decision]:
        """Place what can be placed now; give up what can't end in time."""
        decisions: list[generations.Decision] = []
        lacks = 0
        for job in self._queue.in_order(now):
            decision: generations.Decision | None = None
            if self._queue.cannot_finish(job, now):
                decision = self._admission.refuse(job, 'no_time_left', now)
            elif lacks < forecast.MAX_JOBS_CHECKED:
                found = self._place(job, now)
                if isinstance(found, generations.Placed):
                    decision = found
                else:
                    lacks += self._lacks(found, job, now)
            is_due = waitqueue.needs_decision(
                job, now
            ) or waitqueue.has_missed_start(job, now)
            if decision is None and is_due:
                decision = self._admission.queue_or_refuse(job, now)
            if decision is not None:
                self._queue.remove(job.stream)
                decisions.append(decision)
        return decisions

    def _lacks(self, lack: generations.Lack, job: Job, now: float) -> int:
        """Return how many of those behind need not be looked at."""
        if lack is generations.Lack.MEMORY:
            return forecast.MAX_JOBS_CHECKED
        if lack is generations.Lack.PREFILL and waitqueue.is_wait_noticeable(
            job, now
        ):
            self._division.record_prefill_wait(now)
        return 1

    def next_decision_at(self, now: float) -> float | None:
        """Return when `decide` should be called again; None if idle."""
        return now + _RECHECK if len(self._queue) else None

    def record_prefill(
        self, stream: ids.StreamId, tokens: int, seconds: float, now: float
    ) -> None:
        """Note that a prompt was read, and how long it took."""
        self._told(stream, now)
        placement = self._placements.get(stream)
        if placement is None or placement.prefill is None:
            return
        if placement.had_idle_prefill:
            self._measures.record_prefill(tokens, seconds)
        placement.prefilled_at = now
        self._pool.record_result(placement.prefill, stream, seconds, now)
        alone = self._pool.record_overlap(
            placement.prefill,
            placement.placed_at,
            tokens,
            self._measures.prefill_line,
            self._measures.figures.alone,
            now,
        )
        if alone is not None:
            self._measures.record_overlap(alone)

    def record_first_event(self, stream: ids.StreamId, now: float) -> None:
        """Note the first event of a stream."""
        self._told(stream, now)
        placement = self._placements.get(stream)
        if placement is not None:
            placement.started_at = now
            if placement.prefilled_at is not None:
                self._measures.record_start(now - placement.prefilled_at)
            self._pool.record_first_event(placement.engine)
            self._pool.record_first_event(placement.prefill)
        run = self._run(stream)
        if run is not None:
            run.starts_at = now

    def release(
        self, stream: ids.StreamId, tokens: int, seconds: float, now: float
    ) -> None:
        """Note the end of a run.

        Args:
            stream: that ended.
            tokens: of the answer; 0 if it broke off.
            seconds: that they took.
            now: monotonic seconds.
        """
        placement = self._placements.get(stream)
        if placement is not None and tokens:
            self._measures.lengths.add_sample(placement.output_hint, tokens)
            self._pool.set_spread(self._measures.lengths.spread)
            decode = self._pool.decodes.get(placement.engine)
            if decode is not None:
                decode.health.record_success()
                decode.memory.record_end(stream, tokens, seconds, now)
        self._forget(stream, now)
        self._queue.remove(stream)

    def reconcile_runs(
        self,
        entry: ids.MemberId,
        held: typing.Iterable[tuple[ids.UpstreamId, memory.Run]],
        now: float,
    ) -> None:
        """Take a VM's complete list of its runs: add, confirm and drop."""
        current = set()
        for engine, run in held:
            current.add(run.stream)
            decode = self._pool.decodes.get(engine)
            if decode is not None and run.stream not in decode.memory.runs:
                self._forget(run.stream, now)
                decode.memory.add(run)
                self._placements[run.stream] = placements.Placement(
                    engine, 0, now
                )
            elif decode is not None:
                decode.memory.record_progress(
                    run.stream, run.generated, run.generated_at
                )
            self._told(run.stream, now)
        for stream, placement in list(self._placements.items()):
            known = self._run(stream)
            if known is None or known.entry != entry or stream in current:
                continue
            # Younger than the list may be: it was on its way to the VM.
            if now - placement.confirmed_at > _ON_ITS_WAY:
                self._forget(stream, now)

    def expire_runs(self, now: float) -> None:
        """Forget runs whose VM has been silent for long."""
        for stream in placements.expired(self._placements, now):
            self._forget(stream, now)

    # Placement.

    def _place(
        self, job: Job, now: float
    ) -> generations.Placed | generations.Lack:
        engines = self._pool.decodes, self._pool.prefills
        runs = self._placements.values()
        apart = placements.separate_suspects(job, runs, *engines, now)
        if apart is None:
            return generations.Lack.TRIAL
        job, prefill = apart, None
        if not job.is_prefilled:
            explore = not self._measures.has_overlap_estimate
            reads = self._measures.prefill_seconds(job.prompt_tokens)
            prefill = self._pool.choose_prefill(job, reads, explore, now)
        if prefill is not None and prefill.idle_at > now + PREFILL_LOOKAHEAD_S:
            if not self._forecast.may_prefill_at_decode(job, now):
                return generations.Lack.PREFILL
            prefill = None
        ready = now + self._measures.seconds_to_first_event(job)
        if prefill is None and not job.is_prefilled:
            ready += decodeprefill.prefill_seconds(job, self._measures)
        decode = self._pool.choose_decode(job, prefill, ready, now)
        if decode is None:
            if prefill is None and not job.is_prefilled:
                return generations.Lack.PREFILL
            return generations.Lack.MEMORY
        chosen = [e.upstream.id for e in (prefill, decode) if e is not None]
        if not self._limiter.acquire_all(chosen, now):
            return generations.Lack.MEMORY
        return self._placed(job, prefill, decode, ready, now)

    def _placed(
        self,
        job: Job,
        prefill: modelengines.PrefillEngine | None,
        decode: modelengines.DecodeEngine,
        ready: float,
        now: float,
    ) -> generations.Placed:
        """Note where a request goes."""
        chosen = prefill.upstream.id if prefill is not None else None
        self._returns.record_placement(job.fingerprint)
        self._measures.record_placement(now)
        decode.memory.add(job.make_run(ready))
        decode.health.record_run(now)
        placement = placements.Placement(
            decode.upstream.id,
            0 if job.is_continuation else job.output_hint,
            now,
            chosen,
            now,
            is_suspect=job.is_suspect,
        )
        self._placements[job.stream] = placement
        if prefill is not None:
            placement.had_idle_prefill = not prefill.pending
            prefill.assign(
                job.stream,
                self._measures.prefill_seconds(job.prompt_tokens),
                self._measures.prefill_busy_seconds(job.prompt_tokens),
                now,
            )
        elif not job.is_prefilled:
            decode.prefilling_until = now + decodeprefill.busy_seconds(
                job, self._measures
            )
        why = (
            f'load={decode.memory.load(now):.2f} '
            f'runs={len(decode.memory.runs)} '
            f'waited={now - job.arrived_at:.3f} queue={len(self._queue)}'
        )
        return generations.Placed(job, chosen, decode.upstream.id, why)

    # Runs.

    def _run(self, stream: ids.StreamId) -> memory.Run | None:
        placement = self._placements.get(stream)
        if placement is None or placement.engine not in self._pool.decodes:
            return None
        return self._pool.decodes[placement.engine].memory.runs.get(stream)

    def _told(self, stream: ids.StreamId, now: float) -> None:
        placement = self._placements.get(stream)
        if placement is not None:
            placement.confirmed_at = now

    def _forget(self, stream: ids.StreamId, now: float) -> None:
        placement = self._placements.pop(stream, None)
        if placement is not None and placement.prefill is not None:
            self._pool.cancel_prefill(placement.prefill, stream)
        if placement is not None and placement.engine in self._pool.decodes:
            decode = self._pool.decodes[placement.engine]
            decode.memory.remove(stream, now)
