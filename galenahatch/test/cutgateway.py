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
"""A gateway whose paths to upstreams a test can cut (`fleet.Vm.cut`).

Its connections to upstreams bear its own address, so that stand-ins can tell
gateways apart. All but its store at 127.0.0.1 are upstreams.
"""

import asyncio
import os
import pathlib
import socket
import sys
import typing

from aiohttp import connector
import msgspec

from galenahatch.gateway import program
from galenahatch.gateway import sessions

SUFFIX: typing.Final = '.cut'
"""Ends the name of the file, beside the settings, that holds what happens to
new connections: `hang` or `refuse`."""


class _Cut:
    """What happens to new connections of this process."""

    def __init__(self) -> None:
        file = pathlib.Path(os.environ['GALENAHATCH_SETTINGS'])
        settings = msgspec.json.decode(file.read_bytes())
        self.address = settings['ip']
        self._store = settings['platform']['address']
        self._file = file.with_suffix(SUFFIX)

    async def check(self, host: str, port: int) -> None:
        """Hang or raise an error if the path is cut."""
        if host != '127.0.0.1' or f'{host}:{port}' == self._store:
            return
        mode = self._file.read_text() if self._file.exists() else ''
        if mode == 'hang':
            await asyncio.sleep(60)
        if mode:
            raise ConnectionRefusedError('cut')


def _install() -> None:
    cut = _Cut()
    eyeballs: typing.Any = vars(connector)['aiohappyeyeballs']
    start = eyeballs.start_connection
    open_connection = asyncio.open_connection
    create_socket = sessions.create_socket

    async def checked_start(**options: typing.Any) -> object:
        await cut.check(*options['addr_infos'][0][4][:2])
        return await start(**options)

    async def checked_open(
        host: str, port: int, **options: typing.Any
    ) -> object:
        await cut.check(host, port)
        return await open_connection(host, port, **options)

    def create_bound(address: typing.Any) -> socket.socket:
        sock = create_socket(address)
        if address[-1][0] == '127.0.0.1':
            sock.bind((cut.address, 0))
        return sock

    eyeballs.start_connection = checked_start
    asyncio.open_connection = checked_open  # type: ignore
    sessions.create_socket = create_bound


if __name__ == '__main__':
    _install()
    sys.exit(program.main())
