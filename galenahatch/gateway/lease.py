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

"""The lease on orders, and the fencing numbers of those who hold it.

The lease is a row in the platform's store with its holder and the moment,
on the store's clock, at which another gateway may take it; its version is
the fencing number, so a later holder always has a higher one. A holder
gives orders in the first quarter of its lease only, counted from before it
asked. So two holders never order within the time that the platform asks for
between them, also if one of them was frozen meanwhile.
"""

import typing

import msgspec

from galenahatch import clock
from galenahatch import errors
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import store as stores

TABLE: typing.Final = 'leases'
_KEY: typing.Final = 'orders'
_LEASES: typing.Final = 2.0
"""Length of our lease, in those that the platform asks for."""
_ORDERING: typing.Final = 0.5
"""Part of the platform's lease in which its holder gives orders."""
_log = logs.Log('lease')


def holder(found: stores.Rows) -> str:
    """Return who holds the lease at the moment of a reading, or nobody."""
    for row in found.rows:
        if row.key != _KEY:
            continue
        try:
            lease = msgspec.json.decode(row.value, type=_Row)
        except msgspec.MsgspecError as error:
            _log.error('Bad lease row.', error=str(error))
            return ''
        return lease.holder if found.now_ms <= lease.until_ms else ''
    return ''


class Rows(typing.Protocol):
    """The part of the store that the lease needs."""

    async def rows(
        self, table: str, part: str = ''
    ) -> stores.Rows | errors.Failure:
        """Return all rows of a table."""
        ...

    async def transact(
        self,
        expected: typing.Sequence[stores.Entry] = (),
        put: typing.Sequence[stores.Entry] = (),
        remove: typing.Sequence[stores.Entry] = (),
    ) -> stores.Written | stores.Conflict | errors.Failure:
        """Apply a transaction, all of it or nothing."""
        ...


class _Row(msgspec.Struct, frozen=True):
    """The row.

    Attributes:
        until_ms: on the store's clock.
    """

    holder: str
    until_ms: float


class Lease:
    """One gateway's way to the lease.

    Args:
        store: holds the row.
        me: this gateway.
        seconds: between the orders of two holders.
    """

    def __init__(self, store: Rows, me: ids.MemberId, seconds: float) -> None:
        self._store = store
        self._me = me
        self._seconds = seconds

    async def fence(self) -> int | None:
        """Return a fencing number, if an order may be given with it now."""
        until = clock.now() + _ORDERING * self._seconds
        fence = await self._take()
        return fence if clock.now() <= until else None

    async def _take(self) -> int | None:
        found = await self._store.rows(TABLE)
        if isinstance(found, errors.Failure):
            _log.warning('Lease not read.', detail=found.detail)
            return None
        row = next((r for r in found.rows if r.key == _KEY), None)
        if row is not None and not self._is_free(row, found.now_ms):
            return None
        until = found.now_ms + _LEASES * self._seconds * 1000
        value = msgspec.json.encode(_Row(self._me, until))
        seen = row.ver if row is not None else 0
        written = await self._store.transact(
            [stores.Entry(TABLE, _KEY, ver=seen)],
            put=[stores.Entry(TABLE, _KEY, value=value)],
        )
        if not isinstance(written, stores.Written):
            _log.warning('Lease not taken.', holder=self._me)
            return None
        _log.info('Lease taken.', holder=self._me, fence=written.ver)
        return written.ver

    def _is_free(self, row: stores.Row, now_ms: float) -> bool:
        try:
            lease = msgspec.json.decode(row.value, type=_Row)
        except msgspec.MsgspecError as error:
            _log.error('Bad lease row.', error=str(error))
            return True
        if lease.holder == self._me:
            return True
        return now_ms > lease.until_ms
