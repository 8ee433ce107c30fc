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

"""The scheduler: owns cells, writes claims, watches entries.

The application object wires the parts and sends each message to the part
that it is for. Ownership of cells follows from the live members of the
region, without agreement: each cell belongs to the scheduler that wins its
rendezvous hash.
"""

import asyncio
import typing

from aiohttp import web

from galenahatch import application
from galenahatch import bus
from galenahatch import cancelling
from galenahatch import claims as claims_module
from galenahatch import clock
from galenahatch.core import cells
from galenahatch.core import leaving as leaving_module
from galenahatch.core import rendezvous
from galenahatch import ids
from galenahatch import logs
from galenahatch import messages
from galenahatch import news as news_module
from galenahatch import options as options_module
from galenahatch import orphans as orphans_module
from galenahatch import placement as placement_module
from galenahatch.platform import vms
from galenahatch import probes as probes_module
from galenahatch import schema
from galenahatch import states
from galenahatch import tasks
from galenahatch import trail

_STOP_LOOK: typing.Final = 0.1
_HANDOVER_INTERVALS: typing.Final = 3
_log = logs.Log('scheduler')


class Scheduler(application.Daemon):
    """Application object of a scheduler."""

    def __init__(self, options: options_module.Options) -> None:
        super().__init__(options)
        self._senders: dict[ids.MemberId, bus.Peer] = {}
        self._leaving = leaving_module.LeavingUpstreams()
        self._trail = trail.DecisionTrail()
        self._plans: dict[ids.CellId, cells.CellConfig] = {}
        self._planned = ids.Revision(0)

    async def start(self) -> None:
        """Open sockets and start tasks."""
        options = self.options
        self.open_clients(states.Role.SCHEDULER, self._from_scheduler)
        self._placement = placement_module.Placement(
            self.config, options.data_centre, self._trail, self._placed
        )
        self._claims = claims_module.Claims(self.table, options.claim_group)
        self._canceller = cancelling.Canceller(
            self.engines, self.config.engine, self.tasks
        )
        self._orphans = orphans_module.Orphans(
            self.peers, self._canceller, self._forget
        )
        self._probes = probes_module.Probes(
            self.engines, self._placement.tell, self._leaving
        )
        await self._open_sockets()
        self._start_tasks()
        _log.info('Listening.', member=self.peers.member)

    async def stop(self, exception: Exception | None = None) -> None:
        """Hand over what is owned, finish what was begun, and stop."""
        application.ignore_signals(_log)
        self.peers.standing = states.Standing.LEAVING
        self.peers.why_not_ready = 'leaving'
        _log.info('Leaving.', waiting=self._placement.waiting)
        told = 0
        while told < _HANDOVER_INTERVALS or self._busy():
            self._tell_all(self.peers.heartbeat())
            told += 1
            await asyncio.sleep(self.peers.interval())
        await self.close()
        self._hub.close()

    async def _open_sockets(self) -> None:
        options = self.options
        endpoint = f'tcp://{options.address}:{options.scheduler_port}'
        self._hub = bus.Hub(endpoint, messages.CODEC, self._from_peer)
        app = web.Application()
        app.add_routes(application.health_routes(self._why_not_ready))
        await self.listen(app, options.scheduler_http_port, options.keepalive)

    def _start_tasks(self) -> None:
        self.config.listen(self._replan)
        self.peers.listen(self._listed)
        self.peers.report(self._refresh)
        self.start_peer_tasks()
        keep = self.tasks.run_forever
        keep('placement', self._placement.run)
        keep('claims', self._claims.run)
        keep(
            'orphans',
            lambda: tasks.run_periodically(
                lambda: orphans_module.LOOK, self._orphans.look
            ),
        )
        poll = self.options.load_poll
        keep(
            'probes', lambda: tasks.run_periodically(lambda: poll, self._probe)
        )

    def _busy(self) -> bool:
        return bool(
            self._placement.waiting
            or self._claims.open
            or self._canceller.open
        )

    def _why_not_ready(self) -> str:
        if self.peers.standing is states.Standing.LEAVING:
            return 'leaving'
        if not self.config.revision:
            return 'no configuration'
        return ''

    def _tell_all(self, message: messages.AnyMessage) -> None:
        """Send a message to every daemon that has a link to the hub."""
        for sender in self._senders.values():
            self._hub.send(sender, message)
        self.peers.broadcast(message)

    # Messages.

    def _from_scheduler(self, message: messages.AnyMessage) -> None:
        """Take an answer that came over a link to another scheduler."""
        if isinstance(message, messages.AliveReply):
            self._orphans.answered(message)

    def _from_peer(self, peer: bus.Peer, message: messages.AnyMessage) -> None:
        """Send a message to the part that it is for."""

        def send(answer: messages.AnyMessage) -> None:
            self._hub.send(peer, answer)

        if isinstance(message, messages.Heartbeat):
            self._from_member(peer, message)
        elif isinstance(message, messages.PlaceRequest | messages.Progress):
            self._placement.tell(news_module.FromEntry(message, send))
        elif isinstance(message, messages.HeldReport):
            self._orphans.take(message)
            self._placement.tell(news_module.FromEntry(message, send))
        elif isinstance(message, messages.Release):
            self._orphans.ended(message.stream)
            self._placement.tell(news_module.FromEntry(message, send))
        elif isinstance(message, messages.Watch | messages.Unwatch):
            self._orphans.take(message)
        elif isinstance(
            message,
            messages.ClaimRequest | messages.ClaimVoid | messages.ClaimDone,
        ):
            self._claims.tell(message, send)
        else:
            self._answer_query(message, send)

    def _answer_query(
        self,
        message: messages.AnyMessage,
        send: typing.Callable[[messages.AnyMessage], None],
    ) -> None:
        if isinstance(message, messages.ClaimQuery):
            self._forward_query(message, send)
        elif isinstance(message, messages.ClaimAnswer):
            sender = self._senders.get(message.asker)
            if sender is not None:
                self._hub.send(sender, message)
        elif isinstance(message, messages.AliveQuery):
            now = clock.now()
            silence = self.peers.membership.silence_duration(
                message.member, now
            )
            send(messages.AliveReply(message.member, silence))
        elif isinstance(message, messages.ConfigRequest):
            body = self.config.body(message.above)
            if body is not None:
                send(body)
        elif isinstance(message, messages.ConfigBody):
            self.config.offered(message)
        elif isinstance(message, messages.StatusRequest):
            send(self._status())
        elif isinstance(message, messages.ExplainRequest):
            lines = self._trail.lines_of(message.request)
            send(messages.ExplainReply(message.request, lines))

    def _from_member(
        self, peer: bus.Peer, heartbeat: messages.Heartbeat
    ) -> None:
        self._senders[heartbeat.member] = peer
        self.peers.heard(heartbeat)
        self._orphans.heard(heartbeat)
        self._hub.send(peer, self.peers.heartbeat())
        if heartbeat.revision > self.config.revision:
            request = messages.ConfigRequest(self.config.revision)
            self._hub.send(peer, request)

    def _forward_query(
        self,
        query: messages.ClaimQuery,
        send: typing.Callable[[messages.AnyMessage], None],
    ) -> None:
        """Pass a query on to the holder of a claim."""
        state = None
        known = {h.member: h for h in self.peers.membership.heartbeats()}
        holder = known.get(query.holder)
        sender = self._senders.get(query.holder)
        restarted = (
            holder is not None and holder.incarnation != query.incarnation
        )
        if restarted or self.peers.membership.is_delisted(query.holder):
            state = states.HolderState.GONE
        elif holder is None or sender is None:
            state = states.HolderState.SILENT
        if state is not None:
            send(messages.ClaimAnswer(query.token, query.asker, state))
        elif sender is not None:
            self._hub.send(sender, query)

    def _status(self) -> messages.StatusReply:
        members = self.peers.membership.heartbeats()
        members = [m for m in members if m.member != self.peers.member]
        members.append(self.peers.heartbeat())
        return messages.StatusReply(
            tuple(members), self._placement.loads(), self._placement.waiting
        )

    # News.

    def _listed(self, listed: vms.VmList) -> None:
        self._leaving.record_vm_list(
            listed.version,
            (vm.address for vm in listed.vms if vm.state != 'live'),
        )
        self._refresh()

    def _refresh(self) -> None:
        """Tell the placement what is owned and what leaves."""
        self._leaving.record_configuration(
            self.config.revision, self.config.draining()
        )
        self.peers.why_not_ready = self._why_not_ready()
        self.peers.load = self._placement.waiting
        leaving = self._leaving.leaving_engines(self._declared())
        owned = frozenset(self._owned())
        news = news_module.Refresh(self._planned, self._plans, owned, leaving)
        self._placement.tell(news)

    def _replan(self) -> None:
        """Work out the cells of a new configuration."""
        region = self.config.region_of(self.options.data_centre)
        if region is not None:
            self._plans = cells.cell_configs(self.config.sites, region)
            self._planned = self.config.revision
        self._refresh()

    def _owned(self) -> list[ids.CellId]:
        live = set(self.peers.schedulers())
        if self.peers.standing is states.Standing.LIVE:
            live.add(self.peers.member)
        return [
            cell
            for cell in self._plans
            if rendezvous.winner(cell, live) == self.peers.member
        ]

    def _declared(self) -> list[schema.Engine]:
        return [e for plan in self._plans.values() for e in plan.engines]

    async def _probe(self) -> None:
        owned = set(self._owned())
        engines = [e for cell in owned for e in self._plans[cell].engines]
        await self._probes.read(engines)
        self._refresh()

    def _placed(self, entry: ids.MemberId, held: messages.Held) -> None:
        self._orphans.placed(entry, held)

    def _forget(self, entry: ids.MemberId) -> None:
        self._placement.tell(news_module.EntryGone(entry))
