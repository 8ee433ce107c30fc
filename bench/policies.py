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

"""Placement policies to compare: the product's core and the baselines.

A policy selects the pair of engines that runs a request, and is notified of
the progress of the request. `OwnerPolicy` is the product: one cell decides
for all entries. Baselines decide at each entry alone, with or without load
reports, or centrally by prefill queues without reserving decode slots.
"""

import asyncio
import collections
import dataclasses
import random
import typing

from bench import fleet as fleet_module
from bench import workloads
from galenahatch.core import cell as cell_module
from galenahatch.core import jobs
from galenahatch import ids
from galenahatch import messages
from galenahatch import schema
from galenahatch import states

_SITE: typing.Final = ids.SiteName('site')
_MIN_DECISION_INTERVAL_S: typing.Final = 0.002
_REPORT_INTERVAL_S: typing.Final = 1.0
_UNLIMITED_PATIENCE_S: typing.Final = 1e6


@dataclasses.dataclass(frozen=True)
class Pair:
    """Indexes of a prefill and a decode engine."""

    prefill: int
    decode: int


@dataclasses.dataclass(frozen=True)
class Refused:
    """A refusal.

    Attributes:
        reason: name of the reason.
        retry_after: seconds after which the caller may retry.
        ticket: queue ticket to send with the retry.
    """

    reason: str
    retry_after: float
    ticket: str


class Policy(typing.Protocol):
    """Interface of placement policies."""

    async def place(
        self, arrival: workloads.Arrival, attempt: int, remaining_s: float
    ) -> Pair | Refused:
        """Select engines for a request, or refuse it.

        Args:
            arrival: the request.
            attempt: number of earlier attempts.
            remaining_s: seconds until its target for the first token.
        """

    def on_prefill_done(
        self, stream: str, cached: int, seconds: float
    ) -> None:
        """Handle a completed prefill."""

    def on_first_token(self, stream: str) -> None:
        """Handle the first token of an attempt."""

    def on_complete(
        self, stream: str, tokens: int, token_interval_s: float
    ) -> None:
        """Handle an attempt that completed."""

    def on_failure(self, stream: str, pair: Pair, is_decode: bool) -> None:
        """Handle an attempt that failed."""

    def start(self) -> None:
        """Start background tasks."""


class _NoFeedback:
    """Base of policies that ignore the progress of their requests."""

    def on_prefill_done(
        self, stream: str, cached: int, seconds: float
    ) -> None:
        """Do nothing."""

    def on_first_token(self, stream: str) -> None:
        """Do nothing."""

    def on_complete(
        self, stream: str, tokens: int, token_interval_s: float
    ) -> None:
        """Do nothing."""

    def on_failure(self, stream: str, pair: Pair, is_decode: bool) -> None:
        """Do nothing."""

    def start(self) -> None:
        """Do nothing."""


