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
"""Lost paths and proxying as one component of the gateway, with life cycle."""

import collections.abc

from galenahatch.core import reachability
from galenahatch.gateway import connections
from galenahatch.gateway import directory as directories
from galenahatch.gateway import failover
from galenahatch.gateway import flowcontrol
from galenahatch.gateway import mesh as meshes
from galenahatch.gateway import notices as notices_module
from galenahatch.gateway import owner as owners
from galenahatch.gateway import proxyoffers
from galenahatch.gateway import proxyserver
from galenahatch.gateway import sender as senders
from galenahatch.gateway import settings as settings_module
from galenahatch import ids
from galenahatch import logs
from galenahatch import tasks

_log = logs.Log('proxy')


class Proxying:
    """Sends through other gateways, and for other gateways.

    Args:
        settings: Settings of this process.
        direct: Sender of direct sends.
        flow: Flow control of this process; None if bytes are not counted.
        is_overloaded: Returns whether this VM has no capacity to spare.
        background: Runner of background tasks.

    Attributes:
        sender: Sender that uses other gateways where paths are lost.
        offers: Proxies for this gateway, and for those that ask it.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        direct: senders.Sender,
        flow: flowcontrol.FlowControl | None,
        is_overloaded: collections.abc.Callable[[], bool],
        background: tasks.Tasks,
    ) -> None:
        self._settings = settings
        self._direct = direct
        self._flow = flow
        self._is_overloaded = is_overloaded
        self._tasks = background
        self._paths = reachability.Reachability()
        self.offers = proxyoffers.ProxyOffers(
            self._paths, settings.data_centre
        )
        self.sender = failover.FailoverSender(
            direct, self._paths, self.offers, background
        )

    async def start(
        self,
        mesh: meshes.Mesh,
        directory: directories.Directory,
        notices: notices_module.Notices,
        owner: owners.Owner,
    ) -> None:
        """Connect to the other components and listen."""
        self.offers.start(mesh)
        self.offers.on_partition = owner.record_partition
        self.sender.known = lambda: directory.registry.upstreams
        mesh.is_partitioned = lambda: self.sender.is_partitioned
        self.sender.on_partition = lambda is_partitioned: (
            owner.record_partition(mesh.me, is_partitioned)
        )
        self._proxy = proxyserver.RequestProxy(
            self._direct,
            directory,
            self._paths,
            notices,
            self._flow,
            lambda address: ids.MemberId(address) in mesh.members.by_name,
            self._is_overloaded,
        )
        self._server = connections.Server(
            self._proxy.handle,
            directory.limits,
            flowcontrol.paces_callers(self._flow),
            self._direct.meter,
        )
        address = settings_module.Address(
            self._settings.address, self._settings.proxy_port
        )
        try:
            await self._server.listen(address)
        except OSError as error:
            # Callers of this gateway are served all the same.
            _log.error('Cannot proxy for others.', error=str(error))
        self._tasks.run_forever('paths', self.sender.run)

    @property
    def in_flight(self) -> int:
        """Number of proxied requests in progress."""
        return self._proxy.in_flight

    def drain(self) -> None:
        """Decline new requests of other gateways."""
        self._proxy.is_draining = True

    async def stop(self, timeout: float) -> None:
        """Close all connections of other gateways.

        Args:
            timeout: Seconds for requests in progress to handle their abort.
        """
        self._server.stop_listening()
        await self._server.shutdown(timeout)
