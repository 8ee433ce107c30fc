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

"""Speeds of single engines of a service whose engines differ.

The load: engines of one service that differ by up to ten times, are slow at
moments, queue some prompts and have others cached.
"""

import random
import statistics

import hypothesis
from hypothesis import strategies
import pytest

from galenahatch.core import dispatch
from galenahatch.core import enginespeeds
from galenahatch.core import figures
from galenahatch.core import generations
from galenahatch.core import placements
from galenahatch.core import pool as pools
from galenahatch.core import prefillwork
from galenahatch.core import ratelimits
from galenahatch.core import upstreams
from galenahatch.gateway import messages
from galenahatch import ids
from galenahatch.test import samples

_RATE = 50_000.0


def _engine(name: str, stage: upstreams.Stage) -> upstreams.Upstream:
    return upstreams.Upstream(
        ids.UpstreamId(name),
        ids.ServiceName('lm'),
        name,
        ids.DataCentre('a'),
        8,
        False,
        stage,
    )


def _engines(prefills: int, decodes: int = 1) -> list[upstreams.Upstream]:
    return [
        *(_engine(f'p{n}', upstreams.Stage.PREFILL) for n in range(prefills)),
        *(_engine(f'd{n}', upstreams.Stage.DECODE) for n in range(decodes)),
    ]


class _Results:
    """Results of prefills at engines of given speeds."""

    def __init__(self, speeds: list[float]) -> None:
        self.slowdowns: dict[str, float] = {}
        self.speeds = speeds
        self.pool = pools.Pool(10**6, 8, ratelimits.Limiter(random.Random(0)))
        self.pool.set_engines(_engines(len(speeds)), 0.001, 0.0)
        self.pool.speeds.set_slowdowns(self._slowdown)
        self.estimator = figures.Estimator()
        self._count = 0

    def _slowdown(self, upstream: ids.UpstreamId, now: float) -> float:
        return self.slowdowns.get(upstream, 1.0)

    def add(
        self, number: int, tokens: int, slowdown: float, waited: float = 0.0
    ) -> None:
        name = ids.UpstreamId(f'p{number}')
        self.slowdowns[name] = slowdown
        seconds = tokens / (_RATE * self.speeds[number]) * slowdown + waited
        placement = placements.Placement(
            name, 0, 0.0, name, 0.0, had_idle_prefill=True
        )
        self._count += 1
        prefillwork.record(
            placement,
            messages.Prefilled(
                ids.StreamId(str(self._count)),
                ids.ServiceName('lm'),
                tokens,
                seconds,
            ),
            self.pool,
            self.estimator,
            float(self._count),
        )

    def rates(self) -> list[float]:
        """Return the rates that the service counts with."""
        return [
            self.estimator.figures.rate
            * self.pool.speeds.prefill_speed(ids.UpstreamId(f'p{n}'))
            for n in range(len(self.speeds))
        ]


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(
    strategies.lists(strategies.floats(0.3, 3.0), min_size=2, max_size=8),
    strategies.integers(0, 10**6),
)
def test_rate_is_that_of_some_engine(speeds: list[float], seed: int) -> None:
    """The estimated rate lies between the slowest and the fastest engine.

    Every fourth result of an engine had waited there, one in seven was read
    in a slow moment; sizes spread by a factor of three.
    """
    source = random.Random(seed)
    results = _Results(speeds)
    for turn in range(16):
        order = list(range(len(speeds)))
        source.shuffle(order)
        for number in order:
            results.add(
                number,
                int(min(11_000, source.lognormvariate(8.4, 0.5))),
                2.5 if source.random() < 0.15 else 1.0,
                0.2 * source.random() if (turn + number) % 4 == 3 else 0.0,
            )
    slowest, fastest = min(speeds) * _RATE, max(speeds) * _RATE
    for rate, speed in zip(results.rates(), speeds, strict=True):
        assert slowest * 0.999 <= rate <= fastest * 1.001
        assert rate == pytest.approx(speed * _RATE, rel=1e-3)
    total = results.estimator.figures.rate * results.pool.prefill_equivalents
    count = len(speeds)
    assert count * slowest * 0.999 <= total <= count * fastest * 1.001


