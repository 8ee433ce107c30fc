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

"""Admission of requests that can't be placed yet: queue or refuse.

A refusal carries the time of expected capacity; `core/dispatch` explains why.
"""

import dataclasses
import typing

from galenahatch.core import forecast as forecasts
from galenahatch.core import generations
from galenahatch.core import lengths
from galenahatch.core import pool as pools
from galenahatch.core import ratelimits
from galenahatch.core import rebalancing
from galenahatch.core import retryafter
from galenahatch.core import returns
from galenahatch.core import sharetimes
from galenahatch.core import versionaffinity
from galenahatch.core import versionchoice
from galenahatch.core import waitqueue

_WAIT_SAFETY_FACTOR: typing.Final = 1.3
"""Multiple of the predicted wait that a queued request must have left.

A queued request that is never served costs more than one that is refused at
once and retried, and predictions are off by about a third.
"""

Job = generations.Job


class Admission:
    """Queues or refuses the requests of one service.

    Args:
        pool: Engines of the service.
        queue: Waiting requests.
        forecast: Predictor of queue waits.
        retries: Callers that were told when to retry.
        rebalancer: Plans stage changes; notified of refusals.
        limiter: Limiter for engines that announce a request rate.
    """

    def __init__(
        self,
        pool: pools.Pool,
        queue: waitqueue.WaitQueue,
        forecast: forecasts.Forecast,
        retries: retryafter.RetrySchedule,
        rebalancer: rebalancing.Rebalancer,
        limiter: ratelimits.Limiter,
    ) -> None:
        self._pool = pool
        self._queue = queue
        self._forecast = forecast
        self._retries = retries
        self._rebalancer = rebalancer
        self._limiter = limiter
        self._returns = returns.Returns()

    def prepare(self, job: Job, predicted: lengths.Lengths) -> Job:
        """Record the arrival of a request; return it as it is queued."""
        first_at = self._retries.record_arrival(job.fingerprint)
        is_owed = (
            _is_return(job)
            and versionchoice.is_served(job, self._pool.decodes)
            and self._returns.record_arrival(self._queue.owed_count)
        )
        return job.prepared(predicted, first_at, is_owed)

    def record_placement(self, job: Job) -> None:
        """Record that a request was placed."""
        self._retries.record_placement(job.fingerprint)
        self._returns.record_decision(job, True)

    def _engine_limit_wait(
        self, job: Job, requests_ahead: int, now: float
    ) -> float:
        """Return the seconds until some engine's limits admit a job.

        Both announced rate limits and requested pauses count.

        Args:
            job: Job that needs a decode engine.
            requests_ahead: Requests served first, in addition to the queue.
            now: Monotonic seconds.
        """
        if self._limiter.is_idle and not job.paused_until:
            return 0.0
        engines = self._pool.usable_decodes(job, now)
        if not engines:
            pause_ends = (
                job.paused_until.get(key, now) for key in self._pool.decodes
            )
            return max(0.0, min(pause_ends, default=now) - now)
        upstream_ids = [engine.upstream.id for engine in engines]
        requests = len(self._queue) + requests_ahead + 1
        return self._limiter.seconds_until_room(upstream_ids, requests, now)

    def is_limited(self, job: Job, now: float) -> bool:
        """Return whether engine limits delay a job past its start time."""
        wait = self._engine_limit_wait(job, self._retries.due_count(now), now)
        return wait > 0 and now + wait > job.start_deadline

    def due_retries(self, job: Job, now: float) -> int:
        """Return the number of expected retries that go before a request."""
        if job.is_owed:
            return 0
        due = self._retries.due_counts(now)
        return self._queue.count_retries_before(job, due, now)

    def queue_or_refuse(
        self, job: Job, now: float
    ) -> generations.Refused | None:
        """Queue or refuse a request that could not be placed."""
        if self.is_limited(job, now):
            return self.refuse(job, 'engines_hold_back', now)
        if job.is_committed and not (
            _is_return(job) and now > job.start_deadline
        ):
            return None
        wait = _WAIT_SAFETY_FACTOR * self._forecast.predict_wait(job, 1, now)
        if now + wait > waitqueue.first_event_limit(job):
            return self.queue_late(job, wait, now)
        self._queue.commit(job)
        return None

    def queue_late(
        self, job: Job, wait: float, now: float
    ) -> generations.Refused | None:
        """Queue a request that can't start in time, or refuse it.

        A late response is better than none, but queueing a request that is
        never served is worse than both. While engines are at their limits,
        requests that can still start in time use all the capacity.
        """
        if self.is_limited(job, now):
            return self.refuse(job, 'engines_hold_back', now)
        if self._forecast.renew_delays(job, now):
            wait = self._forecast.predict_wait(job, 1, now)
            if now + wait <= waitqueue.first_event_limit(job):
                self._queue.add(job)
                return None
        if _is_return(job):
            reason = self._forecast.describe_refusal(job, wait, now)
            return self.refuse(job, reason, now)
        promised = 1 + self.due_retries(job, now)
        late_wait = self._forecast.predict_late_wait(job, promised, now)
        is_too_late = now + late_wait > job.abandon_at
        if is_too_late and not self._queue.take_probe(job, now):
            return self.refuse(
                job, self._forecast.describe_refusal(job, wait, now), now
            )
        self._queue.commit(job, is_late=True)
        return None

    def refuse_version(self, job: Job, now: float) -> generations.Refused:
        """Refuse a stream whose software version has no decode engine.

        It may be back soon: an engine that crashed starts again.
        """
        self._rebalancer.record_missing_version(job.version, now)
        return dataclasses.replace(
            self._refuse(job, f'version {job.version} not served', now),
            version_problem=versionaffinity.Problem.NOT_SERVED,
        )

    def refuse(self, job: Job, reason: str, now: float) -> generations.Refused:
        """Refuse a request and tell its caller when to retry."""
        self._returns.record_decision(job, False)
        return self._refuse(job, reason, now)

    def _refuse(
        self, job: Job, reason: str, now: float
    ) -> generations.Refused:
        self._rebalancer.record_refusal(now)
        queue_wait = self._forecast.predict_queue_wait(job, now)
        # Callers told to retry after their own deadline do not retry.
        limit_wait = max(
            self._engine_limit_wait(job, 0, now),
            min(
                self._engine_limit_wait(job, self._retries.outstanding, now),
                job.deadline - now,
            ),
        )
        queue_wait = max(
            queue_wait, self._pool.seconds_to_next_trial(now), limit_wait
        )
        wait = self._retries.schedule(
            job.fingerprint,
            self._forecast.spare_rate(now),
            queue_wait,
            job.deadline - now,
            job.arrived_at,
            now,
            self._queue.retry_rank(job, now),
            sharetimes.flow_key(job),
        )
        wait = max(wait, limit_wait)
        self._queue.record_refusal(job, wait, now)
        why = f'{reason} {self._queue.describe_place(job, now)}'
        return generations.Refused(job, wait, why)


def _is_return(job: Job) -> bool:
    """Return whether no engine has had a return since it arrived."""
    return job.is_return and not job.is_continuation and not job.avoid
