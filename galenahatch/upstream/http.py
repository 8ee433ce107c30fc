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

"""HTTP sessions for upstreams and classification of failed sends.

If no connection was established, no byte was sent and the work did not run.
After any later failure, whether it ran is unknown.

The client library retries a GET, PUT or DELETE by itself when the connection
breaks, even a new one. No layer may send work twice that may run only once,
so its session converts the errors on which the library retries into errors
that the library propagates.
"""

import asyncio
import collections.abc
import re
import time
import typing

import aiohappyeyeballs
import aiohttp
from aiohttp import client_proto
from aiohttp import http_exceptions

from galenahatch import errors
from galenahatch import timeouts
from galenahatch.upstream import receiving
from galenahatch.upstream import sockets

CLIENT_ERRORS: typing.Final = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    OSError,
    # What the library can't write or read.
    ValueError,
)
NO_TIMEOUT: typing.Final = aiohttp.ClientTimeout(total=None)
MAX_BODY_BYTES: typing.Final = 8 * 1024 * 1024
_MIN_STATUS: typing.Final = 100
_MAX_STATUS: typing.Final = 599
_MIN_FINAL_STATUS: typing.Final = 200
_FIRST_REDIRECT: typing.Final = 300
_SWITCHING_PROTOCOLS: typing.Final = 101
"""An interim status after which no answer in HTTP comes."""
_CODINGS_FORMAT: typing.Final = re.compile(
    r'[ \t]*chunked[ \t]*', re.IGNORECASE
)
_NOT_IN_NAMES: typing.Final = re.compile(rb"[^!#$%&'*+.^_`|~0-9A-Za-z:-]")
_FORBIDDEN_CHARS: typing.Final = '[\x00-\x08\x0a-\x1f\x7f]'
_NOT_IN_VALUES: typing.Final = re.compile(_FORBIDDEN_CHARS)
_NOT_IN_RAW_VALUES: typing.Final = re.compile(_FORBIDDEN_CHARS.encode())
_MAX_LENGTH_DIGITS: typing.Final = 18
_LIBRARY_CONNECT_ERRORS: typing.Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)


class NotConnectedError(aiohttp.ClientError):
    """No connection was established, so no byte was sent."""


class UnsendableError(NotConnectedError):
    """The request has an address or header that can't be written."""


class ConnectionLostError(aiohttp.ClientError):
    """The connection broke when data may have been sent."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request without the client library's own retry.

    Raises:
        NotConnectedError: no connection was established.
        UnsendableError: a header can't be written.
        ConnectionLostError: the connection broke when data may have been
            sent.
    """
    for name, value in request.headers.items():
        if _NOT_IN_VALUES.search(name) or _NOT_IN_VALUES.search(value):
            raise UnsendableError(f'header {name!r}: forbidden character')
    try:
        return await handler(request)
    except _LIBRARY_CONNECT_ERRORS as error:
        raise NotConnectedError(str(error)) from error
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(str(error)) from error


NOT_CONNECTED: typing.Final = (NotConnectedError, *_LIBRARY_CONNECT_ERRORS)
"""Errors that mean that no connection was established, with or without the
client library's own retry."""


