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

"""When the gateway closes callers' idle connections."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import time
import typing

from aiohttp import web
import pytest
import uvloop

from galenahatch.core import routes
from galenahatch.gateway import connections
from galenahatch.gateway import settings
from galenahatch.test import ports

_LOOPS: typing.Final = {
    'asyncio': asyncio.new_event_loop,
    'uvloop': uvloop.new_event_loop,
}
_REQUEST: typing.Final = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'


class _Caller:
    """A caller whose gateway's limits may be changed."""

    def __init__(self) -> None:
        self.limits = routes.Limits()
        self.server: connections.Server
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter

    @contextlib.asynccontextmanager
    async def connected(
        self, idle_timeout: float
    ) -> collections.abc.AsyncIterator[typing.Self]:
        """Connect under an idle limit."""
        self.set_limit(idle_timeout)
        self.server = connections.Server(self._answer, lambda: self.limits)
        where = settings.Address('127.0.0.1', ports.free())
        await self.server.listen(where)
        self._reader, self._writer = await asyncio.open_connection(
            where.host, where.port
        )
        yield self
        self._writer.close()
        self.server.stop_listening()
        await self.server.shutdown(0.05)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(text='answered')

    def set_limit(self, idle_timeout: float) -> None:
        """Change the idle limit."""
        self.limits = dataclasses.replace(
            self.limits, idle_timeout=idle_timeout
        )

    async def is_answered(self, *parts: bytes, pause: float = 0.0) -> bool:
        """Send the parts of a request; return whether it is answered."""
        for part in parts or (_REQUEST,):
            self._writer.write(part)
            await asyncio.sleep(pause)
        return (await self._reader.read(1000)).endswith(b'answered')

    async def stop(self) -> None:
        """Stop the gateway as a planned stop does."""
        while not await self.server.drain(refuse_new=False):
            await asyncio.sleep(0.02)

    def begin(self) -> None:
        """Send a part of a head."""
        self._writer.write(_REQUEST[:9])

    async def closed_after(self, seconds: float) -> float:
        """Return when the connection was closed, `seconds` at the most."""
        began = time.monotonic()
        with contextlib.suppress(TimeoutError):
            assert not await asyncio.wait_for(self._reader.read(1), seconds)
        return time.monotonic() - began


@pytest.fixture(params=_LOOPS)
def run(
    request: pytest.FixtureRequest,
) -> collections.abc.Iterator[
    collections.abc.Callable[
        [collections.abc.Coroutine[None, None, bool]], bool
    ]
]:
    """Return a function that runs a coroutine on each event loop."""
    with asyncio.Runner(loop_factory=_LOOPS[request.param]) as runner:
        yield runner.run


# Guards against requests that meet a close because a connection keeps the
# idle limit under which it was made.
@pytest.mark.parametrize('is_fresh', [True, False])
def test_raised_limit_holds_for_open_connections(
    run: typing.Any, is_fresh: bool
) -> None:
    """A limit that is raised holds for connections that are idle already."""

    async def raised() -> bool:
        async with _Caller().connected(0.5) as caller:
            assert is_fresh or await caller.is_answered()
            caller.set_limit(15.0)
            await asyncio.sleep(2.0)
            return await caller.is_answered()

    assert run(raised())


# Guards against connections that are held as long as an earlier limit said,
# and against a close of all that are idle while a limit is lowered.
def test_lowered_limit(run: typing.Any) -> None:
    """A limit that is lowered holds from the next request on."""

    async def lowered() -> bool:
        async with _Caller().connected(15.0) as caller:
            assert await caller.is_answered()
            caller.set_limit(0.3)
            await asyncio.sleep(2.0)
            assert await caller.is_answered()
            return 0.3 < await caller.closed_after(5.0) < 4.0

    assert run(lowered())


# Guards against a close that meets a request on its way.
def test_request_after_the_limit(run: typing.Any) -> None:
    """A request that comes a little later than the limit is answered."""

    async def late() -> bool:
        async with _Caller().connected(0.3) as caller:
            assert await caller.is_answered()
            await asyncio.sleep(0.5)
            return await caller.is_answered()

    assert run(late())


# Guards against a close between two parts of the head of a request.
def test_head_across_the_limit(run: typing.Any) -> None:
    """A head that is read as the limit passes may come completely."""

    async def split() -> bool:
        async with _Caller().connected(0.3) as caller:
            assert await caller.is_answered()
            await asyncio.sleep(0.1)
            return await caller.is_answered(
                _REQUEST[:9], _REQUEST[9:], pause=2.0
            )

    assert run(split())


# Guards against heads that never end, which no idle time would close.
def test_head_without_end(run: typing.Any) -> None:
    """A head that isn't complete in time ends with its connection."""

    async def endless() -> bool:
        caller = _Caller()
        caller.limits = routes.Limits(header_timeout=0.3)
        async with caller.connected(0.3):
            caller.begin()
            return await caller.closed_after(5.0) < 4.0

    assert run(endless())


# Guards against stops that close a connection whose next request is on its
# way: the first one, or one that follows an answer at once.
@pytest.mark.parametrize('is_fresh', [True, False])
def test_stop_awaits_the_next_request(run: typing.Any, is_fresh: bool) -> None:
    """A connection that was made or answered just now may be used."""

    async def stopped() -> bool:
        async with _Caller().connected(15.0) as caller:
            assert is_fresh or await caller.is_answered()
            stop = asyncio.create_task(caller.stop())
            await asyncio.sleep(0.1)
            is_answered = await caller.is_answered()
            await asyncio.wait_for(stop, 4.0)
            return is_answered

    assert run(stopped())


# Guards against callers that send nothing and keep a stop from ending.
def test_stop_beside_an_unused_connection(run: typing.Any) -> None:
    """A stop ends though a caller keeps its connection open."""

    async def stopped() -> bool:
        async with _Caller().connected(15.0) as caller:
            await asyncio.wait_for(caller.stop(), 4.0)
            return caller.server.closed_idle == 1

    assert run(stopped())
