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

"""Policies side by side: the product's core, and the baselines.

A policy answers one question, which pair of engines a request runs on, and
is told what became of it. `owner` is the product: one cell decides for all
entries. The baselines decide at each entry alone, from load reports, or
centrally without looking at decode places first.
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
_LOOK: typing.Final = 0.002
_REPORT: typing.Final = 1.0
_UNSHED_PATIENCE: typing.Final = 1e6


@dataclasses.dataclass(frozen=True)
class Pair:
    """Engines by index."""

    prefill: int
    decode: int


@dataclasses.dataclass(frozen=True)
class Refused:
    """Given up, with when to come back."""

    reason: str
    retry_after: float
    ticket: str


class Policy(typing.Protocol):
    """What a policy does."""

    async def place(
        self, arrival: workloads.Arrival, attempt: int, left: float
    ) -> Pair | Refused:
        """Return the pair for a request."""

    def prefilled(self, stream: str, cached: int, seconds: float) -> None:
        """Note a finished prefill."""

    def decoding(self, stream: str) -> None:
        """Note a first token."""

    def ended(self, stream: str, tokens: int, pace: float) -> None:
        """Note an attempt that ended well."""

    def failed(self, stream: str, pair: Pair, decode: bool) -> None:
        """Note an attempt that failed."""

    def start(self) -> None:
        """Start background work."""


class _Quiet:
    """A policy that learns nothing from what became of its requests."""

    def prefilled(self, stream: str, cached: int, seconds: float) -> None:
        """Learn nothing."""

    def decoding(self, stream: str) -> None:
        """Learn nothing."""

    def ended(self, stream: str, tokens: int, pace: float) -> None:
        """Learn nothing."""

    def failed(self, stream: str, pair: Pair, decode: bool) -> None:
        """Learn nothing."""

    def start(self) -> None:
        """Start nothing."""


class RoundRobin(_Quiet):
    """Each entry takes the engines in turn."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self._fleet = fleet
        self._next: collections.Counter[int] = collections.Counter()

    async def place(
        self, arrival: workloads.Arrival, attempt: int, left: float
    ) -> Pair | Refused:
        """Return the next pair."""
        turn = self._next[arrival.entry]
        self._next[arrival.entry] += 1
        return Pair(
            turn % len(self._fleet.prefills), turn % len(self._fleet.decodes)
        )


