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

"""Admission control for plain calls, in virtual time.

Three upstreams of six slots and 60 ms complete 300 calls a second. Calls have
an objective of 0.31 s and a deadline of 1.55 s; their callers return once.
"""

import collections.abc
import dataclasses
import random

import hypothesis
from hypothesis import strategies
import pytest

from bench import callfleet
from bench import callservice
from galenahatch.core import calladmission
from galenahatch.core import callreturns
from galenahatch.core import loadreports
from galenahatch.core import plaincalls
from galenahatch.core import sendwindow
from galenahatch.core import upstreams
from galenahatch.core import waitingcalls
from galenahatch import ids
from galenahatch.test import cases

_CAPACITY = 300.0
_IN_TIME = 0.75
"""Share of what upstreams can complete that has to be in time."""
_SENDS = 1.2
"""Most sends for each call."""
_FAIRNESS = 0.03
"""Most that a customer or class loses by the load of others."""
_CUSTOMERS = tuple(f'c{number:03d}' for number in range(399))
_Result = plaincalls.SendResult
_Reason = plaincalls.RejectionReason
_SEEDS = pytest.mark.parametrize('seed', [1, 2])


def _source(
    factor: float,
    start: float,
    end: float,
    customers: tuple[str, ...] = ('',),
    priority: int = 0,
    gateways: tuple[int, ...] = (),
    heeds: bool = True,
) -> callservice.Source:
    return callservice.Source(
        factor * _CAPACITY, start, end, customers, priority, gateways, heeds
    )


def _burst(factor: float = 2.0) -> list[callservice.Source]:
    """A burst from 2 to 5 s, half of the capacity before and after it."""
    return [_source(0.5, 0, 2), _source(factor, 2, 5), _source(0.5, 5, 9)]


def _assert_served(
    fleet: callfleet.Fleet, start: float, end: float, share: float = 1.0
) -> None:
    """Check what was answered in time, and the sends."""
    answered = sum(
        r.in_time and start <= (r.answered_at or 0) < end
        for r in fleet.requests
    )
    assert answered >= _IN_TIME * share * _CAPACITY * (end - start)
    assert fleet.sends < _SENDS * len(fleet.requests)


def _shares(
    fleet: callfleet.Fleet,
    start: float,
    end: float,
    group: collections.abc.Callable[[callservice.Request], object],
) -> dict[object, float]:
    """Return the share in time of each group of requests."""
    groups = {group(request) for request in fleet.requests}

    def share(name: object) -> float:
        return fleet.in_time(start, end, lambda r: group(r) == name)

    return {name: share(name) for name in groups}


@_SEEDS
@pytest.mark.parametrize('factor', [1.2, 2.0, 3.0])
def test_burst(seed: int, factor: float) -> None:
    """Pattern: many callers at once, up to three times the capacity.

    Two seconds after it, the service is as good as before.
    """
    fleet = callfleet.Fleet(74, _burst(factor), seed=seed)
    fleet.run(11.0)
    _assert_served(fleet, 2.0, 5.0)
    assert fleet.in_time(7.0, 9.0) >= 0.95


class TestBurstWithSpreadOfWork:
    """Twice the capacity, and work with a deviation of half its mean.

    One call in a hundred takes five times as long.
    """

    _CAPACITY = _CAPACITY / 1.04
    _ADMITTED_IN_TIME = 0.85
    """A call that was admitted is meant to be in time."""

    @_SEEDS
    def test_admitted_calls_are_in_time(self, seed: int) -> None:
        """Pattern: the queue stands for seconds while upstreams are full."""
        fleet = callfleet.Fleet(
            74, _burst(), seed=seed, spread=0.47, outliers=0.01
        )
        fleet.run(11.0)
        answered = [
            r.in_time
            for r in fleet.requests
            if r.answered_at is not None and 2.5 <= r.answered_at < 5.0
        ]
        assert sum(answered) >= _IN_TIME * self._CAPACITY * 2.5
        assert sum(answered) >= self._ADMITTED_IN_TIME * len(answered)
        assert fleet.in_time(7.0, 9.0) >= 0.95

    @_SEEDS
    def test_objective_since_first_attempt(self, seed: int) -> None:
        """Pattern: rejected callers return, with most of their time gone."""
        fleet = callfleet.Fleet(
            74, _burst(), seed=seed, spread=0.47, outliers=0.01
        )
        fleet.run(5.0)
        answered = [
            r.answered_at - r.first_at <= callservice.OBJECTIVE_S
            for r in fleet.requests
            if r.answered_at is not None and 2.5 <= r.answered_at < 5.0
        ]
        assert sum(answered) >= _IN_TIME * self._CAPACITY * 2.5
        assert sum(answered) >= self._ADMITTED_IN_TIME * len(answered)


