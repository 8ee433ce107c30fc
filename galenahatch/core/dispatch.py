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

"""Decides which engines a generation runs on, and when.

One owner decides for all VMs, so that the memory of each decode engine is
counted once. A request is placed when its decode engine has room for its whole
predicted life and its prefill engine is about to be idle; until then it waits
here, where it can still be reordered or refused.

A request that can't start in time waits for spare capacity if it will be
served before its caller gives up, and is refused at once otherwise, with a
time at which there is room. One that may still start in time is decided on a
moment later, while a refusal costs its caller nothing yet. Committed requests
are served before all that arrived later (`core/waitqueue`). Times count from a
caller's first attempt: a retry has waited already.

Times are monotonic seconds, passed in; this module does no I/O.
"""

import random
import typing

from galenahatch.core import admission
from galenahatch.core import decodeprefill
from galenahatch.core import enginespeeds
from galenahatch.core import fairshares
from galenahatch.core import figures
from galenahatch.core import forecast
from galenahatch.core import generations
from galenahatch.core import handover
from galenahatch.core import memory
from galenahatch.core import modelengines
from galenahatch.core import placements
from galenahatch.core import pool
from galenahatch.core import prefillwork
from galenahatch.core import ratelimits
from galenahatch.core import rebalancing
from galenahatch.core import retryafter
from galenahatch.core import upstreams
from galenahatch.core import versionchoice
from galenahatch.core import waitqueue
from galenahatch import ids

PREFILL_LOOKAHEAD_S: typing.Final = 0.02
"""Seconds of work ahead at a prefill engine; the rest can be reordered."""
_RECHECK_INTERVAL_S: typing.Final = 0.02
_RECONCILE_GRACE_S: typing.Final = 1.0
"""Seconds that a placed run may be missing in its VM's list: 4 heartbeats."""

Job = generations.Job


