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
import collections
import dataclasses
import socket
import typing

import aiohttp
from aiohttp import client_proto
from aiohttp import connector as connectors
import multidict
import yarl

from galenahatch import clock
from galenahatch.core import fate
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import inflight
from galenahatch import ids
from galenahatch import timeouts
from galenahatch.upstream import http

KEEP_ALIVE_S: typing.Final = 4.0
"""Idle timeout of pooled connections, shorter than that of upstreams: closing
early costs a handshake, closing late a failed send."""
MAX_RESPONSE_BYTES: typing.Final = 16 * 1024 * 1024
"""Size limit of a response that is buffered in memory."""
_TCP_USER_TIMEOUT_MS: typing.Final = 2000
"""Connections are dropped if the peer acknowledges nothing for this long; a VM
that lost power never closes its connections."""
_SOCKET_CLOSE_GRACE_S: typing.Final = 0.005
"""Time in which an exiting process closes its sockets one by one."""
_PROBE_TIMEOUT_S: typing.Final = 0.1
"""Timeout of a connection that only checks whether the port is open."""
_MAX_HEADER_BYTES: typing.Final = 32768
_MISDIRECTED_STATUS: typing.Final = 421
"""Status of a request that was addressed to another upstream or stage."""
_SKIPPED_AUTO_HEADERS: typing.Final = (
    'Accept',
    'Accept-Encoding',
    'User-Agent',
    'Content-Type',
)
"""Headers that the client library would add by default."""

Headers = multidict.CIMultiDict[str]
ResponseHeadListener = typing.Callable[
    [ids.UpstreamId, float, calls.ResponseHead], None
]


@dataclasses.dataclass(frozen=True)
class FailedSend:
    """A send without a usable response.

    Attributes:
        fate: What is known about the execution of the request.
        head: Head of the response, if one was received.
        is_disconnect: Whether the connection broke, as opposed to a timeout.
    """

    fate: fate.Fate
    detail: str
    head: calls.ResponseHead | None = None
    is_disconnect: bool = False


class SmallResponse(typing.NamedTuple):
    """Complete response to a request of the gateway itself."""

    status: int
    body: bytes
    raw_headers: tuple[tuple[bytes, bytes], ...]


class _Protocol(client_proto.ResponseHandler):
    """Protocol that never mistakes a connection reset for a regular EOF.

    When the last bytes and a reset arrive together, the event loop reports
    EOF instead of the reset. The socket still has the pending error, which is
    checked at each EOF.
    """

    def eof_received(self) -> None:
        """Fail the body if the EOF is in fact a reset."""
        pending_error = 0
        sock = self.transport and self.transport.get_extra_info('socket')
        if sock:
            pending_error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if pending_error:
            self._fail_body(
                ConnectionResetError(pending_error, 'reset at the end')
            )
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body of unknown length that is ended by a reset."""
        if exc is not None:
            self._fail_body(exc)
        super().connection_lost(exc)

    def _fail_body(self, exc: BaseException) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(repr(exc)))
            self._payload = None
            self._parser = None


class _Connector(http.Connector):
    """Connector that closes pooled connections with unsolicited bytes."""

    def __init__(self, pooled: bool) -> None:
        if pooled:
            super().__init__(
                limit=0,
                keepalive_timeout=KEEP_ALIVE_S,
                socket_factory=create_socket,
            )
        else:
            super().__init__(
                limit=0, force_close=True, socket_factory=create_socket
            )
        loop = self._loop
        self._factory = lambda: _Protocol(loop=loop)  # type: ignore

    async def _get(
        self,
        key: typing.Any,
        traces: list[typing.Any],
    ) -> connectors.Connection | None:
        pooled = self._conns.get(key)
        if pooled is not None:
            reusable = [pair for pair in pooled if not pair[0].should_close]
            for protocol, _ in pooled:
                if protocol.should_close:
                    protocol.close()
            self._conns[key] = collections.deque(reusable)
            if not reusable:
                del self._conns[key]
        return await super()._get(key, traces)


def create_socket(address: typing.Any) -> socket.socket:
    """Return a TCP socket that detects a peer that has lost power."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
    )
    return sock


