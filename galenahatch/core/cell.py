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
import dataclasses
import heapq
import random
import typing

from galenahatch.core import cache
from galenahatch.core import engines
from galenahatch.core import fairness
from galenahatch.core import headroom
from galenahatch.core import health
from galenahatch.core import pairing
from galenahatch.core import pools
from galenahatch.core import promises
from galenahatch.core import waits
from galenahatch import errors
from galenahatch import ids
from galenahatch import messages
from galenahatch import schema

LOOKAHEAD: typing.Final = 0.03
"""Longest wait at a prefill engine; the rest waits in the cell."""
CONFIRM_WITHIN: typing.Final = 10.0
"""Seconds after which a reservation without a sign lapses."""
CACHE_AGE: typing.Final = 60.0
LONGEST_QUEUE: typing.Final = 5000
_EXPLAINED_LOSERS: typing.Final = 3
_PROMISED: typing.Final = ids.CallerName('')
_PROMISED_SHARE: typing.Final = 100.0
LEAST_RETRY_AFTER: typing.Final = 0.1
_LAPSE_EVERY: typing.Final = 1.0
_RECHECK: typing.Final = 0.05
_SOONEST_LOOK: typing.Final = 0.001


@dataclasses.dataclass(frozen=True)
class Job:
    """A request that waits, with what does not change while it does."""

    request: messages.PlaceRequest
    share: float
    cost: float
    start_by: float
    arrived_at: float
    promised: bool

    @property
    def stream(self) -> ids.StreamId:
        """Unique id."""
        return self.request.stream

    @property
    def caller(self) -> ids.CallerName:
        """Flow in the queue: the caller's, or that of kept promises."""
        return _PROMISED if self.promised else self.request.caller

    @property
    def urgency(self) -> messages.Urgency:
        """Its class."""
        return self.request.urgency


@dataclasses.dataclass
class Reservation:
    """Engines held for one attempt."""

    stream: ids.StreamId
    entry: ids.MemberId
    prefill: ids.EngineName
    decode: ids.EngineName
    prompt_tokens: int
    output_tokens: int
    blocks: tuple[int, ...]
    stage: messages.Stage
    placed_at: float
    seen_at: float


