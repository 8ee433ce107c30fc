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

"""KV cache memory of decode engines over the predicted life of runs.

A run holds its prompt from the start and one more token with each step, and
frees all of it at its end. An engine is limited by the peak of the sum over
time, which is reached just before one of its runs ends. A new run fits if the
sum stays within the limit at each of these times. Counting slots, or the
present usage, admits too much: a run grows by two thirds here, and an engine
that runs out of memory preempts a run and reads its prompt again.
"""

import collections.abc
import dataclasses
import math
import typing

from galenahatch.core import pace as paces
from galenahatch import ids

INITIAL_PACE: typing.Final = 0.001
"""Seconds for a token before any run was measured; the middle of what engines
of the users' sizes take with half of their slots in use."""

_PACE_WINDOW_TOKENS: typing.Final = 2000.0
"""Tokens of an engine over which its pace is averaged: one to two seconds of
ten runs, the time in which a burst fills an engine."""
_OVERRUN_FACTOR: typing.Final = 1.25
"""Predicted length of a run that has exceeded its prediction, as a multiple of
what it has generated; the mean for lengths that spread by a factor of 1.4."""
MARGIN_DEVIATIONS: typing.Final = 1.5
"""Standard deviations kept free for answers longer than predicted: one sum in
fifteen exceeds that. Preempting a run costs its prompt again and a pause, an
empty slot only a fraction of a run's time."""
_ENDED_MAX_AGE_S: typing.Final = 1.5
"""Seconds for which an ended run may still be included in a report; reports of
engines are up to a second old."""


PaceAdjustment = collections.abc.Callable[[int, int, float, float], float]
"""Maps a batch size, generated tokens, their seconds and the present time to
the seconds that the median engine of the service takes on average."""


def _keep_pace(runs: int, tokens: int, seconds: float, now: float) -> float:
    del runs, tokens, now
    return seconds


@dataclasses.dataclass
class Run:
    """One request at a decode engine.

    Attributes:
        prompt_tokens: Tokens held from the start.
        predicted_output: Predicted tokens of the answer.
        max_output: Upper bound on the tokens of the answer.
        starts_at: Time of the first token, predicted or observed.
        generated: Tokens generated at the last report.
        generated_at: Time of the last report.
    """

    stream: ids.StreamId
    entry: ids.MemberId
    prompt_tokens: int
    predicted_output: int
    max_output: int
    starts_at: float
    generated: int = 0
    generated_at: float = 0.0


def safety_margin(runs: typing.Iterable[Run], spread: float) -> float:
    """Return the tokens by which a sum of predictions may fall short.

    Each answer is off by a fraction of its length, independently, so errors
    add up as the root of the sum of squares: ten answers of a tenth of the
    memory need a fiftieth of it as a margin, twelve of two fifths an eighth.

    Args:
        runs: Runs that are summed up.
        spread: Relative standard deviation of lengths from their predictions.
    """
    squares = sum(run.predicted_output**2 for run in runs)
    return MARGIN_DEVIATIONS * spread * math.sqrt(squares)


