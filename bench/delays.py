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

"""Compares ways to choose an upstream of a plain service, in virtual time.

Upstreams differ in speed, have moments in which work takes longer, and serve a
bounded queue in order. The ways are:

- `count`: requests over slots, as for upstreams that state no slowdown;
- `delay, all`: the least expected delay of all (`core/expecteddelay`);
- `delay, two`: the product's rule, the better of two random upstreams, those
  of the own data centre first while they are in time;
- `hot-cold`: Prequal's rule: of the upstreams without exceptionally many
  requests, the one with the least recent latency.

What a gateway knows of an upstream is some time old. Prints the share of the
calls that were in time, and quantiles of the latency of those answered.
"""

import bisect
import collections
import collections.abc
import dataclasses
import enum
import heapq
import itertools
import random
import statistics
import sys
import typing

from galenahatch.core import balance
from galenahatch.core import loadreports
from galenahatch.core import upstreams
from galenahatch import ids

WORK_S: typing.Final = 0.06
_SLOTS: typing.Final = 6
_QUEUE: typing.Final = 24
_OBJECTIVE_S: typing.Final = 0.31
_SPEEDS: typing.Final = (0.55, 1.2, 1.2)
SLOWDOWN: typing.Final = 2.5
_SPELL_S: typing.Final = 0.6
_SPELL_SHARE: typing.Final = 0.15
_DATA_CENTRES: typing.Final = ('a', 'b', 'c')
REMOTE_S: typing.Final = 0.0028
"""Round trip to another data centre."""
_HOT_QUANTILE: typing.Final = 0.84
_LATENCY_SMOOTHING: typing.Final = 0.2
_MEASURE_FROM_S: typing.Final = 3.0
SIZES: typing.Final = ((6, 3, 18.0), (74, 3, 18.0), (410, 24, 6.0))
"""Gateways, upstreams and seconds of a run."""
LOADS: typing.Final = (0.6, 0.9)
"""Demand as a share of what the upstreams complete."""
STALENESS_S: typing.Final = (0.0, 0.1, 0.3, 1.0)


class Method(enum.Enum):
    """Way to choose an upstream."""

    COUNT = 'count'
    DELAY_ALL = 'delay, all'
    DELAY_TWO = 'delay, two'
    HOT_COLD = 'hot-cold'


class Server:
    """An upstream with slots, a bounded queue and slow moments.

    Args:
        upstream: Upstream as the gateways know it.
        speed: Work done in a second without slow moments.
        source: Random source of the slow moments.
    """

    def __init__(
        self,
        upstream: upstreams.Upstream,
        speed: float,
        source: random.Random,
    ) -> None:
        self.upstream = upstream
        self.speed = speed
        self._random = source
        self._spells: list[float] = []
        self._history: list[tuple[float, int]] = [(-1e9, 0)]
        self.running = 0
        self.queue: collections.deque[_Call] = collections.deque()

    def slowdown(self, at: float) -> float:
        """Return the slowdown at some time."""
        while not self._spells or self._spells[-1] + _SPELL_S <= at:
            gap = _SPELL_S * (1 / _SPELL_SHARE - 1)
            begin = self._random.expovariate(1 / gap)
            if self._spells:
                begin += self._spells[-1] + _SPELL_S
            self._spells.append(begin)
        index = bisect.bisect_right(self._spells, at) - 1
        is_slow = index >= 0 and at < self._spells[index] + _SPELL_S
        return SLOWDOWN if is_slow else 1.0

    def finish(self, now: float) -> float:
        """Return the time at which a call that starts now ends."""
        left = WORK_S
        step = 0.005
        while left > 0:
            done = step * self.speed / self.slowdown(now)
            if done >= left:
                return now + step * left / done
            left -= done
            now += step
        return now

    def note(self, now: float) -> None:
        """Note the number of requests, for reports."""
        self._history.append((now, self.running + len(self.queue)))

    def report(self, at: float) -> loadreports.LoadReport:
        """Return the report as of some time."""
        index = bisect.bisect_right(self._history, (at, 1 << 30)) - 1
        total = self._history[index][1]
        running = min(_SLOTS, total)
        return loadreports.LoadReport(
            running, total - running, _SLOTS, self.slowdown(max(0.0, at))
        )