def _lose_slots(fleet: callfleet.Fleet) -> None:
    for engine in fleet.engines.values():
        engine.slots = 2


def _slow_down(fleet: callfleet.Fleet) -> None:
    for engine in fleet.engines.values():
        engine.slowdown = 3.0


def _lose_upstreams(fleet: callfleet.Fleet) -> None:
    fleet.list_engines(('u0',))


@_SEEDS
@pytest.mark.parametrize('fall', [_lose_slots, _slow_down, _lose_upstreams])
def test_capacity_falls(
    seed: int, fall: collections.abc.Callable[[callfleet.Fleet], None]
) -> None:
    """Pattern: a third of the capacity is left while the queue is full."""
    fleet = callfleet.Fleet(74, _burst(1.5), seed=seed)
    fleet.at(3.0, lambda: fall(fleet))
    fleet.run(5.0)
    _assert_served(fleet, 3.0, 5.0, share=1 / 3)


@_SEEDS
def test_queue_follows_capacity(seed: int) -> None:
    """Pattern: two of three upstreams leave while the queue is full.

    Who can't be in time any longer knows it within a tenth of a second: what
    waits is at most what starts early enough to end within the objective.
    """
    fleet = callfleet.Fleet(74, _burst(), seed=seed)
    fleet.at(3.0, lambda: _lose_upstreams(fleet))
    fleet.run(3.1)
    snapshot = fleet.owners[0].admission.snapshot(fleet.now)
    waiting = snapshot.waiting[waitingcalls.Band.IN_TIME]
    latest_start = callservice.OBJECTIVE_S - callservice.WORK_S
    assert waiting <= _CAPACITY / 3 * latest_start


def _fail_all(fleet: callfleet.Fleet, fails: bool) -> None:
    for engine in fleet.engines.values():
        engine.fails = fails


def _unlist_all(fleet: callfleet.Fleet, fails: bool) -> None:
    fleet.list_engines(() if fails else tuple(fleet.engines))


@_SEEDS
@pytest.mark.parametrize('change', [_fail_all, _unlist_all])
def test_upstreams_come_back(
    seed: int,
    change: collections.abc.Callable[[callfleet.Fleet, bool], None],
) -> None:
    """Pattern: all upstreams are away for a second, and return at once."""
    fleet = callfleet.Fleet(74, _burst(1.5), seed=seed)
    fleet.at(2.5, lambda: change(fleet, True))
    fleet.at(3.5, lambda: change(fleet, False))
    fleet.run(5.0)
    # The longest back-off, and the time of a call.
    _assert_served(fleet, 3.5 + 0.5 + callservice.OBJECTIVE_S, 5.0)


@_SEEDS
def test_black_hole(seed: int) -> None:
    """Pattern: an upstream that fails at once and so always looks idle."""
    fleet = callfleet.Fleet(74, _burst(), seed=seed)
    broken = fleet.engines[ids.UpstreamId('u1')]

    def fail() -> None:
        broken.fails = True
        broken.received = 0

    fleet.at(3.0, fail)
    fleet.run(5.0)
    _assert_served(fleet, 3.0, 5.0, share=2 / 3)
    # A window on its way, one granted meanwhile, and trials after 0.1, 0.2,
    # 0.4 and then each 0.5 s.
    assert broken.received <= 7 + 7 + 3 + 3


_WRONG_LOADS = {
    'zero': loadreports.LoadReport(0, 0, 6),
    'huge': loadreports.LoadReport(10**9, 10**9, 10**9, 1e9),
    'negative': loadreports.LoadReport(-5, -9, -1, -3.0),
    'absent': None,
}


