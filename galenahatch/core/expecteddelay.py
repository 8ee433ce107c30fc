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

"""Expected time until a call that is sent to a plain upstream now has ended.

One model serves all decisions: the expected delay is the time that the call
waits for a slot plus the time that its work takes. The time of work has two
factors, which are kept apart:

- the usual time at this upstream, learnt from the results of calls that did
  not wait there;
- the present slowdown that the upstream states (`core/loadreports`), relative
  to what it usually states. It counts as far as past results confirmed it.

An upstream that claims to be idle but is slow is detected by its usual time,
and one whose slowdown has no effect on results by the trust in its slowdown.

The usual time is a median, since a minority of results is misleading: of calls
that waited although the queue was empty when they ended, and of those during
which the slowdown changed. Of a few results, misleading ones may be the most.
Until the window is full, the siblings' median is therefore kept as far as it
lies between the times that the results leave possible.

Times are monotonic seconds; this module does no I/O.
"""

import collections
import collections.abc
import dataclasses
import enum
import math
import statistics
import typing

from galenahatch.core import loadreports
from galenahatch.core import upstreams
from galenahatch import ids

_WINDOW: typing.Final = 15
"""Results of which the median is taken: seven misleading ones don't move it
past the others, and a lasting change of speed shows after eight."""
_MAX_MISLEADING: typing.Final = _WINDOW // 2
"""Results that may be misleading, however few there are besides."""
_RESULT_INTERVAL_S: typing.Final = loadreports.SLOWDOWN_LIFE_S
"""Least seconds between two results that count, so that those of one slow
moment are a minority of the window."""
_PRIOR_RESULTS: typing.Final = 2.0
"""Weight, in results, of the siblings' median for a new upstream."""
_UNUSED_HALF_LIFE_S: typing.Final = 10.0
"""Seconds without results in which the weight of past ones is halved, so that
an upstream that is fast again is tried again."""
_INITIAL_WORK_S: typing.Final = 0.05
"""Seconds of work assumed while nothing is known of a service; all its
upstreams compare alike then."""
_INITIAL_SLOWDOWNS: typing.Final = 3
"""Results without a slowdown that are assumed for a new upstream, so that one
that starts within a slow moment isn't assumed to be slow always."""
_SLOWDOWN_RANGE: typing.Final = (0.5, 20.0)
"""Slowdowns that are believed. A VM without other work is hardly more than
twice as fast as usual, which bounds what an upstream that states less
attracts; work that takes longer than the other end is late anyway."""
_SIGNIFICANT_RATIO: typing.Final = 1.5
"""Relative slowdown, or its inverse, from which a result confirms or
contradicts it; smaller ones are within the spread of the work itself."""
_TRUST_SMOOTHING: typing.Final = 0.2
_DISTRUSTED: typing.Final = 0.5
"""Trust below which an upstream is reported as distrusted."""
_SLOW_RATIO: typing.Final = 1.5
"""Usual time, as a multiple of the siblings' median, from which an upstream is
reported as slow: it then completes a third less."""


class Standing(enum.Enum):
    """What results say about an upstream.

    Attributes:
        NORMAL: It works about as fast as its siblings.
        SLOW: It is slower than its siblings.
        DISTRUSTED: Results contradict the slowdown that it states.
    """

    NORMAL = 'normal'
    SLOW = 'slow'
    DISTRUSTED = 'distrusted'


class _Result(typing.NamedTuple):
    seconds: float
    slowdown: float


