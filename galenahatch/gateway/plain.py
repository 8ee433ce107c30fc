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

"""Handles a request to a plain service: load balancing, sends and retries.

A request that may be executed only once is retried only while it is certain
that no upstream has started it. A repeatable request is sent to a second
upstream after an error, or if the first one is silent for too long, provided
that the shared retry budget allows it and, with admission control, that
repeats after such a failure are useful (`core/retryvalue`). A silent send is
kept until the second one is certain (`secondsend`).

Which upstream gets a send, and whether any does, is decided in `choice`.
"""

import dataclasses
import functools
import typing

from galenahatch import clock
from galenahatch.core import balance
from galenahatch.core import fate
from galenahatch.core import loadreports
from galenahatch.core import plaincalls
from galenahatch.core import retryvalue
from galenahatch.core import routes
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import choice
from galenahatch.gateway import context as contexts
from galenahatch.gateway import grants
from galenahatch.gateway import inflight
from galenahatch.gateway import instruments
from galenahatch.gateway import repeats
from galenahatch.gateway import secondsend
from galenahatch.gateway import sendresults
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import wire

_CONNECT_TIMEOUT_S: typing.Final = 0.25
"""Connections take a few ms within a region."""
_FULL_STATUS: typing.Final = 503
_log = logs.Log('plain')


@dataclasses.dataclass
class _Attempt:
    """One send and its result: a response or a failure."""

    upstream: ids.UpstreamId
    grant: grants.Grant | None
    response: contexts.CompleteAnswer | None = None
    failure: sendresults.FailedSend | None = None

    def end_grant(
        self,
        result: plaincalls.SendResult,
        seconds: float,
        load: loadreports.LoadReport | None = None,
    ) -> None:
        """End the grant of the send, if it needed one."""
        if self.grant is not None:
            self.grant.end(result, seconds, load)


