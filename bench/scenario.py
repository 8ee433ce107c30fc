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

"""Runs one scenario: a workload, policy, load, fault and seed."""

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

TOKEN_INTERVAL_TARGET_S: typing.Final = 0.054
FAULT_AT_S: typing.Final = 20.0
_DRAIN_TIMEOUT_S: typing.Final = 45.0
_SLOW_FACTOR: typing.Final = 4.0
_REPORT_LAG_S: typing.Final = 5.0
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
    """The inputs of a run.

    Attributes:
        workload: name of the workload.
        policy: name of the policy.
        load: offered load, as a share of the capacity of the engines.
        fault: name of the fault, or `healthy`.
        seconds: duration of the arrivals.
        params: parameters of the engines that differ from `PARAMS`.
        retries_refused: whether refused callers retry once after Retry-After.
    """

    workload: str
    policy: str
    load: float
    fault: str
    seed: int
    seconds: float = 60.0
    params: tuple[tuple[str, float], ...] = ()
    retries_refused: bool = False


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The result of a run; shares are from 0 to 1.

    Attributes:
        goodput: share of the offered requests that met both targets.
        waste: share of the prefilled tokens that were never used.
        refused: share of the offered requests that were refused.
        goodput_by_kind: goodput of each class.
        others: goodput, in the worst class, of all callers but
            the one that sends as much as all of them together.
        reasons: number of refusals by reason.
        retry_goodput: goodput of the retries after a refusal.
        goodput_after_fault: goodput of the requests that arrived after the
            time of the fault.
        offered: number of requests.
    """

    goodput: float
    waste: float
    refused: float
    goodput_by_kind: dict[str, float]
    others: float
    reasons: dict[str, int]
    retry_goodput: float
    goodput_after_fault: float
    offered: int


def engine_params(scenario: Scenario) -> model.Params:
    """Return the parameters of the engines in a scenario."""
    changes: dict[str, typing.Any] = dict(scenario.params)
    if 'places' in changes:
        changes['places'] = int(changes['places'])
    return dataclasses.replace(PARAMS, **changes)


def run(scenario: Scenario) -> Outcome:
    """Run a scenario in virtual time."""
    return virtual.run(_run(scenario))


async def _run(scenario: Scenario) -> Outcome:
    workload = workloads.WORKLOADS[scenario.workload]
    params = engine_params(scenario)
    fleet = fleet_module.Fleet(workload, params)
    if scenario.fault == 'reports lag':
        for name in fleet.names():
            fleet.engine(name).params.lag = _REPORT_LAG_S
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
    return _summarize(runner.records, runner.retry_records, fleet)


class _Runner:
    """Sends the arrivals and injects the fault."""

    def __init__(
        self,
        scenario: Scenario,
        fleet: fleet_module.Fleet,
        policy: policies.Policy,
    ) -> None:
        self._scenario = scenario
        self._fleet = fleet
        self._policy = policy
        self._running_requests: dict[
            asyncio.Task[None], tuple[fleet_module.RequestRun, int]
        ] = {}
        self._dead_entries: set[int] = set()
        self.records: list[fleet_module.RequestRecord] = []
        self.retry_records: list[fleet_module.RequestRecord] = []

    async def run(self, arrivals: list[workloads.Arrival]) -> None:
        """Send all arrivals, then wait until their requests end."""
        faults = asyncio.create_task(self._fault())
        for arrival in arrivals:
            await asyncio.sleep(arrival.at - self._now())
            self._send(arrival, self.records)
        if self._running_requests:
            await asyncio.wait(
                list(self._running_requests), timeout=_DRAIN_TIMEOUT_S
            )
        faults.cancel()

    def _send(
        self,
        arrival: workloads.Arrival,
        records_to: list[fleet_module.RequestRecord],
    ) -> None:
        entry = arrival.entry
        while entry in self._dead_entries:
            entry = (entry + 1) % fleet_module.ENTRIES
        arrival = dataclasses.replace(arrival, entry=entry)
        record = fleet_module.RequestRecord(
            arrival.number,
            arrival.kind.name,
            arrival.caller,
            arrival.at,
            arrival.kind.first_token_target_s,
        )
        records_to.append(record)
        request_run = fleet_module.RequestRun(
            self._fleet, self._policy, arrival, record
        )
        task = asyncio.create_task(request_run.run())
        self._running_requests[task] = (request_run, arrival.entry)
        task.add_done_callback(self._on_done)
        if self._scenario.retries_refused and records_to is self.records:
            task.add_done_callback(
                lambda _: self._schedule_retry(arrival, record)
            )

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._running_requests.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            raise RuntimeError(
                'a simulated request failed'
            ) from task.exception()

    def _schedule_retry(
        self, arrival: workloads.Arrival, record: fleet_module.RequestRecord
    ) -> None:
        if not record.refused or not record.retry_after:
            return
        loop = asyncio.get_running_loop()
        at = self._now() + record.retry_after
        retry = dataclasses.replace(
            arrival,
            number=arrival.number + 10**6,
            at=at,
            ticket=record.ticket,
        )
        loop.call_at(at, self._send, retry, self.retry_records)

    async def _fault(self) -> None:
        await asyncio.sleep(FAULT_AT_S)
        fault = self._scenario.fault
        if fault == 'decode killed':
            self._fleet.kill('d1')
        elif fault == 'prefill killed':
            self._fleet.kill('p1')
        elif fault == 'decode slow':
            self._fleet.engine('d1').params.slow = _SLOW_FACTOR
        elif fault == 'centre cut off':
            self._fleet.isolated_data_centre = 1
            await self._fail_entries(
                entry
                for entry in range(fleet_module.ENTRIES)
                if self._fleet.data_centre_index(entry) == 1
            )
        elif fault == 'entry killed':
            await self._fail_entries([1])

    async def _fail_entries(
        self, entries: collections.abc.Iterable[int]
    ) -> None:
        """Fail entries: they get no new requests and lose the running ones."""
        self._dead_entries.update(entries)
        abandoned_runs = [
            request_run.abandon(task)
            for task, (request_run, at) in list(self._running_requests.items())
            if at in self._dead_entries
        ]
        await asyncio.gather(*abandoned_runs)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _summarize(
    records: list[fleet_module.RequestRecord],
    retry_records: list[fleet_module.RequestRecord],
    fleet: fleet_module.Fleet,
) -> Outcome:
    kinds = sorted({record.kind for record in records})
    refused = [record for record in records if record.refused]
    return Outcome(
        goodput=_goodput(records),
        waste=fleet.wasted_share(),
        refused=len(refused) / max(1, len(records)),
        goodput_by_kind={
            kind: _goodput([r for r in records if r.kind == kind])
            for kind in kinds
        },
        others=min(_other_callers_goodput(records, kind) for kind in kinds),
        reasons=dict(collections.Counter(r.refused for r in refused)),
        retry_goodput=_goodput(retry_records),
        goodput_after_fault=_goodput(
            [r for r in records if r.at >= FAULT_AT_S]
        ),
        offered=len(records),
    )


def _goodput(records: list[fleet_module.RequestRecord]) -> float:
    met_count = sum(
        record.met_targets(TOKEN_INTERVAL_TARGET_S) for record in records
    )
    return met_count / max(1, len(records))


def _other_callers_goodput(
    records: list[fleet_module.RequestRecord], kind: str
) -> float:
    """Return the goodput of all callers but the heavy one."""
    selected = [
        record
        for record in records
        if record.kind == kind and not record.caller.endswith('-0')
    ]
    return _goodput(selected)


def format_spread(values: typing.Sequence[float]) -> str:
    """Format the median of some shares and their range."""
    middle = statistics.median(values)
    return f'{middle:.3f} ({min(values):.3f}-{max(values):.3f})'
