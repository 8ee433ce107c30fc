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

"""Virtual time model of a contended plain service before many gateways.

Upstreams have slots and a short FIFO queue and reject what exceeds it. Clients
return once after a rejection. `bench/admission` compares who decides.
"""

import collections
import collections.abc
import enum
import functools
import heapq
import itertools
import random
import typing

from bench import callservice
from galenahatch.core import balance
from galenahatch.core import calladmission
from galenahatch.core import loadreports
from galenahatch.core import members
from galenahatch.core import plaincalls
from galenahatch.core import upstreams
from galenahatch import ids

SERVICE: typing.Final = ids.ServiceName('service')
DEADLINE_S: typing.Final = 1.55
_LINK_S: typing.Final = 0.0014
_MAX_SENDS: typing.Final = 3
_ACK_TIMEOUT_S: typing.Final = 0.05
_ALONE_S: typing.Final = 1.0
"""Seconds for which a gateway asks nobody after a missing acknowledgement."""
_NOTICE_INTERVAL_S: typing.Final = 0.05
_CONTENTION_S: typing.Final = 1.0
_OUTLIER_FACTOR: typing.Final = 5.0
_CENTRES: typing.Final = [ids.DataCentre(f'dc{i}') for i in range(3)]

Result = plaincalls.SendResult


class Method(enum.Enum):
    """Who decides whether a call is sent.

    Attributes:
        ALONE: Each gateway sends at once.
        LIMITED: Each gateway rejects by the delay that it expects itself.
        LEVELS: The same, by the loads that all gateways share by heartbeats.
        GRANTS: The owner.
    """

    ALONE = 'alone'
    LIMITED = 'limited'
    LEVELS = 'levels'
    GRANTS = 'grants'


class Owner:
    """A gateway that decides for some of the others."""

    def __init__(self, fleet: 'Fleet') -> None:
        self._fleet = fleet
        self.admission = calladmission.CallAdmission(fleet.random)
        self.suspended_until = 0.0
        self.is_up = True
        self._told_until = 0.0
        self._woken_at = float('inf')
        self.loads: dict[
            ids.UpstreamId, tuple[float, loadreports.LoadReport]
        ] = {}
        self.admission.set_upstreams(fleet.listed(), fleet.now)

    def receive(
        self, handle: collections.abc.Callable[['Owner'], None]
    ) -> None:
        """Handle a message once the process runs."""
        if not self.is_up:
            return
        if self._fleet.now < self.suspended_until:
            delay = self.suspended_until - self._fleet.now
            self._fleet.at(delay, lambda: self.receive(handle))
            return
        handle(self)
        self.drive()

    def submit(self, gateway: 'Gateway', request: callservice.Request) -> None:
        """Decide on a call or queue it."""
        call = gateway.call(request)
        decision = self.admission.submit(call, self._fleet.now)
        self._fleet.message(
            lambda: gateway.acknowledge(request, request.attempts)
        )
        if decision is not None:
            self._tell(decision)

    def drive(self) -> None:
        """Send the decisions that are due."""
        fleet = self._fleet
        if not self.is_up or fleet.now < self.suspended_until:
            return
        for decision in self.admission.decide(fleet.now):
            self._tell(decision)
        if (
            self.admission.is_contended(fleet.now)
            and fleet.now > self._told_until - _CONTENTION_S / 2
        ):
            self._told_until = fleet.now + _CONTENTION_S
            for gateway in fleet.gateways_of(self):
                fleet.message(gateway.hear_contention)
        at = self.admission.next_decision_at(fleet.now)
        assert at is None or at > fleet.now
        if at is not None and not fleet.now < self._woken_at <= at:
            self._woken_at = at
            fleet.at(at - fleet.now, self.drive)

    def _tell(self, decision: plaincalls.Decision) -> None:
        gateway = self._fleet.gateways[int(decision.call.key.member)]
        self._fleet.message(lambda: gateway.hear(self, decision))


