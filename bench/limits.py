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

"""Simulates methods to enforce an upstream's rate limit over many gateways.

Runs the product's token buckets (`core/quotas`) in virtual time, as
`bench/quotas` does. The methods are:

- `owner`: a gateway asks the owner before each request;
- `told`: each gateway counts its own requests, against the reported levels;
- `parts`: each gateway has a fixed share of the rate and reports nothing.

Prints the fullest window relative to the limit of the upstream, the share of
the limit that was used while demand exceeded it, and the requests a second to
the owner.
"""

import collections.abc
import dataclasses
import sys
import typing

from bench import quotas as fleets
from galenahatch.core import customers
from galenahatch.core import ratelimits

_RUN_S: typing.Final = 20.0
_MEASURE_FROM_S: typing.Final = 3.0
"""Seconds after the upstream first states its limit; then the bound holds."""


@dataclasses.dataclass(frozen=True)
class Load(fleets.Load):
    """The demand for one upstream.

    Attributes:
        rate: rate limit in requests a second.
        hot_factor: demand as a multiple of the rate limit.
    """

    rate: float = 2.6
    usual_share: float = 1.0
    hot_factor: float = 10.0
    hot_from: float = 0.0
    hot_until: float = 1e9

    @property
    def quota(self) -> customers.Quota:
        """The rate limit as a quota without a burst."""
        return customers.Quota(self.rate, 0.0)


class Fleet(fleets.Fleet):
    """Gateways in front of one upstream with a rate limit.

    Args:
        size: number of gateways.
        load: the demand.
        faults: faults to inject.
        method: who counts the use.
        seed: seed of all random numbers.
    """

    def __init__(
        self,
        size: int,
        load: Load,
        faults: collections.abc.Sequence[fleets.Fault] = (),
        method: fleets.CountingMethod = fleets.CountingMethod.OWNER,
        seed: int = 1,
    ) -> None:
        super().__init__(
            size, load, faults, method, seed, 0.01, ratelimits.BOUND
        )
        self._retry_at: dict[int, float] = {}
        self.owner_requests = 0

    def _generate_requests(self) -> None:
        expected_requests = (
            self._load.rate * self._load.hot_factor * fleets.STEP_S
        )
        for _ in range(self._poisson(expected_requests)):
            self._request(1.0)

    def _request(self, units: float) -> None:
        live_gateways = [
            gateway for gateway in self._gateways if gateway.is_up
        ]
        if not live_gateways:
            return
        gateway = (
            live_gateways[0]
            if self._load.uses_one_gateway
            else self._random.choice(live_gateways)
        )
        if self._method is not fleets.CountingMethod.OWNER:
            denied = gateway.quotas.acquire(
                fleets.CUSTOMER, units, self.now, report_use=True
            )
            if gateway.quotas.must_report(fleets.CUSTOMER, self._size):
                self._report_use(gateway)
        elif self.now < self._retry_at.get(gateway.number, 0.0):
            return
        else:
            self.owner_requests += 1
            owner = self._partition_members(gateway.partition)[0]
            denied = owner.quotas.acquire(fleets.CUSTOMER, units, self.now)
            if denied is not None:
                self._retry_at[gateway.number] = (
                    self.now
                    + ratelimits.retry_delay(
                        denied.retry_after or 0.0, self._size
                    )
                )
        self._requests.append((self.now, units, denied is None))


SCENARIOS: typing.Final[dict[str, tuple[Load, tuple[fleets.Fault, ...]]]] = {
    'ten times the rate': (Load(), ()),
    'twice the rate': (Load(hot_factor=2.0), ()),
    'as much as the rate': (Load(hot_factor=1.0), ()),
    'all at one': (Load(uses_one_gateway=True), ()),
    'rate of 40': (Load(rate=40.0, hot_factor=5.0), ()),
    'rate of 0.25': (Load(rate=0.25, hot_factor=100.0), ()),
    'owner killed': (Load(), (fleets.Fault('kill', 7.0, 3.0, 0.0),)),
    'owner suspended': (Load(), (fleets.Fault('suspend', 7.0, 4.0, 0.0),)),
    'third cut off': (Load(), (fleets.Fault('cut', 5.0, 9.0, 0.35),)),
    'two owners': (
        Load(),
        (fleets.Fault('cut', 5.0, 9.0, 0.5, isolates_each=False),),
    ),
    'all killed': (Load(), (fleets.Fault('kill', 8.0, 1.0, 1.0),)),
}


def simulate(
    size: int,
    load: Load,
    faults: collections.abc.Sequence[fleets.Fault] = (),
    method: fleets.CountingMethod = fleets.CountingMethod.OWNER,
    seed: int = 1,
) -> tuple[float, float, float]:
    """Return the peak ratio, the share used, and owner requests a second."""
    fleet = Fleet(size, load, faults, method, seed)
    fleet.run(_RUN_S)
    result = fleet.result(since=_MEASURE_FROM_S)
    allowed = (
        load.rate * min(1.0, load.hot_factor) * (_RUN_S - _MEASURE_FROM_S)
    )
    return (
        result.peak_ratio,
        result.granted / allowed,
        fleet.owner_requests / _RUN_S,
    )


def main() -> None:
    """Print a table of all scenarios, sizes and methods."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print('scene                     size  way    worst  used  asked')
    for scenario, (load, faults) in SCENARIOS.items():
        for size in fleets.SIZES:
            for method in fleets.CountingMethod:
                runs = [
                    simulate(size, load, faults, method, seed)
                    for seed in range(1, seeds + 1)
                ]
                peak = max(run[0] for run in runs)
                used = sum(run[1] for run in runs) / seeds
                asked = sum(run[2] for run in runs) / seeds
                print(
                    f'{scenario:25s} {size:4d}  {method.value:6s} {peak:.2f}'
                    f'   {used:.2f} {asked:6.1f}',
                    flush=True,
                )


if __name__ == '__main__':
    main()
