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

"""Fair sharing of a service among customers and priorities.

Each test names the pattern of load that it answers. Bounds are those of the
design (docs/design/fair_queuing.md).
"""

import collections
import collections.abc
import dataclasses
import functools
import random
import statistics
import typing

import hypothesis
from hypothesis import strategies
import pytest

from bench import dispatching
from galenahatch.core import fairness
from galenahatch.core import fairshares
from galenahatch.core import figures
from galenahatch.core import generations
from galenahatch.core import retryafter
from galenahatch.core import sharetimes
from galenahatch.core import waitqueue
from galenahatch import ids

_ENGINES: typing.Final = dispatching.DELAYED


def _job(
    number: int,
    customer: str = '',
    priority: int = 0,
    cost: int = 100,
    now: float = 0.0,
    **fields: typing.Any,
) -> generations.Job:
    """Return a job whose prompt tokens are its cost."""
    values: dict[str, typing.Any] = {
        'stream': ids.StreamId(f's{number}'),
        'entry': ids.MemberId('m'),
        'prompt_tokens': cost,
        'output_hint': 0,
        'max_output': 1,
        'arrived_at': now,
        'start_deadline': now + 1.0,
        'abandon_at': now + 4.0,
        'deadline': now + 14.0,
        'fingerprint': f'f{number}',
        'data_centre': ids.DataCentre('a'),
        'customer': ids.CustomerName(customer),
        'priority': priority,
    }
    return generations.Job(**(values | fields))


def _weights(**weights: float) -> sharetimes.Weights:
    return {ids.CustomerName(name): w for name, w in weights.items()}


def _shares(
    weights: sharetimes.Weights | None, capacity: float = 0.0
) -> fairshares.FairShares:
    """Return shares that count prompt tokens; no reordering by default."""
    shares = fairshares.FairShares(
        lambda prompt, output: float(prompt + output), lambda: capacity
    )
    shares.configure(weights)
    return shares


def _serve(
    shares: fairshares.FairShares,
    waiting: list[generations.Job],
    count: int,
    now: float = 0.0,
) -> list[generations.Job]:
    """Serve a number of waiting requests in order; return them."""
    served = []
    for _ in range(count):
        job = shares.order([waiting], now)[0]
        shares.charge(job, waiting, now)
        waiting.remove(job)
        served.append(job)
    return served


def _by_customer(
    jobs: collections.abc.Iterable[generations.Job],
) -> collections.Counter[str]:
    counts: collections.Counter[str] = collections.Counter()
    for job in jobs:
        counts[job.customer] += job.prompt_tokens
    return counts


# The order of a queue.


@hypothesis.given(
    costs=strategies.lists(
        strategies.tuples(strategies.integers(1, 500), strategies.booleans()),
        min_size=2,
        max_size=60,
    ),
    weights=strategies.tuples(
        strategies.sampled_from((0.5, 1.0, 3.0)),
        strategies.sampled_from((0.5, 1.0, 3.0)),
    ),
)
def test_service_differs_by_one_request(
    costs: list[tuple[int, bool]], weights: tuple[float, float]
) -> None:
    """Two customers with a backlog of requests of any sizes.

    Per weight, what they were served never differs by more than the largest
    request per weight, while both wait.
    """
    shares = _shares(_weights(a=weights[0], b=weights[1]))
    by_name = dict(zip('ab', weights, strict=True))
    waiting = [
        _job(n, 'a' if is_first else 'b', cost=cost)
        for n, (cost, is_first) in enumerate(costs)
    ]
    largest = max(j.prompt_tokens / by_name[j.customer] for j in waiting)
    served = dict.fromkeys(by_name, 0.0)
    while {job.customer for job in waiting} == {'a', 'b'}:
        (job,) = _serve(shares, waiting, 1)
        served[job.customer] += job.prompt_tokens / by_name[job.customer]
        assert abs(served['a'] - served['b']) <= largest + 1e-6


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.1, 5.0), strategies.sampled_from('ab')
        ),
        min_size=2,
        max_size=40,
    )
)
def test_fair_queue_differs_by_one_request(
    items: list[tuple[float, str]],
) -> None:
    """The same of the queue that keeps its requests (`core/fairness`)."""
    queue = fairness.FairQueue[_Item](lambda urgency: 1.0)
    for number, (cost, flow) in enumerate(items):
        queue.push(_Item(number, flow, cost))
    served = {'a': 0.0, 'b': 0.0}
    left = collections.Counter(flow for _, flow in items)
    while left['a'] and left['b']:
        head = queue.heads()[0]
        queue.serve(head)
        left[head.flow] -= 1
        served[head.flow] += head.cost
        largest = max(cost for cost, _ in items)
        assert abs(served['a'] - served['b']) <= largest + 1e-6


