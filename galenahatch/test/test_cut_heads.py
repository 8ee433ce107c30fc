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

"""Answers of upstreams that end early, at any byte, or are malformed.

A caller gets the whole answer of one upstream, a failure of the gateway, or
an answer that is visibly incomplete.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import enum
import itertools
import re
import socket
import struct
import typing

import aiohttp
import multidict
import pytest

from galenahatch.core import fate
from galenahatch import errors
from galenahatch.gateway import hops
from galenahatch.gateway import sender as senders
from galenahatch.gateway import sendresults
from galenahatch import ids
from galenahatch.platform import http as platform_http
from galenahatch.platform import objects
from galenahatch.platform import store as stores
from galenahatch.platform import vms
from galenahatch.platform import wire
from galenahatch.test import cases
from galenahatch.test import fleet as fleets
from galenahatch.test import ports
from galenahatch.test import rawanswers
from galenahatch.test import samples
from galenahatch.test.standin import upstreams
from galenahatch.upstream import engine
from galenahatch.upstream import http
from galenahatch.upstream import service

_ID: typing.Final = '@ID@'
_START: typing.Final = (
    f'HTTP/1.1 200 OK\r\nX-Galenahatch-Request-Id: {_ID}\r\n'
    'X-Galenahatch-Response-Stamp: s\r\n'
)
_BODY: typing.Final = ('hello', ' caller')
_EVENTS: typing.Final = tuple(
    f'id: {number}\ndata: piece {number}\n\n' for number in (1, 2, 3)
)
_STREAMS: typing.Final = frozenset(
    itertools.accumulate(event.encode() for event in _EVENTS)
)
"""Bodies of streams that end with an event."""
_RESET: typing.Final = struct.pack('ii', 1, 0)
_STREAM_ROUTES: typing.Final = ('/say/', '/tell/')
_DEADLINE_MS: typing.Final = (2500, 600)
"""Deadlines, usually and where the upstream neither sends nor closes."""
_LATE_S: typing.Final = 0.003
_AT_ONCE: typing.Final = 24
_NUMBERS: typing.Final = itertools.count()


class End(enum.Enum):
    """How an upstream ends a connection."""

    CLOSE = 'close'
    HALF = 'half'
    RESET = 'reset'
    LATE_RESET = 'late_reset'
    OPEN = 'open'


_RESETS: typing.Final = (End.RESET, End.LATE_RESET)


@dataclasses.dataclass
class Plan:
    """One request and the first answer to it; later ones are whole.

    Attributes:
        is_prefill: Whether the answer is that of a prefill engine.
        behind: What follows the answer; the connection stays open, and the
            rest of it is sent with the next request.
    """

    route: str
    answer: str
    cut: int
    end: End
    is_prefill: bool = False
    behind: tuple[bytes, bytes] | None = None
    id: str = ''
    arrivals: int = 0
    was_sent: bool = False
    was_kept: bool = False

    def __post_init__(self) -> None:
        """Choose an id."""
        self.id = f'{next(fleets.IDS):016x}'

    @property
    def target(self) -> str:
        """Path of the request."""
        return f'{self.route}{self.id}'

    @property
    def sent(self) -> bytes:
        """What the upstream sends."""
        return self.answer.replace(_ID, self.id).encode('latin-1')[: self.cut]

    @property
    def is_stream(self) -> bool:
        """Whether the request is for a stream."""
        return self.route in _STREAM_ROUTES

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route in ('/often/', '/tell/')

    @property
    def head(self) -> bytes:
        """Request of the caller."""
        lines = [
            f'POST {self.target} HTTP/1.1',
            f'Host: {fleets.HOST}',
            f'X-Galenahatch-Request-Id: {self.id}',
            f'X-Galenahatch-Deadline-Ms: {_DEADLINE_MS[self.end is End.OPEN]}',
            'Content-Length: 0',
            'Connection: close',
        ]
        if self.is_stream:
            lines += [
                'X-Galenahatch-Model: m',
                'X-Galenahatch-Token-Count: 1000,100',
                f'X-Galenahatch-Prompt-Prefix: {self.id}:1000',
            ]
        return ('\r\n'.join(lines) + '\r\n\r\n').encode()


_PLANS: typing.Final[dict[str, Plan]] = {}
"""Plans by target."""


class Upstream(upstreams.Upstream):
    """Answers the first arrival of each request as planned."""

    def __init__(self, service: str, stage: str = '') -> None:
        super().__init__(service, stage)
        self.events, self.pause = len(_EVENTS), 0.0
        self._behind: dict[asyncio.StreamWriter, bytes] = {}

    async def _answer(
        self,
        seen: upstreams.Seen,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        plan = _PLANS.get(seen.target)
        is_prefill = seen.told('stage') == 'prefill'
        if plan is not None:
            plan.arrivals += not is_prefill
        if plan is None or plan.was_sent or is_prefill != plan.is_prefill:
            return await super()._answer(seen, reader, writer)
        plan.was_sent = True
        plan.was_kept = writer in self._behind
        writer.write(self._behind.pop(writer, b'') + plan.sent)
        if plan.behind is not None:
            now, self._behind[writer] = plan.behind
            writer.write(now)
            return True
        if plan.end is End.OPEN:
            return True
        await end(plan.end, reader, writer)
        return False


async def end(
    how: End, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """End a connection."""
    await writer.drain()
    if how is End.LATE_RESET:
        await asyncio.sleep(_LATE_S)
    if how in _RESETS:
        connection = writer.get_extra_info('socket')
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        writer.transport.abort()
    elif how is End.HALF:
        writer.write_eof()
        with contextlib.suppress(ConnectionError, asyncio.TimeoutError):
            await asyncio.wait_for(reader.read(), 5)
    writer.close()


def ask_all(
    vm: fleets.Vm, plans: collections.abc.Sequence[Plan]
) -> list[bytes]:
    """Send requests, many at the same time; return what came of each."""
    slots = asyncio.Semaphore(_AT_ONCE)

    async def ask(plan: Plan) -> bytes:
        async with slots:
            return await rawanswers.exchange(vm, plan.head)

    async def run() -> list[bytes]:
        return await asyncio.gather(*map(ask, plans))

    _PLANS.update((plan.target, plan) for plan in plans)
    return asyncio.run(run())


def check(plan: Plan, data: bytes, expected: str = '') -> rawanswers.Got:
    """Assert that a caller can't take an incomplete answer for complete.

    Args:
        expected: As in the file; empty if only the bytes that were sent tell.
    """
    got = rawanswers.parse(data)
    shown = (plan, plan.sent, data)
    assert plan.is_repeatable or plan.arrivals <= 1, shown
    assert not got.left, shown
    bodies = _bodies(plan, expected)
    if got.status == 200:
        assert got.is_framed and got.headers['x-galenahatch-response-stamp']
        assert got.headers['x-galenahatch-request-id'] == plan.id
        if got.is_whole:
            assert got.body in bodies, shown
        else:
            assert plan.is_stream and got.body in _STREAMS, shown
    elif str(got.status) in expected:
        assert got.is_whole and not got.body, shown
    else:
        allowed = {502, 504} if plan.arrivals else {502, 503, 504}
        if plan.route == '/once/' and plan.end is not End.OPEN:
            # Nobody waits for more of an upstream that has left.
            allowed.remove(504)
        assert got.status in allowed, shown
        assert got.is_whole and not got.headers.keys() & _UPSTREAM_ONLY, shown
        is_usual = expected in ('', 'whole') and plan.end is End.CLOSE
        assert not (bodies and is_usual and plan.arrivals), shown
    return got


def _bodies(plan: Plan, expected: str) -> set[bytes]:
    """Return the bodies that a complete answer may have."""
    if expected:
        usual = ''.join(_EVENTS if plan.is_stream else _BODY).encode()
        found = {usual} if 'whole' in expected else set()
    else:
        sent = rawanswers.parse(plan.sent)
        is_cut = not sent.is_framed and plan.end in _RESETS
        found = {sent.body} if sent.is_whole and not is_cut else set()
    if plan.is_stream:
        again = {max(_STREAMS, key=len)}
        found = again if plan.is_prefill else found & _STREAMS
    else:
        again = {f'answer to {plan.id}'.encode()}
    return found | again if plan.arrivals > 1 else found


def answers(is_stream: bool) -> dict[str, tuple[str, str]]:
    """Return the answers of the file and what is expected, by title."""
    parts = _EVENTS if is_stream else _BODY
    chunks = ''.join(f'{len(part):x};a=b\r\n{part}\r\n' for part in parts)
    found = {}
    for case in cases.read('cut_heads.txt'):
        given, expected = case.values
        lines = [
            _START.removesuffix('\r\n') if line == '@' else line
            for line in given.split('\n')
        ]
        # A line ends with a CRLF unless it ends with a backslash.
        text = ('\r\n'.join(lines) + '\r\n').replace('\\\r\n', '')
        text = text.encode().decode('unicode_escape')
        text = text.replace('@CHUNKS@', chunks)
        text = text.replace('@BODY@', ''.join(parts))
        text = text.replace('@SIZE@', str(len(''.join(parts))))
        found[str(case.id)] = (text, expected)
    return found


_ANSWERS: typing.Final = {
    is_stream: answers(is_stream) for is_stream in (False, True)
}
_CUT: typing.Final = (
    'a length',
    'chunks, an extension and a trailer',
    'until closed',
    'interim answers',
)
_ENDS: typing.Final = (End.CLOSE, End.RESET, End.HALF, End.LATE_RESET)
_ROUTES: typing.Final = ('/once/', '/often/', *_STREAM_ROUTES)
_UPSTREAM_ONLY: typing.Final = {'x-galenahatch-response-stamp'}
_BOUNDS: typing.Final = {
    'grace_s': 8,
    'drain_ms': 2000,
    'lease_ms': 300,
    'retry_slack': 5000,
}
"""Answers that fail in one test take no retry from the next one."""
_MEMBERS: typing.Final = (
    *(('desk', ''),) * 4,
    *(('model', 'prefill'),) * 4,
    *(('model', 'decode'),) * 16,
)


def open_fleet(vms: int) -> fleets.Fleet:
    """Return gateways and upstreams that have not started."""
    config = fleets.configuration()
    for entry in config['services']:
        entry['max_conns'] = 1000
    found = fleets.Fleet(vms, (), config, in_order=True)
    for vm in found.vms:
        vm.write_settings(bounds=_BOUNDS)
    for member in _MEMBERS:
        upstream = Upstream(*member)
        found.call(upstream.start())
        found.upstreams.append(upstream)
        found.put('servers', upstream.id, upstream.row())
    return found


@pytest.fixture(scope='module')
def fleet() -> collections.abc.Iterator[fleets.Fleet]:
    """One gateway."""
    with open_fleet(1) as started:
        yield started


@pytest.fixture(scope='module')
def partitioned() -> collections.abc.Iterator[fleets.Fleet]:
    """Two gateways; the first one's requests go through the other one."""
    found = open_fleet(2)
    found.vms[0].module = 'galenahatch.test.cutgateway'
    with found as started:
        started.vms[0].cut('refuse')
        fleets.eventually(
            lambda: all(started.ask(f'{path}x').served for path in _ROUTES),
            'served through the other one',
        )
        yield started


