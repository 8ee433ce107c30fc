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

"""The owner's side of admission control: grants sends to plain services.

Holds one `CallAdmission` per service whose calls need grants, replies to each
request with a grant, a rejection or a notice that the call is queued, and
tells all gateways while a service is contended. State is in memory only; a
successor starts from the loads that upstreams report.
"""

import asyncio
import collections.abc
import math
import typing

from galenahatch import clock
from galenahatch.core import calladmission
from galenahatch.core import loadreports
from galenahatch.core import plaincalls
from galenahatch.core import sharetimes
from galenahatch.gateway import callgauges
from galenahatch.gateway import callmessages
from galenahatch.gateway import directory as directories
from galenahatch.gateway import frames
from galenahatch.gateway import instruments
from galenahatch.gateway import messages
from galenahatch.gateway import records
from galenahatch.gateway import waitingmessages
from galenahatch import ids
from galenahatch import logs
from galenahatch import tasks

_IDLE_INTERVAL_S: typing.Final = 1.0
"""Interval of checks while no decision is due; entries of upstreams lapse
without an event."""
_MIN_INTERVAL_S: typing.Final = 0.002
"""Shortest time between two rounds of decisions that are due by time alone."""
_BROADCAST_INTERVAL_S: typing.Final = 0.5
"""Shortest time between two broadcasts about contention; heartbeat replies
carry what changes in between."""
_log = logs.Log('callowner')


