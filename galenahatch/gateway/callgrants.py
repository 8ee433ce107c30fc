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

"""Client of the owner that grants sends to contended plain services.

A gateway asks only for services that are contended (`contention`). If the
owner doesn't acknowledge a request in time, or doesn't know these messages,
the gateway decides on its own. A grant that arrives when nobody waits for it
is returned.
"""

import asyncio
import dataclasses
import itertools
import typing

from galenahatch import clock
from galenahatch.core import loadreports
from galenahatch.core import plaincalls
from galenahatch.gateway import callmessages
from galenahatch.gateway import callowner
from galenahatch.gateway import contention as contentions
from galenahatch.gateway import directory as directories
from galenahatch.gateway import frames
from galenahatch.gateway import grants
from galenahatch.gateway import instruments
from galenahatch.gateway import records
from galenahatch.gateway import waitingmessages
from galenahatch import ids
from galenahatch import logs
from galenahatch import tasks
from galenahatch import timeouts

_ACK_TIMEOUT_S: typing.Final = 0.05
"""Timeout of the owner's first reply. Round trips take a few ms; objectives of
plain calls are a few hundred."""
_NO_REPLY_BACKOFF_S: typing.Final = 0.25
"""Time without further requests after the owner did not reply."""
_log = logs.Log('callgrants')


