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

"""The owner's decisions: which engines a generation runs on, and when.

One owner decides for all VMs, so that the memory of each decode engine is
counted once. A request is placed when its decode engine has room for its
whole predicted life and its prefill engine is about to be idle; until then
it waits here, where order and refusal stay possible.

Order: what can still start in time, the returned first, then by the time
until which it can wait; what is late comes after all that. A new request
that could not start in time is refused at once with the time at which there
is room. A request that comes back is never refused for that reason: it
waits, late if need be, since a third try is unlikely.

Times are monotonic seconds, passed in; there is no input or output here.
"""

import collections
import dataclasses
import typing

from galenahatch.core import lengths
from galenahatch.core import memory
from galenahatch.core import stages
from galenahatch.core import upstreams
from galenahatch import ids

MEMORY_SHARE: typing.Final = 0.88
"""Part of an engine's memory that predictions may fill. Preempting a run
costs its prompt again and a pause. With 0.92, 0.86 and 0.80, 52, 20 and 26
runs were preempted in twelve days of the users', and 0.563, 0.573 and 0.553
of the worth was reached."""
LOOKAHEAD: typing.Final = 0.02
"""Seconds of work that a prefill engine may have ahead; the rest waits in
the queue, where it can still be reordered."""
FIRST_RATE: typing.Final = 40_000.0
"""Prompt tokens a second of a prefill engine before any was measured."""
_START_SLACK: typing.Final = 0.15
"""Seconds from the end of a prefill to the first event at the caller:
transfer, first step, network."""
_RATE_UP: typing.Final = 0.3
_RATE_DOWN: typing.Final = 0.02
"""Weights of a prefill that was faster, or slower, than the rate believed.
Waiting at the engine and on the way only ever makes a prefill look slow."""
_TOLD_LIFE: typing.Final = 3.0
"""Seconds for which the stage in an engine's report goes before that in its
entry; reports are read once a second."""
_SIZE_WEIGHT: typing.Final = 0.03
"""Least weight of the newest request in the mean sizes."""
_LEAST_RETRY: typing.Final = 0.3
"""Shortest time after which a refused caller is asked to come back."""
_RETURN_SHARE: typing.Final = 1 / 3
"""Callers heed a time to come back up to this part of what they have left."""
_LEAST_SPARE: typing.Final = 0.3
"""Least part of the engines' rate that is promised to refused callers."""
_RETURN_SPREAD: typing.Final = 0.5
"""Seconds around the promised time in which a caller is expected."""
_ARRIVAL_SPAN: typing.Final = 15.0
"""Seconds over which the usual rate of requests is counted."""
_FREE_FOR_LATE: typing.Final = 0.34
"""Part of the decode engines that must have room for a late request to be
placed: it pays a fifth, and would take the place of one in time."""
_LAST_CALL: typing.Final = 0.4
"""Seconds before its caller leaves at which a late request is placed
wherever there is room."""
_PROMISE_LIFE: typing.Final = 10.0
_SUSPECT_FIRST: typing.Final = 0.5
_SUSPECT_MOST: typing.Final = 4.0
"""Seconds for which an engine that failed is left alone, doubled with each
failure up to the second figure: upstreams that crash are back, or their
entry is gone, within about four seconds."""
_SLOW_READ: typing.Final = 2.0
"""Times that a decode engine takes longer for a prompt."""
_READ_REST: typing.Final = 0.08
"""Seconds between two prompts that a decode engine reads itself, in which
its runs make an event: two prompts within one event's time made pauses of
0.5 to 0.9 s for all of its runs, one made 0.2 s."""
_RECHECK: typing.Final = 0.02
_LEAST_SIZES: typing.Final = 12
"""Requests measured before the division of engines is planned from them."""
_CALM: typing.Final = 3.0
"""Seconds without a refusal before engines change their stage: they are
away for some seconds, which costs most when there are too few."""
_ON_ITS_WAY: typing.Final = 1.0
"""Seconds for which a placed run need not stand in its VM's list: four
beats."""
_LAPSE: typing.Final = 15.0
"""Seconds without a sign of its VM after which a run is forgotten; longer
than the longest stream of the users, shorter than a minute."""


