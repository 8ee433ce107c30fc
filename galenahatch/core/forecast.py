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

"""Predicts the service rate of the engines and the waits of requests.

Two things limit the requests served a second: reading prompts, and the memory
at decode engines that is held until answers end. A request waits for whichever
takes longer for all requests placed before it.

Times are monotonic seconds.
"""

import collections.abc
import dataclasses
import math
import typing

from galenahatch.core import decodeprefill
from galenahatch.core import figures
from galenahatch.core import generations
from galenahatch.core import pool as pools
from galenahatch.core import stages
from galenahatch.core import waitqueue

_MIN_SPARE_FRACTION: typing.Final = 0.02
"""Least fraction of the service rate assumed to be left for late requests and
retries, so that nobody is refused forever. Where demand exceeds what is
served, more would be an empty promise: with 0.3, a tenth of all callers were
held for three seconds and then refused, and those that were served late took
the places of a fifth that would have been in time (simulated, engines that
complete 0.87 of the demand)."""
_BURST_SPARE_FRACTION: typing.Final = 0.3
"""The same for first attempts while demand is only a burst: it is over before
callers give up."""
MAX_JOBS_CHECKED: typing.Final = 8
"""Requests ahead that are checked for room one by one; for more, the rate at
which slots become free is used."""

_MIN_PARALLEL_PREFILLS: typing.Final = 0.01
"""Least number of prefill engines assumed, which avoids a division by zero."""

Job = generations.Job


