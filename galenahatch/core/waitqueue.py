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

"""Requests that wait for engines, and their order.

First what goes on with a stream that its caller has begun to read, then
what is kept, then who comes back after a refusal, then all others by the
time until which they must have started. What is late goes last, for served
earlier it makes those behind it late as well: first who came back and has no
further attempt, each by when its caller leaves.

Times are monotonic seconds.
"""

import collections.abc
import dataclasses
import typing

from galenahatch.core import figures
from galenahatch.core import generations
from galenahatch import ids

_UNDECIDED: typing.Final = 0.12
"""Part of its objective for which a request may wait without being kept. A
refusal after an eighth to a quarter of it counts as a late one."""

_PROBE_EVERY: typing.Final = 3.0
"""Seconds between two requests that are kept late against the forecast. Kept
one after another, they took the places of an eighth of all requests that
would have been in time at engines that end 0.87 of the demand."""

Job = generations.Job
Rank = tuple[int, int, float]


def first_event_limit(job: Job) -> float:
    """Return until when a request's first event must be expected.

    One that an engine has failed already is served late if need be.
    """
    return job.abandon_at if job.avoid else job.start_deadline


def needs_decision(job: Job, now: float) -> bool:
    """Return whether a request is to be kept or refused now."""
    return (
        not job.is_continuation
        and not job.is_committed
        and is_wait_noticeable(job, now)
    )


def has_missed_start(job: Job, now: float) -> bool:
    """Return whether a request that is kept can't start in time any more."""
    return (
        job.is_committed
        and not job.is_continuation
        and now > job.start_deadline
    )


def is_wait_noticeable(job: Job, now: float) -> bool:
    """Return whether a request has waited for longer than costs nothing."""
    objective = max(0.0, job.start_deadline - job.arrived_at)
    return now >= job.arrived_at + _UNDECIDED * objective


class WaitQueue:
    """The requests of one service that wait.

    Args:
        measures: tell how long a request takes once it is placed.
    """

    def __init__(self, measures: figures.Estimator) -> None:
        self._measures = measures
        self._jobs: dict[ids.StreamId, Job] = {}
        self._probed_at = -1e9

    def __len__(self) -> int:
        return len(self._jobs)

    def add(self, job: Job) -> None:
        """Take a request."""
        self._jobs[job.stream] = job

    def remove(self, stream: ids.StreamId) -> Job | None:
        """Forget a request; return it if it was waiting."""
        return self._jobs.pop(stream, None)

    def commit(self, job: Job, is_late: bool = False) -> None:
        """Note that a request is to be served, in time or late."""
        self._jobs[job.stream] = dataclasses.replace(
            job, is_committed=True, is_late=is_late
        )

    def in_order(self, now: float) -> list[Job]:
        """Return the requests in the order in which they are placed."""
        return sorted(self._jobs.values(), key=self._ranking(now))

    def jobs_ahead(self, job: Job, now: float) -> list[Job]:
        """Return the requests that are placed before another."""
        rank = self._ranking(now)
        return [j for j in self._jobs.values() if rank(j) < rank(job)]

    def take_probe(self, job: Job, now: float) -> bool:
        """Return whether a request is kept though there seems to be no room.

        One that has no further attempt, with nobody before it, every few
        seconds: it is the first to be served when a burst is over.
        """
        if self._jobs or not job.is_retry:
            return False
        if now - self._probed_at < _PROBE_EVERY:
            return False
        if now + self._measures.seconds_to_first_event(job) > job.abandon_at:
            return False
        self._probed_at = now
        return True

    def cannot_finish(self, job: Job, now: float) -> bool:
        """Return whether nothing would come of a request any more."""
        if job.deadline < now + self._measures.min_total_seconds(job):
            return True
        first_at = now + self._measures.seconds_to_first_event(job)
        return not job.is_continuation and job.abandon_at < first_at

    def _ranking(self, now: float) -> collections.abc.Callable[[Job], Rank]:
        def rank(job: Job) -> Rank:
            if job.is_continuation:
                return 0, 0, job.arrived_at
            late = (
                job.start_deadline
                < now + self._measures.seconds_to_first_event(job)
            )
            if job.is_late or late:
                turn = 4 if job.is_retry else 5
                return turn, job.priority, job.abandon_at
            if job.is_committed:
                return 1, job.priority, job.arrived_at
            return 2 if job.is_retry else 3, job.priority, job.start_deadline

        return rank
