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

"""Gateways find each other, and agree well enough on who decides.

Each gateway writes one row at its start. The store numbers its writes, so
the rows have an order that all see alike: who has been there longest comes
first. The owner is the first member of that order that answers. Two
gateways may disagree for a moment; engines then refuse what is too much,
before they start it, and no promise rests on agreement.

Beats go to the members at the front of the order only, until two of them
answer. So each gateway has a few connections, however many there are.
"""

import asyncio
import collections.abc
import dataclasses
import typing

import msgspec

from galenahatch import bus
from galenahatch import clock
from galenahatch import errors
from galenahatch.gateway import directory as directories
from galenahatch.gateway import instruments
from galenahatch.gateway import messages
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import store as stores
from galenahatch import tasks

MEMBER_TABLE: typing.Final = 'gateways'
BEAT_EVERY: typing.Final = 0.25
"""Seconds between beats."""
_SILENT_AFTER: typing.Final = 0.8
"""Seconds without a word after which a member counts as away: three beats."""
_CANDIDATES: typing.Final = 2
"""Members that each gateway keeps in touch with: the owner, and the next,
which takes over with what the beats told it."""
_FORGET_AFTER: typing.Final = 20.0
"""Seconds of silence after which the owner removes a member's row; longer
than any restart."""
_SMALL: typing.Final = 8
"""Members up to which each follows the store by itself: the calls of so few
cost less than a beat's delay in hearing of a change."""
_MEMBERS_GATHER: typing.Final = 1.0
"""Seconds between two looks at changed members; all write at once when a
deployment starts."""
_BEAT_SLOWER: typing.Final = 40
"""Members from which on the beat slows down, so that what the owner spends
on beats stays the same."""
_WRITE_PAUSE: typing.Final = 0.5
_log = logs.Log('mesh')

CODEC: typing.Final = bus.Codec[messages.AnyMessage](
    messages.encode, messages.decode
)
Handler = collections.abc.Callable[[ids.MemberId, messages.AnyMessage], None]


class _Introduction(msgspec.Struct, frozen=True):
    """A member's row."""

    port: int
    data_centre: str


@dataclasses.dataclass
class _Member:
    address: str
    port: int
    order: int
    heard_at: float = -1e9
    silent_since: float = 0.0
    leaving: bool = False
    hears_store: bool = False
    link: bus.Link[messages.AnyMessage] | None = None


