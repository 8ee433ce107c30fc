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

"""Time per output token by the batch size of a decode engine.

Larger batches take longer for a token. What a full engine can complete does
not follow from its pace while half empty: with step times that double towards
a full engine, decode engines looked twice as fast as they were and were turned
into prefill engines before a burst.

A regression line, recent samples weighted most, gives the pace at any batch
size. A prior keeps the slope small while there is little evidence, and the
slope is never negative.
"""

import typing

_DECAY_TOKENS: typing.Final = 20_000.0
"""Tokens over which samples decay: about 40 answers of 500 tokens, so that the
slope outlasts a lull and follows a change of engines within a minute."""
LASTING_DECAY_TOKENS: typing.Final = 2_000_000.0
"""The same where slow moments and the speeds of engines are taken out of the
samples: what remains changes with the engines only, and a plan needs it for
batches that the last seconds did not see."""
_VARIANCE_PRIOR: typing.Final = 1.0
"""Variance of the batch size at which the slope counts by half: sizes that
differ by one reveal no more than the granularity of events hides."""


class Pace:
    """Regression of the time per token on the batch size, for one service.

    Args:
        decay: Tokens over which samples decay.

    Attributes:
        sampled_tokens: Tokens sampled so far, including those of engines that
            are gone.
    """

    def __init__(self, decay: float = _DECAY_TOKENS) -> None:
        self._decay = decay
        self.sampled_tokens = 0
        self._weight = 0.0
        self._mean_runs = 0.0
        self._mean_seconds = 0.0
        self._runs_variance = 0.0
        self._covariance = 0.0

    def add_sample(self, runs: float, tokens: int, seconds: float) -> None:
        """Add the tokens that one run generated.

        Args:
            runs: Batch size of the engine, this run included.
            tokens: Number of tokens generated.
            seconds: Seconds that they took.
        """
        self.sampled_tokens += tokens
        keep = max(0.0, 1 - tokens / self._decay)
        self._weight = self._weight * keep + tokens
        share = tokens / self._weight
        runs_error = runs - self._mean_runs
        seconds_error = seconds / tokens - self._mean_seconds
        self._mean_runs += share * runs_error
        self._mean_seconds += share * seconds_error
        weighted_error = (1 - share) * runs_error
        self._runs_variance += share * (
            weighted_error * runs_error - self._runs_variance
        )
        self._covariance += share * (
            weighted_error * seconds_error - self._covariance
        )

    def slowdown(self, before: float, after: float) -> float:
        """Return the factor by which a token takes longer in another batch.

        Args:
            before: Present batch size.
            after: Batch size to compare with.
        """
        current = self.seconds_at(before)
        return self.seconds_at(after) / current if current > 0 else 1.0

    def seconds_at(self, runs: float) -> float:
        """Return the seconds for a token in a batch; 0 without samples."""
        variance = self._runs_variance + _VARIANCE_PRIOR
        slope = max(0.0, self._covariance / variance)
        floor = self._mean_seconds / 4
        return max(
            floor, self._mean_seconds + slope * (runs - self._mean_runs)
        )
