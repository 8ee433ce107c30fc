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

"""Ways to keep a customer's quota over many gateways, in virtual time.

Plays the product's buckets (`core/quotas`) at each gateway, with beats that
take time and are lost, while gateways are killed, cut off or suspended.
Compared are:

- `owner`: the owner counts generations, gateways count plain calls;
- `told`: each gateway counts all alone, against the levels that were told;
- `parts`: each gateway has a fixed part of the quota, and tells nothing.

Shows by how much a window exceeded the bound, the share that was refused
though the limit allowed it, and the bytes that beats carried for it.
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

STEP: typing.Final = 0.01
"""Seconds between two looks at the clock."""
NAME: typing.Final = ids.CustomerName('customer')
_ENTRY_BYTES: typing.Final = len(NAME) + 11
"""One level or one usage in a beat."""
_CALL: typing.Final = 200.0
"""Units of a plain call."""
_STARTING: typing.Final = 2.0
"""As `gateway/mesh` has it."""
BOUND: typing.Final = quotas.Bound(8.0, 0.1, 120_000.0)


class Way(enum.Enum):
    """Who counts."""

    OWNER = 'owner'
    TOLD = 'told'
    PARTS = 'parts'


@dataclasses.dataclass(frozen=True)
class Load:
    """What one customer asks for.

    Attributes:
        rate: units a second of its quota; the burst is one second of it.
        usual: part of the rate that it uses usually.
        hot_x: times its usual from `hot_from` to `hot_until`.
        at_one: whether all comes to one gateway.
        calls: part of the units that plain calls make up.
    """

    rate: float = 116_325.0
    usual: float = 1 / 1.8
    hot_x: float = 1.0
    hot_from: float = 4.0
    hot_until: float = 16.0
    at_one: bool = False
    calls: float = 0.08

    @property
    def quota(self) -> customers.Quota:
        """The customer's quota."""
        return customers.Quota(self.rate, self.rate)


@dataclasses.dataclass(frozen=True)
class Fault:
    """Something that happens to gateways.

    Attributes:
        kind: `kill`, `cut` or `suspend`.
        at: seconds from the start.
        lasts: seconds.
        share: of the gateways; the first ones for `kill` and `suspend`,
            the last ones for `cut`.
        apart: whether those that are cut can't reach each other either.
    """

    kind: str
    at: float
    lasts: float
    share: float
    apart: bool = True

    def active(self, now: float) -> bool:
        """Return whether it lasts."""
        return self.at <= now < self.at + self.lasts


@dataclasses.dataclass
class Result:
    """What came of a run.

    Attributes:
        worst: units of the fullest window, by the bound on a window.
        refused: share of what the limit allowed that was refused.
        bytes_a_second: that beats carried, for each gateway.
        granted: units that ran.
    """

    worst: float
    refused: float
    bytes_a_second: float
    granted: float


class _Gateway:
    """One gateway's knowledge."""

    def __init__(
        self,
        number: int,
        load: Load,
        bound: quotas.Bound,
        now: float,
        source: random.Random,
    ) -> None:
        self.number = number
        self.order = number
        self.group = 0
        self.is_up = True
        self.quotas = quotas.Quotas[ids.CustomerName](bound, source)
        self.set_quota(load.quota, now)
        self.began_at = now
        self.beats_at = now + source.random() * members.HEARTBEAT_INTERVAL_S
        self.heard: dict[int, float] = {}

    def set_quota(self, quota: customers.Quota, now: float) -> None:
        customer = customers.Customer(NAME, frozenset(), quota=quota)
        self.quotas.configure({NAME: customer}, now)