class RoundRobin(_NoFeedback):
    """Each entry selects engines in turn, independently of the others."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self._fleet = fleet
        self._next: collections.Counter[int] = collections.Counter()

    async def place(
        self, arrival: workloads.Arrival, attempt: int, remaining_s: float
    ) -> Pair | Refused:
        """Return the next pair of the entry."""
        turn = self._next[arrival.entry]
        self._next[arrival.entry] += 1
        return Pair(
            turn % len(self._fleet.prefills), turn % len(self._fleet.decodes)
        )


class LeastLoad(_NoFeedback):
    """Each entry selects the least loaded engines in its delayed reports."""

    def __init__(self, fleet: fleet_module.Fleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._loads: dict[str, int] = {}

    def start(self) -> None:
        """Start to poll load reports."""
        self._fleet.start_background(self._poll_reports())

    async def place(
        self, arrival: workloads.Arrival, attempt: int, remaining_s: float
    ) -> Pair | Refused:
        """Return the pair with the least reported load."""
        return Pair(
            self._least_loaded('p', len(self._fleet.prefills)),
            self._least_loaded('d', len(self._fleet.decodes)),
        )

    def _least_loaded(self, prefix: str, count: int) -> int:
        def load(index: int) -> tuple[int, float]:
            reported = self._loads.get(f'{prefix}{index}', 0)
            return reported, self._random.random()

        return min(range(count), key=load)

    async def _poll_reports(self) -> None:
        while True:
            self._loads = {
                name: queued
                for name, (queued, _) in self._fleet.reports().items()
            }
            await asyncio.sleep(0.25)


class PrefillFirst(LeastLoad):
    """Decides centrally by the lengths of prefill queues.

    The decode engine is the one with the least reported load; no slot of it is
    reserved.
    """

    def __init__(self, fleet: fleet_module.Fleet, seed: int) -> None:
        super().__init__(fleet, seed)
        self._queue_lengths: collections.Counter[int] = collections.Counter()
        self._prefill_by_stream: dict[str, int] = {}

    async def place(
        self, arrival: workloads.Arrival, attempt: int, remaining_s: float
    ) -> Pair | Refused:
        """Return the engines with the shortest queue and the least load."""
        count = len(self._fleet.prefills)
        prefill = min(range(count), key=lambda i: self._queue_lengths[i])
        self._queue_lengths[prefill] += 1
        self._prefill_by_stream[f'{arrival.number}.{attempt}'] = prefill
        return Pair(prefill, self._least_loaded('d', len(self._fleet.decodes)))

    def on_prefill_done(
        self, stream: str, cached: int, seconds: float
    ) -> None:
        """Remove the prompt from the length of its queue."""
        self._queue_lengths[self._prefill_by_stream.pop(stream)] -= 1

    def on_failure(self, stream: str, pair: Pair, is_decode: bool) -> None:
        """Remove the prompt from the length of its queue."""
        if stream in self._prefill_by_stream:
            self._queue_lengths[self._prefill_by_stream.pop(stream)] -= 1


@dataclasses.dataclass(frozen=True)
class Mechanisms:
    """Mechanisms of the product's policy that can be disabled."""

    decode_first: bool = True
    shedding: bool = True
    cache: bool = True
    urgency: bool = True
    fairness: bool = True
    health: bool = True
    queueing: bool = True


