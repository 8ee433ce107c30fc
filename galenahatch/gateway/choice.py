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

"""Chooses the upstream for each send of one request to a plain service.

While the service is contended, each send needs a grant of the owner
(`callgrants`), which also chooses the upstream. Without an owner that decides,
a request is sent only if the known load lets it end in time: an upstream's
queue is FIFO, so one that ends late makes the others late as well. Otherwise
the balancer chooses.
"""

import collections.abc
import typing

from galenahatch import clock
from galenahatch.core import plaincalls
from galenahatch.core import routes
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import context as contexts
from galenahatch.gateway import grants
from galenahatch import ids
from galenahatch import logs

_RETRY_AFTER_S: typing.Final = 0.1
_MAX_FULL: typing.Final = 2
"""Rejections for lack of room after which a request is refused: the known
loads have been wrong twice then."""
_REJECTIONS: typing.Final = {
    plaincalls.RejectionReason.NO_ROOM: errors.NO_TIME,
    plaincalls.RejectionReason.QUEUE_FULL: errors.QUEUE_FULL,
    plaincalls.RejectionReason.NO_UPSTREAM: errors.NO_ENGINE,
}
_log = logs.Log('choice')


class UpstreamChoice:
    """Chooses upstreams for one request.

    Attributes:
        avoid: Upstreams that the request was sent to.
        full_count: Upstreams that rejected the request for lack of room,
            where grants are enabled.
        detail: Why the last choice found no upstream.
    """

    def __init__(
        self,
        context: contexts.Context,
        call: calls.Call,
        route: routes.Route,
        service: ids.ServiceName,
    ) -> None:
        self._context = context
        self._call = call
        self._route = route
        self._service = service
        self._deadline = contexts.answer_deadline(call, route)
        self._objective_at = call.arrived_at + route.latency_objective
        # Seconds until the upstreams that were skipped accept requests again.
        self._rate_limited: dict[ids.UpstreamId, float] = {}
        self._paused: dict[ids.UpstreamId, float] = {}
        self._grant: grants.Grant | None = None
        self._rejected: grants.Rejected | None = None
        self.avoid: set[ids.UpstreamId] = set()
        self.full_count = 0
        self.detail = ''

    @property
    def are_full(self) -> bool:
        """Whether too many upstreams were full to try another one."""
        return self.full_count >= _MAX_FULL

    async def choose(self) -> upstreams.Upstream | None:
        """Return an upstream that accepts a request now, or None."""
        self._rate_limited.clear()
        self._rejected = None
        if not self._context.contention.is_contended(self._service):
            return await self._choose_balanced()
        outcome = await self._acquire_grant()
        if isinstance(outcome, grants.Undecided):
            return await self._choose_alone(outcome.why)
        if isinstance(outcome, grants.Rejected):
            self._rejected = outcome
            return None
        return outcome

    def take_grant(self) -> grants.Grant | None:
        """Return the grant of the last choice, which its send has to end."""
        grant, self._grant = self._grant, None
        return grant

    def cancel_grant(self) -> None:
        """End the grant of the last choice if no send has taken it."""
        grant = self.take_grant()
        if grant is not None:
            grant.end(plaincalls.SendResult.CANCELLED)

    def refusal(self, detail: str) -> errors.Failure:
        """Refuse the request, which was not executed, with a retry time."""
        if self.are_full and self._rejected is None:
            self._rejected = _no_room(_RETRY_AFTER_S, 'all full')
        if self._rejected is not None:
            return contexts.retryable_failure(
                _REJECTIONS[self._rejected.reason],
                f'{self._rejected.why}; {detail}'.rstrip('; '),
                self._rejected.retry_after,
            )
        retry_times = [*self._rate_limited.values(), *self._paused.values()]
        reason = (
            errors.RATE_LIMITED if self._rate_limited else errors.NO_ENGINE
        )
        return contexts.retryable_failure(
            reason, detail, min(retry_times, default=_RETRY_AFTER_S)
        )

    def _usable(self) -> collections.abc.Sequence[upstreams.Upstream]:
        """Return the service's usable upstreams; update their pauses."""
        usable = self._context.directory.registry.usable(
            self._service, clock.now()
        )
        self._paused = self._paused_among(usable)
        return usable

    def _paused_among(
        self, usable: collections.abc.Iterable[upstreams.Upstream]
    ) -> dict[ids.UpstreamId, float]:
        """Return the upstreams that asked for a pause, and its seconds."""
        paused = self._context.notices.pauses_left()
        return {u.id: paused[u.id] for u in usable if u.id in paused}

    def _excluded(self) -> frozenset[ids.UpstreamId]:
        return frozenset(
            self.avoid | self._rate_limited.keys() | self._paused.keys()
        )

    def _takes_work(self, upstream: ids.UpstreamId) -> bool:
        """Return whether an upstream still accepts work."""
        registry = self._context.directory.registry
        return registry.accepts_work(upstream, clock.now())

    async def _choose_balanced(self) -> upstreams.Upstream | None:
        """Return the balancer's choice among those that accept a request."""
        while True:
            usable = self._usable()
            chosen = self._context.balancer.choose(
                usable,
                self._excluded(),
                clock.now(),
                self._route.is_repeatable,
                contexts.seconds_until(self._objective_at),
            )
            if chosen is None:
                break
            wait = await self._context.rate_limits.acquire(chosen.id)
            if not wait and self._takes_work(chosen.id):
                return chosen
            self._rate_limited[chosen.id] = wait
        self.detail = (
            f'{len(usable)} usable, {len(self.avoid)} tried,'
            f' {len(self._rate_limited)} limited, {len(self._paused)} paused'
        )
        return None

    # Contended services.

    async def _acquire_grant(
        self,
    ) -> upstreams.Upstream | grants.Rejected | grants.Undecided:
        """Return an upstream that is granted and accepts a request now.

        A grant that can't be used is ended, and another upstream is asked for.
        """
        while True:
            usable = {upstream.id: upstream for upstream in self._usable()}
            excluded = self._excluded()
            outcome = await self._context.call_grants.acquire(
                self._grant_request(excluded)
            )
            if not isinstance(outcome, grants.Grant):
                return outcome
            self._grant = outcome
            if outcome.upstream in excluded:
                self.cancel_grant()
                return grants.Undecided('no other upstream')
            wait = await self._context.rate_limits.acquire(outcome.upstream)
            chosen = usable.get(outcome.upstream)
            if chosen and not wait and self._takes_work(chosen.id):
                return chosen
            self.cancel_grant()
            self._rate_limited[outcome.upstream] = wait

    def _grant_request(
        self, excluded: frozenset[ids.UpstreamId]
    ) -> grants.GrantRequest:
        call, route = self._call, self._route
        return grants.GrantRequest(
            request_id=call.id,
            service=self._service,
            customer=call.customer_name,
            priority=contexts.priority(call, route),
            arrived_at=call.arrived_at,
            objective_at=self._objective_at,
            deadline=self._deadline,
            fingerprint=call.digest,
            is_repeat=bool(self.avoid),
            avoid=excluded,
        )

    async def _choose_alone(self, why: str) -> upstreams.Upstream | None:
        """Return the balancer's choice if its known load leaves time for it.

        A request that was sent before is sent only to an upstream whose load
        is known.
        """
        chosen = await self._choose_balanced()
        if chosen is None:
            return None
        delay = self._expected_delay(chosen)
        time_left = contexts.seconds_until(self._latest_end(chosen))
        is_allowed = not self.avoid if delay is None else delay <= time_left
        _log.info(
            'Decided alone.',
            request=self._call.id,
            upstream=chosen.id,
            sent=is_allowed,
            expected=-1.0 if delay is None else delay,
            time_left=time_left,
            why=why,
        )
        if is_allowed:
            return chosen
        retry_after = max(_RETRY_AFTER_S, (delay or 0.0) - time_left)
        self._rejected = _no_room(retry_after, f'decided alone, {why}')
        return None

    def _latest_end(self, upstream: upstreams.Upstream) -> float:
        """Return the time by which a request has to end to be sent alone.

        That is its objective, or its deadline once no idle upstream could
        meet the objective.
        """
        now = clock.now()
        work = self._context.balancer.delays.work_seconds(
            upstream.id, [one.id for one in self._usable()], now
        )
        if now + work < self._objective_at:
            return self._objective_at
        return self._deadline

    def _expected_delay(self, upstream: upstreams.Upstream) -> float | None:
        """Return the seconds until a call ends; None if not known."""
        now = clock.now()
        if self._context.loads.latest(upstream.id, now) is None:
            return None
        delays = self._context.balancer.expected_delays(self._usable(), now)
        return delays.get(upstream.id)


def _no_room(retry_after: float, why: str) -> grants.Rejected:
    return grants.Rejected(
        plaincalls.RejectionReason.NO_ROOM, retry_after, why
    )
