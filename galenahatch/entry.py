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

"""The entry: callers' HTTP on one side, schedulers and upstreams on the other.

The application object wires the parts, passes messages on to them, and
drains them on a planned stop.
"""

import asyncio
import typing

from aiohttp import web

from galenahatch import application
from galenahatch import attempt
from galenahatch import cancelling
from galenahatch import claiming as claiming_module
from galenahatch.core import leaving as leaving_module
from galenahatch.core import retry
from galenahatch import ids
from galenahatch import logs
from galenahatch import messages
from galenahatch import options as options_module
from galenahatch import placing as placing_module
from galenahatch import plain as plain_module
from galenahatch.platform import vms
from galenahatch import schema
from galenahatch import serving
from galenahatch import states
from galenahatch.upstream import http

_BODY_SECONDS: typing.Final = 30.0
_STOP_LOOK: typing.Final = 0.05
_STOP_LOG_EVERY: typing.Final = 100
_log = logs.Log('entry')


class Entry(application.Daemon):
    """Application object of an entry."""

    def __init__(self, options: options_module.Options) -> None:
        super().__init__(options)
        self._budgets: dict[ids.ServiceName, retry.RetryBudget] = {}
        self._leaving = leaving_module.LeavingUpstreams()

    async def start(self) -> None:
        """Open sockets and start tasks."""
        options = self.options
        self.open_clients(states.Role.ENTRY, self._received)
        self._once = http.session(
            options.connect_timeout, options.idle_timeout, reuse=False
        )
        self._placing = placing_module.Placing(
            self.peers, self.config, options.data_centre
        )
        self._claiming = claiming_module.Claiming(
            self.peers, self.objects, self.tasks, options.claim_timeout
        )
        self._canceller = cancelling.Canceller(
            self.engines, self.config.engine, self.tasks
        )
        self._means = self._make_means()
        self._plain = plain_module.Plain(
            self.engines, self._once, self._claiming, self._leaving
        )
        self._serving = serving.Serving(
            self.config, self._means, self._claiming, self._plain
        )
        self.config.listen(self._reconfigured)
        self.peers.listen(self._listed)
        self.peers.report(self._beat)
        self.start_peer_tasks()
        await self._serve()
        _log.info('Listening.', member=self.peers.member)

    async def stop(self, exception: Exception | None = None) -> None:
        """Refuse nothing until the balancer looks away, then drain."""
        application.ignore_signals(_log)
        self.peers.standing = states.Standing.LEAVING
        _log.info('Leaving.', in_flight=self._serving.in_flight)
        await asyncio.sleep(self.options.look_away)
        self._serving.closed = True
        await self._drain()
        self.peers.broadcast(self.peers.heartbeat())
        await self.close()
        await self._once.close()

    async def _drain(self) -> None:
        """Wait until nothing is in flight and every claim is settled."""
        looks = 0
        while (
            self._serving.in_flight
            or self._claiming.open
            or self._canceller.open
        ):
            if looks % _STOP_LOG_EVERY == 0:
                _log.info(
                    'Waiting.',
                    in_flight=self._serving.in_flight,
                    claims=self._claiming.open,
                    cancels=self._canceller.open,
                )
            looks += 1
            await asyncio.sleep(_STOP_LOOK)

    async def _serve(self) -> None:
        app = web.Application(
            client_max_size=self.options.max_body_bytes,
            middlewares=[self._serving.typed_errors],
        )
        app.add_routes(application.health_routes(self._why_not_ready))
        app.add_routes(self._serving.routes())
        await self.listen(
            app,
            self.options.entry_port,
            self.options.keepalive,
            self.options.max_header_bytes,
        )

    def _make_means(self) -> attempt.Means:
        return attempt.Means(
            member=self.peers.member,
            data_centre=self.options.data_centre,
            placing=self._placing,
            canceller=self._canceller,
            find=self.config.engine,
            repeatable=self.engines,
            once=self._once,
            budget=self._budget,
            site=self._site,
            revision=lambda: self.config.revision,
        )

    # News.

    def _received(self, message: messages.AnyMessage) -> None:
        if isinstance(message, messages.Placed | messages.GivenUp):
            self._placing.answered(message)
        else:
            self._claiming.take(message)

    def _reconfigured(self) -> None:
        self._placing.replan()
        self._leaving.record_configuration(
            self.config.revision, self.config.draining()
        )

    def _listed(self, listed: vms.VmList) -> None:
        self._leaving.record_vm_list(
            listed.version,
            (vm.address for vm in listed.vms if vm.state != 'live'),
        )

    def _beat(self) -> None:
        self.peers.load = self._serving.in_flight
        self.peers.why_not_ready = self._why_not_ready()
        self._placing.report()

    def _why_not_ready(self) -> str:
        if self.peers.standing is states.Standing.LEAVING:
            return 'leaving'
        if self.config.mine() is None:
            return 'no configuration'
        if not self.peers.schedulers():
            return 'no scheduler'
        return ''

    def _site(self) -> ids.SiteName:
        site = self.config.site()
        return site.name if site else ids.SiteName('')

    def _budget(self, service: schema.ModelService) -> retry.RetryBudget:
        budget = self._budgets.get(service.name)
        if budget is None:
            budget = retry.RetryBudget(service.retry_share)
            self._budgets[service.name] = budget
        return budget
