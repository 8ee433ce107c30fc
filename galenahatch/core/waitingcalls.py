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

"""Plain calls of one service that wait, and how long each may wait.

There are three queues; one is served only while those before it are empty:
calls that can be answered in time; among these, those that the service has
already tried or whose callers did not wait as asked; calls that will be late.
A late call is better than none, but not at the expense of one in time.

A call is judged when it arrives, again when the expected wait has grown, and
at the time after which it can't be in time even if it is granted at once.
"""

import collections.abc
import enum
import heapq
import itertools
import math
import typing

from galenahatch.core import callestimates
from galenahatch.core import callqueue
from galenahatch.core import callreturns
from galenahatch.core import plaincalls
from galenahatch import ids

_REVIEW_INTERVAL_S: typing.Final = 0.05
"""Seconds between two reviews of the waiting calls; a small part of the time
in which a rejected caller can still be served in time by another attempt."""
_RETURNED_RATIO: typing.Final = callqueue.RETURNED_SHARE / (
    1 - callqueue.RETURNED_SHARE
)
"""Grants to calls that returned for each one to a first attempt."""
_WORSENED: typing.Final = 1.1
"""Factor of the expected wait above which waiting calls are judged again."""


class Band(enum.Enum):
    """Queues of a service, in the order in which they are served.

    Attributes:
        IN_TIME: Calls that can be answered in time.
        REPEATED: The same, but sent before, or returned too early.
        LATE: Calls that will be answered late.
    """

    IN_TIME = 'in_time'
    REPEATED = 'repeated'
    LATE = 'late'


