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

"""Ports for the processes that tests start.

A port that was found free is bound later, by another process; until then
nothing may take it. So each process of tests holds a block of ports of its
own, outside the range from which the kernel draws ports of connections that
go out. The first port of a block stays bound as long as it is held.
"""

import functools
import itertools
import pathlib
import random
import socket
import typing

_FIRST: typing.Final = 10_000
_BLOCK: typing.Final = 200
_EPHEMERAL: typing.Final = pathlib.Path(
    '/proc/sys/net/ipv4/ip_local_port_range'
)
_LOOPBACK: typing.Final = '127.0.0.1'


class NoPortsError(Exception):
    """All blocks of ports are held by other processes."""


@functools.cache
def _block() -> tuple[socket.socket, typing.Iterator[int]]:
    """Return what holds this process's block, and its ports in turn."""
    end = int(_EPHEMERAL.read_text().split()[0])
    starts = list(range(_FIRST, end - _BLOCK, _BLOCK))
    random.SystemRandom().shuffle(starts)
    for start in starts:
        holder = socket.socket()
        try:
            holder.bind((_LOOPBACK, start))
        except OSError:
            holder.close()
            continue
        return holder, itertools.cycle(range(start + 1, start + _BLOCK))
    raise NoPortsError(f'{len(starts)} blocks of {_BLOCK} ports')


def free(address: str = _LOOPBACK) -> int:
    """Return a port that is free at an address and that no one else takes."""
    for port in itertools.islice(_block()[1], _BLOCK):
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
            except OSError:
                continue
            return port
    raise NoPortsError(f'none of {_BLOCK} is free at {address}')