@dataclasses.dataclass(frozen=True)
class _Item:
    key: int
    flow: str
    cost: float
    urgency: int = 0
    share: float = 1.0


_FLAGS: typing.Final = strategies.fixed_dictionaries(
    {
        'is_continuation': strategies.booleans(),
        'is_retry': strategies.booleans(),
        'is_committed': strategies.booleans(),
        'is_late': strategies.booleans(),
        'arrived_at': strategies.floats(0.0, 2.0),
        'start_deadline': strategies.floats(0.0, 4.0),
        'abandon_at': strategies.floats(2.0, 9.0),
    }
)


@hypothesis.given(
    flags=strategies.lists(
        strategies.tuples(_FLAGS, strategies.integers(0, 2)), max_size=30
    ),
    now=strategies.floats(0.0, 3.0),
    is_one_flow=strategies.booleans(),
)
def test_one_flow_keeps_its_order(
    flags: list[tuple[dict[str, typing.Any], int]],
    now: float,
    is_one_flow: bool,
) -> None:
    """One customer of one priority, or no customers: the order as before.

    The oracle is the queue without shares, on random requests.
    """
    estimator = figures.Estimator()
    plain = waitqueue.WaitQueue(estimator, _shares(None))
    shared = waitqueue.WaitQueue(
        estimator, _shares(_weights(a=2.0) if is_one_flow else None, 50.0)
    )
    for number, (fields, priority) in enumerate(flags):
        level = 0 if is_one_flow else priority
        job = _job(number, 'a', level, **fields)
        plain.add(job)
        shared.add(job)
    assert shared.in_order(now) == plain.in_order(now)
    new = _job(99, 'a', arrived_at=now, start_deadline=now + 1)
    assert shared.jobs_ahead(new, now) == plain.jobs_ahead(new, now)


def test_deadlines_count_within_a_share() -> None:
    """Customers with a request or two each: the earliest deadline is first.

    The reordering allowed is 0.1 s of service, 400 of cost for two customers.
    """
    shares = _shares(_weights(a=1.0, b=1.0), capacity=8000.0)
    waiting = [_job(0, 'a'), _job(1, 'a'), _job(2, 'b'), _job(3, 'a')]
    assert shares.order([waiting], 0.0) == waiting
    flood = [_job(n, 'a') for n in range(30)] + [_job(30, 'b')]
    ordered = shares.order([flood], 0.0)
    assert ordered.index(flood[-1]) == 5


def test_flood_does_not_escape_by_commitments() -> None:
    """A customer floods the queue before another's request arrives.

    Its committed requests go before that only within its share.
    """
    queue = waitqueue.WaitQueue(
        figures.Estimator(), _shares(_weights(a=1.0, b=1.0))
    )
    for number in range(20):
        queue.add(_job(number, 'a'))
        queue.commit(_job(number, 'a'))
    late = _job(20, 'b', now=0.5)
    assert len(queue.jobs_ahead(late, 0.5)) == 1
    # A continuation is not the customer's choice, and keeps its rank.
    queue.add(_job(21, 'a', is_continuation=True))
    assert len(queue.jobs_ahead(late, 0.5)) == 2


