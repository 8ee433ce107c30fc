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

"""Soak of planned stops: a stop loses no request that has reached it.

`python -m galenahatch.test.stops [--seeds N] [--first SEED] [--vms N]`
plays seeds one after another; a seed fixes what happens and when. Callers
use their connections until these are closed, on gateways that are told to
stop, once or more, told to read their settings, and kept from running, in
series and overlapping. The platform starts a gateway again that has ended.

Upstreams and the store are well, so from what callers and upstreams see:

- every request is answered with success, or refused by one that stops;
- one that got no answer has crossed the close of its connection: it ran
  nowhere, and its caller knew within the slack that the users allow;
- a refusal that promises "not run" is true;
- each stop ends by itself, with exit code 0.
"""

import argparse
import dataclasses
import random
import select
import signal
import sys
import threading
import time
import typing

from galenahatch.test import fleet as fleets

_SECONDS: typing.Final = 9.0
"""From the first stop on: one takes 2.7 s, and some seconds of calls more."""
_CALLERS: typing.Final = 6
_CROSSED: typing.Final = 0.2
"""Seconds after its last byte in which a request may meet a close: the
users' slack for losses around planned work."""
_LAG: typing.Final = 0.01
"""Seconds between two looks at how late this process itself runs."""
_PAUSES: typing.Final = (0.1, 0.3, 0.6, 1.2)
_MEMBERS: typing.Final = (
    *[('desk', '')] * 3,
    ('model', 'prefill'),
    *[('model', 'decode')] * 2,
)
_PATHS: typing.Final = ('/once/x', '/once/x', '/often/x', '/say/x')


@dataclasses.dataclass(frozen=True)
class Asked:
    """A request, its answer, and the seconds from one to the other."""

    path: str
    answer: fleets.Answer
    began: float
    ended: float


