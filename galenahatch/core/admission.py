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

"""What becomes of a request that can't be placed now: kept, or refused.

A refusal promises when there is room; see `core/dispatch` for the reasons.
"""

import typing

from galenahatch.core import forecast as forecasts
from galenahatch.core import generations
from galenahatch.core import pool as pools
from galenahatch.core import ratelimits
from galenahatch.core import rebalancing as divisions
from galenahatch.core import retryafter as returns_module
from galenahatch.core import waitqueue

_CAUTION: typing.Final = 1.3
"""Times the predicted wait that a request must have left to be kept. What is
kept and not served costs more than what is refused at once and comes back;
predictions are off by about a third."""

Job = generations.Job


class Admission:
    """Decides on requests of one service.

    Args:
        pool: its engines.
        queue: requests that wait.
        forecast: tells how long they will wait.
        returns: callers that were promised room.
        division: of the engines, which hears of shortages.
        limiter: of engines that name the rate of requests that they take.
    """

    def __init__(
        self,
        pool: pools.Pool,
        queue: waitqueue.WaitQueue,
        forecast: forecasts.Forecast,
        returns: returns_module.RetrySchedule,
        division: divisions.Rebalancer,
        limiter: ratelimits.Limiter,
    ) -> None:
        self._pool = pool
        self._queue = queue
        self._forecast = forecast
        self._returns = returns
        self._division = division
        self._limiter = limiter

    def _until_room(self, job: Job, before: int, now: float) -> float:
        """Return the seconds for which all engines' wishes hold a job up.

        That is, the limits that they name and the pauses that they ask for.

        Args:
            job: that wants a decode engine.
            before: requests that are served before it, beside the queue.
            now: monotonic seconds.
        """
        if self._limiter.is_idle and not job.paused_until:
            return 0.0
        engines = self._pool.usable_decodes(job, now)
        if not engines:
            ends = (
                job.paused_until.get(key, now) for key in self._pool.decodes
            )
            return max(0.0, min(ends, default=now) - now)
        found = [engine.upstream.id for engine in engines]
        requests = len(self._queue) + before + 1
        return self._limiter.seconds_until_room(found, requests, now)

    def is_limited(self, job: Job, now: float) -> bool:
        """Return whether the wishes of engines let no run start in time."""
        wait = self._until_room(job, self._returns.due_count(now), now)
        return wait > 0 and now + wait > job.start_deadline

    def queue_or_refuse(
        self, job: Job, now: float
    ) -> generations.Refused | None:
        """Decide on a request that could not be placed so far."""
        if self.is_limited(job, now):
            return self.refuse(job, 'engines_hold_back', now)
        if job.is_committed:
            return None
        wait = _CAUTION * self._forecast.predict_wait(job, 1, now)
        if now + wait > waitqueue.first_event_limit(job):
            return self.queue_late(job, wait, now)
        self._queue.commit(job)
        return None

    def queue_late(
        self, job: Job, wait: float, now: float
    ) -> generations.Refused | None:
        """Keep a request that can't start in time, or give it up.

        Served late beats not served, and held in vain is worse than both.
        Where engines are at their limits, those in time take all the room.
        """
        if self.is_limited(job, now):
            return self.refuse(job, 'engines_hold_back', now)
        owed = 1 + self._returns.due_count(now)
        late = self._forecast.predict_late_wait(job, owed, now)
        is_in_vain = now + late > job.abandon_at
        if is_in_vain and not self._queue.take_probe(job, now):
            return self.refuse(
                job, self._forecast.describe_refusal(job, wait), now
            )
        self._queue.commit(job, is_late=True)
        return None

    def refuse(self, job: Job, why: str, now: float) -> generations.Refused:
        """Give a request up, and promise when there is room for it."""
        self._division.record_refusal(now)
        rate = self._forecast.service_rate()
        queued = len(self._queue) / rate if rate else 0.0
        # Who was told to come later than its caller can wait does not come.
        until_room = max(
            self._until_room(job, 0, now),
            min(
                self._until_room(job, self._returns.outstanding, now),
                job.deadline - now,
            ),
        )
        queued = max(queued, self._pool.seconds_to_next_trial(now), until_room)
        wait = self._returns.schedule(
            job.fingerprint,
            self._forecast.spare_rate(now),
            queued,
            job.deadline - now,
            job.arrived_at,
            now,
        )
        return generations.Refused(job, max(wait, until_room), why)