def test_idle_customer_gains_no_credit() -> None:
    """A customer comes back after an hour with a burst.

    It shares from then on and takes nothing for the hour.
    """
    shares = _shares(_weights(a=1.0, b=1.0))
    alone = [_job(n, 'a') for n in range(100)]
    _serve(shares, alone, 100)
    waiting = [_job(n, 'ab'[n % 2]) for n in range(100, 200)]
    served = _by_customer(_serve(shares, waiting, 40, now=3600.0))
    assert abs(served['a'] - served['b']) <= 100


def test_work_conserving() -> None:
    """Others are idle: a flooding customer is served in full, and not later.

    Of what it was served alone, the last request counts and no more.
    """
    shares = _shares(_weights(a=1.0, b=1.0))
    waiting = [_job(n, 'a') for n in range(50)]
    assert len(_serve(shares, waiting, 50)) == 50
    waiting = [_job(50 + n, 'ab'[n % 2], now=1.0) for n in range(20)]
    served = _by_customer(_serve(shares, waiting, 10, 1.0))
    assert abs(served['a'] - served['b']) <= 100


def test_refused_customers_keep_their_share() -> None:
    """All are refused on arrival, so that nobody waits in the queue.

    Who was refused still counts as waiting: the other gains nothing by
    arriving more often.
    """
    shares = _shares(_weights(a=1.0, b=1.0), capacity=1000.0)
    for number in range(100):
        shares.charge(_job(number, 'a'), (), 0.1 * number)
        shares.record_refusal(_job(100, 'b'), 1.0, 0.1 * number)
    lag, is_beyond = shares.lag(_job(20, 'a'), (), 10.0)
    assert is_beyond
    # It is owed two seconds of its half at most, and one request.
    assert lag == pytest.approx(1100, abs=1)
    assert shares.lag(_job(21, 'b'), (), 10.0) == (0.0, False)
    # Once its retry is overdue it no longer counts.
    assert shares.lag(_job(20, 'a'), (), 14.0) == (0.0, False)


def test_refused_priority_is_owed_a_bound() -> None:
    """Less urgent requests are refused for a minute of urgent overload.

    Afterwards they do not hold back the urgent ones for what they missed: of
    the next 20 requests they get the ninth, and two seconds of it before.
    """
    shares = _shares(_weights(a=1.0), capacity=1000.0)
    for number in range(600):
        shares.charge(_job(number, 'a'), (), 0.1 * number)
        shares.record_refusal(_job(0, 'a', 5), 1.0, 0.1 * number)
    waiting = [_job(n, 'a', 5 * (n % 2)) for n in range(700, 780)]
    served = _serve(shares, waiting, 20, 60.0)
    assert 2 <= sum(job.priority == 5 for job in served) <= 5


@pytest.mark.parametrize(
    ('first', 'second'),
    [
        ({'cost': 100}, {'cost': 300}),
        ({'cost': 300}, {'cost': 100}),
        ({'cost': 100, 'customer': 'heavy'}, {'cost': 100}),
        ({'cost': 100, 'priority': 1}, {'cost': 100, 'priority': 2}),
    ],
)
def test_refused_flow_does_not_starve_others(
    first: dict[str, typing.Any], second: dict[str, typing.Any]
) -> None:
    """One flow is refused for a minute while two others have a backlog.

    The two still share by weight, to one request each.
    """
    shares = _shares(_weights(a=1.0, b=1.0, c=1.0, heavy=4.0), capacity=1000.0)
    flows = [{'customer': 'b', **first}, {'customer': 'c', **second}]
    waiting = [_job(n, **flows[n % 2]) for n in range(800)]
    weights = [shares.times.weight(flow['customer']) for flow in flows]
    if 'priority' in first:
        # The flow that is refused is the most urgent one.
        weights = list(sharetimes.CLASS_WEIGHTS[1:])
    served = [0.0, 0.0]
    for number in range(200):
        now = 0.3 * number
        shares.record_refusal(_job(9999, 'a'), 1.0, now)
        (job,) = _serve(shares, waiting, 1, now)
        index = int(str(job.stream)[1:]) % 2
        served[index] += job.prompt_tokens / weights[index]
    largest = max(
        flow['cost'] / weight
        for flow, weight in zip(flows, weights, strict=True)
    )
    assert abs(served[0] - served[1]) <= 2 * largest


