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

"""Bounds the work on what servers send, for each one and for all together.

Some bytes cost far more than others: a chunk of one byte takes six bytes and a
microsecond or more. So bytes alone don't bound the work. There are two bounds:

- `Framing` judges one response: whether what surrounds its body is out of
  proportion to it. Its credit is spent by these bytes and earned by those of
  the body, up to a limit, so that a long body doesn't pay for what follows.
- `Turns` shares the event loop. Each receive is small until a response has
  shown that its bytes cost little. Once an iteration of the loop has spent its
  time on received data, connections stop being read, and are read again in
  turn. What has not been received waits in the kernel, not in this process.
"""

import asyncio
import collections
import collections.abc
import typing
import weakref

_MAX_HEAD_BYTES: typing.Final = 1024 * 1024
"""Bytes up to the end of a head, with interim responses."""
MAX_INTERIM: typing.Final = 16
"""Interim responses before a response. Go's client allows five."""
CREDIT_BYTES: typing.Final = 64 * 1024
"""Bytes around a body beyond what the body earns, such as 21,000 chunks of one
byte; as for bodies of callers."""
EARNED: typing.Final = 2
"""Bytes around a body that each byte of it earns: a chunk of three bytes has
five. Servers that stream a document as they encode it send such chunks."""
_CHEAP_SHARE: typing.Final = 1 / 32
"""Bytes around a body, as a share of it, up to which its bytes cost little."""
_MIN_BYTES: typing.Final = 4096
"""Bytes of a receive at first: some 700 chunks, or a whole usual answer."""
_MAX_BYTES: typing.Final = 64 * 1024
"""Bytes of a receive of a response that has few bytes around its body."""
_GROWTH: typing.Final = 4
"""Factor by which receives grow while bytes cost little."""
_TURN_S: typing.Final = 0.002
"""Time that one iteration of the event loop spends on received data. What
follows from it, such as joining pieces, takes about as long once more."""


class Framing:
    """Bytes around the body of one response.

    Attributes:
        interim: Number of interim responses so far.
        has_head: Whether the head of the response has been received.
        receive_bytes: Size of the next receive.
    """

    def __init__(self) -> None:
        self.interim = 0
        self.has_head = False
        self.receive_bytes = _MIN_BYTES
        self._head_bytes = 0
        self._body_bytes = 0
        self._credit = float(CREDIT_BYTES)
        self._received_bytes = 0
        self._is_chunked = True

    def begin_body(self, is_chunked: bool) -> None:
        """Begin the body, which has nothing around it if it isn't chunked."""
        self.has_head = True
        self._is_chunked = is_chunked
        if not is_chunked:
            self.receive_bytes = _MAX_BYTES

    def excess(self, size: int, body_bytes: int, is_parsed: bool) -> str:
        """Return what is out of proportion, or nothing.

        Args:
            size: Bytes received since the last call.
            body_bytes: All bytes of the body so far.
            is_parsed: Whether all that was received has been parsed.
        """
        self._received_bytes += size
        if not is_parsed:
            return ''
        size, self._received_bytes = self._received_bytes, 0
        if not self.has_head:
            self._head_bytes += size
            is_long = self._head_bytes > _MAX_HEAD_BYTES
            return 'too many bytes before a head' if is_long else ''
        body = max(0, body_bytes - self._body_bytes)
        self._body_bytes = body_bytes
        around = size - body
        self._credit += EARNED * body - around
        self._credit = min(self._credit, float(CREDIT_BYTES))
        if self._is_chunked:
            is_cheap = around <= _CHEAP_SHARE * body
            wider = min(_GROWTH * self.receive_bytes, _MAX_BYTES)
            self.receive_bytes = wider if is_cheap else _MIN_BYTES
        return 'too many bytes around a body' if self._credit < 0 else ''


class _Reader(typing.Protocol):
    """Protocol of a connection that may stop being read."""

    def pause_for_others(self) -> None:
        """Stop being read."""

    def resume_after_others(self) -> None:
        """Be read again."""


class Turns:
    """Time that an event loop spends on received data, shared in turn.

    Args:
        loop: The event loop.

    Attributes:
        buffer: Room for one receive, of whatever connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._call_soon = loop.call_soon
        self._spent = 0.0
        self._is_open = False
        self._waiting: collections.deque[tuple[_Reader, float]] = (
            collections.deque()
        )
        self.buffer = memoryview(bytearray(_MAX_BYTES))

    def record(self, reader: _Reader, seconds: float) -> None:
        """Record time spent on a connection; stop reading it if it is up."""
        self._spent += seconds
        if not self._is_open:
            self._is_open = True
            self._call_soon(self._end)
        if self._spent > _TURN_S:
            reader.pause_for_others()
            self._waiting.append((reader, seconds))

    def _end(self) -> None:
        """Begin the next turn with those that have waited longest."""
        self._spent, expected = 0.0, 0.0
        while self._waiting and expected < _TURN_S:
            reader, seconds = self._waiting.popleft()
            expected += seconds
            reader.resume_after_others()
        self._is_open = bool(self._waiting)
        if self._is_open:
            self._call_soon(self._end)


_turns: typing.Final[
    weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, Turns]
] = weakref.WeakKeyDictionary()


def turns(loop: asyncio.AbstractEventLoop) -> Turns:
    """Return the turns of an event loop."""
    found = _turns.get(loop)
    if found is None:
        found = _turns[loop] = Turns(loop)
    return found


class Receiver(asyncio.BufferedProtocol):
    """Receives for a protocol, no more at once than that asks for.

    Args:
        protocol: Gets what is received, and all other events.
        buffer: Room for one receive.
        size: Returns the size of the next receive.
    """

    def __init__(
        self,
        protocol: asyncio.Protocol,
        buffer: memoryview,
        size: collections.abc.Callable[[], int],
    ) -> None:
        self._buffer = buffer
        self._size = size
        self._data_received = protocol.data_received
        self.eof_received = protocol.eof_received  # type: ignore
        self.connection_lost = protocol.connection_lost  # type: ignore
        self.pause_writing = protocol.pause_writing  # type: ignore
        self.resume_writing = protocol.resume_writing  # type: ignore

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the room for the next receive."""
        return self._buffer[: self._size()]

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was received."""
        self._data_received(bytes(self._buffer[:nbytes]))
