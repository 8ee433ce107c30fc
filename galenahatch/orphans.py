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

"""The task that cancels the streams of entries that are gone.

Streams that entries report are kept by entry. When an entry falls silent,
a second scheduler is asked whether it has heard it; if it has not either,
or the VM list no longer has the VM, or there is no second scheduler, the
entry's streams are cancelled on their engines and its places freed.
"""

import collections.abc
import typing

from galenahatch import cancelling
from galenahatch import clock
from galenahatch.core import watch
from galenahatch import ids
from galenahatch import logs
from galenahatch import messages
from galenahatch import peers as peers_module

LOOK: typing.Final = 0.25
_ALONE_FACTOR: typing.Final = 2
_log = logs.Log('orphans')


class Orphans:
    """Watched streams and their entries.

    Args:
        peers: membership, and links to other schedulers.
        canceller: frees streams.
        forget: called with each entry that is taken for gone.
    """

    def __init__(
        self,
        peers: peers_module.Peers,
        canceller: cancelling.Canceller,
        forget: collections.abc.Callable[[ids.MemberId], None],
    ) -> None:
        self._peers = peers
        self._canceller = canceller
        self._forget = forget
        self._watch = watch.Watch()

    @property
    def count(self) -> int:
        """Streams that are watched."""
        return self._watch.count()

    def take(
        self, message: messages.Watch | messages.Unwatch | messages.HeldReport
    ) -> None:
        """Take an entry's word on its streams."""
        if isinstance(message, messages.Watch):
            held = (message.held,)
            orphans = self._watch.add(message.entry, message.incarnation, held)
            self._cancel(message.entry, orphans, 'restarted')
        elif isinstance(message, messages.HeldReport):
            orphans = self._watch.replace(message)
            self._cancel(message.entry, orphans, 'restarted')
        else:
            self._watch.remove(message.entry, message.stream)

    def placed(self, entry: ids.MemberId, held: messages.Held) -> None:
        """Watch an attempt that this scheduler placed itself."""
        incarnation = self._peers.membership.incarnation_of(entry)
        if incarnation is not None:
            self._watch.add(entry, incarnation, (held,))

    def ended(self, stream: ids.StreamId) -> None:
        """Forget an attempt whose entry released it."""
        self._watch.forget(stream)

    def heard(self, heartbeat: messages.Heartbeat) -> None:
        """Take a heartbeat."""
        orphans = self._watch.heard(heartbeat.member, heartbeat.incarnation)
        self._cancel(heartbeat.member, orphans, 'restarted')

    def answered(self, reply: messages.AliveReply) -> None:
        """Take a second scheduler's word on an entry."""
        now = clock.now()
        limit = self._peers.membership.silence
        mine = self._peers.membership.silence_of(reply.member, now)
        if mine <= limit:
            return
        if reply.silence < 0 or reply.silence > limit:
            self._gone(reply.member, 'confirmed')

    async def look(self) -> None:
        """Look for silent entries."""
        now = clock.now()
        membership = self._peers.membership
        silent = membership.silent(now)
        for entry in self._watch.to_confirm(silent, now):
            if membership.delisted(entry):
                self._gone(entry, 'delisted')
                continue
            if self._ask(entry):
                continue
            alone_for = membership.silence * _ALONE_FACTOR
            if membership.silence_of(entry, now) > alone_for:
                self._gone(entry, 'silent')

    def _ask(self, entry: ids.MemberId) -> bool:
        """Ask every other live scheduler; False when there is none."""
        asked = False
        for member in self._peers.schedulers():
            if member != self._peers.member:
                query = messages.AliveQuery(entry)
                asked = self._peers.send(member, query) or asked
        return asked

    def _gone(self, entry: ids.MemberId, why: str) -> None:
        orphans = self._watch.confirm(entry)
        _log.warning(
            'Entry is gone.', entry=entry, why=why, streams=len(orphans)
        )
        self._cancel(entry, orphans, 'entry_gone')
        self._forget(entry)

    def _cancel(
        self, entry: ids.MemberId, orphans: list[messages.Held], cause: str
    ) -> None:
        for held in orphans:
            self._canceller.cancel(
                held.stream,
                (held.prefill, held.decode),
                cause,
                _nothing,
            )


def _nothing() -> None:
    """Do nothing: the places of a gone entry are freed at once."""
