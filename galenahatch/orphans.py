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
the other schedulers are asked whether they hear it; if one has not either,
or the VM list no longer has the VM, or nobody can tell for long, the
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
        self._watch = watch.StreamWatch()
        # When a second scheduler last said that it hears an entry.
        self._vouched: dict[ids.MemberId, float] = {}

    @property
    def count(self) -> int:
        """Streams that are watched."""
        return self._watch.count()

    def take(
        self, message: messages.Watch | messages.Unwatch | messages.HeldReport
    ) -> None:
        """Take an entry's word on its streams."""
        if isinstance(message, messages.Watch):
            held = (message.attempt,)
            orphans = self._watch.add(message.entry, message.incarnation, held)
            self._cancel(message.entry, orphans, 'restarted')
        elif isinstance(message, messages.HeldReport):
            orphans = self._watch.apply_report(message)
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
        self._watch.remove_stream(stream)

    def heard(self, heartbeat: messages.Heartbeat) -> None:
        """Take a heartbeat."""
        orphans = self._watch.record_heartbeat(
            heartbeat.member, heartbeat.incarnation
        )
        self._cancel(heartbeat.member, orphans, 'restarted')

    def answered(self, reply: messages.AliveReply) -> None:
        """Take a second scheduler's word on an entry."""
        now = clock.now()
        limit = self._peers.membership.silence_timeout
        mine = self._peers.membership.silence_duration(reply.member, now)
        if 0 <= reply.silence <= limit:
            self._vouched[reply.member] = now
        # Who has never heard the entry may have just started.
        elif reply.silence > limit and mine > limit:
            if not self._is_vouched(reply.member, now):
                self._gone(reply.member, 'confirmed')

    async def look(self) -> None:
        """Look for silent entries."""
        self.look_now(clock.now())

    def look_now(self, now: float) -> None:
        """Look for silent entries.

        Args:
            now: monotonic seconds.
        """
        membership = self._peers.membership
        silent = membership.silent_members(now)
        for entry in self._watch.entries_to_confirm(silent, now):
            if membership.is_delisted(entry):
                self._gone(entry, 'delisted')
                continue
            patience = membership.silence_timeout * _ALONE_FACTOR
            if self._ask(entry):
                patience *= _ALONE_FACTOR
            if self._is_vouched(entry, now):
                continue
            if membership.silence_duration(entry, now) > patience:
                self._gone(entry, 'silent')

    def _is_vouched(self, entry: ids.MemberId, now: float) -> bool:
        """Return whether another scheduler lately heard an entry."""
        at = self._vouched.get(entry)
        return (
            at is not None
            and now - at <= self._peers.membership.silence_timeout
        )

    def _ask(self, entry: ids.MemberId) -> bool:
        """Ask every other live scheduler; False when there is none."""
        asked = False
        for member in self._peers.schedulers():
            if member != self._peers.member:
                query = messages.AliveQuery(entry)
                asked = self._peers.send(member, query) or asked
        return asked

    def _gone(self, entry: ids.MemberId, why: str) -> None:
        orphans = self._watch.confirm_gone(entry)
        self._vouched.pop(entry, None)
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
