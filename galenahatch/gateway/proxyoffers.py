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
"""Proxies that this gateway may use, and those that it offers as the owner.

Each gateway states in its row in the store on which port it proxies. The owner
knows in addition which of them answer and are not partitioned themselves.
"""

import collections.abc
import contextlib
import typing

from galenahatch import clock
from galenahatch.core import members as members_module
from galenahatch.core import proxies as proxies_module
from galenahatch.core import reachability
from galenahatch.gateway import mesh as meshes
from galenahatch.gateway import proxymessages
from galenahatch import ids
from galenahatch import logs

_LIST_AGE_S: typing.Final = 0.25
"""Age up to which the owner's list of candidates is used: many gateways may
ask at the same time."""
_log = logs.Log('paths')


class ProxyOffers:
    """Proxies for this gateway, and for those that ask it.

    Args:
        paths: Paths of this gateway.
        data_centre: Data centre of this gateway.

    Attributes:
        on_partition: Called with a gateway that asks, and whether it is
            partitioned from all upstreams.
    """

    def __init__(
        self, paths: reachability.Reachability, data_centre: ids.DataCentre
    ) -> None:
        self._paths = paths
        self._data_centre = data_centre
        self._proxies = proxies_module.Proxies(clock.RANDOM)
        self._mesh: meshes.Mesh | None = None
        self._listed: list[proxies_module.Proxy] = []
        self._listed_at = -_LIST_AGE_S
        self.on_partition: collections.abc.Callable[
            [ids.MemberId, bool], None
        ] = lambda member, is_partitioned: None

    def start(self, mesh: meshes.Mesh) -> None:
        """Connect to the other gateways."""
        self._mesh = mesh

    def choose(
        self,
        upstream: ids.UpstreamId,
        tried: collections.abc.Container[ids.MemberId] = (),
    ) -> proxies_module.Proxy | None:
        """Return a proxy for a request.

        The owner is asked for more only while a path is lost: an upstream that
        failed needs a proxy once.
        """
        mesh = self._mesh
        if mesh is None:
            return None
        now = clock.now()
        if self._paths.needs_probes and self._proxies.should_query(
            now, mesh.members.heartbeat_slowdown
        ):
            self._query(mesh, now)
        return self._proxies.choose(
            lambda: self._known(mesh), upstream, tried, now
        )

    @contextlib.contextmanager
    def in_flight(
        self, proxy: proxies_module.Proxy
    ) -> collections.abc.Iterator[None]:
        """Count a request at a proxy while the context is entered."""
        self._proxies.begin(proxy.member)
        try:
            yield
        finally:
            self._proxies.end(proxy.member)

    def leave_out(
        self,
        proxy: proxies_module.Proxy,
        why: str,
        upstream: ids.UpstreamId = ids.UpstreamId(''),
    ) -> None:
        """Leave out a proxy for a while, for one upstream if it is named."""
        _log.info(
            'Proxy left out.', member=proxy.member, upstream=upstream, why=why
        )
        self._proxies.leave_out(proxy.member, clock.now(), upstream)

    def readmit(self, proxy: proxies_module.Proxy) -> None:
        """Use a proxy that has passed on an upstream's answer."""
        self._proxies.readmit(proxy.member)

    def handle_message(
        self, member: ids.MemberId, message: proxymessages.AnyProxyMessage
    ) -> None:
        """Handle a query, or the reply to one."""
        assert self._mesh is not None
        now = clock.now()
        if isinstance(message, proxymessages.ProxyQuery):
            self._mesh.members.record_partition(member, message.is_partitioned)
            self.on_partition(member, message.is_partitioned)
            offered = proxies_module.offer(
                self._candidates(self._mesh, now), member, message.data_centre
            )
            names = tuple(proxy.member for proxy in offered)
            self._mesh.reply(member, proxymessages.ProxyOffer(names))
        else:
            known = self._mesh.members.by_name
            offered = [
                _proxy(name, known[name])
                for name in message.members
                if name in known
            ]
            self._proxies.record_offer(offered, now)

    def _query(self, mesh: meshes.Mesh, now: float) -> None:
        owner = mesh.owner()
        if owner == mesh.me:
            offered = proxies_module.offer(
                self._candidates(mesh, now), mesh.me, self._data_centre
            )
            self._proxies.record_offer(offered, now)
        elif mesh.knows(owner, proxymessages.MESSAGE_LEVEL):
            query = proxymessages.ProxyQuery(
                mesh.me, self._data_centre, self._paths.is_partitioned
            )
            mesh.send(owner, query)

    def _candidates(
        self, mesh: meshes.Mesh, now: float
    ) -> list[proxies_module.Proxy]:
        """Return the members that can proxy, as known a moment ago."""
        if now - self._listed_at > _LIST_AGE_S:
            self._listed_at = now
            self._listed = [
                _proxy(name, member)
                for name, member in mesh.members.by_name.items()
                if member.proxy_port
                and not member.is_partitioned
                and (name != mesh.me or not self._paths.is_partitioned)
                and mesh.is_live(name)
            ]
        return self._listed

    def _known(self, mesh: meshes.Mesh) -> list[proxies_module.Proxy]:
        """Return all members that may proxy, whether they answer or not.

        Members that this gateway hears are not preferred: those are the same
        two for all gateways.
        """
        return [
            _proxy(name, member)
            for name, member in mesh.members.by_name.items()
            if name != mesh.me
            and member.proxy_port
            and not member.leaving
            and not member.is_partitioned
        ]


def _proxy(
    name: ids.MemberId, member: members_module.Member
) -> proxies_module.Proxy:
    return proxies_module.Proxy(
        name,
        f'{member.address}:{member.proxy_port}',
        ids.DataCentre(member.data_centre),
    )
