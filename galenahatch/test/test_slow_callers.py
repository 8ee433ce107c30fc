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

"""Callers and upstreams that read slowly, through a real gateway.

The gateway runs as on a VM of 88 MB. The stand-ins buffer little and cut a
stream off that remains unread for some seconds, as engines do.
"""

import collections.abc
import contextlib
import json
import pathlib
import signal
import socket
import statistics
import threading
import time
import typing
import urllib.request

import pytest

from galenahatch.core import memorybudget
from galenahatch.gateway import instruments
from galenahatch.gateway import node
from galenahatch.test import fleet as fleets
from galenahatch.test.standin import upstreams

_VM_BYTES: typing.Final = 88_000_000
_GATEWAY_BYTES: typing.Final = 61 * 1024 * 1024
"""Memory of a gateway of a large deployment, which is to be left free."""
_UNREAD_LIMIT: typing.Final = 4.0
"""Seconds after which the stand-ins cut an unread stream off."""
_GONE: typing.Final = 0.5
"""Seconds for which an engine may work on once its caller has left."""
_LARGEST_BODY: typing.Final = 100_000
_SLOW_CALLERS: typing.Final = 300
_RATE: typing.Final = 1024
"""Bytes a second that a slow caller reads."""
_STEP: typing.Final = 0.5
_BETWEEN: typing.Final = 0.03
"""Seconds between two streams, as many as the prefill engine takes."""
_SLOTS: typing.Final = 400


@pytest.fixture
def fleet() -> collections.abc.Iterator[fleets.Fleet]:
    """One gateway with flow control, with room for many streams."""
    first = fleets.configuration()
    for route in first['routes']:
        route['timeout_ms'] = 20_000
    engine = first['services'][1]['engine']
    engine['slots'], engine['kv_tokens'] = _SLOTS, 2000 * _SLOTS
    members = [('desk', ''), ('model', 'prefill'), ('model', 'decode')]
    started = fleets.Fleet(1, members, first)
    for upstream in started.upstreams:
        upstream.unread_limit = _UNREAD_LIMIT
        row = {**upstream.row(), 'slots': _SLOTS}
        started.put('servers', upstream.id, row)
    started.vms[0].write_settings(
        features={'flow_control': True},
        limits={'memory_mb': _VM_BYTES / 1_000_000},
    )
    with started:
        yield started