def cuts(title: str, route: str) -> list[Plan]:
    """Return a plan for each byte, with the ends in turn."""
    answer, _ = _ANSWERS[route in _STREAM_ROUTES][title]
    size = len(answer.replace(_ID, 16 * 'f'))
    ends = itertools.cycle(_ENDS)
    return [
        Plan(route, answer, cut, how)
        for cut, how in zip(range(size + 1), ends, strict=False)
    ]


# Guards against a success with an empty or short body, framed as whole, of
# an upstream that ended in its head or its body.
@pytest.mark.parametrize('route', _ROUTES)
@pytest.mark.parametrize('title', _CUT)
def test_answer_cut_at_each_byte(
    fleet: fleets.Fleet, title: str, route: str
) -> None:
    """The caller gets it whole, a second one, or a failure."""
    plans = cuts(title, route)
    for plan, data in zip(plans, ask_all(fleet.vms[0], plans), strict=True):
        check(plan, data)


# Guards against the same where another gateway relays the answer.
@pytest.mark.parametrize('route', _ROUTES)
@pytest.mark.parametrize('title', ['a length', 'until closed'])
def test_relayed_answer_is_cut(
    partitioned: fleets.Fleet, title: str, route: str
) -> None:
    """The caller gets it whole, a second one, or a failure."""
    plans = cuts(title, route)[::3]
    results = ask_all(partitioned.vms[0], plans)
    for plan, data in zip(plans, results, strict=True):
        check(plan, data)


