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
"""Proxies requests of other gateways that have lost their paths to upstreams.

Each request names its upstream and goes there directly, so that none is
proxied twice. What came of it is stated precisely (`hops.Verdict`): only if
nothing was sent may the other gateway send it again. If either connection
closes, so does the other.
"""

import asyncio
import collections.abc
import resource
import typing

from aiohttp import web

from galenahatch import clock
from galenahatch.core import fate
from galenahatch.core import memorybudget
from galenahatch.core import reachability
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch.gateway import bodies
from galenahatch.gateway import connections
from galenahatch.gateway import directory as directories
from galenahatch.gateway import flowcontrol
from galenahatch.gateway import hops
from galenahatch.gateway import instruments
from galenahatch.gateway import notices as notices_module
from galenahatch.gateway import sender as senders
from galenahatch.gateway import sendresults
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import wire
from galenahatch.upstream import http

_DESCRIPTOR_SHARE: typing.Final = 0.25
"""Share of the descriptors of this process for proxied requests, which take
two each; the rest is for its own callers."""
_MAX_IN_FLIGHT: typing.Final = 512
"""Limit on proxied requests: more of them would starve its own callers."""
_CONNECT_TIMEOUT_S: typing.Final = 0.1
"""Connections take a few ms within a region. The other gateway has waited
before and may have to try another proxy."""
_RELAY_SLACK_S: typing.Final = 1.0
"""Seconds that a response may be relayed beyond its route's timeout."""
_RELAY_BYTES: typing.Final = 256 * 1024
"""What the buffers of a large response take while it is relayed."""
_ANSWERS: typing.Final = memorybudget.Direction.ANSWERS
_log = logs.Log('proxy')

_VERDICTS: typing.Final = {
    senders.Reach.CONNECTED: hops.Verdict.ANSWERED,
    senders.Reach.REFUSED: hops.Verdict.REFUSED,
    senders.Reach.SILENT: hops.Verdict.UNREACHABLE,
}


