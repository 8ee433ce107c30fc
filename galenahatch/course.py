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

"""The course of one model request: place, prefill, transfer, decode.

A course makes attempts until one gives a whole answer, or no further one
is allowed. What is told in the end never says less than what may have
happened: `not_run` only if no attempt may have begun at an engine.

An attempt that broke off after some tokens is continued, not repeated: the
next one prefills the prompt with the tokens that were passed on, and goes
on after them. A request that may run only once has a single attempt; it is
placed again only while no engine may have begun it. Its stream can still
be resumed, since a resume runs nothing anew.
"""

import asyncio
import collections.abc
import dataclasses
import typing

import aiohttp

from galenahatch import answers
from galenahatch import cancelling
from galenahatch import clock
from galenahatch.core import assembly
from galenahatch.core import cache
from galenahatch.core import retry
from galenahatch import errors
from galenahatch import ids
from galenahatch import inbound
from galenahatch import logs
from galenahatch import messages
from galenahatch import metrics
from galenahatch import placing as placing_module
from galenahatch import schema
from galenahatch import states
from galenahatch.upstream import engine as engine_client

MOST_ATTEMPTS: typing.Final = 4
MOST_RESUMES: typing.Final = 3
_FULL_WAIT: typing.Final = 0.03
_log = logs.Log('course')

_RETRIED: typing.Final = frozenset(
    (
        errors.UPSTREAM_REFUSED,
        errors.UPSTREAM_UNREACHABLE,
        errors.SEND_INTERRUPTED,
        errors.STREAM_BROKEN,
        errors.STREAM_GONE,
        errors.ENGINE_FAILED,
        errors.BAD_UPSTREAM,
    )
)
_NOT_STARTED: typing.Final = frozenset(
    (errors.UPSTREAM_REFUSED, errors.UPSTREAM_UNREACHABLE)
)


@dataclasses.dataclass
class Means:
    """What courses work with.

    Attributes:
        member: this entry.
        data_centre: of this entry.
        site: of this entry.
        revision: of the configuration in force.
        placing: finds engines.
        canceller: frees engines.
        find: finds a declared engine.
        repeatable: session for work that may be sent again.
        once: session for work that may not.
        budget: retries left for a service.
    """

    member: ids.MemberId
    data_centre: ids.DataCentre
    placing: placing_module.Placing
    canceller: cancelling.Canceller
    find: cancelling.FindEngine
    repeatable: aiohttp.ClientSession
    once: aiohttp.ClientSession
    budget: collections.abc.Callable[[schema.ModelService], retry.RetryBudget]
    site: collections.abc.Callable[[], ids.SiteName]
    revision: collections.abc.Callable[[], ids.Revision]


@dataclasses.dataclass
class _Attempt:
    """One attempt on a pair of engines.

    Attributes:
        touched: engines that may hold memory of it.
        failed: engine at fault.
        began: when its prefill was sent.
    """

    stream: ids.StreamId
    prefill: schema.Engine
    decode: schema.Engine
    touched: set[ids.EngineName]
    failed: ids.EngineName | None = None
    began: float = 0.0
    spent: int = 0
    first_at: float = 0.0
    first_offset: int = 0