class Gateway:
    """A gateway that sends calls."""

    def __init__(self, fleet: 'Fleet', number: int) -> None:
        self._fleet = fleet
        self.number = number
        self._data_centre = _CENTRES[number % 3]
        self._balancer = balance.Balancer(fleet.random, self._data_centre)
        self._contended_until = 0.0
        self._alone_until = 0.0
        self._noticed_at = 0.0
        self._numbers = itertools.count()
        self._asked: dict[int, callservice.Request] = {}
        self._acknowledged: set[tuple[str, int]] = set()
        self.loads: dict[
            ids.UpstreamId, tuple[float, loadreports.LoadReport]
        ] = {}
        self._in_flight: collections.Counter[ids.UpstreamId] = (
            collections.Counter()
        )

    def arrive(self, request: callservice.Request) -> None:
        """Handle an attempt of a client."""
        request.attempts += 1
        request.arrived_at = self._fleet.now
        request.avoid.clear()
        self._route(request)

    def call(self, request: callservice.Request) -> plaincalls.PlainCall:
        """Return the call that the owner decides on."""
        number = next(self._numbers)
        self._asked[number] = request
        return plaincalls.PlainCall(
            plaincalls.CallKey(ids.MemberId(str(self.number)), number),
            ids.CustomerName(request.customer),
            1.0,
            request.source.priority,
            request.arrived_at,
            request.arrived_at + callservice.OBJECTIVE_S,
            request.first_at + DEADLINE_S,
            request.id,
            bool(request.avoid),
            frozenset(request.avoid),
            self._data_centre,
        )

    def hear_contention(self) -> None:
        """Learn that calls need a grant."""
        self._contended_until = self._fleet.now + _CONTENTION_S

    def hear(self, owner: Owner, decision: plaincalls.Decision) -> None:
        """Carry out a decision of the owner."""
        request = self._asked.pop(decision.call.key.number)
        self._acknowledged.add((request.id, request.attempts))
        key = decision.call.key
        is_stale = request.arrived_at != decision.call.arrived_at
        if is_stale or request.is_done or request.sends < 0:
            self._report(owner, key, Result.CANCELLED, 0.0, None, None)
        elif isinstance(decision, plaincalls.Rejected):
            self._fleet.reject(request, decision.retry_after)
        else:
            self._send(request, decision.upstream, owner, key)

    def acknowledge(self, request: callservice.Request, attempt: int) -> None:
        """Learn that the owner knows a call."""
        self._acknowledged.add((request.id, attempt))

    def _route(self, request: callservice.Request) -> None:
        fleet = self._fleet
        method = fleet.method
        owner = fleet.owner_of(self)
        if (
            method is Method.GRANTS
            and owner is not None
            and self._alone_until < fleet.now
            and (fleet.always_asks or fleet.now < self._contended_until)
        ):
            attempt = request.attempts
            fleet.message(
                lambda: owner.receive(lambda o: o.submit(self, request))
            )
            fleet.at(_ACK_TIMEOUT_S, lambda: self._check_ack(request, attempt))
            return
        self._send_alone(request)

    def _check_ack(self, request: callservice.Request, attempt: int) -> None:
        if (request.id, attempt) in self._acknowledged or request.is_done:
            return
        self._acknowledged.add((request.id, attempt))
        self._alone_until = self._fleet.now + _ALONE_S
        self._send_alone(request)

    def _send_alone(self, request: callservice.Request) -> None:
        fleet = self._fleet
        chosen = self._balancer.choose(
            fleet.listed(), request.avoid, fleet.now
        )
        if chosen is None or len(request.avoid) >= _MAX_SENDS:
            fleet.reject(request, 0.1)
            return
        is_limited = fleet.method is not Method.ALONE
        end = fleet.now + self._expected_delay(chosen)
        if is_limited and end > request.arrived_at + callservice.OBJECTIVE_S:
            fleet.reject(request, 0.1)
            return
        self._send(request, chosen.id, None, None)

    def _expected_delay(self, upstream: upstreams.Upstream) -> float:
        at, report = self.loads.get(upstream.id, (-1e9, None))
        load = self._in_flight[upstream.id] + 1.0
        if report is not None and self._fleet.now - at < 1.0:
            load += report.total
        return callservice.WORK_S * max(1.0, load / upstream.slots)

    def _send(
        self,
        request: callservice.Request,
        upstream: ids.UpstreamId,
        owner: Owner | None,
        key: plaincalls.CallKey | None,
    ) -> None:
        fleet = self._fleet
        request.sends += 1
        fleet.sends += 1
        self._balancer.begin(upstream)
        self._in_flight[upstream] += 1
        started_at = fleet.now
        attempt = request.attempts

        def answered(
            result: Result, report: loadreports.LoadReport | None
        ) -> None:
            self._in_flight[upstream] -= 1
            self._balancer.end(
                upstream, result is Result.ANSWERED, fleet.listed(), fleet.now
            )
            self._learn(upstream, report)
            if owner is not None and key is not None:
                seconds = fleet.now - started_at
                self._report(owner, key, result, seconds, upstream, report)
            if request.attempts != attempt or request.is_done:
                return
            if result is Result.ANSWERED:
                fleet.answer(request)
            else:
                request.avoid.add(upstream)
                self._route(request)

        engine = fleet.engines[upstream]
        deadline = request.first_at + DEADLINE_S
        fleet.at(
            _LINK_S,
            lambda: engine.receive(
                deadline,
                lambda *args: fleet.at(_LINK_S, lambda: answered(*args)),
            ),
        )

    def _learn(
        self, upstream: ids.UpstreamId, report: loadreports.LoadReport | None
    ) -> None:
        fleet = self._fleet
        if report is None:
            return
        self._balancer.record_load(upstream, max(0, report.total), fleet.now)
        self.loads[upstream] = (fleet.now, report)
        owner = fleet.owner_of(self)
        if (
            fleet.method is Method.GRANTS
            and report.waiting > 0
            and owner is not None
            and fleet.now >= self._noticed_at + _NOTICE_INTERVAL_S
        ):
            self._noticed_at = fleet.now
            at = fleet.now
            fleet.message(
                lambda: owner.receive(
                    lambda o: o.admission.record_load(upstream, report, at)
                )
            )

    def _report(
        self,
        owner: Owner,
        key: plaincalls.CallKey,
        result: Result,
        seconds: float,
        upstream: ids.UpstreamId | None,
        report: loadreports.LoadReport | None,
    ) -> None:
        fleet = self._fleet
        at = fleet.now

        def handle(receiver: Owner) -> None:
            if report is not None and upstream is not None:
                receiver.admission.record_load(upstream, report, at)
            receiver.admission.end(key, result, seconds, fleet.now)

        fleet.message(lambda: owner.receive(handle))


