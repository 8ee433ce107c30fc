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


"""Rate limits that upstreams name in their answers."""

import asyncio
import math
import random

import hypothesis
from hypothesis import strategies
import pytest

from bench import limits as fleets
from bench import quotas
from galenahatch.core import dispatch
from galenahatch.core import generations
from galenahatch.core import incarnations
from galenahatch.core import ratelimits
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch.gateway import frames
from galenahatch.gateway import messages
from galenahatch.gateway import ratelimits as gateway_limits
from galenahatch.gateway import records
from galenahatch import ids
from galenahatch.platform import wire

_UP = ids.UpstreamId('i-1')


def _decoded(*values: str) -> float | None | errors.Failure:
    raw = [(b'server-LIMIT', value.encode('latin-1')) for value in values]
    return wire.decode_response_head(200, raw).rate_limit


@pytest.mark.parametrize(
    ('values', 'rate'),
    [
        ((), None),
        (('2.6',), 2.6),
        (('0',), 0.0),
        ((' 7 ',), 7.0),
        (('3', '2.5'), 2.5),
        (('3', 'nan'), 3.0),
    ],
)
def test_named(values: tuple[str, ...], rate: float | None) -> None:
    """A decimal number is a limit; of several the lowest one."""
    assert _decoded(*values) == rate


@pytest.mark.parametrize(
    'value',
    ['', '-1', 'nan', 'inf', '1e308', '2/s', '2, 3', '.', '9' * 400, '٣'],
)
def test_malformed(value: str) -> None:
    """What is no decimal number changes nothing, and is told as such."""
    raw = [(b'Server-Limit', value.encode())]
    found = wire.decode_response_head(200, raw).rate_limit
    assert isinstance(found, errors.Failure)
    assert len(found.detail) < 200


@hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)
@hypothesis.given(strategies.lists(strategies.binary(), max_size=3))
def test_any_bytes(values: list[bytes]) -> None:
    """Whatever an upstream sends is a finite limit, none, or a failure."""
    raw = [(b'Server-Limit', value) for value in values]
    found = wire.decode_response_head(200, raw).rate_limit
    assert found is None or isinstance(found, float | errors.Failure)
    if isinstance(found, float):
        assert math.isfinite(found) and found >= 0


def test_answer_from_before_lifts_nothing() -> None:
    """An answer whose request was sent before the naming is older news."""
    notices = ratelimits.Notices()
    assert notices.record_answer(_UP, 2.0, 9.9, 10.0)
    assert not notices.record_answer(_UP, None, 9.8, 11.0)
    assert notices.rate(_UP) == 2.0
    assert notices.record_answer(_UP, None, 11.0, 11.1)
    assert notices.rate(_UP) is None


def test_lowered_and_raised() -> None:
    """The latest word counts, and a change is told as one."""
    notices = ratelimits.Notices()
    assert notices.record_answer(_UP, 4.0, 0.0, 0.1)
    assert not notices.record_answer(_UP, 4.0, 1.0, 1.1)
    assert notices.record_answer(_UP, 2.0, 2.0, 2.1)
    assert notices.record_answer(_UP, 8.0, 3.0, 3.1)
    assert notices.rate(_UP) == 8.0
    assert notices.by_upstream[_UP].since == 0.1


def test_limit_of_zero_is_tried() -> None:
    """An upstream that names no room at all can still say otherwise."""
    notices = ratelimits.Notices()
    notices.record_answer(_UP, 0.0, 0.0, 0.1)
    assert 0 < (notices.rate(_UP) or 0) <= 0.25


@hypothesis.settings(
    max_examples=200, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    words=strategies.lists(
        strategies.tuples(
            strategies.sampled_from([None, 1.0, 2.0]),
            strategies.integers(0, 20),
        ),
        max_size=8,
        unique_by=lambda word: word[1],
    ),
    order=strategies.randoms(use_true_random=False),
)
def test_vms_agree_in_the_end(
    words: list[tuple[float | None, int]], order: random.Random
) -> None:
    """VMs that hear the same, in any order and twice, know the same.

    Words are a second apart, as disagreements of less than the time on the
    way may last until the next answer.
    """
    first, second = ratelimits.Notices(), ratelimits.Notices()
    now = 100.0
    for notices in (first, second):
        for _ in range(2):
            order.shuffle(words)
            for rate, at in words:
                told = ratelimits.LimitReport(_UP, rate, now - at)
                notices.merge(told, now)
    # A word without a limit, heard first of all, is not kept.
    assert first.rate(_UP) == second.rate(_UP)