class Course:
    """One request on its way.

    Args:
        means: shared by all courses.
        asked: the checked request.
        sink: where tokens go.
        may_send: asked once, right before the first work is sent.
    """

    def __init__(
        self,
        means: Means,
        asked: inbound.ModelRequest,
        sink: answers.Sink,
        may_send: collections.abc.Callable[[], bool],
    ) -> None:
        self._means = means
        self._asked = asked
        self._sink = sink
        self._may_send = may_send
        self._once = asked.headers.non_idempotent
        self._client = means.once if self._once else means.repeatable
        self._assembly = assembly.Assembly()
        self._avoid: list[ids.EngineName] = []
        self._sent = False
        self._allowed = False
        self._unclear: errors.Failure | None = None
        self._arrived_at = clock.now()
        self._blocks = cache.blocks_of(asked.prompt)

    @property
    def maybe_started(self) -> bool:
        """Whether an engine may have begun the work."""
        return self._sent

    @property
    def text(self) -> str:
        """The answer so far."""
        return self._assembly.text

    @property
    def finish(self) -> str:
        """Why generation ended."""
        return self._assembly.finish

    @property
    def tokens(self) -> int:
        """Tokens of the answer so far."""
        return self._assembly.offset

    async def run(self) -> errors.Failure | None:
        """Run to the end; None when the answer is whole."""
        number = 0
        budget = self._means.budget(self._asked.service)
        while True:
            number += 1
            failure = await self._attempt(number)
            if failure is None:
                budget.earn()
                return None
            if self._sent and failure.outcome is errors.Outcome.UNKNOWN:
                self._unclear = self._unclear or failure
            if not self._may_retry(failure, number):
                return self._truthful(failure)
            if not budget.spend():
                return self._truthful(_spent(failure))
            metrics.retries.add(1)
            await asyncio.sleep(retry.backoff(number, clock.RANDOM))

    def _may_retry(self, failure: errors.Failure, number: int) -> bool:
        if failure.reason not in _RETRIED or number >= MOST_ATTEMPTS:
            return False
        return not (self._once and self._sent)

    def _truthful(self, failure: errors.Failure) -> errors.Failure:
        """Return a failure that says no more than what is known.

        An attempt whose fate is unknown makes the whole unknown, and an
        attempt that may have begun rules `not_run` out.
        """
        if self._unclear is not None:
            detail = f'{self._unclear.detail}, then {failure.reason.name}'
            return errors.Failure(
                self._unclear.reason, detail, failure.retry_after
            )
        if failure.outcome is errors.Outcome.NOT_RUN and self._sent:
            detail = f'{failure.reason.name} {failure.detail}'
            return errors.Failure(
                errors.RETRIES_FAILED, detail, failure.retry_after
            )
        return failure

    # One attempt.

    async def _attempt(self, number: int) -> errors.Failure | None:
        request = self._place_request(number)
        if request.patience <= 0:
            return errors.Failure(errors.NO_TIME, retry_after=1.0)
        placed = await self._means.placing.place(request)
        if isinstance(placed, errors.Failure):
            return placed
        attempt = self._attempt_on(placed)
        if attempt is None:
            note = messages.Release(placed.stream, note='engine undeclared')
            self._means.placing.release(note)
            return errors.Failure(errors.NO_ENGINE, retry_after=1.0)
        self._hold(request, attempt)
        try:
            failure = await self._run(attempt)
        except asyncio.CancelledError:
            self._free(attempt, 'caller_gone')
            raise
        self._account(attempt, failure)
        return failure

    def _place_request(self, number: int) -> messages.PlaceRequest:
        asked = self._asked
        waited = clock.now() - self._arrived_at
        whole = asked.deadline if self._assembly.offset else asked.patience
        return messages.PlaceRequest(
            request=asked.headers.request,
            stream=ids.StreamId(f'{asked.headers.request}.{number}'),
            entry=self._means.member,
            service=asked.service.name,
            site=self._means.site(),
            caller=asked.caller,
            urgency=asked.urgency,
            prompt_tokens=asked.prompt_tokens + self._assembly.offset,
            output_tokens=asked.max_tokens - self._assembly.offset,
            patience=whole - waited,
            blocks=self._blocks,
            avoid=tuple(self._avoid),
            data_centre=self._means.data_centre,
            revision=self._means.revision(),
            ticket=asked.headers.ticket,
        )

    def _attempt_on(self, placed: messages.Placed) -> _Attempt | None:
        prefill = self._means.find(placed.prefill)
        decode = self._means.find(placed.decode)
        if prefill is None or decode is None:
            return None
        return _Attempt(placed.stream, prefill, decode, set())

    def _hold(self, request: messages.PlaceRequest, attempt: _Attempt) -> None:
        cell = self._means.placing.cell_of(request)
        held = messages.Held(
            stream=attempt.stream,
            cell=cell or ids.CellId(''),
            service=request.service,
            prefill=attempt.prefill.name,
            decode=attempt.decode.name,
            stage=states.Stage.PREFILL,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
        )
        self._means.placing.hold(held)

    async def _run(self, attempt: _Attempt) -> errors.Failure | None:
        if not self._allowed and not self._may_send():
            return errors.Failure(errors.CLAIM_ABANDONED, retry_after=1.0)
        self._allowed = True
        failure = await self._prefill(attempt)
        if failure is not None:
            return failure
        stream = await self._decode(attempt)
        if isinstance(stream, errors.Failure):
            if stream.reason is not errors.SEND_INTERRUPTED:
                return stream
        return await self._read(attempt, stream)

    async def _prefill(self, attempt: _Attempt) -> errors.Failure | None:
        call = engine_client.PrefillCall(
            stream=attempt.stream,
            prompt=self._asked.prompt,
            generated=tuple(self._assembly.parts),
            priority=int(self._asked.urgency),
        )
        attempt.began = clock.now()
        attempt.touched.add(attempt.prefill.name)
        sent_before = self._sent
        self._sent = True
        done = await engine_client.prefill(
            self._client, cancelling.url_of(attempt.prefill), call
        )
        if isinstance(done, errors.Failure):
            if done.reason in _NOT_STARTED:
                self._sent = sent_before
                attempt.touched.discard(attempt.prefill.name)
            return self._blame(attempt, attempt.prefill, done)
        attempt.spent = done.prompt_tokens - done.cached_tokens
        metrics.prefill_spent.add(attempt.spent)
        self._means.placing.progress(
            attempt.stream,
            states.Stage.TRANSFER,
            done.cached_tokens,
            clock.now() - attempt.began,
        )
        return None

    async def _decode(
        self, attempt: _Attempt
    ) -> engine_client.Stream | errors.Failure:
        """Begin to decode; wait for a place until the result is evicted."""
        call = engine_client.DecodeCall(
            stream=attempt.stream,
            source=cancelling.url_of(attempt.prefill),
            max_tokens=self._asked.max_tokens,
            priority=int(self._asked.urgency),
        )
        url = cancelling.url_of(attempt.decode)
        until = clock.now() + attempt.prefill.eviction_ms / 1000
        attempt.touched.add(attempt.decode.name)
        while True:
            stream = await engine_client.decode(self._client, url, call)
            if not isinstance(stream, errors.Failure):
                return stream
            refused = stream.reason is errors.UPSTREAM_REFUSED
            if not refused or clock.now() > until:
                if stream.reason in _NOT_STARTED:
                    attempt.touched.discard(attempt.decode.name)
                return self._blame(attempt, attempt.decode, stream)
            await asyncio.sleep(_FULL_WAIT)

    async def _read(
        self,
        attempt: _Attempt,
        stream: engine_client.Stream | errors.Failure,
    ) -> errors.Failure | None:
        """Pass tokens on until the end marker, resuming when cut."""
        self._assembly.expect(attempt.stream)
        attempt.first_offset = self._assembly.offset
        resumes = 0
        while True:
            failure: errors.Failure | None
            if isinstance(stream, errors.Failure):
                failure = stream
            else:
                try:
                    failure = await self._relay(attempt, stream)
                finally:
                    stream.close()
            if failure is None or failure.reason is errors.CALLER_GONE:
                return failure
            if failure.reason is errors.STREAM_GONE:
                return self._blame(attempt, attempt.decode, failure)
            resumes += 1
            if resumes > MOST_RESUMES:
                return self._blame(attempt, attempt.decode, failure)
            await asyncio.sleep(retry.backoff(resumes, clock.RANDOM))
            resumed = await engine_client.resume(
                self._means.repeatable,
                cancelling.url_of(attempt.decode),
                attempt.stream,
                self._assembly.offset,
            )
            # No connection for a resume tells nothing about the stream.
            if _is_unreachable(resumed):
                resumed = failure
            stream = resumed

    async def _relay(
        self, attempt: _Attempt, stream: engine_client.Stream
    ) -> errors.Failure | None:
        """Pass on one connection's tokens; None at the end marker."""
        while True:
            events = await stream.read()
            if isinstance(events, errors.Failure):
                return events
            before = self._assembly.offset
            verdict = self._assemble(events)
            if self._assembly.offset > before:
                self._note_first(attempt)
                text = ''.join(self._assembly.parts[before:])
                try:
                    await self._sink.tokens(text)
                except ConnectionError:
                    return errors.Failure(errors.CALLER_GONE)
            if verdict is assembly.Verdict.END:
                return None
            if verdict is assembly.Verdict.BROKEN:
                return errors.Failure(errors.BAD_UPSTREAM, 'bad event')
            if verdict is assembly.Verdict.GAP:
                return errors.Failure(errors.STREAM_BROKEN, 'gap')

    def _assemble(self, events: list[engine_client.Event]) -> assembly.Verdict:
        """Take events; return the first verdict that ends a reading."""
        for event in events:
            if event.finish:
                verdict = self._assembly.end(
                    event.stream, event.offset, event.finish
                )
            else:
                verdict = self._assembly.token(
                    event.stream, event.offset, event.text
                )
            if verdict is assembly.Verdict.FOREIGN:
                metrics.foreign_events.add(1)
            elif verdict not in (
                assembly.Verdict.TOKEN,
                assembly.Verdict.DUPLICATE,
            ):
                return verdict
        return assembly.Verdict.TOKEN

    def _note_first(self, attempt: _Attempt) -> None:
        if attempt.first_at:
            return
        attempt.first_at = clock.now()
        self._means.placing.progress(
            attempt.stream,
            states.Stage.DECODE,
            -1,
            attempt.first_at - attempt.began,
        )
        if not attempt.first_offset:
            metrics.first_token.record(attempt.first_at - self._arrived_at)

    # The end of an attempt.

    def _blame(
        self,
        attempt: _Attempt,
        engine: schema.Engine,
        failure: errors.Failure,
    ) -> errors.Failure:
        """Note which engine failed; the next attempt avoids it."""
        attempt.failed = engine.name
        self._avoid.append(engine.name)
        _log.warning(
            'Attempt failed.',
            stream=attempt.stream,
            engine=engine.name,
            reason=failure.reason.name,
            detail=failure.detail,
        )
        return failure

    def _account(
        self, attempt: _Attempt, failure: errors.Failure | None
    ) -> None:
        if failure is not None:
            self._free(attempt, failure.reason.name)
            return
        count = self._assembly.offset - attempt.first_offset
        spread = clock.now() - attempt.first_at
        pace = spread / (count - 1) if count > 1 else 0.0
        if pace:
            metrics.between_tokens.record(pace)
        self._means.placing.release(
            messages.Release(
                attempt.stream,
                tokens=count,
                seconds_per_token=pace,
                note=f'answered tokens={count}',
            )
        )

    def _free(self, attempt: _Attempt, cause: str) -> None:
        """Free what an attempt holds at engines, then its reservation."""
        if attempt.spent and not attempt.first_at:
            metrics.prefill_wasted.add(attempt.spent)
        release = messages.Release(
            attempt.stream, failed=attempt.failed, note=cause
        )

        def then() -> None:
            self._means.placing.release(release)

        if attempt.touched:
            self._means.canceller.cancel(
                attempt.stream, attempt.touched, cause, then
            )
        else:
            then()


def _spent(failure: errors.Failure) -> errors.Failure:
    """Return the failure of a request that has no retry left."""
    detail = f'{failure.reason.name} {failure.detail}'
    return errors.Failure(errors.RETRIES_SPENT, detail, 1.0)


def _is_unreachable(
    result: engine_client.Stream | errors.Failure,
) -> bool:
    return (
        isinstance(result, errors.Failure)
        and result.reason is errors.UPSTREAM_UNREACHABLE
    )
