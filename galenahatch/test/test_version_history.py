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

"""What a gateway that has just started knows of versions, by the store."""

import asyncio
import collections.abc
import contextlib
import typing
from unittest import mock

import msgspec
import pytest

from galenahatch import clock
from galenahatch.core import upstreams
from galenahatch.core import versionaffinity
from galenahatch import errors
from galenahatch.gateway import follower
from galenahatch.gateway import versionhistory
from galenahatch.gateway import versionrows
from galenahatch import ids
from galenahatch.platform import store as stores

_SERVICE: typing.Final = ids.ServiceName('s')
_V1, _V2 = (ids.SoftwareVersion(name) for name in ('v1', 'v2'))


class _Store:
    """A store of one table, in an era."""

    def __init__(self, era: int = 1) -> None:
        self.rows_by_key: dict[str, stores.Row] = {}
        self.ver = 1
        self.eras = self
        self.newest = era
        self.is_read_only = False
        self.refused: set[str] = set()
        self.rewritten: set[str] = set()
        self.calls = 0

    async def rows(self, table: str) -> stores.Rows:
        """Return all rows."""
        rows = list(self.rows_by_key.values())
        now_ms = clock.now() * 1000
        return stores.Rows(rows, self.ver, now_ms, False, self.newest)

    async def transact(
        self,
        expected: list[stores.RowOperation],
        put: list[stores.RowOperation],
    ) -> stores.Committed | stores.Conflict | errors.Failure:
        """Write rows that have the versions expected."""
        self.calls += 1
        keys = {row.key for row in put}
        is_too_much = len(expected) + len(put) > 100 or any(
            len(typing.cast(bytes, row.value)) > 65536 for row in put
        )
        if self.is_read_only or is_too_much or keys & self.refused:
            return errors.Failure(errors.STORE_UNAVAILABLE, 'status 503')
        for key in keys & self.rewritten:
            self.ver += 1
            self.rows_by_key[key] = stores.Row(key, self.ver, b'{"era":0}')
        for row in expected:
            known = self.rows_by_key.get(row.key)
            if (known.ver if known else 0) != row.ver:
                return stores.Conflict([])
        self.ver += 1
        for row in put:
            assert isinstance(row.value, bytes)
            self.rows_by_key[row.key] = stores.Row(
                row.key, self.ver, row.value
            )
        return stores.Committed(self.ver, clock.now() * 1000, self.newest)


class _Gateway:
    """The history of one process.

    Args:
        store: The store.
        present: Versions that serve.
    """

    def __init__(self, store: _Store, *present: ids.SoftwareVersion) -> None:
        self.served = versionaffinity.ServedVersions()
        self.history = versionhistory.VersionHistory(
            typing.cast(stores.Store, store),
            self.served,
            lambda: self.currency,
        )
        self._store = store
        self._started_at = clock.now()
        self.currency = follower.Currency()
        self.list(*present)

    def list(
        self,
        *present: ids.SoftwareVersion,
        others: collections.abc.Sequence[str] = (),
    ) -> None:
        """Set the versions that serve, by an answer of the feed.

        Args:
            present: Versions of the service.
            others: Further services, each with one version.
        """
        now = clock.now()
        self.currency = follower.Currency(
            now, self._started_at, now * 1000, self._store.newest
        )
        listed = {ids.ServiceName(name): frozenset([_V1]) for name in others}
        if present:
            listed[_SERVICE] = frozenset(present)
        self.history.update(listed, clock.now())

    def usable(self) -> set[ids.SoftwareVersion]:
        """Return the versions at which streams may begin."""
        engines = [
            upstreams.Upstream(
                ids.UpstreamId(version),
                _SERVICE,
                '',
                ids.DataCentre(''),
                1,
                version=version,
            )
            for version in (_V1, _V2)
        ]
        return {engine.version for engine in self.history.usable(engines)}

    def knows_one(self) -> bool:
        """Return whether all streams are known to be of one version."""
        now = clock.now()
        return self.history.find_only(_SERVICE, now) is not None