class Fleet:
    """Gateways that keep the quota of one customer.

    Args:
        size: gateways.
        load: what the customer asks for.
        faults: that happen.
        way: who counts.
        seed: of all chance.
        loss: share of beats that is lost.
        bound: that all gateways together keep.
    """

    def __init__(
        self,
        size: int,
        load: Load,
        faults: collections.abc.Sequence[Fault] = (),
        way: Way = Way.OWNER,
        seed: int = 1,
        loss: float = 0.0,
        bound: quotas.Bound = BOUND,
    ) -> None:
        self._bound = bound
        self._load = load
        self._faults = faults
        self._way = way
        self._random = random.Random(seed)
        self._loss = loss
        self._size = size
        self._slower = max(1.0, size / members.FULL_RATE_MEMBERS)
        self.now = 0.0
        self._gateways = [
            _Gateway(number, load, bound, 0.0, self._random)
            for number in range(size)
        ]
        self._bytes = 0
        self._asked: list[tuple[float, float, bool]] = []
        self.quota = load.quota

    @property
    def refused(self) -> int:
        """Requests that were refused."""
        return sum(not ran for _, _, ran in self._asked)

    def change(self, quota: customers.Quota) -> None:
        """Configure another quota, at all gateways."""
        self.quota = quota
        for gateway in self._gateways:
            gateway.set_quota(quota, self.now)

    def run(self, until: float) -> None:
        """Go on to some moment."""
        while self.now < until:
            self.now += STEP
            self._apply_faults()
            for gateway in self._gateways:
                if gateway.is_up and gateway.beats_at <= self.now:
                    self._beat(gateway)
            self._arrivals()

    def _apply_faults(self) -> None:
        size = self._size
        down: set[int] = set()
        groups = [0] * size
        for fault in self._faults:
            if not fault.active(self.now):
                continue
            count = max(1, round(fault.share * size))
            if fault.kind != 'cut':
                down.update(range(count))
                continue
            for number in range(size - count, size):
                groups[number] = number if fault.apart else size
        for gateway in self._gateways:
            gateway.group = groups[gateway.number]
            is_up = gateway.number not in down
            if is_up and not gateway.is_up and self._was_killed(gateway):
                self._restart(gateway)
            gateway.is_up = is_up

    def _was_killed(self, gateway: _Gateway) -> bool:
        return any(
            fault.kind == 'kill'
            and gateway.number < max(1, round(fault.share * self._size))
            and fault.at <= self.now
            for fault in self._faults
        )

    def _restart(self, gateway: _Gateway) -> None:
        fresh = _Gateway(
            gateway.number, self._load, self._bound, self.now, self._random
        )
        fresh.group = gateway.group
        fresh.order = 1 + max(one.order for one in self._gateways)
        fresh.set_quota(self.quota, self.now)
        self._gateways[gateway.number] = fresh

    def _of(self, group: int) -> list[_Gateway]:
        """Return the gateways of a group, who decides first."""
        found = [g for g in self._gateways if g.is_up and g.group == group]
        return sorted(found, key=lambda gateway: gateway.order)

    def _beat(self, gateway: _Gateway) -> None:
        gateway.beats_at = (
            self.now + members.HEARTBEAT_INTERVAL_S * self._slower
        )
        if self._way is Way.PARTS:
            gateway.quotas.set_fraction(1 / self._size)
            return
        first = self._of(gateway.group)[:2]
        is_owner = first[0] is gateway
        part = self._part(gateway) if is_owner else 1.0
        gateway.quotas.set_fraction(part)
        self._tell(gateway)
        for other in first:
            if other is not gateway and self._random.random() >= self._loss:
                other.heard[gateway.number] = self.now

    def _tell(self, gateway: _Gateway) -> None:
        """Tell who decides, and who would next, what was used here."""
        if self._way is Way.PARTS:
            return
        untold = gateway.quotas.take_unreported()
        for other in self._of(gateway.group)[:2]:
            if other is gateway or self._random.random() < self._loss:
                continue
            other.quotas.record_remote_use(untold, self.now)
            low = other.quotas.low_levels(self.now)
            self._bytes += _ENTRY_BYTES * (len(untold) + len(low))
            if self._random.random() >= self._loss:
                gateway.quotas.merge_levels(low, self.now)

    def _part(self, gateway: _Gateway) -> float:
        if self.now - gateway.began_at < _STARTING:
            return 1.0
        since = self.now - members.liveness_window(self._slower)
        heard = sum(at >= since for at in gateway.heard.values())
        return min(1.0, (1 + heard) / self._size)

    def _arrivals(self) -> None:
        load = self._load
        is_hot = load.hot_from <= self.now < load.hot_until
        times = load.hot_x if is_hot else 1.0
        units = load.rate * load.usual * times * STEP
        for _ in range(self._poisson(units * load.calls / _CALL)):
            self._ask(_CALL)
        long = units * (1 - load.calls) / 10_000
        for _ in range(self._poisson(long)):
            size = self._random.lognormvariate(9.13, 0.4)
            self._ask(min(18_000.0, size))

    def _poisson(self, mean: float) -> int:
        count, left = 0, self._random.expovariate(1.0)
        while left < mean:
            count += 1
            left += self._random.expovariate(1.0)
        return count

    def _ask(self, units: float) -> None:
        up = [gateway for gateway in self._gateways if gateway.is_up]
        if not up:
            return
        gateway = up[0] if self._load.at_one else self._random.choice(up)
        is_local = self._way is not Way.OWNER or units == _CALL
        where = gateway if is_local else self._of(gateway.group)[0]
        denied = where.quotas.acquire(
            NAME, units, self.now, report_use=is_local
        )
        if is_local and where.quotas.must_report(NAME, self._size):
            self._tell(where)
        self._asked.append((self.now, units, denied is None))

    def result(self, since: float = 0.0) -> Result:
        """Return what came of all, by the quota in force now.

        Args:
            since: moment from which on windows are looked at.
        """
        granted = [
            (at, units)
            for at, units, ran in self._asked
            if ran and at >= since
        ]
        limit = self.quota.rate * self._bound.window + self.quota.burst
        bound = limit + self._bound.allowance(self.quota)
        return Result(
            worst=_fullest(granted, self._bound.window) / bound,
            refused=self._refused_within(),
            bytes_a_second=self._bytes / self.now / self._size,
            granted=sum(units for _, units in granted),
        )

    def _refused_within(self) -> float:
        level, filled_at = self.quota.burst, 0.0
        owed = refused = 0.0
        for at, units, ran in self._asked:
            came = self.quota.rate * (at - filled_at)
            level, filled_at = min(self.quota.burst, level + came), at
            if units <= level:
                level -= units
                owed += units
                refused += 0.0 if ran else units
        return refused / owed if owed else 0.0


