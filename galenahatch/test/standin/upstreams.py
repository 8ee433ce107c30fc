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

"""Upstreams as the platform's protocol is published, and how they fail.

They are written on bare sockets, so that a test can break an answer at any
byte. `Upstream.faults` names what happens to the next requests, one name a
request: `refuse` (503, not run), `error` (500), `cut` (half an answer, then
a reset), `cut-unframed` (the same without a length), `no-answer` (runs, then
a reset), `extra` (a second answer behind the first), `foreign` (the answer
to another request), `silent` (runs and says nothing), `early` (answers
before the body is in), `unread` (never reads the body), `early STATUS HOW`
(as `_answer_early` says). For model engines
also `no-handle` (the result of a prefill is gone), `mute` (silent in the
middle of a stream), `stall` and `stall-head` (silent for `stall` seconds in
the middle of a stream or before its head, and goes on), `stall-refuse`
(refuses after it) and `end-inside` (ends a stream inside an event). A name
that begins with `status` runs the request and answers it as `_stated` says.
`resumed_faults`, if set, are those of runs with Last-Event-Id. Answers of an
upstream that `is_framed` is off for have neither a length nor chunks and end
with their connection.

A request whose body begins with `CRASHES` ends the upstream that begins to run
it, and one that begins with `CRASHES_READING` also the engine that reads its
prompt: all connections are reset, and none can be made until it starts again.
So does a request with the part `HARMFUL` in its prompt, whatever else it
holds, at the engine that begins to write its answer.
"""

import asyncio
import collections
import collections.abc
import itertools
import socket
import struct
import time
import typing

import msgspec

from galenahatch.test.standin import capacity as capacity_module

_PREFIX: typing.Final = 'x-galenahatch-'
CRASHES: typing.Final = b'ends what runs it'
CRASHES_READING: typing.Final = CRASHES + b' or reads it'
HARMFUL: typing.Final = 'bad0'
STATED: typing.Final = b'the run failed'
_WITHOUT_BODY: typing.Final = (204, 205, 304)
EARLY: typing.Final = b'id: 1\ndata: half an answer\n\n'
"""First part of an answer; it is whole as far as a stream can tell."""
_MOMENT: typing.Final = 0.01
_LASTS: typing.Final = 0.03
"""Seconds for which a request that ends its upstream has run by then."""
_DOWN: typing.Final = 1.0
"""Seconds from such an end to the next start."""
_RESET: typing.Final = struct.pack('ii', 1, 0)
_STREAM_LIMIT: typing.Final = 65536
_NUMBERS: typing.Final = itertools.count(1)


class Seen(msgspec.Struct):
    """A request that arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    ran: bool = False
    refused: bool = False
    said: dict[str, str] = {}
    ended: str = ''
    at: float = msgspec.field(default_factory=time.monotonic)

    @property
    def id(self) -> str:
        """The request's id."""
        return self.headers.get(_PREFIX + 'request-id', '')

    def told(self, name: str) -> str:
        """Return a header of the platform."""
        return self.headers.get(_PREFIX + name, '')


