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

"""The entries that upstreams write into the store.

Entries are known as of a version of the store (`core/versions`). Older data
is ignored, whatever its number. The first list of a new era replaces that of
the previous era, except for entries about which the gateway has better
information (`core/restores`). Changes come from the store, or from peers in
the same form.
"""

import asyncio
import collections.abc
import typing

from galenahatch import clock
from galenahatch.core import incarnations
from galenahatch.core import restores
from galenahatch.core import upstreams
from galenahatch.core import versions
from galenahatch import errors
from galenahatch.gateway import messages
from galenahatch.gateway import messageversions
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import documents
from galenahatch.platform import store as stores

HEARTBEAT_INTERVAL_S: typing.Final = 1.2
"""Default number of seconds between two writes of an entry."""
_SETTLE_INTERVAL_S: typing.Final = 0.25
"""Seconds between two checks of entries that a restore left unsettled."""
_log = logs.Log('directory')

ChangeCallback = collections.abc.Callable[[], None]
RestartCallback = collections.abc.Callable[[ids.UpstreamId], None]


class _KnownEntry(typing.NamedTuple):
    """An entry as it is in the store.

    Attributes:
        number: Version number of its last change, in the newest era.
        document: Its value; None once it has been removed.
        since: Version number at which it was added; 0 if that was not seen.
    """

    number: int = 0
    document: bytes | None = None
    since: int = 0


