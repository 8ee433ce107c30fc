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

"""Client of the platform's store: rows, a change feed, transactions.

Values are bytes; versions come from a single counter of the whole store. A
call that fails may still take effect, even seconds later, if its conditions
hold at that time.

The store may be restored from a backup. Writes acknowledged since the backup
are lost and the counter goes back, so each response names its era
(`core/versions`); a response of an era before the newest is rejected.
"""

import asyncio
import dataclasses
import typing
from urllib import parse

import aiohttp
import msgspec

from galenahatch import bounds
from galenahatch.core import versions
from galenahatch import decoding
from galenahatch import errors
from galenahatch.platform import eras
from galenahatch import timeouts
from galenahatch.upstream import http

CALL_TIMEOUT_S: typing.Final = 1.5
"""Seconds until a call without a long poll times out. The platform promises
responses within a few ms; after this time the response is lost or the store
is unavailable."""
_NO_TIMEOUT: typing.Final = aiohttp.ClientTimeout(total=None)
FEED_MARGIN_S: typing.Final = 0.7
"""Seconds that a feed call may take beyond the wait that it requested."""
_MAX_RESPONSE_BYTES: typing.Final = 16 * 1024 * 1024
_MAX_PAGES: typing.Final = 64
"""Pages of a table; each has up to 500 rows or 1 MB."""


class Row(msgspec.Struct, frozen=True):
    """A row, or a notice that it was removed.

    Other writers choose keys and values, and the store bounds both. Who reads
    a row checks them, so that an odd one doesn't hide the others.

    Attributes:
        ver: number of the store's version at the row's last change, which
            may be of an earlier era.
        removed: whether the row was removed; a removed row has no value.
    """

    key: str
    ver: bounds.Number = 0
    value: bytes = b''
    removed: bool = False


class Rows(msgspec.Struct, frozen=True):
    """A snapshot of rows.

    Attributes:
        ver: number of the store's version at the snapshot.
        now_ms: the store's monotonic clock at the snapshot.
        has_more: whether further pages follow.
        era: era of the store at the snapshot.
    """

    rows: list[Row]
    ver: bounds.Number = 0
    now_ms: bounds.ClockMs = 0.0
    has_more: bool = False
    era: int = 0

    @property
    def version(self) -> versions.Version:
        """The store's version at the snapshot."""
        return versions.Version(self.era, self.ver)


