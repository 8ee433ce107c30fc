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
from galenahatch.core import lengths
from galenahatch.core import memory

FIRST_RATE: typing.Final = 40_000.0
"""Prompt tokens a second of a prefill engine before any was measured."""
START_SLACK: typing.Final = 0.15
"""Seconds from the end of a prefill to the first event at the caller:
transfer, first step, network."""
_RATE_STEP: typing.Final = 0.08
_RATE_SHARE: typing.Final = 0.65
"""Step by which the rate believed follows each prefill, and the share of
prefills that are slower than it. Waiting makes some look slow, and a prompt
that the engine still keeps is read at once: a mean of any kind was up to
eight times too fast after callers came again."""
_SIZE_WEIGHT: typing.Final = 0.03
"""Least weight of the newest request in the mean sizes."""
_ARRIVAL_SPAN: typing.Final = 15.0
"""Seconds over which the usual rate of requests is counted."""


class Figures(typing.NamedTuple):
    """What an owner has measured; the next one begins with it.

    Attributes:
        rate: prompt tokens a second of a prefill engine.
        prompt: mean tokens of a prompt.
        output: mean tokens of an answer.
        pace: seconds for a token.
        seen: requests that were measured.
    """

    rate: float = FIRST_RATE
    prompt: float = 0.0
    output: float = 0.0
    pace: float = memory.FIRST_PACE
    seen: int = 0


class Measures:
    """Running measurements of one service."""

    def __init__(self) -> None:
        self.figures = Figures()
        self.lengths = lengths.Lengths()
        self._arrivals: collections.deque[float] = collections.deque()

    @property
    def held(self) -> float:
        """Mean tokens that a run holds over its life."""
        return self.figures.prompt + self.figures.output / 2

    def adopt(self, figures: Figures) -> bool:
        """Take another owner's figures, if it has seen more."""
        if figures.seen <= self.figures.seen:
            return False
        self.figures = figures
        return True

    def note_size(self, prompt: int, output: int) -> None:
        """Take the sizes of a request, its answer's as predicted."""
        known = self.figures
        seen = known.seen + 1
        weight = max(_SIZE_WEIGHT, 1 / seen)
        self.figures = known._replace(
            prompt=known.prompt + weight * (prompt - known.prompt),
            output=known.output + weight * (output - known.output),
            seen=seen,
        )

    def note_arrival(self, now: float) -> None:
        """Count a request that does not come back."""
        self._arrivals.append(now)
        while self._arrivals[0] < now - _ARRIVAL_SPAN:
            self._arrivals.popleft()

    def arrival_rate(self, now: float) -> float:
        """Return the usual rate of requests."""
        if not self._arrivals:
            return 0.0
        span = max(1.0, now - self._arrivals[0])
        return len(self._arrivals) / span

    def note_prefill(self, tokens: int, seconds: float) -> None:
        """Take how long a prefill took."""
        if tokens <= 0 or seconds <= 0:
            return
        rate = self.figures.rate
        is_faster = tokens / seconds > rate
        step = _RATE_SHARE if is_faster else _RATE_SHARE - 1
        self.figures = self.figures._replace(
            rate=rate * (1 + _RATE_STEP * step)
        )

    def note_pace(self, pace: float) -> None:
        """Take the mean pace of the engines."""
        self.figures = self.figures._replace(pace=pace)

    def reading(self, prompt: int) -> float:
        """Return the seconds that a prefill engine needs for a prompt."""
        return prompt / self.figures.rate

    def until_first(self, job: generations.Job) -> float:
        """Return the seconds from placing to the first event."""
        if job.is_read:
            return START_SLACK
        return self.reading(job.prompt) + START_SLACK

    def shortest_life(self, job: generations.Job) -> float:
        """Return the shortest time that a whole answer may take."""
        return self.reading(job.prompt) + job.output * self.figures.pace / 2
