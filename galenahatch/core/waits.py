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

"""Predicted waits of a cell."""

import typing

from galenahatch.core import engines
from galenahatch.core import pools

_FIRST_LENGTH_SHARE: typing.Final = 0.5
_LEAST_RATE: typing.Final = 0.1
_LEAST_COST: typing.Final = 1e-4


class WaitEstimator:
    """Averages of how long requests hold places, and what follows.

    Args:
        engines_of: engines of the cell.
    """

    def __init__(self, engines_of: pools.Pools) -> None:
        self._pools = engines_of
        self._length_share = _FIRST_LENGTH_SHARE
        self._hold_seconds = 0.0

    def record_completion(
        self, tokens: int, allowed: int, held: float
    ) -> None:
        """Note an attempt that ended well.

        Args:
            tokens: that it generated.
            allowed: that it might have.
            held: seconds from its placement to its end.
        """
        share = min(1.0, tokens / max(1, allowed))
        self._length_share = engines.smooth(self._length_share, share)
        before = self._hold_seconds or held
        self._hold_seconds = engines.smooth(before, held)

    def prefill_cost(self, tokens: int) -> float:
        """Return the seconds of a prefill on the fastest engine."""
        costs = (engine.cost(tokens) for engine in self._pools.prefills)
        return min(costs, default=0.0)

    def min_first_token_delay(self, tokens: int) -> float:
        """Return the least seconds from a prefill to the first token."""
        if not self._pools.prefills:
            return 0.0
        settings = self._pools.prefills[0].settings
        size = tokens * settings.kv_bytes_per_token
        paces = (d.seconds_per_token for d in self._pools.decodes)
        return size / settings.link_bytes_per_second + min(paces, default=0.0)

    def estimate_hold(
        self, decode: engines.DecodeEngine, output_tokens: int, since: float
    ) -> engines.HoldEstimate:
        """Predict how long a request holds a place from some time on."""
        longest = max(1, output_tokens) * decode.seconds_per_token
        usual = longest * self._length_share
        return engines.HoldEstimate(since + usual, since + longest)

    def admission_rate(self) -> float:
        """Return how many requests a second the cell can take in."""
        working = self._pools.healthy_decodes()
        places = sum(decode.places for decode in working)
        return max(_LEAST_RATE, places / (self._hold_seconds or 1.0))

    def expected_prefill_wait(
        self,
        cost: float,
        ahead: float,
        queued: int,
        waste_weight: float,
        now: float,
    ) -> float:
        """Return the predicted seconds until a request's prefill starts.

        Args:
            cost: seconds of its prefill.
            ahead: seconds of prefill that are served before it.
            queued: requests that wait.
            waste_weight: see schema.ModelService.
            now: monotonic seconds.
        """
        working = self._pools.healthy_prefills()
        idle = [engine.starts_at(now) - now for engine in working]
        prefill_wait = min(idle, default=0.0) + ahead / max(1, len(idle))
        before = min(ahead / max(cost, _LEAST_COST), queued)
        place_wait = self._place_wait(cost, before, waste_weight, now)
        return max(prefill_wait, place_wait)

    def _place_wait(
        self, cost: float, before: float, waste_weight: float, now: float
    ) -> float:
        """Return the predicted wait for a decode place."""
        working = self._pools.healthy_decodes()
        free = sum(max(0, d.places - d.reserved) for d in working)
        behind = before - free
        if behind < 0:
            return 0.0
        rate = self.admission_rate()
        soonest = now + 1 / rate
        for decode in working:
            soonest = min(soonest, decode.free_at(now))
        lead = cost * (1 - waste_weight)
        return max(0.0, soonest - now - lead) + behind / rate