def test_one_line_through_unequal_engines_is_no_rate() -> None:
    """A slow engine with small prompts beside a fast one with large ones.

    The line through both has a delay that neither engine has and a rate above
    that of the faster one: planned with 94,000 tokens a second, seven of nine
    prefill engines were given up before a burst.
    """
    speeds = [0.55, 1.2]
    source = random.Random(1)
    results = _Results(speeds)
    line = figures.Estimator()
    for turn in range(45):
        number = turn % 2
        tokens = int((3000, 8000)[number] * (0.9 + 0.2 * source.random()))
        results.add(number, tokens, 1.0)
        line.record_prefill(tokens, tokens / (_RATE * speeds[number]))
    assert line.figures.rate > 1.5 * max(speeds) * _RATE
    assert results.rates() == pytest.approx([s * _RATE for s in speeds])


def test_cached_prompts_and_waits_move_no_speed() -> None:
    """A fourth of the prompts was cached, another fourth waited."""
    results = _Results([0.6, 1.0, 1.5])
    for turn in range(40):
        for number in range(3):
            tokens = 100 if turn % 4 == 1 else 5000
            results.add(number, tokens, 1.0, 0.3 * (turn % 4 == 3))
            if turn % 4 == 1:
                # The engine had the other tokens of this prompt.
                results.add(number, 5000, 0.02)
    assert results.rates() == pytest.approx(
        [0.6 * _RATE, _RATE, 1.5 * _RATE], rel=0.01
    )


def test_delay_is_shared_and_speed_is_not() -> None:
    """A delay that all engines have is told from their speeds."""
    results = _Results([1.0, 1.0, 1.0])
    source = random.Random(3)
    for _ in range(30):
        for number in range(3):
            tokens = int(min(11_000, source.lognormvariate(8.4, 0.5)))
            results.add(number, tokens, 1.0, 0.1)
    current = results.estimator.figures
    assert current.delay == pytest.approx(0.1, rel=0.15)
    assert results.rates() == pytest.approx([_RATE] * 3, rel=0.15)


def test_new_engine_starts_from_the_median() -> None:
    """An engine without results counts as its siblings' median."""
    speeds = enginespeeds.EngineSpeeds()
    speeds.set_slowdowns(enginespeeds.no_slowdown)
    new = ids.UpstreamId('new')
    assert speeds.prefill_speed(new) == 1.0
    for number, factor in enumerate((0.55, 1.2, 1.2)):
        for _ in range(3):
            speeds.record_prefill(
                ids.UpstreamId(f'p{number}'), 5000, 0.1 / factor, 0.0
            )
    assert speeds.prefill_speed(new) == 1.0
    assert speeds.prefill_speed(ids.UpstreamId('p0')) == pytest.approx(
        0.55 / 1.2
    )


def test_slow_reader_may_be_a_good_decoder() -> None:
    """Speeds in both stages are known apart once both were seen."""
    speeds = enginespeeds.EngineSpeeds()
    speeds.set_slowdowns(enginespeeds.no_slowdown)
    first, second = ids.UpstreamId('a'), ids.UpstreamId('b')
    for _ in range(9):
        speeds.record_prefill(first, 5000, 0.2, 0.0)
        speeds.record_prefill(second, 5000, 0.1, 0.0)
    slow = speeds.prefill_speed(first) / speeds.prefill_speed(second)
    assert slow == pytest.approx(0.5)
    assert speeds.decode_speed(first) == speeds.prefill_speed(first), (
        'the best guess before it generated anything'
    )
    for _ in range(9):
        speeds.record_tokens(first, 1000, 0.5, 1.0)
        speeds.record_tokens(second, 1000, 1.0, 1.0)
    ratio = speeds.decode_speed(first) / speeds.decode_speed(second)
    assert ratio == pytest.approx(2.0)
    assert speeds.prefill_speed(first) < speeds.prefill_speed(second)


def test_engines_that_are_gone_are_forgotten() -> None:
    """Replaced engines leave nothing behind; a lapsed entry loses nothing."""
    speeds = enginespeeds.EngineSpeeds()
    speeds.set_slowdowns(enginespeeds.no_slowdown)
    live = [ids.UpstreamId(f'live{n}') for n in range(4)]
    for number in range(4):
        for _ in range(3):
            seconds = 0.1 * (number + 1)
            speeds.record_prefill(live[number], 5000, seconds, 0.0)
    known = speeds.prefill_speed(live[0])
    speeds.set_engines(set(live[1:]), 1.0)
    assert speeds.prefill_speed(live[0]) == known
    for number in range(1000):
        speeds.record_prefill(ids.UpstreamId(f'old{number}'), 5000, 0.1, 0.0)
        speeds.set_engines(set(live), 2.0 + number)
    assert len(speeds.known_engines) <= 2 * len(live)


