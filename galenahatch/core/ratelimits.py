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

"""Rate limits that upstreams name in their answers.

An upstream names the requests a second that it takes from all VMs together,
for as long as it says so. VMs tell each other what they heard. Each statement
has a time, and the latest one of an upstream counts (last writer wins): one
that names a limit has the time at which its answer came, and one that names
none the time at which its request was sent. So an answer that was made before
the upstream named its limit, and came after it, does not lift the limit.

The owner grants each request to such an upstream (`Limiter`), so that the
count is that of all VMs: where 400 VMs each keep a part of two requests a
second, no part holds a request. Who is told to wait asks again after a pause
that bounds the questions.

Times are monotonic seconds; there is no input or output here.
"""

import collections.abc
import dataclasses
import heapq
import random
import typing

from galenahatch.core import customers
from galenahatch.core import quotas
from galenahatch import ids

BOUND: typing.Final = quotas.Bound(window=4.0, overshoot=0.5, slack=5.0)
"""What an upstream gets at the most: in four seconds one and a half times its
limit, and five requests. The buckets hold to the limit itself; what lies
beyond it is for requests of before a change of the owner."""
_QUESTIONS: typing.Final = 200.0
"""Questions a second on one upstream that the owner has time for."""
_COUNTED: typing.Final = 64
"""Requests up to which the wait for room is found by counting."""
_PROBED: typing.Final = 0.25
"""Part of the limit of an upstream that reading its report may take."""
_MOST_PROBES: typing.Final = 1.0
"""Reports a second that are read of an upstream."""

_LEAST_RATE: typing.Final = 0.25
"""Requests a second that are sent in any case. An upstream that gets none
could never say that it takes some again."""
_MOST_RATE: typing.Final = 10_000.0
"""Requests a second from which on a limit is none: all VMs send less."""
_DISAGREEMENT: typing.Final = 0.5
"""Seconds by which an answer without a limit must be later than one that names
it: what another VM tells seems later by its time on the way."""
_REMEMBERED: typing.Final = 10.0
"""Seconds for which VMs are told that a limit was lifted."""
_KEPT: typing.Final = 60.0
"""Seconds for which the limit of an upstream without an entry is kept."""
_MOST_TOLD: typing.Final = 16
"""Limits in one message, some 30 bytes each."""


@dataclasses.dataclass(frozen=True)
class Notice:
    """What is known of one upstream.

    Attributes:
        rate: requests a second; None if it names no limit any more.
        at: when that was so.
        since: when it last began to name a limit, or ceased to.
    """

    rate: float | None
    at: float
    since: float


@dataclasses.dataclass(frozen=True)
class LimitReport:
    """What VMs tell each other of one upstream.

    Attributes:
        rate: requests a second; None if it names no limit any more.
        age: seconds since that was so.
    """

    upstream: ids.UpstreamId
    rate: float | None
    age: float


