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

"""Reading a prompt at a prefill engine, and its result until it is taken.

The result is held by its engine for a short time only. It is kept here as
long as a decode engine may still take it, so that another one can be tried
without reading the prompt again; what nobody takes is dropped there.
"""

import dataclasses
import typing

from galenahatch import clock
from galenahatch.core import fate
from galenahatch.core import routes
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import context as contexts
from galenahatch.gateway import sender as senders
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import engines
from galenahatch.platform import wire

_CONNECT: typing.Final = 0.3
"""Seconds for a connection; takes some ms in one region."""
_LIMIT: typing.Final = 1.2
"""Seconds for a prefill; the users' largest prompts take 0.2 s."""
_USE: typing.Final = 0.8
"""Part of the life of a result in which it is still sent to a decode engine;
the rest is for the way there."""
_FREE_TIMEOUT: typing.Final = 1.0
_log = logs.Log('prefill')


@dataclasses.dataclass(frozen=True)
class Again:
    """An attempt that did not get to an answer.

    Attributes:
        failed: engine that the request avoids from now on.
        at_fault: engines that may be to blame.
        unreachable: whether nothing could be sent to the failed one.
        cut: engine whose connection broke soon after it had begun.
    """

    failed: ids.UpstreamId
    detail: str
    at_fault: tuple[ids.UpstreamId, ...] = ()
    unreachable: bool = False
    cut: upstreams.Upstream | None = None


class Reader:
    """The prefill of one request.

    Args:
        means: shared by all requests.
        call: of the caller.
        service: that it goes to.

    Attributes:
        engine: that read the prompt last, or empty.
    """

    def __init__(
        self,
        means: contexts.Context,
        call: calls.Call,
        service: routes.Service,
    ) -> None:
        assert call.prompt is not None and service.engine is not None
        self._means = means
        self._call = call
        self._service = service.name
        self._ttl = service.engine.handle_ttl
        self._tokens = call.prompt.tokens
        self._count = 0
        self._source = ''
        self._until = 0.0
        self.engine = ids.UpstreamId('')

    def extra_sends(self) -> int:
        """Return the sends beyond the first that one more reading takes.

        The first reading is free of the retry budget; what never got to an
        engine is none.
        """
        return int(self._count > 0 and not self.source())

    def source(self) -> str:
        """Return address and handle of a result that can still be taken."""
        return self._source if clock.now() < self._until else ''

    def taken(self) -> None:
        """Note that a decode engine has taken the result over."""
        self._source = ''

    async def read(
        self,
        stream: ids.StreamId,
        engine: upstreams.Upstream,
        last_event: str,
        end_by: float,
    ) -> Again | None:
        """Read the prompt; keep the handle of the result.

        The budget for a further reading was granted with the engines
        (`extra_sends`).
        """
        now = clock.now()
        if not self._means.directory.registry.accepts_work(engine.id, now):
            return Again(engine.id, 'prefill engine gone')
        if self._means.notices.pause_seconds_left(engine.id):
            return Again(engine.id, 'prefill engine wants a pause')
        answer = await self._send(engine, last_event, end_by)
        if isinstance(answer, senders.FailedSend):
            return self._lost(engine, answer)
        self._count += 1
        body = await answer.body()
        if body is None or answer.head.status != 200:
            detail = f'prefill: status {answer.head.status}'
            return Again(engine.id, detail, (engine.id,))
        done = engines.prefilled(body)
        if isinstance(done, errors.Failure):
            return Again(engine.id, done.detail, (engine.id,))
        self._keep(engine, done.handle)
        self._means.ownership.report_prefilled(
            stream, self._service, self._tokens, clock.now() - now
        )
        return None

    def _lost(
        self, engine: upstreams.Upstream, lost: senders.FailedSend
    ) -> Again:
        unreachable = lost.fate is fate.Fate.NOT_SENT
        self._count += not unreachable
        _log.warning(
            'Prefill lost.',
            request=self._call.id,
            engine=engine.id,
            fate=lost.fate.value,
            digest=self._call.digest,
            detail=lost.detail,
        )
        return Again(
            engine.id,
            lost.detail,
            (engine.id,),
            unreachable=unreachable,
            cut=engine if lost.is_disconnect else None,
        )

    async def _send(
        self, engine: upstreams.Upstream, last_event: str, end_by: float
    ) -> senders.Response | senders.FailedSend:
        left = contexts.seconds_until(end_by)
        directions = calls.ForwardingOptions(
            engine.id,
            left,
            prefill_only=True,
            last_event_id=last_event,
            priority=self._call.priority,
        )
        return await self._means.sender.send(
            engine,
            self._call,
            wire.outgoing(self._call, directions),
            wire.answer_head,
            timeout=min(left, _LIMIT),
            connect_timeout=_CONNECT,
            use_pool=True,
        )

    def _keep(self, engine: upstreams.Upstream, handle: str) -> None:
        self.engine = engine.id
        self._source = f'{engine.address}/{handle}'
        self._until = clock.now() + _USE * self._ttl

    def free(self) -> None:
        """Drop a result that nobody will take."""
        source = self.source()
        self._source = ''
        if not source or self._means.notices.pause_seconds_left(self.engine):
            # It lapses by itself where the engine wants no calls.
            return
        address, _, handle = source.partition('/')

        async def free() -> None:
            reply = await self._means.sender.request_small(
                'DELETE',
                address,
                engines.handle_path(handle),
                _FREE_TIMEOUT,
            )
            if isinstance(reply, errors.Failure):
                _log.warning(
                    'Handle not freed.',
                    request=self._call.id,
                    engine=address,
                    detail=reply.detail,
                )

        self._means.tasks.once(free())
