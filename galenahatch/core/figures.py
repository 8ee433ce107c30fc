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

"""What an owner measures of a service, and what follows from it."""

import collections
import typing

from galenahatch.core import generations
from galenahatch.core import latency
from galenahatch.core import lengths
from galenahatch.core import memory

INITIAL_PREFILL_RATE: typing.Final = 40_000.0
"""Prompt tokens a second of a prefill engine before any was measured."""
INITIAL_SLACK_S: typing.Final = 0.15
"""Seconds from the end of a prefill to the first event, before any was
measured: transfer, first step, network. A guess on the long side: engines
that were measured took 0.006 to 0.02 s."""
_SLACKS: typing.Final = 45
_SLACK_SHARE: typing.Final = 0.8
"""The newest starts that count, and the share of them that are to be no later
than what is believed: who is kept is to start in time."""
_LEAST_PAIRS: typing.Final = 5
"""Pairs of prompts from which on an engine is believed to read within the
delay when engines are taken from reading; the newest five weigh two thirds."""
_LEAST_WORK: typing.Final = 0.5
"""Part of a prefill's time that is taken for work at the least, as long as
too few were seen to tell the delay."""
_OVERLAP_WEIGHT: typing.Final = 0.2
"""Weight of the newest pair of prompts in the overlap believed."""
_SIZE_WEIGHT: typing.Final = 0.03
"""Least weight of the newest request in the mean sizes."""
_ARRIVAL_SPAN: typing.Final = 3.0
"""Seconds over which demand is counted: a burst is known as one while it
lasts, and its end soon after. Counted over 15 s, a burst of five hid the
room behind it, and who came back then was refused for good."""
_USUAL_SPAN: typing.Final = 15.0
"""Seconds over which the usual rate of requests is counted: three bursts."""
_LASTING: typing.Final = 4.0
"""Seconds of demand from which on it can be more than a burst."""
_PLACED_SHARE: typing.Final = 0.92
"""Share of the requests that find a place, below which demand is above what is
served for good. It rests on what was placed, not on a rate that is believed:
that one was a sixth too high for slow engines. The newest three seconds of
requests may still wait and are left out: with them one burst of four seconds
before four decode engines looked like overload, and 0.5 in 100 callers of the
day were refused for good, where none were without (one play each)."""


class Figures(typing.NamedTuple):
    """What an owner has measured; the next one begins with it.

    Attributes:
        rate: prompt tokens a second of a prefill engine.
        prompt: mean tokens of a prompt.
        output: mean tokens of an answer.
        pace: seconds for a token.
        seen: requests that were measured.
        delay: seconds that a prefill takes besides reading.
        alone: part of the delay in which the engine reads nothing else.
        reads: prefills that were measured.
        slack: seconds from the end of a prefill to the first event.
        pairs: prompts that told whether the engine had read within the delay.
    """

    rate: float = INITIAL_PREFILL_RATE
    prompt: float = 0.0
    output: float = 0.0
    pace: float = memory.INITIAL_PACE
    seen: int = 0
    delay: float = 0.0
    alone: float = 0.0
    reads: int = 0
    slack: float = INITIAL_SLACK_S
    pairs: int = 0


class _Recent:
    """Moments of the last seconds.

    Args:
        span: seconds that count.
    """

    def __init__(self, span: float) -> None:
        self._span = span
        self._moments: collections.deque[float] = collections.deque()

    def note(self, now: float) -> None:
        """Add a moment."""
        self._moments.append(now)

    def count(self, now: float) -> int:
        """Return how many there are."""
        while self._moments and self._moments[0] < now - self._span:
            self._moments.popleft()
        return len(self._moments)

    def age(self, now: float) -> float:
        """Return the seconds since the first of them."""
        return now - self._moments[0] if self.count(now) else 0.0

    def rate(self, now: float) -> float:
        """Return how many there are a second, since the first of them."""
        return self.count(now) / max(1.0, self.age(now))


