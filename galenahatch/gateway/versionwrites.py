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

"""Writes rows of software versions (`versionhistory`) to the store.

One service must not hold up the others: its row may be too large, or may be
refused or written by others again and again.
"""

import collections.abc
import typing

import msgspec

from galenahatch import bounds
from galenahatch import errors
from galenahatch.gateway import versionrows
from galenahatch.gateway import writeorder
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import store as stores

TABLE: typing.Final = 'service_versions'
_log = logs.Log('versions')

Rows = dict[ids.ServiceName, versionrows.Row]
Numbers = collections.abc.Mapping[ids.ServiceName, int]
WrittenCallback = collections.abc.Callable[[Rows, stores.Committed], bool]


class RowWriter:
    """Writes rows, as many in one transaction as possible.

    Args:
        store: The platform's store.
        max_row_bytes: Bytes of a row that the store takes.

    Attributes:
        oversized: Services with too many versions for a row.
    """

    def __init__(self, store: stores.Store, max_row_bytes: int) -> None:
        self._store = store
        self._max_row_bytes = min(max_row_bytes, bounds.ROW_BYTES)
        self._order = writeorder.WriteOrder[ids.ServiceName]()
        self.oversized: set[ids.ServiceName] = set()

    def fits(self, service: ids.ServiceName, row: versionrows.Row) -> bool:
        """Return whether a row can name all versions of a service.

        One that can't isn't written: the stored one runs out, and then no row
        vouches for the absence of a version.
        """
        size = len(msgspec.json.encode(row))
        if versionrows.is_valid(row) and size <= self._max_row_bytes:
            self.oversized.discard(service)
            return True
        if service not in self.oversized:
            self.oversized.add(service)
            _log.error(
                'Too many versions of a service to store.',
                service=service,
                versions=len(row.left_ms),
                bytes=size,
            )
        return False

    async def write(
        self, rows: Rows, numbers: Numbers, on_written: WrittenCallback
    ) -> bool:
        """Write rows until a transaction fails.

        Args:
            rows: Rows to write.
            numbers: Versions of the rows in the store.
            on_written: Callback after each transaction; returns whether to
                write more.

        Returns:
            Whether another gateway has written some of them.
        """
        values = {name: msgspec.json.encode(row) for name, row in rows.items()}
        sizes = {name: len(value) for name, value in values.items()}
        for group in self._order.groups(sizes):
            chosen = {name: values[name] for name in group}
            result = await self._transact(chosen, numbers)
            if not isinstance(result, stores.Committed):
                self._order.record_failure(group)
                return isinstance(result, stores.Conflict)
            self._order.record_success(group)
            if not on_written({name: rows[name] for name in group}, result):
                break
        return False

    async def _transact(
        self, values: dict[ids.ServiceName, bytes], numbers: Numbers
    ) -> stores.Committed | stores.Conflict | errors.Failure:
        result = await self._store.transact(
            [
                stores.RowOperation(TABLE, name, ver=numbers.get(name, 0))
                for name in values
            ],
            put=[
                stores.RowOperation(TABLE, name, value=value)
                for name, value in values.items()
            ],
        )
        if isinstance(result, errors.Failure):
            _log.warning(
                'Could not store service versions yet.',
                services=' '.join(sorted(values)),
                detail=result.detail,
            )
        return result