class Forecast:
    """Predictions for one service.

    Args:
        pool: Engines of the service.
        estimator: Measurements of its requests.
        queue: Waiting requests.
    """

    def __init__(
        self,
        pool: pools.Pool,
        estimator: figures.Estimator,
        queue: waitqueue.WaitQueue,
    ) -> None:
        self._pool = pool
        self._estimator = estimator
        self._queue = queue

    def service_rate(self) -> float:
        """Return the requests a second that the engines can serve."""
        seconds_each = self._estimator.prefill_busy_seconds(
            self._estimator.figures.prompt
        )
        completion_rate = self._completion_rate()
        if seconds_each <= 0:
            return completion_rate
        return min(
            completion_rate,
            self._parallel_prefills(completion_rate) / seconds_each,
        )

    def request_costs(self) -> list[stages.RequestCost]:
        """Return the possible costs of a request of mean size.

        There are several while the prefill time is not fully known.
        """
        current = self._estimator.figures
        runs = self._pool.decode_capacity.concurrent_runs(
            self._estimator.mean_held_tokens, current.output
        )
        lifetime = current.output * self._pool.mean_pace_at_batch(
            runs, current.pace
        )
        lifetime += self._estimator.prefill_seconds(round(current.prompt))
        decode_prefill_seconds = decodeprefill.mean_prefill_seconds(
            self._estimator
        )
        return [
            stages.RequestCost(
                prefill_seconds, lifetime / runs, decode_prefill_seconds
            )
            for prefill_seconds in self._estimator.prefill_busy_range(
                current.prompt
            )
        ]

    def describe_refusal(self, job: Job, wait: float, now: float) -> str:
        """Return the inputs of a refusal, estimates included, for the log."""
        current = self._estimator.figures
        return (
            f'wait={wait:.3f} queue={len(self._queue)} returned={job.is_retry}'
            f' served={self.service_rate():.1f}'
            f' rate={current.rate:.0f} delay={current.delay:.3f}'
            f' alone={current.alone:.2f} slack={current.slack:.3f}'
            f' pace={self._pool.mean_pace(current.pace):.5f}'
            f' prefills={len(self._pool.prefills)}'
            f' decodes={len(self._pool.decodes)}'
            f'{self._queue.describe_share(job, now)}'
        )

    def predict_wait(self, job: Job, reserved: int, now: float) -> float:
        """Return the predicted seconds until a request's first event.

        Args:
            job: Waiting request.
            reserved: Slots needed in addition to those of the requests before
                it.
            now: Monotonic time in seconds.
        """
        ahead = self._queue.jobs_ahead(job, now)
        own_seconds = self._estimator.seconds_to_first_event(job)
        rate = self._completion_rate()
        work = sum(
            self._estimator.prefill_busy_seconds(other.prompt_tokens)
            for other in ahead
        )
        queued = work / self._parallel_prefills(rate)
        wait = max(queued, self._pool.seconds_to_next_trial(now))
        if not rate or self._has_room(job, ahead, now):
            return own_seconds + wait
        return own_seconds + max(wait, (len(ahead) + reserved) / rate)

    def renew_delays(self, job: Job, now: float) -> bool:
        """Measure delays anew if by the present ones nothing can start.

        Args:
            job: Request that is late by them.
            now: Monotonic time in seconds.

        Returns:
            Whether the predictions have changed.
        """
        return self._estimator.renew_delays(job, now)

    def predict_queue_wait(self, job: Job, now: float) -> float:
        """Return the seconds until all that wait, and overtake, are served."""
        rate = self.service_rate()
        if not rate:
            return 0.0
        wait = len(self._queue) / rate
        return self._queue.overtaken_wait(job, wait, rate, now)

    def predict_late_wait(self, job: Job, reserved: int, now: float) -> float:
        """Return the predicted seconds until a late request's first event.

        All requests that arrive meanwhile and can start in time are placed
        before it. In a burst it is served by what regular traffic leaves; a
        retry gets no further attempt and is given up only if the full service
        rate would not reach it. While demand exceeds what is served, present
        traffic leaves next to nothing, and a committed request would wait
        until its caller gives up. It is refused at once instead, and asked to
        retry when the overload may be over.

        Args:
            job: Request that can't start in time.
            reserved: Slots needed in addition to those of the requests before
                it.
            now: Monotonic time in seconds.
        """
        late_job = dataclasses.replace(job, is_committed=True, is_late=True)
        ahead = len(self._queue.jobs_ahead(late_job, now))
        # A retry is expected, so it reserves no slot for other retries.
        ahead += 1 if job.is_retry else reserved
        rate = self._late_rate(job, now)
        if rate <= 0:
            return math.inf
        wait = max(ahead / rate, self._pool.seconds_to_next_trial(now))
        return self._estimator.seconds_to_first_event(job) + wait

    def _late_rate(self, job: Job, now: float) -> float:
        """Return the rate at which late requests like this one are served."""
        if self._estimator.is_overloaded(now):
            return self.spare_rate(now)
        rate = self.service_rate()
        if job.is_retry:
            return rate
        spare = rate - self._estimator.long_term_rate(now)
        return max(_BURST_SPARE_FRACTION * rate, spare)

    def spare_rate(self, now: float) -> float:
        """Return the requests a second that present traffic leaves."""
        rate = self.service_rate()
        spare = rate - self._estimator.arrival_rate(now)
        return max(_MIN_SPARE_FRACTION * rate, spare)

    def may_prefill_at_decode(self, job: Job, now: float) -> bool:
        """Return whether a decode engine should read a request's prompt."""
        if not decodeprefill.fits_pause(job, self._estimator):
            return False
        prefills = self._pool.available_prefills(now)
        waiting = len(self._queue)
        if not decodeprefill.is_prefill_late(
            job, waiting, prefills, self._estimator
        ):
            return False
        return decodeprefill.is_prefill_bound(
            prefills, self._completion_rate(), self._estimator
        )

    def _completion_rate(self) -> float:
        """Return the runs a second that the decode engines can complete."""
        current = self._estimator.figures
        read = self._estimator.prefill_seconds(round(current.prompt))
        return self._pool.throughput(
            self._estimator.mean_held_tokens, current.output, read
        )

    def _parallel_prefills(self, completion_rate: float) -> float:
        """Return how many prompts median engines would read at a time.

        Args:
            completion_rate: Runs a second that the decode engines can
                complete.
        """
        prefills = self._pool.prefill_equivalents
        if not prefills:
            # Decode engines read all prompts, each one at a time.
            mean = self._estimator.figures.prompt
            seconds_each = (
                decodeprefill.mean_prefill_seconds(self._estimator)
                + decodeprefill.REST_S
            )
            engine_seconds = len(
                self._pool.decodes
            ) * self._estimator.prefill_busy_seconds(mean)
            return max(engine_seconds / seconds_each, _MIN_PARALLEL_PREFILLS)
        if not decodeprefill.is_prefill_bound(
            prefills, completion_rate, self._estimator
        ):
            return prefills
        return prefills + decodeprefill.PREFILL_EQUIVALENT * len(
            self._pool.decodes
        )

    def _has_room(
        self, job: Job, ahead: collections.abc.Collection[Job], now: float
    ) -> bool:
        """Return whether a request and all before it fit into memory now."""
        if len(ahead) > MAX_JOBS_CHECKED:
            return False
        trial_runs = []
        try:
            for candidate in (*ahead, job):
                run = candidate.make_run(
                    now + self._estimator.seconds_to_first_event(candidate)
                )
                usable = self._pool.usable_decodes(candidate, now)
                fitting = (e for e in usable if e.fits(run, now))
                engine = next(fitting, None)
                if engine is None:
                    return False
                engine.memory.add(run)
                trial_runs.append((engine, run))
            return True
        finally:
            for engine, run in trial_runs:
                engine.memory.discard(run.stream)
