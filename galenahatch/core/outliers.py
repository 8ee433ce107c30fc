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

"""Share of the sends to each upstream that failed of late, over all VMs.

One VM sends an upstream a request every second or less and needs several to
tell bad luck from a fault. So each VM tells the owner with its beats what
its sends came to, and hears the sum of all with the answer. A VM's own sends
count twice that way, which is wanted: an upstream may fail only the callers
of one data centre.

Times are monotonic seconds; there is no input or output here.
"""

import dataclasses
import math
import typing

from galenahatch import ids

_MEMORY: typing.Final = 3.0
"""Seconds in which an outcome loses all but a third of its weight. Faults of
upstreams last about five. Two of three that lose a third of their requests
took 9.8 of 200 requests of one VM with 2 s, 7.8 with 3 s, 6.0 with 4 s."""
_BENEFIT: typing.Final = 4.0
"""Sends without a failure that each upstream is given, so that one failure
counts as a share of a fifth."""


class Count(typing.NamedTuple):
    """What some sends came to."""

    sends: float
    failures: float


class Share(typing.NamedTuple):
    """Part of an upstream's sends that failed, from 0 to 1.

    Attributes:
        likely: as counted.
        least: by one standard deviation less; the rest may be bad luck.
    """

    likely: float
    least: float


EMPTY_COUNT: typing.Final = Count(0.0, 0.0)
Counts = dict[ids.UpstreamId, Count]


@dataclasses.dataclass
class _Fading:
    """A count that loses weight with time."""

    count: Count
    at: float

    def seen(self, now: float) -> Count:
        return _faded(self.count, now - self.at)

    def add(self, more: Count, now: float) -> None:
        before = self.seen(now)
        self.count = Count(
            before.sends + more.sends, before.failures + more.failures
        )
        self.at = now


def _faded(count: Count, age: float) -> Count:
    """Return what is left of a count after some seconds."""
    left = math.exp(-max(0.0, age) / _MEMORY)
    return Count(count.sends * left, count.failures * left)


class Tally:
    """Outcomes of sends, the newest counting most."""

    def __init__(self) -> None:
        self._fading: dict[ids.UpstreamId, _Fading] = {}

    def add(self, upstream: ids.UpstreamId, more: Count, now: float) -> None:
        """Take what some sends came to."""
        found = self._fading.get(upstream)
        if found is None:
            self._fading[upstream] = _Fading(more, now)
        else:
            found.add(more, now)

    def get(self, upstream: ids.UpstreamId, now: float) -> Count:
        """Return what counts now."""
        found = self._fading.get(upstream)
        return found.seen(now) if found is not None else EMPTY_COUNT

    def failing(self, now: float) -> Counts:
        """Return the upstreams that failed, with what counts of them now.

        Upstreams without a failure need not be told: their share is zero,
        whatever their sends.
        """
        seen = {key: one.seen(now) for key, one in self._fading.items()}
        return {key: count for key, count in seen.items() if count.failures}

    def prune(self, known: typing.Container[ids.UpstreamId]) -> None:
        """Drop upstreams that are gone."""
        for gone in [key for key in self._fading if key not in known]:
            del self._fading[gone]


class Outliers:
    """What one VM knows of failures: its own, and the sums of all."""

    def __init__(self) -> None:
        self._own = Tally()
        self._new: Counts = {}
        self._told: Counts = {}
        self._told_at = -math.inf

    def record(self, upstream: ids.UpstreamId, good: bool, now: float) -> None:
        """Take what a send of this VM came to."""
        count = Count(1.0, 0.0 if good else 1.0)
        self._own.add(upstream, count, now)
        before = self._new.get(upstream, EMPTY_COUNT)
        self._new[upstream] = Count(
            before.sends + count.sends, before.failures + count.failures
        )

    def take_unreported(self) -> Counts:
        """Return what came since the last call, to be told."""
        new = self._new
        self._new = {}
        return new

    def set_totals(self, told: Counts, now: float) -> None:
        """Take the sums of all VMs."""
        self._told = told
        self._told_at = now

    def share(self, upstream: ids.UpstreamId, now: float) -> Share:
        """Return the part of the sends that failed."""
        own = self._own.get(upstream, now)
        told = self._told.get(upstream, EMPTY_COUNT)
        told = _faded(told, now - self._told_at)
        sends = own.sends + told.sends + _BENEFIT
        share = (own.failures + told.failures) / sends
        return Share(share, share - math.sqrt(share * (1 - share) / sends))

    def prune(self, known: typing.Container[ids.UpstreamId]) -> None:
        """Drop upstreams that are gone."""
        self._own.prune(known)
        for gone in [key for key in self._new if key not in known]:
            del self._new[gone]
