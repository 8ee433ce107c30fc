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

"""A customer's quota over all gateways, in virtual time.

The bound is the users': in any window, what runs for a customer stays under
(rate x window + burst) x (1 + overshoot) + slack, over all gateways, whoever
reaches whom. Within the limit nothing is refused.
"""

import random

import hypothesis
from hypothesis import strategies
import pytest

from bench import quotas as fleets
from galenahatch.core import customers
from galenahatch.core import quotas
from galenahatch import ids

_NAME = ids.CustomerName('a')
_HOT = fleets.Load(hot_factor=7.5)
_SMALL_HOT = fleets.Load(rate=29_000.0, hot_factor=7.5)
_LASTS = 24.0


def _played(
    size: int,
    load: fleets.Load,
    *faults: fleets.Fault,
    seed: int = 1,
    loss: float = 0.01,
) -> fleets.Result:
    fleet = fleets.Fleet(size, load, faults, seed=seed, loss=loss)
    fleet.run(_LASTS)
    return fleet.result()


@pytest.mark.parametrize('size', [6, 63, 195, 410])
def test_usual_load_is_not_refused(size: int) -> None:
    """A customer that uses half of its rate is hardly ever refused.

    Only gateways that all begin at the same moment, under traffic, do not
    yet know that they decide for all.
    """
    fleet = fleets.Fleet(size, fleets.Load(), loss=0.01)
    fleet.run(4.0)
    begun = fleet.refused
    fleet.run(_LASTS)
    assert fleet.refused == begun


@pytest.mark.parametrize('load', [_HOT, _SMALL_HOT])
@pytest.mark.parametrize('size', [6, 63, 195, 410])
@pytest.mark.parametrize('at_one', [False, True])
def test_hot_customer(size: int, load: fleets.Load, at_one: bool) -> None:
    """One that sends 7.5 times its usual has its limit and no more."""
    hot = fleets.Load(
        rate=load.rate,
        hot_factor=load.hot_factor,
        uses_one_gateway=at_one,
    )
    result = _played(size, hot)
    assert result.peak_ratio <= 1
    usual = load.rate * load.usual_share
    assert result.granted >= 0.95 * (12 * load.rate + 11 * usual)


@pytest.mark.parametrize('size', [6, 63, 195])
@pytest.mark.parametrize('at_one', [False, True])
def test_flood_of_calls(size: int, at_one: bool) -> None:
    """Calls that come faster than beats are counted all the same."""
    load = fleets.Load(
        29_000.0,
        hot_factor=50.0,
        uses_one_gateway=at_one,
        plain_call_share=1.0,
    )
    assert _played(size, load).peak_ratio <= 1


@pytest.mark.parametrize('load', [_HOT, _SMALL_HOT])
@pytest.mark.parametrize(
    'fault',
    [
        fleets.Fault('kill', 7.0, 3.0, 0.0),
        fleets.Fault('kill', 7.0, 2.0, 0.55),
        fleets.Fault('kill', 8.0, 1.0, 1.0),
        fleets.Fault('suspend', 7.0, 4.0, 0.0),
        fleets.Fault('cut', 5.0, 9.0, 0.35),
        fleets.Fault('cut', 5.0, 9.0, 0.5, isolates_each=False),
    ],
    ids=lambda fault: f'{fault.kind}-{fault.share}-{fault.isolates_each}',
)
@pytest.mark.parametrize('size', [6, 63])
def test_faults(size: int, load: fleets.Load, fault: fleets.Fault) -> None:
    """The bound holds whoever is killed, suspended or cut off."""
    for seed in (1, 2, 3):
        assert _played(size, load, fault, seed=seed).peak_ratio <= 1


def test_all_killed_twice() -> None:
    """Nobody knows what was used before; two ends in a window still hold."""
    faults = (
        fleets.Fault('kill', 6.0, 0.7, 1.0),
        fleets.Fault('kill', 9.0, 0.7, 1.0),
    )
    assert _played(63, _HOT, *faults).peak_ratio <= 1


@pytest.mark.parametrize('size', [12, 63])
def test_started_in_stages(size: int) -> None:
    """After the loss of all, those that are up first serve usual load.

    They read the rows of all, and hear few of them yet.
    """
    fleet = fleets.Fleet(
        size,
        fleets.Load(),
        (
            fleets.Fault('kill', 8.0, 0.8, 1.0),
            fleets.Fault('kill', 8.0, 1.6, 0.9),
        ),
    )
    fleet.run(_LASTS)
    assert fleet.refused == 0


@pytest.mark.parametrize('size', [6, 63])
def test_lowered(size: int) -> None:
    """A lower limit binds one window after all gateways have it."""
    fleet = fleets.Fleet(size, fleets.Load(hot_factor=3.0, hot_until=20.0))
    fleet.run(8.0)
    fleet.set_quota(customers.Quota(20_000.0, 20_000.0))
    fleet.run(30.0)
    assert fleet.result(since=8.0).peak_ratio <= 1


