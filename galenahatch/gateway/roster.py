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

Each gateway writes one row at its start, and the version that the store gives
the write is its place in the order (`core/members`). Those first in the order
follow the store; all others hear of changes from them.

A row may be lost, with a store that comes back from an older copy or since
others took its member for gone. Then it is written again, and its member is
last. So each gateway reads the rows once after a restore.
"""

import asyncio
import collections.abc
import typing

import msgspec

from galenahatch import clock
from galenahatch.core import members
from galenahatch.core import versions
from galenahatch import errors
from galenahatch.gateway import follower as followers
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import store as stores

MEMBER_TABLE: typing.Final = 'gateways'
OWNER_CANDIDATES: typing.Final = 2
"""Members that each gateway keeps in touch with: the owner, and the next,
which takes over with what the beats told it."""
_SILENT_ROW_TTL_S: typing.Final = 20.0
"""Seconds of silence after which the owner removes a member's row; longer
than any restart."""
_REJOIN_TIMEOUT_S: typing.Final = 5.0
"""Seconds after which a member is gone that has not written its lost row
again: the slowest beat tells it of the restore, and it reads and writes."""
_SMALL_DEPLOYMENT: typing.Final = 8
"""Members up to which each follows the store by itself: the calls of so few
cost less than a beat's delay in hearing of a change."""
_BATCH_DELAY_S: typing.Final = 1.0
"""Seconds between two looks at changed members; all write at once when a
deployment starts."""
_WRITE_RETRY_DELAY_S: typing.Final = 0.5
_log = logs.Log('mesh')

RemovalCallback = collections.abc.Callable[[ids.MemberId], None]


class MemberRow(msgspec.Struct, frozen=True):
    """A member's row."""

    port: int
    data_centre: str


def is_member(row: stores.Row) -> bool:
    """Return whether a row is a member's; its key is an address then."""
    return '/' not in row.key


def decode_member_row(row: stores.Row) -> MemberRow | None:
    """Return what a member's row tells; None if it can't be read."""
    try:
        return msgspec.json.decode(row.value, type=MemberRow)
    except msgspec.MsgspecError as error:
        _log.error('Bad member row.', member=row.key, error=str(error))
        return None