# Urgency.


def test_classes_share_by_weight() -> None:
    """Three priorities wait all the time: 64 to 8 to 1, none starves."""
    shares = _shares(_weights(a=1.0))
    waiting = [_job(n, 'a', (0, 4, 9)[n % 3]) for n in range(900)]
    served = _serve(shares, waiting, 219)
    counts = collections.Counter(job.priority for job in served)
    assert counts[0] == pytest.approx(219 * 64 / 73, abs=1)
    assert counts[4] == pytest.approx(219 * 8 / 73, abs=1)
    assert counts[9] == pytest.approx(219 * 1 / 73, abs=1)


@hypothesis.given(
    urgent=strategies.integers(0, 3),
    gap=strategies.integers(1, 90),
    before=strategies.integers(0, 40),
)
def test_less_urgent_is_not_starved(
    urgent: int, gap: int, before: int
) -> None:
    """More urgent requests never cease.

    Whatever the priorities are, a less urgent one of the same size waits for
    eight of them once its class has its turn, sixteen at most.
    """
    shares = _shares(_weights(a=1.0))
    waiting = [_job(n, 'a', urgent) for n in range(60)]
    _serve(shares, waiting, before)
    waiting += [_job(n, 'a', urgent) for n in range(100, 160)]
    waiting.append(_job(999, 'a', urgent + gap))
    served = _serve(shares, waiting, 17)
    assert any(job.stream == 's999' for job in served)
    assert served[0].priority == urgent


def test_retries_are_let_in_by_rank() -> None:
    """Refused callers of a flooding customer wait to come back.

    One of a customer within its share is not lined up behind them.
    """
    schedule = retryafter.RetrySchedule()
    beyond = fairshares.RetryRank(0, is_beyond_share=True)
    waits = [
        schedule.schedule(f'a{n}', 2.0, 0.0, 60.0, 0.0, 0.0, beyond)
        for n in range(20)
    ]
    assert waits[-1] > 9.0
    own = schedule.schedule('b', 2.0, 0.0, 60.0, 0.0, 0.0)
    assert own < 1.0


def test_retry_after_counts_who_overtakes() -> None:
    """A flooding customer is refused while others use half of the service."""
    shares = _shares(_weights(a=1.0, b=1.0))
    for number in range(400):
        flow = 'ab'[number % 2]
        waiting = [_job(-1, 'a'), _job(-2, 'b')]
        shares.charge(_job(number, flow), waiting, number * 0.02)
    waiting = [_job(n, 'a') for n in range(1000, 1020)]
    waiting.append(_job(1020, 'b'))
    # Each of them uses about half of 5,000 a second.
    wait = functools.partial(
        shares.overtaken_wait, waiting=waiting, capacity=5000.0, now=8.0
    )
    assert wait(_job(1, 'a', now=8.0), 0.4, waiting) > 0.6
    assert wait(_job(2, 'b', now=8.0), 0.1, ()) == pytest.approx(0.1, abs=0.03)


# Charges.


