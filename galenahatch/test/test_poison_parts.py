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

"""A part of prompts that ends each engine that writes an answer on it."""

import collections.abc
import functools
import random
import threading
import time
import typing

import pytest

from galenahatch.test import fleet as fleets
from galenahatch.test.standin import upstreams

_MEMBERS: typing.Final = (
    *[('model', 'prefill')] * 3,
    *[('model', 'decode')] * 6,
)
_ENDS: typing.Final = 5
_MORE: typing.Final = 3
"""Arrivals at engines that are allowed later than `_CONTACT_S` after the fifth
end."""
_CONTACT_S: typing.Final = 3.0
_WARM_UP_S: typing.Final = 1.0
_OBSERVED_S: typing.Final = 3.0
_PATHS: typing.Final = ('/tell/x', '/say/x')


@pytest.fixture
def fleet() -> collections.abc.Iterator[fleets.Fleet]:
    """Three gateways before engines that start again after an end."""
    with fleets.Fleet(3, _MEMBERS) as started:
        for upstream in started.upstreams:
            upstream.on_start = functools.partial(_enter, started, upstream)
        yield started


def _enter(fleet: fleets.Fleet, upstream: upstreams.Upstream) -> None:
    fleet.store.put('servers', upstream.id, upstream.row())


class _Callers(threading.Thread):
    """Callers of one kind, one request after another, no two alike.

    Args:
        fleet: gateways, which they reach in turn.
        middle: parts of their prompts between the first and the last one;
            sound ones have one of three, or none.
        pause: seconds between two requests.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        middle: collections.abc.Sequence[str],
        pause: float,
    ) -> None:
        super().__init__()
        self._fleet = fleet
        self._middle = middle
        self._pause = pause
        self._source = random.Random(len(middle))
        self.answers: list[tuple[float, fleets.Answer]] = []
        self.is_over = False

    def run(self) -> None:
        """Send until told to stop."""
        while not self.is_over:
            at = time.monotonic()
            try:
                self.answers.append((at, self._ask(next(fleets.IDS))))
            except ConnectionError:
                # The gateway is down; its callers go elsewhere.
                pass
            time.sleep(self._pause)

    def _ask(self, number: int) -> fleets.Answer:
        middle = self._middle
        if not middle and self._source.random() < 0.5:
            middle = [f'{self._source.randrange(1, 4):04x}']
        parts = ['aa:200', *(f'{part}:300' for part in middle)]
        return self._fleet.ask(
            _PATHS[number % 2],
            vm=number % len(self._fleet.vms),
            body=b'%d' % number,
            X_Galenahatch_Prompt_Prefix=','.join([*parts, f'{number:x}:500']),
        )

    def served(self, since: float, until: float) -> float:
        """Return the share that was served at the first attempt."""
        served = [a.served for at, a in self.answers if since <= at < until]
        return sum(served) / len(served)


def _ends(fleet: fleets.Fleet) -> list[float]:
    return sorted(at for one in fleet.upstreams for at in one.crashed_at)


def _arrivals(fleet: fleets.Fleet, since: float) -> int:
    """Return how often a harmful request reached an engine."""
    return sum(
        f'{upstreams.HARMFUL}:' in seen.told('prompt-prefix')
        and seen.at > since
        for upstream in fleet.upstreams
        for seen in upstream.seen
    )


def _run(
    fleet: fleets.Fleet,
    kinds: collections.abc.Sequence[collections.abc.Sequence[str]],
    course: collections.abc.Callable[[], None],
) -> tuple[_Callers, float]:
    """Run sound callers beside harmful ones until all gateways must know.

    Args:
        kinds: middle parts of the prompts of each kind of harmful request.
        course: what happens besides, once gateways must know.

    Returns:
        The sound callers, and the time from which gateways must know.
    """
    sound = [_Callers(fleet, (), 0.02) for _ in range(4)]
    harmful = [_Callers(fleet, kind, 0.05) for kind in kinds]
    for caller in sound:
        caller.start()
    time.sleep(_WARM_UP_S)
    for caller in harmful:
        caller.start()
    try:
        fleets.eventually(lambda: _ends(fleet), 'an engine ends')
        time.sleep(_CONTACT_S)
        ends = _ends(fleet)
        known_at = ends[min(len(ends), _ENDS) - 1] + _CONTACT_S
        time.sleep(max(0.0, known_at - time.monotonic()))
        course()
        time.sleep(_OBSERVED_S)
    finally:
        for caller in (*sound, *harmful):
            caller.is_over = True
        for caller in (*sound, *harmful):
            caller.join()
    for caller in sound[1:]:
        sound[0].answers += caller.answers
    return sound[0], known_at


# Guards against requests with one harmful part, otherwise all different, that
# end engine after engine, and against refusing sound ones that share the rest.
@pytest.mark.parametrize(
    'kinds',
    [
        pytest.param([(upstreams.HARMFUL,)], id='alone'),
        pytest.param(
            [('0001', upstreams.HARMFUL), (upstreams.HARMFUL, '0002')],
            id='beside shared parts',
        ),
        pytest.param(
            [(upstreams.HARMFUL, 'cc'), (upstreams.HARMFUL, 'dd')],
            id='beside parts of its own',
        ),
    ],
)
def test_harmful_part_is_found(
    fleet: fleets.Fleet, kinds: list[tuple[str, ...]]
) -> None:
    """Few engines end; sound requests are served as before."""
    began = time.monotonic()
    sound, known_at = _run(fleet, kinds, lambda: None)
    assert _arrivals(fleet, known_at) <= _MORE, len(_ends(fleet))
    before = sound.served(began, began + _WARM_UP_S)
    after = sound.served(known_at, time.monotonic())
    assert after >= 0.9 * before


# Guards against the same once all gateways have been killed.
def test_harmful_part_is_known_after_restarts(fleet: fleets.Fleet) -> None:
    """It is kept in the store; sound requests are served again."""

    def restart() -> None:
        for vm in fleet.vms:
            vm.kill()
        for vm in fleet.vms:
            vm.start()
        for vm in fleet.vms:
            fleets.eventually(vm.ready, f'{vm.address} is ready', 40)

    sound, known_at = _run(fleet, [(upstreams.HARMFUL,)], restart)
    assert _arrivals(fleet, known_at) <= _MORE, len(_ends(fleet))
    last = time.monotonic() - 0.8 * _OBSERVED_S
    assert sound.served(last, time.monotonic()) >= 0.9
