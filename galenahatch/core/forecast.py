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

"""What the owner expects: rates of the engines, and waits of requests.

Two things limit how many requests a second are served: reading prompts, and
memory at the decode engines until answers end. A request waits for whichever
takes longer for all that are placed before it.

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

_LEAST_SPARE: typing.Final = 0.02
"""Least part of the engines' rate that is taken to be left for who is late or
comes back, so that nobody is refused for ever. Where demand is above what is
served, more would be a promise that is not kept: with 0.3, a tenth of all
callers were held for three seconds and then refused, and those that were
served late took the places of a fifth that would have been in time (virtual
time, engines that end 0.87 of the demand)."""
_BURST_SPARE: typing.Final = 0.3
"""The same for first attempts while demand is no more than a burst: it is
over before callers leave."""
MAX_JOBS_CHECKED: typing.Final = 8
"""Requests ahead for which room is looked for one by one; behind more of
them the rate at which places become free tells enough."""

_LEAST_LINES: typing.Final = 0.01
"""Prefill engines that there are at the least in a division by them."""

Job = generations.Job


class Forecast:
    """Predictions for one service.

    Args:
        pool: its engines.
        measures: what its requests take.
        queue: those that wait.
    """

    def __init__(
        self,
        pool: pools.Pool,
        measures: figures.Estimator,
        queue: waitqueue.WaitQueue,
    ) -> None:
        self._pool = pool
        self._measures = measures
        self._queue = queue

    def service_rate(self) -> float:
        """Return the requests a second that the engines can serve."""
        each = self._measures.prefill_busy_seconds(
            self._measures.figures.prompt
        )
        ending = self._ending_rate()
        if each <= 0:
            return ending
        return min(ending, self._lines(ending) / each)

    def request_costs(self) -> list[stages.RequestCost]:
        """Return what a request of mean size costs at both stages.

        It may be either of what is returned, as far as it is known.
        """
        known = self._measures.figures
        runs = self._pool.concurrent_runs(
            self._measures.mean_held_tokens, known.output
        )
        life = known.output * self._pool.mean_pace_at_batch(runs, known.pace)
        life += self._measures.prefill_seconds(round(known.prompt))
        helped = decodeprefill.mean_prefill_seconds(self._measures)
        return [
            stages.RequestCost(read, life / runs, helped)
            for read in self._measures.prefill_busy_range()
        ]

    def describe_refusal(self, job: Job, wait: float) -> str:
        """Return what a refusal rests on, beliefs included, for the log."""
        known = self._measures.figures
        return (
            f'wait={wait:.3f} queue={len(self._queue)} returned={job.is_retry}'
            f' served={self.service_rate():.1f}'
            f' rate={known.rate:.0f} delay={known.delay:.3f}'
            f' alone={known.alone:.2f} slack={known.slack:.3f}'
            f' pace={self._pool.mean_pace(known.pace):.5f}'
            f' prefills={len(self._pool.prefills)}'
            f' decodes={len(self._pool.decodes)}'
        )

    def predict_wait(self, job: Job, owed: int, now: float) -> float:
        """Return the predicted seconds until a request's first event.

        Args:
            job: that waits.
            owed: places that are needed beside those of the ones before it.
            now: monotonic seconds.
        """
        ahead = self._queue.jobs_ahead(job, now)
        own = self._measures.seconds_to_first_event(job)
        rate = self._ending_rate()
        work = sum(
            self._measures.prefill_busy_seconds(other.prompt_tokens)
            for other in ahead
        )
        queued = work / self._lines(rate)
        before = max(queued, self._pool.seconds_to_next_trial(now))
        if not rate or self._has_room(job, ahead, now):
            return own + before
        return own + max(before, (len(ahead) + owed) / rate)

    def predict_late_wait(self, job: Job, owed: int, now: float) -> float:
        """Return the predicted seconds until a late request's first event.

        All that come meanwhile and can start in time are placed before it. In
        a burst it is served by what usual traffic leaves; one that came back
        has no further attempt, and is given up only if all that the engines
        serve would not reach it. While demand is above what is served, what
        present traffic leaves is next to nothing: who was kept would be held
        until its caller leaves. It is refused at once instead, and asked to
        come back when it may be over.

        Args:
            job: that can't start in time.
            owed: places that are needed beside those of the ones before it.
            now: monotonic seconds.
        """
        late = dataclasses.replace(job, is_committed=True, is_late=True)
        ahead = len(self._queue.jobs_ahead(late, now))
        # Who comes back is expected, and owes no place to others that are.
        ahead += 1 if job.is_retry else owed
        rate = self._late_rate(job, now)
        if rate <= 0:
            return math.inf
        wait = max(ahead / rate, self._pool.seconds_to_next_trial(now))
        return self._measures.seconds_to_first_event(job) + wait

    def _late_rate(self, job: Job, now: float) -> float:
        """Return the requests a second that are served late like one."""
        if self._measures.is_overloaded(now):
            return self.spare_rate(now)
        rate = self.service_rate()
        if job.is_retry:
            return rate
        left = rate - self._measures.long_term_rate(now)
        return max(_BURST_SPARE * rate, left)

    def spare_rate(self, now: float) -> float:
        """Return the requests a second that present traffic leaves."""
        rate = self.service_rate()
        left = rate - self._measures.arrival_rate(now)
        return max(_LEAST_SPARE * rate, left)

    def may_prefill_at_decode(self, job: Job, now: float) -> bool:
        """Return whether a decode engine should read a request's prompt."""
        if not decodeprefill.fits_pause(job, self._measures):
            return False
        readers = self._pool.available_prefills(now)
        waits = len(self._queue)
        if not decodeprefill.is_prefill_late(
            job, waits, readers, self._measures
        ):
            return False
        return decodeprefill.is_prefill_bound(
            readers, self._ending_rate(), self._measures
        )

    def _ending_rate(self) -> float:
        """Return the runs a second that the decode engines can end."""
        known = self._measures.figures
        read = self._measures.prefill_seconds(round(known.prompt))
        return self._pool.completion_rate(
            self._measures.mean_held_tokens, known.output, read
        )

    def _lines(self, ending: float) -> float:
        """Return how many prompts are read at the same time.

        Args:
            ending: runs a second that the decode engines can end.
        """
        prefills = len(self._pool.prefills)
        if not prefills:
            # Decode engines read all prompts, one after another.
            mean = self._measures.figures.prompt
            each = (
                decodeprefill.mean_prefill_seconds(self._measures)
                + decodeprefill.REST_S
            )
            lines = len(
                self._pool.decodes
            ) * self._measures.prefill_busy_seconds(mean)
            return max(lines / each, _LEAST_LINES)
        if not decodeprefill.is_prefill_bound(
            prefills, ending, self._measures
        ):
            return prefills
        return prefills + decodeprefill.PREFILL_EQUIVALENT * len(
            self._pool.decodes
        )

    def _has_room(
        self, job: Job, ahead: collections.abc.Collection[Job], now: float
    ) -> bool:
        """Return whether there is memory now for a request and all before."""
        if len(ahead) > MAX_JOBS_CHECKED:
            return False
        added = []
        try:
            for one in (*ahead, job):
                run = one.make_run(
                    now + self._measures.seconds_to_first_event(one)
                )
                usable = self._pool.usable_decodes(one, now)
                fitting = (e for e in usable if e.fits(run, now))
                engine = next(fitting, None)
                if engine is None:
                    return False
                engine.memory.add(run)
                added.append((engine, run))
            return True
        finally:
            for engine, run in added:
                engine.memory.discard(run.stream)
