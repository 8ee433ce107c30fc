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

"""Queue of the requests that wait for engines.

Order: continuations of streams that callers are already reading, then
committed requests, then retries after a refusal and returns that are owed a
start (`core/returns`), then all others by the deadline for their start. Late
requests come last, since served earlier they would make those behind them late
as well; among them retries, which get no further attempt, come first, each
group by the time at which its caller gives up.

Where fair queuing is on and requests of several customers or priorities
wait, they share the service (`core/fairshares`). Continuations
still come first: callers can't cause them. All others that can start in time
come next and late ones last, each in the order of their shares; the order
above then holds among requests within their customers' shares. A committed
request keeps no rank against more urgent ones or customers within their
shares, since a customer that floods the queue would otherwise hold them back
by what was committed before they arrived.

Times are monotonic seconds.
"""

import collections.abc
import dataclasses
import typing

from galenahatch.core import fairshares
from galenahatch.core import figures
from galenahatch.core import generations
from galenahatch.core import sharetimes
from galenahatch import ids

_MAX_UNDECIDED_FRACTION: typing.Final = 0.12
"""Fraction of its objective for which a request may wait undecided. A refusal
after an eighth to a quarter of it counts as late."""

_PROBE_INTERVAL_S: typing.Final = 3.0
"""Seconds between two requests that are committed against the forecast.
Committed without a pause, they displaced an eighth of all requests that would
have been in time where engines complete 0.87 of the demand."""

Job = generations.Job
Rank = tuple[int, int, float]

_SECTIONS: typing.Final = ((0,), (1, 2, 3), (4, 5))
"""Groups of requests that share the service among each other."""


def first_event_limit(job: Job) -> float:
    """Return the latest time at which a first event may be expected.

    A request that an engine has failed is served late if necessary.
    """
    return job.abandon_at if job.avoid else job.start_deadline


def needs_decision(job: Job, now: float) -> bool:
    """Return whether a request has to be committed or refused now."""
    return (
        not job.is_continuation
        and not job.is_committed
        and is_wait_noticeable(job, now)
    )


def has_missed_start(job: Job, now: float) -> bool:
    """Return whether a committed request can no longer start in time."""
    return (
        job.is_committed
        and not job.is_continuation
        and now > job.start_deadline
    )


def is_wait_noticeable(job: Job, now: float) -> bool:
    """Return whether a request has waited longer than is free of cost."""
    objective = max(0.0, job.start_deadline - job.arrived_at)
    return now >= job.arrived_at + _MAX_UNDECIDED_FRACTION * objective


