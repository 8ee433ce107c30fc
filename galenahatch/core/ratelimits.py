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

"""Rate limits that upstreams state in their answers.

An upstream states the requests a second that it accepts from all VMs together,
for as long as it says so. VMs report what they receive to each other. Each
statement has a time, and the latest one of an upstream counts (last writer
wins): one with a limit has the time at which its answer arrived, and one
without the time at which its request was sent. So an answer that was generated
before the upstream stated its limit, and arrived after it, does not lift the
limit.

The owner grants each request to such an upstream (`Limiter`), so that the
count is that of all VMs: where 400 VMs each keep a share of two requests a
second, no share holds a request. A VM that is told to wait asks again after a
pause that bounds the query rate.

Times are monotonic seconds; this module does no I/O.
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
"""Most that an upstream receives: in four seconds one and a half times its
limit, and five requests. The buckets keep the limit itself; the allowance
beyond it is for requests from before a change of the owner."""
_MAX_QUERY_RATE: typing.Final = 200.0
"""Queries a second about one upstream that the owner can handle."""
_MAX_COUNTED: typing.Final = 64
"""Requests up to which the wait for room is computed one by one."""
_PROBE_FRACTION: typing.Final = 0.25
"""Fraction of an upstream's limit that reading its report may use."""
_MAX_PROBE_RATE: typing.Final = 1.0
"""Reports a second that are read from an upstream."""

_MIN_RATE: typing.Final = 0.25
"""Requests a second that are always sent. An upstream that receives none could
never lift its limit."""
_MAX_RATE: typing.Final = 10_000.0
"""Requests a second above which a limit is ignored: all VMs send less."""
_MIN_LIFT_DELAY_S: typing.Final = 0.5
"""Seconds by which an answer without a limit must be newer than one with it: a
statement of another VM appears newer by its transmission time."""
_LIFTED_REPORT_S: typing.Final = 10.0
"""Seconds for which a lifted limit is reported to other VMs."""
_RETENTION_S: typing.Final = 60.0
"""Seconds for which the limit of an upstream without an entry is kept."""
_MAX_REPORTS: typing.Final = 16
"""Limits in one message, about 30 bytes each."""


@dataclasses.dataclass(frozen=True)
class Notice:
    """Latest statement of one upstream.

    Attributes:
        rate: Requests a second; None if it no longer states a limit.
        at: Time of the statement.
        since: Time at which it last began to state a limit, or ceased to.
    """

    rate: float | None
    at: float
    since: float


@dataclasses.dataclass(frozen=True)
class LimitReport:
    """What VMs report to each other about one upstream.

    Attributes:
        rate: Requests a second; None if it no longer states a limit.
        age: Seconds since the statement.
    """

    upstream: ids.UpstreamId
    rate: float | None
    age: float


class Notices:
    """Latest statement of each upstream that has stated a limit."""

    def __init__(self) -> None:
        self._notices: dict[ids.UpstreamId, Notice] = {}
        self._next_report = 0

    @property
    def by_upstream(self) -> typing.Mapping[ids.UpstreamId, Notice]:
        """Latest statement of each upstream."""
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
        """Record the statement of an answer; return whether the limit changed.

        Args:
            upstream: Upstream that answered.
            rate: Limit that it states; None if it states none.
            sent_at: Time at which the request was sent.
            now: Monotonic time in seconds.
        """
        return self._update(upstream, rate, sent_at if rate is None else now)

    def merge(self, report: LimitReport, now: float) -> bool:
        """Merge another VM's report; return whether the limit changed.

        A known statement appears a little newer with each VM that reports it,
        so it would never age if its time was updated.
        """
        at = now - max(0.0, report.age)
        current = self._notices.get(report.upstream)
        if current is not None and report.rate == current.rate:
            if at < current.at + _MIN_LIFT_DELAY_S:
                return False
        return self._update(report.upstream, report.rate, at)

    def _update(
        self, upstream: ids.UpstreamId, rate: float | None, at: float
    ) -> bool:
        current = self._notices.get(upstream)
        if rate is not None:
            rate = max(_MIN_RATE, rate) if rate < _MAX_RATE else None
        if current is None:
            if rate is None:
                return False
            self._notices[upstream] = Notice(rate, at, at)
            return True
        lifts = rate is None and current.rate is not None
        if at <= current.at + (_MIN_LIFT_DELAY_S if lifts else 0.0):
            return False
        is_new = (rate is None) != (current.rate is None)
        since = at if is_new else current.since
        self._notices[upstream] = Notice(rate, at, since)
        return rate != current.rate

    def make_reports(self, now: float) -> list[LimitReport]:
        """Return reports for other VMs; of very many some in turn."""
        reports = [
            LimitReport(upstream, notice.rate, max(0.0, now - notice.at))
            for upstream, notice in self._notices.items()
            if notice.rate is not None or now - notice.at < _LIFTED_REPORT_S
        ]
        if len(reports) <= _MAX_REPORTS:
            return reports
        self._next_report = (self._next_report + _MAX_REPORTS) % len(reports)
        return (reports + reports)[
            self._next_report : self._next_report + _MAX_REPORTS
        ]

    def prune(
        self, present: typing.Container[ids.UpstreamId], now: float
    ) -> list[ids.UpstreamId]:
        """Drop and return upstreams whose entries are gone for long."""
        removed = [
            upstream
            for upstream, notice in self._notices.items()
            if upstream not in present and now - notice.at > _RETENTION_S
        ]
        for upstream in removed:
            del self._notices[upstream]
        return removed


