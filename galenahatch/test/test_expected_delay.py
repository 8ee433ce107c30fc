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

"""Expected delays of plain calls, and choices of an upstream by them."""

import random
import typing

import hypothesis
from hypothesis import strategies
import pytest

from bench import delays as simulations
from galenahatch.core import balance
from galenahatch.core import expecteddelay
from galenahatch.core import loadreports
from galenahatch.core import outliers
from galenahatch.core import upstreams
from galenahatch import ids

_WORK_S: typing.Final = 0.06
_OBJECTIVE_S: typing.Final = 0.31
_RUN_S: typing.Final = 12.0


def _upstream(name: str, data_centre: str = 'a') -> upstreams.Upstream:
    return upstreams.Upstream(
        ids.UpstreamId(name),
        ids.ServiceName('desk'),
        '10.1.0.1:80',
        ids.DataCentre(data_centre),
        slots=6,
    )


_MEMBERS: typing.Final = [_upstream(name) for name in 'xyz']
_IDS: typing.Final = [member.id for member in _MEMBERS]


def _report(
    slowdown: float | None = 1.0, total: int = 0
) -> loadreports.LoadReport:
    running = min(6, total)
    return loadreports.LoadReport(running, total - running, 6, slowdown)


class _Service:
    """Three upstreams before one VM.

    Args:
        slowdowns: Slowdown that each states.
    """

    def __init__(self, slowdowns: typing.Sequence[float | None]) -> None:
        self.loads = loadreports.Loads()
        self.balancer = balance.Balancer(
            random.Random(1), ids.DataCentre('a'), self.loads
        )
        self.now = 0.0
        self.stated = dict(zip(_IDS, slowdowns, strict=True))

    def state(self, upstream: ids.UpstreamId, total: int = 0) -> None:
        """Let an upstream state its load and its slowdown."""
        report = _report(self.stated[upstream], total)
        self.loads.record(upstream, report, self.now)
        self.balancer.record_load(upstream, report.total, self.now)

    def answer(
        self, upstream: ids.UpstreamId, seconds: float, total: int = 0
    ) -> None:
        """Let an upstream answer a call, and state its load."""
        self.balancer.begin(upstream)
        self.now += 0.25
        self.state(upstream, total)
        result = balance.Result(seconds, _report(self.stated[upstream], total))
        self.balancer.end(upstream, True, _MEMBERS, self.now, result)

    def shares(
        self, time_left: float | None = None
    ) -> dict[ids.UpstreamId, float]:
        """Return the share of choices that each upstream gets."""
        counts = dict.fromkeys(_IDS, 0.0)
        for _ in range(300):
            chosen = self.balancer.choose(
                _MEMBERS, (), self.now, time_left=time_left
            )
            assert chosen is not None
            counts[chosen.id] += 1 / 300
        return counts

    def delay(self, upstream: ids.UpstreamId, in_flight: int = 0) -> float:
        """Return the expected delay at an upstream."""
        member = _MEMBERS[_IDS.index(upstream)]
        calls = [(member, in_flight)]
        return self.balancer.delays.delays(calls, _IDS, self.now)[0]


def test_wait_and_work() -> None:
    """A call waits for the work ahead of it, at the speed of this moment."""
    service = _Service((1.0, 2.5, 1.0))
    for _ in range(8):
        for upstream in _IDS:
            service.answer(upstream, _WORK_S * (service.stated[upstream] or 1))
    for upstream in _IDS:
        service.stated[upstream] = 1.0
        service.state(upstream)
    assert service.delay(_IDS[0], 5) == pytest.approx(_WORK_S)
    assert service.delay(_IDS[0], 11) == pytest.approx(2 * _WORK_S)
    service.stated[_IDS[0]] = 2.5
    service.state(_IDS[0])
    assert service.delay(_IDS[0], 11) == pytest.approx(5 * _WORK_S)
    service.now += 0.6
    assert service.delay(_IDS[0], 11) == pytest.approx(2 * _WORK_S)


