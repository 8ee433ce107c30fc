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

"""Scheduling of the requests for one service in one region.

One owner schedules for all entries, so that concurrent entries don't overload
an engine. `submit` queues or rejects a request; `decide` places the next
requests and rejects those that can no longer start in time. Reservations that
their entry does not confirm expire; a new owner rebuilds them from the
reports of entries. Callers pass in times as monotonic seconds.
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
from galenahatch.core import reservations
from galenahatch.core import tickets
from galenahatch.core import waitestimates
from galenahatch import errors
from galenahatch import ids
from galenahatch import messages
from galenahatch import schema
from galenahatch import states

LOOKAHEAD_S: typing.Final = 0.03
"""Maximum wait at a prefill engine; further requests stay in the cell."""
CACHE_MAX_AGE_S: typing.Final = 60.0
MAX_QUEUE_LENGTH: typing.Final = 5000
_TICKET_WEIGHT: typing.Final = 100.0
MIN_RETRY_AFTER_S: typing.Final = 0.1
_RECHECK_INTERVAL_S: typing.Final = 0.05
_MIN_DECISION_INTERVAL_S: typing.Final = 0.001


class Cell:
    """State of one cell at its owner.

    Args:
        service: Service that the engines run.
        random_source: Random source for sampling engines.
    """

    def __init__(
        self, service: schema.ModelService, random_source: random.Random
    ) -> None:
        self._service = service
        self._random = random_source
        self._pools = pools.Pools()
        self._estimator = waitestimates.WaitEstimator(self._pools)
        self._headroom = headroom.Headroom()
        self._tickets = tickets.Tickets()
        self._prefix_index = cache.PrefixIndex(CACHE_MAX_AGE_S)
        self._site_engines: dict[ids.SiteName, frozenset[ids.EngineName]] = {}
        self._queue = fairness.FairQueue[jobs.Job](jobs.class_weight)
        self._start_deadlines: list[tuple[float, ids.StreamId]] = []
        self._reservations = reservations.Reservations(
            self._pools, self._estimator
        )
        self._recheck_at = 0.0

    @property
    def service(self) -> schema.ModelService:
        """Current configuration of the service."""
        return self._service

    @property
    def prefix_index(self) -> cache.PrefixIndex:
        """Index of cached prefixes."""
        return self._prefix_index

    @property
    def queue_length(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def queue_length_of(self, caller: ids.CallerName) -> int:
        """Return the number of queued requests of a caller."""
        return self._queue.count_waiting(caller)

    @property
    def active_reservations(
        self,
    ) -> collections.abc.Mapping[ids.StreamId, reservations.Reservation]:
        """Active reservations by stream."""
        return self._reservations.by_stream

    @property
    def prefills(self) -> tuple[engines.PrefillEngine, ...]:
        """Prefill engines of the cell."""
        return self._pools.prefills

    @property
    def decodes(self) -> tuple[engines.DecodeEngine, ...]:
        """Decode engines of the cell."""
        return self._pools.decodes

    # Configuration and state of engines.

    def configure(
        self,
        service: schema.ModelService,
        declared: collections.abc.Iterable[schema.Engine],
        site_engines: dict[ids.SiteName, frozenset[ids.EngineName]],
    ) -> None:
        """Apply a configuration; engines known before keep their state."""
        self._service = service
        self._site_engines = site_engines
        self._pools.configure(declared, service.between_tokens_ms / 1000)

    def set_leaving(
        self, leaving: collections.abc.Container[ids.EngineName]
    ) -> None:
        """Set which engines are leaving according to any source."""
        self._pools.set_leaving(leaving)

    def expect_no_load_reports(self) -> None:
        """Stop expecting load reports, which this owner no longer polls."""
        self._pools.expect_no_load_reports()

    def has_engine(self, engine: ids.EngineName) -> bool:
        """Return whether the cell has an engine."""
        return self._pools.engine(engine) is not None

    def record_token_interval(
        self, engine: ids.EngineName, seconds: float, now: float
    ) -> None:
        """Record the time between tokens from an engine's load report."""
        known_engine = self._pools.engine(engine)
        if known_engine is not None:
            known_engine.health.record_report(now)
        decode = self._pools.decode(engine)
        if decode is not None and seconds > 0:
            self._record_interval(decode, seconds)

    def record_failure(self, engine: ids.EngineName, now: float) -> None:
        """Record an attempt that failed on an engine."""
        known_engine = self._pools.engine(engine)
        if known_engine is not None:
            known_engine.health.record_failure(now)

    # Request lifecycle.

    def submit(
        self, request: messages.PlaceRequest, share: float, now: float
    ) -> jobs.Decision | None:
        """Queue a request, or return the decision that rejects it.

        Args:
            request: Request as sent by the entry.
            share: Weight of the caller.
            now: Monotonic seconds.
        """
        job = self._make_job(request, share, now)
        if job.urgency is states.Urgency.URGENT:
            self._headroom.record_urgent(job.cost, job.start_by - now, now)
        reason = self._rejection(job, now)
        if reason is not None:
            return self._give_up(job, reason, now)
        self._queue.push(job)
        heapq.heappush(self._start_deadlines, (job.start_by, job.stream))
        return None

    def cancel(self, stream: ids.StreamId) -> None:
        """Remove a queued request whose caller disconnected."""
        self._queue.remove(stream)

    def decide(self, now: float) -> list[jobs.Decision]:
        """Place or reject all requests that can be decided now."""
        self._pools.update_health(now)
        decisions = self._give_up_expired(now)
        while (decision := self._decide_next(now)) is not None:
            decisions.append(decision)
        return decisions

    def _decide_next(self, now: float) -> jobs.Decision | None:
        """Decide on the first head of the queue that need not wait."""
        self._recheck_at = now + _RECHECK_INTERVAL_S
        idle_at = self._pools.first_idle_at(now)
        if idle_at > now + LOOKAHEAD_S:
            # No prefill engine can start any request now.
            self._recheck_at = min(self._recheck_at, idle_at - LOOKAHEAD_S)
            return None
        for job in self._queue.heads():
            choice = self._choose_pair(job, now)
            if choice.pair is not None:
                self._queue.serve(job)
                return self._place(job, choice, now)
            if choice.retry_at is None:
                self._queue.serve(job)
                return self._give_up(job, errors.NO_ENGINE, now)
            self._recheck_at = min(self._recheck_at, choice.retry_at)
        return None

    def next_decision_at(self, now: float) -> float | None:
        """Return when to call `decide` again; None if nothing is queued."""
        if not len(self._queue):
            return None
        return max(now + _MIN_DECISION_INTERVAL_S, self._recheck_at)

    def record_progress(self, progress: messages.Progress, now: float) -> None:
        """Record an entry's report on the progress of an attempt."""
        reservation = self._reservations.get(progress.stream)
        if reservation is None:
            return
        reservation.confirmed_at = now
        previous_stage = reservation.stage
        reservation.stage = progress.stage
        if previous_stage is states.Stage.PREFILL:
            self._finish_prefill(reservation, progress, now)
        if progress.stage is states.Stage.DECODE:
            decode = self._pools.decode(reservation.decode)
            if decode is not None:
                estimate = self._estimator.estimate_hold(
                    decode, reservation.output_tokens, now
                )
                decode.reschedule(progress.stream, estimate)

    def release(self, message: messages.Release, now: float) -> None:
        """Release the reservation of an attempt, or cancel its request."""
        reservation = self._reservations.release(message.stream, now)
        if reservation is None:
            self.cancel(message.stream)
            return
        if message.failed_engine is not None:
            self.record_failure(message.failed_engine, now)
            return
        self._record_completion(reservation, message, now)

    def reconcile(self, report: messages.HeldReport, now: float) -> None:
        """Reconcile reservations with the complete report of an entry."""
        self._reservations.reconcile(report, now)

    def expire(self, now: float) -> list[ids.StreamId]:
        """Drop and return reservations that were not confirmed in time."""
        return self._reservations.expire(now)

    def remove_entry(self, entry: ids.MemberId, now: float) -> None:
        """Remove the reservations and requests of a failed entry."""
        self._reservations.release_entry(entry, now)
        for job in self._queue.items():
            if job.request.entry == entry:
                self._queue.remove(job.stream)

    # Helpers.

    def _make_job(
        self, request: messages.PlaceRequest, share: float, now: float
    ) -> jobs.Job:
        tokens = request.prompt_tokens
        cost = self._estimator.prefill_cost(tokens)
        first_token_delay = self._estimator.min_first_token_delay(tokens)
        start_by = now + request.first_token_timeout - cost - first_token_delay
        has_ticket = self._tickets.redeem(request.ticket, now)
        if has_ticket:
            share = _TICKET_WEIGHT
        return jobs.Job(request, share, cost, start_by, now, has_ticket)

    def _rejection(self, job: jobs.Job, now: float) -> errors.Reason | None:
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

        Work promised to ticket holders counts if it is due before the request
        could otherwise start.
        """
        if job.has_ticket:
            return self._wait_behind(job, 0.0, now)
        ahead = self._queue.work_ahead(job)
        wait = self._wait_behind(job, ahead, now)
        owed = self._tickets.promised_work(now + wait, job.urgency, now)
        return self._wait_behind(job, ahead + owed, now) if owed else wait

    def _wait_behind(self, job: jobs.Job, ahead: float, now: float) -> float:
        return self._estimator.expected_prefill_wait(
            job.cost,
            ahead,
            len(self._queue) + len(self._tickets),
            self._service.waste_weight,
            now,
        )

    def _choose_pair(self, job: jobs.Job, now: float) -> pairing.Choice:
        request = job.request
        needs = pairing.Requirements(
            prompt_tokens=request.prompt_tokens,
            block_count=len(request.blocks),
            hits=self._prefix_index.hits(request.blocks, now),
            data_centre=request.data_centre,
            avoid=frozenset(request.avoided_engines),
            allowed=self._site_engines.get(request.site, frozenset()),
            waste_weight=self._service.waste_weight,
        )
        choice = pairing.choose_pair(
            needs,
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
        return pairing.Choice(None, retry_at=now + _RECHECK_INTERVAL_S)

    def _give_up_expired(self, now: float) -> list[jobs.Decision]:
        """Reject queued requests that can no longer start in time."""
        decisions = []
        while self._start_deadlines and self._start_deadlines[0][0] < now:
            _, stream = heapq.heappop(self._start_deadlines)
            job = self._queue.remove(stream)
            if job is not None:
                decisions.append(self._give_up(job, errors.NO_TIME, now))
        return decisions

    def _give_up(
        self, job: jobs.Job, reason: errors.Reason, now: float
    ) -> jobs.Decision:
        wait = self._expected_wait(job, now)
        ticket = f'{self._random.getrandbits(64):016x}'
        ticket_wait = self._tickets.issue(
            ticket,
            wait,
            self._estimator.admission_rate(),
            job.cost,
            job.urgency,
            now,
        )
        retry_after = max(MIN_RETRY_AFTER_S, ticket_wait)
        answer = messages.GivenUp(
            stream=job.stream,
            reason=reason.name,
            retry_after=retry_after,
            explanation=f'wait={wait:.3f} queue={len(self._queue)}',
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
        self._record_trial(pair, job.stream)
        if job.urgency is not states.Urgency.URGENT:
            self._headroom.record_less_urgent(now)
        answer = messages.Placed(
            stream=job.stream,
            prefill=pair.prefill.name,
            decode=pair.decode.name,
            explanation=choice.explain(now - job.arrived_at),
            transfer=pair.transfer_ends_at - pair.transfer_starts_at,
        )
        return jobs.Decision(request, answer)

    def _record_trial(self, pair: pairing.Pair, stream: ids.StreamId) -> None:
        if pair.prefill.health.state is health.Health.TRIAL:
            pair.prefill.trial_stream = stream
        if pair.decode.health.state is health.Health.TRIAL:
            pair.decode.trial_stream = stream

    def _finish_prefill(
        self,
        reservation: reservations.Reservation,
        progress: messages.Progress,
        now: float,
    ) -> None:
        prefill = self._pools.prefill(reservation.prefill)
        if prefill is None:
            return
        prefill.finish(reservation.stream, now, progress.seconds)
        prefill.health.record_success(now)
        prefill.trial_stream = None
        self._prefix_index.add_prefixes(prefill.name, reservation.blocks, now)

    def _record_completion(
        self,
        reservation: reservations.Reservation,
        message: messages.Release,
        now: float,
    ) -> None:
        """Update the averages with a successful attempt."""
        decode = self._pools.decode(reservation.decode)
        if decode is None or not message.tokens:
            return
        decode.health.record_success(now)
        if message.seconds_per_token > 0:
            self._record_interval(decode, message.seconds_per_token)
        held = now - reservation.placed_at
        self._estimator.record_completion(
            message.tokens, reservation.output_tokens, held
        )

    def _record_interval(
        self, decode: engines.DecodeEngine, seconds: float
    ) -> None:
        target = self._service.between_tokens_ms / 1000
        self._pools.record_token_interval(decode, seconds, target)