class LeastLoad(_Quiet):
    """Each entry alone takes the least loaded by the lagging reports."""

    def __init__(self, fleet: fleet_module.Fleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._loads: dict[str, int] = {}

    def start(self) -> None:
        """Read reports now and then."""
        self._fleet.keep(self._read())

    async def place(
        self, arrival: workloads.Arrival, attempt: int, left: float
    ) -> Pair | Refused:
        """Return the pair with the least reported load."""
        return Pair(
            self._least('p', len(self._fleet.prefills)),
            self._least('d', len(self._fleet.decodes)),
        )

    def _least(self, letter: str, count: int) -> int:
        def load(index: int) -> tuple[int, float]:
            reported = self._loads.get(f'{letter}{index}', 0)
            return reported, self._random.random()

        return min(range(count), key=load)

    async def _read(self) -> None:
        while True:
            self._loads = {
                name: held for name, (held, _) in self._fleet.reports().items()
            }
            await asyncio.sleep(0.25)


class PrefillFirst(LeastLoad):
    """One place decides, by prefill queues alone; decode is seen to later."""

    def __init__(self, fleet: fleet_module.Fleet, seed: int) -> None:
        super().__init__(fleet, seed)
        self._placed: collections.Counter[int] = collections.Counter()
        self._where: dict[str, int] = {}

    async def place(
        self, arrival: workloads.Arrival, attempt: int, left: float
    ) -> Pair | Refused:
        """Return the prefill engine with the shortest queue."""
        count = len(self._fleet.prefills)
        prefill = min(range(count), key=lambda i: self._placed[i])
        self._placed[prefill] += 1
        self._where[f'{arrival.number}.{attempt}'] = prefill
        return Pair(prefill, self._least('d', len(self._fleet.decodes)))

    def prefilled(self, stream: str, cached: int, seconds: float) -> None:
        """Count a prompt out of its queue."""
        self._placed[self._where.pop(stream)] -= 1

    def failed(self, stream: str, pair: Pair, decode: bool) -> None:
        """Count a prompt out of its queue."""
        if stream in self._where:
            self._placed[self._where.pop(stream)] -= 1


@dataclasses.dataclass(frozen=True)
class Mechanisms:
    """Mechanisms of the product's policy that can be switched off."""

    decode_first: bool = True
    shedding: bool = True
    cache: bool = True
    urgency: bool = True
    fairness: bool = True
    health: bool = True
    queueing: bool = True


class Owner:
    """The product: a cell that decides for all entries."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        workload: workloads.Workload,
        seed: int,
        uses: Mechanisms,
    ) -> None:
        self._fleet = fleet
        self._uses = uses
        self._service = schema.ModelService(
            ids.ServiceName('x'),
            'm',
            waste_weight=workload.waste_weight,
        )
        self._cell = cell_module.Cell(self._service, random.Random(seed))
        engines = fleet.declared(10**6 if not uses.decode_first else 0)
        names = frozenset(engine.name for engine in engines)
        self._cell.configure(self._service, engines, {_SITE: names})
        self._waiting: dict[str, asyncio.Future[Pair | Refused]] = {}
        self._wake = asyncio.Event()

    def start(self) -> None:
        """Decide whenever something changed or is due."""
        self._fleet.keep(self._decide())
        self._fleet.keep(self._read())

    async def place(
        self, arrival: workloads.Arrival, attempt: int, left: float
    ) -> Pair | Refused:
        """Ask the cell, over the network both ways."""
        await asyncio.sleep(self._fleet.delay(arrival.entry))
        stream = ids.StreamId(f'{arrival.number}.{attempt}')
        future: asyncio.Future[Pair | Refused]
        future = asyncio.get_running_loop().create_future()
        self._waiting[stream] = future
        decision = self._cell.submit(
            self._request(arrival, stream, left), 1.0, self._now()
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

    def prefilled(self, stream: str, cached: int, seconds: float) -> None:
        """Tell the cell."""
        news = messages.Progress(
            ids.StreamId(stream),
            states.Stage.TRANSFER,
            cached,
            0,
            seconds,
        )
        self._cell.record_progress(news, self._now())
        self._wake.set()

    def decoding(self, stream: str) -> None:
        """Tell the cell."""
        news = messages.Progress(ids.StreamId(stream), states.Stage.DECODE)
        self._cell.record_progress(news, self._now())

    def ended(self, stream: str, tokens: int, pace: float) -> None:
        """Tell the cell."""
        release = messages.Release(ids.StreamId(stream), None, tokens, pace)
        self._cell.release(release, self._now())
        self._wake.set()

    def failed(self, stream: str, pair: Pair, decode: bool) -> None:
        """Tell the cell which engine failed."""
        index = pair.decode if decode else pair.prefill
        name = ids.EngineName(f'{"d" if decode else "p"}{index}')
        blame = name if self._uses.health else None
        release = messages.Release(ids.StreamId(stream), blame)
        self._cell.release(release, self._now())
        self._wake.set()

    def _request(
        self, arrival: workloads.Arrival, stream: ids.StreamId, left: float
    ) -> messages.PlaceRequest:
        uses = self._uses
        urgency = arrival.kind.urgency
        return messages.PlaceRequest(
            request=ids.RequestId(str(arrival.number)),
            stream=stream,
            entry=ids.MemberId(f'entry/{arrival.entry}'),
            service=self._service.name,
            site=_SITE,
            caller=ids.CallerName(arrival.caller if uses.fairness else 'all'),
            urgency=urgency if uses.urgency else states.Urgency.NORMAL,
            prompt_tokens=arrival.tokens,
            output_tokens=arrival.kind.output,
            first_token_timeout=left if uses.shedding else _UNSHED_PATIENCE,
            blocks=arrival.blocks if uses.cache else (),
            avoided_engines=(),
            data_centre=self._fleet.centre_of_entry(arrival.entry),
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
            look = self._cell.next_decision_at(self._now())
            self._wake.clear()
            wait = 0.25 if look is None else max(_LOOK, look - self._now())
            try:
                async with asyncio.timeout(wait):
                    await self._wake.wait()
            except asyncio.TimeoutError:
                pass

    async def _read(self) -> None:
        """Take the engines' load reports."""
        while True:
            await asyncio.sleep(_REPORT)
            if not self._uses.health:
                continue
            for name, (_, pace) in self._fleet.reports().items():
                self._cell.record_token_interval(
                    ids.EngineName(name), pace, self._now()
                )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


Make = typing.Callable[[fleet_module.Fleet, workloads.Workload, int], Policy]


def _owner(uses: Mechanisms) -> Make:
    def make(
        fleet: fleet_module.Fleet, workload: workloads.Workload, seed: int
    ) -> Policy:
        return Owner(fleet, workload, seed, uses)

    return make


def _least(
    fleet: fleet_module.Fleet, workload: workloads.Workload, seed: int
) -> Policy:
    return LeastLoad(fleet, seed)


def _prefill_first(
    fleet: fleet_module.Fleet, workload: workloads.Workload, seed: int
) -> Policy:
    return PrefillFirst(fleet, seed)


def _round_robin(
    fleet: fleet_module.Fleet, workload: workloads.Workload, seed: int
) -> Policy:
    return RoundRobin(fleet)


BASELINES: typing.Final[dict[str, Make]] = {
    'round robin': _round_robin,
    'least load': _least,
    'prefill first': _prefill_first,
}
OURS: typing.Final = 'ours'
POLICIES: typing.Final[dict[str, Make]] = {
    **BASELINES,
    OURS: _owner(Mechanisms()),
    'no decode first': _owner(Mechanisms(decode_first=False)),
    'no shedding': _owner(Mechanisms(shedding=False)),
    'no cache index': _owner(Mechanisms(cache=False)),
    'no urgency': _owner(Mechanisms(urgency=False)),
    'no fairness': _owner(Mechanisms(fairness=False)),
    'no health': _owner(Mechanisms(health=False)),
}
