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

"""Sends requests to upstreams and classifies the result of each send.

A send has one of four fates (`core/fate`). The client library never retries
by itself. Requests that may be executed only once use a new connection each:
if an upstream closes a pooled connection while a request is on its way, it
is unknown whether the request was executed.

A response is accepted only if it carries the id of the request. An upstream
may send a late second response where the next one is expected, so a pooled
connection that received unsolicited bytes is closed, and a response with
another id is rejected.
"""

import asyncio
import enum
import typing

import aiohttp
import multidict

from galenahatch import clock
from galenahatch.core import fate
from galenahatch.core import memorybudget
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import flowcontrol
from galenahatch.gateway import hops
from galenahatch.gateway import inflight
from galenahatch.gateway import overload
from galenahatch.gateway import sendresults
from galenahatch.gateway import sessions
from galenahatch import ids
from galenahatch import timeouts
from galenahatch.upstream import http

_SOCKET_CLOSE_GRACE_S: typing.Final = 0.005
"""Time in which an exiting process closes its sockets one by one."""
_PROBE_TIMEOUT_S: typing.Final = 0.1
"""Timeout of a connection that only checks whether the port is open."""
_MISDIRECTED_STATUS: typing.Final = 421
"""Status of a request that was addressed to another upstream or stage."""
_SKIPPED_AUTO_HEADERS: typing.Final = (
    'Accept',
    'Accept-Encoding',
    'User-Agent',
    'Content-Type',
)
"""Headers that the client library would add by default."""

_ANSWERED: typing.Final = sendresults.Cause.UPSTREAM
"""Cause of a failure that the upstream states itself."""
_DECLINED: typing.Final = {
    hops.Verdict.DECLINED: sendresults.Cause.PROXY,
    hops.Verdict.NOT_HERE: sendresults.Cause.PROXY_PATH,
}
_REQUESTS: typing.Final = memorybudget.Direction.REQUESTS

Headers = multidict.CIMultiDict[str]
ResponseHeadListener = typing.Callable[
    [ids.UpstreamId, float, calls.ResponseHead], None
]


class Reach(enum.Enum):
    """Result of a connection that only checks whether the port is open."""

    CONNECTED = 'connected'
    REFUSED = 'refused'
    SILENT = 'silent'