class WaitQueue:
    """Waiting requests of one service.

    Args:
        estimator: Predicts the time from placement to the first event.
        shares: Shares of the customers.
    """

    def __init__(
        self, estimator: figures.Estimator, shares: fairshares.FairShares
    ) -> None:
        self._estimator = estimator
        self._shares = shares
        self._jobs: dict[ids.StreamId, Job] = {}
        self._probed_at = -1e9

    def __len__(self) -> int:
        return len(self._jobs)

    @property
    def versions(self) -> frozenset[ids.SoftwareVersion]:
        """Software versions that waiting streams are bound to."""
        return frozenset(job.version for job in self._jobs.values()) - {''}

    @property
    def owed_count(self) -> int:
        """Number of returns that go before new streams."""
        return sum(job.is_owed for job in self._jobs.values())

    def add(self, job: Job) -> None:
        """Add a request."""
        self._jobs[job.stream] = job

    def remove(self, stream: ids.StreamId) -> Job | None:
        """Remove a request; return it if it was waiting."""
        return self._jobs.pop(stream, None)

    def commit(self, job: Job, is_late: bool = False) -> None:
        """Mark a request as to be served, in time or late."""
        self._jobs[job.stream] = dataclasses.replace(
            job,
            is_committed=True,
            is_late=is_late,
            is_owed=job.is_owed and not is_late,
        )

    def in_order(self, now: float) -> list[Job]:
        """Return the requests in the order in which they are placed."""
        return self._order(self._jobs.values(), now)

    def jobs_ahead(self, job: Job, now: float) -> list[Job]:
        """Return the requests that are placed before another."""
        jobs = self._jobs.values()
        if not self._shares.applies_to((*jobs, job)):
            rank = self._rank_function(now)
            return [other for other in jobs if rank(other) < rank(job)]
        others = (other for other in jobs if other.stream != job.stream)
        ahead = []
        for other in self._order((*others, job), now):
            if other is job:
                break
            ahead.append(other)
        return ahead

    def _order(
        self, jobs: collections.abc.Iterable[Job], now: float
    ) -> list[Job]:
        rank = self._rank_function(now)
        ranked = sorted(((rank(job), job) for job in jobs), key=_first)
        ordered = [job for _, job in ranked]
        if not self._shares.applies_to(ordered):
            return ordered
        sections = [
            [job for (group, _, _), job in ranked if group in groups]
            for groups in _SECTIONS
        ]
        return sections[0] + self._shares.order(sections[1:], now)

    # Shares of customers.

    def charge(self, job: Job, now: float) -> float:
        """Charge a placement to its customer; return the cost.

        Late requests do not count as waiting for those that are in time.
        """
        if not self._shares.is_enabled:
            return 0.0
        # The job as it was queued avoids no more engines than have failed it.
        job = self._jobs.get(job.stream, job)
        waiting = (
            other
            for other in self._jobs.values()
            if job.is_late or not other.is_late
        )
        return self._shares.charge(job, waiting, now)

    def record_refusal(self, job: Job, retry_after: float, now: float) -> None:
        """Record that a request was refused.

        Args:
            job: Refused request.
            retry_after: Seconds after which it may come back.
            now: Monotonic time in seconds.
        """
        self._shares.record_refusal(job, retry_after, now)

    def overtaken_wait(
        self,
        job: Job,
        wait: float,
        service_rate: float,
        now: float,
    ) -> float:
        """Return a predicted wait with the requests that overtake meanwhile.

        Args:
            job: Request that waits.
            wait: Predicted seconds until those that wait are served.
            service_rate: Requests that are served a second.
            now: Monotonic time in seconds.
        """
        jobs = self._jobs.values()
        if not self._shares.applies_to((*jobs, job)):
            return wait
        capacity = service_rate * self._mean_cost()
        ahead = self.jobs_ahead(job, now)
        return self._shares.overtaken_wait(
            job, wait, ahead, jobs, capacity, now
        )

    def count_retries_before(
        self,
        job: Job,
        due: collections.abc.Mapping[sharetimes.FlowKey, int],
        now: float,
    ) -> int:
        """Return how many of the expected retries go before a request.

        Args:
            job: Request that arrives.
            due: Number of retries that are expected now, by flow.
            now: Monotonic time in seconds.
        """
        if not self._shares.is_enabled:
            return sum(due.values())
        return self._shares.count_retries_before(
            job, due, self._jobs.values(), self._mean_cost(), now
        )

    def _mean_cost(self) -> float:
        current = self._estimator.figures
        return self._shares.predict_cost(
            round(current.prompt), round(current.output)
        )

    def retry_rank(self, job: Job, now: float) -> fairshares.RetryRank:
        """Return the rank of a request among those that retry."""
        if not self._shares.is_enabled:
            return fairshares.RetryRank()
        _, is_beyond = self._shares.lag(job, self._jobs.values(), now)
        return fairshares.RetryRank(job.priority, is_beyond)

    def describe(self, job: Job, now: float) -> str:
        """Return the queue and a request's share, for the log."""
        return (
            f'waited={now - job.arrived_at:.3f} queue={len(self._jobs)}'
            f'{self.describe_share(job, now)}'
        )

    def describe_place(self, job: Job, now: float) -> str:
        """Return a request's place and what it takes up, for the log."""
        return (
            f'owed={job.is_owed} place={len(self.jobs_ahead(job, now))}'
            f' return={job.is_return} version={job.version or "any"}'
        )

    def describe_share(self, job: Job, now: float) -> str:
        """Return a request's share as inputs of a decision, for the log."""
        if not self._shares.is_enabled:
            return ''
        lag, is_beyond = self._shares.lag(job, self._jobs.values(), now)
        return f' lag={lag:.3f} beyond_share={is_beyond}'

    def take_probe(self, job: Job, now: float) -> bool:
        """Return whether to commit a request against the forecast.

        This applies to a retry, which gets no further attempt, with no request
        before it, once per interval: it is the first to be served when a burst
        is over.
        """
        if self._jobs or not job.is_retry:
            return False
        if now - self._probed_at < _PROBE_INTERVAL_S:
            return False
        if now + self._estimator.seconds_to_first_event(job) > job.abandon_at:
            return False
        self._probed_at = now
        return True

    def cannot_finish(self, job: Job, now: float) -> bool:
        """Return whether a request can no longer be served usefully."""
        if job.deadline < now + self._estimator.min_total_seconds(job):
            return True
        first_event_at = now + self._estimator.seconds_to_first_event(job)
        return not job.is_continuation and job.abandon_at < first_event_at

    def _rank_function(
        self, now: float
    ) -> collections.abc.Callable[[Job], Rank]:
        def rank(job: Job) -> Rank:
            if job.is_continuation:
                return 0, 0, job.arrived_at
            is_late = (
                job.start_deadline
                < now + self._estimator.seconds_to_first_event(job)
            )
            if job.is_late or is_late:
                group = 4 if job.is_retry else 5
                return group, job.priority, job.abandon_at
            if job.is_committed:
                return 1, job.priority, job.arrived_at
            group = 2 if job.is_retry or job.is_owed else 3
            return group, job.priority, job.start_deadline

        return rank


def _first(entry: tuple[Rank, Job]) -> Rank:
    return entry[0]
