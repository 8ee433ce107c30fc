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

"""ZeroMQ sockets between the daemons.

A scheduler binds one ROUTER socket, owned by a `Hub`. Every other daemon and
every other scheduler connects one DEALER socket to it, owned by a `Link`.
Sends never block: a full send queue drops the message, since the protocols
above resend what they need. Frames that do not decode are counted and
dropped.

Callbacks read many frames at a time: awaiting each frame costs several times
as much as processing it.
"""

import asyncio
import collections.abc
import dataclasses
import ipaddress
import typing

import zmq

from galenahatch import bounds
from galenahatch import clock
from galenahatch import errors
from galenahatch import logs
from galenahatch import metrics

_QUEUE_FRAMES: typing.Final = 2000
_RECONNECT_MS: typing.Final = 100
_RECONNECT_MAX_MS: typing.Final = 2000
_LINGER_MS: typing.Final = 200
_PING_INTERVAL_MS: typing.Final = 500
_PING_TIMEOUT_MS: typing.Final = 1000
"""Replaces a connection that went silent without a reset, which nothing else
detects. Gateways send heartbeats every 250 ms and consider a member gone
after 800 ms; without this timeout they asked different owners for up to ten
seconds after their connections had gone silent."""
_FRAMES_PER_DROP_LOG: typing.Final = 100
_MAX_MESSAGES_PER_READ: typing.Final = 64
_log = logs.Log('bus')

MAX_FRAME_BYTES: typing.Final = 4 * 1024 * 1024

M = typing.TypeVar('M')
Peer = typing.NewType('Peer', bytes)
_Frames = list[bytes]


@dataclasses.dataclass(frozen=True)
class Codec(typing.Generic[M]):
    """Encoder and decoder for the messages of one protocol."""

    encode: collections.abc.Callable[[M], bytes]
    decode: collections.abc.Callable[[bytes], M | errors.Failure]


class _SocketReader:
    """Reads a socket when it has messages, and sends without blocking.

    The file descriptor of a ZeroMQ socket signals only that the socket's state
    may have changed, so each send schedules a read too.

    Args:
        socket: configured socket; this object closes it.
        handler: callback for the parts of each message.
    """

    def __init__(
        self,
        socket: zmq.Socket[bytes],
        handler: collections.abc.Callable[[_Frames], None],
    ) -> None:
        self._socket = socket
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._closed = False
        self._scheduled = False
        self._loop.add_reader(socket.fileno(), self._schedule)
        self._schedule()

    def send(self, parts: _Frames) -> None:
        """Queue a message; drop it when the queue is full."""
        try:
            self._socket.send_multipart(parts, zmq.NOBLOCK)
        except zmq.ZMQError:
            metrics.frames_dropped.add(1, {'reason': 'queue'})
        self._schedule()

    def close(self) -> None:
        """Close the socket."""
        self._closed = True
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()

    def _schedule(self) -> None:
        if not self._scheduled and not self._closed:
            self._scheduled = True
            self._loop.call_soon(self._read_messages)

    def _read_messages(self) -> None:
        """Read a batch of messages and record the time it took."""
        self._scheduled = False
        started_at = clock.now()
        count = self._read_batch()
        if count:
            metrics.control_seconds.add(clock.now() - started_at)
        if count == _MAX_MESSAGES_PER_READ:
            self._schedule()

    def _read_batch(self) -> int:
        """Read messages up to the batch limit; return how many were read."""
        for count in range(_MAX_MESSAGES_PER_READ):
            if self._closed:
                return count
            try:
                parts = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.ZMQError:
                return count
            self._handler(parts)
        return _MAX_MESSAGES_PER_READ


class _FrameDecoder(typing.Generic[M]):
    """Decodes frames; counts and logs those that are malformed."""

    def __init__(self, codec: Codec[M]) -> None:
        self._codec = codec
        self._dropped_count = 0

    def decode(self, frame: bytes) -> M | None:
        """Return the message in a frame; None if the frame was dropped."""
        message = self._codec.decode(frame)
        if isinstance(message, errors.Failure):
            self.count_dropped(message)
            return None
        return message

    def count_dropped(self, failure: errors.Failure) -> None:
        """Count a dropped frame; log only some of them."""
        metrics.frames_dropped.add(1, {'reason': failure.reason.name})
        if self._dropped_count % _FRAMES_PER_DROP_LOG == 0:
            _log.warning('Frame dropped.', detail=failure.detail)
        self._dropped_count += 1


