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

"""The course of a request to a model: place, prefill, decode, pass on.

The prompt is read at one engine and the answer made at another, which takes
the KV cache over. Engines are chosen by the owner (`owner_client`). Whatever
is held at an engine for a request that does not go on is freed: closing the
connection ends its work, and a finished prefill is dropped by its handle.

A stream that may be resumed goes on at another engine when its own breaks
off, or is silent for long; the caller sees one answer. Every other stream
that breaks off ends as a broken answer, never as a whole one.
"""

import asyncio
import typing

from galenahatch import clock
from galenahatch.core import fate
from galenahatch.core import placements
from galenahatch.core import routes
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch.gateway import accounts
from galenahatch.gateway import calls
from galenahatch.gateway import context as contexts
from galenahatch.gateway import ending
from galenahatch.gateway import messages
from galenahatch.gateway import owner_client
from galenahatch.gateway import prefill
from galenahatch.gateway import relay as relays
from galenahatch.gateway import sender as senders
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import wire

_CONNECT: typing.Final = 0.3
_SILENCE_PAUSES: typing.Final = 4.0
"""Silence of a resumable stream, in the pauses that its route allows, after
which it goes on elsewhere. Callers leave after eight."""
_MOST_PLACES: typing.Final = 6
"""Times that one request asks for engines."""
_RETRY_AFTER: typing.Final = 0.3
_log = logs.Log('generation')


class Broken(Exception):
    """A stream broke off after the caller had a part of it."""


