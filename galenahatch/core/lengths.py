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

"""Predicts the lengths of answers.

Callers' estimates of the answer length are unbiased but often far off. The
prediction lies between the estimate and the mean length, weighted by how
reliable estimates have been recently: the slope of a running regression of
logarithms. For estimates that are off by a factor of 1.7, as at the users'
engines, this halves the spread of the prediction error.
"""

import math
import typing

_DECAY: typing.Final = 0.995
"""Factor applied to the weight of earlier samples with each new one; about 200
samples count."""
_PRIOR_SLOPE: typing.Final = 0.5
_PRIOR_WEIGHT: typing.Final = 2.0
"""Weight of the prior slope, in squared logarithms; equal to that of about
eight requests."""
INITIAL_SPREAD: typing.Final = 0.3
"""Relative prediction error assumed for the first four answers of an owner."""
_MIN_SAMPLES: typing.Final = 4
"""Samples needed before the mean length is used."""


class Lengths:
    """Regression of answer lengths on callers' estimates, for one service."""

    def __init__(self) -> None:
        self._count = 0
        self._weight = 0.0
        self._mean_hint = 0.0
        self._mean_length = 0.0
        self._hint_squares = 0.0
        self._cross_products = 0.0
        self._length_squares = 0.0

    def add_sample(self, hint: int, length: int) -> None:
        """Add a caller's estimate and the actual length, in tokens."""
        if hint <= 0 or length <= 0:
            return
        log_hint = math.log(hint)
        log_length = math.log(length)
        self._count += 1
        self._weight = self._weight * _DECAY + 1
        hint_error = log_hint - self._mean_hint
        length_error = log_length - self._mean_length
        self._mean_hint += hint_error / self._weight
        self._mean_length += length_error / self._weight
        self._hint_squares = self._hint_squares * _DECAY + hint_error * (
            log_hint - self._mean_hint
        )
        self._cross_products = self._cross_products * _DECAY + hint_error * (
            log_length - self._mean_length
        )
        self._length_squares = self._length_squares * _DECAY + length_error * (
            log_length - self._mean_length
        )

    @property
    def spread(self) -> float:
        """Standard deviation of lengths, relative to their predictions."""
        if self._count < _MIN_SAMPLES:
            return INITIAL_SPREAD
        residual = self._length_squares - self._slope() * self._cross_products
        return math.sqrt(math.expm1(max(0.0, residual) / self._weight))

    def _slope(self) -> float:
        """Return the weight of the estimate in a prediction, 0 to 1."""
        slope = (self._cross_products + _PRIOR_SLOPE * _PRIOR_WEIGHT) / (
            self._hint_squares + _PRIOR_WEIGHT
        )
        return min(1.0, max(0.0, slope))

    def predict(self, hint: int, max_length: int) -> int:
        """Return the expected length in tokens.

        Args:
            hint: The caller's estimate; 0 if it gave none.
            max_length: Upper bound on the length.
        """
        if self._count < _MIN_SAMPLES:
            return max(1, min(hint or max_length // 2, max_length))
        log_length = self._mean_length
        explained = 0.0
        if hint > 0:
            slope = self._slope()
            log_hint = math.log(min(hint, max_length))
            log_length += slope * (log_hint - self._mean_hint)
            explained = slope * self._cross_products
        residual = max(0.0, self._length_squares - explained) / self._weight
        return max(
            1, min(max_length, round(math.exp(log_length + residual / 2)))
        )
