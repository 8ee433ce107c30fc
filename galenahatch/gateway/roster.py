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

"""The rows of members in the store.

Each gateway writes one row at startup. The version of this write is its
position in the order of members (`core/members`). The first members follow the
store; all others receive changes from them.

A row may be lost because the store was restored from an older copy or another
member removed the row of a silent member. The member then writes it again and
becomes the last in the order. So each gateway reads all rows once after a
restore.
"""

import asyncio
import collections.abc
import typing

import msgspec

from galenahatch import bounds
from galenahatch import clock
from galenahatch.core import members
from galenahatch.core import versions
from galenahatch import decoding
from galenahatch import errors
from galenahatch.gateway import follower as followers
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import store as stores

MEMBER_TABLE: typing.Final = 'gateways'
OWNER_CANDIDATES: typing.Final = 2
"""Members with which each gateway exchanges heartbeats: the owner and its
successor, which takes over with the state from the heartbeats."""
_SILENT_ROW_TTL_S: typing.Final = 20.0
"""Seconds of silence after which the owner removes a member's row. Any restart
is shorter."""
_REJOIN_TIMEOUT_S: typing.Final = 5.0
"""Seconds in which a member must rewrite a lost row before it is dropped. It
covers the slowest heartbeat, which announces the restore, a read and a
write."""
_SMALL_DEPLOYMENT: typing.Final = 8
"""Most members for which each one follows the store itself. With so few, the
calls cost less than the delay of changes by a heartbeat."""
_BATCH_DELAY_S: typing.Final = 1.0
"""Seconds between two reads of changed members, since all gateways write at
the same time when a deployment starts."""
_WRITE_RETRY_DELAY_S: typing.Final = 0.5
"""Seconds before a failed write of the own row is retried."""
_log = logs.Log('mesh')

RemovalCallback = collections.abc.Callable[[ids.MemberId], None]


class MemberRow(msgspec.Struct, frozen=True):
    """Value of a member's row.

    Attributes:
        proxy_port: Port on which it proxies requests; 0 if it doesn't.
    """

    port: bounds.Port
    data_centre: bounds.Text
    proxy_port: bounds.OptionalPort = 0


_DECODER: typing.Final = msgspec.json.Decoder(MemberRow)


def is_member(row: stores.Row) -> bool:
    """Return whether a row is a member's, whose key is an address."""
    return '/' not in row.key


def decode_member_row(row: stores.Row) -> MemberRow | None:
    """Decode a member's row; return None if it is invalid."""
    decoded = decoding.decode(
        _DECODER,
        row.value,
        errors.BAD_FRAME,
        lambda decoded: _check_address(row.key, decoded),
        max_bytes=bounds.ROW_BYTES,
    )
    if isinstance(decoded, errors.Failure):
        _log.error('Invalid member row.', member=row.key, error=decoded.detail)
        return None
    return decoded


def _check_address(key: str, decoded: MemberRow) -> MemberRow:
    """Check that others can connect to what the row's key names.

    Raises:
        ValueError: It is no address.
    """
    bounds.check_ip(key)
    return decoded


