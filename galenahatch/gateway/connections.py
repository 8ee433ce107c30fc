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

"""Connections of callers and their graceful shutdown.

Callers reuse a connection until it is closed, and open new ones as long as
the gateway listens. After a pause of this process, requests may be waiting
unread in its sockets. Closing such a connection would lose a request that may
have been sent much earlier, so every connection and the listening socket are
checked for unread data before they are closed.
"""

import asyncio
import collections.abc
import select
import socket
import struct
import typing

import aiohttp
from aiohttp import web

from galenahatch.core import routes
from galenahatch.gateway import overload
from galenahatch.gateway import settings
from galenahatch.gateway import slicedreads
from galenahatch import timeouts

_LISTEN_BACKLOG: typing.Final = 1024
_SOCKET_BUFFER_BYTES: typing.Final = 32 * 1024
"""Limits what the kernel holds for each caller, as that counts toward the
memory of the process. It suffices for some MB/s within a region."""
_TRANSIT_S: typing.Final = 1.0
"""Seconds that are added to the limits on callers, which measure them from
another moment: an answer and the next request may be on their way."""
_STOP_TRANSIT_S: typing.Final = 0.25
"""The same while draining, when each wait delays the stop: a round trip to
the callers and a pause of either side."""
_UNREAD_CHECK_INTERVAL_S: typing.Final = 0.1
"""Seconds between two checks whether an idle connection has been read."""
_RESET: typing.Final = struct.pack('ii', 1, 0)
"""Value of `SO_LINGER` with which a closed socket resets its connection."""


def mark_incomplete(request: web.BaseRequest) -> None:
    """Ensure that an answer doesn't appear complete if it is closed now.

    An answer of HTTP/1.0 may end with its connection, so this is reset.
    """
    transport = request.transport
    if transport is not None and request.version < aiohttp.HttpVersion11:
        connection = transport.get_extra_info('socket')
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


def abort_answer(request: web.BaseRequest) -> None:
    """Close a connection in the middle of an answer."""
    mark_incomplete(request)
    if request.transport is not None:
        request.transport.abort()