class Mesh:
    """The members, and the connections to those that matter.

    Args:
        store: the platform's store.
        address: of this VM.
        port: where this gateway listens for others.
        data_centre: of this VM.
        directory: what this gateway knows.
        handler: called with each message and the member that sent it.
        background: where its tasks run.
    """

    def __init__(
        self,
        store: stores.Store,
        address: str,
        port: int,
        data_centre: ids.DataCentre,
        directory: directories.Directory,
        handler: Handler,
        background: tasks.Tasks,
    ) -> None:
        self._store = store
        self._port = port
        self._data_centre = data_centre
        self._directory = directory
        self._handler = handler
        self._tasks = background
        self._incarnation = clock.incarnation()
        self._members: dict[ids.MemberId, _Member] = {}
        self._peers: dict[ids.MemberId, bus.Peer] = {}
        self._owner = ids.MemberId('')
        self.me = ids.MemberId(address)
        self.leaving = False
        self.held: collections.abc.Callable[[], tuple[messages.Held, ...]] = (
            tuple
        )
        self.figures: collections.abc.Callable[
            [], tuple[messages.Figures, ...]
        ] = tuple
        self._hub = bus.Hub(f'tcp://{address}:{port}', CODEC, self._from_hub)
        self._feed = directories.Follower(
            store,
            MEMBER_TABLE,
            self._take_all,
            self._take_some,
            gather=_MEMBERS_GATHER,
            idle=self._fed_by_peers,
        )
        self._told_size = 1
        directory.fed_by_peers = self._fed_by_peers

    @property
    def size(self) -> int:
        """Members with a row, this one included."""
        return max(1, len(self._members), self._told_size)

    def run(self) -> None:
        """Join, and start to talk."""
        self._tasks.keep('join', self._join)
        self._tasks.keep('member feed', self._feed.run)
        self._tasks.keep('beats', self._beats)

    def close(self) -> None:
        """Close all sockets."""
        self._hub.close()
        for member in self._members.values():
            if member.link is not None:
                member.link.close()

    def _fed_by_peers(self) -> bool:
        """Return whether others follow the store for this gateway.

        Those first in the order read the store; all others hear from them,
        with each beat, what is new, as long as one of them hears the store.
        """
        now = clock.now()
        first = self._ordered()[:_CANDIDATES]
        if self.me in first or len(self._members) <= _SMALL:
            return False
        return any(
            self._is_live(self._members[name], now)
            and self._members[name].hears_store
            for name in first
        )

    # Who decides.

    def owner(self) -> ids.MemberId:
        """Return the first member that answers; this one in the end."""
        now = clock.now()
        for name in self._ordered():
            if name == self.me:
                if not self.leaving:
                    return self._chosen(name)
            elif self._is_live(self._members[name], now):
                return self._chosen(name)
        return self._chosen(self.me)

    def is_live(self, name: ids.MemberId) -> bool:
        """Return whether a member answers."""
        if name == self.me:
            return True
        member = self._members.get(name)
        return member is not None and self._is_live(member, clock.now())

    def suspect(self, name: ids.MemberId) -> None:
        """Count a member as away until it is heard again."""
        member = self._members.get(name)
        if member is not None:
            member.heard_at = -1e9
            _log.warning('Member suspected.', member=name)

    def send(self, name: ids.MemberId, message: messages.AnyMessage) -> None:
        """Send a message; lost if the member is away."""
        member = self._members.get(name)
        if member is not None:
            self._link(name, member).send(message)

    def reply(self, name: ids.MemberId, message: messages.AnyMessage) -> None:
        """Send a message to a member that has sent one."""
        peer = self._peers.get(name)
        if peer is not None:
            self._hub.send(peer, message)

    def _chosen(self, name: ids.MemberId) -> ids.MemberId:
        if name != self._owner:
            instruments.owner_changes.add(1)
            _log.info('Owner changed.', owner=name, before=self._owner)
            self._owner = name
        return name

    def _ordered(self) -> list[ids.MemberId]:
        return sorted(self._members, key=lambda m: self._members[m].order)

    def _is_live(self, member: _Member, now: float) -> bool:
        slower = max(1.0, self.size / _BEAT_SLOWER)
        silence = now - member.heard_at
        return not member.leaving and silence < _SILENT_AFTER * slower

    # The rows of members.

    async def _join(self) -> None:
        """Write this member's row; done once it is acknowledged."""
        row = _Introduction(self._port, self._data_centre)
        value = msgspec.json.encode(row)
        entry = stores.Entry(MEMBER_TABLE, self.me, value=value)
        while True:
            written = await self._store.transact(put=[entry])
            if isinstance(written, stores.Written):
                _log.info('Joined.', member=self.me, order=written.ver)
                await asyncio.Event().wait()
            detail = (
                written.detail
                if isinstance(written, errors.Failure)
                else 'conflict'
            )
            _log.warning('Could not join yet.', detail=detail)
            await asyncio.sleep(_WRITE_PAUSE)

    def _take_all(self, rows: list[stores.Row], ver: int) -> None:
        current = {row.key for row in rows}
        for name in list(self._members):
            if name not in current:
                self._drop(name)
        self._take_some(rows, ver)

    def _take_some(self, rows: list[stores.Row], ver: int) -> None:
        for row in rows:
            name = ids.MemberId(row.key)
            if row.removed:
                self._drop(name)
                continue
            try:
                told = msgspec.json.decode(row.value, type=_Introduction)
            except msgspec.MsgspecError as error:
                _log.error('Bad member row.', member=name, error=str(error))
                continue
            member = self._members.get(name)
            if member is None:
                self._members[name] = _Member(
                    name, told.port, row.ver, silent_since=clock.now()
                )
                _log.info('Member found.', member=name, order=row.ver)
            else:
                member.order = row.ver
                member.leaving = False

    def _drop(self, name: ids.MemberId) -> None:
        member = self._members.pop(name, None)
        if member is not None:
            if member.link is not None:
                member.link.close()
            _log.info('Member gone.', member=name)

    # Beats.

    async def _beats(self) -> None:
        while True:
            self._beat()
            await self._tidy()
            slower = max(1.0, self.size / _BEAT_SLOWER)
            await asyncio.sleep(BEAT_EVERY * slower)

    def _beat(self) -> None:
        now = clock.now()
        message = messages.Beat(
            self.me,
            self._incarnation,
            self._directory.config_version,
            self._directory.upstreams_ver,
            self.leaving,
            self.held(),
        )
        live = 0
        for name in self._ordered():
            if live >= _CANDIDATES:
                break
            member = self._members[name]
            live += name == self.me or self._is_live(member, now)
            if name != self.me:
                self._link(name, member).send(message)

    async def _tidy(self) -> None:
        """Remove the row of a member that is long gone."""
        if self._owner != self.me:
            return
        now = clock.now()
        for name, member in self._members.items():
            since = max(member.heard_at, member.silent_since)
            if name == self.me or now - since < _FORGET_AFTER:
                continue
            member.silent_since = now
            row = stores.Entry(MEMBER_TABLE, name, ver=member.order)
            gone = stores.Entry(MEMBER_TABLE, name)
            result = await self._store.transact([row], remove=[gone])
            _log.info(
                'Row of a silent member removed.',
                member=name,
                done=isinstance(result, stores.Written),
            )
            return

    def _link(
        self, name: ids.MemberId, member: _Member
    ) -> bus.Link[messages.AnyMessage]:
        if member.link is None:
            member.link = bus.Link(
                f'tcp://{member.address}:{member.port}',
                CODEC,
                lambda message: self._from_link(name, message),
            )
        return member.link

    # Messages that come in.

    def _from_hub(self, peer: bus.Peer, message: messages.AnyMessage) -> None:
        if isinstance(message, messages.Beat):
            self._peers[message.member] = peer
            self._heard(message.member, message.leaving)
            self.reply(
                message.member,
                messages.BeatBack(
                    self.me,
                    self._incarnation,
                    self._directory.config_version,
                    self._directory.upstreams_ver,
                    self.leaving,
                    self._directory.hears_store,
                    self.size,
                    self.figures(),
                ),
            )
            self._compare(message)
            self._handler(message.member, message)
            return
        for name, known in self._peers.items():
            if known == peer:
                self._take(name, message, self.reply)
                return

    def _from_link(
        self, name: ids.MemberId, message: messages.AnyMessage
    ) -> None:
        if isinstance(message, messages.BeatBack):
            self._heard(name, message.leaving)
            self._told_size = message.members
            if name in self._members:
                self._members[name].hears_store = message.hears_store
            self._compare(message)
            self._handler(name, message)
            return
        self._take(name, message, self.send)

    def _take(
        self,
        name: ids.MemberId,
        message: messages.AnyMessage,
        answer: collections.abc.Callable[
            [ids.MemberId, messages.AnyMessage], None
        ],
    ) -> None:
        self._heard(name, None)
        if isinstance(message, messages.Ask):
            news = self._directory.news(message)
            if news is not None:
                answer(name, news)
        elif isinstance(message, messages.News):
            self._directory.take_news(message)
        else:
            self._handler(name, message)

    def _heard(self, name: ids.MemberId, leaving: bool | None) -> None:
        member = self._members.get(name)
        if member is None:
            return
        member.heard_at = clock.now()
        if leaving is not None:
            member.leaving = leaving

    def _compare(self, beat: messages.Beat | messages.BeatBack) -> None:
        """Ask for what a member knows and this one does not."""
        known = self._directory
        if (
            beat.config <= known.config_version
            and beat.upstreams <= known.upstreams_ver
        ):
            return
        ask = messages.Ask(known.config_version, known.upstreams_ver)
        if isinstance(beat, messages.Beat):
            self.reply(beat.member, ask)
        else:
            self.send(beat.member, ask)
