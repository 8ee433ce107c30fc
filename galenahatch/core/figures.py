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

"""Measurements of a service by its owner, and estimates based on them."""

import collections
import math
import typing

from galenahatch.core import generations
from galenahatch.core import latency
from galenahatch.core import lengths
from galenahatch.core import memory
from galenahatch.core import placements

INITIAL_PREFILL_RATE: typing.Final = 40_000.0
"""Prompt tokens a second of a prefill engine before any measurement."""
INITIAL_SLACK_S: typing.Final = 0.15
"""Seconds from the end of a prefill to the first event before any measurement:
transfer, first step, network. Deliberately long: the users' engines take 0.006
to 0.02 s."""
_SLACK_WINDOW: typing.Final = 45
_SLACK_QUANTILE: typing.Final = 0.8
"""Number of recent starts used for the slack, and the quantile of them that it
covers, since admitted requests are to start in time."""
_MAX_START_AGE_S: typing.Final = 1.0
"""Seconds for which the last start is evidence against all requests."""
_MIN_LATE_STARTS: typing.Final = 5
_MAX_SILENCE_S: typing.Final = 4.0
"""Late starts, and seconds of nothing but these, after which they are taken
for what starts take. Sound engines are silent for a second or two."""
_MIN_PAIRS: typing.Final = 5
"""Pairs of prompts needed before the overlap counts when engines are taken
from prefill; the newest five have two thirds of the weight."""
_MIN_WORK_FRACTION: typing.Final = 0.5
"""Least fraction of a prefill's time that is counted as work while there are
too few samples to tell the delay."""
_OVERLAP_SMOOTHING: typing.Final = 0.2
"""Weight of the newest pair of prompts in the estimated overlap."""
_MIN_SIZE_WEIGHT: typing.Final = 0.03
"""Least weight of the newest request in the mean sizes."""
_ARRIVAL_WINDOW_S: typing.Final = 3.0
"""Seconds over which present demand is counted: short enough to notice a burst
while it lasts, and its end. Counted over 15 s, a burst of five hid the room
behind it, and retries were refused for good."""
_LONG_TERM_WINDOW_S: typing.Final = 15.0
"""Seconds over which the long-term rate is counted: three bursts."""
_MIN_OVERLOAD_S: typing.Final = 4.0
"""Seconds of demand after which it can be more than a burst."""
_MIN_PLACED_FRACTION: typing.Final = 0.92
"""Fraction of the requests that are placed, below which demand permanently
exceeds what is served. It is based on placements rather than on an estimated
rate, which was a sixth too high for slow engines. Requests of the newest three
seconds may still wait and are left out: with them, one burst of four seconds
at four decode engines looked like overload, and 0.5 in 100 callers of the day
were refused for good, compared to none (one run each)."""


class Figures(typing.NamedTuple):
    """Measurements of an owner, handed on to its successor.

    Attributes:
        rate: Prompt tokens a second of a prefill engine.
        prompt: Mean tokens of a prompt.
        output: Mean tokens of an answer.
        pace: Seconds for a token.
        seen: Number of requests measured.
        delay: Seconds that a prefill takes besides reading.
        alone: Fraction of the delay in which the engine reads nothing else.
        reads: Number of prefills measured.
        slack: Seconds from the end of a prefill to the first event.
        pairs: Prompts that showed whether the engine had read during the
            delay.
        is_uneven: Whether engines count by their own speeds.
        peak_requests: Requests a second in the peak of recent demand.
        peak_tokens: Prompt tokens a second in it.
        mean_speed: Mean speed of the engines, relative to the median one.
        slowdown: Mean slowdown of the engines.
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
    is_uneven: bool = False
    peak_requests: float = 0.0
    peak_tokens: float = 0.0
    mean_speed: float = 1.0
    slowdown: float = 1.0


class _SlidingWindow:
    """Times of the events of the last seconds.

    Args:
        seconds: Length of the window.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        """Add an event."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Return the number of events."""
        while self._times and self._times[0] < now - self._seconds:
            self._times.popleft()
        return len(self._times)

    def age(self, now: float) -> float:
        """Return the seconds since the first event."""
        return now - self._times[0] if self.count(now) else 0.0

    def rate(self, now: float) -> float:
        """Return the events a second since the first one."""
        return self.count(now) / max(1.0, self.age(now))