class WaitingCalls:
    """Calls that wait for a grant.

    Args:
        weight: Returns the weight of a priority.
        estimates: Expected waits.
        returns: Callers that were asked to return.
    """

    def __init__(
        self,
        weight: collections.abc.Callable[[int], float],
        estimates: callestimates.CallEstimates,
        returns: callreturns.CallReturns,
    ) -> None:
        self._estimates = estimates
        self._returns = returns
        self._queues = {band: callqueue.CallQueue(weight) for band in Band}
        self._band_of: dict[plaincalls.CallKey, Band] = {}
        # Times at which calls are judged again.
        self._checks: list[tuple[float, int, callqueue.Waiting]] = []
        self._order = itertools.count()
        self._reviewed_at = -math.inf
        self._reviewed_delay = 0.0

    def __len__(self) -> int:
        return len(self._band_of)

    def __contains__(self, key: plaincalls.CallKey) -> bool:
        return key in self._band_of

    def counts(self) -> dict[Band, int]:
        """Return the number of calls in each queue."""
        return {band: len(queue) for band, queue in self._queues.items()}

    def customer_counts(self) -> dict[ids.CustomerName, int]:
        """Return the number of waiting calls of each customer."""
        return callqueue.customer_counts(self._queues.values())

    def calls(self) -> list[callqueue.Waiting]:
        """Return all calls."""
        return [w for queue in self._queues.values() for w in queue.calls()]

    def is_blocked(self, band: Band) -> bool:
        """Return whether a call to be queued would have others ahead."""
        return bool(self._queues[band]) or self._waiting_before(band) > 0

    def add(self, waiting: callqueue.Waiting, band: Band, now: float) -> bool:
        """Queue a call; return False if it would be served too late.

        Args:
            waiting: The call.
            band: Queue that it belongs to if its wait is short.
            now: Monotonic time in seconds.
        """
        if band is not Band.LATE:
            ahead = self._ahead(waiting, band)
            if not self._is_in_time(waiting, ahead, now):
                band = Band.LATE
        if band is Band.LATE and (
            # Most calls are rejected without a look at the queue.
            self._is_too_late(waiting, 0.0, now)
            or self._is_too_late(waiting, self._ahead(waiting, band), now)
        ):
            return False
        self._queues[band].push(waiting)
        self._band_of[waiting.call.key] = band
        self._schedule_check(waiting, band)
        return True

    def remove(self, key: plaincalls.CallKey) -> bool:
        """Remove a call; return whether it was queued."""
        band = self._band_of.pop(key, None)
        return band is not None and bool(self._queues[band].remove(key))

    def serve(self, waiting: callqueue.Waiting, band: Band) -> None:
        """Remove the next call of a class, and charge its customer."""
        self._queues[band].serve(waiting)
        del self._band_of[waiting.call.key]

    def heads(self) -> typing.Iterator[tuple[Band, callqueue.Waiting]]:
        """Iterate over the next calls of all classes, the first one first.

        The iterator ends with any change.
        """
        for band, queue in self._queues.items():
            for waiting in queue.heads():
                yield band, waiting

    def demote(
        self, waiting: callqueue.Waiting, band: Band, now: float
    ) -> bool:
        """Move a call to those that will be late.

        Returns:
            False if it would be served too late and is no longer queued.
        """
        self.remove(waiting.call.key)
        return band is not Band.LATE and self.add(waiting, Band.LATE, now)

    def take_hopeless(self, now: float) -> list[callqueue.Waiting]:
        """Remove and return the calls that would be served too late."""
        hopeless = self._take_overdue(now)
        if len(self) and now >= self._reviewed_at + _REVIEW_INTERVAL_S:
            self._reviewed_at = now
            delay = self._estimates.start_delay(len(self), now)
            if delay > self._reviewed_delay * _WORSENED:
                hopeless += self._review(now)
                delay = self._estimates.start_delay(len(self), now)
                self._reviewed_delay = delay
            else:
                self._reviewed_delay = min(self._reviewed_delay, delay)
        return hopeless

    def next_check_at(self) -> float | None:
        """Return when the next call is judged again."""
        while self._checks:
            at, _, waiting = self._checks[0]
            if waiting.call.key in self._band_of:
                return at
            heapq.heappop(self._checks)
        return None

    def _waiting_before(self, band: Band) -> int:
        count = 0
        for other, queue in self._queues.items():
            if other is band:
                break
            count += len(queue)
        return count

    def _ahead(self, waiting: callqueue.Waiting, band: Band) -> float:
        """Estimate the calls that are granted before one to be queued."""
        ahead = self._queues[band].ahead(waiting)
        return ahead + self._waiting_before(band)

    def _is_in_time(
        self, waiting: callqueue.Waiting, ahead: float, now: float
    ) -> bool:
        """Return whether a call is expected to be answered in time.

        Callers that return meanwhile take their share of the grants.
        """
        if not waiting.has_returned:
            delay = self._estimates.start_delay(ahead, now)
            returns = self._returns.expected(now + delay, now)
            ahead += min(returns, (ahead + 1) * _RETURNED_RATIO)
        delay = self._estimates.start_delay(ahead, now)
        return now + delay <= self._latest_start(waiting, Band.IN_TIME)

    def _is_too_late(
        self, waiting: callqueue.Waiting, ahead: float, now: float
    ) -> bool:
        delay = self._estimates.late_delay(ahead, now)
        return now + delay > self._latest_start(waiting, Band.LATE)

    def _latest_start(self, waiting: callqueue.Waiting, band: Band) -> float:
        call = waiting.call
        end = call.deadline if band is Band.LATE else call.objective_at
        limit = end - call.arrived_at + call.seconds_before
        return end - self._estimates.reserved_seconds(limit)

    def _schedule_check(self, waiting: callqueue.Waiting, band: Band) -> None:
        latest = self._latest_start(waiting, band)
        heapq.heappush(self._checks, (latest, next(self._order), waiting))

    def _take_overdue(self, now: float) -> list[callqueue.Waiting]:
        """Judge the calls whose latest start has passed."""
        hopeless = []
        while self._checks and self._checks[0][0] <= now:
            _, _, waiting = heapq.heappop(self._checks)
            band = self._band_of.get(waiting.call.key)
            if band is None:
                continue
            if self._latest_start(waiting, band) > now:
                self._schedule_check(waiting, band)
            elif not self.demote(waiting, band, now):
                hopeless.append(waiting)
        return hopeless

    def _review(self, now: float) -> list[callqueue.Waiting]:
        """Judge the last calls of all flows again."""
        hopeless = []
        for band in (Band.IN_TIME, Band.REPEATED):
            before = self._waiting_before(band)

            def is_late(
                waiting: callqueue.Waiting, ahead: float, before: int = before
            ) -> bool:
                total = ahead + before
                return not self._is_in_time(waiting, total, now)

            for waiting in self._queues[band].trim(is_late):
                del self._band_of[waiting.call.key]
                if not self.add(waiting, Band.LATE, now):
                    hopeless.append(waiting)
        before = self._waiting_before(Band.LATE)
        too_late = self._queues[Band.LATE].trim(
            lambda waiting, ahead: self._is_too_late(
                waiting, ahead + before, now
            )
        )
        for waiting in too_late:
            del self._band_of[waiting.call.key]
        return hopeless + too_late
