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

"""The retry budget that all VMs share.

The bound is on a sliding window: sends beyond the first of each request
stay under `ratio` x requests + `reserve`, for a service, over all VMs.

For plain services each VM keeps a part of it that needs no message for a
retry (`SharedBudget`): the ratio of its own requests, and its share of the
reserve. Shares are of the largest number of VMs seen, halved, since a VM that
restarts forgets what it has spent.

A generation asks the owner for engines anyway, again for each further
attempt, so the owner keeps one budget for all VMs (`GrantedBudget`). Divided
among 195 VMs, a reserve of 430 is less than one send for each, and where an
engine broke off ten streams nearly all of them ended for want of budget.
"""

import collections
import typing

from galenahatch import ids

_MARGIN: typing.Final = 0.8
"""Part of the bound that is used; the rest covers windows that begin
between two of ours."""
_RESTARTS: typing.Final = 2.0
"""Times that a VM may spend its share of the reserve in one window: before
a restart and after it."""
_OWNERS: typing.Final = 3
"""Owners that may grant in one window: two may follow another at once."""
_HEARD: typing.Final = 2.0
"""Seconds after its last beat for which a VM is one of an owner's."""


class _Window:
    """Counts events of the last seconds."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        self._times.append(now)

    def count(self, now: float) -> int:
        while self._times and self._times[0] <= now - self._seconds:
            self._times.popleft()
        return len(self._times)


class LocalBudget:
    """Sends beyond the first that this VM may make.

    Args:
        ratio: extra sends for each request.
        reserve: extra sends in any window, over all VMs.
        window: seconds.
    """

    def __init__(self, ratio: float, reserve: float, window: float) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._window = window
        self._requests: dict[ids.ServiceName, _Window] = {}
        self._extras: dict[ids.ServiceName, _Window] = {}
        self._members = 1

    def set_members(self, members: int) -> None:
        """Note how many VMs may share; the largest number counts."""
        self._members = max(self._members, members)

    def record_request(self, service: ids.ServiceName, now: float) -> None:
        """Note a request of a caller."""
        _window(self._requests, service, self._window).add(now)

    def spend(self, service: ids.ServiceName, now: float) -> bool:
        """Take one extra send; return False when none is left."""
        extras = _window(self._extras, service, self._window)
        if extras.count(now) + 1 > self._allowed(service, now):
            return False
        extras.add(now)
        return True

    def record_unbudgeted(self, service: ids.ServiceName, now: float) -> None:
        """Note an extra send that was made without asking."""
        _window(self._extras, service, self._window).add(now)

    def _allowed(self, service: ids.ServiceName, now: float) -> float:
        requests = _window(self._requests, service, self._window).count(now)
        share = self._reserve / self._members / _RESTARTS
        return _MARGIN * (self._ratio * requests + share)


class OwnerBudget:
    """Sends beyond the first that one owner grants to all VMs.

    Two owners that can't reach each other grant to different VMs. So each
    has the ratio of the requests that it was asked for, and of the reserve a
    part for the VMs that it hears: those beat to it four times a second.

    Args:
        ratio: extra sends for each request.
        reserve: extra sends in any window, over all VMs.
        window: seconds.
    """

    def __init__(self, ratio: float, reserve: float, window: float) -> None:
        self._ratio = ratio
        self._reserve = reserve / _OWNERS
        self._window = window
        self._requests: dict[ids.ServiceName, _Window] = {}
        self._extras: dict[ids.ServiceName, _Window] = {}
        self._heard: dict[ids.MemberId, float] = {}
        self._members = 1

    def set_members(self, members: int) -> None:
        """Note how many VMs there may be; the largest number counts."""
        self._members = max(self._members, members)

    def record_heartbeat(self, member: ids.MemberId, now: float) -> None:
        """Note a beat of another VM."""
        self._heard[member] = now

    def record_request(self, service: ids.ServiceName, now: float) -> None:
        """Note a request of a caller."""
        _window(self._requests, service, self._window).add(now)

    def grant(self, service: ids.ServiceName, sends: int, now: float) -> bool:
        """Grant all of some extra sends, or none.

        A prompt that is read once more and whose run then lacks the budget
        would have been read for nothing. No extra send needs no budget, also
        when more was granted than is allowed by now.
        """
        if not sends:
            return True
        extras = _window(self._extras, service, self._window)
        if extras.count(now) + sends > self._allowed(service, now):
            return False
        for _ in range(sends):
            extras.add(now)
        return True

    def _allowed(self, service: ids.ServiceName, now: float) -> float:
        requests = _window(self._requests, service, self._window).count(now)
        heard = 1 + sum(now - at < _HEARD for at in self._heard.values())
        share = min(1.0, heard / self._members)
        return _MARGIN * (self._ratio * requests + self._reserve * share)


def _window(
    windows: dict[ids.ServiceName, _Window],
    service: ids.ServiceName,
    seconds: float,
) -> _Window:
    window = windows.get(service)
    if window is None:
        window = windows[service] = _Window(seconds)
    return window