# Guards against results of prefills that are cut and used.
@pytest.mark.parametrize('framing', ['Content-Length: 52', 'X-A: b'])
def test_prefill_result_is_cut(fleet: fleets.Fleet, framing: str) -> None:
    """The stream is whole or fails; no part of it is sent twice."""
    answer = (
        f'{_START}{framing}\r\n\r\n'
        '{"kv_handle": "handle", "tokens": 1000, "version":1}'
    )
    size = len(answer.replace(_ID, 16 * 'f'))
    plans = [
        Plan('/say/', answer, cut, how, is_prefill=True)
        for cut, how in zip(
            range(size, 0, -13), itertools.cycle(_ENDS), strict=False
        )
    ]
    for plan in plans:
        # Engines that fail are left alone; after a start they are tried again.
        fleet.start_upstreams_again()
        (data,) = ask_all(fleet.vms[0], [plan])
        check(plan, data)
        assert plan.was_sent


# Guards against answers that are malformed and taken for well-formed, or
# that cost their callers all of their time.
@pytest.mark.parametrize('route', _ROUTES)
@pytest.mark.parametrize('how', [End.CLOSE, End.OPEN])
def test_malformed_answers(fleet: fleets.Fleet, route: str, how: End) -> None:
    """Each is whole, replaced by a second one, or a failure."""
    found = _ANSWERS[route in _STREAM_ROUTES]
    _check_malformed(fleet, route, how, found)


