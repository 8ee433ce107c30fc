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

"""Scheduler: owns cells, writes claims and watches entries.

The application object creates the components and dispatches messages to them.
Ownership of cells follows from the region's live members without consensus:
each cell belongs to the scheduler that wins its rendezvous hash.
"""

import asyncio
import typing

from aiohttp import web

from galenahatch import application
from galenahatch import bus
from galenahatch import cancelling
from galenahatch import claimwriter
from galenahatch import clock
from galenahatch.core import cells
from galenahatch.core import leaving as leaving_module
from galenahatch.core import rendezvous
from galenahatch import ids
from galenahatch import logs
from galenahatch import messages
from galenahatch import options as options_module
from galenahatch import orphans as orphans_module
from galenahatch import placement as placement_module
from galenahatch import placementevents
from galenahatch.platform import vms
from galenahatch import probes as probes_module
from galenahatch import schema
from galenahatch import states
from galenahatch import tasks
from galenahatch import trail

_STOP_POLL_S: typing.Final = 0.1
_HANDOVER_HEARTBEATS: typing.Final = 3
_log = logs.Log('scheduler')


class Scheduler(application.Daemon):
    """Application object of a scheduler."""

    def __init__(self, options: options_module.Options) -> None:
        super().__init__(options)
        self._peer_by_member: dict[ids.MemberId, bus.Peer] = {}
        self._leaving_upstreams = leaving_module.LeavingUpstreams()
        self._trail = trail.DecisionTrail()
        self._cell_configs: dict[ids.CellId, cells.CellConfig] = {}
        self._cells_revision = ids.Revision(0)

    async def start(self) -> None:
        """Open sockets and start tasks."""
        options = self.options
        self.open_clients(
            states.Role.SCHEDULER, self._handle_scheduler_message
        )
        self._placement = placement_module.Placement(
            self.config,
            options.data_centre,
            self._trail,
            self._record_placement,
        )
        self._claims = claimwriter.ClaimWriter(self.table, options.claim_group)
        self._canceller = cancelling.Canceller(
            self.engines, self.config.engine, self.tasks
        )
        self._orphans = orphans_module.OrphanCanceller(
            self.peers, self._canceller, self._remove_entry
        )
        self._load_poller = probes_module.LoadPoller(
            self.engines, self._placement.put, self._leaving_upstreams
        )
        await self._open_sockets()
        self._start_tasks()
        _log.info('Listening.', member=self.peers.member)

    async def stop(self, exception: Exception | None = None) -> None:
        """Hand over owned cells, finish pending work, and stop."""
        application.ignore_signals(_log)
        self.peers.standing = states.Standing.LEAVING
        self.peers.not_ready_reason = 'leaving'
        _log.info('Planned stop began.', waiting=self._placement.waiting)
        sent_heartbeats = 0
        while sent_heartbeats < _HANDOVER_HEARTBEATS or self._busy():
            self._broadcast(self.peers.heartbeat())
            sent_heartbeats += 1
            await asyncio.sleep(self.peers.interval())
        await self.close()
        self._hub.close()

    async def _open_sockets(self) -> None:
        options = self.options
        endpoint = f'tcp://{options.address}:{options.scheduler_port}'
        self._hub = bus.Hub(endpoint, messages.CODEC, self._handle_message)
        app = web.Application()
        app.add_routes(application.health_routes(self._not_ready_reason))
        await self.listen(app, options.scheduler_http_port, options.keepalive)

    def _start_tasks(self) -> None:
        self.config.on_change(self._apply_configuration)
        self.peers.on_vm_list(self._apply_vm_list)
        self.peers.on_heartbeat(self._refresh_placement)
        self.start_peer_tasks()
        keep = self.tasks.run_forever
        keep('placement', self._placement.run)
        keep('claims', self._claims.run)
        keep(
            'orphans',
            lambda: tasks.run_periodically(
                lambda: orphans_module.CHECK_INTERVAL_S, self._orphans.check
            ),
        )
        poll = self.options.load_poll
        keep(
            'probes',
            lambda: tasks.run_periodically(lambda: poll, self._poll_loads),
        )

    def _busy(self) -> bool:
        return bool(
            self._placement.waiting
            or self._claims.unanswered_count
            or self._canceller.pending_count
        )

    def _not_ready_reason(self) -> str:
        if self.peers.standing is states.Standing.LEAVING:
            return 'leaving'
        if not self.config.revision:
            return 'no configuration'
        return ''

    def _broadcast(self, message: messages.AnyMessage) -> None:
        """Send a message to every daemon that has a link to the hub."""
        for member_peer in self._peer_by_member.values():
            self._hub.send(member_peer, message)
        self.peers.broadcast(message)

    # Incoming messages.

    def _handle_scheduler_message(self, message: messages.AnyMessage) -> None:
        """Handle a reply received over a link to another scheduler."""
        if isinstance(message, messages.AliveReply):
            self._orphans.record_reply(message)

    def _handle_message(
        self, peer: bus.Peer, message: messages.AnyMessage
    ) -> None:
        """Dispatch a message to its component."""

        def send(answer: messages.AnyMessage) -> None:
            self._hub.send(peer, answer)

        if isinstance(message, messages.Heartbeat):
            self._handle_heartbeat(peer, message)
        elif isinstance(message, messages.PlaceRequest | messages.Progress):
            self._placement.put(placementevents.EntryMessage(message, send))
        elif isinstance(message, messages.HeldReport):
            self._orphans.handle_message(message)
            self._placement.put(placementevents.EntryMessage(message, send))
        elif isinstance(message, messages.Release):
            self._orphans.remove_stream(message.stream)
            self._placement.put(placementevents.EntryMessage(message, send))
        elif isinstance(message, messages.Watch | messages.Unwatch):
            self._orphans.handle_message(message)
        elif isinstance(
            message,
            messages.ClaimRequest | messages.ClaimVoid | messages.ClaimDone,
        ):
            self._claims.submit(message, send)
        else:
            self._handle_query(message, send)

    def _handle_query(
        self,
        message: messages.AnyMessage,
        send: typing.Callable[[messages.AnyMessage], None],
    ) -> None:
        if isinstance(message, messages.ClaimQuery):
            self._forward_query(message, send)
        elif isinstance(message, messages.ClaimAnswer):
            member_peer = self._peer_by_member.get(message.requester)
            if member_peer is not None:
                self._hub.send(member_peer, message)
        elif isinstance(message, messages.AliveQuery):
            now = clock.now()
            silence = self.peers.membership.silence_duration(
                message.member, now
            )
            send(messages.AliveReply(message.member, silence))
        elif isinstance(message, messages.ConfigRequest):
            body = self.config.config_newer_than(message.newer_than)
            if body is not None:
                send(body)
        elif isinstance(message, messages.ConfigBody):
            self.config.apply_peer_config(message)
        elif isinstance(message, messages.StatusRequest):
            send(self._status())
        elif isinstance(message, messages.ExplainRequest):
            lines = self._trail.lines_of(message.request)
            send(messages.ExplainReply(message.request, lines))

    def _handle_heartbeat(
        self, peer: bus.Peer, heartbeat: messages.Heartbeat
    ) -> None:
        self._peer_by_member[heartbeat.member] = peer
        self.peers.record_heartbeat(heartbeat)
        self._orphans.record_heartbeat(heartbeat)
        self._hub.send(peer, self.peers.heartbeat())
        if heartbeat.revision > self.config.revision:
            request = messages.ConfigRequest(self.config.revision)
            self._hub.send(peer, request)

    def _forward_query(
        self,
        query: messages.ClaimQuery,
        send: typing.Callable[[messages.AnyMessage], None],
    ) -> None:
        """Forward a query to the holder of a claim."""
        state = None
        heartbeats = {h.member: h for h in self.peers.membership.heartbeats()}
        holder = heartbeats.get(query.holder)
        member_peer = self._peer_by_member.get(query.holder)
        restarted = (
            holder is not None and holder.incarnation != query.incarnation
        )
        if restarted or self.peers.membership.is_delisted(query.holder):
            state = states.HolderState.GONE
        elif holder is None or member_peer is None:
            state = states.HolderState.SILENT
        if state is not None:
            send(messages.ClaimAnswer(query.token, query.requester, state))
        elif member_peer is not None:
            self._hub.send(member_peer, query)

    def _status(self) -> messages.StatusReply:
        members = self.peers.membership.heartbeats()
        members = [m for m in members if m.member != self.peers.member]
        members.append(self.peers.heartbeat())
        return messages.StatusReply(
            tuple(members),
            self._placement.engine_loads(),
            self._placement.waiting,
        )

    # State changes.

    def _apply_vm_list(self, vm_list: vms.VmList) -> None:
        self._leaving_upstreams.record_vm_list(
            vm_list.version,
            (vm.address for vm in vm_list.vms if vm.state != 'live'),
        )
        self._refresh_placement()

    def _refresh_placement(self) -> None:
        """Update the placement's owned cells and leaving engines."""
        self._leaving_upstreams.record_configuration(
            self.config.revision, self.config.drained_upstreams()
        )
        self.peers.not_ready_reason = self._not_ready_reason()
        self.peers.load = self._placement.waiting
        leaving = self._leaving_upstreams.leaving_engines(
            self._declared_engines()
        )
        owned = frozenset(self._owned_cells())
        refresh = placementevents.OwnershipUpdate(
            self._cells_revision, self._cell_configs, owned, leaving
        )
        self._placement.put(refresh)

    def _apply_configuration(self) -> None:
        """Compute the cells of a new configuration."""
        region = self.config.region_of(self.options.data_centre)
        if region is not None:
            self._cell_configs = cells.cell_configs(self.config.sites, region)
            self._cells_revision = self.config.revision
        self._refresh_placement()

    def _owned_cells(self) -> list[ids.CellId]:
        live = set(self.peers.schedulers())
        if self.peers.standing is states.Standing.LIVE:
            live.add(self.peers.member)
        return [
            cell
            for cell in self._cell_configs
            if rendezvous.winner(cell, live) == self.peers.member
        ]

    def _declared_engines(self) -> list[schema.Engine]:
        return [
            e
            for cell_config in self._cell_configs.values()
            for e in cell_config.engines
        ]

    async def _poll_loads(self) -> None:
        owned = set(self._owned_cells())
        engines = [
            e for cell in owned for e in self._cell_configs[cell].engines
        ]
        await self._load_poller.read(engines)
        self._refresh_placement()

    def _record_placement(
        self, entry: ids.MemberId, held: messages.Held
    ) -> None:
        self._orphans.record_placement(entry, held)

    def _remove_entry(self, entry: ids.MemberId) -> None:
        self._placement.put(placementevents.EntryGone(entry))
