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

"""Failure rate of each upstream over all VMs.

One VM sends an upstream a request every second or less and needs several to
tell a fault from chance. So each VM reports the outcomes of its requests to
the owner with its heartbeats and receives the totals with the reply. A VM's
own requests count twice that way, which is intended: an upstream may fail only
the callers of one data centre.

Times are monotonic seconds; this module does no I/O.
"""

import dataclasses
import math
import typing

from galenahatch import ids

_DECAY_S: typing.Final = 3.0
"""Seconds in which an outcome's weight decays to a third. Faults of upstreams
last about 5 s. With two of three upstreams failing a third of their requests,
9.8 of 200 requests of one VM fail at 2 s, 7.8 at 3 s, 6.0 at 4 s."""
_PRIOR_SUCCESSES: typing.Final = 4.0
"""Successful requests assumed for each upstream, so that a single failure
counts as a failure share of a fifth."""


class Count(typing.NamedTuple):
    """Decayed number of requests and failures."""

    sends: float
    failures: float


class Share(typing.NamedTuple):
    """Failure share of an upstream, from 0 to 1.

    Attributes:
        likely: Share as counted.
        least: Lower bound: one standard deviation below `likely`.
    """

    likely: float
    least: float


EMPTY_COUNT: typing.Final = Count(0.0, 0.0)
Counts = dict[ids.UpstreamId, Count]


@dataclasses.dataclass
class _DecayingCount:
    """A count whose weight decays exponentially with time."""

    count: Count
    at: float

    def value(self, now: float) -> Count:
        return _decayed(self.count, now - self.at)

    def add(self, added: Count, now: float) -> None:
        current = self.value(now)
        self.count = Count(
            current.sends + added.sends, current.failures + added.failures
        )
        self.at = now


def _decayed(count: Count, age: float) -> Count:
    """Return a count decayed by some seconds."""
    factor = math.exp(-max(0.0, age) / _DECAY_S)
    return Count(count.sends * factor, count.failures * factor)


class Tally:
    """Outcomes by upstream, recent ones weighted most."""

    def __init__(self) -> None:
        self._counts: dict[ids.UpstreamId, _DecayingCount] = {}

    def add(self, upstream: ids.UpstreamId, added: Count, now: float) -> None:
        """Add the outcomes of some requests."""
        existing = self._counts.get(upstream)
        if existing is None:
            self._counts[upstream] = _DecayingCount(added, now)
        else:
            existing.add(added, now)

    def get(self, upstream: ids.UpstreamId, now: float) -> Count:
        """Return the decayed count of an upstream."""
        existing = self._counts.get(upstream)
        return existing.value(now) if existing is not None else EMPTY_COUNT

    def failing(self, now: float) -> Counts:
        """Return the decayed counts of the upstreams with failures.

        Upstreams without a failure need not be reported: their share is zero,
        however many requests they get.
        """
        values = {key: entry.value(now) for key, entry in self._counts.items()}
        return {key: count for key, count in values.items() if count.failures}

    def prune(self, present: typing.Container[ids.UpstreamId]) -> None:
        """Drop upstreams that are no longer listed."""
        for upstream in [key for key in self._counts if key not in present]:
            del self._counts[upstream]


class Outliers:
    """Outcomes that one VM saw itself, and the totals of all VMs."""

    def __init__(self) -> None:
        self._own = Tally()
        self._unreported: Counts = {}
        self._totals: Counts = {}
        self._totals_at = -math.inf

    def record(
        self, upstream: ids.UpstreamId, succeeded: bool, now: float
    ) -> None:
        """Record the outcome of a request of this VM."""
        count = Count(1.0, 0.0 if succeeded else 1.0)
        self._own.add(upstream, count, now)
        unreported = self._unreported.get(upstream, EMPTY_COUNT)
        self._unreported[upstream] = Count(
            unreported.sends + count.sends,
            unreported.failures + count.failures,
        )

    def take_unreported(self) -> Counts:
        """Return the outcomes since the last call, to be reported."""
        unreported = self._unreported
        self._unreported = {}
        return unreported

    def set_totals(self, totals: Counts, now: float) -> None:
        """Set the totals of all VMs."""
        self._totals = totals
        self._totals_at = now

    def share(self, upstream: ids.UpstreamId, now: float) -> Share:
        """Return the failure share of an upstream."""
        own = self._own.get(upstream, now)
        total = self._totals.get(upstream, EMPTY_COUNT)
        total = _decayed(total, now - self._totals_at)
        sends = own.sends + total.sends + _PRIOR_SUCCESSES
        share = (own.failures + total.failures) / sends
        return Share(share, share - math.sqrt(share * (1 - share) / sends))

    def prune(self, present: typing.Container[ids.UpstreamId]) -> None:
        """Drop upstreams that are no longer listed."""
        self._own.prune(present)
        for upstream in [
            key for key in self._unreported if key not in present
        ]:
            del self._unreported[upstream]
