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

"""Simulates the gateway's decisions in virtual time: `make decisions`.

The owner's core (`core/dispatch`) places requests on simulated engines with
their published behaviour: an engine prefills prompts one after another, decode
steps get longer with the number of runs, memory holds prompts and generated
tokens, and if it is full, the newest run is preempted and prefilled again.
Callers arrive at a rate with bursts, retry once after the stated time, and
leave if there is no first event. The score counts from a caller's first
attempt: a complete answer in time has its full credit, a late one a fifth;
holding a request without serving it costs up to its credit, and a second
refusal 0.8 of it.

All results depend on the seed only. The simulation shows in seconds how a
policy behaves over many bursts; single days differ by more than policies do.
It does not model connections, failed calls, or the store.
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

_TICK_S: typing.Final = 0.01
_DEMAND_S: typing.Final = 50.0
_SEEDS: typing.Final = 24
_WORKERS: typing.Final = 4
_SERVICE: typing.Final = ids.ServiceName('model')
_DATA_CENTRE: typing.Final = ids.DataCentre('a')
_GATEWAY: typing.Final = ids.MemberId('m')
_HEARTBEAT_TICKS: typing.Final = 25
_STAGE_PLAN_TICKS: typing.Final = 50
_LATE_CREDIT: typing.Final = 0.2
_SECOND_REFUSAL_PRICE: typing.Final = 0.8
"""Share of the credit that a second refusal costs. It includes the price of a
refusal while half of the slots are free: memory fills before the slots."""
_FREE_HOLD_SHARE: typing.Final = 0.125
"""Share of the objective for which holding a request is free."""
_PREFILL_CHUNK_TOKENS: typing.Final = 1024
"""Prompt tokens that a decode engine prefills between two decode steps."""
_DECODE_PREFILL_FACTOR: typing.Final = 2.0
"""Factor by which a decode engine prefills more slowly."""
_KV_FETCH_S: typing.Final = 0.012
"""Seconds to transfer a KV cache to a decode engine."""
_PRINTED_FIELDS: typing.Final = (
    'worth',
    'credit',
    'prices',
    'in_time',
    'wasted',
    'held_unserved',
)
_OBJECTIVE_S: typing.Final = 0.9
_PATIENCE_S: typing.Final = 3.6
_DEADLINE_S: typing.Final = 14.0
_REPORT_MAX_AGE_S: typing.Final = 0.6
"""Seconds for which a reported slowdown counts."""
_MAX_PAUSE_S: typing.Final = 0.3
_MAX_RETRY_WAIT_SHARE: typing.Final = 1 / 3
"""Share of the remaining time that a caller waits at most before a retry."""


@dataclasses.dataclass(frozen=True)
class EngineKind:
    """Model engines of one kind, and the requests to them.

    Attributes:
        capacity: tokens that the KV cache holds.
        slots: maximum number of concurrent runs.
        step: seconds of a decode step without runs.
        step_per_run: additional seconds of a decode step for each run.
        read_rate: prompt tokens that are prefilled a second.
        delay: additional seconds of latency of a prefill.
        is_serial: whether the engine prefills no other prompt during the
            delay.
        stride: tokens in each event.
        switch: seconds for which an engine is unavailable while it changes
            its stage.
        prompt: median number of tokens of a prompt.
        output: median number of tokens of an output.
        spread: standard deviation of the logarithms of both lengths.
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
        """Return the seconds of a decode step with a number of runs."""
        return self.step + self.step_per_run * runs

    def rate(self, prefills: int, decodes: int) -> float:
        """Return the requests a second that a set of engines completes."""
        mean = math.exp(self.spread**2 / 2)
        tokens_per_run = mean * (self.prompt + self.output / 2)
        runs = max(
            1, min(self.slots, int(0.9 * self.capacity / tokens_per_run))
        )
        run_s = mean * self.output * self.pace(runs)
        prefill_s = mean * self.prompt / self.read_rate
        prefill_s += self.delay * self.is_serial
        return min(prefills / prefill_s, decodes * runs / (run_s + prefill_s))


