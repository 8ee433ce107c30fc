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

"""Tells other gateways which versions began streams, until they confirm it.

A message to another gateway may be lost, and a gateway that restarted has
forgotten what it was told. So each message is numbered and sent again until
its number is acknowledged, and a member whose incarnation has changed is told
everything. Members of older builds don't acknowledge: they are told once.
"""

import collections.abc
import itertools
import typing

from galenahatch.core import versionaffinity
from galenahatch.gateway import affinitymessages
from galenahatch.gateway import frames
from galenahatch import ids

_MAX_ORIGINS_PER_MESSAGE: typing.Final = 256
_ACK_TIMEOUT_S: typing.Final = 0.3
"""Seconds after which a message that was not acknowledged is sent again."""
_MAX_UNACKNOWLEDGED: typing.Final = 8
"""Messages without an acknowledgement beyond which a batch waits: the member
may be gone."""

Keys = collections.abc.Iterable[ids.StreamKey]


class Peers(typing.Protocol):
    """The part of the mesh that is needed here."""

    def candidates(self) -> tuple[ids.MemberId, ...]:
        """Return the other members that heartbeats go to."""

    def incarnation(self, name: ids.MemberId) -> int:
        """Return the incarnation of a member; 0 if it is unknown."""

    def knows(self, name: ids.MemberId, level: int) -> bool:
        """Return whether a member knows messages up to a level."""

    def send(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
        """Send a message to a member."""


class OwnerPeers(Peers, typing.Protocol):
    """The part of the mesh that tells who the owner is, and answers."""

    def reply(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
        """Send a message to a member that has sent one."""

    def owned_seconds(self) -> float | None:
        """Return for how long this gateway has been the owner."""


class _Sent(typing.NamedTuple):
    """A message that was not acknowledged yet; monotonic seconds."""

    keys: tuple[ids.StreamKey, ...]
    sent_at: float


class _Recipient:
    """What one process of another gateway has not confirmed.

    Attributes:
        incarnation: Incarnation of the process.
        untold: Keys to send, in the order of a dictionary.
        sent: Messages without an acknowledgement, by number.
    """

    def __init__(self, incarnation: int, untold: Keys) -> None:
        self.incarnation = incarnation
        self.untold = dict.fromkeys(untold)
        self.sent: dict[int, _Sent] = {}

    @property
    def takes_batch(self) -> bool:
        """Whether a batch is due and may be sent."""
        return bool(self.untold) and len(self.sent) < _MAX_UNACKNOWLEDGED

    def requeue_lost(self, now: float) -> None:
        """Queue the keys of messages that were not acknowledged in time."""
        for number, sent in list(self.sent.items()):
            if now - sent.sent_at > _ACK_TIMEOUT_S:
                del self.sent[number]
                self.untold |= dict.fromkeys(sent.keys)


class OriginExchange:
    """Sends the origins of streams to the owner and its successor.

    Args:
        origins: Versions that began streams.
        peers: The other gateways.
    """

    def __init__(self, origins: versionaffinity.Origins, peers: Peers) -> None:
        self._origins = origins
        self._peers = peers
        self._recipients: dict[ids.MemberId, _Recipient] = {}
        self._numbers = itertools.count(1)

    def tell(self, keys: Keys, now: float) -> None:
        """Send the origins of some streams at once."""
        self._update_recipients()
        for name, recipient in self._recipients.items():
            self._send(name, recipient, tuple(keys), now)

    def tell_all(self, now: float) -> bool:
        """Send a batch of what has not been sent or acknowledged.

        Returns:
            Whether further batches follow.
        """
        self._update_recipients()
        for name, recipient in self._recipients.items():
            recipient.requeue_lost(now)
            if not recipient.takes_batch:
                continue
            batch = tuple(
                itertools.islice(recipient.untold, _MAX_ORIGINS_PER_MESSAGE)
            )
            for key in batch:
                del recipient.untold[key]
            self._send(name, recipient, batch, now)
        return any(r.takes_batch for r in self._recipients.values())

    def reset(self) -> None:
        """Forget what was told; everything is told again later."""
        self._recipients.clear()

    def acknowledge(self, name: ids.MemberId, number: int) -> None:
        """Record that a member has received a message."""
        recipient = self._recipients.get(name)
        if recipient is not None:
            recipient.sent.pop(number, None)

    def _update_recipients(self) -> None:
        """Find the owner and its successor, if their builds keep records."""
        incarnations = {
            name: self._peers.incarnation(name)
            for name in self._peers.candidates()
            if self._peers.knows(name, affinitymessages.VERSIONS_LEVEL)
        }
        for name, recipient in list(self._recipients.items()):
            if incarnations.get(name) != recipient.incarnation:
                del self._recipients[name]
        for name, incarnation in incarnations.items():
            if name not in self._recipients:
                self._recipients[name] = _Recipient(
                    incarnation, self._origins.keys()
                )

    def _send(
        self,
        name: ids.MemberId,
        recipient: _Recipient,
        keys: tuple[ids.StreamKey, ...],
        now: float,
    ) -> None:
        found = ((key, self._origins.get(key)) for key in keys)
        origins = tuple(
            affinitymessages.StreamOrigin(
                key, origin.version, origin.expires_at - now
            )
            for key, origin in found
            if origin is not None and origin.expires_at > now
        )
        if not origins:
            return
        number = 0
        if self._peers.knows(name, affinitymessages.MESSAGE_LEVEL):
            number = next(self._numbers)
            recipient.sent[number] = _Sent(keys, now)
        message = affinitymessages.StreamOrigins(origins, number)
        self._peers.send(name, message)
