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

"""Collects load reports of upstreams and exchanges them with the owner.

Each response feeds the reports of this gateway. With its heartbeats a gateway
passes the changed ones on to the owner, which places generations and so must
know which engines are slow at this moment. Only reports that state a slowdown
travel; they are a few of those of the last half second.
"""

import collections
import collections.abc
import itertools
import math
import typing

from galenahatch import clock
from galenahatch.core import balance
from galenahatch.core import expecteddelay
from galenahatch.core import loadreports
from galenahatch.core import members
from galenahatch.core import upstreams
from galenahatch.gateway import calls
from galenahatch.gateway import instruments
from galenahatch.gateway import records
from galenahatch import ids
from galenahatch import logs

_OWNER_REPORTS_PER_S: typing.Final = 320.0
"""Reports a second that the owner receives at most, about 48 bytes each: 15
KB/s, which leaves nearly half of what control may take on a VM."""
MAX_REPORTS: typing.Final = 16
"""Most reports in one heartbeat, however few gateways there are."""
_LOG_INTERVAL_S: typing.Final = 10.0
"""Minimum seconds between two log lines of one kind about an upstream."""
_MAX_LABELS: typing.Final = 100
"""Upstreams with a metric label of their own."""
_SHARE_DECAY: typing.Final = 0.9
"""Factor by which counted responses decay with each refresh, so that the share
of an upstream is that of some ten seconds."""
_log = logs.Log('loads')


def max_reports(member_count: int) -> int:
    """Return the most reports in one heartbeat of a gateway."""
    heartbeats_per_s = (
        min(member_count, members.FULL_RATE_MEMBERS)
        / members.HEARTBEAT_INTERVAL_S
    )
    return min(MAX_REPORTS, math.ceil(_OWNER_REPORTS_PER_S / heartbeats_per_s))


class LoadExchange:
    """Load reports as known to this gateway.

    Args:
        loads: Latest report of each upstream.
        balancer: Balancer of plain calls, which learns speeds.
    """

    def __init__(
        self, loads: loadreports.Loads, balancer: balance.Balancer
    ) -> None:
        self._loads = loads
        self._balancer = balancer
        self._known: collections.abc.Mapping[
            ids.UpstreamId, upstreams.Upstream
        ] = {}
        self._responses: dict[ids.UpstreamId, float] = {}
        self._logged_at: dict[tuple[ids.UpstreamId, str], float] = {}
        for name, values in (
            (instruments.UPSTREAM_SLOWDOWN, self._slowdowns),
            (instruments.EXPECTED_DELAY, self._expected_delays),
            (instruments.SEND_SHARE, self._send_shares),
        ):
            instruments.register_gauge(name, values)

    def record_answer(
        self, upstream: ids.UpstreamId, head: calls.ResponseHead
    ) -> None:
        """Record the load in the head of an answer."""
        now = clock.now()
        if head.load_error is not None:
            instruments.invalid_loads.add(1)
            if self._may_log(upstream, 'invalid', now):
                _log.warning(
                    'Ignored an invalid load.',
                    upstream=upstream,
                    request=head.request_id,
                    detail=head.load_error.detail,
                )
        if head.load is None:
            return
        self._loads.record(upstream, head.load, now)
        if head.load.slowdown is not None:
            count = self._responses.get(upstream, 0.0)
            self._responses[upstream] = count + 1.0

    def take_changed(
        self, member_count: int
    ) -> tuple[records.UpstreamLoad, ...]:
        """Return the reports to pass on with the next heartbeat.

        Args:
            member_count: Number of gateways, which share what the owner
                receives.
        """
        return tuple(
            records.UpstreamLoad(
                upstream,
                report.running,
                report.waiting,
                report.slots,
                report.slowdown or 0.0,
                age,
            )
            for upstream, report, age in self._loads.take_changed(
                max_reports(member_count), clock.now()
            )
        )

    def merge(self, reported: tuple[records.UpstreamLoad, ...]) -> None:
        """Add the reports that another gateway passed on."""
        now = clock.now()
        for load in reported[:MAX_REPORTS]:
            if not math.isfinite(load.age + load.slowdown):
                continue
            report = loadreports.LoadReport(
                load.running,
                load.waiting,
                load.slots,
                load.slowdown if load.slowdown > 0 else None,
            )
            self._loads.merge(load.upstream, report, now - max(0.0, load.age))

    def refresh(
        self,
        known: collections.abc.Mapping[ids.UpstreamId, upstreams.Upstream],
    ) -> None:
        """Drop removed upstreams, and log which ones turned slow."""
        self._known = dict(known)
        self._loads.prune(known)
        for upstream in [key for key in self._responses if key not in known]:
            del self._responses[upstream]
        for upstream in self._responses:
            self._responses[upstream] *= _SHARE_DECAY
        for key in [key for key in self._logged_at if key[0] not in known]:
            del self._logged_at[key]
        for service in self._services().values():
            siblings = [upstream.id for upstream in service]
            for sibling in siblings:
                self._update_standing(sibling, siblings)

    def _update_standing(
        self,
        upstream: ids.UpstreamId,
        siblings: collections.abc.Sequence[ids.UpstreamId],
    ) -> None:
        delays = self._balancer.delays
        standing = delays.update_standing(upstream, siblings)
        if standing is None or not self._may_log(
            upstream, standing.value, clock.now()
        ):
            return
        sentences = {
            expecteddelay.Standing.NORMAL: 'Upstream is as fast as siblings.',
            expecteddelay.Standing.SLOW: 'Upstream is slower than siblings.',
            expecteddelay.Standing.DISTRUSTED: (
                'Results contradict the slowdown that an upstream states.'
            ),
        }
        _log.info(
            sentences[standing],
            upstream=upstream,
            detail=delays.describe(upstream),
            siblings=delays.median(siblings),
        )

    def _may_log(self, upstream: ids.UpstreamId, kind: str, at: float) -> bool:
        last = self._logged_at.get((upstream, kind), -math.inf)
        if at - last < _LOG_INTERVAL_S:
            return False
        self._logged_at[upstream, kind] = at
        return True

    def _services(
        self,
    ) -> dict[ids.ServiceName, list[upstreams.Upstream]]:
        """Return the upstreams of the services that state a slowdown."""
        services: dict[ids.ServiceName, list[upstreams.Upstream]] = (
            collections.defaultdict(list)
        )
        for upstream in self._known.values():
            services[upstream.service].append(upstream)
        return {
            name: siblings
            for name, siblings in services.items()
            if self._loads.reports_slowdown(s.id for s in siblings)
        }

    def _labeled(self) -> list[upstreams.Upstream]:
        labeled = itertools.chain.from_iterable(self._services().values())
        return list(itertools.islice(labeled, _MAX_LABELS))

    def _slowdowns(self) -> dict[str, float]:
        now = clock.now()
        return {
            upstream.id: self._loads.slowdown(upstream.id, now)
            for upstream in self._labeled()
        }

    def _expected_delays(self) -> dict[str, float]:
        now = clock.now()
        found: dict[ids.UpstreamId, float] = {}
        for service in self._services().values():
            if service[0].stage is None:
                found.update(self._balancer.expected_delays(service, now))
        return {key: found[key] for key in list(found)[:_MAX_LABELS]}

    def _send_shares(self) -> dict[str, float]:
        found: dict[str, float] = {}
        for service in self._services().values():
            counts = {u.id: self._responses.get(u.id, 0.0) for u in service}
            total = sum(counts.values()) or 1.0
            found.update({key: n / total for key, n in counts.items()})
        return dict(itertools.islice(found.items(), _MAX_LABELS))