@_SEEDS
@pytest.mark.parametrize('wrong', ['zero', 'huge', 'negative', 'absent'])
def test_wrong_load(seed: int, wrong: str) -> None:
    """Pattern: a burst while upstreams report nonsense."""
    fleet = callfleet.Fleet(
        74,
        _burst(),
        seed=seed,
        distort=lambda _: _WRONG_LOADS[wrong],
        always_asks=True,
    )
    fleet.run(9.0)
    _assert_served(fleet, 2.0, 5.0)


@_SEEDS
def test_gateway_with_little_traffic(seed: int) -> None:
    """Pattern: one gateway gets a tenth of the others' calls."""
    others = tuple(range(1, 6))
    sources = [
        _source(2 * 5 / 5.1, 1, 11, gateways=others),
        _source(2 * 0.1 / 5.1, 1, 11, gateways=(0,)),
    ]
    fleet = callfleet.Fleet(6, sources, seed=seed)
    fleet.run(13.0)
    shares = _shares(fleet, 1, 11, lambda r: r.source.gateways)
    # Two standard deviations of some 110 calls.
    assert shares[(0,)] >= shares[others] - 0.1


@_SEEDS
def test_hot_customer(seed: int) -> None:
    """Pattern: one of 400 customers sends 7.5 times its usual load."""
    shares = []
    for factor in (1.0, 7.5):
        sources = [
            _source(0.64, 0, 6, _CUSTOMERS),
            _source(0.16, 0, 3, ('hot',)),
            _source(0.16 * factor, 3, 6, ('hot',)),
        ]
        fleet = callfleet.Fleet(74, sources, seed=seed)
        fleet.run(8.0)
        others = fleet.in_time(3, 6, lambda r: r.customer != 'hot')
        shares.append(others)
    assert shares[1] >= shares[0] - _FAIRNESS


@_SEEDS
def test_customers_are_equal(seed: int) -> None:
    """Pattern: 400 customers compete for half of the room they need."""
    fleet = callfleet.Fleet(74, [_source(2, 0, 8, _CUSTOMERS)], seed=seed)
    fleet.run(9.0)
    shares = _shares(fleet, 2, 8, lambda r: r.customer[1]).values()
    # Four standard deviations of some 900 calls.
    assert max(shares) - min(shares) <= 0.09


@_SEEDS
def test_burst_of_less_urgent_calls(seed: int) -> None:
    """Pattern: the less urgent class alone sends five times its load."""
    urgent = _source(0.4, 0, 6)
    fleet = callfleet.Fleet(
        74,
        [
            urgent,
            _source(0.2, 0, 3, priority=1),
            _source(1.0, 3, 6, priority=1),
        ],
        seed=seed,
    )
    fleet.run(8.0)
    usual = fleet.in_time(1, 3, lambda r: r.source is urgent)
    now = fleet.in_time(3, 6, lambda r: r.source is urgent)
    assert now >= usual - _FAIRNESS
    rest = fleet.in_time(3, 6, lambda r: r.source is not urgent)
    assert rest * 1.0 >= _IN_TIME * 0.6


@_SEEDS
def test_less_urgent_calls_are_not_starved(seed: int) -> None:
    """Pattern: the urgent class alone asks for twice the capacity."""
    sources = [_source(2, 0, 5), _source(1, 0, 5, priority=1)]
    fleet = callfleet.Fleet(74, sources, seed=seed, always_asks=True)
    fleet.run(5.0)
    less_urgent = sum(r.sends for r in fleet.requests if r.source.priority)
    # Weights of 8 and 1, a third to calls that returned.
    assert less_urgent / fleet.sends >= 1 / 9 / 1.5


@_SEEDS
def test_returns(seed: int) -> None:
    """Pattern: half of the rejected callers return at once, half as told."""
    sources = [_source(0.5, 0, 2), _source(1, 2, 6)]
    sources.append(_source(1, 2, 6, heeds=False))
    fleet = callfleet.Fleet(74, sources, seed=seed)
    fleet.run(8.0)
    odds = []
    for heeds in (True, False):
        returned = [
            r
            for r in fleet.requests
            if r.attempts == 2 and r.source.heeds is heeds
        ]
        odds.append(sum(r.in_time for r in returned) / len(returned))
    assert odds[0] > odds[1]
    overall = _shares(fleet, 2, 6, lambda r: r.source.heeds)
    assert overall[True] > overall[False]


