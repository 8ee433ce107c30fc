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

They are known up to a version of the store (`core/versions`): what is older
changes nothing, whatever its number, and the first list of a new era replaces
that of the one before, but for what is known better (`core/restores`). News
come from the store or from peers, which tell what they know in the same form.
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
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import documents
from galenahatch.platform import store as stores

HEARTBEAT_INTERVAL_S: typing.Final = 1.2
"""Seconds between two writes of an entry where nobody says."""
_SETTLE_INTERVAL_S: typing.Final = 0.25
_log = logs.Log('directory')

ChangeCallback = collections.abc.Callable[[], None]
RestartCallback = collections.abc.Callable[[ids.UpstreamId], None]


class _KnownEntry(typing.NamedTuple):
    """An entry as the store has it.

    Attributes:
        number: of the version of its last change, in the newest era.
        document: None once it is gone.
        since: number at which it appeared; 0 if that was not seen.
    """

    number: int = 0
    document: bytes | None = None
    since: int = 0


class Entries:
    """Upstreams as their entries tell.

    Args:
        drain: seconds after which an upstream that is gone may get nothing.
        heartbeat: seconds between two writes of an entry.
        changed: called after each change.

    Attributes:
        registry: the upstreams.
        on_start: called with each start that follows another one.
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
        # Version of the first list of the newest era: what was gone before
        # is not known.
        self._complete_since = versions.OLDEST
        self._unsettled = restores.RestoreReconciler(heartbeat)
        self._restore_seen = asyncio.Event()

    @property
    def version(self) -> versions.Version:
        """Version of the store up to which entries are known."""
        return self._version

    # News of peers.

    def update_for(
        self, ask: messages.UpdateRequest, config: bytes
    ) -> messages.Update | None:
        """Return what is newer here than at a peer, if anything is.

        A gateway that started after the peer does not know what has gone in
        between; it tells all rows, and the peer drops what is not among them.
        So does one that has heard of a restore since.

        Args:
            ask: of the peer.
            config: to be told besides; empty if it needs none.
        """
        asked = messages.upstreams_version(ask)
        if not config and self._version <= asked:
            return None
        is_whole = asked < self._complete_since
        after = -1 if is_whole else ask.upstreams_version
        rows: tuple[messages.UpdateRow, ...] = ()
        if self._version > asked:
            rows = tuple(
                messages.UpdateRow(key, row.number, row.document or b'')
                for key, row in self._entries.items()
                if row.number > after
            )
        return messages.Update(
            config,
            ask.upstreams_version,
            self._version.number,
            rows,
            is_whole,
            self._version.era,
        )

    def apply_update(self, news: messages.Update) -> None:
        """Take what a peer knows, if it is newer."""
        version = messages.upstreams_version(news)
        if version <= self._version:
            return
        rows = [
            stores.Row(row.key, row.version, row.document, not row.document)
            for row in news.rows
        ]
        after = versions.Version(news.era, news.after)
        if news.is_complete:
            current = [row for row in rows if not row.removed]
            self.replace_all(current, version)
        elif after <= self._version:
            self.apply_changes(rows, version)

    # News of the store.

    def replace_all(
        self, rows: list[stores.Row], version: versions.Version
    ) -> None:
        """Take the whole list, as of a version."""
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
        believed = [
            row
            for row in rows
            if not self._unsettled.is_suspect(row.key, row.ver)
        ]
        for row in believed:
            self._unsettled.record_change(row.key)
        found = [
            entry for row in believed if (entry := self._decode_usable(row))
        ]
        before = {
            entry.id: self.registry.latest_start(
                incarnations.instance_id(entry.id)
            )
            for entry in found
        }
        self.registry.replace_all(found, clock.now(), self._unsettled.retained)
        for key, earlier in before.items():
            self.report_restart(key, earlier, 'store')
        _log.info(
            'Upstreams read.',
            count=len(found),
            era=version.era,
            ver=version.number,
        )
        self._on_change()

    def apply_changes(
        self, rows: list[stores.Row], version: versions.Version
    ) -> None:
        """Take entries that have changed up to a version."""
        if not self._advance(rows, version):
            return
        for row in rows:
            number = row.ver or version.number
            known = self._entries.get(row.key, _KnownEntry())
            if number < known.number:
                continue
            self._unsettled.record_change(row.key)
            if row.removed:
                self._apply_removal(row.key, number)
            else:
                since = known.since if known.document is not None else row.ver
                self._entries[row.key] = _KnownEntry(row.ver, row.value, since)
                self._apply_entry(row)
        self._on_change()

    def _advance(
        self, rows: list[stores.Row], version: versions.Version
    ) -> bool:
        """Move on to a version, unless a later one is known."""
        known = self._version
        if version < known:
            _log.info(
                'Older news of upstreams dropped.',
                rows=len(rows),
                era=version.era,
                ver=version.number,
                known_era=known.era,
                known=known.number,
            )
            return False
        if known == versions.OLDEST or version.era != known.era:
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
        earlier = self.registry.latest_start(ids.InstanceId(row.key))
        if not self.registry.register(entry, clock.now()):
            return
        self.report_restart(entry.id, earlier, 'store')
        _log.info(
            'Upstream changed.',
            upstream=entry.id,
            service=entry.service,
            address=entry.address,
            leaving=entry.leaving,
            stage=entry.stage.value if entry.stage else '',
            ver=row.ver,
        )

    def _decode_usable(self, row: stores.Row) -> upstreams.Upstream | None:
        """Return the upstream that an entry names, if it can be used."""
        entry = documents.upstream(row.key, row.value)
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
        earlier: ids.UpstreamId | None,
        source: str,
    ) -> None:
        """Tell that an upstream has started again, if it has."""
        if earlier is None or not incarnations.is_later_start(
            upstream, earlier
        ):
            return
        _log.info(
            'Upstream started again.',
            upstream=upstream,
            before=earlier,
            source=source,
        )
        self.on_restart(upstream)

    # What a restore leaves unsettled.

    def _compare_with_restored(
        self, rows: list[stores.Row], version: versions.Version
    ) -> None:
        """Find what is known better than the list of a restored store."""
        known = {
            key: restores.KnownEntry(
                row.number,
                row.document is None or key in self._unusable,
                row.since,
            )
            for key, row in self._entries.items()
        }
        listed = {row.key: row.ver for row in rows}
        now = clock.now()
        self._unsettled.reconcile(known, listed, version.number, now)
        doubted = sum(self._unsettled.is_suspect(r.key, r.ver) for r in rows)
        _log.info(
            'Upstreams of a restored store.',
            era=version.era,
            ver=version.number,
            count=len(rows),
            doubted=doubted,
            kept=len(self._unsettled.retained),
        )
        self._restore_seen.set()

    async def run(self) -> None:
        """Believe what restored stores list, each time when it is due."""
        while True:
            await self._restore_seen.wait()
            await asyncio.sleep(_SETTLE_INTERVAL_S)
            self.accept_settled()
            if self._unsettled.is_settled:
                self._restore_seen.clear()

    def accept_settled(self) -> None:
        """Believe what a restored store has listed for long enough."""
        believed, lost = self._unsettled.expire(clock.now())
        for key in lost:
            self._apply_removal(key, self._entries[key].number)
        for key in believed:
            row = self._entries[key]
            if row.document is not None:
                self._apply_entry(stores.Row(key, row.number, row.document))
        if believed or lost:
            self._on_change()
