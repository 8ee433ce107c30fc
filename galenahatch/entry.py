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

"""The entry: callers' HTTP on one side, schedulers and upstreams on the other.

The application object wires the parts. A handler checks a request, claims
it if it may run only once, lets a course run it, and answers. When a
caller goes away its handler is cancelled, and with it the course, which
frees the engines.
"""

import asyncio
import typing

from aiohttp import web

from galenahatch import answers
from galenahatch import application
from galenahatch import cancelling
from galenahatch import claiming as claiming_module
from galenahatch import clock
from galenahatch.core import claim
from galenahatch.core import leaving as leaving_module
from galenahatch.core import retry
from galenahatch import course as course_module
from galenahatch import errors
from galenahatch import ids
from galenahatch import inbound
from galenahatch import logs
from galenahatch import messages
from galenahatch import metrics
from galenahatch import options as options_module
from galenahatch import peers as peers_module
from galenahatch import placing as placing_module
from galenahatch import plain as plain_module
from galenahatch.platform import vms
from galenahatch import schema
from galenahatch import states
from galenahatch.upstream import http

_BODY_SECONDS: typing.Final = 30.0
_STOP_LOOK: typing.Final = 0.05
_STOP_LOG_EVERY: typing.Final = 100
_log = logs.Log('entry')