class _SlowCaller:
    """A caller on a bare socket that reads only when it is told to."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        path: str,
        body: bytes = b'',
        sent: int | None = None,
    ) -> None:
        vm = fleet.vms[0]
        self.request = f'{next(fleets.IDS):016x}'
        self.received = b''
        self._body = body
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self.socket.connect((vm.address, vm.front))
        self.socket.settimeout(15)
        head = (
            f'POST {path} HTTP/1.1\r\nHost: {fleets.HOST}\r\n'
            f'X-Galenahatch-Request-Id: {self.request}\r\n'
            'X-Galenahatch-Deadline-Ms: 20000\r\n'
            'X-Galenahatch-Model: m\r\n'
            'X-Galenahatch-Token-Count: 1000,100\r\n'
            f'X-Galenahatch-Prompt-Prefix: aa:200,{self.request}:800\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        self.socket.sendall(head.encode() + body[:sent])
        self._sent = len(body) if sent is None else sent

    def send_rest(self) -> None:
        """Send what is left of the body."""
        with contextlib.suppress(OSError):
            self.socket.sendall(self._body[self._sent :])

    def read(self, size: int) -> bytes:
        """Read at most some bytes; empty at the end and after a reset."""
        try:
            data = self.socket.recv(size)
        except (ConnectionError, TimeoutError):
            data = b''
        self.received += data
        return data

    def read_ready(self, size: int) -> None:
        """Read at most some bytes that have arrived."""
        with contextlib.suppress(OSError):
            self.received += self.socket.recv(size, socket.MSG_DONTWAIT)

    def read_all(self) -> bytes:
        """Read until the end."""
        while self.read(65536):
            pass
        return self.received

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()


def _metric(fleet: fleets.Fleet, name: str, label: str = '') -> float:
    """Return the sum of a metric, of those lines that bear a label."""
    url = f'http://{fleet.vms[0].address}:{node.METRICS_PORT}/metrics'
    text = urllib.request.urlopen(url, timeout=5).read().decode()
    return sum(
        float(line.rpartition(' ')[2])
        for line in text.splitlines()
        if line.startswith(name) and label in line
    )


def _held(
    fleet: fleets.Fleet, direction: memorybudget.Direction | None = None
) -> float:
    label = f'"{direction.value}"' if direction else ''
    return _metric(fleet, instruments.HELD_BYTES, label)


def _peak_memory(fleet: fleets.Fleet) -> int:
    status = pathlib.Path(f'/proc/{fleet.vms[0].pid}/status').read_text()
    line = next(x for x in status.splitlines() if x.startswith('VmHWM'))
    return int(line.split()[1]) * 1024


def _median_seconds(fleet: fleets.Fleet) -> float:
    seconds = []
    for _ in range(40):
        began = time.monotonic()
        assert fleet.ask('/often/x').served
        seconds.append(time.monotonic() - began)
    return statistics.median(seconds)


def _log_lines(fleet: fleets.Fleet, text: str) -> list[dict[str, typing.Any]]:
    return [line for line in fleet.vms[0].lines() if text in json.dumps(line)]


def _read_slowly(callers: list[_SlowCaller], stopped: threading.Event) -> None:
    while not stopped.wait(_STEP):
        for caller in list(callers):
            caller.read_ready(int(_RATE * _STEP))


def test_three_hundred_slow_callers(fleet: fleets.Fleet) -> None:
    """The gateway holds their streams; engines and others notice nothing."""
    decoder = fleet.of('model', 'decode')[0]
    decoder.events, decoder.padding, decoder.pause = 55, 1000, 0.02
    without = _median_seconds(fleet)
    base = _peak_memory(fleet)
    callers: list[_SlowCaller] = []
    stopped = threading.Event()
    reader = threading.Thread(target=_read_slowly, args=(callers, stopped))
    reader.start()
    try:
        for _ in range(_SLOW_CALLERS):
            callers.append(_SlowCaller(fleet, '/say/x'))
            time.sleep(_BETWEEN)
        fleets.eventually(
            lambda: (
                sum(s.ended == 'answered' for s in decoder.seen)
                == _SLOW_CALLERS
            ),
            'all engines are done',
            20,
        )
        # The callers are so slow that their streams are held here.
        assert _held(fleet, memorybudget.Direction.EVENTS) > 1_000_000
        assert not _metric(fleet, 'galenahatch_transfers_aborted')
        beside = _median_seconds(fleet)
        peak = _peak_memory(fleet)
    finally:
        stopped.set()
        reader.join()
        for caller in callers:
            caller.close()
    assert peak - base <= _VM_BYTES - _GATEWAY_BYTES
    assert beside <= 2 * without + 0.01
    fleets.eventually(lambda: not _held(fleet), 'nothing is held')


def _buffered_stream(
    fleet: fleets.Fleet,
) -> tuple[upstreams.Upstream, _SlowCaller]:
    """Return an engine that has ended a stream, and its caller."""
    decoder = fleet.of('model', 'decode')[0]
    decoder.events, decoder.padding, decoder.pause = 150, 1000, 0.001
    caller = _SlowCaller(fleet, '/say/x')
    fleets.eventually(
        lambda: decoder.seen and decoder.seen[-1].ended == 'answered',
        'the engine is done',
    )
    assert _held(fleet, memorybudget.Direction.EVENTS) > 0
    return decoder, caller


def _buffered_answer(
    fleet: fleets.Fleet,
) -> tuple[upstreams.Upstream, _SlowCaller]:
    """Return an upstream, and the caller for whom its answer is held."""
    desk = fleet.of('desk')[0]
    desk.padding = 1_000_000
    caller = _SlowCaller(fleet, '/often/x')
    answers = memorybudget.Direction.ANSWERS
    fleets.eventually(lambda: _held(fleet, answers), 'the answer is held')
    return desk, caller


def test_events_arrive_in_order_and_whole(fleet: fleets.Fleet) -> None:
    """A caller that pauses and goes on gets every event once, and the end."""
    decoder, caller = _buffered_stream(fleet)
    caller.socket.settimeout(2)
    received = caller.read_all().decode()
    caller.close()
    numbers = [
        int(line.split(': ')[1])
        for line in received.splitlines()
        if line.startswith('id: ')
    ]
    assert numbers == list(range(1, 151))
    assert received.endswith('0\r\n\r\n')
    fleets.eventually(lambda: not _held(fleet), 'nothing is held')


def test_stopped_caller_of_a_long_stream(fleet: fleets.Fleet) -> None:
    """The stream ends clearly, before its engine would cut it off."""
    decoder = fleet.of('model', 'decode')[0]
    decoder.events, decoder.padding, decoder.pause = 2000, 1000, 0.001
    caller = _SlowCaller(fleet, '/say/x')
    fleets.eventually(
        lambda: decoder.seen and decoder.seen[-1].ended, 'the stream ended'
    )
    assert decoder.seen[-1].ended == 'dropped'
    assert not caller.read_all().endswith(b'0\r\n\r\n')
    caller.close()
    assert _metric(fleet, 'galenahatch_transfers_aborted', '"paused"') == 1
    (line,) = _log_lines(fleet, 'slow caller aborted')
    assert line['held'] >= memorybudget.MAX_STREAM_BYTES
    assert 'rate' in line and line['reason'] == 'paused'
    assert line['request'] == caller.request
    fleets.eventually(lambda: not _held(fleet), 'nothing is held')


@pytest.mark.parametrize('padding', [0, 1000])
def test_caller_leaves_while_data_is_buffered(
    fleet: fleets.Fleet, padding: int
) -> None:
    """The engine sees the close at once, also behind a full buffer."""
    decoder = fleet.of('model', 'decode')[0]
    decoder.events, decoder.padding, decoder.pause = 10_000, padding, 0.005
    caller = _SlowCaller(fleet, '/say/x')
    fleets.eventually(lambda: decoder.seen, 'the engine works')
    if padding:
        fleets.eventually(lambda: _held(fleet), 'events are held')
    caller.close()
    fleets.eventually(
        lambda: decoder.seen[-1].ended == 'dropped', 'engine is free', _GONE
    )
    fleets.eventually(lambda: not _held(fleet), 'nothing is held')


def test_caller_half_closes_while_data_is_buffered(
    fleet: fleets.Fleet,
) -> None:
    """The engine is released although the buffer can't be written."""
    decoder = fleet.of('model', 'decode')[0]
    decoder.events, decoder.padding, decoder.pause = 10_000, 1000, 0.02
    caller = _SlowCaller(fleet, '/say/x')
    fleets.eventually(lambda: _held(fleet), 'events are held')
    caller.socket.shutdown(socket.SHUT_WR)
    fleets.eventually(
        lambda: decoder.seen[-1].ended == 'dropped', 'engine is free', _GONE
    )
    assert not caller.read_all().endswith(b'0\r\n\r\n')
    caller.close()
    fleets.eventually(lambda: not _held(fleet), 'nothing is held')