def retry_delay(wait: float, size: int) -> float:
    """Return the seconds after which a VM asks the owner again.

    Args:
        wait: Seconds until there is room if all others ask then.
        size: Number of VMs that may ask.
    """
    return min(wait, size / _MAX_QUERY_RATE)


def _probe_rate(rate: float) -> float:
    """Return the reports a second read from an upstream with a limit."""
    return min(_MAX_PROBE_RATE, _PROBE_FRACTION * rate)


class Limiter:
    """Grants requests to upstreams that state a limit.

    Args:
        random_source: Random source that rounds fractions of requests.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._notices = Notices()
        self._buckets = quotas.Quotas[ids.UpstreamId](BOUND, random_source)
        self._probed_at: dict[ids.UpstreamId, float] = {}

    @property
    def notices(self) -> Notices:
        """Statements of upstreams."""
        return self._notices

    @property
    def is_idle(self) -> bool:
        """Whether no upstream has stated a limit recently."""
        return not self._notices.by_upstream

    def update_limit(self, upstream: ids.UpstreamId, now: float) -> None:
        """Apply the limit that an upstream states now."""
        rate = self._notices.rate(upstream)
        if rate is None:
            self._buckets.remove(upstream)
        else:
            if upstream in self._probed_at:
                rate -= _probe_rate(rate)
            quota = customers.Quota(rate, 0.0)
            self._buckets.set_quota(upstream, quota, now)

    def set_fraction(self, part: float) -> None:
        """Set the fraction of all VMs that this one decides for."""
        self._buckets.set_fraction(part)

    def can_acquire(self, upstream: ids.UpstreamId, now: float) -> bool:
        """Return whether an upstream may receive a request now."""
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

        Reports have a separate share of the limit: one that took the slot of a
        request would break the promise made to a waiting one.
        """
        rate = self._notices.rate(upstream)
        if rate is None:
            return True
        probed_at = self._probed_at.get(upstream)
        if probed_at is not None and now - probed_at < 1 / _probe_rate(rate):
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
            upstreams: Upstreams, any of which will do.
            requests: Number of requests to send.
            now: Monotonic time in seconds.
        """
        if not upstreams or not all(map(self._notices.rate, upstreams)):
            return 0.0
        available = [self._buckets.available(key, now) for key in upstreams]
        if requests > _MAX_COUNTED:
            units = sum(level for level, _ in available)
            return max(0.0, requests - units) / sum(
                rate for _, rate in available
            )
        # Count whole units of each: halves at two engines are no request.
        slots = [((1 - level) / rate, rate) for level, rate in available]
        heapq.heapify(slots)
        for _ in range(requests - 1):
            at, rate = slots[0]
            heapq.heapreplace(slots, (at + 1 / rate, rate))
        return max(0.0, slots[0][0])

    def prune(
        self, present: typing.Container[ids.UpstreamId], now: float
    ) -> None:
        """Drop upstreams that are no longer listed."""
        for upstream in self._notices.prune(present, now):
            self._buckets.remove(upstream)
            self._probed_at.pop(upstream, None)
