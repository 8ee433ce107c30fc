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


"""Upstreams that turn requests away and ask for a pause, via real gateways.

The rule: from half a second after such an answer to the end of the pause, at
most two requests come from the gateway that got it.
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
    ('model', 'prefill'),
    ('model', 'decode'),
    ('model', 'decode'),
)
_PAUSE: typing.Final = 5.0
_UNDER_WAY: typing.Final = 0.5
"""Seconds after a refusal in which requests may still come."""
_CALLERS: typing.Final = 6


@pytest.fixture(scope='module')
def fleet() -> collections.abc.Iterator[fleets.Fleet]:
    """Three gateways; the first one decides."""
    with fleets.Fleet(3, _MEMBERS) as started:
        yield started


@pytest.fixture(autouse=True)
def calm(fleet: fleets.Fleet) -> collections.abc.Iterator[None]:
    """End each test with upstreams that started again, and refuse none."""
    yield
    fleet.start_upstreams_again()


def _refuse(upstream: upstreams.Upstream, pause: str = str(_PAUSE)) -> None:
    """Turn away whatever comes, and ask for a pause each time."""
    upstream.says = {'Retry-After': pause}
    fault = 'no-prefill' if upstream.stage == 'prefill' else 'refuse'
    upstream.faults.extend([fault] * 10_000)


class _Load:
    """Requests through all gateways at once."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self.answers: list[fleets.Answer] = []
        self.vms: dict[str, int] = {}
        self.seconds: dict[str, float] = {}

    def run(self, path: str, seconds: float) -> None:
        """Send to a path for some seconds."""
        until = time.monotonic() + seconds

        def call(number: int) -> None:
            vm = number % len(self._fleet.vms)
            while time.monotonic() < until:
                began = time.monotonic()
                answer = self._fleet.ask(path, vm=vm)
                self.answers.append(answer)
                self.vms[answer.id] = vm
                self.seconds[answer.id] = time.monotonic() - began
                time.sleep(0.05 * random.random())

        callers = [
            threading.Thread(target=call, args=(number,))
            for number in range(_CALLERS)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()

    def most_in_a_pause(self, upstream: upstreams.Upstream) -> int:
        """Return the most requests of one gateway within a pause."""
        most = 0
        for vm in range(len(self._fleet.vms)):
            seen = [s for s in upstream.seen if self.vms.get(s.id) == vm]
            for refusal in (s for s in seen if s.refused):
                since = refusal.at + _UNDER_WAY
                until = refusal.at + _PAUSE
                most = max(most, sum(since < s.at < until for s in seen))
        return most


@pytest.mark.parametrize(
    ('path', 'service', 'stage'),
    [
        ('/once/x', 'desk', ''),
        ('/often/x', 'desk', ''),
        ('/say/x', 'model', 'decode'),
        ('/tell/x', 'model', 'decode'),
        ('/say/x', 'model', 'prefill'),
    ],
)
def test_one_asks_for_a_pause(
    fleet: fleets.Fleet, path: str, service: str, stage: str
) -> None:
    """It is left alone by whom it told; the others serve."""
    refusing = fleet.of(service, stage)[0]
    _refuse(refusing)
    load = _Load(fleet)
    load.run(path, 6.5)
    assert any(seen.refused for seen in refusing.seen)
    assert load.most_in_a_pause(refusing) <= 2
    served = [answer for answer in load.answers if answer.served]
    assert len(served) >= 0.97 * len(load.answers)


@pytest.mark.parametrize(
    ('path', 'service', 'stage'),
    [('/once/x', 'desk', ''), ('/say/x', 'model', 'decode')],
)
def test_all_ask_for_a_pause(
    fleet: fleets.Fleet, path: str, service: str, stage: str
) -> None:
    """Nothing is sent, and the caller is told when to come back, at once."""
    refusing = fleet.of(service, stage)
    for upstream in refusing:
        _refuse(upstream)
    load = _Load(fleet)
    load.run(path, 1.5)
    load.answers.clear()
    load.run(path, 1.0)
    assert all(load.most_in_a_pause(upstream) <= 2 for upstream in refusing)
    refused = [answer for answer in load.answers if not answer.served]
    assert refused
    for answer in refused:
        assert answer.status == 503, answer
        # The pauses began up to 2.5 s ago.
        wait = float(answer.headers['retry-after'])
        assert _PAUSE / 2 - 0.5 < wait < 2 * _PAUSE
        assert load.seconds[answer.id] < 0.5
        assert not fleet.runs(answer.id)


def test_pause_ends(fleet: fleets.Fleet) -> None:
    """An upstream is used again when its pause is over."""
    refusing = fleet.of('desk')[0]
    _refuse(refusing)
    _Load(fleet).run('/often/x', 0.5)
    refusing.faults.clear()

    def is_used() -> bool:
        since = time.monotonic()
        _Load(fleet).run('/often/x', 0.3)
        return any(seen.ran and seen.at > since for seen in refusing.seen)

    fleets.eventually(is_used, 'used again', 2 * _PAUSE)


@pytest.mark.parametrize('pause', ['-3', 'soon', '1e9', ''])
def test_malformed_pause_is_ignored(fleet: fleets.Fleet, pause: str) -> None:
    """An upstream that asks for nothing sensible is sent to as before."""
    refusing = fleet.of('desk')[0]
    refusing.says = {'Retry-After': pause}
    # One refusal among many answers.
    _Load(fleet).run('/often/x', 0.5)
    refusing.faults.append('refuse')
    _Load(fleet).run('/often/x', 0.5)
    since = time.monotonic()
    _Load(fleet).run('/often/x', 0.5)
    assert any(seen.ran and seen.at > since for seen in refusing.seen)