@dataclasses.dataclass(frozen=True)
class Day:
    """The demand over time, and the engines that serve it.

    Attributes:
        name: name of the day.
        prefills: number of prefill engines at the start.
        decodes: number of decode engines at the start.
        rate: requests a second outside of bursts.
        bursts: start in seconds, duration in seconds and factor of each burst.
        lost: number of decode engines that are lost after a third of the day.
        engines: kind of the engines.
        slow: number of engines of each stage that slow down, the start and
            the duration in seconds, and the factor.
        speeds: speeds of the engines in turn, relative to their kind.
        spells: share of the time in which an engine is slow at random, the
            duration in seconds of a spell, and the factor.
        wave: swing of the rate, as a share of it, and period in seconds.
        is_reported: whether responses report the present slowdown.
        added: number of decode engines that are added after half of the day.
        new_owner_at: seconds after which another owner takes over.
    """

    name: str
    prefills: int
    decodes: int
    rate: float
    bursts: tuple[tuple[float, float, float], ...]
    lost: int = 0
    engines: EngineKind = EngineKind()
    slow: tuple[int, float, float, float] = (0, 0.0, 0.0, 1.0)
    speeds: tuple[float, ...] = (1.0,)
    spells: tuple[float, float, float] = (0.0, 1.0, 1.0)
    wave: tuple[float, float] = (0.15, 11.0)
    is_reported: bool = False
    added: int = 0
    new_owner_at: float = math.inf

    def slowdown(self, engine: str, now: float) -> float:
        """Return the factor by which an engine is slower at a time."""
        count, start, length, factor = self.slow
        is_slow = int(engine[1:]) < count and start <= now < start + length
        share, seconds, spell_factor = self.spells
        if not share:
            return factor if is_slow else 1.0
        spell = random.Random(f'{engine} {int(now / seconds)}').random()
        return (factor if is_slow else 1.0) * (
            spell_factor if spell < share else 1.0
        )

    def speed(self, engine: str) -> float:
        """Return the speed of an engine, relative to its kind."""
        number = int(engine[1:]) + (self.prefills if engine[0] == 'd' else 0)
        return self.speeds[number % len(self.speeds)]


_BURSTS: typing.Final = ((6.0, 5.0, 1.7), (17.0, 4.0, 2.1), (27.0, 4.0, 1.8))
DELAYED: typing.Final = EngineKind(
    capacity=58_379,
    slots=64,
    step=0.00455,
    step_per_run=0.000181,
    delay=0.1,
    stride=8,
    output=450,
)
"""Engines with prefill latency; outputs use a tenth of a request's memory."""
_PEAKS: typing.Final = (
    (6.0, 5.0, 1.8),
    (16.0, 1.0, 1.3),
    (17.0, 4.0, 2.9),
    (21.0, 5.0, 1.3),
    (27.0, 4.0, 1.8),
)
"""Bursts of all kinds of requests, and overlapping bursts of one kind."""
UNEVEN: typing.Final = Day(
    'uneven',
    9,
    14,
    19.5,
    (
        (6.0, 5.0, 1.8),
        (16.9, 5.0, 2.0),
        (17.0, 4.0, 1.9),
        (27.0, 4.0, 1.8),
        (38.0, 4.0, 1.9),
    ),
    engines=EngineKind(
        capacity=68_394,
        slots=12,
        step=0.000588,
        step_per_run=0.0000045,
        delay=0.0034,
        stride=73,
        output=4500,
    ),
    speeds=(0.55, 1.2, 1.2, 1.2),
    spells=(0.15, 0.6, 2.5),
    wave=(0.55, 15.0),
    is_reported=True,
)
"""Engines of unequal speed with slow moments, a wave and bursts on top."""
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
    """A request of a caller over all its attempts."""

    number: int
    prompt: int
    output: int
    output_hint: int
    max_output: int
    started_at: float
    attempt: int = 1
    arrived_at: float = 0.0
    is_placed: bool = False
    held_s: float = 0.0
    refusals: int = 0
    first_event_at: float = 0.0
    longest_pause: float = 0.0
    last_event_at: float = 0.0
    generated: float = 0.0
    events: int = 0
    credit: float = 0.0
    is_over: bool = False

    @property
    def size(self) -> float:
        return self.prompt + 10.0 * self.output

    @property
    def is_held_unserved(self) -> bool:
        return not self.credit and self.held_s > _OBJECTIVE_S / 2

    @property
    def stream(self) -> ids.StreamId:
        return ids.StreamId(f'{self.number}.{self.attempt}')