def test_raised_at_once() -> None:
    """A burst that was raised is there with the configuration."""
    fleet = fleets.Fleet(6, fleets.Load(hot_factor=7.5, hot_until=30.0))
    fleet.run(8.0)
    before = fleet.result().granted
    fleet.set_quota(customers.Quota(116_325.0, 1_000_000.0))
    fleet.run(12.0)
    after = fleet.result(since=8.0)
    assert after.peak_ratio <= 1
    assert after.granted > before


_SIZES = strategies.sampled_from([6, 12, 63])
_FAULTS = strategies.lists(
    strategies.builds(
        fleets.Fault,
        strategies.sampled_from(['kill', 'cut', 'suspend']),
        strategies.floats(2.0, 14.0),
        strategies.floats(0.5, 8.0),
        strategies.floats(0.0, 0.5),
        strategies.booleans(),
    ),
    max_size=3,
)


@hypothesis.settings(
    max_examples=25, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    size=_SIZES,
    faults=_FAULTS,
    hot_factor=strategies.floats(1.0, 8.0),
    rate=strategies.sampled_from([29_000.0, 116_325.0]),
    loss=strategies.floats(0.0, 0.3),
    seed=strategies.integers(0, 2**31),
)
def test_bound_under_any_faults(
    size: int,
    faults: list[fleets.Fault],
    hot_factor: float,
    rate: float,
    loss: float,
    seed: int,
) -> None:
    """The bound holds for overlapping faults, with beats that are lost."""
    load = fleets.Load(rate=rate, hot_factor=hot_factor)
    fleet = fleets.Fleet(size, load, faults, seed=seed, loss=loss)
    fleet.run(18.0)
    assert fleet.result().peak_ratio <= 1


# One bucket.

_BOUND = quotas.Bound(8.0, 0.1, 1_000.0)


def _buckets(
    rate: float = 100.0, burst: float = 100.0
) -> quotas.Quotas[ids.CustomerName]:
    known = quotas.Quotas[ids.CustomerName](_BOUND, random.Random(1))
    known.configure({}, 0.0)
    quota = customers.Quota(rate, burst)
    customer = customers.Customer(_NAME, frozenset(), quota=quota)
    known.configure({_NAME: customer}, 0.0)
    return known


def test_times_to_come_back() -> None:
    """Who is refused hears when there is room, each a time of its own."""
    known = _buckets()
    most = known.max_units(_NAME)
    assert most is not None
    assert known.acquire(_NAME, most, 0.0) is None
    waits = []
    for _ in range(4):
        denied = known.acquire(_NAME, 50.0, 0.0)
        assert denied is not None and denied.retry_after is not None
        waits.append(denied.retry_after)
    assert waits == pytest.approx([0.5, 1.0, 1.5, 2.0])
    assert known.acquire(_NAME, 50.0, waits[0]) is None


def test_too_large_is_told_apart() -> None:
    """A request that no bucket holds gets no time to come back."""
    known = _buckets()
    most = known.max_units(_NAME)
    assert most is not None
    denied = known.acquire(_NAME, most + 1, 0.0)
    assert denied is not None and denied.retry_after is None


def test_given_back() -> None:
    """What did not run may be used again, and no more than the bucket."""
    known = _buckets()
    most = known.max_units(_NAME)
    assert most is not None
    assert known.acquire(_NAME, most, 0.0) is None
    known.refund(_NAME, most, 0.0)
    known.refund(_NAME, most, 0.0)
    assert known.acquire(_NAME, most, 0.0) is None
    assert known.acquire(_NAME, 1.0, 0.0) is not None


def test_words_in_any_order() -> None:
    """Levels that come late or twice take nothing away."""
    known = _buckets()
    for level in (50.0, 80.0, 50.0):
        known.merge_levels({_NAME: level}, 0.0)
    assert known.acquire(_NAME, 50.0, 0.0) is None
    assert known.acquire(_NAME, 1.0, 0.0) is not None


def test_many_customers() -> None:
    """What is kept and told is bounded, however many come and go."""
    known = quotas.Quotas[ids.CustomerName](_BOUND, random.Random(1))
    quota = customers.Quota(10.0, 10.0)
    for turn in range(10):
        names = [ids.CustomerName(f'c{turn}-{i}') for i in range(660)]
        known.configure(
            {
                name: customers.Customer(name, frozenset(), quota=quota)
                for name in names
            },
            float(turn),
        )
        for name in names:
            known.acquire(name, 300.0, float(turn), report_use=True)
        assert len(known.low_levels(float(turn))) <= 32
    assert len(known.take_unreported()) <= 660


def test_unlimited_customer() -> None:
    """Without a quota nothing is counted."""
    known = _buckets()
    other = ids.CustomerName('other')
    assert known.acquire(other, 1e9, 0.0, report_use=True) is None
    assert known.max_units(other) is None
    assert not known.take_unreported()