# Guards against answers whose status is none, such as 000 of an upstream in
# trouble, that another gateway passes on.
@pytest.mark.parametrize('route', _ROUTES)
def test_relayed_answer_without_a_status(
    partitioned: fleets.Fleet, route: str
) -> None:
    """Each is replaced by a second one, or a failure."""
    found = {
        title: case
        for title, case in _ANSWERS[route in _STREAM_ROUTES].items()
        if title.startswith('status ')
    }
    assert len(found) > 8
    _check_malformed(partitioned, route, End.CLOSE, found)


def _check_malformed(
    fleet: fleets.Fleet,
    route: str,
    how: End,
    found: dict[str, tuple[str, str]],
) -> None:
    """Assert that each answer of the file is treated as it says."""
    plans = [Plan(route, answer, 4096, how) for answer, _ in found.values()]
    results = ask_all(fleet.vms[0], plans)
    wrong = []
    for title, plan, data in zip(found, plans, results, strict=True):
        try:
            check(plan, data, found[title][1])
        except (AssertionError, KeyError) as error:
            wrong.append((title, error))
    assert not wrong


# Guards against prefills whose status is none and whose result is used.
@pytest.mark.parametrize('status', ['000', '099', '600', '999'])
def test_prefill_result_without_a_status(
    fleet: fleets.Fleet, status: str
) -> None:
    """The stream is whole or fails."""
    result = '{"kv_handle": "handle", "tokens": 1000, "version":1}'
    answer = _START.replace('200', status)
    answer += f'Content-Length: {len(result)}\r\n\r\n{result}'
    plan = Plan('/say/', answer, 4096, End.CLOSE, is_prefill=True)
    fleet.start_upstreams_again()
    (data,) = ask_all(fleet.vms[0], [plan])
    check(plan, data)
    assert plan.was_sent