def test_half_closed_caller_gets_its_whole_plain_answer(
    fleet: fleets.Fleet,
) -> None:
    """An answer that is written in pieces doesn't end at the caller's EOF."""
    desk, caller = _buffered_answer(fleet)
    caller.socket.shutdown(socket.SHUT_WR)
    time.sleep(_STEP)
    caller.socket.settimeout(2)
    received = caller.read_all()
    caller.close()
    assert len(received) >= desk.padding
    fleets.eventually(lambda: not _held(fleet), 'nothing is held')


def test_stop_delivers_what_is_buffered(fleet: fleets.Fleet) -> None:
    """A stream that ended at its engine is delivered after SIGTERM."""
    decoder, caller = _buffered_stream(fleet)
    fleet.vms[0].signal(signal.SIGTERM)
    time.sleep(_STEP)
    caller.socket.settimeout(2)
    received = caller.read_all().decode()
    caller.close()
    assert received.count('id: ') == decoder.events
    assert received.endswith('0\r\n\r\n')


def test_stopped_caller_of_a_plain_answer(fleet: fleets.Fleet) -> None:
    """The answer counts until it is taken; others are served meanwhile."""
    desk, caller = _buffered_answer(fleet)
    desk.padding = 0
    assert fleet.ask('/often/x').served
    caller.socket.settimeout(2)
    assert len(caller.read_all()) > 1_000_000
    caller.close()
    fleets.eventually(lambda: not _held(fleet), 'nothing is held')


