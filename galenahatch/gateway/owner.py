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

"""Being the owner: decides for all gateways that ask.

Holds one dispatcher for each model service, takes what gateways tell of
their runs, and answers each request for engines with a place, a refusal, or
the word that it waits.
"""

import asyncio
import collections.abc
import typing

from galenahatch import clock
from galenahatch.core import dispatch
from galenahatch.core import figures
from galenahatch.core import generations
from galenahatch.core import memory
from galenahatch.core import quotas
from galenahatch.core import ratelimits
from galenahatch.core import retrybudget
from galenahatch.gateway import accounts as accounts_module
from galenahatch.gateway import directory as directories
from galenahatch.gateway import frames
from galenahatch.gateway import instruments
from galenahatch.gateway import messages
from galenahatch.gateway import records
from galenahatch import ids
from galenahatch import logs
from galenahatch import tasks

_BREATH: typing.Final = 0.003
"""Seconds between two rounds of decisions; what comes meanwhile is decided
in one round."""
_NO_BUDGET_PAUSE: typing.Final = 0.3
"""Seconds after which one that has not run may come back, as a new request,
if there was no budget for a further attempt."""
_log = logs.Log('owner')

OwnerReply = (
    messages.Queued
    | messages.Placement
    | messages.PlacementRefused
    | messages.Declined
)
ReplyFunction = collections.abc.Callable[[OwnerReply], None]
DeliverFunction = collections.abc.Callable[[ids.MemberId, OwnerReply], None]


