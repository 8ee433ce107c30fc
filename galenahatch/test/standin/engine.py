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

"""Stand-in of a model engine over HTTP, with fault switches.

Faults are set by `POST /fault` with a JSON object. That many times:
`refuse`, `refuse_decode`, `error`, `refuse_after_start`, `cut_prefill`,
`no_end`, `huge` (a line of 200,000 bytes), `lose_cancels`; after a
`refuse_after_start`, `refuse_next` refusals follow. Until cleared:
`stall_prefill`, `stall_transfer` (seconds), `cut_at` (offset of a token,
once), `stall_at`, `duplicate`, `foreign`, `leaving`, `slow` (factor),
`lag`. `GET /held` and `GET /runs` are for oracles.
"""

import asyncio
import collections
import contextlib
import random
import typing

from aiohttp import web
import msgspec

from galenahatch.core import orders
from galenahatch.test.standin import model
from galenahatch.test.standin import peer
from galenahatch.upstream import engine as client

Faults = dict[str, typing.Any]
_KEEP_READABLE = 5.0
_HUGE_BYTES = 200_000


class Standin:
    """State of the stand-in."""

    def __init__(
        self, params: model.Params, order: orders.Order, checks: bool
    ) -> None:
        self.engine = model.Engine(params)
        self.report = model.lagging_report(self.engine)
        self.faults: Faults = {}
        self.order = order
        self.checks = checks
        self.fencing = 0
        self.order_log: list[int] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.incarnation = random.SystemRandom().getrandbits(32)
        self.sequence = 0

    async def prefill(self, request: web.Request) -> web.StreamResponse:
        """Run a prefill."""
        call = msgspec.json.decode(
            await request.read(), type=client.PrefillRequest
        )
        if self._fails('refuse'):
            return refusal(503, False, 'refused')
        self.runs[call.stream] += 1
        if self._fails('error'):
            return refusal(500, True, 'error')
        if self._fails('refuse_after_start'):
            self.faults['refuse'] = self.faults.get('refuse_next', 0)
            return refusal(503, True, 'failed after the start')
        if self._fails('cut_prefill'):
            return peer.cut(request)
        self.engine.held[call.stream] = self.engine.now()
        await asyncio.sleep(self.faults.get('stall_prefill', 0))
        if call.stream not in self.engine.held:
            return refusal(410, False, 'cancelled')
        try:
            tokens, cached = await asyncio.shield(
                asyncio.create_task(
                    self.engine.prefill(
                        call.stream, call.prompt, call.generated, call.priority
                    )
                )
            )
        except model.Evicted:
            return refusal(410, False, 'cancelled')
        return peer.answer(client.PrefillResult(tokens, cached))

    async def export(self, request: web.Request) -> web.StreamResponse:
        """Hand out a KV cache."""
        try:
            kv = self.engine.export(request.match_info['stream'])
        except model.Evicted:
            return refusal(410, False, 'evicted')
        return peer.answer(kv)

    async def decode(self, request: web.Request) -> web.StreamResponse:
        """Import a KV cache and stream tokens."""
        call = msgspec.json.decode(
            await request.read(), type=client.DecodeRequest
        )
        if self._fails('refuse_decode'):
            return refusal(503, False, 'refused')
        try:
            self.engine.reserve(call.stream)
        except model.Refused:
            return refusal(503, False, 'full')
        kv = await self._import(request, call)
        if kv is None:
            self.engine.held.pop(call.stream, None)
            return refusal(410, False, 'evicted')
        self.runs[f'{call.stream}/decode'] += 1
        if call.stream not in self.engine.held:
            return refusal(410, False, 'cancelled')
        self.engine.generate(call.stream, kv, call.max_tokens)
        offset = len(kv.generated)
        return await self._serve(request, call.stream, offset)

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Stream tokens again from an offset."""
        name = request.match_info['stream']
        if name not in self.engine.streams:
            return refusal(404, False, 'no stream')
        offset = int(request.query['offset'])
        return await self._serve(request, name, offset)

    async def cancel(self, request: web.Request) -> web.StreamResponse:
        """Free a stream."""
        if self._fails('lose_cancels'):
            return peer.cut(request)
        known = self.engine.cancel(request.match_info['stream'])
        return web.Response(status=200 if known else 404)

    async def load(self, request: web.Request) -> web.StreamResponse:
        """Report load and cache events."""
        held, seconds = self.report()
        self.sequence += 1
        since = int(request.query.get('since', -1))
        shown_until = self.engine.now() - self.engine.params.event_delay
        events = tuple(
            client.CacheEvent(number, blocks, evicted)
            for number, (at, blocks, evicted) in enumerate(self.engine.events)
            if number > since and at <= shown_until
        )
        return peer.answer(
            client.Load(
                self.incarnation,
                self.sequence,
                bool(self.faults.get('leaving')),
                held,
                seconds,
                events[:100],
            )
        )

    async def take_order(self, request: web.Request) -> web.StreamResponse:
        """Take an order; an old fencing number may be refused."""
        call = msgspec.json.decode(await request.read(), type=_OrderCall)
        if self.checks and call.fencing < self.fencing:
            return refusal(409, False, 'old fencing number')
        self.fencing = max(self.fencing, call.fencing)
        self.order_log.append(call.fencing)
        self.order = call.order
        return web.Response()

    async def show_order(self, request: web.Request) -> web.StreamResponse:
        """Show what runs."""
        return peer.answer(self.order)

    async def held(self, request: web.Request) -> web.StreamResponse:
        """Show the streams in memory."""
        return peer.answer(list(self.engine.held))

    async def seen(self, request: web.Request) -> web.StreamResponse:
        """Show how often each stream ran, and the fencing numbers."""
        body = {
            'runs': dict(self.runs),
            'orders': self.order_log,
            'prefilled': self.engine.prefilled_tokens,
            'wasted': self.engine.wasted_tokens,
        }
        return peer.answer(body)

    async def fault(self, request: web.Request) -> web.StreamResponse:
        """Set faults; an empty object clears them."""
        faults = msgspec.json.decode(await request.read())
        self.faults = faults
        self.engine.params.slow = faults.get('slow', 1.0)
        self.engine.params.lag = faults.get('lag', self.engine.params.lag)
        return web.Response()

    def _fails(self, name: str) -> bool:
        """Return whether a counted fault happens now."""
        left = self.faults.get(name, 0)
        if left:
            self.faults[name] = left - 1
        return bool(left)

    async def _import(
        self, request: web.Request, call: client.DecodeRequest
    ) -> model.Kv | None:
        await asyncio.sleep(self.faults.get('stall_transfer', 0))
        url = f'{call.source}/export/{call.stream}'
        session = request.app[peer.SESSION]
        async with session.post(url) as response:
            data = await response.read()
        if response.status != 200:
            return None
        kv = msgspec.json.decode(data, type=model.Kv)
        await self.engine.transfer(kv.tokens)
        return kv

    async def _serve(
        self, request: web.Request, name: str, offset: int
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        with contextlib.suppress(ConnectionError):
            await self._send(request, response, name, offset)
        return response

    async def _send(
        self,
        request: web.Request,
        response: web.StreamResponse,
        name: str,
        offset: int,
    ) -> None:
        stream = self.engine.streams[name]
        while True:
            stream.changed.clear()
            for number in range(offset, len(stream.tokens)):
                if number == self.faults.get('cut_at'):
                    self.faults.pop('cut_at')
                    peer.cut(request)
                    return
                if number == self.faults.get('stall_at'):
                    await asyncio.sleep(3600)
                await self._send_token(response, name, stream, number)
            offset = len(stream.tokens)
            if stream.finish:
                break
            await stream.changed.wait()
        if stream.finish != 'cancelled' and not self._fails('no_end'):
            end = client.Event(name, offset, finish=stream.finish)
            await response.write(msgspec.json.encode(end) + b'\n')
        loop = asyncio.get_running_loop()
        loop.call_later(_KEEP_READABLE, self._forget, name, stream)

    async def _send_token(
        self,
        response: web.StreamResponse,
        name: str,
        stream: model.Stream,
        number: int,
    ) -> None:
        event = client.Event(name, number, stream.tokens[number])
        if self._fails('huge'):
            await response.write(b'x' * _HUGE_BYTES)
        if self.faults.get('foreign'):
            other = client.Event('other-request.1', number, 'WRONG ')
            await response.write(msgspec.json.encode(other) + b'\n')
        line = msgspec.json.encode(event) + b'\n'
        await response.write(line)
        if self.faults.get('duplicate'):
            await response.write(line)

    def _forget(self, name: str, stream: model.Stream) -> None:
        if self.engine.streams.get(name) is stream:
            del self.engine.streams[name]


class _OrderCall(msgspec.Struct):
    order: orders.Order
    fencing: int


def refusal(status: int, started: bool, why: str) -> web.Response:
    """Return an error answer."""
    body = client.ErrorBody(started, why)
    return web.Response(status=status, body=msgspec.json.encode(body))


def routes(standin: Standin) -> list[web.RouteDef]:
    """Return the HTTP interface of an engine."""
    return [
        web.post('/prefill', standin.prefill),
        web.post('/export/{stream}', standin.export),
        web.post('/decode', standin.decode),
        web.get('/streams/{stream}', standin.resume),
        web.delete('/streams/{stream}', standin.cancel),
        web.get('/load', standin.load),
        web.post('/order', standin.take_order),
        web.get('/order', standin.show_order),
        web.get('/held', standin.held),
        web.get('/runs', standin.seen),
        web.post('/fault', standin.fault),
    ]
