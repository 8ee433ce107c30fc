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

"""The lease on orders to engines, with fencing tokens.

The lease is a row in the platform's store. It names the holder and the time,
by the store's clock, after which another gateway may acquire the lease. The
version of the row is the fencing token, so a later holder always has a higher
one. A holder gives orders only in the first quarter of its lease, counted
from before its request. So orders of two holders are always separated by the
interval that the platform requires, even if one of them was suspended.

A store restored from an older copy may have lost the row of a holder that
still gives orders, may have a different clock, and reissues its versions. So
a row is valid only in the era in which it was written. A gateway that finds
no row of the newest era writes one without a holder, which expires like a
lease; the era forms the high bits of fencing tokens.
"""

import typing

import msgspec

from galenahatch import bounds
from galenahatch import clock
from galenahatch.core import versions
from galenahatch import decoding
from galenahatch import errors
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import store as stores

TABLE: typing.Final = 'leases'
_KEY: typing.Final = 'orders'
_NO_HOLDER: typing.Final = ''
_LENGTH_RATIO: typing.Final = 2.0
"""Length of the lease as a multiple of the platform's interval."""
_USABLE_RATIO: typing.Final = 0.5
"""Part of the platform's interval in which a holder may give orders."""
_VERSION_BITS: typing.Final = 40
"""Bits of a fencing token for the version within an era, enough for decades
of writes."""
_MIN_LONGEST_S: typing.Final = 600.0
"""Seconds that any lease may have left: other gateways may run with other
settings."""
_log = logs.Log('lease')


def fencing_token(version: versions.Version) -> int:
    """Return the fencing token of a version; it increases with the version."""
    return (version.era << _VERSION_BITS) + version.number


def current_holder(rows: stores.Rows) -> str:
    """Return the holder of the lease as of a read; empty if there is none."""
    _, lease = _find_lease(rows, _MIN_LONGEST_S)
    if lease is None or rows.now_ms > lease.until_ms:
        return ''
    return lease.holder


class LeaseStore(typing.Protocol):
    """The operations of the store that the lease needs."""

    async def rows(
        self, table: str, part: str = ''
    ) -> stores.Rows | errors.Failure:
        """Return all rows of a table."""
        ...

    async def transact(
        self,
        expected: typing.Sequence[stores.RowOperation] = (),
        put: typing.Sequence[stores.RowOperation] = (),
        remove: typing.Sequence[stores.RowOperation] = (),
    ) -> stores.Committed | stores.Conflict | errors.Failure:
        """Apply a transaction atomically."""
        ...


class _Row(msgspec.Struct, frozen=True):
    """Value of the lease's row.

    Attributes:
        holder: Gateway that holds the lease; empty if there is none.
        until_ms: Time of expiry in milliseconds, by the store's clock.
        era: Era of the store in which the row was written.
    """

    holder: bounds.Text
    until_ms: bounds.ClockMs
    era: bounds.Number = 0


_DECODER: typing.Final = msgspec.json.Decoder(_Row)


def _find_lease(rows: stores.Rows, longest: float) -> tuple[int, _Row | None]:
    """Return the version number of the lease's row, and the lease.

    The number is 0 if there is no row. The lease is None if the row is
    missing, invalid or of another era.

    Args:
        rows: Rows of the table.
        longest: Seconds above which the time left is invalid.
    """
    row = next((row for row in rows.rows if row.key == _KEY), None)
    if row is None:
        return 0, None
    lease = decoding.decode(
        _DECODER,
        row.value,
        errors.BAD_FRAME,
        lambda lease: _check_end(lease, rows.now_ms + longest * 1000),
        max_bytes=bounds.ROW_BYTES,
    )
    if isinstance(lease, errors.Failure):
        _log.error('Invalid lease row.', error=lease.detail)
        return row.ver, None
    return row.ver, lease if lease.era == rows.era else None


def _check_end(lease: _Row, latest_ms: float) -> _Row:
    """Check that the lease ends in a foreseeable time.

    Raises:
        ValueError: Nobody would get it again.
    """
    if lease.until_ms > latest_ms:
        raise ValueError(f'until_ms: {lease.until_ms}, at most {latest_ms}')
    return lease


class Lease:
    """Acquires the lease for one gateway.

    Args:
        store: Store with the lease's row.
        own_id: Id of this gateway.
        fencing_interval: Seconds required between orders of two holders.
    """

    def __init__(
        self, store: LeaseStore, own_id: ids.MemberId, fencing_interval: float
    ) -> None:
        self._store = store
        self._own_id = own_id
        self._fencing_interval = fencing_interval
        self._longest = max(
            _MIN_LONGEST_S, 2 * _LENGTH_RATIO * fencing_interval
        )

    async def acquire(self) -> int | None:
        """Acquire or renew the lease; return a fencing token if it is usable.

        Returns:
            The fencing token, or None if no order may be given now.
        """
        deadline = clock.now() + _USABLE_RATIO * self._fencing_interval
        fence = await self._acquire()
        return fence if clock.now() <= deadline else None

    async def begin_era(self) -> None:
        """Write the first row of the newest era if there is none.

        This is done before the first order, which would otherwise have to
        wait for the row to expire.
        """
        rows = await self._read()
        if rows is None or not rows.era:
            return
        number, lease = _find_lease(rows, self._longest)
        if lease is None:
            await self._write_unheld(rows, number)

    async def _acquire(self) -> int | None:
        rows = await self._read()
        if rows is None:
            return None
        number, lease = _find_lease(rows, self._longest)
        if lease is None and rows.era:
            await self._write_unheld(rows, number)
            return None
        if lease is not None and not self._is_free(lease, rows.now_ms):
            return None
        written = await self._write(self._own_id, rows, number)
        if written is None:
            _log.warning('Could not acquire the lease.', holder=self._own_id)
            return None
        fence = fencing_token(written)
        _log.info('Lease taken.', holder=self._own_id, fence=fence)
        return fence

    async def _write_unheld(self, rows: stores.Rows, number: int) -> None:
        """Write a row without a holder.

        By the time it expires, a holder from before the restore no longer
        gives orders.
        """
        if await self._write(_NO_HOLDER, rows, number) is not None:
            _log.info(
                'Initialized the lease for a new store era.', era=rows.era
            )

    async def _read(self) -> stores.Rows | None:
        rows = await self._store.rows(TABLE)
        if isinstance(rows, errors.Failure):
            _log.warning('Could not read the lease.', detail=rows.detail)
            return None
        return rows

    async def _write(
        self, holder: str, rows: stores.Rows, number: int
    ) -> versions.Version | None:
        """Replace the row if it is unchanged; return the new version or None.

        A write in a later era than the read may replace a different row. It
        has no effect, since the new row names the era of the read.
        """
        until_ms = rows.now_ms + _LENGTH_RATIO * self._fencing_interval * 1000
        value = msgspec.json.encode(_Row(holder, until_ms, rows.era))
        written = await self._store.transact(
            [stores.RowOperation(TABLE, _KEY, ver=number)],
            put=[stores.RowOperation(TABLE, _KEY, value=value)],
        )
        if not isinstance(written, stores.Committed):
            return None
        return written.version if written.era == rows.era else None

    def _is_free(self, lease: _Row, now_ms: float) -> bool:
        return lease.holder == self._own_id or now_ms > lease.until_ms
