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

"""The gateway's decisions replayed in virtual time: `make decisions`.

The owner's core (`core/dispatch`) decides over engines that follow the
behaviour published for them: prompts are read one after another, tokens are
made in steps that grow with the runs, memory holds prompts and what was
made, and the newest run is preempted when it is full and read again.
Callers come by a rate with bursts, heed the time to come back once, and
leave without a first event. What is counted: a whole answer in time is worth
its full credit, counted from the caller's first attempt, a late one a fifth;
being held and not served costs up to the credit, a second refusal 0.8 of it.

Everything is decided by the seed. It answers in seconds what a policy does
over many bursts, where single days differ by more than policies do. It does
not model connections, failures of calls, or the store.
"""

import argparse
import collections
import collections.abc
import concurrent.futures
import dataclasses
import itertools
import math
import random
import statistics
import sys
import typing

from galenahatch.core import dispatch
from galenahatch.core import figures
from galenahatch.core import generations
from galenahatch.core import memory
from galenahatch.core import upstreams
from galenahatch import ids

_TICK: typing.Final = 0.01
_SECONDS: typing.Final = 50.0
_SEEDS: typing.Final = 24
_WORKERS: typing.Final = 4
_SERVICE: typing.Final = ids.ServiceName('model')
_HERE: typing.Final = ids.DataCentre('a')
_GATEWAY: typing.Final = ids.MemberId('m')
_BEAT_TICKS: typing.Final = 25
_PLAN_TICKS: typing.Final = 50
_LATE_SHARE: typing.Final = 0.2
_REFUSED_AGAIN: typing.Final = 0.8
"""A second refusal, and its doing so while half of the places are free:
memory fills before they do."""
_FREE_HOLD: typing.Final = 0.125
"""Part of the objective for which holding a request is free."""
_CHUNK: typing.Final = 1024
"""Tokens of a prompt that a decode engine reads between two of its steps."""
_SLOWER_READ: typing.Final = 2.0
_FETCH: typing.Final = 0.012
_SHOWN: typing.Final = (
    'worth',
    'credit',
    'prices',
    'in_time',
    'wasted',
    'in_vain',
)
_OBJECTIVE: typing.Final = 0.9
_PATIENCE: typing.Final = 3.6
_DEADLINE: typing.Final = 14.0
_LONGEST_PAUSE: typing.Final = 0.3
_HEEDED: typing.Final = 1 / 3


@dataclasses.dataclass(frozen=True)
class Engines:
    """Model engines of one kind, and what they are asked for.

    Attributes:
        capacity: tokens of KV cache.
        step: seconds for a token of each run, if one runs.
        step_per_run: seconds more for each further run.
        read_rate: prompt tokens a second.
        delay: seconds that a prefill takes besides.
        is_serial: whether no other prompt is read within the delay.
        stride: tokens of an event.
        switch: seconds for which a change of stage takes an engine away.
        prompt: median tokens of a prompt.
        output: median tokens of an answer.
        spread: of prompts and answers, in logarithms.
    """

    capacity: int = 76_702
    slots: int = 16
    step: float = 0.00072
    step_per_run: float = 0.0000252
    read_rate: float = 55_555.0
    delay: float = 0.0
    is_serial: bool = False
    stride: int = 50
    switch: float = 6.0
    prompt: int = 4600
    output: int = 3100
    spread: float = 0.47

    def pace(self, runs: int) -> float:
        """Return the seconds for a token beside some runs."""
        return self.step + self.step_per_run * runs

    def rate(self, prefills: int, decodes: int) -> float:
        """Return the requests a second that a division of engines ends."""
        mean = math.exp(self.spread**2 / 2)
        held = mean * (self.prompt + self.output / 2)
        runs = max(1, min(self.slots, int(0.9 * self.capacity / held)))
        life = mean * self.output * self.pace(runs)
        read = mean * self.prompt / self.read_rate
        read += self.delay * self.is_serial
        return min(prefills / read, decodes * runs / (life + read))


