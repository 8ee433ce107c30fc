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

"""Prediction of wait times in a cell."""

import typing

from galenahatch.core import engines
from galenahatch.core import pools

_INITIAL_LENGTH_FRACTION: typing.Final = 0.5
_MIN_RATE: typing.Final = 0.1
_MIN_COST_S: typing.Final = 1e-4


class WaitEstimator:
    """Predicts wait times from averages of how long places are occupied.

    Args:
        engine_pools: Engine pools of the cell.
    """

    def __init__(self, engine_pools: pools.Pools) -> None:
        self._pools = engine_pools
        self._length_fraction = _INITIAL_LENGTH_FRACTION
        self._hold_seconds = 0.0

    def record_completion(
        self, tokens: int, max_tokens: int, held_s: float
    ) -> None:
        """Record a successful attempt.

        Args:
            tokens: Number of generated tokens.
            max_tokens: Maximum number of output tokens.
            held_s: Seconds from its placement to its end.
        """
        fraction = min(1.0, tokens / max(1, max_tokens))
        self._length_fraction = engines.smooth(self._length_fraction, fraction)
        previous_hold = self._hold_seconds or held_s
        self._hold_seconds = engines.smooth(previous_hold, held_s)

    def prefill_cost(self, tokens: int) -> float:
        """Return the prefill time on the fastest engine, in seconds."""
        costs = (engine.cost(tokens) for engine in self._pools.prefills)
        return min(costs, default=0.0)

    def min_first_token_delay(self, tokens: int) -> float:
        """Return the minimum seconds from a prefill to the first token."""
        if not self._pools.prefills:
            return 0.0
        settings = self._pools.prefills[0].settings
        size = tokens * settings.kv_bytes_per_token
        token_intervals = (d.seconds_per_token for d in self._pools.decodes)
        return size / settings.link_bytes_per_second + min(
            token_intervals, default=0.0
        )

    def estimate_hold(
        self, decode: engines.DecodeEngine, output_tokens: int, start: float
    ) -> engines.HoldEstimate:
        """Predict when a request that takes a place at `start` ends."""
        max_duration = max(1, output_tokens) * decode.seconds_per_token
        expected_duration = max_duration * self._length_fraction
        return engines.HoldEstimate(
            start + expected_duration, start + max_duration
        )

    def admission_rate(self) -> float:
        """Return the number of requests per second that can be admitted."""
        decodes = self._pools.healthy_decodes()
        places = sum(decode.places for decode in decodes)
        return max(_MIN_RATE, places / (self._hold_seconds or 1.0))

    def expected_prefill_wait(
        self,
        cost: float,
        work_ahead: float,
        queued: int,
        waste_weight: float,
        now: float,
    ) -> float:
        """Return the predicted seconds until a request's prefill starts.

        Args:
            cost: Prefill time of the request in seconds.
            work_ahead: Seconds of prefill that are served first.
            queued: Number of queued requests.
            waste_weight: See `schema.ModelService`.
            now: Monotonic seconds.
        """
        prefills = self._pools.healthy_prefills()
        idle_waits = [engine.starts_at(now) - now for engine in prefills]
        prefill_wait = min(idle_waits, default=0.0) + work_ahead / max(
            1, len(idle_waits)
        )
        requests_ahead = min(work_ahead / max(cost, _MIN_COST_S), queued)
        place_wait = self._place_wait(cost, requests_ahead, waste_weight, now)
        return max(prefill_wait, place_wait)

    def _place_wait(
        self,
        cost: float,
        requests_ahead: float,
        waste_weight: float,
        now: float,
    ) -> float:
        """Return the predicted wait for a decode place, in seconds."""
        decodes = self._pools.healthy_decodes()
        free_places = sum(max(0, d.places - d.reserved) for d in decodes)
        shortfall = requests_ahead - free_places
        if shortfall < 0:
            return 0.0
        rate = self.admission_rate()
        first_free_at = now + 1 / rate
        for decode in decodes:
            first_free_at = min(first_free_at, decode.free_at(now))
        lead_time = cost * (1 - waste_weight)
        return max(0.0, first_free_at - now - lead_time) + shortfall / rate
