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

"""One run: a workload, a policy, a load, a fault and a seed."""

import asyncio
import collections
import collections.abc
import dataclasses
import statistics
import typing

from bench import fleet as fleet_module
from bench import policies
from bench import virtual
from bench import workloads
from galenahatch.test.standin import model

PACE_TARGET: typing.Final = 0.054
FAULT_AT: typing.Final = 20.0
_DRAIN: typing.Final = 45.0
_SLOW_FACTOR: typing.Final = 4.0
_LAG: typing.Final = 5.0
PARAMS: typing.Final = model.Params(
    places=20,
    prefill_rate=4000.0,
    step=0.018,
    step_per_stream=0.0015,
    eviction=0.6,
    link_rate=8e9,
    kv_bytes=100_000,
    cache_blocks=300,
)


@dataclasses.dataclass(frozen=True)
class Scenario:
    """What to run.

    Attributes:
        load: of what the engines carry.
        fault: name, or healthy.
        params: changes to the engines' parameters, by name.
        come_back: refused callers return once after Retry-After.
    """

    workload: str
    policy: str
    load: float
    fault: str
    seed: int
    seconds: float = 60.0
    params: tuple[tuple[str, float], ...] = ()
    come_back: bool = False


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a run came to; shares are 0 to 1.

    Attributes:
        goodput: requests that met both targets over all offered.
        waste: prefilled tokens never used over all prefilled.
        refused: given up over all offered.
        by_kind: goodput by class.
        others: goodput of the callers beside the one that sends as much as
            all of them, in the worst class.
        reasons: refusals by reason.
        returned_good: of the callers that came back, those served in time.
        late_goodput: of the requests that came after the fault.
    """

    goodput: float
    waste: float
    refused: float
    by_kind: dict[str, float]
    others: float
    reasons: dict[str, int]
    returned_good: float
    late_goodput: float
    offered: int


def params_of(scenario: Scenario) -> model.Params:
    """Return the engines' parameters of a scenario."""
    changes: dict[str, typing.Any] = dict(scenario.params)
    if 'places' in changes:
        changes['places'] = int(changes['places'])
    return dataclasses.replace(PARAMS, **changes)


def run(scenario: Scenario) -> Outcome:
    """Run a scenario under virtual time."""
    return virtual.run(_run(scenario))


async def _run(scenario: Scenario) -> Outcome:
    workload = workloads.WORKLOADS[scenario.workload]
    params = params_of(scenario)
    fleet = fleet_module.Fleet(workload, params)
    if scenario.fault == 'reports lag':
        for name in fleet.names():
            fleet.engine(name).params.lag = _LAG
    policy = policies.POLICIES[scenario.policy](fleet, workload, scenario.seed)
    policy.start()
    rate = scenario.load * workloads.capacity(workload, params)
    arrivals = workloads.arrivals(
        workload,
        rate,
        scenario.seconds,
        scenario.seed,
        fleet_module.ENTRIES,
    )
    runner = _Runner(scenario, fleet, policy)
    await runner.run(arrivals)
    return _outcome(runner.records, runner.returned, fleet)


