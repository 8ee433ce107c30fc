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

"""The lease on orders against an oracle, in any order of steps.

Holders are stepped through their calls one at a time. Between any two steps
time passes, a holder may stand still for long, calls are refused, lost
before or after they were done, or done much later.
"""

import collections.abc
import dataclasses
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import pytest

from galenahatch import clock
from galenahatch import errors
from galenahatch.gateway import lease as leases
from galenahatch import ids
from galenahatch.platform import store as stores

_SECONDS = 3.0
_HOLDERS = 2
_PAUSES = (0.01, 0.2, 1.0, 1.6, 2.1, 3.1, 6.5)
_AWAY = errors.Failure(errors.STORE_UNAVAILABLE, 'away')
Done = collections.abc.Callable[[], typing.Any]


class _Turn:
    """Lets another step happen, and returns what it decided."""

    def __await__(self) -> collections.abc.Generator[None, str, str]:
        return (yield)


class _Store:
    """One row with versions; each call is done when it gets its turn."""

    def __init__(self, machine: 'LeaseMachine') -> None:
        self._machine = machine
        self._rows: dict[str, stores.Row] = {}
        self._ver = 0
        self._era = 0
        self._copy: tuple[dict[str, stores.Row], int] = ({}, 0)
        self._clock_ahead = 0.0

    def copy(self) -> None:
        """Remember the rows and the version."""
        self._copy = dict(self._rows), self._ver

    def restore(self, clock_ahead: float) -> None:
        """Go back to the copy, with a clock that may go another way."""
        rows, self._ver = self._copy
        self._rows = dict(rows)
        self._era += 1
        self._clock_ahead = clock_ahead

    @property
    def _now_ms(self) -> float:
        return (self._machine.now + self._clock_ahead) * 1000

    async def rows(
        self, table: str, part: str = ''
    ) -> stores.Rows | errors.Failure:
        """Return all rows, as of the moment of the turn."""
        if await _Turn() != 'good':
            return _AWAY
        answer = stores.Rows(
            list(self._rows.values()), self._ver, self._now_ms, era=self._era
        )
        await _Turn()
        return answer

    async def transact(
        self,
        expected: typing.Sequence[stores.RowOperation] = (),
        put: typing.Sequence[stores.RowOperation] = (),
        remove: typing.Sequence[stores.RowOperation] = (),
    ) -> stores.Committed | stores.Conflict | errors.Failure:
        """Apply a transaction at the moment of the turn, or later."""

        def apply() -> stores.Committed | stores.Conflict:
            for entry in expected:
                row = self._rows.get(entry.key)
                if (row.ver if row else 0) != entry.ver:
                    return stores.Conflict([])
            self._ver += 1
            for entry in put:
                assert entry.value is not msgspec.UNSET
                row = stores.Row(entry.key, self._ver, entry.value)
                self._rows[entry.key] = row
            return stores.Committed(self._ver, self._now_ms, self._era)

        how = await _Turn()
        if how == 'refused':
            return _AWAY
        if how == 'late':
            self._machine.later.append(apply)
            return _AWAY
        answer = apply()
        await _Turn()
        return _AWAY if how == 'lost' else answer


