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
import dataclasses
import typing

import aiohttp
import multidict
import yarl

from galenahatch import clock
from galenahatch.core import fate
from galenahatch.core import memorybudget
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import flowcontrol
from galenahatch.gateway import inflight
from galenahatch.gateway import sessions
from galenahatch import ids
from galenahatch import timeouts
from galenahatch.upstream import http

MAX_RESPONSE_BYTES: typing.Final = 16 * 1024 * 1024
"""Size limit of a response that is buffered in memory."""
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

_REQUESTS: typing.Final = memorybudget.Direction.REQUESTS

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


class Response:
    """A response whose head has been received.

    Args:
        response: Response object of the client library.
        head: Decoded status and headers.
        upstream: Upstream that sent the response.
        waits: Waits of this process, which limit each read.
        flow: Flow control of this process; None if it is off.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        head: calls.ResponseHead,
        upstream: ids.UpstreamId,
        waits: inflight.Waits,
        flow: flowcontrol.FlowControl | None,
    ) -> None:
        self.head = head
        self._flow = flow
        self._response = response
        self._upstream = upstream
        self._waits = waits

    async def body(self) -> bytes | None:
        """Return the body; None if it is incomplete or too large."""
        try:
            async with self._waits.limit(self._upstream, None):
                direction = memorybudget.Direction.ANSWERS
                with flowcontrol.hold(self._flow, direction) as holding:
                    return await self._read_body(holding)
        except asyncio.TimeoutError:
            return None

    async def _read_body(
        self, holding: memorybudget.Holding | None
    ) -> bytes | None:
        # One growing buffer would be copied as it grows. Joining the chunks
        # needs their size once more.
        chunks: list[bytes] = []
        size = 0
        try:
            async for chunk in self._response.content.iter_any():
                chunks.append(chunk)
                size += len(chunk)
                has_room = (
                    self._flow is None
                    or holding is None
                    or await self._flow.take(holding, 2 * len(chunk))
                )
                if size > MAX_RESPONSE_BYTES or not has_room:
                    self.close()
                    return None
        except http.CLIENT_ERRORS:
            self.close()
            return None
        except BaseException:
            self.close()
            raise
        return b''.join(chunks)

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

    Args:
        flow: Flow control of this process; None if it is off.

    Attributes:
        waits: Waits for upstreams that are in progress.
        on_response_head: Called with the upstream, the time of the send
            (monotonic seconds) and the head of each response to that send.
    """

    def __init__(self, flow: flowcontrol.FlowControl | None = None) -> None:
        self._flow = flow
        self.waits = inflight.Waits()
        self.on_response_head: ResponseHeadListener = (
            lambda upstream, sent_at, head: None
        )
        self._pooled_session = sessions.create(True, flow is not None)
        self._unpooled_session = sessions.create(False, flow is not None)

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
                with flowcontrol.hold(
                    self._flow, _REQUESTS, len(request.body)
                ):
                    response = await self._request(
                        upstream, request, headers, limit, use_pool
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
        result = Response(response, head, upstream.id, self.waits, self._flow)
        if _is_about_upstream(head, request):
            self.on_response_head(upstream.id, sent_at, head)
        return await self._check_response(request, result)

    async def _request(
        self,
        upstream: upstreams.Upstream,
        request: calls.Call,
        headers: Headers,
        timeout: aiohttp.ClientTimeout,
        use_pool: bool,
    ) -> aiohttp.ClientResponse:
        session = self._pooled_session if use_pool else self._unpooled_session
        return await session.request(
            request.method,
            _url(upstream.address, request.target),
            data=request.body or None,
            headers=headers,
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
            allow_redirects=False,
            timeout=timeout,
        )

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
