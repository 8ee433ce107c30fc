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

"""HTTP frontend: receives callers' requests and sends their responses.

Reads a complete request, finds its route, runs its handler and writes the
result. If the caller disconnects, the handler is cancelled, which closes its
connections to upstreams. While the process drains, responses ask callers to
close their connections; none is closed while a request on it is in progress.
"""

import asyncio
import typing

from aiohttp import web
import msgspec

from galenahatch import clock
from galenahatch.core import customers
from galenahatch.core import routes
from galenahatch import errors
from galenahatch.gateway import answers
from galenahatch.gateway import bodies
from galenahatch.gateway import calls
from galenahatch.gateway import connections
from galenahatch.gateway import context as contexts
from galenahatch.gateway import draining
from galenahatch.gateway import generation
from galenahatch.gateway import generationfailures
from galenahatch.gateway import instruments
from galenahatch.gateway import plain
from galenahatch.gateway import stream_log
from galenahatch.gateway import streambuffer
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import wire

_RETRY_AFTER_S: typing.Final = 0.5
_QUOTA_REASONS: typing.Final = (errors.OVER_QUOTA, errors.ABOVE_QUOTA)
"""Refusals caused by a customer's quota and not by a lack of capacity."""
_NOT_READ_REASONS: typing.Final = (errors.SHORT_OF_MEMORY, errors.LEAVING)
"""Refusals of requests whose bodies are not read to their end."""
_log = logs.Log('front')