def test_charge_is_corrected_and_made_once() -> None:
    """An answer is longer than predicted; an engine fails another."""
    shares = _shares(_weights(a=1.0, b=1.0), capacity=1000.0)
    idle = _job(9, 'b')
    shares.charge(_job(0, 'a'), [idle], 0.0)
    shares.settle(ids.StreamId('s0'), 50)
    assert shares.lag(_job(1, 'a'), [idle], 0.0)[0] == 150
    failed = frozenset({ids.UpstreamId('e')})
    assert shares.charge(_job(2, 'a', avoid=failed), [idle], 0.0) == 0.0
    again = _job(3, 'a', is_continuation=True)
    assert shares.charge(again, [idle], 0.0) == 0.0
    shares.charge(_job(4, 'a'), [idle], 0.0)
    # An answer that breaks off remains charged, and unknown ends are ignored.
    shares.settle(ids.StreamId('s4'), 0)
    shares.settle(ids.StreamId('s4'), 9)
    assert shares.lag(_job(1, 'a'), [idle], 0.0)[0] == 250


# Failures.


def test_new_owner_is_right_after_one_request() -> None:
    """The owner dies while a flooding customer is far beyond its share.

    The next one starts with equal times: it serves the flood one request early
    and then by share.
    """
    shares = _shares(_weights(a=1.0, b=1.0))
    waiting = [_job(n, 'a') for n in range(50)]
    waiting += [_job(n, 'b') for n in range(50, 60)]
    served = _by_customer(_serve(shares, waiting, 10))
    assert abs(served['a'] - served['b']) <= 100


def test_customer_removed_while_it_waits() -> None:
    """The configuration drops or renames customers with waiting requests."""
    shares = _shares(_weights(a=4.0, b=4.0))
    waiting = [_job(n, 'ab'[n % 2]) for n in range(40)]
    _serve(shares, waiting, 10)
    shares.configure(_weights(c=1.0, b=4.0))
    waiting += [_job(n, 'c') for n in range(40, 60)]
    served = _by_customer(_serve(shares, waiting, 18))
    assert served['b'] == pytest.approx(1200, abs=300)
    assert served['a'] == pytest.approx(300, abs=100)
    shares.configure(None)
    assert not shares.is_enabled
    assert not shares.times.classes


def test_suspended_owner_keeps_the_shares() -> None:
    """The owner does not run for a minute: tags do not depend on the clock."""
    shares = _shares(_weights(a=1.0, b=1.0))
    waiting = [_job(n, 'ab'[n % 2]) for n in range(40)]
    before = _by_customer(_serve(shares, waiting, 11))
    after = _by_customer(_serve(shares, waiting, 11, now=60.0))
    total = before + after
    assert abs(total['a'] - total['b']) <= 100


def test_days_of_service_leave_no_state() -> None:
    """400 customers over ten days, each with requests now and then.

    Idle flows are dropped, virtual times stay small, and shares stay exact.
    """
    names = [f'c{n}' for n in range(400)]
    shares = _shares(_weights(**dict.fromkeys(names, 0.01)))
    source = random.Random(3)
    now = 0.0
    for number in range(8000):
        now += 864_000 / 8000
        waiting = [
            _job(2 * number + n, source.choice(names), cost=400)
            for n in range(2)
        ]
        _serve(shares, waiting, 2, now)
    times = shares.times
    assert sum(len(c.flows) for c in times.classes.values()) < 20
    assert all(c.flow_virtual_time < 2e6 for c in times.classes.values())
    waiting = [_job(n, names[n % 2], cost=400) for n in range(20_000, 20_040)]
    served = _by_customer(_serve(shares, waiting, 20, now))
    assert abs(served[names[0]] - served[names[1]]) <= 400


# Engines in virtual time.