class Protocol(client_proto.ResponseHandler):
    """Protocol that never mistakes a broken connection for a regular EOF.

    A body of unknown length ends with its connection, but not with a reset.
    When the last bytes and a reset arrive together, the event loop reports
    EOF instead of the reset. The socket still has the pending error, which is
    checked at each EOF.

    A server that stops may close its side first and reset the connection a
    moment later, since it didn't read the request. So a successful response
    of unknown length that ends before its whole request has arrived is taken
    for broken. An error is not: servers answer those early, and close.

    It also limits the bytes around a response's body, and the work on them
    (`receiving`). A server in trouble may send interim responses, chunks of
    one byte, extensions of a chunk, trailers or further responses without end.
    The library limits lines and headers only.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._turns = receiving.turns(loop)
        self._framing = receiving.Framing()
        self._has_failed = False
        self._status = 0

    @property
    def has_partial_response(self) -> bool:
        """Whether a part of a head was received that nobody waited for.

        Only meaningful while the connection is idle.
        """
        if self._parser is None:
            return False
        # The parser returns what it has, if a message had begun.
        try:
            return self._parser.feed_eof() is not None
        except http_exceptions.HttpProcessingError:
            return True

    def set_response_params(self, **params: typing.Any) -> None:
        """Prepare for a response."""
        self._framing = receiving.Framing()
        super().set_response_params(**params)

    def feed_data(self, data: typing.Any, size: int = 0) -> None:
        """Take the head of a response, or fail if it can't be used."""
        message, _ = data
        if self._has_failed:
            return
        error = _head_error(message)
        if error:
            self.set_exception(http_exceptions.BadHttpMessage(error))
            if self.transport is not None:
                self.transport.abort()
            return
        framing = self._framing
        if framing.has_head:
            self._break_off('responses behind a response')
        elif message.code >= _MIN_FINAL_STATUS:
            self._status = message.code
            framing.begin_body(message.chunked)
        else:
            framing.interim += 1
            if framing.interim > receiving.MAX_INTERIM:
                self._break_off('too many interim responses')
        if not self._has_failed:
            super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Process received data, and fail if it is hardly part of a body."""
        if self._has_failed:
            return
        began_at = time.perf_counter()
        super().data_received(data)
        payload = self._payload
        body_bytes = payload.total_bytes if payload is not None else 0
        excess = self._framing.excess(
            len(data), body_bytes, not self._reading_paused
        )
        if excess and not self._has_failed:
            self._break_off(excess)
        self._turns.record(self, time.perf_counter() - began_at)

    def _break_off(self, kind: str) -> None:
        """Close the connection of a server that sends what is no response."""
        self._has_failed = True
        error = aiohttp.ClientPayloadError(kind)
        self.fail_body(error)
        self.set_exception(error)
        if self.transport is not None:
            peer = self.transport.get_extra_info('peername') or ('', '')
            self.on_excess(kind, f'{peer[0]}:{peer[1]}')
            self.transport.abort()

    def on_excess(self, kind: str, address: str) -> None:
        """Report a server that sends what is no response.

        Args:
            kind: What it sent, for logs and metrics.
            address: Of the server.
        """

    def receive_in_turn(self, transport: asyncio.Transport) -> None:
        """Receive no more at once than what may be processed at once."""
        transport.set_protocol(
            receiving.Receiver(
                self, self._turns.buffer, lambda: self._framing.receive_bytes
            )
        )

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Receive again, if that was stopped.

        The library asks for it with each piece that is read, and calls the
        parser each time, which cost most of the work on small chunks.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def pause_for_others(self) -> None:
        """Stop receiving while the event loop has other work."""
        self._pause_reading_for_buffer()

    def resume_after_others(self) -> None:
        """Receive again."""
        self._resume_reading_for_buffer()

    def eof_received(self) -> None:
        """Fail the body if the EOF is no regular end."""
        pending_error = sockets.pending_error(self.transport)
        if pending_error:
            self.fail_body(
                ConnectionResetError(pending_error, 'reset at the end')
            )
        elif self._is_cut_short():
            self.fail_body(
                ConnectionAbortedError('ended before the request was sent')
            )
        super().eof_received()

    def _is_cut_short(self) -> bool:
        """Return whether a success ends before its request was received."""
        is_success = self._status < _FIRST_REDIRECT
        return is_success and sockets.has_unsent_bytes(self.transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body of unknown length that is ended by a reset."""
        if exc is not None:
            self.fail_body(exc)
        super().connection_lost(exc)

    def fail_body(self, exc: BaseException) -> None:
        """Fail a body that is incomplete."""
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(repr(exc)))
            self._payload = None
            self._parser = None


def _head_error(message: typing.Any) -> str:
    """Return why the head of a response can't be used, or nothing.

    The library takes any three digits for a status, ignores transfer codings
    that it doesn't know, reads no body at all if its length is the largest
    number, and reads headers that it refuses to write.
    """
    is_status = _MIN_STATUS <= message.code <= _MAX_STATUS
    if not is_status or message.code == _SWITCHING_PROTOCOLS:
        return f'status {message.code}'
    codings = ','.join(message.headers.getall('Transfer-Encoding', ()))
    if codings and not _CODINGS_FORMAT.fullmatch(codings):
        return 'transfer coding'
    if len(message.headers.get('Content-Length', '')) > _MAX_LENGTH_DIGITS:
        return 'length'
    names = b':'.join(name for name, _ in message.raw_headers)
    values = b''.join(value for _, value in message.raw_headers)
    if _NOT_IN_NAMES.search(names) or _NOT_IN_RAW_VALUES.search(values):
        return 'header'
    return ''