@dataclasses.dataclass(frozen=True)
class Decision:
    """What was decided on one attempt, with its explanation."""

    request: messages.PlaceRequest
    answer: messages.Placed | messages.GivenUp


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
        self._waits = waits.Waits(self._pools)
        self._headroom = headroom.Headroom()
        self._promises = promises.Promises()
        self._index = cache.PrefixIndex(CACHE_AGE)
        self._allowed: dict[ids.SiteName, frozenset[ids.EngineName]] = {}
        self._queue: fairness.FairQueue[Job] = fairness.FairQueue()
        self._start_by: list[tuple[float, ids.StreamId]] = []
        self._reservations: dict[ids.StreamId, Reservation] = {}
        self._look_at = 0.0
        self._lapsed_at = 0.0

    @property
    def service(self) -> schema.ModelService:
        """The service, as configured now."""
        return self._service

    @property
    def index(self) -> cache.PrefixIndex:
        """Which engine has which prefix."""
        return self._index

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._queue)

    def waiting_of(self, caller: ids.CallerName) -> int:
        """Return how many requests of a caller wait."""
        return self._queue.waiting(caller)

    @property
    def reservations(
        self,
    ) -> collections.abc.Mapping[ids.StreamId, Reservation]:
        """Reservations by stream."""
        return self._reservations

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

    def unprobed(self) -> None:
        """Expect no load reports: this owner no longer asks for them."""
        self._pools.unprobed()

    def paced(
        self, engine: ids.EngineName, seconds: float, now: float
    ) -> None:
        """Take a time between tokens from an engine's load report."""
        found = self._pools.engine(engine)
        if found is not None:
            found.health.heard(now)
        decode = self._pools.decode(engine)
        if decode is not None and seconds > 0:
            self._note_pace(decode, seconds)

    def failed(self, engine: ids.EngineName, now: float) -> None:
        """Note that an engine failed an attempt."""
        found = self._pools.engine(engine)
        if found is not None:
            found.health.failed(now)

    # The life of a request.

    def submit(
        self, request: messages.PlaceRequest, share: float, now: float
    ) -> Decision | None:
        """Take a request; return a decision if it is given up at once.

        Args:
            request: as the entry sent it.
            share: weight of its caller.
            now: monotonic seconds.
        """
        job = self._job(request, share, now)
        if job.urgency is messages.Urgency.URGENT:
            self._headroom.note(job.cost, job.start_by - now, now)
        reason = self._refusal(job, now)
        if reason is not None:
            return self._give_up(job, reason, now)
        self._queue.push(job)
        heapq.heappush(self._start_by, (job.start_by, job.stream))
        return None

    def withdraw(self, stream: ids.StreamId) -> None:
        """Remove a request that waits: its caller is gone."""
        self._queue.remove(stream)

    def decide(self, now: float) -> list[Decision]:
        """Place and give up what can be decided now."""
        self._pools.update_health(now)
        decisions = self._expired(now)
        while (decision := self._decide_one(now)) is not None:
            decisions.append(decision)
        return decisions

    def _decide_one(self, now: float) -> Decision | None:
        """Decide on the first head that need not wait."""
        self._look_at = now + _RECHECK
        idle_at = self._pools.idle_at(now)
        if idle_at > now + LOOKAHEAD:
            # No request could start now, whichever it is.
            self._look_at = min(self._look_at, idle_at - LOOKAHEAD)
            return None
        for job in self._queue.heads():
            choice = self._choose(job, now)
            if choice.pair is not None:
                self._queue.serve(job)
                return self._place(job, choice, now)
            if choice.wait_until is None:
                self._queue.serve(job)
                return self._give_up(job, errors.NO_ENGINE, now)
            self._look_at = min(self._look_at, choice.wait_until)
        return None

    def next_look(self, now: float) -> float | None:
        """Return when `decide` should be called again; None if idle."""
        if not len(self._queue):
            return None
        return max(now + _SOONEST_LOOK, self._look_at)

    def progress(self, news: messages.Progress, now: float) -> None:
        """Take an entry's word on how far an attempt is."""
        reservation = self._reservations.get(news.stream)
        if reservation is None:
            return
        reservation.seen_at = now
        before = reservation.stage
        reservation.stage = news.stage
        if before is messages.Stage.PREFILL:
            self._prefilled(reservation, news, now)
        if news.stage is messages.Stage.DECODE:
            decode = self._pools.decode(reservation.decode)
            if decode is not None:
                stay = self._waits.stay(decode, reservation.output_tokens, now)
                decode.move(news.stream, stay)

    def release(self, news: messages.Release, now: float) -> None:
        """Free what an attempt held."""
        reservation = self._reservations.pop(news.stream, None)
        if reservation is None:
            self.withdraw(news.stream)
            return
        self._free(reservation, now)
        if news.failed is not None:
            self.failed(news.failed, now)
            return
        self._learn(reservation, news, now)

    def rebuild(self, report: messages.HeldReport, now: float) -> None:
        """Take an entry's complete report: add, confirm and drop."""
        reported = {one.stream: one for one in report.held}
        for stream, reservation in list(self._reservations.items()):
            if reservation.entry != report.entry:
                continue
            if stream in reported:
                reservation.seen_at = now
            elif now - reservation.placed_at > CONFIRM_WITHIN / 2:
                self._drop(stream, now)
        for one in report.held:
            if one.stream not in self._reservations:
                self._adopt(report.entry, one, now)

    def lapse(self, now: float) -> list[ids.StreamId]:
        """Drop reservations without a sign of their entry."""
        if now - self._lapsed_at < _LAPSE_EVERY:
            return []
        self._lapsed_at = now
        lapsed = [
            stream
            for stream, reservation in self._reservations.items()
            if now - reservation.seen_at > CONFIRM_WITHIN
        ]
        for stream in lapsed:
            self._drop(stream, now)
        return lapsed

    def forget_entry(self, entry: ids.MemberId, now: float) -> None:
        """Free everything of an entry that is gone."""
        for stream, reservation in list(self._reservations.items()):
            if reservation.entry == entry:
                self._drop(stream, now)
        for job in self._queue.items():
            if job.request.entry == entry:
                self._queue.remove(job.stream)

    # Parts of the above.

    def _job(
        self, request: messages.PlaceRequest, share: float, now: float
    ) -> Job:
        tokens = request.prompt_tokens
        cost = self._waits.cost(tokens)
        after = self._waits.after_prefill(tokens)
        start_by = now + request.patience - cost - after
        promised = self._promises.redeem(request.ticket, now)
        if promised:
            share = _PROMISED_SHARE
        return Job(request, share, cost, start_by, now, promised)

    def _refusal(self, job: Job, now: float) -> errors.Reason | None:
        if len(self._queue) >= LONGEST_QUEUE:
            return errors.QUEUE_FULL
        if not any(pairing.may_take(e) for e in self._pools.prefills):
            return errors.NO_ENGINE
        if not any(pairing.may_take(e) for e in self._pools.decodes):
            return errors.NO_ENGINE
        if now + self._expected_wait(job, now) > job.start_by:
            return errors.NO_TIME
        return None

    def _expected_wait(self, job: Job, now: float) -> float:
        """Return the predicted seconds until a request's prefill starts.

        Promised work counts if it is due before the request would start
        without it.
        """
        if job.promised:
            return self._wait_behind(job, 0.0, now)
        ahead = self._queue.ahead(job)
        wait = self._wait_behind(job, ahead, now)
        owed = self._promises.owed(now + wait, job.urgency, now)
        return self._wait_behind(job, ahead + owed, now) if owed else wait

    def _wait_behind(self, job: Job, ahead: float, now: float) -> float:
        return self._waits.expected(
            job.cost,
            ahead,
            len(self._queue) + len(self._promises),
            self._service.waste_weight,
            now,
        )

    def _choose(self, job: Job, now: float) -> pairing.Choice:
        request = job.request
        need = pairing.Need(
            prompt_tokens=request.prompt_tokens,
            blocks=len(request.blocks),
            hits=self._index.hits(request.blocks, now),
            data_centre=request.data_centre,
            avoid=frozenset(request.avoid),
            allowed=self._allowed.get(request.site, frozenset()),
            waste_weight=self._service.waste_weight,
        )
        choice = pairing.choose(
            need,
            self._pools.prefills,
            self._pools.decodes,
            now,
            LOOKAHEAD,
            self._random,
        )
        if job.urgency is messages.Urgency.URGENT or choice.pair is None:
            return choice
        if self._leaves_headroom(choice.pair, now):
            return choice
        return pairing.Choice(None, wait_until=now + _RECHECK)

    def _leaves_headroom(self, pair: pairing.Pair, now: float) -> bool:
        """Return whether urgent requests still find engines in time."""
        if self._headroom.is_overdue(now):
            return True
        places = sum(
            decode.places - decode.reserved
            for decode in self._pools.working_decodes()
        )
        if places - 1 < self._headroom.places(now):
            return False
        waits = [
            engine.starts_at(now) - now
            for engine in self._pools.working_prefills()
            if engine is not pair.prefill
        ]
        if not waits:
            return True
        waits.append(pair.prefilled_at - now)
        return self._headroom.left(waits, now)

    def _expired(self, now: float) -> list[Decision]:
        """Give up every waiting request that can't start in time."""
        decisions = []
        while self._start_by and self._start_by[0][0] < now:
            _, stream = heapq.heappop(self._start_by)
            job = self._queue.remove(stream)
            if job is not None:
                decisions.append(self._give_up(job, errors.NO_TIME, now))
        return decisions

    def _give_up(
        self, job: Job, reason: errors.Reason, now: float
    ) -> Decision:
        wait = self._expected_wait(job, now)
        ticket = f'{self._random.getrandbits(64):016x}'
        room_in = self._promises.give(
            ticket,
            wait,
            self._waits.release_rate(),
            job.cost,
            job.urgency,
            now,
        )
        retry_after = max(LEAST_RETRY_AFTER, room_in)
        answer = messages.GivenUp(
            stream=job.stream,
            reason=reason.name,
            retry_after=retry_after,
            why=f'wait={wait:.3f} queue={len(self._queue)}',
            ticket=ticket,
        )
        return Decision(job.request, answer)

    def _place(self, job: Job, choice: pairing.Choice, now: float) -> Decision:
        pair = choice.pair
        assert pair is not None
        request = job.request
        stay = self._waits.stay(
            pair.decode, request.output_tokens, pair.arrives_at
        )
        pair.prefill.add(job.stream, pair.cost, now)
        pair.decode.add(job.stream, stay)
        pair.prefill.link.reserve(pair.sent_at, pair.arrives_at, now)
        pair.decode.link.reserve(pair.sent_at, pair.arrives_at, now)
        self._note_trial(pair, job.stream)
        if job.urgency is not messages.Urgency.URGENT:
            self._headroom.let_through(now)
        self._reservations[job.stream] = Reservation(
            stream=job.stream,
            entry=request.entry,
            prefill=pair.prefill.name,
            decode=pair.decode.name,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            blocks=request.blocks,
            stage=messages.Stage.PREFILL,
            placed_at=now,
            seen_at=now,
        )
        answer = messages.Placed(
            stream=job.stream,
            prefill=pair.prefill.name,
            decode=pair.decode.name,
            why=_explain(choice, now - job.arrived_at),
        )
        return Decision(request, answer)

    def _note_trial(self, pair: pairing.Pair, stream: ids.StreamId) -> None:
        if pair.prefill.health.state is health.Health.TRIAL:
            pair.prefill.trial = stream
        if pair.decode.health.state is health.Health.TRIAL:
            pair.decode.trial = stream

    def _prefilled(
        self, reservation: Reservation, news: messages.Progress, now: float
    ) -> None:
        prefill = self._pools.prefill(reservation.prefill)
        if prefill is None:
            return
        prefill.done(reservation.stream, now, news.seconds)
        prefill.health.succeeded(now)
        prefill.trial = None
        self._index.stored(prefill.name, reservation.blocks, now)

    def _free(self, reservation: Reservation, now: float) -> None:
        prefill = self._pools.prefill(reservation.prefill)
        if prefill is not None:
            prefill.drop(reservation.stream, now)
            if prefill.trial == reservation.stream:
                prefill.trial = None
        decode = self._pools.decode(reservation.decode)
        if decode is not None:
            decode.drop(reservation.stream)
            if decode.trial == reservation.stream:
                decode.trial = None

    def _drop(self, stream: ids.StreamId, now: float) -> None:
        self._free(self._reservations.pop(stream), now)

    def _learn(
        self, reservation: Reservation, news: messages.Release, now: float
    ) -> None:
        """Move the averages by an attempt that ended well."""
        decode = self._pools.decode(reservation.decode)
        if decode is None or not news.tokens:
            return
        decode.health.succeeded(now)
        if news.seconds_per_token > 0:
            self._note_pace(decode, news.seconds_per_token)
        held = now - reservation.placed_at
        self._waits.learn(news.tokens, reservation.output_tokens, held)

    def _note_pace(self, decode: engines.DecodeEngine, seconds: float) -> None:
        target = self._service.between_tokens_ms / 1000
        self._pools.note_pace(decode, seconds, target)

    def _adopt(
        self, entry: ids.MemberId, one: messages.Held, now: float
    ) -> None:
        """Reserve for an attempt that another owner placed."""
        prefill = self._pools.prefill(one.prefill)
        decode = self._pools.decode(one.decode)
        if decode is None:
            return
        stay = self._waits.stay(decode, one.output_tokens, now)
        decode.add(one.stream, stay)
        if prefill is not None and one.stage is messages.Stage.PREFILL:
            prefill.add(one.stream, prefill.cost(one.prompt_tokens), now)
        self._reservations[one.stream] = Reservation(
            stream=one.stream,
            entry=entry,
            prefill=one.prefill,
            decode=one.decode,
            prompt_tokens=one.prompt_tokens,
            output_tokens=one.output_tokens,
            blocks=(),
            stage=one.stage,
            placed_at=now,
            seen_at=now,
        )


def _explain(choice: pairing.Choice, waited: float) -> str:
    """Return why a pair won, with the scores of the best losers."""
    pair = choice.pair
    assert pair is not None
    losers = ','.join(
        f'{other.prefill.name}+{other.decode.name}:{other.score:.3f}'
        for other in choice.others[:_EXPLAINED_LOSERS]
    )
    return (
        f'score={pair.score:.3f} waited={waited:.3f} '
        f'cost={pair.cost:.3f} others={losers or "none"}'
    )
