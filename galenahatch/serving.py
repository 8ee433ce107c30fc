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

"""HTTP handlers for callers' requests.

A handler validates a request, claims its key if it is non-idempotent, executes
it within its deadline, settles the claim, and responds. When a caller
disconnects, its handler and the execution are cancelled, which releases the
engines.
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

_BODY_TIMEOUT_S: typing.Final = 30.0
_log = logs.Log('serving')


@dataclasses.dataclass(frozen=True)
class ReceivedRequest:
    """A request with its body, authenticated caller and valid headers."""

    request: web.Request
    body: bytes
    settings: schema.Config
    caller: schema.Caller
    headers: inbound.Headers


class Serving:
    """HTTP handlers of one entry.

    Attributes:
        in_flight: number of requests without a response.
        draining: whether new requests are refused.
    """

    def __init__(
        self,
        settings: distribution.Distribution,
        context: attempt.AttemptContext,
        claim_client: claimclient.ClaimClient,
        plain_services: plainservices.PlainServices,
    ) -> None:
        self._config = settings
        self._context = context
        self._claims = claim_client
        self._plain_services = plain_services
        self.in_flight = 0
        self.draining = False

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for callers."""
        return [
            web.post('/v1/completions', self._completion),
            web.post('/v1/chat/completions', self._chat),
            web.get('/v1/models', self._models),
            web.route(
                '*', '/v1/services/{name}/{tail:.*}', self._plain_service
            ),
        ]

    @web.middleware
    async def typed_errors(
        self,
        request: web.Request,
        handler: typing.Callable[
            [web.Request], typing.Awaitable[web.StreamResponse]
        ],
    ) -> web.StreamResponse:
        """Convert every exception of a handler into a typed error response."""
        no_id = ids.RequestId('')
        try:
            response = await handler(request)
        except web.HTTPRequestEntityTooLarge:
            failure = errors.Failure(errors.BODY_TOO_LARGE)
            response = answers.failure_response(failure, no_id)
        except web.HTTPException as error:
            failure = errors.Failure(errors.NO_ROUTE, str(error.status))
            response = answers.failure_response(failure, no_id)
        except ConnectionError:
            raise
        except Exception as error:  # noqa: H201  (logged, typed answer)
            _log.error('Handler failed.', error=repr(error))
            failure = errors.Failure(errors.INTERNAL)
            response = answers.failure_response(failure, no_id)
        if self.draining and not response.prepared:
            response.force_close()
        return response

    async def _completion(self, request: web.Request) -> web.StreamResponse:
        return await self._handle(request, self._run_model_request, False)

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        return await self._handle(request, self._run_model_request, True)

    async def _models(self, request: web.Request) -> web.StreamResponse:
        """List the models for an authenticated caller."""
        no_id = ids.RequestId('')
        settings = self._config.own_config()
        if self.draining or settings is None:
            return answers.failure_response(self._unavailable(request), no_id)
        caller = inbound.read_caller(request.headers, settings)
        if isinstance(caller, errors.Failure):
            return answers.failure_response(caller, no_id)
        return answers.build_response(answers.model_list(settings), no_id)

    async def _plain_service(self, request: web.Request) -> web.StreamResponse:
        return await self._handle(request, self._call_plain_service, False)

    async def _handle(
        self,
        request: web.Request,
        handler: typing.Callable[
            [ReceivedRequest, bool], typing.Awaitable[web.StreamResponse]
        ],
        chat: bool,
    ) -> web.StreamResponse:
        """Authenticate a request, count it as in flight, and handle it."""
        no_id = ids.RequestId('')
        settings = self._config.own_config()
        if self.draining or settings is None:
            return answers.failure_response(self._unavailable(request), no_id)
        caller = inbound.read_caller(request.headers, settings)
        if isinstance(caller, errors.Failure):
            return answers.failure_response(caller, no_id)
        headers = inbound.read_headers(request.headers)
        if isinstance(headers, errors.Failure):
            return answers.failure_response(headers, no_id)
        self.in_flight += 1
        try:
            body = await _read_body(request)
            if isinstance(body, errors.Failure):
                return answers.failure_response(body, headers.request)
            received = ReceivedRequest(
                request, body, settings, caller, headers
            )
            return await handler(received, chat)
        finally:
            self.in_flight -= 1

    def _unavailable(self, request: web.Request) -> errors.Failure:
        """Return the failure for requests that cannot be served now.

        Whether an earlier request with the same key ran is not looked up, so
        the failure for a request with a key does not claim that it never ran.
        """
        reason = errors.LEAVING if self.draining else errors.NO_CONFIGURATION
        if inbound.IDEMPOTENCY_KEY in request.headers:
            detail = f'{reason.name}: {reason.message}'
            return errors.Failure(errors.CLAIM_UNREAD, detail, 1.0)
        return errors.Failure(reason)

    async def _call_plain_service(
        self, received: ReceivedRequest, chat: bool
    ) -> web.StreamResponse:
        """Forward a call to a plain service."""
        return await self._plain_services.serve(
            received.request,
            received.body,
            received.settings,
            received.caller,
            received.headers,
        )

    async def _run_model_request(
        self, received: ReceivedRequest, chat: bool
    ) -> web.StreamResponse:
        """Validate, claim and run a request for a model service."""
        request = received.request
        headers = received.headers
        model_request = inbound.read_model_request(
            received.body, headers, received.caller, received.settings, chat
        )
        if isinstance(model_request, errors.Failure):
            return self._failure_response(model_request, headers.request)
        if not headers.non_idempotent:
            return await self._run(request, model_request, None)
        key = claim.claim_key(received.caller.name, headers.key)
        fingerprint = claim.request_fingerprint(request.path, received.body)
        claimed = await self._claims.acquire(key, fingerprint)
        if isinstance(claimed, errors.Failure):
            return self._failure_response(claimed, headers.request)
        if isinstance(claimed, claim.Answer):
            _log.info(
                'Stored answer returned.', request=headers.request, key=key
            )
            return await _replay(request, model_request, claimed)
        return await self._run(request, model_request, claimed)

    def _failure_response(
        self, failure: errors.Failure, request: ids.RequestId
    ) -> web.StreamResponse:
        _record_end(request, failure)
        return answers.failure_response(failure, request)

    async def _run(
        self,
        request: web.Request,
        model_request: inbound.ModelRequest,
        claimed: claimclient.Claimed | None,
    ) -> web.StreamResponse:
        """Run a request within its deadline, settle its claim, and respond."""
        stream = (
            answers.StreamSink(request, model_request)
            if model_request.stream
            else None
        )

        def try_dispatch() -> bool:
            return claimed is None or self._claims.try_dispatch(claimed)

        request_run = execution.RequestExecution(
            self._context,
            model_request,
            stream or answers.DiscardingSink(),
            try_dispatch,
        )
        try:
            failure = await self._run_within_deadline(
                request_run, model_request
            )
        except asyncio.CancelledError:
            failure = errors.Failure(errors.CALLER_GONE)
            self._settle_claim(request_run, model_request, claimed, failure)
            _record_end(model_request.headers.request, failure)
            raise
        self._settle_claim(request_run, model_request, claimed, failure)
        _record_end(model_request.headers.request, failure)
        return await self._reply(request_run, model_request, stream, failure)

    async def _run_within_deadline(
        self,
        request_run: execution.RequestExecution,
        model_request: inbound.ModelRequest,
    ) -> errors.Failure | None:
        try:
            async with asyncio.timeout(model_request.deadline):
                return await request_run.run()
        except asyncio.TimeoutError:
            if request_run.maybe_started:
                return errors.Failure(errors.DEADLINE)
            return errors.Failure(errors.NO_TIME, retry_after=1.0)

    def _settle_claim(
        self,
        request_run: execution.RequestExecution,
        model_request: inbound.ModelRequest,
        claimed: claimclient.Claimed | None,
        failure: errors.Failure | None,
    ) -> None:
        """Store the outcome of a claimed request, or remove its claim."""
        if claimed is None:
            return
        request = model_request.headers.request
        if failure is None:
            answer = answers.completion(
                model_request,
                request_run.text,
                request_run.finish_reason,
                request_run.token_count,
            )
            self._claims.finish(claimed, answer)
        elif request_run.maybe_started:
            answer = answers.failure_answer(failure, request)
            self._claims.finish(claimed, answer)
        else:
            self._claims.abandon(claimed, not_started=True)

    async def _reply(
        self,
        request_run: execution.RequestExecution,
        model_request: inbound.ModelRequest,
        stream: answers.StreamSink | None,
        failure: errors.Failure | None,
    ) -> web.StreamResponse:
        request = model_request.headers.request
        if failure is not None:
            if stream is not None and stream.response is not None:
                return await stream.fail(failure)
            return answers.failure_response(failure, request)
        if stream is not None:
            return await stream.end(request_run.finish_reason)
        answer = answers.completion(
            model_request,
            request_run.text,
            request_run.finish_reason,
            request_run.token_count,
        )
        return answers.build_response(answer, request)


async def _read_body(request: web.Request) -> bytes | errors.Failure:
    try:
        async with asyncio.timeout(_BODY_TIMEOUT_S):
            return await request.read()
    except asyncio.TimeoutError:
        return errors.Failure(errors.BODY_TIMEOUT)


async def _replay(
    request: web.Request,
    model_request: inbound.ModelRequest,
    answer: claim.Answer,
) -> web.StreamResponse:
    """Send a stored answer in the requested form."""
    stored = (
        answers.decode_stored_completion(answer)
        if model_request.stream
        else None
    )
    if stored is None:
        return answers.build_response(answer, model_request.headers.request)
    stream = answers.StreamSink(request, model_request)
    await stream.send_text(stored.text)
    return await stream.end(stored.finish)


def _record_end(
    request: ids.RequestId, failure: errors.Failure | None
) -> None:
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
