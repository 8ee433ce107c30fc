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

"""Upstreams that start again under their id, and entries by anybody.

Pattern of load: an engine restarts within a second or two, faster than its
entry in the store lapses, with all its places taken; or somebody else writes
its entry. Nothing here needs a network.
"""

import asyncio
import collections.abc
import dataclasses
import typing

import aiohttp
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from galenahatch.core import dispatch
from galenahatch.core import generations
from galenahatch.core import incarnations
from galenahatch.core import upstreams
from galenahatch.core import versions
from galenahatch import errors
from galenahatch.gateway import directory as directories
from galenahatch.gateway import inflight
from galenahatch import ids
from galenahatch.platform import documents
from galenahatch.platform import engines
from galenahatch.platform import store as stores
from galenahatch import tasks
from galenahatch.test import cases

_SERVICE: typing.Final = ids.ServiceName('model')
_ENTRY: typing.Final[dict[str, typing.Any]] = {
    'service': _SERVICE,
    'address': '10.0.0.1:80',
    'zone': 'a',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq_no': 1,
    'stage': 'decode',
}


def _id(born: int, name: str = 'i-1') -> ids.UpstreamId:
    return incarnations.upstream_id(ids.InstanceId(name), born)


def _entry(
    born: int | None,
    name: str = 'i-1',
    leaving: bool = False,
    stage: upstreams.Stage = upstreams.Stage.DECODE,
) -> upstreams.Upstream:
    fields = {**_ENTRY, 'state': 'draining' if leaving else 'ready'}
    fields['stage'] = stage.value
    if born is not None:
        fields['born'] = born
    found = documents.decode_upstream(name, msgspec.json.encode(fields))
    assert isinstance(found, upstreams.Upstream)
    return found


def _row(
    ver: int, value: bytes | None = None, name: str = 'i-1', **fields: object
) -> stores.Row:
    if value is None:
        value = msgspec.json.encode({**_ENTRY, **fields})
    return stores.Row(name, ver, value, False)


# Names.


@hypothesis.given(
    strategies.text(min_size=1), strategies.integers(0, 4_102_444_800_000)
)
def test_names_are_read_back(name: str, born: int) -> None:
    """Whatever the id on the wire, id and start are read back."""
    made = _id(born, name)
    assert incarnations.instance_id(made) == name
    assert incarnations.started_ms(made) == born


# Entries.


@pytest.mark.parametrize(('value', 'expected'), cases.read('entries.txt'))
def test_entries(value: str, expected: str) -> None:
    """An entry names an upstream, or says why it names none."""
    data = value.encode().decode('unicode_escape').encode('latin-1')
    found = documents.decode_upstream('i-1', data)
    if expected == 'good':
        assert isinstance(found, upstreams.Upstream), found
        return
    assert isinstance(found, errors.Failure)
    assert found.detail.startswith('i-1: ')
    assert expected in found.detail


_JSON: typing.Final = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=4,
)


@hypothesis.given(strategies.binary())
def test_any_bytes(value: bytes) -> None:
    """No bytes raise, as an entry or as a report."""
    found = documents.decode_upstream('i-1', value)
    assert isinstance(found, errors.Failure | upstreams.Upstream)
    told = engines.decode_report(value)
    assert isinstance(told, errors.Failure | engines.Report)


@hypothesis.given(strategies.sampled_from(sorted(_ENTRY)), _JSON)
def test_any_field(field: str, value: object) -> None:
    """One field of anything is a failure, or an upstream that can be used."""
    document = msgspec.json.encode({**_ENTRY, field: value})
    found = documents.decode_upstream('i-1', document)
    if isinstance(found, errors.Failure):
        return
    assert found.slots > 0
    host, _, port = found.address.rpartition(':')
    assert host and 0 < int(port) < 65536
    told = msgspec.json.decode(document)
    assert found.leaving is (told['state'] == 'draining')


@pytest.mark.parametrize(
    'field', sorted(_ENTRY.keys() - {'stage'}), ids=lambda field: field
)
def test_missing_field(field: str) -> None:
    """Each field that the page lists is needed."""
    fields = {key: value for key, value in _ENTRY.items() if key != field}
    found = documents.decode_upstream('i-1', msgspec.json.encode(fields))
    assert isinstance(found, errors.Failure)


# The registry.


def test_later_start_replaces_earlier() -> None:
    """One that has left and starts again under its id is used again."""
    registry = upstreams.Registry()
    registry.register(_entry(5), 0.0)
    registry.register(_entry(5, leaving=True), 1.0)
    registry.register(_entry(5), 2.0)
    assert not registry.usable(_SERVICE, 2.0), 'older news brought it back'
    registry.register(_entry(9), 3.0)
    assert [u.id for u in registry.usable(_SERVICE, 3.0)] == [_id(9)]
    assert not registry.accepts_work(_id(5), 3.0)
    assert registry.accepts_work(_id(9), 3.0)


