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

"""Entry: serves callers' HTTP requests through schedulers and upstreams.

The application object creates the components, dispatches messages to them,
and drains them on a planned stop.
"""

import asyncio
import typing

from aiohttp import web

from galenahatch import application
from galenahatch import attempt
from galenahatch import cancelling
from galenahatch import claimclient
from galenahatch.core import leaving as leaving_module
from galenahatch.core import retry
from galenahatch import ids
from galenahatch import logs
from galenahatch import messages
from galenahatch import options as options_module
from galenahatch import placementclient
from galenahatch import plainservices
from galenahatch.platform import vms
from galenahatch import schema
from galenahatch import serving
from galenahatch import states
from galenahatch.upstream import http

_BODY_TIMEOUT_S: typing.Final = 30.0
_DRAIN_POLL_S: typing.Final = 0.05
_POLLS_PER_DRAIN_LOG: typing.Final = 100
_log = logs.Log('entry')


class Entry(application.Daemon):
    """Application object of an entry."""

    def __init__(self, options: options_module.Options) -> None:
        super().__init__(options)
        self._retry_budgets: dict[ids.ServiceName, retry.RetryBudget] = {}
        self._leaving_upstreams = leaving_module.LeavingUpstreams()

    async def start(self) -> None:
        """Open sockets and start tasks."""
        options = self.options
        self.open_clients(states.Role.ENTRY, self._handle_message)
        self._non_idempotent_session = http.session(
            options.connect_timeout, options.idle_timeout, reuse=False
        )
        self._placement = placementclient.PlacementClient(
            self.peers, self.config, options.data_centre
        )
        self._claims = claimclient.ClaimClient(
            self.peers, self.objects, self.tasks, options.claim_timeout
        )
        self._canceller = cancelling.Canceller(
            self.engines, self.config.engine, self.tasks
        )
        self._attempt_context = self._create_attempt_context()
        self._plain_services = plainservices.PlainServices(
            self.engines,
            self._non_idempotent_session,
            self._claims,
            self._leaving_upstreams,
        )
        self._serving = serving.Serving(
            self.config,
            self._attempt_context,
            self._claims,
            self._plain_services,
        )
        self.config.on_change(self._apply_configuration)
        self.peers.on_vm_list(self._apply_vm_list)
        self.peers.on_heartbeat(self._update_heartbeat)
        self.start_peer_tasks()
        await self._start_listening()
        _log.info('Listening.', member=self.peers.member)

    async def stop(self, exception: Exception | None = None) -> None:
        """Serve until the load balancer stops sending requests, then drain."""
        application.ignore_signals(_log)
        self.peers.standing = states.Standing.LEAVING
        _log.info('Planned stop began.', in_flight=self._serving.in_flight)
        await asyncio.sleep(self.options.look_away)
        self._serving.draining = True
        await self._drain()
        self.peers.broadcast(self.peers.heartbeat())
        await self.close()
        await self._non_idempotent_session.close()

    async def _drain(self) -> None:
        """Wait for requests in flight, unsettled claims and cancellations."""
        poll_count = 0
        while (
            self._serving.in_flight
            or self._claims.unsettled_count
            or self._canceller.pending_count
        ):
            if poll_count % _POLLS_PER_DRAIN_LOG == 0:
                _log.info(
                    'Waiting for pending work before the stop.',
                    in_flight=self._serving.in_flight,
                    claims=self._claims.unsettled_count,
                    cancels=self._canceller.pending_count,
                )
            poll_count += 1
            await asyncio.sleep(_DRAIN_POLL_S)

    async def _start_listening(self) -> None:
        app = web.Application(
            client_max_size=self.options.max_body_bytes,
            middlewares=[self._serving.typed_errors],
        )
        app.add_routes(application.health_routes(self._not_ready_reason))
        app.add_routes(self._serving.routes())
        await self.listen(
            app,
            self.options.entry_port,
            self.options.keepalive,
            self.options.max_header_bytes,
        )

    def _create_attempt_context(self) -> attempt.AttemptContext:
        return attempt.AttemptContext(
            member=self.peers.member,
            data_centre=self.options.data_centre,
            placement=self._placement,
            canceller=self._canceller,
            find_engine=self.config.engine,
            idempotent_session=self.engines,
            non_idempotent_session=self._non_idempotent_session,
            retry_budget_of=self._retry_budget_of,
            current_site=self._current_site,
            current_revision=lambda: self.config.revision,
        )

    # Messages and state changes.

    def _handle_message(self, message: messages.AnyMessage) -> None:
        if isinstance(message, messages.Placed | messages.GivenUp):
            self._placement.handle_reply(message)
        else:
            self._claims.handle_message(message)

    def _apply_configuration(self) -> None:
        self._placement.apply_configuration()
        self._leaving_upstreams.record_configuration(
            self.config.revision, self.config.drained_upstreams()
        )

    def _apply_vm_list(self, vm_list: vms.VmList) -> None:
        self._leaving_upstreams.record_vm_list(
            vm_list.version,
            (vm.address for vm in vm_list.vms if vm.state != 'live'),
        )

    def _update_heartbeat(self) -> None:
        self.peers.load = self._serving.in_flight
        self.peers.not_ready_reason = self._not_ready_reason()
        self._placement.send_reports()

    def _not_ready_reason(self) -> str:
        if self.peers.standing is states.Standing.LEAVING:
            return 'leaving'
        if self.config.own_config() is None:
            return 'no configuration'
        if not self.peers.schedulers():
            return 'no scheduler'
        return ''

    def _current_site(self) -> ids.SiteName:
        site = self.config.site()
        return site.name if site else ids.SiteName('')

    def _retry_budget_of(
        self, service: schema.ModelService
    ) -> retry.RetryBudget:
        budget = self._retry_budgets.get(service.name)
        if budget is None:
            budget = retry.RetryBudget(service.retry_share)
            self._retry_budgets[service.name] = budget
        return budget
