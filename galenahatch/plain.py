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

"""Plain services: one call in, one call out.

A call that may be repeated is tried at each upstream in turn. A call that
may not is claimed like a model request, sent once over a fresh connection,
and goes on to the next upstream only if it is known not to have started.
"""

import asyncio
import posixpath
import typing
from urllib import parse

import aiohttp
from aiohttp import web

from galenahatch import answers
from galenahatch import claiming as claiming_module
from galenahatch.core import claim
from galenahatch.core import leaving as leaving_module
from galenahatch import errors
from galenahatch import ids
from galenahatch import inbound
from galenahatch import logs
from galenahatch import metrics
from galenahatch import schema
from galenahatch.upstream import service as service_client

_NOT_STARTED: typing.Final = frozenset(
    (errors.UPSTREAM_REFUSED, errors.UPSTREAM_UNREACHABLE)
)
_log = logs.Log('plain')


class Plain:
    """Calls of plain services.

    Args:
        repeatable: session for calls that may be sent again.
        once: session for calls that may not.
        claiming: claims keys.
        leaving: which upstreams leave.
    """

    def __init__(
        self,
        repeatable: aiohttp.ClientSession,
        once: aiohttp.ClientSession,
        claiming: claiming_module.Claiming,
        leaving: leaving_module.LeavingUpstreams,
    ) -> None:
        self._repeatable = repeatable
        self._once = once
        self._claiming = claiming
        self._leaving = leaving

    async def serve(
        self,
        request: web.Request,
        body: bytes,
        settings: schema.Config,
        caller: schema.Caller,
        headers: inbound.Headers,
    ) -> web.StreamResponse:
        """Route one call and answer it."""
        service = settings.plain_service(request.match_info['name'])
        if service is None:
            return answers.refusal_of(
                errors.Failure(errors.UNKNOWN_MODEL), headers.request
            )
        call = _call_of(request, body)
        if not headers.non_idempotent and not unrepeatable(service, call):
            result = await self._try_each(service, call, headers.request)
            return _response(result, headers.request)
        if not headers.key:
            failure = errors.Failure(errors.KEY_REQUIRED)
            return answers.refusal_of(failure, headers.request)
        return await self._serve_once(service, call, caller, headers)

    async def _serve_once(
        self,
        service: schema.PlainService,
        call: service_client.Call,
        caller: schema.Caller,
        headers: inbound.Headers,
    ) -> web.StreamResponse:
        key = claim.claim_key(caller.name, headers.key)
        target = f'{service.name} {call.method} {call.path}'
        fingerprint = claim.request_fingerprint(target, call.body)
        claimed = await self._claiming.acquire(key, fingerprint)
        if isinstance(claimed, errors.Failure):
            return answers.refusal_of(claimed, headers.request)
        if isinstance(claimed, claim.Answer):
            _log.info('Answer repeated.', request=headers.request, key=key)
            return answers.response_of(claimed, headers.request)
        # The call goes on when its caller leaves: its answer is kept for a
        # second arrival, and it holds no engine.
        work = asyncio.ensure_future(
            self._run_once(service, call, claimed, headers.request)
        )
        result = await asyncio.shield(work)
        return _response(result, headers.request)

    async def _run_once(
        self,
        service: schema.PlainService,
        call: service_client.Call,
        claimed: claiming_module.Claimed,
        request: ids.RequestId,
    ) -> service_client.Result | errors.Failure:
        if not self._claiming.dispatch(claimed):
            return errors.Failure(errors.CLAIM_ABANDONED, retry_after=1.0)
        result = await self._send_once(service, call, request)
        if isinstance(result, service_client.Result):
            answer = claim.Answer(
                result.status,
                errors.Outcome.ANSWERED.value,
                result.content_type,
                result.body,
            )
            self._claiming.finish(claimed, answer)
        elif result.outcome is errors.Outcome.NOT_RUN:
            self._claiming.abandon(claimed, not_started=True)
        else:
            answer = answers.failed(result, request)
            self._claiming.finish(claimed, answer)
        return result

    async def _send_once(
        self,
        service: schema.PlainService,
        call: service_client.Call,
        request: ids.RequestId,
    ) -> service_client.Result | errors.Failure:
        """Send until an upstream may have started the call."""
        result: service_client.Result | errors.Failure
        result = errors.Failure(errors.NO_ENGINE, retry_after=1.0)
        for url in self._upstreams(service):
            result = await self._send(self._once, url, call, service, request)
            if isinstance(result, service_client.Result):
                return result
            if result.reason not in _NOT_STARTED:
                return result
        return result

    async def _try_each(
        self,
        service: schema.PlainService,
        call: service_client.Call,
        request: ids.RequestId,
    ) -> service_client.Result | errors.Failure:
        """Try each upstream until one answers."""
        result: service_client.Result | errors.Failure
        result = errors.Failure(errors.NO_ENGINE, retry_after=1.0)
        worst: errors.Failure | None = None
        for url in self._upstreams(service):
            result = await self._send(
                self._repeatable, url, call, service, request
            )
            if isinstance(result, service_client.Result):
                return result
            if result.reason not in _NOT_STARTED:
                worst = result
        return worst or result

    async def _send(
        self,
        client: aiohttp.ClientSession,
        url: str,
        call: service_client.Call,
        service: schema.PlainService,
        request: ids.RequestId,
    ) -> service_client.Result | errors.Failure:
        seconds = service.timeout_ms / 1000
        result = await service_client.call(client, url, call, seconds)
        failed = isinstance(result, errors.Failure)
        reason = (
            result.reason.name
            if isinstance(result, errors.Failure)
            else 'whole'
        )
        outcome = 'failed' if failed else 'answered'
        metrics.requests.add(1, {'outcome': outcome, 'reason': reason})
        _log.info(
            'Call routed.',
            request=request,
            service=service.name,
            upstream=url,
            others=','.join(u for u in service.upstreams if u != url)
            or 'none',
            reason=reason,
        )
        return result

    def _upstreams(self, service: schema.PlainService) -> list[str]:
        """Return the upstreams that don't leave, in their order."""
        return [
            url
            for url in service.upstreams
            if not self._leaving.is_url_leaving(
                url, parse.urlsplit(url).hostname or ''
            )
        ]


def unrepeatable(
    service: schema.PlainService, call: service_client.Call
) -> bool:
    """Return whether the configuration says that a call runs only once.

    The path is compared as an upstream may read it: decoded, without empty
    or relative segments, so that no spelling slips past a rule.
    """
    decoded = parse.unquote(call.path.partition('?')[0])
    path = posixpath.normpath('/' + decoded.lstrip('/'))
    for rule in service.unrepeatable:
        method, _, prefix = rule.partition(' ')
        if call.method == method and path.startswith(prefix):
            return True
    return False


def _call_of(request: web.Request, body: bytes) -> service_client.Call:
    path = '/' + request.rel_url.raw_path.split('/', 4)[-1]
    if request.query_string:
        path = f'{path}?{request.rel_url.raw_query_string}'
    return service_client.Call(
        request.method,
        path,
        service_client.forwardable_headers(request.headers),
        body,
    )


def _response(
    result: service_client.Result | errors.Failure, request: ids.RequestId
) -> web.Response:
    if isinstance(result, errors.Failure):
        return answers.refusal_of(result, request)
    answer = claim.Answer(
        result.status,
        errors.Outcome.ANSWERED.value,
        result.content_type,
        result.body,
    )
    return answers.response_of(answer, request)
