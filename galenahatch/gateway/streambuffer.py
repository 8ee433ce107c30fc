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

"""Buffers a stream between its engine and a caller that reads slowly.

The request's task reads the engine and adds events here; a second task writes
them to the caller as fast as the caller takes them. So a slow caller doesn't
stop the engine from being read until the stream's threshold is reached
(`core/memorybudget`), and an engine isn't cut off before. A caller that keeps
up costs no second task: its events are written at once.

The task exists only while bytes wait, and ends with the request.
"""

import asyncio
import collections
import typing

from aiohttp import web

from galenahatch import clock
from galenahatch.core import memorybudget
from galenahatch.gateway import calls
from galenahatch.gateway import connections
from galenahatch.gateway import flowcontrol

_WRITE_BYTES: typing.Final = 4096
"""Bytes handed to the connection at once, so that progress is seen in steps
of a few events."""
_STALLED_S: typing.Final = 30.0
"""Seconds without any progress after which a finished stream is aborted: a
caller that takes nothing for this long does not read any more."""


class CallerTooSlow(Exception):
    """A stream ends because its caller doesn't take what is held for it."""


class BufferedSink:
    """Writes a streamed response to a caller that may read slowly.

    Args:
        request: Request as the HTTP library has it.
        prepare: Called with the response before its head is sent.
        flow: Flow control of this process.
        call: The request.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        prepare: typing.Callable[[web.StreamResponse], None],
        flow: flowcontrol.FlowControl,
        call: calls.Call,
    ) -> None:
        self._request = request
        self._prepare = prepare
        self._flow = flow
        self._connection = typing.cast(
            connections.CallerConnection, request.protocol
        )
        self._response: web.StreamResponse | None = None
        self._pending: collections.deque[bytes] = collections.deque()
        self._in_transport = 0
        self._writer: asyncio.Task[None] | None = None
        self._holding = flow.open(
            memorybudget.Direction.EVENTS, call, self._connection.abort
        )
        self._connection.aborts_at_eof = True

    @property
    def is_head_sent(self) -> bool:
        """Whether the response head has been sent."""
        return self._response is not None

    @property
    def response(self) -> web.StreamResponse | None:
        """The response, or None if its head has not been sent."""
        return self._response

    async def send_head(self, head: calls.ResponseHead) -> None:
        """Send the response head."""
        response = web.StreamResponse(status=head.status, headers=head.headers)
        self._prepare(response)
        self._response = response
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send complete events, now or once the caller takes them.

        Returns once the upstream may be read on.

        Raises:
            CallerTooSlow: The upstream could not be read for too long.
            ConnectionError: The connection is closed.
        """
        self._check_writer()
        if self._writer is not None:
            self._pending.append(data)
            self._flow.grow(self._holding, len(data))
        else:
            await self._write_now(data)
            if not self._connection.is_write_paused:
                return
            self._in_transport = self._connection.unsent_bytes
            self._flow.grow(self._holding, self._in_transport)
            self._writer = asyncio.create_task(self._write_pending())
        if self._flow.budget.may_read(self._holding):
            return
        if not await self._flow.wait_for_room(self._holding, self._count_sent):
            self._fail('paused')

    async def finish(self) -> None:
        """Wait until the caller has taken everything.

        Raises:
            CallerTooSlow: The caller has taken nothing for too long.
            ConnectionError: The connection is closed.
        """
        # No engine works on the request any more.
        self._connection.aborts_at_eof = False
        while self._writer is not None and not self._writer.done():
            await asyncio.wait((self._writer,), timeout=_STALLED_S / 2)
            self._count_sent()
            if clock.now() - self._holding.taken_at > _STALLED_S:
                self._fail('stalled')
        self._check_writer()

    def close(self) -> None:
        """End with the request; bytes not sent yet are dropped."""
        self._connection.aborts_at_eof = False
        if self._writer is not None:
            self._writer.cancel()
        self._pending.clear()
        self._flow.budget.close(self._holding)

    async def _write_pending(self) -> None:
        """Write what waits, in order, as fast as the caller takes it."""
        while True:
            await self._connection.drain()
            self._count_sent()
            if not self._pending:
                return
            data = bytearray()
            while self._pending and len(data) < _WRITE_BYTES:
                data += self._pending.popleft()
            self._in_transport = len(data)
            await self._write_now(bytes(data))

    async def _write_now(self, data: bytes) -> None:
        """Hand bytes to the connection, which does not wait for the caller."""
        writer = typing.cast(typing.Any, self._response)._payload_writer
        await writer.write(data, drain=False)

    def _count_sent(self) -> None:
        """Record the bytes that the connection has sent meanwhile."""
        unsent = min(self._in_transport, self._connection.unsent_bytes)
        sent = self._in_transport - unsent
        self._flow.budget.shrink(self._holding, sent, clock.now())
        self._in_transport = unsent

    def _check_writer(self) -> None:
        """Forget the writer once it has ended; raise its error."""
        if self._writer is not None and self._writer.done():
            ended, self._writer = self._writer, None
            ended.result()

    def _fail(self, reason: str) -> typing.NoReturn:
        detail = f'{self._holding.held} bytes held, {reason}'
        self._flow.abort(self._holding, reason)
        raise CallerTooSlow(detail)
