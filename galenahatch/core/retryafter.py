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

"""Schedules the retries of refused callers.

Retries are spaced by the rate that regular traffic leaves, so that they find
room; all at once they would be refused again. A retry is recognized by the
part of its prompt that only its caller sends.

Retries are scheduled in the order in which requests are served: those that
come from customers beyond their shares, or are less urgent, don't delay the
others.
"""

import collections
import dataclasses
import sys
import typing

from galenahatch.core import fairshares
from galenahatch.core import sharetimes
from galenahatch import ids

_MIN_WAIT_S: typing.Final = 0.3
"""Least seconds after which a refused caller is asked to retry."""
_HEEDED_FRACTION: typing.Final = 1 / 3
"""Fraction of its remaining time up to which a caller waits as asked."""
_STAGGER_FRACTION: typing.Final = 0.4
"""Fraction of the longest wait over which retries are staggered while there is
no spare capacity."""
_STAGGER_STEPS: typing.Final = 16
"""Number of staggered times: as many requests as four engines complete in a
second or two."""
_ARRIVAL_WINDOW_S: typing.Final = 0.5
"""Seconds around the scheduled time in which a retry is expected."""
_NO_FLOW: typing.Final = (0, ids.CustomerName(''))
_LOWEST_RANK: typing.Final = fairshares.RetryRank(sys.maxsize, True)


@dataclasses.dataclass
class _RefusedCaller:
    """A caller whose request was refused.

    Attributes:
        first_at: Time of its first attempt.
        deadline: Time after which it needs no answer.
        rank: Rank among the retries.
        flow: Flow of its requests.
        due_at: Time at which its retry is expected; None once it has arrived.
    """

    first_at: float
    deadline: float
    rank: fairshares.RetryRank
    flow: sharetimes.FlowKey
    due_at: float | None = None


class RetrySchedule:
    """Refused callers and the times of their retries."""

    def __init__(self) -> None:
        self._callers: dict[str, _RefusedCaller] = {}

    def record_arrival(self, fingerprint: str) -> float | None:
        """Record the arrival of a request.

        Returns:
            Time of the first attempt if the request was refused before.
        """
        caller = self._callers.get(fingerprint)
        if caller is None:
            return None
        caller.due_at = None
        return caller.first_at

    def record_placement(self, fingerprint: str) -> None:
        """Record that a request was placed."""
        self._callers.pop(fingerprint, None)

    def due_count(self, now: float) -> int:
        """Return the number of retries expected now."""
        return sum(
            abs(due_at - now) < _ARRIVAL_WINDOW_S
            for due_at in self._due_times()
        )

    def due_counts(
        self, now: float
    ) -> collections.Counter[sharetimes.FlowKey]:
        """Return the number of retries expected now, by flow."""
        return collections.Counter(
            caller.flow
            for caller in self._callers.values()
            if caller.due_at is not None
            and abs(caller.due_at - now) < _ARRIVAL_WINDOW_S
        )

    @property
    def outstanding(self) -> int:
        """Number of scheduled retries that have not arrived."""
        return len(self._due_times())

    def _due_times(
        self, rank: fairshares.RetryRank = _LOWEST_RANK
    ) -> list[float]:
        return [
            caller.due_at
            for caller in self._callers.values()
            if caller.due_at is not None and caller.rank <= rank
        ]

    def schedule(
        self,
        fingerprint: str,
        spare_rate: float,
        queued: float,
        remaining: float,
        arrived_at: float,
        now: float,
        rank: fairshares.RetryRank = fairshares.RetryRank(),
        flow: sharetimes.FlowKey = _NO_FLOW,
    ) -> float:
        """Return the seconds after which a caller should retry.

        Args:
            fingerprint: Identifies the caller's retry; empty if unknown.
            spare_rate: Requests a second that regular traffic leaves.
            queued: Seconds until the waiting requests are placed.
            remaining: Seconds until the caller's deadline.
            arrived_at: Time at which the request arrived.
            now: Monotonic time in seconds.
            rank: Rank among the retries.
            flow: Flow of the request.
        """
        self._drop_expired(now)
        spacing = 1 / spare_rate if spare_rate > 0 else _MIN_WAIT_S
        last = max(self._due_times(rank), default=now)
        wait = max(_MIN_WAIT_S, last + spacing - now, queued)
        wait = min(wait, self._max_wait(remaining))
        if fingerprint:
            new = _RefusedCaller(arrived_at, now + remaining, rank, flow)
            caller = self._callers.setdefault(fingerprint, new)
            caller.due_at = now + wait
            caller.rank = rank
        return wait

    def _max_wait(self, remaining: float) -> float:
        """Return the longest wait that a caller accepts, staggered.

        Without spare capacity all retries would otherwise arrive the same time
        after their refusals.
        """
        share = len(self._callers) % _STAGGER_STEPS / _STAGGER_STEPS
        longest = max(0.0, remaining) * _HEEDED_FRACTION
        return longest * (1 - _STAGGER_FRACTION + _STAGGER_FRACTION * share)

    def _drop_expired(self, now: float) -> None:
        for fingerprint, caller in list(self._callers.items()):
            if caller.deadline < now:
                del self._callers[fingerprint]
