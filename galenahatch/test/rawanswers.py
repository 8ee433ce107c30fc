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

"""Answers as bytes, parsed strictly, as a caller with its own parser does."""

import asyncio
import contextlib
import re
import typing

from galenahatch.test import fleet as fleets

_HEAD_FORMAT: typing.Final = re.compile(
    rb'HTTP/1\.[01] ([0-9]{3}) [^\r\n]*\r\n((?:[\w-]+:[^\r\n]*\r\n)*)\r\n'
)
_CHUNK_FORMAT: typing.Final = re.compile(rb'([0-9a-f]+)(?:;[^\r\n]*)?\r\n')
_TRAILERS_FORMAT: typing.Final = re.compile(rb'(?:[\w-]+:[^\r\n]*\r\n)*\r\n')
_TIMEOUT_S: typing.Final = 10.0


class Got(typing.NamedTuple):
    """An answer as parsed strictly.

    Attributes:
        status: 0 without a complete head.
        is_framed: Whether it has a length or chunks.
        left: Bytes after its end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    is_framed: bool
    left: bytes


def parse(data: bytes) -> Got:
    """Parse the bytes of a connection that has ended."""
    match = _HEAD_FORMAT.match(data)
    if match is None:
        return Got(0, {}, b'', False, False, b'')
    status, rest = int(match[1]), data[match.end() :]
    if 100 <= status < 200:
        return parse(rest)
    lines = match[2].decode('latin-1').split('\r\n')[:-1]
    pairs = (line.split(':', 1) for line in lines)
    headers = {name.lower(): value.strip() for name, value in pairs}
    if 'transfer-encoding' in headers:
        assert 'content-length' not in headers
        body, end = _join_chunks(rest)
        left = rest[end:] if end else b''
        return Got(status, headers, body, end > 0, True, left)
    if 'content-length' not in headers:
        return Got(status, headers, rest, True, False, b'')
    size = int(headers['content-length'])
    is_whole = len(rest) >= size
    return Got(status, headers, rest[:size], is_whole, True, rest[size:])


def _join_chunks(data: bytes) -> tuple[bytes, int]:
    """Return the body in chunks, and where they end; 0 if they don't."""
    body, at = b'', 0
    while match := _CHUNK_FORMAT.match(data, at):
        size, at = int(match[1], 16), match.end()
        if not size:
            trailers = _TRAILERS_FORMAT.match(data, at)
            return body, trailers.end() if trailers else 0
        body += data[at : at + size]
        at += size + 2
        if data[at - 2 : at] != b'\r\n':
            break
    return body, 0


async def exchange(vm: fleets.Vm, request: bytes) -> bytes:
    """Send a request on a new connection; return all bytes that come back.

    Args:
        vm: Gateway that gets it.
        request: Asks the gateway to close the connection after its answer.
    """
    reader, writer = await asyncio.open_connection(vm.address, vm.front)
    writer.write(request)
    data = b''
    with contextlib.suppress(ConnectionError):
        while block := await asyncio.wait_for(reader.read(65536), _TIMEOUT_S):
            data += block
    writer.close()
    return data