class RequestProxy:
    """Handles requests of other gateways.

    Args:
        sender: Sender of direct sends.
        directory: Source of upstreams and limits.
        paths: Paths of this gateway.
        notices: Pauses that upstreams requested from this gateway.
        flow: Flow control of this process; None if bytes are not counted.
        is_member: Returns whether an address is that of a gateway.
        is_overloaded: Returns whether this VM has no capacity to spare.
    """

    def __init__(
        self,
        sender: senders.Sender,
        directory: directories.Directory,
        paths: reachability.Reachability,
        notices: notices_module.Notices,
        flow: flowcontrol.FlowControl | None,
        is_member: collections.abc.Callable[[str], bool],
        is_overloaded: collections.abc.Callable[[], bool],
    ) -> None:
        self._sender = sender
        self._directory = directory
        self._paths = paths
        self._notices = notices
        self._flow = flow
        self._is_member = is_member
        self._is_overloaded = is_overloaded
        self._max_in_flight = _max_in_flight()
        self._in_flight = 0
        self.is_draining = False

    @property
    def in_flight(self) -> int:
        """Number of proxied requests in progress."""
        return self._in_flight

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request of another gateway."""
        began_at = clock.now()
        asked = hops.instructions(request.headers)
        if asked is None or not self._is_member(request.remote or ''):
            return self._state(hops.Verdict.DECLINED)
        upstream = self._directory.registry.find(asked.upstream)
        why = self._why_none_here(asked, upstream)
        if upstream is None or why:
            return self._decline(request, asked, hops.Verdict.NOT_HERE, why)
        if asked.purpose is hops.Purpose.CHECK:
            reach = await self._sender.check_port(upstream.address)
            return self._state(_VERDICTS[reach])
        why = self._why_declined()
        if why:
            return self._decline(request, asked, hops.Verdict.DECLINED, why)
        self._in_flight += 1
        try:
            return await self._proxy(request, asked, upstream, began_at)
        finally:
            self._in_flight -= 1

    def _why_declined(self) -> str:
        """Return why no requests are proxied now, or nothing."""
        if self.is_draining:
            return 'stopping'
        if self._is_overloaded():
            return 'overloaded'
        return 'busy' if self._in_flight >= self._max_in_flight else ''

    def _why_none_here(
        self,
        asked: hops.Instructions,
        upstream: upstreams.Upstream | None,
    ) -> str:
        """Return why an upstream gets nothing from here, or nothing."""
        if upstream is None:
            return 'unknown upstream'
        if self._paths.is_lost(upstream.id):
            return 'path lost'
        if asked.purpose is hops.Purpose.CHECK:
            return ''
        if self._notices.pause_seconds_left(upstream.id):
            return 'paused'
        registry = self._directory.registry
        if asked.purpose is hops.Purpose.WORK and not registry.accepts_work(
            upstream.id, clock.now()
        ):
            return 'leaving'
        return ''

    def _decline(
        self,
        request: web.BaseRequest,
        asked: hops.Instructions,
        verdict: hops.Verdict,
        why: str,
    ) -> web.StreamResponse:
        self._log(request, asked, verdict, clock.now(), why)
        return self._state(verdict)

    async def _proxy(
        self,
        request: web.BaseRequest,
        asked: hops.Instructions,
        upstream: upstreams.Upstream,
        began_at: float,
    ) -> web.StreamResponse:
        assert isinstance(request.protocol, connections.CallerConnection)
        # The other gateway takes nothing more once it has closed.
        request.protocol.aborts_at_eof = True
        limit = self._directory.limits().max_body_bytes
        body = bodies.Body(request, limit, self._flow)
        try:
            data = await body.read()
            if isinstance(data, errors.Failure):
                return self._decline(
                    request, asked, hops.Verdict.DECLINED, data.reason.name
                )
            if self.is_draining:
                # The stop began while the body arrived.
                return self._decline(
                    request, asked, hops.Verdict.DECLINED, 'stopping'
                )
            return await self._forward(
                request, asked, upstream, data, began_at
            )
        finally:
            body.release()

    async def _forward(
        self,
        request: web.BaseRequest,
        asked: hops.Instructions,
        upstream: upstreams.Upstream,
        body: bytes,
        began_at: float,
    ) -> web.StreamResponse:
        headers = wire.end_to_end_headers(
            hops.remove_headers(request.raw_headers)
        )
        response = await self._sender.forward(
            upstream,
            senders.Outgoing(
                request.method,
                request.raw_path,
                headers,
                body,
                asked.timeout,
                min(_CONNECT_TIMEOUT_S, asked.timeout),
                asked.use_pool,
                asked.request,
            ),
        )
        if isinstance(response, sendresults.FailedSend):
            verdict = _verdict(response)
            self._log(request, asked, verdict, began_at, response.detail)
            return self._state(verdict)
        self._record_answer(asked, response, began_at)
        try:
            return await self._relay(request, response, upstream.id)
        finally:
            response.close()
            self._log(
                request,
                asked,
                hops.Verdict.ANSWERED,
                began_at,
                '',
                status=response.status,
            )

    def _record_answer(
        self, asked: hops.Instructions, response: typing.Any, sent_at: float
    ) -> None:
        """Record what an answer says, as that to a direct send."""
        self._paths.record_answer(clock.now())
        if asked.purpose is not hops.Purpose.WORK:
            return
        head = wire.decode_response_head(response.status, response.raw_headers)
        if senders.is_about_upstream(head, asked.request):
            self._sender.on_response_head(asked.upstream, sent_at, head)

    async def _relay(
        self,
        request: web.BaseRequest,
        response: typing.Any,
        upstream: ids.UpstreamId,
    ) -> web.StreamResponse:
        """Relay a response; abort it if it breaks off."""
        headers = wire.end_to_end_headers(
            hops.remove_headers(response.raw_headers)
        )
        headers.update(hops.verdict_headers(hops.Verdict.ANSWERED))
        relayed = web.StreamResponse(status=response.status, headers=headers)
        if response.content_length is not None:
            relayed.content_length = response.content_length
        if self.is_draining:
            relayed.force_close()
        await relayed.prepare(request)
        try:
            async with self._sender.waits.limit(upstream, self._time_limit()):
                await self._relay_body(request, response, relayed)
        except (asyncio.TimeoutError, *http.CLIENT_ERRORS):
            if request.transport is not None:
                request.transport.abort()
            return relayed
        await relayed.write_eof()
        return relayed

    async def _relay_body(
        self,
        request: web.BaseRequest,
        response: typing.Any,
        relayed: web.StreamResponse,
    ) -> None:
        """Relay a body; from some size on its buffers count as held."""
        abort = request.transport.abort if request.transport else None
        size = held = 0
        with flowcontrol.hold(self._flow, _ANSWERS, abort=abort) as holding:
            async for chunk in response.content.iter_any():
                size += len(chunk)
                if size > _RELAY_BYTES and not held:
                    held = _RELAY_BYTES
                    flowcontrol.grow(self._flow, holding, held)
                await relayed.write(chunk)

    def _time_limit(self) -> float:
        """Return the seconds that any response may take."""
        config = self._directory.config
        timeouts = [r.timeout for r in config.routes] if config else []
        return max(timeouts, default=0.0) + _RELAY_SLACK_S

    def _state(self, verdict: hops.Verdict) -> web.StreamResponse:
        """Return a response that only states a verdict."""
        status = 200 if verdict is hops.Verdict.ANSWERED else 503
        response = web.Response(
            status=status, headers=hops.verdict_headers(verdict)
        )
        if self.is_draining:
            response.force_close()
        return response

    def _log(
        self,
        request: web.BaseRequest,
        asked: hops.Instructions,
        verdict: hops.Verdict,
        began_at: float,
        detail: str,
        status: int = 0,
    ) -> None:
        instruments.proxied_requests.add(1, {'verdict': verdict.value})
        _log.info(
            'Proxied.',
            request=asked.request,
            member=request.remote,
            upstream=asked.upstream,
            purpose=asked.purpose.value,
            verdict=verdict.value,
            status=status,
            seconds=clock.now() - began_at,
            detail=detail,
        )


def _verdict(failure: sendresults.FailedSend) -> hops.Verdict:
    if failure.fate is fate.Fate.NOT_SENT:
        return hops.Verdict.UNREACHABLE
    if failure.is_disconnect:
        return hops.Verdict.INTERRUPTED
    return hops.Verdict.SILENT


def _max_in_flight() -> int:
    """Return how many requests are proxied at the same time."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    affordable = int(_DESCRIPTOR_SHARE * descriptors / 2)
    return max(1, min(affordable, _MAX_IN_FLIGHT))
