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

"""Answers of upstreams that arrive while the memory budget is exceeded."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import functools
import time
import types
import typing
from unittest import mock

import multidict
import pytest

from galenahatch.core import memorybudget
from galenahatch.core import runresponses
from galenahatch.gateway import decoderequests
from galenahatch.gateway import flowcontrol
from galenahatch.gateway import prefill as prefills
from galenahatch.gateway import sender as senders
from galenahatch.gateway import sendresults
from galenahatch import ids
from galenahatch.platform import wire
from galenahatch.test import ports
from galenahatch.test import samples

_HEAD: typing.Final = (
    b'HTTP/1.1 200 OK\r\nX-Galenahatch-Response-Stamp: s\r\n'
    b'Content-Length: %d\r\n\r\n'
)
_LARGE: typing.Final = 1_000_000
_POLL_S: typing.Final = 0.1
"""Interval at which a transfer looks for room."""


@contextlib.asynccontextmanager
async def _answer(
    flow: flowcontrol.FlowControl,
    size: int,
    delay: float,
    lacking: int = 0,
) -> collections.abc.AsyncIterator[sendresults.Response]:
    """Yield an answer whose body follows its head after a delay.

    Args:
        lacking: Bytes at the end that never follow.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.closing(writer), contextlib.suppress(OSError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(_HEAD % size)
            await asyncio.sleep(delay)
            writer.write(bytes(size - lacking))
            await reader.read()

    port = ports.free()
    server = await asyncio.start_server(serve, '127.0.0.1', port)
    sender = senders.Sender(flow=flow)
    response = await sender.send(
        samples.upstream(port),
        samples.plain_call(),
        multidict.CIMultiDict(),
        wire.decode_response_head,
        timeout=1.0,
        connect_timeout=1.0,
        use_pool=False,
    )
    assert isinstance(response, sendresults.Response)
    try:
        yield response
    finally:
        await sender.close()
        server.close()


def _exceeded() -> tuple[flowcontrol.FlowControl, memorybudget.Holding]:
    """Return flow control beyond its budget, and the answer that it holds."""
    flow = flowcontrol.FlowControl(0)
    older = flow.open(memorybudget.Direction.ANSWERS)
    flow.grow(older, flow.budget.total + 1)
    return flow, older


# Guards against small answers that fail behind large ones: each waited for
# room to be read on, although nothing was left to read.
@pytest.mark.parametrize('delay', [0.0, _POLL_S], ids=['at once', 'later'])
def test_complete_answer_does_not_wait(delay: float) -> None:
    """It is returned once all of it has arrived."""
    flow, _ = _exceeded()

    async def run() -> None:
        async with _answer(flow, 100, delay) as response:
            began = time.monotonic()
            assert await response.body(5.0) == bytes(100)
            assert time.monotonic() - began < delay + 2 * _POLL_S

    asyncio.run(run())


# Guards against many answers of which each takes memory before it looks for
# room.
def test_large_answer_takes_nothing_before_there_is_room() -> None:
    """It is read once the older answer is gone."""
    flow, older = _exceeded()

    async def run() -> None:
        async with _answer(flow, _LARGE, 0.0) as response:
            reading = asyncio.create_task(response.body(5.0))
            await asyncio.sleep(3 * _POLL_S)
            assert flow.budget.held == older.held
            flow.budget.close(older)
            assert await reading == bytes(_LARGE)
        assert not flow.budget.held

    asyncio.run(run())


# Guards against answers that wait for ever.
def test_large_answer_without_room_fails() -> None:
    """It fails within the time for which an upstream isn't read."""
    flow, _ = _exceeded()

    async def run() -> None:
        async with _answer(flow, _LARGE, 0.0) as response:
            assert await response.body(5.0) is None

    asyncio.run(run())


# Guards against many answers that arrive at once, of which a part each fills
# the budget, and what libraries hold besides them the memory.
def test_answers_that_do_not_fit_take_nothing() -> None:
    """As many as fit are read, the others once these are delivered."""
    flow = flowcontrol.FlowControl(0)
    size = flow.budget.total // 5

    async def run() -> None:
        async with contextlib.AsyncExitStack() as stack:
            reading = []
            for _ in range(4):
                answer = _answer(flow, size, 3 * _POLL_S)
                response = await stack.enter_async_context(answer)
                reading.append(asyncio.create_task(response.body(5.0)))
            await asyncio.sleep(_POLL_S)
            assert flow.budget.reserved == 2 * 2 * size
            assert await asyncio.gather(*reading) == 4 * [bytes(size)]
        assert not flow.budget.reserved and not flow.budget.held

    asyncio.run(run())


# Guards against upstreams that fall silent with answers whose bytes are
# reserved: other answers and bodies of callers would find no room.
def test_silent_upstreams_keep_no_room() -> None:
    """What arrives is read within the time for which it may wait."""
    flow = flowcontrol.FlowControl(0)
    size = flow.budget.total // 5

    async def run() -> None:
        async with contextlib.AsyncExitStack() as stack:
            silent = []
            for delay in (10.0, 10.0, 0.0):
                answer = _answer(flow, size, delay)
                response = await stack.enter_async_context(answer)
                silent.append(asyncio.create_task(response.body(5.0)))
            body = flow.open(memorybudget.Direction.BODIES)
            assert flow.admit_body(body, size) is None
            assert await silent[-1] == bytes(size)
            assert flow.budget.reserved == 2 * 2 * size
            for reading in silent[:-1]:
                reading.cancel()
            await asyncio.gather(*silent, return_exceptions=True)
        assert not flow.budget.reserved

    asyncio.run(run())


# Guards against answers without end that take the memory of all others.
def test_endless_answers_make_room() -> None:
    """The largest is broken off for one that waits, not the small ones."""
    budget = memorybudget.MemoryBudget(0)
    broken: list[str] = []
    answers = {}
    for name, size in (('small', 1), ('large', 3), ('largest', 4)):
        holding = budget.open(memorybudget.Direction.ANSWERS, 0.0)
        holding.break_off = functools.partial(broken.append, name)
        budget.grow(holding, size * budget.total // 8, 0.0)
        answers[name] = holding
    waiting = budget.open(memorybudget.Direction.ANSWERS, 0.0)
    assert budget.largest_received(waiting, 0.5) is None
    assert budget.largest_received(waiting, 2.0) is answers['largest']
    budget.close(answers['largest'])
    assert budget.largest_received(waiting, 2.0) is answers['large']
    assert budget.largest_received(answers['large'], 2.0) is None


# Guards against a proper answer on a slow link that is taken for endless.
@pytest.mark.parametrize('is_older', [False, True])
def test_larger_answer_is_broken_off_before_a_slow_one(
    is_older: bool,
) -> None:
    """The larger one is chosen, whichever was begun first."""
    budget = memorybudget.MemoryBudget(0)
    slow_at, endless_at = (0.0, 5.0) if is_older else (5.0, 0.0)
    slow = budget.open(memorybudget.Direction.ANSWERS, slow_at)
    endless = budget.open(memorybudget.Direction.ANSWERS, endless_at)
    for holding, eighths in ((slow, 3), (endless, 4)):
        holding.break_off = lambda: None
        budget.grow(holding, eighths * budget.total // 8, 5.0)
    waiting = budget.open(memorybudget.Direction.ANSWERS, 6.0)
    assert budget.largest_received(waiting, 7.0) is endless


def test_small_answers_do_not_wait() -> None:
    """They are read although large ones have taken the whole budget."""
    budget = memorybudget.MemoryBudget(0)
    large = budget.open(memorybudget.Direction.ANSWERS, 0.0)
    budget.grow(large, budget.total + 1, 0.0)
    small = budget.open(memorybudget.Direction.ANSWERS, 0.0)
    assert budget.may_read(small)
    assert not budget.may_read(small, budget.total)


# Guards against an upstream that is blamed, and a request that is taken for
# harmful, as there was no memory here for the answer.
def test_lack_of_memory_blames_no_upstream() -> None:
    """A body that found no room is told apart from one that broke off."""

    async def run() -> None:
        flow, blocker = _exceeded()
        async with _answer(flow, _LARGE, 0.05) as response:
            assert await response.body(5.0) is None
            assert response.lacks_memory
        flow.budget.close(blocker)

    asyncio.run(run())


# Guards against an upstream that is blamed, and a request that is taken for
# harmful, as an answer was broken off for others.
def test_answer_broken_off_for_others_blames_no_upstream() -> None:
    """It is told apart from one that its upstream broke off."""

    async def run() -> None:
        flow = flowcontrol.FlowControl(0)
        async with _answer(flow, _LARGE, 0.0, _LARGE // 2) as response:
            reading = asyncio.create_task(response.body(10.0))
            await asyncio.sleep(_POLL_S)
            blocker = flow.open(memorybudget.Direction.BODIES)
            flow.grow(blocker, flow.budget.total)
            waiting = flow.open(memorybudget.Direction.ANSWERS)
            await flow.wait_for_room(waiting, size=_LARGE)
            assert await reading is None
            assert response.lacks_memory

    asyncio.run(run())


# Guards against an engine that is blamed, as there was no memory here for its
# refusal or for the result of a prefill.
@pytest.mark.parametrize('lacks_memory', [False, True])
def test_lack_of_memory_blames_no_engine(lacks_memory: bool) -> None:
    """It is blamed only if its answer ended early, or is an error."""

    async def body(*args: typing.Any) -> None:
        return None

    def response(status: int) -> typing.Any:
        head = types.SimpleNamespace(status=status)
        return types.SimpleNamespace(
            head=head,
            body=body,
            close=lambda: None,
            lacks_memory=lacks_memory,
        )

    async def send(*args: typing.Any, **options: typing.Any) -> typing.Any:
        return response(200)

    context: typing.Any = types.SimpleNamespace(
        directory=mock.Mock(),
        notices=types.SimpleNamespace(pause_seconds_left=lambda engine: 0.0),
        sender=types.SimpleNamespace(send=send),
    )
    call: typing.Any = dataclasses.replace(
        samples.plain_call(), prompt=mock.Mock(tokens=1)
    )
    engine = samples.upstream(1)
    blamed = () if lacks_memory else (engine.id,)

    async def run() -> None:
        prefill = prefills.Prefill(context, call, mock.Mock())
        found = await prefill.run(ids.StreamId('s'), engine, '', 1.0)
        assert found is not None and found.at_fault == blamed
        for use, at_fault in (
            (runresponses.Use.ANSWER, blamed),
            (runresponses.Use.NOTHING, (engine.id,)),
        ):
            retry = await decoderequests.read_answer(
                response(400), engine, 1.0, use
            )
            assert isinstance(retry, prefills.Retry)
            assert retry.at_fault == at_fault

    asyncio.run(run())


@pytest.mark.parametrize('is_paced', [False, True])
def test_sum_is_limited_without_the_feature(is_paced: bool) -> None:
    """There is a budget with the memory of the VM, or a default."""
    small = flowcontrol.create(is_paced, 150_000_000)
    unknown = flowcontrol.create(is_paced, 0)
    assert small.budget.total < 75_000_000 < unknown.budget.total
    assert flowcontrol.paces_callers(small) is is_paced
    holding = small.open(memorybudget.Direction.BODIES)
    assert small.admit_body(holding, 1000) is None
    assert small.admit_body(holding, small.budget.total) is not None