@dataclasses.dataclass(frozen=True)
class Job:
    """A generation that asks for engines.

    Attributes:
        prompt: tokens of the prompt.
        hint: the caller's estimate of the answer's tokens, 0 for none.
        most: bound on the tokens of the answer.
        output: predicted tokens of the answer; set by the dispatcher.
        returned: whether it was refused before, with a time to come back;
            set by the dispatcher.
        is_read: whether a prefill engine holds its result already.
        start_by: until when its first event must have been made.
        leaves_at: when the caller leaves without a first event.
        deadline: until when the whole answer must be there.
        subject: id of the part of the prompt that only this caller sends;
            tells that a request comes back.
        avoid: engines that failed the request already.
        going_on: whether a part of the answer was already passed on.
    """

    stream: ids.StreamId
    entry: ids.MemberId
    prompt: int
    hint: int
    most: int
    arrived_at: float
    start_by: float
    leaves_at: float
    deadline: float
    subject: str
    data_centre: ids.DataCentre
    avoid: frozenset[ids.UpstreamId] = frozenset()
    going_on: bool = False
    is_read: bool = False
    output: int = 0
    returned: bool = False


@dataclasses.dataclass(frozen=True)
class Placed:
    """A request's engines.

    Attributes:
        prefill: None if the decode engine reads the prompt itself.
        why: inputs of the decision, for the log.
    """

    job: Job
    prefill: ids.UpstreamId | None
    decode: ids.UpstreamId
    why: str


@dataclasses.dataclass(frozen=True)
class Refused:
    """A request that is given up at once."""

    job: Job
    retry_after: float
    why: str


Decision = Placed | Refused


class Figures(typing.NamedTuple):
    """What an owner has measured of a service.

    Attributes:
        rate: prompt tokens a second of a prefill engine.
        prompt: mean tokens of a prompt.
        output: mean tokens of an answer.
        pace: seconds for a token.
        seen: requests that were measured.
    """

    rate: float
    prompt: float
    output: float
    pace: float
    seen: int


@dataclasses.dataclass(frozen=True)
class _Told:
    stage: upstreams.Stage | None
    busy: bool
    at: float


@dataclasses.dataclass
class _Health:
    failures: int = 0
    until: float = 0.0

    def failed(self, now: float) -> None:
        self.failures += 1
        wait = _SUSPECT_FIRST * 2 ** (self.failures - 1)
        self.until = now + min(wait, _SUSPECT_MOST)

    def worked(self) -> None:
        self.failures = 0
        self.until = 0.0


class _Prefill:
    """A prefill engine: one line of work."""

    def __init__(self, upstream: upstreams.Upstream) -> None:
        self.upstream = upstream
        self.idle_at = 0.0
        self.health = _Health()


class _Decode:
    """A decode engine."""

    def __init__(
        self, upstream: upstreams.Upstream, capacity: int, slots: int
    ) -> None:
        self.upstream = upstream
        self.memory = memory.EngineMemory(capacity, slots)
        self.health = _Health()
        self.reads_until = -1e9


