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

"""The adapter: what comes from the platform, good and bad."""

import asyncio
import collections.abc
import dataclasses
import pathlib

import aiohttp
from aiohttp import web
import msgspec
import pytest

from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import sender as senders
from galenahatch.gateway import settings
from galenahatch import ids
from galenahatch.platform import deployment
from galenahatch.platform import documents
from galenahatch.platform import engines
from galenahatch.platform import store as stores
from galenahatch.platform import wire
from galenahatch.test import cases
from galenahatch.test.standin import rows


@pytest.mark.parametrize(('document', 'expected'), cases.read('settings.txt'))
def test_settings(document: str, expected: str) -> None:
    """Each wrong field is named, with what would be right."""
    found = deployment.decode(document.encode())
    if expected == 'good':
        assert isinstance(found, settings.Settings), found
        return
    assert isinstance(found, errors.Failure)
    assert found.reason is errors.BAD_SETTING
    assert expected in found.detail


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ('', settings.Features()),
        ('"contracts": ["base", "drain"]', settings.Features()),
        (
            '"contracts": ["base", "pressure"]',
            settings.Features(True, True, True),
        ),
        (
            '"contracts": ["pressure"], "features": {"flow_control": false}',
            settings.Features(True, False, True),
        ),
        (
            '"contracts": ["pressure"], "features": {"fair_queuing": false}',
            settings.Features(True, True, False),
        ),
        (
            '"features": {"fair_queuing": true}',
            settings.Features(False, False, True),
        ),
        (
            '"features": {"admission_control": true, "new": 1}',
            settings.Features(True, False),
        ),
    ],
)
def test_features(fields: str, expected: settings.Features) -> None:
    """A contract turns features on; features that are named go first."""
    least = cases.read('settings.txt')[0].values[0].rstrip('}\n')
    document = f'{least}}}, {fields}}}' if fields else f'{least}}}}}'
    found = deployment.decode(document.encode())
    assert isinstance(found, settings.Settings), found
    assert found.features == expected


@pytest.mark.parametrize(('document', 'expected'), cases.read('documents.txt'))
def test_documents(document: str, expected: str) -> None:
    """A bad configuration is a failure that says which field is wrong."""
    found = documents.decode_configuration(document.encode())
    if expected == 'good':
        assert not isinstance(found, errors.Failure), found
        return
    assert isinstance(found, errors.Failure)
    assert expected in found.detail


def test_missing_file(tmp_path: pathlib.Path) -> None:
    """A settings file that is not there is a typed failure."""
    found = deployment.load(str(tmp_path / 'none.json'))
    assert isinstance(found, errors.Failure)
    assert found.reason is errors.BAD_SETTING


def test_bad_upstream() -> None:
    """A bad entry of an upstream names the upstream."""
    for value in (b'', b'{', b'{"service": 1}', b'{"service": "s"}'):
        found = documents.decode_upstream('i-1', value)
        assert isinstance(found, errors.Failure)
        assert 'i-1' in found.detail
    entry = b'{"service":"s","address":"a:1","state":"x","stage":"nap"}'
    assert isinstance(documents.decode_upstream('i-1', entry), errors.Failure)


def test_request_headers() -> None:
    """Sizes and hints are read; what is no number counts as not said."""
    raw = [
        (b'Host', b'h'),
        (b'X-Galenahatch-Request-Id', b'r1'),
        (b'X-Galenahatch-Model', b'm'),
        (b'X-Galenahatch-Token-Count', b'1460, 80'),
        (b'X-Galenahatch-Prompt-Prefix', b'5c:800,91:410,e4:250'),
        (b'X-Galenahatch-Length-Hint', b'60'),
        (b'X-Galenahatch-Deadline-Ms', b'1500'),
    ]
    call = wire.decode_call('POST', '/p', raw, b'', 0.0)
    assert call.prompt == calls.Prompt(
        1460,
        80,
        60,
        'e4',
        (
            ids.PromptPart(ids.RequestDigest('p-5c')),
            ids.PromptPart(ids.RequestDigest('p-91')),
        ),
    )
    assert (call.id, call.caller_timeout) == ('r1', 1.5)
    raw[3] = (b'X-Galenahatch-Token-Count', b'many')
    raw[6] = (b'X-Galenahatch-Deadline-Ms', b'-3')
    call = wire.decode_call('POST', '/p', raw, b'', 0.0)
    assert call.prompt is None
    assert call.caller_timeout is None


def test_directions() -> None:
    """What the system says stands in the headers that upstreams read."""
    call = wire.decode_call('POST', '/p', [(b'Last-Event-Id', b'3')], b'', 0.0)
    told = wire.upstream_headers(
        call,
        calls.ForwardingOptions(
            ids.UpstreamId('i-1'),
            0.2504,
            kv_source='1.2.3.4:5/h',
            last_event_id='7',
            priority=2,
        ),
    )
    assert told['X-Galenahatch-Expect-Instance'] == 'i-1'
    assert told['X-Galenahatch-Deadline-Ms'] == '250'
    assert told['X-Galenahatch-Kv-Source'] == '1.2.3.4:5/h'
    assert told['Last-Event-Id'] == '7'
    assert told['X-Galenahatch-Request-Priority'] == '2'
    assert call.headers['Last-Event-Id'] == '3'


def test_answer_heads() -> None:
    """Only the marker and 421 say that a request did not run."""
    marker = (b'X-Galenahatch-Not-Executed', b'1')
    for status, raw, expected in (
        (503, [marker], True),
        (421, [], True),
        (503, [], False),
        (500, [], False),
    ):
        assert wire.decode_response_head(status, raw).not_executed is expected