class Owner:
    """What a gateway decides, if others ask it.

    Args:
        directory: upstreams and services.
        budget: of retries, over all gateways that ask.
        accounts: of customers, over all gateways that ask.
        limiter: of upstreams, over all gateways that ask.
        deliver: sends an answer to a member.
    """

    def __init__(
        self,
        directory: directories.Directory,
        budget: retrybudget.OwnerBudget,
        accounts: accounts_module.Accounts,
        limiter: ratelimits.Limiter,
        deliver: DeliverFunction,
    ) -> None:
        self._directory = directory
        self._budget = budget
        self._accounts = accounts
        self._limiter = limiter
        self._deliver = deliver
        self._dispatchers: dict[ids.ServiceName, dispatch.Dispatcher] = {}
        self._replies: dict[ids.StreamId, ReplyFunction] = {}
        self._due = asyncio.Event()
        directory.on_change(self.refresh_engines)

    def start(self, background: tasks.Tasks) -> None:
        """Start to decide."""
        background.keep('decide', self._decide_forever)

    @property
    def dispatchers(
        self,
    ) -> typing.Mapping[ids.ServiceName, dispatch.Dispatcher]:
        """What is known of each service."""
        return self._dispatchers

    @property
    def waiting(self) -> int:
        """Requests that wait for engines."""
        return sum(d.waiting_count for d in self._dispatchers.values())

    def handle_message(
        self, member: ids.MemberId, message: frames.AnyMessage
    ) -> None:
        """Take a message of a gateway, this one included."""
        now = clock.now()
        if isinstance(message, messages.PlacementRequest):
            self._take_place(member, message, now)
        elif isinstance(message, messages.Heartbeat):
            self._budget.record_heartbeat(member, now)
            self._take_held(message, now)
        elif isinstance(message, messages.Withdraw):
            self._withdraw(message.stream, now)
        elif isinstance(message, messages.QuotaRefund):
            self._accounts.refund_generation(message.customer, message.units)
        elif isinstance(
            message,
            messages.Prefilled | messages.Started | messages.Release,
        ):
            self._take_progress(message, now)
        self._due.set()

    def _withdraw(self, stream: ids.StreamId, now: float) -> None:
        self._replies.pop(stream, None)
        for dispatcher in self._dispatchers.values():
            job = dispatcher.withdraw(stream)
            if job is not None:
                self._accounts.refund_generation(job.customer, job.units)
            dispatcher.release(stream, 0, 0.0, now)

    def figures(self) -> tuple[records.Figures, ...]:
        """Return what was measured of each service."""
        return tuple(
            records.Figures(service, *dispatcher.measured_figures)
            for service, dispatcher in self._dispatchers.items()
        )

    def adopt_figures(self, back: messages.HeartbeatReply) -> None:
        """Take what another owner has measured."""
        for told in back.figures:
            dispatcher = self._dispatcher(told.service)
            if dispatcher is not None:
                dispatcher.adopt_figures(
                    figures.Figures(
                        told.rate,
                        told.prompt,
                        told.output,
                        told.pace,
                        told.seen,
                        told.delay,
                        told.alone,
                        told.reads,
                        told.slack or figures.INITIAL_SLACK_S,
                        told.pairs,
                    )
                )

    def decline_all(self) -> None:
        """Send everything that waits here to the next owner."""
        for stream, reply in list(self._replies.items()):
            reply(messages.Declined(stream))
            for dispatcher in self._dispatchers.values():
                dispatcher.withdraw(stream)
        self._replies.clear()

    def _take_place(
        self,
        member: ids.MemberId,
        place: messages.PlacementRequest,
        now: float,
    ) -> None:

        def reply(word: OwnerReply) -> None:
            self._deliver(member, word)

        dispatcher = self._dispatcher(place.service)
        if dispatcher is None:
            reply(messages.PlacementRefused(place.stream, 1.0, 'no_service'))
            return
        denied = self._accounts.grant(place.customer, place.units)
        if denied is not None:
            reply(_without_quota(member, place, denied))
            return
        if place.attempt == 1:
            self._budget.record_request(place.service, now)
        if not self._budget.grant(place.service, place.extra_sends, now):
            reply(_without_budget(member, place))
            return
        job = _job(member, place, now)
        self._replies[place.stream] = reply
        decision = dispatcher.submit(job, now)
        if decision is not None:
            self._announce(decision)
            return
        if dispatcher.waiting_count == 1:
            for decision in dispatcher.decide(now):
                self._announce(decision)
        if place.stream in self._replies:
            reply(messages.Queued(place.stream))

    def _take_held(self, beat: messages.Heartbeat, now: float) -> None:
        by_service: dict[
            ids.ServiceName, list[tuple[ids.UpstreamId, memory.Run]]
        ] = {name: [] for name in self._dispatchers}
        for held in beat.running:
            starts_at = (
                now - held.first_event_age
                if held.first_event_age >= 0
                else now
            )
            run = memory.Run(
                held.stream,
                beat.member,
                held.prompt_tokens,
                held.expected_tokens,
                held.max_tokens,
                starts_at,
                held.tokens_generated,
                now,
            )
            if self._dispatcher(held.service) is not None:
                runs = by_service.setdefault(held.service, [])
                runs.append((held.decode, run))
        for service, runs in by_service.items():
            self._dispatchers[service].reconcile_runs(beat.member, runs, now)

    def _take_progress(
        self,
        message: messages.Prefilled | messages.Started | messages.Release,
        now: float,
    ) -> None:
        dispatcher = self._dispatcher(message.service)
        if dispatcher is None:
            return
        if isinstance(message, messages.Prefilled):
            dispatcher.record_prefill(
                message.stream, message.tokens, message.seconds, now
            )
        elif isinstance(message, messages.Started):
            dispatcher.record_first_event(message.stream, now)
        else:
            dispatcher.release(
                message.stream, message.tokens, message.seconds, now
            )
            for engine in message.failed:
                dispatcher.engines.record_failure(
                    engine, now, engine == message.unreachable
                )
            if message.kv_source:
                dispatcher.engines.record_transfer(message.kv_source)

    def _dispatcher(
        self, service: ids.ServiceName
    ) -> dispatch.Dispatcher | None:
        found = self._dispatchers.get(service)
        if found is None:
            known = self._directory.service(service)
            if known is None or known.engine is None:
                return None
            found = dispatch.Dispatcher(
                known.engine.kv_tokens, known.engine.slots, self._limiter
            )
            self._dispatchers[service] = found
            self._set_engines(service, found)
        return found

    def refresh_engines(self) -> None:
        """Take the upstreams and services that the directory knows."""
        config = self._directory.config
        for name in config.services if config is not None else ():
            self._dispatcher(name)
        for service, dispatcher in self._dispatchers.items():
            self._set_engines(service, dispatcher)
        self._due.set()

    def _set_engines(
        self, service: ids.ServiceName, dispatcher: dispatch.Dispatcher
    ) -> None:
        registry = self._directory.registry
        now = clock.now()
        leaving = {
            key
            for key, upstream in registry.upstreams.items()
            if upstream.leaving
        }
        dispatcher.set_engines(registry.usable(service, now), leaving, now)

    async def _decide_forever(self) -> None:
        while True:
            self._due.clear()
            now = clock.now()
            looks = []
            for dispatcher in self._dispatchers.values():
                for decision in dispatcher.decide(now):
                    self._announce(decision)
                look = dispatcher.next_decision_at(now)
                if look is not None:
                    looks.append(look - now)
            await asyncio.sleep(_BREATH)
            try:
                async with asyncio.timeout(min(looks, default=1.0)):
                    await self._due.wait()
            except asyncio.TimeoutError:
                self._replan_lapsed()

    def _replan_lapsed(self) -> None:
        now = clock.now()
        for service, dispatcher in self._dispatchers.items():
            dispatcher.expire_runs(now)
            self._set_engines(service, dispatcher)

    def _announce(self, decision: generations.Decision) -> None:
        job = decision.job
        reply = self._replies.pop(job.stream, None)
        word: OwnerReply
        if isinstance(decision, generations.Placed):
            word = messages.Placement(
                job.stream,
                decision.prefill or ids.UpstreamId(''),
                decision.decode,
                decision.why,
                job.predicted_output,
            )
            instruments.decisions.add(1, {'outcome': 'placed'})
            _log.info(
                'Placed.',
                stream=job.stream,
                member=job.entry,
                prefill=decision.prefill or '',
                decode=decision.decode,
                why=decision.why,
            )
        else:
            word = messages.PlacementRefused(
                job.stream, decision.retry_after, decision.why
            )
            instruments.decisions.add(1, {'outcome': 'refused'})
            _log.info(
                'Refused.',
                stream=job.stream,
                member=job.entry,
                retry_after=decision.retry_after,
                why=decision.why,
            )
            self._accounts.refund_generation(job.customer, job.units)
        if reply is not None:
            reply(word)