class Dispatcher:
    """Engines of one service, and the requests that wait for them.

    Args:
        capacity: Tokens of KV cache of each engine.
        slots: Largest batch size of each engine.
        limiter: Rate limiter of the engines; a new one by default.
        switch_time: Seconds for which an engine is away for a stage change.
    """

    def __init__(
        self,
        capacity: int,
        slots: int,
        limiter: ratelimits.Limiter | None = None,
        switch_time: float = 0.0,
    ) -> None:
        if limiter is None:
            limiter = ratelimits.Limiter(random.Random())
        self._limiter = limiter
        self._pool = pool.Pool(capacity, slots, limiter)
        self._estimator = figures.Estimator()
        self._retries = retryafter.RetrySchedule()
        self._shares = fairshares.create(self._pool, self._estimator)
        self._queue = waitqueue.WaitQueue(self._estimator, self._shares)
        self._forecast = forecast.Forecast(
            self._pool, self._estimator, self._queue
        )
        self._rebalancer = rebalancing.Rebalancer(
            self._pool, self._estimator, self._forecast, switch_time
        )
        self._admission = admission.Admission(
            self._pool,
            self._queue,
            self._forecast,
            self._retries,
            self._rebalancer,
            limiter,
        )
        self._placements: dict[ids.StreamId, placements.Placement] = {}

    @property
    def waiting_count(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def running_count(self) -> int:
        """Number of runs that were placed and have not ended."""
        return len(self._placements)

    @property
    def engines(self) -> pool.Pool:
        """Engines of the service."""
        return self._pool

    @property
    def shares(self) -> fairshares.FairShares:
        """Shares of the customers."""
        return self._shares

    @property
    def rebalancer(self) -> rebalancing.Rebalancer:
        """Planner of the engines' stages."""
        return self._rebalancer

    @property
    def measured_figures(self) -> figures.Figures:
        """Measurements so far."""
        return handover.measured_figures(
            self._estimator, self._pool, self._rebalancer.demand
        )

    # Changes of engines.

    def set_slowdowns(self, slowdown: enginespeeds.SlowdownFunction) -> None:
        """Count engines by their speeds, as their upstreams report them."""
        self._pool.speeds.set_slowdowns(slowdown)

    def set_engines(
        self,
        engines: typing.Iterable[upstreams.Upstream],
        leaving: typing.Container[ids.UpstreamId],
        now: float,
    ) -> None:
        """Set the engines that accept work.

        Args:
            engines: Engines of the service.
            leaving: Engines that announced that they leave.
            now: Monotonic time in seconds.
        """
        present = list(engines)
        self._rebalancer.set_engines((e.id for e in present), leaving, now)
        self._pool.set_engines(present, self._estimator.figures.pace, now)

    def adopt_figures(self, reported: figures.Figures) -> None:
        """Adopt another owner's measurements if they cover more requests."""
        demand = self._rebalancer.demand
        handover.adopt(reported, self._estimator, self._pool, demand)

    def plan_stage_changes(
        self, now: float
    ) -> list[tuple[upstreams.Upstream, upstreams.Stage]]:
        """Return the engines whose stage should change."""
        return self._rebalancer.plan_stage_changes(bool(self._queue), now)

    # The life of a request.

    def submit(self, job: Job, now: float) -> generations.Decision | None:
        """Queue a request; return a decision if it is refused at once."""
        job = self._admission.prepare(job, self._estimator.lengths)
        self._estimator.record_size(job.prompt_tokens, job.predicted_output)
        if not job.is_retry:
            self._estimator.record_arrival(now)
            self._rebalancer.record_arrival(job, now)
        self._remove_run(job.stream, now)
        if not self._pool.decodes:
            return self._admission.refuse(job, 'no_engine', now)
        if not versionchoice.is_served(job, self._pool.decodes):
            return self._admission.refuse_version(job, now)
        if not job.is_continuation:
            if self._admission.is_limited(job, now):
                return self._admission.refuse(job, 'engines_hold_back', now)
            reserved = 1 + self._admission.due_retries(job, now)
            wait = self._forecast.predict_wait(job, reserved, now)
            if now + wait > waitqueue.first_event_limit(job):
                return self._admission.queue_late(job, wait, now)
        self._queue.add(job)
        return None

    def withdraw(self, stream: ids.StreamId) -> Job | None:
        """Remove and return a waiting request whose caller is gone."""
        return self._queue.remove(stream)

    def decide(self, now: float) -> list[generations.Decision]:
        """Place the requests that fit now; refuse those that are too late."""
        decisions: list[generations.Decision] = []
        blocked = 0
        self._pool.wanted_versions = self._queue.versions
        for job in self._queue.in_order(now):
            decision: generations.Decision | None = None
            if self._queue.cannot_finish(job, now):
                decision = self._admission.refuse(job, 'no_time_left', now)
            elif not versionchoice.is_served(job, self._pool.decodes):
                decision = self._admission.refuse_version(job, now)
            elif blocked < forecast.MAX_JOBS_CHECKED:
                result = self._place(job, now)
                if isinstance(result, generations.Placed):
                    decision = result
                else:
                    blocked += self._blocked_jobs(result, job, now)
            is_due = waitqueue.needs_decision(
                job, now
            ) or waitqueue.has_missed_start(job, now)
            if decision is None and is_due:
                decision = self._admission.queue_or_refuse(job, now)
            if decision is not None:
                self._queue.remove(job.stream)
                decisions.append(decision)
        return decisions

    def _blocked_jobs(
        self, lack: generations.Lack, job: Job, now: float
    ) -> int:
        """Return how many of the requests behind need not be tried."""
        if lack is generations.Lack.MEMORY and self._pool.suits_all(job):
            return forecast.MAX_JOBS_CHECKED
        if lack is generations.Lack.PREFILL and waitqueue.is_wait_noticeable(
            job, now
        ):
            self._rebalancer.record_prefill_wait(now)
        return 1

    def next_decision_at(self, now: float) -> float | None:
        """Return when to call `decide` again; None if idle."""
        return now + _RECHECK_INTERVAL_S if len(self._queue) else None

    def record_prefill(self, result: prefillwork.Result, now: float) -> None:
        """Record that a prompt was read, and how long it took."""
        self._confirm(result.stream, now)
        placement = self._placements.get(result.stream)
        if placement is not None:
            prefillwork.record(
                placement, result, self._pool, self._estimator, now
            )

    def record_first_event(self, stream: ids.StreamId, now: float) -> None:
        """Record the first event of a stream."""
        self._confirm(stream, now)
        placement = self._placements.get(stream)
        if placement is not None:
            self._estimator.record_start(placement.record_start(now), now)
            self._pool.record_first_event(placement.engine)
            self._pool.record_first_event(placement.prefill)
        run = self._find_run(stream)
        if run is not None:
            run.starts_at = now

    def release(
        self, stream: ids.StreamId, tokens: int, seconds: float, now: float
    ) -> None:
        """Record the end of a run.

        Args:
            stream: Stream that ended.
            tokens: Tokens of the answer; 0 if it broke off.
            seconds: Seconds that they took.
            now: Monotonic time in seconds.
        """
        self._shares.settle(stream, tokens)
        placement = self._placements.get(stream)
        if placement is not None and tokens:
            self._estimator.lengths.add_sample(placement.output_hint, tokens)
            self._pool.set_spread(self._estimator.lengths.spread)
            decode = self._pool.decodes.get(placement.engine)
            if decode is not None:
                decode.health.record_success()
                decode.memory.record_end(stream, tokens, seconds, now)
        self._remove_run(stream, now)
        self._queue.remove(stream)

    def reconcile_runs(
        self,
        entry: ids.MemberId,
        runs: typing.Iterable[tuple[ids.UpstreamId, memory.Run]],
        now: float,
    ) -> None:
        """Add, confirm and remove runs by a VM's complete list of them."""
        reported = set()
        for engine, run in runs:
            reported.add(run.stream)
            decode = self._pool.decodes.get(engine)
            if decode is not None and run.stream not in decode.memory.runs:
                self._remove_run(run.stream, now)
                decode.memory.add(run)
                self._placements[run.stream] = placements.Placement(
                    engine, 0, now
                )
            elif decode is not None:
                decode.memory.record_progress(
                    run.stream, run.generated, run.generated_at
                )
            self._confirm(run.stream, now)
        for stream, placement in list(self._placements.items()):
            existing = self._find_run(stream)
            if (
                existing is None
                or existing.entry != entry
                or stream in reported
            ):
                continue
            # The list may be older than the placement.
            if now - placement.confirmed_at > _RECONCILE_GRACE_S:
                self._remove_run(stream, now)

    def expire_runs(self, now: float) -> None:
        """Remove runs whose VM has not reported them for too long."""
        for stream in placements.expired(self._placements, now):
            self._remove_run(stream, now)

    # Placement.

    def _place(
        self, job: Job, now: float
    ) -> generations.Placed | generations.Lack:
        separated = placements.separate_suspects(
            job,
            self._placements.values(),
            versionchoice.names(job, self._pool.decodes.values()),
            versionchoice.names(job, self._pool.prefills.values()),
            now,
        )
        if separated is None:
            return generations.Lack.TRIAL
        job, prefill = separated, None
        if not job.is_prefilled:
            explore = not self._estimator.has_overlap_estimate
            prefill_seconds = self._estimator.prefill_seconds(
                job.prompt_tokens
            )
            prefill = self._pool.choose_prefill(
                job, prefill_seconds, explore, now
            )
        if prefill is not None and prefill.idle_at > now + PREFILL_LOOKAHEAD_S:
            if not self._forecast.may_prefill_at_decode(job, now):
                return generations.Lack.PREFILL
            prefill = None
        ready_at = now + self._estimator.seconds_to_first_event(job)
        if prefill is None and not job.is_prefilled:
            ready_at += decodeprefill.prefill_seconds(job, self._estimator)
        ready_at += prefillwork.extra_seconds(
            job, prefill, self._pool, self._estimator, now
        )
        decode = self._pool.choose_decode(job, prefill, ready_at, now)
        if decode is None:
            if prefill is None and not job.is_prefilled:
                return generations.Lack.PREFILL
            return generations.Lack.MEMORY
        targets = [e.upstream.id for e in (prefill, decode) if e is not None]
        if not self._limiter.acquire_all(targets, now):
            return generations.Lack.MEMORY
        return self._record_placement(job, prefill, decode, ready_at, now)

    def _record_placement(
        self,
        job: Job,
        prefill: modelengines.PrefillEngine | None,
        decode: modelengines.DecodeEngine,
        ready_at: float,
        now: float,
    ) -> generations.Placed:
        """Record the placement of a request."""
        prefill_id = prefill.upstream.id if prefill is not None else None
        self._admission.record_placement(job)
        self._estimator.record_placement(now)
        decode.memory.add(job.make_run(ready_at))
        decode.health.record_run(now)
        placement = placements.Placement(
            decode.upstream.id,
            0 if job.is_continuation else job.output_hint,
            now,
            prefill_id,
            now,
            is_suspect=job.is_suspect,
            max_pause=job.max_pause,
        )
        self._placements[job.stream] = placement
        if prefill is not None:
            placement.had_idle_prefill = not prefill.pending
            prefillwork.assign(job, prefill, self._pool, self._estimator, now)
        elif not job.is_prefilled:
            decode.prefilling_until = now + decodeprefill.busy_seconds(
                job, self._estimator
            )
        why = (
            f'load={decode.memory.load(now):.2f} '
            f'runs={len(decode.memory.runs)} '
            f'{self._queue.describe(job, now)}'
        )
        cost = self._queue.charge(job, now)
        return generations.Placed(
            job, prefill_id, decode.upstream.id, why, cost
        )

    # Runs.

    def _find_run(self, stream: ids.StreamId) -> memory.Run | None:
        placement = self._placements.get(stream)
        if placement is None or placement.engine not in self._pool.decodes:
            return None
        return self._pool.decodes[placement.engine].memory.runs.get(stream)

    def _confirm(self, stream: ids.StreamId, now: float) -> None:
        placement = self._placements.get(stream)
        if placement is not None:
            placement.confirmed_at = now

    def _remove_run(self, stream: ids.StreamId, now: float) -> None:
        self._shares.settle(stream, 0)
        placement = self._placements.pop(stream, None)
        if placement is not None and placement.prefill is not None:
            self._pool.cancel_prefill(placement.prefill, stream)
        if placement is not None and placement.engine in self._pool.decodes:
            decode = self._pool.decodes[placement.engine]
            decode.memory.remove(stream, now)
