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
store that comes back from an older copy.
"""

import collections.abc
import typing
import zlib

from galenahatch import clock
from galenahatch.core import routes
from galenahatch.core import upstreams
from galenahatch.core import versions
from galenahatch import errors
from galenahatch.gateway import entries as entries_module
from galenahatch.gateway import follower as followers
from galenahatch.gateway import messages
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import documents
from galenahatch.platform import store as stores
from galenahatch import tasks

_ANSWER_SLACK_S: typing.Final = 1.0
_log = logs.Log('directory')


class Directory:
    """Configuration and upstreams in force on this VM.

    Args:
        store: the platform's store.
        background: where its tasks run.
        drain: seconds after which an upstream that is gone may get nothing.
        heartbeat: seconds between two writes of an upstream's entry.
    """

    def __init__(
        self,
        store: stores.Store,
        background: tasks.Tasks,
        drain: float,
        heartbeat: float = entries_module.HEARTBEAT_INTERVAL_S,
    ) -> None:
        self._tasks = background
        self._change_listeners: list[collections.abc.Callable[[], None]] = []
        self._document = b''
        self.config: routes.Configuration | None = None
        self.route_table = routes.RouteTable(())
        self.entries = entries_module.Entries(
            drain, heartbeat, self._notify_change
        )
        self.entries.on_restart = self._notify_restart
        self.registry = self.entries.registry
        self._restart_listeners: list[
            collections.abc.Callable[[ids.UpstreamId], None]
        ] = []
        self.fed_by_peers: collections.abc.Callable[[], bool] = lambda: False
        self.outage = followers.Outage()
        self._config_feed = followers.Follower(
            store,
            self.outage,
            documents.CONFIG_TABLE,
            self._apply_config_rows,
            self._apply_config_rows,
            is_idle=lambda: self.ready and self.fed_by_peers(),
        )
        self._upstream_feed = followers.Follower(
            store,
            self.outage,
            documents.UPSTREAM_TABLE,
            self.entries.replace_all,
            self.entries.apply_changes,
            is_idle=lambda: self.ready and self.fed_by_peers(),
        )

    @property
    def ready(self) -> bool:
        """Whether requests can be routed."""
        return (
            self.config is not None
            and self.upstreams_version != versions.OLDEST
        )

    @property
    def upstreams_version(self) -> versions.Version:
        """Version of the store up to which upstreams are known."""
        return self.entries.version

    @property
    def config_version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self.config.version if self.config is not None else 0

    def run(self) -> None:
        """Start to follow the store."""
        self._tasks.keep('config feed', self._config_feed.run)
        self._tasks.keep('upstream feed', self._upstream_feed.run)
        self._tasks.keep('restores', self.entries.run)

    @property
    def reaches_store(self) -> bool:
        """Whether the store has told the newest changes just now."""
        heard_at = min(
            self._config_feed.last_answer_at,
            self._upstream_feed.last_answer_at,
        )
        return clock.now() - heard_at < followers.LONG_POLL_S + _ANSWER_SLACK_S

    def on_change(self, listener: collections.abc.Callable[[], None]) -> None:
        """Call a function after each change."""
        self._change_listeners.append(listener)

    def on_restart(
        self, listener: collections.abc.Callable[[ids.UpstreamId], None]
    ) -> None:
        """Call a function with each start that follows another one."""
        self._restart_listeners.append(listener)

    def record_restart(
        self,
        upstream: ids.UpstreamId,
        born: int,
        stage: upstreams.Stage | None,
    ) -> upstreams.Upstream | None:
        """Take from an upstream itself when it started.

        Returns:
            The later start, if it is one that takes work.
        """
        later = self.registry.record_restart(
            upstream, born, stage, clock.now()
        )
        if later is not None:
            self.entries.report_restart(later.id, upstream, 'report')
            self._notify_change()
        return later

    def mark_leaving(self, upstream: ids.UpstreamId) -> bool:
        """Take that an upstream said so itself; return whether it is news."""
        if not self.registry.mark_leaving(upstream, clock.now()):
            return False
        self._notify_change()
        return True

    def service(self, name: ids.ServiceName) -> routes.Service | None:
        """Return a service of the configuration in force."""
        if self.config is None:
            return None
        return self.config.services.get(name)

    # News of peers.

    def update_for(
        self, ask: messages.UpdateRequest
    ) -> messages.Update | None:
        """Return what is newer here than at a peer, if anything is."""
        config = b''
        if self.config_version > ask.config_version:
            config = zlib.compress(self._document)
        return self.entries.update_for(ask, config)

    def apply_update(self, news: messages.Update) -> None:
        """Take what a peer knows, if it is newer."""
        if news.config:
            self._apply_compressed(news.config)
        self.entries.apply_update(news)

    def _apply_compressed(self, config: bytes) -> None:
        try:
            document = zlib.decompress(config)
        except zlib.error as error:
            _log.error('Bad news kept out.', detail=str(error))
            return
        self._apply_document(document, 'peer')

    # News of the store.

    def _apply_config_rows(
        self, rows: list[stores.Row], version: versions.Version
    ) -> None:
        for row in rows:
            if row.key == documents.CONFIG_KEY and not row.removed:
                self._apply_document(row.value, 'store')

    def _apply_document(self, document: bytes, source: str) -> None:
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
        self.route_table = routes.RouteTable(config.routes)
        _log.info(
            'Configuration in force.',
            version=config.version,
            routes=len(config.routes),
            source=source,
        )
        self._notify_change()

    def _notify_restart(self, upstream: ids.UpstreamId) -> None:
        for listener in self._restart_listeners:
            listener(upstream)

    def _notify_change(self) -> None:
        for listener in self._change_listeners:
            listener()
