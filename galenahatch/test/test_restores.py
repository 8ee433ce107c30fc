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

"""A store that comes back from an older copy.

It forgets what it had acknowledged, gives versions out again, and names a new
era. Nothing that a gateway keeps by versions may be misled by that.
"""

import asyncio
import collections.abc
import time
import typing

import aiohttp
from aiohttp import web
import msgspec
import pytest

from galenahatch import clock
from galenahatch.core import incarnations
from galenahatch.core import members
from galenahatch.core import versions
from galenahatch.gateway import directory as directories
from galenahatch.gateway import messages
from galenahatch.gateway import quarantine
from galenahatch.gateway import roster
from galenahatch import ids
from galenahatch.platform import documents
from galenahatch.platform import eras
from galenahatch.platform import store as stores
from galenahatch import tasks
from galenahatch.test import cases
from galenahatch.test import fleet as fleets
from galenahatch.test.standin import rows

_DRAIN: typing.Final = 2.0
"""Seconds after the store took it at which each gateway knows who leaves."""
_READ_BY_ALL: typing.Final = 1.5
"""Seconds in which each gateway has read a new row by itself."""
_KEY: typing.Final = 'i-1'


def _entry(state: str = 'ready', born: int = 7) -> dict[str, typing.Any]:
    return {
        'service': 'desk',
        'address': '10.1.0.9:80',
        'zone': 'a',
        'version': 'v1',
        'slots': 4,
        'state': state,
        'cold_left_ms': 0,
        'seq_no': 1,
        'born': born,
    }


class _Gateway:
    """What one gateway knows, from a store of the test."""

    def __init__(self, standin: rows.Store) -> None:
        self.store = standin
        self.directory: directories.Directory

    def put(self, state: str = 'ready', born: int = 7) -> None:
        """Write the upstream's entry."""
        self.store.put(documents.UPSTREAM_TABLE, _KEY, _entry(state, born))

    def drop(self) -> None:
        """Remove the upstream's entry."""
        self.store.drop(documents.UPSTREAM_TABLE, _KEY)

    def write(self, times: int) -> None:
        """Write something else."""
        for number in range(times):
            self.store.put('other', 'row', number)

    def uses(self, born: int = 7) -> bool:
        """Return whether the upstream gets new work."""
        upstream = incarnations.upstream_id(ids.InstanceId(_KEY), born)
        usable = self.directory.registry.usable(
            ids.ServiceName('desk'), time.clock_gettime(time.CLOCK_BOOTTIME)
        )
        return upstream in [one.id for one in usable]

    async def until(self, used: bool, seconds: float = _DRAIN) -> None:
        """Wait until the upstream is used, or is not."""
        async with asyncio.timeout(seconds):
            while self.uses() is not used:
                await asyncio.sleep(0.02)