class Estimator:
    """Running measurements of one service."""

    def __init__(self) -> None:
        self.figures = Figures()
        self.lengths = lengths.Lengths()
        self._latency = latency.Latency()
        self._adopted_reads = 0
        self._slacks: collections.deque[float] = collections.deque(
            maxlen=_SLACK_WINDOW
        )
        self._started_at = -math.inf
        self._late_starts = 0
        self._late_since = 0.0
        self._long_term_arrivals = _SlidingWindow(_LONG_TERM_WINDOW_S)
        self._arrivals = _SlidingWindow(
            _LONG_TERM_WINDOW_S + _ARRIVAL_WINDOW_S
        )
        self._recent_arrivals = _SlidingWindow(_ARRIVAL_WINDOW_S)
        self._placements = _SlidingWindow(_LONG_TERM_WINDOW_S)

    @property
    def mean_held_tokens(self) -> float:
        """Mean tokens that a run holds over its life."""
        return self.figures.prompt + self.figures.output / 2

    def adopt(self, figures: Figures) -> bool:
        """Adopt another owner's figures if they cover more requests."""
        if figures.seen <= self.figures.seen:
            return False
        self.figures = figures
        self._adopted_reads = figures.reads
        return True

    def record_size(self, prompt: int, output: int) -> None:
        """Record the prompt tokens and predicted output of a request."""
        current = self.figures
        count = current.seen + 1
        weight = max(_MIN_SIZE_WEIGHT, 1 / count)
        self.figures = current._replace(
            prompt=current.prompt + weight * (prompt - current.prompt),
            output=current.output + weight * (output - current.output),
            seen=count,
        )

    def record_arrival(self, now: float) -> None:
        """Record the arrival of a request that is no retry."""
        self._long_term_arrivals.add(now)
        self._arrivals.add(now)
        self._recent_arrivals.add(now)

    def record_placement(self, now: float) -> None:
        """Record that a request was placed."""
        self._placements.add(now)

    def arrival_rate(self, now: float) -> float:
        """Return the present requests a second, without retries."""
        return self._recent_arrivals.rate(now)

    def long_term_rate(self, now: float) -> float:
        """Return the same over several bursts and the lulls between them."""
        return self._long_term_arrivals.rate(now)

    def is_overloaded(self, now: float) -> bool:
        """Return whether demand has exceeded what is served for a while."""
        if self._arrivals.age(now) < _MIN_OVERLOAD_S:
            return False
        # Recent requests may still wait, or retry soon.
        settled = self._arrivals.count(now) - self._recent_arrivals.count(now)
        return self._placements.count(now) < _MIN_PLACED_FRACTION * settled

    def record_prefill(
        self, tokens: int, seconds: float, median_rate: float | None = None
    ) -> None:
        """Record the time of a prefill at an engine that had no other.

        Args:
            tokens: Tokens of the prompt.
            seconds: Seconds that it took; those of the median engine if
                engines are uneven.
            median_rate: Tokens a second of the median engine if engines are
                uneven, 0 if it is not known yet; None if they are not.
        """
        if tokens <= 0 or seconds <= 0:
            return
        line = self._latency.add_sample(
            tokens, seconds, self.prefill_line, median_rate is not None
        )
        self.figures = self.figures._replace(reads=self.figures.reads + 1)
        if self._adopted_reads and not self._latency.has_slope:
            # Keep the adopted figures until there are enough samples: the
            # first prompts may have waited behind those of the previous owner.
            return
        # The line lags behind the median engine while more become known.
        rate = median_rate or line.rate
        self.figures = self.figures._replace(rate=rate, delay=line.delay)

    def record_overlap(self, alone: float) -> None:
        """Record the fraction of the delay in which nothing else was read."""
        current = self.figures.alone
        step = _OVERLAP_SMOOTHING * (min(1.0, max(0.0, alone)) - current)
        self.figures = self.figures._replace(
            alone=current + step, pairs=self.figures.pairs + 1
        )

    def record_start(self, start: placements.Start, now: float) -> None:
        """Record the first event of a run."""
        self._started_at = now
        if start.seconds is None or not self._tells_delay(start, now):
            return
        self._slacks.append(start.seconds)
        ordered = sorted(self._slacks)
        slack = ordered[int(_SLACK_QUANTILE * len(ordered))]
        self.figures = self.figures._replace(slack=slack)

    def _tells_delay(self, start: placements.Start, now: float) -> bool:
        """Return whether a start tells what other starts take.

        A late one tells of a silence, unless all have been late for longer
        than sound engines are silent.
        """
        if not start.is_late:
            self._late_starts = 0
            return True
        if not self._late_starts:
            self._late_since = now
        self._late_starts += 1
        return (
            self._late_starts >= _MIN_LATE_STARTS
            and now - self._late_since > _MAX_SILENCE_S
        )

    def renew_delays(self, job: generations.Job, now: float) -> bool:
        """Forget the measured delays if by them nothing can ever start.

        Delays are measured only where requests are placed. After a moment in
        which all engines were silent, they can exceed what any caller waits:
        then nothing is placed, and nothing shows that the moment is over.

        Args:
            job: Request that is late by these delays.
            now: Monotonic time in seconds.

        Returns:
            Whether they were forgotten.
        """
        current = self.figures
        mean_seconds = self.prefill_seconds(round(current.prompt))
        least_seconds = job.prompt_tokens / INITIAL_PREFILL_RATE
        time_left = job.abandon_at - now
        if (
            now < self._started_at + _MAX_START_AGE_S
            or mean_seconds + current.slack <= time_left
            or least_seconds + INITIAL_SLACK_S > time_left
        ):
            return False
        self._slacks.clear()
        self._latency = latency.Latency()
        self._adopted_reads = 0
        self.figures = current._replace(
            rate=max(current.rate, INITIAL_PREFILL_RATE),
            delay=0.0,
            slack=min(current.slack, INITIAL_SLACK_S),
        )
        return True

    def record_pace(self, pace: float) -> None:
        """Record the mean pace of the engines."""
        self.figures = self.figures._replace(pace=pace)

    @property
    def prefill_line(self) -> latency.Line:
        """Prefill time of a prompt at an idle prefill engine."""
        return latency.Line(self.figures.delay, self.figures.rate)

    def prefill_seconds(self, tokens: int) -> float:
        """Return the seconds until a prefill engine has read a prompt."""
        return self.prefill_line.seconds(tokens)

    def prefill_busy_seconds(self, tokens: float) -> float:
        """Return the seconds for which a prompt keeps an engine busy."""
        current = self.figures
        return tokens / current.rate + current.alone * current.delay

    def prefill_busy_range(self, prompt: float) -> tuple[float, float]:
        """Return bounds on the seconds that a prompt takes an engine."""
        current = self.figures
        total = self.prefill_seconds(round(prompt))
        if current.reads < latency.MIN_SAMPLES:
            return _MIN_WORK_FRACTION * total, total
        if not self.has_overlap_estimate:
            return prompt / current.rate, total
        busy = self.prefill_busy_seconds(prompt)
        return busy, busy

    @property
    def has_overlap_estimate(self) -> bool:
        """Whether enough pairs show if engines read during the delay."""
        return self.figures.pairs >= _MIN_PAIRS

    def seconds_to_first_event(self, job: generations.Job) -> float:
        """Return the seconds from placement to the first event."""
        slack = self.figures.slack
        return (
            slack
            if job.is_prefilled
            else self.prefill_seconds(job.prompt_tokens) + slack
        )

    def min_total_seconds(self, job: generations.Job) -> float:
        """Return the least time that a complete answer may take."""
        return (
            self.prefill_seconds(job.prompt_tokens)
            + job.predicted_output * self.figures.pace / 2
        )
