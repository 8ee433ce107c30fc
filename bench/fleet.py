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

"""Simulated engines of one workload, six entries, and their requests.

The engines use the stand-in's time model. A request follows the steps of an
entry: it prefills, waits for a decode slot until its KV cache is evicted,
transfers, decodes, and retries a few times after a failure.
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
MAX_ATTEMPTS: typing.Final = 4
ABANDON_SLACK_S: typing.Final = 4.0
"""Seconds past the first-token target, and the time to decode, after which a
caller disconnects."""
_FULL_RETRY_DELAY_S: typing.Final = 0.03
_ATTEMPT_BACKOFF_S: typing.Final = 0.05
_ORPHAN_CLEANUP_DELAY_S: typing.Final = 2.5


@dataclasses.dataclass
class RequestRecord:
    """The outcome of one request.

    Attributes:
        kind: name of its class.
        at: seconds from the start of the run to its arrival.
        first_token_target_s: target for the first token, in seconds.
        first_token_s: seconds to the first token; None if there was none.
        token_interval_s: mean seconds between tokens.
        is_complete: whether all tokens arrived.
        refused: reason for the refusal, or an empty string.
        retry_after: seconds after which the caller may retry.
        ticket: queue ticket of the refusal.
        is_entry_dead: whether its entry died.
    """

    number: int
    kind: str
    caller: str
    at: float
    first_token_target_s: float
    first_token_s: float | None = None
    token_interval_s: float = 0.0
    is_complete: bool = False
    refused: str = ''
    retry_after: float = 0.0
    ticket: str = ''
    is_entry_dead: bool = False

    def met_targets(self, token_interval_target_s: float) -> bool:
        """Return whether it completed within both latency targets."""
        return (
            self.is_complete
            and self.first_token_s is not None
            and self.first_token_s <= self.first_token_target_s
            and self.token_interval_s <= token_interval_target_s
        )


class EngineDown(Exception):
    """Raised if an engine does not respond."""


class Fleet:
    """Engines, and which of them each entry can reach."""

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
        self.down_engines: set[str] = set()
        self.isolated_data_centre: int | None = None
        self._background_tasks: list[asyncio.Task[None]] = []

    def start_background(
        self, coroutine: collections.abc.Coroutine[None, None, None]
    ) -> None:
        """Run a coroutine in the background; its failure ends the run."""
        task = asyncio.create_task(coroutine)
        task.add_done_callback(_raise_task_failure)
        self._background_tasks.append(task)

    def names(self) -> list[str]:
        """Return the names of the engines, prefill engines first."""
        prefill_names = [f'p{i}' for i in range(len(self.prefills))]
        return prefill_names + [f'd{i}' for i in range(len(self.decodes))]

    def engine(self, name: str) -> model.Engine:
        """Return the engine of a name."""
        pool = self.prefills if name[0] == 'p' else self.decodes
        return pool[int(name[1:])]

    def reports(self) -> dict[str, tuple[int, float]]:
        """Return the delayed load reports of the engines that respond."""
        return {
            name: report()
            for name, report in zip(self.names(), self._reports, strict=True)
            if name not in self.down_engines and not self._is_isolated(name)
        }

    def data_centre_index(self, index: int) -> int:
        """Return the index of the data centre of an engine or entry."""
        return index % self.workload.data_centres

    def data_centre_of_entry(self, entry: int) -> ids.DataCentre:
        """Return the name of the data centre of an entry."""
        return ids.DataCentre(f'dc{self.data_centre_index(entry)}')

    def delay(self, entry: int) -> float:
        """Return the one-way delay from an entry to the owner in seconds."""
        return (
            0.0
            if self.data_centre_index(entry) == 0
            else self.workload.one_way_delay_s
        )

    def declarations(self, places: int) -> tuple[schema.Engine, ...]:
        """Return the engines as declared in a configuration.

        Args:
            places: declared decode slots; 0 for the actual number.
        """
        return tuple(
            schema.Engine(
                name=ids.EngineName(name),
                service=ids.ServiceName('x'),
                role='prefill' if name[0] == 'p' else 'decode',
                data_centre=ids.DataCentre(
                    f'dc{self.data_centre_index(int(name[1:]))}'
                ),
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

    def reachable_engine(self, name: str, entry: int) -> model.Engine:
        """Return an engine.

        Raises:
            EngineDown: The entry can't reach the engine.
        """
        if name in self.down_engines:
            raise EngineDown()
        is_entry_isolated = (
            self.data_centre_index(entry) == self.isolated_data_centre
        )
        is_engine_isolated = self._is_isolated(name)
        if is_entry_isolated != is_engine_isolated:
            raise EngineDown()
        return self.engine(name)

    def kill(self, name: str) -> None:
        """Stop an engine and discard its requests."""
        self.down_engines.add(name)
        engine = self.engine(name)
        for stream in [*engine.held, *engine.streams]:
            engine.cancel(stream)

    def wasted_share(self) -> float:
        """Return the share of prefilled tokens that were never used."""
        engines = self.prefills + self.decodes
        wasted_tokens = sum(engine.wasted_tokens for engine in engines)
        return wasted_tokens / max(1, sum(e.prefilled_tokens for e in engines))

    def _is_isolated(self, name: str) -> bool:
        if self.isolated_data_centre is None:
            return False
        return (
            self.data_centre_index(int(name[1:])) == self.isolated_data_centre
        )


def _raise_task_failure(task: asyncio.Task[None]) -> None:
    """End the run if a background task failed."""
    if not task.cancelled() and task.exception() is not None:
        raise SystemExit(repr(task.exception()))


class RequestRun:
    """Runs one request from its arrival to its end."""

    def __init__(
        self,
        fleet: Fleet,
        policy: typing.Any,
        arrival: workloads.Arrival,
        record: RequestRecord,
    ) -> None:
        self._fleet = fleet
        self._policy = policy
        self._arrival = arrival
        self._record = record
        self._streams: list[tuple[str, str]] = []

    async def run(self) -> None:
        """Run the request until it ends or its caller disconnects."""
        first_token_target_s = self._arrival.kind.first_token_target_s
        timeout_s = (
            first_token_target_s
            + ABANDON_SLACK_S
            + self._arrival.kind.output * 0.1
        )
        try:
            async with asyncio.timeout(timeout_s):
                await self._run_attempts()
        except asyncio.TimeoutError:
            self.cancel_streams()

    def cancel_streams(self) -> None:
        """Cancel the streams of the request at all engines."""
        for name, stream in self._streams:
            if name not in self._fleet.down_engines:
                self._fleet.engine(name).cancel(stream)

    async def abandon(self, task: asyncio.Task[None]) -> None:
        """Stop the request because its entry died.

        Engines cancel its streams only after a delay.
        """
        self._record.is_entry_dead = True
        task.cancel()
        await asyncio.sleep(_ORPHAN_CLEANUP_DELAY_S)
        self.cancel_streams()

    async def _run_attempts(self) -> None:
        for attempt in range(MAX_ATTEMPTS):
            remaining_s = (
                self._arrival.kind.first_token_target_s - self._elapsed_s()
            )
            place = self._policy.place(self._arrival, attempt, remaining_s)
            pair = await place
            if hasattr(pair, 'reason'):
                self._record.refused = pair.reason
                self._record.retry_after = pair.retry_after
                self._record.ticket = pair.ticket
                return
            if await self._run_attempt(
                f'{self._arrival.number}.{attempt}', pair
            ):
                return
            await asyncio.sleep(_ATTEMPT_BACKOFF_S)
        self._record.refused = 'retries_failed'

    async def _run_attempt(self, stream: str, pair: typing.Any) -> bool:
        blame_decode = False
        try:
            tokens = await self._prefill(stream, pair)
            blame_decode = True
            await self._decode(stream, pair, tokens)
        except (EngineDown, model.Evicted):
            self.cancel_streams()
            self._streams.clear()
            self._policy.on_failure(stream, pair, blame_decode)
            return False
        except asyncio.CancelledError:
            self._policy.on_failure(stream, pair, blame_decode)
            raise
        return True

    async def _prefill(self, stream: str, pair: typing.Any) -> int:
        name = f'p{pair.prefill}'
        engine = self._fleet.reachable_engine(name, self._arrival.entry)
        self._streams.append((name, stream))
        started_at = self._now()
        prefill = engine.prefill(
            stream,
            self._arrival.prompt,
            (),
            int(self._arrival.kind.urgency),
        )
        tokens, cached = await prefill
        self._fleet.reachable_engine(name, self._arrival.entry)
        self._policy.on_prefill_done(stream, cached, self._now() - started_at)
        return tokens

    async def _decode(
        self, stream: str, pair: typing.Any, tokens: int
    ) -> None:
        source = self._fleet.engine(f'p{pair.prefill}')
        name = f'd{pair.decode}'
        while True:
            engine = self._fleet.reachable_engine(name, self._arrival.entry)
            if stream not in source.kvs:
                raise model.Evicted()
            try:
                engine.reserve(stream)
                break
            except model.Refused:
                await asyncio.sleep(_FULL_RETRY_DELAY_S)
        self._streams.append((name, stream))
        kv = source.export(stream)
        await engine.transfer(tokens)
        if name in self._fleet.down_engines:
            raise EngineDown()
        state = engine.generate(stream, kv, self._arrival.kind.output)
        await self._read_tokens(stream, name, state)

    async def _read_tokens(
        self, stream: str, name: str, state: model.Stream
    ) -> None:
        first_token_at = 0.0
        while not state.finish:
            state.changed.clear()
            await state.changed.wait()
            self._fleet.reachable_engine(name, self._arrival.entry)
            if state.tokens and not first_token_at:
                first_token_at = self._now()
                self._policy.on_first_token(stream)
        if state.finish == 'cancelled':
            raise EngineDown()
        count = len(state.tokens)
        token_interval_s = (
            (self._now() - first_token_at) / (count - 1) if count > 1 else 0.0
        )
        if self._record.first_token_s is None:
            self._record.first_token_s = first_token_at - self._arrival.at
        self._record.token_interval_s = token_interval_s
        self._record.is_complete = True
        self._policy.on_complete(stream, count, token_interval_s)
        self._fleet.engine(name).streams.pop(stream, None)

    def _elapsed_s(self) -> float:
        return self._now() - self._arrival.at

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
