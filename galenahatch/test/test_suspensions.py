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

"""A VM that was suspended has kept nobody's time but its own.

The steady clock stood still meanwhile, and with it all timers of the event
loop; leases, deadlines and the age of what was heard went on for all others.
A gateway that measured by that clock woke with a lease of others' time, and
kept callers waiting for as long as it had slept. Nothing here sleeps for that
long: one clock of the tests jumps, and the other does not.
"""

import asyncio
import collections.abc
import time
import typing

import pytest

from galenahatch import clock
from galenahatch.core import members
from galenahatch.core import versions
from galenahatch.gateway import inflight
from galenahatch.gateway import lease as leases
from galenahatch import ids
from galenahatch.platform import store as stores
from galenahatch import timeouts

_SLEPT: typing.Final = 5.0
_SOON: typing.Final = 1.0
"""Seconds in which what is over must end; a tenth of a limit in force."""
_LIMIT: typing.Final = 10.0


class _Vm:
    """The clocks of a VM that may be suspended."""

    def __init__(self) -> None:
        self._slept = 0.0
        self._true = time.clock_gettime

    def suspend(self, seconds: float) -> None:
        """Let time pass that the steady clock does not count."""
        self._slept += seconds

    def read(self, which: int) -> float:
        """Return what a clock shows."""
        slept = self._slept if which == time.CLOCK_BOOTTIME else 0.0
        return self._true(which) + slept


@pytest.fixture
def vm(monkeypatch: pytest.MonkeyPatch) -> _Vm:
    """A VM whose clocks these tests set."""
    made = _Vm()
    monkeypatch.setattr(time, 'clock_gettime', made.read)
    return made


def test_suspension_is_noticed_once(vm: _Vm) -> None:
    """It is found by the clocks that have moved apart."""
    suspension = clock.SuspensionDetector()
    assert suspension.poll() == 0.0
    vm.suspend(_SLEPT)
    assert suspension.poll() == pytest.approx(_SLEPT, abs=0.05)
    assert suspension.poll() == 0.0


class _Rows:
    """A store that grants a lease while the VM is suspended."""

    def __init__(self, vm: _Vm) -> None:
        self._vm = vm

    async def rows(self, table: str, part: str = '') -> stores.Rows:
        """Return that nobody holds the lease."""
        return stores.Rows([], 1, 0.0)

    async def transact(
        self, *args: typing.Any, **rows: typing.Any
    ) -> stores.Committed:
        """Grant it; the answer is read only after the suspension."""
        self._vm.suspend(_SLEPT)
        return stores.Committed(7, 0.0)


def test_lease_runs_out_in_a_suspension(vm: _Vm) -> None:
    """No order goes out with a lease that others hold by now."""
    lease = leases.Lease(_Rows(vm), ids.MemberId('me'), 3.0)
    assert asyncio.run(lease.acquire()) is None


def _ends_in(vm: _Vm, wait: collections.abc.Callable[[], typing.Any]) -> float:
    """Return the awake seconds that a wait goes on after a suspension."""

    async def suspended() -> float:
        waiting = asyncio.ensure_future(wait())
        await asyncio.sleep(0.05)
        vm.suspend(_LIMIT)
        timeouts.deduct_suspension(_LIMIT)
        began = time.monotonic()
        with pytest.raises(asyncio.TimeoutError):
            await asyncio.wait_for(waiting, _SOON)
        return time.monotonic() - began

    return asyncio.run(suspended())


def test_limits_run_out_in_a_suspension(vm: _Vm) -> None:
    """A wait whose time is over ends at once, and not as late again."""

    async def wait() -> None:
        async with timeouts.limit(_LIMIT):
            await asyncio.sleep(100)

    assert _ends_in(vm, wait) < _SOON / 2


def test_waits_for_upstreams_run_out_in_a_suspension(vm: _Vm) -> None:
    """So does a send to an upstream."""
    waits = inflight.Waits()

    async def wait() -> None:
        async with waits.limit(ids.UpstreamId('i-1'), _LIMIT):
            await asyncio.sleep(100)

    assert _ends_in(vm, wait) < _SOON / 2


def test_limits_that_last_longer_go_on(vm: _Vm) -> None:
    """A limit is moved up by the suspension and not ended by it."""

    async def wait() -> bool:
        try:
            async with timeouts.limit(_SLEPT + 0.3):
                vm.suspend(_SLEPT)
                timeouts.deduct_suspension(_SLEPT)
                await asyncio.sleep(0.1)
                return True
        except asyncio.TimeoutError:
            return False

    assert asyncio.run(wait())


def test_what_has_come_is_taken_after_a_suspension(vm: _Vm) -> None:
    """An answer that is there counts, though its time is over."""

    async def wait() -> str:
        queue: asyncio.Queue[str] = asyncio.Queue()
        async with timeouts.limit(_LIMIT):
            vm.suspend(2 * _LIMIT)
            timeouts.deduct_suspension(2 * _LIMIT)
            asyncio.get_running_loop().call_soon(queue.put_nowait, 'answer')
            return await queue.get()

    assert asyncio.run(wait()) == 'answer'


def test_suspension_takes_nobody_for_away(vm: _Vm) -> None:
    """Members are heard before they are judged, as after any pause."""
    known = members.Members(ids.MemberId('me'))
    place = versions.Version(0, 1)
    known.add_row(ids.MemberId('other'), 1, place, clock.now())
    known.record_listen(clock.now())
    known.record_message(ids.MemberId('other'), clock.now())
    vm.suspend(_SLEPT)
    assert known.is_live(ids.MemberId('other'), clock.now())
    assert known.record_listen(clock.now()) == pytest.approx(
        _SLEPT - members.LISTEN_INTERVAL_S, abs=0.1
    )
    assert known.is_live(ids.MemberId('other'), clock.now())


def test_limits_set_after_a_suspension_stay(vm: _Vm) -> None:
    """A limit that began after the VM woke has lost no time.

    The suspension is noticed some tenths of a second later; what was sent in
    between would be given up at once.
    """

    async def wait() -> bool:
        vm.suspend(_SLEPT)
        try:
            async with timeouts.limit(_SOON):
                timeouts.deduct_suspension(_SLEPT)
                await asyncio.sleep(0.1)
                return True
        except asyncio.TimeoutError:
            return False

    assert asyncio.run(wait())
