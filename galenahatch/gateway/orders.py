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

"""Orders to engines to change their stage.

The owner decides on orders. They are sent by the holder of a lease in the
store (`gateway/lease`): the owner itself or, if only the owner can't reach the
store or the engine, another gateway at its request. Without this, the engines
of a service had the wrong stages for a whole day, since its owner was
disconnected from the store when it made its first plan.

An order has no effect on the gateway's view until the engine's entry shows
the new stage. Each order includes the number of orders that the engine has
accepted, as just read from it, so a delayed order that arrives after another
one is refused.
"""

import asyncio
import collections.abc
import typing

from galenahatch import clock
from galenahatch.core import dispatch
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch.gateway import directory as directories
from galenahatch.gateway import instruments
from galenahatch.gateway import lease as leases
from galenahatch.gateway import mesh as meshes
from galenahatch.gateway import messages
from galenahatch.gateway import notices as notices_module
from galenahatch.gateway import owner as owners
from galenahatch.gateway import sender as senders
from galenahatch.gateway import stageplans
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import engines
from galenahatch.platform import store as stores
from galenahatch import tasks

_CHECK_INTERVAL_S: typing.Final = 0.5
"""Seconds between two checks for engines that should change."""
_CALL_TIMEOUT_S: typing.Final = 0.6
_ORDER_TIMEOUT_S: typing.Final = 8.0
"""Seconds beyond the duration of a change after which an order counts as lost.
An engine finishes its running requests before it changes."""
_MAYBE_ACCEPTED: typing.Final = frozenset((0, 200, 202))
"""Statuses after which an engine may be changing; 0 means no answer."""
_RETRY_DELAY_S: typing.Final = 3.0
"""Seconds without orders after a failed one."""
_log = logs.Log('orders')


