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

"""Client of the platform's store: rows, a feed of changes, transactions.

Values are bytes; versions are numbers of one counter of the whole store. A
call that fails may have taken effect all the same, now or seconds later, if
its conditions still hold then.

The store may come back from an older copy. What it had acknowledged since is
lost, and the counter goes back; so each answer names its era
(`core/versions`), and one of an era before the newest tells nothing.
"""

import asyncio
import dataclasses
import typing
from urllib import parse

import aiohttp
import msgspec

from galenahatch.core import versions
from galenahatch import errors
from galenahatch.platform import eras
from galenahatch import timeouts

CALL_TIMEOUT_S: typing.Final = 1.5
"""Seconds for a call that does not wait. The platform promises answers in
some ms; an answer that takes longer is lost or the store is away."""
_NO_LIMIT: typing.Final = aiohttp.ClientTimeout(total=None)
_FEED_SLACK: typing.Final = 0.7
"""Seconds over the wait asked for after which a feed call is given up."""
_MOST_BYTES: typing.Final = 16 * 1024 * 1024


class Row(msgspec.Struct, frozen=True):
    """One row, or the news that it is gone.

    Attributes:
        ver: number of the store's version at its last change, which may be
            of an earlier era.
        removed: whether the row is gone; it has no value then.
    """

    key: str
    ver: int = 0
    value: bytes = b''
    removed: bool = False


class Rows(msgspec.Struct, frozen=True):
    """Rows as of one moment.

    Attributes:
        ver: number of the store's version then.
        now_ms: the store's steady clock then.
        era: of the store then.
    """

    rows: list[Row]
    ver: int = 0
    now_ms: float = 0.0
    has_more: bool = False
    era: int = 0

    @property
    def version(self) -> versions.Version:
        """The store's version then."""
        return versions.Version(self.era, self.ver)


