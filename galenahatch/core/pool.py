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

"""The engines of one service as its owner sees them.

An engine belongs to the stage that it told itself of late, since its entry
in the store is older while the store is away. One that changes its stage
takes no work meanwhile. One that failed is left alone for a while.
"""

import dataclasses
import math
import typing

from galenahatch.core import generations
from galenahatch.core import latency
from galenahatch.core import lengths
from galenahatch.core import memory
from galenahatch.core import modelengines
from galenahatch.core import pace as paces
from galenahatch.core import ratelimits
from galenahatch.core import upstreams
from galenahatch import ids

_TOLD_LIFE: typing.Final = 3.0
"""Seconds for which the stage in an engine's report goes before that in its
entry; reports are read once a second."""
_REMEMBERED: typing.Final = 30.0
"""Seconds beyond its pause for which the health of an engine that is not
listed is kept; entries of engines that live are back within seconds."""
_AWAY: typing.Final = 0.1
"""Weight, in parts of an engine's memory, of a transfer between data
centres, which takes twice as long and is paid for."""


@dataclasses.dataclass(frozen=True)
class _Told:
    stage: upstreams.Stage | None
    busy: bool
    at: float


class Pool:
    """The engines of one service.

    Args:
        capacity: tokens of KV cache of each engine.
        slots: runs at once of each engine.
        limiter: of engines that name the rate of requests that they take.
    """

    def __init__(
        self, capacity: int, slots: int, limiter: ratelimits.Limiter
    ) -> None:
        self._limiter = limiter
        self.capacity = capacity
        self.slots = slots
        self.prefills: dict[ids.UpstreamId, modelengines.PrefillEngine] = {}
        self.decodes: dict[ids.UpstreamId, modelengines.DecodeEngine] = {}
        self.spread = lengths.INITIAL_SPREAD
        self._pace = paces.Pace()
        self._told: dict[ids.UpstreamId, _Told] = {}
        self._healths: dict[ids.UpstreamId, modelengines.Health] = {}
        self._changing: dict[
            ids.UpstreamId, tuple[upstreams.Stage, float]
        ] = {}

    def set_spread(self, spread: float) -> None:
        """Take how far the lengths of answers lie from predictions."""
        self.spread = spread
        for engine in self.decodes.values():
            engine.memory.spread = spread

    @property
    def is_changing(self) -> bool:
        """Whether an engine is changing its stage."""
        return bool(self._changing)

    def is_settled(self, now: float) -> bool:
        """Return whether every engine has told its stage, and none changes.

        A new owner does not know what the one before it ordered: it counted
        an engine that was about to answer as one that still reads, and took
        a second one away from reading.
        """
        told = self._told
        every = (*self.prefills, *self.decodes)
        if any(e not in told or self._is_old(told[e], now) for e in every):
            return False
        busy = (t for t in told.values() if t.busy)
        return not self._changing and all(self._is_old(t, now) for t in busy)

    def _is_old(self, told: _Told, now: float) -> bool:
        return now - told.at > _TOLD_LIFE

    def set_engines(
        self,
        engines: typing.Iterable[upstreams.Upstream],
        pace: float,
        now: float,
    ) -> None:
        """Take the engines that take work; known ones keep their state.

        Args:
            engines: of the service.
            pace: seconds for a token that a new one is believed to take.
            now: monotonic seconds.
        """
        present = list(engines)
        listed = {engine.id for engine in present}
        current = {
            engine.id: self._as_told(engine, now)
            for engine in present
            if not self._is_busy(engine.id, now)
        }
        for engine, (stage, until) in list(self._changing.items()):
            found = current.get(engine)
            is_done = found is not None and found.stage is stage
            # One that is not listed any more ended before it changed: waiting
            # for it would hold back every further change.
            if is_done or until < now or engine not in listed:
                del self._changing[engine]
            else:
                current.pop(engine, None)
        for gone in [key for key in self.prefills if key not in current]:
            self._healths[gone] = self.prefills.pop(gone).health
        for gone in [key for key in self.decodes if key not in current]:
            self._healths[gone] = self.decodes.pop(gone).health
        for upstream in current.values():
            self._keep(upstream, pace)
        self._recall(now)

    def _recall(self, now: float) -> None:
        """Give engines that are listed again the health that they had.

        The entry of one that can't be reached may lapse and come back while
        it still can't: taken for a new one, it was sent six runs at once.
        """
        for key, health in list(self._healths.items()):
            found = self.prefills.get(key) or self.decodes.get(key)
            if found is not None:
                found.health = health
            if found is not None or health.suspended_until + _REMEMBERED < now:
                del self._healths[key]

    def _as_told(
        self, engine: upstreams.Upstream, now: float
    ) -> upstreams.Upstream:
        told = self._told.get(engine.id)
        if told is None or self._is_old(told, now):
            return engine
        return dataclasses.replace(engine, stage=told.stage)

    def _is_busy(self, engine: ids.UpstreamId, now: float) -> bool:
        told = self._told.get(engine)
        return told is not None and told.busy and now - told.at < _TOLD_LIFE

    def _keep(self, engine: upstreams.Upstream, pace: float) -> None:
        if engine.stage is upstreams.Stage.PREFILL:
            self.decodes.pop(engine.id, None)
            self.prefills.setdefault(
                engine.id, modelengines.PrefillEngine(engine)
            )
            return
        self.prefills.pop(engine.id, None)
        if engine.id not in self.decodes:
            decode = modelengines.DecodeEngine(
                engine, self.capacity, self.slots, self._pace
            )
            decode.memory.pace = pace
            decode.memory.spread = self.spread
            self.decodes[engine.id] = decode

    def record_report(
        self,
        engine: ids.UpstreamId,
        used: int,
        stage: upstreams.Stage | None,
        busy: bool,
        now: float,
    ) -> None:
        """Take what an engine reports.

        Args:
            engine: that reports.
            used: tokens of memory that can't yield.
            stage: that it is in.
            busy: whether it carries out an order; it takes no work then.
            now: monotonic seconds.
        """
        self._told[engine] = _Told(stage, busy, now)
        decode = self.decodes.get(engine)
        if decode is not None:
            decode.memory.record_usage(used, now)

    def record_stage_order(
        self, engine: ids.UpstreamId, stage: upstreams.Stage, until: float
    ) -> None:
        """Note that an engine was ordered to change its stage.

        It takes no work until it tells the new stage, or until a moment at
        which the order counts as lost.
        """
        self._changing[engine] = stage, until
        self.prefills.pop(engine, None)
        self.decodes.pop(engine, None)

    def is_awaited(self, engine: ids.UpstreamId) -> bool:
        """Return whether an engine was ordered to change its stage."""
        return engine in self._changing

    def record_failure(
        self, engine: ids.UpstreamId, now: float, unreachable: bool = False
    ) -> None:
        """Note that an engine failed a request."""
        found = self.prefills.get(engine) or self.decodes.get(engine)
        if found is not None:
            found.health.record_failure(now, unreachable)

    def record_first_event(self, engine: ids.UpstreamId | None) -> None:
        """Note that a run came to its first event with an engine's help."""
        if engine in self.prefills:
            # Its part is done, and done well.
            self.prefills[engine].health.record_success()
        elif engine in self.decodes:
            self.decodes[engine].health.record_first_event()

    def record_transfer(self, engine: ids.UpstreamId) -> None:
        """Note that a result of a prefill engine was taken over."""
        found = self.prefills.get(engine)
        if found is not None:
            found.health.record_success()

    def mean_pace(self, otherwise: float) -> float:
        """Return the mean seconds for a token."""
        known = [engine.memory.pace for engine in self.decodes.values()]
        return sum(known) / len(known) if known else otherwise

    def mean_pace_at_batch(self, runs: float, otherwise: float) -> float:
        """Return the mean seconds for a token at engines with some runs."""
        known = [e.memory.pace_at_batch(runs) for e in self.decodes.values()]
        return sum(known) / len(known) if known else otherwise

    def available_prefills(self, now: float) -> int:
        """Return how many prefill engines are not left alone."""
        return sum(
            e.health.suspended_until <= now for e in self.prefills.values()
        )

    def record_result(
        self,
        engine: ids.UpstreamId,
        stream: ids.StreamId,
        seconds: float,
        now: float,
    ) -> None:
        """Note how long a prefill engine took to read a prompt."""
        found = self.prefills.get(engine)
        if found is not None:
            found.record_result(stream, seconds, now)

    def cancel_prefill(
        self, engine: ids.UpstreamId, stream: ids.StreamId
    ) -> None:
        """Note that a prefill engine is not to read for a stream any more."""
        found = self.prefills.get(engine)
        if found is not None:
            found.pending.pop(stream, None)

    def record_overlap(
        self,
        engine: ids.UpstreamId,
        placed_at: float,
        tokens: int,
        line: latency.Line,
        alone: float,
        now: float,
    ) -> float | None:
        """Note that an engine read a prompt; see `PrefillEngine.read`."""
        found = self.prefills.get(engine)
        if found is None:
            return None
        return found.record_overlap(placed_at, tokens, line, alone, now)

    @property
    def paced_tokens(self) -> int:
        """Tokens from which the pace was measured.

        Those of engines whose entries have lapsed since count as well: they
        are back within seconds, and no order was given until then.
        """
        return self._pace.sampled_tokens

    # Choices.

    def choose_prefill(
        self,
        job: generations.Job,
        reading: float,
        explore: bool,
        now: float,
    ) -> modelengines.PrefillEngine | None:
        """Return the engine that will have read first, of those the nearest.

        Args:
            job: that wants one.
            reading: seconds for its prompt at an engine that is well.
            explore: whether to prefer one that has not answered yet, though
                it should have read all: whether it has is seen from that.
            now: monotonic seconds.
        """
        found = [
            engine
            for engine in self.prefills.values()
            if engine.health.suspended_until <= now
            and engine.upstream.id not in job.avoid
            and not job.is_paused(engine.upstream.id, now)
            and self._limiter.can_acquire(engine.upstream.id, now)
        ]

        def key(
            engine: modelengines.PrefillEngine,
        ) -> tuple[float, bool, bool]:
            near = engine.upstream.data_centre == job.data_centre
            tells = explore and bool(engine.pending)
            delayed = reading * (engine.slowness(now) - 1.0)
            idle_at = max(now, engine.idle_at)
            return idle_at + delayed, not tells, not near

        return min(found, key=key, default=None)

    def choose_decode(
        self,
        job: generations.Job,
        prefill: modelengines.PrefillEngine | None,
        ready: float,
        now: float,
    ) -> modelengines.DecodeEngine | None:
        """Return the least filled engine with room, the near ones first.

        Args:
            job: that wants one.
            prefill: engine that reads its prompt; None if none does.
            ready: when the prompt will have been read.
            now: monotonic seconds.
        """
        run = job.make_run(ready)
        reads = prefill is None and not job.is_prefilled
        found = [
            engine
            for engine in self.usable_decodes(job, now)
            if engine.fits(run, now)
            and not (reads and engine.prefilling_until > now)
            and self._limiter.can_acquire(engine.upstream.id, now)
        ]

        def key(engine: modelengines.DecodeEngine) -> float:
            away = prefill is not None and (
                engine.upstream.data_centre != prefill.upstream.data_centre
            )
            return engine.memory.load(now) + _AWAY * away

        return min(found, key=key, default=None)

    def usable_decodes(
        self, job: generations.Job, now: float
    ) -> list[modelengines.DecodeEngine]:
        """Return the engines that a request may go to now.

        Those that failed of late are used only if there is no other, and
        those that could not be reached, or want a pause, not even then.
        """
        free = [
            engine
            for engine in self.decodes.values()
            if not job.is_paused(engine.upstream.id, now)
        ]
        usable = [e for e in free if e.upstream.id not in job.avoid] or free
        well = [e for e in usable if e.health.suspended_until <= now]
        return well or [e for e in usable if not e.health.unreachable]

    def seconds_to_next_trial(self, now: float) -> float:
        """Return the seconds until a decode engine may be given a run."""
        waits = (
            e.health.suspended_until - now if e.health.unreachable else 0.0
            for e in self.decodes.values()
        )
        return max(0.0, min(waits, default=0.0))

    def concurrent_runs(self, held: float, output: float) -> float:
        """Return the runs that a decode engine holds at the same time.

        Args:
            held: mean tokens that a run holds over its life.
            output: mean tokens of an answer.
        """
        if held <= 0:
            return self.slots
        runs = self.capacity / held
        margin = (
            memory.MARGIN_DEVIATIONS * self.spread * output * math.sqrt(runs)
        )
        return max(1.0, min(self.slots, (self.capacity - margin) / held))

    def completion_rate(
        self, held: float, output: float, read: float
    ) -> float:
        """Return the runs a second that the decode engines can end.

        Args:
            held: mean tokens that a run holds over its life.
            output: mean tokens of an answer.
            read: mean seconds for which a place is kept before it starts.
        """
        if held <= 0:
            return 0.0
        runs = self.concurrent_runs(held, output)
        return sum(
            runs / (max(0.1, output * e.memory.pace_at_batch(runs)) + read)
            for e in self.decodes.values()
        )