class EngineMemory:
    """Present and predicted runs of one decode engine.

    Args:
        capacity: Tokens of KV cache.
        slots: Largest batch size.
        pace: Pace by batch size of all engines of the service.

    Attributes:
        adjust_pace: Adjusts samples for the pace of all engines.
    """

    def __init__(
        self, capacity: int, slots: int, pace: paces.Pace | None = None
    ) -> None:
        self._service_pace = paces.Pace() if pace is None else pace
        self._mean_batch = 0.0
        self.capacity = capacity
        self.slots = slots
        self.pace = INITIAL_PACE
        self.paced_tokens = 0
        self.spread = 0.0
        self.adjust_pace: PaceAdjustment = _keep_pace
        self.unknown_tokens = 0.0
        self._runs: dict[ids.StreamId, Run] = {}
        self._ended_runs: list[tuple[float, float]] = []

    @property
    def runs(self) -> typing.Mapping[ids.StreamId, Run]:
        """Runs by stream."""
        return self._runs

    def add(self, run: Run) -> None:
        """Add a run."""
        self._runs[run.stream] = run

    def remove(self, stream: ids.StreamId, now: float) -> Run | None:
        """Remove a run that has ended."""
        run = self._runs.pop(stream, None)
        if run is not None:
            self._ended_runs.append((now, self._held_tokens(run, now)))
        return run

    def discard(self, stream: ids.StreamId) -> None:
        """Undo an `add` for a run that was not placed after all."""
        self._runs.pop(stream, None)

    def record_progress(
        self, stream: ids.StreamId, tokens: int, at: float
    ) -> None:
        """Record the progress of a run as reported by its VM.

        The pace is updated while runs generate, not only when they end: a
        burst fills engines in less time than an answer takes.
        """
        run = self._runs[stream]
        if tokens <= run.generated:
            return
        if run.generated:
            self._sample_pace(
                tokens - run.generated, at - run.generated_at, at
            )
        run.generated = tokens
        run.generated_at = at

    def record_end(
        self, stream: ids.StreamId, tokens: int, seconds: float, now: float
    ) -> None:
        """Record that a run has completed.

        Args:
            stream: Stream of the run.
            tokens: Tokens of its answer.
            seconds: Seconds that they took.
            now: Monotonic time in seconds.
        """
        run = self._runs.get(stream)
        if run is not None and run.generated:
            self.record_progress(stream, tokens, now)
        else:
            self._sample_pace(tokens, seconds, now)

    def _sample_pace(self, tokens: int, seconds: float, now: float) -> None:
        if tokens <= 0 or seconds <= 0:
            return
        self.paced_tokens += tokens
        weight = min(
            1.0, max(tokens / _PACE_WINDOW_TOKENS, tokens / self.paced_tokens)
        )
        self.pace += weight * (seconds / tokens - self.pace)
        runs = max(1, len(self._runs))
        self._mean_batch += weight * (runs - self._mean_batch)
        adjusted = self.adjust_pace(runs, tokens, seconds, now)
        self._service_pace.add_sample(runs, tokens, adjusted)

    def pace_at_batch(self, runs: float) -> float:
        """Return the seconds for a token at a batch size."""
        return self.pace * self._service_pace.slowdown(self._mean_batch, runs)

    def record_usage(self, used: int, now: float) -> None:
        """Record the used tokens that the engine reports.

        Usage beyond all runs known to this owner, present or recently ended,
        belongs to runs that another owner placed.
        """
        self._ended_runs = [
            entry
            for entry in self._ended_runs
            if now - entry[0] < _ENDED_MAX_AGE_S
        ]
        known_tokens = sum(
            self._held_tokens(run, now) for run in self._runs.values()
        )
        known_tokens += sum(tokens for _, tokens in self._ended_runs)
        self.unknown_tokens = max(0.0, used - known_tokens)

    def peak_usage(self, candidate: Run, now: float) -> float:
        """Return the highest predicted usage with one more run."""
        spans = [self._lifespan(run, now) for run in self._runs.values()]
        spans.append(self._lifespan(candidate, now))
        pace = self.pace
        highest = self.unknown_tokens
        for _, time, _ in spans:
            used = self.unknown_tokens
            for start, end, prompt in spans:
                if start <= time <= end:
                    used += prompt + (time - start) / pace
                elif start > time:
                    # It holds its prompt from its admission.
                    used += prompt
            highest = max(highest, used)
        return highest

    def fits(self, candidate: Run, now: float) -> bool:
        """Return whether one more run fits."""
        if len(self._runs) >= self.slots:
            return False
        if not self._runs and not self.unknown_tokens:
            # Waiting gains nothing; the engine rejects too large a run.
            return True
        # Check cheap bounds first: an owner decides a few hundred times a
        # second over all engines, and the peak takes quadratic time.
        runs = (*self._runs.values(), candidate)
        usable = self.capacity - safety_margin(runs, self.spread)
        upper = self.unknown_tokens + sum(
            run.prompt_tokens
            + max(
                run.predicted_output,
                _OVERRUN_FACTOR * self._generated_tokens(run, now),
            )
            for run in runs
        )
        if upper <= usable:
            return True
        lower = self.unknown_tokens + sum(run.prompt_tokens for run in runs)
        if lower > usable:
            return False
        return self.peak_usage(candidate, now) <= usable

    def load(self, now: float) -> float:
        """Return the fraction of the memory that is used now."""
        used = sum(self._held_tokens(run, now) for run in self._runs.values())
        return (used + self.unknown_tokens) / max(1, self.capacity)

    def _lifespan(self, run: Run, now: float) -> tuple[float, float, int]:
        """Return the start, predicted end and prompt tokens of a run."""
        generated = self._generated_tokens(run, now)
        output = float(run.predicted_output)
        if generated > output:
            output = min(run.max_output, generated * _OVERRUN_FACTOR)
        if generated > 0:
            # Assume the present pace since the start.
            starts_at = now - generated * self.pace
            return starts_at, starts_at + output * self.pace, run.prompt_tokens
        end = run.starts_at + output * self.pace
        return run.starts_at, max(now, end), run.prompt_tokens

    def _held_tokens(self, run: Run, now: float) -> float:
        return run.prompt_tokens + min(
            run.max_output, self._generated_tokens(run, now)
        )

    def _generated_tokens(self, run: Run, now: float) -> float:
        since = run.generated_at if run.generated else run.starts_at
        return run.generated + max(0.0, now - since) / self.pace
