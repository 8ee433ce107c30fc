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

"""The controller: orders to engines, under one lease in the table.

One controller holds the lease and brings engines to what is declared;
the others stand by. A holder that can't renew sends nothing from half the
lease's length on.
"""

import asyncio
import typing

from aiohttp import web

from galenahatch import application
from galenahatch import cancelling
from galenahatch import clock
from galenahatch.core import lease as lease_module
from galenahatch.core import orders
from galenahatch.core import transaction
from galenahatch import errors
from galenahatch import ids
from galenahatch import logs
from galenahatch import messages
from galenahatch import schema
from galenahatch import states
from galenahatch import tasks
from galenahatch.upstream import engine as engine_client
import msgspec

LEASE_KEY: typing.Final = 'lease/controller'
LONGEST_ORDER: typing.Final = 2.5
_RENEWALS: typing.Final = 6
_LOOK: typing.Final = 1.0
READS_A_SECOND: typing.Final = 150
"""Engines that are read back a second, so that reading stays cheap."""
_AT_ONCE: typing.Final = 32
_log = logs.Log('controller')
_RECORD: typing.Final = msgspec.msgpack.Decoder(lease_module.Record)


class Controller(application.Daemon):
    """Application object of a controller."""

    async def start(self) -> None:
        """Open sockets and start tasks."""
        options = self.options
        self.open_clients(states.Role.CONTROLLER, _ignore)
        self._lease = lease_module.Lease(
            self.peers.member,
            self.peers.incarnation,
            options.lease,
            LONGEST_ORDER,
        )
        self._stored: bytes | None = None
        self._read_at = 0.0
        self._seen = ids.Revision(0)
        self._slots = asyncio.Semaphore(_AT_ONCE)
        self.peers.report(self._note_ready)
        self.start_peer_tasks()
        pause = options.lease / _RENEWALS
        self.tasks.run_forever(
            'lease', lambda: tasks.run_periodically(lambda: pause, self._renew)
        )
        self.tasks.run_forever(
            'orders',
            lambda: tasks.run_periodically(lambda: _LOOK, self._repair),
        )
        app = web.Application()
        app.add_routes(application.health_routes(self._why_not_ready))
        await self.listen(app, options.controller_http_port, options.keepalive)
        _log.info('Listening.', member=self.peers.member)

    async def stop(self, exception: Exception | None = None) -> None:
        """Send no further order and give the lease up."""
        application.ignore_signals(_log)
        was_holder = self._lease.is_holder(clock.now())
        self._lease.resign()
        self.peers.standing = states.Standing.LEAVING
        self.peers.broadcast(self.peers.heartbeat())
        await self.tasks.stop()
        if was_holder:
            await self._give_up()
        await self.close()

    def _why_not_ready(self) -> str:
        return '' if self.config.revision else 'no configuration'

    def _note_ready(self) -> None:
        self.peers.why_not_ready = self._why_not_ready()
        self.peers.load = int(self._lease.is_holder(clock.now()))

    async def _renew(self) -> None:
        """Read the lease, and renew it or take it over."""
        values = await self.table.read([LEASE_KEY])
        if isinstance(values, errors.Failure):
            return
        self._stored = values.get(LEASE_KEY)
        self._lease.observe(_decode(self._stored), clock.now())
        proposal = self._lease.propose(clock.now())
        if proposal is None:
            return
        began = clock.now()
        data = msgspec.msgpack.encode(proposal)
        done = await self.table.commit(_swap(self._stored, data))
        if isinstance(done, transaction.Committed):
            before = self._lease.fencing
            self._lease.record_accepted(proposal, began, clock.now())
            self._stored = data
            if before != proposal.fencing:
                _log.info('Lease taken.', fencing=proposal.fencing)

    async def _give_up(self) -> None:
        """Delete the lease, so that a standby need not wait it out."""
        if self._stored is not None:
            await self.table.commit(_swap(self._stored, None))

    async def _repair(self) -> None:
        """Read engines back and order what differs from what is wanted.

        Many engines are read less often, but at once after a change.
        """
        settings = self._declared()
        now = clock.now()
        if settings is None or not self._lease.may_send_orders(now):
            return
        if now < self._read_at and self._seen == self.config.revision:
            return
        self._seen = self.config.revision
        pause = len(settings.engines) / READS_A_SECOND
        self._read_at = now + max(_LOOK, pause)
        observed = await self._observe(settings.engines)
        wanted = orders.desired_orders(settings)
        engines = {engine.name: engine for engine in settings.engines}
        for send in orders.plan_orders(wanted, observed):
            if not self._lease.may_send_orders(clock.now()):
                return
            await self._order(engines[send.engine], send)

    async def _order(
        self, engine: schema.Engine, send: orders.PlannedOrder
    ) -> None:
        failure = await engine_client.order(
            self.engines,
            cancelling.url_of(engine),
            send.order,
            self._lease.fencing,
        )
        _log.info(
            'Order sent.',
            engine=engine.name,
            model=send.order.model,
            version=send.order.version,
            role=send.order.role,
            fencing=self._lease.fencing,
            why=send.why,
            result=failure.reason.name if failure else 'taken',
        )

    async def _observe(
        self, engines: tuple[schema.Engine, ...]
    ) -> dict[ids.EngineName, orders.Order]:
        found = await asyncio.gather(*(self._read(e) for e in engines))
        return {
            engine.name: order
            for engine, order in zip(engines, found, strict=True)
            if not isinstance(order, errors.Failure)
        }

    async def _read(
        self, engine: schema.Engine
    ) -> orders.Order | errors.Failure:
        async with self._slots:
            return await engine_client.running(
                self.engines, cancelling.url_of(engine)
            )

    def _declared(self) -> schema.Config | None:
        """Return the services and engines of all sites together."""
        services: dict[ids.ServiceName, schema.ModelService] = {}
        engines: dict[ids.EngineName, schema.Engine] = {}
        for settings in self.config.sites.values():
            for service in settings.services:
                services.setdefault(service.name, service)
            for engine in settings.engines:
                engines.setdefault(engine.name, engine)
        if not engines:
            return None
        return schema.Config(
            services=tuple(services.values()),
            engines=tuple(engines.values()),
        )


def _decode(data: bytes | None) -> lease_module.Record | None:
    if data is None:
        return None
    try:
        return _RECORD.decode(data)
    except msgspec.MsgspecError as error:
        _log.error('Lease is malformed.', detail=str(error))
        return None


def _swap(
    before: bytes | None, after: bytes | None
) -> transaction.Transaction:
    return transaction.Transaction(
        (transaction.Condition(LEASE_KEY, before),),
        (transaction.Write(LEASE_KEY, after),),
    )


def _ignore(message: messages.AnyMessage) -> None:
    """Take no part in other traffic."""
