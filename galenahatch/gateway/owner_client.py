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

"""Client of the owner, which places generations.

Every gateway can act as the owner (`owner`). A gateway asks the member that
it considers the owner. If that member doesn't acknowledge a request in time,
it is suspected to have failed and the next one is asked, in the end this
gateway itself. Any message may be lost, and an owner that restarted knows
nothing, so a gateway repeats which requests wait and asks again for those that
the owner doesn't know (`waitingmessages`). No request waits longer than it can
be served. An owner that was suspended may reply late; the placements
of such a reply are withdrawn.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import typing

import msgspec

from galenahatch import clock
from galenahatch.core import loadreports
from galenahatch.core import ratelimits
from galenahatch.core import retrybudget
from galenahatch.gateway import accounts as accounts_module
from galenahatch.gateway import affinitymessages
from galenahatch.gateway import directory as directories
from galenahatch.gateway import frames
from galenahatch.gateway import mesh as meshes
from galenahatch.gateway import messages
from galenahatch.gateway import owner as owners
from galenahatch.gateway import ownertypes
from galenahatch.gateway import placementrequests
from galenahatch.gateway import records
from galenahatch.gateway import refusals
from galenahatch.gateway import waitingmessages
from galenahatch import ids
from galenahatch import tasks
from galenahatch import timeouts

ACK_TIMEOUT_S: typing.Final = 0.12
"""Timeout of the owner's first reply. Round trips take a few ms; a suspended
or unreachable owner delays a request by this much only, which leaves time to
meet its objective."""
_OWNER_CHECK_INTERVAL_S: typing.Final = 0.25
"""Interval of checks that the owner of a queued request is still alive."""
PlacementResult = messages.Placement | messages.PlacementRefused


@dataclasses.dataclass
class _Running:
    """A generation that runs at its decode engine.

    Attributes:
        generated_tokens: Returns the number of tokens generated so far.
        first_event_at: Arrival of the first event; None until then.
    """

    generation: messages.RunningGeneration
    generated_tokens: collections.abc.Callable[[], int]
    first_event_at: float | None = None


class OwnerClient:
    """Sends placement requests and progress reports to the owner.

    Args:
        directory: Source of upstreams and services.
        data_centre: Data centre of this VM.
        budget: Retry budget, for when this gateway is the owner.
        accounts: Quota accounts, for when this gateway is the owner.
        limiter: Rate limiter, for when this gateway is the owner.
        paused_engines: Returns the engines that asked this gateway for a
            pause, with the remaining seconds.
        loads: Load reports, for when this gateway is the owner.
        versions: Decides at which versions streams may run, for when this
            gateway is the owner; any by default.
    """

    def __init__(
        self,
        directory: directories.Directory,
        data_centre: ids.DataCentre,
        budget: retrybudget.OwnerBudget,
        accounts: accounts_module.Accounts,
        limiter: ratelimits.Limiter,
        paused_engines: collections.abc.Callable[
            [], dict[ids.UpstreamId, float]
        ],
        loads: loadreports.Loads | None = None,
        versions: ownertypes.VersionPolicy | None = None,
    ) -> None:
        self._directory = directory
        self._paused_engines = paused_engines
        self._data_centre = data_centre
        self._mesh: meshes.Mesh | None = None
        self._pending_replies: dict[
            ids.StreamId, asyncio.Queue[ownertypes.OwnerReply]
        ] = {}
        # Owners that have queued a request, by stream.
        self._waiting: dict[ids.StreamId, ids.MemberId] = {}
        self._running: dict[ids.StreamId, _Running] = {}
        self._owner_by_stream: dict[ids.StreamId, ids.MemberId] = {}
        self.owner = owners.Owner(
            directory,
            budget,
            accounts,
            limiter,
            self._deliver,
            loads,
            versions,
        )

    def start(self, mesh: meshes.Mesh, background: tasks.Tasks) -> None:
        """Connect to the other gateways and start the local owner."""
        self._mesh = mesh
        mesh.running_generations = self._running_generations
        mesh.figures = self.owner.figures
        self.owner.start(background)
        background.run_forever('waiting requests', self._repeat_waiting)

    def handle_message(
        self, member: ids.MemberId, message: frames.AnyMessage
    ) -> None:
        """Handle a message from another gateway."""
        if isinstance(message, messages.HeartbeatReply):
            self.owner.adopt_figures(message)
        elif isinstance(message, ownertypes.OwnerReply):
            self._handle_reply(member, message)
        elif isinstance(message, waitingmessages.UnknownRequests):
            self._handle_unknown(member, message)
        else:
            self.owner.handle_message(member, message)

    def _deliver(
        self, member: ids.MemberId, reply: ownertypes.AnyOwnerMessage
    ) -> None:
        """Deliver a reply of this gateway's owner to a member."""
        assert self._mesh is not None
        if member == self._mesh.me:
            self.handle_message(member, reply)
        else:
            self._mesh.reply(member, reply)

    async def place(
        self, request: placementrequests.PlacementRequest
    ) -> PlacementResult:
        """Return the engines for a generation, or a refusal."""
        assert self._mesh is not None
        replies: asyncio.Queue[ownertypes.OwnerReply] = asyncio.Queue()
        self._pending_replies[request.stream] = replies
        owner = self._mesh.owner()
        try:
            while clock.now() < request.decision_limit:
                owner = self._mesh.owner()
                if request.needs_version and not self._knows_versions(owner):
                    return refusals.version_unknown(
                        self._mesh.me, request.stream, request.resumes
                    )
                self._submit(owner, request)
                reply = await self._await_first_reply(owner, replies)
                if isinstance(reply, messages.Queued):
                    reply = await self._await_decision(owner, request, replies)
                if isinstance(reply, PlacementResult):
                    if isinstance(reply, messages.Placement):
                        self._owner_by_stream[request.stream] = owner
                    return reply
                self._send(owner, messages.Withdraw(request.stream))
            return refusals.without_decision(
                self._mesh.owner(), request.stream
            )
        except asyncio.CancelledError:
            withdraw = messages.Withdraw(request.stream, request.extra_sends)
            self._send(owner, withdraw)
            raise
        finally:
            del self._pending_replies[request.stream]

    def _submit(
        self, owner: ids.MemberId, request: placementrequests.PlacementRequest
    ) -> None:
        assert self._mesh is not None
        now = clock.now()
        message = messages.PlacementRequest(
            stream=request.stream,
            member=self._mesh.me,
            service=request.service,
            prompt_tokens=request.prompt_tokens,
            length_hint=request.estimated_output,
            max_tokens=request.max_output,
            first_event_within=request.start_by - now,
            end_within=request.deadline - now,
            subject=request.last_block_id,
            data_centre=self._data_centre,
            avoid=self._engines_to_avoid(owner, request),
            is_continuation=request.is_resumed,
            is_prefilled=request.is_prefilled,
            abandon_within=request.abandon_at - now,
            max_pause=request.max_pause,
            attempt=request.attempt,
            extra_sends=request.extra_sends,
            is_suspect=request.is_suspect,
            customer=request.customer,
            units=request.quota_units,
            priority=request.priority,
            pauses=tuple(
                records.Paused(*item)
                for item in self._paused_engines().items()
            ),
            version=request.version,
            resumes=request.resumes,
            is_return=request.is_return,
        )
        self._send(owner, message)

    def _knows_versions(self, owner: ids.MemberId) -> bool:
        """Return whether an owner's build binds streams to versions."""
        assert self._mesh is not None
        return self._mesh.knows(owner, affinitymessages.VERSIONS_LEVEL)

    def _engines_to_avoid(
        self, owner: ids.MemberId, request: placementrequests.PlacementRequest
    ) -> tuple[ids.UpstreamId, ...]:
        """Return the engines that an owner must not choose.

        To one that doesn't know versions, all engines of others are named.
        """
        if not request.version or self._knows_versions(owner):
            return request.avoid
        usable = self._directory.registry.usable(request.service, clock.now())
        others = [e.id for e in usable if e.version != request.version]
        return (*request.avoid, *others)

    async def _await_first_reply(
        self,
        owner: ids.MemberId,
        replies: 'asyncio.Queue[ownertypes.OwnerReply]',
    ) -> ownertypes.OwnerReply | None:
        assert self._mesh is not None
        try:
            async with timeouts.limit(ACK_TIMEOUT_S):
                return await replies.get()
        except asyncio.TimeoutError:
            self._mesh.suspect(owner)
            return None

    async def _await_decision(
        self,
        owner: ids.MemberId,
        request: placementrequests.PlacementRequest,
        replies: 'asyncio.Queue[ownertypes.OwnerReply]',
    ) -> ownertypes.OwnerReply | None:
        """Return the decision on a queued request.

        Returns:
            The decision; None if the owner is lost, or the request can't be
            served any more.
        """
        self._waiting[request.stream] = owner
        try:
            while self._is_worth_waiting(owner, request):
                with contextlib.suppress(asyncio.TimeoutError):
                    async with timeouts.limit(_OWNER_CHECK_INTERVAL_S):
                        reply = await replies.get()
                        if not isinstance(reply, messages.Queued):
                            return reply
            return None
        finally:
            del self._waiting[request.stream]

    def _is_worth_waiting(
        self, owner: ids.MemberId, request: placementrequests.PlacementRequest
    ) -> bool:
        assert self._mesh is not None
        is_over = clock.now() >= request.decision_limit
        return not is_over and self._mesh.is_live(owner)

    async def _repeat_waiting(self) -> None:
        """Tell owners again and again which requests wait for them."""
        assert self._mesh is not None
        while True:
            await asyncio.sleep(self._mesh.heartbeat_interval)
            streams: dict[ids.MemberId, list[ids.StreamId]] = {}
            for stream, owner in self._waiting.items():
                if self._mesh.knows(owner, waitingmessages.MESSAGE_LEVEL):
                    streams.setdefault(owner, []).append(stream)
            for owner, waiting in streams.items():
                self._send(
                    owner,
                    waitingmessages.WaitingRequests(
                        self._mesh.me, tuple(waiting)
                    ),
                )

    def _handle_unknown(
        self, member: ids.MemberId, message: waitingmessages.UnknownRequests
    ) -> None:
        """Ask again for requests that their owner doesn't know."""
        for stream in message.streams:
            if self._waiting.get(stream) == member:
                self._handle_reply(member, messages.Declined(stream))

    def track_running(
        self,
        generation: messages.RunningGeneration,
        generated_tokens: collections.abc.Callable[[], int],
    ) -> None:
        """Track a generation that is sent to its decode engine.

        Args:
            generation: The generation.
            generated_tokens: Returns the number of tokens generated so far.
        """
        self._running[generation.stream] = _Running(
            generation, generated_tokens
        )

    def report_prefilled(
        self,
        stream: ids.StreamId,
        service: ids.ServiceName,
        tokens: int,
        seconds: float,
        slowdown: float = 0.0,
    ) -> None:
        """Report a completed prefill to the owner.

        Args:
            stream: Stream that it is part of.
            service: Service of the stream.
            tokens: Tokens of the prompt.
            seconds: Duration of the prefill.
            slowdown: Slowdown that the engine stated; 0 if it stated none.
        """
        owner = self._owner_by_stream.get(stream)
        if owner is not None:
            message = messages.Prefilled(
                stream, service, tokens, seconds, slowdown
            )
            self._send(owner, message)

    def report_started(
        self, stream: ids.StreamId, slowdown: float = 0.0
    ) -> None:
        """Report the first event of a stream to the owner.

        Args:
            stream: The stream.
            slowdown: Slowdown that its engine stated; 0 if it stated none.
        """
        running = self._running.get(stream)
        owner = self._owner_by_stream.get(stream)
        if running is None or owner is None:
            return
        running.first_event_at = clock.now()
        service = running.generation.service
        self._send(owner, messages.Started(stream, service, slowdown))

    def report_silence(
        self,
        stream: ids.StreamId,
        service: ids.ServiceName,
        engine: ids.UpstreamId,
    ) -> None:
        """Report a silent prefill engine to the owner; the stream goes on."""
        owner = self._owner_by_stream.get(stream)
        if owner is not None:
            no_stream = ids.StreamId('')
            message = messages.Release(no_stream, service, failed=(engine,))
            self._send(owner, message)

    def release(self, release: messages.Release) -> None:
        """Report to the owner that a generation no longer uses its engines."""
        self._running.pop(release.stream, None)
        owner = self._owner_by_stream.pop(release.stream, None)
        if owner is not None:
            self._send(owner, release)

    def refund_units(self, customer: ids.CustomerName, units: float) -> None:
        """Ask the owner to refund a generation that was not executed."""
        assert self._mesh is not None
        message = messages.QuotaRefund(customer, units)
        self._send(self._mesh.owner(), message)

    def _running_generations(self) -> tuple[messages.RunningGeneration, ...]:
        now = clock.now()
        return tuple(
            msgspec.structs.replace(
                running.generation,
                first_event_age=now - running.first_event_at,
                tokens_generated=running.generated_tokens(),
            )
            if running.first_event_at is not None
            else running.generation
            for running in self._running.values()
        )

    def _send(self, owner: ids.MemberId, message: frames.AnyMessage) -> None:
        assert self._mesh is not None
        if owner == self._mesh.me:
            self.handle_message(owner, message)
        else:
            self._mesh.send(owner, message)

    def _handle_reply(
        self, member: ids.MemberId, reply: ownertypes.OwnerReply
    ) -> None:
        replies = self._pending_replies.get(reply.stream)
        if replies is not None:
            replies.put_nowait(reply)
        elif isinstance(reply, messages.Placement):
            if self._owner_by_stream.get(reply.stream) != member:
                self._send(member, messages.Withdraw(reply.stream))
