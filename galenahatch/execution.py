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

MOST_ATTEMPTS: typing.Final = 4

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


class RequestExecution:
    """One request on its way.

    Args:
        means: shared by all courses.
        asked: the checked request.
        sink: where tokens go.
        may_send: asked once, right before the first work is sent.
    """

    def __init__(
        self,
        means: attempt_module.AttemptContext,
        asked: inbound.ModelRequest,
        sink: answers.Sink,
        may_send: collections.abc.Callable[[], bool],
    ) -> None:
        self._means = means
        self._asked = asked
        self._sink = sink
        self._may_send = may_send
        self._once = asked.headers.non_idempotent
        self._assembly = assembly.AnswerAssembler()
        self._avoid: list[ids.EngineName] = []
        self._sent = False
        self._allowed = False
        self._unclear: errors.Failure | None = None
        self._arrived_at = clock.now()
        self._blocks = cache.hash_blocks(asked.prompt)

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
        return self._assembly.finish_reason

    @property
    def tokens(self) -> int:
        """Tokens of the answer so far."""
        return self._assembly.offset

    async def run(self) -> errors.Failure | None:
        """Run to the end; None when the answer is whole."""
        number = 0
        budget = self._means.retry_budget_of(self._asked.service)
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
        if request.first_token_timeout <= 0:
            return errors.Failure(errors.NO_TIME, retry_after=1.0)
        placed = await self._means.placement.place(request)
        if isinstance(placed, errors.Failure):
            return placed
        engines = self._engines_of(placed)
        if engines is None:
            note = messages.Release(placed.stream, note='engine undeclared')
            self._means.placement.release(note)
            return errors.Failure(errors.NO_ENGINE, retry_after=1.0)
        self._hold(request, engines)
        attempt = attempt_module.Attempt(
            self._means,
            self._asked,
            self._sink,
            self._assembly,
            placed.stream,
            engines,
            self._arrived_at,
        )
        return await self._run(attempt)

    async def _run(
        self, attempt: attempt_module.Attempt
    ) -> errors.Failure | None:
        """Run an attempt, and keep what it came to."""
        if not self._allowed and not self._may_send():
            attempt.release_engines('not allowed')
            return errors.Failure(errors.CLAIM_ABANDONED, retry_after=1.0)
        self._allowed = True
        try:
            failure = await attempt.run()
        except asyncio.CancelledError:
            attempt.release_engines('caller_gone')
            raise
        finally:
            self._sent = self._sent or attempt.maybe_started
        attempt.report_end(failure)
        if attempt.failed_engine is not None:
            self._avoid.append(attempt.failed_engine)
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
            site=self._means.current_site(),
            caller=asked.caller,
            urgency=asked.urgency,
            prompt_tokens=asked.prompt_tokens + self._assembly.offset,
            output_tokens=asked.max_tokens - self._assembly.offset,
            first_token_timeout=whole - waited,
            blocks=self._blocks,
            avoided_engines=tuple(self._avoid),
            data_centre=self._means.data_centre,
            revision=self._means.current_revision(),
            ticket=asked.headers.ticket,
        )

    def _engines_of(
        self, placed: messages.Placed
    ) -> attempt_module.EnginePair | None:
        prefill = self._means.find_engine(placed.prefill)
        decode = self._means.find_engine(placed.decode)
        if prefill is None or decode is None:
            return None
        return attempt_module.EnginePair(prefill, decode)

    def _hold(
        self,
        request: messages.PlaceRequest,
        engines: attempt_module.EnginePair,
    ) -> None:
        cell = self._means.placement.cell_of(request)
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
        self._means.placement.hold(held)


def _spent(failure: errors.Failure) -> errors.Failure:
    """Return the failure of a request that has no retry left."""
    detail = f'{failure.reason.name} {failure.detail}'
    return errors.Failure(errors.RETRIES_SPENT, detail, 1.0)
