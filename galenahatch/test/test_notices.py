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


"""What upstreams' answers say of the next requests: leaving, and pauses."""

import dataclasses
import math
import random

import hypothesis
from hypothesis import strategies
import pytest

from galenahatch.core import dispatch
from galenahatch.core import generations
from galenahatch.core import pauses
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch import ids
from galenahatch.platform import wire


def _head(status: int, *headers: tuple[str, str]) -> calls.ResponseHead:
    raw = [(name.encode(), value.encode()) for name, value in headers]
    return wire.decode_response_head(status, raw)


@pytest.mark.parametrize(
    ('values', 'leaving'),
    [
        ((), False),
        (('1',), True),
        ((' 1 ',), True),
        (('0',), False),
        (('0', '1'), True),
    ],
)
def test_leaving(values: tuple[str, ...], leaving: bool) -> None:
    """Only a plain yes says that an upstream leaves."""
    head = _head(200, *(('server-leaving', value) for value in values))
    assert head.leaving is leaving


@pytest.mark.parametrize('value', ['', '2', '-1', 'true', '1, 1', '1' * 99])
def test_malformed_leaving(value: str) -> None:
    """What says something else takes no upstream out."""
    found = _head(200, ('Server-Leaving', value)).leaving
    assert isinstance(found, errors.Failure)
    assert len(found.detail) < 200


@pytest.mark.parametrize(
    ('status', 'value', 'pause'),
    [(503, '3', 3.0), (503, '0.25', 0.25), (503, '0', 0.0), (429, '3', None)],
)
def test_pause(status: int, value: str, pause: float | None) -> None:
    """Seconds, with the refusal that bears them."""
    assert _head(status, ('Retry-After', value)).pause == pause


@pytest.mark.parametrize(
    'value',
    ['', '-3', 'nan', 'inf', '1e9', '3 s', 'Thu, 03 Dec 2026 10:00:00 GMT'],
)
def test_malformed_pause(value: str) -> None:
    """What is no number of seconds is ignored, and told."""
    found = _head(503, ('Retry-After', value)).pause
    assert isinstance(found, errors.Failure)


@hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from([b'Server-Leaving', b'Retry-After']),
            strategies.binary(),
        ),
        max_size=4,
    )
)
def test_any_bytes(raw: list[tuple[bytes, bytes]]) -> None:
    """Whatever an upstream sends is decoded, or a failure."""
    head = wire.decode_response_head(503, raw)
    assert isinstance(head.leaving, bool | errors.Failure)
    if isinstance(head.pause, float):
        assert math.isfinite(head.pause) and head.pause >= 0


_ID = ids.UpstreamId('i-1@1000')
_LATER = ids.UpstreamId('i-1@2000')
_SERVICE = ids.ServiceName('desk')


def _entry(
    upstream: ids.UpstreamId, leaving: bool = False
) -> upstreams.Upstream:
    return upstreams.Upstream(
        upstream, _SERVICE, 'a:1', ids.DataCentre('dc1'), 8, leaving
    )


_NEWS = {
    'ready': lambda known, now: known.register(_entry(_ID), now),
    'draining': lambda known, now: known.register(_entry(_ID, True), now),
    'gone': lambda known, now: known.remove(ids.InstanceId('i-1'), now),
    'bad': lambda known, now: known.remove_unusable(
        ids.InstanceId('i-1'), now
    ),
    'list': lambda known, now: known.replace_all([_entry(_ID)], now),
    'empty': lambda known, now: known.replace_all([], now),
    'told': lambda known, now: known.mark_leaving(_ID, now),
}


@hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    before=strategies.lists(strategies.sampled_from(sorted(_NEWS))),
    after=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(sorted(_NEWS)),
            strategies.floats(0.01, 100.0),
        )
    ),
)
def test_never_used_again(
    before: list[str], after: list[tuple[str, float]]
) -> None:
    """Whatever news come, one that said that it leaves takes no work."""
    registry = upstreams.Registry()
    for word in before:
        _NEWS[word](registry, 0.0)
    registry.mark_leaving(_ID, 0.0)
    now = 0.0
    for word, seconds in [('told', 0.0), *after]:
        now += seconds
        if now > 3000:
            break
        _NEWS[word](registry, now)
        assert not registry.accepts_work(_ID, now)
        assert _ID not in [u.id for u in registry.usable(_SERVICE, now)]
    registry.register(_entry(_LATER), now)
    assert registry.accepts_work(_LATER, now)
    assert [u.id for u in registry.usable(_SERVICE, now)] == [_LATER]


def test_pause_lasts_a_little_longer() -> None:
    """VMs that were told at the same moment don't come back at the same."""
    ends = set()
    for seed in range(100):
        known = pauses.Pauses(random.Random(seed))
        known.start(_ID, 3.0, 10.0)
        left = known.remaining(_ID, 10.0)
        assert 3.0 <= left <= 3.6
        ends.add(round(left, 3))
    assert len(ends) > 50


def test_pause_is_bounded_and_not_cut() -> None:
    """A year is a few minutes; a shorter one does not end a longer one."""
    known = pauses.Pauses(random.Random(1))
    known.start(_ID, 31_536_000.0, 0.0)
    assert 300 <= known.remaining(_ID, 0.0) <= 360
    known.start(_ID, 1.0, 10.0)
    assert known.remaining(_ID, 10.0) >= 290
    assert known.remaining(_LATER, 10.0) == 0
    assert not known.active(1000.0)


def _dispatcher() -> dispatch.Dispatcher:
    made = dispatch.Dispatcher(capacity=20_000, slots=8)
    entries = [
        dataclasses.replace(_entry(ids.UpstreamId(name)), stage=stage)
        for name, stage in (
            ('p1', upstreams.Stage.PREFILL),
            ('d1', upstreams.Stage.DECODE),
            ('d2', upstreams.Stage.DECODE),
        )
    ]
    made.set_engines(entries, set(), 0.0)
    return made


def _job(number: int, **paused: float) -> generations.Job:
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
        paused_until={ids.UpstreamId(name): at for name, at in paused.items()},
    )


def test_no_run_where_a_pause_was_asked_for() -> None:
    """Runs of the VM that was told go elsewhere, those of others as before."""
    made = _dispatcher()
    for number in range(4):
        assert made.submit(_job(number, d1=3.0), 0.0) is None
    placed = []
    for now in (0.0, 0.3, 0.6, 0.9):
        placed += made.decide(now)
    assert placed
    for decision in placed:
        assert isinstance(decision, generations.Placed)
        assert decision.decode == 'd2'


def test_all_engines_want_a_pause() -> None:
    """The request is refused at once, with the end of the first pause."""
    refused = _dispatcher().submit(_job(1, d1=3.0, d2=4.0), 0.0)
    assert isinstance(refused, generations.Refused)
    assert refused.retry_after == 3.0


def test_short_pause_is_waited_for() -> None:
    """A request that can start in time after a pause is kept for it."""
    made = _dispatcher()
    assert made.submit(_job(1, d1=0.3, d2=0.4), 0.0) is None
    assert not made.decide(0.1)
    (placed,) = made.decide(0.35)
    assert isinstance(placed, generations.Placed)
    assert placed.decode == 'd1'