def _without_budget(
    member: ids.MemberId, place: messages.PlacementRequest
) -> messages.PlacementRefused:
    """Refuse a further attempt, before anything is read for it."""
    why = 'retry budget spent'
    instruments.decisions.add(1, {'outcome': 'refused'})
    _log.info(
        'Refused.',
        stream=place.stream,
        member=member,
        retry_after=_NO_BUDGET_PAUSE,
        why=why,
        sends=place.extra_sends,
    )
    return messages.PlacementRefused(place.stream, _NO_BUDGET_PAUSE, why)


def _without_quota(
    member: ids.MemberId,
    place: messages.PlacementRequest,
    denied: quotas.Denied,
) -> messages.PlacementRefused:
    """Refuse a request whose customer has used its quota."""
    retry_after = denied.retry_after or _NO_BUDGET_PAUSE
    instruments.decisions.add(1, {'outcome': 'over_quota'})
    _log.info(
        'Refused.',
        stream=place.stream,
        member=member,
        customer=place.customer,
        retry_after=retry_after,
        why=denied.why,
    )
    return messages.PlacementRefused(
        place.stream, retry_after, denied.why, True
    )


def _job(
    member: ids.MemberId, place: messages.PlacementRequest, now: float
) -> generations.Job:
    """Return what a gateway asks for, in the owner's time."""
    return generations.Job(
        stream=place.stream,
        entry=member,
        prompt_tokens=place.prompt_tokens,
        output_hint=place.length_hint,
        max_output=place.max_tokens,
        arrived_at=now,
        start_deadline=now + place.first_event_within,
        abandon_at=now + place.leave_within,
        deadline=now + place.end_within,
        fingerprint=place.subject,
        data_centre=place.data_centre,
        avoid=frozenset(place.avoid),
        is_continuation=place.is_continuation,
        is_prefilled=place.is_prefilled,
        max_pause=place.longest_pause,
        is_suspect=place.is_suspect,
        customer=place.customer,
        units=place.units,
        priority=place.priority,
        paused_until={
            one.upstream: now + one.seconds_left for one in place.pauses
        },
    )