class Response:
    """A response whose head has been received.

    Args:
        response: Response object of the client library.
        head: Decoded status and headers.
        upstream: Upstream that sent the response.
        waits: Waits of this process, which limit each read.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        head: calls.ResponseHead,
        upstream: ids.UpstreamId,
        waits: inflight.Waits,
    ) -> None:
        self.head = head
        self._response = response
        self._upstream = upstream
        self._waits = waits

    async def body(self) -> bytes | None:
        """Return the body; None if it is incomplete or too large."""
        try:
            async with self._waits.limit(self._upstream, None):
                return await self._read_body()
        except asyncio.TimeoutError:
            return None

    async def _read_body(self) -> bytes | None:
        data = bytearray()
        try:
            async for chunk in self._response.content.iter_any():
                data += chunk
                if len(data) > MAX_RESPONSE_BYTES:
                    self.close()
                    return None
        except http.CLIENT_ERRORS:
            self.close()
            return None
        except BaseException:
            self.close()
            raise
        return bytes(data)

    async def read(self, timeout: float) -> bytes | FailedSend:
        """Return the next bytes, or empty bytes at the end.

        Args:
            timeout: Seconds of silence after which the read fails.
        """
        try:
            async with self._waits.limit(self._upstream, timeout):
                return await self._response.content.readany()
        except asyncio.TimeoutError:
            return FailedSend(fate.Fate.UNCERTAIN, 'silent')
        except http.CLIENT_ERRORS as error:
            detail = f'{type(error).__name__} {error}'
            return FailedSend(fate.Fate.UNCERTAIN, detail, is_disconnect=True)

    def close(self) -> None:
        """Close the connection, which makes the upstream abort its work."""
        self._response.close()


class Sender:
    """Sends requests to all upstreams of one process.

    Attributes:
        waits: Waits for upstreams that are in progress.
        on_response_head: Called with the upstream, the time of the send
            (monotonic seconds) and the head of each response to that send.
    """

    def __init__(self) -> None:
        self.waits = inflight.Waits()
        self.on_response_head: ResponseHeadListener = (
            lambda upstream, sent_at, head: None
        )
        self._pooled_session = _create_session(pooled=True)
        self._unpooled_session = _create_session(pooled=False)

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled_session.close()
        await self._unpooled_session.close()

    async def send(
        self,
        upstream: upstreams.Upstream,
        request: calls.Call,
        headers: Headers,
        decode: typing.Callable[[int, typing.Any], calls.ResponseHead],
        timeout: float,
        connect_timeout: float,
        use_pool: bool,
    ) -> Response | FailedSend:
        """Send a request and return the head of its response.

        Args:
            upstream: Destination of the request.
            decode: Parses the status and the raw headers of the response.
            timeout: Seconds until the head must have arrived.
            connect_timeout: Seconds for establishing a connection.
            use_pool: Whether to use a pooled connection and keep it open.
        """
        limit = aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout)
        sent_at = clock.now()
        try:
            async with self.waits.limit(upstream.id, timeout):
                response = await self._session_for(use_pool).request(
                    request.method,
                    _url(upstream.address, request.target),
                    data=request.body or None,
                    headers=headers,
                    skip_auto_headers=_SKIPPED_AUTO_HEADERS,
                    allow_redirects=False,
                    timeout=limit,
                )
        except http.NOT_CONNECTED as error:
            return FailedSend(fate.Fate.NOT_SENT, repr(error))
        except asyncio.TimeoutError:
            return FailedSend(fate.Fate.UNCERTAIN, 'no answer')
        except http.CLIENT_ERRORS as error:
            return FailedSend(
                fate.Fate.UNCERTAIN, repr(error), is_disconnect=True
            )
        head = decode(response.status, response.raw_headers)
        result = Response(response, head, upstream.id, self.waits)
        if _is_about_upstream(head, request):
            self.on_response_head(upstream.id, sent_at, head)
        return await self._check_response(request, result)

    def _session_for(self, use_pool: bool) -> aiohttp.ClientSession:
        return self._pooled_session if use_pool else self._unpooled_session

    async def _check_response(
        self, request: calls.Call, response: Response
    ) -> Response | FailedSend:
        head = response.head
        if head.request_id and head.request_id != request.id:
            response.close()
            detail = f'response to request {head.request_id}'
            return FailedSend(fate.Fate.UNCERTAIN, detail)
        if head.not_executed and head.status >= 400:
            await response.body()
            detail = f'refused with {head.status}'
            return FailedSend(fate.Fate.REFUSED, detail, head=head)
        return response

    async def refuses_connections(self, upstream: upstreams.Upstream) -> bool:
        """Return whether an upstream's address refuses connections.

        A timeout returns False, as it proves nothing.
        """
        await asyncio.sleep(_SOCKET_CLOSE_GRACE_S)
        host, _, port = upstream.address.rpartition(':')
        try:
            async with timeouts.limit(_PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, asyncio.TimeoutError):
            return False
        writer.close()
        return False

    async def request_small(
        self,
        method: str,
        address: str,
        path: str,
        timeout: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> SmallResponse | errors.Failure:
        """Send a request of the gateway itself; the response must be small."""
        if self._pooled_session.closed:
            # The process is exiting; handles at the engines just expire.
            return errors.Failure(errors.UPSTREAM_UNREACHABLE, 'closed')
        url = _url(address, path)
        try:
            async with (
                timeouts.limit(timeout),
                self._pooled_session.request(
                    method,
                    url,
                    data=body,
                    headers=headers,
                    skip_auto_headers=_SKIPPED_AUTO_HEADERS,
                ) as response,
            ):
                content = await response.read()
                return SmallResponse(
                    response.status, content, response.raw_headers
                )
        except http.CLIENT_ERRORS as error:
            return errors.Failure(errors.UPSTREAM_UNREACHABLE, repr(error))


def _is_about_upstream(head: calls.ResponseHead, request: calls.Call) -> bool:
    """Return whether a head describes the current state of the upstream.

    A late response to another request describes an earlier state, and a
    misdirected request was answered by another upstream.
    """
    is_other_request = bool(head.request_id) and head.request_id != request.id
    return not is_other_request and head.status != _MISDIRECTED_STATUS


def _create_session(pooled: bool) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=_Connector(pooled),
        timeout=http.NO_TIMEOUT,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(http.send_once,),
        max_line_size=_MAX_HEADER_BYTES,
        max_field_size=_MAX_HEADER_BYTES,
    )


def _url(address: str, target: str) -> yarl.URL:
    """Return a URL whose path and query are sent byte for byte."""
    host, _, port = address.rpartition(':')
    return yarl.URL.build(
        scheme='http',
        host=host,
        port=int(port),
        path=target,
        encoded=True,
    )