def test_told_again_grows_old() -> None:
    """A limit that VMs tell each other is lifted by the first answer."""
    first, second = ratelimits.Notices(), ratelimits.Notices()
    first.record_answer(_UP, 2.0, 0.0, 0.0)
    now = 0.0
    for _ in range(100):
        now += 0.1
        for teller, hearer in ((first, second), (second, first)):
            for told in teller.make_reports(now):
                # A tenth of a second on the way.
                hearer.merge(told, now + 0.1)
    assert first.record_answer(_UP, None, 1.0, now)
    (told,) = first.make_reports(now)
    assert second.merge(told, now)


def test_limit_that_never_binds() -> None:
    """One that is above what all VMs send is none."""
    notices = ratelimits.Notices()
    assert not notices.record_answer(_UP, 9e14, 0.0, 0.1)
    notices.record_answer(_UP, 2.0, 1.0, 1.1)
    assert notices.record_answer(_UP, 9e14, 2.0, 2.1)
    assert notices.rate(_UP) is None


def test_many_limited() -> None:
    """What is told at a time is bounded, and all is told in turn."""
    notices = ratelimits.Notices()
    for number in range(100):
        notices.record_answer(ids.UpstreamId(f'i-{number}'), 2.0, 0.0, 0.1)
    seen: set[ids.UpstreamId] = set()
    for _ in range(20):
        told = notices.make_reports(1.0)
        assert len(told) <= 16
        seen.update(one.upstream for one in told)
    assert len(seen) == 100
    notices.prune((), 100.0)
    assert not notices.by_upstream


# The fleet, in virtual time.


@pytest.mark.parametrize('scene', fleets.SCENARIOS)
@pytest.mark.parametrize('size', [6, 63, 195, 410])
def test_all_gateways_together(scene: str, size: int) -> None:
    """An upstream gets what it takes, and no more, however many send."""
    load, faults = fleets.SCENARIOS[scene]
    worst, used, asked = fleets.simulate(size, load, faults)
    assert worst <= 1
    assert asked <= 200
    if load.hot_factor >= 2:
        assert used >= 0.85


@hypothesis.settings(
    max_examples=25, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    size=strategies.sampled_from([6, 12, 63]),
    faults=strategies.lists(
        strategies.builds(
            quotas.Fault,
            strategies.sampled_from(['kill', 'cut', 'suspend']),
            strategies.floats(2.0, 14.0),
            strategies.floats(0.5, 8.0),
            strategies.floats(0.0, 0.5),
            strategies.booleans(),
        ),
        max_size=3,
    ),
    rate=strategies.floats(0.25, 50.0),
    seed=strategies.integers(0, 2**31),
)
def test_under_any_faults(
    size: int, faults: list[quotas.Fault], rate: float, seed: int
) -> None:
    """The bound holds for overlapping faults."""
    load = fleets.Load(rate=rate)
    worst, _, _ = fleets.simulate(size, load, faults, seed=seed)
    assert worst <= 1


# The owner's part.


def _limiter(**rates: float) -> ratelimits.Limiter:
    made = ratelimits.Limiter(random.Random(1))
    for name, rate in rates.items():
        upstream = ids.UpstreamId(name)
        made.notices.record_answer(upstream, rate, 0.0, 0.0)
        made.update_limit(upstream, 0.0)
    return made


def _drain(limiter: ratelimits.Limiter, name: str, now: float) -> int:
    upstream = ids.UpstreamId(name)
    count = 0
    while limiter.acquire(upstream, now) is None:
        count += 1
    return count


def test_run_that_one_engine_has_no_room_for() -> None:
    """A run is counted at both of its engines, or at none."""
    limiter = _limiter(read=2.0, make=2.0)
    engines = [ids.UpstreamId('read'), ids.UpstreamId('make')]
    _drain(limiter, 'make', 0.0)
    assert not limiter.acquire_all(engines, 0.0)
    assert _drain(limiter, 'read', 0.0) == 2


def test_unlimited_engine_is_waited_for_by_nobody() -> None:
    """As long as one engine names no limit, nothing is refused for limits."""
    limiter = _limiter(a=1.0, b=2.0)
    _drain(limiter, 'a', 0.0)
    _drain(limiter, 'b', 0.0)
    both = [ids.UpstreamId('a'), ids.UpstreamId('b')]
    # The first bucket is left with 0.1, the other one with 0.7.
    waits = [
        limiter.seconds_until_room(both, requests, 0.0)
        for requests in (1, 2, 3, 4)
    ]
    assert waits == pytest.approx([0.15, 0.65, 0.9, 1.15])
    assert (
        limiter.seconds_until_room([*both, ids.UpstreamId('c')], 3, 0.0) == 0
    )


