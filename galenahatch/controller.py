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

"""Controller: sends orders to engines while it holds a lease in the table.

One controller holds the lease and reconciles engines with the configuration;
the others are standbys. A holder that cannot renew its lease stops sending
orders after half of the lease's duration.
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
from galenahatch import decoding
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
MAX_ORDER_S: typing.Final = 2.5
_RENEWALS_PER_LEASE: typing.Final = 6
_RECONCILE_INTERVAL_S: typing.Final = 1.0
MAX_READS_PER_SECOND: typing.Final = 150
"""Limits how many engines are read per second, to keep polling cheap."""
_MAX_CONCURRENT_READS: typing.Final = 32
_log = logs.Log('controller')
_RECORD_DECODER: typing.Final = msgspec.msgpack.Decoder(lease_module.Record)


class Controller(application.Daemon):
    """Application object of a controller."""

    async def start(self) -> None:
        """Open sockets and start tasks."""
        options = self.options
        self.open_clients(states.Role.CONTROLLER, _ignore_message)
        self._lease = lease_module.Lease(
            self.peers.member,
            self.peers.incarnation,
            options.lease,
            MAX_ORDER_S,
        )
        self._stored_lease: bytes | None = None
        self._next_read_at = 0.0
        self._reconciled_revision = ids.Revision(0)
        self._slots = asyncio.Semaphore(_MAX_CONCURRENT_READS)
        self.peers.on_heartbeat(self._update_readiness)
        self.start_peer_tasks()
        interval = options.lease / _RENEWALS_PER_LEASE
        self.tasks.run_forever(
            'lease',
            lambda: tasks.run_periodically(lambda: interval, self._renew),
        )
        self.tasks.run_forever(
            'orders',
            lambda: tasks.run_periodically(
                lambda: _RECONCILE_INTERVAL_S, self._reconcile
            ),
        )
        app = web.Application()
        app.add_routes(application.health_routes(self._not_ready_reason))
        await self.listen(app, options.controller_http_port, options.keepalive)
        _log.info('Listening.', member=self.peers.member)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop sending orders and release the lease."""
        application.ignore_signals(_log)
        was_holder = self._lease.is_holder(clock.now())
        self._lease.resign()
        self.peers.standing = states.Standing.LEAVING
        self.peers.broadcast(self.peers.heartbeat())
        await self.tasks.stop()
        if was_holder:
            await self._delete_lease()
        await self.close()

    def _not_ready_reason(self) -> str:
        return '' if self.config.revision else 'no configuration'

    def _update_readiness(self) -> None:
        self.peers.not_ready_reason = self._not_ready_reason()
        self.peers.load = int(self._lease.is_holder(clock.now()))

    async def _renew(self) -> None:
        """Read the lease, and renew it or take it over."""
        values = await self.table.read([LEASE_KEY])
        if isinstance(values, errors.Failure):
            return
        self._stored_lease = values.get(LEASE_KEY)
        self._lease.observe(_decode(self._stored_lease), clock.now())
        proposal = self._lease.propose(clock.now())
        if proposal is None:
            return
        sent_at = clock.now()
        data = msgspec.msgpack.encode(proposal)
        result = await self.table.commit(
            _compare_and_swap(self._stored_lease, data)
        )
        if isinstance(result, transaction.Committed):
            previous_fencing = self._lease.fencing
            self._lease.record_accepted(proposal, sent_at, clock.now())
            self._stored_lease = data
            if previous_fencing != proposal.fencing:
                _log.info('Lease taken.', fencing=proposal.fencing)

    async def _delete_lease(self) -> None:
        """Delete the lease so that a standby need not wait for its expiry."""
        if self._stored_lease is not None:
            await self.table.commit(
                _compare_and_swap(self._stored_lease, None)
            )

    async def _reconcile(self) -> None:
        """Read the engines' state and send orders where it differs.

        The interval grows with the number of engines, but a new revision is
        reconciled at once.
        """
        settings = self._merged_config()
        now = clock.now()
        if settings is None or not self._lease.may_send_orders(now):
            return
        if (
            now < self._next_read_at
            and self._reconciled_revision == self.config.revision
        ):
            return
        self._reconciled_revision = self.config.revision
        interval = len(settings.engines) / MAX_READS_PER_SECOND
        self._next_read_at = now + max(_RECONCILE_INTERVAL_S, interval)
        observed = await self._observe(settings.engines)
        desired = orders.desired_orders(settings)
        engines = {engine.name: engine for engine in settings.engines}
        for planned in orders.plan_orders(desired, observed):
            if not self._lease.may_send_orders(clock.now()):
                return
            await self._send_order(engines[planned.engine], planned)

    async def _send_order(
        self, engine: schema.Engine, planned: orders.PlannedOrder
    ) -> None:
        failure = await engine_client.send_order(
            self.engines,
            cancelling.url_of(engine),
            planned.order,
            self._lease.fencing,
        )
        _log.info(
            'Order sent.',
            engine=engine.name,
            model=planned.order.model,
            version=planned.order.version,
            role=planned.order.role,
            fencing=self._lease.fencing,
            why=planned.why,
            result=failure.reason.name if failure else 'taken',
        )

    async def _observe(
        self, engines: tuple[schema.Engine, ...]
    ) -> dict[ids.EngineName, orders.Order]:
        results = await asyncio.gather(*(self._read_order(e) for e in engines))
        return {
            engine.name: order
            for engine, order in zip(engines, results, strict=True)
            if not isinstance(order, errors.Failure)
        }

    async def _read_order(
        self, engine: schema.Engine
    ) -> orders.Order | errors.Failure:
        async with self._slots:
            return await engine_client.fetch_order(
                self.engines, cancelling.url_of(engine)
            )

    def _merged_config(self) -> schema.Config | None:
        """Return the services and engines of all sites, merged."""
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
    record = decoding.decode(_RECORD_DECODER, data, errors.BAD_FRAME)
    if isinstance(record, errors.Failure):
        _log.error('Lease record is malformed.', detail=record.detail)
        return None
    return record


def _compare_and_swap(
    before: bytes | None, after: bytes | None
) -> transaction.Transaction:
    return transaction.Transaction(
        (transaction.Condition(LEASE_KEY, before),),
        (transaction.Write(LEASE_KEY, after),),
    )


def _ignore_message(message: messages.AnyMessage) -> None:
    """Ignore a message; controllers handle no traffic of other daemons."""
