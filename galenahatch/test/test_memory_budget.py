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

"""The bytes that a gateway holds, decided without a network.

Each test names the load that it answers.
"""

import random
import typing

import pytest

from galenahatch.core import memorybudget
from galenahatch import errors
from galenahatch.gateway import flowcontrol

_MB: typing.Final = 1_000_000
_SMALL_VM: typing.Final = 88 * _MB
_BASE: typing.Final = 61 * 1024 * 1024
_USUAL_EVENT: typing.Final = 4096
_DIRECTIONS: typing.Final = tuple(memorybudget.Direction)


class _Cut:
    """Transfers that the budget aborts."""

    def __init__(self, budget: memorybudget.MemoryBudget) -> None:
        self._budget = budget
        self.cut: list[memorybudget.Holding] = []

    def relieve(self, now: float) -> None:
        while (holding := self._budget.overload(now)) is not None:
            self.cut.append(holding)
            self._budget.close(holding)


def _stream(
    budget: memorybudget.MemoryBudget, now: float = 0.0, customer: str = ''
) -> memorybudget.Holding:
    events = memorybudget.Direction.EVENTS
    return budget.open(events, now, customer, lambda: None)


def _fill(
    budget: memorybudget.MemoryBudget,
    streams: list[memorybudget.Holding],
    step: int = 1024,
) -> None:
    """Read all upstreams in turn, for callers that take nothing."""
    reading = True
    while reading:
        reading = False
        for stream in streams:
            if budget.may_read(stream):
                budget.grow(stream, step, 0.0)
                reading = True


