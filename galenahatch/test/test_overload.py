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
import typing

import pytest

from galenahatch.core import overload

_LINK: typing.Final = 100_000.0
_TICK_S: typing.Final = 0.05
_NEARBY: typing.Final = overload.Alternatives.NEARBY


class _Vm:
    """A VM whose use is played tick by tick."""

    def __init__(
        self,
        link_rate: float = _LINK,
        memory: int = 0,
        alternatives: overload.Alternatives = _NEARBY,
    ) -> None:
        self.now = 0.0
        self.upstreams = 3
        self._number = 0
        self.written = 0
        self.read = 0
        self.overload = overload.Overload(overload.Limits(link_rate, memory))
        self.overload.record_alternatives(alternatives)

    def play(
        self,
        seconds: float,
        written: float = 0.0,
        read: float = 0.0,
        connections: int = 0,
        connect: float | None = None,
        lag: float = 0.0,
    ) -> overload.Stage:
        """Use the VM for a while; return the stage that it is in then.

        Args:
            written: bytes a second.
            read: bytes a second.
            connections: open ones of callers.
            connect: seconds that each new connection takes, one a tick.
            lag: seconds by which timers are late.
        """
        for _ in range(round(seconds / _TICK_S)):
            self.now += _TICK_S
            self.written += round(written * _TICK_S)
            self.read += round(read * _TICK_S)
            if connect is not None:
                self._number += 1
                address = f'10.0.0.{self._number % self.upstreams}:80'
                self.overload.record_connect(address, connect, self.now)
            self.overload.record_lag(lag)
            self.overload.update(
                self.written, self.read, connections, self.now
            )
        return self.overload.stage


_USES: typing.Final[dict[str, tuple[dict[str, typing.Any], str]]] = {
    'idle': ({}, 'normal'),
    'link in use': ({'written': 0.8 * _LINK}, 'normal'),
    'link written full': ({'written': 0.95 * _LINK}, 'pressure'),
    'link read full': ({'read': 0.95 * _LINK}, 'pressure'),
    'both directions in use': (
        {'written': 0.7 * _LINK, 'read': 0.7 * _LINK},
        'normal',
    ),
    'more written than the link carries': (
        {'written': 1.4 * _LINK},
        'overload',
    ),
    'late timers': ({'lag': 0.12}, 'pressure'),
    'very late timers': ({'lag': 0.3}, 'overload'),
    'slow connections': ({'written': 0.1 * _LINK, 'connect': 0.3}, 'overload'),
    'too many connections': ({'connections': 900}, 'pressure'),
}


@pytest.mark.parametrize(('use', 'stage'), _USES.values(), ids=list(_USES))
def test_stage(use: dict[str, typing.Any], stage: str) -> None:
    """The narrowest resource decides."""
    vm = _Vm(memory=100_000_000)
    vm.play(_TICK_S, connect=0.001)
    assert vm.play(5.0, **use).value == stage


@pytest.mark.parametrize(
    ('connect', 'stage'),
    [(0.03, 'normal'), (0.07, 'pressure'), (0.2, 'overload')],
)
def test_queue_on_link_of_unknown_rate(connect: float, stage: str) -> None:
    """The time of new connections shows the queue on the link."""
    vm = _Vm(link_rate=0.0)
    vm.play(1.0, connect=0.001)
    assert vm.play(1.0, connect=connect).value == stage


def test_only_upstream_in_use_is_slow() -> None:
    """Nothing tells a slow upstream from a queue, so callers stay."""
    vm = _Vm(link_rate=0.0)
    vm.upstreams = 1
    vm.play(1.0, connect=0.001)
    assert vm.play(2.0, connect=0.3) is overload.Stage.NORMAL


def test_slow_upstream_is_no_queue() -> None:
    """Connections to one upstream are slow, to another one they aren't."""
    vm = _Vm(link_rate=0.0)
    for _ in range(20):
        vm.play(_TICK_S, connect=0.3)
        stage = vm.play(_TICK_S, connect=0.001)
        assert stage is overload.Stage.NORMAL


def test_distant_upstreams_are_no_queue() -> None:
    """All connections take long, as all upstreams are far away."""
    vm = _Vm(link_rate=0.0)
    assert vm.play(3.0, connect=0.15) is overload.Stage.NORMAL


def test_queue_that_lasts_is_still_one() -> None:
    """The fastest connection is remembered as long as the link is busy."""
    vm = _Vm()
    vm.play(1.0, connect=0.001)
    vm.play(120.0, written=_LINK, connect=0.2)
    assert vm.overload.link_delay > 0.15


def test_upstreams_that_become_distant_are_no_queue_for_long() -> None:
    """The fastest connection is forgotten while the link is idle."""
    vm = _Vm()
    vm.play(1.0, connect=0.001)
    assert vm.play(70.0, connect=0.2) is overload.Stage.NORMAL


def test_suspension_is_no_lag() -> None:
    """A VM that was suspended takes callers at once."""
    vm = _Vm()
    vm.play(1.0)
    assert vm.play(_TICK_S, lag=3.0) is overload.Stage.NORMAL


def test_relieved_vm_takes_callers_again() -> None:
    """It waits until the load has stayed low for a while."""
    vm = _Vm()
    vm.play(3.0, written=_LINK)
    assert not vm.overload.is_in_rotation
    vm.play(0.3, written=0.5 * _LINK)
    assert not vm.overload.is_in_rotation
    vm.play(2.0, written=0.5 * _LINK)
    assert vm.overload.is_in_rotation


def test_share_of_callers_that_reconnect_grows() -> None:
    """Few reconnect at a slight excess, all at a large one."""
    shares = []
    for rate in (0.5, 0.9, 1.0, 1.2, 1.6):
        vm = _Vm()
        vm.play(5.0, written=rate * _LINK)
        shares.append(vm.overload.reconnect_share)
    assert shares[0] == 0 and shares[-1] == 1
    assert 0 < shares[1] < 0.3
    assert shares == sorted(shares)


def test_few_connections_are_accepted_under_overload() -> None:
    """One in a while, as a VM that takes none counts as failed."""
    vm = _Vm()
    vm.play(5.0, written=2 * _LINK)
    accepted = 0
    for _ in range(100):
        vm.play(_TICK_S, written=2 * _LINK)
        accepted += vm.overload.admit(vm.now)
    assert 5 <= accepted <= 12


@pytest.mark.parametrize(
    ('alternatives', 'refuses', 'leaves_rotation'),
    [
        (overload.Alternatives.NONE, False, False),
        (overload.Alternatives.REMOTE, False, True),
        (overload.Alternatives.NEARBY, True, True),
    ],
)
def test_callers_are_turned_away_only_where_they_find_another_vm(
    alternatives: overload.Alternatives, refuses: bool, leaves_rotation: bool
) -> None:
    """Otherwise they would only come back, and cost more."""
    vm = _Vm(alternatives=alternatives)
    vm.play(5.0, written=2 * _LINK)
    vm.overload.admit(vm.now)
    assert vm.overload.admit(vm.now) is not refuses
    assert vm.overload.is_in_rotation is not leaves_rotation
    assert (vm.overload.reconnect_share > 0) is leaves_rotation
