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

"""Sends requests to upstreams, and tells what became of each send.

A send has one of four fates (`core/fate`). Nothing is ever sent twice by
the client library. Requests that may run only once go over a connection of
their own: on a kept one, a close by the upstream that crosses the request
leaves open whether it ran.

An answer counts only if it bears the id of the request. An upstream may
send a second answer, late, where the next one is due: a kept connection on
which bytes came unasked is closed, and an answer with another id is none.
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
"""Seconds for which an idle connection is kept. Upstreams close theirs
later; an early close costs a handshake, a late one a failed send."""
MAX_RESPONSE_BYTES: typing.Final = 16 * 1024 * 1024
"""Bytes of a plain answer that are held in memory."""
_UNACKNOWLEDGED_MS: typing.Final = 2000
"""Milliseconds after which a connection whose peer acknowledges nothing is
given up; a VM without power never closes its connections."""
_ENDING: typing.Final = 0.005
"""Seconds in which a process that ends closes one socket after another."""
_LOOK: typing.Final = 0.1
"""Seconds for a connection that only shows whether somebody listens."""
_MOST_HEADERS: typing.Final = 32768
_WRONG_INSTANCE: typing.Final = 421
"""Status of a request that was meant for another upstream, or stage."""
_SKIPPED: typing.Final = (
    'Accept',
    'Accept-Encoding',
    'User-Agent',
    'Content-Type',
)
"""Headers that the client library would add."""

Headers = multidict.CIMultiDict[str]
ResponseHeadListener = typing.Callable[
    [ids.UpstreamId, float, calls.ResponseHead], None
]


@dataclasses.dataclass(frozen=True)
class FailedSend:
    """A send without an answer that can be used.

    Attributes:
        fate: what is known of it.
        head: of the answer, where there was one.
        is_cut: whether the connection broke, and not our patience.
    """

    fate: fate.Fate
    detail: str
    head: calls.ResponseHead | None = None
    is_disconnect: bool = False


class _Protocol(client_proto.ResponseHandler):
    """A connection whose reset never looks like the end of an answer.

    The event loop's library reports the end of the stream, and not the
    reset, when the last bytes and a reset arrive together. The socket still
    knows: its pending error is asked for at each end.
    """

    def eof_received(self) -> None:
        """Look whether the end is a reset."""
        pending = 0
        connection = self.transport and self.transport.get_extra_info('socket')
        if connection:
            pending = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if pending:
            self._fail_body(ConnectionResetError(pending, 'reset at the end'))
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body without a length that ends by a reset."""
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
    """Connections to upstreams; those that carry unasked bytes are closed."""

    def __init__(self, keep: bool) -> None:
        if keep:
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
        kept = self._conns.get(key)
        if kept is not None:
            clean = [pair for pair in kept if not pair[0].should_close]
            for protocol, _ in kept:
                if protocol.should_close:
                    protocol.close()
            self._conns[key] = collections.deque(clean)
            if not clean:
                del self._conns[key]
        return await super()._get(key, traces)


def create_socket(address: typing.Any) -> socket.socket:
    """Return a socket that notices a peer without power."""
    family, kind, protocol, _, _ = address
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS
    )
    return made


