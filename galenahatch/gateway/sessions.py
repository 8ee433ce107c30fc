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

"""Client sessions for connections to upstreams.

The client library never retries by itself. A pooled connection that received
unsolicited bytes is closed.
"""

import asyncio
import collections
import functools
import ipaddress
import socket
import typing

import aiohttp
from aiohttp import client_proto
from aiohttp import connector as connectors
import yarl

from galenahatch import clock
from galenahatch.gateway import instruments
from galenahatch.gateway import overload
from galenahatch import logs
from galenahatch.upstream import http

KEEP_ALIVE_S: typing.Final = 4.0
"""Idle timeout of pooled connections, shorter than that of upstreams: closing
early costs a handshake, closing late a failed send."""
_TCP_USER_TIMEOUT_MS: typing.Final = 2000
"""Connections are dropped if the peer acknowledges nothing for this long; a VM
that lost power never closes its connections."""
_MAX_HEADER_BYTES: typing.Final = 32768
_READ_BYTES: typing.Final = 16 * 1024
"""Bytes of a stream that the kernel and the client library each hold while it
isn't read, if buffers are limited."""
_DEFAULT_READ_BYTES: typing.Final = 64 * 1024
_log = logs.Log('sessions')


class _Protocol(http.Protocol):
    """Protocol that counts what is written and read.

    Args:
        meter: Counts what is written and read.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, meter: overload.Meter
    ) -> None:
        super().__init__(loop)
        self._meter = meter

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count what is written to the connection."""
        metered = overload.MeteredTransport(transport, self._meter)
        super().connection_made(typing.cast(asyncio.Transport, metered))

    def on_excess(self, kind: str, address: str) -> None:
        """Log and count a server that sends what is no response."""
        instruments.answers_refused.add(1, {'address': address, 'kind': kind})
        _log.warning('Answer broken off.', address=address, kind=kind)

    def data_received(self, data: bytes) -> None:
        """Process received data and count it."""
        self._meter.count_read(len(data))
        super().data_received(data)


class _Connector(http.Connector):
    """Connector that closes pooled connections with unsolicited bytes."""

    def __init__(
        self,
        pooled: bool,
        limits_buffers: bool,
        own_address: str,
        meter: overload.Meter,
    ) -> None:
        local = (own_address, 0) if own_address else None
        if pooled:
            super().__init__(
                limit=0,
                keepalive_timeout=KEEP_ALIVE_S,
                local_addr=local,
                socket_factory=create_socket,
            )
        else:
            factory = _create_small_socket if limits_buffers else create_socket
            super().__init__(
                limit=0,
                force_close=True,
                local_addr=local,
                socket_factory=factory,
            )
        self._meter = meter
        loop = self._loop
        self._factory = lambda: _Protocol(loop, meter)  # type: ignore

    async def _wrap_create_connection(
        self, *args: typing.Any, **options: typing.Any
    ) -> tuple[asyncio.Transport, client_proto.ResponseHandler]:
        began_at = clock.now()
        made = await super()._wrap_create_connection(*args, **options)
        address = str(options['addr_infos'][0][4])
        self._meter.on_connect(address, clock.now() - began_at)
        return made

    async def _get(
        self,
        key: typing.Any,
        traces: list[typing.Any],
    ) -> connectors.Connection | None:
        pooled = self._conns.get(key)
        if pooled is not None:
            reusable = []
            for pair in pooled:
                if _is_reusable(pair[0]):
                    reusable.append(pair)
                else:
                    pair[0].close()
            self._conns[key] = collections.deque(reusable)
            if not reusable:
                del self._conns[key]
        return await super()._get(key, traces)


def _is_reusable(protocol: client_proto.ResponseHandler) -> bool:
    """Return whether a pooled connection received no unsolicited bytes."""
    assert isinstance(protocol, http.Protocol)
    return not (protocol.should_close or protocol.has_partial_response)


def create_socket(address: typing.Any) -> socket.socket:
    """Return a TCP socket that detects a peer that has lost power."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
    )
    return sock


def _create_small_socket(address: typing.Any) -> socket.socket:
    """Return a socket that receives little ahead of what is read."""
    sock = create_socket(address)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _READ_BYTES)
    return sock


def create(
    pooled: bool,
    limits_buffers: bool,
    meter: overload.Meter,
    own_address: str = '',
) -> aiohttp.ClientSession:
    """Return a client session.

    Args:
        pooled: Whether connections are kept open for further requests.
        limits_buffers: Whether to limit what is received ahead of reads.
        meter: Counts what is written and read.
        own_address: IP address from which to connect; empty for any.
    """
    return aiohttp.ClientSession(
        connector=_Connector(pooled, limits_buffers, own_address, meter),
        read_bufsize=_READ_BYTES if limits_buffers else _DEFAULT_READ_BYTES,
        timeout=http.NO_TIMEOUT,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(http.send_once,),
        max_line_size=_MAX_HEADER_BYTES,
        max_field_size=_MAX_HEADER_BYTES,
    )


def url(address: str, target: str) -> yarl.URL:
    """Return a URL whose path and query are sent byte for byte.

    Raises:
        http.UnsendableError: the address is invalid.
    """
    try:
        host, port = split_address(address)
        return yarl.URL.build(
            scheme='http', host=host, port=port, path=target, encoded=True
        )
    except ValueError as error:
        raise http.UnsendableError(f'{address!r}: {error}') from error


@functools.lru_cache(maxsize=4096)
def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address, as `IP:PORT`.

    Raises:
        ValueError: the address is invalid.
    """
    parsed = yarl.URL(f'http://{address}')
    ipaddress.ip_address(parsed.host or '')
    if not parsed.explicit_port or not address.isprintable():
        raise ValueError('no port, or characters that are not printable')
    return parsed.host_subcomponent or '', parsed.explicit_port
