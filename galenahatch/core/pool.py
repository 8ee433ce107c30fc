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
from galenahatch.core import pace as paces
from galenahatch.core import upstreams
from galenahatch import ids

_TOLD_LIFE: typing.Final = 3.0
"""Seconds for which the stage in an engine's report goes before that in its
entry; reports are read once a second."""
_SUSPECT_FIRST: typing.Final = 0.5
_SUSPECT_MOST: typing.Final = 4.0
"""Seconds for which an engine that failed is left alone, doubled with each
failure up to the second figure: upstreams that crash are back, or their
entry is gone, within about four seconds."""
_TRIAL: typing.Final = 0.5
"""Seconds for which an engine that was unreachable is tried with one run
before it gets the next, unless that one makes its first event earlier (0.2
to 0.3 s after it was placed). Two engines that were gone were sent 50 runs
in three seconds without it, and 27 prompts were read for them in vain."""
_AWAY: typing.Final = 0.1
"""Weight, in parts of an engine's memory, of a transfer between data
centres, which takes twice as long and is paid for."""


@dataclasses.dataclass(frozen=True)
class _Told:
    stage: upstreams.Stage | None
    busy: bool
    at: float


@dataclasses.dataclass
class Health:
    """Whether an engine is left alone.

    One that failed is left alone for a while. One that could not even be
    reached is then tried with one run at a time, until a run makes an event.

    Attributes:
        until: when it may be given a run.
        unreachable: whether nothing could be sent to it the last time. Such
            an engine is never the way out when all others are left alone.
    """

    failures: int = 0
    until: float = 0.0
    unreachable: bool = False

    def failed(self, now: float, unreachable: bool = False) -> None:
        """Note a failure."""
        self.failures += 1
        self.unreachable = unreachable
        wait = _SUSPECT_FIRST * 2 ** (self.failures - 1)
        self.until = now + min(wait, _SUSPECT_MOST)

    def given(self, now: float) -> None:
        """Note a run that is sent to it."""
        if self.unreachable:
            self.until = max(self.until, now + _TRIAL)

    def alive(self) -> None:
        """Note that a run made its first event there."""
        if self.unreachable:
            self.worked()

    def worked(self) -> None:
        """Note a run that ended well there."""
        self.failures = 0
        self.until = 0.0
        self.unreachable = False


class PrefillEngine:
    """One line of work.

    Attributes:
        idle_at: when it will have read what it was given.
        unread: what it was given and has not answered.
    """

    def __init__(self, upstream: upstreams.Upstream) -> None:
        self.upstream = upstream
        self.health = Health()
        self.idle_at = 0.0
        self.unread: set[ids.StreamId] = set()
        self._read_at = -1e9

    def read(
        self,
        placed_at: float,
        tokens: int,
        line: latency.Line,
        alone: float,
        now: float,
    ) -> float | None:
        """Note that a prompt was read.

        Args:
            placed_at: when it was given to the engine.
            tokens: of the prompt.
            line: what a prompt takes at an idle engine.
            alone: part of the delay in which it is believed to read nothing.
            now: when its result came.

        Returns:
            The part of the delay of the prompt before in which the engine
            had not begun with this one; None if it tells nothing of that.
        """
        before, self._read_at = self._read_at, max(now, self._read_at)
        if line.delay <= 0 or placed_at >= before:
            return None
        idle_at = before - line.delay
        seen = (now - line.seconds(tokens) - idle_at) / line.delay
        # One that was given later than that can only show that less is lost.
        return seen if placed_at <= idle_at or seen < alone else None


class DecodeEngine:
    """Memory, and the runs in it.

    Attributes:
        reads_until: until when it reads a prompt itself.
    """

    def __init__(
        self,
        upstream: upstreams.Upstream,
        capacity: int,
        slots: int,
        pace: paces.Pace,
    ) -> None:
        self.upstream = upstream
        self.health = Health()
        self.memory = memory.EngineMemory(capacity, slots, pace)
        self.reads_until = -1e9

    def fits(self, run: memory.Run, now: float) -> bool:
        """Return whether one more run has room."""
        return self.memory.fits(run, now)


