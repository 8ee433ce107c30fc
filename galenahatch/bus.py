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

"""Sockets between the project's own processes.

A scheduler binds one ROUTER socket. Every other daemon and every other
scheduler connects one DEALER socket to it. A `Link` owns a DEALER and its
receiving task; a `Hub` owns a ROUTER. Neither ever blocks its caller: a
full send queue drops the message, since each protocol above repeats what
matters. Frames that do not decode are counted and dropped.
"""

import asyncio
import typing

import zmq
import zmq.asyncio

from galenahatch import errors
from galenahatch import logs
from galenahatch import messages
from galenahatch import metrics

_QUEUE_FRAMES: typing.Final = 2000
_RECONNECT_MS: typing.Final = 100
_RECONNECT_MAX_MS: typing.Final = 2000
_DROP_LOG_EVERY: typing.Final = 100
_log = logs.Log('bus')

LinkHandler = typing.Callable[[messages.AnyMessage], None]
Peer = typing.NewType('Peer', bytes)
HubHandler = typing.Callable[[Peer, messages.AnyMessage], None]


def _limit(socket: zmq.asyncio.Socket) -> None:
    socket.setsockopt(zmq.LINGER, 200)
    socket.setsockopt(zmq.SNDHWM, _QUEUE_FRAMES)
    socket.setsockopt(zmq.RCVHWM, _QUEUE_FRAMES)
    socket.setsockopt(zmq.MAXMSGSIZE, messages.MAX_FRAME_BYTES)


class _Drops:
    """Counts dropped frames and logs now and then."""

    def __init__(self) -> None:
        self._count = 0

    def add(self, failure: errors.Failure) -> None:
        metrics.frames_dropped.add(1, {'reason': failure.reason.name})
        if self._count % _DROP_LOG_EVERY == 0:
            _log.warning('Frame dropped.', detail=failure.detail)
        self._count += 1


class Link:
    """One connection to a scheduler.

    Args:
        context: shared by all sockets of the process.
        endpoint: `tcp://ip:port`.
        handler: called with each message from the scheduler.
    """

    def __init__(
        self,
        context: zmq.asyncio.Context,
        endpoint: str,
        handler: LinkHandler,
    ) -> None:
        self._socket = context.socket(zmq.DEALER)
        _limit(self._socket)
        self._socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
        self._socket.connect(endpoint)
        self._handler = handler
        self._drops = _Drops()
        self._task = asyncio.create_task(self._receive())

    def send(self, message: messages.AnyMessage) -> None:
        """Queue a message; dropped when the peer is long away."""
        frame = messages.encode(message)
        metrics.control_bytes.add(len(frame))
        _count_failure(self._socket.send(frame, zmq.NOBLOCK))

    async def close(self) -> None:
        """End the receiving task and close the socket."""
        self._task.cancel()
        await asyncio.wait([self._task])
        self._socket.close()

    async def _receive(self) -> None:
        while True:
            frame = await self._socket.recv()
            message = messages.decode(frame)
            if isinstance(message, errors.Failure):
                self._drops.add(message)
                continue
            _guarded(self._handler, message)


class Hub:
    """The bound socket of a scheduler.

    Args:
        context: shared by all sockets of the process.
        endpoint: `tcp://ip:port`.
        handler: called with each message and its sender.
    """

    def __init__(
        self,
        context: zmq.asyncio.Context,
        endpoint: str,
        handler: HubHandler,
    ) -> None:
        self._socket = context.socket(zmq.ROUTER)
        _limit(self._socket)
        self._socket.bind(endpoint)
        self._handler = handler
        self._drops = _Drops()
        self._task = asyncio.create_task(self._receive())

    def send(self, peer: Peer, message: messages.AnyMessage) -> None:
        """Queue an answer; dropped when the peer is away."""
        frame = messages.encode(message)
        metrics.control_bytes.add(len(frame))
        parts = [peer, frame]
        _count_failure(self._socket.send_multipart(parts, zmq.NOBLOCK))

    async def close(self) -> None:
        """End the receiving task and close the socket."""
        self._task.cancel()
        await asyncio.wait([self._task])
        self._socket.close()

    async def _receive(self) -> None:
        while True:
            parts = await self._socket.recv_multipart()
            if len(parts) != 2:
                failure = errors.Failure(
                    errors.BAD_FRAME, f'{len(parts)} parts'
                )
                self._drops.add(failure)
                continue
            message = messages.decode(parts[1])
            if isinstance(message, errors.Failure):
                self._drops.add(message)
                continue
            peer = Peer(parts[0])
            _guarded(lambda m: self._handler(peer, m), message)


def _count_failure(sent: typing.Awaitable[typing.Any]) -> None:
    """Count a send that could not be queued at once."""
    assert isinstance(sent, asyncio.Future)
    if sent.done() and not sent.cancelled() and sent.exception():
        metrics.frames_dropped.add(1, {'reason': 'queue'})


def _guarded(handler: LinkHandler, message: messages.AnyMessage) -> None:
    """Call a handler; its failure must not end the receiving task."""
    try:
        handler(message)
    except Exception as error:  # noqa: H201  (logged, the task lives on)
        _log.error(
            'Handler failed.',
            message=type(message).__name__,
            error=repr(error),
        )
