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

from galenahatch import bus
from galenahatch import clock
from galenahatch.core import members
from galenahatch.gateway import accounts
from galenahatch.gateway import directory as directories
from galenahatch.gateway import frames
from galenahatch.gateway import instruments
from galenahatch.gateway import messages
from galenahatch.gateway import news
from galenahatch.gateway import notices
from galenahatch.gateway import outcomes
from galenahatch.gateway import quarantine
from galenahatch.gateway import ratelimits
from galenahatch.gateway import records
from galenahatch.gateway import roster as rosters
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import store as stores
from galenahatch import tasks
from galenahatch import timeouts

_STARTING: typing.Final = 2.0
"""Seconds in which others that were ended at the same time are back."""
_log = logs.Log('mesh')

CODEC: typing.Final = bus.Codec[frames.AnyMessage](
    frames.encode, frames.decode
)
_FIRST: typing.Final = (messages.Place, messages.Change, messages.Permit)
"""Messages that a gateway may send before its first beat."""
Handler = collections.abc.Callable[[ids.MemberId, frames.AnyMessage], None]


@dataclasses.dataclass(frozen=True)
class Exchanges:
    """What gateways tell each other with their beats.

    Attributes:
        outcomes: what sends to plain upstreams came to.
        guard: what is known of requests that end upstreams.
        accounts: what customers use of their quotas.
        rate_limits: that upstreams name.
        notices: what else upstreams' answers say.
    """

    outcomes: outcomes.Exchange
    guard: quarantine.Guard
    accounts: accounts.Accounts
    rate_limits: ratelimits.RateLimits
    notices: notices.Notices


