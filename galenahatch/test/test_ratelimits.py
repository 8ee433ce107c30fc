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

import math
import random

import hypothesis
from hypothesis import strategies
import pytest

from galenahatch.core import ratelimits
from galenahatch import errors
from galenahatch import ids
from galenahatch.platform import wire

_UP = ids.UpstreamId('i-1')


def _decoded(*values: str) -> float | None | errors.Failure:
    raw = [(b'server-LIMIT', value.encode('latin-1')) for value in values]
    return wire.answer_head(200, raw).rate_limit


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
    found = wire.answer_head(200, raw).rate_limit
    assert isinstance(found, errors.Failure)
    assert len(found.detail) < 200


@hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)
@hypothesis.given(strategies.lists(strategies.binary(), max_size=3))
def test_any_bytes(values: list[bytes]) -> None:
    """Whatever an upstream sends is a finite limit, none, or a failure."""
    raw = [(b'Server-Limit', value) for value in values]
    found = wire.answer_head(200, raw).rate_limit
    assert found is None or isinstance(found, float | errors.Failure)
    if isinstance(found, float):
        assert math.isfinite(found) and found >= 0


def test_answer_from_before_lifts_nothing() -> None:
    """An answer whose request was sent before the naming is older news."""
    notices = ratelimits.Notices()
    assert notices.answered(_UP, 2.0, 9.9, 10.0)
    assert not notices.answered(_UP, None, 9.8, 11.0)
    assert notices.rate(_UP) == 2.0
    assert notices.answered(_UP, None, 11.0, 11.1)
    assert notices.rate(_UP) is None


def test_lowered_and_raised() -> None:
    """The latest word counts, and a change is told as one."""
    notices = ratelimits.Notices()
    assert notices.answered(_UP, 4.0, 0.0, 0.1)
    assert not notices.answered(_UP, 4.0, 1.0, 1.1)
    assert notices.answered(_UP, 2.0, 2.0, 2.1)
    assert notices.answered(_UP, 8.0, 3.0, 3.1)
    assert notices.rate(_UP) == 8.0
    assert notices.known[_UP].since == 0.1


def test_limit_of_zero_is_tried() -> None:
    """An upstream that names no room at all can still say otherwise."""
    notices = ratelimits.Notices()
    notices.answered(_UP, 0.0, 0.0, 0.1)
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
                told = ratelimits.Told(_UP, rate, now - at)
                notices.hear(told, now)
    # A word without a limit, heard first of all, is not kept.
    assert first.rate(_UP) == second.rate(_UP)


def test_many_limited() -> None:
    """What is told at a time is bounded, and all is told in turn."""
    notices = ratelimits.Notices()
    for number in range(100):
        notices.answered(ids.UpstreamId(f'i-{number}'), 2.0, 0.0, 0.1)
    seen: set[ids.UpstreamId] = set()
    for _ in range(20):
        told = notices.tell(1.0)
        assert len(told) <= 16
        seen.update(one.upstream for one in told)
    assert len(seen) == 100
    notices.forget((), 100.0)
    assert not notices.known