def test_earlier_start_changes_nothing() -> None:
    """Neither an entry of before nor its leaving reaches the later start."""
    registry = upstreams.Registry()
    registry.register(_entry(9), 0.0)
    assert not registry.register(_entry(5, leaving=True), 1.0)
    registry.replace_all([_entry(5)], 2.0)
    assert [u.id for u in registry.usable(_SERVICE, 2.0)] == [_id(9)]


def test_entry_without_start_is_of_the_latest() -> None:
    """An entry that does not tell its start speaks of the latest one."""
    registry = upstreams.Registry()
    registry.register(_entry(9), 0.0)
    registry.register(_entry(None, leaving=True), 1.0)
    assert not registry.accepts_work(_id(9), 1.0)


def test_report_tells_a_start_first() -> None:
    """A start is used as soon as it tells of itself, unless it may leave."""
    registry = upstreams.Registry()
    registry.register(_entry(5), 0.0)
    stage = upstreams.Stage.PREFILL
    assert registry.record_restart(_id(5), 4, stage, 1.0) is None
    later = registry.record_restart(_id(5), 9, stage, 1.0)
    assert later is not None and later.stage is stage
    registry.register(_entry(5), 2.0)
    assert [u.id for u in registry.usable(_SERVICE, 2.0)] == [_id(9)]
    registry.register(_entry(9, leaving=True), 3.0)
    assert registry.record_restart(_id(9), 12, stage, 4.0) is None
    assert not registry.usable(_SERVICE, 4.0)


def test_start_that_only_the_owner_knows() -> None:
    """A place on a later start than is known here can be sent to."""
    registry = upstreams.Registry()
    registry.register(_entry(5), 0.0)
    ahead = registry.find(_id(9))
    assert ahead is not None and ahead.address == '10.0.0.1:80'
    assert registry.accepts_work(_id(9), 0.0)
    assert registry.find(_id(3)) is None
    registry.register(_entry(5, leaving=True), 1.0)
    assert not registry.accepts_work(_id(9), 1.0)


def test_withdrawn_has_no_grace() -> None:
    """The last upstream of a service goes at once with a spoiled entry."""
    registry = upstreams.Registry()
    registry.register(_entry(5), 0.0)
    registry.remove_unusable(ids.InstanceId('i-1'), 1.0)
    assert not registry.usable(_SERVICE, 1.0)
    assert not registry.accepts_work(_id(5), 1.0)
    registry.register(_entry(5), 2.0)
    assert registry.accepts_work(_id(5), 2.0), 'a good entry brings it back'


# The directory.


def _at(number: int) -> versions.Version:
    return versions.Version(0, number)


_Check = collections.abc.Callable[
    [directories.Directory], collections.abc.Awaitable[None]
]


def _with_directory(check: _Check) -> None:
    async def run() -> None:
        async with aiohttp.ClientSession() as client:
            store = stores.Store(client, '127.0.0.1:1')
            made = directories.Directory(store, tasks.Tasks(), 2.0)
            await check(made)

    asyncio.run(run())


@pytest.mark.parametrize(
    'value', [b'', b'\xff', b'{}', b'{"service": "model"}']
)
def test_feed_and_reading_agree(value: bytes) -> None:
    """A spoiled entry names no engine, however it was read."""

    async def check(directory: directories.Directory) -> None:
        directory.entries.replace_all([_row(1), _row(2, name='i-2')], _at(2))
        directory.entries.apply_changes([_row(3, value)], _at(3))
        left = [u.id for u in directory.registry.usable(_SERVICE, 0.0)]
        assert left == [_id(0, 'i-2')]
        directory.entries.replace_all(
            [_row(3, value), _row(2, name='i-2')], _at(4)
        )
        left = [u.id for u in directory.registry.usable(_SERVICE, 0.0)]
        assert left == [_id(0, 'i-2')]
        directory.entries.apply_changes([_row(5)], _at(5))
        assert len(directory.registry.usable(_SERVICE, 0.0)) == 2

    _with_directory(check)


def test_older_row_changes_nothing() -> None:
    """A row that comes after a newer one of its key is dropped."""

    async def check(directory: directories.Directory) -> None:
        directory.entries.replace_all([_row(7, born=9)], _at(7))
        directory.entries.apply_changes([_row(6, b'spoiled')], _at(8))
        assert directory.registry.accepts_work(_id(9), 0.0)

    _with_directory(check)


def test_removal_without_a_version() -> None:
    """A removal counts with the version of the reading that tells it."""

    async def check(directory: directories.Directory) -> None:
        directory.entries.replace_all([_row(7), _row(7, name='i-2')], _at(7))
        directory.entries.apply_changes(
            [stores.Row('i-1', 0, b'', True)], _at(8)
        )
        assert not directory.registry.accepts_work(_id(0), 0.0)

    _with_directory(check)