@pytest.mark.parametrize(('given', 'expected'), cases.read('sendwindow.txt'))
def test_window(given: str, expected: str) -> None:
    """The window of one upstream, step by step."""
    window = sendwindow.SendWindow(6)
    now, sent = 0.0, [0.0]
    results = {
        'answer': _Result.ANSWERED,
        'reject': _Result.REJECTED,
        'fail': _Result.FAILED,
    }
    for step in given.splitlines():
        word, *rest = step.split()
        if word == 'wait':
            now += float(rest[0])
        elif word == 'load':
            report = loadreports.LoadReport(*map(int, rest))
            window.record_load(report, now)
        elif word == 'grant':
            sent[0] = now
            for _ in range(int(rest[0])):
                window.begin(now)
        else:
            now = max(now, sent[0] + 0.06 * (word == 'answer'))
            for _ in range(int(rest[0])):
                window.end(results[word], 0.06, sent[0], 0.0, now)
    room = 'room' if window.has_room(now) else 'full'
    assert f'{window.size} {window.in_flight(now):.0f} {room}' == expected


@hypothesis.given(
    strategies.lists(strategies.sampled_from(list(_Result)), max_size=60),
    strategies.integers(1, 64),
)
def test_window_is_bounded(results: list[_Result], slots: int) -> None:
    """Whatever happened, the window is bounded and recovers in two rounds."""
    window = sendwindow.SendWindow(slots)
    now = 0.0
    sizes = []
    for result in [*results, *[_Result.ANSWERED] * 2 * (slots + 12)]:
        now = max(now, window.trial_at or 0.0)
        window.begin(now)
        now += 0.06
        window.end(result, 0.06, now - 0.06, 0.0, now)
        sizes.append(window.size)
    assert all(1 <= size <= 1.5 * slots + 1 for size in sizes)
    assert sizes[-1] >= slots
    # Answers alone never shrink it.
    recovery = sizes[len(results) :]
    assert recovery == sorted(recovery)


@_SEEDS
def test_window_is_steady(seed: int) -> None:
    """Pattern: steady demand of twice the capacity; windows don't swing."""
    fleet = callfleet.Fleet(74, [_source(2, 0, 5)], seed=seed)
    sizes: list[int] = []

    def sample() -> None:
        snapshot = fleet.owners[0].admission.snapshot(fleet.now)
        sizes.extend(state.window for state in snapshot.upstreams.values())
        fleet.at(0.02, sample)

    fleet.at(1.0, sample)
    fleet.run(5.0)
    assert max(sizes) - min(sizes) <= 1


_UPSTREAMS = [
    upstreams.Upstream(
        ids.UpstreamId(f'u{number}'),
        callfleet.SERVICE,
        f'u{number}:1',
        ids.DataCentre(f'dc{number}'),
        1,
    )
    for number in range(2)
]
_MEMBER = ids.MemberId('gateway')


def _admission(count: int = 1) -> calladmission.CallAdmission:
    """Upstreams of one slot; two calls in flight fill one."""
    admission = calladmission.CallAdmission(random.Random(1))
    admission.set_upstreams(_UPSTREAMS[:count], 0.0)
    return admission


def _call(
    number: int,
    objective: float = 0.31,
    deadline: float = 1.55,
    fingerprint: str = '',
    is_repeat: bool = False,
    avoid: tuple[str, ...] = (),
    data_centre: str = 'dc0',
) -> plaincalls.PlainCall:
    return plaincalls.PlainCall(
        plaincalls.CallKey(_MEMBER, number),
        ids.CustomerName('customer'),
        1.0,
        0,
        0.0,
        objective,
        deadline,
        fingerprint,
        is_repeat,
        frozenset(map(ids.UpstreamId, avoid)),
        ids.DataCentre(data_centre),
    )


def _fill(admission: calladmission.CallAdmission, count: int) -> None:
    for number in range(100, 100 + count):
        decision = admission.submit(_call(number, 9.0, 9.0), 0.0)
        assert isinstance(decision, plaincalls.Granted)