class Peers(typing.Protocol):
    """Interface to the other gateways."""

    me: ids.MemberId

    @property
    def heartbeat_window(self) -> float:
        """Seconds within which each reachable member sends a heartbeat."""
        ...

    def owner(self) -> ids.MemberId:
        """Return the member that is the owner."""
        ...

    def reply(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
        """Reply to a gateway."""
        ...

    def broadcast(self, message: frames.AnyMessage) -> None:
        """Send a message to all gateways that ask this one."""
        ...


SHARED_MESSAGES = messages.Heartbeat | waitingmessages.WaitingRequests
"""Messages that concern plain calls and generations."""
DeliverFunction = collections.abc.Callable[
    [ids.MemberId, callmessages.OwnerMessage], None
]


class CallOwner:
    """Decides on the plain calls of all gateways that ask this one.

    Args:
        directory: Source of upstreams, services and customers.

    Attributes:
        deliver_locally: Handles a message to this gateway itself.
    """

    def __init__(self, directory: directories.Directory) -> None:
        self._directory = directory
        self._peers: Peers | None = None
        self._admissions: dict[
            ids.ServiceName, calladmission.CallAdmission
        ] = {}
        self._queued: dict[plaincalls.CallKey, ids.ServiceName] = {}
        self._contended: frozenset[ids.ServiceName] = frozenset()
        self._announced: frozenset[ids.ServiceName] = frozenset()
        self._announced_at = 0.0
        self._was_owner = False
        self._wake = asyncio.Event()
        self.deliver_locally: DeliverFunction = lambda member, message: None
        directory.on_change(self._refresh)
        callgauges.register(self)

    @property
    def contended(self) -> frozenset[ids.ServiceName]:
        """Services whose calls need a grant."""
        return self._contended

    def snapshots(self) -> dict[ids.ServiceName, calladmission.Snapshot]:
        """Return the state of each service's admission, for operators."""
        now = clock.now()
        return {
            service: admission.snapshot(now)
            for service, admission in self._admissions.items()
        }

    def start(self, peers: Peers, background: tasks.Tasks) -> None:
        """Connect to the other gateways and start the scheduling task."""
        self._peers = peers
        background.run_forever('decide calls', self._decide_forever)

    def handle_message(
        self, member: ids.MemberId, message: frames.AnyMessage
    ) -> None:
        """Handle a message from a gateway, which may be this one."""
        now = clock.now()
        if isinstance(message, callmessages.CallRequest):
            self._handle_request(member, message, now)
        elif isinstance(message, callmessages.CallEnded):
            self._handle_end(member, message, now)
        elif isinstance(message, callmessages.LoadNotice):
            for load in message.loads:
                self._record_load(message.service, load, now)
            self._decide(message.service, now)
        elif isinstance(message, waitingmessages.WaitingRequests):
            self._handle_waiting(member, message.calls)
        elif isinstance(message, messages.Heartbeat) and self._contended:
            self._deliver(member, self._contention(self._contended))

    def decline_all(self) -> None:
        """Decline all queued calls, so that they go to the next owner."""
        now = clock.now()
        for key, service in list(self._queued.items()):
            self._deliver(key.member, callmessages.CallDeclined(key.number))
            self._admissions[service].end(
                key, plaincalls.SendResult.CANCELLED, 0.0, now
            )
        if self._queued:
            _log.info('Queued calls declined.', calls=len(self._queued))
        self._queued.clear()

    # Messages of gateways.

    def _handle_waiting(
        self, member: ids.MemberId, numbers: tuple[int, ...]
    ) -> None:
        """Name calls that don't wait here; lost grants end at deadlines."""
        unknown = tuple(
            number
            for number in numbers
            if plaincalls.CallKey(member, number) not in self._queued
        )
        if unknown:
            remedy = {'remedy': 'call declined'}
            instruments.lost_decisions.add(len(unknown), remedy)
            message = waitingmessages.UnknownRequests(calls=unknown)
            self._deliver(member, message)

    def _handle_request(
        self,
        member: ids.MemberId,
        request: callmessages.CallRequest,
        now: float,
    ) -> None:
        self._decline_if_replaced()
        admission = self._admission(request.service, now)
        if admission is None:
            self._deliver(member, callmessages.CallDeclined(request.number))
            return
        call = self._plain_call(member, request, now)
        decision = admission.submit(call, now)
        if decision is not None:
            self._send_decision(request.service, decision, now)
        else:
            self._queued[call.key] = request.service
            self._deliver(member, callmessages.CallQueued(request.number))
            self._wake.set()
        self._update_contention(now)

    def _plain_call(
        self,
        member: ids.MemberId,
        request: callmessages.CallRequest,
        now: float,
    ) -> plaincalls.PlainCall:
        """Return the call of a request, in the owner's clock time."""
        return plaincalls.PlainCall(
            key=plaincalls.CallKey(member, request.number),
            customer=request.customer,
            share=self._share(request.customer),
            priority=request.priority,
            arrived_at=now - request.waited,
            objective_at=now + request.objective_within,
            deadline=now + request.end_within,
            fingerprint=request.fingerprint,
            is_repeat=request.is_repeat,
            avoid=frozenset(request.avoid),
            data_centre=request.data_centre,
        )

    def _share(self, customer: ids.CustomerName) -> float:
        """Return the weight of a customer among those of its priority."""
        config = self._directory.config
        weights = config.customer_weights if config is not None else None
        return (weights or {}).get(customer, sharetimes.DEFAULT_WEIGHT)

    def _handle_end(
        self, member: ids.MemberId, ended: callmessages.CallEnded, now: float
    ) -> None:
        admission = self._admissions.get(ended.service)
        if admission is None:
            return
        try:
            result = plaincalls.SendResult(ended.result)
        except ValueError:
            # A newer gateway may know more results.
            result = plaincalls.SendResult.FAILED
        key = plaincalls.CallKey(member, ended.number)
        self._queued.pop(key, None)
        if ended.load is not None:
            self._record_load(ended.service, ended.load, now)
        admission.end(key, result, ended.seconds, now)
        self._decide(ended.service, now)

    def _record_load(
        self,
        service: ids.ServiceName,
        load: records.UpstreamLoad,
        now: float,
    ) -> None:
        admission = self._admission(service, now)
        if admission is not None and math.isfinite(load.age):
            report = loadreports.LoadReport(
                load.running, load.waiting, load.slots, load.slowdown or None
            )
            admission.record_load(
                load.upstream, report, now - max(0.0, load.age)
            )

    # Decisions.

    def _admission(
        self, service: ids.ServiceName, now: float
    ) -> calladmission.CallAdmission | None:
        """Return the admission of a plain service; None for any other."""
        admission = self._admissions.get(service)
        if admission is None:
            config = self._directory.service(service)
            if config is None or config.engine is not None:
                return None
            admission = calladmission.CallAdmission(clock.RANDOM)
            self._admissions[service] = admission
            self._set_upstreams(service, now)
        return admission

    def _set_upstreams(self, service: ids.ServiceName, now: float) -> None:
        usable = self._directory.registry.usable(service, now)
        self._admissions[service].set_upstreams(usable, now)

    def _refresh(self) -> None:
        """Update services and upstreams from the directory."""
        now = clock.now()
        for service in list(self._admissions):
            if self._directory.service(service) is None:
                self._remove(service)
            else:
                self._set_upstreams(service, now)
        self._wake.set()

    def _remove(self, service: ids.ServiceName) -> None:
        del self._admissions[service]
        for key in [k for k, name in self._queued.items() if name == service]:
            del self._queued[key]
            self._deliver(key.member, callmessages.CallDeclined(key.number))

    async def _decide_forever(self) -> None:
        while True:
            self._wake.clear()
            self._decline_if_replaced()
            now = clock.now()
            next_times = [now + _IDLE_INTERVAL_S]
            for service, admission in self._admissions.items():
                self._decide(service, now)
                next_at = admission.next_decision_at(now)
                if next_at is not None:
                    next_times.append(next_at)
            self._update_contention(now)
            await asyncio.sleep(_MIN_INTERVAL_S)
            try:
                async with asyncio.timeout(min(next_times) - clock.now()):
                    await self._wake.wait()
            except asyncio.TimeoutError:
                if clock.now() >= now + _IDLE_INTERVAL_S:
                    self._refresh()

    def _decline_if_replaced(self) -> None:
        """Decline queued calls once another gateway is the owner.

        Gateways that still consider this one the owner ask again.
        """
        assert self._peers is not None
        is_owner = self._peers.owner() == self._peers.me
        if self._was_owner and not is_owner:
            self.decline_all()
        self._was_owner = is_owner

    def _decide(self, service: ids.ServiceName, now: float) -> None:
        admission = self._admissions.get(service)
        if admission is None:
            return
        for decision in admission.decide(now):
            self._send_decision(service, decision, now)
        self._update_contention(now)

    def _send_decision(
        self,
        service: ids.ServiceName,
        decision: plaincalls.Decision,
        now: float,
    ) -> None:
        call = decision.call
        self._queued.pop(call.key, None)
        reply: callmessages.OwnerReply
        if isinstance(decision, plaincalls.Granted):
            reply = callmessages.CallGranted(
                call.key.number, decision.upstream
            )
        else:
            reply = callmessages.CallRejected(
                call.key.number,
                decision.retry_after,
                decision.reason.value,
                decision.why,
            )
        _record_decision(service, decision, now - call.arrived_at)
        self._deliver(call.key.member, reply)

    # Contention.

    def _update_contention(self, now: float) -> None:
        """Tell all gateways at once when contention begins or ends."""
        contended = frozenset(
            service
            for service, admission in self._admissions.items()
            if admission.is_contended(now)
        )
        if contended != self._contended:
            _log.info(
                'Contention changed.',
                services=','.join(sorted(contended)),
                before=','.join(sorted(self._contended)),
            )
            self._contended = contended
        if (
            contended == self._announced
            or now - self._announced_at < _BROADCAST_INTERVAL_S
        ):
            return
        self._announced = contended
        self._announced_at = now
        assert self._peers is not None
        message = self._contention(contended)
        self._peers.broadcast(message)
        self.deliver_locally(self._peers.me, message)

    def _contention(
        self, services: frozenset[ids.ServiceName]
    ) -> callmessages.Contention:
        assert self._peers is not None
        return callmessages.Contention(
            tuple(sorted(services)), self._peers.heartbeat_window
        )

    def _deliver(
        self,
        member: ids.MemberId,
        message: callmessages.OwnerMessage,
    ) -> None:
        assert self._peers is not None
        if member == self._peers.me:
            self.deliver_locally(member, message)
        else:
            self._peers.reply(member, message)


def _record_decision(
    service: ids.ServiceName, decision: plaincalls.Decision, waited: float
) -> None:
    """Count and log a decision with its inputs."""
    call = decision.call
    labels: dict[str, str] = {'service': service}
    fields: dict[str, str | float]
    if isinstance(decision, plaincalls.Granted):
        instruments.call_grants.add(1, labels)
        instruments.call_wait_seconds.record(waited, labels)
        fields = {'upstream': decision.upstream}
    else:
        reason = decision.reason.value
        instruments.call_rejections.add(1, {**labels, 'reason': reason})
        fields = {'reason': reason, 'retry_after': decision.retry_after}
    _log.info(
        'Granted.' if 'upstream' in fields else 'Rejected.',
        member=call.key.member,
        number=call.key.number,
        service=service,
        customer=call.customer,
        priority=call.priority,
        is_repeat=call.is_repeat,
        waited=waited,
        why=decision.why,
        **fields,
    )
