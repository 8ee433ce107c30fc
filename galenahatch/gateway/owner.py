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

"""The owner: places the generations of all gateways that ask it.

Holds one dispatcher per model service, processes the progress that gateways
report, and replies to each placement request with a placement, a refusal or
a notice that the request is queued.
"""

import asyncio
import typing

from galenahatch import clock
from galenahatch.core import dispatch
from galenahatch.core import generations
from galenahatch.core import loadreports
from galenahatch.core import memory
from galenahatch.core import ratelimits
from galenahatch.core import retrybudget
from galenahatch.core import versionaffinity
from galenahatch.gateway import accounts as accounts_module
from galenahatch.gateway import affinity
from galenahatch.gateway import decisionmessages
from galenahatch.gateway import directory as directories
from galenahatch.gateway import frames
from galenahatch.gateway import instruments
from galenahatch.gateway import listing
from galenahatch.gateway import messages
from galenahatch.gateway import ownerfigures
from galenahatch.gateway import ownertypes
from galenahatch.gateway import placementjobs
from galenahatch.gateway import records
from galenahatch.gateway import refusals
from galenahatch.gateway import sentdecisions
from galenahatch.gateway import waitingmessages
from galenahatch import ids
from galenahatch import logs
from galenahatch import tasks

_ROUND_INTERVAL_S: typing.Final = 0.003
"""Interval between scheduling rounds; requests that arrive in between are
decided together in one round."""
_UNRESOLVED_INTERVAL_S: typing.Final = 0.05
"""Interval of checks whether the version of a stream has become known."""
_log = logs.Log('owner')