def _keep(
    fleet: fleets.Fleet, behind: collections.abc.Iterable[tuple[bytes, bytes]]
) -> None:
    """Let the gateway keep connections that brought an answer."""
    answer, _ = _ANSWERS[False]['a length']
    plans = [
        Plan('/often/', answer, 4096, End.OPEN, behind=pair) for pair in behind
    ]
    for plan, data in zip(plans, ask_all(fleet.vms[0], plans), strict=True):
        assert check(plan, data).status == 200


# Guards against a cut answer that is the second one on its connection.
@pytest.mark.parametrize('title', ['a length', 'until closed'])
def test_second_answer_is_cut(fleet: fleets.Fleet, title: str) -> None:
    """As on a new connection."""
    plans = cuts(title, '/often/')
    for batch in (plans[n::8] for n in range(8)):
        _keep(fleet, [(b'', b'')] * _AT_ONCE)
        results = ask_all(fleet.vms[0], batch)
        for plan, data in zip(batch, results, strict=True):
            check(plan, data)
    assert sum(plan.was_kept for plan in plans) > len(plans) / 2


# Guards against requests that fail since their connection still has to bring
# the rest of an answer that nobody waited for.
def test_answer_behind_an_answer(fleet: fleets.Fleet) -> None:
    """It comes with the first answer, and the rest with the next one."""
    answer, _ = _ANSWERS[False]['a length']
    late = answer.replace(_ID, 16 * 'f').encode()
    behind = [(late[:cut], late[cut:]) for cut in range(len(late) + 1)]
    plans = [Plan('/often/', answer, 4096, End.CLOSE) for _ in behind]
    for n in range(8):
        _keep(fleet, behind[n::8])
        results = ask_all(fleet.vms[0], plans[n::8])
        for plan, data in zip(plans[n::8], results, strict=True):
            assert check(plan, data).status == 200


_DOCUMENT: typing.Final = (
    b'{"rows": [], "ver": 1, "version": 1, "vms": [], "kv_handle": "h", '
    b'"incarnation": 1, "sequence": 1, "leaving": false, "held": 0, '
    b'"seconds_per_token": 0.1, "prompt_tokens": 1, "cached_tokens": 0}'
)
_DOCUMENT_HEADS: typing.Final = (
    b'Content-Length: %d\r\n\r\n' % len(_DOCUMENT) + _DOCUMENT,
    b'Transfer-Encoding: chunked\r\n\r\n%x\r\n' % len(_DOCUMENT)
    + _DOCUMENT
    + b'\r\n0\r\n\r\n',
    b'\r\n' + _DOCUMENT,
)
_Read = collections.abc.Callable[[], collections.abc.Awaitable[object]]
"""Reads an answer; returns its body, or what it decodes to, or a failure."""


class _Replay:
    """Answers each request with the same bytes."""

    def __init__(self) -> None:
        self.sent = b''
        self.how = End.CLOSE
        self.port = ports.free()

    @property
    def address(self) -> str:
        """Address at which it listens."""
        return f'127.0.0.1:{self.port}'

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        head = await reader.readuntil(b'\r\n\r\n')
        length = re.search(rb'(?i)content-length: (\d+)', head)
        await reader.readexactly(int(length[1]) if length else 0)
        writer.write(self.sent)
        with contextlib.suppress(ConnectionError):
            await end(self.how, reader, writer)


