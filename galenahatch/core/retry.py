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

"""Retry budget and backoff.

A budget allows a fixed share of retries per request that succeeds, with a
small reserve: when an engine or a data centre goes, retries stay a small
part of the traffic in place of multiplying it.
"""

import random
import typing

BUDGET_RESERVE: typing.Final = 10.0
INITIAL_BACKOFF_S: typing.Final = 0.025
MAX_BACKOFF_S: typing.Final = 1.0


class RetryBudget:
    """Retries left for one service.

    Args:
        share: retries earned by each request that succeeds.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._left = BUDGET_RESERVE

    def earn(self) -> None:
        """Note a request that succeeded."""
        self._left = min(BUDGET_RESERVE, self._left + self._share)

    def spend(self) -> bool:
        """Take one retry; return False when none is left."""
        if self._left < 1:
            return False
        self._left -= 1
        return True


def backoff(attempt: int, random_source: random.Random) -> float:
    """Return seconds to wait before a retry, with full jitter.

    Args:
        attempt: number of the failed attempt, from 1.
        random_source: where the jitter comes from.
    """
    longest = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(attempt, 10))
    return random_source.uniform(INITIAL_BACKOFF_S / 2, longest)
