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

FIRST_PACE: typing.Final = 0.001
"""Seconds for a token before any run was measured; middle of what engines
of the users' sizes take with half of their slots in use."""

_PACE_TOKENS: typing.Final = 2000.0
"""Tokens of an engine over which its pace is averaged: one to two seconds
of ten runs, in which a burst fills an engine."""
_OVERRUN: typing.Final = 1.25
"""Predicted length of a run that has outlived its prediction, by what it
has made so far; the mean for lengths that spread by a factor of 1.4."""
DEVIATIONS: typing.Final = 1.5
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
    prompt: int
    output: int
    most: int
    starts_at: float
    made: int = 0
    made_at: float = 0.0


def margin(runs: typing.Iterable[Run], spread: float) -> float:
    """Return the tokens by which a sum of predictions may fall short.

    Answers are off by a part of their length, each by its own, so errors add
    up as the root of their squares: ten answers of a tenth of the memory
    need a fiftieth of it as a margin, twelve of two fifths an eighth.

    Args:
        runs: that are summed up.
        spread: how far lengths lie from their predictions.
    """
    squares = sum(run.output**2 for run in runs)
    return DEVIATIONS * spread * math.sqrt(squares)


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
        self.pace = FIRST_PACE
        self.paced = 0
        self.spread = 0.0
        self.foreign = 0.0
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

    def take_back(self, stream: ids.StreamId) -> None:
        """Undo an `add` that nothing came of."""
        self._runs.pop(stream, None)

    def progress(
        self, stream: ids.StreamId, made: int, made_at: float
    ) -> None:
        """Take how far a run has come, as its VM tells it.

        What engines make is known while they make it, not only at the end of
        answers: a burst fills them in less time than an answer takes.
        """
        run = self._runs[stream]
        if made <= run.made:
            return
        if run.made:
            self._learn_pace(made - run.made, made_at - run.made_at)
        run.made = made
        run.made_at = made_at

    def ended(
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
        if run is not None and run.made:
            self.progress(stream, tokens, now)
        else:
            self._learn_pace(tokens, seconds)

    def _learn_pace(self, tokens: int, seconds: float) -> None:
        if tokens <= 0 or seconds <= 0:
            return
        self.paced += tokens
        weight = min(1.0, max(tokens / _PACE_TOKENS, tokens / self.paced))
        self.pace += weight * (seconds / tokens - self.pace)
        runs = max(1, len(self._runs))
        self._beside += weight * (runs - self._beside)
        self._shown.learn(runs, tokens, seconds)

    def pace_beside(self, runs: float) -> float:
        """Return the seconds for a token beside some number of runs."""
        return self.pace * self._shown.slower(self._beside, runs)

    def observe(self, used: int, now: float) -> None:
        """Take the used tokens of a report.

        What is over everything that this owner knows of, now and shortly
        before, belongs to others: to runs that another owner placed.
        """
        self._ended = [e for e in self._ended if now - e[0] < _RECENT]
        own = sum(self._held(run, now) for run in self._runs.values())
        own += sum(tokens for _, tokens in self._ended)
        self.foreign = max(0.0, used - own)

    def peak(self, added: Run, now: float) -> float:
        """Return the highest predicted use with one more run."""
        spans = [self._span(run, now) for run in self._runs.values()]
        spans.append(self._span(added, now))
        pace = self.pace
        highest = self.foreign
        for _, moment, _ in spans:
            used = self.foreign
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
        if not self._runs and not self.foreign:
            # Nothing is gained by waiting; if it is too large, the engine
            # says so.
            return True
        # Bounds that are cheap: an owner decides some hundred times a
        # second over all engines, and the sum over time costs the square
        # of the runs.
        runs = (*self._runs.values(), added)
        room = self.capacity - margin(runs, self.spread)
        most = self.foreign + sum(
            run.prompt + max(run.output, _OVERRUN * self._made(run, now))
            for run in runs
        )
        if most <= room:
            return True
        least = self.foreign + sum(run.prompt for run in runs)
        if least > room:
            return False
        return self.peak(added, now) <= room

    def load(self, now: float) -> float:
        """Return the part of the memory that is held now."""
        held = sum(self._held(run, now) for run in self._runs.values())
        return (held + self.foreign) / max(1, self.capacity)

    def _span(self, run: Run, now: float) -> tuple[float, float, int]:
        """Return start, predicted end and prompt of a run."""
        made = self._made(run, now)
        output = float(run.output)
        if made > output:
            output = min(run.most, made * _OVERRUN)
        if made > 0:
            # As if it had always made tokens at the present pace.
            starts_at = now - made * self.pace
            return starts_at, starts_at + output * self.pace, run.prompt
        end = run.starts_at + output * self.pace
        return run.starts_at, max(now, end), run.prompt

    def _held(self, run: Run, now: float) -> float:
        return run.prompt + min(run.most, self._made(run, now))

    def _made(self, run: Run, now: float) -> float:
        since = run.made_at if run.made else run.starts_at
        return run.made + max(0.0, now - since) / self.pace