@pytest.mark.parametrize(('text', 'expected'), cases.read('loads.txt'))
def test_load_headers(text: str, expected: str) -> None:
    """Implausible figures of an upstream's load are ignored and reported."""
    raw = [(b'X-Galenahatch-Instance-Load', text.strip().encode())]
    head = wire.decode_response_head(200, raw if text.strip() else [])
    found = 'none'
    if head.load is not None:
        figures = dataclasses.astuple(head.load)
        found = ' '.join(str(figure) for figure in figures)
    if head.load_error is not None:
        found += ' invalid'
    assert found == expected


def test_engine_documents() -> None:
    """Reports and results of prefills that are bad are failures."""
    for data in (b'', b'[]', b'{"kv_used": "x"}', b'{"stage": "nap"}'):
        assert isinstance(engines.decode_report(data), errors.Failure)
    assert isinstance(engines.decode_prefill_result(b'{}'), errors.Failure)
    order = msgspec.json.decode(
        engines.encode_stage_order('decode', 'me', 4, 2)
    )
    assert order == {
        'op': 'stage',
        'stage': 'decode',
        'holder': 'me',
        'fence': 4,
        'expected': 2,
    }


# The store.


Test = collections.abc.Callable[
    [stores.Store, rows.Store], collections.abc.Awaitable[None]
]


def _with_store(test: Test) -> None:
    """Run a test against the stand-in's store."""

    async def run() -> None:
        standin = rows.Store()
        runner = web.AppRunner(standin.app(), shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        port = runner.addresses[0][1]
        async with aiohttp.ClientSession() as client:
            await test(stores.Store(client, f'127.0.0.1:{port}'), standin)
        await runner.cleanup()

    asyncio.run(run())


def test_rows_in_pages() -> None:
    """All pages are read, and a feed goes on where the first began."""

    async def check(store: stores.Store, standin: rows.Store) -> None:
        for key in 'abcde':
            standin.put('t', key, {'k': key})
        found = await store.rows('t')
        assert isinstance(found, stores.Rows)
        assert [row.key for row in found.rows] == list('abcde')
        standin.put('t', 'c', 1)
        standin.drop('t', 'a')
        changed = await store.changes('t', found.ver, 1.0)
        assert isinstance(changed, stores.Rows)
        assert [(r.key, r.removed) for r in changed.rows] == [
            ('c', False),
            ('a', True),
        ]

    _with_store(check)


def test_conditions() -> None:
    """A transaction with a stale condition changes nothing."""

    async def check(store: stores.Store, standin: rows.Store) -> None:
        new = stores.RowOperation('t', 'k', ver=0)
        value = stores.RowOperation('t', 'k', value=b'one')
        written = await store.transact([new], [value])
        assert isinstance(written, stores.Committed)
        again = await store.transact([new], [value])
        assert isinstance(again, stores.Conflict)
        assert again.rows[0].ver == written.ver
        gone = await store.transact(
            [stores.RowOperation('t', 'k', ver=written.ver)],
            remove=[stores.RowOperation('t', 'k')],
        )
        assert isinstance(gone, stores.Committed)

    _with_store(check)


def test_lost_answer_may_have_taken_effect() -> None:
    """A write whose answer is lost is a failure, and may stand."""

    async def check(store: stores.Store, standin: rows.Store) -> None:
        standin.lose_answers = True
        value = stores.RowOperation('t', 'k', value=b'one')
        lost = await store.transact(put=[value])
        assert isinstance(lost, errors.Failure)
        assert lost.reason is errors.STORE_UNAVAILABLE
        assert standin.tables['t']['k'].value == b'one'

    _with_store(check)


@pytest.mark.parametrize('mode', ['busy', 'reset', 'garbage'])
def test_store_failures(mode: str) -> None:
    """Whatever the store answers, the caller gets a typed failure."""

    async def check(store: stores.Store, standin: rows.Store) -> None:
        standin.mode = mode
        for found in (
            await store.rows('t'),
            await store.changes('t', 0, 0.1),
            await store.transact(
                put=[stores.RowOperation('t', 'k', value=b'')]
            ),
        ):
            assert isinstance(found, errors.Failure)
            assert found.reason is errors.STORE_UNAVAILABLE

    _with_store(check)


@pytest.mark.parametrize(
    ('status', 'reason'),
    [
        (403, errors.STORE_UNAVAILABLE),
        (410, errors.HISTORY_GONE),
        (429, errors.STORE_BUSY),
        (503, errors.STORE_UNAVAILABLE),
    ],
)
def test_store_statuses(status: int, reason: errors.Reason) -> None:
    """Each refusal of the store has its reason."""

    async def run() -> None:
        async def refuse(request: web.Request) -> web.Response:
            return web.Response(status=status)

        app = web.Application()
        app.add_routes([web.get('/rows-feed', refuse)])
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        address = f'127.0.0.1:{runner.addresses[0][1]}'
        async with aiohttp.ClientSession() as client:
            found = await stores.Store(client, address).changes('t', 1, 0.1)
        await runner.cleanup()
        assert isinstance(found, errors.Failure)
        assert found.reason is reason

    asyncio.run(run())


def test_call_after_the_end() -> None:
    """A call of our own after the connections were closed is a failure."""

    async def run() -> None:
        sender = senders.Sender()
        await sender.close()
        found = await sender.request_small('DELETE', '127.0.0.1:1', '/', 1.0)
        assert isinstance(found, errors.Failure)

    asyncio.run(run())
