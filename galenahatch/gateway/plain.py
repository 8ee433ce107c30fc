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

"""The course of a request to a plain service: choose, send, maybe again.

A request that may run only once is sent again only while it is certain that
no upstream has begun it. One that may run more often goes to a second
upstream after an error, or when the first says nothing for too long, if the
shared budget allows that.
"""

import collections.abc
import dataclasses
import typing

from galenahatch import clock
from galenahatch.core import fate
from galenahatch.core import routes
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import context as contexts
from galenahatch.gateway import instruments
from galenahatch.gateway import sender as senders
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import wire

_FIRST_SHARE: typing.Final = 0.4
"""Part of the time left that the first upstream of a repeatable request may
stay silent; the second needs the rest."""
_CONNECT: typing.Final = 0.25
"""Seconds for a connection; takes some ms in one region."""
_RETRY_AFTER: typing.Final = 0.1
_PROMISES: typing.Final = frozenset((408, 421, 429, 503))
"""Statuses that promise a caller that its request has not run."""
_log = logs.Log('plain')


@dataclasses.dataclass
class _Attempt:
    """What one send came to."""

    upstream: ids.UpstreamId
    whole: contexts.CompleteAnswer | None
    lost: senders.FailedSend | None


class Course:
    """One request to a plain service.

    Args:
        means: shared by all requests.
        call: of the caller.
        route: that it takes.
        service: that it goes to.
    """

    def __init__(
        self,
        means: contexts.Context,
        call: calls.Call,
        route: routes.Route,
        service: ids.ServiceName,
    ) -> None:
        self._means = means
        self._call = call
        self._route = route
        self._service = service
        self._sends = fate.Sends()
        self._avoid: set[ids.UpstreamId] = set()
        # Seconds until upstreams that could not be chosen have room again.
        self._limited: dict[ids.UpstreamId, float] = {}
        self._paused: dict[ids.UpstreamId, float] = {}
        self._end_by = contexts.answer_deadline(call, route)
        self._answer: contexts.CompleteAnswer | None = None
        self._detail = ''

    async def run(self) -> contexts.CompleteAnswer | errors.Failure:
        """Return the answer for the caller."""
        self._means.budget.record_request(self._service, self._call.arrived_at)
        tries = 0
        while self._may_try(tries):
            upstream = await self._choose()
            if upstream is None:
                break
            tries += 1
            attempt = await self._send(upstream)
            done = self._judge(attempt)
            if done is not None:
                return done
            if attempt.lost is not None and attempt.lost.is_disconnect:
                await self._means.guard.record_cut(self._call, upstream)
            if self._means.guard.is_blocked(self._call):
                return self._means.guard.failure(self._call)
        return self._answer or self._failure()

    def _may_try(self, tries: int) -> bool:
        if contexts.has_passed(self._end_by):
            return False
        if not self._sends.may_send(
            self._route.is_repeatable, self._route.max_attempts
        ):
            return False
        if not tries:
            return True
        return self._means.budget.spend(self._service, clock.now())

    async def _choose(self) -> upstreams.Upstream | None:
        """Return an upstream that a request may be sent to now."""
        self._limited.clear()
        while True:
            now = clock.now()
            usable = self._means.directory.registry.usable(self._service, now)
            self._paused = self._pauses_of(usable)
            chosen = self._means.balancer.choose(
                usable,
                self._avoid | self._limited.keys() | self._paused.keys(),
                now,
                self._route.is_repeatable,
            )
            if chosen is None:
                break
            wait = await self._means.rate_limits.acquire(chosen.id)
            if not wait and self._takes_work(chosen.id):
                return chosen
            self._limited[chosen.id] = wait
        tried = (
            f'{len(usable)} usable, {len(self._avoid)} tried,'
            f' {len(self._limited)} limited, {len(self._paused)} paused'
        )
        self._detail = f'{tried}; {self._detail}'.rstrip('; ')
        return None

    def _pauses_of(
        self, usable: collections.abc.Iterable[upstreams.Upstream]
    ) -> dict[ids.UpstreamId, float]:
        """Return the upstreams that want nothing, and for how long."""
        paused = self._means.notices.pauses_left()
        return {u.id: paused[u.id] for u in usable if u.id in paused}

    def _takes_work(self, upstream: ids.UpstreamId) -> bool:
        """Return whether an upstream may be sent to after all."""
        registry = self._means.directory.registry
        return registry.accepts_work(upstream, clock.now())

    async def _send(self, upstream: upstreams.Upstream) -> _Attempt:
        left = contexts.seconds_until(self._end_by)
        once = not self._route.is_repeatable
        again = self._route.max_attempts > self._sends.ran + 1
        share = _FIRST_SHARE if again and not once else 1.0
        headers = wire.outgoing(
            self._call, calls.ForwardingOptions(upstream.id, left)
        )
        self._means.balancer.begin(upstream.id)
        self._sends.begin()
        began = clock.now()
        attempt = _Attempt(upstream.id, None, None)
        try:
            answer = await self._means.sender.send(
                upstream,
                self._call,
                headers,
                wire.answer_head,
                timeout=left * share,
                connect_timeout=min(_CONNECT, left),
                use_pool=not once,
            )
            if isinstance(answer, senders.FailedSend):
                attempt.lost = answer
            else:
                await self._read(answer, attempt)
        finally:
            seconds = clock.now() - began
            if attempt.lost is None and attempt.whole is None:
                self._abandon(upstream.id, seconds)
            else:
                self._note(attempt, seconds)
        return attempt

    def _abandon(self, upstream: ids.UpstreamId, seconds: float) -> None:
        """Note a send whose caller left."""
        self._sends.end(fate.Fate.UNCERTAIN)
        self._means.balancer.cancel(upstream)
        _log.info(
            'Caller left.',
            request=self._call.id,
            upstream=upstream,
            seconds=seconds,
        )

    async def _read(self, answer: senders.Response, attempt: _Attempt) -> None:
        body = await answer.body()
        whole = body is not None and not answer.head.is_encoded
        if answer.head.status < 300 and not answer.head.is_signed:
            whole = False
        if whole and body is not None:
            attempt.whole = contexts.CompleteAnswer(answer.head, body)
        else:
            attempt.lost = senders.FailedSend(
                fate.Fate.UNCERTAIN,
                'answer not whole',
                head=answer.head,
                is_disconnect=body is None,
            )

    def _note(self, attempt: _Attempt, seconds: float) -> None:
        """Keep what a send came to, and log it."""
        lost = attempt.lost
        known = lost.fate if lost is not None else fate.Fate.ANSWERED
        self._sends.end(known)
        head = attempt.whole.head if attempt.whole else None
        if lost is not None:
            head = lost.head
            self._detail = lost.detail
        self._avoid.add(attempt.upstream)
        status = head.status if head is not None else 0
        self._learn(attempt, head, lost)
        instruments.sends.add(1, {'fate': known.value})
        _log.info(
            'Sent.',
            request=self._call.id,
            upstream=attempt.upstream,
            fate=known.value,
            status=status,
            seconds=seconds,
            digest=self._call.digest if lost is not None else '',
            detail=lost.detail if lost is not None else '',
        )

    def _learn(
        self,
        attempt: _Attempt,
        head: calls.ResponseHead | None,
        lost: senders.FailedSend | None,
    ) -> None:
        now = clock.now()
        if head is not None and head.load is not None:
            self._means.balancer.record_load(attempt.upstream, head.load, now)
        good = lost is None and head is not None and head.status < 500
        registry = self._means.directory.registry
        avoided = self._means.balancer.end(
            attempt.upstream,
            good,
            registry.usable(self._service, now),
            now,
        )
        if avoided is None:
            return
        _log.warning(
            'Upstream avoided.' if avoided else 'Upstream used again.',
            upstream=attempt.upstream,
            share=self._means.balancer.outliers.share(
                attempt.upstream, now
            ).likely,
        )

    def _judge(self, attempt: _Attempt) -> contexts.CompleteAnswer | None:
        """Return an answer to pass on; keep one that may be bettered."""
        whole = attempt.whole
        if whole is None:
            return None
        if whole.head.status < 300:
            # An upstream may answer with an error and not have run it.
            self._means.guard.record_completion(self._call)
        if whole.head.status in _PROMISES:
            # It ran, so the caller must not be told that it did not.
            self._detail = f'status {whole.head.status} after a run'
            return None
        if whole.head.status < 500:
            return whole
        self._answer = whole
        return None

    def _failure(self) -> errors.Failure:
        if self._sends.cannot_have_run:
            return self._refusal()
        if contexts.has_passed(self._end_by):
            return errors.Failure(errors.DEADLINE, self._detail)
        return errors.Failure(errors.SEND_INTERRUPTED, self._detail)

    def _refusal(self) -> errors.Failure:
        """Refuse a request that has not run, with when to come back."""
        waits = [*self._limited.values(), *self._paused.values()]
        reason = errors.RATE_LIMITED if self._limited else errors.NO_ENGINE
        return contexts.retryable_failure(
            reason, self._detail, min(waits, default=_RETRY_AFTER)
        )