def _chosen(
    reported: dict[str, float], idle: bool = True, is_uneven: bool = True
) -> str | None:
    """Return the prefill engine chosen after results at two engines."""
    owner = dispatch.Dispatcher(10**6, 64)
    owner.set_engines(_engines(2), (), 0.0)
    present: dict[str, float] = {}
    if is_uneven:
        owner.set_slowdowns(lambda e, now: present.get(e, 1.0))
    for number, factor in enumerate((0.55, 1.2)):
        for _ in range(3):
            owner.engines.speeds.record_prefill(
                ids.UpstreamId(f'p{number}'), 5000, 0.1 / factor, 0.0
            )
    present.update(reported)
    if not idle:
        owner.engines.prefills[ids.UpstreamId('p1')].idle_at = 1.15
    owner.submit(samples.generation('1', 1.0), 1.0)
    (decision,) = owner.decide(1.0)
    assert isinstance(decision, generations.Placed)
    return decision.prefill


def test_prompt_goes_where_it_is_read_first() -> None:
    """By an engine's own speed, its present slowdown and its queue."""
    assert _chosen({}) == 'p1'
    assert _chosen({'p1': 2.5}) == 'p0'
    assert _chosen({'p0': 2.5, 'p1': 2.5}) == 'p1'
    assert _chosen({}, idle=False) == 'p0'
    assert _chosen({'p1': 9.0}, is_uneven=False) == 'p0', 'as listed'


def test_reported_slowdown_is_no_fault() -> None:
    """A result that its report explains leaves an engine healthy."""
    factors = {'p0': 1.0}
    owner = dispatch.Dispatcher(10**6, 64)
    owner.set_engines(_engines(1), (), 0.0)
    owner.set_slowdowns(lambda e, now: factors.get(e, 1.0))
    engine = owner.engines.prefills[ids.UpstreamId('p0')]
    for number in range(4):
        now = float(number)
        owner.submit(samples.generation(str(number), now), now)
        assert owner.decide(now)
        factors['p0'] = 4.0
        stream = ids.StreamId(str(number))
        result = messages.Prefilled(stream, ids.ServiceName('s'), 5000, 0.5)
        owner.record_prefill(result, now + 0.5)
        assert engine.slowness(now + 0.6) == 1.0
        factors['p0'] = 1.0


@pytest.mark.parametrize(('stated', 'usual'), [(4.0, 0.1), (0.0, 0.2)])
def test_slowdown_stated_with_a_result(stated: float, usual: float) -> None:
    """It counts for that result, rather than an earlier report."""
    owner = dispatch.Dispatcher(10**6, 64)
    owner.set_engines(_engines(1), (), 0.0)
    owner.set_slowdowns(lambda e, now: 2.0)
    for number in range(4):
        now = float(number)
        owner.submit(samples.generation(str(number), now), now)
        assert owner.decide(now)
        result = messages.Prefilled(
            ids.StreamId(str(number)),
            ids.ServiceName('s'),
            5000,
            0.4,
            slowdown=stated,
        )
        owner.record_prefill(result, now + 0.4)
    line = owner.measured_figures
    speeds = owner.engines.speeds
    assert speeds.prefill_rate * usual == pytest.approx(
        5000 + line.delay * line.rate, rel=0.05
    )


def test_adopted_slowdown_is_kept() -> None:
    """One moment of the engines does not replace what another owner saw."""
    speeds = enginespeeds.EngineSpeeds()
    speeds.adopt(mean_speed=1.0, mean_slowdown=1.5)
    speeds.set_slowdowns(enginespeeds.no_slowdown)
    speeds.set_engines({ids.UpstreamId('p0')}, 50_000.0)
    assert speeds.mean_slowdown == pytest.approx(1.5, rel=0.05)
    for second in range(1, 200):
        speeds.set_engines({ids.UpstreamId('p0')}, 50_000.0 + second)
    assert speeds.mean_slowdown == pytest.approx(1.0, rel=0.05)


def test_mean_slowdown_is_that_of_the_engines() -> None:
    """What engines read over time is less than at their usual moments."""
    speeds = enginespeeds.EngineSpeeds()
    source = random.Random(4)
    speeds.set_slowdowns(lambda e, now: 2.5 if source.random() < 0.15 else 1.0)
    engines = [ids.UpstreamId(str(n)) for n in range(23)]
    seen = []
    for step in range(60):
        speeds.set_engines(set(engines), 0.5 * step)
        seen.append(speeds.mean_slowdown)
    assert statistics.fmean(seen) == pytest.approx(1.225, rel=0.1)
    assert speeds.relative_prefills(engines[0]) == pytest.approx(
        1 / 1.225, rel=0.1
    )