@dataclasses.dataclass
class _Gateway:
    data_centre: ids.DataCentre
    loads: loadreports.Loads
    balancer: balance.Balancer
    latencies: dict[ids.UpstreamId, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass
class _Call:
    gateway: _Gateway
    server: Server
    sent_at: float


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Share of the calls in time, and quantiles of latency in seconds."""

    in_time: float
    median: float
    high: float
    by_upstream: dict[ids.UpstreamId, int]


class Fleet:
    """Gateways before the upstreams of one service.

    Args:
        size: Number of gateways.
        speeds: Speed of each upstream.
        load: Demand as a share of what the upstreams complete.
        staleness: Age in seconds of what a gateway knows.
        method: Way to choose an upstream.
        seed: Seed of all random numbers.
    """

    def __init__(
        self,
        size: int,
        speeds: collections.abc.Sequence[float],
        load: float,
        staleness: float,
        method: Method,
        seed: int = 1,
    ) -> None:
        self._random = random.Random(seed)
        self._method = method
        self._staleness = staleness
        self.servers = {}
        for number, speed in enumerate(speeds):
            upstream = _upstream(number)
            self.servers[upstream.id] = Server(
                upstream, speed, random.Random(f'{seed} {number}')
            )
        self.listed = [server.upstream for server in self.servers.values()]
        mean_slowdown = 1 + (SLOWDOWN - 1) * _SPELL_SHARE
        capacity = _SLOTS * sum(speeds) / WORK_S / mean_slowdown
        self._rate = load * capacity
        self._gateways = [
            self._gateway(number, seed) for number in range(size)
        ]
        self._events: list[tuple[float, int, _Call | None]] = []
        self._numbers = itertools.count()
        self._seconds: list[float] = []
        self._calls = 0
        self._chosen: dict[ids.UpstreamId, int] = collections.Counter()

    def _gateway(self, number: int, seed: int) -> _Gateway:
        data_centre = ids.DataCentre(_DATA_CENTRES[number % 3])
        loads = loadreports.Loads()
        known = loadreports.Loads() if self._method is Method.COUNT else loads
        balancer = balance.Balancer(
            random.Random(f'{seed} gateway {number}'), data_centre, known
        )
        return _Gateway(data_centre, loads, balancer)

    @property
    def balancers(self) -> list[balance.Balancer]:
        """The balancer of each gateway."""
        return [gateway.balancer for gateway in self._gateways]

    def run(self, seconds: float) -> Outcome:
        """Return what came of the calls of some seconds."""
        self._push(0.0, None)
        while self._events:
            now, _, call = heapq.heappop(self._events)
            if call is not None:
                self._end(call, now)
            elif now < seconds:
                self._push(now + self._random.expovariate(self._rate), None)
                self._arrive(now)
        self._seconds.sort()
        answered = self._seconds or [0.0]
        in_time = sum(s <= _OBJECTIVE_S for s in self._seconds)
        return Outcome(
            in_time / max(1, self._calls),
            statistics.median(answered),
            answered[int(0.99 * (len(answered) - 1))],
            dict(self._chosen),
        )

    def _push(self, at: float, call: _Call | None) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), call))

    def _arrive(self, now: float) -> None:
        gateway = self._random.choice(self._gateways)
        server = self._choose(gateway, now)
        measured = now >= _MEASURE_FROM_S
        self._calls += measured
        self._chosen[server.upstream.id] += measured
        gateway.balancer.begin(server.upstream.id)
        call = _Call(gateway, server, now)
        if server.running < _SLOTS:
            self._start(call, now)
        elif len(server.queue) < _QUEUE:
            server.queue.append(call)
        else:
            gateway.balancer.cancel(server.upstream.id)
        server.note(now)

    def _start(self, call: _Call, now: float) -> None:
        call.server.running += 1
        self._push(call.server.finish(now), call)

    def _end(self, call: _Call, now: float) -> None:
        server, gateway = call.server, call.gateway
        server.running -= 1
        if server.queue:
            self._start(server.queue.popleft(), now)
        server.note(now)
        upstream = server.upstream
        seconds = now - call.sent_at
        if upstream.data_centre != gateway.data_centre:
            seconds += REMOTE_S
        report = server.report(now)
        gateway.loads.record(upstream.id, report, now)
        gateway.balancer.record_load(upstream.id, report.total, now)
        result = balance.Result(seconds, report)
        gateway.balancer.end(upstream.id, True, self.listed, now, result)
        known = gateway.latencies.get(upstream.id, seconds)
        gateway.latencies[upstream.id] = known + _LATENCY_SMOOTHING * (
            seconds - known
        )
        if call.sent_at >= _MEASURE_FROM_S:
            self._seconds.append(seconds)

    def _choose(self, gateway: _Gateway, now: float) -> Server:
        candidates = self.listed
        seen_at = now - self._staleness
        for candidate in candidates:
            report = self.servers[candidate.id].report(seen_at)
            gateway.loads.merge(candidate.id, report, seen_at)
            if self._method is Method.COUNT:
                gateway.balancer.record_load(
                    candidate.id, report.total, seen_at
                )
        if self._method is Method.HOT_COLD:
            return self._hot_cold(gateway, seen_at)
        if self._method is Method.DELAY_ALL:
            return self._least_delay(gateway, now)
        chosen = gateway.balancer.choose(
            candidates, (), now, time_left=_OBJECTIVE_S
        )
        assert chosen is not None
        return self.servers[chosen.id]

    def _least_delay(self, gateway: _Gateway, now: float) -> Server:
        known = [
            (upstream, self._in_flight(gateway, upstream.id, now))
            for upstream in self.listed
        ]
        siblings = [upstream.id for upstream in self.listed]
        delays = gateway.balancer.delays.delays(known, siblings, now)
        least = min(delays)
        best = [
            upstream.id
            for upstream, delay in zip(self.listed, delays, strict=True)
            if delay == least
        ]
        return self.servers[self._random.choice(best)]

    def _in_flight(
        self, gateway: _Gateway, upstream: ids.UpstreamId, now: float
    ) -> int:
        report = gateway.loads.latest(upstream, now)
        return report.total if report is not None else 0

    def _hot_cold(self, gateway: _Gateway, seen_at: float) -> Server:
        totals = {
            key: server.report(seen_at).total
            for key, server in self.servers.items()
        }
        ranked = sorted(totals.values())
        limit = ranked[int(_HOT_QUANTILE * (len(ranked) - 1))]
        cold = [key for key, total in totals.items() if total < limit]
        if cold:
            key = min(cold, key=lambda k: gateway.latencies.get(k, 0.0))
        else:
            key = min(totals, key=lambda k: (totals[k], self._random.random()))
        return self.servers[key]


def _upstream(number: int) -> upstreams.Upstream:
    return upstreams.Upstream(
        id=ids.UpstreamId(f'plain-{number}'),
        service=ids.ServiceName('plain'),
        address=f'10.0.0.{number}:80',
        data_centre=ids.DataCentre(_DATA_CENTRES[number % 3]),
        slots=_SLOTS,
    )


def main() -> None:
    """Print a table of all sizes, loads, ages and ways."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print('| gateways | load | age s |', end='')
    print(''.join(f' {method.value} |' for method in Method))
    print('|---' * (3 + len(Method)) + '|')
    for size, upstream_count, seconds in SIZES:
        speeds = [
            _SPEEDS[number // 3 % len(_SPEEDS)]
            if upstream_count > len(_SPEEDS)
            else _SPEEDS[number]
            for number in range(upstream_count)
        ]
        for load, staleness in itertools.product(LOADS, STALENESS_S):
            cells = [f'{size}', f'{load}', f'{staleness}']
            for method in Method:
                runs = [
                    Fleet(size, speeds, load, staleness, method, seed).run(
                        seconds
                    )
                    for seed in range(1, seeds + 1)
                ]
                in_time = statistics.mean(run.in_time for run in runs)
                median = statistics.mean(run.median for run in runs)
                high = statistics.mean(run.high for run in runs)
                cells.append(
                    f'{in_time:.3f}, {median * 1000:.0f}, {high * 1000:.0f}'
                )
            print('| ' + ' | '.join(cells) + ' |', flush=True)


if __name__ == '__main__':
    main()