def test_reports_take_a_part_of_a_limit() -> None:
    """Reading reports leaves three quarters of a low limit to requests."""
    limiter = _limiter(a=1.0)
    upstream = ids.UpstreamId('a')
    looks = [limiter.acquire_probe(upstream, 0.5 * n) for n in range(80)]
    assert sum(looks) == 10
    assert limiter.acquire_probe(ids.UpstreamId('b'), 0.0)


def test_restarted_upstream_has_no_limit() -> None:
    """What an upstream named belongs to that start of it."""
    instance = ids.InstanceId('i-1')
    before = incarnations.upstream_id(instance, 1000)
    after = incarnations.upstream_id(instance, 2000)
    limiter = _limiter(**{before: 1.0})
    assert limiter.notices.rate(before) == 1.0
    assert limiter.notices.rate(after) is None
    assert _takes_many(limiter, after)


def _takes_many(limiter: ratelimits.Limiter, upstream: ids.UpstreamId) -> bool:
    return all(limiter.acquire(upstream, 0.0) is None for _ in range(50))


def _decoding(rate: float) -> dispatch.Dispatcher:
    """Return the decisions before one decode engine with a limit."""
    limiter = _limiter(d=rate)
    made = dispatch.Dispatcher(20_000, 8, limiter)
    entries = [
        upstreams.Upstream(
            ids.UpstreamId(name),
            ids.ServiceName('model'),
            'a:1',
            ids.DataCentre('dc1'),
            8,
            stage=stage,
        )
        for name, stage in (
            ('p', upstreams.Stage.PREFILL),
            ('d', upstreams.Stage.DECODE),
        )
    ]
    made.set_engines(entries, set(), 0.0)
    _drain(limiter, 'd', 0.0)
    return made


def _job(number: int) -> generations.Job:
    return generations.Job(
        stream=ids.StreamId(f's{number}'),
        entry=ids.MemberId('vm'),
        prompt_tokens=1000,
        output_hint=0,
        max_output=100,
        arrived_at=0.0,
        start_deadline=0.9,
        abandon_at=3.6,
        deadline=14.0,
        fingerprint=f'subject{number}',
        data_centre=ids.DataCentre('dc1'),
    )


def test_refused_streams_come_one_after_another() -> None:
    """Each is told a later time than the one before, up to its deadline."""
    made = _decoding(0.5)
    # The bucket is left with four fifths of a request.
    assert made.submit(_job(0), 0.0) is None
    waits = []
    for number in range(1, 20):
        refused = made.submit(_job(number), 0.0)
        assert isinstance(refused, generations.Refused)
        waits.append(refused.retry_after)
    assert waits == sorted(waits)
    assert waits[4] - waits[0] == pytest.approx(8.0, abs=0.1)
    assert waits[-1] <= 14.0


class _SilentPeers:
    """Gateways whose owner answers nothing."""

    def __init__(self) -> None:
        self.me = ids.MemberId('me')
        self.size = 6
        self.sent: list[frames.AnyMessage] = []
        self.answers: list[messages.PermitReply] = []

    def owner(self) -> ids.MemberId:
        """Return another gateway."""
        return ids.MemberId('other')

    def send(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
        """Lose a message."""
        self.sent.append(message)

    def reply(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
        """Keep an answer."""
        assert isinstance(message, messages.PermitReply)
        self.answers.append(message)

    def tell_owner(self, message: frames.AnyMessage) -> None:
        """Lose what the owner should know."""


def test_new_owner_knows_the_limit_with_the_first_question() -> None:
    """One that has heard no beat yet grants no more than the limit."""
    asking, owner = gateway_limits.RateLimits(), gateway_limits.RateLimits()
    asked, answered = _SilentPeers(), _SilentPeers()
    asking.set_peers(asked)
    owner.set_peers(answered)
    asking.merge_reported((records.RateLimit(_UP, 2.0, 0.0),))
    asyncio.run(asking.acquire(_UP))
    (question,) = asked.sent
    for _ in range(20):
        owner.handle_message(ids.MemberId('me'), question)
    waits = [answer.wait for answer in answered.answers]
    assert waits.count(0.0) < 5


def test_silent_owner_is_not_waited_for_again() -> None:
    """One call in a quarter of a second waits for it, not each of them."""

    async def ask() -> list[float]:
        limits = gateway_limits.RateLimits()
        peers = _SilentPeers()
        limits.set_peers(peers)
        limits.merge_reported((records.RateLimit(_UP, 2.0, 0.0),))
        waits = [await limits.acquire(_UP) for _ in range(5)]
        assert len(peers.sent) == 1
        return waits

    assert all(0 < wait <= 0.25 for wait in asyncio.run(ask()))
