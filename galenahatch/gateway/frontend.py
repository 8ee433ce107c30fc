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

"""The callers' side: HTTP in, one answer out.

Reads a request whole, finds its route, runs its course and writes what came
of it. A caller that leaves cancels the course, which closes what it holds
at upstreams. While the process stops, answers ask callers to close their
connections; none is closed under a request that was read.
"""

import asyncio
import collections
import collections.abc
import typing

from aiohttp import web
import msgspec

from galenahatch import clock
from galenahatch.core import customers
from galenahatch.core import routes
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import generation
from galenahatch.gateway import instruments
from galenahatch.gateway import means as means_module
from galenahatch.gateway import plain
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import wire
from galenahatch import timeouts

_BODY_TIMEOUT: typing.Final = 10.0
"""Seconds for a body; callers wait longer only if they have given up."""
_RETRY_AFTER: typing.Final = 0.5
_ELSEWHERE: typing.Final = 0.05
"""Seconds after which a caller may try another gateway."""
_LIVES: typing.Final = 50
_LONG_LIFE: typing.Final = 0.9
"""Streams whose durations are kept, and the share of them that must end
before this process does for another one to begin."""
_CUSTOMERS_OWN: typing.Final = (errors.OVER_QUOTA, errors.ABOVE_QUOTA)
"""Refusals for what a customer asks and not for what the system lacks."""
_log = logs.Log('front')