class CallerConnection(slicedreads.SlicedConnection):
    """The server side of one caller's connection.

    An idle connection is closed after the limit in force by then, or after
    the one under which it became idle if that was longer.

    Args:
        meter: Counts what is written and read.
        limits: Function that returns the limits in force.
        args: Positional arguments of the library's class.
        options: Keyword arguments of the library's class.

    Attributes:
        aborts_at_eof: Whether to drop unsent bytes if the caller disconnects.
            Otherwise its request is cancelled only once they are sent.
        completes_at_eof: Whether an answer is still written to a caller that
            has closed its sending side; the connection is closed after it.
    """

    __slots__ = (
        '_head_began_at',
        '_idle_timeout',
        '_limits',
        '_meter',
        'aborts_at_eof',
        'completes_at_eof',
    )

    def __init__(
        self,
        meter: overload.Meter,
        limits: collections.abc.Callable[[], routes.Limits],
        *args: typing.Any,
        **options: typing.Any,
    ) -> None:
        self._idle_timeout = limits().idle_timeout
        super().__init__(
            *args, keepalive_timeout=self._idle_timeout, **options
        )
        self._meter = meter
        self._limits = limits
        self._head_began_at: float | None = None
        self.aborts_at_eof = False
        self.completes_at_eof = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection and what is written to it."""
        self._meter.connections += 1
        metered = overload.MeteredTransport(transport, self._meter)
        super().connection_made(typing.cast(asyncio.Transport, metered))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Count the connection no longer."""
        self._meter.connections -= 1
        super().connection_lost(exc)

    @property
    def max_body_bytes(self) -> int:
        """Largest body that is taken."""
        return self._limits().max_body_bytes

    @property
    def idle(self) -> bool:
        """Whether no part of an unanswered request has arrived.

        The library's own `close` leaves an idle connection open with no
        reader, and doesn't distinguish idle connections from those whose
        request has just been read.
        """
        if not self._is_awaiting_request or self._messages:
            return False
        if self.has_held_bytes:
            return False
        return self._head_began_at is None and not self._has_unread_bytes

    @property
    def idle_seconds(self) -> float:
        """Seconds since the connection was made or last sent an answer.

        Only meaningful for idle connections.
        """
        return self._loop.time() - self._idle_since

    @property
    def _idle_since(self) -> float:
        # The library knows only the limit under which it was created.
        return self._next_keepalive_close_time - self._keepalive_timeout

    @property
    def _is_awaiting_request(self) -> bool:
        return self._waiter is not None and not self._waiter.done()

    @property
    def _has_unread_bytes(self) -> bool:
        """Whether the socket has unread bytes of the caller."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        return _is_readable(transport.get_extra_info('socket'))

    @property
    def is_write_paused(self) -> bool:
        """Whether bytes wait because the caller reads slowly.

        Only meaningful for connections with limited buffers.
        """
        return self.writing_paused

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that the kernel has not taken yet."""
        transport = self.transport
        return transport.get_write_buffer_size() if transport else 0

    def limit_buffers(self) -> None:
        """Limit the buffers, so that held bytes can be counted."""
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=0)
        connection = self.transport.get_extra_info('socket')
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            connection.setsockopt(
                socket.SOL_SOCKET, option, _SOCKET_BUFFER_BYTES
            )

    async def drain(self) -> None:
        """Wait until the kernel has taken all bytes.

        Raises:
            ConnectionError: The connection is closed.
        """
        await self._drain_helper()

    def abort(self) -> None:
        """Close the connection at once, which cancels its request."""
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> bool:  # type: ignore[override]
        """Cancel the request if the caller disconnects.

        Returns:
            Whether the connection stays open for the rest of an answer.
        """
        super().eof_received()
        if self.aborts_at_eof:
            self.abort()
        elif self.completes_at_eof:
            # No further request can arrive.
            self.close()
            return True
        return False

    def data_received(self, data: bytes) -> None:
        """Process received data."""
        self._meter.count_read(len(data))
        super().data_received(data)

    def parse(self, data: bytes) -> None:
        """Parse a slice and record whether a head is incomplete."""
        # Otherwise the data is a body or follows a request in progress.
        is_head = self._is_awaiting_request
        count_before = self._request_count
        super().parse(data)
        if not is_head or self._request_count != count_before:
            self._head_began_at = None
        elif self._head_began_at is None:
            self._head_began_at = self._loop.time()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Complete an answer and apply the idle limit in force."""
        finished = await super().finish_response(request, resp, start_time)
        if self.transport is None:
            return finished
        idle_timeout = self._limits().idle_timeout
        if idle_timeout < self._idle_timeout:
            # The timer that is set may fire too late.
            self._cancel_idle_timer()
        self._idle_timeout = idle_timeout
        if self._keepalive_handle is None:
            self._set_idle_timer(self._loop.time() + idle_timeout)
        return finished

    @property
    def _close_time(self) -> float:
        """Time at which to close the connection if nothing more arrives."""
        limits = self._limits()
        idle_timeout = max(self._idle_timeout, limits.idle_timeout)
        close_time = self._idle_since + idle_timeout
        if self._head_began_at is not None:
            close_time = max(
                close_time, self._head_began_at + limits.header_timeout
            )
        return close_time + _TRANSIT_S

    def _process_keepalive(self) -> None:
        """Close the connection if it has been idle for long enough.

        The library calls this no later than the idle limit under which the
        connection was made; the next idle period sets the timer again.
        """
        self._keepalive_handle = None
        if self._force_close or not self._is_awaiting_request:
            return
        now = self._loop.time()
        if now < self._close_time:
            self._set_idle_timer(self._close_time)
        elif self.has_held_bytes or self._has_unread_bytes:
            self._set_idle_timer(now + _UNREAD_CHECK_INTERVAL_S)
        else:
            self.force_close()

    def _set_idle_timer(self, time: float) -> None:
        self._keepalive_handle = self._loop.call_at(
            time, self._process_keepalive
        )

    def _cancel_idle_timer(self) -> None:
        if self._keepalive_handle is not None:
            self._keepalive_handle.cancel()
            self._keepalive_handle = None


class _RefusedConnection(asyncio.Protocol):
    """A connection that is closed before anything is read from it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection."""
        typing.cast(asyncio.Transport, transport).abort()


class Server(web.Server):
    """Accepts callers' connections and applies the configured limits.

    Args:
        handler: Function that answers a request.
        limits: Function that returns the limits in force.
        limits_buffers: Whether to limit the buffers of connections.
        meter: Counts what is written and read.
        admits: Returns whether to accept a new connection.

    Attributes:
        closed_idle: Number of connections that were closed while draining,
            at which no part of a further request had arrived.
    """

    def __init__(
        self,
        handler: collections.abc.Callable[
            [web.BaseRequest], collections.abc.Awaitable[web.StreamResponse]
        ],
        limits: collections.abc.Callable[[], routes.Limits],
        limits_buffers: bool = False,
        meter: overload.Meter | None = None,
        admits: collections.abc.Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._admits = admits
        self._meter = meter or overload.Meter()
        self._limits = limits
        self._limits_buffers = limits_buffers
        self._listener: asyncio.Server | None = None
        self.closed_idle = 0

    def connection_made(
        self, handler: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Register a new connection."""
        super().connection_made(handler, transport)
        if self._limits_buffers and isinstance(handler, CallerConnection):
            handler.limit_buffers()

    def __call__(self) -> asyncio.Protocol:  # type: ignore[override]
        """Create the protocol of a new connection."""
        if not self._admits():
            return _RefusedConnection()
        limits = self._limits()
        return CallerConnection(
            self._meter,
            self._limits,
            self,
            loop=self._loop,
            access_log=typing.cast(typing.Any, None),
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            auto_decompress=False,
        )

    async def listen(self, address: settings.Address) -> None:
        """Accept connections at an address."""
        self._listener = await self._loop.create_server(
            self,
            address.host,
            address.port,
            backlog=_LISTEN_BACKLOG,
            reuse_address=True,
        )

    async def drain(self, refuse_new: bool) -> bool:
        """Close idle connections and, when possible, the listening socket.

        A connection that was made or answered just now is kept for a while,
        since its caller may have sent the next request already.

        Call this repeatedly until it returns True. Between calls, waiting
        requests are read, answers are sent completely, and connections are
        accepted while other callers are being served. Later callers are
        refused a connection, and so know that nothing was sent.

        Args:
            refuse_new: Whether to stop accepting even while callers are
                connected.

        Returns:
            Whether the socket and all connections are closed.
        """
        if not self._has_pending_connections and (
            refuse_new or not self.connections
        ):
            self.stop_listening()
        self._close_idle()
        # A connection accepted just now is registered in the next iteration.
        await timeouts.process_pending_events()
        return self._listener is None and not self.connections

    def stop_listening(self) -> None:
        """Close the listening socket."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    @property
    def _has_pending_connections(self) -> bool:
        """Whether connections are waiting to be accepted."""
        if self._listener is None:
            return False
        return any(_is_readable(sock) for sock in self._listener.sockets)

    def _close_idle(self) -> None:
        for connection in self.connections:
            if (
                isinstance(connection, CallerConnection)
                and connection.idle
                and connection.idle_seconds >= _STOP_TRANSIT_S
            ):
                self.closed_idle += 1
                connection.force_close()


def _is_readable(sock: typing.Any) -> bool:
    """Return whether a socket has bytes to read or connections to accept."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