class Course:
    """One request to a model.

    Args:
        means: shared by all requests.
        call: of the caller.
        route: that it takes.
        service: that it goes to.
        sink: where the stream goes.
    """

    def __init__(
        self,
        means: contexts.Context,
        call: calls.Call,
        route: routes.Route,
        service: routes.Service,
        sink: contexts.Sink,
    ) -> None:
        assert call.prompt is not None and service.engine is not None
        self._means = means
        self._call = call
        self._route = route
        self._service = service
        self._spec = service.engine
        self._prompt = call.prompt
        self._sends = fate.Sends()
        self._relay = relays.Relay(sink, call.last_event_id)
        self._avoid: list[ids.UpstreamId] = []
        self._end_by = contexts.answer_deadline(call, route)
        self._decodes = 0
        self._detail = ''
        self._spent = relays.Spent()
        self._sent_at = 0.0
        self._stage = 'waiting'
        self._engine = ids.UpstreamId('')
        self._ran_on = False
        self._was_placed = False
        self._reader = prefill.Reader(means, call, service)

    async def run(self) -> contexts.CompleteAnswer | errors.Failure | None:
        """Return None when the stream was passed on whole.

        Raises:
            Broken: it broke off after the caller had a part of it.
        """
        try:
            result = await self._run()
            if self._was_placed and isinstance(result, errors.Failure):
                self._give_back(result)
            return result
        except asyncio.CancelledError:
            _log.info(
                'Caller left.',
                request=self._call.id,
                stage=self._stage,
                seconds=clock.now() - self._call.arrived_at,
            )
            raise
        finally:
            self._reader.free()

    def _give_back(self, failure: errors.Failure) -> None:
        """Return what the customer was charged for what has not run."""
        units = self._call.quota_units
        if units and failure.outcome is errors.Outcome.NOT_RUN:
            self._means.ownership.refund_units(self._call.customer_name, units)

    async def _run(self) -> contexts.CompleteAnswer | errors.Failure | None:
        for number in range(1, _MOST_PLACES + 1):
            if contexts.has_passed(self._end_by):
                break
            stream = ids.StreamId(f'{self._call.id}.{number}')
            self._stage = 'waiting'
            began = clock.now()
            wish = self._wish(stream, number)
            placed = await self._means.ownership.place(wish)
            self._spent.waited += clock.now() - began
            if isinstance(placed, messages.PlacementRefused):
                return self._given_up(placed)
            self._was_placed = True
            result = await self._attempt(stream, placed)
            if not isinstance(result, prefill.Again):
                return result
            self._detail = result.detail
            self._avoid += {result.failed, *result.at_fault}
            if result.cut is not None and not self._ran_on:
                await self._means.guard.record_cut(self._call, result.cut)
            if self._means.guard.is_blocked(self._call):
                return self._held_back()
            most = self._route.max_attempts
            if not self._sends.may_send(self._route.is_repeatable, most):
                break
        return self._failure()

    def _wish(
        self, stream: ids.StreamId, attempt: int
    ) -> owner_client.PlacementRequest:
        made = self._relay.count * self._spec.event_tokens
        likely = self._prompt.estimated_output or 0
        prompt, most = self._sizes()
        return owner_client.PlacementRequest(
            stream=stream,
            service=self._service.name,
            prompt_tokens=prompt,
            estimated_output=max(0, likely - made),
            max_output=most,
            start_by=self._call.arrived_at + self._route.latency_objective,
            caller_leaves_at=contexts.abandonment_time(
                self._call, self._route
            ),
            deadline=self._end_by,
            last_block_id=self._prompt.last_block_id,
            avoid=tuple(self._avoid),
            is_resumed=self._relay.has_reached_caller,
            is_prefilled=bool(self._reader.source()),
            longest_pause=self._route.max_event_gap,
            attempt=attempt,
            extra_sends=self._reader.extra_sends() + (self._decodes > 0),
            is_suspect=self._means.guard.is_suspect(self._call),
            customer=self._call.customer_name,
            quota_units=self._call.quota_units if attempt == 1 else 0.0,
            priority=contexts.priority(self._call, self._route),
        )

    def _sizes(self) -> tuple[int, int]:
        """Return the tokens to read now, and those still made at most."""
        made = self._relay.count * self._spec.event_tokens
        most = max(self._spec.event_tokens, self._prompt.max_output - made)
        return self._prompt.tokens + made, most

    async def _attempt(
        self, stream: ids.StreamId, placed: messages.Placement
    ) -> contexts.CompleteAnswer | errors.Failure | prefill.Again | None:
        find = self._means.directory.registry.find
        release = messages.Release(stream, self._service.name)
        try:
            engine = find(placed.prefill)
            decode = find(placed.decode)
            if decode is None or not self._takes_work(decode):
                return prefill.Again(placed.decode, 'decode engine gone')
            if engine is not None:
                self._stage = 'prefill'
                began = clock.now()
                again = await self._reader.read(
                    stream, engine, self._relay.last_event, self._end_by
                )
                self._spent.read += clock.now() - began
                if again is not None:
                    release = self._failed(release, again)
                    return again
            result = await self._decode(stream, decode, placed.expected_tokens)
            if isinstance(result, prefill.Again):
                release = self._failed(release, result)
            elif result is None:
                self._means.guard.record_completion(self._call)
                release = self._ended(release)
            return result
        finally:
            self._means.ownership.release(release)

    def _takes_work(self, upstream: upstreams.Upstream) -> bool:
        """Return whether the request may still go to an upstream.

        Another gateway may have seen meanwhile what it does there, and the
        upstream may have asked this one for a pause.
        """
        paused = self._means.notices.pause_seconds_left(upstream.id)
        if paused or self._means.guard.is_blocked(self._call):
            return False
        registry = self._means.directory.registry
        return registry.accepts_work(upstream.id, clock.now())

    def _failed(
        self, release: messages.Release, again: prefill.Again
    ) -> messages.Release:
        unreachable = again.failed if again.unreachable else ''
        return messages.Release(
            release.stream,
            release.service,
            failed=again.at_fault,
            unreachable=ids.UpstreamId(unreachable),
        )

    def _ended(self, release: messages.Release) -> messages.Release:
        stride = self._spec.event_tokens
        made = ending.streamed(
            self._call, self._relay, self._spent, stride, self._engine
        )
        return messages.Release(
            release.stream,
            release.service,
            tokens=made.tokens,
            seconds=made.seconds,
            kv_source=self._reader.engine,
        )

    async def _decode(
        self, stream: ids.StreamId, engine: upstreams.Upstream, output: int
    ) -> contexts.CompleteAnswer | errors.Failure | prefill.Again | None:
        """Send the request to its decode engine and pass the stream on."""
        if not self._takes_work(engine):
            return prefill.Again(engine.id, 'decode engine gone')
        self._engine = engine.id
        self._stage = 'decode'
        prompt, most = self._sizes()
        held = messages.RunningGeneration(
            stream, self._service.name, engine.id, prompt, output, most, -1.0
        )
        self._means.ownership.track_running(held, self._made)
        left = contexts.seconds_until(self._end_by)
        directions = calls.ForwardingOptions(
            engine.id,
            left,
            kv_source=self._reader.source(),
            last_event_id=self._relay.last_event,
            priority=self._call.priority,
        )
        self._sends.begin()
        self._sent_at = clock.now()
        known = fate.Fate.UNCERTAIN
        try:
            answer = await self._means.sender.send(
                engine,
                self._call,
                wire.outgoing(self._call, directions),
                wire.answer_head,
                timeout=self._patience(left),
                connect_timeout=_CONNECT,
                use_pool=False,
            )
            if isinstance(answer, senders.FailedSend):
                known = answer.fate
                return self._decode_lost(engine, answer)
            known = fate.Fate.ANSWERED
            self._reader.taken()
            return await self._take(stream, engine, answer)
        finally:
            self._sends.end(known)
            # A send that never got there takes nothing from the budget.
            self._decodes += known is not fate.Fate.NOT_SENT

    def _made(self) -> int:
        """Return the tokens that the present run has made."""
        return self._relay.run_count * self._spec.event_tokens

    def _patience(self, left: float) -> float:
        """Return the silence after which a decode engine is given up."""
        if not self._route.resumable:
            return left
        return min(left, _SILENCE_PAUSES * self._route.max_event_gap)

    def _decode_lost(
        self, engine: upstreams.Upstream, lost: senders.FailedSend
    ) -> prefill.Again:
        self._log_lost('Decode lost.', engine, lost)
        # A refusal says that the engine takes no more, or that the handle is
        # gone: either engine may be to blame, and the prompt is read again.
        # Without a connection, the result of the prefill is still there.
        at_fault = [engine.id]
        if lost.fate is fate.Fate.REFUSED and self._reader.engine:
            at_fault.append(self._reader.engine)
        if lost.fate is not fate.Fate.NOT_SENT:
            self._reader.free()
        return prefill.Again(
            engine.id,
            lost.detail,
            tuple(at_fault),
            unreachable=lost.fate is fate.Fate.NOT_SENT,
            cut=engine if lost.is_disconnect else None,
        )

    async def _take(
        self,
        stream: ids.StreamId,
        engine: upstreams.Upstream,
        answer: senders.Response,
    ) -> contexts.CompleteAnswer | errors.Failure | prefill.Again | None:
        """Pass an answer on to its end."""
        head = answer.head
        if head.status >= 300 or head.is_encoded or not head.is_signed:
            body = await answer.body()
            if head.status < 500 and head.status >= 300 and body is not None:
                return contexts.CompleteAnswer(head, body)
            return prefill.Again(
                engine.id, f'status {head.status}', (engine.id,)
            )
        try:
            return await self._pass_on(stream, engine, answer)
        finally:
            answer.close()

    async def _pass_on(
        self,
        stream: ids.StreamId,
        engine: upstreams.Upstream,
        answer: senders.Response,
    ) -> prefill.Again | None:
        self._relay.restart()
        began = False
        while True:
            # What has come is passed on, also after the deadline.
            left = max(0.0, contexts.seconds_until(self._end_by))
            data = await answer.read(self._patience(left))
            if isinstance(data, senders.FailedSend):
                if contexts.has_passed(self._end_by):
                    raise Broken('deadline')
                self._log_lost('Stream lost.', engine, data)
                return self._broke_off(engine, data.detail, data.is_disconnect)
            if not data:
                if self._relay.is_within_event:
                    detail = 'ended within an event'
                    return self._broke_off(engine, detail, is_cut=True)
                return None
            whole = self._relay.feed(data)
            if not whole:
                continue
            if not began:
                began = True
                self._spent.made = self._relay.run_first_at - self._sent_at
                self._means.ownership.report_started(stream)
            await self._relay.pass_on(answer.head, whole)

    def _broke_off(
        self, engine: upstreams.Upstream, detail: str, is_cut: bool
    ) -> prefill.Again:
        relay = self._relay
        if (
            relay.run_count
            and clock.now() - relay.run_first_at > placements.STARTUP_S
        ):
            self._ran_on = True
        return prefill.Again(
            engine.id, detail, (engine.id,), cut=engine if is_cut else None
        )

    def _held_back(self) -> errors.Failure:
        failure = self._means.guard.failure(self._call)
        if self._relay.has_reached_caller:
            raise Broken(failure.detail)
        return failure

    def _given_up(self, given_up: messages.PlacementRefused) -> errors.Failure:
        if self._relay.has_reached_caller:
            raise Broken(given_up.reason)
        if not self._sends.cannot_have_run:
            return errors.Failure(errors.SEND_INTERRUPTED, given_up.reason)
        if given_up.is_over_quota:
            return accounts.quota_failure(
                given_up.reason, given_up.retry_after
            )
        return contexts.retryable_failure(
            errors.NO_TIME, given_up.reason, given_up.retry_after
        )

    def _failure(self) -> errors.Failure:
        if self._relay.has_reached_caller:
            raise Broken(self._detail)
        if self._sends.cannot_have_run:
            return contexts.retryable_failure(
                errors.NO_ENGINE, self._detail, _RETRY_AFTER
            )
        if contexts.has_passed(self._end_by):
            return errors.Failure(errors.DEADLINE, self._detail)
        return errors.Failure(errors.SEND_INTERRUPTED, self._detail)

    def _log_lost(
        self, text: str, engine: upstreams.Upstream, lost: senders.FailedSend
    ) -> None:
        seconds = clock.now() - self._sent_at
        events = self._relay.count
        ending.lost(text, self._call, engine.id, lost, events, seconds)