@dataclasses.dataclass(frozen=True)
class Day:
    """A course of the demand, and the engines before it.

    Attributes:
        rate: requests a second.
        bursts: start, length and factor of each.
        lost: decode engines that vanish at a third of the day.
        engines: of which kind they are.
        slow: engines of each stage that turn slow, from when on, for how
            long, and how many times as long their work takes.
    """

    name: str
    prefills: int
    decodes: int
    rate: float
    bursts: tuple[tuple[float, float, float], ...]
    lost: int = 0
    engines: Engines = Engines()
    slow: tuple[int, float, float, float] = (0, 0.0, 0.0, 1.0)

    def slowness(self, engine: str, now: float) -> float:
        """Return how many times as long the work of an engine takes."""
        count, start, length, factor = self.slow
        is_slow = int(engine[1:]) < count and start <= now < start + length
        return factor if is_slow else 1.0


_BURSTS: typing.Final = ((6.0, 5.0, 1.7), (17.0, 4.0, 2.1), (27.0, 4.0, 1.8))
DELAYED: typing.Final = Engines(
    capacity=58_379,
    slots=64,
    step=0.00455,
    step_per_run=0.000181,
    delay=0.1,
    stride=8,
    output=450,
)
"""Engines whose results come late, with answers of a tenth of the memory."""
_PEAKS: typing.Final = (
    (6.0, 5.0, 1.8),
    (16.0, 1.0, 1.3),
    (17.0, 4.0, 2.9),
    (21.0, 5.0, 1.3),
    (27.0, 4.0, 1.8),
)
"""Bursts of all kinds of requests, and some of one kind that meet them."""
DAYS: typing.Final = (
    Day('delayed', 2, 4, 6.5, _PEAKS, engines=DELAYED),
    Day('delayed, undivided', 3, 3, 6.5, _PEAKS, engines=DELAYED),
    Day('delayed, one lost', 2, 4, 6.5, _PEAKS, 1, DELAYED),
    Day('delayed, large', 18, 40, 74.0, _PEAKS, 4, DELAYED),
    Day('small', 1, 3, 3.9, _BURSTS),
    Day('small, undivided', 2, 2, 3.9, _BURSTS),
    Day('small, one lost', 1, 3, 3.9, _BURSTS, lost=1),
    Day('small, two lost', 1, 3, 3.9, _BURSTS, lost=2),
    Day('middle', 3, 6, 9.0, _BURSTS),
    Day('middle, two lost', 3, 6, 9.0, _BURSTS, lost=2),
    Day('middle, crowded', 3, 6, 14.0, _BURSTS),
    Day('large, crowded', 8, 22, 48.0, _BURSTS),
    Day('large, few prefills', 3, 20, 30.0, _BURSTS),
)


@dataclasses.dataclass
class _Caller:
    """One caller's request, over its attempts."""

    number: int
    prompt: int
    output: int
    hint: int
    most: int
    began: float
    attempt: int = 1
    arrived: float = 0.0
    placed: bool = False
    held: float = 0.0
    refusals: int = 0
    first: float = 0.0
    pause: float = 0.0
    event_at: float = 0.0
    made: float = 0.0
    events: int = 0
    credit: float = 0.0
    is_over: bool = False

    @property
    def size(self) -> float:
        return self.prompt + 10.0 * self.output

    @property
    def is_held_in_vain(self) -> bool:
        return not self.credit and self.held > _OBJECTIVE / 2

    @property
    def stream(self) -> ids.StreamId:
        return ids.StreamId(f'{self.number}.{self.attempt}')


