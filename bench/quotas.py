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

"""Simulates methods to enforce a customer's quota over many gateways.

Each gateway has the product's token buckets (`core/quotas`). In virtual time,
heartbeats are delayed and lost, and gateways are killed, cut off or suspended.
The methods are:

- `owner`: the owner counts generations, gateways count plain calls;
- `told`: each gateway counts its own requests, against the reported levels;
- `parts`: each gateway has a fixed share of the quota and reports nothing.

Prints the fullest window relative to the bound, the share of requests within
the limit that were refused, and the bytes that heartbeats carried for it.
"""

import collections
import collections.abc
import dataclasses
import enum
import random
import sys
import time
import typing

from galenahatch.core import customers
from galenahatch.core import members
from galenahatch.core import quotas
from galenahatch import ids

STEP_S: typing.Final = 0.01
"""Seconds of virtual time for each step."""
CUSTOMER: typing.Final = ids.CustomerName('customer')
_ENTRY_BYTES: typing.Final = len(CUSTOMER) + 11
"""Size of one level or one usage in a heartbeat."""
_PLAIN_CALL_UNITS: typing.Final = 200.0
"""Units that a plain call costs."""
_STARTUP_S: typing.Final = 2.0
"""Seconds after its start in which an owner grants the whole quota: members
that are starting look like unreachable ones. As in `gateway/mesh`."""
BOUND: typing.Final = quotas.Bound(8.0, 0.1, 120_000.0)


class CountingMethod(enum.Enum):
    """Method to count the use of a quota."""

    OWNER = 'owner'
    REPORTED = 'told'
    FIXED_SHARE = 'parts'