class Peers(typing.Protocol):
    """Interface to the other gateways."""

    me: ids.MemberId

    @property
    def heartbeat_interval(self) -> float:
        """Seconds between two heartbeats of this gateway."""
        ...

    def owner(self) -> ids.MemberId:
        """Return the member that is the owner."""
        ...

    def is_live(self, name: ids.MemberId) -> bool:
        """Return whether a member answers."""
        ...

    def knows(self, name: ids.MemberId, level: int) -> bool:
        """Return whether a member knows messages up to a level."""
        ...

    def send(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
        """Send a message to a gateway."""
        ...


@dataclasses.dataclass
class _Pending:
    """A request without a decision.

    Attributes:
        owner: Member that was asked.
        replies: Its replies.
        is_queued: Whether the owner has confirmed that it waits.
    """

    number: int
    owner: ids.MemberId
    service: ids.ServiceName
    replies: 'asyncio.Queue[callmessages.OwnerReply]' = dataclasses.field(
        default_factory=asyncio.Queue
    )
    is_queued: bool = False


class CallGrants:
    """Requests grants for plain calls of this gateway.

    Args:
        directory: Source of upstreams.
        contention: Services that need grants.
        owner: The owner's side on this gateway, asked while it is the owner.
        data_centre: Data centre of this VM.
    """

    def __init__(
        self,
        directory: directories.Directory,
        contention: contentions.Contention,
        owner: callowner.CallOwner,
        data_centre: ids.DataCentre,
    ) -> None:
        self._directory = directory
        self._contention = contention
        self._owner = owner
        self._data_centre = data_centre
        self._peers: Peers | None = None
        self._numbers = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._backoff_owner = ids.MemberId('')
        self._backoff_until = 0.0
        # Owner that has sent nothing since it missed an acknowledgement.
        self._silent_owner = ids.MemberId('')
        owner.deliver_locally = self.handle_message
        contention.on_queue = self._notify_owner

    def set_peers(self, peers: Peers) -> None:
        """Connect to the other gateways."""
        self._peers = peers

    def start(self, peers: Peers, background: tasks.Tasks) -> None:
        """Connect to the other gateways and start to repeat what waits."""
        self.set_peers(peers)
        background.run_forever('waiting calls', self._repeat_waiting)

    async def _repeat_waiting(self) -> None:
        """Tell owners again and again which calls wait for them."""
        assert self._peers is not None
        while True:
            await asyncio.sleep(self._peers.heartbeat_interval)
            self.repeat_waiting()

    def repeat_waiting(self) -> None:
        """Tell owners which calls wait for them."""
        assert self._peers is not None
        numbers: dict[ids.MemberId, list[int]] = {}
        for pending in self._pending.values():
            if pending.is_queued and self._peers.knows(
                pending.owner, waitingmessages.MESSAGE_LEVEL
            ):
                numbers.setdefault(pending.owner, []).append(pending.number)
        for owner, waiting in numbers.items():
            message = waitingmessages.WaitingRequests(
                self._peers.me, calls=tuple(waiting)
            )
            self._send(owner, message)

    # Requests.

    async def acquire(self, request: grants.GrantRequest) -> grants.Outcome:
        """Acquire a grant for one send of a call.

        Returns:
            A grant, which must be ended; a rejection, after which no upstream
            gets the call; or that no owner decides.
        """
        assert self._peers is not None
        asked: set[ids.MemberId] = set()
        while True:
            owner = self._peers.owner()
            why = self._reason_not_to_ask(owner, asked)
            if why:
                return self._log_outcome(request, owner, grants.Undecided(why))
            asked.add(owner)
            pending = _Pending(next(self._numbers), owner, request.service)
            reply = await self._ask(pending, request)
            if isinstance(reply, callmessages.CallGranted):
                outcome: grants.Outcome = self._create_grant(
                    pending, reply.upstream
                )
                return self._log_outcome(request, owner, outcome)
            if isinstance(reply, callmessages.CallRejected):
                return self._log_outcome(request, owner, _rejected(reply))

    def _reason_not_to_ask(
        self, owner: ids.MemberId, asked: set[ids.MemberId]
    ) -> str:
        assert self._peers is not None
        if owner == self._backoff_owner and clock.now() < self._backoff_until:
            return 'owner silent'
        if not self._peers.knows(owner, callmessages.MESSAGE_LEVEL):
            return 'owner of an older level'
        return 'no next owner' if owner in asked else ''

    async def _ask(
        self, pending: _Pending, request: grants.GrantRequest
    ) -> callmessages.OwnerReply | None:
        """Return the owner's decision; None if it makes none."""
        self._pending[pending.number] = pending
        reply: callmessages.OwnerReply | None = None
        try:
            self._send(pending.owner, self._message(pending.number, request))
            reply = await self._await_first_reply(pending)
            if isinstance(reply, callmessages.CallQueued):
                reply, pending.is_queued = None, True
                reply = await self._await_decision(pending, request.deadline)
            return reply
        finally:
            del self._pending[pending.number]
            if reply is None:
                # The owner may have granted or queued the call meanwhile.
                self._withdraw(pending.owner, pending.service, pending.number)

    async def _await_first_reply(
        self, pending: _Pending
    ) -> callmessages.OwnerReply | None:
        try:
            async with timeouts.limit(_ACK_TIMEOUT_S):
                return await pending.replies.get()
        except asyncio.TimeoutError:
            self._backoff_until = clock.now() + _NO_REPLY_BACKOFF_S
            self._backoff_owner = self._silent_owner = pending.owner
            return None

    async def _await_decision(
        self, pending: _Pending, deadline: float
    ) -> callmessages.OwnerReply | None:
        """Return the decision on a queued call; None if the owner is lost.

        An owner is lost as well if it has not acknowledged another request
        and has sent nothing since. No call waits beyond its deadline.
        """
        assert self._peers is not None
        while clock.now() < deadline:
            try:
                async with timeouts.limit(_ACK_TIMEOUT_S):
                    return await pending.replies.get()
            except asyncio.TimeoutError:
                if self._silent_owner == pending.owner:
                    return None
                if not self._peers.is_live(pending.owner):
                    return None
        return None

    def _message(
        self, number: int, request: grants.GrantRequest
    ) -> callmessages.CallRequest:
        assert self._peers is not None
        now = clock.now()
        return callmessages.CallRequest(
            member=self._peers.me,
            number=number,
            service=request.service,
            customer=request.customer,
            priority=request.priority,
            objective_within=request.objective_at - now,
            end_within=request.deadline - now,
            waited=now - request.arrived_at,
            fingerprint=request.fingerprint,
            data_centre=self._data_centre,
            avoid=tuple(sorted(request.avoid)),
            is_repeat=request.is_repeat,
        )

    def _create_grant(
        self, pending: _Pending, upstream: ids.UpstreamId
    ) -> grants.Grant:
        def report_end(
            result: plaincalls.SendResult,
            seconds: float,
            load: loadreports.LoadReport | None,
        ) -> None:
            assert self._peers is not None
            message = callmessages.CallEnded(
                self._peers.me,
                pending.service,
                pending.number,
                upstream,
                result.value,
                seconds,
                _load_record(upstream, load) if load is not None else None,
            )
            self._send(pending.owner, message)

        return grants.Grant(upstream, pending.number, report_end)

    def _withdraw(
        self,
        owner: ids.MemberId,
        service: ids.ServiceName,
        number: int,
        upstream: ids.UpstreamId = ids.UpstreamId(''),
    ) -> None:
        """Tell an owner that nothing is sent for a request."""
        assert self._peers is not None
        self._send(
            owner,
            callmessages.CallEnded(
                self._peers.me,
                service,
                number,
                upstream,
                plaincalls.SendResult.CANCELLED.value,
            ),
        )

    def _notify_owner(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        report: loadreports.LoadReport,
    ) -> None:
        """Tell the owner of a queue at an upstream."""
        assert self._peers is not None
        self._send(
            self._peers.owner(),
            callmessages.LoadNotice(
                self._peers.me, service, (_load_record(upstream, report),)
            ),
        )

    # Messages of owners.

    def handle_message(
        self, member: ids.MemberId, message: frames.AnyMessage
    ) -> None:
        """Handle a message from an owner, which may be this gateway."""
        assert self._peers is not None
        if member == self._silent_owner:
            self._silent_owner = ids.MemberId('')
        if isinstance(message, callmessages.Contention):
            if member == self._peers.owner():
                self._contention.apply_notice(message)
        elif isinstance(message, waitingmessages.UnknownRequests):
            self._decline_unknown(member, message)
        elif isinstance(message, callmessages.OwnerReply):
            pending = self._pending.get(message.number)
            if pending is not None:
                pending.replies.put_nowait(message)
            elif isinstance(message, callmessages.CallGranted):
                self._return_late_grant(member, message)

    def _decline_unknown(
        self, member: ids.MemberId, message: waitingmessages.UnknownRequests
    ) -> None:
        """End the waits for calls that their owner doesn't know."""
        for number in message.calls:
            pending = self._pending.get(number)
            if pending is not None and pending.owner == member:
                pending.replies.put_nowait(callmessages.CallDeclined(number))

    def _return_late_grant(
        self, member: ids.MemberId, grant: callmessages.CallGranted
    ) -> None:
        upstream = self._directory.registry.upstreams.get(grant.upstream)
        instruments.call_outcomes.add(1, {'outcome': 'late'})
        if upstream is not None:
            self._withdraw(
                member, upstream.service, grant.number, grant.upstream
            )

    def _send(self, owner: ids.MemberId, message: frames.AnyMessage) -> None:
        assert self._peers is not None
        if owner == self._peers.me:
            self._owner.handle_message(owner, message)
        else:
            self._peers.send(owner, message)

    def _log_outcome(
        self,
        request: grants.GrantRequest,
        owner: ids.MemberId,
        outcome: grants.Outcome,
    ) -> grants.Outcome:
        if isinstance(outcome, grants.Grant):
            name, number = 'granted', outcome.number
            detail: str = outcome.upstream
        else:
            is_rejected = isinstance(outcome, grants.Rejected)
            name = 'rejected' if is_rejected else 'undecided'
            number, detail = 0, outcome.why
        instruments.call_outcomes.add(1, {'outcome': name})
        _log.info(
            'Asked for a grant.',
            request=request.request_id,
            owner=owner,
            number=number,
            outcome=name,
            detail=detail,
            waited=clock.now() - request.arrived_at,
        )
        return outcome


def _rejected(message: callmessages.CallRejected) -> grants.Rejected:
    try:
        reason = plaincalls.RejectionReason(message.reason)
    except ValueError:
        # A newer owner may know more reasons.
        reason = plaincalls.RejectionReason.NO_ROOM
    return grants.Rejected(reason, message.retry_after, message.why)


def _load_record(
    upstream: ids.UpstreamId, report: loadreports.LoadReport
) -> records.UpstreamLoad:
    return records.UpstreamLoad(
        upstream,
        report.running,
        report.waiting,
        report.slots,
        report.slowdown or 0.0,
        0.0,
    )