class _StreamSink:
    """Writes a streamed response to a caller's connection."""

    def __init__(
        self, request: web.BaseRequest, frontend: 'HttpFrontend'
    ) -> None:
        self._request = request
        self._frontend = frontend
        self._response: web.StreamResponse | None = None

    @property
    def is_head_sent(self) -> bool:
        """Whether the response head has been sent."""
        return self._response is not None

    @property
    def response(self) -> web.StreamResponse | None:
        """The response, or None if its head has not been sent."""
        return self._response

    async def send_head(self, head: calls.ResponseHead) -> None:
        """Send the response head."""
        response = web.StreamResponse(status=head.status, headers=head.headers)
        self._frontend.set_keep_alive(response)
        self._response = response
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send complete events."""
        assert self._response is not None
        await self._response.write(data)

    async def finish(self) -> None:
        """Do nothing; all events have been sent."""


class HttpFrontend:
    """Serves callers.

    Args:
        context: Components that the request handlers share.
    """

    def __init__(self, context: contexts.Context) -> None:
        self._context = context
        self._in_flight = 0
        self._streams: dict[int, web.BaseRequest] = {}

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return self._in_flight

    def prepare_exit(self) -> None:
        """Ensure that no stream which the exit cuts appears complete."""
        for request in self._streams.values():
            connections.mark_incomplete(request)

    def set_keep_alive(self, response: web.StreamResponse) -> None:
        """Ask the caller to reconnect if it should reach another gateway."""
        context = self._context
        if context.drain.is_active or context.overload.should_reconnect:
            response.force_close()

    async def ready(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer the load balancer's readiness probe."""
        context = self._context
        is_ready = context.directory.ready and not context.drain.is_active
        is_wanted = is_ready and context.overload.is_in_rotation
        return web.Response(status=200 if is_wanted else 503)

    async def metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return all metrics."""
        return web.Response(
            body=instruments.render().encode(),
            headers={'Content-Type': instruments.CONTENT_TYPE},
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request of a caller."""
        arrived_at = clock.now()
        self._in_flight += 1
        max_bytes = self._context.directory.limits().max_body_bytes
        body = bodies.Body(request, max_bytes, self._context.flow)
        try:
            async with self._context.drain.until_exit():
                data = await body.read()
            if isinstance(data, errors.Failure):
                return self._reject_body(request, data)
            call = wire.decode_call(
                request.method,
                request.raw_path,
                request.raw_headers,
                data,
                arrived_at,
            )
            return await self._route_request(request, call)
        except draining.Ended:
            return self._reject_body(request, self._context.drain.failure())
        finally:
            body.release()
            self._in_flight -= 1

    def _reject_body(
        self, request: web.BaseRequest, failure: errors.Failure
    ) -> web.StreamResponse:
        if failure.reason not in _NOT_READ_REASONS:
            return self._error_response(failure, '')
        call = wire.decode_call(
            request.method, request.raw_path, request.raw_headers, b'', 0.0
        )
        instruments.answers.add(1, {'reason': failure.reason.name})
        response = self._error_response(failure, call.id)
        # The rest of the body is not worth another request's memory.
        response.force_close()
        return response

    async def _route_request(
        self, request: web.BaseRequest, call: calls.Call
    ) -> web.StreamResponse:
        if not self._context.directory.ready:
            failure = contexts.retryable_failure(
                errors.NO_CONFIGURATION, '', _RETRY_AFTER_S
            )
            return self._error_response(failure, call.id)
        route = self._context.directory.route_table.find(
            call.host, call.target
        )
        if route is None:
            return self._error_response(
                errors.Failure(errors.NO_ROUTE), call.id
            )
        identified = self._identify(call, route)
        if isinstance(identified, errors.Failure):
            return self._respond(call, route, identified)
        return await self._dispatch(request, identified, route)

    def _identify(
        self, call: calls.Call, route: routes.Route
    ) -> calls.Call | errors.Failure:
        """Authenticate the caller; return the request with its customer."""
        config = self._context.directory.config
        if config is None or config.customers is None:
            return call
        customer = customers.authenticate(
            config.customers, call.credentials, route.allows_anonymous
        )
        if isinstance(customer, errors.Failure):
            return customer
        return wire.with_customer(call, customer)

    async def _dispatch(
        self, request: web.BaseRequest, call: calls.Call, route: routes.Route
    ) -> web.StreamResponse:
        if self._context.guard.is_blocked(call):
            failure = self._context.guard.failure(call)
            return self._respond(call, route, failure)
        too_large = self._context.accounts.check_size(call)
        if too_large is not None:
            return self._respond(call, route, too_large)
        name = routes.pick_service(route, clock.RANDOM)
        service = self._context.directory.service(name)
        if (
            service is not None
            and service.engine is not None
            and call.prompt is not None
        ):
            return await self._generate(request, call, route, service)
        deadline = contexts.answer_deadline(call, route)
        if self._context.drain.may_cut_call(route, deadline):
            return self._respond(call, route, self._context.drain.failure())
        result = await self._run_plain_call(call, route, name)
        response = self._respond(call, route, result)
        flow = self._context.flow
        if flow is not None and answers.is_paced(response, flow):
            return await answers.send(request, response, flow, call)
        return response

    async def _run_plain_call(
        self, call: calls.Call, route: routes.Route, service: ids.ServiceName
    ) -> contexts.CompleteAnswer | errors.Failure:
        """Run a plain call if its customer's quota allows it."""
        denied = self._context.accounts.charge(call)
        if denied is not None:
            return denied
        handler = plain.RequestHandler(self._context, call, route, service)
        with self._context.drain.observe(route.name, service) as observation:
            result = await handler.run()
            has_run = not _is_not_run(result)
            observation.is_whole = has_run
        if not has_run:
            self._context.accounts.refund(call)
        return result

    async def _generate(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        route: routes.Route,
        service: routes.Service,
    ) -> web.StreamResponse:
        if self._context.drain.may_cut_stream(route, service.name):
            return self._respond(call, route, self._context.drain.failure())
        flow = self._context.flow
        if flow is None or not flow.paces_callers:
            sink = _StreamSink(request, self)
            return await self._relay(request, call, route, service, sink)
        buffered = streambuffer.BufferedSink(
            request, self.set_keep_alive, flow, call
        )
        try:
            return await self._relay(request, call, route, service, buffered)
        finally:
            buffered.close()

    async def _relay(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        route: routes.Route,
        service: routes.Service,
        sink: '_StreamSink | streambuffer.BufferedSink',
    ) -> web.StreamResponse:
        handler = generation.RequestHandler(
            self._context, call, route, service, sink
        )
        reason = 'error'
        self._streams[id(request)] = request
        try:
            with self._context.drain.observe(
                route.name, service.name
            ) as observation:
                result = await handler.run()
                observation.is_whole = result is None
            reason = 'answered'
            if isinstance(result, errors.Failure):
                reason = result.reason.name
            await sink.finish()
        except asyncio.CancelledError:
            reason = 'caller_gone'
            raise
        except (
            generationfailures.StreamBroken,
            streambuffer.CallerTooSlow,
        ) as error:
            reason = 'broken'
            return self._abort_stream(request, call, sink, str(error))
        finally:
            del self._streams[id(request)]
            stream_log.record_attempt(call, sink.is_head_sent, reason)
        if result is not None:
            return self._respond(call, route, result)
        assert sink.response is not None
        await sink.response.write_eof()
        instruments.answers.add(1, {'reason': 'streamed'})
        return sink.response

    def _abort_stream(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        sink: '_StreamSink | streambuffer.BufferedSink',
        detail: str,
    ) -> web.StreamResponse:
        """Abort the connection, so that the stream can't appear complete."""
        instruments.answers.add(1, {'reason': 'stream_broken'})
        _log.warning('Stream aborted.', request=call.id, detail=detail)
        connections.abort_answer(request)
        assert sink.response is not None
        return sink.response

    def _respond(
        self,
        call: calls.Call,
        route: routes.Route,
        result: contexts.CompleteAnswer | errors.Failure,
    ) -> web.StreamResponse:
        if isinstance(result, errors.Failure):
            instruments.answers.add(1, {'reason': result.reason.name})
            _log.warning(
                'Request failed.',
                request=call.id,
                route=route.name,
                reason=result.reason.name,
                status=result.reason.status,
                detail=result.detail,
                retry_after=result.retry_after or 0.0,
                last_event=call.last_event_id,
                resumes=call.resumes,
                seconds=clock.now() - call.arrived_at,
            )
            return self._error_response(result, call.id)
        instruments.answers.add(1, {'reason': 'answered'})
        instruments.answer_seconds.record(clock.now() - call.arrived_at)
        response = web.Response(
            status=result.head.status,
            headers=result.head.headers,
            body=result.body,
        )
        self.set_keep_alive(response)
        return response

    def _error_response(
        self, failure: errors.Failure, request_id: str
    ) -> web.StreamResponse:
        """Return a response for a failure detected by the gateway itself."""
        status = failure.reason.status
        if status == 429 and failure.reason not in _QUOTA_REASONS:
            status = 503
        headers = wire.local_response_headers(request_id, status)
        if failure.retry_after is not None:
            headers['Retry-After'] = f'{failure.retry_after:.3f}'
        body = {
            'error': {
                'type': failure.reason.name,
                'message': failure.reason.message,
                'detail': failure.detail,
                'outcome': failure.outcome.value,
            }
        }
        response = web.Response(
            status=status,
            headers=headers,
            body=msgspec.json.encode(body),
            content_type='application/json',
        )
        self.set_keep_alive(response)
        return response


def _is_not_run(result: contexts.CompleteAnswer | errors.Failure) -> bool:
    """Return whether a request is known not to have run."""
    return (
        isinstance(result, errors.Failure)
        and result.outcome is errors.Outcome.NOT_RUN
    )
