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


"""Rate limits of upstreams through real gateways.

The rule: from some seconds after an upstream first named its limit, it gets in
no four seconds more than one and a half times what that allows, and five, from
all gateways together. Everything that arrives is counted, reports as well.
"""

import collections.abc
import random
import threading
import time
import typing

import pytest

from galenahatch.test import fleet as fleets
from galenahatch.test.standin import upstreams

_MEMBERS = (
    ('desk', ''),
    ('desk', ''),
    ('model', 'prefill'),
    ('model', 'decode'),
    ('model', 'decode'),
)
_CALLERS: typing.Final = 8
_CONTACT: typing.Final = 3.0
"""Seconds after the first naming from which on the rule counts."""
_WINDOW: typing.Final = 4.0
_LASTS: typing.Final = 8.0


@pytest.fixture(scope='module')
def fleet() -> collections.abc.Iterator[fleets.Fleet]:
    """Three gateways; the first one decides."""
    with fleets.Fleet(3, _MEMBERS) as started:
        yield started


@pytest.fixture(autouse=True)
def calm(fleet: fleets.Fleet) -> collections.abc.Iterator[None]:
    """End each test with upstreams that name nothing."""
    yield
    for upstream in fleet.upstreams:
        upstream.says = {}


def _name(upstream: upstreams.Upstream, rate: float) -> None:
    upstream.says = {'Server-Limit': str(rate)}


def _load(
    fleet: fleets.Fleet,
    path: str,
    seconds: float = _LASTS,
    waits: dict[str, float] | None = None,
) -> list[fleets.Answer]:
    """Send requests through all gateways at once.

    Args:
        fleet: that serves them.
        path: of all requests.
        seconds: for which to send.
        waits: takes the seconds that each request took.
    """
    answers: list[fleets.Answer] = []
    until = time.monotonic() + seconds

    def call(number: int) -> None:
        vm = number % len(fleet.vms)
        while time.monotonic() < until:
            began = time.monotonic()
            answer = fleet.ask(path, vm=vm)
            answers.append(answer)
            if waits is not None:
                waits[answer.id] = time.monotonic() - began
            time.sleep(0.1 * random.random())

    callers = [
        threading.Thread(target=call, args=(number,))
        for number in range(_CALLERS)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    return answers


def _fullest(upstream: upstreams.Upstream, since: float) -> int:
    """Return the arrivals in the fullest window after some moment."""
    times = [at for at in upstream.arrived_at if at >= since]
    return max(
        (sum(at <= later < at + _WINDOW for later in times) for at in times),
        default=0,
    )


def _allowed(rate: float) -> float:
    return 1.5 * rate * _WINDOW + 5


def test_one_of_two_is_limited(fleet: fleets.Fleet) -> None:
    """The other one serves what the limited one does not take."""
    limited = fleet.of('desk')[0]
    _name(limited, 2.0)
    began = time.monotonic()
    answers = _load(fleet, '/once/x')
    assert _fullest(limited, began + _CONTACT) <= _allowed(2.0)
    assert len(answers) > 100
    assert all(answer.served for answer in answers)


def test_all_are_limited(fleet: fleets.Fleet) -> None:
    """What they don't take is refused at once, and may come back."""
    for upstream in fleet.of('desk'):
        _name(upstream, 4.0)
    began = time.monotonic()
    answers = _load(fleet, '/often/x')
    for upstream in fleet.of('desk'):
        assert _fullest(upstream, began + _CONTACT) <= _allowed(4.0)
    refused = [answer for answer in answers if not answer.served]
    assert {answer.status for answer in refused} == {503}
    assert all(float(a.headers['retry-after']) > 0 for a in refused)
    assert not any(fleet.runs(answer.id) for answer in refused)
    # Of 2 x 4 x 8 that they take, most are served.
    assert len(answers) - len(refused) >= 40


@pytest.mark.parametrize('stage', ['prefill', 'decode'])
def test_model_engine_is_limited(fleet: fleets.Fleet, stage: str) -> None:
    """Placed runs, prompts that are read, and reports count together."""
    limited = fleet.of('model', stage)[0]
    _name(limited, 2.0)
    began = time.monotonic()
    answers = _load(fleet, '/say/x')
    assert _fullest(limited, began + _CONTACT) <= _allowed(2.0)
    served = [answer for answer in answers if answer.served]
    assert len(served) >= 0.9 * len(answers)
    assert all(answer.served or answer.status == 503 for answer in answers)


def test_all_decode_engines_are_limited(fleet: fleets.Fleet) -> None:
    """What they don't take is refused at once, not held until it is late."""
    for upstream in fleet.of('model', 'decode'):
        _name(upstream, 1.0)
    waits: dict[str, float] = {}
    # One caller after another is served: each waits for half a second.
    answers = _load(fleet, '/say/x', 4.0, waits)
    refused = [answer for answer in answers if not answer.served]
    assert refused
    for answer in refused:
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
        assert waits[answer.id] < 0.5
        assert not fleet.runs(answer.id)


def test_limit_is_lifted(fleet: fleets.Fleet) -> None:
    """An upstream that names no limit any more gets what it got before."""
    for upstream in fleet.of('desk'):
        _name(upstream, 1.0)
    _load(fleet, '/often/x', 2.0)
    for upstream in fleet.of('desk'):
        upstream.says = {}
    fleets.eventually(
        lambda: all(
            fleet.ask('/often/x', vm=number % 3).served for number in range(30)
        ),
        'served as before',
        15.0,
    )
