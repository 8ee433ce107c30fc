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

"""Results of sends to upstreams: responses and failures."""

import asyncio
import dataclasses
import enum
import functools
import typing

import aiohttp

from galenahatch.core import fate
from galenahatch.core import memorybudget
from galenahatch.gateway import calls
from galenahatch.gateway import flowcontrol
from galenahatch.gateway import inflight
from galenahatch import ids
from galenahatch.upstream import http

MAX_RESPONSE_BYTES: typing.Final = 16 * 1024 * 1024
"""Size limit of a response that is buffered in memory."""
MAX_SMALL_BYTES: typing.Final = 1024 * 1024
"""Largest response to a request of the gateway itself, and largest refusal."""


class Cause(enum.Enum):
    """What a send failed at.

    Attributes:
        UNKNOWN: The upstream or the path from here.
        UPSTREAM: The upstream, as a proxy has seen.
        PATH: The path from here, as a proxy has seen.
        PROXY: The gateway that proxied the request.
        PROXY_PATH: The same, for this upstream only.
        MEMORY: This process, which has no memory for the response.
    """

    UNKNOWN = 'unknown'
    UPSTREAM = 'upstream'
    PATH = 'path'
    PROXY = 'proxy'
    PROXY_PATH = 'proxy_path'
    MEMORY = 'memory'


class SmallResponse(typing.NamedTuple):
    """Complete response to a request of the gateway itself."""

    status: int
    body: bytes
    raw_headers: tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True)
class FailedSend:
    """A send without a usable response.

    Attributes:
        fate: What is known about the execution of the request.
        head: Head of the response, if one was received.
        is_disconnect: Whether the connection broke, as opposed to a timeout.
        cause: What the send failed at.
    """

    fate: fate.Fate
    detail: str
    head: calls.ResponseHead | None = None
    is_disconnect: bool = False
    cause: Cause = Cause.UNKNOWN

    @property
    def is_silence(self) -> bool:
        """Whether nothing came any more over a connection that stays open."""
        return (
            self.fate is fate.Fate.UNCERTAIN
            and not self.is_disconnect
            and self.head is None
        )


class Response:
    """A response whose head has been received.

    Args:
        response: Response object of the client library.
        head: Decoded status and headers.
        upstream: Upstream that sent the response.
        waits: Waits of this process, which limit each read.
        flow: Flow control of this process; None if bytes are not counted.
        cause: What failed if the response breaks off.

    Attributes:
        lacks_memory: Whether the body was not read, or was broken off for
            others, for lack of memory here.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        head: calls.ResponseHead,
        upstream: ids.UpstreamId,
        waits: inflight.Waits,
        flow: flowcontrol.FlowControl | None,
        cause: Cause = Cause.UNKNOWN,
    ) -> None:
        self.head = head
        self._cause = cause
        self._flow = flow
        self._response = response
        self._upstream = upstream
        self._waits = waits
        self._ahead: asyncio.Task[bytes | FailedSend] | None = None
        self.lacks_memory = False

    async def body(
        self, timeout: float, max_bytes: int = MAX_RESPONSE_BYTES
    ) -> bytes | None:
        """Return the body; None if it is incomplete or too large.

        Args:
            timeout: Seconds until the body must be complete.
            max_bytes: Largest body that is read.
        """
        try:
            async with self._waits.limit(self._upstream, max(0.0, timeout)):
                # What has arrived as a whole takes no further memory.
                content = self._response.content
                flow = None if content.is_eof() else self._flow
                direction = memorybudget.Direction.ANSWERS
                with flowcontrol.hold(flow, direction) as holding:
                    return await self._read_body(holding, max_bytes)
        except asyncio.TimeoutError:
            return None

    async def _read_body(
        self, holding: memorybudget.Holding | None, max_bytes: int
    ) -> bytes | None:
        # One growing buffer would be copied as it grows. Joining the chunks
        # needs their size once more.
        chunks: list[bytes] = []
        size = 0
        if holding is not None:
            holding.break_off = functools.partial(
                http.break_off, self._response
            )
        try:
            while True:
                if not await self._wait_for_room(holding, size):
                    self.lacks_memory = True
                    break
                chunk = await self._response.content.readany()
                if not chunk:
                    return b''.join(chunks)
                chunks.append(chunk)
                size += len(chunk)
                if size > max_bytes or (holding and holding.is_closed):
                    break
                flowcontrol.grow(self._flow, holding, 2 * len(chunk))
        except http.CLIENT_ERRORS:
            pass
        except BaseException:
            self.close()
            raise
        finally:
            # An error refers to this frame, and is itself referred to.
            chunks.clear()
        if holding is not None and holding.is_closed:
            self.lacks_memory = True
        self.close()
        return None

    async def _wait_for_room(
        self, holding: memorybudget.Holding | None, size: int
    ) -> bool:
        """Wait until more of the body may be read, and reserve its bytes.

        Many answers that arrive at once are read one after the other: a part
        of each would fill the budget with none of them complete.

        Args:
            size: Bytes read so far.

        Returns:
            False if that takes too long.
        """
        if self._flow is None or holding is None or holding.reserved:
            return True
        expected = self._response.content_length or 0
        return await self._flow.wait_for_room(
            holding,
            is_complete=self._response.content.is_eof,
            size=0 if size else 2 * expected,
        )

    async def read(self, timeout: float) -> bytes | FailedSend:
        """Return the next bytes, or empty bytes at the end.

        Args:
            timeout: Seconds of silence after which the read fails.
        """
        if self._ahead is None:
            return await self._read(timeout)
        ahead = self._ahead
        try:
            async with self._waits.limit(self._upstream, timeout):
                await asyncio.wait((ahead,))
        except asyncio.TimeoutError:
            return FailedSend(fate.Fate.UNCERTAIN, 'silent', cause=self._cause)
        self._ahead = None
        return ahead.result()

    async def _read(self, timeout: float | None) -> bytes | FailedSend:
        try:
            async with self._waits.limit(self._upstream, timeout):
                return await self._response.content.readany()
        except asyncio.TimeoutError:
            return FailedSend(fate.Fate.UNCERTAIN, 'silent', cause=self._cause)
        except http.CLIENT_ERRORS as error:
            return self.broken(f'{type(error).__name__} {error}')

    def read_ahead(self) -> 'asyncio.Task[bytes | FailedSend]':
        """Return a read in progress, whose result the next read returns."""
        if self._ahead is None:
            self._ahead = asyncio.create_task(self._read(None))
        return self._ahead

    @property
    def has_read_ahead(self) -> bool:
        """Whether the next read returns without waiting."""
        return self._ahead is not None and self._ahead.done()

    def broken(self, detail: str) -> FailedSend:
        """Return the failure of a response whose connection broke."""
        return FailedSend(
            fate.Fate.UNCERTAIN, detail, is_disconnect=True, cause=self._cause
        )

    def close(self) -> None:
        """Close the connection, which makes the upstream abort its work."""
        if self._ahead is not None:
            self._ahead.cancel()
        self._response.close()
