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

A retry budget earns a fixed fraction of a retry per successful request and is
capped at a small reserve, so that retries stay a small part of the traffic
instead of multiplying it when an engine or a data centre fails.
"""

import random
import typing

BUDGET_RESERVE: typing.Final = 10.0
INITIAL_BACKOFF_S: typing.Final = 0.025
MAX_BACKOFF_S: typing.Final = 1.0


class RetryBudget:
    """Retry budget of one service.

    Args:
        share: Retries earned by each successful request.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._balance = BUDGET_RESERVE

    def earn(self) -> None:
        """Credit a successful request."""
        self._balance = min(BUDGET_RESERVE, self._balance + self._share)

    def spend(self) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def backoff(attempt: int, random_source: random.Random) -> float:
    """Return the exponential delay before a retry, in seconds, with jitter.

    Args:
        attempt: Number of the failed attempt, starting at 1.
        random_source: Random source for the jitter.
    """
    max_delay = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(attempt, 10))
    return random_source.uniform(INITIAL_BACKOFF_S / 2, max_delay)
