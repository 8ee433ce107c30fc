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

"""One attempt of a request on a pair of engines.

It prefills, waits for a place until the result is evicted, decodes, passes
tokens on, resumes a stream that was cut, and frees what it holds when it
does not end by itself.
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
from galenahatch import placing as placing_module
from galenahatch import schema
from galenahatch import states
from galenahatch.upstream import engine as engine_client

MOST_RESUMES: typing.Final = 3
_FULL_WAIT: typing.Final = 0.03
_log = logs.Log('attempt')

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


@dataclasses.dataclass(frozen=True)
class Engines:
    """The pair of engines that an attempt runs on."""

    prefill: schema.Engine
    decode: schema.Engine


class Attempt:
    """One attempt.

    Args:
        means: shared by all attempts.
        asked: the checked request.
        sink: where tokens go.
        answer: the answer so far, of earlier attempts too.
        stream: id of the attempt.
        engines: that it runs on.
        arrived_at: when the request came.

    Attributes:
        started: whether an engine may have begun the work.
    """

    def __init__(
        self,
        means: Means,
        asked: inbound.ModelRequest,
        sink: answers.Sink,
        answer: assembly.AnswerAssembler,
        stream: ids.StreamId,
        engines: Engines,
        arrived_at: float,
    ) -> None:
        self._means = means
        self._asked = asked
        self._sink = sink
        self._assembly = answer
        self._stream = stream
        self._prefill_engine = engines.prefill
        self._decode_engine = engines.decode
        self._arrived_at = arrived_at
        once = asked.headers.non_idempotent
        self._client = means.once if once else means.repeatable
        # Engines that may hold memory of the attempt.
        self._touched: set[ids.EngineName] = set()
        self._failed: ids.EngineName | None = None
        self._began = 0.0
        self._spent = 0
        self._first_at = 0.0
        self._first_offset = 0
        self.started = False

    @property
    def failed(self) -> ids.EngineName | None:
        """The engine at fault, if one was."""
        return self._failed

    async def run(self) -> errors.Failure | None:
        """Run to the end; None when the answer is whole."""
        failure = await self._prefill()
        if failure is not None:
            return failure
        stream = await self._decode()
        if isinstance(stream, errors.Failure):
            if stream.reason is not errors.SEND_INTERRUPTED:
                return stream
        return await self._read(stream)

    async def _prefill(self) -> errors.Failure | None:
        call = engine_client.PrefillRequest(
            stream=self._stream,
            prompt=self._asked.prompt,
            generated=tuple(self._assembly.tokens),
            priority=int(self._asked.urgency),
        )
        self._began = clock.now()
        self._touched.add(self._prefill_engine.name)
        self.started = True
        done = await engine_client.prefill(
            self._client, cancelling.url_of(self._prefill_engine), call
        )
        if isinstance(done, errors.Failure):
            if done.reason in _NOT_STARTED:
                self.started = False
                self._touched.discard(self._prefill_engine.name)
            return self._blame(self._prefill_engine, done)
        self._spent = done.prompt_tokens - done.cached_tokens
        metrics.prefill_spent.add(self._spent)
        self._means.placing.progress(
            self._stream,
            states.Stage.TRANSFER,
            done.cached_tokens,
            clock.now() - self._began,
        )
        return None

    async def _decode(
        self,
    ) -> engine_client.Stream | errors.Failure:
        """Begin to decode; wait for a place until the result is evicted."""
        call = engine_client.DecodeRequest(
            stream=self._stream,
            source=cancelling.url_of(self._prefill_engine),
            max_tokens=self._asked.max_tokens,
            priority=int(self._asked.urgency),
        )
        url = cancelling.url_of(self._decode_engine)
        until = clock.now() + self._prefill_engine.eviction_ms / 1000
        self._touched.add(self._decode_engine.name)
        while True:
            stream = await engine_client.decode(self._client, url, call)
            if not isinstance(stream, errors.Failure):
                return stream
            refused = stream.reason is errors.UPSTREAM_REFUSED
            if not refused or clock.now() > until:
                if stream.reason in _NOT_STARTED:
                    self._touched.discard(self._decode_engine.name)
                return self._blame(self._decode_engine, stream)
            await asyncio.sleep(_FULL_WAIT)

    async def _read(
        self,
        stream: engine_client.Stream | errors.Failure,
    ) -> errors.Failure | None:
        """Pass tokens on until the end marker, resuming when cut."""
        self._assembly.expect_stream(self._stream)
        self._first_offset = self._assembly.offset
        resumes = 0
        while True:
            failure: errors.Failure | None
            if isinstance(stream, errors.Failure):
                failure = stream
            else:
                try:
                    failure = await self._relay(stream)
                finally:
                    stream.close()
            if failure is None or failure.reason is errors.CALLER_GONE:
                return failure
            if failure.reason is errors.STREAM_GONE:
                return self._blame(self._decode_engine, failure)
            resumes += 1
            if resumes > MOST_RESUMES:
                return self._blame(self._decode_engine, failure)
            await asyncio.sleep(retry.backoff(resumes, clock.RANDOM))
            resumed = await engine_client.resume(
                self._means.repeatable,
                cancelling.url_of(self._decode_engine),
                self._stream,
                self._assembly.offset,
            )
            # No connection for a resume tells nothing about the stream.
            if _is_unreachable(resumed):
                resumed = failure
            stream = resumed

    async def _relay(
        self, stream: engine_client.Stream
    ) -> errors.Failure | None:
        """Pass on one connection's tokens; None at the end marker."""
        while True:
            events = await stream.read()
            if isinstance(events, errors.Failure):
                return events
            before = self._assembly.offset
            verdict = self._assemble(events)
            if self._assembly.offset > before:
                self._note_first()
                text = ''.join(self._assembly.tokens[before:])
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
                verdict = self._assembly.add_end(
                    event.stream, event.offset, event.finish
                )
            else:
                verdict = self._assembly.add_token(
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

    def _note_first(self) -> None:
        if self._first_at:
            return
        self._first_at = clock.now()
        self._means.placing.progress(
            self._stream,
            states.Stage.DECODE,
            -1,
            self._first_at - self._began,
        )
        if not self._first_offset:
            metrics.first_token.record(self._first_at - self._arrived_at)

    # The end of an attempt.

    def _blame(
        self,
        engine: schema.Engine,
        failure: errors.Failure,
    ) -> errors.Failure:
        """Note which engine failed."""
        self._failed = engine.name
        _log.warning(
            'Attempt failed.',
            stream=self._stream,
            engine=engine.name,
            reason=failure.reason.name,
            detail=failure.detail,
        )
        return failure

    def account(self, failure: errors.Failure | None) -> None:
        if failure is not None:
            self.free(failure.reason.name)
            return
        count = self._assembly.offset - self._first_offset
        spread = clock.now() - self._first_at
        pace = spread / (count - 1) if count > 1 else 0.0
        if pace:
            metrics.between_tokens.record(pace)
        self._means.placing.release(
            messages.Release(
                self._stream,
                tokens=count,
                seconds_per_token=pace,
                note=f'answered tokens={count}',
            )
        )

    def free(self, cause: str) -> None:
        """Free what an attempt holds at engines, then its reservation."""
        if self._spent and not self._first_at:
            metrics.prefill_wasted.add(self._spent)
        release = messages.Release(
            self._stream, failed=self._failed, note=cause
        )

        def then() -> None:
            self._means.placing.release(release)

        if self._touched:
            self._means.canceller.cancel(
                self._stream, self._touched, cause, then
            )
        else:
            then()


def _is_unreachable(
    result: engine_client.Stream | errors.Failure,
) -> bool:
    return (
        isinstance(result, errors.Failure)
        and result.reason is errors.UPSTREAM_UNREACHABLE
    )