class _StreamSink:
    """A streamed answer on a caller's connection."""

    def __init__(
        self, request: web.BaseRequest, front: 'HttpFrontend'
    ) -> None:
        self._request = request
        self._front = front
        self._response: web.StreamResponse | None = None

    @property
    def begun(self) -> bool:
        """Whether the caller has had the head of the answer."""
        return self._response is not None

    @property
    def response(self) -> web.StreamResponse | None:
        """The answer, once it has begun."""
        return self._response

    async def begin(self, head: calls.ResponseHead) -> None:
        """Send the head."""
        response = web.StreamResponse(status=head.status, headers=head.headers)
        self._front.mark(response)
        self._response = response
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send whole events."""
        assert self._response is not None
        await self._response.write(data)


class HttpFrontend:
    """Answers callers.

    Args:
        means: what courses work with.
    """

    def __init__(self, means: means_module.Means) -> None:
        self._means = means
        self._in_flight = 0
        self._lives: collections.deque[float] = collections.deque(
            maxlen=_LIVES
        )
        self._reject_streams_at = 0.0
        self._ends_at = 0.0
        self.is_draining = False

    @property
    def in_flight(self) -> int:
        """Requests that are being answered."""
        return self._in_flight

    def drain(self, quiet_at: float, ends_at: float) -> None:
        """Stop to be ready.

        Args:
            quiet_at: from when on no stream is begun.
            ends_at: when the process ends.
        """
        self.is_draining = True
        self._reject_streams_at = quiet_at
        self._ends_at = ends_at

    def _ends_first(self) -> bool:
        """Return whether a stream that begins now might be cut.

        Callers have had the time to go elsewhere when no more are begun: a
        process that started lately has not seen how long streams last.
        """
        if not self.is_draining:
            return False
        if clock.now() > self._reject_streams_at:
            return True
        lives = sorted(self._lives)
        usual = lives[int(_LONG_LIFE * len(lives))] if lives else 0.0
        return clock.now() + usual > self._ends_at

    def _cuts(self, call: calls.Call, route: routes.Route) -> bool:
        """Return whether a plain call might not end before this process.

        Callers have had the time to go elsewhere then, too.
        """
        if not self.is_draining or clock.now() < self._reject_streams_at:
            return False
        return means_module.end_by(call, route) > self._ends_at

    def limits(self) -> routes.Limits:
        """Return the limits in force."""
        config = self._means.directory.config
        return config.limits if config is not None else routes.Limits()

    def mark(self, response: web.StreamResponse) -> None:
        """Ask the caller to close its connection if this process stops."""
        if self.is_draining:
            response.force_close()

    async def ready(self, request: web.BaseRequest) -> web.StreamResponse:
        """Tell the balancer whether to send callers here."""
        good = self._means.directory.ready and not self.is_draining
        return web.Response(status=200 if good else 503)

    async def metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        """Show all counters and histograms."""
        return web.Response(
            body=instruments.text().encode(),
            headers={'Content-Type': instruments.CONTENT_TYPE},
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        arrived_at = clock.now()
        self._in_flight += 1
        try:
            body = await self._body(request)
            if isinstance(body, errors.Failure):
                return self._own(body, '')
            call = wire.call(
                request.method,
                request.raw_path,
                request.raw_headers,
                body,
                arrived_at,
            )
            return await self._answer(request, call)
        finally:
            self._in_flight -= 1

    async def _body(self, request: web.BaseRequest) -> bytes | errors.Failure:
        most = self.limits().body_bytes
        data = bytearray()
        try:
            async with timeouts.limit(_BODY_TIMEOUT):
                async for chunk in request.content.iter_any():
                    data += chunk
                    if len(data) > most:
                        detail = f'over {most} bytes'
                        return errors.Failure(errors.BODY_TOO_LARGE, detail)
        except asyncio.TimeoutError:
            return errors.Failure(errors.BODY_TIMEOUT)
        return bytes(data)

    async def _answer(
        self, request: web.BaseRequest, call: calls.Call
    ) -> web.StreamResponse:
        if not self._means.directory.ready:
            failure = means_module.refusal(
                errors.NO_CONFIGURATION, '', _RETRY_AFTER
            )
            return self._own(failure, call.id)
        route = self._means.directory.table.find(call.host, call.target)
        if route is None:
            return self._own(errors.Failure(errors.NO_ROUTE), call.id)
        known = self._identify(call, route)
        if isinstance(known, errors.Failure):
            return self._respond(call, route, known)
        return await self._admitted(request, known, route)

    def _identify(
        self, call: calls.Call, route: routes.Route
    ) -> calls.Call | errors.Failure:
        """Return the request of a caller that may call."""
        config = self._means.directory.config
        if config is None or config.customers is None:
            return call
        customer = customers.identify(
            config.customers, call.credentials, route.anonymous
        )
        if isinstance(customer, errors.Failure):
            return customer
        return wire.identified(call, customer)

    async def _admitted(
        self, request: web.BaseRequest, call: calls.Call, route: routes.Route
    ) -> web.StreamResponse:
        if self._means.guard.holds(call):
            failure = self._means.guard.failure(call)
            return self._respond(call, route, failure)
        too_large = self._means.accounts.check_size(call)
        if too_large is not None:
            return self._respond(call, route, too_large)
        name = routes.pick_service(route, clock.RANDOM)
        service = self._means.directory.service(name)
        if (
            service is not None
            and service.engine is not None
            and call.prompt is not None
        ):
            return await self._generate(request, call, route, service)
        if self._cuts(call, route):
            failure = means_module.refusal(errors.LEAVING, '', _ELSEWHERE)
            return self._respond(call, route, failure)
        return self._respond(call, route, await self._call(call, route, name))

    async def _call(
        self, call: calls.Call, route: routes.Route, service: ids.ServiceName
    ) -> means_module.Whole | errors.Failure:
        """Run a plain call within its customer's quota."""
        denied = self._means.accounts.charge(call)
        if denied is not None:
            return denied
        result = await plain.RequestHandler(
            self._means, call, route, service
        ).run()
        if (
            isinstance(result, errors.Failure)
            and result.outcome is errors.Outcome.NOT_RUN
        ):
            self._means.accounts.refund(call)
        return result

    async def _generate(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        route: routes.Route,
        service: routes.Service,
    ) -> web.StreamResponse:
        if self._ends_first():
            failure = means_module.refusal(errors.LEAVING, '', _ELSEWHERE)
            return self._respond(call, route, failure)
        sink = _StreamSink(request, self)
        course = generation.RequestHandler(
            self._means, call, route, service, sink
        )
        try:
            result = await course.run()
        except generation.StreamBroken as broken:
            return self._break(request, call, sink, str(broken))
        if result is not None:
            return self._respond(call, route, result)
        if sink.response is None:
            failure = errors.Failure(errors.BAD_UPSTREAM, 'empty stream')
            return self._own(failure, call.id)
        await sink.response.write_eof()
        instruments.answers.add(1, {'reason': 'streamed'})
        self._lives.append(clock.now() - call.arrived_at)
        return sink.response

    def _break(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        sink: _StreamSink,
        detail: str,
    ) -> web.StreamResponse:
        """End a stream so that it can't be taken for a whole one."""
        instruments.answers.add(1, {'reason': 'stream_broken'})
        _log.warning('Stream broken off.', request=call.id, detail=detail)
        transport = request.transport
        if transport is not None:
            transport.abort()
        assert sink.response is not None
        return sink.response

    def _respond(
        self,
        call: calls.Call,
        route: routes.Route,
        result: means_module.Whole | errors.Failure,
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
                seconds=clock.now() - call.arrived_at,
            )
            return self._own(result, call.id)
        instruments.answers.add(1, {'reason': 'answered'})
        instruments.answer_seconds.record(clock.now() - call.arrived_at)
        response = web.Response(
            status=result.head.status,
            headers=result.head.headers,
            body=result.body,
        )
        self.mark(response)
        return response

    def _own(
        self, failure: errors.Failure, request: str
    ) -> web.StreamResponse:
        """Return an answer that the system makes itself."""
        status = failure.reason.status
        if status == 429 and failure.reason not in _CUSTOMERS_OWN:
            status = 503
        headers = wire.own_answer(request, status)
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
        self.mark(response)
        return response
