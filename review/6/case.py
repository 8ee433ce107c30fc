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

"""A stream that has run is answered with a status that denies it."""

import os
import pathlib
import queue
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-2'))

import harness  # noqa: E402

from galenahatch.test.standin import upstreams  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
STREAMS = 240
CALLERS = 24
PREFILLS = 5
DECODES = 4
FAILED_SHARE = 0.45
DENIALS = (408, 421, 429, 503)


class Engine(upstreams.Upstream):
    """A model engine that may fail some of its runs.

    It begins to work on them, and doesn't say otherwise in its answer.

    Attributes:
        failed_share: Share of its runs that fail.
    """

    failed_share = 0.0
    _due = 0.0

    async def _run(self, seen, fault, reader, writer):
        self._due += self.failed_share
        if self._due < 1:
            return await super()._run(seen, fault, reader, writer)
        self._due -= 1
        seen.ran = True
        await self._work(seen, reader, 0.02)
        seen.ended = 'failed with 429'
        writer.write(self._framed(seen, 429, b'the run failed'))
        return True


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
                    '/say/',
                    'streaming',
                    'lm-reader',
                    sticky=True,
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
        engine.pause = 0.1
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
            answers.append(
                harness.ask(
                    gateway, 'POST', '/say/1', 14000, b'x', (1000, 100)
                )
            )

    callers = [threading.Thread(target=call) for _ in range(CALLERS)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    broken = 0
    for answer in sorted(answers, key=lambda answer: answer.sent_at):
        runs = [
            (engine, seen)
            for engine in engines
            for seen in engine.seen
            if seen.id == answer.request and seen.ran
        ]
        is_broken = answer.status in DENIALS and bool(runs)
        broken += is_broken
        record.write(
            f'{answer.request} {answer.status}'
            f'{" BUT IT HAS RUN" if is_broken else ""}',
            answer.sent_at,
        )
        for engine, seen in runs:
            record.write(f'    runs at {engine.id}: {seen.ended}', seen.at)
    record.write(f'{broken} of {len(answers)} denied a run')
    print(f'{broken} of {len(answers)}')
    return broken > 0


harness.main(HERE / 'record.txt', run)