def _granted(decisions: list[plaincalls.Decision]) -> list[int]:
    assert all(isinstance(d, plaincalls.Granted) for d in decisions)
    return [decision.call.key.number for decision in decisions]


def test_order() -> None:
    """A call that returned as told, a first attempt, early ones, repeats."""
    admission = _admission()
    _fill(admission, 2)
    admission.set_upstreams([], 0.0)
    told = {}
    for number, name in enumerate(('told', 'early')):
        rejected = admission.submit(_call(number, fingerprint=name), 0.0)
        assert isinstance(rejected, plaincalls.Rejected)
        assert rejected.reason is _Reason.NO_UPSTREAM
        told[name] = rejected.retry_after
    admission.set_upstreams(_UPSTREAMS[:1], 0.0)
    early = told['early'] / 2
    now = told['told']
    submitted = [
        (_call(2, 9.0, 9.0, is_repeat=True), 0.0),
        (_call(3, 9.0, 9.0, fingerprint='early'), early),
        (_call(4, 9.0, 9.0), now),
        (_call(5, 9.0, 9.0, fingerprint='told'), now),
    ]
    for call, at in submitted:
        assert admission.submit(call, at) is None
    order = []
    for number in (100, 101, 5, 4):
        key = plaincalls.CallKey(_MEMBER, number)
        admission.end(key, _Result.ANSWERED, 0.0, now)
        order += _granted(admission.decide(now))
    assert order == [5, 4, 2, 3]


def test_late_calls_displace_nobody() -> None:
    """A call past its objective waits for one that is still in time."""
    admission = _admission()
    _fill(admission, 2)
    now = 1.0
    assert admission.submit(_call(1, objective=0.31), now) is None
    assert admission.submit(_call(2, 9.0, 9.0), now) is None
    admission.end(_call(100).key, _Result.CANCELLED, 0.0, now)
    assert _granted(admission.decide(now)) == [2]
    admission.end(_call(101).key, _Result.CANCELLED, 0.0, now)
    assert _granted(admission.decide(now)) == [1]


