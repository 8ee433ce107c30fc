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

"""The gateway service: one process with one event loop on each VM.

Request handling, placement and membership are components of one program, each
with its own tasks and state. On small VMs, a second process would cost memory
and an extra hop for each request, and would also need supervision.

The owner is the gateway that all gateways ask to place their generations.
"""

import asyncio
import typing

import aiohttp
import aiomisc

from galenahatch import clock
from galenahatch.core import balance
from galenahatch.core import loadreports
from galenahatch.core import retrybudget
from galenahatch.core import retryvalue
from galenahatch import errors
from galenahatch.gateway import accounts as accounts_module
from galenahatch.gateway import affinity
from galenahatch.gateway import affinitymessages
from galenahatch.gateway import callgrants
from galenahatch.gateway import callmessages
from galenahatch.gateway import callowner
from galenahatch.gateway import calls
from galenahatch.gateway import connections
from galenahatch.gateway import contention
from galenahatch.gateway import context as contexts
from galenahatch.gateway import directory as directories
from galenahatch.gateway import draining
from galenahatch.gateway import exchanges
from galenahatch.gateway import flowcontrol
from galenahatch.gateway import frames
from galenahatch.gateway import frontend
from galenahatch.gateway import instruments
from galenahatch.gateway import loads as loads_module
from galenahatch.gateway import mesh as meshes
from galenahatch.gateway import messages
from galenahatch.gateway import notices
from galenahatch.gateway import orders
from galenahatch.gateway import outcomes
from galenahatch.gateway import overload
from galenahatch.gateway import owner_client
from galenahatch.gateway import proxying
from galenahatch.gateway import proxymessages
from galenahatch.gateway import quarantine
from galenahatch.gateway import ratelimits
from galenahatch.gateway import repeatresults
from galenahatch.gateway import reports
from galenahatch.gateway import roster
from galenahatch.gateway import sender as senders
from galenahatch.gateway import sessions
from galenahatch.gateway import settings as settings_module
from galenahatch.gateway import waitingmessages
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import deployment
from galenahatch.platform import store as stores
from galenahatch import tasks
from galenahatch.upstream import http

METRICS_PORT: typing.Final = 9464
"""Port of the metrics; the deployment file names the same port."""
_EXIT_MARGIN_S: typing.Final = 0.4
"""Seconds before the end of the grace period at which the process exits."""
_ABORT_TIMEOUT_S: typing.Final = 0.05
"""Seconds for requests still in flight at the end to handle their abort."""
_REFRESH_INTERVAL_S: typing.Final = 1.0
"""Seconds between two updates of the members and known upstreams."""
_log = logs.Log('gateway')