@pytest.mark.parametrize(
    ('memory', 'expected'),
    [
        (0, 4 * 1024 * 1024),
        (64 * _MB, 4 * 1024 * 1024),
        (_SMALL_VM, (_SMALL_VM - _BASE) // 2),
        (550 * _MB, (550 * _MB - _BASE) // 2),
    ],
)
def test_budget_of_a_vm(memory: int, expected: int) -> None:
    """Half of what a gateway's own memory leaves, and never nothing."""
    assert memorybudget.MemoryBudget(memory).total == expected


def test_one_stopped_caller() -> None:
    """A single slow caller gets a buffer for a long generation."""
    budget = memorybudget.MemoryBudget(_SMALL_VM)
    stream = _stream(budget)
    _fill(budget, [stream])
    assert stream.held >= memorybudget.MAX_STREAM_BYTES


def test_three_hundred_stopped_callers() -> None:
    """All stay within the share of events, and a newcomer has room."""
    budget = memorybudget.MemoryBudget(_SMALL_VM)
    streams = [_stream(budget) for _ in range(300)]
    _fill(budget, streams)
    assert budget.held <= budget.total // 2 + 1024
    assert budget.overload(10.0) is None
    assert min(stream.held for stream in streams) >= _USUAL_EVENT
    newcomer = _stream(budget, 1.0)
    assert budget.threshold(newcomer) >= _USUAL_EVENT
    body = budget.open(memorybudget.Direction.BODIES, 1.0)
    assert budget.admits_body(body, 100_000)


def test_stopped_callers_of_one_customer() -> None:
    """Streams of another customer keep half of the room."""
    budget = memorybudget.MemoryBudget(_SMALL_VM)
    _fill(budget, [_stream(budget, 0.0, 'busy') for _ in range(300)])
    assert budget.held <= budget.total // 4 + 1024
    other = _stream(budget, 1.0, 'other')
    assert budget.threshold(other) == memorybudget.MAX_STREAM_BYTES


def test_slowest_of_the_large_is_aborted_first() -> None:
    """Large answers exceed the budget; neither the newest nor small ones go.

    The load: one caller has stopped, one reads slowly, one reads fast, many
    hold little, and one has just begun.
    """
    budget = memorybudget.MemoryBudget(_SMALL_VM)
    cut = _Cut(budget)
    answers = memorybudget.Direction.ANSWERS
    large = [budget.open(answers, 0.0, '', lambda: None) for _ in range(3)]
    stopped, slow, fast = large
    for holding in large:
        budget.grow(holding, budget.total * 3 // 10, 0.0)
    small = [_stream(budget) for _ in range(50)]
    for holding in small:
        budget.grow(holding, 1000, 0.0)
    for second in range(1, 6):
        budget.shrink(slow, 1000, float(second))
        budget.shrink(fast, 100_000, float(second))
    newest = budget.open(answers, 5.0, '', lambda: None)
    budget.grow(newest, budget.total * 3 // 10, 5.0)
    cut.relieve(5.0)
    assert cut.cut == [stopped]
    budget.grow(newest, budget.total * 3 // 10, 5.1)
    cut.relieve(5.1)
    assert cut.cut[:2] == [stopped, slow]
    assert fast not in cut.cut
    assert not set(map(id, small)) & set(map(id, cut.cut))


# Guards against callers who lose a small answer while large ones arrive.
def test_small_transfer_is_not_aborted_for_answers_that_arrive() -> None:
    """To abort it would free nothing of what exceeds the budget."""
    budget = memorybudget.MemoryBudget(_SMALL_VM)
    cut = _Cut(budget)
    answers = memorybudget.Direction.ANSWERS
    for _ in range(30):
        budget.grow(budget.open(answers, 0.0), budget.total // 20, 0.0)
    small = budget.open(answers, 0.0, '', lambda: None)
    budget.grow(small, 26, 0.0)
    cut.relieve(1.0)
    assert not cut.cut
    large = budget.open(answers, 0.0, '', lambda: None)
    budget.grow(large, budget.total // 10, 0.0)
    cut.relieve(1.0)
    assert cut.cut == [large]


def test_largest_bodies_from_many_callers_at_once() -> None:
    """Those that don't fit are rejected before anything is aborted."""
    budget = memorybudget.MemoryBudget(_SMALL_VM)
    _fill(budget, [_stream(budget) for _ in range(300)])
    admitted = 0
    for _ in range(400):
        body = budget.open(memorybudget.Direction.BODIES, 1.0)
        if budget.admits_body(body, 100_000):
            budget.grow(body, 100_000, 1.0)
            admitted += 1
        assert budget.overload(1.0) is None
    assert admitted >= 20
    bodies = budget.held_for(memorybudget.Direction.BODIES)
    assert bodies <= budget.total // 4


def test_large_answers_that_arrive_at_once() -> None:
    """Each upstream's answer is read to its end; none waits for all others."""
    budget = memorybudget.MemoryBudget(_SMALL_VM)
    answers = memorybudget.Direction.ANSWERS
    reading = [budget.open(answers, 0.0) for _ in range(30)]
    size, step = 1_000_000, 50_000
    while reading:
        ready = [holding for holding in reading if budget.may_read(holding)]
        assert ready
        for holding in ready:
            budget.grow(holding, step, 0.0)
            if holding.held >= size:
                budget.close(holding)
                reading.remove(holding)
        assert budget.held <= budget.total + 30 * step + size


def test_body_larger_than_the_share_of_all() -> None:
    """It is admitted alone, and not beside another one."""
    budget = memorybudget.MemoryBudget(_SMALL_VM)
    size = budget.total // 2
    first = budget.open(memorybudget.Direction.BODIES, 0.0)
    assert budget.admits_body(first, size)
    budget.grow(first, size, 0.0)
    second = budget.open(memorybudget.Direction.BODIES, 0.0)
    assert not budget.admits_body(second, 1000)
    budget.close(first)
    assert budget.admits_body(second, size)
    assert not budget.admits_body(second, budget.max_body + 1)


def test_body_larger_than_the_budget_is_retryable() -> None:
    """The configuration allows it, so it is not the caller's error."""
    flow = flowcontrol.FlowControl(0)
    body = flow.open(memorybudget.Direction.BODIES)
    failure = flow.admit_body(body, flow.budget.max_body + 1)
    assert failure is not None
    assert failure.reason is errors.SHORT_OF_MEMORY
    assert failure.retry_after is not None
    assert not flow.budget.held


@pytest.mark.parametrize('seed', range(20))
def test_all_bytes_are_given_back(seed: int) -> None:
    """Random transfers: sums agree, the budget holds, none stays behind."""
    draw = random.Random(seed)
    budget = memorybudget.MemoryBudget(_SMALL_VM)
    cut = _Cut(budget)
    transfers: list[memorybudget.Holding] = []
    for step in range(2000):
        now = step / 100
        if draw.random() < 0.1:
            customer = draw.choice(('', 'a', 'b'))
            direction = draw.choice(_DIRECTIONS)
            transfers.append(
                budget.open(direction, now, customer, lambda: None)
            )
        if transfers:
            holding = draw.choice(transfers)
            budget.grow(holding, draw.randrange(300_000), now)
            cut.relieve(now)
            budget.shrink(draw.choice(transfers), draw.randrange(300_000), now)
        assert budget.held <= budget.total
        assert budget.held == sum(holding.held for holding in transfers)
    for holding in transfers:
        budget.close(holding)
    assert budget.held == 0
