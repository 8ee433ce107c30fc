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

"""Runs the prefill of a request and tracks its result until it is fetched.

A prefill engine holds a result for a short time only. The handle is kept
here as long as a decode engine may fetch the result, so that a second decode
engine can be tried without another prefill. An unused handle is deleted.
"""

import dataclasses
import typing

import msgspec

from galenahatch import clock
from galenahatch.core import fate
from galenahatch.core import routes
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import context as contexts
from galenahatch.gateway import failover
from galenahatch.gateway import messages
from galenahatch.gateway import sendresults
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import engines
from galenahatch.platform import wire

_CONNECT_TIMEOUT_S: typing.Final = 0.3
"""Limit on connecting to a prefill engine, in seconds. Connections take a few
ms within a region."""
_USABLE_TTL_SHARE: typing.Final = 0.8
"""Share of a handle's TTL in which it is still passed to a decode engine; the
rest is left for the transfer."""
_DELETE_TIMEOUT_S: typing.Final = 1.0
"""Limit on a request to delete an unused handle, in seconds."""
_log = logs.Log('prefill')


@dataclasses.dataclass(frozen=True)
class Retry:
    """A failed attempt, after which the request may be retried.

    Attributes:
        avoid: Engine that further attempts avoid.
        at_fault: Engines that may have caused the failure.
        unreachable: Whether sending failed before a byte reached the avoided
            engine.
        disconnected: The engine, if its connection broke soon after it had
            begun the request; otherwise None.
    """

    avoid: ids.UpstreamId
    detail: str
    at_fault: tuple[ids.UpstreamId, ...] = ()
    unreachable: bool = False
    disconnected: upstreams.Upstream | None = None

    def applied_to(self, release: messages.Release) -> messages.Release:
        """Return a release that tells the owner of the failure."""
        unreachable = self.avoid if self.unreachable else ''
        return msgspec.structs.replace(
            release,
            failed=self.at_fault,
            unreachable=ids.UpstreamId(unreachable),
        )


def retry_after(
    sender: failover.FailoverSender,
    engine: upstreams.Upstream,
    failure: sendresults.FailedSend,
) -> Retry:
    """Return how a request goes on after a failed send to an engine."""
    is_blamed = sender.blames_upstream(failure, engine.id)
    is_sent = failure.fate is not fate.Fate.NOT_SENT
    return Retry(
        engine.id,
        failure.detail,
        (engine.id,) if is_blamed else (),
        unreachable=is_blamed and not is_sent,
        disconnected=engine if failure.is_disconnect else None,
    )


def _without_result(
    engine: upstreams.Upstream, response: sendresults.Response
) -> Retry:
    """Return how a request goes on after an answer that can't be used.

    An engine isn't at fault for a result that found no memory here.
    """
    status = response.head.status
    lacks_memory = status == 200 and response.lacks_memory
    at_fault = () if lacks_memory else (engine.id,)
    return Retry(engine.id, f'prefill: status {status}', at_fault)


@dataclasses.dataclass
class _Sent:
    """Prefills of a request that may have reached an engine.

    One counts from the moment at which it is sent: while it is silent, a
    second one takes from the retry budget.
    """

    attempts: int = 0