class Orders:
    """Sends orders to engines.

    Args:
        store: Store with the lease.
        mesh: membership, which determines the owner.
        owner: decisions, which determine the engines that should change.
        directory: services, with the duration of a change.
        sender: Sender of calls to engines; orders go directly, as two VMs
            would be two holders of the lease.
        is_lost: Returns whether the path to an engine is lost.
        notices: Pauses that engines have requested.
        lease: Seconds required between orders of two holders.
        background: Runner of background tasks.
    """

    def __init__(
        self,
        store: stores.Store,
        mesh: meshes.Mesh,
        owner: owners.Owner,
        directory: directories.Directory,
        sender: senders.Sender,
        is_lost: collections.abc.Callable[[ids.UpstreamId], bool],
        notices: notices_module.Notices,
        lease: float,
        background: tasks.Tasks,
    ) -> None:
        self._store = store
        self._mesh = mesh
        self._owner = owner
        self._directory = directory
        self._sender = sender
        self._is_lost = is_lost
        self._notices = notices
        self._lease = leases.Lease(store, mesh.me, lease)
        self._tasks = background
        self._retry_at = 0.0
        self._lease_era = 0
        self._plans = stageplans.StagePlans(owner)

    def run(self) -> None:
        """Start sending orders whenever this gateway is the owner."""
        self._tasks.run_forever('orders', self._run)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            now = clock.now()
            if self._mesh.owner() != self._mesh.me or now < self._retry_at:
                continue
            await self._begin_lease_era()
            for service, dispatcher in list(self._owner.dispatchers.items()):
                changes = dispatcher.plan_stage_changes(now)
                self._plans.record(service)
                for engine, stage in changes:
                    _log.info(
                        'Change wanted.',
                        engine=engine.id,
                        stage=stage.value,
                        prefills=len(dispatcher.engines.prefills),
                        decodes=len(dispatcher.engines.decodes),
                        **dispatcher.measured_figures._asdict(),
                    )
                    await self._request_change(
                        service, dispatcher, engine, stage
                    )

    async def _begin_lease_era(self) -> None:
        """Initialize the lease of a new store era as soon as it is known."""
        era = self._store.eras.newest
        if era == self._lease_era:
            return
        self._lease_era = era
        await self._lease.begin_era()

    def handle_message(
        self,
        member: ids.MemberId,
        message: messages.StageChangeRequest | messages.StageChangeReply,
    ) -> None:
        """Handle a request for a stage change, or the reply to one."""
        if isinstance(message, messages.StageChangeRequest):
            self._tasks.run_once(self._send_for_peer(member, message))
            return
        if message.ordered:
            return
        for dispatcher in self._owner.dispatchers.values():
            if dispatcher.engines.is_awaited(message.engine):
                self._cancel_change(dispatcher, message.engine, message.stage)

    async def _send_for_peer(
        self, member: ids.MemberId, request: messages.StageChangeRequest
    ) -> None:
        """Send an order on behalf of another gateway."""
        engine = self._directory.registry.find(request.engine)
        is_ordered = False
        if engine is not None:
            is_ordered = await self._send_if_possible(engine, request.stage)
        self._mesh.reply(
            member,
            messages.StageChangeReply(
                request.engine, request.stage, is_ordered
            ),
        )

    async def _request_change(
        self,
        service: ids.ServiceName,
        dispatcher: dispatch.Dispatcher,
        engine: upstreams.Upstream,
        stage: upstreams.Stage,
    ) -> None:
        """Request a stage change, and mark the engine as changing."""
        spec = self._directory.service(service)
        if spec is None or spec.engine is None:
            return
        lost_at = clock.now() + spec.engine.switch_time + _ORDER_TIMEOUT_S
        dispatcher.engines.record_stage_order(engine.id, stage, lost_at)
        is_lost = self._is_lost(engine.id)
        peer = self._mesh.member_reaching_store(reaches_upstreams=is_lost)
        if peer is not None and (is_lost or not self._directory.reaches_store):
            _log.info(
                'Forwarded an order to a peer.', engine=engine.id, member=peer
            )
            me = self._mesh.me
            self._mesh.send(
                peer, messages.StageChangeRequest(me, engine.id, stage)
            )
        elif not await self._send_if_possible(engine, stage):
            self._cancel_change(dispatcher, engine.id, stage)

    def _cancel_change(
        self,
        dispatcher: dispatch.Dispatcher,
        engine: ids.UpstreamId,
        stage: upstreams.Stage,
    ) -> None:
        """Use an engine in its current stage, and plan again after a delay."""
        dispatcher.engines.record_stage_order(engine, stage, clock.now())
        dispatcher.rebalancer.reset_plan()
        self._retry_at = clock.now() + _RETRY_DELAY_S

    async def _send_if_possible(
        self, engine: upstreams.Upstream, stage: upstreams.Stage
    ) -> bool:
        """Send an order; return whether the engine may be changing now."""
        if self._notices.pause_seconds_left(engine.id):
            _log.info('Postponed an order.', engine=engine.id, why='paused')
            return False
        report = await self._read_report(engine)
        reason = _postponement_reason(engine, report)
        if report is None or reason:
            _log.info('Postponed an order.', engine=engine.id, why=reason)
            return False
        fence = await self._lease.acquire()
        if fence is None:
            return False
        status = await self._send(engine, stage, fence, report.orders_accepted)
        return status in _MAYBE_ACCEPTED

    async def _send(
        self,
        engine: upstreams.Upstream,
        stage: upstreams.Stage,
        fence: int,
        accepted: int,
    ) -> int:
        """Send an order; return its status, 0 if there was no answer."""
        order = engines.encode_stage_order(
            stage.value, self._mesh.me, fence, accepted
        )
        reply = await self._sender.request_small(
            'POST',
            engine.address,
            engines.ORDER_PATH,
            _CALL_TIMEOUT_S,
            body=order,
            headers=engines.instance_headers(engine.id),
        )
        status = 0 if isinstance(reply, errors.Failure) else reply[0]
        instruments.orders.add(1, {'status': str(status)})
        _log.info(
            'Order sent.',
            engine=engine.id,
            stage=stage.value,
            fence=fence,
            expected=accepted,
            status=status,
        )
        return status

    async def _read_report(
        self, engine: upstreams.Upstream
    ) -> engines.Report | None:
        reply = await self._sender.request_small(
            'GET', engine.address, engines.REPORT_PATH, _CALL_TIMEOUT_S
        )
        if isinstance(reply, errors.Failure):
            return None
        report = engines.decode_report(reply[1])
        return None if isinstance(report, errors.Failure) else report


def _postponement_reason(
    engine: upstreams.Upstream, report: engines.Report | None
) -> str:
    """Return why an engine must not get an order now, or an empty string."""
    if report is None:
        return 'no report'
    if not report.may_come_from(engine.id):
        # A restarted engine counts its orders from 0 again, so the order
        # would be checked against the count of a process that the plan
        # doesn't include.
        return 'started again'
    return 'busy' if report.executing_order else ''