class _DecodeEngine:
    """A decode engine, with its runs in order of arrival."""

    def __init__(self, kind: EngineKind) -> None:
        self._kind = kind
        self.runs: list[_Caller] = []
        self.queued: collections.deque[_Caller] = collections.deque()
        self.unprefilled: collections.deque[_Caller] = collections.deque()
        self.wasted = 0.0
        self._prefill_tokens_left = 0.0

    def step(self, now: float, slowdown: float = 1.0) -> list[_Caller]:
        """Generate the tokens of one tick and return the completed runs."""
        self._schedule_runs()
        pace = self._kind.pace(len(self.runs)) * slowdown
        if self.unprefilled:
            self._run_prefill()
            pace += (
                _PREFILL_CHUNK_TOKENS
                * _DECODE_PREFILL_FACTOR
                / self._kind.read_rate
            )
        completed_runs = []
        for caller in self.runs:
            caller.generated += _TICK_S / pace
            events = math.floor(caller.generated / self._kind.stride)
            if caller.generated >= caller.output:
                events += 1
                completed_runs.append(caller)
            if events > caller.events:
                self._record_event(caller, events, now)
        self.runs = [c for c in self.runs if c not in completed_runs]
        return completed_runs

    def _run_prefill(self) -> None:
        """Prefill a part of the first prompt for one tick."""
        self._prefill_tokens_left = (
            self._prefill_tokens_left or self.unprefilled[0].prompt
        )
        self._prefill_tokens_left -= (
            _TICK_S * self._kind.read_rate / _DECODE_PREFILL_FACTOR
        )
        if self._prefill_tokens_left <= 0:
            self._prefill_tokens_left = 0.0
            self.queued.append(self.unprefilled.popleft())

    def _record_event(self, caller: _Caller, events: int, now: float) -> None:
        if not caller.events:
            caller.first_event_at = now
        else:
            caller.longest_pause = max(
                caller.longest_pause, now - caller.last_event_at
            )
        caller.events = events
        caller.last_event_at = now

    @property
    def used(self) -> float:
        """Tokens of KV cache that are in use by runs."""
        return sum(caller.prompt + caller.generated for caller in self.runs)

    def _schedule_runs(self) -> None:
        """Preempt the newest runs while memory is full; start queued ones."""
        while self.used > self._kind.capacity and len(self.runs) > 1:
            caller = self.runs.pop()
            self.wasted += caller.prompt + caller.generated
            self.queued.append(caller)
        while self.queued and len(self.runs) < self._kind.slots:
            caller = self.queued[0]
            needed_tokens = caller.prompt + caller.generated
            if self.runs and self.used + needed_tokens > self._kind.capacity:
                return
            self.runs.append(self.queued.popleft())


@dataclasses.dataclass(frozen=True)
class Result:
    """The result of a day.

    Attributes:
        credit: share of the possible credit.
        prices: deductions as a share of the possible credit.
        in_time: share of the callers that were served in time.
        wasted: tokens of preempted runs, which are prefilled again, as a
            share of all prompt tokens.
        held_unserved: share of the callers that were held for more than half
            of their objective and then refused, or left.
    """

    credit: float
    prices: float
    in_time: float
    wasted: float
    held_unserved: float

    @property
    def worth(self) -> float:
        """The credit less the deductions."""
        return self.credit - self.prices


