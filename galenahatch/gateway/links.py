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

"""Connections to other gateways, by member.

A gateway connects to the members that it asks, and replies to those that ask
it on their connections. Messages of a newer level than a member has stated
are never sent to it (`callmessages`).
"""

import collections.abc

from galenahatch import bus
from galenahatch.core import members as members_module
from galenahatch.gateway import callmessages
from galenahatch.gateway import frames
from galenahatch import ids
from galenahatch import logs

CODEC = bus.Codec[frames.AnyMessage](frames.encode, frames.decode)
_log = logs.Log('mesh')
LinkHandler = collections.abc.Callable[[ids.MemberId, frames.AnyMessage], None]
HubHandler = collections.abc.Callable[[bus.Peer, frames.AnyMessage], None]


class Links:
    """Connections to and from other gateways.

    Args:
        endpoint: `tcp://ip:port` for connections of other gateways.
        members: Members, with their addresses.
        on_hub: Called with each message on another gateway's connection.
        on_link: Called with each message on a connection of this gateway.
    """

    def __init__(
        self,
        endpoint: str,
        members: members_module.Members,
        on_hub: HubHandler,
        on_link: LinkHandler,
    ) -> None:
        self._members = members
        self._on_link = on_link
        self._links: dict[
            ids.MemberId, bus.Link[frames.AnyMessage] | None
        ] = {}
        self._peers: dict[ids.MemberId, bus.Peer] = {}
        self._member_ids: dict[bus.Peer, ids.MemberId] = {}
        self._levels: dict[ids.MemberId, int] = {}
        self._hub = bus.Hub(endpoint, CODEC, on_hub)

    @property
    def peers(self) -> list[ids.MemberId]:
        """Members that have connected to this one."""
        return list(self._peers)

    def record_level(self, name: ids.MemberId, level: int) -> None:
        """Record the level of messages that a member states."""
        self._levels[name] = level

    def knows(self, name: ids.MemberId, level: int) -> bool:
        """Return whether a member knows messages up to a level."""
        return self._levels.get(name, 0) >= level

    def record_peer(self, name: ids.MemberId, peer: bus.Peer) -> None:
        """Record the connection on which replies reach a member."""
        old_peer = self._peers.get(name)
        if old_peer != peer:
            if old_peer is not None:
                self._member_ids.pop(old_peer, None)
            self._peers[name] = peer
            self._member_ids[peer] = name

    def member(self, peer: bus.Peer) -> ids.MemberId | None:
        """Return the member that has a connection; None if it is unknown."""
        return self._member_ids.get(peer)

    def send(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
        """Send a message, which is lost if the member is unreachable."""
        if name in self._members.by_name and self._may_send(name, message):
            link = self._link(name)
            if link is not None:
                link.send(message)

    def reply(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
        """Send a message to a member that has sent one."""
        peer = self._peers.get(name)
        if peer is not None and self._may_send(name, message):
            self._hub.send(peer, message)

    def close_link(self, name: ids.MemberId) -> None:
        """Close the connection to a member that was removed."""
        self._levels.pop(name, None)
        link = self._links.pop(name, None)
        if link is not None:
            link.close()

    def close(self) -> None:
        """Close all sockets."""
        self._hub.close()
        for link in self._links.values():
            if link is not None:
                link.close()

    def _may_send(
        self, name: ids.MemberId, message: frames.AnyMessage
    ) -> bool:
        return not isinstance(
            message, callmessages.AnyCallMessage
        ) or self.knows(name, callmessages.MESSAGE_LEVEL)

    def _link(self, name: ids.MemberId) -> bus.Link[frames.AnyMessage] | None:
        """Return the link to a member; None if its address is invalid."""
        if name not in self._links:
            self._links[name] = self._connect(name)
        return self._links[name]

    def _connect(
        self, name: ids.MemberId
    ) -> bus.Link[frames.AnyMessage] | None:
        member = self._members.by_name[name]
        try:
            return bus.Link(
                bus.endpoint(member.address, member.port),
                CODEC,
                lambda message: self._on_link(name, message),
            )
        except ValueError as error:
            _log.error(
                'Invalid member address.', member=name, error=str(error)
            )
            return None
