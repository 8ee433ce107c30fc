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

"""Membership of gateways and choice of the owner, which makes decisions.

Each gateway writes one row at startup. The store numbers its writes, so all
gateways see the rows in the same order, oldest first. The owner is the first
member in that order that answers. Two gateways may briefly disagree; engines
then refuse excess work before they start it, so no guarantee depends on
agreement. Heartbeats go only to the first members, until two of them answer,
so each gateway has a few connections regardless of the number of gateways.
"""

import asyncio
import collections.abc
import typing

from galenahatch import bus
from galenahatch import clock
from galenahatch.core import members
from galenahatch.gateway import directory as directories
from galenahatch.gateway import exchanges as exchanges_module
from galenahatch.gateway import frames
from galenahatch.gateway import instruments
from galenahatch.gateway import links
from galenahatch.gateway import messages
from galenahatch.gateway import messageversions
from galenahatch.gateway import records
from galenahatch.gateway import roster as rosters
from galenahatch.gateway import updates
from galenahatch.gateway import waitingmessages
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import store as stores
from galenahatch import tasks
from galenahatch import timeouts

_STARTUP_S: typing.Final = 2.0
"""Seconds in which members that were stopped at the same time restart."""
_log = logs.Log('mesh')

_BEFORE_HEARTBEAT: typing.Final = (
    messages.PlacementRequest,
    messages.StageChangeRequest,
    messages.PermitRequest,
    waitingmessages.WaitingRequests,
)
"""Messages that a gateway may send before its first heartbeat."""
Handler = collections.abc.Callable[[ids.MemberId, frames.AnyMessage], None]