class Estimator:
    """Running measurements of one service."""

    def __init__(self) -> None:
        self.figures = Figures()
        self.lengths = lengths.Lengths()
        self._latency = latency.Latency()
        self._adopted_reads = 0
        self._slacks: collections.deque[float] = collections.deque(
            maxlen=_SLACKS
        )
        self._usual = _Recent(_USUAL_SPAN)
        self._asked = _Recent(_USUAL_SPAN + _ARRIVAL_SPAN)
        self._present = _Recent(_ARRIVAL_SPAN)
        self._placed = _Recent(_USUAL_SPAN)

    @property
    def mean_held_tokens(self) -> float:
        """Mean tokens that a run holds over its life."""
        return self.figures.prompt + self.figures.output / 2

    def adopt(self, figures: Figures) -> bool:
        """Take another owner's figures, if it has seen more."""
        if figures.seen <= self.figures.seen:
            return False
        self.figures = figures
        self._adopted_reads = figures.reads
        return True

    def record_size(self, prompt: int, output: int) -> None:
        """Take the sizes of a request, its answer's as predicted."""
        known = self.figures
        seen = known.seen + 1
        weight = max(_SIZE_WEIGHT, 1 / seen)
        self.figures = known._replace(
            prompt=known.prompt + weight * (prompt - known.prompt),
            output=known.output + weight * (output - known.output),
            seen=seen,
        )

    def record_arrival(self, now: float) -> None:
        """Count a request that does not come back."""
        self._usual.note(now)
        self._asked.note(now)
        self._present.note(now)

    def record_placement(self, now: float) -> None:
        """Count a request that found a place."""
        self._placed.note(now)

    def arrival_rate(self, now: float) -> float:
        """Return the requests a second that come now, without returns."""
        return self._present.rate(now)

    def long_term_rate(self, now: float) -> float:
        """Return the same over several bursts and what lies between."""
        return self._usual.rate(now)

    def is_overloaded(self, now: float) -> bool:
        """Return whether demand has been above what is served for a while."""
        if self._asked.age(now) < _LASTING:
            return False
        # Those of the last seconds may still wait, or be on their way back.
        asked = self._asked.count(now) - self._present.count(now)
        return self._placed.count(now) < _PLACED_SHARE * asked

    def record_prefill(self, tokens: int, seconds: float) -> None:
        """Take how long a prefill took at an engine that had no other."""
        if tokens <= 0 or seconds <= 0:
            return
        line = self._latency.add_sample(tokens, seconds, self.prefill_line)
        self.figures = self.figures._replace(reads=self.figures.reads + 1)
        if self._adopted_reads and not self._latency.has_slope:
            # The owner before knew more than a few prompts can tell, which
            # may have met prompts that it placed.
            return
        self.figures = self.figures._replace(rate=line.rate, delay=line.delay)

    def record_overlap(self, alone: float) -> None:
        """Take in what part of the delay an engine read nothing else."""
        believed = self.figures.alone
        step = _OVERLAP_WEIGHT * (min(1.0, max(0.0, alone)) - believed)
        self.figures = self.figures._replace(
            alone=believed + step, pairs=self.figures.pairs + 1
        )

    def record_start(self, seconds: float) -> None:
        """Take the time from the end of a prefill to the first event."""
        self._slacks.append(seconds)
        ordered = sorted(self._slacks)
        slack = ordered[int(_SLACK_SHARE * len(ordered))]
        self.figures = self.figures._replace(slack=slack)

    def record_pace(self, pace: float) -> None:
        """Take the mean pace of the engines."""
        self.figures = self.figures._replace(pace=pace)

    @property
    def prefill_line(self) -> latency.Line:
        """What a prompt takes at an idle prefill engine."""
        return latency.Line(self.figures.delay, self.figures.rate)

    def prefill_seconds(self, prompt: int) -> float:
        """Return the seconds until a prefill engine has read a prompt."""
        return self.prefill_line.seconds(prompt)

    def prefill_busy_seconds(self, prompt: float) -> float:
        """Return the seconds for which a prompt keeps an engine busy."""
        known = self.figures
        return prompt / known.rate + known.alone * known.delay

    def prefill_busy_range(self) -> tuple[float, float]:
        """Return how short and how long a mean prompt may keep an engine."""
        known = self.figures
        whole = self.prefill_seconds(round(known.prompt))
        if known.reads < latency.MIN_SAMPLES:
            return _LEAST_WORK * whole, whole
        if not self.has_overlap_estimate:
            return known.prompt / known.rate, whole
        occupied = self.prefill_busy_seconds(known.prompt)
        return occupied, occupied

    @property
    def has_overlap_estimate(self) -> bool:
        """Whether it was seen if engines read within the delay."""
        return self.figures.pairs >= _LEAST_PAIRS

    def seconds_to_first_event(self, job: generations.Job) -> float:
        """Return the seconds from placing to the first event."""
        slack = self.figures.slack
        return (
            slack
            if job.is_prefilled
            else self.prefill_seconds(job.prompt_tokens) + slack
        )

    def min_total_seconds(self, job: generations.Job) -> float:
        """Return the shortest time that a whole answer may take."""
        return (
            self.prefill_seconds(job.prompt_tokens)
            + job.predicted_output * self.figures.pace / 2
        )