class Roster:
    """Reads and writes the rows of members.

    Args:
        store: The platform's store.
        outage: State of store outages, shared by all feeds of this gateway.
        own_id: Id of this member.
        own_row: Row that this member writes.
        on_removal: Callback with each member that is dropped.
        begin_snapshot: Callback before the rows of a full list.
        on_other_row: Callback with each row that is not a member's.

    Attributes:
        members: All known members.
        feed: Feed of the table of members.
    """

    def __init__(
        self,
        store: stores.Store,
        outage: followers.Outage,
        own_id: ids.MemberId,
        own_row: MemberRow,
        on_removal: RemovalCallback,
        begin_snapshot: collections.abc.Callable[[], None],
        on_other_row: collections.abc.Callable[[stores.Row], None],
    ) -> None:
        self._store = store
        self._own_id = own_id
        self._own_row = own_row
        self._on_removal = on_removal
        self._begin_snapshot = begin_snapshot
        self._on_other_row = on_other_row
        self._newest_announced = versions.OLDEST
        self._snapshot_version = versions.OLDEST
        self._own_row_lost = asyncio.Event()
        self.members = members.Members(own_id)
        self.feed = followers.Follower(
            store,
            outage,
            MEMBER_TABLE,
            self._apply_snapshot,
            self._apply_changes,
            batch_delay=_BATCH_DELAY_S,
            is_idle=self._is_up_to_date,
        )
        outage.max_retry_delay = self._max_retry_delay

    # Feeds.

    def feeds_peers(self) -> bool:
        """Return whether others learn of changes from those that read them."""
        return len(self.members.by_name) > _SMALL_DEPLOYMENT

    def fed_by_peers(self) -> bool:
        """Return whether others follow the store for this gateway.

        The first members in the order read the store. All others receive
        changes from them with each heartbeat, as long as one of them reaches
        the store.
        """
        now = clock.now()
        candidates = self.members.by_rank()[:OWNER_CANDIDATES]
        if self._own_id in candidates or not self.feeds_peers():
            return False
        return any(
            self.members.is_live(name, now)
            and self.members.by_name[name].follows_store
            for name in candidates
        )

    def add_versions(
        self, order: versions.Version, upstreams: versions.Version
    ) -> None:
        """Record the versions that a member announces.

        Args:
            order: Version of the member's row.
            upstreams: Version as of which the member knows upstreams.
        """
        restored = versions.Version(upstreams.era, 0)
        self._newest_announced = max(self._newest_announced, order, restored)

    def _is_up_to_date(self) -> bool:
        """Return whether the rows of members need not be read.

        When many members restart at once, a gateway may read old rows. Those
        members then announce newer versions, and the rows are read again.
        Without this, 80 gateways used six different owners for four seconds
        after a power failure, and these owners overloaded the same engines.
        """
        return (
            self.fed_by_peers() and self.feed.version >= self._newest_announced
        )

    def _max_retry_delay(self) -> float:
        """Return the most seconds between two probes of a failing store.

        The first members in the order probe often, and so do all members of
        a small deployment.
        """
        count = len(self.members.by_name)
        if self._own_id in self.members.by_rank()[:OWNER_CANDIDATES]:
            count = 0
        return followers.MAX_RETRY_DELAY_S * max(
            1.0, count / _SMALL_DEPLOYMENT
        )

    # Rows of members.

    async def join(self) -> None:
        """Write this member's row, and write it again whenever it is lost."""
        while True:
            written = await self._write_own_row()
            self._own_row_lost.clear()
            self.members.record_join(written.version)
            _log.info(
                'Joined.',
                member=self._own_id,
                era=written.era,
                order=written.ver,
            )
            await self._own_row_lost.wait()

    async def _write_own_row(self) -> stores.Committed:
        """Write this member's row, retrying until it is acknowledged."""
        value = msgspec.json.encode(self._own_row)
        entry = stores.RowOperation(MEMBER_TABLE, self._own_id, value=value)
        while True:
            written = await self._store.transact(put=[entry])
            if isinstance(written, stores.Committed):
                return written
            detail = (
                written.detail
                if isinstance(written, errors.Failure)
                else 'conflict'
            )
            _log.warning('Could not write the member row yet.', detail=detail)
            await asyncio.sleep(_WRITE_RETRY_DELAY_S)

    def _check_own_row(
        self, rows: list[stores.Row], version: versions.Version
    ) -> None:
        """Look for this member's row in a full list."""
        joined = self.members.rank
        if not members.NO_RANK < joined <= version:
            return
        number = next((row.ver for row in rows if row.key == self._own_id), 0)
        is_same_era = version.era == joined.era
        if number == joined.number or (is_same_era and number > joined.number):
            self.members.record_join(versions.Version(version.era, number))
        else:
            self._record_lost_row(version)

    def _record_lost_row(self, version: versions.Version) -> None:
        _log.warning('Own row lost.', era=version.era, ver=version.number)
        self.members.record_row_lost()
        self._own_row_lost.set()

    async def remove_stale(self, is_owner: bool) -> None:
        """Drop members without a row, and remove the row of a silent member.

        Args:
            is_owner: Whether this member is the owner, which removes rows.
        """
        now = clock.now()
        for name in self.members.unlisted_since(now - _REJOIN_TIMEOUT_S):
            self._drop_member(name)
        if is_owner:
            await self._remove_silent(now)

    async def _remove_silent(self, now: float) -> None:
        for name, member in self.members.by_name.items():
            last_seen_at = max(member.heard_at, member.discovered_at)
            if name == self._own_id or now - last_seen_at < _SILENT_ROW_TTL_S:
                continue
            if member.rank.era != self.feed.version.era:
                # In this era, another row may have the same number.
                continue
            member.discovered_at = now
            await self._remove_row(name, member.rank.number)
            return

    async def _remove_row(self, name: ids.MemberId, order: int) -> None:
        row = stores.RowOperation(MEMBER_TABLE, name, ver=order)
        removed = stores.RowOperation(MEMBER_TABLE, name)
        result = await self._store.transact([row], remove=[removed])
        _log.info(
            'Removed the row of a silent member.',
            member=name,
            done=isinstance(result, stores.Committed),
        )

    def _apply_snapshot(
        self, rows: list[stores.Row], version: versions.Version
    ) -> None:
        self._check_own_row(rows, version)
        is_restored = versions.is_restore(self._snapshot_version, version)
        self._snapshot_version = version
        now = clock.now()
        current = {row.key for row in rows}
        for name in self.members.by_name.keys() - current:
            if is_restored and self.members.keep_unlisted(name, version, now):
                continue
            self._drop_member(name)
        self._begin_snapshot()
        self._apply_changes(rows, version)

    def _apply_changes(
        self, rows: list[stores.Row], version: versions.Version
    ) -> None:
        for row in rows:
            if not is_member(row):
                self._on_other_row(row)
                continue
            name = ids.MemberId(row.key)
            if row.removed:
                self._drop_member(name)
                if (
                    name == self._own_id
                    and members.NO_RANK < self.members.rank < version
                ):
                    self._record_lost_row(version)
                continue
            decoded = decode_member_row(row)
            if decoded is None:
                continue
            order = versions.Version(version.era, row.ver)
            if self.members.add_row(name, decoded.port, order, clock.now()):
                _log.info('Member found.', member=name, order=row.ver)
            self.members.set_proxy(
                name, decoded.proxy_port, decoded.data_centre
            )

    def _drop_member(self, name: ids.MemberId) -> None:
        self._on_removal(name)
        if self.members.remove(name):
            _log.info('Member gone.', member=name)