class _Decode:
    """A decode engine: runs in the order in which they came."""

    def __init__(self, kind: Engines) -> None:
        self._kind = kind
        self.runs: list[_Caller] = []
        self.paused: collections.deque[_Caller] = collections.deque()
        self.unread: collections.deque[_Caller] = collections.deque()
        self.wasted = 0.0
        self._left = 0.0

    def step(self, now: float, slowness: float = 1.0) -> list[_Caller]:
        """Make one tick's tokens; return the runs that have ended."""
        self._fit()
        pace = self._kind.pace(len(self.runs)) * slowness
        if self.unread:
            self._read()
            pace += _CHUNK * _SLOWER_READ / self._kind.read_rate
        ended = []
        for caller in self.runs:
            caller.made += _TICK / pace
            events = math.floor(caller.made / self._kind.stride)
            if caller.made >= caller.output:
                events += 1
                ended.append(caller)
            if events > caller.events:
                self._event(caller, events, now)
        self.runs = [c for c in self.runs if c not in ended]
        return ended

    def _read(self) -> None:
        """Read a tick's part of the first prompt."""
        self._left = self._left or self.unread[0].prompt
        self._left -= _TICK * self._kind.read_rate / _SLOWER_READ
        if self._left <= 0:
            self._left = 0.0
            self.paused.append(self.unread.popleft())

    def _event(self, caller: _Caller, events: int, now: float) -> None:
        if not caller.events:
            caller.first = now
        else:
            caller.pause = max(caller.pause, now - caller.event_at)
        caller.events = events
        caller.event_at = now

    @property
    def used(self) -> float:
        """Tokens of memory that can't yield."""
        return sum(caller.prompt + caller.made for caller in self.runs)

    def _fit(self) -> None:
        """Preempt the newest while memory is short; take them back."""
        while self.used > self._kind.capacity and len(self.runs) > 1:
            caller = self.runs.pop()
            self.wasted += caller.prompt + caller.made
            self.paused.append(caller)
        while self.paused and len(self.runs) < self._kind.slots:
            caller = self.paused[0]
            need = caller.prompt + caller.made
            if self.runs and self.used + need > self._kind.capacity:
                return
            self.runs.append(self.paused.popleft())


@dataclasses.dataclass(frozen=True)
class Result:
    """What a day came to.

    Attributes:
        credit: share of the credit that is owed.
        prices: the same, of what is taken off.
        in_time: share of the callers that were served in time.
        wasted: tokens read again, as a share of all prompts.
        in_vain: share of the callers that were held for half of their
            objective or longer and then refused, or left.
    """

    credit: float
    prices: float
    in_time: float
    wasted: float
    in_vain: float

    @property
    def worth(self) -> float:
        """Credit less prices."""
        return self.credit - self.prices


