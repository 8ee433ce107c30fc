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


"""Upstreams that say in an answer that they leave, through real gateways.

The rule: a request that came later than `drain_ms` after such an answer does
not go there, whatever the store tells. The store tells nothing here.
"""

import collections.abc
from concurrent import futures
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
_DRAIN: typing.Final = 2.0


@pytest.fixture(scope='module')
def fleet() -> collections.abc.Iterator[fleets.Fleet]:
    """Three gateways; the first one decides."""
    with fleets.Fleet(3, _MEMBERS) as started:
        yield started


@pytest.fixture(autouse=True)
def calm(fleet: fleets.Fleet) -> collections.abc.Iterator[None]:
    """End each test with upstreams that have started again, and stay."""
    yield
    fleet.start_upstreams_again()


def _leave(upstream: upstreams.Upstream, word: str = '1') -> None:
    upstream.says = {'Server-Leaving': word}


def _ask_all(fleet: fleets.Fleet, path: str, times: int = 40) -> None:
    """Send requests through all gateways; each is served."""
    for number in range(times):
        _check_served(fleet, fleet.ask(path, vm=number % 3))


def _check_served(fleet: fleets.Fleet, answer: fleets.Answer) -> None:
    if not answer.served:
        fleet.show_logs()
    assert answer.served, answer


def _ask_at_once(fleet: fleets.Fleet, path: str) -> None:
    """Send a request through each gateway at the same time; all are served.

    Of two idle engines, the one that was known first would get all requests
    that come one by one.
    """
    vms = range(len(fleet.vms))
    with futures.ThreadPoolExecutor() as callers:
        answers = list(callers.map(lambda vm: fleet.ask(path, vm=vm), vms))
    for answer in answers:
        _check_served(fleet, answer)


def _tell(
    fleet: fleets.Fleet, leaving: upstreams.Upstream, path: str
) -> float:
    """Let an upstream say that it leaves; return when an answer said so."""
    since = time.monotonic()
    _leave(leaving)

    def is_told() -> bool:
        _ask_at_once(fleet, path)
        return _arrivals(leaving, since) > 0

    fleets.eventually(is_told, 'an answer says that it leaves')
    return time.monotonic()


def _arrivals(upstream: upstreams.Upstream, since: float) -> int:
    return sum(seen.at >= since for seen in upstream.seen)


def _check_left_alone(
    fleet: fleets.Fleet, leaving: upstreams.Upstream, told_at: float
) -> None:
    late = _arrivals(leaving, told_at + _DRAIN)
    if late:
        fleet.show_logs()
    assert not late, f'told at {told_at:.3f}'


@pytest.mark.parametrize(
    ('path', 'service', 'stage'),
    [
        ('/once/x', 'desk', ''),
        ('/often/x', 'desk', ''),
        ('/say/x', 'model', 'decode'),
        ('/tell/x', 'model', 'decode'),
        ('/tell/x', 'model', 'prefill'),
    ],
)
def test_answer_says_that_it_leaves(
    fleet: fleets.Fleet, path: str, service: str, stage: str
) -> None:
    """All gateways leave it alone, though the store says nothing."""
    leaving = fleet.of(service, stage)[0]
    told_at = _tell(fleet, leaving, path)
    while time.monotonic() < told_at + _DRAIN + 1.0:
        _ask_all(fleet, path, 12)
        _ask_at_once(fleet, path)
    _check_left_alone(fleet, leaving, told_at)


def test_refusal_says_that_it_leaves(fleet: fleets.Fleet) -> None:
    """A refusal tells it as well, and the request goes elsewhere."""
    leaving = fleet.of('desk')[0]
    leaving.faults.extend(['refuse'] * 100)
    told_at = _tell(fleet, leaving, '/often/x')
    _ask_all(fleet, '/often/x')
    time.sleep(_DRAIN)
    _ask_all(fleet, '/often/x')
    _check_left_alone(fleet, leaving, told_at)


def test_entry_lapses_and_comes_back(fleet: fleets.Fleet) -> None:
    """Older news of the store does not bring it back."""
    leaving = fleet.of('desk')[0]
    told_at = _tell(fleet, leaving, '/once/x')
    leaving.says = {}
    fleet.drop('servers', leaving.id)
    time.sleep(_DRAIN)
    fleet.put('servers', leaving.id, leaving.row())
    time.sleep(0.5)
    _ask_all(fleet, '/once/x')
    _check_left_alone(fleet, leaving, told_at)


def test_all_leave(fleet: fleets.Fleet) -> None:
    """With nobody left, calls are refused at once, and run nowhere."""
    for upstream in fleet.of('desk'):
        _leave(upstream)
    for number in range(30):
        fleet.ask('/once/x', vm=number % 3)
    time.sleep(_DRAIN)
    for number in range(3):
        began = time.monotonic()
        answer = fleet.ask('/once/x', vm=number)
        assert answer.status == 503, answer
        assert time.monotonic() - began < 0.5
        assert not fleet.runs(answer.id)


@pytest.mark.parametrize('word', ['0', 'no', ''])
def test_other_words_take_nobody_out(fleet: fleets.Fleet, word: str) -> None:
    """Only a plain yes does."""
    for upstream in fleet.of('desk'):
        _leave(upstream, word)
    _ask_all(fleet, '/once/x', 30)
    since = time.monotonic()
    _ask_all(fleet, '/once/x', 30)
    assert all(_arrivals(one, since) for one in fleet.of('desk'))


def test_starts_again(fleet: fleets.Fleet) -> None:
    """What it said belongs to the start that said it."""
    leaving = fleet.of('desk')[0]
    _tell(fleet, leaving, '/once/x')
    leaving.says = {}
    fleet.run(leaving.start_again)
    fleet.put('servers', leaving.id, leaving.row())

    def is_used() -> bool:
        since = time.monotonic()
        _ask_all(fleet, '/once/x', 30)
        return _arrivals(leaving, since) > 0

    fleets.eventually(is_used, 'used again')


def test_running_stream_ends_whole(fleet: fleets.Fleet) -> None:
    """A stream whose engine says that it leaves is passed on to its end."""
    for engine in fleet.of('model', 'decode'):
        engine.pause = 0.15
        _leave(engine)
    answers: list[fleets.Answer] = []
    callers = [
        threading.Thread(
            target=lambda vm: answers.append(fleet.ask('/say/x', vm=vm)),
            args=(vm,),
        )
        for vm in range(2)
    ]
    try:
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
    finally:
        for engine in fleet.of('model', 'decode'):
            engine.pause = 0.005
    assert len(answers) == 2
    assert all(answer.served for answer in answers), answers
