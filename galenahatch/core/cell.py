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

"""A cell: the engines of one service in one region, and who waits for them.

One owner decides for all entries, so entries that decide at once don't
overfill an engine. `submit` takes a request or gives it up at once;
`decide` places the requests whose turn it is, and gives up those that can
no longer start in time. Reservations that their entry does not confirm
lapse; a new owner rebuilds them from the entries' reports. Times are
monotonic seconds, passed in.
"""

import collections.abc
import heapq
import random
import typing

from galenahatch.core import cache
from galenahatch.core import engines
from galenahatch.core import fairness
from galenahatch.core import headroom
from galenahatch.core import health
from galenahatch.core import jobs
from galenahatch.core import pairing
from galenahatch.core import pools
from galenahatch.core import promises
from galenahatch.core import reservations
from galenahatch.core import waits
from galenahatch import errors
from galenahatch import ids
from galenahatch import messages
from galenahatch import schema
from galenahatch import states

LOOKAHEAD_S: typing.Final = 0.03
"""Longest wait at a prefill engine; the rest waits in the cell."""
CACHE_MAX_AGE_S: typing.Final = 60.0
MAX_QUEUE_LENGTH: typing.Final = 5000
_PROMISED_SHARE: typing.Final = 100.0
MIN_RETRY_AFTER_S: typing.Final = 0.1
_RECHECK: typing.Final = 0.05
_SOONEST_LOOK: typing.Final = 0.001


