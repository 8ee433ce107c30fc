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

"""One gateway that takes most new connections of its data centre."""

import collections.abc
import concurrent.futures
import threading
import time
import typing

import pytest

from galenahatch.test import fleet as fleets
from galenahatch.test import narrowgateway

_MEMBERS: typing.Final = (
    *[('desk', '')] * 3,
    *[('model', 'prefill')] * 2,
    *[('model', 'decode')] * 4,
)
_PATHS: typing.Final = ('/once/x', '/often/x', '/say/x', '/tell/x')
_VMS: typing.Final = 4
_CALLERS: typing.Final = 16
_LINK_MBPS: typing.Final = 2.0
_BODY: typing.Final = bytes(20_000)
_DEADLINE_MS: typing.Final = '800'
_CONTACT_S: typing.Final = 3.0
_OBSERVED_S: typing.Final = 2.0


def _load(
    fleet: fleets.Fleet,
    choose: collections.abc.Callable[[int], int],
    pause: float,
    seconds: float,
) -> list[tuple[float, bool]]:
    """Send requests, each on a new connection; return when and if served.

    Args:
        choose: Returns the gateway of a request by its number.
        pause: seconds between two requests of a caller.
    """
    until = time.monotonic() + seconds

    def call(path: str, first: int) -> list[tuple[float, bool]]:
        found = []
        number = first
        while (at := time.monotonic()) < until:
            served = fleet.ask(path, vm=choose(number)).served
            found.append((at, served))
            number += 1
            time.sleep(pause)
        return found

    callers = [(path, n) for path in _PATHS for n in range(4)]
    with concurrent.futures.ThreadPoolExecutor(len(callers)) as threads:
        parts = [threads.submit(call, *caller) for caller in callers]
        return [item for part in parts for item in part.result()]


# Guards against requests that are refused or late since their gateway takes
# the connections of all others while its limits stay those of one.
@pytest.mark.parametrize('funnel', [0, 3], ids=['owner', 'another'])
def test_gateway_that_takes_most_connections(funnel: int) -> None:
    """Served at the first attempt as often as before, at twice the rate."""
    with fleets.Fleet(_VMS, _MEMBERS, in_order=True) as fleet:
        spread = _load(fleet, lambda n: n % _VMS, 0.1, _OBSERVED_S)
        began = time.monotonic()
        taken = _load(
            fleet,
            lambda n: funnel if n % 10 else n % _VMS,
            0.05,
            _CONTACT_S + _OBSERVED_S,
        )
        before = [served for _, served in spread]
        after = [served for at, served in taken if at > began + _CONTACT_S]
        assert len(before) > 50 and len(after) > 50
        share = sum(before) / len(before)
        assert sum(after) / len(after) >= 0.9 * share


def _send_to_first_that_reads(
    fleet: fleets.Fleet, vms: collections.abc.Sequence[int]
) -> bool:
    """Send a request to one gateway after the other until one reads it.

    Returns:
        Whether it was served by the one that read it.
    """
    for vm in vms:
        try:
            answer = fleet.ask(
                '/once/x',
                body=_BODY,
                vm=vm,
                X_Galenahatch_Deadline_Ms=_DEADLINE_MS,
            )
        except OSError:
            continue
        if answer.status or fleet.seen(answer.id):
            return answer.served
    return False


def _narrow(
    fleet: fleets.Fleet, centres: collections.abc.Sequence[str]
) -> None:
    """Give all gateways narrow links, and each a data centre."""
    for vm, centre in zip(fleet.vms, centres, strict=True):
        vm.module = narrowgateway.__name__
        vm.write_settings(zone=centre, limits={'link_mbps': _LINK_MBPS})


def _served_share(
    send: collections.abc.Callable[[int], bool],
    seconds: float,
    interval: float = 2 / 3,
) -> float:
    """Return the share of requests that are served.

    Args:
        send: sends one, by its number.
        interval: seconds between two requests of a caller.
    """
    until = time.monotonic() + seconds

    def call(first: int) -> list[bool]:
        found = []
        time.sleep(first * interval / _CALLERS)
        number = first
        while time.monotonic() < until:
            began = time.monotonic()
            found.append(send(number))
            number += 1
            time.sleep(max(0.0, began + interval - time.monotonic()))
        return found

    with concurrent.futures.ThreadPoolExecutor(_CALLERS) as threads:
        parts = [threads.submit(call, n) for n in range(_CALLERS)]
        found = [item for part in parts for item in part.result()]
    assert len(found) > 10 * seconds
    return sum(found) / len(found)


# Guards against a gateway that reads more requests than its link carries, so
# that none of them is answered in time, while others are idle.
@pytest.mark.parametrize('funnel', [0, 3], ids=['owner', 'another'])
def test_gateway_with_narrow_link_that_takes_most_connections(
    funnel: int,
) -> None:
    """Served by the first gateway that reads them, as often as before."""
    fleet = fleets.Fleet(_VMS, _MEMBERS, in_order=True)
    _narrow(fleet, ['dc1'] * _VMS)

    def send_spread(number: int) -> bool:
        return _send_to_first_that_reads(fleet, [number % _VMS])

    def send_funnelled(number: int) -> bool:
        first = funnel if number % 10 else number % _VMS
        others = [vm for vm in range(_VMS) if vm != first]
        second = others[number % len(others)]
        return _send_to_first_that_reads(fleet, [first, second])

    with fleet:
        before = _served_share(send_spread, _OBSERVED_S)
        _served_share(send_funnelled, _CONTACT_S)
        after = _served_share(send_funnelled, 2 * _OBSERVED_S)
        assert before > 0.9
        assert after >= 0.95 * before


class _Balancer:
    """Sends callers to the only gateway of their data centre, or elsewhere.

    It asks for readiness as the platform's does, but more often.
    """

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self._misses = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> '_Balancer':
        """Start to ask for readiness."""
        self._thread.start()
        return self

    def __exit__(self, *details: object) -> None:
        """Stop to ask for readiness."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(0.2):
            is_ready = self._fleet.vms[0].ready()
            self._misses = 0 if is_ready else self._misses + 1

    def send(self, number: int) -> bool:
        """Send a request; return whether it was served."""
        others = range(1, _VMS)
        vm = others[number % len(others)] if self._misses >= 2 else 0
        return _send_to_first_that_reads(self._fleet, [vm])


# Guards against a gateway that goes on asking for callers although its link
# is full and those of another data centre are idle.
def test_only_gateway_of_a_data_centre_with_too_many_callers() -> None:
    """Callers are sent to the other data centre, and served there."""
    fleet = fleets.Fleet(_VMS, _MEMBERS, in_order=True)
    _narrow(fleet, ['dc1', *['dc2'] * (_VMS - 1)])
    with fleet, _Balancer(fleet) as balancer:
        _served_share(balancer.send, _CONTACT_S, 1.0)
        assert _served_share(balancer.send, 3 * _OBSERVED_S, 1.0) >= 0.95