class Mesh:
    """The members, and connections to the owner and its candidates.

    Args:
        store: The platform's store.
        address: IP address of this VM.
        row: Row of this gateway in the store.
        directory: Local copy of the configuration and upstreams.
        exchanges: Components whose state is exchanged.
        handler: Function called with the sender and message.
        background: Runner of background tasks.
    """

    def __init__(
        self,
        store: stores.Store,
        address: str,
        row: rosters.MemberRow,
        directory: directories.Directory,
        exchanges: exchanges_module.Exchanges,
        handler: Handler,
        background: tasks.Tasks,
    ) -> None:
        self._directory = directory
        self._exchange = exchanges.outcomes
        self._guard, self._accounts = exchanges.guard, exchanges.accounts
        self._rate_limits, self._loads = exchanges.rate_limits, exchanges.loads
        self._notices, self._repeats = exchanges.notices, exchanges.repeats
        self._handler, self._tasks = handler, background
        self._incarnation = clock.random_incarnation()
        self._roster = rosters.Roster(
            store,
            directory.outage,
            ids.MemberId(address),
            row,
            lambda name: self._links.close_link(name),
            self._guard.begin_snapshot,
            self._guard.apply_row,
        )
        self.members = self._members = self._roster.members
        self._updates = updates.UpdateRequester(directory)
        self._started_at = clock.now()
        self._owner, self._owner_changed_at = ids.MemberId(''), 0.0
        self.me = ids.MemberId(address)
        self.leaving = False
        self.running_generations: collections.abc.Callable[
            [], tuple[messages.RunningGeneration, ...]
        ] = tuple
        self.figures: collections.abc.Callable[
            [], tuple[records.Figures, ...]
        ] = tuple
        self.is_partitioned: collections.abc.Callable[[], bool] = bool
        endpoint = f'tcp://{address}:{row.port}'
        self._links = links.Links(
            endpoint, self._members, self._on_hub, self._on_link
        )
        self._connect_exchanges()

    def _connect_exchanges(self) -> None:
        """Give the exchanging components access to the other gateways."""
        self._directory.fed_by_peers = self._roster.fed_by_peers
        self._directory.feeds_peers = self._roster.feeds_peers
        self._guard.announce = self._announce
        self._accounts.on_usage = lambda used: self.tell_owner(
            messages.QuotaUsage(used)
        )
        self._accounts.gateway_count = lambda: self.size
        self._rate_limits.set_peers(self)
        self._notices.tell_owner = self.tell_owner

    @property
    def size(self) -> int:
        """Number of members with a row, including this one."""
        return self._members.size

    def run(self) -> None:
        """Join, and start to exchange heartbeats."""
        self._tasks.run_forever('join', self._roster.join)
        self._tasks.run_forever('member feed', self._roster.feed.run)
        self._tasks.run_forever('listening', self._watch_event_loop)
        self._tasks.run_forever('beats', self._send_heartbeats)
        self._tasks.run_forever(
            'quarantine',
            lambda: self._guard.run(lambda: self._owner == self.me),
        )

    def close(self) -> None:
        """Close all sockets."""
        self._links.close()

    def owner(self) -> ids.MemberId:
        """Return the first member that answers, or else this one."""
        return self._set_owner(self._members.owner(self.leaving, clock.now()))

    def owned_seconds(self) -> float | None:
        """Return for how long this gateway is the owner; None if it isn't.

        While it stood still, another one may have been.
        """
        if self._owner != self.me:
            return None
        now = clock.now()
        if self._members.stalled_seconds(now) > members.SILENCE_TIMEOUT_S:
            return 0.0
        return now - self._owner_changed_at

    def is_live(self, name: ids.MemberId) -> bool:
        """Return whether a member answers."""
        return name == self.me or self._members.is_live(name, clock.now())

    def member_reaching_store(
        self, reaches_upstreams: bool = False
    ) -> ids.MemberId | None:
        """Return another member that reaches the store, if there is one."""
        return self._members.first_following_store(
            clock.now(), reaches_upstreams
        )

    def suspect(self, name: ids.MemberId) -> None:
        """Treat a member as unreachable until it sends a message."""
        self._members.mark_silent(name)
        _log.warning('Member suspected.', member=name)

    def send(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
        """Send a message, which is lost if the member is unreachable."""
        self._links.send(name, message)

    def reply(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
        """Send a message to a member that has sent one."""
        self._links.reply(name, message)

    def broadcast(self, message: frames.AnyMessage) -> None:
        """Send a message to all members that ask this one."""
        for name in self._links.peers:
            self._links.reply(name, message)

    def knows(self, name: ids.MemberId, level: int) -> bool:
        """Return whether a member knows messages up to a level."""
        return name == self.me or self._links.knows(name, level)

    def incarnation(self, name: ids.MemberId) -> int:
        """Return the incarnation of a member; 0 if it is unknown."""
        member = self._members.by_name.get(name)
        return member.incarnation if member is not None else 0

    @property
    def heartbeat_interval(self) -> float:
        """Seconds between two heartbeats of this gateway."""
        return members.HEARTBEAT_INTERVAL_S * self._members.heartbeat_slowdown

    @property
    def heartbeat_window(self) -> float:
        """Seconds within which each reachable member sends a heartbeat."""
        return members.liveness_window(self._members.heartbeat_slowdown)

    def _set_owner(self, name: ids.MemberId) -> ids.MemberId:
        if name != self._owner:
            instruments.owner_changes.add(1)
            _log.info('Owner changed.', owner=name, before=self._owner)
            self._owner = name
            self._owner_changed_at = clock.now()
        return name

    async def _watch_event_loop(self) -> None:
        suspension = clock.SuspensionDetector()
        while True:
            suspended_s = suspension.poll()
            if suspended_s:
                limits = timeouts.deduct_suspension(suspended_s)
                _log.warning('Suspended.', seconds=suspended_s, limits=limits)
            stalled_s = self._members.record_listen(clock.now())
            if stalled_s > members.SILENCE_TIMEOUT_S:
                self._owner_changed_at = clock.now()
            if stalled_s:
                instruments.stalls.add(1)
                _log.warning('Stalled.', seconds=stalled_s)
            await asyncio.sleep(members.LISTEN_INTERVAL_S)

    async def _send_heartbeats(self) -> None:
        while True:
            self._send_heartbeat()
            await self._roster.remove_stale(self._owner == self.me)
            await asyncio.sleep(self.heartbeat_interval)

    def _send_heartbeat(self) -> None:
        now = clock.now()
        message = messages.Heartbeat(
            self.me,
            self._incarnation,
            self._directory.config_version,
            self._directory.upstreams_version.number,
            self.leaving,
            self.running_generations(),
            self._exchange.take_unreported(),
            self._members.rank.number,
            self._directory.reaches_store,
            self._guard.suspicions(),
            self._accounts.take_unreported(),
            self._rate_limits.snapshot(),
            self._notices.leaving_upstreams(),
            self._directory.upstreams_version.era,
            self._members.rank.era,
            waitingmessages.MESSAGE_LEVEL,
            self._loads.take_changed(self.size),
            self._repeats.take_unreported(),
            self.is_partitioned(),
        )
        share = 1.0
        if self._members.owner(self.leaving, now) == self.me:
            self._exchange.apply_own_totals()
            share = self._reachable_share(now)
        self._accounts.set_owned_share(share)
        self._rate_limits.set_owned_share(share)
        self.tell_owner(message)

    def _reachable_share(self, now: float) -> float:
        """Return the share of all members for which this one decides.

        A member that has just started has used hardly any quota, and can't
        tell members that are starting from unreachable ones.
        """
        if now - self._started_at < _STARTUP_S:
            return 1.0
        return self._members.reachable_fraction(now)

    def tell_owner(self, message: frames.AnyMessage) -> None:
        """Send a message to the owner and the candidates to succeed it."""
        for name in self.candidates():
            self._links.send(name, message)

    def candidates(self) -> tuple[ids.MemberId, ...]:
        """Return the other members that are the owner or may succeed it."""
        now = clock.now()
        live_count = 0
        found = []
        for name in self._members.by_rank():
            if live_count >= rosters.OWNER_CANDIDATES:
                break
            live_count += name == self.me or self._members.is_live(name, now)
            if name != self.me:
                found.append(name)
        return tuple(found)

    def _announce(self, new: tuple[messages.Suspicion, ...]) -> None:
        """Send suspicions to the owner, which sends them to all members."""
        message = messages.Suspicions(new)
        if self._owner == self.me:
            self.broadcast(message)
        else:
            self.tell_owner(message)

    def _on_hub(self, peer: bus.Peer, message: frames.AnyMessage) -> None:
        if isinstance(message, messages.Heartbeat):
            self._links.record_peer(message.member, peer)
            self._record_heartbeat(message.member, message)
            if not message.is_partitioned:
                self._exchange.add_reported(message.outcomes)
            self._accounts.add_reported(message.used)
            self._rate_limits.merge_reported(message.rate_limits)
            self._notices.merge(message.leaving_upstreams)
            self._loads.merge(message.loads)
            self._guard.merge(message.suspicions)
            self.reply(
                message.member,
                messages.HeartbeatReply(
                    self.me,
                    self._incarnation,
                    self._directory.config_version,
                    self._directory.upstreams_version.number,
                    self.leaving,
                    self._directory.reaches_store,
                    self.size,
                    self.figures(),
                    self._exchange.totals(),
                    self._members.rank.number,
                    self._guard.suspicions(),
                    self._accounts.nearly_exhausted(),
                    self._rate_limits.snapshot(),
                    self._notices.leaving_upstreams(),
                    self._directory.upstreams_version.era,
                    self._members.rank.era,
                    waitingmessages.MESSAGE_LEVEL,
                    self._repeats.add_reported(message.repeats),
                    self.is_partitioned(),
                ),
            )
            self._request_update(message)
            self._handler(message.member, message)
            return
        if isinstance(message, _BEFORE_HEARTBEAT):
            self._links.record_peer(message.member, peer)
        name = self._links.member(peer)
        if name is not None:
            self._dispatch(name, message, self.reply)

    def _on_link(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
        if isinstance(message, messages.HeartbeatReply):
            self._record_heartbeat(name, message)
            self._members.set_reported_size(message.member_count)
            if name == self._members.owner(self.leaving, clock.now()):
                self._exchange.apply_owner_totals(message.outcomes)
                self._repeats.apply_totals(message.repeats)
            self._accounts.apply_remaining(message.low_quotas)
            self._rate_limits.merge_reported(message.rate_limits)
            self._notices.merge(message.leaving_upstreams)
            self._guard.merge(message.suspicions)
            self._request_update(message)
            self._handler(name, message)
            return
        self._dispatch(name, message, self.send)

    def _record_heartbeat(
        self,
        name: ids.MemberId,
        heartbeat: messages.Heartbeat | messages.HeartbeatReply,
    ) -> None:
        self._links.record_level(name, heartbeat.message_level)
        self._members.record_partition(name, heartbeat.is_partitioned)
        order = messageversions.order_version(heartbeat)
        self._roster.add_versions(
            order, messageversions.upstreams_version(heartbeat)
        )
        self._members.record_message(
            name, clock.now(), heartbeat.leaving, heartbeat.incarnation, order
        )
        is_current = self._updates.is_current(heartbeat)
        follows = heartbeat.reaches_store and is_current
        self._members.set_follows_store(name, follows)

    def _dispatch(
        self,
        name: ids.MemberId,
        message: frames.AnyMessage,
        reply: collections.abc.Callable[
            [ids.MemberId, frames.AnyMessage], None
        ],
    ) -> None:
        self._members.record_message(name, clock.now())
        if isinstance(message, messages.UpdateRequest):
            update = self._directory.update_for(message)
            if update is not None:
                reply(name, update)
        elif isinstance(message, messages.Update):
            self._directory.apply_update(message)
        elif isinstance(message, messages.Suspicions):
            self._guard.merge(message.suspicions)
        elif isinstance(message, messages.RateLimits):
            self._rate_limits.merge_reported(message.limits)
        elif isinstance(message, messages.LeavingUpstreams):
            self._notices.merge(message.upstreams)
        elif isinstance(message, messages.QuotaUsage):
            self._accounts.add_reported(message.used)
            levels = self._accounts.remaining(message.used)
            reply(name, messages.QuotaLevels(levels))
        elif isinstance(message, messages.QuotaLevels):
            self._accounts.apply_remaining(message.levels)
        else:
            self._handler(name, message)

    def _request_update(
        self, heartbeat: messages.Heartbeat | messages.HeartbeatReply
    ) -> None:
        """Request newer data from a member that has it."""
        request = self._updates.request_for(heartbeat)
        if request is None:
            return
        if isinstance(heartbeat, messages.Heartbeat):
            self.reply(heartbeat.member, request)
        else:
            self.send(heartbeat.member, request)