class _Runner:
    """Sends the arrivals and does the fault."""

    def __init__(
        self,
        scenario: Scenario,
        fleet: fleet_module.Fleet,
        policy: policies.Policy,
    ) -> None:
        self._scenario = scenario
        self._fleet = fleet
        self._policy = policy
        self._courses: dict[
            asyncio.Task[None], tuple[fleet_module.Course, int]
        ] = {}
        self._dead_entries: set[int] = set()
        self.records: list[fleet_module.Record] = []
        self.returned: list[fleet_module.Record] = []

    async def run(self, arrivals: list[workloads.Arrival]) -> None:
        """Send all, then let what runs come to its end."""
        faults = asyncio.create_task(self._fault())
        for arrival in arrivals:
            await asyncio.sleep(arrival.at - self._now())
            self._send(arrival, self.records)
        if self._courses:
            await asyncio.wait(list(self._courses), timeout=_DRAIN)
        faults.cancel()

    def _send(
        self, arrival: workloads.Arrival, kept: list[fleet_module.Record]
    ) -> None:
        entry = arrival.entry
        while entry in self._dead_entries:
            entry = (entry + 1) % fleet_module.ENTRIES
        arrival = dataclasses.replace(arrival, entry=entry)
        record = fleet_module.Record(
            arrival.number,
            arrival.kind.name,
            arrival.caller,
            arrival.at,
            arrival.kind.first_token,
        )
        kept.append(record)
        course = fleet_module.Course(
            self._fleet, self._policy, arrival, record
        )
        task = asyncio.create_task(course.run())
        self._courses[task] = (course, arrival.entry)
        task.add_done_callback(self._ended)
        if self._scenario.come_back and kept is self.records:
            task.add_done_callback(lambda _: self._come_back(arrival, record))

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._courses.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            raise RuntimeError('a course failed') from task.exception()

    def _come_back(
        self, arrival: workloads.Arrival, record: fleet_module.Record
    ) -> None:
        if not record.refused or not record.retry_after:
            return
        loop = asyncio.get_running_loop()
        at = self._now() + record.retry_after
        again = dataclasses.replace(
            arrival,
            number=arrival.number + 10**6,
            at=at,
            ticket=record.ticket,
        )
        loop.call_at(at, self._send, again, self.returned)

    async def _fault(self) -> None:
        await asyncio.sleep(FAULT_AT)
        fault = self._scenario.fault
        if fault == 'decode killed':
            self._fleet.kill('d1')
        elif fault == 'prefill killed':
            self._fleet.kill('p1')
        elif fault == 'decode slow':
            self._fleet.engine('d1').params.slow = _SLOW_FACTOR
        elif fault == 'centre cut off':
            self._fleet.cut_centre = 1
            await self._lose_entries(
                entry
                for entry in range(fleet_module.ENTRIES)
                if self._fleet.centre(entry) == 1
            )
        elif fault == 'entry killed':
            await self._lose_entries([1])

    async def _lose_entries(
        self, entries: collections.abc.Iterable[int]
    ) -> None:
        """The balancer looks away from entries; what they had is lost."""
        self._dead_entries.update(entries)
        jobs = [
            course.orphan(task)
            for task, (course, at) in list(self._courses.items())
            if at in self._dead_entries
        ]
        await asyncio.gather(*jobs)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _outcome(
    records: list[fleet_module.Record],
    returned: list[fleet_module.Record],
    fleet: fleet_module.Fleet,
) -> Outcome:
    kinds = sorted({record.kind for record in records})
    refused = [record for record in records if record.refused]
    return Outcome(
        goodput=_good(records),
        waste=fleet.wasted_share(),
        refused=len(refused) / max(1, len(records)),
        by_kind={
            kind: _good([r for r in records if r.kind == kind])
            for kind in kinds
        },
        others=min(_others(records, kind) for kind in kinds),
        reasons=dict(collections.Counter(r.refused for r in refused)),
        returned_good=_good(returned),
        late_goodput=_good([r for r in records if r.at >= FAULT_AT]),
        offered=len(records),
    )


def _good(records: list[fleet_module.Record]) -> float:
    good = sum(record.good(PACE_TARGET) for record in records)
    return good / max(1, len(records))


def _others(records: list[fleet_module.Record], kind: str) -> float:
    """Return the goodput of the callers beside the one that crowds in."""
    found = [
        record
        for record in records
        if record.kind == kind and not record.caller.endswith('-0')
    ]
    return _good(found)


def spread(values: typing.Sequence[float]) -> str:
    """Return the median of some shares with their range."""
    middle = statistics.median(values)
    return f'{middle:.3f} ({min(values):.3f}-{max(values):.3f})'
