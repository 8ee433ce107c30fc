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

"""A resumed stream is answered with an error inside the first response."""

import os
import pathlib
import queue
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-2'))

import harness  # noqa: E402

from galenahatch.test.standin import upstreams  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
STREAMS = 180
CALLERS = 9
PREFILLS = 5
DECODES = 4
FAILED_SHARE = 0.45
PREEMPTED_S = 2.5
EVENTS = 8


class Engine(upstreams.Upstream):
    """A model engine that preempts each stream once, before its half.

    Attributes:
        failed_share: Share of its runs that it answers with an error.
    """

    failed_share = 0.0
    _due = 0.0

    async def _run(self, seen, fault, reader, writer):
        self._due += self.failed_share
        if self._due >= 1:
            self._due -= 1
            seen.ran = True
            seen.ended = 'failed with 400'
            writer.write(self._framed(seen, 400, b'the run failed'))
            return True
        if not seen.headers.get('last-event-id'):
            fault = 'stall'
        return await super()._run(seen, fault, reader, writer)


def stream(gateway):
    """Send a request for a stream; return its id and all bytes received."""
    request = harness.new_id()
    lines = harness.headers(request, 14000, (1000, 100))
    head = ''.join(f'{name}: {value}\r\n' for name, value in lines.items())
    received = b''
    with socket.create_connection((gateway.address, gateway.front)) as caller:
        caller.settimeout(8)
        caller.sendall(
            f'POST /tell/1 HTTP/1.1\r\n{head}Content-Length: 1\r\n\r\nx'.encode()
        )
        try:
            while not is_over(received):
                data = caller.recv(65536)
                if not data:
                    break
                received += data
        except OSError:
            pass
    return request, received


def is_over(received):
    """Return whether a whole answer has been received, or what is none."""
    return judge(received)[0] not in ('open', 'cut')


def judge(received):
    """Parse an answer as RFC 9112 has it.

    Returns:
        `open` if it lacks its head, `cut` if it ends early, `whole`, or
        `no answer` if its bytes break the protocol; and the body, or the
        bytes that are wrong.
    """
    head, end, rest = received.partition(b'\r\n\r\n')
    if not end:
        return 'open', b''
    lines = head.lower().split(b'\r\n')
    if b'transfer-encoding: chunked' not in lines:
        length = next(
            int(line.partition(b':')[2])
            for line in lines
            if line.startswith(b'content-length:')
        )
        return ('whole' if len(rest) >= length else 'cut'), rest
    body = b''
    while True:
        size, end, after = rest.partition(b'\r\n')
        if not end:
            return 'cut', body
        try:
            count = int(size, 16)
        except ValueError:
            return 'no answer', rest
        if not count:
            return 'whole', body
        if len(after) < count + 2:
            return 'cut', body
        if after[count : count + 2] != b'\r\n':
            return 'no answer', after[count:]
        body += after[:count]
        rest = after[count + 2 :]


def run(platform, record):
    """Run the case; return whether the rule was broken."""
    upstreams.Upstream = Engine
    platform.put(
        'op',
        'config',
        harness.configuration(
            3,
            [
                harness.route(
                    '/tell/',
                    'streaming',
                    'lm-reader',
                    sticky=True,
                    resumable=True,
                    max_attempts=2,
                    timeout_ms=14000,
                    gap_aim_ms=300,
                )
            ],
            [harness.model_service('lm-reader')],
        ),
    )
    engines = [
        platform.upstream('lm-reader', stage)
        for stage in ('prefill',) * PREFILLS + ('decode',) * DECODES
    ]
    for engine in engines:
        engine.events, engine.pause = EVENTS, 0.05
        engine.stall = PREEMPTED_S
    if TROUBLE:
        engines[-1].failed_share = FAILED_SHARE
        record.write(f'{engines[-1].id} fails {FAILED_SHARE:.0%} of its runs')
    zones = ('zogno', 'dalmine', 'seriate')
    gateways = [platform.gateway(zone) for zone in zones]
    harness.start(gateways)
    time.sleep(3)
    jobs = queue.SimpleQueue()
    for number in range(STREAMS):
        jobs.put(gateways[number % len(gateways)])
    answers = []

    def call():
        while True:
            try:
                gateway = jobs.get_nowait()
            except queue.Empty:
                return
            sent_at = time.monotonic()
            answers.append((sent_at, gateway, *stream(gateway)))

    callers = [threading.Thread(target=call) for _ in range(CALLERS)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    broken = 0
    for sent_at, gateway, request, received in sorted(answers, key=at_first):
        state, detail = judge(received)
        broken += state == 'no answer'
        record.write(
            f'{gateway.name} {request} {state} {received[9:12].decode()}',
            sent_at,
        )
        for engine in engines:
            for seen in engine.seen:
                if seen.id == request:
                    record.write(
                        f'    {engine.id} {seen.told("stage") or "run"}'
                        f' after {seen.headers.get("last-event-id", "-")}:'
                        f' {seen.ended or "answered"}',
                        seen.at,
                    )
        if state == 'no answer':
            record.write(f'    bytes that are no answer: {detail[:300]!r}')
    record.write(f'{broken} of {len(answers)} got bytes that are no answer')
    print(f'{broken} of {len(answers)}')
    return broken > 0


def at_first(answer):
    """Return when a request was sent."""
    return answer[0]


harness.main(HERE / 'record.txt', run)
