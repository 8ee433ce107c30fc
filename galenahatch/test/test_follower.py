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

"""Feeds of the store, while it is away and after."""

import asyncio

from galenahatch.core import versions
from galenahatch import errors
from galenahatch.gateway import directory as directories
from galenahatch.gateway import follower as followers
from galenahatch.gateway import messages
from galenahatch.platform import store as stores
from galenahatch import tasks

_AWAY = errors.Failure(errors.STORE_UNAVAILABLE, 'away')


class _Store(stores.Store):
    """Answers, or doesn't, and counts calls by table."""

    def __init__(self) -> None:
        self.calls: dict[str, int] = {}
        self.away: set[str] = set()
        self.ver = 1

    async def rows(
        self, table: str, part: str = ''
    ) -> stores.Rows | errors.Failure:
        self._count(table)
        if table in self.away:
            return _AWAY
        return stores.Rows([], self.ver, 0)

    async def changes(
        self, table: str, after: int, wait: float
    ) -> stores.Rows | errors.Failure:
        self._count(table)
        if table in self.away:
            return _AWAY
        await asyncio.sleep(min(wait, 0.05))
        return stores.Rows([], self.ver, 0)

    def _count(self, table: str) -> None:
        self.calls[table] = self.calls.get(table, 0) + 1


def _feeds(
    store: _Store, outage: followers.Outage, *tables: str
) -> list[followers.Follower]:
    def take(rows: list[stores.Row], version: versions.Version) -> None:
        del rows, version

    return [
        followers.Follower(store, outage, table, take, take)
        for table in tables
    ]


async def _follow(
    feeds: list[followers.Follower], seconds: float
) -> list[float]:
    """Run feeds for a while; return when each was heard last."""
    running = [asyncio.create_task(feed.run()) for feed in feeds]
    await asyncio.sleep(seconds)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    return [feed.last_answer_at for feed in feeds]


def test_one_feed_asks_while_the_store_is_away() -> None:
    """Three feeds of a gateway cost no more than one."""

    async def run() -> _Store:
        store = _Store()
        store.away = {'a', 'b', 'c'}
        outage = followers.Outage()
        await _follow(_feeds(store, outage, 'a', 'b', 'c'), 1.2)
        return store

    calls = sorted(asyncio.run(run()).calls.values())
    assert calls[:2] == [1, 1], 'two found out, and wait'
    assert 2 <= calls[2] <= 5


def test_all_feeds_go_on_when_one_is_answered() -> None:
    """Those that wait need not find out by themselves."""

    async def run() -> _Store:
        store = _Store()
        store.away = {'a', 'b'}
        outage = followers.Outage()
        outage.max_retry_delay = lambda: 0.3
        following = asyncio.create_task(
            _follow(_feeds(store, outage, 'a', 'b'), 1.0)
        )
        await asyncio.sleep(0.5)
        store.away = set()
        store.calls.clear()
        await following
        return store

    assert set(asyncio.run(run()).calls) == {'a', 'b'}


def test_a_part_of_the_store_that_is_away_holds_nothing_up() -> None:
    """A feed that is answered goes on, whoever asks for the others."""

    async def run() -> _Store:
        store = _Store()
        store.away = {'a'}
        outage = followers.Outage()
        await _follow(_feeds(store, outage, 'a', 'b'), 1.0)
        return store

    calls = asyncio.run(run()).calls
    assert calls['b'] > 10
    assert calls['a'] < 6


def test_many_gateways_ask_less_often() -> None:
    """The pause grows up to what the number of members allows."""

    async def run(longest: float) -> int:
        store = _Store()
        store.away = {'a'}
        outage = followers.Outage()
        outage.max_retry_delay = lambda: longest
        await _follow(_feeds(store, outage, 'a'), 2.0)
        return store.calls['a']

    assert asyncio.run(run(8.0)) < asyncio.run(run(0.1)) / 3


_ENTRY = (
    b'{"service":"desk","address":"10.1.0.9:80","zone":"a","version":"v1",'
    b'"slots":4,"state":"ready","cold_left_ms":0,"seq_no":1}'
)


def _directory() -> directories.Directory:
    return directories.Directory(_Store(), tasks.Tasks(), 2.0)


def _told(ver: int, *keys: str) -> messages.Update:
    rows = tuple(messages.UpdateRow(key, ver, _ENTRY) for key in keys)
    return messages.Update(b'', -1, ver, rows)


def test_what_went_before_a_peer_started_is_gone() -> None:
    """A peer that has just started knows nothing of entries that went before.

    Told only what is newer, a gateway kept an upstream that had left for six
    seconds, and sent it calls.
    """
    old = _directory()
    old.apply_update(_told(1, 'left', 'stays'))
    assert set(old.registry.upstreams) == {'left', 'stays'}
    started = _directory()
    started.apply_update(_told(5, 'stays'))
    news = started.update_for(
        messages.UpdateRequest(0, old.upstreams_version.number)
    )
    assert news is not None
    old.apply_update(news)
    assert set(old.registry.upstreams) == {'stays'}
    assert old.upstreams_version == versions.Version(0, 5)
