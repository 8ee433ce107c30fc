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

Only the owner gives orders, and only while it holds a lease in the store
(`gateway/lease`).

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
from galenahatch.gateway import owner as owners
from galenahatch.gateway import sender as senders
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import engines
from galenahatch.platform import store as stores
from galenahatch import tasks

_LOOK_EVERY: typing.Final = 0.5
_CALL_TIMEOUT: typing.Final = 0.6
_LOST_AFTER: typing.Final = 8.0
"""Seconds beyond the change itself after which an order counts as lost;
runs of the engine are finished before it changes."""
_AFTER_REFUSAL: typing.Final = 3.0
_log = logs.Log('orders')


class Orders:
    """The part of a gateway that gives orders.

    Args:
        store: holds the lease.
        mesh: tells who is the owner.
        owner: tells which engines should change.
        directory: tells how long a change takes.
        sender: for calls to engines.
        lease: seconds between the orders of two holders.
    """

    def __init__(
        self,
        store: stores.Store,
        mesh: meshes.Mesh,
        owner: owners.Owner,
        directory: directories.Directory,
        sender: senders.Sender,
        lease: float,
    ) -> None:
        self._mesh = mesh
        self._owner = owner
        self._directory = directory
        self._sender = sender
        self._lease = leases.Lease(store, mesh.me, lease)
        self._pause_until = 0.0

    def run(self, background: tasks.Tasks) -> None:
        """Start to give orders whenever this gateway is the owner."""
        background.keep('orders', self._forever)

    async def _forever(self) -> None:
        while True:
            await asyncio.sleep(_LOOK_EVERY)
            now = clock.now()
            if self._mesh.owner() != self._mesh.me or now < self._pause_until:
                continue
            for service, found in list(self._owner.dispatchers.items()):
                for engine, stage in found.changes(now):
                    _log.info(
                        'Change wanted.',
                        engine=engine.id,
                        stage=stage.value,
                        prefills=len(found.engines.prefills),
                        decodes=len(found.engines.decodes),
                        **found.measured._asdict(),
                    )
                    await self._change(service, found, engine, stage)

    async def _change(
        self,
        service: ids.ServiceName,
        dispatcher: dispatch.Dispatcher,
        engine: upstreams.Upstream,
        stage: upstreams.Stage,
    ) -> None:
        spec = self._directory.service(service)
        if spec is None or spec.engine is None:
            return
        report = await self._report(engine)
        if report is None or report.busy:
            _log.info(
                'Order put off.',
                engine=engine.id,
                why='no report' if report is None else 'busy',
            )
            self._pause_until = clock.now() + _AFTER_REFUSAL
            return
        fence = await self._lease.fence()
        if fence is None:
            self._pause_until = clock.now() + _AFTER_REFUSAL
            return
        lost_at = clock.now() + spec.engine.switch + _LOST_AFTER
        dispatcher.engines.changing(engine.id, stage, lost_at)
        status = await self._send(engine, stage, fence, report.taken)
        if status not in (0, 200, 202):
            dispatcher.engines.changing(engine.id, stage, clock.now())
            self._pause_until = clock.now() + _AFTER_REFUSAL

    async def _send(
        self,
        engine: upstreams.Upstream,
        stage: upstreams.Stage,
        fence: int,
        taken: int,
    ) -> int:
        """Send an order; return its status, 0 if there was no answer."""
        order = engines.stage_order(stage.value, self._mesh.me, fence, taken)
        reply = await self._sender.small(
            'POST',
            engine.address,
            engines.ORDER,
            _CALL_TIMEOUT,
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

    async def _report(
        self, engine: upstreams.Upstream
    ) -> engines.Report | None:
        reply = await self._sender.small(
            'GET', engine.address, engines.REPORT, _CALL_TIMEOUT
        )
        if isinstance(reply, errors.Failure):
            return None
        report = engines.report(reply[1])
        return None if isinstance(report, errors.Failure) else report