@dataclasses.dataclass(frozen=True)
class _Order:
    at: float
    holder: int
    fence: int


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Holders that want to give orders at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.later: list[Done] = []
        self._patch = pytest.MonkeyPatch()
        self._patch.setattr(clock, 'now', lambda: self.now)
        self.store = _Store(self)
        self._leases = [
            leases.Lease(self.store, ids.MemberId(f'10.0.0.{n}'), _SECONDS)
            for n in range(_HOLDERS)
        ]
        self._calls: dict[
            int, collections.abc.Coroutine[typing.Any, str, int | None]
        ] = {}
        self._orders: list[_Order] = []

    def teardown(self) -> None:
        """Drop the calls that are still open."""
        for call in self._calls.values():
            call.close()
        self._patch.undo()

    @stateful.rule(
        holder=strategies.integers(0, _HOLDERS - 1),
        how=strategies.sampled_from(
            ['good', 'good', 'good', 'refused', 'lost', 'late']
        ),
    )
    def step(self, holder: int, how: str) -> None:
        """Let one holder go on until its next call."""
        call = self._calls.get(holder)
        try:
            if call is None:
                call = self._calls[holder] = self._leases[holder].acquire()
                call.send(typing.cast(typing.Any, None))
            else:
                call.send(how)
        except StopIteration as done:
            del self._calls[holder]
            if done.value is not None:
                order = _Order(self.now, holder, done.value)
                self._orders.append(order)

    @stateful.rule(holder=strategies.integers(0, _HOLDERS - 1))
    def run(self, holder: int) -> None:
        """Let one holder come to its end without trouble."""
        self.step(holder, 'good')
        while holder in self._calls:
            self.step(holder, 'good')

    @stateful.rule(
        holder=strategies.integers(0, _HOLDERS - 1),
        steps=strategies.integers(1, 4),
        seconds=strategies.sampled_from(_PAUSES),
    )
    def stand_still(self, holder: int, steps: int, seconds: float) -> None:
        """Let one holder stop within its calls, and another overtake it."""
        for _ in range(steps):
            self.step(holder, 'good')
        self.now += seconds
        self.run((holder + 1) % _HOLDERS)
        self.run(holder)

    @stateful.rule(seconds=strategies.sampled_from(_PAUSES))
    def wait(self, seconds: float) -> None:
        """Let time pass, for all alike."""
        self.now += seconds

    @stateful.rule()
    def happen_late(self) -> None:
        """Do what a call had asked for long ago."""
        if self.later:
            self.later.pop(0)()

    @stateful.invariant()
    def holders_are_apart(self) -> None:
        """Orders of two holders are a lease apart, and fences rise."""
        for before, after in zip(self._orders, self._orders[1:], strict=False):
            assert before.fence < after.fence, self._orders
            if before.holder != after.holder:
                assert after.at - before.at >= _SECONDS, self._orders


class RestoredLeaseMachine(LeaseMachine):
    """The same, before a store that comes back from older copies."""

    @stateful.rule()
    def copy(self) -> None:
        """Remember what the store has."""
        self.store.copy()

    @stateful.rule(clock_ahead=strategies.sampled_from((0.0, -50.0, 50.0)))
    def restore(self, clock_ahead: float) -> None:
        """Lose what was written since."""
        self.store.restore(clock_ahead)

    @stateful.rule(
        holder=strategies.integers(0, _HOLDERS - 1),
        steps=strategies.integers(1, 4),
        is_lost=strategies.booleans(),
    )
    def restore_within_calls(
        self, holder: int, steps: int, is_lost: bool
    ) -> None:
        """Restore while one holder asks; another one asks before, or after."""
        other = (holder + 1) % _HOLDERS
        self.store.copy()
        for _ in range(steps):
            self.step(holder, 'good')
        if is_lost:
            self.run(other)
        self.store.restore(0.0)
        if not is_lost:
            self.run(other)
        self.run(holder)


LeaseMachine.TestCase.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=60, deadline=None, derandomize=True
)
RestoredLeaseMachine.TestCase.settings = LeaseMachine.TestCase.settings
TestLease = LeaseMachine.TestCase
# Guards against: two gateways give orders within one lease, or with the same
# or a lower fencing number, since the store lost the row of the first one.
TestRestoredLease = RestoredLeaseMachine.TestCase


def test_order_is_given_when_the_store_answers() -> None:
    """The oracle is not kept by giving no orders at all."""
    machine = LeaseMachine()
    for _ in range(5):
        machine.step(0, 'good')
    assert [order.holder for order in machine._orders] == [0]
    machine.wait(6.5)
    for _ in range(5):
        machine.step(1, 'good')
    assert [order.holder for order in machine._orders] == [0, 1]
    machine.store.copy()
    machine.store.restore(0.0)
    machine.run(0)
    machine.wait(6.5)
    machine.run(0)
    assert [order.holder for order in machine._orders] == [0, 1, 0]
    machine.teardown()


# Guards against: a lease that is longer than others expect counts as invalid,
# so that two gateways hold it.
def test_long_lease_is_held() -> None:
    """How long a lease may last follows from the interval of its gateways."""
    machine = LeaseMachine()
    store = typing.cast(leases.LeaseStore, machine.store)
    first, second = (
        leases.Lease(store, ids.MemberId(name), 400.0) for name in 'ab'
    )
    assert _run(first.acquire()) is not None
    assert _run(second.acquire()) is None
    machine.teardown()


def _run(
    acquisition: collections.abc.Coroutine[typing.Any, str | None, int | None],
) -> int | None:
    """Return what an acquisition of which each call succeeds returns."""
    try:
        acquisition.send(None)
        while True:
            acquisition.send('good')
    except StopIteration as stop:
        return typing.cast('int | None', stop.value)
