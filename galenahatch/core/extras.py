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

"""The retry budget that all VMs share, without a message for each retry.

The bound is on a sliding window: sends beyond the first of each request
stay under `ratio` x requests + `reserve`, for a service, over all VMs.
Each VM keeps a part of it that needs no agreement: the ratio of its own
requests, and its share of the reserve. Shares are of the largest number of
VMs seen, halved, since a VM that restarts forgets what it has spent.
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


class SharedBudget:
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

    def request(self, service: ids.ServiceName, now: float) -> None:
        """Note a request of a caller."""
        self._of(self._requests, service).add(now)

    def spend(self, service: ids.ServiceName, now: float) -> bool:
        """Take one extra send; return False when none is left."""
        extras = self._of(self._extras, service)
        if extras.count(now) + 1 > self._allowed(service, now):
            return False
        extras.add(now)
        return True

    def forced(self, service: ids.ServiceName, now: float) -> None:
        """Note an extra send that was made without asking."""
        self._of(self._extras, service).add(now)

    def _allowed(self, service: ids.ServiceName, now: float) -> float:
        requests = self._of(self._requests, service).count(now)
        share = self._reserve / self._members / _RESTARTS
        return _MARGIN * (self._ratio * requests + share)

    def _of(
        self, windows: dict[ids.ServiceName, _Window], service: ids.ServiceName
    ) -> _Window:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _Window(self._window)
        return window
