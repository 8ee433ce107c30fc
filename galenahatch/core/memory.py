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

"""Memory for KV cache at decode engines, over the predicted life of runs.

A run holds its prompt from its start and one token more with each step, and
frees all of it at its end. What limits an engine is therefore the highest
sum over time, which is reached just before one of its runs ends. A new run
fits if the sum stays under the limit at each of those moments. Counting
places, or what is used now, admits too much: a run that starts small grows
by two thirds here, and an engine that runs out of memory preempts a run
and reads its prompt again.
"""

import dataclasses
import math
import typing

from galenahatch.core import pace as paces
from galenahatch import ids

INITIAL_PACE: typing.Final = 0.001
"""Seconds for a token before any run was measured; middle of what engines
of the users' sizes take with half of their slots in use."""

_PACE_TOKENS: typing.Final = 2000.0
"""Tokens of an engine over which its pace is averaged: one to two seconds
of ten runs, in which a burst fills an engine."""
_OVERRUN: typing.Final = 1.25
"""Predicted length of a run that has outlived its prediction, by what it
has made so far; the mean for lengths that spread by a factor of 1.4."""
MARGIN_DEVIATIONS: typing.Final = 1.5
"""Standard deviations that are kept free for longer answers than predicted:
one sum in fifteen exceeds that. Preempting a run costs its prompt again and a
pause, an empty place a fraction of a run's time."""
_RECENT: typing.Final = 1.5
"""Seconds for which a run that has ended may still stand in a report; the
reports of engines are up to a second old."""


@dataclasses.dataclass
class Run:
    """One request at a decode engine.

    Attributes:
        prompt: tokens held from the start.
        output: predicted tokens of the answer.
        most: bound on the tokens of the answer.
        starts_at: when the first token is made, predicted or seen.
        made: tokens that it was seen to have made.
        made_at: when it was seen to have made them.
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

    Answers are off by a part of their length, each by its own, so errors add
    up as the root of their squares: ten answers of a tenth of the memory
    need a fiftieth of it as a margin, twelve of two fifths an eighth.

    Args:
        runs: that are summed up.
        spread: how far lengths lie from their predictions.
    """
    squares = sum(run.predicted_output**2 for run in runs)
    return MARGIN_DEVIATIONS * spread * math.sqrt(squares)


