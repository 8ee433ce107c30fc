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

"""Speeds of the single model engines of a service, in either stage.

Engines of one service may differ by a factor of several, and those that share
their VMs are slow at moments. One line through the results of all of them is
the rate of none: a slow engine with small prompts beside a fast one with large
prompts shows no delay and a rate above that of either. So each engine has
speeds of its own, learnt from its own results. The momentary slowdown that it
reported counts as the cause of its share of the time: a result that took `t`
seconds while work took `f` times as long counts as `t / f`.

A speed is the median of the engine's newest results, so results that waited at
the engine and prompts that it had cached move it little. Speeds are relative
to the median engine of the service, whose prefill time `core/figures` and
whose pace `core/pace` describe. An engine without results in a stage counts by
its speed in the other one, since most of the difference lies in the hardware,
and as the median engine if it has none at all.

All of this has an effect only once the upstreams of a service report their
slowdown; until then each engine counts as the median one.
"""

import collections.abc
import statistics
import typing

from galenahatch import ids

SlowdownFunction = collections.abc.Callable[[ids.UpstreamId, float], float]
"""Time that work takes at an engine now, as a multiple of the usual time; 1.0
if it is unknown."""

_WINDOW_SIZE: typing.Final = 9
"""Newest results of an engine in a stage: their median bears four outliers,
and an engine in steady use replaces them within some seconds."""
_MIN_SAMPLES: typing.Final = 3
"""Results before an engine counts by its own: the median bears one outlier."""
_SAMPLE_TOKENS: typing.Final = 1000
"""Generated tokens in one result of a decode engine: two seconds of one run.
The tokens of a single report are off by an event at both ends."""
_SMOOTHING_S: typing.Final = 15.0
"""Seconds over which the mean slowdown is taken: some tens of slow moments of
half a second at twenty engines."""
_ADOPTED_AVERAGES: typing.Final = 15
"""Averages that an adopted mean counts as: one a second in `_SMOOTHING_S`."""
_MAX_KNOWN_RATIO: typing.Final = 2
"""Engines remembered, as a multiple of those in use: entries of live engines
lapse for seconds, while replaced ones never come back."""
_REFRESH_FRACTION: typing.Final = 4
"""Speeds are compared again after as many results as a fourth of the engines,
so that a result costs the same for few engines and for many."""


def no_slowdown(upstream: ids.UpstreamId, now: float) -> float:
    """Return the slowdown of engines that report none."""
    del upstream, now
    return 1.0


class StageSpeeds:
    """Speeds of engines in one stage, in tokens a second.

    Attributes:
        revision: Number of times that engines were compared.
    """

    def __init__(self) -> None:
        self._samples: dict[ids.UpstreamId, tuple[float, ...]] = {}
        self._speeds: dict[ids.UpstreamId, float] = {}
        self._reference = 0.0
        self._unseen = 0
        self.revision = 0

    @property
    def engines(self) -> set[ids.UpstreamId]:
        """Engines of which results are kept."""
        return set(self._samples)

    @property
    def reference(self) -> float:
        """Speed of the median engine; 0 without results."""
        return self._reference

    def add_sample(self, engine: ids.UpstreamId, speed: float) -> None:
        """Add a result of an engine."""
        previous = self._samples.get(engine, ())
        samples = (*previous[1 - _WINDOW_SIZE :], speed)
        self._samples[engine] = samples
        if len(samples) < _MIN_SAMPLES:
            return
        self._speeds[engine] = statistics.median(samples)
        self._unseen += 1
        if self._unseen * _REFRESH_FRACTION >= len(self._speeds):
            self._unseen = 0
            self.revision += 1
            self._reference = statistics.median(self._speeds.values())

    def speed(self, engine: ids.UpstreamId) -> float | None:
        """Return an engine's speed relative to the median one.

        None if it has too few results.
        """
        own = self._speeds.get(engine)
        return own / self._reference if own is not None else None

    def retain(self, engines: collections.abc.Set[ids.UpstreamId]) -> None:
        """Forget all other engines once they outnumber these."""
        if len(self._samples) <= _MAX_KNOWN_RATIO * len(engines):
            return
        for engine in [e for e in self._samples if e not in engines]:
            del self._samples[engine]
            self._speeds.pop(engine, None)


