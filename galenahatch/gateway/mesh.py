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
import typing

import msgspec

from galenahatch import bus
from galenahatch import clock
from galenahatch.core import members
from galenahatch import errors
from galenahatch.gateway import directory as directories
from galenahatch.gateway import instruments
from galenahatch.gateway import messages
from galenahatch.gateway import outcomes
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import store as stores
from galenahatch import tasks

MEMBER_TABLE: typing.Final = 'gateways'
BEAT_EVERY: typing.Final = 0.25
"""Seconds between beats."""
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
_ASK_EVERY: typing.Final = 0.6
"""Seconds between two questions for news. A configuration of 350 routes
takes a slow link that long for all members; asked for with each beat, it
filled the owner's queue until nobody heard it any more."""
_WRITE_PAUSE: typing.Final = 0.5
_log = logs.Log('mesh')

CODEC: typing.Final = bus.Codec[messages.AnyMessage](
    messages.encode, messages.decode
)
Handler = collections.abc.Callable[[ids.MemberId, messages.AnyMessage], None]


class Introduction(msgspec.Struct, frozen=True):
    """A member's row."""

    port: int
    data_centre: str


def introduction(row: stores.Row) -> Introduction | None:
    """Return what a member's row tells; None if it can't be read."""
    try:
        return msgspec.json.decode(row.value, type=Introduction)
    except msgspec.MsgspecError as error:
        _log.error('Bad member row.', member=row.key, error=str(error))
        return None