def _fullest(
    granted: collections.abc.Iterable[tuple[float, float]], window: float
) -> float:
    """Return the units of the fullest window."""
    inside: collections.deque[tuple[float, float]] = collections.deque()
    total = worst = 0.0
    for at, units in granted:
        inside.append((at, units))
        total += units
        while inside[0][0] <= at - window:
            total -= inside.popleft()[1]
        worst = max(worst, total)
    return worst


SCENES: typing.Final[dict[str, tuple[Load, tuple[Fault, ...]]]] = {
    'usual': (Load(), ()),
    'hot over all': (Load(hot_x=7.5), ()),
    'hot at one': (Load(hot_x=7.5, at_one=True), ()),
    'small customer, hot': (Load(rate=29_000.0, hot_x=7.5), ()),
    'flood of calls': (Load(29_000.0, hot_x=50.0, calls=1.0), ()),
    'burst of 2.3': (Load(hot_x=2.3, hot_until=8.0), ()),
    'owner killed, hot': (Load(hot_x=7.5), (Fault('kill', 7.0, 3.0, 0.0),)),
    'two owners, hot': (
        Load(hot_x=7.5),
        (Fault('cut', 5.0, 9.0, 0.5, apart=False),),
    ),
    'third cut off, usual': (Load(), (Fault('cut', 5.0, 9.0, 0.35),)),
    'third cut off, hot': (
        Load(hot_x=7.5),
        (Fault('cut', 5.0, 9.0, 0.35),),
    ),
    'third cut off, small, hot': (
        Load(rate=29_000.0, hot_x=7.5),
        (Fault('cut', 5.0, 9.0, 0.35),),
    ),
    'all killed, hot': (Load(hot_x=7.5), (Fault('kill', 8.0, 1.0, 1.0),)),
    'all killed, usual': (Load(), (Fault('kill', 8.0, 1.0, 1.0),)),
    'owner suspended, hot': (
        Load(hot_x=7.5),
        (Fault('suspend', 7.0, 4.0, 0.0),),
    ),
}
SIZES: typing.Final = (6, 63, 195, 410)
_LASTS: typing.Final = 24.0


def main() -> None:
    """Print a table of all scenes, sizes and ways."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print('scene                     size  way    worst refused  B/s  us')
    for scene, (load, faults) in SCENES.items():
        for size in SIZES:
            for way in Way:
                began = time.process_time()
                runs = [
                    _play(size, load, faults, way, seed)
                    for seed in range(1, seeds + 1)
                ]
                spent = time.process_time() - began
                print(_row(scene, size, way, runs, spent / seeds), flush=True)


def _play(
    size: int, load: Load, faults: tuple[Fault, ...], way: Way, seed: int
) -> Result:
    fleet = Fleet(size, load, faults, way, seed, loss=0.01)
    fleet.run(_LASTS)
    return fleet.result()


def _row(
    scene: str, size: int, way: Way, runs: list[Result], seconds: float
) -> str:
    worst = max(run.worst for run in runs)
    refused = sum(run.refused for run in runs) / len(runs)
    told = sum(run.bytes_a_second for run in runs) / len(runs)
    return (
        f'{scene:25s} {size:4d}  {way.value:6s} {worst:.3f}   {refused:.3f}'
        f' {told:5.0f} {seconds:5.2f}'
    )


if __name__ == '__main__':
    main()
