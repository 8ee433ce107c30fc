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

"""How an accepted configuration reaches a daemon.

Every daemon reads the head from the table now and then; a revision seen in
a peer's heartbeat is fetched from that peer at once, and also while the
stores are down. Only higher revisions are taken, from either source.
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
Asker = collections.abc.Callable[[ids.MemberId, messages.ConfigRequest], bool]


class Distribution:
    """Follows the configuration on one daemon.

    Attributes:
        in_force: what the daemon works with.

    Args:
        options: settings.
        tables: client of the table.
        stored: client of the object store.
        owner: runs the tasks.
    """

    def __init__(
        self,
        options: options_module.Options,
        tables: table.Table,
        stored: objects.Objects,
        owner: tasks.Tasks,
    ) -> None:
        self._options = options
        self._table = tables
        self._objects = stored
        self._owner = owner
        self.in_force = revision_module.ActiveConfiguration()
        self._listeners: list[Listener] = []
        self._ask: Asker | None = None

    @property
    def revision(self) -> ids.Revision:
        """Number of the configuration in force; 0 before the first."""
        return self.in_force.revision

    @property
    def sites(self) -> dict[str, schema.Config]:
        """Merged configuration by site."""
        return self.in_force.sites

    def mine(self) -> schema.Config | None:
        """Return the configuration of this daemon's site."""
        return self.in_force.config_of(self._options.data_centre)

    def region_of(self, centre: ids.DataCentre) -> ids.RegionName | None:
        """Return the region of a data centre; None if not known."""
        site = self.in_force.site_of(centre)
        return site.region if site else None

    def site(self) -> schema.Site | None:
        """Return the site of this daemon."""
        return self.in_force.site_of(self._options.data_centre)

    def engine(self, name: ids.EngineName) -> schema.Engine | None:
        """Return an engine of any site."""
        return self.in_force.engine(name)

    def body(self, above: ids.Revision) -> messages.ConfigBody | None:
        """Return the configuration for a peer that has less."""
        accepted = self.in_force.accepted
        if accepted is None or accepted.head.revision <= above:
            return None
        return messages.ConfigBody(
            accepted.head.revision, revision_module.encode(accepted)
        )

    def draining(self) -> tuple[str, ...]:
        """Return the upstreams that operators drained."""
        accepted = self.in_force.accepted
        return accepted.bundle.draining if accepted else ()

    def listen(self, listener: Listener) -> None:
        """Call a function after each change."""
        self._listeners.append(listener)

    def ask_with(self, ask: Asker) -> None:
        """Set how a peer is asked for its configuration."""
        self._ask = ask

    def run(self) -> None:
        """Start the task that reads the table."""
        poll = self._options.config_poll
        self._owner.run_forever(
            'config', lambda: tasks.run_periodically(lambda: poll, self._read)
        )

    def hint(self, member: ids.MemberId, seen: ids.Revision) -> None:
        """Take a revision seen in a heartbeat."""
        if seen <= self.revision or self._ask is None:
            return
        self._ask(member, messages.ConfigRequest(self.revision))

    def offered(self, message: messages.ConfigBody) -> None:
        """Take a peer's configuration."""
        accepted = revision_module.decode_accepted(message.body)
        if isinstance(accepted, errors.Failure):
            _log.warning('Configuration dropped.', detail=accepted.detail)
            return
        self._owner.run_once(self._take(accepted, 'peer'))

    async def _read(self) -> None:
        values = await self._table.read([revision_module.HEAD_KEY])
        if isinstance(values, errors.Failure):
            return
        data = values.get(revision_module.HEAD_KEY)
        if data is None:
            return
        head = revision_module.decode_head(data)
        if isinstance(head, errors.Failure):
            _log.error('Head is malformed.', detail=head.detail)
            return
        if head.revision > self.revision:
            await self._fetch(head)

    async def _fetch(self, head: revision_module.Head) -> None:
        body = await self._objects.get(revision_module.body_key(head.digest))
        if isinstance(body, errors.Failure):
            _log.warning('Body not read.', reason=body.reason.name)
            return
        bundle = revision_module.decode_bundle(body, head.digest)
        if isinstance(bundle, errors.Failure):
            _log.error('Body is malformed.', detail=bundle.detail)
            return
        await self._take(revision_module.Accepted(head, bundle), 'table')

    async def _take(
        self, accepted: revision_module.Accepted, source: str
    ) -> None:
        if accepted.head.revision <= self.revision:
            return
        # Parsing takes long at the planned size; streams go on meanwhile.
        sites = await asyncio.to_thread(config.load, accepted.bundle)
        if not self.in_force.apply_if_newer(accepted, sites):
            return
        _log.info(
            'Configuration in force.',
            revision=accepted.head.revision,
            source=source,
        )
        for listener in self._listeners:
            listener()