def _create_socket(
    context: zmq.Context[zmq.Socket[bytes]], kind: int
) -> zmq.Socket[bytes]:
    """Create a socket with bounded queues, frame sizes and ping timeouts."""
    socket = context.socket(kind)
    socket.setsockopt(zmq.LINGER, _LINGER_MS)
    socket.setsockopt(zmq.SNDHWM, _QUEUE_FRAMES)
    socket.setsockopt(zmq.RCVHWM, _QUEUE_FRAMES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
    socket.setsockopt(zmq.HEARTBEAT_IVL, _PING_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, _PING_TIMEOUT_MS)
    return socket


def context() -> zmq.Context[zmq.Socket[bytes]]:
    """Return the ZeroMQ context shared by all sockets of this process."""
    return zmq.Context.instance()


def endpoint(address: str, port: int) -> str:
    """Return the endpoint of a hub.

    Raises:
        ValueError: the address isn't an IP address, or the port is invalid.
            A socket would look up another address's name for seconds, during
            which all sockets of the process stand still.
    """
    ipaddress.ip_address(address)
    if not 0 < port <= bounds.MAX_PORT:
        raise ValueError(f'port {port}')
    return f'tcp://{address}:{port}'


class Link(typing.Generic[M]):
    """DEALER socket connected to another daemon's hub.

    Args:
        endpoint: `tcp://ip:port` of the hub.
        codec: encoder and decoder of the messages.
        handler: callback for each received message.

    Raises:
        ValueError: the endpoint is invalid.
    """

    def __init__(
        self,
        endpoint: str,
        codec: Codec[M],
        handler: collections.abc.Callable[[M], None],
    ) -> None:
        socket = _create_socket(context(), zmq.DEALER)
        socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
        try:
            socket.connect(endpoint)
        except zmq.ZMQError as error:
            socket.close()
            raise ValueError(f'{endpoint!r}: {error}') from error
        self._handler = handler
        self._codec = codec
        self._decoder = _FrameDecoder(codec)
        self._reader = _SocketReader(socket, self._receive)

    def send(self, message: M) -> None:
        """Queue a message; drop it when the queue is full."""
        frame = self._codec.encode(message)
        metrics.control_bytes.add(len(frame))
        self._reader.send([frame])

    def close(self) -> None:
        """Close the socket."""
        self._reader.close()

    def _receive(self, parts: _Frames) -> None:
        message = self._decoder.decode(parts[-1])
        if message is not None:
            _call_handler(self._handler, message)


class Hub(typing.Generic[M]):
    """ROUTER socket that other daemons connect to.

    Args:
        endpoint: `tcp://ip:port` to bind.
        codec: encoder and decoder of the messages.
        handler: callback for each message and its sender.
    """

    def __init__(
        self,
        endpoint: str,
        codec: Codec[M],
        handler: collections.abc.Callable[[Peer, M], None],
    ) -> None:
        socket = _create_socket(context(), zmq.ROUTER)
        socket.bind(endpoint)
        self._handler = handler
        self._codec = codec
        self._decoder = _FrameDecoder(codec)
        self._reader = _SocketReader(socket, self._receive)

    def send(self, peer: Peer, message: M) -> None:
        """Queue a message for a peer; drop it if the peer is disconnected."""
        frame = self._codec.encode(message)
        metrics.control_bytes.add(len(frame))
        self._reader.send([peer, frame])

    def close(self) -> None:
        """Close the socket."""
        self._reader.close()

    def _receive(self, parts: _Frames) -> None:
        if len(parts) != 2:
            detail = f'{len(parts)} parts'
            self._decoder.count_dropped(
                errors.Failure(errors.BAD_FRAME, detail)
            )
            return
        message = self._decoder.decode(parts[1])
        if message is None:
            return
        peer = Peer(parts[0])
        _call_handler(lambda decoded: self._handler(peer, decoded), message)


def _call_handler(
    handler: collections.abc.Callable[[M], None], message: M
) -> None:
    """Call a handler; log its exceptions so that reading continues."""
    try:
        handler(message)
    except Exception as error:  # noqa: H201  (logged, reading goes on)
        _log.error(
            'Handler failed.',
            message=type(message).__name__,
            error=repr(error),
        )