class Mesh:
    """The members, and the connections to those that matter.

    Args:
        store: the platform's store.
        address: of this VM.
        port: where this gateway listens for others.
        data_centre: of this VM.
        directory: what this gateway knows.
        exchange: what sends to plain upstreams came to.
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
        exchange: outcomes.Exchange,
        handler: Handler,
        background: tasks.Tasks,
    ) -> None:
        self._store = store
        self._port = port
        self._data_centre = data_centre
        self._directory = directory
        self._exchange = exchange
        self._handler = handler
        self._tasks = background
        self._incarnation = clock.incarnation()
        self._members = members.Members(ids.MemberId(address))
        self._links: dict[ids.MemberId, bus.Link[messages.AnyMessage]] = {}
        self._peers: dict[ids.MemberId, bus.Peer] = {}
        self._names: dict[bus.Peer, ids.MemberId] = {}
        self._asked_at = -1e9
        self._owner = ids.MemberId('')
        self._newest_told = 0
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
            idle=self._is_told_all,
        )
        directory.fed_by_peers = self._fed_by_peers

    @property
    def size(self) -> int:
        """Members with a row, this one included."""
        return self._members.size

    def run(self) -> None:
        """Join, and start to talk."""
        self._tasks.keep('join', self._join)
        self._tasks.keep('member feed', self._feed.run)
        self._tasks.keep('beats', self._beats)

    def close(self) -> None:
        """Close all sockets."""
        self._hub.close()
        for link in self._links.values():
            link.close()

    def _fed_by_peers(self) -> bool:
        """Return whether others follow the store for this gateway.

        Those first in the order read the store; all others hear from them,
        with each beat, what is new, as long as one of them hears the store.
        """
        now = clock.now()
        first = self._members.ordered()[:_CANDIDATES]
        if self.me in first or len(self._members.known) <= _SMALL:
            return False
        return any(
            self._members.is_live(name, now)
            and self._members.known[name].hears_store
            for name in first
        )

    def _is_told_all(self) -> bool:
        """Return whether the rows of members need not be read.

        When many restart at once, a gateway reads some rows of before. Those
        members tell that they have newer ones; the rest is read then. Without
        it, 80 gateways asked six owners for four seconds after a loss of
        power, and these filled the same engines.
        """
        return self._fed_by_peers() and self._feed.ver >= self._newest_told

    # Who decides.

    def owner(self) -> ids.MemberId:
        """Return the first member that answers; this one in the end."""
        return self._chosen(self._members.owner(self.leaving, clock.now()))

    def is_live(self, name: ids.MemberId) -> bool:
        """Return whether a member answers."""
        return name == self.me or self._members.is_live(name, clock.now())

    def suspect(self, name: ids.MemberId) -> None:
        """Count a member as away until it is heard again."""
        self._members.suspect(name)
        _log.warning('Member suspected.', member=name)

    def send(self, name: ids.MemberId, message: messages.AnyMessage) -> None:
        """Send a message; lost if the member is away."""
        if name in self._members.known:
            self._link(name).send(message)

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

    # The rows of members.

    async def _join(self) -> None:
        """Write this member's row; done once it is acknowledged."""
        row = Introduction(self._port, self._data_centre)
        value = msgspec.json.encode(row)
        entry = stores.Entry(MEMBER_TABLE, self.me, value=value)
        while True:
            written = await self._store.transact(put=[entry])
            if isinstance(written, stores.Written):
                self._members.joined(written.ver)
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
        for name in list(self._members.known):
            if name not in current:
                self._drop(name)
        self._take_some(rows, ver)

    def _take_some(self, rows: list[stores.Row], ver: int) -> None:
        for row in rows:
            name = ids.MemberId(row.key)
            if row.removed:
                self._drop(name)
                continue
            told = introduction(row)
            if told is None:
                continue
            if self._members.put(name, told.port, row.ver, clock.now()):
                _log.info('Member found.', member=name, order=row.ver)

    def _drop(self, name: ids.MemberId) -> None:
        link = self._links.pop(name, None)
        if link is not None:
            link.close()
        if self._members.drop(name):
            _log.info('Member gone.', member=name)

    # Beats.

    async def _beats(self) -> None:
        while True:
            self._beat()
            await self._tidy()
            await asyncio.sleep(BEAT_EVERY * self._members.slower)

    def _beat(self) -> None:
        now = clock.now()
        message = messages.Beat(
            self.me,
            self._incarnation,
            self._directory.config_version,
            self._directory.upstreams_ver,
            self.leaving,
            self.held(),
            self._exchange.take_new(),
            self._members.order,
        )
        if self._members.owner(self.leaving, now) == self.me:
            self._exchange.decides()
        live = 0
        for name in self._members.ordered():
            if live >= _CANDIDATES:
                break
            live += name == self.me or self._members.is_live(name, now)
            if name != self.me:
                self._link(name).send(message)

    async def _tidy(self) -> None:
        """Remove the row of a member that is long gone."""
        if self._owner != self.me:
            return
        now = clock.now()
        for name, member in self._members.known.items():
            since = max(member.heard_at, member.found_at)
            if name == self.me or now - since < _FORGET_AFTER:
                continue
            member.found_at = now
            await self._remove(name, member.order)
            return

    async def _remove(self, name: ids.MemberId, order: int) -> None:
        row = stores.Entry(MEMBER_TABLE, name, ver=order)
        gone = stores.Entry(MEMBER_TABLE, name)
        result = await self._store.transact([row], remove=[gone])
        _log.info(
            'Row of a silent member removed.',
            member=name,
            done=isinstance(result, stores.Written),
        )

    def _link(self, name: ids.MemberId) -> bus.Link[messages.AnyMessage]:
        link = self._links.get(name)
        if link is None:
            member = self._members.known[name]
            link = self._links[name] = bus.Link(
                f'tcp://{member.address}:{member.port}',
                CODEC,
                lambda message: self._from_link(name, message),
            )
        return link

    # Messages that come in.

    def _from_hub(self, peer: bus.Peer, message: messages.AnyMessage) -> None:
        if isinstance(message, messages.Beat):
            self._meet(message.member, peer)
            self._hear(message.member, message)
            self._exchange.take(message.outcomes)
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
                    self._exchange.sums(),
                    self._members.order,
                ),
            )
            self._compare(message)
            self._handler(message.member, message)
            return
        if isinstance(message, messages.Place):
            # A gateway whose owner is gone may ask before its first beat.
            self._meet(message.member, peer)
        name = self._names.get(peer)
        if name is not None:
            self._take(name, message, self.reply)

    def _from_link(
        self, name: ids.MemberId, message: messages.AnyMessage
    ) -> None:
        if isinstance(message, messages.BeatBack):
            self._hear(name, message)
            self._members.told(name, message.hears_store, message.members)
            if name == self._members.owner(self.leaving, clock.now()):
                self._exchange.hear(message.outcomes)
            self._compare(message)
            self._handler(name, message)
            return
        self._take(name, message, self.send)

    def _hear(
        self, name: ids.MemberId, beat: messages.Beat | messages.BeatBack
    ) -> None:
        """Take what a member tells of itself."""
        self._newest_told = max(self._newest_told, beat.order)
        self._members.heard(
            name, clock.now(), beat.leaving, beat.incarnation, beat.order
        )

    def _meet(self, name: ids.MemberId, peer: bus.Peer) -> None:
        """Remember by which connection a member can be answered."""
        before = self._peers.get(name)
        if before != peer:
            if before is not None:
                self._names.pop(before, None)
            self._peers[name] = peer
            self._names[peer] = name

    def _take(
        self,
        name: ids.MemberId,
        message: messages.AnyMessage,
        answer: collections.abc.Callable[
            [ids.MemberId, messages.AnyMessage], None
        ],
    ) -> None:
        self._members.heard(name, clock.now())
        if isinstance(message, messages.Ask):
            news = self._directory.news(message)
            if news is not None:
                answer(name, news)
        elif isinstance(message, messages.News):
            self._directory.take_news(message)
        else:
            self._handler(name, message)

    def _compare(self, beat: messages.Beat | messages.BeatBack) -> None:
        """Ask for what a member knows and this one does not."""
        known = self._directory
        if (
            beat.config <= known.config_version
            and beat.upstreams <= known.upstreams_ver
        ):
            return
        if clock.now() - self._asked_at < _ASK_EVERY:
            return
        self._asked_at = clock.now()
        ask = messages.Ask(known.config_version, known.upstreams_ver)
        if isinstance(beat, messages.Beat):
            self.reply(beat.member, ask)
        else:
            self.send(beat.member, ask)
