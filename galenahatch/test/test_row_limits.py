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

"""What gateways write stays within the limits of rows, calls and log lines.

Callers and other writers choose part of it.
"""

import asyncio
import typing

import logbook
import msgspec
import pytest

from galenahatch import clock
from galenahatch.core import versionaffinity
from galenahatch import errors
from galenahatch.gateway import messages
from galenahatch.gateway import originlog
from galenahatch.gateway import quarantine
from galenahatch.gateway import roster
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import store as stores


class _Store:
    """A store that keeps the calls, and refuses those with some row."""

    def __init__(self) -> None:
        self.put: list[stores.RowOperation] = []
        self.removed: list[stores.RowOperation] = []
        self.refused = ''

    async def transact(
        self,
        expected: typing.Sequence[stores.RowOperation] = (),
        put: typing.Sequence[stores.RowOperation] = (),
        remove: typing.Sequence[stores.RowOperation] = (),
    ) -> stores.Committed | errors.Failure:
        """Accept or refuse a transaction."""
        if self.refused in [row.key for row in (*put, *remove)]:
            return errors.Failure(errors.STORE_UNAVAILABLE, 'status 400')
        self.put += put
        self.removed += remove
        return stores.Committed(1, 0.0, 1)


# Guards against: ids of requests that grow when they are encoded pass the
# bytes of a row, and the store refuses the origins of all streams.
def test_origins_fit_into_rows() -> None:
    """Rows are filled by what is written, for the store's own limit."""
    store, origins = _Store(), versionaffinity.Origins()
    log = originlog.OriginLog(
        typing.cast(stores.Store, store), origins, 'w', max_row_bytes=20000
    )
    now = clock.now()
    keys = [ids.StreamKey('"\\' * 200 + str(n)) for n in range(100)]
    for key in keys:
        origins.record(key, ids.SoftwareVersion('v"1'), now + 60, now)
    log.add(keys)
    asyncio.run(log.save(must_keep=True))
    values = [typing.cast(bytes, row.value) for row in store.put]
    assert max(len(value) for value in values) <= 20000
    batches = [msgspec.json.decode(v, type=originlog.Batch) for v in values]
    stored = [origin.key for batch in batches for origin in batch.origins]
    assert sorted(stored) == sorted(keys)


# Guards against: a deadline of days that one caller states makes the row that
# holds it invalid, and with it the origins of all other streams in it.
def test_long_deadline_spoils_no_row() -> None:
    """Another process reads all origins, whatever callers have stated."""
    store, origins = _Store(), versionaffinity.Origins()
    log = originlog.OriginLog(typing.cast(stores.Store, store), origins, 'w')
    now = clock.now()
    for seconds in (60.0, 1e6, 1e12):
        key = ids.StreamKey(str(seconds))
        origins.record(key, ids.SoftwareVersion('v1'), now + seconds, now)
        log.add([key])
    asyncio.run(log.save(must_keep=True))
    batch = originlog.decode(typing.cast(bytes, store.put[0].value))
    assert isinstance(batch, originlog.Batch)
    assert [origin.seconds_left > 86000 for origin in batch.origins] == [
        False,
        True,
        True,
    ]
    assert max(origin.seconds_left for origin in batch.origins) <= 86400


# Guards against: a row of the table of gateways that is neither a member's
# nor the quarantine's is removed under a key that is too long for the store,
# so that the owner stores and removes nothing any more.
def test_rows_of_other_kinds_are_left_alone() -> None:
    """The owner removes its own rows only."""
    store = _Store()
    guard = quarantine.Guard(
        lambda upstream: asyncio.sleep(0, False),
        typing.cast(stores.Store, store),
        roster.MEMBER_TABLE,
    )
    for key in ('x/' + 'y' * 198, quarantine.ROW_PREFIX + 'aa'):
        guard.apply_row(stores.Row(key, 1, b'{}'))
    asyncio.run(guard._save())
    removed = [row.key for row in store.removed]
    assert removed == [quarantine.ROW_PREFIX + 'aa']


# Guards against: one row that the store refuses keeps the owner from storing
# all other requests that end engines.
@pytest.mark.parametrize('refused', ['a0', 'a9', 'b0'])
def test_quarantine_row_holds_up_no_other(refused: str) -> None:
    """The others are written and removed on their own."""
    store = _Store()
    store.refused = quarantine.ROW_PREFIX + refused
    guard = quarantine.Guard(
        lambda upstream: asyncio.sleep(0, False),
        typing.cast(stores.Store, store),
        roster.MEMBER_TABLE,
    )
    written, removed = ([f'{c}{n}' for n in range(10)] for c in 'ab')
    guard.merge(
        messages.Suspicion(ids.RequestDigest(name), (1, 2), 0.0)
        for name in written
    )
    for name in removed:
        key = quarantine.ROW_PREFIX + name
        guard.apply_row(stores.Row(key, 1, b'{}'))
    for _ in range(4):
        asyncio.run(guard._save())
    keys = {row.key for row in (*store.put, *store.removed)}
    wanted = {quarantine.ROW_PREFIX + name for name in written + removed}
    assert keys == wanted - {store.refused}


# Guards against: a log line that quotes what another writer left is cut in
# the middle or lost, so that operators' tools can't read it.
def test_log_line_of_any_text() -> None:
    """It is a JSON object that fits into one write."""
    record = logbook.LogRecord('part', logbook.ERROR, 'Bad upstream entry.')
    record.heavy_init()
    record.extra |= {'detail': 'x' * 9000, 'key': 'a\udcff\u00e9'}
    line = logs.format_json(record, None).encode()
    found = msgspec.json.decode(line)
    assert found['detail'].startswith('xxx') and len(line) < 4000
    assert found['key'] == 'a\\udcff\u00e9'