class Committed(msgspec.Struct, frozen=True):
    """A transaction that was applied, and the version that it made."""

    ver: int = 0
    now_ms: float = 0.0
    era: int = 0

    @property
    def version(self) -> versions.Version:
        """The version that it made."""
        return versions.Version(self.era, self.ver)


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A transaction that was not applied: a condition does not hold."""

    rows: list[Row]


class RowOperation(msgspec.Struct, frozen=True, omit_defaults=True):
    """One row in a transaction: its condition, its value or its key.

    Attributes:
        ver: version that the row must have, 0 if it must not exist.
        value: to be written.
    """

    table: str
    key: str
    part: str = ''
    ver: int | msgspec.UnsetType = msgspec.UNSET
    value: bytes | msgspec.UnsetType = msgspec.UNSET


class _Transaction(msgspec.Struct, frozen=True):
    # The wire's name for the conditions of a transaction.
    expected: list[RowOperation]
    # Rows to write, not keys only.
    set_keys: list[RowOperation]
    remove: list[RowOperation]


class _Reply(typing.NamedTuple):
    status: int
    data: bytes
    era: int


_ROWS: typing.Final = msgspec.json.Decoder(Rows)
_WRITTEN: typing.Final = msgspec.json.Decoder(Committed)


class Store:
    """The store at one address.

    Args:
        client: session.
        address: `ip:port`.

    Attributes:
        eras: that its answers named.
    """

    def __init__(self, client: aiohttp.ClientSession, address: str) -> None:
        self._client = client
        self._url = f'http://{address}'
        self.eras = eras.EraTracker()

    async def rows(self, table: str, part: str = '') -> Rows | errors.Failure:
        """Return all rows of a part of a table, in pages of one version
        each; the version is that of the first page, so that a feed from it
        misses nothing."""
        found: list[Row] = []
        first: Rows | None = None
        start = ''
        while True:
            query = {'table': table, 'part': part}
            if start:
                query['from'] = start
            page = await self._read('rows-get', query, CALL_TIMEOUT_S)
            if isinstance(page, errors.Failure):
                return page
            first = first or page
            if page.era != first.era:
                detail = 'restored between two pages'
                return errors.Failure(errors.STORE_UNAVAILABLE, detail)
            found.extend(page.rows)
            if not page.has_more or not page.rows:
                return msgspec.structs.replace(
                    first, rows=found, has_more=False
                )
            # The range includes its first key: go on right behind the last.
            start = page.rows[-1].key + '\0'

    async def changes(
        self, table: str, after: int, wait: float
    ) -> Rows | errors.Failure:
        """Return the rows of a table that changed after a version.

        Returns HISTORY_GONE if the store no longer knows all of them.

        Args:
            table: name.
            after: version.
            wait: seconds that the store may wait for a change.
        """
        query = {
            'table': table,
            'after': str(after),
            'wait_ms': str(int(wait * 1000)),
        }
        return await self._read('rows-feed', query, wait + _FEED_SLACK)

    async def transact(
        self,
        expected: typing.Sequence[RowOperation] = (),
        put: typing.Sequence[RowOperation] = (),
        remove: typing.Sequence[RowOperation] = (),
    ) -> Committed | Conflict | errors.Failure:
        """Apply a transaction, all of it or nothing."""
        call = _Transaction(list(expected), list(put), list(remove))
        body = msgspec.json.encode(call)
        reply = await self._call('POST', 'rows-tx', body, CALL_TIMEOUT_S)
        if isinstance(reply, errors.Failure):
            return reply
        try:
            if reply.status == 412:
                return Conflict(_ROWS.decode(reply.data).rows)
            if reply.status == 200:
                written = _WRITTEN.decode(reply.data)
                return msgspec.structs.replace(written, era=reply.era)
        except msgspec.MsgspecError as error:
            return errors.Failure(errors.STORE_UNAVAILABLE, str(error))
        return _refused(reply.status)

    async def _read(
        self, call: str, query: dict[str, str], timeout: float
    ) -> Rows | errors.Failure:
        path = f'{call}?{parse.urlencode(query)}'
        reply = await self._call('GET', path, None, timeout)
        if isinstance(reply, errors.Failure):
            return reply
        if reply.status == 410:
            return errors.Failure(errors.HISTORY_GONE, path)
        if reply.status != 200:
            return _refused(reply.status)
        try:
            found = _ROWS.decode(reply.data)
            return msgspec.structs.replace(found, era=reply.era)
        except msgspec.MsgspecError as error:
            return errors.Failure(errors.STORE_UNAVAILABLE, str(error))

    async def _call(
        self, method: str, path: str, body: bytes | None, timeout: float
    ) -> _Reply | errors.Failure:
        headers = {'Content-Type': 'application/json'} if body else None
        url = f'{self._url}/{path}'
        try:
            async with (
                timeouts.limit(timeout),
                self._client.request(
                    method, url, data=body, headers=headers, timeout=_NO_LIMIT
                ) as response,
            ):
                data = await response.content.read(_MOST_BYTES)
                while not response.content.at_eof():
                    data += await response.content.read(_MOST_BYTES)
                    if len(data) > _MOST_BYTES:
                        detail = f'answer of over {_MOST_BYTES} bytes'
                        return errors.Failure(errors.STORE_UNAVAILABLE, detail)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            detail = f'{type(error).__name__} {error}'
            return errors.Failure(errors.STORE_UNAVAILABLE, detail)
        era = self.eras.observe(response.headers.getall(eras.HEADER, ()))
        if era < self.eras.newest:
            detail = f'answer of era {era}, the newest is {self.eras.newest}'
            return errors.Failure(errors.STORE_UNAVAILABLE, detail)
        return _Reply(response.status, data, era)


def _refused(status: int) -> errors.Failure:
    if status == 429:
        return errors.Failure(errors.STORE_BUSY, 'status 429')
    return errors.Failure(errors.STORE_UNAVAILABLE, f'status {status}')