class Gateway(aiomisc.Service):
    """The gateway as a service.

    Args:
        settings: Settings of this process.
        settings_path: Path of the settings file.
    """

    def __init__(
        self, settings: settings_module.Settings, settings_path: str
    ) -> None:
        super().__init__()
        self._settings = settings
        self._path = settings_path
        self._background_tasks = tasks.Tasks()
        self._is_stopping = False
        self._drain = draining.Drain()
        self._run_clock = draining.RunClock()
        self._exits_at = 0.0

    async def start(self) -> None:
        """Create all components and start to listen."""
        self._open()
        await self._listen()
        self._start_tasks()
        front = str(self._settings.front)
        _log.info('Listening.', vm=self._settings.name, front=front)

    def _open(self) -> None:
        settings, bounds = self._settings, self._settings.bounds
        self._client = aiohttp.ClientSession(
            connector=http.Connector(
                limit=0, socket_factory=sessions.create_socket
            )
        )
        self._store = stores.Store(self._client, str(settings.store))
        self._store.eras.on_change = instruments.record_era
        self._directory = directories.Directory(
            self._store,
            self._background_tasks,
            bounds.drain,
            settings.heartbeat,
            settings.features.fair_queuing,
            bounds.contact,
        )
        self._load_reports = loadreports.Loads()
        self._rate_limits = ratelimits.RateLimits()
        self._notices = notices.Notices(self._directory)
        self._open_senders()
        self._local_retry_budget = retrybudget.LocalBudget(
            bounds.retry_ratio, bounds.retry_reserve, bounds.retry_window
        )
        self._owner_retry_budget = retrybudget.OwnerBudget(
            bounds.retry_ratio, bounds.retry_reserve, bounds.retry_window
        )
        self._accounts = accounts_module.Accounts(
            self._directory, bounds.quota
        )
        self._open_owner()
        self._open_plain_calls()
        self._open_mesh()

    def _open_owner(self) -> None:
        """Create the components that place generations."""
        self._affinity = affinity.VersionAffinity(
            self._directory,
            self._store,
            self._settings.address,
            self._settings.max_row_bytes,
        )
        self._owner_client = owner_client.OwnerClient(
            self._directory,
            self._settings.data_centre,
            self._owner_retry_budget,
            self._accounts,
            self._rate_limits.limiter,
            self._notices.pauses_left,
            self._load_reports,
            self._affinity,
        )
        self._affinity.on_read = self._owner_client.owner.refresh_engines

    def _open_senders(self) -> None:
        """Create the components that send to upstreams."""
        settings = self._settings
        self._flow = flowcontrol.create(
            settings.features.flow_control, settings.memory_bytes
        )
        self._overload = overload.OverloadManager(settings, clock.RANDOM)
        self._direct_sender = senders.Sender(
            self._flow, settings.address, self._overload.meter
        )
        self._proxying = proxying.Proxying(
            settings,
            self._direct_sender,
            self._flow,
            lambda: not self._overload.is_in_rotation,
            self._background_tasks,
        )
        self._sender = self._proxying.sender
        self._direct_sender.on_response_head = self._record_answer
        self._directory.on_restart(self._sender.waits.cancel_older)

    def _open_plain_calls(self) -> None:
        """Create the components that admit and balance plain calls."""
        settings = self._settings
        self._balancer = balance.Balancer(
            clock.RANDOM, settings.data_centre, self._load_reports
        )
        self._loads = loads_module.LoadExchange(
            self._load_reports, self._balancer
        )
        self._exchange = outcomes.OutcomeExchange(self._balancer.outliers)
        self._retry_value = retryvalue.RetryValue()
        self._contention = contention.Contention(
            self._directory,
            self._load_reports,
            settings.features.admission_control,
        )
        self._call_owner = callowner.CallOwner(self._directory)
        self._call_grants = callgrants.CallGrants(
            self._directory,
            self._contention,
            self._call_owner,
            settings.data_centre,
        )

    def _open_mesh(self) -> None:
        """Create the components that communicate with other gateways."""
        settings = self._settings
        self._guard = quarantine.Guard(
            self._sender.refuses_connections, self._store, roster.MEMBER_TABLE
        )
        self._mesh = meshes.Mesh(
            self._store,
            settings.address,
            roster.MemberRow(
                settings.peer_port, settings.data_centre, settings.proxy_port
            ),
            self._directory,
            exchanges.Exchanges(
                self._exchange,
                self._guard,
                self._accounts,
                self._rate_limits,
                self._notices,
                self._loads,
                repeatresults.RepeatExchange(self._retry_value),
            ),
            self._handle_message,
            self._background_tasks,
        )
        self._orders = orders.Orders(
            self._store,
            self._mesh,
            self._owner_client.owner,
            self._directory,
            self._direct_sender,
            self._sender.is_lost,
            self._notices,
            settings.bounds.lease,
            self._background_tasks,
        )

    def _handle_message(
        self, member: ids.MemberId, message: frames.AnyMessage
    ) -> None:
        """Dispatch a message of another gateway."""
        if isinstance(
            message, messages.StageChangeRequest | messages.StageChangeReply
        ):
            self._orders.handle_message(member, message)
        elif isinstance(
            message, messages.PermitRequest | messages.PermitReply
        ):
            self._rate_limits.handle_message(member, message)
        elif isinstance(message, proxymessages.AnyProxyMessage):
            self._proxying.offers.handle_message(member, message)
        elif isinstance(message, affinitymessages.AnyAffinityMessage):
            self._affinity.handle_message(member, message)
        elif isinstance(message, callmessages.OwnerRequest):
            self._call_owner.handle_message(member, message)
        elif isinstance(message, callmessages.AnyCallMessage):
            self._call_grants.handle_message(member, message)
        else:
            if isinstance(message, callowner.SHARED_MESSAGES):
                self._call_owner.handle_message(member, message)
            elif isinstance(message, waitingmessages.UnknownRequests):
                self._call_grants.handle_message(member, message)
            self._owner_client.handle_message(member, message)

    def _record_answer(
        self,
        upstream: ids.UpstreamId,
        sent_at: float,
        head: calls.ResponseHead,
    ) -> None:
        """Record what an upstream's answer says about further requests."""
        self._rate_limits.observe_response(upstream, sent_at, head)
        self._notices.record_answer(upstream, sent_at, head)
        self._loads.record_answer(upstream, head)

    def _start_tasks(self) -> None:
        """Start the background tasks."""
        self._directory.run()
        self._mesh.run()
        self._owner_client.start(self._mesh, self._background_tasks)
        self._affinity.start(self._mesh, self._background_tasks)
        self._call_owner.start(self._mesh, self._background_tasks)
        self._call_grants.start(self._mesh, self._background_tasks)
        reports.ReportPoller(
            self._directory,
            self._mesh,
            self._owner_client.owner,
            self._sender,
            self._rate_limits.limiter,
            self._notices,
            self._loads,
        ).start(self._background_tasks)
        self._orders.run()
        self._background_tasks.run_forever('clock', self._run_clock.run)
        self._background_tasks.run_forever('members', self._refresh)
        self._overload.start(
            self._mesh.members, self._mesh.me, self._background_tasks
        )

    def _context(self) -> contexts.Context:
        return contexts.Context(
            directory=self._directory,
            sender=self._sender,
            balancer=self._balancer,
            budget=self._local_retry_budget,
            owner_client=self._owner_client,
            affinity=self._affinity,
            guard=self._guard,
            accounts=self._accounts,
            rate_limits=self._rate_limits,
            notices=self._notices,
            tasks=self._background_tasks,
            loads=self._load_reports,
            contention=self._contention,
            call_grants=self._call_grants,
            flow=self._flow,
            retry_value=self._retry_value,
            overload=self._overload,
            drain=self._drain,
        )

    async def _listen(self) -> None:
        settings = self._settings
        self._frontend = frontend.HttpFrontend(self._context())
        limits = self._directory.limits
        self._callers = connections.Server(
            self._frontend.handle,
            limits,
            self._flow.paces_callers,
            self._overload.meter,
            self._overload.admits,
        )
        probes = connections.Server(self._frontend.ready, limits)
        metrics = connections.Server(self._frontend.metrics, limits)
        metrics_address = settings_module.Address(
            settings.address, METRICS_PORT
        )
        for server, address in (
            (self._callers, settings.front),
            (probes, settings.readiness),
            (metrics, metrics_address),
        ):
            await server.listen(address)
        await self._proxying.start(
            self._mesh,
            self._directory,
            self._notices,
            self._owner_client.owner,
        )

    async def _refresh(self) -> None:
        """Update the number of members and discard removed upstreams."""
        while True:
            self._local_retry_budget.set_members(self._mesh.size)
            self._owner_retry_budget.set_members(self._mesh.size)
            known = self._directory.registry.upstreams
            self._balancer.prune(known)
            self._exchange.prune(known)
            self._rate_limits.prune(known)
            self._notices.prune(known)
            self._loads.refresh(known)
            self._sender.prune(known)
            await asyncio.sleep(_REFRESH_INTERVAL_S)

    def reload(self) -> None:
        """Read the settings file again and log whether it has changed.

        The settings in use stay as they are.
        """
        settings = deployment.load(self._path)
        if isinstance(settings, errors.Failure):
            _log.error('Settings kept.', detail=settings.detail)
            return
        _log.info('Settings read again.', changed=settings != self._settings)

    def begin_shutdown(self) -> None:
        """Begin to stop, unless that has already begun."""
        if self._is_stopping:
            _log.info('Shutdown is already in progress.')
            return
        self._is_stopping = True
        now, grace = clock.now(), self._settings.bounds.grace
        self._exits_at = now + self._run_clock.grace_left(grace, now)
        asyncio.get_running_loop().stop()

    async def stop(self, exception: Exception | None = None) -> None:
        """Finish requests in flight, then close."""
        began_at = clock.now()
        grace = self._settings.bounds.grace
        exit_at = (self._exits_at or began_at + grace) - _EXIT_MARGIN_S
        self._drain.begin(began_at + draining.BALANCER_DRAIN_S, exit_at)
        self._mesh.leaving = True
        self._proxying.drain()
        self._owner_client.owner.decline_all()
        self._call_owner.decline_all()
        _log.info('Stopping.', in_flight=self._frontend.in_flight)
        await draining.wait_for_balancer(exit_at)
        await self._drain.wait_for_requests(
            self._callers.drain,
            lambda: self._frontend.in_flight + self._proxying.in_flight,
        )
        self._callers.stop_listening()
        _log.info(
            'Stopped.',
            in_flight=self._frontend.in_flight,
            connections=len(self._callers.connections),
            closed_idle=self._callers.closed_idle,
            seconds=clock.now() - began_at,
        )
        self._frontend.prepare_exit()
        await self._callers.shutdown(_ABORT_TIMEOUT_S)
        await self._proxying.stop(_ABORT_TIMEOUT_S)
        await self._background_tasks.stop()
        await self._sender.close()
        await self._client.close()
        self._mesh.close()