class Dispatcher:
    """Engines of one service, and requests that wait for them.

    Args:
        capacity: tokens of KV cache of each engine.
        slots: runs at once of each engine.
    """

    def __init__(self, capacity: int, slots: int) -> None:
        self._capacity = capacity
        self._slots = slots
        self._prefills: dict[ids.UpstreamId, _Prefill] = {}
        self._decodes: dict[ids.UpstreamId, _Decode] = {}
        self._queue: dict[ids.StreamId, Job] = {}
        self._where: dict[ids.StreamId, ids.UpstreamId] = {}
        self._seen_at: dict[ids.StreamId, float] = {}
        self._promises: dict[str, float] = {}
        self._hints: dict[ids.StreamId, int] = {}
        self._told: dict[ids.UpstreamId, _Told] = {}
        self._lengths = lengths.Lengths()
        self._planner = stages.Planner()
        self._changing: dict[ids.UpstreamId, float] = {}
        self._targets: dict[ids.UpstreamId, upstreams.Stage] = {}
        self._sizes_seen = 0
        self._first_pace = memory.FIRST_PACE
        self._refused_at = -1e9
        self._arrivals: collections.deque[float] = collections.deque()
        self._rate = FIRST_RATE
        self._mean_prompt = 0.0
        self._mean_output = 0.0

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Runs placed and not ended."""
        return len(self._where)

    # News of engines.

    def set_engines(
        self,
        engines: typing.Iterable[upstreams.Upstream],
        leaving: typing.Container[ids.UpstreamId],
        now: float,
    ) -> None:
        """Take the engines that take work; known ones keep their state.

        Args:
            engines: of the service.
            leaving: engines that have said that they leave.
            now: monotonic seconds.
        """
        current = {
            engine.id: self._as_reported(engine, now) for engine in engines
        }
        self._planner.present(current, leaving, now)
        for busy in [key for key in current if self._is_busy(key, now)]:
            del current[busy]
        for ordered, until in list(self._changing.items()):
            engine = current.get(ordered)
            done = engine is not None and (
                engine.stage is self._targets[ordered]
            )
            if done or until < now:
                del self._changing[ordered]
                del self._targets[ordered]
            else:
                current.pop(ordered, None)
        for table in (self._prefills, self._decodes):
            for gone in [key for key in table if key not in current]:
                del table[gone]
        for engine in current.values():
            self._keep(engine)

    def _as_reported(
        self, engine: upstreams.Upstream, now: float
    ) -> upstreams.Upstream:
        """Return an engine with the stage that it told itself of late.

        Its entry in the store may be older, for as long as the store is
        away.
        """
        told = self._told.get(engine.id)
        if told is None or now - told.at > _TOLD_LIFE:
            return engine
        return dataclasses.replace(engine, stage=told.stage)

    def _is_busy(self, engine: ids.UpstreamId, now: float) -> bool:
        told = self._told.get(engine)
        return told is not None and told.busy and now - told.at < _TOLD_LIFE

    def _keep(self, engine: upstreams.Upstream) -> None:
        if engine.stage is upstreams.Stage.PREFILL:
            self._decodes.pop(engine.id, None)
            self._prefills.setdefault(engine.id, _Prefill(engine))
        else:
            self._prefills.pop(engine.id, None)
            if engine.id not in self._decodes:
                decode = _Decode(engine, self._capacity, self._slots)
                decode.memory.pace = self._first_pace
                self._decodes[engine.id] = decode

    def observe(
        self,
        engine: ids.UpstreamId,
        used: int,
        stage: upstreams.Stage | None,
        busy: bool,
        now: float,
    ) -> None:
        """Take what an engine reports.

        Args:
            engine: that reports.
            used: tokens of memory that can't yield.
            stage: that it is in.
            busy: whether it carries out an order; it takes no work then.
            now: monotonic seconds.
        """
        self._told[engine] = _Told(stage, busy, now)
        decode = self._decodes.get(engine)
        if decode is not None:
            decode.memory.observe(used, now)

    def failed(self, engine: ids.UpstreamId, now: float) -> None:
        """Note that an engine failed a request."""
        found = self._prefills.get(engine) or self._decodes.get(engine)
        if found is not None:
            found.health.failed(now)

    def fetched(self, engine: ids.UpstreamId) -> None:
        """Note that a result of a prefill engine was taken over."""
        found = self._prefills.get(engine)
        if found is not None:
            found.health.worked()

    @property
    def figures(self) -> Figures:
        """What was measured so far."""
        return Figures(
            self._rate,
            self._mean_prompt,
            self._mean_output,
            self._mean_pace(),
            self._sizes_seen,
        )

    def adopt(self, figures: Figures) -> None:
        """Take what another owner has measured, if it has seen more."""
        if figures.seen <= self._sizes_seen:
            return
        self._rate = figures.rate
        self._mean_prompt = figures.prompt
        self._mean_output = figures.output
        self._sizes_seen = figures.seen
        self._first_pace = figures.pace
        for engine in self._decodes.values():
            if not engine.memory.runs:
                engine.memory.pace = figures.pace

    def changes(
        self, now: float
    ) -> list[tuple[upstreams.Upstream, upstreams.Stage]]:
        """Return the engines whose stage should change."""
        if self._sizes_seen < _LEAST_SIZES or self._changing:
            return []
        held = self._mean_prompt + self._mean_output / 2
        life = self._mean_output * self._mean_pace()
        part = max(held / (MEMORY_SHARE * self._capacity), 1 / self._slots)
        work = stages.Work(self._mean_prompt / self._rate, part * life)
        prefills = sorted(
            self._prefills.values(), key=lambda engine: engine.idle_at
        )
        decodes = sorted(
            self._decodes.values(), key=lambda engine: engine.memory.load(now)
        )
        calm = not self._queue and now - self._refused_at > _CALM
        return self._planner.plan(
            work,
            [engine.upstream for engine in prefills],
            [engine.upstream for engine in decodes],
            calm,
            now,
        )

    def changing(
        self, engine: ids.UpstreamId, stage: upstreams.Stage, until: float
    ) -> None:
        """Note that an engine was ordered to change its stage.

        It takes no work until it tells the new stage, or until a moment at
        which the order counts as lost.
        """
        self._changing[engine] = until
        self._targets[engine] = stage
        self._prefills.pop(engine, None)
        self._decodes.pop(engine, None)

    # The life of a request.

    def submit(self, job: Job, now: float) -> Decision | None:
        """Take a request; return a decision if it is refused at once."""
        returned = self._promises.pop(job.subject, None) is not None
        output = self._lengths.predict(job.hint, job.most)
        job = dataclasses.replace(job, output=output, returned=returned)
        self._note_size(job)
        if not returned:
            self._note_arrival(now)
        if job.stream in self._where:
            self._forget(job.stream, now)
        if not self._decodes:
            return self._refuse(job, 'no_engine', now)
        if not job.going_on:
            wait = self._expected_wait(job, now)
            limit = job.leaves_at if returned else job.start_by
            if now + wait > limit:
                why = (
                    f'wait={wait:.3f} queue={len(self._queue)}'
                    f' returned={returned}'
                )
                return self._refuse(job, why, now)
        self._queue[job.stream] = job
        return None

    def withdraw(self, stream: ids.StreamId) -> None:
        """Remove a request that waits: its caller is gone."""
        self._queue.pop(stream, None)

    def decide(self, now: float) -> list[Decision]:
        """Place what can be placed now; give up what can't end in time."""
        decisions: list[Decision] = []
        for job in sorted(self._queue.values(), key=self._order(now)):
            if self._is_hopeless(job, now):
                del self._queue[job.stream]
                decisions.append(self._refuse(job, 'no_time_left', now))
                continue
            if self._is_late(job, now) and self._is_crowded(job, now):
                break
            placed = self._place(job, now)
            if placed is None:
                break
            del self._queue[job.stream]
            decisions.append(placed)
        return decisions

    def next_look(self, now: float) -> float | None:
        """Return when `decide` should be called again; None if idle."""
        return now + _RECHECK if self._queue else None

    def prefilled(
        self, stream: ids.StreamId, tokens: int, seconds: float, now: float
    ) -> None:
        """Note that a prompt was read, and how long it took."""
        self._seen_at[stream] = now
        if tokens > 0 and seconds > 0:
            seen = tokens / seconds
            weight = _RATE_UP if seen > self._rate else _RATE_DOWN
            self._rate += weight * (seen - self._rate)

    def started(self, stream: ids.StreamId, now: float) -> None:
        """Note the first event of a stream."""
        run = self._run(stream)
        self._seen_at[stream] = now
        if run is not None:
            run.starts_at = now

    def release(
        self, stream: ids.StreamId, tokens: int, seconds: float, now: float
    ) -> None:
        """Note the end of a run.

        Args:
            stream: that ended.
            tokens: of the answer; 0 if it broke off.
            seconds: from the first event to the last.
            now: monotonic seconds.
        """
        engine = self._where.get(stream)
        decode = self._decodes.get(engine) if engine is not None else None
        if decode is not None and tokens:
            decode.health.worked()
            decode.memory.learn_pace(tokens, seconds)
            self._lengths.learn(self._hints.get(stream, 0), tokens)
        self._forget(stream, now)
        self._queue.pop(stream, None)

    def rebuild(
        self,
        entry: ids.MemberId,
        held: typing.Iterable[tuple[ids.UpstreamId, memory.Run]],
        now: float,
    ) -> None:
        """Take a VM's complete list of its runs: add, confirm and drop."""
        current = set()
        for engine, run in held:
            current.add(run.stream)
            decode = self._decodes.get(engine)
            if decode is not None and run.stream not in decode.memory.runs:
                self._forget(run.stream, now)
                decode.memory.add(run)
                self._where[run.stream] = engine
            self._seen_at[run.stream] = now
        for stream in list(self._where):
            known = self._run(stream)
            if known is None or known.entry != entry or stream in current:
                continue
            # Younger than the list may be: it was on its way to the VM.
            if now - self._seen_at.get(stream, now) > _ON_ITS_WAY:
                self._forget(stream, now)

    def lapse(self, now: float) -> None:
        """Forget runs whose VM has been silent for long."""
        for stream, seen_at in list(self._seen_at.items()):
            if now - seen_at > _LAPSE:
                self._forget(stream, now)

    # Parts of the above.

    def _order(
        self, now: float
    ) -> typing.Callable[[Job], tuple[bool, int, float]]:
        def key(job: Job) -> tuple[bool, int, float]:
            if job.going_on:
                return False, 0, 0.0
            if self._is_late(job, now):
                return True, 1, job.leaves_at
            return False, 1 if job.returned else 2, job.start_by

        return key

    def _is_late(self, job: Job, now: float) -> bool:
        if job.going_on:
            return False
        return job.start_by < now + self._prefill_time(job)

    def _is_hopeless(self, job: Job, now: float) -> bool:
        if job.deadline < now + self._life(job):
            return True
        return not job.going_on and job.leaves_at < now

    def _is_crowded(self, job: Job, now: float) -> bool:
        """Return whether a late request would take the place of others.

        It is served before its caller leaves, all the same.
        """
        if job.leaves_at < now + self._prefill_time(job) + _LAST_CALL:
            return False
        run = _run_of(job, now + self._prefill_time(job))
        free = sum(
            engine.memory.fits(run, MEMORY_SHARE, now)
            for engine in self._decodes.values()
        )
        return free < 1 + len(self._decodes) * _FREE_FOR_LATE

    def _place(self, job: Job, now: float) -> Placed | None:
        prefill = self._choose_prefill(job, now)
        if job.is_read:
            prefill = None
        if prefill is not None and prefill.idle_at > now + LOOKAHEAD:
            return None
        ready = now + self._prefill_time(job)
        decode = self._choose_decode(job, prefill, ready, now)
        if decode is None:
            return None
        run = _run_of(job, ready)
        decode.memory.add(run)
        if not job.going_on:
            self._hints[job.stream] = job.hint
        self._where[job.stream] = decode.upstream.id
        self._seen_at[job.stream] = now
        reading = job.prompt / self._rate
        if prefill is not None:
            prefill.idle_at = max(now, prefill.idle_at) + reading
        elif not job.is_read:
            decode.reads_until = now + _SLOW_READ * reading + _READ_REST
        why = (
            f'load={decode.memory.load(now):.2f}'
            f' runs={len(decode.memory.runs)} waited='
            f'{now - job.arrived_at:.3f} queue={len(self._queue)}'
        )
        chosen = prefill.upstream.id if prefill is not None else None
        return Placed(job, chosen, decode.upstream.id, why)

    def _choose_prefill(self, job: Job, now: float) -> _Prefill | None:
        """Return the prefill engine that is idle first, the nearest of
        those that are idle."""
        found = [
            engine
            for engine in self._prefills.values()
            if engine.health.until <= now
            and engine.upstream.id not in job.avoid
        ]
        if not found:
            return None

        def key(engine: _Prefill) -> tuple[float, bool]:
            near = engine.upstream.data_centre == job.data_centre
            return max(now, engine.idle_at), not near

        return min(found, key=key)

    def _choose_decode(
        self,
        job: Job,
        prefill: _Prefill | None,
        ready: float,
        now: float,
    ) -> _Decode | None:
        """Return the decode engine with the lowest predicted peak."""
        run = _run_of(job, ready)
        best: _Decode | None = None
        best_score = 0.0
        for engine in self._usable_decodes(job, now):
            if not engine.memory.fits(run, MEMORY_SHARE, now):
                continue
            reads = prefill is None and not job.is_read
            if reads and engine.reads_until > now:
                continue
            score = engine.memory.load(now)
            if prefill is not None:
                here = engine.upstream.data_centre
                score += 0.1 * (here != prefill.upstream.data_centre)
            if best is None or score < best_score:
                best, best_score = engine, score
        return best

    def _usable_decodes(self, job: Job, now: float) -> list[_Decode]:
        usable = [
            engine
            for engine in self._decodes.values()
            if engine.upstream.id not in job.avoid
        ] or list(self._decodes.values())
        well = [e for e in usable if e.health.until <= now]
        return well or usable

    def _refuse(self, job: Job, why: str, now: float) -> Refused:
        """Give a request up, and promise when there is room for it."""
        self._refused_at = now
        rate = self._service_rate()
        spare = max(_LEAST_SPARE * rate, rate - self._arrival_rate(now))
        latest = max(self._promises.values(), default=now)
        spacing = 1 / spare if spare else _LEAST_RETRY
        wait = max(now + _LEAST_RETRY, latest + spacing) - now
        wait = max(wait, self._queue_time())
        longest = max(0.0, job.deadline - now) * _RETURN_SHARE
        wait = min(wait, longest)
        for subject, due in list(self._promises.items()):
            if due + _PROMISE_LIFE < now:
                del self._promises[subject]
        if job.subject:
            self._promises[job.subject] = now + wait
        return Refused(job, wait, why)

    def _expected_wait(self, job: Job, now: float) -> float:
        """Return the predicted seconds until the first event."""
        ahead = [
            other
            for other in self._queue.values()
            if other.start_by >= now or other.going_on
        ]
        owed = sum(
            1
            for due in self._promises.values()
            if now - _RETURN_SPREAD < due < now + _RETURN_SPREAD
        )
        own = self._prefill_time(job)
        if not ahead and self._has_room(job, now):
            return own
        rate = self._service_rate()
        if not rate:
            return own
        reading = sum(other.prompt for other in ahead) / max(
            1.0, self._rate * max(1, len(self._prefills))
        )
        places = (len(ahead) + 1 + owed) / rate
        return own + max(reading, places)

    def _has_room(self, job: Job, now: float) -> bool:
        run = _run_of(job, now + self._prefill_time(job))
        return any(
            engine.memory.fits(run, MEMORY_SHARE, now)
            for engine in self._usable_decodes(job, now)
        )

    def _queue_time(self) -> float:
        rate = self._service_rate()
        return len(self._queue) / rate if rate else 0.0

    def _service_rate(self) -> float:
        """Return the runs a second that the decode engines can end."""
        held = self._mean_prompt + self._mean_output / 2
        if held <= 0:
            return 0.0
        rate = 0.0
        for engine in self._decodes.values():
            at_once = min(
                engine.memory.slots,
                MEMORY_SHARE * engine.memory.capacity / held,
            )
            life = max(0.1, self._mean_output * engine.memory.pace)
            rate += at_once / (life + self._mean_prompt / self._rate)
        return rate

    def _prefill_time(self, job: Job) -> float:
        if job.is_read:
            return _START_SLACK
        return job.prompt / self._rate + _START_SLACK

    def _mean_pace(self) -> float:
        paces = [e.memory.pace for e in self._decodes.values()]
        if not paces:
            return memory.FIRST_PACE
        return sum(paces) / len(paces)

    def _life(self, job: Job) -> float:
        """Return the shortest time that a whole answer may take."""
        paces = [e.memory.pace for e in self._decodes.values()]
        pace = min(paces, default=memory.FIRST_PACE)
        return job.prompt / self._rate + job.output * pace / 2

    def _note_arrival(self, now: float) -> None:
        self._arrivals.append(now)
        while self._arrivals[0] < now - _ARRIVAL_SPAN:
            self._arrivals.popleft()

    def _arrival_rate(self, now: float) -> float:
        if not self._arrivals:
            return 0.0
        span = max(1.0, now - self._arrivals[0])
        return len(self._arrivals) / span

    def _note_size(self, job: Job) -> None:
        self._sizes_seen += 1
        weight = max(_SIZE_WEIGHT, 1 / self._sizes_seen)
        self._mean_prompt += weight * (job.prompt - self._mean_prompt)
        self._mean_output += weight * (job.output - self._mean_output)

    def _run(self, stream: ids.StreamId) -> memory.Run | None:
        engine = self._where.get(stream)
        if engine is None or engine not in self._decodes:
            return None
        return self._decodes[engine].memory.runs.get(stream)

    def _forget(self, stream: ids.StreamId, now: float) -> None:
        self._seen_at.pop(stream, None)
        self._hints.pop(stream, None)
        engine = self._where.pop(stream, None)
        if engine is not None and engine in self._decodes:
            self._decodes[engine].memory.remove(stream, now)


def _run_of(job: Job, starts_at: float) -> memory.Run:
    return memory.Run(
        stream=job.stream,
        entry=job.entry,
        prompt=job.prompt,
        output=job.output,
        most=job.most,
        starts_at=starts_at,
    )