class Prefill:
    """Prefill of one request.

    Attributes:
        engine: ID of the engine that ran the last successful prefill, or
            empty.
        sends: Prefills of this object that may have reached an engine.
    """

    def __init__(
        self,
        context: contexts.Context,
        call: calls.Call,
        service: routes.Service,
    ) -> None:
        assert call.prompt is not None and service.engine is not None
        self._context = context
        self._call = call
        self._for_service = service
        self._service = service.name
        self._ttl = service.engine.handle_ttl
        self._tokens = call.prompt.tokens
        self._sent = _Sent()
        self._use_pool = True
        self._kv_source = ''
        self._fetch_by = 0.0
        self.engine = ids.UpstreamId('')
        self.sends = 0

    def extra_sends(self) -> int:
        """Return how many sends the next prefill takes from the retry budget.

        It is 1 for a repeated prefill. It is 0 if no prefill request has
        reached an engine yet, or if no further prefill is needed because a
        result can still be fetched.
        """
        return int(self._sent.attempts > 0 and not self.kv_source())

    def successor(self) -> 'Prefill':
        """Return a prefill of the same request for another run.

        It uses new connections: open ones may be silent as well.
        """
        successor = Prefill(self._context, self._call, self._for_service)
        successor._sent = self._sent
        successor._use_pool = False
        return successor

    def kv_source(self) -> str:
        """Return `address/handle` of the result.

        The string is empty if there is no result that can still be fetched.
        """
        return self._kv_source if clock.now() < self._fetch_by else ''

    def record_silence(self) -> None:
        """Use new connections from now on: an open one has gone silent.

        Others that are open to the same engines may have gone with it, and
        only a timeout would show that.
        """
        self._use_pool = False

    def mark_fetched(self) -> None:
        """Record that a decode engine has fetched the result."""
        self._kv_source = ''

    async def run(
        self,
        stream: ids.StreamId,
        engine: upstreams.Upstream,
        last_event_id: str,
        deadline: float,
    ) -> Retry | None:
        """Run the prefill and store the handle of its result.

        Silence ends it at the deadline only, as its result may still come.
        Does not check the retry budget: the owner granted the sends in
        `extra_sends` when it placed the request.
        """
        started_at = clock.now()
        if not self._context.directory.registry.accepts_work(
            engine.id, started_at
        ):
            return Retry(engine.id, 'prefill engine gone')
        if self._context.notices.pause_seconds_left(engine.id):
            return Retry(engine.id, 'prefill engine asked for a pause')
        self._count_sends(1)
        response = await self._send(engine, last_event_id, deadline)
        if isinstance(response, sendresults.FailedSend):
            if response.fate is fate.Fate.NOT_SENT:
                self._count_sends(-1)
            return self._handle_failure(engine, response)
        body = await response.body(
            contexts.seconds_until(deadline), sendresults.MAX_SMALL_BYTES
        )
        if body is None or response.head.status != 200:
            return _without_result(engine, response)
        result = engines.decode_prefill_result(body)
        if isinstance(result, errors.Failure):
            return Retry(engine.id, result.detail, (engine.id,))
        self._store_handle(engine, result.handle)
        self._context.owner_client.report_prefilled(
            stream,
            self._service,
            self._tokens,
            clock.now() - started_at,
            response.head.slowdown,
        )
        return None

    def _count_sends(self, count: int) -> None:
        self.sends += count
        self._sent.attempts += count

    def give_up(self, engine: upstreams.Upstream) -> Retry:
        """Record that the prefill was ended, as it was silent."""
        self._context.sender.record_silence(engine)
        failure = sendresults.FailedSend(fate.Fate.UNCERTAIN, 'silent')
        return self._handle_failure(engine, failure)

    def _handle_failure(
        self, engine: upstreams.Upstream, failure: sendresults.FailedSend
    ) -> Retry:
        if failure.is_silence:
            self.record_silence()
        _log.warning(
            'Prefill request failed.',
            request=self._call.id,
            engine=engine.id,
            fate=failure.fate.value,
            digest=self._call.digest,
            detail=failure.detail,
        )
        return retry_after(self._context.sender, engine, failure)

    async def _send(
        self, engine: upstreams.Upstream, last_event_id: str, deadline: float
    ) -> sendresults.Response | sendresults.FailedSend:
        time_left = contexts.seconds_until(deadline)
        options = calls.ForwardingOptions(
            engine.id,
            time_left,
            prefill_only=True,
            last_event_id=last_event_id,
            priority=self._call.priority,
        )
        return await self._context.sender.send(
            engine,
            self._call,
            wire.upstream_headers(self._call, options),
            wire.decode_response_head,
            timeout=time_left,
            connect_timeout=_CONNECT_TIMEOUT_S,
            use_pool=self._use_pool,
        )

    def _store_handle(self, engine: upstreams.Upstream, handle: str) -> None:
        self.engine = engine.id
        self._kv_source = f'{engine.address}/{handle}'
        self._fetch_by = clock.now() + _USABLE_TTL_SHARE * self._ttl

    def delete_unused(self) -> None:
        """Delete a result that will not be fetched."""
        kv_source = self.kv_source()
        self._kv_source = ''
        if not kv_source or self._context.notices.pause_seconds_left(
            self.engine
        ):
            # If the engine has asked for a pause, the handle just expires.
            return
        handle = kv_source.rpartition('/')[2]
        engine = self._context.directory.registry.find(self.engine)
        if engine is None:
            return

        async def delete_handle() -> None:
            reply = await self._context.sender.request_small(
                'DELETE',
                engine,
                engines.handle_path(handle),
                _DELETE_TIMEOUT_S,
            )
            if isinstance(reply, errors.Failure):
                _log.warning(
                    'Failed to delete a prefill handle.',
                    request=self._call.id,
                    engine=engine.address,
                    detail=reply.detail,
                )

        self._context.tasks.run_once(delete_handle())