class Roster:
    """Reads and writes the rows of members.

    Args:
        store: the platform's store.
        outage: of the store, as all feeds of this gateway see it.
        me: this member.
        row: what it writes.
        dropped: called with each member that is gone.
        begin_list: called before the rows of a list of all.
        others: called with each row that is no member's.

    Attributes:
        members: all that are known.
    """

    def __init__(
        self,
        store: stores.Store,
        outage: followers.Outage,
        me: ids.MemberId,
        row: MemberRow,
        dropped: RemovalCallback,
        begin_list: collections.abc.Callable[[], None],
        others: collections.abc.Callable[[stores.Row], None],
    ) -> None:
        self._store = store
        self._own_id = me
        self._own_row = row
        self._on_removal = dropped
        self._begin_snapshot = begin_list
        self._on_other_row = others
        self._newest_announced = versions.NEVER
        self._snapshot_version = versions.NEVER
        self._own_row_lost = asyncio.Event()
        self.members = members.Members(me)
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

    # Who follows the store.

    def fed_by_peers(self) -> bool:
        """Return whether others follow the store for this gateway.

        Those first in the order read the store; all others hear from them,
        with each beat, what is new, as long as one of them hears the store.
        """
        now = clock.now()
        first = self.members.ordered()[:OWNER_CANDIDATES]
        if (
            self._own_id in first
            or len(self.members.known) <= _SMALL_DEPLOYMENT
        ):
            return False
        return any(
            self.members.is_live(name, now)
            and self.members.known[name].hears_store
            for name in first
        )

    def add_versions(
        self, order: versions.Version, upstreams: versions.Version
    ) -> None:
        """Note which versions a member knows of.

        Args:
            order: its place.
            upstreams: up to which it knows upstreams.
        """
        restored = versions.Version(upstreams.era, 0)
        self._newest_announced = max(self._newest_announced, order, restored)

    def _is_up_to_date(self) -> bool:
        """Return whether the rows of members need not be read.

        When many restart at once, a gateway reads some rows of before. Those
        members tell that they have newer ones; the rest is read then. Without
        it, 80 gateways asked six owners for four seconds after a loss of
        power, and these filled the same engines.
        """
        return (
            self.fed_by_peers() and self.feed.version >= self._newest_announced
        )

    def _max_retry_delay(self) -> float:
        """Return the seconds between two questions to a store that is away.

        Those first in the order ask often, and so do few members.
        """
        known = len(self.members.known)
        if self._own_id in self.members.ordered()[:OWNER_CANDIDATES]:
            known = 0
        return followers.MAX_RETRY_DELAY_S * max(
            1.0, known / _SMALL_DEPLOYMENT
        )

    # Rows.

    async def join(self) -> None:
        """Write this member's row, and again each time that it is lost."""
        while True:
            written = await self._write_own_row()
            self._own_row_lost.clear()
            self.members.joined(written.version)
            _log.info(
                'Joined.',
                member=self._own_id,
                era=written.era,
                order=written.ver,
            )
            await self._own_row_lost.wait()

    async def _write_own_row(self) -> stores.Written:
        """Write this member's row; done once it is acknowledged."""
        value = msgspec.json.encode(self._own_row)
        entry = stores.Entry(MEMBER_TABLE, self._own_id, value=value)
        while True:
            written = await self._store.transact(put=[entry])
            if isinstance(written, stores.Written):
                return written
            detail = (
                written.detail
                if isinstance(written, errors.Failure)
                else 'conflict'
            )
            _log.warning('Could not join yet.', detail=detail)
            await asyncio.sleep(_WRITE_RETRY_DELAY_S)

    def _check_own_row(
        self, rows: list[stores.Row], version: versions.Version
    ) -> None:
        """Find this member's row in a list of all."""
        joined = self.members.order
        if not members.NO_PLACE < joined <= version:
            return
        number = next((row.ver for row in rows if row.key == self._own_id), 0)
        is_same_era = version.era == joined.era
        if number == joined.number or (is_same_era and number > joined.number):
            self.members.joined(versions.Version(version.era, number))
        else:
            self._record_lost_row(version)

    def _record_lost_row(self, version: versions.Version) -> None:
        _log.warning('Own row lost.', era=version.era, ver=version.number)
        self.members.lost_own_row()
        self._own_row_lost.set()

    async def remove_stale(self, decides: bool) -> None:
        """Drop members without a row, and the row of one that is long gone.

        Args:
            decides: whether this member is the owner, who removes rows.
        """
        now = clock.now()
        for name in self.members.unlisted_since(now - _REJOIN_TIMEOUT_S):
            self._drop_member(name)
        if decides:
            await self._remove_silent(now)

    async def _remove_silent(self, now: float) -> None:
        for name, member in self.members.known.items():
            since = max(member.heard_at, member.found_at)
            if name == self._own_id or now - since < _SILENT_ROW_TTL_S:
                continue
            if member.order.era != self.feed.version.era:
                # The number may be another row's in this era.
                continue
            member.found_at = now
            await self._remove_row(name, member.order.number)
            return

    async def _remove_row(self, name: ids.MemberId, order: int) -> None:
        row = stores.Entry(MEMBER_TABLE, name, ver=order)
        gone = stores.Entry(MEMBER_TABLE, name)
        result = await self._store.transact([row], remove=[gone])
        _log.info(
            'Row of a silent member removed.',
            member=name,
            done=isinstance(result, stores.Written),
        )

    def _apply_snapshot(
        self, rows: list[stores.Row], version: versions.Version
    ) -> None:
        self._check_own_row(rows, version)
        is_restored = versions.is_restore(self._snapshot_version, version)
        self._snapshot_version = version
        now = clock.now()
        current = {row.key for row in rows}
        for name in self.members.known.keys() - current:
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
                    and members.NO_PLACE < self.members.order < version
                ):
                    self._record_lost_row(version)
                continue
            told = decode_member_row(row)
            if told is None:
                continue
            order = versions.Version(version.era, row.ver)
            if self.members.put(name, told.port, order, clock.now()):
                _log.info('Member found.', member=name, order=row.ver)

    def _drop_member(self, name: ids.MemberId) -> None:
        self._on_removal(name)
        if self.members.drop(name):
            _log.info('Member gone.', member=name)