def test_slow_moment_is_avoided() -> None:
    """An upstream in a slow moment gets nothing until its siblings queue."""
    service = _Service((2.5, 1.0, 1.0))
    for upstream in _IDS:
        service.state(upstream)
    assert service.shares()[_IDS[0]] == 0
    for _ in range(30):
        service.balancer.begin(_IDS[1])
        service.balancer.begin(_IDS[2])
    assert service.shares()[_IDS[0]] > 0.5


def test_ended_requests_are_not_in_flight() -> None:
    """Requests that ended without a report no longer count."""
    service = _Service((1.0, 1.0, 1.0))
    for upstream in _IDS:
        service.state(upstream)
    before = service.balancer.expected_delays(_MEMBERS, service.now)
    for _ in range(30):
        service.balancer.begin(_IDS[0])
        service.balancer.cancel(_IDS[0])
    assert service.balancer.expected_delays(_MEMBERS, service.now) == before


def test_all_slow_alike() -> None:
    """Nobody is avoided if all are slow."""
    service = _Service((2.5, 2.5, 2.5))
    for upstream in _IDS:
        service.state(upstream)
    assert min(service.shares().values()) > 0.2


def test_half_of_the_upstreams_slow() -> None:
    """The others are used, and the slow ones once these are late."""
    service = _Service((2.5, 2.5, 1.0))
    for upstream in _IDS:
        service.state(upstream)
    shares = service.shares()
    assert shares[_IDS[2]] > 0.6, 'the better of two'
    for _ in range(18):
        service.balancer.begin(_IDS[2])
    assert service.shares()[_IDS[2]] == 0


def test_idle_but_slow_is_found_out() -> None:
    """An upstream that always states to be idle and fast, but is slow."""
    service = _Service((1.0, 1.0, 1.0))
    for _ in range(6):
        service.answer(_IDS[0], 3 * _WORK_S)
        service.answer(_IDS[1], _WORK_S)
        service.answer(_IDS[2], _WORK_S)
    assert service.shares()[_IDS[0]] == 0
    delays = service.balancer.delays
    standing = delays.update_standing(_IDS[0], _IDS)
    assert standing is expecteddelay.Standing.SLOW
    assert delays.update_standing(_IDS[0], _IDS) is None, 'told once'


def test_slow_but_fast_is_found_out() -> None:
    """A slowdown that results contradict counts for little."""
    service = _Service((1.0, 1.0, 1.0))
    for step in range(24):
        service.stated[_IDS[0]] = 2.5 if step % 3 == 0 else 1.0
        for upstream in _IDS:
            service.answer(upstream, _WORK_S)
    service.stated[_IDS[0]] = 2.5
    service.state(_IDS[0])
    assert service.delay(_IDS[0]) < 1.5 * _WORK_S
    delays = service.balancer.delays
    standing = delays.update_standing(_IDS[0], _IDS)
    assert standing is expecteddelay.Standing.DISTRUSTED


@pytest.mark.parametrize('stated', (2.5, 0.5, 20.0))
def test_frozen_slowdown(stated: float) -> None:
    """A slowdown that never changes is no moment: results count."""
    service = _Service((stated, 1.0, 1.0))
    for _ in range(15):
        for upstream in _IDS:
            service.answer(upstream, _WORK_S)
    for age in (0.0, 0.3, 5.0):
        service.now += age
        assert service.delay(_IDS[0]) == pytest.approx(_WORK_S, rel=0.05)


def test_reports_that_stop() -> None:
    """Without reports, speeds as learnt and own requests remain."""
    service = _Service((1.0, 1.0, 1.0))
    for _ in range(8):
        for upstream in _IDS:
            service.answer(upstream, _WORK_S, total=40)
            service.answer(upstream, _WORK_S)
    service.state(_IDS[0], total=30)
    assert service.shares()[_IDS[0]] == 0
    service.now += 2.0
    assert min(service.shares().values()) > 0.2


