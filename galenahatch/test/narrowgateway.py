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
"""The gateway on a VM whose link is narrow.

All that the process writes leaves in the order in which it was written, at
the rate that the settings state, and a new connection waits behind it. The
loopback has no such limit.

Run as a program, it reads the settings like the gateway.
"""

import asyncio
import collections
import collections.abc
import os
import pathlib
import sys
import typing

import msgspec

from galenahatch.gateway import overload
from galenahatch.gateway import program
from galenahatch.gateway import sessions

_BYTES_PER_MBIT: typing.Final = 125_000
_STEP_S: typing.Final = 0.002


class _Link:
    """A queue that is served at a constant rate.

    Args:
        rate: bytes per second.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._queue: collections.deque[
            tuple[int, collections.abc.Callable[[], None]]
        ] = collections.deque()
        self._task: asyncio.Task[None] | None = None

    def send(
        self, size: int, action: collections.abc.Callable[[], None]
    ) -> None:
        """Do something once some bytes, and all before them, have left."""
        self._queue.append((size, action))
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._serve())

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        free_at = loop.time()
        while self._queue:
            size, action = self._queue.popleft()
            free_at += size / self._rate
            if free_at - loop.time() > _STEP_S:
                await asyncio.sleep(free_at - loop.time())
            action()

    async def wait(self) -> None:
        """Wait until all that was sent has left."""
        sent = asyncio.Event()
        self.send(1, sent.set)
        await sent.wait()


class _NarrowTransport:
    """Transport of which all writes pass the link.

    Args:
        transport: the actual transport.
        link: carries what is written.
    """

    def __init__(self, transport: typing.Any, link: _Link) -> None:
        self._transport = transport
        self._link = link

    def __getattr__(self, name: str) -> typing.Any:
        """Return an attribute of the actual transport."""
        return getattr(self._transport, name)

    def write(self, data: typing.Any) -> None:
        """Write bytes once the link has carried them."""
        copied = bytes(data)
        self._link.send(len(copied), lambda: self._pass_on(copied))

    def writelines(self, chunks: typing.Any) -> None:
        """Write several chunks of bytes."""
        self.write(b''.join(chunks))

    def _pass_on(self, data: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(data)

    def close(self) -> None:
        """Close the connection after what was written."""
        self._link.send(1, self._transport.close)


def _install() -> None:
    file = pathlib.Path(os.environ['GALENAHATCH_SETTINGS'])
    limits = msgspec.json.decode(file.read_bytes())['limits']
    link = _Link(limits['link_mbps'] * _BYTES_PER_MBIT)

    class NarrowMeteredTransport(overload.MeteredTransport):
        """Counts what is written, and passes it to the link."""

        def __init__(self, transport: typing.Any, meter: typing.Any) -> None:
            narrow: typing.Any = _NarrowTransport(transport, link)
            super().__init__(narrow, meter)

    overload.MeteredTransport = NarrowMeteredTransport  # type: ignore
    connector: typing.Any = vars(sessions)['_Connector']
    establish = connector.__mro__[1]._wrap_create_connection

    async def wait_and_establish(
        self: object, *args: typing.Any, **options: typing.Any
    ) -> object:
        await link.wait()
        return await establish(self, *args, **options)

    connector.__mro__[1]._wrap_create_connection = wait_and_establish


if __name__ == '__main__':
    _install()
    sys.exit(program.main())