async def _started(store: _Store, *present: ids.SoftwareVersion) -> _Gateway:
    gateway = _Gateway(store, *present)
    assert await gateway.history.load()
    return gateway


async def _written(store: _Store, *present: ids.SoftwareVersion) -> _Gateway:
    """Return a gateway that knows all versions, and has said so."""
    gateway = await _started(store, *present)
    await gateway.history.save()
    with _later(versionaffinity.VERSION_RETENTION_S + 1):
        gateway.list(*present)
        await gateway.history.save()
    return gateway


@contextlib.contextmanager
def _later(seconds: float) -> collections.abc.Iterator[None]:
    now = clock.now() + seconds
    with mock.patch.object(clock, 'now', lambda: now):
        yield


# Guards against an empty memory, or a missing row, taken for knowledge.
def test_what_a_start_knows() -> None:
    """What the rows say, and nothing without one."""

    async def run() -> None:
        store = _Store()
        assert not _Gateway(store, _V1).knows_one()
        first = await _started(store, _V1)
        assert not first.knows_one()
        await first.history.save()
        assert not (await _started(store, _V1)).knows_one()
        with _later(versionaffinity.VERSION_RETENTION_S + 1):
            first.list(_V1)
            await first.history.save()
            assert first.knows_one()
            assert (await _started(store, _V1)).knows_one()
            found = (await _started(store, _V2)).history
            assert found.find_only(_SERVICE, clock.now()) == _V1

    asyncio.run(run())


# Guards against a row that was complete once and is taken for complete.
@pytest.mark.parametrize(
    ('seconds', 'is_known'),
    [(versionrows.LEASE_S - 1, True), (versionrows.LEASE_S + 1, False)],
)
def test_row_that_was_not_renewed(seconds: float, is_known: bool) -> None:
    """It vouches for a while only."""

    async def run() -> None:
        store = _Store()
        await _written(store, _V1)
        written_at = versionaffinity.VERSION_RETENTION_S + 1
        with _later(written_at + seconds):
            started = await _started(store, _V1)
            assert started.knows_one() is is_known

    asyncio.run(run())


# Guards against streams that begin at a version that no row lists.
def test_unlisted_version_waits_for_its_row() -> None:
    """It is usable once a row lists it, or all that don't have expired."""

    async def run() -> None:
        store = _Store()
        gateway = await _started(store, _V1)
        assert gateway.usable() == {_V1, _V2}, 'no row vouches for anything'
        await gateway.history.save()
        assert gateway.usable() == {_V1}
        gateway.list(_V1, _V2)
        assert gateway.usable() == {_V1}
        store.is_read_only = True
        await gateway.history.save()
        assert gateway.usable() == {_V1}
        with _later(versionrows.LEASE_S + 1):
            assert gateway.usable() == {_V1, _V2}

    asyncio.run(run())


# Guards against an owner that vouches for what it no longer follows.
def test_owner_whose_feed_is_silent_writes_nothing() -> None:
    """It can't tell which versions have appeared."""

    async def run() -> None:
        store = _Store()
        gateway = await _started(store, _V1)
        with _later(follower.MAX_ANSWER_GAP_S + 1):
            assert not await gateway.history.save()
        assert not store.rows_by_key

    asyncio.run(run())


# Guards against one version that is doubted since its engines came late.
def test_engines_that_register_after_the_start() -> None:
    """A minute after the first row, all versions are known."""

    async def run() -> None:
        gateway = await _started(_Store())
        gateway.list(_V1)
        await gateway.history.save()
        assert not gateway.knows_one()
        with _later(versionaffinity.VERSION_RETENTION_S + 1):
            gateway.list(_V1)
            await gateway.history.save()
            assert gateway.knows_one()
            assert gateway.history.knows_all_services(clock.now())

    asyncio.run(run())


