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

"""Distribution of accepted configurations to the daemons.

Every daemon polls the head revision in the table. When a peer's heartbeat has
a newer revision, the configuration is requested from that peer at once, which
also works while the stores are down. Only newer revisions are applied.
"""

import asyncio
import collections.abc

from galenahatch import config
from galenahatch.core import revision as revision_module
from galenahatch import errors
from galenahatch import ids
from galenahatch import logs
from galenahatch import messages
from galenahatch import options as options_module
from galenahatch.platform import objects
from galenahatch.platform import table
from galenahatch import schema
from galenahatch import tasks

_log = logs.Log('config')

Listener = collections.abc.Callable[[], None]
Requester = collections.abc.Callable[
    [ids.MemberId, messages.ConfigRequest], bool
]


class Distribution:
    """Keeps the configuration of one daemon up to date.

    Attributes:
        active: configuration that the daemon uses.

    Args:
        options: options of the daemon.
        table_client: client of the table.
        object_store: client of the object store.
        background_tasks: runs the polling task and updates.
    """

    def __init__(
        self,
        options: options_module.Options,
        table_client: table.Table,
        object_store: objects.ObjectStore,
        background_tasks: tasks.Tasks,
    ) -> None:
        self._options = options
        self._table = table_client
        self._objects = object_store
        self._tasks = background_tasks
        self.active = revision_module.ActiveConfiguration()
        self._listeners: list[Listener] = []
        self._request: Requester | None = None

    @property
    def revision(self) -> ids.Revision:
        """Revision of the active configuration; 0 before the first."""
        return self.active.revision

    @property
    def sites(self) -> dict[str, schema.Config]:
        """Merged configurations by site name."""
        return self.active.sites

    def own_config(self) -> schema.Config | None:
        """Return the configuration of this daemon's site."""
        return self.active.config_of(self._options.data_centre)

    def region_of(self, data_centre: ids.DataCentre) -> ids.RegionName | None:
        """Return the region of a data centre; None if it is unknown."""
        site = self.active.site_of(data_centre)
        return site.region if site else None

    def site(self) -> schema.Site | None:
        """Return the site of this daemon."""
        return self.active.site_of(self._options.data_centre)

    def engine(self, name: ids.EngineName) -> schema.Engine | None:
        """Return the engine of that name in any site."""
        return self.active.engine(name)

    def config_newer_than(
        self, revision: ids.Revision
    ) -> messages.ConfigBody | None:
        """Return the active configuration if it is newer, else None."""
        accepted = self.active.accepted
        if accepted is None or accepted.head.revision <= revision:
            return None
        return messages.ConfigBody(
            accepted.head.revision, revision_module.encode(accepted)
        )

    def drained_upstreams(self) -> tuple[str, ...]:
        """Return the upstreams that operators are draining."""
        accepted = self.active.accepted
        return accepted.bundle.draining if accepted else ()

    def on_change(self, listener: Listener) -> None:
        """Register a callback for each applied configuration."""
        self._listeners.append(listener)

    def set_requester(self, request: Requester) -> None:
        """Set the function that requests a peer's configuration."""
        self._request = request

    def start(self) -> None:
        """Start the task that polls the table."""
        poll = self._options.config_poll
        self._tasks.run_forever(
            'config',
            lambda: tasks.run_periodically(lambda: poll, self._poll_table),
        )

    def record_peer_revision(
        self, member: ids.MemberId, revision: ids.Revision
    ) -> None:
        """Request a peer's configuration if its revision is newer."""
        if revision <= self.revision or self._request is None:
            return
        self._request(member, messages.ConfigRequest(self.revision))

    def apply_peer_config(self, message: messages.ConfigBody) -> None:
        """Apply a configuration received from a peer."""
        accepted = revision_module.decode_accepted(message.body)
        if isinstance(accepted, errors.Failure):
            _log.warning(
                'Malformed configuration from a peer rejected.',
                detail=accepted.detail,
            )
            return
        self._tasks.run_once(self._apply(accepted, 'peer'))

    async def _poll_table(self) -> None:
        values = await self._table.read([revision_module.HEAD_KEY])
        if isinstance(values, errors.Failure):
            return
        data = values.get(revision_module.HEAD_KEY)
        if data is None:
            return
        head = revision_module.decode_head(data)
        if isinstance(head, errors.Failure):
            _log.error('Configuration head is malformed.', detail=head.detail)
            return
        if head.revision > self.revision:
            await self._fetch_body(head)

    async def _fetch_body(self, head: revision_module.Head) -> None:
        body = await self._objects.get(revision_module.body_key(head.digest))
        if isinstance(body, errors.Failure):
            _log.warning(
                'Configuration body could not be read.',
                reason=body.reason.name,
            )
            return
        bundle = revision_module.decode_bundle(body, head.digest)
        if isinstance(bundle, errors.Failure):
            _log.error(
                'Configuration body is malformed.', detail=bundle.detail
            )
            return
        await self._apply(revision_module.Accepted(head, bundle), 'table')

    async def _apply(
        self, accepted: revision_module.Accepted, source: str
    ) -> None:
        if accepted.head.revision <= self.revision:
            return
        # A large configuration takes long to parse; a thread keeps the event
        # loop free for streams.
        sites = await asyncio.to_thread(config.load, accepted.bundle)
        if not self.active.apply_if_newer(accepted, sites):
            return
        _log.info(
            'Configuration in force.',
            revision=accepted.head.revision,
            source=source,
        )
        for listener in self._listeners:
            listener()