class _Replay(dispatching.Replay):
    """A day whose callers belong to customers."""

    def __init__(
        self,
        day: dispatching.Day,
        demand: dict[str, float],
        priorities: dict[str, int] | None = None,
        weights: sharetimes.Weights | None = None,
        seed: int = 0,
    ) -> None:
        super().__init__(day, seed)
        self._source = random.Random(seed)
        self._demand = demand
        self._priorities = priorities or {}
        self._customers: dict[int, str] = {}
        self.owner.shares.configure(weights or {})
        self.callers: dict[int, typing.Any] = {}

    def make_job(self, caller: typing.Any, now: float) -> generations.Job:
        """Return the job, with the customer."""
        if caller.number not in self._customers:
            names, rates = zip(*self._demand.items(), strict=True)
            name = self._source.choices(names, rates)[0]
            self._customers[caller.number] = name
            self.callers[caller.number] = caller
        name = self._customers[caller.number]
        return dataclasses.replace(
            super().make_job(caller, now),
            customer=ids.CustomerName(name),
            priority=self._priorities.get(name, 0),
        )

    def credits(self) -> dict[str, list[float]]:
        """Return the credits of each customer's requests."""
        found: dict[str, list[float]] = {name: [] for name in self._demand}
        for number, caller in self.callers.items():
            found[self._customers[number]].append(caller.credit)
        return found


def _day(load: float, prefills: int = 4, decodes: int = 9) -> dispatching.Day:
    """Return a day at a multiple of what the engines complete."""
    rate = load * _ENGINES.rate(prefills, decodes)
    return dispatching.Day(
        'shares', prefills, decodes, rate, (), engines=_ENGINES
    )


def _in_time(credits: collections.abc.Iterable[float]) -> float:
    return statistics.fmean(credit == 1.0 for credit in credits)


def test_one_hot_customer_of_400() -> None:
    """One of 400 customers, a tenth of the load, sends 7.5 times its usual.

    The engines had a fifth to spare, and lack a third now. The others lose at
    most 0.03 of their answers in time.
    """
    others = {f'c{n}': 1.0 for n in range(399)}
    shares = []
    for factor in (1.0, 7.5):
        demand = {**others, 'hot': factor * 399 / 9}
        load = 0.8 * sum(demand.values()) / (399 * 10 / 9)
        replay = _Replay(_day(load), demand)
        replay.run()
        found = replay.credits()
        shares.append(_in_time(c for n in others for c in found[n]))
    assert shares[1] >= shares[0] - 0.03


def test_weights_divide_a_lasting_overload() -> None:
    """Three customers of weights 1, 2 and 4, each with more than all can take.

    Their parts of the answers are in proportion, within 0.1.
    """
    demand = {'a': 1.0, 'b': 1.0, 'c': 1.0}
    weights = _weights(a=1.0, b=2.0, c=4.0)
    replay = _Replay(_day(2.4), demand, weights=weights)
    replay.run()
    answers = {n: sum(x > 0 for x in c) for n, c in replay.credits().items()}
    total = sum(answers.values())
    assert answers['a'] / total == pytest.approx(1 / 7, abs=0.1)
    assert answers['b'] / total == pytest.approx(2 / 7, abs=0.1)
    assert answers['c'] / total == pytest.approx(4 / 7, abs=0.1)


def test_less_urgent_flood() -> None:
    """Less urgent requests alone come at five times their usual.

    The more urgent lose at most 0.03, as for a hot customer.
    """
    found = []
    for factor in (1.0, 5.0):
        demand = {'urgent': 0.6, 'bulk': 0.2 * factor}
        replay = _Replay(_day(sum(demand.values())), demand, {'bulk': 2})
        replay.run()
        found.append(replay.credits())
    assert _in_time(found[1]['urgent']) >= _in_time(found[0]['urgent']) - 0.03
    assert _in_time(found[0]['bulk']) > 0.9


def test_urgent_flood_leaves_a_ninth() -> None:
    """More urgent requests alone come at more than all can take.

    The less urgent want a fifth of the service, and get the ninth that is
    guaranteed to them.
    """
    demand = {'urgent': 1.5, 'bulk': 0.2}
    replay = _Replay(_day(1.7), demand, {'bulk': 2})
    replay.run()
    answers = {n: sum(x > 0 for x in c) for n, c in replay.credits().items()}
    assert answers['bulk'] >= sum(answers.values()) / 9