@pytest.mark.parametrize('has_row', [False, True])
def test_restored_store(has_row: bool) -> None:
    """Rows of an earlier era tell versions, and don't tell all."""

    async def run() -> None:
        store = _Store()
        living = await _written(store, _V1)
        if not has_row:
            store.rows_by_key.clear()
        store.newest = 2
        with _later(versionaffinity.VERSION_RETENTION_S + 2):
            assert not (await _started(store, _V1)).knows_one()
            assert not living.history.is_loaded
            living.list(_V1)
            await living.history.load()
            assert not living.knows_one(), 'no row is of this era'
            await living.history.save()
            # It was there all the time, but another one may have used another
            # version while no row was there.
            assert living.knows_one() is has_row
            assert (await _started(store, _V1)).knows_one() is has_row

    asyncio.run(run())


def test_doubt_is_passed_on() -> None:
    """Who starts later doesn't believe what its writer doubted."""

    async def run() -> None:
        store = _Store(era=2)
        doubting = await _started(store, _V1)
        await doubting.history.save()
        assert not (await _started(store, _V1)).knows_one()

    asyncio.run(run())


def test_two_owners_add_up() -> None:
    """Each keeps what the other has written."""

    async def run() -> None:
        store = _Store()
        one, two = await _started(store, _V1), await _started(store, _V2)
        await one.history.save()
        await two.history.save()
        await two.history.save()
        row = msgspec.json.decode(store.rows_by_key[_SERVICE].value)
        assert row['left_ms'].keys() == {_V1, _V2}

    asyncio.run(run())


@pytest.mark.parametrize('value', [b'', b'[]', b'{"era": "x"}'])
def test_spoiled_row(value: bytes) -> None:
    """It tells nothing, and is written anew."""

    async def run() -> None:
        store = _Store()
        store.rows_by_key[_SERVICE] = stores.Row(_SERVICE, 1, value)
        gateway = await _started(store, _V1)
        assert not gateway.knows_one()
        await gateway.history.save()
        assert b'v1' in store.rows_by_key[_SERVICE].value

    asyncio.run(run())


_MANY: typing.Final = [ids.SoftwareVersion(f'{n:0100}') for n in range(700)]
_WIDE: typing.Final = [ids.SoftwareVersion(c * 40000) for c in 'ab']


# Guards against: one service's row is too large, or is refused or rewritten
# again and again, and no service's row is written or renewed any more.
@pytest.mark.parametrize(
    ('versions', 'trouble', 'count'),
    [
        (_WIDE, '', 5),
        (_MANY, '', 5),
        ([_V1], 'refused', 5),
        ([_V1], 'rewritten', 5),
        ([_V1], '', 70),
    ],
)
def test_one_service_holds_up_no_other(
    versions: list[ids.SoftwareVersion], trouble: str, count: int
) -> None:
    """All others are written and renewed, with few calls."""
    others = [f'o{n}' for n in range(count)]

    async def run() -> None:
        store = _Store()
        if trouble:
            getattr(store, trouble).add(_SERVICE)
        gateway = await _started(store)
        for written_at in (0.0, 5.0, 10.0):
            for round_at in range(10):
                with _later(written_at + 0.4 * round_at):
                    gateway.list(*versions, others=others)
                    await gateway.history.save()
            for name in others:
                row = msgspec.json.decode(store.rows_by_key[name].value)
                age_s = clock.now() + written_at - row['complete_ms'] / 1000
                assert age_s < 1.0
        assert (_SERVICE in store.rows_by_key) is (
            versions == [_V1] and trouble != 'refused'
        )
        most = 3 * (count + 10) if trouble else 6
        assert store.calls <= most, 'two transactions hold 70 rows'

    asyncio.run(run())


