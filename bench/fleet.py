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

"""Engines of one workload, six entries, and the course of a request.

The engines are the stand-in's time model. The course is the entry's: it
prefills, waits for a decode place until the result is evicted, transfers,
decodes, and tries again a few times. Faults are done at a given time.
"""

import asyncio
import collections.abc
import dataclasses
import typing

from bench import workloads
from galenahatch import ids
from galenahatch import schema
from galenahatch.test.standin import model

ENTRIES: typing.Final = 6
MOST_ATTEMPTS: typing.Final = 4
LEAVE_AFTER: typing.Final = 4.0
_FULL_WAIT: typing.Final = 0.03
_BACKOFF: typing.Final = 0.05
_ORPHAN_SECONDS: typing.Final = 2.5


@dataclasses.dataclass
class Record:
    """What became of one request.

    Attributes:
        kind: name of its class.
        first: seconds to the first token; None if there was none.
        pace: mean seconds between tokens.
        refused: reason if it was given up.
        retry_after: seconds it was told.
        lost: its entry died.
    """

    number: int
    kind: str
    caller: str
    at: float
    target: float
    first: float | None = None
    pace: float = 0.0
    whole: bool = False
    refused: str = ''
    retry_after: float = 0.0
    ticket: str = ''
    lost: bool = False

    def good(self, pace_target: float) -> bool:
        """Return whether it met both targets."""
        return (
            self.whole
            and self.first is not None
            and self.first <= self.target
            and self.pace <= pace_target
        )


class Down(Exception):
    """The engine does not answer."""


class Fleet:
    """Engines and their network."""

    def __init__(
        self, workload: workloads.Workload, params: model.Params
    ) -> None:
        self.workload = workload
        self.params = params
        self.prefills = [
            model.Engine(dataclasses.replace(params))
            for _ in range(workload.prefills)
        ]
        self.decodes = [
            model.Engine(dataclasses.replace(params))
            for _ in range(workload.decodes)
        ]
        engines = self.prefills + self.decodes
        self._reports = [model.lagging_report(e) for e in engines]
        self.down: set[str] = set()
        self.cut_centre: int | None = None
        self._kept: list[asyncio.Task[None]] = []

    def keep(self, work: collections.abc.Coroutine[None, None, None]) -> None:
        """Run something in the background."""
        task = asyncio.create_task(work)
        task.add_done_callback(_must_go_on)
        self._kept.append(task)

    def names(self) -> list[str]:
        """Return the engines' names, prefill first."""
        first = [f'p{i}' for i in range(len(self.prefills))]
        return first + [f'd{i}' for i in range(len(self.decodes))]

    def engine(self, name: str) -> model.Engine:
        """Return an engine by name."""
        pool = self.prefills if name[0] == 'p' else self.decodes
        return pool[int(name[1:])]

    def reports(self) -> dict[str, tuple[int, float]]:
        """Return the lagging load reports of engines that answer."""
        return {
            name: report()
            for name, report in zip(self.names(), self._reports, strict=True)
            if name not in self.down and not self._cut(name)
        }

    def centre(self, index: int) -> int:
        """Return the data centre of an engine or entry."""
        return index % self.workload.data_centres

    def centre_of_entry(self, entry: int) -> ids.DataCentre:
        """Return the data centre of an entry by name."""
        return ids.DataCentre(f'dc{self.centre(entry)}')

    def delay(self, entry: int) -> float:
        """Return the one-way time between an entry and the owner."""
        return 0.0 if self.centre(entry) == 0 else self.workload.one_way

    def declared(self, places: int) -> tuple[schema.Engine, ...]:
        """Return the engines as a configuration declares them.

        Args:
            places: instead of the true number, if not 0.
        """
        return tuple(
            schema.Engine(
                name=ids.EngineName(name),
                service=ids.ServiceName('x'),
                role='prefill' if name[0] == 'p' else 'decode',
                data_centre=ids.DataCentre(f'dc{self.centre(int(name[1:]))}'),
                address='127.0.0.1',
                port=1,
                places=places or self.params.places,
                prefill_tokens_per_second=self.params.prefill_rate,
                kv_bytes_per_token=self.params.kv_bytes,
                link_bytes_per_second=self.params.link_rate,
                eviction_ms=int(self.params.eviction * 1000),
            )
            for name in self.names()
        )

    def reach(self, name: str, entry: int) -> model.Engine:
        """Return an engine that an entry can reach; Down if it can't."""
        if name in self.down:
            raise Down()
        here = self.centre(entry) == self.cut_centre
        there = self._cut(name)
        if here != there:
            raise Down()
        return self.engine(name)

    def kill(self, name: str) -> None:
        """Stop an engine; what it held is lost."""
        self.down.add(name)
        engine = self.engine(name)
        for stream in [*engine.held, *engine.streams]:
            engine.cancel(stream)

    def wasted_share(self) -> float:
        """Return wasted over all prefilled tokens."""
        engines = self.prefills + self.decodes
        wasted = sum(engine.wasted_tokens for engine in engines)
        return wasted / max(1, sum(e.prefilled_tokens for e in engines))

    def _cut(self, name: str) -> bool:
        if self.cut_centre is None:
            return False
        return self.centre(int(name[1:])) == self.cut_centre


