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

"""Plans stages of engines of unequal speed for the peak of recent demand.

Load: bursts of some seconds every ten seconds or so, on top of waves, before
engines whose speeds differ. An engine is away for longer than a burst lasts
while it changes its stage, so a division that suits the lull between two
bursts is wrong when the next one comes, and is not mended before it ends.

Both stages are to suffice for the peak. Where they do, nothing is changed.
Otherwise the engines change that lose least in their old stage for what they
gain in the new one, as many as serve the recent demand best. Their old stage
keeps what the peak needs, so a right change costs nothing meanwhile. What it
gains over the demand of the recent windows is weighed against what a wrong
change costs: the engines are missed in a burst for as long as they change, and
each order moves an engine that drops what it has cached. A change back is
weighed in the same way, so it is made where it pays. Prefill engines are
given up only beyond what the peak, as far as decode engines can complete it,
needs.
"""

import collections.abc
import dataclasses
import enum
import typing

from galenahatch.core import demand
from galenahatch.core import upstreams

_MIN_GAIN: typing.Final = 1.1
"""Least ratio of what is served in the peak after and before a change;
capacities are estimates that are off by some percent."""
_LAST_BURST_WINDOWS: typing.Final = 15
"""Newest windows whose largest demand prefill engines keep being able to read:
half a minute holds the last burst of any that recur."""
_HORIZON_S: typing.Final = 60.0
"""Seconds for which a change is assumed to pay: demand of a minute ago is
still the best guess."""
_WRONG_FRACTION: typing.Final = 0.2
"""Fraction of changes assumed to be wrong: bursts of one kind of request need
another division than the mean of a minute, and estimates are off by a tenth.
Then the engines are missed in their old stage for the time of a change."""
_ORDER_COST: typing.Final = 1.0
"""Requests that an order counts as: a changed engine has nothing cached."""


class Reason(enum.Enum):
    """Why a plan changes stages or does not."""

    SUFFICIENT = 'capacity suffices for the peak'
    NO_GAIN = 'no change serves the peak better'
    TOO_DEAR = 'the change costs more than it gains'
    CHANGE = 'the change pays'


class EngineCapacity(typing.NamedTuple):
    """What one engine can do in either stage, in requests a second."""

    upstream: upstreams.Upstream
    prefill: float
    decode: float


@dataclasses.dataclass(frozen=True)
class Plan:
    """A plan and its inputs; rates are requests a second.

    Attributes:
        peak_requests: Requests in the peak of recent demand.
        peak_prompts: Prompts of mean size that have to be read in it.
        prefill_capacity: Prompts that the prefill engines read.
        decode_capacity: Requests that the decode engines complete.
        planned_prefill_capacity: The same after the changes.
        planned_decode_capacity: The same after the changes.
        gain: Requests that the changes serve within the horizon.
        cost: Requests that they cost in a burst.
        changes: Engines to change, and their new stages.
    """

    reason: Reason
    peak_requests: float
    peak_prompts: float
    prefill_capacity: float
    decode_capacity: float
    planned_prefill_capacity: float
    planned_decode_capacity: float
    gain: float = 0.0
    cost: float = 0.0
    changes: tuple[tuple[upstreams.Upstream, upstreams.Stage], ...] = ()


class _Capacity(typing.NamedTuple):
    prefill: float
    decode: float

    def served(self, window: demand.Window, prompt: float) -> float:
        """Return the requests a second served at a demand."""
        prompts = window.tokens / prompt
        if window.requests <= 0 or prompts <= 0:
            return 0.0
        share = min(1.0, self.prefill / prompts, self.decode / window.requests)
        return share * window.requests

    def reads(self, window: demand.Window, prompt: float) -> bool:
        """Return whether prompts are read as fast as they are completed."""
        if window.requests <= 0:
            return True
        share = min(1.0, self.decode / window.requests)
        return self.prefill >= share * window.tokens / prompt

    def moved(
        self, engine: EngineCapacity, stage: upstreams.Stage
    ) -> '_Capacity':
        """Return the capacity once an engine has changed its stage."""
        sign = 1 if stage is upstreams.Stage.DECODE else -1
        return _Capacity(
            self.prefill - sign * engine.prefill,
            self.decode + sign * engine.decode,
        )

    def given_up(self, after: '_Capacity', stage: upstreams.Stage) -> float:
        """Return the capacity that engines give up for another stage."""
        if stage is upstreams.Stage.DECODE:
            return abs(self.prefill - after.prefill)
        return abs(self.decode - after.decode)


