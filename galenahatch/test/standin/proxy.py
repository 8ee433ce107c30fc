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

"""A loopback proxy that disturbs the connections to one upstream.

Modes: empty for none, `delay` (50 ms on the way there), `silent` (nothing
passes, either way), `one-way` (requests pass, answers don't) and `refuse`
(new connections are reset). `reset` breaks all connections at once; `hush`
silences those that are open for good, without a word, and not new ones.
"""

import asyncio
import socket
import struct
import typing

_DELAY: typing.Final = 0.05
_STEP: typing.Final = 0.02


class Proxy:
    """Stands between gateways and one upstream.

    Args:
        target: `ip:port` of the upstream.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._hushed: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.mode = ''
        self.address = ''

    async def start(self) -> None:
        """Listen on a free port of the loopback."""
        self._server = await asyncio.start_server(
            self._connection, '127.0.0.1', 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            _abort(writer)

    def hush(self) -> None:
        """Let nothing pass on the connections that are open now."""
        self._hushed |= self._writers

    async def _connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == 'refuse':
            _abort(writer)
            return
        host, _, port = self._target.rpartition(':')
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            _abort(writer)
            return
        self._writers |= {writer, back}
        await asyncio.gather(
            self._copy(reader, back, ('silent',)),
            self._copy(there, writer, ('silent', 'one-way')),
        )
        self._writers -= {writer, back}
        self._hushed -= {writer, back}

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocked: tuple[str, ...],
    ) -> None:
        try:
            while data := await reader.read(65536):
                if self.mode == 'delay':
                    await asyncio.sleep(_DELAY)
                while self.mode in blocked or writer in self._hushed:
                    await asyncio.sleep(_STEP)
                writer.write(data)
                await writer.drain()
            writer.close()
        except ConnectionError:
            _abort(writer)


def _abort(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    connection = writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError:
        # It is closed already.
        return
    writer.transport.abort()