class OwnerPolicy:
    """The product: one cell decides for all entries."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        workload: workloads.Workload,
        seed: int,
        mechanisms: Mechanisms,
    ) -> None:
        self._fleet = fleet
        self._mechanisms = mechanisms
        self._service = schema.ModelService(
            ids.ServiceName('x'),
            'm',
            waste_weight=workload.waste_weight,
        )
        self._cell = cell_module.Cell(self._service, random.Random(seed))
        engines = fleet.declarations(
            10**6 if not mechanisms.decode_first else 0
        )
        names = frozenset(engine.name for engine in engines)
        self._cell.configure(self._service, engines, {_SITE: names})
        self._waiting: dict[str, asyncio.Future[Pair | Refused]] = {}
        self._wake = asyncio.Event()

    def start(self) -> None:
        """Start the tasks that decide and that poll load reports."""
        self._fleet.start_background(self._decide())
        self._fleet.start_background(self._poll_reports())

    async def place(
        self, arrival: workloads.Arrival, attempt: int, remaining_s: float
    ) -> Pair | Refused:
        """Ask the cell, with the network delay of both directions."""
        await asyncio.sleep(self._fleet.delay(arrival.entry))
        stream = ids.StreamId(f'{arrival.number}.{attempt}')
        future: asyncio.Future[Pair | Refused]
        future = asyncio.get_running_loop().create_future()
        self._waiting[stream] = future
        decision = self._cell.submit(
            self._request(arrival, stream, remaining_s), 1.0, self._now()
        )
        if decision is not None:
            self._answer(decision)
        self._wake.set()
        try:
            answer = await future
        except asyncio.CancelledError:
            self._cell.release(messages.Release(stream), self._now())
            raise
        await asyncio.sleep(self._fleet.delay(arrival.entry))
        return answer

    def on_prefill_done(
        self, stream: str, cached: int, seconds: float
    ) -> None:
        """Report the completed prefill to the cell."""
        progress = messages.Progress(
            ids.StreamId(stream),
            states.Stage.TRANSFER,
            cached,
            0,
            seconds,
        )
        self._cell.record_progress(progress, self._now())
        self._wake.set()

    def on_first_token(self, stream: str) -> None:
        """Report the first token to the cell."""
        progress = messages.Progress(ids.StreamId(stream), states.Stage.DECODE)
        self._cell.record_progress(progress, self._now())

    def on_complete(
        self, stream: str, tokens: int, token_interval_s: float
    ) -> None:
        """Release the reservation of a completed attempt."""
        release = messages.Release(
            ids.StreamId(stream), None, tokens, token_interval_s
        )
        self._cell.release(release, self._now())
        self._wake.set()

    def on_failure(self, stream: str, pair: Pair, is_decode: bool) -> None:
        """Release the reservation and report the engine that failed."""
        index = pair.decode if is_decode else pair.prefill
        name = ids.EngineName(f'{"d" if is_decode else "p"}{index}')
        blame = name if self._mechanisms.health else None
        release = messages.Release(ids.StreamId(stream), blame)
        self._cell.release(release, self._now())
        self._wake.set()

    def _request(
        self,
        arrival: workloads.Arrival,
        stream: ids.StreamId,
        remaining_s: float,
    ) -> messages.PlaceRequest:
        mechanisms = self._mechanisms
        urgency = arrival.kind.urgency
        return messages.PlaceRequest(
            request=ids.RequestId(str(arrival.number)),
            stream=stream,
            entry=ids.MemberId(f'entry/{arrival.entry}'),
            service=self._service.name,
            site=_SITE,
            caller=ids.CallerName(
                arrival.caller if mechanisms.fairness else 'all'
            ),
            urgency=urgency if mechanisms.urgency else states.Urgency.NORMAL,
            prompt_tokens=arrival.tokens,
            output_tokens=arrival.kind.output,
            first_token_timeout=remaining_s
            if mechanisms.shedding
            else _UNLIMITED_PATIENCE_S,
            blocks=arrival.blocks if mechanisms.cache else (),
            avoided_engines=(),
            data_centre=self._fleet.data_centre_of_entry(arrival.entry),
            ticket=arrival.ticket,
        )

    def _answer(self, decision: jobs.Decision) -> None:
        answer = decision.answer
        future = self._waiting.pop(answer.stream, None)
        if future is None or future.done():
            return
        if isinstance(answer, messages.Placed):
            pair = Pair(int(answer.prefill[1:]), int(answer.decode[1:]))
            future.set_result(pair)
        else:
            refused = Refused(answer.reason, answer.retry_after, answer.ticket)
            future.set_result(refused)

    async def _decide(self) -> None:
        while True:
            for decision in self._cell.decide(self._now()):
                self._answer(decision)
            next_decision_at = self._cell.next_decision_at(self._now())
            self._wake.clear()
            timeout_s = (
                0.25
                if next_decision_at is None
                else max(
                    _MIN_DECISION_INTERVAL_S, next_decision_at - self._now()
                )
            )
            try:
                async with asyncio.timeout(timeout_s):
                    await self._wake.wait()
            except asyncio.TimeoutError:
                pass

    async def _poll_reports(self) -> None:
        """Pass the token intervals in load reports to the cell."""
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_S)
            if not self._mechanisms.health:
                continue
            for name, (_, token_interval_s) in self._fleet.reports().items():
                self._cell.record_token_interval(
                    ids.EngineName(name), token_interval_s, self._now()
                )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


PolicyFactory = typing.Callable[
    [fleet_module.Fleet, workloads.Workload, int], Policy
]


def _owner_factory(mechanisms: Mechanisms) -> PolicyFactory:
    def create_policy(
        fleet: fleet_module.Fleet, workload: workloads.Workload, seed: int
    ) -> Policy:
        return OwnerPolicy(fleet, workload, seed, mechanisms)

    return create_policy


def _create_least_load(
    fleet: fleet_module.Fleet, workload: workloads.Workload, seed: int
) -> Policy:
    return LeastLoad(fleet, seed)


def _create_prefill_first(
    fleet: fleet_module.Fleet, workload: workloads.Workload, seed: int
) -> Policy:
    return PrefillFirst(fleet, seed)


def _create_round_robin(
    fleet: fleet_module.Fleet, workload: workloads.Workload, seed: int
) -> Policy:
    return RoundRobin(fleet)


BASELINES: typing.Final[dict[str, PolicyFactory]] = {
    'round robin': _create_round_robin,
    'least load': _create_least_load,
    'prefill first': _create_prefill_first,
}
OURS: typing.Final = 'ours'
POLICIES: typing.Final[dict[str, PolicyFactory]] = {
    **BASELINES,
    OURS: _owner_factory(Mechanisms()),
    'no decode first': _owner_factory(Mechanisms(decode_first=False)),
    'no shedding': _owner_factory(Mechanisms(shedding=False)),
    'no cache index': _owner_factory(Mechanisms(cache=False)),
    'no urgency': _owner_factory(Mechanisms(urgency=False)),
    'no fairness': _owner_factory(Mechanisms(fairness=False)),
    'no health': _owner_factory(Mechanisms(health=False)),
}
