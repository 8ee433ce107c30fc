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

"""The gateway's copy of the configuration and the list of upstreams.

Both are kept in the platform's store. A feed of each table delivers changes
as they are made; when the store no longer has the history that a feed needs,
the whole table is read again. If only this VM can't reach the store, peers
send their copy (`apply_update`).

A configuration is only replaced by one with a higher version, whatever its
source, so neither a delayed answer nor a store restored from an older copy
brings back an older configuration.
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

_log = logs.Log('directory')


class Directory:
    """Configuration and upstreams in force on this VM.

    Args:
        store: The platform's store.
        background: Runner of background tasks.
        drain: Seconds after the removal of an upstream within which requests
            to it must stop.
        heartbeat: Seconds between two writes of an upstream's entry.
        fair_queuing: Whether customers share engines also without explicit
            weights.
        contact: Seconds after a disruption of connections by which changes
            are known again.
    """

    def __init__(
        self,
        store: stores.Store,
        background: tasks.Tasks,
        drain: float,
        heartbeat: float = entries_module.HEARTBEAT_INTERVAL_S,
        fair_queuing: bool = False,
        contact: float = 3.0,
    ) -> None:
        self._contact = contact
        self._fair_queuing = fair_queuing
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
        self.feeds_peers: collections.abc.Callable[[], bool] = lambda: False
        self.outage = followers.Outage()
        self._config_feed = followers.Follower(
            store,
            self.outage,
            documents.CONFIG_TABLE,
            self._apply_config_rows,
            self._apply_config_rows,
            is_idle=lambda: self.ready and self.fed_by_peers(),
            poll_wait=self._poll_wait,
        )
        self._upstream_feed = followers.Follower(
            store,
            self.outage,
            documents.UPSTREAM_TABLE,
            self.entries.replace_all,
            self.entries.apply_changes,
            is_idle=lambda: self.ready and self.fed_by_peers(),
            poll_wait=self._poll_wait,
        )

    def _poll_wait(self) -> float:
        """Return the seconds that a poll of a feed waits for changes."""
        return followers.poll_wait(self._contact, self.feeds_peers())

    @property
    def ready(self) -> bool:
        """Whether requests can be routed."""
        return (
            self.config is not None
            and self.upstreams_version != versions.OLDEST
        )

    @property
    def upstreams_version(self) -> versions.Version:
        """Version of the store as of which upstreams are known."""
        return self.entries.version

    @property
    def config_version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self.config.version if self.config is not None else 0

    def run(self) -> None:
        """Start following the store."""
        self._tasks.run_forever('config feed', self._config_feed.run)
        self._tasks.run_forever('upstream feed', self._upstream_feed.run)
        self._tasks.run_forever('restores', self.entries.run)

    @property
    def upstreams_currency(self) -> followers.Currency:
        """As of when the store's answers tell upstreams."""
        return self._upstream_feed.currency

    @property
    def is_out_of_date(self) -> bool:
        """Whether changes of upstreams may be missed at present."""
        return self._upstream_feed.is_failing and not self.fed_by_peers()

    @property
    def reaches_store(self) -> bool:
        """Whether both feeds have had a recent answer from the store."""
        last_answer_at = min(
            self._config_feed.last_answer_at,
            self._upstream_feed.last_answer_at,
        )
        return clock.now() - last_answer_at < followers.MAX_ANSWER_GAP_S

    def on_change(self, listener: collections.abc.Callable[[], None]) -> None:
        """Register a function that is called after each change."""
        self._change_listeners.append(listener)

    def on_restart(
        self, listener: collections.abc.Callable[[ids.UpstreamId], None]
    ) -> None:
        """Register a function that is called with each restarted upstream."""
        self._restart_listeners.append(listener)

    def record_restart(
        self,
        upstream: ids.UpstreamId,
        born: int,
        stage: upstreams.Stage | None,
    ) -> upstreams.Upstream | None:
        """Record the start time that an upstream itself reports.

        Returns:
            The restarted upstream if it is new and accepts work, else None.
        """
        restarted = self.registry.record_restart(
            upstream, born, stage, clock.now()
        )
        if restarted is not None:
            self.entries.report_restart(restarted.id, upstream, 'report')
            self._notify_change()
        return restarted

    def mark_leaving(self, upstream: ids.UpstreamId) -> bool:
        """Mark an upstream as leaving; return whether that is a change."""
        if not self.registry.mark_leaving(upstream, clock.now()):
            return False
        self._notify_change()
        return True

    @property
    def fair_queuing_weights(
        self,
    ) -> typing.Mapping[ids.CustomerName, float] | None:
        """Weights by which customers share engines; None if they don't."""
        if self.config is None:
            return None
        return self.config.fair_queuing_weights(self._fair_queuing)

    def limits(self) -> routes.Limits:
        """Return the configured limits, or the defaults."""
        return self.config.limits if self.config else routes.Limits()

    def service(self, name: ids.ServiceName) -> routes.Service | None:
        """Return a service of the configuration in force."""
        if self.config is None:
            return None
        return self.config.services.get(name)

    def has_service(self, name: ids.ServiceName) -> bool:
        """Return whether the configuration in force has a service."""
        return self.service(name) is not None

    def update_for(
        self, request: messages.UpdateRequest
    ) -> messages.Update | None:
        """Return the changes that a peer lacks, or None if there are none."""
        config = b''
        if self.config_version > request.config_version:
            config = zlib.compress(self._document)
        return self.entries.update_for(request, config)

    def apply_update(self, update: messages.Update) -> None:
        """Apply an update from a peer if it is newer."""
        if update.config:
            self._apply_compressed(update.config)
        self.entries.apply_update(update)

    def _apply_compressed(self, config: bytes) -> None:
        try:
            document = zlib.decompress(config)
        except zlib.error as error:
            _log.error(
                'Ignored an invalid update from a peer.', detail=str(error)
            )
            return
        self._apply_document(document, 'peer')

    def _apply_config_rows(
        self, rows: list[stores.Row], version: versions.Version
    ) -> None:
        for row in rows:
            if row.key == documents.CONFIG_KEY and not row.removed:
                self._apply_document(row.value, 'store')

    def _apply_document(self, document: bytes, source: str) -> None:
        config = documents.decode_configuration(document)
        if isinstance(config, errors.Failure):
            _log.error(
                'Ignored an invalid configuration.',
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
