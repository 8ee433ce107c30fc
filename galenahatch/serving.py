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

"""Callers' HTTP: from a request to its answer.

A handler checks a request, claims it if it may run only once, lets a
course run it within its deadline, settles the claim, and answers. When a
caller goes away its handler is cancelled, and with it the course, which
frees the engines.
"""

import asyncio
import dataclasses
import typing

from aiohttp import web

from galenahatch import answers
from galenahatch import attempt
from galenahatch import claimclient
from galenahatch import clock
from galenahatch.core import claim
from galenahatch import distribution
from galenahatch import errors
from galenahatch import execution
from galenahatch import ids
from galenahatch import inbound
from galenahatch import logs
from galenahatch import metrics
from galenahatch import plainservices
from galenahatch import schema

_BODY_SECONDS: typing.Final = 30.0
_log = logs.Log('serving')


@dataclasses.dataclass(frozen=True)
class Arrived:
    """A request with its body, whose caller and headers are checked."""

    request: web.Request
    body: bytes
    settings: schema.Config
    caller: schema.Caller
    headers: inbound.Headers


class Serving:
    """Handlers of one entry.

    Attributes:
        in_flight: requests that have no answer yet.
        closed: whether new requests are refused.
    """

    def __init__(
        self,
        settings: distribution.Distribution,
        means: attempt.AttemptContext,
        claiming: claimclient.ClaimClient,
        plain: plainservices.PlainServices,
    ) -> None:
        self._config = settings
        self._means = means
        self._claiming = claiming
        self._plain = plain
        self.in_flight = 0
        self.closed = False

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for callers."""
        return [
            web.post('/v1/completions', self._completion),
            web.post('/v1/chat/completions', self._chat),
            web.get('/v1/models', self._models),
            web.route('*', '/v1/services/{name}/{tail:.*}', self._service),
        ]

    @web.middleware
    async def typed_errors(
        self,
        request: web.Request,
        handler: typing.Callable[
            [web.Request], typing.Awaitable[web.StreamResponse]
        ],
    ) -> web.StreamResponse:
        """Turn every way a handler can fail into a typed answer."""
        none = ids.RequestId('')
        try:
            response = await handler(request)
        except web.HTTPRequestEntityTooLarge:
            failure = errors.Failure(errors.BODY_TOO_LARGE)
            response = answers.failure_response(failure, none)
        except web.HTTPException as error:
            failure = errors.Failure(errors.NO_ROUTE, str(error.status))
            response = answers.failure_response(failure, none)
        except ConnectionError:
            raise
        except Exception as error:  # noqa: H201  (logged, typed answer)
            _log.error('Handler failed.', error=repr(error))
            failure = errors.Failure(errors.INTERNAL)
            response = answers.failure_response(failure, none)
        if self.closed and not response.prepared:
            response.force_close()
        return response

    async def _completion(self, request: web.Request) -> web.StreamResponse:
        return await self._counted(request, self._model, False)

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        return await self._counted(request, self._model, True)

    async def _models(self, request: web.Request) -> web.StreamResponse:
        """List the models for a known caller."""
        none = ids.RequestId('')
        settings = self._config.own_config()
        if self.closed or settings is None:
            return answers.failure_response(self._unavailable(request), none)
        caller = inbound.read_caller(request.headers, settings)
        if isinstance(caller, errors.Failure):
            return answers.failure_response(caller, none)
        return answers.build_response(answers.model_list(settings), none)

    async def _service(self, request: web.Request) -> web.StreamResponse:
        return await self._counted(request, self._call, False)

    async def _counted(
        self,
        request: web.Request,
        handler: typing.Callable[
            [Arrived, bool], typing.Awaitable[web.StreamResponse]
        ],
        chat: bool,
    ) -> web.StreamResponse:
        """Admit a request and count it while it is in flight."""
        none = ids.RequestId('')
        settings = self._config.own_config()
        if self.closed or settings is None:
            return answers.failure_response(self._unavailable(request), none)
        caller = inbound.read_caller(request.headers, settings)
        if isinstance(caller, errors.Failure):
            return answers.failure_response(caller, none)
        headers = inbound.read_headers(request.headers)
        if isinstance(headers, errors.Failure):
            return answers.failure_response(headers, none)
        self.in_flight += 1
        try:
            body = await _read_body(request)
            if isinstance(body, errors.Failure):
                return answers.failure_response(body, headers.request)
            arrived = Arrived(request, body, settings, caller, headers)
            return await handler(arrived, chat)
        finally:
            self.in_flight -= 1

    def _unavailable(self, request: web.Request) -> errors.Failure:
        """Return why no request is taken now.

        Whether an earlier arrival of a key ran is not looked up, so a
        request that may run only once is not told that it was not run.
        """
        reason = errors.LEAVING if self.closed else errors.NO_CONFIGURATION
        if inbound.IDEMPOTENCY_KEY in request.headers:
            detail = f'{reason.name}: {reason.message}'
            return errors.Failure(errors.CLAIM_UNREAD, detail, 1.0)
        return errors.Failure(reason)

    async def _call(self, arrived: Arrived, chat: bool) -> web.StreamResponse:
        """Route a call to a plain service."""
        return await self._plain.serve(
            arrived.request,
            arrived.body,
            arrived.settings,
            arrived.caller,
            arrived.headers,
        )

    async def _model(self, arrived: Arrived, chat: bool) -> web.StreamResponse:
        """Run a request for a model service."""
        request = arrived.request
        headers = arrived.headers
        asked = inbound.read_model_request(
            arrived.body, headers, arrived.caller, arrived.settings, chat
        )
        if isinstance(asked, errors.Failure):
            return self._refuse(asked, headers.request)
        if not headers.non_idempotent:
            return await self._run(request, asked, None)
        key = claim.claim_key(arrived.caller.name, headers.key)
        print_of_body = claim.request_fingerprint(request.path, arrived.body)
        claimed = await self._claiming.acquire(key, print_of_body)
        if isinstance(claimed, errors.Failure):
            return self._refuse(claimed, headers.request)
        if isinstance(claimed, claim.Answer):
            _log.info('Answer repeated.', request=headers.request, key=key)
            return await _replay(request, asked, claimed)
        return await self._run(request, asked, claimed)

    def _refuse(
        self, failure: errors.Failure, request: ids.RequestId
    ) -> web.StreamResponse:
        _log_end(request, failure)
        return answers.failure_response(failure, request)

    async def _run(
        self,
        request: web.Request,
        asked: inbound.ModelRequest,
        claimed: claimclient.Claimed | None,
    ) -> web.StreamResponse:
        """Run a course within its deadline, settle its claim, answer."""
        stream = answers.StreamSink(request, asked) if asked.stream else None

        def may_send() -> bool:
            return claimed is None or self._claiming.try_dispatch(claimed)

        course = execution.RequestExecution(
            self._means, asked, stream or answers.DiscardingSink(), may_send
        )
        try:
            failure = await self._within_deadline(course, asked)
        except asyncio.CancelledError:
            failure = errors.Failure(errors.CALLER_GONE)
            self._settle(course, asked, claimed, failure)
            _log_end(asked.headers.request, failure)
            raise
        self._settle(course, asked, claimed, failure)
        _log_end(asked.headers.request, failure)
        return await self._reply(course, asked, stream, failure)

    async def _within_deadline(
        self, course: execution.RequestExecution, asked: inbound.ModelRequest
    ) -> errors.Failure | None:
        try:
            async with asyncio.timeout(asked.deadline):
                return await course.run()
        except asyncio.TimeoutError:
            if course.maybe_started:
                return errors.Failure(errors.DEADLINE)
            return errors.Failure(errors.NO_TIME, retry_after=1.0)

    def _settle(
        self,
        course: execution.RequestExecution,
        asked: inbound.ModelRequest,
        claimed: claimclient.Claimed | None,
        failure: errors.Failure | None,
    ) -> None:
        """Store what a claimed request came to, or remove its claim."""
        if claimed is None:
            return
        request = asked.headers.request
        if failure is None:
            answer = answers.completion(
                asked, course.text, course.finish, course.tokens
            )
            self._claiming.finish(claimed, answer)
        elif course.maybe_started:
            answer = answers.failure_answer(failure, request)
            self._claiming.finish(claimed, answer)
        else:
            self._claiming.abandon(claimed, not_started=True)

    async def _reply(
        self,
        course: execution.RequestExecution,
        asked: inbound.ModelRequest,
        stream: answers.StreamSink | None,
        failure: errors.Failure | None,
    ) -> web.StreamResponse:
        request = asked.headers.request
        if failure is not None:
            if stream is not None and stream.response is not None:
                return await stream.fail(failure)
            return answers.failure_response(failure, request)
        if stream is not None:
            return await stream.end(course.finish)
        answer = answers.completion(
            asked, course.text, course.finish, course.tokens
        )
        return answers.build_response(answer, request)


async def _read_body(request: web.Request) -> bytes | errors.Failure:
    try:
        async with asyncio.timeout(_BODY_SECONDS):
            return await request.read()
    except asyncio.TimeoutError:
        return errors.Failure(errors.BODY_TIMEOUT)


async def _replay(
    request: web.Request, asked: inbound.ModelRequest, answer: claim.Answer
) -> web.StreamResponse:
    """Give a stored answer again in the form that was asked for."""
    stored = answers.decode_stored_completion(answer) if asked.stream else None
    if stored is None:
        return answers.build_response(answer, asked.headers.request)
    stream = answers.StreamSink(request, asked)
    await stream.send_text(stored.text)
    return await stream.end(stored.finish)


def _log_end(request: ids.RequestId, failure: errors.Failure | None) -> None:
    reason = failure.reason.name if failure else 'whole'
    outcome = failure.outcome if failure else errors.Outcome.ANSWERED
    metrics.requests.add(1, {'outcome': outcome.value, 'reason': reason})
    _log.info(
        'Request ended.',
        request=request,
        outcome=outcome.value,
        reason=reason,
        detail=failure.detail if failure else '',
        at=clock.now(),
    )
