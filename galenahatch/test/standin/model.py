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

"""Time model of an engine, shared by the stand-in and the benchmarks.

It runs on any event loop, so a benchmark can run it under virtual time.
Prefill: one prompt at a time, by priority; the result is kept until it is
exported or evicted. Decode: a fixed number of places; one step for the
whole batch takes longer the more streams there are.
"""

import asyncio
import collections
import dataclasses
import heapq
import typing

import xxhash

from galenahatch.core import cache


@dataclasses.dataclass
class Params:
    """Speeds and sizes of an engine; times are seconds.

    Attributes:
        places: streams that the memory holds.
        prefill_rate: prompt tokens a second.
        step: time of a decode step with one stream.
        step_per_stream: more for each further stream.
        eviction: time for which a prefill's result is kept.
        link_rate: KV bytes a second.
        kv_bytes: KV bytes of a prompt token.
        cache_blocks: prefix blocks that the cache holds.
        lag: age of a load report.
        event_delay: age of a cache event when it is first shown.
        slow: factor on all times, a fault.
    """

    places: int = 20
    prefill_rate: float = 8000.0
    step: float = 0.020
    step_per_stream: float = 0.0015
    eviction: float = 0.8
    link_rate: float = 5e9
    kv_bytes: int = 100_000
    cache_blocks: int = 4000
    lag: float = 0.2
    event_delay: float = 0.2
    slow: float = 1.0


@dataclasses.dataclass
class Kv:
    """A prefill's result."""

    prompt: str
    generated: tuple[str, ...]
    tokens: int
    at: float


@dataclasses.dataclass
class Stream:
    """A decode stream in memory, or kept after its end to be read."""

    prompt: str
    tokens: list[str]
    limit: int
    finish: str = ''
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Refused(Exception):
    """The engine does not take the work; nothing was started."""


class Evicted(Exception):
    """The prefill's result is not there any more."""


