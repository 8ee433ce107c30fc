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

A request that could not start in time is refused at once with the time at
which there is room. One that may still find it is decided on a moment later,
while a refusal costs its caller nothing yet: it is refused, or kept. What is
kept is served before all that came after it (`core/waiting`).

Times are monotonic seconds, passed in; there is no input or output here.
"""

import dataclasses
import enum
import typing

from galenahatch.core import figures
from galenahatch.core import forecast
from galenahatch.core import generations
from galenahatch.core import memory
from galenahatch.core import pool
from galenahatch.core import reading
from galenahatch.core import returns
from galenahatch.core import stages
from galenahatch.core import upstreams
from galenahatch.core import waiting
from galenahatch import ids

LOOKAHEAD: typing.Final = 0.02
"""Seconds of work that a prefill engine may have ahead; the rest waits in
the queue, where it can still be reordered."""
_CAUTION: typing.Final = 1.3
"""Times the predicted wait that a request must have left to be kept. What is
kept and not served costs more than what is refused at once and comes back;
predictions are off by about a third."""
_RECHECK: typing.Final = 0.02
_LEAST_MEASURED: typing.Final = 20
"""Requests whose sizes were seen before the division of engines is planned
from them: a mean of 20 sizes that spread by a factor of 1.6 is off by a
tenth, and a change must gain a fifth. Planned on a pace that no run had
shown, an engine was taken away in the second second, and back at 13."""
_LEAST_PACED: typing.Final = 1000
"""Tokens from which the pace was measured before it is planned with: 100
events or more of any engine, whose times spread by a fifth."""
_CALM: typing.Final = 3.0
"""Seconds without a refusal before engines change their stage: they are
away for some seconds, which costs most when there are too few."""
_ON_ITS_WAY: typing.Final = 1.0
"""Seconds for which a placed run need not stand in its VM's list: four
beats."""
_LAPSE: typing.Final = 15.0
"""Seconds without a sign of its VM after which a run is forgotten; longer
than the longest stream of the users, shorter than a minute."""

Job = generations.Job


class _Lack(enum.Enum):
    """Why a request can't be placed now."""

    MEMORY = 'memory'
    PREFILL = 'prefill'


@dataclasses.dataclass
class _Placement:
    """Where a run is, and when its VM last told of it.

    Attributes:
        waits: seconds until its prefill engine was expected to be idle.
        is_alone: whether that engine had no other prompt.
        read_at: when its prompt had been read, if known.
    """

    engine: ids.UpstreamId
    hint: int
    told_at: float
    prefill: ids.UpstreamId | None = None
    placed_at: float = 0.0
    waits: float = 0.0
    is_alone: bool = False
    read_at: float | None = None


