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

"""Prefill time and decode places reserved for urgent requests.

A prefill can't be preempted, so long prompts on every engine would make an
urgent request miss its time-to-first-token target even at the head of the
queue. A less urgent request is therefore admitted only if, with it placed,
the engines still have enough free prefill time and decode places for the
urgent work expected within the average time that an urgent request can wait.
A place is room for one request on a decode engine. Expected work is estimated
from recent urgent requests. To prevent starvation, a less urgent request is
admitted without these checks if none was placed in the last second.
"""

import collections.abc
import math
import typing

from galenahatch.core import pairing
from galenahatch.core import pools

_AVERAGING_S: typing.Final = 10.0
"""Time constant of the decaying load and request rate, in seconds."""
_SMOOTHING: typing.Final = 0.1
"""Weight of a new sample in the average slack."""
_MAX_SLACK_S: typing.Final = 1.0
"""Upper limit on the recorded slack, in seconds. A request that can wait
longer needs no reserved place, since it gets one as others end."""
LESS_URGENT_INTERVAL_S: typing.Final = 1.0
"""Seconds since the last placement of a less urgent request after which the
next one is admitted without checks."""
HEADROOM_FACTOR: typing.Final = 0.7
"""Fraction of the expected urgent prefill time that is kept free; below one
because at 1.0 urgent requests gain nothing and bulk requests lose."""


class Headroom:
    """Tracks urgent work and decides whether to admit less urgent requests.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._prefill_load = 0.0
        self._request_rate = 0.0
        self._updated_at = 0.0
        self._average_slack = 0.0
        self._last_less_urgent_at = 0.0

    def record_less_urgent(self, now: float) -> None:
        """Record the placement of a less urgent request."""
        self._last_less_urgent_at = now

    def is_overdue(self, now: float) -> bool:
        """Return whether a less urgent request is admitted without checks."""
        return now - self._last_less_urgent_at > LESS_URGENT_INTERVAL_S

    def record_urgent(self, cost: float, slack: float, now: float) -> None:
        """Record an urgent request.

        Args:
            cost: Prefill time of the request in seconds.
            slack: Seconds until its prefill must start.
            now: Monotonic seconds.
        """
        decay = self._decay(now)
        self._prefill_load = self._prefill_load * decay + cost / _AVERAGING_S
        self._request_rate = self._request_rate * decay + 1 / _AVERAGING_S
        self._updated_at = now
        if slack > 0:
            slack = min(slack, _MAX_SLACK_S)
            # The first sample sets the average.
            previous_slack = self._average_slack or slack
            self._average_slack = previous_slack + _SMOOTHING * (
                slack - previous_slack
            )

    def permits(
        self, engine_pools: pools.Pools, pair: pairing.Pair, now: float
    ) -> bool:
        """Return whether a less urgent request may use a pair now."""
        if self.is_overdue(now):
            return True
        decodes = engine_pools.healthy_decodes()
        free_places = sum(
            decode.places - decode.reserved for decode in decodes
        )
        # The request itself takes one place.
        if free_places - 1 < self.places_to_reserve(now):
            return False
        waits = [
            engine.starts_at(now) - now
            for engine in engine_pools.healthy_prefills()
            if engine is not pair.prefill
        ]
        if not waits:
            # There is no other healthy prefill engine; only places count.
            return True
        waits.append(pair.prefilled_at - now)
        return self.has_free_time(waits, now)

    def has_free_time(
        self, waits: collections.abc.Iterable[float], now: float
    ) -> bool:
        """Return whether engines have enough free time for urgent work.

        Args:
            waits: Seconds until each engine is idle.
            now: Monotonic seconds.
        """
        needed_time = (
            self._prefill_load
            * self._decay(now)
            * self._average_slack
            * HEADROOM_FACTOR
        )
        if needed_time <= 0:
            return True
        free_time = sum(max(0.0, self._average_slack - wait) for wait in waits)
        return free_time >= needed_time

    def places_to_reserve(self, now: float) -> float:
        """Return the expected number of decode places to leave free."""
        return self._request_rate * self._decay(now) * self._average_slack

    def _decay(self, now: float) -> float:
        """Return the decay factor of the averages since their last update."""
        return math.exp(-(now - self._updated_at) / _AVERAGING_S)