class Pool:
    """The engines of one service.

    Args:
        capacity: tokens of KV cache of each engine.
        slots: runs at once of each engine.
    """

    def __init__(self, capacity: int, slots: int) -> None:
        self.capacity = capacity
        self.slots = slots
        self.prefills: dict[ids.UpstreamId, PrefillEngine] = {}
        self.decodes: dict[ids.UpstreamId, DecodeEngine] = {}
        self.spread = lengths.FIRST_SPREAD
        self._pace = paces.Pace()
        self._told: dict[ids.UpstreamId, _Told] = {}
        self._changing: dict[
            ids.UpstreamId, tuple[upstreams.Stage, float]
        ] = {}

    def learn_spread(self, spread: float) -> None:
        """Take how far the lengths of answers lie from predictions."""
        self.spread = spread
        for engine in self.decodes.values():
            engine.memory.spread = spread

    @property
    def is_changing(self) -> bool:
        """Whether an engine is changing its stage."""
        return bool(self._changing)

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
        current = {
            engine.id: self._as_told(engine, now)
            for engine in engines
            if not self._is_busy(engine.id, now)
        }
        for engine, (stage, until) in list(self._changing.items()):
            found = current.get(engine)
            if (found is not None and found.stage is stage) or until < now:
                del self._changing[engine]
            else:
                current.pop(engine, None)
        for gone in [key for key in self.prefills if key not in current]:
            del self.prefills[gone]
        for gone in [key for key in self.decodes if key not in current]:
            del self.decodes[gone]
        for upstream in current.values():
            self._keep(upstream, pace)

    def _as_told(
        self, engine: upstreams.Upstream, now: float
    ) -> upstreams.Upstream:
        told = self._told.get(engine.id)
        if told is None or now - told.at > _TOLD_LIFE:
            return engine
        return dataclasses.replace(engine, stage=told.stage)

    def _is_busy(self, engine: ids.UpstreamId, now: float) -> bool:
        told = self._told.get(engine)
        return told is not None and told.busy and now - told.at < _TOLD_LIFE

    def _keep(self, engine: upstreams.Upstream, pace: float) -> None:
        if engine.stage is upstreams.Stage.PREFILL:
            self.decodes.pop(engine.id, None)
            self.prefills.setdefault(engine.id, PrefillEngine(engine))
            return
        self.prefills.pop(engine.id, None)
        if engine.id not in self.decodes:
            decode = DecodeEngine(
                engine, self.capacity, self.slots, self._pace
            )
            decode.memory.pace = pace
            decode.memory.spread = self.spread
            self.decodes[engine.id] = decode

    def observe(
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
            decode.memory.observe(used, now)

    def changing(
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

    def failed(
        self, engine: ids.UpstreamId, now: float, unreachable: bool = False
    ) -> None:
        """Note that an engine failed a request."""
        found = self.prefills.get(engine) or self.decodes.get(engine)
        if found is not None:
            found.health.failed(now, unreachable)

    def alive(self, engine: ids.UpstreamId | None) -> None:
        """Note that a run came to its first event with an engine's help."""
        if engine is None:
            return
        found = self.prefills.get(engine) or self.decodes.get(engine)
        if found is not None:
            found.health.alive()

    def fetched(self, engine: ids.UpstreamId) -> None:
        """Note that a result of a prefill engine was taken over."""
        found = self.prefills.get(engine)
        if found is not None:
            found.health.worked()

    def mean_pace(self, otherwise: float) -> float:
        """Return the mean seconds for a token."""
        known = [engine.memory.pace for engine in self.decodes.values()]
        return sum(known) / len(known) if known else otherwise

    def full_pace(self, runs: float, otherwise: float) -> float:
        """Return the mean seconds for a token at engines with some runs."""
        known = [e.memory.pace_beside(runs) for e in self.decodes.values()]
        return sum(known) / len(known) if known else otherwise

    def readers(self, now: float) -> int:
        """Return how many prefill engines are not left alone."""
        return sum(e.health.until <= now for e in self.prefills.values())

    def answered(self, engine: ids.UpstreamId, stream: ids.StreamId) -> None:
        """Note that a prefill engine has no more to do for a stream."""
        found = self.prefills.get(engine)
        if found is not None:
            found.unread.discard(stream)

    def read(
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
        return found.read(placed_at, tokens, line, alone, now)

    @property
    def paced(self) -> int:
        """Runs from which the pace of the engines was measured."""
        return sum(e.memory.paced for e in self.decodes.values())

    # Choices.

    def choose_prefill(
        self, job: generations.Job, explore: bool, now: float
    ) -> PrefillEngine | None:
        """Return the engine that is idle first, of those the nearest.

        Args:
            job: that wants one.
            explore: whether to prefer one that has not answered yet, though
                it should have read all: whether it has is seen from that.
            now: monotonic seconds.
        """
        found = [
            engine
            for engine in self.prefills.values()
            if engine.health.until <= now
            and engine.upstream.id not in job.avoid
        ]

        def key(engine: PrefillEngine) -> tuple[float, bool, bool]:
            near = engine.upstream.data_centre == job.data_centre
            tells = explore and bool(engine.unread)
            return max(now, engine.idle_at), not tells, not near

        return min(found, key=key, default=None)

    def choose_decode(
        self,
        job: generations.Job,
        prefill: PrefillEngine | None,
        ready: float,
        now: float,
    ) -> DecodeEngine | None:
        """Return the least filled engine with room, the near ones first.

        Args:
            job: that wants one.
            prefill: engine that reads its prompt; None if none does.
            ready: when the prompt will have been read.
            now: monotonic seconds.
        """
        run = job.run(ready)
        reads = prefill is None and not job.is_read
        found = [
            engine
            for engine in self.usable_decodes(job, now)
            if engine.fits(run, now)
            and not (reads and engine.reads_until > now)
        ]

        def key(engine: DecodeEngine) -> float:
            away = prefill is not None and (
                engine.upstream.data_centre != prefill.upstream.data_centre
            )
            return engine.memory.load(now) + _AWAY * away

        return min(found, key=key, default=None)

    def usable_decodes(
        self, job: generations.Job, now: float
    ) -> list[DecodeEngine]:
        """Return the engines that a request may go to now.

        Those that failed of late are used only if there is no other, and
        those that could not be reached not even then.
        """
        usable = [
            engine
            for engine in self.decodes.values()
            if engine.upstream.id not in job.avoid
        ] or list(self.decodes.values())
        well = [engine for engine in usable if engine.health.until <= now]
        return well or [e for e in usable if not e.health.unreachable]

    def next_trial(self, now: float) -> float:
        """Return the seconds until a decode engine may be given a run."""
        waits = (
            engine.health.until - now if engine.health.unreachable else 0.0
            for engine in self.decodes.values()
        )
        return max(0.0, min(waits, default=0.0))

    def at_once(self, held: float, output: float) -> float:
        """Return the runs that a decode engine holds at the same time.

        Args:
            held: mean tokens that a run holds over its life.
            output: mean tokens of an answer.
        """
        if held <= 0:
            return self.slots
        runs = self.capacity / held
        margin = memory.DEVIATIONS * self.spread * output * math.sqrt(runs)
        return max(1.0, min(self.slots, (self.capacity - margin) / held))

    def service_rate(self, held: float, output: float, read: float) -> float:
        """Return the runs a second that the decode engines can end.

        Args:
            held: mean tokens that a run holds over its life.
            output: mean tokens of an answer.
            read: mean seconds for which a place is kept before it starts.
        """
        if held <= 0:
            return 0.0
        runs = self.at_once(held, output)
        return sum(
            runs / (max(0.1, output * engine.memory.pace_beside(runs)) + read)
            for engine in self.decodes.values()
        )