class Dispatcher:
    """Engines of one service, and requests that wait for them.

    Args:
        capacity: tokens of KV cache of each engine.
        slots: runs at once of each engine.
    """

    def __init__(self, capacity: int, slots: int) -> None:
        self._pool = pool.Pool(capacity, slots)
        self._measures = figures.Measures()
        self._returns = returns.Returns()
        self._planner = stages.Planner()
        self._queue = waiting.Waiting(self._measures)
        self._forecast = forecast.Forecast(
            self._pool, self._measures, self._queue
        )
        self._placements: dict[ids.StreamId, _Placement] = {}
        self._refused_at = -1e9
        self._lagged_at = -1e9

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Runs placed and not ended."""
        return len(self._placements)

    @property
    def engines(self) -> pool.Pool:
        """The engines."""
        return self._pool

    @property
    def measured(self) -> figures.Figures:
        """What was measured so far."""
        self._measures.note_pace(
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
        self._planner.present((e.id for e in present), leaving, now)
        self._pool.set_engines(present, self._measures.figures.pace, now)

    def adopt(self, told: figures.Figures) -> None:
        """Take what another owner has measured, if it has seen more."""
        if not self._measures.adopt(told):
            return
        for engine in self._pool.decodes.values():
            if not engine.memory.runs:
                engine.memory.pace = told.pace

    def changes(
        self, now: float
    ) -> list[tuple[upstreams.Upstream, upstreams.Stage]]:
        """Return the engines whose stage should change."""
        known = self.measured
        if self._pool.paced < _LEAST_PACED or self._pool.is_changing:
            return []
        is_read = self._measures.knows_reading and self._measures.knows_overlap
        if known.seen < _LEAST_MEASURED or not is_read:
            return []
        runs = self._pool.at_once(self._measures.held, known.output)
        life = known.output * self._pool.full_pace(runs, known.pace)
        life += self._measures.reading(round(known.prompt))
        read = self._measures.occupied(known.prompt)
        helped = reading.mean_seconds(self._measures)
        work = stages.Work(read, life / runs, helped)
        prefills = sorted(
            self._pool.prefills.values(), key=lambda e: e.idle_at
        )
        decodes = sorted(
            self._pool.decodes.values(), key=lambda e: e.memory.load(now)
        )
        return self._planner.plan(
            work,
            [engine.upstream for engine in prefills],
            [engine.upstream for engine in decodes],
            not self._queue and now - self._refused_at > _CALM,
            now - self._lagged_at < _CALM,
            now,
        )

    def plan_again(self) -> None:
        """Note that an engine did not change though it should."""
        self._planner.plan_again()

    # The life of a request.

    def submit(self, job: Job, now: float) -> generations.Decision | None:
        """Take a request; return a decision if it is refused at once."""
        returned = self._returns.came(job.subject)
        output = self._measures.lengths.predict(job.hint, job.most)
        job = dataclasses.replace(job, output=output, returned=returned)
        self._measures.note_size(job.prompt, job.output)
        if not returned:
            self._measures.note_arrival(now)
        self._forget(job.stream, now)
        if not self._pool.decodes:
            return self._refuse(job, 'no_engine', now)
        if not job.going_on:
            owed = 1 + self._returns.due(now)
            wait = self._forecast.wait(job, owed, now)
            if now + wait > waiting.limit(job):
                return self._refuse(job, self._why(job, wait), now)
        self._queue.add(job)
        return None

    def withdraw(self, stream: ids.StreamId) -> None:
        """Remove a request that waits: its caller is gone."""
        self._queue.remove(stream)

    def decide(self, now: float) -> list[generations.Decision]:
        """Place what can be placed now; give up what can't end in time."""
        decisions: list[generations.Decision] = []
        lacks = 0
        for job in self._queue.in_order(now):
            decision: generations.Decision | None = None
            if self._queue.is_hopeless(job, now):
                decision = self._refuse(job, 'no_time_left', now)
            elif lacks < forecast.LOOKED_AT:
                found = self._place(job, now)
                if isinstance(found, generations.Placed):
                    decision = found
                else:
                    full = found is _Lack.MEMORY
                    if not full and waiting.is_due(job, now):
                        self._lagged_at = now
                    lacks += forecast.LOOKED_AT if full else 1
            if decision is None and waiting.is_due(job, now):
                decision = self._keep_or_refuse(job, now)
            if decision is not None:
                self._queue.remove(job.stream)
                decisions.append(decision)
        return decisions

    def next_look(self, now: float) -> float | None:
        """Return when `decide` should be called again; None if idle."""
        return now + _RECHECK if len(self._queue) else None

    def prefilled(
        self, stream: ids.StreamId, tokens: int, seconds: float, now: float
    ) -> None:
        """Note that a prompt was read, and how long it took."""
        self._told(stream, now)
        placement = self._placements.get(stream)
        if placement is None or placement.prefill is None:
            return
        self._measures.note_prefill(
            tokens, seconds - placement.waits, placement.is_alone
        )
        placement.read_at = now
        self._pool.answered(placement.prefill, stream)
        alone = self._pool.read(
            placement.prefill,
            placement.placed_at,
            tokens,
            self._measures.line,
            self._measures.figures.alone,
            now,
        )
        if alone is not None:
            self._measures.note_overlap(alone)

    def started(self, stream: ids.StreamId, now: float) -> None:
        """Note the first event of a stream."""
        self._told(stream, now)
        placement = self._placements.get(stream)
        if placement is not None:
            if placement.read_at is not None:
                self._measures.note_start(now - placement.read_at)
            self._pool.alive(placement.engine)
            self._pool.alive(placement.prefill)
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
            self._measures.lengths.learn(placement.hint, tokens)
            self._pool.learn_spread(self._measures.lengths.spread)
            decode = self._pool.decodes.get(placement.engine)
            if decode is not None:
                decode.health.worked()
                decode.memory.ended(stream, tokens, seconds, now)
        self._forget(stream, now)
        self._queue.remove(stream)

    def rebuild(
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
                self._placements[run.stream] = _Placement(engine, 0, now)
            elif decode is not None:
                decode.memory.progress(run.stream, run.made, run.made_at)
            self._told(run.stream, now)
        for stream, placement in list(self._placements.items()):
            known = self._run(stream)
            if known is None or known.entry != entry or stream in current:
                continue
            # Younger than the list may be: it was on its way to the VM.
            if now - placement.told_at > _ON_ITS_WAY:
                self._forget(stream, now)

    def lapse(self, now: float) -> None:
        """Forget runs whose VM has been silent for long."""
        for stream, placement in list(self._placements.items()):
            if now - placement.told_at > _LAPSE:
                self._forget(stream, now)

    def _keep_or_refuse(
        self, job: Job, now: float
    ) -> generations.Refused | None:
        """Decide on a request that could not be placed so far."""
        wait = _CAUTION * self._forecast.wait(job, 1, now)
        if now + wait > waiting.limit(job):
            return self._refuse(job, self._why(job, wait), now)
        self._queue.keep(job)
        return None

    # Placement.

    def _place(self, job: Job, now: float) -> generations.Placed | _Lack:
        prefill = None
        if not job.is_read:
            explore = not self._measures.knows_overlap
            prefill = self._pool.choose_prefill(job, explore, now)
        if prefill is not None and prefill.idle_at > now + LOOKAHEAD:
            if not self._forecast.decode_may_read(job, now):
                return _Lack.PREFILL
            prefill = None
        ready = now + self._measures.until_first(job)
        if prefill is None and not job.is_read:
            ready += reading.seconds(job, self._measures)
        decode = self._pool.choose_decode(job, prefill, ready, now)
        if decode is None:
            is_reading = prefill is None and not job.is_read
            return _Lack.PREFILL if is_reading else _Lack.MEMORY
        return self._placed(job, prefill, decode, ready, now)

    def _placed(
        self,
        job: Job,
        prefill: pool.PrefillEngine | None,
        decode: pool.DecodeEngine,
        ready: float,
        now: float,
    ) -> generations.Placed:
        """Note where a request goes."""
        chosen = prefill.upstream.id if prefill is not None else None
        decode.memory.add(job.run(ready))
        decode.health.given(now)
        placement = _Placement(
            decode.upstream.id,
            0 if job.going_on else job.hint,
            now,
            chosen,
            now,
        )
        self._placements[job.stream] = placement
        if prefill is not None:
            idle_at = max(now, prefill.idle_at)
            placement.waits = idle_at - now
            placement.is_alone = not prefill.unread
            prefill.unread.add(job.stream)
            prefill.idle_at = idle_at + self._measures.occupied(job.prompt)
            prefill.health.given(now)
        elif not job.is_read:
            decode.reads_until = now + reading.occupied(job, self._measures)
        why = (
            f'load={decode.memory.load(now):.2f}'
            f' runs={len(decode.memory.runs)} waited='
            f'{now - job.arrived_at:.3f} queue={len(self._queue)}'
        )
        return generations.Placed(job, chosen, decode.upstream.id, why)

    # Refusal.

    def _refuse(self, job: Job, why: str, now: float) -> generations.Refused:
        """Give a request up, and promise when there is room for it."""
        self._refused_at = now
        rate = self._forecast.rate()
        queued = len(self._queue) / rate if rate else 0.0
        queued = max(queued, self._pool.next_trial(now))
        wait = self._returns.promise(
            job.subject,
            rate - self._measures.arrival_rate(now),
            rate,
            queued,
            job.deadline - now,
            now,
        )
        return generations.Refused(job, wait, why)

    def _why(self, job: Job, wait: float) -> str:
        """Return what a refusal rests on, beliefs included."""
        known = self._measures.figures
        return (
            f'wait={wait:.3f} queue={len(self._queue)} returned={job.returned}'
            f' served={self._forecast.rate():.1f}'
            f' rate={known.rate:.0f} delay={known.delay:.3f}'
            f' alone={known.alone:.2f}'
            f' pace={self._pool.mean_pace(known.pace):.5f}'
            f' prefills={len(self._pool.prefills)}'
            f' decodes={len(self._pool.decodes)}'
        )

    # Runs.

    def _run(self, stream: ids.StreamId) -> memory.Run | None:
        placement = self._placements.get(stream)
        if placement is None or placement.engine not in self._pool.decodes:
            return None
        return self._pool.decodes[placement.engine].memory.runs.get(stream)

    def _told(self, stream: ids.StreamId, now: float) -> None:
        placement = self._placements.get(stream)
        if placement is not None:
            placement.told_at = now

    def _forget(self, stream: ids.StreamId, now: float) -> None:
        placement = self._placements.pop(stream, None)
        if placement is not None and placement.prefill is not None:
            self._pool.answered(placement.prefill, stream)
        if placement is not None and placement.engine in self._pool.decodes:
            decode = self._pool.decodes[placement.engine]
            decode.memory.remove(stream, now)
