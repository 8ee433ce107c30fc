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

"""What on-call engineers have: logs that never block, and metrics."""

import http.client
import os
import signal
import subprocess
import sys
import time

import logbook
import msgspec

from galenahatch.gateway import instruments
from galenahatch.gateway import node
from galenahatch import logs
from galenahatch.test import fleet as fleets


def _read_all(descriptor: int) -> list[dict[str, object]]:
    os.set_blocking(descriptor, False)
    data = b''
    while True:
        try:
            piece = os.read(descriptor, 65536)
        except BlockingIOError:
            break
        data += piece
    return [msgspec.json.decode(line) for line in data.splitlines()]


def test_reader_that_does_not_read() -> None:
    """Nobody reads the pipe: lines are left out and counted, none waits."""
    reading, writing = os.pipe()
    handler = logs.BoundedHandler(writing, 'INFO')
    log = logs.Log('part')
    slowest = 0.0
    with handler.applicationbound():
        for number in range(5000):
            began = time.monotonic()
            log.info(f'Kind {number % 50}.', text='x' * 100)
            slowest = max(slowest, time.monotonic() - began)
        assert slowest < 0.1
        assert sum(handler.dropped.values()) > 3000
        before = _read_all(reading)
        time.sleep(1.1)
        log.info('After.')
    after = _read_all(reading)
    assert len(before) + 3000 < 5000
    assert [line['message'] for line in after] == ['Lines left out.', 'After.']
    counts = after[0]['counts']
    assert isinstance(counts, dict)
    assert sum(counts.values()) + len(before) == 5000
    os.close(reading)
    os.close(writing)


def test_storm_of_one_kind() -> None:
    """A kind that storms does not push out the others."""
    reading, writing = os.pipe()
    handler = logs.BoundedHandler(writing, 'INFO')
    with handler.applicationbound():
        logger = logs.Log('part')
        for _ in range(logs.MAX_LINES_PER_SECOND + 50):
            logger.info('Storm.')
        logger.info('Other.')
    messages = [line['message'] for line in _read_all(reading)]
    assert messages.count('Storm.') <= 2 * logs.MAX_LINES_PER_SECOND
    assert messages[-1] == 'Other.'
    os.close(reading)
    os.close(writing)


def test_closed_reader() -> None:
    """A reader that is gone is no error of the program."""
    reading, writing = os.pipe()
    os.close(reading)
    before = signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    handler = logs.BoundedHandler(writing, 'INFO')
    with handler.applicationbound():
        logbook.Logger('x').info('gone')
    signal.signal(signal.SIGPIPE, before)
    assert sum(handler.dropped.values()) == 1
    os.close(writing)


def test_text_format() -> None:
    """Counters and histograms come out as scrapers read them."""
    instruments.orders.add(2, {'status': '202'})
    instruments.pause_seconds.record(0.3)
    text = instruments.render()
    assert '# TYPE galenahatch_orders_total counter' in text
    assert 'galenahatch_orders_total{status="202"} 2' in text
    assert 'galenahatch_pause_seconds_bucket{le="0.2"} 0' in text
    assert 'galenahatch_pause_seconds_bucket{le="+Inf"} 1' in text
    assert 'galenahatch_pause_seconds_count 1' in text


def test_from_id_to_cause() -> None:
    """Logs lead from a request's id to what decided its end."""
    with fleets.Fleet(1, (('desk', ''), ('desk', ''))) as fleet:
        for upstream in fleet.of('desk'):
            upstream.faults.extend(['no-answer', 'no-answer'])
        with fleets.Caller(fleet.vms[0]) as caller:
            request = caller.begin('/once/x')
            assert caller.end().status == 502
        lines = [
            line
            for line in fleet.vms[0].lines()
            if line.get('request') == request
        ]
        sent, failed = lines
        assert (sent['message'], sent['fate']) == ('Sent.', 'uncertain')
        assert failed['reason'] == 'send_interrupted'
        text = _scrape(fleet.vms[0])
        assert 'reason="send_interrupted"} 1' in text


def _scrape(vm: fleets.Vm) -> str:
    connection = http.client.HTTPConnection(
        vm.address, node.METRICS_PORT, timeout=2
    )
    connection.request('GET', '/metrics')
    text = connection.getresponse().read().decode()
    connection.close()
    return text


def test_bytes_between_gateways_are_counted() -> None:
    """What control costs a VM can be scraped, not only what callers see."""
    name = 'galenahatch_control_bytes_total '

    def counted() -> bool:
        return name in _scrape(fleet.vms[0])

    with fleets.Fleet(2, (('desk', ''),)) as fleet:
        fleets.eventually(counted, 'beats are counted', 5.0)


def test_exporter_is_not_loaded() -> None:
    """A gateway serves its metrics, and pays for no exporter."""
    code = (
        'import sys, galenahatch.gateway.program as program\n'
        'print(*(m for m in sys.modules if "exporter.otlp" in m))'
    )
    told = subprocess.check_output([sys.executable, '-c', code], text=True)
    assert told.strip() == ''
