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

"""Stand-ins of the table, the object store, the VM list, a plain service.

Faults by `POST /fault`: `down`, `slow` (seconds), `lose_answers` (how many
writes take effect without an answer), `late` (seconds after which a write
takes effect, its answer lost), `stale` (reads see the state that was
marked by `POST /mark`). Plain service: `cut`, `refuse`, `slow`, `pad` (bytes
more in an answer).
"""

import asyncio
import collections
import typing

from aiohttp import web
import msgspec

from galenahatch.core import transaction as transactions
from galenahatch.platform import vms
from galenahatch.test.standin import engine
from galenahatch.test.standin import peer

Faults = dict[str, typing.Any]


class Table:
    """The table's state."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.faults: Faults = {}
        self.old: dict[str, bytes] = {}
        self.commits = 0
        self.reads = 0

    async def read(self, request: web.Request) -> web.StreamResponse:
        """Read keys."""
        if await disturbed(lambda: self.faults):
            return web.Response(status=500)
        self.reads += 1
        keys = msgspec.json.decode(await request.read(), type=list[str])
        seen = self._seen()
        return peer.answer({key: seen.get(key) for key in keys})

    async def scan(self, request: web.Request) -> web.StreamResponse:
        """List a prefix."""
        if await disturbed(lambda: self.faults):
            return web.Response(status=500)
        self.reads += 1
        prefix = request.query['prefix']
        seen = self._seen()
        found = {k: v for k, v in seen.items() if k.startswith(prefix)}
        return peer.answer(dict(sorted(found.items())))

    async def commit(self, request: web.Request) -> web.StreamResponse:
        """Commit a transaction."""
        body = await request.read()
        transaction = msgspec.json.decode(body, type=transactions.Transaction)
        if await disturbed(lambda: self.faults):
            return web.Response(status=500)
        if self.faults.get('late'):
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults['late'], self._apply, transaction)
            return peer.cut(request)
        conflict = self._apply(transaction)
        if self.faults.get('lose_answers', 0) > 0:
            self.faults['lose_answers'] -= 1
            return peer.cut(request)
        if conflict:
            body = msgspec.json.encode(conflict)
            return web.Response(status=409, body=body)
        return web.Response()

    async def fault(self, request: web.Request) -> web.StreamResponse:
        """Set faults."""
        self.faults = msgspec.json.decode(await request.read())
        return web.Response()

    async def mark(self, request: web.Request) -> web.StreamResponse:
        """Mark the state that stale reads see."""
        self.old = dict(self.values)
        return web.Response()

    async def count(self, request: web.Request) -> web.StreamResponse:
        """Show how often it was used."""
        return peer.answer({'commits': self.commits, 'reads': self.reads})

    def _seen(self) -> dict[str, bytes]:
        return self.old if self.faults.get('stale') else self.values

    def _apply(
        self, transaction: transactions.Transaction
    ) -> dict[str, bytes | None]:
        self.commits += 1
        conflict = {
            condition.key: self.values.get(condition.key)
            for condition in transaction.conditions
            if self.values.get(condition.key) != condition.value
        }
        if conflict:
            return conflict
        for write in transaction.writes:
            if write.value is None:
                self.values.pop(write.key, None)
            else:
                self.values[write.key] = write.value
        return {}


class Objects:
    """The object store's state."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.faults: Faults = {}

    async def put(self, request: web.Request) -> web.StreamResponse:
        """Store an object."""
        body = await request.read()
        if await disturbed(lambda: self.faults):
            return web.Response(status=500)
        self.objects[request.match_info['key']] = body
        return web.Response()

    async def get(self, request: web.Request) -> web.StreamResponse:
        """Return an object."""
        if await disturbed(lambda: self.faults):
            return web.Response(status=500)
        body = self.objects.get(request.match_info['key'])
        if body is None:
            return web.Response(status=404)
        return web.Response(body=body)

    async def names(self, request: web.Request) -> web.StreamResponse:
        """Show the names of the objects."""
        return peer.answer(sorted(self.objects))

    async def fault(self, request: web.Request) -> web.StreamResponse:
        """Set faults."""
        self.faults = msgspec.json.decode(await request.read())
        return web.Response()


class VmList:
    """The VM list, set by tests."""

    def __init__(self) -> None:
        self.list = vms.VmList(0, ())

    async def get(self, request: web.Request) -> web.StreamResponse:
        """Return the list."""
        return peer.answer(self.list)

    async def put(self, request: web.Request) -> web.StreamResponse:
        """Replace the VMs; the version goes up."""
        found = msgspec.json.decode(
            await request.read(), type=tuple[vms.Vm, ...]
        )
        self.list = vms.VmList(self.list.version + 1, found)
        return web.Response()


class Plain:
    """A plain service that counts what it ran."""

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.faults: Faults = {}

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Run a call."""
        body = await request.read()
        if self.faults.get('refuse'):
            return engine.refusal(503, False, 'refused')
        await asyncio.sleep(self.faults.get('slow', 0))
        self.runs[f'{request.method} {request.path} {_text(body)}'] += 1
        if self.faults.get('cut'):
            return peer.cut(request)
        total = sum(self.runs.values())
        pad = 'x' * self.faults.get('pad', 0)
        return peer.answer({'path': request.path, 'run': total, 'pad': pad})

    async def fault(self, request: web.Request) -> web.StreamResponse:
        """Set faults."""
        self.faults = msgspec.json.decode(await request.read())
        return web.Response()

    async def seen(self, request: web.Request) -> web.StreamResponse:
        """Show what ran."""
        return peer.answer(dict(self.runs))


def _text(body: bytes) -> str:
    return body.decode(errors='replace')[:100]


async def disturbed(faults: typing.Callable[[], Faults]) -> bool:
    """Wait if slow; return whether the store is down by then."""
    await asyncio.sleep(faults().get('slow', 0))
    return bool(faults().get('down'))


def table_routes() -> list[web.RouteDef]:
    """Return the HTTP interface of the table."""
    state = Table()
    return [
        web.post('/read', state.read),
        web.get('/scan', state.scan),
        web.post('/commit', state.commit),
        web.post('/fault', state.fault),
        web.post('/mark', state.mark),
        web.get('/count', state.count),
    ]


def object_routes() -> list[web.RouteDef]:
    """Return the HTTP interface of the object store."""
    state = Objects()
    return [
        web.put('/objects/{key:.*}', state.put),
        web.get('/objects/{key:.*}', state.get),
        web.get('/names', state.names),
        web.post('/fault', state.fault),
    ]


def vm_routes() -> list[web.RouteDef]:
    """Return the HTTP interface of the VM list."""
    state = VmList()
    return [web.get('/vms', state.get), web.put('/vms', state.put)]


def plain_routes() -> list[web.RouteDef]:
    """Return the HTTP interface of a plain service."""
    state = Plain()
    return [
        web.post('/fault', state.fault),
        web.get('/runs', state.seen),
        web.route('*', '/{tail:.*}', state.call),
    ]