class EngineMemory:
    """Runs of one decode engine, now and predicted.

    Args:
        capacity: tokens of KV cache.
        slots: runs at once.
        pace: what all engines of the service have shown.
    """

    def __init__(
        self, capacity: int, slots: int, pace: paces.Pace | None = None
    ) -> None:
        self._shown = paces.Pace() if pace is None else pace
        self._beside = 0.0
        self.capacity = capacity
        self.slots = slots
        self.pace = INITIAL_PACE
        self.paced_tokens = 0
        self.spread = 0.0
        self.unknown_tokens = 0.0
        self._runs: dict[ids.StreamId, Run] = {}
        self._ended: list[tuple[float, float]] = []

    @property
    def runs(self) -> typing.Mapping[ids.StreamId, Run]:
        """Runs by stream."""
        return self._runs

    def add(self, run: Run) -> None:
        """Take a run."""
        self._runs[run.stream] = run

    def remove(self, stream: ids.StreamId, now: float) -> Run | None:
        """Forget a run that has ended."""
        run = self._runs.pop(stream, None)
        if run is not None:
            self._ended.append((now, self._held(run, now)))
        return run

    def discard(self, stream: ids.StreamId) -> None:
        """Undo an `add` that nothing came of."""
        self._runs.pop(stream, None)

    def record_progress(
        self, stream: ids.StreamId, made: int, made_at: float
    ) -> None:
        """Take how far a run has come, as its VM tells it.

        What engines make is known while they make it, not only at the end of
        answers: a burst fills them in less time than an answer takes.
        """
        run = self._runs[stream]
        if made <= run.generated:
            return
        if run.generated:
            self._learn_pace(made - run.generated, made_at - run.generated_at)
        run.generated = made
        run.generated_at = made_at

    def record_end(
        self, stream: ids.StreamId, tokens: int, seconds: float, now: float
    ) -> None:
        """Take that a run has ended well.

        Args:
            stream: of the run.
            tokens: of its answer.
            seconds: that they took.
            now: monotonic seconds.
        """
        run = self._runs.get(stream)
        if run is not None and run.generated:
            self.record_progress(stream, tokens, now)
        else:
            self._learn_pace(tokens, seconds)

    def _learn_pace(self, tokens: int, seconds: float) -> None:
        if tokens <= 0 or seconds <= 0:
            return
        self.paced_tokens += tokens
        weight = min(
            1.0, max(tokens / _PACE_TOKENS, tokens / self.paced_tokens)
        )
        self.pace += weight * (seconds / tokens - self.pace)
        runs = max(1, len(self._runs))
        self._beside += weight * (runs - self._beside)
        self._shown.add_sample(runs, tokens, seconds)

    def pace_at_batch(self, runs: float) -> float:
        """Return the seconds for a token beside some number of runs."""
        return self.pace * self._shown.slowdown(self._beside, runs)

    def record_usage(self, used: int, now: float) -> None:
        """Take the used tokens of a report.

        What is over everything that this owner knows of, now and shortly
        before, belongs to others: to runs that another owner placed.
        """
        self._ended = [e for e in self._ended if now - e[0] < _RECENT]
        own = sum(self._held(run, now) for run in self._runs.values())
        own += sum(tokens for _, tokens in self._ended)
        self.unknown_tokens = max(0.0, used - own)

    def peak_usage(self, added: Run, now: float) -> float:
        """Return the highest predicted use with one more run."""
        spans = [self._span(run, now) for run in self._runs.values()]
        spans.append(self._span(added, now))
        pace = self.pace
        highest = self.unknown_tokens
        for _, moment, _ in spans:
            used = self.unknown_tokens
            for start, end, prompt in spans:
                if start <= moment <= end:
                    used += prompt + (moment - start) / pace
                elif start > moment:
                    # It has its memory from the moment it is admitted.
                    used += prompt
            highest = max(highest, used)
        return highest

    def fits(self, added: Run, now: float) -> bool:
        """Return whether one more run fits."""
        if len(self._runs) >= self.slots:
            return False
        if not self._runs and not self.unknown_tokens:
            # Nothing is gained by waiting; if it is too large, the engine
            # says so.
            return True
        # Bounds that are cheap: an owner decides some hundred times a
        # second over all engines, and the sum over time costs the square
        # of the runs.
        runs = (*self._runs.values(), added)
        room = self.capacity - safety_margin(runs, self.spread)
        most = self.unknown_tokens + sum(
            run.prompt_tokens
            + max(run.predicted_output, _OVERRUN * self._made(run, now))
            for run in runs
        )
        if most <= room:
            return True
        least = self.unknown_tokens + sum(run.prompt_tokens for run in runs)
        if least > room:
            return False
        return self.peak_usage(added, now) <= room

    def load(self, now: float) -> float:
        """Return the part of the memory that is held now."""
        held = sum(self._held(run, now) for run in self._runs.values())
        return (held + self.unknown_tokens) / max(1, self.capacity)

    def _span(self, run: Run, now: float) -> tuple[float, float, int]:
        """Return start, predicted end and prompt of a run."""
        made = self._made(run, now)
        output = float(run.predicted_output)
        if made > output:
            output = min(run.max_output, made * _OVERRUN)
        if made > 0:
            # As if it had always made tokens at the present pace.
            starts_at = now - made * self.pace
            return starts_at, starts_at + output * self.pace, run.prompt_tokens
        end = run.starts_at + output * self.pace
        return run.starts_at, max(now, end), run.prompt_tokens

    def _held(self, run: Run, now: float) -> float:
        return run.prompt_tokens + min(run.max_output, self._made(run, now))

    def _made(self, run: Run, now: float) -> float:
        since = run.generated_at if run.generated else run.starts_at
        return run.generated + max(0.0, now - since) / self.pace
