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

"""Task that cancels the streams of entries that are gone.

Entries report their streams. When an entry goes silent, the other schedulers
are queried. If one of them has not heard from it either, the VM list no longer
has its VM, or no scheduler confirms it for a longer timeout, the entry's
streams are cancelled on their engines and its reservations are released.
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

CHECK_INTERVAL_S: typing.Final = 0.25
_UNCONFIRMED_FACTOR: typing.Final = 2
"""Multiplies the silence timeout while no other scheduler confirms that an
entry is gone; applied twice when others were queried."""
_log = logs.Log('orphans')


class OrphanCanceller:
    """Watches streams by entry and cancels those of entries that are gone.

    Args:
        peers: membership, and links to other schedulers.
        canceller: cancels streams on engines.
        on_entry_gone: callback for each entry that is considered gone.
    """

    def __init__(
        self,
        peers: peers_module.Peers,
        canceller: cancelling.Canceller,
        on_entry_gone: collections.abc.Callable[[ids.MemberId], None],
    ) -> None:
        self._peers = peers
        self._canceller = canceller
        self._on_entry_gone = on_entry_gone
        self._watch = watch.StreamWatch()
        # Time at which another scheduler last confirmed an entry.
        self._confirmed_alive_at: dict[ids.MemberId, float] = {}

    @property
    def count(self) -> int:
        """Number of watched streams."""
        return self._watch.count()

    def handle_message(
        self, message: messages.Watch | messages.Unwatch | messages.HeldReport
    ) -> None:
        """Handle an entry's message about its streams."""
        if isinstance(message, messages.Watch):
            held = (message.attempt,)
            orphans = self._watch.add(message.entry, message.incarnation, held)
            self._cancel(message.entry, orphans, 'restarted')
        elif isinstance(message, messages.HeldReport):
            orphans = self._watch.apply_report(message)
            self._cancel(message.entry, orphans, 'restarted')
        else:
            self._watch.remove(message.entry, message.stream)

    def record_placement(
        self, entry: ids.MemberId, held: messages.Held
    ) -> None:
        """Watch an attempt that this scheduler placed."""
        incarnation = self._peers.membership.incarnation_of(entry)
        if incarnation is not None:
            self._watch.add(entry, incarnation, (held,))

    def remove_stream(self, stream: ids.StreamId) -> None:
        """Stop watching an attempt that its entry released."""
        self._watch.remove_stream(stream)

    def record_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Record a heartbeat; cancel streams of an earlier incarnation."""
        orphans = self._watch.record_heartbeat(
            heartbeat.member, heartbeat.incarnation
        )
        self._cancel(heartbeat.member, orphans, 'restarted')

    def record_reply(self, reply: messages.AliveReply) -> None:
        """Handle another scheduler's reply about an entry."""
        now = clock.now()
        limit = self._peers.membership.silence_timeout
        own_silence = self._peers.membership.silence_duration(
            reply.member, now
        )
        if 0 <= reply.silence <= limit:
            self._confirmed_alive_at[reply.member] = now
        # A scheduler that never heard from the entry may have just started.
        elif reply.silence > limit and own_silence > limit:
            if not self._is_confirmed_alive(reply.member, now):
                self._cancel_entry(reply.member, 'confirmed')

    async def check(self) -> None:
        """Check for silent entries."""
        self.check_at(clock.now())

    def check_at(self, now: float) -> None:
        """Check for silent entries at a given time.

        Args:
            now: monotonic time in seconds.
        """
        membership = self._peers.membership
        silent = membership.silent_members(now)
        for entry in self._watch.entries_to_confirm(silent, now):
            if membership.is_delisted(entry):
                self._cancel_entry(entry, 'delisted')
                continue
            silence_limit = membership.silence_timeout * _UNCONFIRMED_FACTOR
            if self._query_schedulers(entry):
                silence_limit *= _UNCONFIRMED_FACTOR
            if self._is_confirmed_alive(entry, now):
                continue
            if membership.silence_duration(entry, now) > silence_limit:
                self._cancel_entry(entry, 'silent')

    def _is_confirmed_alive(self, entry: ids.MemberId, now: float) -> bool:
        """Return whether another scheduler recently heard from an entry."""
        confirmed_at = self._confirmed_alive_at.get(entry)
        return (
            confirmed_at is not None
            and now - confirmed_at <= self._peers.membership.silence_timeout
        )

    def _query_schedulers(self, entry: ids.MemberId) -> bool:
        """Query all other live schedulers; return whether any was sent."""
        was_sent = False
        for member in self._peers.schedulers():
            if member != self._peers.member:
                query = messages.AliveQuery(entry)
                was_sent = self._peers.send(member, query) or was_sent
        return was_sent

    def _cancel_entry(self, entry: ids.MemberId, why: str) -> None:
        orphans = self._watch.confirm_gone(entry)
        self._confirmed_alive_at.pop(entry, None)
        _log.warning(
            'Entry is gone; cancelling its streams.',
            entry=entry,
            why=why,
            streams=len(orphans),
        )
        self._cancel(entry, orphans, 'entry_gone')
        self._on_entry_gone(entry)

    def _cancel(
        self, entry: ids.MemberId, orphans: list[messages.Held], cause: str
    ) -> None:
        for held in orphans:
            self._canceller.cancel(
                held.stream,
                (held.prefill, held.decode),
                cause,
                _do_nothing,
            )


def _do_nothing() -> None:
    """Do nothing: a gone entry's reservations are released at once."""