class Mesh:
    """The members, and the connections to those that matter.

    Args:
        store: the platform's store.
        address: of this VM.
        port: where this gateway listens for others.
        data_centre: of this VM.
        directory: what this gateway knows.
        exchanges: what gateways tell each other.
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
        exchanges: Exchanges,
        handler: Handler,
        background: tasks.Tasks,
    ) -> None:
        self._directory = directory
        self._exchange = exchanges.outcomes
        self._guard, self._accounts = exchanges.guard, exchanges.accounts
        self._rate_limits = exchanges.rate_limits
        self._notices = exchanges.notices
        self._handler = handler
        self._tasks = background
        self._incarnation = clock.incarnation()
        self._roster = rosters.Roster(
            store,
            directory.outage,
            ids.MemberId(address),
            rosters.Introduction(port, data_centre),
            self._drop,
            self._guard.begin_list,
            self._guard.take,
        )
        self._members = self._roster.members
        self._links: dict[ids.MemberId, bus.Link[frames.AnyMessage]] = {}
        self._peers: dict[ids.MemberId, bus.Peer] = {}
        self._names: dict[bus.Peer, ids.MemberId] = {}
        self._asking = news.Asking(directory)
        self._began_at = clock.now()
        self._owner = ids.MemberId('')
        self.me = ids.MemberId(address)
        self.leaving = False
        self.held: collections.abc.Callable[[], tuple[messages.Held, ...]] = (
            tuple
        )
        self.figures: collections.abc.Callable[
            [], tuple[records.Figures, ...]
        ] = tuple
        self._hub = bus.Hub(f'tcp://{address}:{port}', CODEC, self._from_hub)
        self._connect_exchanges()

    def _connect_exchanges(self) -> None:
        """Tell the parts that exchange words how others are reached."""
        self._directory.fed_by_peers = self._roster.fed_by_peers
        self._guard.announce = self._announce
        self._accounts.announce = self._announce_used
        self._accounts.size = lambda: self.size
        self._rate_limits.join(self)
        self._notices.tell_owner = self.tell_owner

    @property
    def size(self) -> int:
        """Members with a row, this one included."""
        return self._members.size

    def run(self) -> None:
        """Join, and start to talk."""
        self._tasks.keep('join', self._roster.join)
        self._tasks.keep('member feed', self._roster.feed.run)
        self._tasks.keep('listening', self._listen)
        self._tasks.keep('beats', self._beats)
        self._tasks.keep(
            'quarantine',
            lambda: self._guard.run(lambda: self._owner == self.me),
        )

    def close(self) -> None:
        """Close all sockets."""
        self._hub.close()
        for link in self._links.values():
            link.close()

    # Who decides.

    def owner(self) -> ids.MemberId:
        """Return the first member that answers; this one in the end."""
        return self._chosen(self._members.owner(self.leaving, clock.now()))

    def is_live(self, name: ids.MemberId) -> bool:
        """Return whether a member answers."""
        return name == self.me or self._members.is_live(name, clock.now())

    def hearing(self) -> ids.MemberId | None:
        """Return another member that hears the store, if there is one."""
        return self._members.first_following_store(clock.now())

    def suspect(self, name: ids.MemberId) -> None:
        """Count a member as away until it is heard again."""
        self._members.mark_silent(name)
        _log.warning('Member suspected.', member=name)

    def send(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
        """Send a message; lost if the member is away."""
        if name in self._members.by_name:
            self._link(name).send(message)

    def reply(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
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

    # Beats.

    async def _listen(self) -> None:
        suspension = clock.Suspension()
        while True:
            suspended = suspension.look()
            if suspended:
                limits = timeouts.catch_up(suspended)
                _log.warning('Suspended.', seconds=suspended, limits=limits)
            stalled = self._members.record_listen(clock.now())
            if stalled:
                instruments.stalls.add(1)
                _log.warning('Stalled.', seconds=stalled)
            await asyncio.sleep(members.LISTEN_INTERVAL_S)

    async def _beats(self) -> None:
        while True:
            self._beat()
            await self._roster.tidy(self._owner == self.me)
            await asyncio.sleep(
                members.HEARTBEAT_INTERVAL_S * self._members.heartbeat_slowdown
            )

    def _beat(self) -> None:
        now = clock.now()
        message = messages.Beat(
            self.me,
            self._incarnation,
            self._directory.config_version,
            self._directory.upstreams_version.number,
            self.leaving,
            self.held(),
            self._exchange.take_new(),
            self._members.rank.number,
            self._directory.hears_store,
            self._guard.tell(),
            self._accounts.take_new(),
            self._rate_limits.tell(),
            self._notices.tell(),
            self._directory.upstreams_version.era,
            self._members.rank.era,
        )
        if self._members.owner(self.leaving, now) == self.me:
            self._exchange.decides()
            part = self._part(now)
        else:
            part = 1.0
        self._accounts.decides_for(part)
        self._rate_limits.decides_for(part)
        self.tell_owner(message)

    def _part(self, now: float) -> float:
        """Return for which part of all members this one decides.

        One that has just started holds hardly anything of a quota, and can't
        tell those that start beside it from those that are cut off.
        """
        if now - self._began_at < _STARTING:
            return 1.0
        return self._members.reachable_fraction(now)

    def tell_owner(self, message: frames.AnyMessage) -> None:
        """Send to the owner and whoever may be the next one."""
        now = clock.now()
        live = 0
        for name in self._members.by_rank():
            if live >= rosters.CANDIDATES:
                break
            live += name == self.me or self._members.is_live(name, now)
            if name != self.me:
                self._link(name).send(message)

    def _announce(self, told: tuple[messages.Suspicion, ...]) -> None:
        """Tell the owner at once, who tells all."""
        message = messages.Suspicions(told)
        if self._owner == self.me:
            for name in self._peers:
                self.reply(name, message)
        else:
            self.tell_owner(message)

    def _announce_used(self, used: tuple[messages.Used, ...]) -> None:
        """Tell the owner, and the next one, at once what was used here."""
        self.tell_owner(messages.Spent(used))

    def _drop(self, name: ids.MemberId) -> None:
        link = self._links.pop(name, None)
        if link is not None:
            link.close()

    def _link(self, name: ids.MemberId) -> bus.Link[frames.AnyMessage]:
        link = self._links.get(name)
        if link is None:
            member = self._members.by_name[name]
            link = self._links[name] = bus.Link(
                f'tcp://{member.address}:{member.port}',
                CODEC,
                lambda message: self._from_link(name, message),
            )
        return link

    # Messages that come in.

    def _from_hub(self, peer: bus.Peer, message: frames.AnyMessage) -> None:
        if isinstance(message, messages.Beat):
            self._meet(message.member, peer)
            self._hear(message.member, message)
            self._exchange.take(message.outcomes)
            self._accounts.take(message.used)
            self._rate_limits.hear(message.rate_limits)
            self._notices.hear(message.leaving_upstreams)
            self._guard.hear(message.suspicions)
            self.reply(
                message.member,
                messages.BeatBack(
                    self.me,
                    self._incarnation,
                    self._directory.config_version,
                    self._directory.upstreams_version.number,
                    self.leaving,
                    self._directory.hears_store,
                    self.size,
                    self.figures(),
                    self._exchange.sums(),
                    self._members.rank.number,
                    self._guard.tell(),
                    self._accounts.low(),
                    self._rate_limits.tell(),
                    self._notices.tell(),
                    self._directory.upstreams_version.era,
                    self._members.rank.era,
                ),
            )
            self._compare(message)
            self._handler(message.member, message)
            return
        if isinstance(message, _FIRST):
            self._meet(message.member, peer)
        name = self._names.get(peer)
        if name is not None:
            self._take(name, message, self.reply)

    def _from_link(
        self, name: ids.MemberId, message: frames.AnyMessage
    ) -> None:
        if isinstance(message, messages.BeatBack):
            self._hear(name, message)
            self._members.set_reported_size(message.members)
            if name == self._members.owner(self.leaving, clock.now()):
                self._exchange.hear(message.outcomes)
            self._accounts.hear(message.low)
            self._rate_limits.hear(message.rate_limits)
            self._notices.hear(message.leaving_upstreams)
            self._guard.hear(message.suspicions)
            self._compare(message)
            self._handler(name, message)
            return
        self._take(name, message, self.send)

    def _hear(
        self, name: ids.MemberId, beat: messages.Beat | messages.BeatBack
    ) -> None:
        """Take what a member tells of itself."""
        order = messages.place(beat)
        self._roster.told(order, messages.upstreams_version(beat))
        self._members.record_message(
            name, clock.now(), beat.leaving, beat.incarnation, order
        )
        feeds = beat.hears_store and self._asking.is_current(beat)
        self._members.set_follows_store(name, feeds)

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
        message: frames.AnyMessage,
        answer: collections.abc.Callable[
            [ids.MemberId, frames.AnyMessage], None
        ],
    ) -> None:
        self._members.record_message(name, clock.now())
        if isinstance(message, messages.Ask):
            news = self._directory.news(message)
            if news is not None:
                answer(name, news)
        elif isinstance(message, messages.News):
            self._directory.take_news(message)
        elif isinstance(message, messages.Suspicions):
            self._guard.hear(message.told)
        elif isinstance(message, messages.RateLimits):
            self._rate_limits.hear(message.told)
        elif isinstance(message, messages.Leaving):
            self._notices.hear(message.upstreams)
        elif isinstance(message, messages.Spent):
            self._accounts.take(message.used)
            levels = self._accounts.levels(message.used)
            answer(name, messages.Left(levels))
        elif isinstance(message, messages.Left):
            self._accounts.hear(message.levels)
        else:
            self._handler(name, message)

    def _compare(self, beat: messages.Beat | messages.BeatBack) -> None:
        """Ask for what a member knows and this one does not."""
        ask = self._asking.question(beat)
        if ask is None:
            return
        if isinstance(beat, messages.Beat):
            self.reply(beat.member, ask)
        else:
            self.send(beat.member, ask)