@dataclasses.dataclass(frozen=True)
class Load:
    """The requests of one customer.

    Attributes:
        rate: quota in units a second; the burst is one second of it.
        usual_share: share of the rate that it usually requests.
        hot_factor: multiple of its usual load from `hot_from` to `hot_until`.
        hot_from: start of the hot period in seconds.
        hot_until: end of the hot period in seconds.
        uses_one_gateway: whether all requests arrive at one gateway.
        plain_call_share: share of the units that plain calls use.
    """

    rate: float = 116_325.0
    usual_share: float = 1 / 1.8
    hot_factor: float = 1.0
    hot_from: float = 4.0
    hot_until: float = 16.0
    uses_one_gateway: bool = False
    plain_call_share: float = 0.08

    @property
    def quota(self) -> customers.Quota:
        """The quota of the customer."""
        return customers.Quota(self.rate, self.rate)


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of some gateways.

    Attributes:
        kind: `kill`, `cut` or `suspend`.
        start_s: seconds from the start of the run.
        duration_s: duration in seconds.
        share: share of the gateways; the first ones for `kill` and
            `suspend`, the last ones for `cut`.
        isolates_each: whether gateways that are cut off can't reach each
            other either.
    """

    kind: str
    start_s: float
    duration_s: float
    share: float
    isolates_each: bool = True

    def is_active(self, now: float) -> bool:
        """Return whether the fault is active."""
        return self.start_s <= now < self.start_s + self.duration_s


@dataclasses.dataclass
class Result:
    """The result of a run.

    Attributes:
        peak_ratio: units of the fullest window, divided by the bound.
        refused: share of the units within the limit that were refused.
        heartbeat_bytes_per_s: bytes a second in heartbeats of each gateway.
        granted: units of the requests that ran.
    """

    peak_ratio: float
    refused: float
    heartbeat_bytes_per_s: float
    granted: float


class _Gateway:
    """The state of one gateway."""

    def __init__(
        self,
        number: int,
        load: Load,
        bound: quotas.Bound,
        now: float,
        rng: random.Random,
    ) -> None:
        self.number = number
        self.ownership_rank = number
        self.partition = 0
        self.is_up = True
        self.quotas = quotas.Quotas[ids.CustomerName](bound, rng)
        self.set_quota(load.quota, now)
        self.started_at = now
        self.next_heartbeat_at = (
            now + rng.random() * members.HEARTBEAT_INTERVAL_S
        )
        self.heartbeat_times: dict[int, float] = {}

    def set_quota(self, quota: customers.Quota, now: float) -> None:
        customer = customers.Customer(CUSTOMER, frozenset(), quota=quota)
        self.quotas.configure({CUSTOMER: customer}, now)


class Fleet:
    """Gateways that enforce the quota of one customer.

    Args:
        size: number of gateways.
        load: the requests of the customer.
        faults: faults to inject.
        method: who counts the use.
        seed: seed of all random numbers.
        loss: share of heartbeats that are lost.
        bound: bound that all gateways together observe.
    """

    def __init__(
        self,
        size: int,
        load: Load,
        faults: collections.abc.Sequence[Fault] = (),
        method: CountingMethod = CountingMethod.OWNER,
        seed: int = 1,
        loss: float = 0.0,
        bound: quotas.Bound = BOUND,
    ) -> None:
        self._bound = bound
        self._load = load
        self._faults = faults
        self._method = method
        self._random = random.Random(seed)
        self._loss = loss
        self._size = size
        self._interval_factor = max(1.0, size / members.FULL_RATE_MEMBERS)
        self.now = 0.0
        self._gateways = [
            _Gateway(number, load, bound, 0.0, self._random)
            for number in range(size)
        ]
        self._bytes = 0
        self._requests: list[tuple[float, float, bool]] = []
        self.quota = load.quota

    @property
    def refused(self) -> int:
        """Number of refused requests."""
        return sum(not is_granted for _, _, is_granted in self._requests)

    def set_quota(self, quota: customers.Quota) -> None:
        """Change the quota at all gateways."""
        self.quota = quota
        for gateway in self._gateways:
            gateway.set_quota(quota, self.now)

    def run(self, until: float) -> None:
        """Simulate up to a time in seconds."""
        while self.now < until:
            self.now += STEP_S
            self._apply_faults()
            for gateway in self._gateways:
                if gateway.is_up and gateway.next_heartbeat_at <= self.now:
                    self._send_heartbeat(gateway)
            self._generate_requests()

    def _apply_faults(self) -> None:
        size = self._size
        down: set[int] = set()
        groups = [0] * size
        for fault in self._faults:
            if not fault.is_active(self.now):
                continue
            count = max(1, round(fault.share * size))
            if fault.kind != 'cut':
                down.update(range(count))
                continue
            for number in range(size - count, size):
                groups[number] = number if fault.isolates_each else size
        for gateway in self._gateways:
            gateway.partition = groups[gateway.number]
            is_up = gateway.number not in down
            if is_up and not gateway.is_up and self._was_killed(gateway):
                self._restart(gateway)
            gateway.is_up = is_up

    def _was_killed(self, gateway: _Gateway) -> bool:
        return any(
            fault.kind == 'kill'
            and gateway.number < max(1, round(fault.share * self._size))
            and fault.start_s <= self.now
            for fault in self._faults
        )

    def _restart(self, gateway: _Gateway) -> None:
        restarted = _Gateway(
            gateway.number, self._load, self._bound, self.now, self._random
        )
        restarted.partition = gateway.partition
        restarted.ownership_rank = 1 + max(
            other.ownership_rank for other in self._gateways
        )
        restarted.set_quota(self.quota, self.now)
        self._gateways[gateway.number] = restarted

    def _partition_members(self, partition: int) -> list[_Gateway]:
        """Return the live gateways of a partition, with its owner first."""
        members_of_partition = [
            g for g in self._gateways if g.is_up and g.partition == partition
        ]
        return sorted(
            members_of_partition, key=lambda gateway: gateway.ownership_rank
        )

    def _send_heartbeat(self, gateway: _Gateway) -> None:
        gateway.next_heartbeat_at = (
            self.now + members.HEARTBEAT_INTERVAL_S * self._interval_factor
        )
        if self._method is CountingMethod.FIXED_SHARE:
            gateway.quotas.set_fraction(1 / self._size)
            return
        owners = self._partition_members(gateway.partition)[:2]
        is_owner = owners[0] is gateway
        fraction = self._quota_fraction(gateway) if is_owner else 1.0
        gateway.quotas.set_fraction(fraction)
        self._report_use(gateway)
        for other in owners:
            if other is not gateway and self._random.random() >= self._loss:
                other.heartbeat_times[gateway.number] = self.now

    def _report_use(self, gateway: _Gateway) -> None:
        """Report local use to the owner and its successor."""
        if self._method is CountingMethod.FIXED_SHARE:
            return
        unreported = gateway.quotas.take_unreported()
        for other in self._partition_members(gateway.partition)[:2]:
            if other is gateway or self._random.random() < self._loss:
                continue
            other.quotas.record_remote_use(unreported, self.now)
            low_levels = other.quotas.low_levels(self.now)
            self._bytes += _ENTRY_BYTES * (len(unreported) + len(low_levels))
            if self._random.random() >= self._loss:
                gateway.quotas.merge_levels(low_levels, self.now)

    def _quota_fraction(self, gateway: _Gateway) -> float:
        if self.now - gateway.started_at < _STARTUP_S:
            return 1.0
        since = self.now - members.liveness_window(self._interval_factor)
        heard_count = sum(
            at >= since for at in gateway.heartbeat_times.values()
        )
        return min(1.0, (1 + heard_count) / self._size)

    def _generate_requests(self) -> None:
        load = self._load
        is_hot = load.hot_from <= self.now < load.hot_until
        factor = load.hot_factor if is_hot else 1.0
        units = load.rate * load.usual_share * factor * STEP_S
        for _ in range(
            self._poisson(units * load.plain_call_share / _PLAIN_CALL_UNITS)
        ):
            self._request(_PLAIN_CALL_UNITS)
        mean_generations = units * (1 - load.plain_call_share) / 10_000
        for _ in range(self._poisson(mean_generations)):
            size = self._random.lognormvariate(9.13, 0.4)
            self._request(min(18_000.0, size))

    def _poisson(self, mean: float) -> int:
        count, left = 0, self._random.expovariate(1.0)
        while left < mean:
            count += 1
            left += self._random.expovariate(1.0)
        return count

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
        is_local = (
            self._method is not CountingMethod.OWNER
            or units == _PLAIN_CALL_UNITS
        )
        counting_gateway = (
            gateway
            if is_local
            else self._partition_members(gateway.partition)[0]
        )
        denied = counting_gateway.quotas.acquire(
            CUSTOMER, units, self.now, report_use=is_local
        )
        if is_local and counting_gateway.quotas.must_report(
            CUSTOMER, self._size
        ):
            self._report_use(counting_gateway)
        self._requests.append((self.now, units, denied is None))

    def result(self, since: float = 0.0) -> Result:
        """Return the result, relative to the current quota.

        Args:
            since: time in seconds; earlier requests are left out of windows.
        """
        granted = [
            (at, units)
            for at, units, is_granted in self._requests
            if is_granted and at >= since
        ]
        limit = self.quota.rate * self._bound.window + self.quota.burst
        bound = limit + self._bound.allowance(self.quota)
        return Result(
            peak_ratio=_peak_units(granted, self._bound.window) / bound,
            refused=self._refused_within(),
            heartbeat_bytes_per_s=self._bytes / self.now / self._size,
            granted=sum(units for _, units in granted),
        )

    def _refused_within(self) -> float:
        level, filled_at = self.quota.burst, 0.0
        allowed = refused = 0.0
        for at, units, is_granted in self._requests:
            refilled = self.quota.rate * (at - filled_at)
            level, filled_at = min(self.quota.burst, level + refilled), at
            if units <= level:
                level -= units
                allowed += units
                refused += 0.0 if is_granted else units
        return refused / allowed if allowed else 0.0


def _peak_units(
    granted: collections.abc.Iterable[tuple[float, float]], window: float
) -> float:
    """Return the units of the fullest window."""
    in_window: collections.deque[tuple[float, float]] = collections.deque()
    total = peak = 0.0
    for at, units in granted:
        in_window.append((at, units))
        total += units
        while in_window[0][0] <= at - window:
            total -= in_window.popleft()[1]
        peak = max(peak, total)
    return peak


SCENARIOS: typing.Final[dict[str, tuple[Load, tuple[Fault, ...]]]] = {
    'usual': (Load(), ()),
    'hot over all': (Load(hot_factor=7.5), ()),
    'hot at one': (Load(hot_factor=7.5, uses_one_gateway=True), ()),
    'small customer, hot': (Load(rate=29_000.0, hot_factor=7.5), ()),
    'flood of calls': (
        Load(29_000.0, hot_factor=50.0, plain_call_share=1.0),
        (),
    ),
    'burst of 2.3': (Load(hot_factor=2.3, hot_until=8.0), ()),
    'owner killed, hot': (
        Load(hot_factor=7.5),
        (Fault('kill', 7.0, 3.0, 0.0),),
    ),
    'two owners, hot': (
        Load(hot_factor=7.5),
        (Fault('cut', 5.0, 9.0, 0.5, isolates_each=False),),
    ),
    'third cut off, usual': (Load(), (Fault('cut', 5.0, 9.0, 0.35),)),
    'third cut off, hot': (
        Load(hot_factor=7.5),
        (Fault('cut', 5.0, 9.0, 0.35),),
    ),
    'third cut off, small, hot': (
        Load(rate=29_000.0, hot_factor=7.5),
        (Fault('cut', 5.0, 9.0, 0.35),),
    ),
    'all killed, hot': (Load(hot_factor=7.5), (Fault('kill', 8.0, 1.0, 1.0),)),
    'all killed, usual': (Load(), (Fault('kill', 8.0, 1.0, 1.0),)),
    'owner suspended, hot': (
        Load(hot_factor=7.5),
        (Fault('suspend', 7.0, 4.0, 0.0),),
    ),
}
SIZES: typing.Final = (6, 63, 195, 410)
_RUN_S: typing.Final = 24.0


def main() -> None:
    """Print a table of all scenarios, sizes and methods."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print('scene                     size  way    worst refused  B/s  us')
    for scenario, (load, faults) in SCENARIOS.items():
        for size in SIZES:
            for method in CountingMethod:
                started_at = time.process_time()
                runs = [
                    _simulate(size, load, faults, method, seed)
                    for seed in range(1, seeds + 1)
                ]
                cpu_s = time.process_time() - started_at
                print(
                    _row(scenario, size, method, runs, cpu_s / seeds),
                    flush=True,
                )


def _simulate(
    size: int,
    load: Load,
    faults: tuple[Fault, ...],
    method: CountingMethod,
    seed: int,
) -> Result:
    fleet = Fleet(size, load, faults, method, seed, loss=0.01)
    fleet.run(_RUN_S)
    return fleet.result()


def _row(
    scenario: str,
    size: int,
    method: CountingMethod,
    runs: list[Result],
    seconds: float,
) -> str:
    peak = max(run.peak_ratio for run in runs)
    refused = sum(run.refused for run in runs) / len(runs)
    heartbeat_bytes = sum(run.heartbeat_bytes_per_s for run in runs) / len(
        runs
    )
    return (
        f'{scenario:25s} {size:4d}  {method.value:6s} {peak:.3f}'
        f'   {refused:.3f} {heartbeat_bytes:5.0f} {seconds:5.2f}'
    )


if __name__ == '__main__':
    main()
