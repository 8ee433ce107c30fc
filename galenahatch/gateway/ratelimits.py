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

"""Rate limits set by upstreams, enforced over all gateways.

A gateway that learns from a response that a limit was set or removed reports
it to the owner at once, and the owner informs all gateways with its heartbeat
replies. A plain call to a limited upstream needs a permit from the owner.
Generations are placed by the owner anyway, which counts them itself.
"""

import asyncio
import dataclasses
import itertools
import typing

from galenahatch import clock
from galenahatch.core import ratelimits
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import frames
from galenahatch.gateway import instruments
from galenahatch.gateway import messages
from galenahatch.gateway import records
from galenahatch import ids
from galenahatch import logs
from galenahatch import timeouts

_LOG_INTERVAL_S: typing.Final = 1.0
"""Minimum interval of log lines about an upstream that changes its limit with
each response."""
_MAX_UPSTREAM_LABELS: typing.Final = 100
"""Number of upstreams that have a metric label of their own."""
_OTHERS_LABEL: typing.Final = '(others)'
_PERMIT_TIMEOUT_S: typing.Final = 0.05
"""Timeout of the owner's reply; round trips take a few ms. If the owner is not
reachable, the call then tries another upstream."""
_NO_REPLY_BACKOFF_S: typing.Final = 0.25
"""Time without further permit requests after the owner did not reply."""
_log = logs.Log('ratelimits')


