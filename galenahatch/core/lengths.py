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

"""Predicted lengths of answers.

Callers estimate how long an answer will be, right in the middle and often
far off. The prediction lies between the estimate and the usual length, as
far towards the estimate as estimates have been worth lately: the slope of a
running regression in logarithms. With estimates off by a factor of 1.7, as
measured on the users' engines, half the spread of the prediction error goes.
"""

import math
import typing

_DECAY: typing.Final = 0.995
"""Weight of what was learnt at each new length; some 200 lengths count."""
_FIRST_SLOPE: typing.Final = 0.5
_SLOPE_WEIGHT: typing.Final = 2.0
"""How much evidence the first slope counts for, in squared logarithms; that
of about eight requests."""
INITIAL_SPREAD: typing.Final = 0.3
"""Spread of the answers before four were seen. Not measured: it holds for
the first four answers of an owner only."""
_LEAST: typing.Final = 4
"""Lengths seen before the usual length counts."""


class Lengths:
    """What is known of the answers of one service."""

    def __init__(self) -> None:
        self._count = 0
        self._weight = 0.0
        self._mean_hint = 0.0
        self._mean_length = 0.0
        self._hint_hint = 0.0
        self._hint_length = 0.0
        self._length_length = 0.0

    def add_sample(self, hint: int, length: int) -> None:
        """Take a caller's estimate and what came of it, in tokens."""
        if hint <= 0 or length <= 0:
            return
        x = math.log(hint)
        y = math.log(length)
        self._count += 1
        self._weight = self._weight * _DECAY + 1
        off_x = x - self._mean_hint
        off_y = y - self._mean_length
        self._mean_hint += off_x / self._weight
        self._mean_length += off_y / self._weight
        self._hint_hint = self._hint_hint * _DECAY + off_x * (
            x - self._mean_hint
        )
        self._hint_length = self._hint_length * _DECAY + off_x * (
            y - self._mean_length
        )
        self._length_length = self._length_length * _DECAY + off_y * (
            y - self._mean_length
        )

    @property
    def spread(self) -> float:
        """How far lengths lie from their predictions, in parts of those."""
        if self._count < _LEAST:
            return INITIAL_SPREAD
        rest = self._length_length - self._slope() * self._hint_length
        return math.sqrt(math.expm1(max(0.0, rest) / self._weight))

    def _slope(self) -> float:
        """Return how far a prediction follows the estimate, 0 to 1."""
        slope = (self._hint_length + _FIRST_SLOPE * _SLOPE_WEIGHT) / (
            self._hint_hint + _SLOPE_WEIGHT
        )
        return min(1.0, max(0.0, slope))

    def predict(self, hint: int, most: int) -> int:
        """Return the predicted length, the mean of what may come.

        Args:
            hint: the caller's estimate, 0 if it gave none.
            most: bound on the length.
        """
        if self._count < _LEAST:
            return max(1, min(hint or most // 2, most))
        y = self._mean_length
        explained = 0.0
        if hint > 0:
            slope = self._slope()
            x = math.log(min(hint, most))
            y += slope * (x - self._mean_hint)
            explained = slope * self._hint_length
        rest = max(0.0, self._length_length - explained) / self._weight
        return max(1, min(most, round(math.exp(y + rest / 2))))