class Cell:
    """State of one cell at its owner.

    Args:
        service: that the engines serve.
        random_source: for sampling among many engines.
    """

    def __init__(
        self, service: schema.ModelService, random_source: random.Random
    ) -> None:
        self._service = service
        self._random = random_source
        self._pools = pools.Pools()
        self._waits = waits.WaitEstimator(self._pools)
        self._headroom = headroom.Headroom()
        self._promises = promises.Tickets()
        self._index = cache.PrefixIndex(CACHE_MAX_AGE_S)
        self._allowed: dict[ids.SiteName, frozenset[ids.EngineName]] = {}
        self._queue: fairness.FairQueue[jobs.Job] = fairness.FairQueue()
        self._start_by: list[tuple[float, ids.StreamId]] = []
        self._reservations = reservations.Reservations(
            self._pools, self._waits
        )
        self._look_at = 0.0

    @property
    def service(self) -> schema.ModelService:
        """The service, as configured now."""
        return self._service

    @property
    def prefix_index(self) -> cache.PrefixIndex:
        """Which engine has which prefix."""
        return self._index

    @property
    def queue_length(self) -> int:
        """Requests in the queue."""
        return len(self._queue)

    def queue_length_of(self, caller: ids.CallerName) -> int:
        """Return how many requests of a caller wait."""
        return self._queue.count_waiting(caller)

    @property
    def active_reservations(
        self,
    ) -> collections.abc.Mapping[ids.StreamId, reservations.Reservation]:
        """Reservations by stream."""
        return self._reservations.by_stream

    @property
    def prefills(self) -> tuple[engines.PrefillEngine, ...]:
        """The prefill engines."""
        return self._pools.prefills

    @property
    def decodes(self) -> tuple[engines.DecodeEngine, ...]:
        """The decode engines."""
        return self._pools.decodes

    # Configuration and news of engines.

    def configure(
        self,
        service: schema.ModelService,
        declared: collections.abc.Iterable[schema.Engine],
        allowed: dict[ids.SiteName, frozenset[ids.EngineName]],
    ) -> None:
        """Take the engines of a configuration; known ones keep state."""
        self._service = service
        self._allowed = allowed
        self._pools.configure(declared, service.between_tokens_ms / 1000)

    def set_leaving(
        self, leaving: collections.abc.Container[ids.EngineName]
    ) -> None:
        """Take which engines leave, from all sources together."""
        self._pools.set_leaving(leaving)

    def expect_no_load_reports(self) -> None:
        """Expect no load reports: this owner no longer asks for them."""
        self._pools.expect_no_load_reports()

    def has_engine(self, engine: ids.EngineName) -> bool:
        """Return whether an engine belongs to the cell."""
        return self._pools.engine(engine) is not None

    def record_token_interval(
        self, engine: ids.EngineName, seconds: float, now: float
    ) -> None:
        """Take a time between tokens from an engine's load report."""
        found = self._pools.engine(engine)
        if found is not None:
            found.health.record_report(now)
        decode = self._pools.decode(engine)
        if decode is not None and seconds > 0:
            self._note_pace(decode, seconds)

    def record_failure(self, engine: ids.EngineName, now: float) -> None:
        """Note that an engine failed an attempt."""
        found = self._pools.engine(engine)
        if found is not None:
            found.health.record_failure(now)

    # The life of a request.

    def submit(
        self, request: messages.PlaceRequest, share: float, now: float
    ) -> jobs.Decision | None:
        """Take a request; return a decision if it is given up at once.

        Args:
            request: as the entry sent it.
            share: weight of its caller.
            now: monotonic seconds.
        """
        job = self._job(request, share, now)
        if job.urgency is states.Urgency.URGENT:
            self._headroom.record_urgent(job.cost, job.start_by - now, now)
        reason = self._refusal(job, now)
        if reason is not None:
            return self._give_up(job, reason, now)
        self._queue.push(job)
        heapq.heappush(self._start_by, (job.start_by, job.stream))
        return None

    def cancel(self, stream: ids.StreamId) -> None:
        """Remove a request that waits: its caller is gone."""
        self._queue.remove(stream)

    def decide(self, now: float) -> list[jobs.Decision]:
        """Place and give up what can be decided now."""
        self._pools.update_health(now)
        decisions = self._expired(now)
        while (decision := self._decide_one(now)) is not None:
            decisions.append(decision)
        return decisions

    def _decide_one(self, now: float) -> jobs.Decision | None:
        """Decide on the first head that need not wait."""
        self._look_at = now + _RECHECK
        idle_at = self._pools.first_idle_at(now)
        if idle_at > now + LOOKAHEAD_S:
            # No request could start now, whichever it is.
            self._look_at = min(self._look_at, idle_at - LOOKAHEAD_S)
            return None
        for job in self._queue.heads():
            choice = self._choose(job, now)
            if choice.pair is not None:
                self._queue.serve(job)
                return self._place(job, choice, now)
            if choice.retry_at is None:
                self._queue.serve(job)
                return self._give_up(job, errors.NO_ENGINE, now)
            self._look_at = min(self._look_at, choice.retry_at)
        return None

    def next_decision_at(self, now: float) -> float | None:
        """Return when `decide` should be called again; None if idle."""
        if not len(self._queue):
            return None
        return max(now + _SOONEST_LOOK, self._look_at)

    def record_progress(self, news: messages.Progress, now: float) -> None:
        """Take an entry's word on how far an attempt is."""
        reservation = self._reservations.get(news.stream)
        if reservation is None:
            return
        reservation.confirmed_at = now
        before = reservation.stage
        reservation.stage = news.stage
        if before is states.Stage.PREFILL:
            self._prefilled(reservation, news, now)
        if news.stage is states.Stage.DECODE:
            decode = self._pools.decode(reservation.decode)
            if decode is not None:
                stay = self._waits.estimate_hold(
                    decode, reservation.output_tokens, now
                )
                decode.reschedule(news.stream, stay)

    def release(self, news: messages.Release, now: float) -> None:
        """Free what an attempt held."""
        reservation = self._reservations.release(news.stream, now)
        if reservation is None:
            self.cancel(news.stream)
            return
        if news.failed is not None:
            self.record_failure(news.failed, now)
            return
        self._learn(reservation, news, now)

    def reconcile(self, report: messages.HeldReport, now: float) -> None:
        """Take an entry's complete report: add, confirm and drop."""
        self._reservations.reconcile(report, now)

    def expire(self, now: float) -> list[ids.StreamId]:
        """Drop reservations without a sign of their entry."""
        return self._reservations.expire(now)

    def remove_entry(self, entry: ids.MemberId, now: float) -> None:
        """Free everything of an entry that is gone."""
        self._reservations.release_entry(entry, now)
        for job in self._queue.items():
            if job.request.entry == entry:
                self._queue.remove(job.stream)

    # Parts of the above.

    def _job(
        self, request: messages.PlaceRequest, share: float, now: float
    ) -> jobs.Job:
        tokens = request.prompt_tokens
        cost = self._waits.prefill_cost(tokens)
        after = self._waits.min_first_token_delay(tokens)
        start_by = now + request.patience - cost - after
        promised = self._promises.redeem(request.ticket, now)
        if promised:
            share = _PROMISED_SHARE
        return jobs.Job(request, share, cost, start_by, now, promised)

    def _refusal(self, job: jobs.Job, now: float) -> errors.Reason | None:
        if len(self._queue) >= MAX_QUEUE_LENGTH:
            return errors.QUEUE_FULL
        if not any(pairing.accepts_work(e) for e in self._pools.prefills):
            return errors.NO_ENGINE
        if not any(pairing.accepts_work(e) for e in self._pools.decodes):
            return errors.NO_ENGINE
        if now + self._expected_wait(job, now) > job.start_by:
            return errors.NO_TIME
        return None

    def _expected_wait(self, job: jobs.Job, now: float) -> float:
        """Return the predicted seconds until a request's prefill starts.

        Promised work counts if it is due before the request would start
        without it.
        """
        if job.has_ticket:
            return self._wait_behind(job, 0.0, now)
        ahead = self._queue.work_ahead(job)
        wait = self._wait_behind(job, ahead, now)
        owed = self._promises.promised_work(now + wait, job.urgency, now)
        return self._wait_behind(job, ahead + owed, now) if owed else wait

    def _wait_behind(self, job: jobs.Job, ahead: float, now: float) -> float:
        return self._waits.expected_prefill_wait(
            job.cost,
            ahead,
            len(self._queue) + len(self._promises),
            self._service.waste_weight,
            now,
        )

    def _choose(self, job: jobs.Job, now: float) -> pairing.Choice:
        request = job.request
        need = pairing.Requirements(
            prompt_tokens=request.prompt_tokens,
            block_count=len(request.blocks),
            hits=self._index.hits(request.blocks, now),
            data_centre=request.data_centre,
            avoid=frozenset(request.avoid),
            allowed=self._allowed.get(request.site, frozenset()),
            waste_weight=self._service.waste_weight,
        )
        choice = pairing.choose_pair(
            need,
            self._pools.prefills,
            self._pools.decodes,
            now,
            LOOKAHEAD_S,
            self._random,
        )
        if job.urgency is states.Urgency.URGENT or choice.pair is None:
            return choice
        if self._headroom.permits(self._pools, choice.pair, now):
            return choice
        return pairing.Choice(None, retry_at=now + _RECHECK)

    def _expired(self, now: float) -> list[jobs.Decision]:
        """Give up every waiting request that can't start in time."""
        decisions = []
        while self._start_by and self._start_by[0][0] < now:
            _, stream = heapq.heappop(self._start_by)
            job = self._queue.remove(stream)
            if job is not None:
                decisions.append(self._give_up(job, errors.NO_TIME, now))
        return decisions

    def _give_up(
        self, job: jobs.Job, reason: errors.Reason, now: float
    ) -> jobs.Decision:
        wait = self._expected_wait(job, now)
        ticket = f'{self._random.getrandbits(64):016x}'
        room_in = self._promises.issue(
            ticket,
            wait,
            self._waits.admission_rate(),
            job.cost,
            job.urgency,
            now,
        )
        retry_after = max(MIN_RETRY_AFTER_S, room_in)
        answer = messages.GivenUp(
            stream=job.stream,
            reason=reason.name,
            retry_after=retry_after,
            why=f'wait={wait:.3f} queue={len(self._queue)}',
            ticket=ticket,
        )
        return jobs.Decision(job.request, answer)

    def _place(
        self, job: jobs.Job, choice: pairing.Choice, now: float
    ) -> jobs.Decision:
        pair = choice.pair
        assert pair is not None
        request = job.request
        self._reservations.reserve(request, pair, now)
        self._note_trial(pair, job.stream)
        if job.urgency is not states.Urgency.URGENT:
            self._headroom.record_less_urgent(now)
        answer = messages.Placed(
            stream=job.stream,
            prefill=pair.prefill.name,
            decode=pair.decode.name,
            why=choice.explain(now - job.arrived_at),
            transfer=pair.transfer_ends_at - pair.transfer_starts_at,
        )
        return jobs.Decision(request, answer)

    def _note_trial(self, pair: pairing.Pair, stream: ids.StreamId) -> None:
        if pair.prefill.health.state is health.Health.TRIAL:
            pair.prefill.trial_stream = stream
        if pair.decode.health.state is health.Health.TRIAL:
            pair.decode.trial_stream = stream

    def _prefilled(
        self,
        reservation: reservations.Reservation,
        news: messages.Progress,
        now: float,
    ) -> None:
        prefill = self._pools.prefill(reservation.prefill)
        if prefill is None:
            return
        prefill.finish(reservation.stream, now, news.seconds)
        prefill.health.record_success(now)
        prefill.trial_stream = None
        self._index.add_prefixes(prefill.name, reservation.blocks, now)

    def _learn(
        self,
        reservation: reservations.Reservation,
        news: messages.Release,
        now: float,
    ) -> None:
        """Move the averages by an attempt that ended well."""
        decode = self._pools.decode(reservation.decode)
        if decode is None or not news.tokens:
            return
        decode.health.record_success(now)
        if news.seconds_per_token > 0:
            self._note_pace(decode, news.seconds_per_token)
        held = now - reservation.placed_at
        self._waits.record_completion(
            news.tokens, reservation.output_tokens, held
        )

    def _note_pace(self, decode: engines.DecodeEngine, seconds: float) -> None:
        target = self._service.between_tokens_ms / 1000
        self._pools.record_token_interval(decode, seconds, target)