class Owner:
    """Places generations for this gateway and all others that ask it.

    Args:
        directory: Source of upstreams and services.
        budget: Retry budget of all gateways that ask.
        accounts: Quota accounts of customers, for all gateways that ask.
        limiter: Rate limiter of upstreams, for all gateways that ask.
        deliver: Sends a reply to a member.
        loads: Load reports of the engines.
        versions: Decides at which versions streams may run; any by default.
    """

    def __init__(
        self,
        directory: directories.Directory,
        budget: retrybudget.OwnerBudget,
        accounts: accounts_module.Accounts,
        limiter: ratelimits.Limiter,
        deliver: ownertypes.DeliverFunction,
        loads: loadreports.Loads | None = None,
        versions: ownertypes.VersionPolicy | None = None,
    ) -> None:
        self._directory = directory
        self._versions = versions or ownertypes.AnyVersion()
        self._listing = listing.Listing(self._versions)
        # Streams that wait until their version is known or may be used.
        self._unresolved: dict[ids.StreamId, ownertypes.Asked] = {}
        self._budget = budget
        self._accounts = accounts
        self._limiter = limiter
        self._deliver = deliver
        self._loads = loads or loadreports.Loads()
        self._dispatchers: dict[ids.ServiceName, dispatch.Dispatcher] = {}
        self._reply_functions: dict[
            ids.StreamId, ownertypes.ReplyFunction
        ] = {}
        self._sent = sentdecisions.SentDecisions()
        self._partitioned: set[ids.MemberId] = set()
        self._wake = asyncio.Event()
        directory.on_change(self.refresh_engines)

    def start(self, background: tasks.Tasks) -> None:
        """Start the scheduling task."""
        background.run_forever('decide', self._decide_forever)

    @property
    def dispatchers(
        self,
    ) -> typing.Mapping[ids.ServiceName, dispatch.Dispatcher]:
        """The dispatcher of each service."""
        return self._dispatchers

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for engines."""
        return sum(d.waiting_count for d in self._dispatchers.values())

    def handle_message(
        self, member: ids.MemberId, message: frames.AnyMessage
    ) -> None:
        """Handle a message from a gateway, which may be this one."""
        now = clock.now()
        if isinstance(message, messages.Withdraw | messages.Release):
            self._budget.give_back(message.stream, message.unsent)
        if isinstance(message, messages.PlacementRequest):
            self._handle_request(ownertypes.Asked(member, message, now))
        elif isinstance(message, messages.Heartbeat):
            self._budget.record_heartbeat(member, now)
            self.record_partition(member, message.is_partitioned)
            self._handle_running(message, now)
        elif isinstance(message, waitingmessages.WaitingRequests):
            self._handle_waiting(member, message.streams)
        elif isinstance(message, messages.Withdraw):
            self._withdraw(message.stream, now)
        elif isinstance(message, messages.QuotaRefund):
            self._accounts.refund_generation(message.customer, message.units)
        elif isinstance(
            message,
            messages.Prefilled | messages.Started | messages.Release,
        ):
            self._handle_progress(member, message, now)
        self._wake.set()

    def record_partition(
        self, member: ids.MemberId, is_partitioned: bool
    ) -> None:
        """Record whether a gateway reaches no upstream.

        What it reported of engines is withdrawn: its own paths failed.
        """
        if not is_partitioned:
            self._partitioned.discard(member)
            return
        self._partitioned.add(member)
        for dispatcher in self._dispatchers.values():
            dispatcher.engines.withdraw_failures(member)
        self._wake.set()

    def _withdraw(self, stream: ids.StreamId, now: float) -> None:
        self._sent.confirm(stream)
        self._reply_functions.pop(stream, None)
        self._unresolved.pop(stream, None)
        for dispatcher in self._dispatchers.values():
            withdrawn = dispatcher.withdraw(stream)
            if withdrawn is not None:
                self._accounts.refund_generation(
                    withdrawn.customer, withdrawn.units
                )
            dispatcher.release(stream, 0, 0.0, now)

    def figures(self) -> tuple[records.Figures, ...]:
        """Return the measured figures of each service."""
        return ownerfigures.encode(self._dispatchers)

    def adopt_figures(self, beat_reply: messages.HeartbeatReply) -> None:
        """Adopt the figures that another owner has measured."""
        for reported in beat_reply.figures:
            dispatcher = self._dispatcher(reported.service)
            if dispatcher is not None:
                dispatcher.adopt_figures(ownerfigures.decode(reported))

    def decline_all(self) -> None:
        """Decline all queued requests, so that they go to the next owner."""
        for stream, asked in list(self._unresolved.items()):
            self._deliver(asked.member, messages.Declined(stream))
        self._unresolved.clear()
        for stream, reply in list(self._reply_functions.items()):
            reply(messages.Declined(stream))
            for dispatcher in self._dispatchers.values():
                dispatcher.withdraw(stream)
        self._reply_functions.clear()

    def _handle_request(self, asked: ownertypes.Asked) -> None:
        """Decide on a request, or let it wait for versions."""
        member, request, arrived_at = asked
        self._unresolved.pop(request.stream, None)
        version: affinity.Resolution = request.version
        if request.resumes and not version:
            keys = request.resumes
            version = self._versions.resolve(request.service, keys, arrived_at)
        if isinstance(version, versionaffinity.Problem):
            refused = refusals.version_unknown(
                member, request.stream, request.resumes
            )
            self._deliver(member, refused)
        elif version is None or self._awaits_listing(asked, version):
            self._unresolved[request.stream] = asked
            self._deliver(member, messages.Queued(request.stream))
        else:
            self._submit(asked, version)

    def _awaits_listing(
        self, asked: ownertypes.Asked, version: ids.SoftwareVersion
    ) -> bool:
        dispatcher = self._dispatcher(asked.request.service)
        return dispatcher is not None and self._listing.must_wait(
            asked, version, dispatcher.engines.decodes
        )

    def _retry_unresolved(self) -> None:
        for asked in list(self._unresolved.values()):
            self._handle_request(asked)

    def _submit(
        self, asked: ownertypes.Asked, version: ids.SoftwareVersion
    ) -> None:
        member, request, arrived_at = asked
        now = clock.now()

        def reply(message: ownertypes.OwnerReply) -> None:
            self._deliver(member, message)

        dispatcher = self._dispatcher(request.service)
        if dispatcher is None:
            reply(messages.PlacementRefused(request.stream, 1.0, 'no_service'))
            return
        denied = self._accounts.grant(request.customer, request.units)
        if denied is not None:
            reply(refusals.over_quota(member, request, denied))
            return
        if request.attempt == 1:
            self._budget.record_request(request.service, now)
        sends, stream = request.extra_sends, request.stream
        if not self._budget.grant(request.service, sends, now, stream):
            reply(refusals.without_budget(member, request))
            return
        job = placementjobs.create(member, request, version, arrived_at)
        self._reply_functions[request.stream] = reply
        decision = dispatcher.submit(job, now)
        if decision is not None:
            self._send_decision(decision)
            return
        if dispatcher.waiting_count == 1:
            for decision in dispatcher.decide(now):
                self._send_decision(decision)
        if request.stream in self._reply_functions:
            reply(messages.Queued(request.stream))

    def _handle_running(self, beat: messages.Heartbeat, now: float) -> None:
        runs_by_service: dict[
            ids.ServiceName, list[tuple[ids.UpstreamId, memory.Run]]
        ] = {name: [] for name in self._dispatchers}
        for generation in beat.running:
            self._sent.confirm(generation.stream)
            run = placementjobs.run_of(generation, beat.member, now)
            if self._dispatcher(generation.service) is not None:
                runs = runs_by_service.setdefault(generation.service, [])
                runs.append((generation.decode, run))
        for service, runs in runs_by_service.items():
            self._dispatchers[service].reconcile_runs(beat.member, runs, now)

    def _handle_progress(
        self,
        member: ids.MemberId,
        message: messages.Prefilled | messages.Started | messages.Release,
        now: float,
    ) -> None:
        self._sent.confirm(message.stream)
        dispatcher = self._dispatcher(message.service)
        if dispatcher is None:
            return
        if isinstance(message, messages.Prefilled):
            dispatcher.record_prefill(message, now)
        elif isinstance(message, messages.Started):
            dispatcher.record_first_event(message.stream, now)
        else:
            dispatcher.release(
                message.stream, message.tokens, message.seconds, now
            )
            if member not in self._partitioned:
                self._record_failures(dispatcher, member, message, now)
            if message.kv_source:
                dispatcher.engines.record_transfer(message.kv_source)

    def _record_failures(
        self,
        dispatcher: dispatch.Dispatcher,
        member: ids.MemberId,
        release: messages.Release,
        now: float,
    ) -> None:
        for engine in release.failed:
            dispatcher.engines.record_failure(
                engine, now, engine == release.unreachable, member
            )

    def _dispatcher(
        self, service: ids.ServiceName
    ) -> dispatch.Dispatcher | None:
        dispatcher = self._dispatchers.get(service)
        if dispatcher is None:
            service_config = self._directory.service(service)
            if service_config is None or service_config.engine is None:
                return None
            dispatcher = dispatch.Dispatcher(
                service_config.engine.kv_tokens,
                service_config.engine.slots,
                self._limiter,
                service_config.engine.switch_time,
            )
            self._dispatchers[service] = dispatcher
            self._update_engines(service, dispatcher)
        return dispatcher

    def refresh_engines(self) -> None:
        """Update dispatchers and engines from the directory."""
        config = self._directory.config
        for name in config.services if config is not None else ():
            self._dispatcher(name)
        for service, dispatcher in self._dispatchers.items():
            self._update_engines(service, dispatcher)
        self._wake.set()

    def _update_engines(
        self, service: ids.ServiceName, dispatcher: dispatch.Dispatcher
    ) -> None:
        dispatcher.shares.configure(self._directory.fair_queuing_weights)
        registry = self._directory.registry
        now = clock.now()
        leaving = {
            key
            for key, upstream in registry.upstreams.items()
            if upstream.leaving
        }
        usable = self._listing.usable(service, registry.usable(service, now))
        if self._loads.reports_slowdown(engine.id for engine in usable):
            dispatcher.set_slowdowns(self._loads.slowdown)
        dispatcher.set_engines(usable, leaving, now)

    async def _decide_forever(self) -> None:
        while True:
            self._wake.clear()
            self._retry_unresolved()
            now = clock.now()
            delays = [_UNRESOLVED_INTERVAL_S] if self._unresolved else []
            for dispatcher in self._dispatchers.values():
                for decision in dispatcher.decide(now):
                    self._send_decision(decision)
                next_check_at = dispatcher.next_decision_at(now)
                if next_check_at is not None:
                    delays.append(next_check_at - now)
            await asyncio.sleep(_ROUND_INTERVAL_S)
            try:
                async with asyncio.timeout(min(delays, default=1.0)):
                    await self._wake.wait()
            except asyncio.TimeoutError:
                self._expire()

    def _expire(self) -> None:
        now = clock.now()
        for service, dispatcher in self._dispatchers.items():
            dispatcher.expire_runs(now)
            self._update_engines(service, dispatcher)

    def _send_decision(self, decision: generations.Decision) -> None:
        job = decision.job
        message = decisionmessages.create(decision)
        if isinstance(decision, generations.Placed):
            self._accounts.record_service(job, decision.cost)
        else:
            self._budget.give_back(job.stream)
            self._accounts.refund_generation(job.customer, job.units)
            self._accounts.record_no_room(job.customer)
        reply = self._reply_functions.pop(job.stream, None)
        if reply is not None:
            self._sent.record(job.entry, message, job, clock.now())
            reply(message)

    def _handle_waiting(
        self, member: ids.MemberId, streams: tuple[ids.StreamId, ...]
    ) -> None:
        """Send lost decisions again, and name unknown requests."""
        unknown = tuple(
            stream
            for stream in streams
            if stream not in self._reply_functions
            and stream not in self._unresolved
            and not self._send_again(member, stream)
        )
        if not unknown:
            return
        instruments.lost_decisions.add(len(unknown), {'remedy': 'asked again'})
        _log.warning(
            'Unknown requests wait.',
            member=member,
            streams=len(unknown),
            first=unknown[0],
        )
        self._deliver(member, waitingmessages.UnknownRequests(unknown))

    def _send_again(self, member: ids.MemberId, stream: ids.StreamId) -> bool:
        """Send a decision again; return whether the request is decided."""
        sent = self._sent.find(member, stream)
        if sent is None:
            return False
        now = clock.now()
        if sent.may_be_in_transit(now):
            return True
        if not sent.is_in_force(self._dispatchers.values()):
            self._sent.confirm(stream)
            job = sent.job
            self._accounts.refund_generation(job.customer, job.units)
            return False
        instruments.lost_decisions.add(1, {'remedy': 'sent again'})
        _log.warning(
            'Decision sent again.',
            stream=stream,
            member=member,
            decided_before=now - sent.sent_at,
        )
        self._deliver(member, sent.message)
        return True