class Fleet:
    """Gateways, upstreams and clients of one service.

    Args:
        size: Number of gateways.
        sources: Sources of calls.
        method: Who decides.
        seed: Seed of all random numbers.
        distort: Returns the report that upstreams make of their load.
        always_asks: Whether gateways ask the owner without contention.
        spread: Standard deviation of the logarithm of a call's work.
        outliers: Share of calls with five times the work.
    """

    def __init__(
        self,
        size: int,
        sources: collections.abc.Sequence[callservice.Source],
        method: Method = Method.GRANTS,
        seed: int = 1,
        distort: collections.abc.Callable[
            [loadreports.LoadReport], loadreports.LoadReport | None
        ] = lambda report: report,
        always_asks: bool = False,
        spread: float = 0.25,
        outliers: float = 0.0,
    ) -> None:
        self.method = method
        self.random = random.Random(seed)
        self.distort = distort
        self.always_asks = always_asks
        self._spread = spread
        self._outliers = outliers
        self.now = 0.0
        self.sends = 0
        self.messages = 0
        self.requests: list[callservice.Request] = []
        self._events: list[
            tuple[float, int, collections.abc.Callable[[], object]]
        ] = []
        self._order = itertools.count()
        self.engines: dict[ids.UpstreamId, callservice.Engine] = {}
        self._listed: list[upstreams.Upstream] = []
        for number in range(3):
            self.add_engine(f'u{number}', _CENTRES[number])
        self.gateways = [Gateway(self, number) for number in range(size)]
        self.owners = [Owner(self)]
        self.split = False
        for source in sources:
            self.at(source.start, functools.partial(self._arrive, source))
        if method is Method.LEVELS:
            self._share_levels()

    def add_engine(
        self, name: str, centre: ids.DataCentre
    ) -> callservice.Engine:
        """Add an upstream with six slots."""
        upstream = upstreams.Upstream(
            ids.UpstreamId(name), SERVICE, f'{name}:1', centre, 6
        )
        engine = self.engines[upstream.id] = callservice.Engine(self, upstream)
        self._listed = [*self._listed, upstream]
        return engine

    def list_engines(self, names: collections.abc.Container[str]) -> None:
        """List some of the upstreams."""
        self._listed = [
            engine.upstream
            for engine in self.engines.values()
            if engine.upstream.id in names
        ]
        for owner in self.owners:
            owner.admission.set_upstreams(self._listed, self.now)
            owner.drive()

    def listed(self) -> list[upstreams.Upstream]:
        """Return the listed upstreams."""
        return self._listed

    def at(
        self, delay: float, action: collections.abc.Callable[[], object]
    ) -> None:
        """Run an action later."""
        heapq.heappush(
            self._events, (self.now + delay, next(self._order), action)
        )

    def message(self, action: collections.abc.Callable[[], object]) -> None:
        """Deliver a message between gateways."""
        self.messages += 1
        self.at(_LINK_S, action)

    def run(self, until: float) -> None:
        """Simulate up to a time in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def owner_of(self, gateway: Gateway) -> Owner | None:
        """Return the owner that a gateway knows."""
        if self.split and len(self.owners) > 1:
            return self.owners[gateway.number % 2]
        return self.owners[-1] if self.owners else None

    def gateways_of(self, owner: Owner) -> list[Gateway]:
        """Return the gateways that an owner decides for."""
        return [g for g in self.gateways if self.owner_of(g) is owner]

    def add_owner(self) -> None:
        """Let a new owner, without state, decide."""
        self.owners.append(Owner(self))

    def work_factor(self) -> float:
        """Return the work of a call relative to the usual one."""
        mu = -(self._spread**2) / 2
        factor = self.random.lognormvariate(mu, self._spread)
        if self._outliers and self.random.random() < self._outliers:
            factor *= _OUTLIER_FACTOR
        return factor

    def answer(self, request: callservice.Request) -> None:
        """Answer a client."""
        request.answered_at = self.now
        request.is_done = True

    def reject(self, request: callservice.Request, retry_after: float) -> None:
        """Reject a client; it returns once."""
        left = request.first_at + DEADLINE_S - self.now
        if request.attempts > 1 or left <= 0:
            request.is_done = True
            return
        wait = min(retry_after, left / 3) if request.source.heeds else 0.02
        self.at(wait + _LINK_S, lambda: self._gateway(request).arrive(request))

    def in_time(
        self,
        start: float,
        end: float,
        accept: collections.abc.Callable[
            [callservice.Request], bool
        ] = lambda _: True,
    ) -> float:
        """Return the share in time of the requests of some interval."""
        chosen = [
            r for r in self.requests if start <= r.first_at < end and accept(r)
        ]
        return sum(r.in_time for r in chosen) / max(1, len(chosen))

    def _gateway(self, request: callservice.Request) -> Gateway:
        numbers = request.source.gateways or range(len(self.gateways))
        return self.gateways[self.random.choice(numbers)]

    def _arrive(self, source: callservice.Source) -> None:
        if self.now >= source.end or not source.rate:
            return
        self.at(
            self.random.expovariate(source.rate), lambda: self._arrive(source)
        )
        customer = self.random.choice(source.customers)
        name = str(len(self.requests))
        request = callservice.Request(name, source, customer, self.now)
        self.requests.append(request)
        self._gateway(request).arrive(request)

    def _share_levels(self) -> None:
        """Exchange the newest loads with the heartbeats.

        While an owner is silent, loads grow old at its gateways.
        """
        slowdown = max(1.0, len(self.gateways) / members.FULL_RATE_MEMBERS)
        for owner in self.owners:
            if not owner.is_up or owner.suspended_until > self.now:
                continue
            gateways = self.gateways_of(owner)
            for gateway in gateways:
                for key, load in gateway.loads.items():
                    known = owner.loads.get(key, load)
                    owner.loads[key] = max(known, load, key=lambda v: v[0])
            for gateway in gateways:
                gateway.loads.update(owner.loads)
        self.at(members.HEARTBEAT_INTERVAL_S * slowdown, self._share_levels)