class Notices:
    """What each upstream that names a limit, or did so, has said last."""

    def __init__(self) -> None:
        self._notices: dict[ids.UpstreamId, Notice] = {}
        self._turn = 0

    @property
    def by_upstream(self) -> typing.Mapping[ids.UpstreamId, Notice]:
        """What is known of each upstream."""
        return self._notices

    def rate(self, upstream: ids.UpstreamId) -> float | None:
        """Return the limit of an upstream; None if it has none."""
        notice = self._notices.get(upstream)
        return notice.rate if notice is not None else None

    def record_answer(
        self,
        upstream: ids.UpstreamId,
        rate: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Take what an answer says; return whether the limit changed.

        Args:
            upstream: that answers.
            rate: that it names; None if it names none.
            sent_at: when its request was sent.
            now: monotonic seconds.
        """
        return self._take(upstream, rate, sent_at if rate is None else now)

    def merge(self, told: LimitReport, now: float) -> bool:
        """Take what another VM tells; return whether the limit changed.

        What was known before seems a little newer with each VM that tells it;
        taken so, it would never grow old.
        """
        at = now - max(0.0, told.age)
        before = self._notices.get(told.upstream)
        if before is not None and told.rate == before.rate:
            if at < before.at + _DISAGREEMENT:
                return False
        return self._take(told.upstream, told.rate, at)

    def _take(
        self, upstream: ids.UpstreamId, rate: float | None, at: float
    ) -> bool:
        before = self._notices.get(upstream)
        if rate is not None:
            rate = max(_LEAST_RATE, rate) if rate < _MOST_RATE else None
        if before is None:
            if rate is None:
                return False
            self._notices[upstream] = Notice(rate, at, at)
            return True
        lifts = rate is None and before.rate is not None
        if at <= before.at + (_DISAGREEMENT if lifts else 0.0):
            return False
        is_new = (rate is None) != (before.rate is None)
        since = at if is_new else before.since
        self._notices[upstream] = Notice(rate, at, since)
        return rate != before.rate

    def make_reports(self, now: float) -> list[LimitReport]:
        """Return what other VMs should know; of very many some in turn."""
        told = [
            LimitReport(upstream, notice.rate, max(0.0, now - notice.at))
            for upstream, notice in self._notices.items()
            if notice.rate is not None or now - notice.at < _REMEMBERED
        ]
        if len(told) <= _MOST_TOLD:
            return told
        self._turn = (self._turn + _MOST_TOLD) % len(told)
        return (told + told)[self._turn : self._turn + _MOST_TOLD]

    def prune(
        self, known: typing.Container[ids.UpstreamId], now: float
    ) -> list[ids.UpstreamId]:
        """Drop and return what is gone; entries may lapse and come back."""
        gone = [
            upstream
            for upstream, notice in self._notices.items()
            if upstream not in known and now - notice.at > _KEPT
        ]
        for upstream in gone:
            del self._notices[upstream]
        return gone


def retry_delay(wait: float, size: int) -> float:
    """Return the seconds after which a VM asks the owner again.

    Args:
        wait: seconds until there is room for it, if all others come then.
        size: VMs that may ask.
    """
    return min(wait, size / _QUESTIONS)


def _probes(rate: float) -> float:
    """Return the reports a second of an upstream with a limit."""
    return min(_MOST_PROBES, _PROBED * rate)


class Limiter:
    """Grants requests to upstreams that name a limit.

    Args:
        random_source: rounds parts of requests.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._notices = Notices()
        self._buckets = quotas.Quotas[ids.UpstreamId](BOUND, random_source)
        self._probed_at: dict[ids.UpstreamId, float] = {}

    @property
    def notices(self) -> Notices:
        """What upstreams have named."""
        return self._notices

    @property
    def is_idle(self) -> bool:
        """Whether no upstream has named a limit of late."""
        return not self._notices.by_upstream

    def update_limit(self, upstream: ids.UpstreamId, now: float) -> None:
        """Keep the limit that an upstream names now."""
        rate = self._notices.rate(upstream)
        if rate is None:
            self._buckets.remove(upstream)
        else:
            if upstream in self._probed_at:
                rate -= _probes(rate)
            quota = customers.Quota(rate, 0.0)
            self._buckets.set_quota(upstream, quota, now)

    def set_fraction(self, part: float) -> None:
        """Note for which part of all VMs this one decides."""
        self._buckets.set_fraction(part)

    def can_acquire(self, upstream: ids.UpstreamId, now: float) -> bool:
        """Return whether an upstream may get a request now."""
        return self._buckets.can_acquire(upstream, 1.0, now)

    def acquire(
        self, upstream: ids.UpstreamId, now: float
    ) -> quotas.Denied | None:
        """Count a request; return why it may not be sent."""
        return self._buckets.acquire(upstream, 1.0, now)

    def acquire_all(
        self,
        upstreams: collections.abc.Sequence[ids.UpstreamId],
        now: float,
    ) -> bool:
        """Count a request to each upstream, or none if one has no room."""
        for number, upstream in enumerate(upstreams):
            if self.acquire(upstream, now) is None:
                continue
            for counted in upstreams[:number]:
                self._buckets.refund(counted, 1.0, now)
            return False
        return True

    def acquire_probe(self, upstream: ids.UpstreamId, now: float) -> bool:
        """Return whether to read the report of an upstream; count it.

        Reports have a part of the limit of their own: one that took the room
        of a request would break the promise that a waiting one has.
        """
        rate = self._notices.rate(upstream)
        if rate is None:
            return True
        probed_at = self._probed_at.get(upstream)
        if probed_at is not None and now - probed_at < 1 / _probes(rate):
            return False
        self._probed_at[upstream] = now
        if probed_at is None:
            self.update_limit(upstream, now)
        return True

    def seconds_until_room(
        self,
        upstreams: collections.abc.Collection[ids.UpstreamId],
        requests: int,
        now: float,
    ) -> float:
        """Return the seconds until upstreams together have room.

        Args:
            upstreams: any of which will do.
            requests: that they are to take.
            now: monotonic seconds.
        """
        if not upstreams or not all(map(self._notices.rate, upstreams)):
            return 0.0
        left = [self._buckets.available(key, now) for key in upstreams]
        if requests > _COUNTED:
            units = sum(level for level, _ in left)
            return max(0.0, requests - units) / sum(rate for _, rate in left)
        # Halves of two engines are no request: units are whole ones of each.
        rooms = [((1 - level) / rate, rate) for level, rate in left]
        heapq.heapify(rooms)
        for _ in range(requests - 1):
            at, rate = rooms[0]
            heapq.heapreplace(rooms, (at + 1 / rate, rate))
        return max(0.0, rooms[0][0])

    def prune(
        self, known: typing.Container[ids.UpstreamId], now: float
    ) -> None:
        """Drop upstreams that are gone."""
        for gone in self._notices.prune(known, now):
            self._buckets.remove(gone)
            self._probed_at.pop(gone, None)
