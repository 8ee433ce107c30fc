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

"""What upstreams report about their load in the heads of their responses.

An upstream states the requests that it executes and that wait, and possibly
how long work takes at this moment. The latter changes many times a second, so
it fades with its age: half of it counts after half of `SLOWDOWN_LIFE_S`.
Reports of other VMs are merged by age, since clocks can't be compared.

Times are monotonic seconds; this module does no I/O.
"""

import collections.abc
import dataclasses
import math
import typing

from galenahatch import ids

MAX_AGE_S: typing.Final = 1.0
"""Seconds after which the counts of a report are ignored: most calls that they
counted have ended by then."""
SLOWDOWN_LIFE_S: typing.Final = 0.5
"""Seconds in which a stated slowdown fades to 1.0. It changes many times a
second, so after this time it says nothing about the present."""
_MIN_CHANGE: typing.Final = 0.1
"""Smallest relative difference of a slowdown that is passed on: it shifts the
end of a call by less than other delays do."""
_REPEAT_S: typing.Final = 10.0
"""Seconds after which an unchanged slowdown is passed on again, so that a new
owner learns which upstreams state one."""


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load of an upstream at the time of one response.

    Attributes:
        running: Requests that it executes.
        waiting: Requests in its queue.
        slots: Requests that it executes at most; 0 if not stated.
        slowdown: Time that work takes now as a multiple of the usual time;
            None if not stated. It changes many times a second.
    """

    running: int
    waiting: int
    slots: int = 0
    slowdown: float | None = None

    @property
    def total(self) -> int:
        """Requests running and waiting."""
        return self.running + self.waiting


class ObservedReport(typing.NamedTuple):
    """A report, and the time at which its response arrived."""

    report: LoadReport
    at: float


def faded_slowdown(slowdown: float | None, age: float) -> float:
    """Return the slowdown to assume some seconds after it was stated."""
    if slowdown is None:
        return 1.0
    weight = 1.0 - max(0.0, age) / SLOWDOWN_LIFE_S
    return 1.0 + (slowdown - 1.0) * max(0.0, weight)


class Loads:
    """The latest load report of each upstream.

    `record` is for responses to this VM and `merge` for reports that another
    VM observed; only the former are returned by `take_changed`.
    """

    def __init__(self) -> None:
        self._latest: dict[ids.UpstreamId, ObservedReport] = {}
        self._pending: dict[ids.UpstreamId, ObservedReport] = {}
        self._sent: dict[ids.UpstreamId, ObservedReport] = {}
        self._reports_slowdown: set[ids.UpstreamId] = set()

    def record(
        self,
        upstream: ids.UpstreamId,
        report: LoadReport,
        observed_at: float,
    ) -> None:
        """Record a report in a response to this VM."""
        if not self._store(upstream, report, observed_at):
            return
        if report.slowdown is not None:
            self._pending.pop(upstream, None)
            self._pending[upstream] = ObservedReport(report, observed_at)

    def merge(
        self,
        upstream: ids.UpstreamId,
        report: LoadReport,
        observed_at: float,
    ) -> None:
        """Record a report that another VM observed."""
        self._store(upstream, report, observed_at)

    def _store(
        self,
        upstream: ids.UpstreamId,
        report: LoadReport,
        observed_at: float,
    ) -> bool:
        """Store a report unless a later one is known."""
        if report.slowdown is not None:
            self._reports_slowdown.add(upstream)
        known = self._latest.get(upstream)
        if known is not None and known.at > observed_at:
            return False
        self._latest[upstream] = ObservedReport(report, observed_at)
        return True

    def latest(
        self, upstream: ids.UpstreamId, now: float
    ) -> LoadReport | None:
        """Return the latest report; None if it is older than `MAX_AGE_S`."""
        known = self._latest.get(upstream)
        if known is None or now - known.at > MAX_AGE_S:
            return None
        return known.report

    def age(self, upstream: ids.UpstreamId, now: float) -> float:
        """Return the seconds since the latest report; infinite if none."""
        known = self._latest.get(upstream)
        return now - known.at if known is not None else math.inf

    def slowdown(self, upstream: ids.UpstreamId, now: float) -> float:
        """Return the present time of work as a multiple of the usual time.

        It is 1.0 if the upstream has stated none within `SLOWDOWN_LIFE_S`.
        """
        known = self._latest.get(upstream)
        if known is None:
            return 1.0
        return faded_slowdown(known.report.slowdown, now - known.at)

    def reports_slowdown(
        self, upstreams: collections.abc.Iterable[ids.UpstreamId]
    ) -> bool:
        """Return whether any of these upstreams has stated a slowdown."""
        return not self._reports_slowdown.isdisjoint(upstreams)

    def take_changed(
        self, limit: int, now: float
    ) -> list[tuple[ids.UpstreamId, LoadReport, float]]:
        """Return the latest reports that tell others something new.

        A report is left out if those who got the previous one of its upstream
        assume nearly the same slowdown by now, and if it has expired.

        Args:
            limit: Maximum number of reports; later ones come first.
            now: Monotonic time in seconds.

        Returns:
            Upstream, report and age in seconds of each.
        """
        changed: list[tuple[ids.UpstreamId, LoadReport, float]] = []
        for upstream, observed in reversed(self._pending.items()):
            if len(changed) == limit:
                break
            age = now - observed.at
            if age < SLOWDOWN_LIFE_S and self._is_news(upstream, observed):
                self._sent[upstream] = observed
                changed.append((upstream, observed.report, max(0.0, age)))
        self._pending.clear()
        return changed

    def _is_news(
        self, upstream: ids.UpstreamId, observed: ObservedReport
    ) -> bool:
        sent = self._sent.get(upstream)
        if sent is None or observed.at - sent.at > _REPEAT_S:
            return True
        assumed = faded_slowdown(sent.report.slowdown, observed.at - sent.at)
        slowdown = observed.report.slowdown or assumed
        return abs(slowdown - assumed) > _MIN_CHANGE * assumed

    def prune(
        self, present: collections.abc.Container[ids.UpstreamId]
    ) -> None:
        """Drop upstreams that are no longer listed."""
        for known in (self._latest, self._pending, self._sent):
            for upstream in [key for key in known if key not in present]:
                del known[upstream]
        self._reports_slowdown = {
            key for key in self._reports_slowdown if key in present
        }
