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

"""Prefill time and decode places that are left for urgent requests.

A prefill can't be interrupted, so long prompts on every engine would make
an urgent request miss its target however far ahead it is in the queue. A
less urgent prefill may start only if the engines still have, within the
time that an urgent request can wait, as much free time as urgent requests
have lately needed, and as many free places as urgent requests have lately
come in that time. One less urgent request a second is let through all the
same, so that none starves. The margin below one is from the comparison of
policies: at 1.0 nothing is gained for urgent requests, and bulk ones lose.
"""

import collections.abc
import math
import typing

from galenahatch.core import pairing
from galenahatch.core import pools

_MEMORY: typing.Final = 10.0
"""Seconds over which urgent work is averaged."""
_SMOOTHING: typing.Final = 0.1
_LONGEST_SLACK: typing.Final = 1.0
"""Urgent requests that can wait longer find places as others end."""
LESS_URGENT_INTERVAL_S: typing.Final = 1.0
"""Seconds after which one less urgent request is let through anyway."""
HEADROOM_FACTOR: typing.Final = 0.7


class Headroom:
    """Urgent work seen lately; times are monotonic seconds."""

    def __init__(self) -> None:
        self._work = 0.0
        self._rate = 0.0
        self._at = 0.0
        self._slack = 0.0
        self._lower_at = 0.0

    def record_less_urgent(self, now: float) -> None:
        """Note that a less urgent request was placed."""
        self._lower_at = now

    def is_overdue(self, now: float) -> bool:
        """Return whether a less urgent request is due, headroom or not."""
        return now - self._lower_at > LESS_URGENT_INTERVAL_S

    def record_urgent(self, cost: float, slack: float, now: float) -> None:
        """Note an urgent request.

        Args:
            cost: seconds of prefill.
            slack: seconds that its prefill can wait.
            now: monotonic seconds.
        """
        fading = self._fading(now)
        self._work = self._work * fading + cost / _MEMORY
        self._rate = self._rate * fading + 1 / _MEMORY
        self._at = now
        if slack > 0:
            slack = min(slack, _LONGEST_SLACK)
            before = self._slack or slack
            self._slack = before + _SMOOTHING * (slack - before)

    def permits(
        self, engines_of: pools.Pools, pair: pairing.Pair, now: float
    ) -> bool:
        """Return whether a less urgent request may have a pair now."""
        if self.is_overdue(now):
            return True
        working = engines_of.healthy_decodes()
        places = sum(decode.places - decode.reserved for decode in working)
        if places - 1 < self.places_to_reserve(now):
            return False
        waits = [
            engine.starts_at(now) - now
            for engine in engines_of.healthy_prefills()
            if engine is not pair.prefill
        ]
        if not waits:
            return True
        waits.append(pair.prefilled_at - now)
        return self.has_free_time(waits, now)

    def has_free_time(
        self, waits: collections.abc.Iterable[float], now: float
    ) -> bool:
        """Return whether engines have enough free time for urgent work.

        Args:
            waits: seconds until each engine is idle.
            now: monotonic seconds.
        """
        needed = self._work * self._fading(now) * self._slack * HEADROOM_FACTOR
        if needed <= 0:
            return True
        free = sum(max(0.0, self._slack - wait) for wait in waits)
        return free >= needed

    def places_to_reserve(self, now: float) -> float:
        """Return how many decode places to leave free."""
        return self._rate * self._fading(now) * self._slack

    def _fading(self, now: float) -> float:
        """Return what is left of the averages since the last request."""
        return math.exp(-(now - self._at) / _MEMORY)