def test_slow_for_one_data_centre() -> None:
    """What a VM itself measures counts, whatever the upstream states."""
    far, near = _Service((1.0,) * 3), _Service((1.0,) * 3)
    for _ in range(6):
        for upstream in _IDS:
            slow = upstream == _IDS[0]
            far.answer(upstream, _WORK_S + 0.2 * slow)
            near.answer(upstream, _WORK_S)
    assert far.shares()[_IDS[0]] == 0
    assert near.shares()[_IDS[0]] > 0.2


def test_queueing_is_not_learnt_as_work() -> None:
    """Results of calls that may have waited don't change the speed."""
    service = _Service((1.0, 1.0, 1.0))
    for _ in range(8):
        for upstream in _IDS:
            service.answer(upstream, _WORK_S)
    for _ in range(15):
        service.answer(_IDS[0], 5 * _WORK_S, total=24)
    service.state(_IDS[0])
    assert service.delay(_IDS[0]) == pytest.approx(_WORK_S)


def test_busy_upstream_in_a_slow_moment() -> None:
    """More results than the window holds end within one slow moment."""
    service = _Service((1.0, 1.0, 1.0))
    for _ in range(8):
        service.answer(_IDS[0], _WORK_S)
        service.now += 0.5
    delays = service.balancer.delays
    for _ in range(60):
        service.now += 0.01
        delays.record(_IDS[0], 2.5 * _WORK_S, _report(2.5), service.now)
    usual = delays.usual_seconds(_IDS[0], _IDS, service.now)
    assert usual == pytest.approx(_WORK_S)


def test_new_upstream_is_like_its_siblings() -> None:
    """It gets work at once, and its first result decides little."""
    service = _Service((1.0, 1.0, 1.0))
    for _ in range(15):
        for upstream in _IDS[1:]:
            service.answer(upstream, 4 * _WORK_S)
    assert service.delay(_IDS[0]) == pytest.approx(4 * _WORK_S)
    service.answer(_IDS[0], 40 * _WORK_S)
    assert service.delay(_IDS[0]) < 20 * _WORK_S


def test_unused_upstream_is_tried_again() -> None:
    """An upstream that was slow may be fast by now."""
    service = _Service((1.0, 1.0, 1.0))
    for _ in range(8):
        service.answer(_IDS[0], 1.2 * _WORK_S)
        service.answer(_IDS[1], _WORK_S)
        service.answer(_IDS[2], _WORK_S)
    before = service.delay(_IDS[0])
    service.now += 120.0
    assert service.delay(_IDS[0]) < before
    assert service.delay(_IDS[0]) == pytest.approx(_WORK_S, rel=0.02)


def test_own_data_centre_first_while_in_time() -> None:
    """Distance counts little, but what is in time needn't travel."""
    members = [_upstream('x', 'a'), _upstream('y', 'b'), _upstream('z', 'c')]
    service = _Service((1.0, 1.0, 1.0))
    for upstream in _IDS:
        service.state(upstream)

    def chosen(time_left: float) -> set[str]:
        found = set()
        for _ in range(60):
            member = service.balancer.choose(
                members, (), service.now, time_left=time_left
            )
            found.add(member.id if member else '')
        return found

    assert chosen(_OBJECTIVE_S) == {'x'}
    service.state(_IDS[0], total=40)
    assert chosen(_OBJECTIVE_S) == {'y', 'z'}
    service.state(_IDS[0])
    assert len(chosen(0.01)) == 3, 'late anyway: all share'


def test_failures_keep_their_weight() -> None:
    """Of three upstreams, two fail a third: the third one is used."""
    service = _Service((1.0, 1.0, 2.5))
    for upstream in _IDS:
        service.state(upstream)
    told = {key: outliers.Count(30.0, 10.0) for key in _IDS[:2]}
    service.balancer.outliers.set_totals(told, service.now)
    assert service.shares()[_IDS[2]] == pytest.approx(1.0)
    for _ in range(60):
        service.balancer.begin(_IDS[2])
    assert service.shares()[_IDS[2]] == 0, 'its siblings are worth a try now'


