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

"""What a gateway knows of the deployment: configuration and upstreams.

Both stand in the platform's store. A feed of each table brings changes as
they are made; when the store has dropped the history that a feed needs, the
table is read again. When this VM alone can't reach the store, peers tell
what they know (`take_news`).

A configuration is only ever replaced by one with a higher version, from
wherever it comes, so no delayed answer brings an older one back, nor does a
store that comes back from an older copy. Upstreams are known up to a version
of the store (`core/versions`); what is older changes nothing, whatever its
number, and the first list of a new era replaces that of the one before.
"""

import collections.abc
import typing
import zlib

from galenahatch import clock
from galenahatch.core import incarnations
from galenahatch.core import routes
from galenahatch.core import upstreams
from galenahatch.core import versions
from galenahatch import errors
from galenahatch.gateway import follower as followers
from galenahatch.gateway import messages
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import documents
from galenahatch.platform import store as stores
from galenahatch import tasks

_HEARD_SLACK: typing.Final = 1.0
_log = logs.Log('directory')


class Directory:
    """Configuration and upstreams in force on this VM.

    Args:
        store: the platform's store.
        background: where its tasks run.
        drain: seconds after which an upstream that is gone may get nothing.
    """

    def __init__(
        self,
        store: stores.Store,
        background: tasks.Tasks,
        drain: float,
    ) -> None:
        self._tasks = background
        self._listeners: list[collections.abc.Callable[[], None]] = []
        self._document = b''
        # Row of each upstream with the number of its version in the newest
        # era; no document once it is gone.
        self._rows: dict[str, tuple[int, bytes | None]] = {}
        self.config: routes.Configuration | None = None
        self.table = routes.RouteTable(())
        self.registry = upstreams.Registry(drain)
        self._unusable: dict[str, str] = {}
        self._starts: list[
            collections.abc.Callable[[ids.UpstreamId], None]
        ] = []
        self.upstreams_version = versions.NEVER
        # Version of the first reading of the newest era: what was gone
        # before is not known.
        self._knows_since = versions.NEVER
        self.fed_by_peers: collections.abc.Callable[[], bool] = lambda: False
        self.outage = followers.Outage()
        self._config_feed = followers.Follower(
            store,
            self.outage,
            documents.CONFIG_TABLE,
            self._take_config,
            self._take_config,
            idle=lambda: self.ready and self.fed_by_peers(),
        )
        self._upstream_feed = followers.Follower(
            store,
            self.outage,
            documents.UPSTREAM_TABLE,
            self._take_upstreams,
            self._take_changes,
            idle=lambda: self.ready and self.fed_by_peers(),
        )

    @property
    def ready(self) -> bool:
        """Whether requests can be routed."""
        return (
            self.config is not None
            and self.upstreams_version != versions.NEVER
        )

    @property
    def config_version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self.config.version if self.config is not None else 0

    def run(self) -> None:
        """Start to follow the store."""
        self._tasks.keep('config feed', self._config_feed.run)
        self._tasks.keep('upstream feed', self._upstream_feed.run)

    @property
    def hears_store(self) -> bool:
        """Whether the store has told the newest changes just now."""
        heard_at = min(
            self._config_feed.heard_at, self._upstream_feed.heard_at
        )
        return clock.now() - heard_at < followers.FEED_WAIT + _HEARD_SLACK

    def on_change(self, listener: collections.abc.Callable[[], None]) -> None:
        """Call a function after each change."""
        self._listeners.append(listener)

    def on_start(
        self, listener: collections.abc.Callable[[ids.UpstreamId], None]
    ) -> None:
        """Call a function with each start that follows another one."""
        self._starts.append(listener)

    def restarted(
        self,
        upstream: ids.UpstreamId,
        born: int,
        stage: upstreams.Stage | None,
    ) -> upstreams.Upstream | None:
        """Take from an upstream itself when it started.

        Returns:
            The later start, if it is one that takes work.
        """
        later = self.registry.restarted(upstream, born, stage, clock.now())
        if later is not None:
            self._note_start(later.id, upstream, 'report')
            self._changed()
        return later

    def told_leaving(self, upstream: ids.UpstreamId) -> bool:
        """Take that an upstream said so itself; return whether it is news."""
        if not self.registry.told_leaving(upstream, clock.now()):
            return False
        self._changed()
        return True

    def service(self, name: ids.ServiceName) -> routes.Service | None:
        """Return a service of the configuration in force."""
        if self.config is None:
            return None
        return self.config.services.get(name)

    # News of peers.

    def news(self, ask: messages.Ask) -> messages.News | None:
        """Return what is newer here than at a peer, if anything is.

        A gateway that started after the peer does not know what has gone in
        between; it tells all rows, and the peer drops what is not among them.
        """
        config = b''
        if self.config_version > ask.config:
            config = zlib.compress(self._document)
        asked, known = messages.upstreams_version(ask), self.upstreams_version
        is_whole = asked < self._knows_since
        after = -1 if is_whole else ask.upstreams
        rows: tuple[messages.NewsRow, ...] = ()
        if known > asked:
            rows = tuple(
                messages.NewsRow(key, ver, document or b'')
                for key, (ver, document) in self._rows.items()
                if ver > after
            )
        if not config and known <= asked:
            return None
        return messages.News(
            config, ask.upstreams, known.number, rows, is_whole, known.era
        )

    def take_news(self, news: messages.News) -> None:
        """Take what a peer knows, if it is newer."""
        if news.config:
            self._take_compressed(news.config)
        version = messages.upstreams_version(news)
        if version <= self.upstreams_version:
            return
        rows = [
            stores.Row(row.key, row.ver, row.document, not row.document)
            for row in news.rows
        ]
        after = versions.Version(news.era, news.after)
        if news.is_whole:
            current = [row for row in rows if not row.removed]
            self._take_upstreams(current, version)
        elif after <= self.upstreams_version:
            self._take_changes(rows, version)

    def _take_compressed(self, config: bytes) -> None:
        try:
            document = zlib.decompress(config)
        except zlib.error as error:
            _log.error('Bad news kept out.', detail=str(error))
            return
        self._take_document(document, 'peer')

    # News of the store.

    def _take_config(
        self, rows: list[stores.Row], version: versions.Version
    ) -> None:
        for row in rows:
            if row.key == documents.CONFIG_KEY and not row.removed:
                self._take_document(row.value, 'store')

    def _take_document(self, document: bytes, source: str) -> None:
        config = documents.configuration(document)
        if isinstance(config, errors.Failure):
            _log.error(
                'Bad configuration kept out.',
                source=source,
                detail=config.detail,
                in_force=self.config_version,
            )
            return
        if config.version <= self.config_version:
            return
        self._document = document
        self.config = config
        self.table = routes.RouteTable(config.routes)
        _log.info(
            'Configuration in force.',
            version=config.version,
            routes=len(config.routes),
            source=source,
        )
        self._changed()

    def _take_upstreams(
        self, rows: list[stores.Row], version: versions.Version
    ) -> None:
        if not self._advance(rows, version):
            return
        current = {row.key for row in rows}
        for key in self._rows:
            if key not in current:
                self._rows[key] = (version.number, None)
        self._rows.update((row.key, (row.ver, row.value)) for row in rows)
        found = [entry for row in rows if (entry := self._usable(row))]
        before = {
            entry.id: self.registry.latest(incarnations.instance(entry.id))
            for entry in found
        }
        self.registry.replace(found, clock.now())
        for key, earlier in before.items():
            self._note_start(key, earlier, 'store')
        _log.info(
            'Upstreams read.',
            count=len(found),
            era=version.era,
            ver=version.number,
        )
        self._changed()

    def _take_changes(
        self, rows: list[stores.Row], version: versions.Version
    ) -> None:
        if not self._advance(rows, version):
            return
        for row in rows:
            number = row.ver or version.number
            if number < self._rows.get(row.key, (0, None))[0]:
                continue
            if row.removed:
                self._take_removal(row.key, number)
            else:
                self._rows[row.key] = (row.ver, row.value)
                self._take_entry(row)
        self._changed()

    def _advance(
        self, rows: list[stores.Row], version: versions.Version
    ) -> bool:
        """Move on to a version, unless a later one is known."""
        known = self.upstreams_version
        if version < known:
            _log.warning(
                'Older news of upstreams dropped.',
                rows=len(rows),
                era=version.era,
                ver=version.number,
                known_era=known.era,
                known=known.number,
            )
            return False
        if known == versions.NEVER or version.era != known.era:
            self._knows_since = version
        self.upstreams_version = version
        return True

    def _take_removal(self, key: str, number: int) -> None:
        self._rows[key] = (number, None)
        self._unusable.pop(key, None)
        if self.registry.remove(ids.InstanceId(key), clock.now()):
            _log.info('Upstream gone.', upstream=key, ver=number)

    def _take_entry(self, row: stores.Row) -> None:
        entry = self._usable(row)
        if entry is None:
            return
        earlier = self.registry.latest(ids.InstanceId(row.key))
        if not self.registry.put(entry, clock.now()):
            return
        self._note_start(entry.id, earlier, 'store')
        _log.info(
            'Upstream changed.',
            upstream=entry.id,
            service=entry.service,
            address=entry.address,
            leaving=entry.leaving,
            stage=entry.stage.value if entry.stage else '',
            ver=row.ver,
        )

    def _usable(self, row: stores.Row) -> upstreams.Upstream | None:
        """Return the upstream that an entry names, if it can be used."""
        entry = documents.upstream(row.key, row.value)
        if not isinstance(entry, errors.Failure):
            self._unusable.pop(row.key, None)
            return entry
        if self._unusable.get(row.key) != entry.detail:
            self._unusable[row.key] = entry.detail
            _log.error('Bad upstream entry.', detail=entry.detail)
        if self.registry.withdraw(ids.InstanceId(row.key), clock.now()):
            _log.warning('Upstream withdrawn.', upstream=row.key, ver=row.ver)
        return None

    def _note_start(
        self,
        upstream: ids.UpstreamId,
        earlier: ids.UpstreamId | None,
        source: str,
    ) -> None:
        """Tell that an upstream has started again, if it has."""
        if earlier is None or not incarnations.is_later(upstream, earlier):
            return
        _log.info(
            'Upstream started again.',
            upstream=upstream,
            before=earlier,
            source=source,
        )
        for listener in self._starts:
            listener(upstream)

    def _changed(self) -> None:
        for listener in self._listeners:
            listener()