class Connector(aiohttp.TCPConnector):
    """Connector that closes each socket exactly once.

    Its connect time-out excludes pauses of this process.
    """

    def __init__(self, **options: typing.Any) -> None:
        super().__init__(**options)
        loop = self._loop
        self._factory = lambda: Protocol(loop)  # type: ignore

    def close_idle(self) -> None:
        """Close the connections that no request uses."""
        for pooled in self._conns.values():
            for protocol, _ in pooled:
                protocol.close()
        self._conns.clear()

    async def _wrap_create_connection(
        self,
        *args: typing.Any,
        addr_infos: list[aiohappyeyeballs.AddrInfoType],
        req: aiohttp.ClientRequest,
        timeout: aiohttp.ClientTimeout,
        client_error: type[Exception] = aiohttp.ClientConnectorError,
        **options: typing.Any,
    ) -> tuple[asyncio.Transport, client_proto.ResponseHandler]:
        """Establish a connection; the kernel does so even in a pause.

        With the library's own time-out, pauses of 0.27 s failed three calls
        in 92 although their upstreams were healthy.
        """
        try:
            async with timeouts.limit(timeout.sock_connect):
                sock = await aiohappyeyeballs.start_connection(
                    addr_infos=addr_infos,
                    local_addr_infos=self._local_addr_infos,
                    loop=self._loop,
                    socket_factory=self._socket_factory,
                )
                return await _open_transport(
                    self._loop.create_connection(*args, **options, sock=sock)
                )
        except asyncio.TimeoutError:
            raise
        except OSError as error:
            raise client_error(req.connection_key, error) from error


async def _open_transport(
    opening: collections.abc.Coroutine[
        typing.Any,
        typing.Any,
        tuple[asyncio.Transport, client_proto.ResponseHandler],
    ],
) -> tuple[asyncio.Transport, client_proto.ResponseHandler]:
    """Return the transport of a connected socket.

    If the event loop is cancelled while it opens a transport, it closes the
    descriptor but leaves the socket object open. That one closes the same
    number once more when it is freed, by then another connection's. So the
    transport is always opened, and closed if nobody waits for it any more.
    """
    task = asyncio.ensure_future(opening)
    try:
        transport, protocol = await asyncio.shield(task)
    except asyncio.CancelledError:
        task.add_done_callback(_close_transport)
        raise
    if isinstance(protocol, Protocol):
        protocol.receive_in_turn(transport)
    return transport, protocol


def _close_transport(
    task: asyncio.Task[tuple[asyncio.Transport, client_proto.ResponseHandler]],
) -> None:
    if not task.cancelled() and task.exception() is None:
        transport, _ = task.result()
        transport.abort()


def session(
    connect_timeout: float, idle_timeout: float, reuse: bool = True
) -> aiohttp.ClientSession:
    """Create a session for requests to upstreams.

    Args:
        connect_timeout: seconds to establish a connection.
        idle_timeout: seconds to wait for the next byte of a response.
        reuse: whether to reuse connections. If the upstream closes a reused
            connection while a request is sent, whether the request ran is
            unknown, so work that may run only once uses a new connection.
    """
    return aiohttp.ClientSession(
        connector=Connector(limit=0, force_close=not reuse),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout, sock_read=idle_timeout
        ),
        auto_decompress=False,
        middlewares=() if reuse else (send_once,),
    )


def close_idle(client: aiohttp.ClientSession) -> None:
    """Close the connections of a session that no request uses."""
    if isinstance(client.connector, Connector):
        client.connector.close_idle()


def send_failure(error: BaseException) -> errors.Failure:
    """Return the failure for an exception raised by a send."""
    detail = f'{type(error).__name__} {error}'
    if isinstance(error, NOT_CONNECTED):
        return errors.Failure(errors.UPSTREAM_UNREACHABLE, detail)
    return errors.Failure(errors.SEND_INTERRUPTED, detail)


def break_off(response: aiohttp.ClientResponse) -> None:
    """Close the connection of a response, whose reader gets an error."""
    connection = response.connection
    protocol = connection.protocol if connection is not None else None
    if isinstance(protocol, Protocol):
        protocol.fail_body(ConnectionAbortedError('broken off'))
    response.close()


async def read_all(
    response: aiohttp.ClientResponse, limit: int = MAX_BODY_BYTES
) -> bytes | errors.Failure:
    """Read a whole body; return BAD_UPSTREAM if it exceeds the limit."""
    data = bytearray()
    async for chunk in response.content.iter_any():
        data += chunk
        if len(data) > limit:
            response.close()
            return errors.Failure(errors.BAD_UPSTREAM, 'body too large')
    return bytes(data)