@pytest.mark.parametrize('size', (6, 74, 410))
def test_herding_is_bounded(size: int) -> None:
    """Gateways that see one idle upstream don't all send there at once."""
    chosen = dict.fromkeys(_IDS, 0)
    for number in range(size):
        service = _Service((1.0, 1.0, 1.0))
        service.balancer = balance.Balancer(
            random.Random(number), ids.DataCentre('b'), service.loads
        )
        for upstream in _IDS:
            service.state(upstream, 0 if upstream == _IDS[0] else 9)
        for _ in range(3):
            member = service.balancer.choose(_MEMBERS, (), service.now)
            assert member is not None
            service.balancer.begin(member.id)
            chosen[member.id] += 1
    assert chosen[_IDS[0]] < 0.8 * 3 * size


@hypothesis.settings(
    max_examples=200, deadline=None, derandomize=True, database=None
)
@hypothesis.given(seed=strategies.integers(0, 2**32))
def test_counts_only_are_balanced_as_before(seed: int) -> None:
    """Without a slowdown, choices are those of the former code."""
    source = random.Random(seed)
    one, other = (
        balance.Balancer(random.Random(seed), ids.DataCentre('a'), loads)
        for loads in (loadreports.Loads(), None)
    )
    now = 0.0
    members = [_upstream(name, source.choice('ab')) for name in 'xyz']
    for _ in range(60):
        now += source.expovariate(10.0)
        report = _report(None, source.randrange(12))
        upstream = source.choice(members)
        one._loads.record(upstream.id, report, now)
        for balancer in (one, other):
            balancer.record_load(upstream.id, report.total, now)
        repeatable = source.random() < 0.5
        left = source.choice((None, 0.3))
        chosen = one.choose(members, (), now, repeatable, left)
        expected = _former_choice(other, members, now, repeatable)
        assert chosen is expected
        succeeded, has_ended = source.random() < 0.8, source.random() < 0.7
        result = balance.Result(source.random(), report)
        for balancer in (one, other):
            balancer.begin(expected.id)
            if has_ended:
                balancer.end(expected.id, succeeded, members, now, result)


def _former_choice(
    balancer: balance.Balancer,
    members: list[upstreams.Upstream],
    now: float,
    repeatable: bool,
) -> upstreams.Upstream:
    """Return the choice by counts and failures alone."""
    weight = 6.0 if repeatable else 12.0
    shares = [balancer.outliers.share(member.id, now) for member in members]
    baseline = min(share.likely for share in shares)

    def cost(index: int) -> tuple[float, float]:
        excess = max(0.0, shares[index].least - baseline)
        load = balancer._load(members[index], now)
        return load + weight * excess, balancer._random.random()

    return members[min(range(len(members)), key=cost)]


@hypothesis.settings(
    max_examples=25, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    speeds=strategies.lists(
        strategies.floats(0.3, 3.0), min_size=3, max_size=3
    ),
    load=strategies.floats(0.2, 1.3),
    seed=strategies.integers(0, 1000),
)
@hypothesis.example(speeds=[0.30, 0.33, 0.30], load=0.33, seed=925)
@hypothesis.example(speeds=[0.3, 0.3, 0.3], load=0.359608450097822, seed=809)
def test_learnt_work_is_that_of_a_real_upstream(
    speeds: list[float], load: float, seed: int
) -> None:
    """Neither queues nor slow moments move it out of the real range."""
    fleet = simulations.Fleet(
        4, speeds, load, 0.0, simulations.Method.COUNT, seed
    )
    fleet.run(_RUN_S)
    works = [simulations.WORK_S / speed for speed in speeds]
    least, most = 0.9 * min(works), 1.1 * (max(works) + simulations.REMOTE_S)
    siblings = [upstream.id for upstream in fleet.listed]
    for balancer in fleet.balancers:
        for upstream in siblings:
            usual = balancer.delays.usual_seconds(upstream, siblings, _RUN_S)
            results = balancer.delays.result_count(upstream)
            assert results < 8 or least <= usual <= most