def test_many_stopped_callers_of_large_answers(fleet: fleets.Fleet) -> None:
    """More than fits: the memory holds, and some are aborted and counted."""
    desk = fleet.of('desk')[0]
    desk.padding = 1_000_000
    base = _peak_memory(fleet)
    callers = [_SlowCaller(fleet, '/often/x') for _ in range(40)]
    fleets.eventually(
        lambda: _metric(fleet, 'galenahatch_transfers_aborted', '"memory"'),
        'answers are aborted',
    )
    desk.padding = 0
    assert fleet.ask('/often/x').served
    assert _peak_memory(fleet) - base <= _VM_BYTES - _GATEWAY_BYTES
    for caller in callers:
        caller.close()
    fleets.eventually(lambda: not _held(fleet), 'nothing is held')


def test_largest_bodies_from_many_callers_at_once(
    fleet: fleets.Fleet,
) -> None:
    """What fits is served, the rest is refused at once and never run."""
    base = _peak_memory(fleet)
    body = b'.' * _LARGEST_BODY
    callers = [_SlowCaller(fleet, '/once/x', body, 1000) for _ in range(200)]
    fleets.eventually(
        lambda: _metric(fleet, 'galenahatch_bodies_rejected') > 100,
        'bodies are rejected',
    )
    assert fleet.ask('/often/x').served
    for caller in callers:
        caller.send_rest()
    served = refused = 0
    for caller in callers:
        head = b''
        while b'\r\n\r\n' not in head and caller.read(4096):
            head = caller.received
        caller.close()
        if head.startswith(b'HTTP/1.1 200'):
            served += 1
            continue
        assert head.startswith(b'HTTP/1.1 503'), head[:200]
        assert b'retry-after: 0.5' in head.lower()
        assert caller.request.encode() in head
        assert not fleet.runs(caller.request)
        refused += 1
    assert served >= 20
    assert served + refused == len(callers)
    assert _peak_memory(fleet) - base <= _VM_BYTES - _GATEWAY_BYTES
    fleets.eventually(lambda: not _held(fleet), 'nothing is held')


def test_upstream_that_does_not_read_a_body(fleet: fleets.Fleet) -> None:
    """The body counts twice while it is written, and is given back."""
    desk = fleet.of('desk')[0]
    desk.faults.append('unread')
    body = b'.' * _LARGEST_BODY
    with fleets.Caller(fleet.vms[0]) as caller:
        caller.begin('/once/x', body=body, X_Galenahatch_Deadline_Ms='2000')
        requests = memorybudget.Direction.REQUESTS
        fleets.eventually(
            lambda: _held(fleet, requests) >= _LARGEST_BODY, 'held'
        )
        assert fleet.ask('/often/x').served
        assert caller.end().status >= 500
    fleets.eventually(lambda: not _held(fleet), 'nothing is held')
