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
import asyncio
import gc
import os
import socket
import typing

import aiohappyeyeballs
import aiohttp
import pytest
import uvloop

from galenahatch.upstream import http

_OPENED: typing.Final = 20


async def _connect_and_cancel(
    monkeypatch: pytest.MonkeyPatch, port: int
) -> BaseException:
    """Cancel a request while its transport is opened; return the error."""
    start_connection = aiohappyeyeballs.start_connection

    async def start_and_cancel(**options: typing.Any) -> socket.socket:
        sock = await start_connection(**options)
        asyncio.get_running_loop().call_soon(task.cancel)
        return sock

    async with aiohttp.ClientSession(connector=http.Connector()) as session:
        with monkeypatch.context() as patch:
            patch.setattr(
                aiohappyeyeballs, 'start_connection', start_and_cancel
            )
            task = asyncio.ensure_future(
                session.get(f'http://127.0.0.1:{port}/')
            )
            with pytest.raises(asyncio.CancelledError) as caught:
                await task
        await asyncio.sleep(0.05)
        return caught.value


# Guards against answers that are written to the connection of another
# request, since a cancelled one has closed a descriptor twice.
def test_cancelled_connection_closes_no_other_descriptor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Sockets opened after a cancelled connection stay open."""

    async def run() -> None:
        server = await asyncio.start_server(
            lambda reader, writer: None, '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        error: BaseException | None
        error = await _connect_and_cancel(monkeypatch, port)
        opened = [socket.socket() for _ in range(_OPENED)]
        # The traceback keeps the socket of the cancelled connection alive.
        assert error.__traceback__ is not None
        del error
        gc.collect()
        for sock in opened:
            os.fstat(sock.fileno())
            sock.close()
        server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())