def test_starts_are_told_once() -> None:
    """Each later start is told, from wherever it is heard of first."""

    async def check(directory: directories.Directory) -> None:
        told: list[ids.UpstreamId] = []
        directory.on_restart(told.append)
        directory.entries.replace_all([_row(1, born=5)], _at(1))
        directory.entries.apply_changes([_row(2, born=5, seq_no=2)], _at(2))
        directory.record_restart(_id(5), 9, upstreams.Stage.DECODE)
        directory.entries.apply_changes([_row(3, born=9)], _at(3))
        directory.entries.replace_all([_row(4, born=12)], _at(4))
        assert told == [_id(9), _id(12)]

    _with_directory(check)


# The owner's picture.


def _job(number: int, now: float) -> generations.Job:
    return generations.Job(
        stream=ids.StreamId(f's{number}'),
        entry=ids.MemberId('10.0.0.1'),
        prompt_tokens=5000,
        output_hint=3000,
        max_output=6000,
        arrived_at=now,
        start_deadline=now + 0.9,
        abandon_at=now + 3.6,
        deadline=now + 14,
        fingerprint=f'subject{number}',
        data_centre=ids.DataCentre('a'),
    )


def _place_all(
    made: dispatch.Dispatcher, first: int, now: float
) -> list[generations.Placed]:
    for number in range(first, first + 8):
        made.submit(_job(number, now), now)
    decisions = []
    for step in range(20):
        decisions += made.decide(now + step * 0.02)
    return [d for d in decisions if isinstance(d, generations.Placed)]


def test_new_start_is_empty() -> None:
    """A full engine that starts again is filled again at once.

    Kept for the start before, its memory would count as taken until the
    last of its runs was released: with 8 runs of 8,000 tokens in 20,000,
    nothing would be placed there for their whole lives.
    """
    made = dispatch.Dispatcher(capacity=20_000, slots=8)
    prefill = dataclasses.replace(
        _entry(5, 'i-2', stage=upstreams.Stage.PREFILL)
    )
    made.set_engines([_entry(5), prefill], (), 0.0)
    first = _place_all(made, 0, 0.0)
    assert first and {d.decode for d in first} == {_id(5)}
    made.engines.record_failure(_id(5), 0.5, unreachable=True)
    made.set_engines([_entry(9), prefill], (), 0.6)
    engine = made.engines.decodes[_id(9)]
    assert not engine.memory.runs
    assert (
        engine.health.suspended_until == 0.0 and not engine.health.unreachable
    )
    second = _place_all(made, 100, 0.6)
    assert len(second) >= len(first)
    assert {d.decode for d in second} == {_id(9)}


def test_late_word_of_the_start_before() -> None:
    """Reports, ends and failures of a start that is over count nowhere."""
    made = dispatch.Dispatcher(capacity=20_000, slots=8)
    prefill = _entry(5, 'i-2', stage=upstreams.Stage.PREFILL)
    made.set_engines([_entry(5), prefill], (), 0.0)
    (first, *_) = _place_all(made, 0, 0.0)
    made.set_engines([_entry(9), prefill], (), 0.6)
    made.engines.record_report(
        _id(5), 19_000, upstreams.Stage.PREFILL, True, 0.7
    )
    made.engines.record_failure(_id(5), 0.7)
    made.release(first.job.stream, 0, 0.0, 0.7)
    made.set_engines([_entry(9), prefill], (), 0.8)
    engine = made.engines.decodes[_id(9)]
    assert engine.health.suspended_until == 0.0
    assert engine.memory.load(0.8) == 0.0


def test_order_awaited_from_the_start_before() -> None:
    """A new start is not waited for to carry out an order of before."""
    made = dispatch.Dispatcher(capacity=20_000, slots=8)
    made.set_engines([_entry(5)], (), 0.0)
    made.engines.record_stage_order(_id(5), upstreams.Stage.PREFILL, 60.0)
    made.set_engines([_entry(9)], (), 1.0)
    assert not made.engines.is_changing
    assert _id(9) in made.engines.decodes


# Waits.


async def _wait(
    waits: inflight.Waits, upstream: ids.UpstreamId, seconds: float | None
) -> bool:
    """Return whether a wait was ended."""
    try:
        async with waits.limit(upstream, seconds):
            await asyncio.sleep(0.6)
    except asyncio.TimeoutError:
        return True
    return False


def test_waits_end_with_their_start() -> None:
    """Waits for a start that is over end; those for others go on."""

    async def run() -> None:
        waits = inflight.Waits()
        asked = [
            asyncio.ensure_future(_wait(waits, upstream, seconds))
            for upstream, seconds in (
                (_id(5), None),
                (_id(5), 30.0),
                (_id(9), None),
                (_id(5, 'i-2'), None),
                (_id(0), None),
            )
        ]
        await asyncio.sleep(0.01)
        assert waits.end_older_waits(_id(9)) == 2
        assert await asyncio.gather(*asked) == [True, True] + [False] * 3
        assert await _wait(waits, _id(5), 30.0), 'remembered as over'

    asyncio.run(run())
