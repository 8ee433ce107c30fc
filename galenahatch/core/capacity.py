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

"""What decode engines of one service complete, by memory, pace and speed."""

import math
import typing

from galenahatch.core import enginespeeds
from galenahatch.core import memory
from galenahatch.core import pace as paces
from galenahatch import ids

_MIN_LIFETIME_S: typing.Final = 0.1
"""Least time of an answer assumed, while nothing is known of its length."""


class Capacity:
    """Capacity model of one service's decode engines.

    Args:
        tokens: Tokens of KV cache of each engine.
        slots: Largest batch size of each engine.
        speeds: Speeds of the single engines.

    Attributes:
        spread: Relative deviation of answer lengths from predictions.
        pace: Pace of all engines at present.
    """

    def __init__(
        self, tokens: int, slots: int, speeds: enginespeeds.EngineSpeeds
    ) -> None:
        self._tokens = tokens
        self._slots = slots
        self._speeds = speeds
        self.spread = 0.0
        self.pace = paces.Pace()
        self._lasting_pace = paces.Pace(paces.LASTING_DECAY_TOKENS)

    def adjust_pace(
        self,
        engine: ids.UpstreamId,
        runs: int,
        tokens: int,
        seconds: float,
        now: float,
    ) -> float:
        """Return what tokens take the median engine on average.

        Args:
            engine: Engine that generated them.
            runs: Its batch size.
            tokens: Number of tokens.
            seconds: Seconds that they took there.
            now: Monotonic time in seconds.
        """
        if not self._speeds.is_uneven:
            return seconds
        usual = seconds / self._speeds.slowdown(engine, now)
        batch_factor = self._lasting_pace.slowdown(1.0, runs)
        self._speeds.record_tokens(engine, tokens, usual, batch_factor)
        median = usual * self._speeds.decode_speed(engine)
        self._lasting_pace.add_sample(runs, tokens, median)
        return median * self._speeds.mean_slowdown

    def concurrent_runs(self, held: float, output: float) -> float:
        """Return the mean batch size of a full decode engine.

        Args:
            held: Mean tokens that a run holds over its life.
            output: Mean tokens of an answer.
        """
        if held <= 0:
            return self._slots
        runs = self._tokens / held
        margin = (
            memory.MARGIN_DEVIATIONS * self.spread * output * math.sqrt(runs)
        )
        return max(1.0, min(self._slots, (self._tokens - margin) / held))

    def completion_rate(
        self, runs: float, output: float, pace: float, delay: float
    ) -> float:
        """Return the runs a second that an engine completes.

        Args:
            runs: Batch size.
            output: Mean tokens of an answer.
            pace: Seconds for a token.
            delay: Mean seconds for which a slot is kept before a run.
        """
        return runs / (max(_MIN_LIFETIME_S, output * pace) + delay)

    def lasting_seconds(self, runs: float) -> float:
        """Return the mean seconds for a token at the median engine.

        They are averaged for longer than the present pace, for plans.
        """
        return self._lasting_pace.seconds_at(runs) * self._speeds.mean_slowdown