def token_count(prompt: str) -> int:
    """Return the length of a prompt in tokens."""
    return max(1, len(prompt) // 4)


def token_at(prompt: str, number: int) -> str:
    """Return a generated token; the same for each run of a prompt."""
    return f'w{xxhash.xxh32_intdigest(f"{prompt}|{number}".encode()) % 9973} '


def length_of(prompt: str, limit: int) -> tuple[int, str]:
    """Return how many tokens a prompt generates, and why it ends."""
    if limit <= 4:
        return limit, 'length'
    draw = xxhash.xxh32_intdigest(prompt.encode()) % 1000 / 1000
    length = max(1, int(limit * (0.3 + 0.8 * draw)))
    return (limit, 'length') if length >= limit else (length, 'stop')


def answer_of(prompt: str, limit: int) -> str:
    """Return the whole answer to a prompt, for oracles."""
    length, _ = length_of(prompt, limit)
    return ''.join(token_at(prompt, i) for i in range(length))


class Engine:
    """One engine, prefill or decode."""

    def __init__(self, params: Params) -> None:
        self.params = params
        self.kvs: dict[str, Kv] = {}
        self.streams: dict[str, Stream] = {}
        self.held: dict[str, float] = {}
        self.prefilled_tokens = 0
        self.wasted_tokens = 0
        self.cached: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.events: list[tuple[float, tuple[int, ...], bool]] = []
        self._queue: list[tuple[int, int, str, asyncio.Future[None]]] = []
        self._sequence = 0
        self._prefilling: str | None = None
        self._link_free_at = 0.0
        self._stepping: asyncio.Task[None] | None = None
        self.step_time = 0.0

    def now(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    async def prefill(
        self, stream: str, prompt: str, generated: tuple[str, ...], prio: int
    ) -> tuple[int, int]:
        """Run a prefill; return tokens and cached tokens."""
        self.held[stream] = self.now()
        try:
            await self._turn(prio, stream)
            tokens = token_count(prompt) + len(generated)
            cached = self._cached_tokens(prompt, tokens)
            cost = (tokens - cached) / self.params.prefill_rate
            self.prefilled_tokens += tokens - cached
            await asyncio.sleep(cost * self.params.slow)
        except asyncio.CancelledError:
            self.held.pop(stream, None)
            raise
        finally:
            if self._prefilling == stream:
                self._prefilling = None
                self._wake_next()
        if stream not in self.held:
            self.wasted_tokens += tokens - cached
            raise Evicted()
        kv = Kv(prompt, generated, tokens - cached, self.now())
        self.kvs[stream] = kv
        self._remember(prompt)
        asyncio.get_running_loop().call_later(
            self.params.eviction, self._evict, stream, kv
        )
        return tokens, cached

    def export(self, stream: str) -> Kv:
        """Hand a result out; its memory is free then."""
        kv = self.kvs.pop(stream, None)
        if kv is None:
            raise Evicted()
        self.held.pop(stream, None)
        return kv

    def reserve(self, stream: str) -> None:
        """Take a decode place."""
        if len(self.held) >= self.params.places:
            raise Refused()
        self.held[stream] = self.now()

    async def transfer(self, tokens: int) -> None:
        """Wait for a transfer of some prompt tokens over the link."""
        size = tokens * self.params.kv_bytes
        start = max(self.now(), self._link_free_at)
        self._link_free_at = start + size / self.params.link_rate
        await asyncio.sleep(self._link_free_at - self.now())

    def generate(self, name: str, kv: Kv, limit: int) -> Stream:
        """Begin to generate on a reserved place."""
        stream = Stream(kv.prompt, list(kv.generated), limit)
        self.streams[name] = stream
        if self._stepping is None or self._stepping.done():
            self._stepping = asyncio.create_task(self._step())
        return stream

    def cancel(self, name: str) -> bool:
        """Free all memory of a stream; False if there was none."""
        known = name in self.held or name in self.streams
        self.held.pop(name, None)
        kv = self.kvs.pop(name, None)
        if kv is not None:
            self.wasted_tokens += kv.tokens
        stream = self.streams.pop(name, None)
        if stream is not None and not stream.finish:
            stream.finish = 'cancelled'
            stream.changed.set()
        return known

    async def _turn(self, prio: int, stream: str) -> None:
        if self._prefilling is None and not self._queue:
            self._prefilling = stream
            return
        self._sequence += 1
        turn: asyncio.Future[None]
        turn = asyncio.get_running_loop().create_future()
        entry = (prio, self._sequence, stream, turn)
        heapq.heappush(self._queue, entry)
        await turn

    def _wake_next(self) -> None:
        while self._queue:
            _, _, stream, turn = heapq.heappop(self._queue)
            if not turn.done() and stream in self.held:
                self._prefilling = stream
                turn.set_result(None)
                return
            turn.cancel()

    def _evict(self, stream: str, kv: Kv) -> None:
        if self.kvs.get(stream) is kv:
            del self.kvs[stream]
            self.held.pop(stream, None)
            self.wasted_tokens += kv.tokens

    def _cached_tokens(self, prompt: str, tokens: int) -> int:
        hit = 0
        for number, block in enumerate(cache.hash_blocks(prompt)):
            if block not in self.cached:
                break
            self.cached.move_to_end(block)
            hit = (number + 1) * cache.BLOCK_BYTES // 4
        return min(hit, tokens - 1)

    def _remember(self, prompt: str) -> None:
        fresh = []
        for block in cache.hash_blocks(prompt):
            if block not in self.cached:
                fresh.append(block)
            self.cached[block] = None
        if fresh:
            self.events.append((self.now(), tuple(fresh), False))
        gone = []
        while len(self.cached) > self.params.cache_blocks:
            gone.append(self.cached.popitem(last=False)[0])
        if gone:
            self.events.append((self.now(), tuple(gone), True))

    async def _step(self) -> None:
        while True:
            active = [s for s in self.streams.values() if not s.finish]
            if not active:
                return
            params = self.params
            extra = params.step_per_stream * (len(active) - 1)
            self.step_time = (params.step + extra) * params.slow
            await asyncio.sleep(self.step_time)
            for name, stream in list(self.streams.items()):
                if stream in active and not stream.finish:
                    self._advance(name, stream)

    def _advance(self, name: str, stream: Stream) -> None:
        length, finish = length_of(stream.prompt, stream.limit)
        if len(stream.tokens) < length:
            text = token_at(stream.prompt, len(stream.tokens))
            stream.tokens.append(text)
        if len(stream.tokens) >= length:
            stream.finish = finish
            self.held.pop(name, None)
        stream.changed.set()


Report = typing.Callable[[], tuple[int, float]]


def lagging_report(engine: Engine) -> Report:
    """Return a function that reports held streams and step time late."""
    past: collections.deque[tuple[float, int, float]] = collections.deque()

    def report() -> tuple[int, float]:
        now = engine.now()
        past.append((now, len(engine.held), engine.step_time))
        while len(past) > 1 and past[1][0] <= now - engine.params.lag:
            past.popleft()
        return past[0][1], past[0][2]

    return report
