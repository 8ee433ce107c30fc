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

"""Plain services: forwards each call to one upstream.

An idempotent call is tried on each upstream in turn. A non-idempotent call is
claimed like a model request, sent once over a new connection, and tried on the
next upstream only if it certainly did not start.
"""

import asyncio
import posixpath
import typing
from urllib import parse

import aiohttp
from aiohttp import web

from galenahatch import answers
from galenahatch import claimclient
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


class PlainServices:
    """Forwards calls to plain services.

    Args:
        idempotent_session: HTTP session for calls that may be sent again.
        non_idempotent_session: HTTP session for calls that may be sent only
            once.
        claim_client: claims idempotency keys.
        leaving: record of the upstreams that are leaving.
    """

    def __init__(
        self,
        idempotent_session: aiohttp.ClientSession,
        non_idempotent_session: aiohttp.ClientSession,
        claim_client: claimclient.ClaimClient,
        leaving: leaving_module.LeavingUpstreams,
    ) -> None:
        self._idempotent_session = idempotent_session
        self._non_idempotent_session = non_idempotent_session
        self._claims = claim_client
        self._leaving_upstreams = leaving

    async def serve(
        self,
        request: web.Request,
        body: bytes,
        settings: schema.Config,
        caller: schema.Caller,
        headers: inbound.Headers,
    ) -> web.StreamResponse:
        """Forward a call and return its response."""
        service = settings.plain_service(request.match_info['name'])
        if service is None:
            return answers.failure_response(
                errors.Failure(errors.UNKNOWN_MODEL), headers.request
            )
        call = _build_call(request, body)
        if not headers.non_idempotent and not is_unrepeatable(service, call):
            result = await self._try_upstreams(service, call, headers.request)
            return _build_response(result, headers.request)
        if not headers.key:
            failure = errors.Failure(errors.KEY_REQUIRED)
            return answers.failure_response(failure, headers.request)
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
        claimed = await self._claims.acquire(key, fingerprint)
        if isinstance(claimed, errors.Failure):
            return answers.failure_response(claimed, headers.request)
        if isinstance(claimed, claim.Answer):
            _log.info(
                'Stored answer returned.', request=headers.request, key=key
            )
            return answers.build_response(claimed, headers.request)
        # The call continues when its caller disconnects: the stored answer
        # serves a retry, and the call holds no engine.
        task = asyncio.ensure_future(
            self._run_once(service, call, claimed, headers.request)
        )
        result = await asyncio.shield(task)
        return _build_response(result, headers.request)

    async def _run_once(
        self,
        service: schema.PlainService,
        call: service_client.Call,
        claimed: claimclient.Claimed,
        request: ids.RequestId,
    ) -> service_client.Result | errors.Failure:
        if not self._claims.try_dispatch(claimed):
            return errors.Failure(errors.CLAIM_ABANDONED, retry_after=1.0)
        result = await self._send_once(service, call, request)
        if isinstance(result, service_client.Result):
            answer = claim.Answer(
                result.status,
                errors.Outcome.ANSWERED.value,
                result.content_type,
                result.body,
            )
            self._claims.finish(claimed, answer)
        elif result.outcome is errors.Outcome.NOT_RUN:
            self._claims.abandon(claimed, not_started=True)
        else:
            answer = answers.failure_answer(result, request)
            self._claims.finish(claimed, answer)
        return result

    async def _send_once(
        self,
        service: schema.PlainService,
        call: service_client.Call,
        request: ids.RequestId,
    ) -> service_client.Result | errors.Failure:
        """Try upstreams until one may have started the call."""
        result: service_client.Result | errors.Failure
        result = errors.Failure(errors.NO_ENGINE, retry_after=1.0)
        for url in self._upstreams(service):
            result = await self._send(
                self._non_idempotent_session, url, call, service, request
            )
            if isinstance(result, service_client.Result):
                return result
            if result.reason not in _NOT_STARTED:
                return result
        return result

    async def _try_upstreams(
        self,
        service: schema.PlainService,
        call: service_client.Call,
        request: ids.RequestId,
    ) -> service_client.Result | errors.Failure:
        """Try upstreams until one answers."""
        result: service_client.Result | errors.Failure
        result = errors.Failure(errors.NO_ENGINE, retry_after=1.0)
        started_failure: errors.Failure | None = None
        for url in self._upstreams(service):
            result = await self._send(
                self._idempotent_session, url, call, service, request
            )
            if isinstance(result, service_client.Result):
                return result
            if result.reason not in _NOT_STARTED:
                started_failure = result
        return started_failure or result

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
        """Return the upstreams that are not leaving, in configured order."""
        return [
            url
            for url in service.upstreams
            if not self._leaving_upstreams.is_url_leaving(
                url, parse.urlsplit(url).hostname or ''
            )
        ]


def is_unrepeatable(
    service: schema.PlainService, call: service_client.Call
) -> bool:
    """Return whether a configured rule makes a call non-idempotent.

    The path is normalised as an upstream may do it (decoded, without empty or
    relative segments), so that no alternative spelling evades a rule.
    """
    decoded = parse.unquote(call.path.partition('?')[0])
    path = posixpath.normpath('/' + decoded.lstrip('/'))
    for rule in service.unrepeatable:
        method, _, prefix = rule.partition(' ')
        if call.method == method and path.startswith(prefix):
            return True
    return False


def _build_call(request: web.Request, body: bytes) -> service_client.Call:
    path = '/' + request.rel_url.raw_path.split('/', 4)[-1]
    if request.query_string:
        path = f'{path}?{request.rel_url.raw_query_string}'
    return service_client.Call(
        request.method,
        path,
        service_client.forwardable_headers(request.headers),
        body,
    )


def _build_response(
    result: service_client.Result | errors.Failure, request: ids.RequestId
) -> web.Response:
    if isinstance(result, errors.Failure):
        return answers.failure_response(result, request)
    answer = claim.Answer(
        result.status,
        errors.Outcome.ANSWERED.value,
        result.content_type,
        result.body,
    )
    return answers.build_response(answer, request)
