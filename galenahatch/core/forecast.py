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
import typing

from galenahatch.core import figures
from galenahatch.core import generations
from galenahatch.core import pool as pools
from galenahatch.core import reading
from galenahatch.core import waiting

LOOKED_AT: typing.Final = 8
"""Requests ahead for which room is looked for one by one; behind more of
them the rate at which places become free tells enough."""

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
        measures: figures.Measures,
        queue: waiting.Waiting,
    ) -> None:
        self._pool = pool
        self._measures = measures
        self._queue = queue

    def rate(self) -> float:
        """Return the requests a second that the engines can serve."""
        each = self._measures.occupied(self._measures.figures.prompt)
        ending = self._ending_rate()
        if each <= 0:
            return ending
        return min(ending, self._lines(ending) / each)

    def wait(self, job: Job, owed: int, now: float) -> float:
        """Return the predicted seconds until a request's first event.

        Args:
            job: that waits.
            owed: places that are needed beside those of the ones before it.
            now: monotonic seconds.
        """
        ahead = self._queue.ahead(job, now)
        own = self._measures.until_first(job)
        rate = self._ending_rate()
        work = sum(self._measures.occupied(other.prompt) for other in ahead)
        queued = work / self._lines(rate)
        before = max(queued, self._pool.next_trial(now))
        if not rate or self._has_room(job, ahead, now):
            return own + before
        return own + max(before, (len(ahead) + owed) / rate)

    def decode_may_read(self, job: Job, now: float) -> bool:
        """Return whether a decode engine should read a request's prompt."""
        if not reading.is_short(job, self._measures):
            return False
        readers = self._pool.readers(now)
        waits = len(self._queue)
        if not reading.is_behind(job, waits, readers, self._measures):
            return False
        return reading.limits(readers, self._ending_rate(), self._measures)

    def _ending_rate(self) -> float:
        """Return the runs a second that the decode engines can end."""
        known = self._measures.figures
        read = self._measures.reading(round(known.prompt))
        return self._pool.service_rate(self._measures.held, known.output, read)

    def _lines(self, ending: float) -> float:
        """Return how many prompts are read at the same time.

        Args:
            ending: runs a second that the decode engines can end.
        """
        prefills = max(1, len(self._pool.prefills))
        if not reading.limits(prefills, ending, self._measures):
            return prefills
        return prefills + reading.LINES * len(self._pool.decodes)

    def _has_room(
        self, job: Job, ahead: collections.abc.Collection[Job], now: float
    ) -> bool:
        """Return whether there is memory now for a request and all before."""
        if len(ahead) > LOOKED_AT:
            return False
        added = []
        try:
            for one in (*ahead, job):
                run = one.run(now + self._measures.until_first(one))
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
                engine.memory.take_back(run.stream)
