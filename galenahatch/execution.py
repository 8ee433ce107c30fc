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

"""Execution of one model request: place, prefill, transfer, decode.

A request is attempted until an attempt completes the response or no retry is
allowed. The reported outcome never understates what may have happened:
`not_run` only if no attempt may have started on an engine.

A retry after some tokens continues the response: the next attempt prefills
the prompt and the tokens already sent, and generates the rest. A request that
is not idempotent has a single attempt and is placed again only while no engine
may have started it. Its stream can still be resumed, since resuming runs
nothing again.
"""

import asyncio
import collections.abc
import typing

from galenahatch import answers
from galenahatch import attempt as attempt_module
from galenahatch import clock
from galenahatch.core import assembly
from galenahatch.core import cache
from galenahatch.core import retry
from galenahatch import errors
from galenahatch import ids
from galenahatch import inbound
from galenahatch import messages
from galenahatch import metrics
from galenahatch import states

MAX_ATTEMPTS: typing.Final = 4

_RETRYABLE_REASONS: typing.Final = frozenset(
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


class RequestExecution:
    """Runs one model request, with retries.

    Args:
        context: dependencies shared by all attempts.
        model_request: validated model request.
        sink: receiver of generated text.
        try_dispatch: called once before the first work is sent; returns
            whether it may be sent.
    """

    def __init__(
        self,
        context: attempt_module.AttemptContext,
        model_request: inbound.ModelRequest,
        sink: answers.Sink,
        try_dispatch: collections.abc.Callable[[], bool],
    ) -> None:
        self._context = context
        self._model_request = model_request
        self._sink = sink
        self._try_dispatch = try_dispatch
        self._non_idempotent = model_request.headers.non_idempotent
        self._assembler = assembly.AnswerAssembler()
        self._avoided_engines: list[ids.EngineName] = []
        self._maybe_started = False
        self._dispatched = False
        self._unknown_failure: errors.Failure | None = None
        self._arrived_at = clock.now()
        self._blocks = cache.hash_blocks(model_request.prompt)

    @property
    def maybe_started(self) -> bool:
        """Whether an engine may have started the work."""
        return self._maybe_started

    @property
    def text(self) -> str:
        """Text of the response so far."""
        return self._assembler.text

    @property
    def finish_reason(self) -> str:
        """Finish reason of the response."""
        return self._assembler.finish_reason

    @property
    def token_count(self) -> int:
        """Number of tokens in the response so far."""
        return self._assembler.offset

    async def run(self) -> errors.Failure | None:
        """Run the request; return None when the response is complete."""
        attempt_number = 0
        budget = self._context.retry_budget_of(self._model_request.service)
        while True:
            attempt_number += 1
            failure = await self._run_attempt(attempt_number)
            if failure is None:
                budget.earn()
                return None
            if (
                self._maybe_started
                and failure.outcome is errors.Outcome.UNKNOWN
            ):
                self._unknown_failure = self._unknown_failure or failure
            if not self._may_retry(failure, attempt_number):
                return self._combine_failures(failure)
            if not budget.spend():
                return self._combine_failures(_retries_spent(failure))
            metrics.retries.add(1)
            await asyncio.sleep(retry.backoff(attempt_number, clock.RANDOM))

    def _may_retry(self, failure: errors.Failure, attempt_number: int) -> bool:
        if (
            failure.reason not in _RETRYABLE_REASONS
            or attempt_number >= MAX_ATTEMPTS
        ):
            return False
        return not (self._non_idempotent and self._maybe_started)

    def _combine_failures(self, failure: errors.Failure) -> errors.Failure:
        """Combine the last failure with those of earlier attempts.

        An attempt with an unknown outcome makes the request's outcome unknown,
        and an attempt that may have started rules out `not_run`.
        """
        if self._unknown_failure is not None:
            detail = (
                f'{self._unknown_failure.detail}, then {failure.reason.name}'
            )
            return errors.Failure(
                self._unknown_failure.reason, detail, failure.retry_after
            )
        if failure.outcome is errors.Outcome.NOT_RUN and self._maybe_started:
            detail = f'{failure.reason.name} {failure.detail}'
            return errors.Failure(
                errors.RETRIES_FAILED, detail, failure.retry_after
            )
        return failure

    # A single attempt.

    async def _run_attempt(self, attempt_number: int) -> errors.Failure | None:
        request = self._build_place_request(attempt_number)
        if request.first_token_timeout <= 0:
            return errors.Failure(errors.NO_TIME, retry_after=1.0)
        placed = await self._context.placement.place(request)
        if isinstance(placed, errors.Failure):
            return placed
        engines = self._find_engines(placed)
        if engines is None:
            release = messages.Release(placed.stream, note='engine undeclared')
            self._context.placement.release(release)
            return errors.Failure(errors.NO_ENGINE, retry_after=1.0)
        self._record_attempt(request, engines)
        attempt = attempt_module.Attempt(
            self._context,
            self._model_request,
            self._sink,
            self._assembler,
            placed.stream,
            engines,
            self._arrived_at,
        )
        return await self._run(attempt)

    async def _run(
        self, attempt: attempt_module.Attempt
    ) -> errors.Failure | None:
        """Run an attempt and record its outcome."""
        if not self._dispatched and not self._try_dispatch():
            attempt.release_engines('not allowed')
            return errors.Failure(errors.CLAIM_ABANDONED, retry_after=1.0)
        self._dispatched = True
        try:
            failure = await attempt.run()
        except asyncio.CancelledError:
            attempt.release_engines('caller_gone')
            raise
        finally:
            self._maybe_started = self._maybe_started or attempt.maybe_started
        attempt.report_end(failure)
        if attempt.failed_engine is not None:
            self._avoided_engines.append(attempt.failed_engine)
        return failure

    def _build_place_request(
        self, attempt_number: int
    ) -> messages.PlaceRequest:
        model_request = self._model_request
        elapsed = clock.now() - self._arrived_at
        timeout = (
            model_request.deadline
            if self._assembler.offset
            else model_request.patience
        )
        return messages.PlaceRequest(
            request=model_request.headers.request,
            stream=ids.StreamId(
                f'{model_request.headers.request}.{attempt_number}'
            ),
            entry=self._context.member,
            service=model_request.service.name,
            site=self._context.current_site(),
            caller=model_request.caller,
            urgency=model_request.urgency,
            prompt_tokens=model_request.prompt_tokens + self._assembler.offset,
            output_tokens=model_request.max_tokens - self._assembler.offset,
            first_token_timeout=timeout - elapsed,
            blocks=self._blocks,
            avoided_engines=tuple(self._avoided_engines),
            data_centre=self._context.data_centre,
            revision=self._context.current_revision(),
            ticket=model_request.headers.ticket,
        )

    def _find_engines(
        self, placed: messages.Placed
    ) -> attempt_module.EnginePair | None:
        prefill = self._context.find_engine(placed.prefill)
        decode = self._context.find_engine(placed.decode)
        if prefill is None or decode is None:
            return None
        return attempt_module.EnginePair(prefill, decode)

    def _record_attempt(
        self,
        request: messages.PlaceRequest,
        engines: attempt_module.EnginePair,
    ) -> None:
        cell = self._context.placement.cell_of(request)
        held = messages.Held(
            stream=request.stream,
            cell=cell or ids.CellId(''),
            service=request.service,
            prefill=engines.prefill.name,
            decode=engines.decode.name,
            stage=states.Stage.PREFILL,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
        )
        self._context.placement.record_attempt(held)


def _retries_spent(failure: errors.Failure) -> errors.Failure:
    """Return the failure of a request whose retry budget is exhausted."""
    detail = f'{failure.reason.name} {failure.detail}'
    return errors.Failure(errors.RETRIES_SPENT, detail, 1.0)