@dataclasses.dataclass
class _Speed:
    """What is known about the speed of an upstream.

    Attributes:
        results: Calls that did not wait at the upstream.
        last_result_at: When any call has ended.
        counted_at: When the latest of `results` has ended.
        full_at: When a response last showed that calls wait. Those that were
            sent before may have waited.
        trust: Share of the stated slowdown that counts, 0 to 1.
        usual_slowdown: Slowdown that the upstream usually states.
        usual_seconds: Seconds of a call without queue and slowdown.
        least_seconds: Least seconds that `usual_seconds` may be in truth, if
            `_MAX_MISLEADING` results are too long.
        most_seconds: Most seconds, if as many are too short.
    """

    results: collections.deque[_Result] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_WINDOW)
    )
    last_result_at: float = -math.inf
    counted_at: float = -math.inf
    full_at: float = -math.inf
    trust: float = 1.0
    usual_slowdown: float = 1.0
    usual_seconds: float = 0.0
    least_seconds: float = 0.0
    most_seconds: float = math.inf
    standing: Standing = Standing.NORMAL

    def effect(self, slowdown: float) -> float:
        """Return the expected effect of a stated slowdown on work."""
        relative = slowdown / self.usual_slowdown
        return 1.0 + self.trust * (relative - 1.0)

    def add(self, seconds: float, slowdown: float) -> None:
        """Add the result of a call that did not wait."""
        self._judge(seconds, slowdown)
        self.results.append(_Result(seconds, slowdown))
        stated = [result.slowdown for result in self.results]
        self.usual_slowdown = statistics.median(
            stated + [1.0] * _INITIAL_SLOWDOWNS
        )
        works = sorted(
            result.seconds / self.effect(result.slowdown)
            for result in self.results
        )
        self.usual_seconds = statistics.median_low(works)
        self.least_seconds = works[max(0, len(works) - 1 - _MAX_MISLEADING)]
        self.most_seconds = works[min(len(works) - 1, _MAX_MISLEADING)]

    def _judge(self, seconds: float, slowdown: float) -> None:
        """Compare a result with what the stated slowdown lets expect.

        The result agrees fully if work took longer by the stated slowdown, and
        not at all if it took the usual time.
        """
        stated = math.log(slowdown / self.usual_slowdown)
        if not self.results or abs(stated) < math.log(_SIGNIFICANT_RATIO):
            return
        measured = math.log(seconds / self.usual_seconds)
        agreement = min(1.0, max(0.0, measured / stated))
        self.trust += _TRUST_SMOOTHING * (agreement - self.trust)


