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

"""Services that have less capacity than calls, as known to this gateway.

A service is contended if the owner has said so, or for a moment if a response
to this gateway showed a queue, which the owner is told at once.
"""

import collections.abc
import typing

from galenahatch import clock
from galenahatch.core import loadreports
from galenahatch.gateway import callmessages
from galenahatch.gateway import directory as directories
from galenahatch import ids

_OBSERVED_QUEUE_S: typing.Final = 0.25
"""Time for which a service counts as contended after a response showed a
queue; the owner's notice arrives well within it."""
_NOTICE_INTERVAL_S: typing.Final = 0.1
"""Minimum interval of load notices about one service."""
QueueListener = collections.abc.Callable[
    [ids.ServiceName, ids.UpstreamId, loadreports.LoadReport], None
]


class Contention:
    """Which services need grants of the owner now.

    Args:
        directory: Source of upstreams.
        loads: Load that upstreams report.
        is_always_enabled: Whether the deployment asks for admission control;
            otherwise it is on for services whose upstreams state a slowdown.

    Attributes:
        on_queue: Called with the load of an upstream that has a queue, unless
            the owner knows of it.
    """

    def __init__(
        self,
        directory: directories.Directory,
        loads: loadreports.Loads,
        is_always_enabled: bool,
    ) -> None:
        self._directory = directory
        self._loads = loads
        self._is_always_enabled = is_always_enabled
        self._told: frozenset[ids.ServiceName] = frozenset()
        self._told_until = 0.0
        self._queue_seen_until: dict[ids.ServiceName, float] = {}
        self._notified_at: dict[ids.ServiceName, float] = {}
        self.on_queue: QueueListener = lambda service, upstream, report: None

    def is_enabled(self, service: ids.ServiceName) -> bool:
        """Return whether calls to a service may need grants at all."""
        if self._is_always_enabled:
            return True
        usable = self._directory.registry.usable(service, clock.now())
        return self._loads.reports_slowdown(one.id for one in usable)

    def is_contended(self, service: ids.ServiceName) -> bool:
        """Return whether a call to a service needs a grant now."""
        now = clock.now()
        has_queue = now < self._queue_seen_until.get(service, 0.0)
        return (has_queue or self._is_told(service, now)) and self.is_enabled(
            service
        )

    def _is_told(self, service: ids.ServiceName, now: float) -> bool:
        return now < self._told_until and service in self._told

    def apply_notice(self, notice: callmessages.Contention) -> None:
        """Apply what the owner says of all services."""
        self._told = frozenset(notice.services)
        self._told_until = clock.now() + notice.seconds

    def observe(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        report: loadreports.LoadReport | None,
        is_full: bool,
    ) -> None:
        """Record what a response says about the load of an upstream.

        Args:
            service: Service of the upstream.
            upstream: Upstream that responded.
            report: Load that it stated.
            is_full: Whether it rejected the call for lack of room.
        """
        has_queue = is_full or (report is not None and report.waiting > 0)
        if not has_queue or not self.is_enabled(service):
            return
        now = clock.now()
        self._queue_seen_until[service] = now + _OBSERVED_QUEUE_S
        if report is None or self._is_told(service, now):
            return
        if now - self._notified_at.get(service, -1.0) >= _NOTICE_INTERVAL_S:
            self._notified_at[service] = now
            self.on_queue(service, upstream, report)