class RequestHandler:
    """Handles one request to a plain service."""

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
        self._sends = fate.Sends()
        self._use_pool = route.is_repeatable
        self._deadline = contexts.answer_deadline(call, route)
        self._choice = choice.UpstreamChoice(context, call, route, service)
        self._repeats = repeats.Repeats(context, call, route, service)
        self._error_response: contexts.CompleteAnswer | None = None
        self._detail = ''

    async def run(self) -> contexts.CompleteAnswer | errors.Failure:
        """Return the response for the caller, or why there is none."""
        try:
            return await self._context.drain.run(self._run(), self._sends)
        finally:
            self._choice.cancel_grant()

    async def _run(self) -> contexts.CompleteAnswer | errors.Failure:
        self._context.budget.record_request(
            self._service, self._call.arrived_at
        )
        upstream = await self._choose_next(is_first=True)
        while upstream is not None:
            if self._sends.cannot_have_run and self._may_be_cut():
                return self._context.drain.failure()
            attempt, second = await self._send(upstream)
            response = self._final_response(attempt)
            if response is not None:
                return response
            if attempt.failure is not None and attempt.failure.is_disconnect:
                await self._context.guard.record_cut(self._call, upstream)
            if self._context.guard.is_blocked(self._call):
                return self._context.guard.failure(self._call)
            upstream = second or await self._choose_next(is_first=False)
        return self._error_response or self._failure()

    async def _choose_next(self, is_first: bool) -> upstreams.Upstream | None:
        if not self._may_try(is_first):
            return None
        return await self._choice.choose()

    def _may_try(self, is_first: bool) -> bool:
        if contexts.has_passed(self._deadline):
            return False
        if not self._sends.may_send(
            self._route.is_repeatable, self._route.max_attempts
        ):
            return False
        if is_first:
            return True
        if not self._is_repeat_worthwhile():
            return False
        if not self._spend_retry():
            return False
        self._repeats.record_send()
        return True

    def _is_repeat_worthwhile(self) -> bool:
        """Return whether another send is likely enough to succeed."""
        return not self._choice.are_full and self._repeats.is_worthwhile()

    async def _choose_second(
        self, first: ids.UpstreamId
    ) -> upstreams.Upstream | None:
        """Return the upstream of a certain second send, or None.

        Args:
            first: Upstream that is silent.
        """
        self._choice.avoid.add(first)
        if (
            self._choice.are_full
            or self._may_be_cut()
            or not self._repeats.would_repeat_silent(first)
            or not self._context.budget.has_retry(self._service, clock.now())
        ):
            return None
        return await self._choice.choose()

    def _may_be_cut(self) -> bool:
        """Return whether the exit of the process may cut a send."""
        return self._context.drain.may_cut_call(self._route, self._deadline)

    def _spend_retry(self) -> bool:
        return self._context.budget.spend(self._service, clock.now())

    async def _send(
        self, upstream: upstreams.Upstream
    ) -> tuple[_Attempt, upstreams.Upstream | None]:
        """Send the request.

        Returns:
            The result, and the upstream of a second send that replaces it.
        """
        search = self._second_search(upstream.id)
        self._context.balancer.begin(upstream.id)
        self._sends.begin()
        started_at = clock.now()
        attempt = _Attempt(upstream.id, self._choice.take_grant())
        try:
            with search.during_silence():
                response = await self._send_once(upstream, search.abandonment)
            if isinstance(response, sendresults.FailedSend):
                attempt.failure = response
            else:
                await self._read_response(response, attempt)
        finally:
            seconds = clock.now() - started_at
            if attempt.failure is None and attempt.response is None:
                self._record_cancelled(attempt, seconds)
            else:
                self._record(attempt, seconds)
        if search.found is not None and response is attempt.failure:
            self._repeats.record_send()
            return attempt, search.found
        self._choice.cancel_grant()
        return attempt, None

    def _second_search(self, first: ids.UpstreamId) -> secondsend.Search:
        """Return the search for a second send while the first is silent."""
        may_repeat = (
            self._route.is_repeatable
            and self._route.max_attempts > self._sends.ran + 1
        )
        return secondsend.Search(
            contexts.seconds_until(self._deadline) if may_repeat else None,
            functools.partial(self._choose_second, first),
            self._spend_retry,
            self._choice.cancel_grant,
            self._context.tasks,
        )

    async def _send_once(
        self,
        upstream: upstreams.Upstream,
        abandonment: inflight.Abandonment,
    ) -> sendresults.Response | sendresults.FailedSend:
        time_left = contexts.seconds_until(self._deadline)
        options = calls.ForwardingOptions(upstream.id, time_left)
        return await self._context.sender.send(
            upstream,
            self._call,
            wire.upstream_headers(self._call, options),
            wire.decode_response_head,
            timeout=time_left,
            connect_timeout=min(_CONNECT_TIMEOUT_S, time_left),
            use_pool=self._use_pool,
            abandonment=abandonment,
        )

    def _record_cancelled(self, attempt: _Attempt, seconds: float) -> None:
        """Record a send that was cancelled because the caller left."""
        self._sends.end(fate.Fate.UNCERTAIN)
        self._context.balancer.cancel(attempt.upstream)
        attempt.end_grant(plaincalls.SendResult.CANCELLED, seconds)
        _log.info(
            self._context.drain.why_cancelled,
            request=self._call.id,
            upstream=attempt.upstream,
            seconds=seconds,
        )

    async def _read_response(
        self, response: sendresults.Response, attempt: _Attempt
    ) -> None:
        time_left = contexts.seconds_until(self._deadline)
        body = await response.body(time_left)
        is_complete = body is not None and not response.head.is_encoded
        if response.head.status < 300 and not response.head.is_signed:
            is_complete = False
        if is_complete and body is not None:
            attempt.response = contexts.CompleteAnswer(response.head, body)
        else:
            attempt.failure = sendresults.FailedSend(
                fate.Fate.UNCERTAIN,
                'incomplete response',
                head=response.head,
                is_disconnect=body is None and not response.lacks_memory,
                cause=sendresults.Cause.MEMORY
                if response.lacks_memory
                else sendresults.Cause.UNKNOWN,
            )

    def _record(self, attempt: _Attempt, seconds: float) -> None:
        """Record and log the result of a send."""
        failure = attempt.failure
        send_fate = failure.fate if failure is not None else fate.Fate.ANSWERED
        self._sends.end(send_fate)
        head = attempt.response.head if attempt.response else None
        if failure is not None:
            head = failure.head
            # Pooled connections to other upstreams may be silent as well.
            self._use_pool = self._use_pool and not failure.is_silence
            self._detail = failure.detail
        self._choice.avoid.add(attempt.upstream)
        status = head.status if head is not None else 0
        if failure is None or self._context.sender.blames_upstream(
            failure, attempt.upstream
        ):
            self._update_balancer(attempt, head, failure, seconds)
            self._repeats.record(attempt.upstream, _failure_reason(attempt))
        else:
            self._context.balancer.cancel(attempt.upstream)
        self._report_load(attempt, head, seconds)
        instruments.sends.add(1, {'fate': send_fate.value})
        _log.info(
            'Sent.',
            request=self._call.id,
            upstream=attempt.upstream,
            fate=send_fate.value,
            status=status,
            seconds=seconds,
            digest=self._call.digest if failure is not None else '',
            detail=failure.detail if failure is not None else '',
        )

    def _update_balancer(
        self,
        attempt: _Attempt,
        head: calls.ResponseHead | None,
        failure: sendresults.FailedSend | None,
        seconds: float,
    ) -> None:
        now = clock.now()
        if head is not None and head.load is not None:
            self._context.balancer.record_load(
                attempt.upstream, head.load.total, now
            )
        is_success = _failure_reason(attempt) is None
        registry = self._context.directory.registry
        is_ejected = self._context.balancer.end(
            attempt.upstream,
            is_success,
            registry.usable(self._service, now),
            now,
            _executed_result(head, seconds),
        )
        if is_ejected is None:
            return
        _log.warning(
            'Upstream ejected.' if is_ejected else 'Upstream readmitted.',
            upstream=attempt.upstream,
            share=self._context.balancer.outliers.share(
                attempt.upstream, now
            ).likely,
        )

    def _report_load(
        self,
        attempt: _Attempt,
        head: calls.ResponseHead | None,
        seconds: float,
    ) -> None:
        """End the grant, and record what the response says about the load."""
        is_full = _is_full(attempt.failure)
        if is_full:
            result = plaincalls.SendResult.REJECTED
        elif attempt.response is not None:
            result = plaincalls.SendResult.ANSWERED
        else:
            result = plaincalls.SendResult.FAILED
        load = head.load if head is not None else None
        attempt.end_grant(result, seconds, load)
        contention = self._context.contention
        contention.observe(self._service, attempt.upstream, load, is_full)
        if is_full and contention.is_enabled(self._service):
            self._choice.full_count += 1

    def _final_response(
        self, attempt: _Attempt
    ) -> contexts.CompleteAnswer | None:
        """Return the response if it is final; store an error response.

        A stored response is returned to the caller if no retry does better.
        """
        response = attempt.response
        if response is None:
            return None
        if response.head.status < 300:
            # An upstream may return an error without executing the request.
            self._context.guard.record_completion(self._call)
        if fate.promises_no_run(response.head.status):
            # The request was executed, but this status denies it.
            self._detail = f'status {response.head.status} after execution'
            return None
        if response.head.status < 500:
            return response
        self._error_response = response
        return None

    def _failure(self) -> errors.Failure:
        detail = '; '.join(filter(None, (self._choice.detail, self._detail)))
        if self._sends.cannot_have_run:
            return self._choice.refusal(detail)
        if contexts.has_passed(self._deadline):
            return errors.Failure(errors.DEADLINE, detail)
        return errors.Failure(errors.SEND_INTERRUPTED, detail)