class Committed(msgspec.Struct, frozen=True):
    """An applied transaction and the store version that it created."""

    ver: bounds.Number = 0
    now_ms: bounds.ClockMs = 0.0
    era: int = 0

    @property
    def version(self) -> versions.Version:
        """The store version that the transaction created."""
        return versions.Version(self.era, self.ver)


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A transaction that was not applied because a condition failed."""

    rows: list[Row]


class RowOperation(msgspec.Struct, frozen=True, omit_defaults=True):
    """An operation on a row in a transaction: a condition, write or removal.

    Attributes:
        ver: version that the row must have; 0 if the row must not exist.
        value: value to write.
    """

    table: str
    key: str
    part: str = ''
    ver: int | msgspec.UnsetType = msgspec.UNSET
    value: bytes | msgspec.UnsetType = msgspec.UNSET


class _Transaction(msgspec.Struct, frozen=True):
    # Conditions of the transaction.
    expected: list[RowOperation]
    # Whole rows to write, despite the field's name.
    set_keys: list[RowOperation]
    remove: list[RowOperation]


class _Reply(typing.NamedTuple):
    status: int
    data: bytes
    era: int


_ROWS_DECODER: typing.Final = msgspec.json.Decoder(Rows)
_COMMITTED_DECODER: typing.Final = msgspec.json.Decoder(Committed)


class Store:
    """Client of the store at an address.

    Args:
        client: HTTP session.
        address: address as `ip:port`.

    Attributes:
        eras: tracker of the eras that responses name.
    """

    def __init__(self, client: aiohttp.ClientSession, address: str) -> None:
        self._client = client
        self._url = f'http://{address}'
        self.eras = eras.EraTracker()

    async def rows(self, table: str, part: str = '') -> Rows | errors.Failure:
        """Read all rows of a table part, page by page.

        Each page is a snapshot at its own version. The result has the version
        of the first page, so that a feed from there misses no change.
        """
        rows: list[Row] = []
        first: Rows | None = None
        start = ''
        for _ in range(_MAX_PAGES):
            query = {'table': table, 'part': part}
            if start:
                query['from'] = start
            page = await self._read('rows-get', query, CALL_TIMEOUT_S)
            if isinstance(page, errors.Failure):
                return page
            first = first or page
            if page.era != first.era:
                detail = 'store restored between two pages'
                return errors.Failure(errors.STORE_UNAVAILABLE, detail)
            rows.extend(page.rows)
            if not page.has_more or not page.rows:
                return msgspec.structs.replace(
                    first, rows=rows, has_more=False
                )
            # The range includes its first key, so start after the last key.
            start = page.rows[-1].key + '\0'
        detail = f'table {table} over {_MAX_PAGES} pages'
        return errors.Failure(errors.STORE_UNAVAILABLE, detail)

    async def changes(
        self, table: str, after: int, wait: float
    ) -> Rows | errors.Failure:
        """Return the rows of a table that changed after a version.

        Returns HISTORY_GONE if the store no longer has the full history.

        Args:
            table: name of the table.
            after: version after which changes are returned.
            wait: seconds that the store may wait for a change.
        """
        query = {
            'table': table,
            'after': str(after),
            'wait_ms': str(int(wait * 1000)),
        }
        return await self._read('rows-feed', query, wait + FEED_MARGIN_S)

    async def transact(
        self,
        expected: typing.Sequence[RowOperation] = (),
        put: typing.Sequence[RowOperation] = (),
        remove: typing.Sequence[RowOperation] = (),
    ) -> Committed | Conflict | errors.Failure:
        """Apply a transaction atomically."""
        transaction = _Transaction(list(expected), list(put), list(remove))
        body = msgspec.json.encode(transaction)
        reply = await self._call('POST', 'rows-tx', body, CALL_TIMEOUT_S)
        if isinstance(reply, errors.Failure):
            return reply
        if reply.status == 412:
            return decoding.decode(
                _ROWS_DECODER,
                reply.data,
                errors.STORE_UNAVAILABLE,
                lambda current: Conflict(current.rows),
            )
        if reply.status == 200:
            return decoding.decode(
                _COMMITTED_DECODER,
                reply.data,
                errors.STORE_UNAVAILABLE,
                lambda written: msgspec.structs.replace(
                    written, era=reply.era
                ),
            )
        return _failure_of_status(reply.status)

    async def _read(
        self, endpoint: str, query: dict[str, str], timeout: float
    ) -> Rows | errors.Failure:
        path = f'{endpoint}?{parse.urlencode(query)}'
        reply = await self._call('GET', path, None, timeout)
        if isinstance(reply, errors.Failure):
            return reply
        if reply.status == 410:
            return errors.Failure(errors.HISTORY_GONE, path)
        if reply.status != 200:
            return _failure_of_status(reply.status)
        return decoding.decode(
            _ROWS_DECODER,
            reply.data,
            errors.STORE_UNAVAILABLE,
            lambda rows: msgspec.structs.replace(rows, era=reply.era),
        )

    async def _call(
        self, method: str, path: str, body: bytes | None, timeout: float
    ) -> _Reply | errors.Failure:
        headers = {'Content-Type': 'application/json'} if body else None
        url = f'{self._url}/{path}'
        try:
            async with (
                timeouts.limit(timeout),
                self._client.request(
                    method,
                    url,
                    data=body,
                    headers=headers,
                    timeout=_NO_TIMEOUT,
                ) as response,
            ):
                data = await http.read_all(response, _MAX_RESPONSE_BYTES)
                if isinstance(data, errors.Failure):
                    detail = f'response over {_MAX_RESPONSE_BYTES} bytes'
                    return errors.Failure(errors.STORE_UNAVAILABLE, detail)
        except asyncio.TimeoutError as error:
            # Others of its connections may have gone silent with this one.
            http.close_idle(self._client)
            return errors.Failure(errors.STORE_UNAVAILABLE, repr(error))
        except (aiohttp.ClientError, OSError) as error:
            detail = f'{type(error).__name__} {error}'
            return errors.Failure(errors.STORE_UNAVAILABLE, detail)
        era = self.eras.observe(response.headers.getall(eras.HEADER, ()))
        if era < self.eras.newest:
            detail = f'stale era {era}, the newest is {self.eras.newest}'
            return errors.Failure(errors.STORE_UNAVAILABLE, detail)
        return _Reply(response.status, data, era)


def _failure_of_status(status: int) -> errors.Failure:
    if status == 429:
        return errors.Failure(errors.STORE_BUSY, 'status 429')
    return errors.Failure(errors.STORE_UNAVAILABLE, f'status {status}')