def _play(
    scene: collections.abc.Callable[
        [_Gateway], collections.abc.Coroutine[None, None, None]
    ],
) -> None:
    """Play a scene with a gateway that follows a store."""

    async def run() -> None:
        gateway = _Gateway(rows.Store())
        runner = web.AppRunner(gateway.store.app(), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        address = f'127.0.0.1:{runner.addresses[0][1]}'
        background = tasks.Tasks()
        gateway.put()
        # A service that vanishes whole is used a little longer.
        gateway.store.put(documents.UPSTREAM_TABLE, 'i-2', _entry())
        async with aiohttp.ClientSession() as client:
            gateway.directory = directories.Directory(
                stores.Store(client, address), background, _DRAIN
            )
            gateway.directory.run()
            try:
                await gateway.until(used=True)
                await scene(gateway)
            finally:
                await background.stop()
        await runner.cleanup()

    asyncio.run(run())


# Guards against: an upstream gets requests long after it said that it leaves,
# since the versions of a restored store are lower than those known before.
@pytest.mark.parametrize('news', ['leaving', 'gone'])
@pytest.mark.parametrize(
    ('when', 'more'), [('after', 2), ('away', 2), ('away', 40)]
)
def test_leaving_after_a_restore_is_known_in_time(
    news: str, when: str, more: int
) -> None:
    """The counter is lower than before when the feed asks, or has passed it.

    The upstream leaves while the store turns this gateway away, or after.
    """

    async def scene(gateway: _Gateway) -> None:
        def leave() -> None:
            if news == 'gone':
                gateway.drop()
            else:
                gateway.put('draining')

        gateway.store.copy()
        gateway.write(30)
        gateway.put(born=7)
        await asyncio.sleep(0.3)
        gateway.store.mode = 'busy'
        await asyncio.sleep(0.2)
        gateway.store.restore()
        if when == 'away':
            leave()
        gateway.write(more)
        gateway.store.mode = ''
        if when == 'after':
            await asyncio.sleep(1.0)
            leave()
        await gateway.until(used=False)

    _play(scene)


def _rows(*keys: str, ver: int = 1) -> list[stores.Row]:
    value = msgspec.json.encode(_entry())
    return [stores.Row(key, ver, value) for key in keys]


def _news(
    era: int, ver: int, *keys: str, after: int | None = None
) -> messages.Update:
    told = tuple(
        messages.UpdateRow(row.key, row.ver, row.value)
        for row in _rows(*keys, ver=ver)
    )
    is_whole = after is None
    return messages.Update(b'', after or -1, ver, told, is_whole, era)


def _knows(era: int, ver: int, *keys: str) -> directories.Directory:
    """Return what a gateway knows that has read a table."""
    store = stores.Store(typing.cast(aiohttp.ClientSession, None), '')
    made = directories.Directory(store, tasks.Tasks(), _DRAIN)
    made.entries.replace_all(_rows(*keys), versions.Version(era, ver))
    return made


# Guards against: a gateway that is fed by peers keeps upstreams of before a
# restore, or is set back by a peer that has not heard of the restore.
@pytest.mark.parametrize(
    ('news', 'known'),
    [
        (_news(2, 3, 'i-2'), {'i-2'}),
        (_news(2, 90, 'i-2', 'i-3'), {'i-2', 'i-3'}),
        (_news(2, 3, 'i-2', after=1), {'i-1', 'i-2'}),
        (_news(1, 41, 'i-3', after=40), {'i-1', 'i-2', 'i-3'}),
        (_news(1, 39, 'i-3'), {'i-1', 'i-2'}),
        (_news(0, 99, 'i-3'), {'i-1', 'i-2'}),
        (_news(0, 99, 'i-3', after=40), {'i-1', 'i-2'}),
    ],
)
def test_peers_tell_eras(news: messages.Update, known: set[str]) -> None:
    """Of a later era counts what is whole, of an earlier one nothing."""
    gateway = _knows(1, 40, 'i-1', 'i-2')
    gateway.apply_update(news)
    found = {
        incarnations.instance_id(one) for one in gateway.registry.upstreams
    }
    assert found == known


@pytest.mark.parametrize(
    ('asked', 'told'),
    [((1, 40), True), ((0, 40), True), ((2, 4), True), ((3, 1), None)],
)
def test_asker_of_an_earlier_era_is_told_all(
    asked: tuple[int, int], told: bool | None
) -> None:
    """What has gone since the restore can't be told to it row by row."""
    era, ver = asked
    gateway = _knows(2, 5, 'i-1')
    news = gateway.update_for(messages.UpdateRequest(0, ver, era))
    assert (news.is_complete if news else None) is told


@pytest.mark.parametrize(
    ('values', 'era'),
    [
        (['3'], 3),
        ([' 4 '], 4),
        (['3', '3'], 3),
        (['3', '4'], None),
        ([], None),
        ([''], None),
        (['-1'], None),
        (['3.0'], None),
        (['٣'], None),
        (['9' * 10], None),
    ],
)
def test_era_of_any_header(values: list[str], era: int | None) -> None:
    """What can't be read changes nothing."""
    assert eras.parse_era(values) == era
    heard = eras.EraTracker()
    heard.observe(['2'])
    assert heard.observe(values) == (era or 2)
    assert heard.newest == (era or 2)
    assert heard.observe(['1']) == 1, 'late, and known as such'
    assert heard.newest == (era or 2)


_KINDS: typing.Final = {
    'ready': msgspec.json.encode(_entry()),
    'draining': msgspec.json.encode(_entry('draining')),
    'again': msgspec.json.encode(_entry(born=9)),
    'spoiled': b'{}',
}


def _take(known: directories.Directory, step: str) -> None:
    what, era, number, ver, kind = step.split()
    version = versions.Version(int(era), int(number))
    row = stores.Row('i-1', int(ver), _KINDS.get(kind, b''), kind == 'gone')
    if what == 'some':
        known.entries.apply_changes([row], version)
    else:
        listed = [row] if kind in _KINDS else []
        known.entries.replace_all([*listed, *_rows('i-2')], version)


# Guards against: an older copy of the store brings back what is known better,
# or takes away what it only lacks.
@pytest.mark.parametrize(('steps', 'used'), cases.read('restores.txt'))
def test_copy_brings_nothing_back_that_is_known_better(
    steps: str, used: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Which start is used at once, after 2.1 s, and after 7 s."""
    now = 100.0
    monkeypatch.setattr(clock, 'now', lambda: now)
    known = _knows(1, 1, 'i-2')
    for step in steps.splitlines():
        _take(known, step)
    found = ''
    for now in (100.0, 102.1, 107.0):
        known.entries.accept_settled()
        usable = known.registry.usable(ids.ServiceName('desk'), now)
        starts = {str(one.id) for one in usable}
        found += next((b for b in '79' if f'i-1@{b}' in starts), '-')
    assert found == used


# Guards against: a restored store lists the row of a process that has ended,
# and its member decides though it has just started and knows nothing.
def test_rows_of_a_copy_keep_their_order() -> None:
    """Places of an earlier era don't count beside those of the copy."""

    def name(member: str) -> ids.MemberId:
        return ids.MemberId(member)

    known = members.Members(name('d'))
    known.record_join(versions.Version(1, 45))
    for number, member in enumerate('abcd', 5):
        known.add_row(name(member), 1, versions.Version(1, number), 0.0)
        known.record_message(name(member), 0.0, False, incarnation=1)
    known.record_message(name('a'), 0.1, False, incarnation=2)
    known.record_message(name('b'), 0.1, rank=versions.Version(2, 6))
    assert known.by_rank() == ['b', 'c', 'd', 'a']
    for number, member in enumerate('abc', 5):
        known.add_row(name(member), 1, versions.Version(2, number), 0.2)
    known.record_row_lost()
    assert known.keep_unlisted(name('d'), versions.Version(2, 7), 0.2)
    assert known.by_rank() == ['b', 'c', 'a', 'd']
    assert not known.keep_unlisted(name('c'), versions.Version(2, 7), 0.2), (
        'removed'
    )
    assert known.unlisted_since(0.2) == ['d']
    known.record_message(name('b'), 0.3, rank=versions.Version(1, 90))
    known.record_message(name('a'), 0.3, rank=versions.Version(2, 5))
    assert known.by_rank() == ['a', 'b', 'c', 'd'], 'its own word counts'
    known.add_row(name('d'), 1, versions.Version(2, 8), 0.4)
    assert not known.unlisted_since(9.0)


@pytest.fixture
def fleet() -> collections.abc.Iterator[fleets.Fleet]:
    """Three gateways; the store's copy is from before they started."""
    made = fleets.Fleet(3, [('desk', '')] * 3)
    made.run(made.store.copy)
    with made:
        yield made


def _restore(fleet: fleets.Fleet, away: float = 0.5) -> None:
    """Restore the store; the operator writes its configuration again."""
    fleet.store.mode = 'reset'
    time.sleep(away)
    fleet.run(fleet.store.restore)
    fleet.put('op', 'config', fleet.first)
    fleet.store.mode = ''


def _present(fleet: fleets.Fleet) -> set[str]:
    table = dict(fleet.store.tables.get(roster.MEMBER_TABLE, {}))
    return {key for key, row in table.items() if not row.removed}


def _owners(fleet: fleets.Fleet) -> set[str]:
    """Return who decides, as each gateway sees it."""
    return {
        [line for line in vm.lines() if line['message'] == 'Owner changed.'][
            -1
        ]['owner']
        for vm in fleet.vms
    }


# Guards against: gateways whose rows are lost with an older copy of the store
# are gone for all others for good.
@pytest.mark.parametrize('times', [1, 3])
def test_lost_rows_are_written_again(fleet: fleets.Fleet, times: int) -> None:
    """After one restore, and after several in a row."""
    everybody = {vm.address for vm in fleet.vms}
    fleets.eventually(lambda: _present(fleet) == everybody, 'all joined')
    for _ in range(times):
        _restore(fleet)
    fleets.eventually(lambda: _present(fleet) == everybody, 'all are back')
    fleets.eventually(lambda: len(_owners(fleet)) == 1, 'one decides')
    for number in range(3):
        assert fleet.ask('/once/x', vm=number).served


# Guards against: calls to an upstream that left after a restore, or in the
# seconds that it took away.
@pytest.mark.parametrize('when', ['before', 'after'])
def test_no_call_goes_where_an_upstream_left(
    fleet: fleets.Fleet, when: str
) -> None:
    """All gateways leave it alone, though the copy calls it ready."""
    leaving = fleet.upstreams[0]

    def leave() -> None:
        fleet.put('servers', leaving.id, leaving.row('draining'))

    if when == 'before':
        leave()
        time.sleep(0.5)
    _restore(fleet)
    time.sleep(1.0)
    if when == 'after':
        leave()
    time.sleep(_DRAIN)
    seen = len(leaving.seen)
    for number in range(60):
        assert fleet.ask('/often/x', vm=number % 3).served
    assert len(leaving.seen) == seen


# Guards against: a request that ends engines is let through again after all
# gateways have started anew, since its record was lost with an older copy.
def test_held_request_is_stored_again(fleet: fleets.Fleet) -> None:
    """The owner writes what gateways know and the store has lost."""
    key = quarantine.ROW_PREFIX + 'deadbeef'
    fleet.put(roster.MEMBER_TABLE, key, {'ends': [1, 2, 3]})

    def is_known() -> bool:
        logs = [vm.log.read_text() for vm in fleet.vms]
        return all('Request held back.' in log for log in logs)

    fleets.eventually(is_known, 'the request is held back')
    time.sleep(_READ_BY_ALL)
    _restore(fleet)
    fleets.eventually(lambda: key in _present(fleet), 'it is stored again')