class Replay:
    """A simulation of one day with one seed.

    Args:
        day: demand and engines.
        seed: seed of all random numbers.
    """

    def __init__(self, day: Day, seed: int) -> None:
        self._day = day
        self._random = random.Random(f'{day.name} {seed}')
        self._kind = day.engines
        self._reported: dict[str, tuple[float, float]] = {}
        self._owner = self._create_owner()
        self._decodes = {
            f'd{n}': _DecodeEngine(self._kind) for n in range(day.decodes)
        }
        self._prefill_idle_at = {f'p{n}': 0.0 for n in range(day.prefills)}
        self.stage_change_times: list[float] = []
        self._callers: list[_Caller] = []
        self._waiting: dict[ids.StreamId, _Caller] = {}
        self._scheduled: list[
            tuple[float, collections.abc.Callable[[float], None]]
        ] = []
        self._numbers = itertools.count()
        self._set_engines(0.0)

    def _create_owner(self) -> dispatch.Dispatcher:
        owner = dispatch.Dispatcher(
            self._kind.capacity,
            self._kind.slots,
            switch_time=self._kind.switch,
        )
        if self._day.is_reported:
            owner.set_slowdowns(self._reported_slowdown)
        return owner

    def _change_owner(self, now: float) -> None:
        """Give all decisions to another owner; waiting callers ask it."""
        successor = self._create_owner()
        successor.adopt_figures(self._owner.measured_figures)
        self._owner = successor
        self._set_engines(now)
        self._report_runs(now)
        for caller in list(self._waiting.values()):
            self._submit(caller, now)

    def run(self) -> Result:
        """Simulate the day."""
        tick_count = int((_DEMAND_S + _DEADLINE_S) / _TICK_S)
        for tick in range(tick_count):
            now = tick * _TICK_S
            if abs(now - _DEMAND_S / 3) < _TICK_S / 2:
                self._lose_engines(now)
            if abs(now - _DEMAND_S / 2) < _TICK_S / 2:
                self._add_engines(now)
            if abs(now - self._day.new_owner_at) < _TICK_S / 2:
                self._change_owner(now)
            if now < _DEMAND_S:
                self._generate_arrival(now)
            self._run_due(now)
            self._step_engines(now)
            self._remove_impatient(now)
            if tick % _HEARTBEAT_TICKS == 0:
                self._report_runs(now)
            if tick % _STAGE_PLAN_TICKS == 0:
                self._change_stages(now)
            for decision in self._owner.decide(now):
                self._apply_decision(decision, now)
        return self._result()

    @property
    def owner(self) -> dispatch.Dispatcher:
        """The present owner."""
        return self._owner

    @property
    def prefills(self) -> list[str]:
        """Engines that read prompts now."""
        return list(self._prefill_idle_at)

    @property
    def decodes(self) -> list[str]:
        """Engines that generate answers now."""
        return list(self._decodes)

    @property
    def measured_figures(self) -> figures.Figures:
        """The figures that the owner has measured."""
        return self._owner.measured_figures

    def _set_engines(self, now: float) -> None:
        stages = [
            *(
                (name, upstreams.Stage.PREFILL)
                for name in self._prefill_idle_at
            ),
            *((name, upstreams.Stage.DECODE) for name in self._decodes),
        ]
        engines = [
            upstreams.Upstream(
                ids.UpstreamId(name),
                _SERVICE,
                name,
                _DATA_CENTRE,
                self._kind.slots,
                False,
                at,
            )
            for name, at in stages
        ]
        self._owner.set_engines(engines, (), now)

    def _report_runs(self, now: float) -> None:
        """Report the progress of all runs to the owner, as gateways do."""
        runs = []
        for name, engine in self._decodes.items():
            for caller in engine.runs:
                run = memory.Run(
                    caller.stream,
                    _GATEWAY,
                    caller.prompt,
                    caller.output,
                    caller.max_output,
                    caller.first_event_at,
                    caller.events * self._kind.stride,
                    now,
                )
                runs.append((ids.UpstreamId(name), run))
        self._owner.reconcile_runs(_GATEWAY, runs, now)

    def _change_stages(self, now: float) -> None:
        """Apply the stage changes that the owner plans."""
        for name in self._prefill_idle_at:
            self._report_stage(name, upstreams.Stage.PREFILL, now)
        for name in self._decodes:
            self._report_stage(name, upstreams.Stage.DECODE, now)
        for upstream, stage in self._owner.plan_stage_changes(now):
            available_at = now + self._kind.switch
            self._owner.engines.record_stage_order(
                upstream.id, stage, available_at + 8
            )
            self.stage_change_times.append(now)
            name = str(upstream.id)
            self._prefill_idle_at.pop(name, None)
            removed_engine = self._decodes.pop(name, None)
            self._scheduled.append(
                (
                    available_at,
                    self._stage_change_callback(name, stage, removed_engine),
                )
            )

    def _report_stage(
        self, name: str, stage: upstreams.Stage, now: float
    ) -> None:
        """Report the stage of an engine to the owner."""
        self._report_slowdown(name, now)
        decode = self._decodes.get(name)
        used = int(decode.used) if decode is not None else 0
        self._owner.engines.record_report(
            ids.UpstreamId(name), used, stage, False, now
        )

    def _stage_change_callback(
        self,
        name: str,
        stage: upstreams.Stage,
        removed_engine: _DecodeEngine | None,
    ) -> collections.abc.Callable[[float], None]:

        def change(now: float) -> None:
            if stage is upstreams.Stage.PREFILL:
                self._prefill_idle_at[name] = now
            else:
                self._decodes[name] = _DecodeEngine(self._kind)
            self._set_engines(now)

        for caller in (
            (*removed_engine.runs, *removed_engine.queued)
            if removed_engine is not None
            else ()
        ):
            # Their completion during the stage change is not simulated.
            caller.credit = 1.0
            caller.is_over = True
        return change

    def _lose_engines(self, now: float) -> None:
        for name in list(self._decodes)[: self._day.lost]:
            engine = self._decodes.pop(name)
            for caller in (*engine.runs, *engine.queued, *engine.unprefilled):
                self._owner.release(caller.stream, 0, 0.0, now)
                caller.is_over = True
        self._set_engines(now)

    def _add_engines(self, now: float) -> None:
        first = self._day.decodes
        for number in range(first, first + self._day.added):
            self._decodes[f'd{number}'] = _DecodeEngine(self._kind)
        self._set_engines(now)

    def _demand_rate(self, now: float) -> float:
        rate = self._day.rate
        for start, length, factor in self._day.bursts:
            if start <= now < start + length:
                rate *= factor
        swing, period = self._day.wave
        return rate * (1 + swing * math.sin(now * 2 * math.pi / period))

    def _generate_arrival(self, now: float) -> None:
        if self._random.random() >= self._demand_rate(now) * _TICK_S:
            return
        lognormal = self._random.lognormvariate
        kind = self._kind
        largest_prompt = 2.2 * kind.prompt
        prompt = min(
            largest_prompt, lognormal(math.log(kind.prompt), kind.spread)
        )
        longest_output = 2.1 * kind.output
        output = min(
            longest_output, lognormal(math.log(kind.output), kind.spread)
        )
        output = max(kind.stride, output)
        caller = _Caller(
            number=next(self._numbers),
            prompt=max(kind.prompt // 9, int(prompt)),
            output=int(output),
            output_hint=max(1, int(output * lognormal(0.0, 0.5))),
            max_output=int(max(output, longest_output)),
            started_at=now,
        )
        self._callers.append(caller)
        self._submit(caller, now)

    def make_job(self, caller: _Caller, now: float) -> generations.Job:
        """Return the job of a caller's next attempt."""
        return generations.Job(
            stream=caller.stream,
            entry=_GATEWAY,
            prompt_tokens=caller.prompt,
            output_hint=caller.output_hint,
            max_output=caller.max_output,
            arrived_at=now,
            start_deadline=now + _OBJECTIVE_S,
            abandon_at=now + _PATIENCE_S,
            deadline=caller.started_at + _DEADLINE_S,
            max_pause=_MAX_PAUSE_S,
            fingerprint=str(caller.number),
            data_centre=_DATA_CENTRE,
        )

    def _submit(self, caller: _Caller, now: float) -> None:
        caller.arrived_at = now
        job = self.make_job(caller, now)
        self._waiting[caller.stream] = caller
        decision = self._owner.submit(job, now)
        if decision is not None:
            self._apply_decision(decision, now)

    def _apply_decision(
        self, decision: generations.Decision, now: float
    ) -> None:
        caller = self._waiting.pop(decision.job.stream)
        if isinstance(decision, generations.Refused):
            self._handle_refusal(caller, decision, now)
            return
        caller.is_placed = True
        ready = now
        if decision.prefill is not None:
            prefill_start = max(now, self._prefill_idle_at[decision.prefill])
            slowdown = self._time_factor(decision.prefill, prefill_start)
            prefill_idle_at = (
                prefill_start + slowdown * caller.prompt / self._kind.read_rate
            )
            ready = prefill_idle_at + slowdown * self._kind.delay
            if self._kind.is_serial:
                prefill_idle_at = ready
            self._prefill_idle_at[decision.prefill] = prefill_idle_at
            self._scheduled.append(
                (
                    ready,
                    self._prefill_callback(
                        caller, decision.prefill, ready - now
                    ),
                )
            )
        name = decision.decode

        def start(at: float) -> None:
            engine = self._decodes.get(name)
            if engine is None:
                caller.is_over = True
                self._owner.release(caller.stream, 0, 0.0, at)
                return
            if decision.prefill is None:
                engine.unprefilled.append(caller)
            else:
                engine.queued.append(caller)

        self._scheduled.append((ready + _KV_FETCH_S, start))

    def _prefill_callback(
        self, caller: _Caller, engine: str, seconds: float
    ) -> collections.abc.Callable[[float], None]:
        """Return a callback that reports a completed prefill to the owner."""

        def report_prefill(now: float) -> None:
            self._report_slowdown(engine, now)
            self._owner.record_prefill(
                caller.stream, caller.prompt, seconds, now
            )

        return report_prefill

    def _handle_refusal(
        self, caller: _Caller, refusal: generations.Refused, now: float
    ) -> None:
        caller.refusals += 1
        caller.held_s = max(caller.held_s, now - caller.arrived_at)
        if caller.refusals > 1:
            caller.is_over = True
            return
        left = caller.started_at + _DEADLINE_S - now
        wait = min(refusal.retry_after, left * _MAX_RETRY_WAIT_SHARE)

        def submit_again(at: float) -> None:
            caller.attempt += 1
            self._submit(caller, at)

        self._scheduled.append((now + wait, submit_again))

    def _run_due(self, now: float) -> None:
        due = [item for item in self._scheduled if item[0] <= now]
        self._scheduled = [item for item in self._scheduled if item[0] > now]
        for _, callback in due:
            callback(now)

    def _step_engines(self, now: float) -> None:
        for name, engine in self._decodes.items():
            awaiting_first_event = [c for c in engine.runs if not c.events]
            slowdown = self._time_factor(name, now)
            for caller in engine.step(now, slowdown):
                self._owner.release(
                    caller.stream,
                    caller.output,
                    now - caller.first_event_at,
                    now,
                )
                self._settle(caller)
            for caller in awaiting_first_event:
                if caller.events:
                    self._report_slowdown(name, now)
                    self._owner.record_first_event(caller.stream, now)

    def _time_factor(self, engine: str, now: float) -> float:
        return self._day.slowdown(engine, now) / self._day.speed(engine)

    def _report_slowdown(self, engine: str, now: float) -> None:
        """Report an engine's slowdown in the head of a response."""
        self._reported[engine] = self._day.slowdown(engine, now), now

    def _reported_slowdown(self, engine: ids.UpstreamId, now: float) -> float:
        factor, at = self._reported.get(engine, (1.0, now))
        return factor if now - at <= _REPORT_MAX_AGE_S else 1.0

    def _settle(self, caller: _Caller) -> None:
        caller.is_over = True
        in_time = (
            caller.first_event_at - caller.started_at <= _OBJECTIVE_S
            and caller.longest_pause <= _MAX_PAUSE_S
        )
        caller.credit = 1.0 if in_time else _LATE_CREDIT

    def _remove_impatient(self, now: float) -> None:
        for stream, caller in list(self._waiting.items()):
            if now - caller.arrived_at > _PATIENCE_S:
                del self._waiting[stream]
                self._owner.withdraw(stream)
                caller.held_s = now - caller.arrived_at
                caller.is_over = True

    def _result(self) -> Result:
        mean_size = self._mean_size
        owed_credit = sum(
            0.3 * mean_size + 0.7 * c.size for c in self._callers
        )
        credit = prices = in_time = 0.0
        for caller in self._callers:
            size = 0.3 * mean_size + 0.7 * caller.size
            credit += caller.credit * size
            in_time += (caller.credit == 1.0) / len(self._callers)
            if caller.credit:
                continue
            if not caller.is_placed:
                free_s = _FREE_HOLD_SHARE * _OBJECTIVE_S
                held_share = max(0.0, caller.held_s - free_s) / (
                    _PATIENCE_S - free_s
                )
                prices += min(1.0, held_share) * size
            if caller.refusals > 1:
                prices += _SECOND_REFUSAL_PRICE * size
        wasted = sum(engine.wasted for engine in self._decodes.values())
        prompts = sum(caller.prompt for caller in self._callers)
        held_unserved = sum(c.is_held_unserved for c in self._callers)
        return Result(
            credit / owed_credit,
            prices / owed_credit,
            in_time,
            wasted / prompts,
            held_unserved / len(self._callers),
        )

    @property
    def _mean_size(self) -> float:
        return statistics.fmean(c.size for c in self._callers)


def simulate(case: tuple[Day, int]) -> Result:
    """Simulate one day with one seed."""
    return Replay(*case).run()


def main() -> int:
    """Simulate all days and print their mean results."""
    parser = argparse.ArgumentParser(description='Replay of the decisions')
    parser.add_argument('--seeds', type=int, default=_SEEDS)
    options = parser.parse_args()
    seeds = range(1, options.seeds + 1)
    print('day                 worth credit prices in time preempted in vain')
    worths = []
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as pool:
        for day in DAYS:
            results = list(pool.map(simulate, [(day, seed) for seed in seeds]))
            means = [
                statistics.fmean(getattr(result, field) for result in results)
                for field in _PRINTED_FIELDS
            ]
            worths.append(means[0])
            print(f'{day.name:18}', *(f'{mean:6.3f}' for mean in means))
    print(f'mean worth {statistics.fmean(worths):.4f}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
