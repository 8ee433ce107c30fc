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

"""How long a token takes, by the runs that an engine makes tokens for.

A batch takes longer the more runs are in it. What engines end when they are
full can't be read from the pace that they show while they are half empty:
with steps that double towards a full engine, decode engines looked twice as
fast as they are, and were made prefill engines before a burst.

A line through what was seen, the newest counting most, tells the pace beside
any number of runs. Its slope is held back as long as there is little to tell
it from, and no token is believed to become cheaper beside more runs.
"""

import typing

_TOKENS: typing.Final = 20_000.0
"""Tokens over which what was seen fades: some 40 answers of 500, so that a
slope outlasts a lull and follows a change of engines within a minute."""
_LEAST_SPREAD: typing.Final = 1.0
"""Variance of the number of runs for which the slope counts by half: numbers
that differ by one tell no more than the granularity of events hides."""


class Pace:
    """What the decode engines of a service have shown.

    Attributes:
        tokens: from which it was learnt, of engines that are gone as well.
    """

    def __init__(self) -> None:
        self.sampled_tokens = 0
        self._weight = 0.0
        self._runs = 0.0
        self._seconds = 0.0
        self._runs_runs = 0.0
        self._runs_seconds = 0.0

    def add_sample(self, runs: float, tokens: int, seconds: float) -> None:
        """Take what a run made.

        Args:
            runs: that its engine had, itself included.
            tokens: that it made.
            seconds: that they took.
        """
        self.sampled_tokens += tokens
        keep = max(0.0, 1 - tokens / _TOKENS)
        self._weight = self._weight * keep + tokens
        share = tokens / self._weight
        off_runs = runs - self._runs
        off_seconds = seconds / tokens - self._seconds
        self._runs += share * off_runs
        self._seconds += share * off_seconds
        rest = (1 - share) * off_runs
        self._runs_runs += share * (rest * off_runs - self._runs_runs)
        self._runs_seconds += share * (rest * off_seconds - self._runs_seconds)

    def slowdown(self, before: float, after: float) -> float:
        """Return by what factor a token takes longer beside more runs.

        Args:
            before: runs of the engine now.
            after: runs for which the factor is asked.
        """
        now = self._at(before)
        return self._at(after) / now if now > 0 else 1.0

    def _at(self, runs: float) -> float:
        spread = self._runs_runs + _LEAST_SPREAD
        slope = max(0.0, self._runs_seconds / spread)
        least = self._seconds / 4
        return max(least, self._seconds + slope * (runs - self._runs))