class Replay:
    """One day with one seed.

    Args:
        day: demand and engines.
        seed: decides everything else.
    """

    def __init__(self, day: Day, seed: int) -> None:
        self._day = day
        self._random = random.Random(f'{day.name} {seed}')
        self._kind = day.engines
        self._owner = dispatch.Dispatcher(
            self._kind.capacity, self._kind.slots
        )
        self._decodes = {
            f'd{n}': _Decode(self._kind) for n in range(day.decodes)
        }
        self._idle_at = {f'p{n}': 0.0 for n in range(day.prefills)}
        self.changes: list[float] = []
        self._callers: list[_Caller] = []
        self._waiting: dict[ids.StreamId, _Caller] = {}
        self._later: list[
            tuple[float, collections.abc.Callable[[float], None]]
        ] = []
        self._numbers = itertools.count()
        self._tell_engines(0.0)

    def run(self) -> Result:
        """Play the day."""
        ticks = int((_SECONDS + _DEADLINE) / _TICK)
        for tick in range(ticks):
            now = tick * _TICK
            if abs(now - _SECONDS / 3) < _TICK / 2:
                self._lose(now)
            if now < _SECONDS:
                self._arrivals(now)
            self._happen(now)
            self._step(now)
            self._leave(now)
            if tick % _BEAT_TICKS == 0:
                self._beat(now)
            if tick % _PLAN_TICKS == 0:
                self._plan(now)
            for decision in self._owner.decide(now):
                self._take(decision, now)
        return self._result()

    @property
    def measured(self) -> figures.Figures:
        """What the owner has measured."""
        return self._owner.measured_figures

    def _tell_engines(self, now: float) -> None:
        stages = [
            *((name, upstreams.Stage.PREFILL) for name in self._idle_at),
            *((name, upstreams.Stage.DECODE) for name in self._decodes),
        ]
        engines = [
            upstreams.Upstream(
                ids.UpstreamId(name),
                _SERVICE,
                name,
                _HERE,
                self._kind.slots,
                False,
                at,
            )
            for name, at in stages
        ]
        self._owner.set_engines(engines, (), now)

    def _beat(self, now: float) -> None:
        """Tell the owner how far all runs have come, as gateways do."""
        held = []
        for name, engine in self._decodes.items():
            for caller in engine.runs:
                run = memory.Run(
                    caller.stream,
                    _GATEWAY,
                    caller.prompt,
                    caller.output,
                    caller.most,
                    caller.first,
                    caller.events * self._kind.stride,
                    now,
                )
                held.append((ids.UpstreamId(name), run))
        self._owner.reconcile_runs(_GATEWAY, held, now)

    def _plan(self, now: float) -> None:
        """Carry out the changes of stage that the owner wants."""
        for name in self._idle_at:
            self._report(name, upstreams.Stage.PREFILL, now)
        for name in self._decodes:
            self._report(name, upstreams.Stage.DECODE, now)
        for upstream, stage in self._owner.plan_stage_changes(now):
            back_at = now + self._kind.switch
            self._owner.engines.record_stage_order(
                upstream.id, stage, back_at + 8
            )
            self.changes.append(now)
            name = str(upstream.id)
            self._idle_at.pop(name, None)
            gone = self._decodes.pop(name, None)
            self._later.append((back_at, self._change(name, stage, gone)))

    def _report(self, name: str, stage: upstreams.Stage, now: float) -> None:
        """Have an engine tell its stage, as its report does."""
        decode = self._decodes.get(name)
        used = int(decode.used) if decode is not None else 0
        self._owner.engines.record_report(
            ids.UpstreamId(name), used, stage, False, now
        )

    def _change(
        self, name: str, stage: upstreams.Stage, gone: _Decode | None
    ) -> collections.abc.Callable[[float], None]:

        def change(now: float) -> None:
            if stage is upstreams.Stage.PREFILL:
                self._idle_at[name] = now
            else:
                self._decodes[name] = _Decode(self._kind)
            self._tell_engines(now)

        for caller in (*gone.runs, *gone.paused) if gone is not None else ():
            # Runs go on to their ends meanwhile, which is not modelled.
            caller.credit = 1.0
            caller.is_over = True
        return change

    def _lose(self, now: float) -> None:
        for name in list(self._decodes)[: self._day.lost]:
            engine = self._decodes.pop(name)
            for caller in (*engine.runs, *engine.paused, *engine.unread):
                self._owner.release(caller.stream, 0, 0.0, now)
                caller.is_over = True
        self._tell_engines(now)

    def _rate(self, now: float) -> float:
        rate = self._day.rate
        for start, length, factor in self._day.bursts:
            if start <= now < start + length:
                rate *= factor
        return rate * (1 + 0.15 * math.sin(now * 2 * math.pi / 11))

    def _arrivals(self, now: float) -> None:
        if self._random.random() >= self._rate(now) * _TICK:
            return
        draw = self._random.lognormvariate
        kind = self._kind
        largest = 2.2 * kind.prompt
        prompt = min(largest, draw(math.log(kind.prompt), kind.spread))
        longest = 2.1 * kind.output
        output = min(longest, draw(math.log(kind.output), kind.spread))
        output = max(kind.stride, output)
        caller = _Caller(
            number=next(self._numbers),
            prompt=max(kind.prompt // 9, int(prompt)),
            output=int(output),
            hint=max(1, int(output * draw(0.0, 0.5))),
            most=int(max(output, longest)),
            began=now,
        )
        self._callers.append(caller)
        self._ask(caller, now)

    def _ask(self, caller: _Caller, now: float) -> None:
        caller.arrived = now
        job = generations.Job(
            stream=caller.stream,
            entry=_GATEWAY,
            prompt_tokens=caller.prompt,
            output_hint=caller.hint,
            max_output=caller.most,
            arrived_at=now,
            start_deadline=now + _OBJECTIVE,
            abandon_at=now + _PATIENCE,
            deadline=caller.began + _DEADLINE,
            max_pause=_LONGEST_PAUSE,
            fingerprint=str(caller.number),
            data_centre=_HERE,
        )
        self._waiting[caller.stream] = caller
        decision = self._owner.submit(job, now)
        if decision is not None:
            self._take(decision, now)

    def _take(self, decision: generations.Decision, now: float) -> None:
        caller = self._waiting.pop(decision.job.stream)
        if isinstance(decision, generations.Refused):
            self._refused(caller, decision, now)
            return
        caller.placed = True
        ready = now
        if decision.prefill is not None:
            begins = max(now, self._idle_at[decision.prefill])
            slowness = self._day.slowness(decision.prefill, begins)
            idle_at = begins + slowness * caller.prompt / self._kind.read_rate
            ready = idle_at + slowness * self._kind.delay
            if self._kind.is_serial:
                idle_at = ready
            self._idle_at[decision.prefill] = idle_at
            self._later.append((ready, self._read(caller, ready - now)))
        name = decision.decode

        def start(at: float) -> None:
            engine = self._decodes.get(name)
            if engine is None:
                caller.is_over = True
                self._owner.release(caller.stream, 0, 0.0, at)
                return
            if decision.prefill is None:
                engine.unread.append(caller)
            else:
                engine.paused.append(caller)

        self._later.append((ready + _FETCH, start))

    def _read(
        self, caller: _Caller, seconds: float
    ) -> collections.abc.Callable[[float], None]:
        """Return what tells the owner that a prompt was read."""

        def read(now: float) -> None:
            self._owner.record_prefill(
                caller.stream, caller.prompt, seconds, now
            )

        return read

    def _refused(
        self, caller: _Caller, refused: generations.Refused, now: float
    ) -> None:
        caller.refusals += 1
        caller.held = max(caller.held, now - caller.arrived)
        if caller.refusals > 1:
            caller.is_over = True
            return
        left = caller.began + _DEADLINE - now
        wait = min(refused.retry_after, left * _HEEDED)

        def again(at: float) -> None:
            caller.attempt += 1
            self._ask(caller, at)

        self._later.append((now + wait, again))

    def _happen(self, now: float) -> None:
        due = [item for item in self._later if item[0] <= now]
        self._later = [item for item in self._later if item[0] > now]
        for _, happen in due:
            happen(now)

    def _step(self, now: float) -> None:
        for name, engine in self._decodes.items():
            before = [c for c in engine.runs if not c.events]
            slowness = self._day.slowness(name, now)
            for caller in engine.step(now, slowness):
                self._owner.release(
                    caller.stream, caller.output, now - caller.first, now
                )
                self._pay(caller)
            for caller in before:
                if caller.events:
                    self._owner.record_first_event(caller.stream, now)

    def _pay(self, caller: _Caller) -> None:
        caller.is_over = True
        in_time = (
            caller.first - caller.began <= _OBJECTIVE
            and caller.pause <= _LONGEST_PAUSE
        )
        caller.credit = 1.0 if in_time else _LATE_SHARE

    def _leave(self, now: float) -> None:
        for stream, caller in list(self._waiting.items()):
            if now - caller.arrived > _PATIENCE:
                del self._waiting[stream]
                self._owner.withdraw(stream)
                caller.held = now - caller.arrived
                caller.is_over = True

    def _result(self) -> Result:
        owed = sum(0.3 * self._mean + 0.7 * c.size for c in self._callers)
        credit = prices = in_time = 0.0
        for caller in self._callers:
            size = 0.3 * self._mean + 0.7 * caller.size
            credit += caller.credit * size
            in_time += (caller.credit == 1.0) / len(self._callers)
            if caller.credit:
                continue
            if not caller.placed:
                free = _FREE_HOLD * _OBJECTIVE
                held = max(0.0, caller.held - free) / (_PATIENCE - free)
                prices += min(1.0, held) * size
            if caller.refusals > 1:
                prices += _REFUSED_AGAIN * size
        wasted = sum(engine.wasted for engine in self._decodes.values())
        prompts = sum(caller.prompt for caller in self._callers)
        in_vain = sum(c.is_held_in_vain for c in self._callers)
        return Result(
            credit / owed,
            prices / owed,
            in_time,
            wasted / prompts,
            in_vain / len(self._callers),
        )

    @property
    def _mean(self) -> float:
        return statistics.fmean(c.size for c in self._callers)


def play(case: tuple[Day, int]) -> Result:
    """Play one day with one seed."""
    return Replay(*case).run()


def main() -> int:
    """Play all days and print their means."""
    parser = argparse.ArgumentParser(description='Replay of the decisions')
    parser.add_argument('--seeds', type=int, default=_SEEDS)
    options = parser.parse_args()
    seeds = range(1, options.seeds + 1)
    print('day                 worth credit prices in time preempted in vain')
    worths = []
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as pool:
        for day in DAYS:
            found = list(pool.map(play, [(day, seed) for seed in seeds]))
            means = [
                statistics.fmean(getattr(one, field) for one in found)
                for field in _SHOWN
            ]
            worths.append(means[0])
            print(f'{day.name:18}', *(f'{mean:6.3f}' for mean in means))
    print(f'mean worth {statistics.fmean(worths):.4f}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
