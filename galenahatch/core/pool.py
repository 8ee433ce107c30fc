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

"""The engines of one service as seen by their owner.

An engine's stage is the one that it reported recently, and one that changes
its stage accepts no work meanwhile (`core/stagereports`). One that failed is
suspended for a while. Engines of unequal speed count by it, once they report
how long work takes (`core/enginespeeds`).
"""

import functools
import typing

from galenahatch.core import capacity as capacities
from galenahatch.core import enginespeeds
from galenahatch.core import generations
from galenahatch.core import latency
from galenahatch.core import lengths
from galenahatch.core import modelengines
from galenahatch.core import ratelimits
from galenahatch.core import stagereports
from galenahatch.core import upstreams
from galenahatch.core import versionchoice
from galenahatch import ids

_RETAIN_S: typing.Final = 30.0
"""Seconds beyond its suspension for which the health of an unlisted engine is
kept; entries of live engines are back within seconds."""


class Pool:
    """The engines of one service.

    Args:
        capacity: Tokens of KV cache of each engine.
        slots: Largest batch size of each engine.
        limiter: Limiter of the engines that state a rate limit.

    Attributes:
        speeds: Speeds of the single engines.
        decode_capacity: Capacity model of the decode engines.
        wanted_versions: Versions for which bound streams wait.
    """

    def __init__(
        self, capacity: int, slots: int, limiter: ratelimits.Limiter
    ) -> None:
        self._limiter = limiter
        self.capacity = capacity
        self.slots = slots
        self.prefills: dict[ids.UpstreamId, modelengines.PrefillEngine] = {}
        self.decodes: dict[ids.UpstreamId, modelengines.DecodeEngine] = {}
        self._stages = stagereports.StageReports()
        self._healths: dict[ids.UpstreamId, modelengines.Health] = {}
        self.speeds = enginespeeds.EngineSpeeds()
        self.decode_capacity = capacities.Capacity(
            capacity, slots, self.speeds
        )
        self.decode_capacity.spread = lengths.INITIAL_SPREAD
        self.wanted_versions: frozenset[ids.SoftwareVersion] = frozenset()
        self._equivalents = 0.0
        self._equivalents_key = (-1, -1)

    def set_spread(self, spread: float) -> None:
        """Set the relative deviation of answer lengths from predictions."""
        self.decode_capacity.spread = spread
        for engine in self.decodes.values():
            engine.memory.spread = spread

    def suits_all(self, job: generations.Job) -> bool:
        """Return whether a request may run at all decode engines."""
        return all(job.may_run_at(e.upstream) for e in self.decodes.values())

    @property
    def is_changing(self) -> bool:
        """Whether an engine is changing its stage."""
        return self._stages.is_changing

    def is_settled(self, now: float) -> bool:
        """Return whether all engines reported their stages; none changes."""
        engines = (*self.prefills, *self.decodes)
        return self._stages.is_settled(engines, now)

    def set_engines(
        self,
        engines: typing.Iterable[upstreams.Upstream],
        pace: float,
        now: float,
    ) -> None:
        """Set the engines that accept work; known ones keep their state.

        Args:
            engines: Engines of the service.
            pace: Seconds for a token assumed for a new engine.
            now: Monotonic time in seconds.
        """
        current = self._stages.present(engines, now)
        for key in [key for key in self.prefills if key not in current]:
            self._healths[key] = self.prefills.pop(key).health
        for key in [key for key in self.decodes if key not in current]:
            self._healths[key] = self.decodes.pop(key).health
        for upstream in current.values():
            self._add_engine(upstream, pace)
        self._restore_health(now)

    def _restore_health(self, now: float) -> None:
        """Give engines that are listed again their former health.

        The entry of an unreachable engine may lapse and come back while it is
        still unreachable: treated as new, it was sent six runs at once.
        """
        for key, health in list(self._healths.items()):
            engine = self.prefills.get(key) or self.decodes.get(key)
            if engine is not None:
                engine.health = health
            if engine is not None or health.suspended_until + _RETAIN_S < now:
                del self._healths[key]

    def _add_engine(self, engine: upstreams.Upstream, pace: float) -> None:
        if engine.stage is upstreams.Stage.PREFILL:
            self.decodes.pop(engine.id, None)
            known = modelengines.PrefillEngine(engine)
            self.prefills.setdefault(engine.id, known).upstream = engine
            return
        self.prefills.pop(engine.id, None)
        if engine.id not in self.decodes:
            decode = modelengines.DecodeEngine(
                engine, self.capacity, self.slots, self.decode_capacity.pace
            )
            decode.memory.pace = pace / self.speeds.decode_speed(engine.id)
            decode.memory.adjust_pace = functools.partial(
                self.decode_capacity.adjust_pace, engine.id
            )
            decode.memory.spread = self.decode_capacity.spread
            self.decodes[engine.id] = decode
        self.decodes[engine.id].upstream = engine

    def record_report(
        self,
        engine: ids.UpstreamId,
        used: int,
        stage: upstreams.Stage | None,
        busy: bool,
        now: float,
    ) -> None:
        """Record the report of an engine.

        Args:
            engine: Engine that reports.
            used: Tokens of memory that can't be evicted.
            stage: Its stage.
            busy: Whether it carries out an order; it accepts no work then.
            now: Monotonic time in seconds.
        """
        self._stages.record(engine, stage, busy, now)
        decode = self.decodes.get(engine)
        if decode is not None:
            decode.memory.record_usage(used, now)

    def record_stage_order(
        self, engine: ids.UpstreamId, stage: upstreams.Stage, until: float
    ) -> None:
        """Record that an engine was ordered to change its stage.

        It accepts no work until it reports the new stage, at most `until`.
        """
        self._stages.record_order(engine, stage, until)
        self.prefills.pop(engine, None)
        self.decodes.pop(engine, None)

    def is_awaited(self, engine: ids.UpstreamId) -> bool:
        """Return whether an engine was ordered to change its stage."""
        return self._stages.is_awaited(engine)

    def record_failure(
        self,
        engine: ids.UpstreamId,
        now: float,
        unreachable: bool = False,
        reporter: ids.MemberId = ids.MemberId(''),
    ) -> None:
        """Record that an engine failed a request, as a gateway reports."""
        state = self.prefills.get(engine) or self.decodes.get(engine)
        if state is not None:
            state.health.record_failure(now, unreachable, reporter)

    def withdraw_failures(self, reporter: ids.MemberId) -> None:
        """Withdraw the failures that a gateway reported."""
        for prefill in self.prefills.values():
            prefill.health.withdraw_failures(reporter)
        for decode in self.decodes.values():
            decode.health.withdraw_failures(reporter)
        for health in self._healths.values():
            health.withdraw_failures(reporter)

    def record_first_event(self, engine: ids.UpstreamId | None) -> None:
        """Record that an engine took part in a run's first event."""
        if engine in self.prefills:
            # Its part of the run is complete.
            self.prefills[engine].health.record_success()
        elif engine in self.decodes:
            self.decodes[engine].health.record_first_event()

    def record_transfer(self, engine: ids.UpstreamId) -> None:
        """Record that a prefill engine's result was transferred."""
        state = self.prefills.get(engine)
        if state is not None:
            state.health.record_success()

    def mean_pace(self, default: float) -> float:
        """Return the mean seconds for a token."""
        values = [engine.memory.pace for engine in self.decodes.values()]
        return sum(values) / len(values) if values else default

    def mean_pace_at_batch(self, runs: float, default: float) -> float:
        """Return the mean seconds for a token at a batch size."""
        values = [e.memory.pace_at_batch(runs) for e in self.decodes.values()]
        return sum(values) / len(values) if values else default

    def available_prefills(self, now: float) -> float:
        """Return the equivalents of the prefill engines not suspended."""
        available = [
            key
            for key, engine in self.prefills.items()
            if engine.health.suspended_until <= now
        ]
        return self.speeds.equivalents(available)

    @property
    def prefill_equivalents(self) -> float:
        """Number of median engines that read as much as those of prefill."""
        if not self.speeds.is_uneven:
            return len(self.prefills)
        # Each waiting request asks for it, while it changes a few times a
        # second.
        key = self.speeds.revision, len(self.prefills)
        if key != self._equivalents_key:
            self._equivalents_key = key
            self._equivalents = self.speeds.equivalents(self.prefills)
        return self._equivalents

    def record_result(
        self,
        engine: ids.UpstreamId,
        stream: ids.StreamId,
        seconds: float,
        now: float,
        stated_slowdown: float = 0.0,
    ) -> None:
        """Record how long a prefill engine took to read a prompt."""
        state = self.prefills.get(engine)
        if state is not None:
            slowdown = self.speeds.slowdown(engine, now, stated_slowdown)
            state.record_result(stream, seconds, now, slowdown)
            if self.speeds.is_uneven and not state.pending:
                state.idle_at = min(state.idle_at, now)

    def cancel_prefill(
        self, engine: ids.UpstreamId, stream: ids.StreamId
    ) -> None:
        """Record that a prefill engine no longer reads for a stream."""
        state = self.prefills.get(engine)
        if state is not None:
            state.pending.pop(stream, None)

    def record_overlap(
        self,
        engine: ids.UpstreamId,
        placed_at: float,
        tokens: int,
        line: latency.Line,
        alone: float,
        now: float,
    ) -> float | None:
        """Record a result; see `PrefillEngine.record_overlap`."""
        state = self.prefills.get(engine)
        if state is None:
            return None
        factor = self.speeds.prefill_factor(engine, now)
        own_line = latency.Line(line.delay * factor, line.rate / factor)
        return state.record_overlap(placed_at, tokens, own_line, alone, now)

    @property
    def paced_tokens(self) -> int:
        """Tokens behind the measured pace.

        Those of engines whose entries have lapsed since count as well: they
        are back within seconds, and no order is given until then.
        """
        return self.decode_capacity.pace.sampled_tokens

    # Choices.

    def prefill_factor(
        self, engine: modelengines.PrefillEngine, now: float
    ) -> float:
        """Return the time of a prefill now, relative to the median engine."""
        return self.speeds.prefill_factor(engine.upstream.id, now)

    def choose_prefill(
        self,
        job: generations.Job,
        expected: float,
        explore: bool,
        now: float,
    ) -> modelengines.PrefillEngine | None:
        """Return the engine that is done first; of equals, a near one.

        Args:
            job: Request that needs one.
            expected: Seconds for its prompt at a healthy median engine.
            explore: Whether to prefer an engine with a pending prompt, which
                shows how prefills overlap.
            now: Monotonic time in seconds.
        """
        candidates = [
            engine
            for engine in versionchoice.allowed(job, self.prefills.values())
            if engine.health.suspended_until <= now
            and engine.upstream.id not in job.avoid
            and not job.is_paused(engine.upstream.id, now)
            and self._limiter.can_acquire(engine.upstream.id, now)
        ]

        def key(e: modelengines.PrefillEngine) -> tuple[float, bool, bool]:
            is_near = e.upstream.data_centre == job.data_centre
            is_informative = explore and bool(e.pending)
            factor = self.prefill_factor(e, now)
            delay = expected * (factor * e.slowness(now) - 1.0)
            idle_at = max(now, e.idle_at)
            return idle_at + delay, not is_informative, not is_near

        return min(candidates, key=key, default=None)

    def choose_decode(
        self,
        job: generations.Job,
        prefill: modelengines.PrefillEngine | None,
        ready_at: float,
        now: float,
    ) -> modelengines.DecodeEngine | None:
        """Return the least loaded engine with room, near ones first.

        Args:
            job: Request that needs one.
            prefill: Engine that reads its prompt; None if none does.
            ready_at: Time at which the prompt will have been read.
            now: Monotonic time in seconds.
        """
        run = job.make_run(ready_at)
        reads_prompt = prefill is None and not job.is_prefilled
        candidates = [
            engine
            for engine in self.usable_decodes(job, now)
            if engine.fits(run, now)
            and not (reads_prompt and not self._may_read(engine, now))
            and self._limiter.can_acquire(engine.upstream.id, now)
        ]

        def key(engine: modelengines.DecodeEngine) -> float:
            return versionchoice.decode_cost(
                job, engine, prefill, self.wanted_versions, now
            )

        return min(candidates, key=key, default=None)

    def _may_read(self, engine: modelengines.DecodeEngine, now: float) -> bool:
        """Return whether a decode engine may read a prompt now.

        The pause that its runs make is planned for the median engine.
        """
        factor = self.speeds.prefill_factor(engine.upstream.id, now)
        return engine.prefilling_until <= now and factor <= 1.0

    def usable_decodes(
        self, job: generations.Job, now: float
    ) -> list[modelengines.DecodeEngine]:
        """Return the engines that a request may use now.

        Engines that failed recently are used only if there is no other;
        unreachable or paused ones not even then.
        """
        unpaused = [
            engine
            for engine in versionchoice.allowed(job, self.decodes.values())
            if not job.is_paused(engine.upstream.id, now)
        ]
        usable = [
            e for e in unpaused if e.upstream.id not in job.avoid
        ] or unpaused
        healthy = [e for e in usable if e.health.suspended_until <= now]
        return healthy or [e for e in usable if not e.health.unreachable]

    def seconds_to_next_trial(self, now: float) -> float:
        """Return the seconds until a decode engine may be given a run."""
        waits = (
            e.health.suspended_until - now if e.health.unreachable else 0.0
            for e in self.decodes.values()
        )
        return max(0.0, min(waits, default=0.0))

    def throughput(self, held: float, output: float, delay: float) -> float:
        """Return the runs a second that the decode engines complete.

        Args:
            held: Mean tokens that a run holds over its life.
            output: Mean tokens of an answer.
            delay: Mean seconds for which a slot is kept before a run.
        """
        if held <= 0:
            return 0.0
        runs = self.decode_capacity.concurrent_runs(held, output)
        return sum(
            self.decode_capacity.completion_rate(
                runs, output, e.memory.pace_at_batch(runs), delay
            )
            for e in self.decodes.values()
        )