def _must_go_on(task: asyncio.Task[None]) -> None:
    """Fail the run when a background task fails."""
    if not task.cancelled() and task.exception() is not None:
        raise SystemExit(repr(task.exception()))


class Course:
    """One request from arrival to its end."""

    def __init__(
        self,
        fleet: Fleet,
        policy: typing.Any,
        arrival: workloads.Arrival,
        record: Record,
    ) -> None:
        self._fleet = fleet
        self._policy = policy
        self._arrival = arrival
        self._record = record
        self._streams: list[tuple[str, str]] = []

    async def run(self) -> None:
        """Run to the end, or until the caller leaves."""
        target = self._arrival.kind.first_token
        leave_after = target + LEAVE_AFTER + self._arrival.kind.output * 0.1
        try:
            async with asyncio.timeout(leave_after):
                await self._attempts()
        except asyncio.TimeoutError:
            self.free()

    def free(self) -> None:
        """Cancel whatever engines hold of it."""
        for name, stream in self._streams:
            if name not in self._fleet.down:
                self._fleet.engine(name).cancel(stream)

    async def orphan(self, task: asyncio.Task[None]) -> None:
        """Its entry dies: its streams are cancelled a little later."""
        self._record.lost = True
        task.cancel()
        await asyncio.sleep(_ORPHAN_SECONDS)
        self.free()

    async def _attempts(self) -> None:
        for attempt in range(MOST_ATTEMPTS):
            left = self._arrival.kind.first_token - self._waited()
            place = self._policy.place(self._arrival, attempt, left)
            pair = await place
            if hasattr(pair, 'reason'):
                self._record.refused = pair.reason
                self._record.retry_after = pair.retry_after
                self._record.ticket = pair.ticket
                return
            if await self._attempt(f'{self._arrival.number}.{attempt}', pair):
                return
            await asyncio.sleep(_BACKOFF)
        self._record.refused = 'retries_failed'

    async def _attempt(self, stream: str, pair: typing.Any) -> bool:
        blame_decode = False
        try:
            tokens = await self._prefill(stream, pair)
            blame_decode = True
            await self._decode(stream, pair, tokens)
        except (Down, model.Evicted):
            self.free()
            self._streams.clear()
            self._policy.failed(stream, pair, blame_decode)
            return False
        except asyncio.CancelledError:
            self._policy.failed(stream, pair, blame_decode)
            raise
        return True

    async def _prefill(self, stream: str, pair: typing.Any) -> int:
        name = f'p{pair.prefill}'
        engine = self._fleet.reach(name, self._arrival.entry)
        self._streams.append((name, stream))
        began = self._now()
        work = engine.prefill(
            stream,
            self._arrival.prompt,
            (),
            int(self._arrival.kind.urgency),
        )
        tokens, cached = await work
        self._fleet.reach(name, self._arrival.entry)
        self._policy.prefilled(stream, cached, self._now() - began)
        return tokens

    async def _decode(
        self, stream: str, pair: typing.Any, tokens: int
    ) -> None:
        source = self._fleet.engine(f'p{pair.prefill}')
        name = f'd{pair.decode}'
        while True:
            engine = self._fleet.reach(name, self._arrival.entry)
            if stream not in source.kvs:
                raise model.Evicted()
            try:
                engine.reserve(stream)
                break
            except model.Refused:
                await asyncio.sleep(_FULL_WAIT)
        self._streams.append((name, stream))
        kv = source.export(stream)
        await engine.transfer(tokens)
        if name in self._fleet.down:
            raise Down()
        state = engine.generate(stream, kv, self._arrival.kind.output)
        await self._read(stream, name, state)

    async def _read(self, stream: str, name: str, state: model.Stream) -> None:
        first_at = 0.0
        while not state.finish:
            state.changed.clear()
            await state.changed.wait()
            self._fleet.reach(name, self._arrival.entry)
            if state.tokens and not first_at:
                first_at = self._now()
                self._policy.decoding(stream)
        if state.finish == 'cancelled':
            raise Down()
        count = len(state.tokens)
        pace = (self._now() - first_at) / (count - 1) if count > 1 else 0.0
        if self._record.first is None:
            self._record.first = first_at - self._arrival.at
        self._record.pace = pace
        self._record.whole = True
        self._policy.ended(stream, count, pace)
        self._fleet.engine(name).streams.pop(stream, None)

    def _waited(self) -> float:
        return self._now() - self._arrival.at

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