class ExpectedDelays:
    """Speeds of plain upstreams as learnt by one VM, and expected delays.

    Args:
        loads: Latest load reports of the upstreams.
    """

    def __init__(self, loads: loadreports.Loads) -> None:
        self._loads = loads
        self._speeds: dict[ids.UpstreamId, _Speed] = {}

    def record(
        self,
        upstream: ids.UpstreamId,
        seconds: float,
        report: loadreports.LoadReport | None,
        now: float,
    ) -> None:
        """Record the result of a call that the upstream executed.

        Args:
            upstream: Upstream that executed the call.
            seconds: Time from the send to the response.
            report: Load in the head of the response.
            now: Monotonic time in seconds.
        """
        speed = self._speeds.setdefault(upstream, _Speed())
        speed.last_result_at = now
        if report is None or seconds <= 0:
            return
        if _is_full(report):
            speed.full_at = now
        if (
            now - seconds > speed.full_at
            and now - speed.counted_at >= _RESULT_INTERVAL_S
        ):
            speed.counted_at = now
            speed.add(seconds, _plausible(report.slowdown or 1.0))

    def usual_seconds(
        self,
        upstream: ids.UpstreamId,
        siblings: collections.abc.Iterable[ids.UpstreamId],
        now: float,
    ) -> float:
        """Return the mean seconds of a call, without queue and slowdown.

        Args:
            upstream: Upstream that executes the call.
            siblings: All upstreams of its service.
            now: Monotonic time in seconds.
        """
        return self._usual_seconds(upstream, self.median(siblings), now)

    def median(
        self, siblings: collections.abc.Iterable[ids.UpstreamId]
    ) -> float:
        """Return the median of the usual seconds of a service's upstreams."""
        known = [
            speed.usual_seconds
            for sibling in siblings
            if (speed := self._speeds.get(sibling)) and speed.results
        ]
        return statistics.median_low(known) if known else _INITIAL_WORK_S

    def _usual_seconds(
        self, upstream: ids.UpstreamId, median: float, now: float
    ) -> float:
        speed = self._speeds.get(upstream)
        if speed is None or not speed.results:
            return median
        unused = max(0.0, now - speed.last_result_at)
        weight = len(speed.results) * math.pow(
            0.5, unused / _UNUSED_HALF_LIFE_S
        )
        own = min(speed.most_seconds, max(speed.least_seconds, median))
        return (weight * own + _PRIOR_RESULTS * median) / (
            weight + _PRIOR_RESULTS
        )

    def slowdown(self, upstream: ids.UpstreamId, now: float) -> float:
        """Return the present slowdown as far as it is trusted.

        It is relative to the usual one of the upstream, and 1.0 if unknown.
        """
        report = self._loads.latest(upstream, now)
        if report is None or report.slowdown is None:
            return 1.0
        stated = _plausible(report.slowdown)
        speed = self._speeds.get(upstream)
        effect = speed.effect(stated) if speed is not None else stated
        age = self._loads.age(upstream, now)
        return loadreports.faded_slowdown(effect, age)

    def work_seconds(
        self,
        upstream: ids.UpstreamId,
        siblings: collections.abc.Iterable[ids.UpstreamId],
        now: float,
    ) -> float:
        """Return the mean seconds of a call that doesn't wait, at present."""
        return self.usual_seconds(upstream, siblings, now) * self.slowdown(
            upstream, now
        )

    def delays(
        self,
        calls: collections.abc.Iterable[tuple[upstreams.Upstream, int]],
        siblings: collections.abc.Iterable[ids.UpstreamId],
        now: float,
    ) -> list[float]:
        """Return the expected delay at each of several upstreams.

        Args:
            calls: Upstreams, and the calls that are executed or wait there.
            siblings: All upstreams of their service.
            now: Monotonic time in seconds.
        """
        median = self.median(siblings)
        found = []
        for upstream, in_flight in calls:
            work = self._usual_seconds(upstream.id, median, now)
            work *= self.slowdown(upstream.id, now)
            slots = max(1, upstream.slots)
            ends_before_start = max(0, in_flight + 1 - slots)
            found.append(work * (1.0 + ends_before_start / slots))
        return found

    def result_count(self, upstream: ids.UpstreamId) -> int:
        """Return the number of results that an upstream's speed rests on."""
        speed = self._speeds.get(upstream)
        return len(speed.results) if speed is not None else 0

    def update_standing(
        self,
        upstream: ids.UpstreamId,
        siblings: collections.abc.Iterable[ids.UpstreamId],
    ) -> Standing | None:
        """Return what results say about an upstream, if it has changed."""
        speed = self._speeds.get(upstream)
        if speed is None or not speed.results:
            return None
        standing = Standing.NORMAL
        if speed.trust < _DISTRUSTED:
            standing = Standing.DISTRUSTED
        elif speed.least_seconds > _SLOW_RATIO * self.median(siblings):
            standing = Standing.SLOW
        if standing is speed.standing:
            return None
        speed.standing = standing
        return standing

    def describe(self, upstream: ids.UpstreamId) -> str:
        """Return what is known about an upstream's speed, for the log."""
        speed = self._speeds.get(upstream)
        if speed is None:
            return 'no results'
        return (
            f'usual={speed.usual_seconds:.3f} results={len(speed.results)}'
            f' stated={speed.usual_slowdown:.2f} trust={speed.trust:.2f}'
        )

    def prune(
        self, present: collections.abc.Container[ids.UpstreamId]
    ) -> None:
        """Drop upstreams that are no longer listed."""
        for upstream in [key for key in self._speeds if key not in present]:
            del self._speeds[upstream]


def _is_full(report: loadreports.LoadReport) -> bool:
    """Return whether a call that is sent now waits."""
    return report.waiting > 0 or report.running >= report.slots > 0


def _plausible(slowdown: float) -> float:
    least, most = _SLOWDOWN_RANGE
    return min(most, max(least, slowdown))