async def _read_send(
    sender: senders.Sender, replay: _Replay, is_proxied: bool
) -> object:
    """Send a request directly, or as to another gateway."""
    upstream = samples.upstream(replay.port)
    result = await sender.send(
        upstream,
        samples.plain_call(),
        multidict.CIMultiDict(),
        wire.decode_response_head,
        timeout=1.0,
        connect_timeout=1.0,
        use_pool=False,
        hop=hops.Hop(replay.address, upstream.id) if is_proxied else None,
    )
    if isinstance(result, sendresults.FailedSend):
        # Cut or not, the request may have run.
        assert result.fate is fate.Fate.UNCERTAIN
        return None
    return await result.body(1.0)


async def _open_readers(
    replay: _Replay, stack: contextlib.AsyncExitStack
) -> dict[str, _Read]:
    """Return all reads of whole answers, by what is read."""
    sender = senders.Sender()
    stack.push_async_callback(sender.close)
    gateway = await stack.enter_async_context(
        aiohttp.ClientSession(connector=http.Connector(limit=0))
    )
    platform = await stack.enter_async_context(platform_http.session(''))
    client = await stack.enter_async_context(http.session(1.0, 1.0, False))
    store = stores.Store(gateway, replay.address)
    url = f'http://{replay.address}'
    call = service.Call('POST', '/x', {}, b'b')
    prompt = engine.PrefillRequest(ids.StreamId('s'), 'p', (), 1)

    async def read_report() -> object:
        reply = await sender.request_small(
            'GET', replay.address, '/report', 1.0
        )
        return reply if isinstance(reply, errors.Failure) else reply.body

    async def read_service() -> object:
        result = await service.call(client, url, call, 1.0)
        return result.body if isinstance(result, service.Result) else result

    return {
        'send': lambda: _read_send(sender, replay, False),
        'hop': lambda: _read_send(sender, replay, True),
        'report': read_report,
        'rows': lambda: store.rows('t'),
        'changes': lambda: store.changes('t', 0, 0.1),
        'transaction': store.transact,
        'VM list': vms.VmListClient(platform, url).read,
        'object': lambda: objects.ObjectStore(platform, url).get('k'),
        'load': lambda: engine.fetch_load(client, url, 0),
        'prefill': lambda: engine.prefill(client, url, prompt),
        'service': read_service,
    }


_READERS: typing.Final = (
    'send',
    'hop',
    'report',
    'rows',
    'changes',
    'transaction',
    'VM list',
    'object',
    'load',
    'prefill',
    'service',
)


# Guards against answers to requests of the gateway itself, of the entry and
# of another gateway that are cut, and taken for whole.
@pytest.mark.parametrize('name', _READERS)
def test_reads_of_cut_answers(name: str) -> None:
    """What is read is the whole answer, or a failure."""

    async def run() -> None:
        replay = _Replay()
        server = await asyncio.start_server(
            replay.serve, '127.0.0.1', replay.port
        )
        start = _START.encode()
        if name == 'hop':
            start += b'Galenahatch-Proxy-Verdict: answered\r\n'
        async with contextlib.AsyncExitStack() as stack:
            read = (await _open_readers(replay, stack))[name]
            for head in _DOCUMENT_HEADS:
                answer = (start + head).replace(_ID.encode(), b'r')
                ends = itertools.cycle(_ENDS)
                for cut in (*range(0, len(answer), 9), len(answer)):
                    replay.sent, replay.how = answer[:cut], next(ends)
                    check_read(replay, await read())
        server.close()

    asyncio.run(run())


def check_read(replay: _Replay, result: object) -> None:
    """Assert that what was read was whole."""
    sent = rawanswers.parse(replay.sent)
    is_whole = sent.is_whole and (sent.is_framed or replay.how not in _RESETS)
    shown = (replay.sent, replay.how, result)
    if result is None or isinstance(result, errors.Failure):
        is_usual = is_whole and replay.how is End.CLOSE
        assert not (is_usual and sent.body == _DOCUMENT), shown
    elif isinstance(result, bytes):
        assert is_whole and result == sent.body, shown
    else:
        assert is_whole and sent.body == _DOCUMENT, shown