class Response:
    """An answer whose head has come.

    Args:
        response: of the client library.
        head: decoded.
        upstream: that answers.
        waits: of the process.
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
        """Return the whole body; None if it broke off."""
        try:
            async with self._waits.limit(self._upstream, None):
                return await self._collected()
        except asyncio.TimeoutError:
            return None

    async def _collected(self) -> bytes | None:
        data = bytearray()
        try:
            async for chunk in self._response.content.iter_any():
                data += chunk
                if len(data) > MAX_RESPONSE_BYTES:
                    self.close()
                    return None
        except http.ERRORS:
            self.close()
            return None
        except BaseException:
            self.close()
            raise
        return bytes(data)

    async def read(self, timeout: float) -> bytes | FailedSend:
        """Return the next bytes, or none at the end.

        Args:
            timeout: seconds of silence after which the stream is lost.
        """
        try:
            async with self._waits.limit(self._upstream, timeout):
                return await self._response.content.readany()
        except asyncio.TimeoutError:
            return FailedSend(fate.Fate.UNCERTAIN, 'silent')
        except http.ERRORS as error:
            detail = f'{type(error).__name__} {error}'
            return FailedSend(fate.Fate.UNCERTAIN, detail, is_disconnect=True)

    def close(self) -> None:
        """Close the connection: the upstream stops its work."""
        self._response.close()


class Sender:
    """Connections of one process to all upstreams.

    Attributes:
        on_head: called with the head of each answer to a request that was
            sent, and when it was sent (monotonic seconds).
    """

    def __init__(self) -> None:
        self.waits = inflight.Waits()
        self.on_response_head: ResponseHeadListener = (
            lambda upstream, sent_at, head: None
        )
        self._kept = _session(keep=True)
        self._fresh = _session(keep=False)

    async def close(self) -> None:
        """Close all connections."""
        await self._kept.close()
        await self._fresh.close()

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
                response = await self._session(use_pool).request(
                    request.method,
                    _url(upstream.address, request.target),
                    data=request.body or None,
                    headers=headers,
                    skip_auto_headers=_SKIPPED,
                    allow_redirects=False,
                    timeout=limit,
                )
        except http.NOT_CONNECTED as error:
            return FailedSend(fate.Fate.NOT_SENT, repr(error))
        except asyncio.TimeoutError:
            return FailedSend(fate.Fate.UNCERTAIN, 'no answer')
        except http.ERRORS as error:
            return FailedSend(
                fate.Fate.UNCERTAIN, repr(error), is_disconnect=True
            )
        head = decode(response.status, response.raw_headers)
        answer = Response(response, head, upstream.id, self.waits)
        if _is_of(head, request):
            self.on_response_head(upstream.id, sent_at, head)
        return await self._checked(request, answer)

    def _session(self, keep: bool) -> aiohttp.ClientSession:
        return self._kept if keep else self._fresh

    async def _checked(
        self, request: calls.Call, answer: Response
    ) -> Response | FailedSend:
        head = answer.head
        if head.request_id and head.request_id != request.id:
            answer.close()
            detail = f'answer to {head.request_id}'
            return FailedSend(fate.Fate.UNCERTAIN, detail)
        if head.not_executed and head.status >= 400:
            await answer.body()
            detail = f'refused with {head.status}'
            return FailedSend(fate.Fate.REFUSED, detail, head=head)
        return answer

    async def refuses_connections(self, upstream: upstreams.Upstream) -> bool:
        """Return whether nobody listens at the address of an upstream.

        Where no answer comes at all, nothing is known of it.
        """
        await asyncio.sleep(_ENDING)
        host, _, port = upstream.address.rpartition(':')
        try:
            async with timeouts.limit(_LOOK):
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
    ) -> tuple[int, bytes] | errors.Failure:
        """Make a call of our own with a small answer."""
        if self._kept.closed:
            # At the end of a stop; what engines hold lapses by itself.
            return errors.Failure(errors.UPSTREAM_UNREACHABLE, 'closed')
        url = _url(address, path)
        try:
            async with (
                timeouts.limit(timeout),
                self._kept.request(
                    method,
                    url,
                    data=body,
                    headers=headers,
                    skip_auto_headers=_SKIPPED,
                ) as response,
            ):
                return response.status, await response.read()
        except http.ERRORS as error:
            return errors.Failure(errors.UPSTREAM_UNREACHABLE, repr(error))


def _is_of(head: calls.ResponseHead, request: calls.Call) -> bool:
    """Return whether an answer tells of the upstream that was meant.

    A late answer to another request tells of an earlier time, and one that
    refuses the wrong instance is of another upstream.
    """
    is_late = bool(head.request_id) and head.request_id != request.id
    return not is_late and head.status != _WRONG_INSTANCE


def _session(keep: bool) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=_Connector(keep),
        timeout=http.NO_LIMIT,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(http.send_once,),
        max_line_size=_MOST_HEADERS,
        max_field_size=_MOST_HEADERS,
    )


def _url(address: str, target: str) -> yarl.URL:
    """Return a URL whose path and query are sent to the byte."""
    host, _, port = address.rpartition(':')
    return yarl.URL.build(
        scheme='http',
        host=host,
        port=int(port),
        path=target,
        encoded=True,
    )
