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

"""Rate limits that upstreams name: what gateways tell, ask and grant.

A gateway that hears of a limit, or of its end, tells the owner at once, and
the owner tells all with its answers to beats. A plain call to a limited
upstream asks the owner first; generations ask it for engines anyway, and it
counts those itself.
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

_LOG_EVERY: typing.Final = 1.0
"""Seconds between two lines on one upstream that says something new in each
answer."""
_MOST_LABELS: typing.Final = 100
"""Upstreams that metrics show each by itself."""
_REST: typing.Final = '(others)'
_ANSWER_WITHIN: typing.Final = 0.05
"""Seconds for the owner's answer; round trips take some ms. A call whose
owner is away turns to another upstream after that."""
_NO_ANSWER_PAUSE: typing.Final = 0.25
"""Seconds for which an owner that did not answer is not asked again."""
_log = logs.Log('ratelimits')


class Peers(typing.Protocol):
    """The other gateways, as far as they matter here."""

    me: ids.MemberId

    @property
    def size(self) -> int:
        """Gateways that there are."""
        ...

    def owner(self) -> ids.MemberId:
        """Return who decides."""
        ...

    def send(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
        """Send a message to a gateway."""
        ...

    def reply(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
        """Answer a gateway."""
        ...

    def tell_owner(self, message: frames.AnyMessage) -> None:
        """Send a message to the owner and whoever may be the next one."""
        ...


@dataclasses.dataclass(frozen=True)
class _Pause:
    """Until when an upstream is not asked for.

    Attributes:
        until: when the owner may be asked again.
        room_at: when the owner expects room.
    """

    until: float
    room_at: float


class RateLimits:
    """This gateway's part in keeping them."""

    def __init__(self) -> None:
        self._limiter = ratelimits.Limiter(clock.RANDOM)
        self._notices = self._limiter.notices
        self._logged_at: dict[ids.UpstreamId, float] = {}
        self._pauses: dict[ids.UpstreamId, _Pause] = {}
        self._questions: dict[int, asyncio.Future[float]] = {}
        self._numbers = itertools.count()
        self._labels: set[ids.UpstreamId] = set()
        self._peers: Peers | None = None
        instruments.register_gauge(instruments.RATE_LIMIT, self._rates)
        instruments.register_gauge(instruments.LIMITED_SECONDS, self._ages)

    def set_peers(self, peers: Peers) -> None:
        """Talk to other gateways from now on."""
        self._peers = peers

    @property
    def limiter(self) -> ratelimits.Limiter:
        """What this gateway grants as the owner."""
        return self._limiter

    # What upstreams say.

    def observe_response(
        self,
        upstream: ids.UpstreamId,
        sent_at: float,
        head: calls.ResponseHead,
    ) -> None:
        """Take the head of an answer."""
        rate = head.rate_limit
        if isinstance(rate, errors.Failure):
            if self._may_log(upstream):
                _log.warning(
                    'Bad rate limit ignored.',
                    upstream=upstream,
                    request=head.request_id,
                    detail=rate.detail,
                )
            return
        now = clock.now()
        if not self._notices.record_answer(upstream, rate, sent_at, now):
            return
        self._changed(upstream, 'answer', head.request_id)
        if self._peers is not None:
            self._peers.tell_owner(messages.RateLimits(self.snapshot()))

    def _changed(
        self, upstream: ids.UpstreamId, source: str, request: str = ''
    ) -> None:
        self._limiter.update_limit(upstream, clock.now())
        self._pauses.pop(upstream, None)
        self._log_change(upstream, source, request)

    def _log_change(
        self, upstream: ids.UpstreamId, source: str, request: str
    ) -> None:
        if not self._may_log(upstream):
            return
        rate = self._notices.rate(upstream)
        _log.info(
            'Rate limit lifted.' if rate is None else 'Rate limit named.',
            upstream=upstream,
            rate=rate or 0.0,
            source=source,
            request=request,
        )

    def _may_log(self, upstream: ids.UpstreamId) -> bool:
        now = clock.now()
        if now - self._logged_at.get(upstream, -_LOG_EVERY) < _LOG_EVERY:
            return False
        self._logged_at[upstream] = now
        return True

    def prune(self, known: typing.Container[ids.UpstreamId]) -> None:
        """Drop upstreams that are gone."""
        self._limiter.prune(known, clock.now())
        for gone in [key for key in self._logged_at if key not in known]:
            del self._logged_at[gone]
        for gone in [key for key in self._pauses if key not in known]:
            del self._pauses[gone]

    # What gateways tell each other.

    def snapshot(self) -> tuple[records.RateLimit, ...]:
        """Return what other gateways should know."""
        return tuple(
            records.RateLimit(one.upstream, one.rate, one.age)
            for one in self._notices.make_reports(clock.now())
        )

    def merge_reported(self, told: tuple[records.RateLimit, ...]) -> None:
        """Take what another gateway tells."""
        now = clock.now()
        for one in told:
            notice = ratelimits.LimitReport(one.upstream, one.rate, one.age)
            if self._notices.merge(notice, now):
                self._changed(one.upstream, 'peer')

    def set_owned_share(self, part: float) -> None:
        """Note for which part of all gateways this one decides."""
        self._limiter.set_fraction(part)

    def handle_message(
        self, member: ids.MemberId, message: frames.AnyMessage
    ) -> None:
        """Take a question, or the answer to one."""
        if isinstance(message, messages.PermitReply):
            question = self._questions.get(message.number)
            if question is not None and not question.done():
                question.set_result(message.wait)
        elif isinstance(message, messages.PermitRequest):
            assert self._peers is not None
            self.merge_reported((message.limit,))
            wait = self._decide(message.limit.upstream)
            self._peers.reply(
                member, messages.PermitReply(message.number, wait)
            )

    # Plain calls.

    async def acquire(self, upstream: ids.UpstreamId) -> float:
        """Count one request to an upstream.

        Returns:
            0 if it may be sent now, else the seconds until there is room.
        """
        now = clock.now()
        if self._notices.rate(upstream) is None:
            return 0.0
        pause = self._pauses.get(upstream)
        if pause is not None and now < pause.until:
            self._note_held_back(upstream)
            return max(pause.until, pause.room_at) - now
        wait = await self._ask(upstream)
        if wait == 0.0:
            return 0.0
        assert self._peers is not None
        pause_for = _NO_ANSWER_PAUSE
        if wait is not None:
            pause_for = ratelimits.retry_delay(wait, self._peers.size)
        room_in = _NO_ANSWER_PAUSE if wait is None else wait
        self._pauses[upstream] = _Pause(now + pause_for, now + room_in)
        self._note_held_back(upstream)
        return room_in

    def _note_held_back(self, upstream: ids.UpstreamId) -> None:
        if len(self._labels) < _MOST_LABELS:
            self._labels.add(upstream)
        label = upstream if upstream in self._labels else _REST
        instruments.held_back.add(1, {'upstream': label})

    async def _ask(self, upstream: ids.UpstreamId) -> float | None:
        """Ask the owner.

        Returns:
            The seconds to wait, or 0; None if the owner does not answer.
        """
        assert self._peers is not None
        owner = self._peers.owner()
        if owner == self._peers.me:
            return self._decide(upstream)
        number = next(self._numbers)
        question = asyncio.get_running_loop().create_future()
        self._questions[number] = question
        notice = self._notices.by_upstream[upstream]
        age = max(0.0, clock.now() - notice.at)
        limit = records.RateLimit(upstream, notice.rate, age)
        self._peers.send(
            owner, messages.PermitRequest(self._peers.me, number, limit)
        )
        try:
            async with timeouts.limit(_ANSWER_WITHIN):
                return float(await question)
        except asyncio.TimeoutError:
            return None
        finally:
            del self._questions[number]

    def _decide(self, upstream: ids.UpstreamId) -> float:
        """Grant a request as the owner; return the seconds to wait, or 0."""
        denied = self._limiter.acquire(upstream, clock.now())
        if denied is None:
            return 0.0
        return denied.retry_after or _NO_ANSWER_PAUSE

    def _limited(self) -> list[tuple[ids.UpstreamId, ratelimits.Notice]]:
        """Return the limits in force, of very many the first ones."""
        limited = [
            (upstream, notice)
            for upstream, notice in self._notices.by_upstream.items()
            if notice.rate is not None
        ]
        return limited[:_MOST_LABELS]

    def _rates(self) -> dict[str, float]:
        return {key: notice.rate or 0.0 for key, notice in self._limited()}

    def _ages(self) -> dict[str, float]:
        now = clock.now()
        return {key: now - notice.since for key, notice in self._limited()}
