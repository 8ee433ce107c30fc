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

"""Connections of callers, and how a gateway that stops parts with them.

Callers use the connections that they have until these are closed, and open
new ones until nobody listens. Where this process did not run for a while,
requests wait at its sockets unread. Closing such a connection loses a request
that may have been sent long before, so each is asked whether bytes wait at it
before it is closed, and the listening socket likewise.
"""

import asyncio
import collections.abc
import select
import typing

from aiohttp import web

from galenahatch.core import routes
from galenahatch.gateway import settings
from galenahatch import timeouts

_LISTEN_BACKLOG: typing.Final = 1024


class _Connection(web.RequestHandler):
    """One caller's connection."""

    __slots__ = ('_head_begun',)

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(*args, **options)
        self._head_begun = False

    @property
    def idle(self) -> bool:
        """Whether nothing of a request has come that is not answered.

        The library's own `close` leaves an idle connection open without
        anyone to read it, and it does not tell idle ones from those whose
        request was read just now.
        """
        if not self._is_awaiting_request or self._messages:
            return False
        return not self._head_begun and not self._has_unread_bytes

    @property
    def _is_awaiting_request(self) -> bool:
        return self._waiter is not None and not self._waiter.done()

    @property
    def _has_unread_bytes(self) -> bool:
        """Whether bytes of the caller wait at the socket."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        return _is_readable(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Read on, and note whether a head has come in part."""
        # Else it is a body, or follows a request that is being answered.
        is_head = self._is_awaiting_request
        known = self._request_count
        super().data_received(data)
        self._head_begun = is_head and self._request_count == known


class Server(web.Server):
    """Connections of callers, with the limits of the configuration.

    Args:
        handler: called with each request.
        limits: asked for each new connection.
    """

    def __init__(
        self,
        handler: collections.abc.Callable[
            [web.BaseRequest], collections.abc.Awaitable[web.StreamResponse]
        ],
        limits: collections.abc.Callable[[], routes.Limits],
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._limits = limits
        self._listener: asyncio.Server | None = None

    def __call__(self) -> _Connection:
        """Return the protocol of a new connection."""
        limits = self._limits()
        return _Connection(
            self,
            loop=self._loop,
            keepalive_timeout=limits.idle_timeout,
            access_log=typing.cast(typing.Any, None),
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            auto_decompress=False,
        )

    async def listen(self, where: settings.Address) -> None:
        """Take connections at an address."""
        self._listener = await self._loop.create_server(
            self,
            where.host,
            where.port,
            backlog=_LISTEN_BACKLOG,
            reuse_address=True,
        )

    async def drain(self, is_late: bool) -> bool:
        """Close what no caller waits at; return whether nothing is left.

        To be called again until it is: what waits is read in between, answers
        go out to their last byte, and callers are taken as long as there is
        one to answer. Who comes later finds nobody listening, and so knows
        that nothing was sent.

        Args:
            is_late: whether to take no further callers in any case.
        """
        if not self._has_pending_connections and (
            is_late or not self.connections
        ):
            self.stop_listening()
        self._close_idle()
        # One that was accepted just before is made known on the next turn.
        await timeouts.look_around()
        return self._listener is None and not self.connections

    def stop_listening(self) -> None:
        """Take no connections any more."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    @property
    def _has_pending_connections(self) -> bool:
        """Whether callers wait for their connections to be accepted."""
        if self._listener is None:
            return False
        return any(_is_readable(one) for one in self._listener.sockets)

    def _close_idle(self) -> None:
        for connection in self.connections:
            if isinstance(connection, _Connection) and connection.idle:
                connection.force_close()


def _is_readable(sock: typing.Any) -> bool:
    """Return whether a socket has bytes or connections to read."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