class Upstream:
    """One upstream on an address of its own.

    Args:
        service: that it belongs to.
        stage: of a model engine, else empty.
        data_centre: where it stands.
    """

    def __init__(
        self, service: str, stage: str = '', data_centre: str = 'dc1'
    ) -> None:
        self.id = f'i-{next(_NUMBERS):04x}'
        self.born = _unix_ms()
        self.service = service
        self.stage = stage
        self.data_centre = data_centre
        self.version = 'v1'
        self.seen: list[Seen] = []
        self.faults: collections.deque[str] = collections.deque()
        self.resumed_faults: collections.deque[str] | None = None
        self.delay = 0.0
        self.events = 8
        self.pause = 0.005
        self.stall = 0.0
        self.reading = 0.0
        self.padding = 0
        self.unread_limit: float | None = None
        self.is_framed = True
        self.receive_bytes = 0
        self.orders: list[dict[str, typing.Any]] = []
        self.freed: list[str] = []
        self.handles: set[str] = set()
        self.address = ''
        self.crashed_at: list[float] = []
        self.arrived_at: list[float] = []
        self.says: dict[str, str] = {}
        self.on_start: collections.abc.Callable[[], None] = lambda: None
        self.capacity: capacity_module.Capacity | None = None
        self._port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._starting: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on a free port of the loopback, the same one each time."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_bytes:
            listening.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_bytes
            )
        listening.bind(('127.0.0.1', self._port))
        self._server = await asyncio.start_server(
            self._connection,
            sock=listening,
            limit=self.receive_bytes or _STREAM_LIMIT,
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{self._port}'

    def _crash(self) -> None:
        """End as a process that is killed does, and start again later."""
        if self._starting is not None and not self._starting.done():
            return
        self.crashed_at.append(time.monotonic())
        self.stop()
        for writer in self._writers:
            _abort(writer)
        self._starting = asyncio.create_task(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(_DOWN)
        self.start_again()
        await self.start()
        self.on_start()

    def start_again(self) -> None:
        """Forget all, as a new start under the same id does.

        Connections stay open and silent, as behind a cut.
        """
        self.born = max(_unix_ms(), self.born + 1)
        self.orders.clear()
        self.handles.clear()

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def reset(self, gateway: str) -> None:
        """Reset the open connections of a gateway."""
        for writer in list(self._of(gateway)):
            _abort(writer)

    def silence(self, gateway: str) -> None:
        """Let nothing pass on the open connections of a gateway."""
        for writer in self._of(gateway):
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            writer.write = lambda data: None  # type: ignore

    def _of(self, gateway: str) -> list[asyncio.StreamWriter]:
        return [
            writer
            for writer in self._writers
            if writer.get_extra_info('peername')[0] == gateway
        ]

    def row(self, state: str = 'ready') -> dict[str, typing.Any]:
        """Return the entry that it writes into the store."""
        row: dict[str, typing.Any] = {
            'service': self.service,
            'address': self.address,
            'zone': self.data_centre,
            'version': self.version,
            'slots': self.capacity.slots if self.capacity else 8,
            'state': state,
            'cold_left_ms': 0,
            'seq_no': 1,
            'born': self.born,
        }
        if self.stage:
            row['stage'] = self.stage
        return row

    @property
    def ran(self) -> list[str]:
        """Ids of the requests that it ran."""
        return [seen.id for seen in self.seen if seen.ran]

    async def _connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.split('\r\n')
        method, target, _ = first.split(' ')
        headers = {}
        for line in lines:
            name, colon, value = line.partition(':')
            if colon:
                headers[name.lower()] = value.strip()
        length = int(headers.get('content-length', '0'))
        if self.faults and self.faults[0] == 'early':
            self.faults.popleft()
            seen = Seen(method, target, headers, b'', ran=True)
            self.seen.append(seen)
            writer.write(self._framed(seen, 200, b'early'))
            await reader.readexactly(length)
            return True
        is_own = _PREFIX + 'request-id' not in headers
        if self.faults and self.faults[0][:6] == 'early ' and not is_own:
            seen = Seen(method, target, headers, b'', ran=True)
            self.seen.append(seen)
            return await self._answer_early(
                seen, self.faults.popleft(), reader, writer
            )
        if self.faults and self.faults[0] == 'unread':
            self.faults.popleft()
            await asyncio.sleep(60)
        body = await reader.readexactly(length)
        seen = Seen(method, target, headers, body)
        return await self._answer(seen, reader, writer)

    async def _answer(
        self,
        seen: Seen,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self.arrived_at.append(time.monotonic())
        own = self._own_call(seen)
        if own is not None:
            writer.write(own)
            return True
        self.seen.append(seen)
        if seen.told('expect-instance') != self.id:
            writer.write(self._refusal(seen, 421))
            return True
        if seen.told('stage') == 'prefill':
            if seen.body.startswith(CRASHES_READING):
                self._crash()
                return False
            await self._work(seen, reader, self.reading)
            return self._prefill(seen, writer)
        faults = self.faults
        if 'last-event-id' in seen.headers and self.resumed_faults is not None:
            faults = self.resumed_faults
        fault = faults.popleft() if faults else ''
        if fault == 'refuse':
            writer.write(self._refusal(seen, 503))
            return True
        if fault == 'stall-refuse':
            await self._work(seen, reader, self.stall)
            writer.write(self._refusal(seen, 503))
            return True
        source = seen.told('kv-source')
        if self.stage == 'decode' and source and fault == 'no-handle':
            writer.write(self._refusal(seen, 503))
            return True
        if self.capacity is None:
            return await self._run(seen, fault, reader, writer)
        if not await self.capacity.enter():
            writer.write(self._refusal(seen, 503))
            return True
        try:
            return await self._run(seen, fault, reader, writer)
        finally:
            self.capacity.leave()

    async def _run(
        self,
        seen: Seen,
        fault: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        seen.ran = True
        parts = seen.told('prompt-prefix').split(',')
        is_harmful = any(p.startswith(HARMFUL + ':') for p in parts)
        if is_harmful or (seen.body.startswith(CRASHES) and fault != 'error'):
            return await self._end_by(seen, writer)
        serve = self._stream if self.stage else self._plain
        if fault.startswith('status'):
            serve = self._stated
        try:
            return await serve(seen, fault, reader, writer)
        except ConnectionError:
            seen.ended = 'dropped'
            raise

    async def _end_by(self, seen: Seen, writer: asyncio.StreamWriter) -> bool:
        """Begin a request that ends this upstream; a stream has its head."""
        if self.stage:
            writer.write(
                self._head(seen, 200)
                + b'Content-Type: text/event-stream\r\n'
                + b'Transfer-Encoding: chunked\r\n\r\n'
            )
        await asyncio.sleep(_LASTS)
        seen.ended = 'crashed'
        self._crash()
        return False

    def _own_call(self, seen: Seen) -> bytes | None:
        """Answer a call that is no request of a caller."""
        if seen.target == '/report':
            report = {
                'stage': self.stage,
                'busy': False,
                'seq_no': len(self.orders),
                'queued': 0,
                'active': 0,
                'kv_used': 0,
                'kv_total': 50000,
                'born': self.born,
            }
            return _json(report)
        if seen.target == '/order':
            order = msgspec.json.decode(seen.body)
            if order['expected'] != len(self.orders):
                return b'HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n'
            self.orders.append(order)
            return b'HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n'
        if seen.target.startswith('/kv-handle/'):
            handle = seen.target.rpartition('/')[2]
            self.freed.append(handle)
            self.handles.discard(handle)
            return b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
        return None

    def _prefill(self, seen: Seen, writer: asyncio.StreamWriter) -> bool:
        if self.faults and self.faults[0] == 'no-prefill':
            self.faults.popleft()
            writer.write(self._refusal(seen, 503))
            return True
        handle = f'h{next(_NUMBERS)}'
        self.handles.add(handle)
        tokens = int(seen.told('token-count').partition(',')[0])
        body = {'kv_handle': handle, 'tokens': tokens, 'version': 1}
        writer.write(_json(body, seen.id, self._said()))
        return True

    async def _plain(
        self,
        seen: Seen,
        fault: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        await self._work(seen, reader, self.delay)
        said = b'answer to ' + seen.id.encode() + b'.' * self.padding
        whole = self._framed(seen, 200, said)
        if not self.is_framed:
            whole = self._unframed(seen) + said
        if fault == 'error':
            whole = self._framed(seen, 500, b'failed')
        elif fault == 'cut':
            writer.write(whole[:-4])
            return await _reset(writer)
        elif fault == 'cut-unframed':
            writer.write(self._unframed(seen) + b'half an ans')
            return await _reset(writer)
        elif fault == 'no-answer':
            return await _reset(writer)
        elif fault == 'silent':
            await self._work(seen, reader, 60)
        elif fault == 'foreign':
            whole = whole.replace(seen.id.encode(), b'f' * len(seen.id))
        writer.write(whole)
        await writer.drain()
        if fault == 'extra':
            await asyncio.sleep(0.02)
            writer.write(whole)
        seen.ended = 'answered'
        return self.is_framed

    async def _work(
        self, seen: Seen, reader: asyncio.StreamReader, seconds: float
    ) -> None:
        """Work until done, or until the caller closes the connection."""
        if not seconds:
            return
        try:
            async with asyncio.timeout(seconds):
                await reader.read(1)
                seen.ended = 'dropped'
                raise ConnectionResetError
        except asyncio.TimeoutError:
            return

    async def _stream(
        self,
        seen: Seen,
        fault: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        last = seen.headers.get('last-event-id', '')
        first = int(last) + 1 if last else 1
        self._limit_buffers(writer)
        framing = b'Transfer-Encoding: chunked\r\n\r\n'
        frame = _chunk if self.is_framed else bytes
        if fault == 'stall-head':
            await self._work(seen, reader, self.stall)
        writer.write(
            self._head(seen, 200)
            + b'Content-Type: text/event-stream\r\n'
            + (framing if self.is_framed else b'Connection: close\r\n\r\n')
        )
        for number in range(first, self.events + 1):
            await self._work(seen, reader, self.pause)
            data = f'piece {number}' + '.' * self.padding
            event = f'id: {number}\ndata: {data}\n\n'.encode()
            halfway = number == self.events // 2
            if halfway and fault == 'stall':
                await self._work(seen, reader, self.stall)
            if halfway and fault in ('cut', 'mute', 'end-inside'):
                writer.write(frame(event[:7]))
                await writer.drain()
                if fault == 'end-inside':
                    return False
                if fault == 'cut':
                    return await _reset(writer)
                await self._work(seen, reader, 60)
            writer.write(frame(event))
            if not await self._is_read(seen, writer):
                return False
        writer.write(b'0\r\n\r\n' if self.is_framed else b'')
        seen.ended = 'answered'
        return self.is_framed

    async def _stated(
        self,
        seen: Seen,
        fault: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request that ran with a status, `status CODE [HOW ...]`.

        HOW is `unsigned`, `encoded`, `empty` (no body), `comment` (a body
        that is a comment in a stream), `chunked` or `unframed`.
        """
        _, code, *how = fault.split(' ')
        body = b'' if 'empty' in how else STATED
        body = b': comment\n\n' if 'comment' in how else body
        lines = [self._head(seen, int(code)).decode().rstrip()]
        if 'unsigned' in how:
            lines = [
                line
                for line in lines[0].split('\r\n')
                if 'Response-Stamp' not in line
            ]
        if 'encoded' in how:
            lines.append('Content-Encoding: gzip')
        if 'chunked' in how:
            lines.append('Transfer-Encoding: chunked')
            body = (_chunk(body) if body else b'') + b'0\r\n\r\n'
        elif 'unframed' in how:
            lines.append('Connection: close')
        elif int(code) not in _WITHOUT_BODY:
            lines.append(f'Content-Length: {len(body)}')
        else:
            body = b''
        # Before its caller can ask for it.
        seen.ended = fault
        writer.write('\r\n'.join([*lines, '', '']).encode() + body)
        return 'unframed' not in how

    async def _answer_early(
        self,
        seen: Seen,
        fault: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer before the body is read, `early STATUS FRAMING END`.

        Half of the body follows the head. FRAMING is `unframed`, `length` or
        `chunked`. END is `reset`, `late-reset` (after a moment), `half-reset`
        (the sending side is closed a moment before) or `half` (the rest of
        the request is read then).
        """
        _, code, framing, how = fault.split(' ')
        lines = {
            'unframed': b'Connection: close\r\n',
            'length': b'Content-Length: %d\r\n' % (2 * len(EARLY)),
            'chunked': b'Transfer-Encoding: chunked\r\n',
        }
        body = _chunk(EARLY) if framing == 'chunked' else EARLY
        seen.ended = fault
        writer.write(
            self._head(seen, int(code)) + lines[framing] + b'\r\n' + body
        )
        await writer.drain()
        if how == 'late-reset':
            await asyncio.sleep(3 * _MOMENT)
        if how.startswith('half'):
            writer.write_eof()
        if how == 'half-reset':
            await asyncio.sleep(_MOMENT)
        if how == 'half':
            length = int(seen.headers.get('content-length', '0'))
            await reader.readexactly(length)
            return False
        return await _reset(writer)

    def _limit_buffers(self, writer: asyncio.StreamWriter) -> None:
        """Buffer little, so that it shows whether a stream is read."""
        if self.unread_limit is None:
            return
        writer.transport.set_write_buffer_limits(high=0)
        connection = writer.get_extra_info('socket')
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

    async def _is_read(self, seen: Seen, writer: asyncio.StreamWriter) -> bool:
        """Cut a stream off, and return False, if it stays unread."""
        try:
            async with asyncio.timeout(self.unread_limit):
                await writer.drain()
        except asyncio.TimeoutError:
            seen.ended = 'unread'
            _abort(writer)
            return False
        return True

    # Answers.

    def _head(self, seen: Seen, status: int) -> bytes:
        return (
            f'HTTP/1.1 {status} Whatever\r\n'
            f'X-Galenahatch-Request-Id: {seen.id}\r\n'
            f'X-Galenahatch-Response-Stamp: stamp-{self.id}\r\n'
            f'X-Galenahatch-Instance-Load: {self._load()}\r\n'
        ).encode() + self._said()

    def _load(self) -> str:
        return self.capacity.load if self.capacity else '1,0,8'

    def _framed(self, seen: Seen, status: int, body: bytes) -> bytes:
        length = f'Content-Length: {len(body)}\r\n\r\n'.encode()
        return self._head(seen, status) + length + body

    def _unframed(self, seen: Seen) -> bytes:
        return self._head(seen, 200) + b'Connection: close\r\n\r\n'

    def _refusal(self, seen: Seen, status: int) -> bytes:
        seen.refused = status == 503
        seen.said = dict(self.says)
        return (
            (
                f'HTTP/1.1 {status} No\r\n'
                f'X-Galenahatch-Request-Id: {seen.id}\r\n'
                'X-Galenahatch-Not-Executed: 1\r\n'
                'Content-Length: 0\r\n'
            ).encode()
            + self._said()
            + b'\r\n'
        )

    def _said(self) -> bytes:
        """Return what each answer says besides."""
        lines = (f'{name}: {value}\r\n' for name, value in self.says.items())
        return ''.join(lines).encode()


def _unix_ms() -> int:
    return time.time_ns() // 1_000_000


async def _reset(writer: asyncio.StreamWriter) -> bool:
    """Reset a connection right behind what was written."""
    await writer.drain()
    _abort(writer)
    return False


def _abort(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info('socket')
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


def _chunk(data: bytes) -> bytes:
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


def _json(body: typing.Any, request: str = '', said: bytes = b'') -> bytes:
    data = msgspec.json.encode(body)
    named = f'X-Galenahatch-Request-Id: {request}\r\n' if request else ''
    return (
        (
            'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
            f'{named}Content-Length: {len(data)}\r\n'
        ).encode()
        + said
        + b'\r\n'
        + data
    )