def make_plan(
    prefills: collections.abc.Sequence[EngineCapacity],
    decodes: collections.abc.Sequence[EngineCapacity],
    windows: collections.abc.Sequence[demand.Window],
    peak: demand.Window,
    prompt: float,
    switch_time: float,
) -> Plan:
    """Return the stage changes that serve recent demand best.

    Args:
        prefills: Prefill engines, those to change first at the front.
        decodes: Decode engines, likewise.
        windows: Demand of recent windows.
        peak: Peak of recent demand.
        prompt: Mean tokens of a prompt.
        switch_time: Seconds for which an engine is away for a change.
    """
    now = _Capacity(
        sum(e.prefill for e in prefills), sum(e.decode for e in decodes)
    )
    prompts = peak.tokens / prompt
    unchanged = Plan(Reason.SUFFICIENT, peak.requests, prompts, *now, *now)
    prefill_cover = now.prefill / prompts if prompts else 1.0
    decode_cover = now.decode / peak.requests if peak.requests else 1.0
    if min(prefill_cover, decode_cover) >= 1.0:
        return unchanged
    if decode_cover < prefill_cover:
        stage = upstreams.Stage.DECODE
        engines = sorted(prefills, key=lambda e: _loss(e.prefill, e.decode))
    else:
        stage = upstreams.Stage.PREFILL
        engines = sorted(decodes, key=lambda e: _loss(e.decode, e.prefill))
    return _best_change(
        now, engines, stage, unchanged, windows, peak, prompt, switch_time
    )


def _best_change(
    now: _Capacity,
    engines: collections.abc.Sequence[EngineCapacity],
    stage: upstreams.Stage,
    unchanged: Plan,
    windows: collections.abc.Sequence[demand.Window],
    peak: demand.Window,
    prompt: float,
    switch_time: float,
) -> Plan:
    """Return the best change of the first engines, or why there is none."""
    best = dataclasses.replace(unchanged, reason=Reason.NO_GAIN)
    at_peak = now.served(peak, prompt)
    best_at_peak = _MIN_GAIN * at_peak
    burst = _largest([peak, *windows[:_LAST_BURST_WINDOWS]])
    after = now
    for count, engine in enumerate(engines[:-1], 1):
        after = after.moved(engine, stage)
        if stage is upstreams.Stage.DECODE and not after.reads(burst, prompt):
            break
        served = after.served(peak, prompt)
        if served < at_peak:
            break
        at_peak = served
        if served < best_at_peak:
            continue
        gain = _HORIZON_S * _mean_gain(now, after, windows, prompt)
        missed = now.given_up(after, stage)
        cost = _WRONG_FRACTION * switch_time * missed + count * _ORDER_COST
        if gain > cost and gain - cost > best.gain - best.cost:
            best = dataclasses.replace(
                unchanged,
                reason=Reason.CHANGE,
                planned_prefill_capacity=after.prefill,
                planned_decode_capacity=after.decode,
                gain=gain,
                cost=cost,
                changes=tuple((e.upstream, stage) for e in engines[:count]),
            )
        elif best.reason is Reason.NO_GAIN:
            best = dataclasses.replace(best, reason=Reason.TOO_DEAR)
    return best


def _largest(
    windows: collections.abc.Iterable[demand.Window],
) -> demand.Window:
    """Return the largest requests and tokens of some windows."""
    listed = list(windows)
    return demand.Window(
        1.0, max(w.requests for w in listed), max(w.tokens for w in listed)
    )


def _mean_gain(
    before: _Capacity,
    after: _Capacity,
    windows: collections.abc.Iterable[demand.Window],
    prompt: float,
) -> float:
    """Return the requests a second that are served in addition."""
    gain = weight = 0.0
    for window in windows:
        served = after.served(window, prompt) - before.served(window, prompt)
        gain += window.weight * served
        weight += window.weight
    return gain / weight if weight else 0.0


def _loss(old: float, new: float) -> float:
    """Return what an engine loses in one stage for what it gains.

    Rounded, so that engines that differ by little keep their order.
    """
    return round(old / max(new, 1e-9), 1)