def _is_full(failure: sendresults.FailedSend | None) -> bool:
    """Return whether an upstream rejected a request for lack of room."""
    return (
        failure is not None
        and failure.fate is fate.Fate.REFUSED
        and failure.head is not None
        and failure.head.status == _FULL_STATUS
        and failure.head.leaving is not True
    )


def _failure_reason(attempt: _Attempt) -> retryvalue.Reason | None:
    """Return why a send failed; None if the call succeeded."""
    if attempt.response is not None:
        status = attempt.response.head.status
        if status < 500 and not fate.promises_no_run(status):
            return None
        return retryvalue.Reason.ERROR
    failure = attempt.failure
    if _is_full(failure):
        return retryvalue.Reason.FULL
    if failure is None or failure.is_disconnect:
        return retryvalue.Reason.CONNECTION
    if failure.fate is fate.Fate.NOT_SENT:
        return retryvalue.Reason.CONNECTION
    if failure.head is not None:
        return retryvalue.Reason.OTHER
    return retryvalue.Reason.SILENT


def _executed_result(
    head: calls.ResponseHead | None, seconds: float
) -> balance.Result | None:
    """Return the result of a call that the upstream executed.

    An error takes less time than the work, whatever the speed.
    """
    if head is None or head.status >= 300:
        return None
    return balance.Result(seconds, head.load)