def test_no_room_for_late_calls() -> None:
    """Pattern: more calls in time than can be served; late ones go at once."""
    admission = _admission()
    now = 0.0
    for number in range(40):
        now += 0.02
        admission.submit(_call(number, 99.0, 99.0), now)
        for decision in admission.decide(now):
            assert isinstance(decision, plaincalls.Granted)
        if number % 5 == 4:
            key = plaincalls.CallKey(_MEMBER, number // 5)
            admission.end(key, _Result.ANSWERED, 0.1, now)
    rejected = admission.submit(_call(99, 0.31, 2.0), now)
    assert isinstance(rejected, plaincalls.Rejected)
    assert rejected.reason is _Reason.NO_ROOM
    # It is late, so there is no room before the contention ends.
    assert rejected.retry_after >= 0.6 * (2.0 - now) / 3


def test_hopeless_calls_are_rejected_at_once() -> None:
    """A call past its deadline is rejected, and one whose time runs out."""
    admission = _admission()
    _fill(admission, 2)
    assert admission.submit(_call(1), 0.0) is None
    at = admission.next_decision_at(0.0)
    while admission.snapshot(0.0).waiting[waitingcalls.Band.LATE] == 0:
        assert at is not None and at < 1.55
        assert admission.decide(at) == []
        previous, at = at, admission.next_decision_at(at)
        # Otherwise the loop might never end.
        assert at is not None and at > previous
    rejected = admission.decide(1.56)
    assert [type(decision) for decision in rejected] == [plaincalls.Rejected]
    assert isinstance(admission.submit(_call(2), 1.6), plaincalls.Rejected)


def test_time_for_long_sends() -> None:
    """A call is in time if it is granted while a long send would end."""
    admission = _admission()
    for number in range(20):
        now = float(number)
        admission.submit(_call(number, 99.0, 99.0), now)
        # A fifth of all sends takes long.
        seconds = 0.14 if number % 5 == 0 else 0.04
        key = _call(number).key
        admission.end(key, _Result.ANSWERED, seconds, now + seconds)
    for number in (100, 101):
        call = _call(number, 99.0, 99.0)
        assert isinstance(admission.submit(call, 30.0), plaincalls.Granted)
    assert admission.submit(_call(1, 30.3, 99.0), 30.0) is None
    assert admission.submit(_call(2, 99.0, 99.0), 30.0) is None
    # 0.1 s are left, more than the mean of 0.06 s.
    admission.end(_call(100).key, _Result.CANCELLED, 0.0, 30.2)
    assert _granted(admission.decide(30.2)) == [2]


def test_many_calls_become_late_at_once() -> None:
    """Pattern: sends take much longer while a long queue waits."""
    admission = _admission()
    _fill(admission, 2)
    for number in range(1000, 1000 + calladmission.MAX_WAITING // 2):
        call = _call(number, 5.0, 1e6)
        assert admission.submit(call, 0.0) is None
    assert admission.decide(3.0) == []
    admission.end(_call(100).key, _Result.ANSWERED, 3.01, 3.01)
    assert len(_granted(admission.decide(3.01))) == 1


def test_objective_after_several_rejections() -> None:
    """Pattern: a caller returns twice; its first attempt counts."""
    returns = callreturns.CallReturns(random.Random(1))
    call = _call(1, fingerprint='caller')
    for now in (0.0, 0.1, 0.2):
        call = dataclasses.replace(
            call, arrived_at=now, objective_at=now + 0.31, seconds_before=0.0
        )
        call = returns.since_first_attempt(call, now)
        returns.record_arrival('caller', now)
        assert call.objective_at == pytest.approx(0.31)
        told = returns.schedule(call, 300.0, 0.0, 9.0, now)
        assert told == pytest.approx(0.05)


def test_upstream_choice() -> None:
    """The near one of two equal upstreams, never one that failed the call."""
    for number in range(9):
        decision = _admission(2).submit(_call(1, data_centre='dc1'), 0.0)
        assert isinstance(decision, plaincalls.Granted)
        assert decision.upstream == 'u1'
    admission = _admission(2)
    decision = admission.submit(_call(1, avoid=('u0',)), 0.0)
    assert isinstance(decision, plaincalls.Granted)
    assert decision.upstream == 'u1'
    rejected = admission.submit(_call(2, avoid=('u0', 'u1')), 0.0)
    assert isinstance(rejected, plaincalls.Rejected)
    assert rejected.reason is _Reason.NO_UPSTREAM


def test_grants_expire() -> None:
    """Pattern: a gateway dies with its grants."""
    admission = _admission()
    for number in range(2):
        admission.submit(_call(number, 0.5, 0.5), 0.0)
    assert admission.submit(_call(2, 9.0, 9.0), 0.0) is None
    assert admission.decide(0.49) == []
    at = admission.next_decision_at(0.49)
    assert at is not None and at <= 0.5
    assert _granted(admission.decide(0.5)) == [2]


def test_queue_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """A submitted call keeps its place; a withdrawn one leaves it."""
    monkeypatch.setattr(calladmission, 'MAX_WAITING', 1)
    admission = _admission()
    _fill(admission, 2)
    assert admission.submit(_call(1), 0.0) is None
    assert admission.submit(_call(1), 0.0) is None
    rejected = admission.submit(_call(2), 0.0)
    assert isinstance(rejected, plaincalls.Rejected)
    assert rejected.reason is _Reason.QUEUE_FULL
    assert admission.snapshot(0.0).rejections == {_Reason.QUEUE_FULL: 1}
    admission.end(_call(1).key, _Result.CANCELLED, 0.0, 0.0)
    assert admission.submit(_call(2), 0.0) is None


def test_contention_does_not_flap() -> None:
    """It begins when slots fill, and ends a while after they have emptied."""
    admission = _admission(2)
    assert not admission.is_contended(0.0)
    _fill(admission, 2)
    assert admission.is_contended(0.0)
    for number in (100, 101):
        admission.end(_call(number).key, _Result.ANSWERED, 0.06, 0.1)
    assert admission.is_contended(0.2)
    assert admission.is_contended(0.9)
    assert not admission.is_contended(1.1)
    customer = ids.CustomerName('customer')
    state = admission.snapshot(1.1).customers[customer]
    assert state.grant_share == 1.0