class Entries:
    """Upstreams according to their entries in the store.

    Args:
        drain: Seconds after the removal of an upstream within which requests
            to it must stop.
        heartbeat: Seconds between two writes of an entry.
        on_change: Callback after each change.

    Attributes:
        registry: The upstreams.
        on_restart: Callback with each restarted upstream.
    """

    def __init__(
        self, drain: float, heartbeat: float, on_change: ChangeCallback
    ) -> None:
        self._on_change = on_change
        self.registry = upstreams.Registry(drain)
        self.on_restart: RestartCallback = lambda upstream: None
        self._entries: dict[str, _KnownEntry] = {}
        self._unusable: dict[str, str] = {}
        self._version = versions.OLDEST
        # Version of the first list of the newest era; earlier removals are
        # unknown.
        self._complete_since = versions.OLDEST
        self._unsettled = restores.RestoreReconciler(heartbeat)
        self._restore_seen = asyncio.Event()

    @property
    def version(self) -> versions.Version:
        """Version of the store as of which entries are known."""
        return self._version

    def update_for(
        self, request: messages.UpdateRequest, config: bytes
    ) -> messages.Update | None:
        """Return the changes that a peer lacks, or None if there are none.

        A gateway that started after the peer, or that has since seen a
        restore, doesn't know of entries removed in between. It sends all
        rows, and the peer drops entries that are not among them.

        Args:
            request: Versions that the peer has.
            config: Compressed configuration to include; empty if the peer
                has it.
        """
        peer_version = messageversions.upstreams_version(request)
        if not config and self._version <= peer_version:
            return None
        is_complete = peer_version < self._complete_since
        after = -1 if is_complete else request.upstreams_version
        rows: tuple[messages.UpdateRow, ...] = ()
        if self._version > peer_version:
            rows = tuple(
                messages.UpdateRow(key, row.number, row.document or b'')
                for key, row in self._entries.items()
                if row.number > after
            )
        return messages.Update(
            config,
            request.upstreams_version,
            self._version.number,
            rows,
            is_complete,
            self._version.era,
        )

    def apply_update(self, update: messages.Update) -> None:
        """Apply an update from a peer if it is newer."""
        version = messageversions.upstreams_version(update)
        if version <= self._version:
            return
        rows = [
            stores.Row(row.key, row.version, row.document, not row.document)
            for row in update.rows
        ]
        after = versions.Version(update.era, update.after)
        if update.is_complete:
            current = [row for row in rows if not row.removed]
            self.replace_all(current, version)
        elif after <= self._version:
            self.apply_changes(rows, version)

    def replace_all(
        self, rows: list[stores.Row], version: versions.Version
    ) -> None:
        """Replace all entries by the list as of a version."""
        is_restored = versions.is_restore(self._version, version)
        if not self._advance(rows, version):
            return
        if is_restored:
            self._compare_with_restored(rows, version)
        current = {row.key for row in rows}
        for key in self._entries:
            if key not in current:
                self._entries[key] = _KnownEntry(version.number)
        for row in rows:
            self._entries[row.key] = _KnownEntry(row.ver, row.value)
        accepted = [
            row
            for row in rows
            if not self._unsettled.is_suspect(row.key, row.ver)
        ]
        for row in accepted:
            self._unsettled.record_change(row.key)
        usable = [
            entry for row in accepted if (entry := self._decode_usable(row))
        ]
        previous = {
            entry.id: self.registry.latest_start(
                incarnations.instance_id(entry.id)
            )
            for entry in usable
        }
        self.registry.replace_all(
            usable, clock.now(), self._unsettled.retained
        )
        for key, old_id in previous.items():
            self.report_restart(key, old_id, 'store')
        _log.info(
            'Upstreams read.',
            count=len(usable),
            era=version.era,
            ver=version.number,
        )
        self._on_change()

    def apply_changes(
        self, rows: list[stores.Row], version: versions.Version
    ) -> None:
        """Apply changes up to a version."""
        if not self._advance(rows, version):
            return
        for row in rows:
            number = row.ver or version.number
            previous = self._entries.get(row.key, _KnownEntry())
            if number < previous.number:
                continue
            self._unsettled.record_change(row.key)
            if row.removed:
                self._apply_removal(row.key, number)
            else:
                since = (
                    previous.since
                    if previous.document is not None
                    else row.ver
                )
                self._entries[row.key] = _KnownEntry(row.ver, row.value, since)
                self._apply_entry(row)
        self._on_change()

    def _advance(
        self, rows: list[stores.Row], version: versions.Version
    ) -> bool:
        """Advance to a version unless a later one is known."""
        current = self._version
        if version < current:
            _log.info(
                'Ignored outdated upstream entries.',
                rows=len(rows),
                era=version.era,
                ver=version.number,
                known_era=current.era,
                known=current.number,
            )
            return False
        if current == versions.OLDEST or version.era != current.era:
            self._complete_since = version
        self._version = version
        return True

    def _apply_removal(self, key: str, number: int) -> None:
        self._entries[key] = _KnownEntry(number)
        self._unusable.pop(key, None)
        if self.registry.remove(ids.InstanceId(key), clock.now()):
            _log.info('Upstream gone.', upstream=key, ver=number)

    def _apply_entry(self, row: stores.Row) -> None:
        entry = self._decode_usable(row)
        if entry is None:
            return
        previous = self.registry.latest_start(ids.InstanceId(row.key))
        if not self.registry.register(entry, clock.now()):
            return
        self.report_restart(entry.id, previous, 'store')
        _log.info(
            'Upstream changed.',
            upstream=entry.id,
            service=entry.service,
            address=entry.address,
            leaving=entry.leaving,
            stage=entry.stage.value if entry.stage else '',
            version=entry.version,
            ver=row.ver,
        )

    def _decode_usable(self, row: stores.Row) -> upstreams.Upstream | None:
        """Return the upstream of an entry, or None if it is not usable."""
        entry = documents.decode_upstream(row.key, row.value)
        if not isinstance(entry, errors.Failure):
            self._unusable.pop(row.key, None)
            return entry
        if self._unusable.get(row.key) != entry.detail:
            self._unusable[row.key] = entry.detail
            _log.error('Bad upstream entry.', detail=entry.detail)
        if self.registry.remove_unusable(ids.InstanceId(row.key), clock.now()):
            _log.warning('Upstream withdrawn.', upstream=row.key, ver=row.ver)
        return None

    def report_restart(
        self,
        upstream: ids.UpstreamId,
        previous: ids.UpstreamId | None,
        source: str,
    ) -> None:
        """Log and announce the start of an upstream if it is a restart."""
        if previous is None or not incarnations.is_later_start(
            upstream, previous
        ):
            return
        _log.info(
            'Upstream started again.',
            upstream=upstream,
            before=previous,
            source=source,
        )
        self.on_restart(upstream)

    def _compare_with_restored(
        self, rows: list[stores.Row], version: versions.Version
    ) -> None:
        """Find entries more reliable than the list of a restored store."""
        previous = {
            key: restores.KnownEntry(
                row.number,
                row.document is None or key in self._unusable,
                row.since,
            )
            for key, row in self._entries.items()
        }
        listed = {row.key: row.ver for row in rows}
        now = clock.now()
        self._unsettled.reconcile(previous, listed, version.number, now)
        doubted_count = sum(
            self._unsettled.is_suspect(r.key, r.ver) for r in rows
        )
        _log.info(
            'Compared upstreams with a restored store.',
            era=version.era,
            ver=version.number,
            count=len(rows),
            doubted=doubted_count,
            kept=len(self._unsettled.retained),
        )
        self._restore_seen.set()

    async def run(self) -> None:
        """Accept entries of restored stores once they have settled."""
        while True:
            await self._restore_seen.wait()
            await asyncio.sleep(_SETTLE_INTERVAL_S)
            self.accept_settled()
            if self._unsettled.is_settled:
                self._restore_seen.clear()

    def accept_settled(self) -> None:
        """Accept entries that a restored store has listed for long enough."""
        accepted, lost = self._unsettled.expire(clock.now())
        for key in lost:
            self._apply_removal(key, self._entries[key].number)
        for key in accepted:
            row = self._entries[key]
            if row.document is not None:
                self._apply_entry(stores.Row(key, row.number, row.document))
        if accepted or lost:
            self._on_change()
