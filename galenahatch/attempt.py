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

"""One attempt to run a request on a prefill and a decode engine.

An attempt prefills the prompt, retries decode until the prefill result is
evicted, relays tokens, resumes interrupted streams, and releases engine
resources when it fails or is cancelled.
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
from galenahatch.core import retry
from galenahatch import errors
from galenahatch import ids
from galenahatch import inbound
from galenahatch import logs
from galenahatch import messages
from galenahatch import metrics
from galenahatch import placementclient
from galenahatch import schema
from galenahatch import states
from galenahatch.upstream import engine as engine_client

MAX_RESUMES: typing.Final = 3
_DECODE_RETRY_DELAY_S: typing.Final = 0.03
_log = logs.Log('attempt')

_NOT_STARTED: typing.Final = frozenset(
    (errors.UPSTREAM_REFUSED, errors.UPSTREAM_UNREACHABLE)
)


@dataclasses.dataclass
class AttemptContext:
    """Dependencies that all attempts of an entry share.

    Attributes:
        member: id of this entry.
        data_centre: data centre of this entry.
        placement: client that requests engines from schedulers.
        canceller: cancels streams on engines.
        find_engine: looks up a configured engine by name.
        idempotent_session: HTTP session for work that may be sent again.
        non_idempotent_session: HTTP session for work that may be sent
            only once.
        retry_budget_of: returns the retry budget of a service.
        current_site: returns the site of this entry.
        current_revision: returns the active configuration's revision.
    """

    member: ids.MemberId
    data_centre: ids.DataCentre
    placement: placementclient.PlacementClient
    canceller: cancelling.Canceller
    find_engine: cancelling.FindEngine
    idempotent_session: aiohttp.ClientSession
    non_idempotent_session: aiohttp.ClientSession
    retry_budget_of: collections.abc.Callable[
        [schema.ModelService], retry.RetryBudget
    ]
    current_site: collections.abc.Callable[[], ids.SiteName]
    current_revision: collections.abc.Callable[[], ids.Revision]


@dataclasses.dataclass(frozen=True)
class EnginePair:
    """Prefill and decode engine of an attempt."""

    prefill: schema.Engine
    decode: schema.Engine


class Attempt:
    """Runs a request once on a pair of engines.

    Args:
        context: dependencies shared by all attempts.
        model_request: validated model request.
        sink: receiver of generated text.
        answer: assembled tokens, including those of earlier attempts.
        stream: id of the attempt.
        engines: engines that run the attempt.
        arrived_at: monotonic time of the request's arrival, in seconds.

    Attributes:
        maybe_started: whether an engine may have started the work.
    """

    def __init__(
        self,
        context: AttemptContext,
        model_request: inbound.ModelRequest,
        sink: answers.Sink,
        answer: assembly.AnswerAssembler,
        stream: ids.StreamId,
        engines: EnginePair,
        arrived_at: float,
    ) -> None:
        self._context = context
        self._model_request = model_request
        self._sink = sink
        self._assembler = answer
        self._stream = stream
        self._prefill_engine = engines.prefill
        self._decode_engine = engines.decode
        self._arrived_at = arrived_at
        is_non_idempotent = model_request.headers.non_idempotent
        self._client = (
            context.non_idempotent_session
            if is_non_idempotent
            else context.idempotent_session
        )
        # Engines that may hold memory for the attempt.
        self._engines_in_use: set[ids.EngineName] = set()
        self._failed_engine: ids.EngineName | None = None
        self._started_at = 0.0
        self._prefilled_tokens = 0
        self._first_token_at = 0.0
        self._first_offset = 0
        self.maybe_started = False

    @property
    def failed_engine(self) -> ids.EngineName | None:
        """Engine that caused the failure; None if no engine did."""
        return self._failed_engine

    async def run(self) -> errors.Failure | None:
        """Run the attempt; return None when the response is complete."""
        failure = await self._prefill()
        if failure is not None:
            return failure
        stream = await self._decode()
        if isinstance(stream, errors.Failure):
            if stream.reason is not errors.SEND_INTERRUPTED:
                return stream
        return await self._read_stream(stream)

    async def _prefill(self) -> errors.Failure | None:
        call = engine_client.PrefillRequest(
            stream=self._stream,
            prompt=self._model_request.prompt,
            generated=tuple(self._assembler.tokens),
            priority=int(self._model_request.urgency),
        )
        self._started_at = clock.now()
        self._engines_in_use.add(self._prefill_engine.name)
        self.maybe_started = True
        result = await engine_client.prefill(
            self._client, cancelling.url_of(self._prefill_engine), call
        )
        if isinstance(result, errors.Failure):
            if result.reason in _NOT_STARTED:
                self.maybe_started = False
                self._engines_in_use.discard(self._prefill_engine.name)
            return self._record_engine_failure(self._prefill_engine, result)
        self._prefilled_tokens = result.prompt_tokens - result.cached_tokens
        metrics.prefill_spent.add(self._prefilled_tokens)
        self._context.placement.report_progress(
            self._stream,
            states.Stage.TRANSFER,
            result.cached_tokens,
            clock.now() - self._started_at,
        )
        return None

    async def _decode(
        self,
    ) -> engine_client.Stream | errors.Failure:
        """Start decoding; retry refusals until the prefill is evicted."""
        call = engine_client.DecodeRequest(
            stream=self._stream,
            source=cancelling.url_of(self._prefill_engine),
            max_tokens=self._model_request.max_tokens,
            priority=int(self._model_request.urgency),
        )
        url = cancelling.url_of(self._decode_engine)
        retry_until = clock.now() + self._prefill_engine.eviction_ms / 1000
        self._engines_in_use.add(self._decode_engine.name)
        while True:
            stream = await engine_client.decode(self._client, url, call)
            if not isinstance(stream, errors.Failure):
                return stream
            is_refused = stream.reason is errors.UPSTREAM_REFUSED
            if not is_refused or clock.now() > retry_until:
                if stream.reason in _NOT_STARTED:
                    self._engines_in_use.discard(self._decode_engine.name)
                return self._record_engine_failure(self._decode_engine, stream)
            await asyncio.sleep(_DECODE_RETRY_DELAY_S)

    async def _read_stream(
        self,
        stream: engine_client.Stream | errors.Failure,
    ) -> errors.Failure | None:
        """Relay tokens until the end marker; resume interrupted streams."""
        self._assembler.expect_stream(self._stream)
        self._first_offset = self._assembler.offset
        resumes = 0
        while True:
            failure: errors.Failure | None
            if isinstance(stream, errors.Failure):
                failure = stream
            else:
                try:
                    failure = await self._relay_tokens(stream)
                finally:
                    stream.close()
            if failure is None or failure.reason is errors.CALLER_GONE:
                return failure
            if failure.reason is errors.STREAM_GONE:
                return self._record_engine_failure(
                    self._decode_engine, failure
                )
            resumes += 1
            if resumes > MAX_RESUMES:
                return self._record_engine_failure(
                    self._decode_engine, failure
                )
            await asyncio.sleep(retry.backoff(resumes, clock.RANDOM))
            resumed = await engine_client.resume(
                self._context.idempotent_session,
                cancelling.url_of(self._decode_engine),
                self._stream,
                self._assembler.offset,
            )
            # A failed connection says nothing about the stream's state.
            if _is_unreachable(resumed):
                resumed = failure
            stream = resumed

    async def _relay_tokens(
        self, stream: engine_client.Stream
    ) -> errors.Failure | None:
        """Relay tokens of one connection; return None at the end marker."""
        while True:
            events = await stream.read()
            if isinstance(events, errors.Failure):
                return events
            offset_before = self._assembler.offset
            verdict = self._assemble(events)
            if self._assembler.offset > offset_before:
                self._record_first_token()
                text = ''.join(self._assembler.tokens[offset_before:])
                try:
                    await self._sink.send_text(text)
                except ConnectionError:
                    return errors.Failure(errors.CALLER_GONE)
            if verdict is assembly.Verdict.END:
                return None
            if verdict is assembly.Verdict.BROKEN:
                return errors.Failure(errors.BAD_UPSTREAM, 'malformed event')
            if verdict is assembly.Verdict.GAP:
                return errors.Failure(
                    errors.STREAM_BROKEN, 'gap between token offsets'
                )

    def _assemble(self, events: list[engine_client.Event]) -> assembly.Verdict:
        """Assemble events; return the first verdict that stops reading."""
        for event in events:
            if event.finish:
                verdict = self._assembler.add_end(
                    event.stream, event.offset, event.finish
                )
            else:
                verdict = self._assembler.add_token(
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

    def _record_first_token(self) -> None:
        if self._first_token_at:
            return
        self._first_token_at = clock.now()
        self._context.placement.report_progress(
            self._stream,
            states.Stage.DECODE,
            -1,
            self._first_token_at - self._started_at,
        )
        if not self._first_offset:
            metrics.first_token.record(self._first_token_at - self._arrived_at)

    # End of an attempt.

    def _record_engine_failure(
        self,
        engine: schema.Engine,
        failure: errors.Failure,
    ) -> errors.Failure:
        """Record and log the engine that failed."""
        self._failed_engine = engine.name
        _log.warning(
            'Attempt failed.',
            stream=self._stream,
            engine=engine.name,
            reason=failure.reason.name,
            detail=failure.detail,
        )
        return failure

    def report_end(self, failure: errors.Failure | None) -> None:
        """Release the reservation, or the engines after a failure."""
        if failure is not None:
            self.release_engines(failure.reason.name)
            return
        count = self._assembler.offset - self._first_offset
        elapsed = clock.now() - self._first_token_at
        seconds_per_token = elapsed / (count - 1) if count > 1 else 0.0
        if seconds_per_token:
            metrics.between_tokens.record(seconds_per_token)
        self._context.placement.release(
            messages.Release(
                self._stream,
                tokens=count,
                seconds_per_token=seconds_per_token,
                note=f'answered tokens={count}',
            )
        )

    def release_engines(self, cause: str) -> None:
        """Cancel the attempt on its engines, then release its reservation."""
        if self._prefilled_tokens and not self._first_token_at:
            metrics.prefill_wasted.add(self._prefilled_tokens)
        release = messages.Release(
            self._stream, failed_engine=self._failed_engine, note=cause
        )

        def release_reservation() -> None:
            self._context.placement.release(release)

        if self._engines_in_use:
            self._context.canceller.cancel(
                self._stream, self._engines_in_use, cause, release_reservation
            )
        else:
            release_reservation()


def _is_unreachable(
    result: engine_client.Stream | errors.Failure,
) -> bool:
    return (
        isinstance(result, errors.Failure)
        and result.reason is errors.UPSTREAM_UNREACHABLE
    )
