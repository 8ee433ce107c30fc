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

"""Upstreams that leave get no new work; planned stops cut nothing off."""

import collections.abc
import threading
import time
import typing

import pytest

from galenahatch.test import deployment
from galenahatch.test.standin import model

ENGINES = (
    deployment.EngineSpec('p1', 'prefill'),
    deployment.EngineSpec('p2', 'prefill'),
    deployment.EngineSpec('d1', 'decode'),
    deployment.EngineSpec('d2', 'decode'),
)


@pytest.fixture
def running() -> collections.abc.Iterator[deployment.Deployment]:
    """Two VMs before two engines of each role."""
    with deployment.Deployment(vms=2, engines=ENGINES) as started:
        yield started


def _used(running: deployment.Deployment, count: int) -> set[str]:
    """Return the engines that some requests begin on."""
    before = {name: running.seen(name)['runs'] for name in running.engines}
    for number in range(count):
        prompt = f'request {number} {time.monotonic_ns()}'
        status, _, body = running.complete(prompt, number % 2, max_tokens=3)
        assert status == 200, body
    return {
        name
        for name in running.engines
        if running.seen(name)['runs'] != before[name]
    }


def _gets_nothing(running: deployment.Deployment, *names: str) -> None:
    """Wait until some engines get no work, then see that it stays so."""
    deployment.wait_for(
        lambda: not _used(running, 4).intersection(names), 'no new work'
    )
    for _ in range(3):
        assert not _used(running, 4).intersection(names)


def test_drained_by_an_operator(running: deployment.Deployment) -> None:
    """Drain and undrain take and give back an engine."""
    assert running.ctl('drain', 'd1', '--wait', '15')[0] == 0
    _gets_nothing(running, 'd1')
    assert running.ctl('undrain', 'd1', '--wait', '15')[0] == 0
    deployment.wait_for(lambda: 'd1' in _used(running, 8), 'used again')
    assert running.ctl('drain', 'nothing')[0] == 2


def test_engine_says_so(running: deployment.Deployment) -> None:
    """An engine's own report is enough, and is not taken back."""
    running.fault('p1', leaving=True)
    _gets_nothing(running, 'p1')
    running.fault('p1')
    time.sleep(1.5)
    _gets_nothing(running, 'p1')


def test_listed_as_leaving(running: deployment.Deployment) -> None:
    """The VM list is enough; all upstreams here share one VM."""
    before = running.seen('p1')['runs']
    running.list_vms(leaving=['127.0.0.1'])
    url = running.urls['vms'] + '/vms'
    status, _, _ = deployment.call(
        'PUT',
        url,
        [
            {
                'name': 'upstream',
                'address': '127.0.0.1',
                'data_centre': 'zogno',
                'state': 'leaving',
                'group': 'upstream',
            },
            *(
                {'name': f'v{i}', 'address': a, 'data_centre': 'zogno'}
                for i, a in enumerate(running.addresses)
            ),
        ],
    )
    assert status == 200

    def refused() -> bool:
        seen, headers, _ = running.complete('x')
        return seen == 503 and headers['Galenahatch-Outcome'] == 'not_run'

    deployment.wait_for(refused, 'no engine is left')
    after = running.seen('p1')['runs']
    assert running.complete('y')[0] == 503
    assert running.seen('p1')['runs'] == after
    assert len(after) >= len(before)


class _Load(threading.Thread):
    """Sends requests, one after the other, to entries that are ready."""

    def __init__(
        self, running: deployment.Deployment, number: int, once: bool
    ) -> None:
        super().__init__(daemon=True)
        self._running = running
        self._number = number
        self._once = once
        self.stopped = threading.Event()
        self.sent = 0
        self.wrong: list[typing.Any] = []

    def run(self) -> None:
        """Send until told to stop."""
        while not self.stopped.is_set():
            index = self._ready(self.sent)
            if index is None:
                continue
            self.sent += 1
            self._send(index)

    def _ready(self, number: int) -> int | None:
        """Return an entry as a balancer would choose one."""
        count = len(self._running.addresses)
        for step in range(count):
            index = (number + step) % count
            url = self._running.entry_url(index) + '/readyz'
            try:
                if deployment.call('GET', url)[0] == 200:
                    return index
            except OSError:
                continue
        return None

    def _send(self, index: int) -> None:
        prompt = f'load {self._number} {self.sent} {time.monotonic_ns()}'
        try:
            status, _, body = self._running.complete(
                prompt, index, key=prompt, once=self._once, max_tokens=30
            )
        except OSError as error:
            self.wrong.append(error)
            return
        if status != 200:
            self.wrong.append(body)
        elif deployment.text_of(body) != model.answer_of(prompt, 30):
            self.wrong.append(body)


def test_all_vms_in_turn_under_load() -> None:
    """Six VMs are stopped and replaced one after the other under load."""
    options = {'look-away': '1.0'}
    with deployment.Deployment(6, ENGINES, options=options) as running:
        loads = [_Load(running, n, n % 2 == 0) for n in range(4)]
        for load in loads:
            load.start()
        for index in range(6):
            for program in ('entry', 'scheduler'):
                process = running.daemons[f'{program}{index}']
                assert process.stop() == 0
                process.start()
            running.wait_ready()
        for load in loads:
            load.stopped.set()
        for load in loads:
            load.join(30)
        assert [load.wrong for load in loads] == [[], [], [], []]
        assert sum(load.sent for load in loads) > 20
        deployment.wait_for(lambda: not running.held(), 'all is freed')


def test_stop_waits_for_the_table(running: deployment.Deployment) -> None:
    """A stop in an outage of the table keeps the answer until it is stored."""
    running.fault('d1', slow=3.0)
    running.fault('d2', slow=3.0)
    results: list[typing.Any] = []

    def send() -> None:
        results.append(running.complete('bill', 0, 'bill-9', True))

    sender = threading.Thread(target=send)
    sender.start()
    deployment.wait_for(lambda: bool(running.held()), 'it runs')
    running.fault('table', down=True)
    stopper = threading.Thread(target=running.daemons['entry0'].stop)
    stopper.start()
    sender.join(30)
    assert results[0][0] == 200
    time.sleep(1.0)
    assert running.daemons['entry0'].running()
    running.fault('table')
    stopper.join(30)
    assert running.daemons['entry0'].wait() == 0

    def repeated() -> bool:
        status, _, body = running.complete('bill', 1, 'bill-9', True)
        return status == 200 and body['choices'] == results[0][2]['choices']

    deployment.wait_for(repeated, 'the first answer is given again')
