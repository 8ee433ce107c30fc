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

The owner decides on orders. Who gives them holds a lease in the store
(`gateway/lease`): the owner itself, or, while it alone can't reach the
store, another gateway that it asks. Without that, a service was divided
wrongly for a whole day, since its owner was cut off as it first looked.

Nothing is believed of an order before the engine's entry tells the new
stage. Each order names the number of orders that the engine has taken, as
just read from it, so a delayed one that arrives after another is refused.
"""

import asyncio
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
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import engines
from galenahatch.platform import store as stores
from galenahatch import tasks

_CHECK_INTERVAL_S: typing.Final = 0.5
_CALL_TIMEOUT_S: typing.Final = 0.6
_ORDER_TIMEOUT_S: typing.Final = 8.0
"""Seconds beyond the change itself after which an order counts as lost;
runs of the engine are finished before it changes."""
_MAYBE_ACCEPTED: typing.Final = frozenset((0, 200, 202))
"""Statuses after which an engine may be changing; 0 if there was none."""
_RETRY_DELAY_S: typing.Final = 3.0
_log = logs.Log('orders')


class Orders:
    """The part of a gateway that gives orders.

    Args:
        store: holds the lease.
        mesh: tells who is the owner.
        owner: tells which engines should change.
        directory: tells how long a change takes.
        sender: for calls to engines.
        notices: which engines want no calls now.
        lease: seconds between the orders of two holders.
        background: where its tasks run.
    """

    def __init__(
        self,
        store: stores.Store,
        mesh: meshes.Mesh,
        owner: owners.Owner,
        directory: directories.Directory,
        sender: senders.Sender,
        notices: notices_module.Notices,
        lease: float,
        background: tasks.Tasks,
    ) -> None:
        self._store = store
        self._mesh = mesh
        self._owner = owner
        self._directory = directory
        self._sender = sender
        self._notices = notices
        self._lease = leases.Lease(store, mesh.me, lease)
        self._tasks = background
        self._retry_at = 0.0
        self._lease_era = 0

    def run(self) -> None:
        """Start to give orders whenever this gateway is the owner."""
        self._tasks.keep('orders', self._run)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            now = clock.now()
            if self._mesh.owner() != self._mesh.me or now < self._retry_at:
                continue
            await self._begin_lease_era()
            for service, found in list(self._owner.dispatchers.items()):
                for engine, stage in found.plan_stage_changes(now):
                    _log.info(
                        'Change wanted.',
                        engine=engine.id,
                        stage=stage.value,
                        prefills=len(found.engines.prefills),
                        decodes=len(found.engines.decodes),
                        **found.measured_figures._asdict(),
                    )
                    await self._request_change(service, found, engine, stage)

    async def _begin_lease_era(self) -> None:
        """Let the leases of an era begin as soon as it is heard of."""
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
        """Take what another gateway asks for, or what came of it."""
        if isinstance(message, messages.StageChangeRequest):
            self._tasks.once(self._send_for_peer(member, message))
            return
        if message.ordered:
            return
        for dispatcher in self._owner.dispatchers.values():
            if dispatcher.engines.is_awaited(message.engine):
                self._cancel_change(dispatcher, message.engine, message.stage)

    async def _send_for_peer(
        self, member: ids.MemberId, wanted: messages.StageChangeRequest
    ) -> None:
        """Give an order that another gateway decided on."""
        engine = self._directory.registry.find(wanted.engine)
        ordered = False
        if engine is not None:
            ordered = await self._send_if_possible(engine, wanted.stage)
        self._mesh.reply(
            member,
            messages.StageChangeReply(wanted.engine, wanted.stage, ordered),
        )

    async def _request_change(
        self,
        service: ids.ServiceName,
        dispatcher: dispatch.Dispatcher,
        engine: upstreams.Upstream,
        stage: upstreams.Stage,
    ) -> None:
        """Have one engine changed, and leave it alone meanwhile."""
        spec = self._directory.service(service)
        if spec is None or spec.engine is None:
            return
        lost_at = clock.now() + spec.engine.switch_time + _ORDER_TIMEOUT_S
        dispatcher.engines.record_stage_order(engine.id, stage, lost_at)
        other = self._mesh.member_reaching_store()
        if other is not None and not self._directory.reaches_store:
            _log.info('Order passed on.', engine=engine.id, member=other)
            me = self._mesh.me
            self._mesh.send(
                other, messages.StageChangeRequest(me, engine.id, stage)
            )
        elif not await self._send_if_possible(engine, stage):
            self._cancel_change(dispatcher, engine.id, stage)

    def _cancel_change(
        self,
        dispatcher: dispatch.Dispatcher,
        engine: ids.UpstreamId,
        stage: upstreams.Stage,
    ) -> None:
        """Use an engine as it is, and plan again after a while."""
        dispatcher.engines.record_stage_order(engine, stage, clock.now())
        dispatcher.rebalancer.reset_plan()
        self._retry_at = clock.now() + _RETRY_DELAY_S

    async def _send_if_possible(
        self, engine: upstreams.Upstream, stage: upstreams.Stage
    ) -> bool:
        """Give an order; return whether the engine may be changing now."""
        if self._notices.pause_seconds_left(engine.id):
            _log.info('Order put off.', engine=engine.id, why='paused')
            return False
        report = await self._read_report(engine)
        why = _postponement_reason(engine, report)
        if report is None or why:
            _log.info('Order put off.', engine=engine.id, why=why)
            return False
        fence = await self._lease.acquire()
        if fence is None:
            return False
        status = await self._send(engine, stage, fence, report.taken)
        return status in _MAYBE_ACCEPTED

    async def _send(
        self,
        engine: upstreams.Upstream,
        stage: upstreams.Stage,
        fence: int,
        taken: int,
    ) -> int:
        """Send an order; return its status, 0 if there was no answer."""
        order = engines.stage_order(stage.value, self._mesh.me, fence, taken)
        reply = await self._sender.request_small(
            'POST',
            engine.address,
            engines.ORDER,
            _CALL_TIMEOUT_S,
            body=order,
            headers=engines.pinned(engine.id),
        )
        status = 0 if isinstance(reply, errors.Failure) else reply[0]
        instruments.orders.add(1, {'status': str(status)})
        _log.info(
            'Order sent.',
            engine=engine.id,
            stage=stage.value,
            fence=fence,
            expected=taken,
            status=status,
        )
        return status

    async def _read_report(
        self, engine: upstreams.Upstream
    ) -> engines.Report | None:
        reply = await self._sender.request_small(
            'GET', engine.address, engines.REPORT, _CALL_TIMEOUT_S
        )
        if isinstance(reply, errors.Failure):
            return None
        report = engines.report(reply[1])
        return None if isinstance(report, errors.Failure) else report


def _postponement_reason(
    engine: upstreams.Upstream, report: engines.Report | None
) -> str:
    """Return why an engine gets no order now; empty if it may get one."""
    if report is None:
        return 'no report'
    if not report.is_of(engine.id):
        # It counts its orders anew: the order would be checked against the
        # count of a start that nobody has planned with.
        return 'started again'
    return 'busy' if report.busy else ''