class Entry(application.Daemon):
    """Application object of an entry."""

    def __init__(self, options: options_module.Options) -> None:
        super().__init__(options)
        self._in_flight = 0
        self._closed = False
        self._budgets: dict[ids.ServiceName, retry.RetryBudget] = {}
        self._leaving = leaving_module.Leaving()

    async def start(self) -> None:
        """Open sockets and start tasks."""
        options = self.options
        self.open_platform()
        self._engines = http.session(
            options.connect_timeout, options.idle_timeout
        )
        self._once = http.session(
            options.connect_timeout, options.idle_timeout, reuse=False
        )
        self._peers = peers_module.Peers(
            options,
            states.Role.ENTRY,
            self.config,
            self.vms,
            self._received,
        )
        self._placing = placing_module.Placing(
            self._peers, self.config, options.data_centre
        )
        self._claiming = claiming_module.Claiming(
            self._peers, self.objects, self.tasks, options.claim_timeout
        )
        self._canceller = cancelling.Canceller(
            self._engines, self.config.engine, self.tasks
        )
        self._means = self._make_means()
        self._plain = plain_module.Plain(
            self._engines, self._once, self._claiming, self._leaving
        )
        self.config.listen(self._reconfigured)
        self._peers.listen(self._listed)
        self._peers.report(self._beat)
        self.join(self._peers)
        await self._serve()
        _log.info('Listening.', member=self._peers.member)

    async def stop(self, exception: Exception | None = None) -> None:
        """Refuse nothing until the balancer looks away, then drain."""
        application.ignore_signals(_log)
        self._peers.standing = states.Standing.LEAVING
        _log.info('Leaving.', in_flight=self._in_flight)
        await asyncio.sleep(self.options.look_away)
        self._closed = True
        await self._drain()
        self._peers.broadcast(self._peers.heartbeat())
        await self.close()
        self._peers.close()
        await self._engines.close()
        await self._once.close()

    async def _drain(self) -> None:
        """Wait until nothing is in flight and every claim is settled."""
        looks = 0
        while self._in_flight or self._claiming.open or self._canceller.open:
            if looks % _STOP_LOG_EVERY == 0:
                _log.info(
                    'Waiting.',
                    in_flight=self._in_flight,
                    claims=self._claiming.open,
                    cancels=self._canceller.open,
                )
            looks += 1
            await asyncio.sleep(_STOP_LOOK)

    async def _serve(self) -> None:
        app = web.Application(
            client_max_size=self.options.max_body_bytes,
            middlewares=[self._typed_errors],
        )
        app.add_routes(application.health_routes(self._why_not_ready))
        app.add_routes(
            [
                web.post('/v1/completions', self._completion),
                web.post('/v1/chat/completions', self._chat),
                web.route('*', '/v1/services/{name}/{tail:.*}', self._service),
            ]
        )
        await self.listen(
            app,
            self.options.entry_port,
            self.options.keepalive,
            self.options.max_header_bytes,
        )

    def _make_means(self) -> course_module.Means:
        return course_module.Means(
            member=self._peers.member,
            data_centre=self.options.data_centre,
            placing=self._placing,
            canceller=self._canceller,
            find=self.config.engine,
            repeatable=self._engines,
            once=self._once,
            budget=self._budget,
            site=self._site,
            revision=lambda: self.config.revision,
        )

    # News.

    def _received(self, message: messages.AnyMessage) -> None:
        if isinstance(message, messages.Placed | messages.GivenUp):
            self._placing.answered(message)
        else:
            self._claiming.take(message)

    def _reconfigured(self) -> None:
        self._placing.replan()
        self._leaving.configured(self.config.revision, self.config.draining())

    def _listed(self, listed: vms.VmList) -> None:
        self._leaving.listed(
            listed.version,
            (vm.address for vm in listed.vms if vm.state != 'live'),
        )

    def _beat(self) -> None:
        self._peers.load = self._in_flight
        self._peers.why_not_ready = self._why_not_ready()
        self._placing.report()

    def _why_not_ready(self) -> str:
        if self._peers.standing is states.Standing.LEAVING:
            return 'leaving'
        if self.config.mine() is None:
            return 'no configuration'
        if not self._peers.schedulers():
            return 'no scheduler'
        return ''

    def _site(self) -> ids.SiteName:
        site = self.config.site()
        return site.name if site else ids.SiteName('')

    def _budget(self, service: schema.ModelService) -> retry.RetryBudget:
        budget = self._budgets.get(service.name)
        if budget is None:
            budget = retry.RetryBudget(service.retry_share)
            self._budgets[service.name] = budget
        return budget

    # Requests.

    @web.middleware
    async def _typed_errors(
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
            response = answers.refusal_of(failure, none)
        except web.HTTPException as error:
            failure = errors.Failure(errors.NO_ROUTE, str(error.status))
            response = answers.refusal_of(failure, none)
        except ConnectionError:
            raise
        except Exception as error:  # noqa: H201  (logged, typed answer)
            _log.error('Handler failed.', error=repr(error))
            failure = errors.Failure(errors.INTERNAL)
            response = answers.refusal_of(failure, none)
        if self._closed and not response.prepared:
            response.force_close()
        return response

    async def _completion(self, request: web.Request) -> web.StreamResponse:
        return await self._counted(request, self._model, False)

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        return await self._counted(request, self._model, True)

    async def _service(self, request: web.Request) -> web.StreamResponse:
        return await self._counted(request, self._call, False)

    async def _counted(
        self,
        request: web.Request,
        handler: typing.Callable[
            [web.Request, schema.Config, schema.Caller, inbound.Headers, bool],
            typing.Awaitable[web.StreamResponse],
        ],
        chat: bool,
    ) -> web.StreamResponse:
        """Admit a request and count it while it is in flight."""
        none = ids.RequestId('')
        settings = self.config.mine()
        if self._closed or settings is None:
            return answers.refusal_of(self._unavailable(request), none)
        caller = inbound.read_caller(request.headers, settings)
        if isinstance(caller, errors.Failure):
            return answers.refusal_of(caller, none)
        headers = inbound.read_headers(request.headers)
        if isinstance(headers, errors.Failure):
            return answers.refusal_of(headers, none)
        self._in_flight += 1
        try:
            return await handler(request, settings, caller, headers, chat)
        finally:
            self._in_flight -= 1

    def _unavailable(self, request: web.Request) -> errors.Failure:
        """Return why no request is taken now.

        Whether an earlier arrival of a key ran is not looked up, so a
        request that may run only once is not told that it was not run.
        """
        reason = errors.LEAVING if self._closed else errors.NO_CONFIGURATION
        if inbound.IDEMPOTENCY_KEY in request.headers:
            detail = f'{reason.name}: {reason.message}'
            return errors.Failure(errors.CLAIM_UNREAD, detail, 1.0)
        return errors.Failure(reason)

    async def _call(
        self,
        request: web.Request,
        settings: schema.Config,
        caller: schema.Caller,
        headers: inbound.Headers,
        chat: bool,
    ) -> web.StreamResponse:
        """Route a call to a plain service."""
        body = await _read_body(request)
        if isinstance(body, errors.Failure):
            return answers.refusal_of(body, headers.request)
        return await self._plain.serve(
            request, body, settings, caller, headers
        )

    async def _model(
        self,
        request: web.Request,
        settings: schema.Config,
        caller: schema.Caller,
        headers: inbound.Headers,
        chat: bool,
    ) -> web.StreamResponse:
        body = await _read_body(request)
        if isinstance(body, errors.Failure):
            return answers.refusal_of(body, headers.request)
        asked = inbound.read_model_request(
            body, headers, caller, settings, chat
        )
        if isinstance(asked, errors.Failure):
            return self._refuse(asked, headers.request)
        if not headers.non_idempotent:
            return await self._run(request, asked, None)
        key = claim.key_of(caller.name, headers.key)
        print_of_body = claim.fingerprint_of(request.path, body)
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
        return answers.refusal_of(failure, request)

    async def _run(
        self,
        request: web.Request,
        asked: inbound.ModelRequest,
        claimed: claiming_module.Claimed | None,
    ) -> web.StreamResponse:
        """Run a course within its deadline, settle its claim, answer."""
        stream = answers.StreamSink(request, asked) if asked.stream else None

        def may_send() -> bool:
            return claimed is None or self._claiming.dispatch(claimed)

        course = course_module.Course(
            self._means, asked, stream or answers.NoSink(), may_send
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
        self, course: course_module.Course, asked: inbound.ModelRequest
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
        course: course_module.Course,
        asked: inbound.ModelRequest,
        claimed: claiming_module.Claimed | None,
        failure: errors.Failure | None,
    ) -> None:
        """Store what a claimed request came to, or remove its claim."""
        if claimed is None:
            return
        request = asked.headers.request
        if failure is None:
            answer = answers.whole(
                asked, course.text, course.finish, course.tokens
            )
            self._claiming.finish(claimed, answer)
        elif course.maybe_started:
            answer = answers.failed(failure, request)
            self._claiming.finish(claimed, answer)
        else:
            self._claiming.abandon(claimed, not_started=True)

    async def _reply(
        self,
        course: course_module.Course,
        asked: inbound.ModelRequest,
        stream: answers.StreamSink | None,
        failure: errors.Failure | None,
    ) -> web.StreamResponse:
        request = asked.headers.request
        if failure is not None:
            if stream is not None and stream.response is not None:
                return await stream.fail(failure)
            return answers.refusal_of(failure, request)
        if stream is not None:
            return await stream.end(course.finish)
        answer = answers.whole(
            asked, course.text, course.finish, course.tokens
        )
        return answers.response_of(answer, request)


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
    stored = answers.stored_text(answer) if asked.stream else None
    if stored is None:
        return answers.response_of(answer, asked.headers.request)
    stream = answers.StreamSink(request, asked)
    await stream.tokens(stored.text)
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
