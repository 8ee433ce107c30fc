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

"""Parses what a caller sends in slices, and limits what surrounds a body.

A receive of 256 KB may be tens of thousands of chunks, header lines or
requests. One of more than a few lines is parsed in slices. Once those of one
receive have taken long, the rest waits for its turn (`galenahatch/turns`), and
nothing more is read from the connection until then.

The bytes around a body are limited in proportion to it. Clients that stream a
document as they encode it send a chunk for each token, of a few bytes; such
bodies may have any size, and smaller chunks some ten thousand times. A request
beyond that, or with wrong chunks, has its body ended here. What follows is
dropped unparsed for a while, so that a caller that sends everything before it
reads gets the answer.
"""

import asyncio
import select
import typing

import aiohttp
from aiohttp import hdrs
from aiohttp import http_parser
from aiohttp import web

from galenahatch import clock
from galenahatch import turns
from galenahatch.upstream import receiving

_READ_ON_FACTOR: typing.Final = 2
"""Multiple of the largest body up to which a larger one is read to its end,
so that its connection can be used again."""
_MIN_SLICE_BYTES: typing.Final = 1024
_MAX_SLICE_BYTES: typing.Final = 256 * 1024
_RECEIVE_S: typing.Final = 0.0005
"""Seconds after which the rest of a receive waits for its turn; 256 KB of one
ordinary body take less. If others wait, it does so after its first slice."""
_TURN_S: typing.Final = 0.0002
"""Seconds of a turn, which has a slice at least."""
_LINGER_S: typing.Final = 1.0
"""Seconds for a caller to read why its body was refused."""


class SlicedConnection(web.RequestHandler):
    """The server side of a connection, which parses in slices.

    Args:
        args: Positional arguments of the library's class.
        options: Keyword arguments of the library's class.
    """

    __slots__ = (
        '_body',
        '_held',
        '_held_from',
        '_is_discarding',
        '_is_parsing',
        '_length',
        '_max_bytes',
        '_received',
        '_refused',
        '_slice_bytes',
        '_waits_for_turn',
    )

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(*args, **options)
        self._held = b''
        self._held_from = 0
        self._is_discarding = False
        self._is_parsing = False
        self._waits_for_turn = False
        self._slice_bytes = _MIN_SLICE_BYTES
        self._body: aiohttp.StreamReader | None = None
        self._length = 0
        self._max_bytes = 0
        self._received = 0
        self._refused: aiohttp.StreamReader | None = None

    @property
    def max_body_bytes(self) -> int:
        """Largest body that is taken."""
        raise NotImplementedError

    @property
    def has_held_bytes(self) -> bool:
        """Whether received bytes wait to be parsed."""
        return bool(self._held)

    def has_refused(self, body: aiohttp.StreamReader) -> bool:
        """Return whether a body was ended before its end."""
        return self._refused is body

    def data_received(self, data: bytes) -> None:
        """Parse received data, or a part of it for now."""
        if self._is_discarding:
            return
        if self._held and data:
            self._held = self._held[self._held_from :] + data
            self._held_from = 0
            self._pause_transport_reading()
        elif len(data) <= _MIN_SLICE_BYTES or self._is_little(data):
            # Without data, the library goes on with what its parser has kept.
            self.parse(data)
        else:
            self._held, self._held_from = data, 0
            is_busy = turns.of_loop(self._loop).is_busy
            self._parse_held(0.0 if is_busy else _RECEIVE_S)

    def parse(self, data: bytes) -> None:
        """Parse a slice."""
        count_before = self._request_count
        super().data_received(data)
        body = self._body
        if self._request_count != count_before:
            message, self._body = self._messages[-1]
            self._received = 0
            if not isinstance(message, http_parser.RawRequestMessage):
                # The parser can't go on after an error.
                self._discard(body)
            elif not self._body.is_eof():
                length = message.headers.get(hdrs.CONTENT_LENGTH, '0')
                self._length = int(length)
                self._max_bytes = _READ_ON_FACTOR * self.max_body_bytes
            return
        self._received += len(data)
        if body is None or body.is_eof():
            return
        framing_bytes = self._received - body.total_bytes
        allowed = receiving.CREDIT_BYTES + receiving.EARNED * body.total_bytes
        if framing_bytes > allowed or body.total_bytes > self._max_bytes:
            self._discard(body)

    def _discard(self, body: aiohttp.StreamReader | None) -> None:
        """Parse no more; end a body that was expected to go on."""
        self._is_discarding = True
        self._held = b''
        if body is not None and not body.is_eof():
            self._refused = body
            body.feed_eof()
            if not self._messages:
                # The answer may have been sent.
                self.close()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Complete an answer; give its caller time to read a refusal."""
        if not self.has_refused(request.content):
            return await super().finish_response(request, resp, start_time)
        # What follows isn't parsed, so no other request can.
        resp.force_close()
        finished = await super().finish_response(request, resp, start_time)
        await asyncio.sleep(_LINGER_S)
        return finished

    def _parse_held(self, seconds: float) -> None:
        """Parse slices for some time, or until the library wants no more."""
        self._is_parsing = True
        ends_at = clock.unsuspended() + seconds
        while self._held and not self._is_paused:
            data = self._next_slice()
            self._held_from += len(data)
            if self._held_from >= len(self._held):
                self._held = b''
            self.parse(data)
            if clock.unsuspended() >= ends_at:
                break
        self._is_parsing = False
        if self._held:
            self._pause_transport_reading()
            self._wait_for_turn()

    def _next_slice(self) -> bytes:
        """Return the next bytes to parse, as many as cost little.

        The search begins at twice the last size, as it would cost more than
        the parsing if it began at the largest one each time.
        """
        size = min(2 * self._slice_bytes, _MAX_SLICE_BYTES)
        data = self._held[self._held_from : self._held_from + size]
        while size > _MIN_SLICE_BYTES and not self._is_little(data):
            size //= 2
            data = data[:size]
        self._slice_bytes = size
        return data

    def _is_little(self, data: bytes) -> bool:
        """Return whether bytes cost little to parse.

        All of them do that belong to a body with a stated length.
        """
        body = self._body
        if body is not None and not body.is_eof():
            if len(data) <= self._length - body.total_bytes:
                return True
        return turns.is_little(data)

    @property
    def _is_paused(self) -> bool:
        """Whether the library takes no more bytes for now."""
        return self._reading_paused or self._buffer_paused

    def _wait_for_turn(self) -> None:
        if not self._waits_for_turn and not self._is_paused:
            self._waits_for_turn = True
            turns.of_loop(self._loop).add(self._take_turn)

    def _take_turn(self) -> bool:
        """Parse some slices; return whether more of them can be parsed."""
        if self._is_over:
            self._held = b''
        self._parse_held(_TURN_S)
        if self._held and not self._is_paused:
            return True
        self._waits_for_turn = False
        if not self._is_paused:
            self._resume_transport_reading()
        return False

    @property
    def _is_over(self) -> bool:
        """Whether nobody waits for what the held bytes ask for.

        A transport that isn't read doesn't tell that its peer has gone.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return True
        if self._force_close or self._close:
            return True
        poll = select.poll()
        sock = transport.get_extra_info('socket')
        poll.register(sock.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on if a body that wasn't read had paused that.

        The library calls this for each chunk that is taken, which costs many
        times more than the chunk.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def _resume_transport_reading(self) -> None:
        """Read on, or first parse what was received."""
        if self._is_parsing and self._held:
            return
        if self._held:
            self._wait_for_turn()
        else:
            super()._resume_transport_reading()
