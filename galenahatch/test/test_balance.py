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

"""Choice of an upstream of a plain service."""

import random

from galenahatch.core import balance
from galenahatch.core import outliers
from galenahatch.core import upstreams
from galenahatch import ids


def _upstream(name: str) -> upstreams.Upstream:
    return upstreams.Upstream(
        id=ids.UpstreamId(name),
        service=ids.ServiceName('desk'),
        address=f'10.1.0.{len(name)}:80',
        data_centre=ids.DataCentre('a'),
        slots=8,
        leaving=False,
        stage=None,
    )


def test_worse_upstream_is_left_alone() -> None:
    """An upstream that fails far more than its siblings gets no work."""
    source = random.Random(2)
    balancer = balance.Balancer(source, ids.DataCentre('a'))
    members = [_upstream('a' * n) for n in (1, 2, 3)]
    bad = members[0].id
    now = 0.0
    for _ in range(20):
        for member in members:
            balancer.begin(member.id)
            good = member.id != bad or source.random() < 0.4
            balancer.end(member.id, good, members, now)
            now += 0.01
    chosen = {balancer.choose(members, (), now) for _ in range(50)}
    assert bad not in {c.id for c in chosen if c is not None}
    later = {balancer.choose(members, (), now + 10) for _ in range(50)}
    assert bad in {c.id for c in later if c is not None}


def test_broken_upstream_draws_little() -> None:
    """An upstream that breaks connections off at once looks idle, and isn't.

    Every VM has few requests, and must not lose six of them to find out.
    """
    balancer = balance.Balancer(random.Random(3), ids.DataCentre('a'))
    members = [_upstream('a' * n) for n in (1, 2, 3)]
    bad = members[0].id
    busy = [m.id for m in members if m.id != bad]
    for other in busy:
        balancer.begin(other)
    lost = 0
    for step in range(40):
        now = step * 0.05
        chosen = balancer.choose(members, (), now)
        assert chosen is not None
        balancer.begin(chosen.id)
        broken = chosen.id == bad
        balancer.end(chosen.id, not broken, members, now)
        lost += broken
    assert lost <= 3, 'few are spent to find out whether it is back'


def test_never_more_than_half_are_left_alone() -> None:
    """If all fail alike, all are used."""
    balancer = balance.Balancer(random.Random(2), ids.DataCentre('a'))
    members = [_upstream('a' * n) for n in (1, 2, 3, 4)]
    for _ in range(10):
        for member in members:
            balancer.begin(member.id)
            balancer.end(member.id, False, members, 0.0)
    used = {balancer.choose(members, (), 0.1) for _ in range(100)}
    assert len(used) >= 2


def test_most_of_them_fail() -> None:
    """Two of three lose a third: what may run only once goes to the third.

    There is no reason to send a half to upstreams that fail because more
    than half of them do, as long as one serves well and is not full.
    """
    source = random.Random(4)
    balancer = balance.Balancer(source, ids.DataCentre('a'))
    members = [_upstream('a' * n) for n in (1, 2, 3)]
    lost = 0
    for step in range(200):
        now = step * 0.03
        chosen = balancer.choose(members, (), now)
        assert chosen is not None
        balancer.begin(chosen.id)
        good = chosen is members[2] or source.random() > 0.35
        balancer.end(chosen.id, good, members, now)
        lost += not good
    assert lost <= 12, 'chosen by load alone, 47 of 200 would be lost'


def test_repeatable_requests_try_again_first() -> None:
    """They cost a second send, where others are lost."""
    balancer = balance.Balancer(random.Random(5), ids.DataCentre('a'))
    members = [_upstream('a' * n) for n in (1, 2)]
    for _ in range(4):
        balancer.begin(members[0].id)
        balancer.end(members[0].id, False, members, 0.0)

    for _ in range(4):
        balancer.begin(members[1].id)

    def first_trial(repeatable: bool) -> float:
        now = 0.0
        while balancer.choose(members, (), now, repeatable) is members[1]:
            now += 0.1
        return now

    assert first_trial(True) < first_trial(False)


def test_told_by_others() -> None:
    """A VM that has sent nothing avoids what fails for the others."""
    balancer = balance.Balancer(random.Random(6), ids.DataCentre('a'))
    members = [_upstream('a' * n) for n in (1, 2)]
    told = {members[0].id: outliers.Count(10.0, 4.0)}
    balancer.outliers.set_totals(told, 0.0)
    assert balancer.choose(members, (), 0.1) is members[1]
    used = {balancer.choose(members, (), 9.0) for _ in range(50)}
    assert len(used) == 2, 'what was told long ago does not count'


def test_caller_that_leaves_says_nothing() -> None:
    """Its send ended early by no fault of the upstream."""
    balancer = balance.Balancer(random.Random(7), ids.DataCentre('a'))
    upstream = _upstream('a')
    balancer.begin(upstream.id)
    balancer.cancel(upstream.id)
    assert balancer.outliers.share(upstream.id, 0.0).likely == 0.0


def test_outcomes_are_told_once() -> None:
    """What a beat told is not told again; sums fade with time."""
    known = outliers.Outliers()
    one = ids.UpstreamId('a')
    known.record(one, True, 0.0)
    known.record(one, False, 0.0)
    new = known.take_unreported()
    assert new == {one: outliers.Count(2.0, 1.0)}
    assert known.take_unreported() == {}
    sums = outliers.Tally()
    sums.add(one, new[one], 0.0)
    assert sums.get(one, 3.0).failures < 0.4
    sums.prune(())
    assert sums.failing(0.0) == {}