# Guards against a row that can't name all versions and vouches for the rest.
@pytest.mark.parametrize('versions', [_WIDE, _MANY])
def test_too_many_versions(versions: list[ids.SoftwareVersion]) -> None:
    """The row runs out, until all but the few that serve are forgotten."""

    async def run() -> None:
        store = _Store()
        gateway = await _written(store, _V1)
        began = versionaffinity.VERSION_RETENTION_S + 2
        with _later(began):
            gateway.list(*versions, _V1)
            assert not await gateway.history.save()
            assert gateway.usable() == {_V1}
        with _later(began + versionrows.LEASE_S + 1):
            gateway.list(_V1)
            assert not await gateway.history.save()
            assert not gateway.knows_one()
            assert not (await _started(store, _V1)).knows_one()
        with _later(began + versionaffinity.VERSION_RETENTION_S + 22):
            gateway.list(_V1)
            assert await gateway.history.save()

    asyncio.run(run())


# Guards against rows of services for which there are no requests: anybody's
# entry may name one.
def test_service_that_is_not_configured() -> None:
    """It is neither stored nor waited for."""

    async def run() -> None:
        store, served = _Store(), versionaffinity.ServedVersions()
        history = versionhistory.VersionHistory(
            typing.cast(stores.Store, store),
            served,
            lambda: follower.Currency(clock.now(), 0.0, 1.0, 1),
            lambda name: False,
        )
        await history.load()
        history.update({_SERVICE: frozenset([_V1, _V2])}, clock.now())
        assert not await history.save()
        assert history.knows_all_services(clock.now())
        assert not history.unconfirmed() and not history.needs_reading()
        assert not served.several(clock.now(), lambda name: False)

    asyncio.run(run())


# Guards against a row of the future, after which nothing is ever known.
def test_row_of_the_future() -> None:
    """It doesn't outlast the row that replaces it."""

    async def run() -> None:
        store = _Store()
        row = versionrows.Row(1, {_V1: -1.0}, 1e300, clock.now() * 1000)
        value = msgspec.json.encode(row)
        store.rows_by_key[_SERVICE] = stores.Row(_SERVICE, 1, value)
        gateway = await _started(store, _V1)
        for seconds in (6.0, versionaffinity.VERSION_RETENTION_S + 13):
            with _later(seconds):
                gateway.list(_V1)
                await gateway.history.save()
        with _later(versionaffinity.VERSION_RETENTION_S + 13):
            assert gateway.knows_one()

    asyncio.run(run())


# Guards against a row that vouches for versions up to a time to come, in which
# another one may be used.
def test_row_that_is_complete_ahead_of_time() -> None:
    """The owner replaces it at once."""

    async def run() -> None:
        store = _Store()
        now_ms = clock.now() * 1000
        row = versionrows.Row(1, {_V1: -1.0}, now_ms, now_ms + 50_000)
        value = msgspec.json.encode(row)
        store.rows_by_key[_SERVICE] = stores.Row(_SERVICE, 1, value)
        gateway = await _started(store, _V1)
        await gateway.history.save()
        stored = versionrows.decode(
            store.rows_by_key[_SERVICE].value, 1, now_ms
        )
        assert isinstance(stored, versionrows.Row)
        assert stored.complete_ms <= clock.now() * 1000

    asyncio.run(run())


def test_left_versions_are_bounded() -> None:
    """Too many are known as such until the last one is forgotten."""
    served = versionaffinity.ServedVersions()
    for number in range(1000):
        served.update({_SERVICE: frozenset([_MANY[0], _V1])}, number / 100)
        version = ids.SoftwareVersion(f'x{number}')
        served.update({_SERVICE: frozenset([version])}, number / 100)
    assert len(served.left_times(_SERVICE, 9.0)) == 258
    assert not served.is_single(_SERVICE, 10.0)
    assert served.left_times(_SERVICE, 69.0).keys() > {_V1}
    assert served.is_only(_SERVICE, version, 71.0)
