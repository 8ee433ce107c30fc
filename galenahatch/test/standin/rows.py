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

"""The platform's store as its protocol is published: rows, feed, faults.

Runs on the event loop of the test harness. `mode` disturbs it: `busy`
answers 503, `silent` answers nothing, `reset` breaks connections, `garbage`
answers what is no JSON. `turned_away` limits a disturbance to callers that
connect to some of its addresses. `restore` goes back to the last `copy`, in a
new era, which each answer names. Writes to the tables `read_only` get 503,
and so do transactions for which `refuses` holds. One that is beyond the
store's limits gets 400.
"""

import asyncio
import base64
import collections.abc
import dataclasses
import typing

from aiohttp import web
import msgspec

_STEP: typing.Final = 0.01
_MAX_ROW_BYTES: typing.Final = 65536
_MAX_KEY_BYTES: typing.Final = 200
_MAX_ENTRIES: typing.Final = 100
Json = typing.Any


@dataclasses.dataclass
class Row:
    """One row; a dropped one keeps the version of its end."""

    value: bytes
    ver: int
    removed: bool = False


class Store:
    """Rows of all tables, without parts."""

    def __init__(self) -> None:
        self.tables: dict[str, dict[str, Row]] = {}
        self.ver = 0
        self.mode = ''
        self.turned_away: set[str] = set()
        self.lose_answers = False
        self.read_only: set[str] = set()
        self.refuses: collections.abc.Callable[[Json], bool] = lambda c: False
        self.history_from = 0
        self.calls = 0
        self.page_rows = 2
        self.era = 1
        self._copy: tuple[dict[str, dict[str, Row]], int] = ({}, 0)
        self._changed = asyncio.Event()

    def app(self) -> web.Application:
        """Return the application that serves it."""
        app = web.Application()
        app.add_routes(
            [
                web.get('/rows-get', self._get),
                web.get('/rows-feed', self._feed),
                web.post('/rows-tx', self._transact),
            ]
        )
        return app

    def put(self, table: str, key: str, value: typing.Any) -> None:
        """Write a row as the operator or an upstream does."""
        self.put_bytes(table, key, msgspec.json.encode(value))

    def put_bytes(self, table: str, key: str, data: bytes) -> None:
        """Write a row that may hold anything."""
        self.ver += 1
        self.tables.setdefault(table, {})[key] = Row(data, self.ver)
        self._wake()

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        self.ver += 1
        self.tables[table][key] = Row(b'', self.ver, removed=True)
        self._wake()

    def compact(self) -> None:
        """Forget the history: feeds from before get 410."""
        self.ver += 1
        self.history_from = self.ver
        self._wake()

    def copy(self) -> None:
        """Remember all rows, and the version."""
        tables = {name: dict(rows) for name, rows in self.tables.items()}
        self._copy = tables, self.ver

    def restore(self) -> None:
        """Go back to the copy: what was written since is lost."""
        tables, self.ver = self._copy
        self.tables = {name: dict(rows) for name, rows in tables.items()}
        self.history_from = min(self.history_from, self.ver)
        self.era += 1
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _disturbs(self, request: web.Request) -> bool:
        """Return whether a caller is one that the mode disturbs."""
        if not self.mode:
            return False
        return not self.turned_away or _address(request) in self.turned_away

    async def _disturbed(self, request: web.Request) -> web.Response | None:
        self.calls += 1
        if not self._disturbs(request):
            return None
        if self.mode == 'busy':
            return web.Response(status=503, headers=self._headers)
        if self.mode == 'garbage':
            return web.Response(text='{"rows": [')
        if self.mode == 'reset':
            assert request.transport is not None
            request.transport.abort()
            return web.Response(status=500)
        await asyncio.sleep(60)
        return web.Response(status=503)

    async def _get(self, request: web.Request) -> web.Response:
        disturbed = await self._disturbed(request)
        if disturbed is not None:
            return disturbed
        table = self.tables.get(request.query['table'], {})
        start = request.query.get('from', '')
        rows = [
            _shown(request.query['table'], key, row)
            for key, row in sorted(table.items())
            if key >= start and not row.removed
        ]
        page = rows[: self.page_rows]
        return self._answer({'rows': page, 'has_more': len(rows) > len(page)})

    async def _feed(self, request: web.Request) -> web.Response:
        disturbed = await self._disturbed(request)
        if disturbed is not None:
            return disturbed
        after = int(request.query['after'])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query['wait_ms']) / 1000
        name = request.query['table']
        while True:
            if not self.history_from <= after <= self.ver:
                return web.Response(status=410, headers=self._headers)
            rows = sorted(
                (row.ver, key, row)
                for key, row in self.tables.get(name, {}).items()
                if row.ver > after
            )
            is_over = loop.time() > until or self._disturbs(request)
            if rows or is_over:
                shown = [_shown(name, key, row) for _, key, row in rows]
                return self._answer({'rows': shown})
            changed = self._changed
            try:
                async with asyncio.timeout(0.1):
                    await changed.wait()
            except asyncio.TimeoutError:
                continue

    async def _transact(self, request: web.Request) -> web.Response:
        disturbed = await self._disturbed(request)
        if disturbed is not None:
            return disturbed
        call = msgspec.json.decode(await request.read())
        written = {e['table'] for e in (*call['set_keys'], *call['remove'])}
        if written & self.read_only or self.refuses(call):
            return web.Response(status=503, headers=self._headers)
        if _is_beyond_limits(call):
            return web.Response(status=400, headers=self._headers)
        stale = []
        for entry in call['expected']:
            row = self.tables.get(entry['table'], {}).get(entry['key'])
            ver = row.ver if row is not None and not row.removed else 0
            if ver != entry['ver']:
                stale.append({'key': entry['key'], 'ver': ver, 'value': ''})
        if stale:
            return self._answer({'rows': stale}, status=412)
        self.ver += 1
        for entry in call['set_keys']:
            row = Row(base64.b64decode(entry['value']), self.ver)
            self.tables.setdefault(entry['table'], {})[entry['key']] = row
        for entry in call['remove']:
            row = Row(b'', self.ver, removed=True)
            self.tables.setdefault(entry['table'], {})[entry['key']] = row
        self._wake()
        if self.lose_answers:
            assert request.transport is not None
            request.transport.abort()
        return self._answer({})

    def _answer(
        self, body: dict[str, typing.Any], status: int = 200
    ) -> web.Response:
        loop = asyncio.get_running_loop()
        whole = {'ver': self.ver, 'now_ms': loop.time() * 1000, **body}
        return web.Response(
            body=msgspec.json.encode(whole),
            status=status,
            content_type='application/json',
            headers=self._headers,
        )

    @property
    def _headers(self) -> dict[str, str]:
        return {'Store-Era': str(self.era)}


def _is_beyond_limits(call: Json) -> bool:
    entries = [*call['expected'], *call['set_keys'], *call['remove']]
    return len(entries) > _MAX_ENTRIES or any(
        len(entry['key'].encode()) > _MAX_KEY_BYTES
        or len(base64.b64decode(entry.get('value', ''))) > _MAX_ROW_BYTES
        for entry in entries
    )


def _shown(table: str, key: str, row: Row) -> dict[str, typing.Any]:
    shown: dict[str, typing.Any] = {
        'table': table,
        'key': key,
        'ver': row.ver,
    }
    if row.removed:
        shown['removed'] = True
    else:
        shown['value'] = base64.b64encode(row.value).decode()
    return shown


def _address(request: web.Request) -> str:
    """Return the address at which a call came in."""
    assert request.transport is not None
    host, port = request.transport.get_extra_info('sockname')
    return f'{host}:{port}'
