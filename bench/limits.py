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

"""Ways to keep the rate that an upstream names over many gateways.

Plays the product's buckets (`core/quotas`) in virtual time, as `bench/quotas`
does. Compared are:

- `owner`: a gateway asks the owner before each request;
- `told`: each gateway counts all alone, against the levels that were told;
- `parts`: each gateway has a fixed part of the rate, and tells nothing.

Shows the fullest window by what the upstream allows, the share of the rate
that was used while more was asked for, and the questions to the owner a
second.
"""

import collections.abc
import dataclasses
import sys
import typing

from bench import quotas as fleets
from galenahatch.core import customers
from galenahatch.core import ratelimits

_LASTS: typing.Final = 20.0
_FROM: typing.Final = 3.0
"""Seconds after the first naming from which on the bound holds."""


@dataclasses.dataclass(frozen=True)
class Load(fleets.Load):
    """Requests that would go to one upstream.

    Attributes:
        rate: requests a second that it takes.
        hot_x: times that rate which is asked for.
    """

    rate: float = 2.6
    usual: float = 1.0
    hot_x: float = 10.0
    hot_from: float = 0.0
    hot_until: float = 1e9

    @property
    def quota(self) -> customers.Quota:
        """What the upstream takes."""
        return customers.Quota(self.rate, 0.0)


class Fleet(fleets.Fleet):
    """Gateways before one upstream that names a rate.

    Args:
        size: gateways.
        load: requests that would go there.
        faults: that happen.
        way: who counts.
        seed: of all chance.
    """

    def __init__(
        self,
        size: int,
        load: Load,
        faults: collections.abc.Sequence[fleets.Fault] = (),
        way: fleets.Way = fleets.Way.OWNER,
        seed: int = 1,
    ) -> None:
        super().__init__(size, load, faults, way, seed, 0.01, ratelimits.BOUND)
        self._held_until: dict[int, float] = {}
        self.questions = 0

    def _arrivals(self) -> None:
        wanted = self._load.rate * self._load.hot_x * fleets.STEP
        for _ in range(self._poisson(wanted)):
            self._ask(1.0)

    def _ask(self, units: float) -> None:
        up = [gateway for gateway in self._gateways if gateway.is_up]
        if not up:
            return
        gateway = up[0] if self._load.at_one else self._random.choice(up)
        if self._way is not fleets.Way.OWNER:
            denied = gateway.quotas.acquire(
                fleets.NAME, units, self.now, report_use=True
            )
            if gateway.quotas.must_report(fleets.NAME, self._size):
                self._tell(gateway)
        elif self.now < self._held_until.get(gateway.number, 0.0):
            return
        else:
            self.questions += 1
            owner = self._of(gateway.group)[0]
            denied = owner.quotas.acquire(fleets.NAME, units, self.now)
            if denied is not None:
                self._held_until[gateway.number] = (
                    self.now
                    + ratelimits.retry_delay(
                        denied.retry_after or 0.0, self._size
                    )
                )
        self._asked.append((self.now, units, denied is None))


SCENES: typing.Final[dict[str, tuple[Load, tuple[fleets.Fault, ...]]]] = {
    'ten times the rate': (Load(), ()),
    'twice the rate': (Load(hot_x=2.0), ()),
    'as much as the rate': (Load(hot_x=1.0), ()),
    'all at one': (Load(at_one=True), ()),
    'rate of 40': (Load(rate=40.0, hot_x=5.0), ()),
    'rate of 0.25': (Load(rate=0.25, hot_x=100.0), ()),
    'owner killed': (Load(), (fleets.Fault('kill', 7.0, 3.0, 0.0),)),
    'owner suspended': (Load(), (fleets.Fault('suspend', 7.0, 4.0, 0.0),)),
    'third cut off': (Load(), (fleets.Fault('cut', 5.0, 9.0, 0.35),)),
    'two owners': (
        Load(),
        (fleets.Fault('cut', 5.0, 9.0, 0.5, apart=False),),
    ),
    'all killed': (Load(), (fleets.Fault('kill', 8.0, 1.0, 1.0),)),
}


def play(
    size: int,
    load: Load,
    faults: collections.abc.Sequence[fleets.Fault] = (),
    way: fleets.Way = fleets.Way.OWNER,
    seed: int = 1,
) -> tuple[float, float, float]:
    """Return the fullest window, the share used, and questions a second."""
    fleet = Fleet(size, load, faults, way, seed)
    fleet.run(_LASTS)
    result = fleet.result(since=_FROM)
    owed = load.rate * min(1.0, load.hot_x) * (_LASTS - _FROM)
    return result.worst, result.granted / owed, fleet.questions / _LASTS


def main() -> None:
    """Print a table of all scenes, sizes and ways."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print('scene                     size  way    worst  used  asked')
    for scene, (load, faults) in SCENES.items():
        for size in fleets.SIZES:
            for way in fleets.Way:
                runs = [
                    play(size, load, faults, way, seed)
                    for seed in range(1, seeds + 1)
                ]
                worst = max(run[0] for run in runs)
                used = sum(run[1] for run in runs) / seeds
                asked = sum(run[2] for run in runs) / seeds
                print(
                    f'{scene:25s} {size:4d}  {way.value:6s} {worst:.2f}'
                    f'   {used:.2f} {asked:6.1f}',
                    flush=True,
                )


if __name__ == '__main__':
    main()