class Peers(typing.Protocol):
    """Interface to the other gateways."""

    me: ids.MemberId

    @property
    def size(self) -> int:
        """Number of gateways."""
        ...

    def owner(self) -> ids.MemberId:
        """Return the member that is the owner."""
        ...

    def send(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
        """Send a message to a gateway."""
        ...

    def reply(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
        """Reply to a gateway."""
        ...

    def tell_owner(self, message: frames.AnyMessage) -> None:
        """Send a message to the owner and to its possible successor."""
        ...


@dataclasses.dataclass(frozen=True)
class _Backoff:
    """Backoff of permit requests for one upstream.

    Attributes:
        retry_at: Time at which the owner may be asked again.
        available_at: Time at which the owner expects to grant a permit.
    """

    retry_at: float
    available_at: float


class RateLimits:
    """Rate limits as known and enforced by this gateway."""

    def __init__(self) -> None:
        self._limiter = ratelimits.Limiter(clock.RANDOM)
        self._notices = self._limiter.notices
        self._logged_at: dict[ids.UpstreamId, float] = {}
        self._backoffs: dict[ids.UpstreamId, _Backoff] = {}
        self._pending_permits: dict[int, asyncio.Future[float]] = {}
        self._permit_numbers = itertools.count()
        self._labels: set[ids.UpstreamId] = set()
        self._peers: Peers | None = None
        instruments.register_gauge(
            instruments.RATE_LIMIT, self._rate_by_upstream
        )
        instruments.register_gauge(
            instruments.LIMITED_SECONDS, self._age_by_upstream
        )

    def set_peers(self, peers: Peers) -> None:
        """Connect to the other gateways."""
        self._peers = peers

    @property
    def limiter(self) -> ratelimits.Limiter:
        """Limiter that this gateway applies as the owner."""
        return self._limiter

    # Limits received from upstreams.

    def observe_response(
        self,
        upstream: ids.UpstreamId,
        sent_at: float,
        head: calls.ResponseHead,
    ) -> None:
        """Update the limit of an upstream from the head of a response."""
        rate = head.rate_limit
        if isinstance(rate, errors.Failure):
            if self._may_log(upstream):
                _log.warning(
                    'Ignoring invalid rate limit.',
                    upstream=upstream,
                    request=head.request_id,
                    detail=rate.detail,
                )
            return
        now = clock.now()
        if not self._notices.record_answer(upstream, rate, sent_at, now):
            return
        self._apply_change(upstream, 'answer', head.request_id)
        if self._peers is not None:
            self._peers.tell_owner(messages.RateLimits(self.snapshot()))

    def _apply_change(
        self, upstream: ids.UpstreamId, source: str, request: str = ''
    ) -> None:
        self._limiter.update_limit(upstream, clock.now())
        self._backoffs.pop(upstream, None)
        self._log_change(upstream, source, request)

    def _log_change(
        self, upstream: ids.UpstreamId, source: str, request: str
    ) -> None:
        if not self._may_log(upstream):
            return
        rate = self._notices.rate(upstream)
        _log.info(
            'Rate limit removed.' if rate is None else 'Rate limit set.',
            upstream=upstream,
            rate=rate or 0.0,
            source=source,
            request=request,
        )

    def _may_log(self, upstream: ids.UpstreamId) -> bool:
        now = clock.now()
        if (
            now - self._logged_at.get(upstream, -_LOG_INTERVAL_S)
            < _LOG_INTERVAL_S
        ):
            return False
        self._logged_at[upstream] = now
        return True

    def prune(self, known: typing.Container[ids.UpstreamId]) -> None:
        """Drop upstreams that are not known any more."""
        self._limiter.prune(known, clock.now())
        for removed in [key for key in self._logged_at if key not in known]:
            del self._logged_at[removed]
        for removed in [key for key in self._backoffs if key not in known]:
            del self._backoffs[removed]

    # Messages between gateways.

    def snapshot(self) -> tuple[records.RateLimit, ...]:
        """Return the limits to report to other gateways."""
        return tuple(
            records.RateLimit(notice.upstream, notice.rate, notice.age)
            for notice in self._notices.make_reports(clock.now())
        )

    def merge_reported(self, reported: tuple[records.RateLimit, ...]) -> None:
        """Merge the limits that another gateway reported."""
        now = clock.now()
        for limit in reported:
            notice = ratelimits.LimitReport(
                limit.upstream, limit.rate, limit.age
            )
            if self._notices.merge(notice, now):
                self._apply_change(limit.upstream, 'peer')

    def set_owned_share(self, share: float) -> None:
        """Set the share of all gateways that this one decides for."""
        self._limiter.set_fraction(share)

    def handle_message(
        self, member: ids.MemberId, message: frames.AnyMessage
    ) -> None:
        """Handle a permit request, or the reply to one."""
        if isinstance(message, messages.PermitReply):
            pending = self._pending_permits.get(message.number)
            if pending is not None and not pending.done():
                pending.set_result(message.wait)
        elif isinstance(message, messages.PermitRequest):
            assert self._peers is not None
            self.merge_reported((message.limit,))
            wait = self._grant(message.limit.upstream)
            self._peers.reply(
                member, messages.PermitReply(message.number, wait)
            )

    # Plain calls.

    async def acquire(self, upstream: ids.UpstreamId) -> float:
        """Acquire a permit for one request to an upstream.

        Returns:
            0 if the request may be sent now, else the seconds until a permit
            is expected to be available.
        """
        now = clock.now()
        if self._notices.rate(upstream) is None:
            return 0.0
        backoff = self._backoffs.get(upstream)
        if backoff is not None and now < backoff.retry_at:
            self._count_held_back(upstream)
            return max(backoff.retry_at, backoff.available_at) - now
        wait = await self._request_permit(upstream)
        if wait == 0.0:
            return 0.0
        assert self._peers is not None
        backoff_for = _NO_REPLY_BACKOFF_S
        if wait is not None:
            backoff_for = ratelimits.retry_delay(wait, self._peers.size)
        available_in = _NO_REPLY_BACKOFF_S if wait is None else wait
        self._backoffs[upstream] = _Backoff(
            now + backoff_for, now + available_in
        )
        self._count_held_back(upstream)
        return available_in

    def _count_held_back(self, upstream: ids.UpstreamId) -> None:
        if len(self._labels) < _MAX_UPSTREAM_LABELS:
            self._labels.add(upstream)
        label = upstream if upstream in self._labels else _OTHERS_LABEL
        instruments.held_back.add(1, {'upstream': label})

    async def _request_permit(self, upstream: ids.UpstreamId) -> float | None:
        """Request a permit from the owner.

        Returns:
            Seconds to wait, 0 if granted; None if the owner does not reply.
        """
        assert self._peers is not None
        owner = self._peers.owner()
        if owner == self._peers.me:
            return self._grant(upstream)
        number = next(self._permit_numbers)
        pending = asyncio.get_running_loop().create_future()
        self._pending_permits[number] = pending
        notice = self._notices.by_upstream[upstream]
        age = max(0.0, clock.now() - notice.at)
        limit = records.RateLimit(upstream, notice.rate, age)
        self._peers.send(
            owner, messages.PermitRequest(self._peers.me, number, limit)
        )
        try:
            async with timeouts.limit(_PERMIT_TIMEOUT_S):
                return float(await pending)
        except asyncio.TimeoutError:
            return None
        finally:
            del self._pending_permits[number]

    def _grant(self, upstream: ids.UpstreamId) -> float:
        """Grant a permit as the owner, or return the seconds to wait."""
        denied = self._limiter.acquire(upstream, clock.now())
        if denied is None:
            return 0.0
        return denied.retry_after or _NO_REPLY_BACKOFF_S

    def _active_limits(self) -> list[tuple[ids.UpstreamId, ratelimits.Notice]]:
        """Return the limits in force, up to the number of metric labels."""
        limited = [
            (upstream, notice)
            for upstream, notice in self._notices.by_upstream.items()
            if notice.rate is not None
        ]
        return limited[:_MAX_UPSTREAM_LABELS]

    def _rate_by_upstream(self) -> dict[str, float]:
        return {
            key: notice.rate or 0.0 for key, notice in self._active_limits()
        }

    def _age_by_upstream(self) -> dict[str, float]:
        now = clock.now()
        return {
            key: now - notice.since for key, notice in self._active_limits()
        }