class Stops:
    """One seed.

    Args:
        seed: fixes what happens and when.
        vms: gateways.
    """

    def __init__(self, seed: int, vms: int) -> None:
        self._seed = seed
        self._random = random.Random(seed)
        self._fleet = fleets.Fleet(vms, _MEMBERS)
        self._asked: list[Asked] = []
        self._lags: list[tuple[float, float]] = []
        self._codes: list[int] = []
        self._over = threading.Event()

    def run(self) -> list[str]:
        """Play the seed; return what was broken."""
        for upstream in self._fleet.of('desk'):
            upstream.delay = self._random.choice((0.0, 0.05, 0.8))
        sources = [
            random.Random(f'{self._seed} {number}')
            for number in range(_CALLERS)
        ]
        with self._fleet:
            threads = [threading.Thread(target=self._watch_lag)] + [
                threading.Thread(target=self._call, args=(source,))
                for source in sources
            ]
            stopping = [
                threading.Thread(
                    target=self._stop_again_and_again,
                    args=(vm, random.Random(f'{self._seed} {vm.address}')),
                )
                for vm in self._fleet.vms
            ]
            for thread in threads + stopping:
                thread.start()
            for thread in stopping:
                thread.join()
            self._over.set()
            for thread in threads:
                thread.join()
            broken = self._verdicts()
            if broken:
                self._fleet.show_logs()
            return broken

    # What happens.

    def _stop_again_and_again(
        self, vm: fleets.Vm, source: random.Random
    ) -> None:
        until = time.monotonic() + _SECONDS
        time.sleep(source.uniform(0.0, 2.0))
        while time.monotonic() < until:
            self._codes.append(self._stop(vm, source))
            vm.start()
            fleets.eventually(vm.ready, f'{vm.address} is back', 40)
            time.sleep(source.uniform(0.0, 1.0))

    def _stop(self, vm: fleets.Vm, source: random.Random) -> int:
        """Stop a gateway, disturb it meanwhile; return its exit code."""
        vm.signal(signal.SIGTERM)
        while vm.exit_code() is None:
            action = source.choice(('pause', 'again', 'reload', 'nothing'))
            if action == 'pause':
                vm.signal(signal.SIGSTOP)
                time.sleep(source.choice(_PAUSES))
                vm.signal(signal.SIGCONT)
            elif action == 'again':
                vm.signal(signal.SIGTERM)
            elif action == 'reload':
                vm.signal(signal.SIGHUP)
            time.sleep(source.uniform(0.05, 0.5))
        return vm.wait()

    def _watch_lag(self) -> None:
        """Note when this process, which plays the callers, did not run."""
        while not self._over.is_set():
            began = time.monotonic()
            time.sleep(_LAG)
            ended = time.monotonic()
            if ended - began > 2 * _LAG:
                self._lags.append((began, ended))

    def _call(self, source: random.Random) -> None:
        caller = fleets.Caller(source.choice(self._fleet.vms))
        while not self._over.is_set():
            asked = self._ask(caller, source)
            if asked is not None:
                self._asked.append(asked)
            if asked is None or not _is_kept(asked.answer):
                caller.close()
                caller = fleets.Caller(source.choice(self._fleet.vms))
            time.sleep(source.uniform(0.0, 0.05))
        caller.close()

    def _ask(
        self, caller: fleets.Caller, source: random.Random
    ) -> Asked | None:
        """Ask; return None if the connection is closed or can't be made."""
        path = source.choice(_PATHS)
        method = 'GET' if path.startswith('/often') else 'POST'
        if caller.socket is not None and _is_closed(caller.socket):
            return None
        try:
            caller.begin(path, method)
        except OSError:
            return None
        began = time.monotonic()
        answer = caller.end()
        return Asked(path, answer, began, time.monotonic())

    # What is judged.

    def _verdicts(self) -> list[str]:
        broken = [f'exit code {code}' for code in self._codes if code]
        if not self._codes:
            broken.append('nothing was stopped')
        for asked in self._asked:
            why = self._judge(asked)
            if why:
                answer = asked.answer
                broken.append(
                    f'{answer.id} {asked.path} {answer.status}: {why}'
                )
        return broken

    def _judge(self, asked: Asked) -> str:
        """Return what is wrong with an answer, or nothing."""
        answer = asked.answer
        runs = self._fleet.runs(answer.id)
        if answer.served:
            return ''
        if answer.status == 503:
            return 'refused, and ran' if runs else ''
        if answer.status:
            return 'failed, though the upstreams are well'
        if runs:
            return f'no answer, and ran {runs} times'
        waited = asked.ended - asked.began
        if waited > _CROSSED + self._lag(asked.began, asked.ended):
            return f'no answer after {waited:.3f} s'
        return ''

    def _lag(self, began: float, ended: float) -> float:
        """Return the seconds for which this process was late meanwhile."""
        return sum(
            min(end, ended) - max(begin, began)
            for begin, end in self._lags
            if begin < ended and end > began
        )


def _is_kept(answer: fleets.Answer) -> bool:
    return answer.whole and answer.headers.get('connection') != 'close'


def _is_closed(sock: typing.Any) -> bool:
    """Return whether the gateway has closed an idle connection."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def play(seed: int, vms: int = 0) -> list[str]:
    """Play one seed; return what was broken.

    Args:
        seed: fixes what happens and when.
        vms: gateways; by the seed if zero.
    """
    return Stops(seed, vms or random.Random(seed).randint(1, 4)).run()


def main() -> int:
    """Play seeds and print what they broke."""
    parser = argparse.ArgumentParser(description='Soak of planned stops')
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--vms', type=int, default=0)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        broken = play(seed, options.vms)
        failed += bool(broken)
        print(f'seed {seed}: {"failed" if broken else "passed"}', flush=True)
        for line in broken:
            print(f'  {line}')
    print(f'{options.seeds - failed} passed, {failed} failed')
    return int(bool(failed))


if __name__ == '__main__':
    sys.exit(main())
