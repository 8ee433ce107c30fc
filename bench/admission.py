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

"""Compares who decides on the plain calls of a contended service.

Runs `bench/callfleet`: three upstreams that complete 300 calls a second of 60
ms, each with a queue of 24; half of the capacity is used before and after a
burst of 3 s. The methods are:

- `alone`: each gateway sends to the upstream with the least reported load;
- `limited`: the same, but it rejects what it expects to be late;
- `levels`: the same, with the loads that all gateways tell the owner and get
  back with their heartbeats;
- `grants`: the owner grants each send while the service is contended.

Prints, for the calls of the burst: answers in time, of what the upstreams can
complete; the part of them that needed no return; the shares answered late and
not at all; sends for each call; messages a second between gateways; and the
share in time from 2 s after the burst on.
"""

import collections.abc
import dataclasses
import sys
import typing

from bench import callfleet
from bench import callservice

_CAPACITY: typing.Final = 300.0
_START_S: typing.Final = 2.0
_END_S: typing.Final = 5.0
_RUN_S: typing.Final = 11.0
SIZES: typing.Final = (6, 74, 195, 410)
FACTORS: typing.Final = (1.2, 2.0, 3.0)
_FAULT_SIZES: typing.Final = (74, 410)
_SUCCESSION_S: typing.Final = 0.8
"""Seconds after which a successor decides: `members.SILENCE_TIMEOUT_S`."""
_SPELL_S: typing.Final = 0.6
_SPELL_SHARE: typing.Final = 0.15
_SPELL_SLOWDOWN: typing.Final = 2.5

Fault = collections.abc.Callable[[callfleet.Fleet], None]


@dataclasses.dataclass(frozen=True)
class Row:
    """Result of one run."""

    in_time: float
    first: float
    late: float
    refused: float
    sends: float
    messages: float
    after: float


def _no_fault(fleet: callfleet.Fleet) -> None:
    """Inject nothing."""


def _kill_owner(fleet: callfleet.Fleet) -> None:
    def kill() -> None:
        fleet.owners[-1].is_up = False

    fleet.at(3.0, kill)
    fleet.at(3.0 + _SUCCESSION_S, fleet.add_owner)


def _suspend_owner(fleet: callfleet.Fleet) -> None:
    """Suspend the owner for 3 s; it decides again once the others hear it."""

    def suspend() -> None:
        fleet.owners[-1].suspended_until = fleet.now + 3.0

    def resume() -> None:
        fleet.owners.reverse()

    fleet.at(3.0, suspend)
    fleet.at(3.0 + _SUCCESSION_S, fleet.add_owner)
    fleet.at(6.0, resume)


def _split(fleet: callfleet.Fleet) -> None:
    """Let two owners decide for half of the gateways each."""

    def split() -> None:
        fleet.add_owner()
        fleet.split = True

    fleet.at(2.5, split)


def _slow_spells(fleet: callfleet.Fleet) -> None:
    """Slow down each upstream in some of its spells."""
    for engine in fleet.engines.values():
        is_slow = fleet.random.random() < _SPELL_SHARE
        engine.slowdown = _SPELL_SLOWDOWN if is_slow else 1.0
    fleet.at(_SPELL_S, lambda: _slow_spells(fleet))


FAULTS: typing.Final[dict[str, Fault]] = {
    'owner killed': _kill_owner,
    'owner suspended': _suspend_owner,
    'two owners': _split,
    'slow spells': _slow_spells,
}


def simulate(
    size: int,
    factor: float,
    method: callfleet.Method,
    fault: Fault = _no_fault,
    seed: int = 1,
) -> Row:
    """Return the result of a burst."""
    sources = [
        callservice.Source(0.5 * _CAPACITY, 0.0, _START_S),
        callservice.Source(factor * _CAPACITY, _START_S, _END_S),
        callservice.Source(0.5 * _CAPACITY, _END_S, _RUN_S - 2),
    ]
    fleet = callfleet.Fleet(size, sources, method, seed)
    fault(fleet)
    fleet.run(_RUN_S)
    burst = [r for r in fleet.requests if _START_S <= r.first_at < _END_S]
    answered = [
        r
        for r in fleet.requests
        if r.in_time and _START_S <= (r.answered_at or 0.0) < _END_S
    ]
    capacity = _CAPACITY * (_END_S - _START_S)
    count = len(burst)
    return Row(
        len(answered) / capacity,
        sum(r.attempts == 1 for r in answered) / capacity,
        sum(r.answered_at is not None and not r.in_time for r in burst)
        / count,
        sum(r.answered_at is None for r in burst) / count,
        sum(r.sends for r in burst) / count,
        fleet.messages / _RUN_S,
        fleet.in_time(_END_S + 2, _RUN_S - 2),
    )


def _print_row(
    scene: str,
    size: int,
    method: callfleet.Method,
    fault: Fault,
    factor: float,
    seeds: int,
) -> None:
    rows = [
        simulate(size, factor, method, fault, seed)
        for seed in range(1, seeds + 1)
    ]
    means = [
        sum(values) / seeds
        for values in zip(*map(dataclasses.astuple, rows), strict=True)
    ]
    columns = ' | '.join(f'{value:.2f}' for value in means[:5])
    print(
        f'| {scene} | {size} | {method.value} | {columns} | {means[5]:.0f}'
        f' | {means[6]:.2f} |',
        flush=True,
    )


def main() -> None:
    """Print a table of all scenes, sizes and methods."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print(
        '| scene | gateways | method | in time | without return | late'
        ' | refused | sends | messages/s | after |'
    )
    print('|---|---|---|---|---|---|---|---|---|---|')
    for factor in FACTORS:
        for size in SIZES:
            for method in callfleet.Method:
                scene = f'burst of {factor:g}'
                _print_row(scene, size, method, _no_fault, factor, seeds)
    for scene, fault in FAULTS.items():
        for size in _FAULT_SIZES:
            for method in callfleet.Method:
                _print_row(scene, size, method, fault, 2.0, seeds)


if __name__ == '__main__':
    main()