class Outgoing(typing.NamedTuple):
    """A request to send.

    Attributes:
        timeout: Seconds until the head of the response must have arrived.
        connect_timeout: Seconds for establishing a connection.
        use_pool: Whether to use a pooled connection and keep it open.
        id: Id of the request, for logs.
        abandonment: Ends the wait for the head of the response.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    timeout: float
    connect_timeout: float
    use_pool: bool
    id: str
    abandonment: inflight.Abandonment | None = None


class Sender:
    """Sends requests to all upstreams of one process.

    Args:
        flow: Flow control of this process; None if bytes are not counted.
        own_address: IP address of this VM, from which proxies are contacted;
            empty for any.
        meter: Counts what is written and read.

    Attributes:
        waits: Waits for upstreams that are in progress.
        on_response_head: Called with the upstream, the time of the send
            (monotonic seconds) and the head of each response to that send.
    """

    def __init__(
        self,
        flow: flowcontrol.FlowControl | None = None,
        own_address: str = '',
        meter: overload.Meter | None = None,
    ) -> None:
        self._flow = flow
        self._limits_buffers = flowcontrol.paces_callers(flow)
        self._meter = meter or overload.Meter()
        self._own_address = own_address
        self._hop_sessions: dict[bool, aiohttp.ClientSession] = {}
        self.waits = inflight.Waits()
        self.on_response_head: ResponseHeadListener = (
            lambda upstream, sent_at, head: None
        )
        self._pooled_session, self._unpooled_session = (
            sessions.create(is_pooled, self._limits_buffers, self._meter)
            for is_pooled in (True, False)
        )

    @property
    def meter(self) -> overload.Meter:
        """Counts what is written to connections."""
        return self._meter

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled_session.close()
        await self._unpooled_session.close()
        for session in self._hop_sessions.values():
            await session.close()

    async def send(
        self,
        upstream: upstreams.Upstream,
        request: calls.Call,
        headers: Headers,
        decode: typing.Callable[[int, typing.Any], calls.ResponseHead],
        timeout: float,
        connect_timeout: float,
        use_pool: bool,
        hop: hops.Hop | None = None,
        abandonment: inflight.Abandonment | None = None,
    ) -> sendresults.Response | sendresults.FailedSend:
        """Send a request and return the head of its response.

        Args:
            upstream: Destination of the request.
            decode: Parses the status and the raw headers of the response.
            timeout: Seconds until the head must have arrived.
            connect_timeout: Seconds for establishing a connection.
            use_pool: Whether to use a pooled connection and keep it open.
            hop: Gateway that proxies the request; None to send it directly.
            abandonment: Ends the wait for the head before the timeout.
        """
        sent_at = clock.now()
        limits = (timeout, connect_timeout, use_pool)
        with flowcontrol.hold(self._flow, _REQUESTS, len(request.body)):
            outgoing = Outgoing(
                request.method,
                request.target,
                headers,
                request.body,
                *limits,
                request.id,
                abandonment,
            )
            response = await self.forward(upstream, outgoing, hop)
        if isinstance(response, sendresults.FailedSend):
            return response
        head = decode(response.status, _upstream_headers(response, hop))
        result = sendresults.Response(
            response, head, upstream.id, self.waits, self._flow, _cause(hop)
        )
        if is_about_upstream(head, request.id):
            self.on_response_head(upstream.id, sent_at, head)
        return await self._check_response(request, result, sent_at + timeout)

    async def forward(
        self,
        upstream: upstreams.Upstream,
        request: Outgoing,
        hop: hops.Hop | None = None,
    ) -> aiohttp.ClientResponse | sendresults.FailedSend:
        """Send a request and return the upstream's response as received.

        Args:
            upstream: Destination of the request.
            request: What to send, and how.
            hop: Gateway that proxies the request; None to send it directly.
        """
        try:
            async with self.waits.limit(
                upstream.id, request.timeout, request.abandonment
            ):
                response = await self._request(upstream, request, hop)
        except http.NOT_CONNECTED as error:
            is_unsendable = isinstance(error, http.UnsendableError)
            cause = (
                sendresults.Cause.UPSTREAM if is_unsendable else _cause(hop)
            )
            return sendresults.FailedSend(
                fate.Fate.NOT_SENT, repr(error), cause=cause
            )
        except asyncio.TimeoutError:
            return sendresults.FailedSend(
                fate.Fate.UNCERTAIN, 'no answer', cause=_cause(hop)
            )
        except http.CLIENT_ERRORS as error:
            return sendresults.FailedSend(
                fate.Fate.UNCERTAIN,
                repr(error),
                is_disconnect=hop is None,
                cause=_cause(hop),
            )
        if hop is None:
            return response
        failure = proxy_failure(hops.verdict(response.raw_headers))
        if failure is not None:
            response.release()
        return failure or response

    async def _request(
        self,
        upstream: upstreams.Upstream,
        request: Outgoing,
        hop: hops.Hop | None,
    ) -> aiohttp.ClientResponse:
        address, headers = upstream.address, request.headers
        if hop is not None:
            address = hop.address
            headers = hop.add_headers(
                headers, request.id, request.use_pool, request.timeout
            )
        return await self._session(request.use_pool, hop).request(
            request.method,
            sessions.url(address, request.target),
            data=request.body or None,
            headers=headers,
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=request.connect_timeout
            ),
        )

    def _session(
        self, use_pool: bool, hop: hops.Hop | None
    ) -> aiohttp.ClientSession:
        if hop is None:
            return self._pooled_session if use_pool else self._unpooled_session
        session = self._hop_sessions.get(use_pool)
        if session is None:
            session = self._hop_sessions[use_pool] = sessions.create(
                use_pool,
                self._limits_buffers,
                self._meter,
                self._own_address,
            )
        return session

    async def _check_response(
        self,
        request: calls.Call,
        response: sendresults.Response,
        deadline: float,
    ) -> sendresults.Response | sendresults.FailedSend:
        head = response.head
        if head.request_id and head.request_id != request.id:
            response.close()
            detail = f'response to request {head.request_id}'
            return sendresults.FailedSend(
                fate.Fate.UNCERTAIN, detail, cause=_ANSWERED
            )
        if head.not_executed and head.status >= 400:
            time_left = deadline - clock.now()
            await response.body(time_left, sendresults.MAX_SMALL_BYTES)
            detail = f'refused with {head.status}'
            return sendresults.FailedSend(
                fate.Fate.REFUSED, detail, head=head, cause=_ANSWERED
            )
        return response

    async def check_port(
        self, address: str, timeout: float = _PROBE_TIMEOUT_S
    ) -> Reach:
        """Return whether a new connection to an address succeeds."""
        try:
            host, port = sessions.split_address(address)
            async with timeouts.limit(timeout):
                _, writer = await asyncio.open_connection(
                    host.strip('[]'), port
                )
        except ConnectionRefusedError:
            return Reach.REFUSED
        except (OSError, ValueError, asyncio.TimeoutError):
            return Reach.SILENT
        writer.close()
        return Reach.CONNECTED

    async def refuses_connections(self, upstream: upstreams.Upstream) -> bool:
        """Return whether an upstream's address refuses connections.

        A timeout returns False, as it proves nothing.
        """
        await asyncio.sleep(_SOCKET_CLOSE_GRACE_S)
        return await self.check_port(upstream.address) is Reach.REFUSED

    async def request_small(
        self,
        method: str,
        address: str,
        path: str,
        timeout: float,
        body: bytes | None = None,
        hop: hops.Hop | None = None,
        headers: typing.Mapping[str, str] | None = None,
    ) -> sendresults.SmallResponse | errors.Failure:
        """Send a request of the gateway itself; the response must be small."""
        if self._pooled_session.closed:
            # The process is exiting; handles at the engines just expire.
            return errors.Failure(errors.UPSTREAM_UNREACHABLE, 'closed')
        if hop is not None:
            headers = hop.add_headers(headers or {}, '', True, timeout)
        try:
            url = sessions.url(address if hop is None else hop.address, path)
            async with (
                timeouts.limit(timeout),
                self._session(True, hop).request(
                    method,
                    url,
                    data=body,
                    headers=headers,
                    skip_auto_headers=_SKIPPED_AUTO_HEADERS,
                ) as response,
            ):
                content = await http.read_all(
                    response, sendresults.MAX_SMALL_BYTES
                )
                if isinstance(content, errors.Failure):
                    return content
                return sendresults.SmallResponse(
                    response.status, content, response.raw_headers
                )
        except http.CLIENT_ERRORS as error:
            return errors.Failure(errors.UPSTREAM_UNREACHABLE, repr(error))


def _upstream_headers(
    response: aiohttp.ClientResponse, hop: hops.Hop | None
) -> hops.RawHeaders:
    """Return the headers that the upstream set."""
    if hop is None:
        return response.raw_headers
    return hops.remove_headers(response.raw_headers)


def _cause(hop: hops.Hop | None) -> sendresults.Cause:
    """Return what a send without a verdict failed at."""
    # A proxy that fails proves nothing about the upstream.
    is_direct = hop is None
    return sendresults.Cause.UNKNOWN if is_direct else sendresults.Cause.PROXY


def proxy_failure(
    verdict: hops.Verdict | None,
) -> sendresults.FailedSend | None:
    """Return the failure that a proxy states; None if the upstream answered.

    Only a proxy that sent nothing says so. An answer without a verdict is not
    one of a proxy's handler, so anything may have happened.
    """
    if verdict is hops.Verdict.ANSWERED:
        return None
    if verdict is hops.Verdict.UNREACHABLE or verdict is hops.Verdict.REFUSED:
        return sendresults.FailedSend(
            fate.Fate.NOT_SENT,
            f'proxy: {verdict.value}',
            cause=sendresults.Cause.UPSTREAM,
        )
    if verdict in _DECLINED:
        return sendresults.FailedSend(
            fate.Fate.NOT_SENT,
            f'proxy: {verdict.value}',
            cause=_DECLINED[verdict],
        )
    return sendresults.FailedSend(
        fate.Fate.UNCERTAIN,
        f'proxy: {verdict.value if verdict is not None else "no verdict"}',
        is_disconnect=verdict is hops.Verdict.INTERRUPTED,
        cause=sendresults.Cause.PROXY
        if verdict is None
        else sendresults.Cause.UPSTREAM,
    )


def is_about_upstream(head: calls.ResponseHead, request: str) -> bool:
    """Return whether a head describes the current state of the upstream.

    A late response to another request describes an earlier state, and a
    misdirected request was answered by another upstream.

    Args:
        head: Head of the response.
        request: Id of the request that was sent.
    """
    is_other_request = bool(head.request_id) and head.request_id != request
    return not is_other_request and head.status != _MISDIRECTED_STATUS
