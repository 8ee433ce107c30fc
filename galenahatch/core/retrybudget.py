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

"""Retry budgets shared by all VMs.

The bound applies to a sliding window: for each service, the retries of all VMs
stay below `ratio` x requests + `reserve`.

For plain services each VM holds a share of the budget that needs no message
for a retry (`LocalBudget`): the ratio of its own requests and its share of the
reserve. Shares are based on the largest number of VMs seen, and halved, since
a VM that restarts forgets what it has spent.

A generation asks the owner for engines anyway, again for each retry, so the
owner keeps one budget for all VMs (`OwnerBudget`). Divided among 195 VMs, a
reserve of 430 is less than one retry for each, and where an engine broke off
ten streams nearly all of them failed for lack of budget.
"""

import collections
import contextlib
import typing

from galenahatch import ids

_USED_FRACTION: typing.Final = 0.8
"""Fraction of the bound that is used; the rest covers windows that start
between two of ours."""
_RESTART_FACTOR: typing.Final = 2.0
"""Times that a VM may spend its share of the reserve in one window: before a
restart and after it."""
_MAX_OWNERS: typing.Final = 3
"""Owners that may grant retries in one window: ownership may change twice in a
row."""
_MEMBER_TIMEOUT_S: typing.Final = 2.0
"""Seconds after its last heartbeat for which an owner counts a VM as its own.
"""


class _SlidingWindow:
    """Counts the events of the last seconds."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        self._times.append(now)

    def remove(self, at: float, count: int) -> None:
        """Remove events of one moment; those that have left are ignored."""
        with contextlib.suppress(ValueError):
            for _ in range(count):
                self._times.remove(at)

    def count(self, now: float) -> int:
        while self._times and self._times[0] <= now - self._seconds:
            self._times.popleft()
        return len(self._times)


class _Grant(typing.NamedTuple):
    """Retries that were granted for one stream."""

    service: ids.ServiceName
    sends: int
    at: float


class LocalBudget:
    """Retries that this VM may make.

    Args:
        ratio: Retries allowed for each request.
        reserve: Further retries allowed in any window, over all VMs.
        window: Length of the window in seconds.
    """

    def __init__(self, ratio: float, reserve: float, window: float) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._window = window
        self._requests: dict[ids.ServiceName, _SlidingWindow] = {}
        self._retries: dict[ids.ServiceName, _SlidingWindow] = {}
        self._members = 1

    def set_members(self, members: int) -> None:
        """Set the number of VMs that share the budget; the largest counts."""
        self._members = max(self._members, members)

    def record_request(self, service: ids.ServiceName, now: float) -> None:
        """Record a request of a caller."""
        _get_window(self._requests, service, self._window).add(now)

    def has_retry(self, service: ids.ServiceName, now: float) -> bool:
        """Return whether the budget allows one more retry."""
        retries = _get_window(self._retries, service, self._window)
        return retries.count(now) + 1 <= self._allowed(service, now)

    def spend(self, service: ids.ServiceName, now: float) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        if not self.has_retry(service, now):
            return False
        _get_window(self._retries, service, self._window).add(now)
        return True

    def record_unbudgeted(self, service: ids.ServiceName, now: float) -> None:
        """Record a retry that was made without asking the budget."""
        _get_window(self._retries, service, self._window).add(now)

    def _allowed(self, service: ids.ServiceName, now: float) -> float:
        requests = _get_window(self._requests, service, self._window).count(
            now
        )
        share = self._reserve / self._members / _RESTART_FACTOR
        return _USED_FRACTION * (self._ratio * requests + share)


class OwnerBudget:
    """Retries that one owner grants to all VMs.

    Two owners that can't reach each other grant retries to different VMs. So
    each has the ratio of the requests it was asked for and, of the reserve, a
    share for the VMs whose heartbeats it receives, four a second from each.

    A search for a replacement is granted its sends before it is known whether
    they will be needed. What was surely not sent is given back, once for each
    grant: a message that is lost leaves retries booked, and one that comes
    twice frees none that were sent.

    Args:
        ratio: Retries allowed for each request.
        reserve: Further retries allowed in any window, over all VMs.
        window: Length of the window in seconds.
    """

    def __init__(self, ratio: float, reserve: float, window: float) -> None:
        self._ratio = ratio
        self._reserve = reserve / _MAX_OWNERS
        self._window = window
        self._requests: dict[ids.ServiceName, _SlidingWindow] = {}
        self._retries: dict[ids.ServiceName, _SlidingWindow] = {}
        self._grants: dict[ids.StreamId, _Grant] = {}
        self._heard_at: dict[ids.MemberId, float] = {}
        self._members = 1

    def set_members(self, members: int) -> None:
        """Set the number of VMs that there may be; the largest counts."""
        self._members = max(self._members, members)

    def record_heartbeat(self, member: ids.MemberId, now: float) -> None:
        """Record a heartbeat of another VM."""
        self._heard_at[member] = now

    def record_request(self, service: ids.ServiceName, now: float) -> None:
        """Record a request of a caller."""
        _get_window(self._requests, service, self._window).add(now)

    def grant(
        self,
        service: ids.ServiceName,
        sends: int,
        now: float,
        stream: ids.StreamId = ids.StreamId(''),
    ) -> bool:
        """Grant all of the retries asked for, or none.

        A prompt that is read again is wasted if its run then lacks the budget.
        Asking for none always succeeds, even when more was granted than is
        allowed by now.

        Args:
            service: Service that they are for.
            sends: Number of retries.
            now: Monotonic time in seconds.
            stream: Stream that may give them back; empty for none.
        """
        if not sends:
            return True
        retries = _get_window(self._retries, service, self._window)
        if retries.count(now) + sends > self._allowed(service, now):
            return False
        for _ in range(sends):
            retries.add(now)
        self._record_grant(stream, _Grant(service, sends, now))
        return True

    def _record_grant(self, stream: ids.StreamId, granted: _Grant) -> None:
        # What an earlier grant of the same stream allowed may have been sent.
        self._grants.pop(stream, None)
        for oldest in list(self._grants):
            if self._grants[oldest].at > granted.at - self._window:
                break
            del self._grants[oldest]
        if stream:
            self._grants[stream] = granted

    def give_back(
        self, stream: ids.StreamId, sends: int | None = None
    ) -> None:
        """Give back retries of a stream's last grant that were not sent.

        The rest of the grant can't be given back any more.

        Args:
            stream: Stream that they were granted for.
            sends: Number of retries that were surely not sent, and never will
                be; None for all of them.
        """
        granted = self._grants.pop(stream, None)
        if granted is not None:
            unsent = granted.sends if sends is None else sends
            _get_window(self._retries, granted.service, self._window).remove(
                granted.at, min(unsent, granted.sends)
            )

    def _allowed(self, service: ids.ServiceName, now: float) -> float:
        requests = _get_window(self._requests, service, self._window).count(
            now
        )
        live = 1 + sum(
            now - heard_at < _MEMBER_TIMEOUT_S
            for heard_at in self._heard_at.values()
        )
        share = min(1.0, live / self._members)
        return _USED_FRACTION * (
            self._ratio * requests + self._reserve * share
        )


def _get_window(
    windows: dict[ids.ServiceName, _SlidingWindow],
    service: ids.ServiceName,
    seconds: float,
) -> _SlidingWindow:
    window = windows.get(service)
    if window is None:
        window = windows[service] = _SlidingWindow(seconds)
    return window