class EngineSpeeds:
    """Speeds of the engines of one service.

    Attributes:
        is_uneven: Whether the service's upstreams report their slowdown.
            Until they do, all engines count as equal.
        mean_slowdown: Mean slowdown of the engines in use.
    """

    def __init__(self) -> None:
        self.is_uneven = False
        self.mean_slowdown = 1.0
        self._slowdown: SlowdownFunction = no_slowdown
        self._prefill = StageSpeeds()
        self._decode = StageSpeeds()
        self._tokens: dict[ids.UpstreamId, tuple[int, float]] = {}
        self._averaged = 0
        self._revision = 0
        self._averaged_at: float | None = None
        self._adopted_speed = 1.0

    @property
    def revision(self) -> int:
        """Number of times that speeds were compared anew."""
        return self._revision + self._prefill.revision + self._decode.revision

    @property
    def known_engines(self) -> set[ids.UpstreamId]:
        """Engines of which results are kept."""
        return self._prefill.engines | self._decode.engines

    def set_slowdowns(self, slowdown: SlowdownFunction) -> None:
        """Count engines by their speeds, and by the slowdowns they report."""
        self._slowdown = slowdown
        self.is_uneven = True

    def adopt(self, mean_speed: float, mean_slowdown: float) -> None:
        """Adopt how another owner's engines were distributed.

        Engines without results then count as the mean one, since a sum over
        all of them is what matters until they have some.
        """
        self.is_uneven = True
        self._revision += 1
        self._adopted_speed = mean_speed
        if self._averaged_at is None:
            self.mean_slowdown = mean_slowdown
            self._averaged = _ADOPTED_AVERAGES

    def mean_speed(
        self, engines: collections.abc.Collection[ids.UpstreamId]
    ) -> float:
        """Return the mean speed at which engines read."""
        if not engines:
            return self._adopted_speed
        return statistics.fmean(self.prefill_speed(e) for e in engines)

    def slowdown(
        self, engine: ids.UpstreamId, now: float, stated: float = 0.0
    ) -> float:
        """Return the present slowdown of an engine.

        Args:
            engine: The engine.
            now: Monotonic time in seconds.
            stated: Slowdown that it stated with a result; 0 if none.
        """
        if not self.is_uneven:
            return 1.0
        return stated or self._slowdown(engine, now)

    def set_engines(
        self, engines: collections.abc.Set[ids.UpstreamId], now: float
    ) -> None:
        """Set the engines in use, and update their mean slowdown.

        It is to be called once or more in a second.
        """
        if not self.is_uneven or not engines:
            return
        self._prefill.retain(engines)
        self._decode.retain(engines)
        for engine in [e for e in self._tokens if e not in engines]:
            del self._tokens[engine]
        self._averaged += 1
        self._revision += 1
        elapsed = now - (
            now if self._averaged_at is None else self._averaged_at
        )
        self._averaged_at = now
        weight = max(1 / self._averaged, min(1.0, elapsed / _SMOOTHING_S))
        present = statistics.fmean(self._slowdown(e, now) for e in engines)
        self.mean_slowdown += weight * (present - self.mean_slowdown)

    @property
    def prefill_rate(self) -> float:
        """Tokens a second that the median engine reads; 0 if unknown."""
        return self._prefill.reference

    def record_prefill(
        self,
        engine: ids.UpstreamId,
        tokens: float,
        seconds: float,
        now: float,
        stated: float = 0.0,
    ) -> float:
        """Record the time of a prefill at an engine that had no other.

        Args:
            engine: Engine that read the prompt.
            tokens: Tokens of the prompt, and those that the median engine
                reads within the delay of a prefill.
            seconds: Seconds that it took.
            now: Monotonic time in seconds.
            stated: Slowdown that the engine stated with it; 0 if none.

        Returns:
            Seconds that the median engine would have taken.
        """
        if not self.is_uneven or tokens <= 0 or seconds <= 0:
            return seconds
        usual = seconds / self.slowdown(engine, now, stated)
        self._prefill.add_sample(engine, tokens / usual)
        return usual * (self._prefill.speed(engine) or 1.0)

    def record_tokens(
        self,
        engine: ids.UpstreamId,
        tokens: int,
        seconds: float,
        usual: float,
    ) -> None:
        """Record the tokens that a run of a decode engine generated.

        Args:
            engine: Engine that generated them.
            tokens: Number of tokens.
            seconds: Seconds that they took without its slowdown.
            usual: Those that the median engine takes in a batch of that size,
                relative to a batch of one.
        """
        count, total = self._tokens.get(engine, (0, 0.0))
        count, total = count + tokens, total + seconds / usual
        if count >= _SAMPLE_TOKENS:
            self._decode.add_sample(engine, count / total)
            count, total = 0, 0.0
        self._tokens[engine] = count, total

    def prefill_speed(self, engine: ids.UpstreamId) -> float:
        """Return how fast an engine reads, relative to the median one."""
        if not self.is_uneven:
            return 1.0
        own = self._prefill.speed(engine)
        return own or self._decode.speed(engine) or self._adopted_speed

    def decode_speed(self, engine: ids.UpstreamId) -> float:
        """Return how fast an engine generates, relative to the median one."""
        if not self.is_uneven:
            return 1.0
        own = self._decode.speed(engine)
        return own or self._prefill.speed(engine) or 1.0

    def relative_prefills(self, engine: ids.UpstreamId) -> float:
        """Return how much an engine reads over time, in median engines."""
        return self.prefill_speed(engine) / self.mean_slowdown

    def equivalents(
        self, engines: collections.abc.Collection[ids.UpstreamId]
    ) -> float:
        """Return how many median engines read as much as some engines."""
        if not self.is_uneven:
            return len(engines)
        return sum(map(self.relative_prefills, engines))

    def prefill_factor(self, engine: ids.UpstreamId, now: float) -> float:
        """Return the time of a prefill now, relative to the median engine."""
        if not self.is_uneven:
            return 1.0
        return self._slowdown(engine, now) / self.prefill_speed(engine)
