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
from galenahatch.core import versions
from galenahatch.gateway import directory as directories
from galenahatch.gateway import messages
from galenahatch import ids
from galenahatch.platform import documents
from galenahatch.platform import eras
from galenahatch.platform import store as stores
from galenahatch import tasks
from galenahatch.test.standin import rows

_DRAIN: typing.Final = 2.0
"""Seconds after the store took it at which each gateway knows who leaves."""
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
        upstream = incarnations.incarnation(ids.InstanceId(_KEY), born)
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
) -> messages.News:
    told = tuple(
        messages.NewsRow(row.key, row.ver, row.value)
        for row in _rows(*keys, ver=ver)
    )
    is_whole = after is None
    return messages.News(b'', after or -1, ver, told, is_whole, era)


def _knows(era: int, ver: int, *keys: str) -> directories.Directory:
    """Return what a gateway knows that has read a table."""
    store = stores.Store(typing.cast(aiohttp.ClientSession, None), '')
    made = directories.Directory(store, tasks.Tasks(), _DRAIN)
    made.entries.take_all(_rows(*keys), versions.Version(era, ver))
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
def test_peers_tell_eras(news: messages.News, known: set[str]) -> None:
    """Of a later era counts what is whole, of an earlier one nothing."""
    gateway = _knows(1, 40, 'i-1', 'i-2')
    gateway.take_news(news)
    found = {incarnations.instance(one) for one in gateway.registry.known}
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
    news = gateway.news(messages.Ask(0, ver, era))
    assert (news.is_whole if news else None) is told


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
    assert eras.era(values) == era
    heard = eras.Eras()
    heard.hear(['2'])
    assert heard.hear(values) == (era or 2)
    assert heard.newest == (era or 2)
    assert heard.hear(['1']) == 1, 'late, and known as such'
    assert heard.newest == (era or 2)


_Step = tuple[str, int, int, int, str]
"""What is told: all or some; era and number; number and kind of `i-1`."""
_BEFORE: typing.Final = ('all', 1, 20, 5, 'ready')
_LOST: typing.Final = (
    ('some', 1, 21, 21, 'gone'),
    ('some', 1, 22, 22, 'ready'),
)
_KINDS: typing.Final = {
    'ready': msgspec.json.encode(_entry()),
    'draining': msgspec.json.encode(_entry('draining')),
    'again': msgspec.json.encode(_entry(born=9)),
    'spoiled': b'{}',
}


def _take(known: directories.Directory, step: _Step) -> None:
    what, era, number, ver, kind = step
    version = versions.Version(era, number)
    row = stores.Row('i-1', ver, _KINDS.get(kind, b''), kind == 'gone')
    if what == 'some':
        known.entries.take_some([row], version)
    else:
        listed = [row] if kind in _KINDS else []
        known.entries.take_all([*listed, *_rows('i-2')], version)


# Guards against: an older copy of the store brings back what is known better,
# or takes away what it only lacks.
@pytest.mark.parametrize(
    ('steps', 'used'),
    [
        ([('some', 1, 21, 21, 'gone'), ('all', 2, 10, 5, 'ready')], '--7'),
        ([('some', 1, 21, 21, 'gone'), ('all', 2, 30, 22, 'ready')], '777'),
        (
            [
                ('some', 1, 21, 21, 'gone'),
                ('all', 2, 10, 5, 'ready'),
                ('some', 2, 11, 11, 'ready'),
            ],
            '777',
        ),
        (
            [
                ('some', 1, 21, 21, 'gone'),
                ('all', 2, 10, 5, 'ready'),
                ('all', 3, 9, 5, 'ready'),
                ('some', 3, 10, 10, 'gone'),
            ],
            '---',
        ),
        ([('some', 1, 21, 21, 'spoiled'), ('all', 2, 10, 5, 'ready')], '--7'),
        ([('some', 1, 21, 21, 'draining'), ('all', 2, 9, 5, 'ready')], '---'),
        ([('some', 1, 21, 21, 'again'), ('all', 2, 10, 5, 'ready')], '999'),
        ([*_LOST, ('all', 2, 10, 0, '')], '7--'),
        ([*_LOST, ('all', 2, 10, 0, ''), ('all', 3, 9, 0, '')], '7--'),
        (
            [*_LOST, ('all', 2, 10, 0, ''), ('all', 2, 11, 11, 'ready')],
            '777',
        ),
        ([*_LOST, ('all', 2, 23, 0, '')], '---'),
        ([('some', 1, 21, 21, 'ready'), ('all', 2, 10, 0, '')], '---'),
    ],
)
def test_copy_brings_nothing_back_that_is_known_better(
    steps: list[_Step], used: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Which start is used at once, after 2.1 s, and after 7 s."""
    now = 100.0
    monkeypatch.setattr(clock, 'now', lambda: now)
    known = _knows(1, 1, 'i-2')
    for step in [_BEFORE, *steps]:
        _take(known, step)
    found = ''
    for now in (100.0, 102.1, 107.0):
        known.entries.settle()
        usable = known.registry.usable(ids.ServiceName('desk'), now)
        starts = {str(one.id) for one in usable}
        found += next((b for b in '79' if f'i-1@{b}' in starts), '-')
    assert found == used
