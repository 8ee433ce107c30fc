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

A store that comes back from an older copy may have lost the row of a holder
that still gives orders, has another clock perhaps, and gives its versions out
again. So a row counts in the era only in which it was written. Whoever finds
none of the newest era writes one that nobody holds, and that lapses as a lease
does; fencing numbers begin with the era.
"""

import typing

import msgspec

from galenahatch import clock
from galenahatch.core import versions
from galenahatch import errors
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import store as stores

TABLE: typing.Final = 'leases'
_KEY: typing.Final = 'orders'
_NO_HOLDER: typing.Final = ''
_LENGTH_RATIO: typing.Final = 2.0
"""Length of our lease, in those that the platform asks for."""
_USABLE_RATIO: typing.Final = 0.5
"""Part of the platform's lease in which its holder gives orders."""
_VERSION_BITS: typing.Final = 40
"""Bits of a fencing number that count versions within an era: enough for
decades of writes."""
_log = logs.Log('lease')


def fencing_number(version: versions.Version) -> int:
    """Return the fencing number of a version; it rises as versions do."""
    return (version.era << _VERSION_BITS) + version.number


def current_holder(found: stores.Rows) -> str:
    """Return who holds the lease at the moment of a reading, or nobody."""
    _, lease = _find_lease(found)
    if lease is None or found.now_ms > lease.until_ms:
        return ''
    return lease.holder


class LeaseStore(typing.Protocol):
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
        era: of the store.
    """

    holder: str
    until_ms: float
    era: int = 0


def _find_lease(found: stores.Rows) -> tuple[int, _Row | None]:
    """Return the number of the row, 0 if there is none, and the lease.

    There is no lease if the row can't be read or is of another era.
    """
    row = next((row for row in found.rows if row.key == _KEY), None)
    if row is None:
        return 0, None
    try:
        lease = msgspec.json.decode(row.value, type=_Row)
    except msgspec.MsgspecError as error:
        _log.error('Bad lease row.', error=str(error))
        return row.ver, None
    return row.ver, lease if lease.era == found.era else None


class Lease:
    """One gateway's way to the lease.

    Args:
        store: holds the row.
        me: this gateway.
        seconds: between the orders of two holders.
    """

    def __init__(
        self, store: LeaseStore, own_id: ids.MemberId, fencing_interval: float
    ) -> None:
        self._store = store
        self._own_id = own_id
        self._fencing_interval = fencing_interval

    async def acquire(self) -> int | None:
        """Return a fencing number, if an order may be given with it now."""
        until = clock.now() + _USABLE_RATIO * self._fencing_interval
        fence = await self._acquire()
        return fence if clock.now() <= until else None

    async def begin_era(self) -> None:
        """Begin the leases of the newest era, if nobody has.

        Done ahead of the first order, which would have to wait otherwise.
        """
        found = await self._read()
        if found is None or not found.era:
            return
        number, lease = _find_lease(found)
        if lease is None:
            await self._write_unheld(found, number)

    async def _acquire(self) -> int | None:
        found = await self._read()
        if found is None:
            return None
        number, lease = _find_lease(found)
        if lease is None and found.era:
            await self._write_unheld(found, number)
            return None
        if lease is not None and not self._is_free(lease, found.now_ms):
            return None
        written = await self._write(self._own_id, found, number)
        if written is None:
            _log.warning('Lease not taken.', holder=self._own_id)
            return None
        fence = fencing_number(written)
        _log.info('Lease taken.', holder=self._own_id, fence=fence)
        return fence

    async def _write_unheld(self, found: stores.Rows, number: int) -> None:
        """Write a row that nobody holds.

        Who held the lease before the restore gives no more orders by the
        time at which it lapses.
        """
        if await self._write(_NO_HOLDER, found, number) is not None:
            _log.info('Leases of an era begun.', era=found.era)

    async def _read(self) -> stores.Rows | None:
        found = await self._store.rows(TABLE)
        if isinstance(found, errors.Failure):
            _log.warning('Lease not read.', detail=found.detail)
            return None
        return found

    async def _write(
        self, name: str, found: stores.Rows, number: int
    ) -> versions.Version | None:
        """Replace the row as it was found; return its version if that is done.

        What is written in another era than it was read in replaces some other
        row, and counts for nothing: it names the era of the reading.
        """
        until = found.now_ms + _LENGTH_RATIO * self._fencing_interval * 1000
        value = msgspec.json.encode(_Row(name, until, found.era))
        written = await self._store.transact(
            [stores.Entry(TABLE, _KEY, ver=number)],
            put=[stores.Entry(TABLE, _KEY, value=value)],
        )
        if not isinstance(written, stores.Written):
            return None
        return written.version if written.era == found.era else None

    def _is_free(self, lease: _Row, now_ms: float) -> bool:
        return lease.holder == self._own_id or now_ms > lease.until_ms
