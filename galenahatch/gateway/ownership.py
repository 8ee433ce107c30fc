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

"""Where generations run: asking the owner, and being it.

Every gateway can decide. It asks the owner that it sees; an owner that does
not acknowledge at once is taken for gone, and the next one is asked, in the
end this gateway itself. An owner that was frozen may answer late: what it
placed is released again.
"""

import asyncio
import collections.abc
import dataclasses
import typing

from galenahatch import clock
from galenahatch.core import dispatch
from galenahatch.core import figures
from galenahatch.core import generations
from galenahatch.core import memory
from galenahatch import errors
from galenahatch.gateway import directory as directories
from galenahatch.gateway import mesh as meshes
from galenahatch.gateway import messages
from galenahatch.gateway import sender as senders
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import engines
from galenahatch import tasks

ACK_WITHIN: typing.Final = 0.12
"""Seconds for the owner's first word. Round trips take some ms; a frozen or
cut owner costs a request this much and not its objective."""
_LOOK_AGAIN: typing.Final = 0.25
_REPORT_EVERY: typing.Final = 1.0
"""Seconds between two readings of an engine's report, which is itself up to
a second old and is paid for."""
_REPORT_TIMEOUT: typing.Final = 0.5
_log = logs.Log('owner')

Found = messages.PlacedAt | messages.GivenUp
Word = (
    messages.Queued | messages.PlacedAt | messages.GivenUp | messages.Declined
)
Reply = collections.abc.Callable[[Word], None]


@dataclasses.dataclass
class Wish:
    """A generation that wants engines; moments are monotonic seconds."""

    stream: ids.StreamId
    service: ids.ServiceName
    prompt: int
    hint: int
    most: int
    start_by: float
    leaves_at: float
    deadline: float
    subject: str
    avoid: tuple[ids.UpstreamId, ...] = ()
    going_on: bool = False
    is_read: bool = False


class Ownership:
    """Both sides of the talk between gateways and the owner.

    Args:
        directory: upstreams and services.
        data_centre: of this VM.
        sender: for the reports of engines.
        background: where its tasks run.
    """

    def __init__(
        self,
        directory: directories.Directory,
        data_centre: ids.DataCentre,
        sender: senders.Sender,
        background: tasks.Tasks,
    ) -> None:
        self._directory = directory
        self._data_centre = data_centre
        self._sender = sender
        self._tasks = background
        self._mesh: meshes.Mesh | None = None
        self._dispatchers: dict[ids.ServiceName, dispatch.Dispatcher] = {}
        self._replies: dict[ids.StreamId, Reply] = {}
        self._asked: dict[ids.StreamId, asyncio.Queue[Word]] = {}
        self._held: dict[ids.StreamId, tuple[messages.Held, float]] = {}
        self._placed_by: dict[ids.StreamId, ids.MemberId] = {}
        self._due = asyncio.Event()
        directory.on_change(self._replan)

    def run(self, mesh: meshes.Mesh) -> None:
        """Start to decide and to ask."""
        self._mesh = mesh
        mesh.held = self._held_now
        mesh.figures = self._figures
        self._tasks.keep('decide', self._decide_forever)
        self._tasks.keep('reports', self._read_reports)

    @property
    def dispatchers(
        self,
    ) -> typing.Mapping[ids.ServiceName, dispatch.Dispatcher]:
        """What this gateway knows of each service, as an owner."""
        return self._dispatchers

    @property
    def waiting(self) -> int:
        """Requests that wait here for engines."""
        return sum(d.waiting for d in self._dispatchers.values())

    # The side of the gateway that serves a caller.

    async def place(self, wish: Wish) -> Found:
        """Return the engines of a generation, or when to come back."""
        assert self._mesh is not None
        words: asyncio.Queue[Word] = asyncio.Queue()
        self._asked[wish.stream] = words
        try:
            while True:
                owner = self._mesh.owner()
                self._submit(owner, wish)
                word = await self._first_word(owner, words)
                if isinstance(word, messages.Queued):
                    word = await self._last_word(owner, words)
                if isinstance(word, Found):
                    if isinstance(word, messages.PlacedAt):
                        self._placed_by[wish.stream] = owner
                    return word
                self._tell(owner, messages.Withdraw(wish.stream))
        except asyncio.CancelledError:
            self._tell(self._mesh.owner(), messages.Withdraw(wish.stream))
            raise
        finally:
            del self._asked[wish.stream]

    def _submit(self, owner: ids.MemberId, wish: Wish) -> None:
        assert self._mesh is not None
        now = clock.now()
        message = messages.Place(
            stream=wish.stream,
            member=self._mesh.me,
            service=wish.service,
            prompt=wish.prompt,
            hint=wish.hint,
            most=wish.most,
            start_within=wish.start_by - now,
            end_within=wish.deadline - now,
            subject=wish.subject,
            data_centre=self._data_centre,
            avoid=wish.avoid,
            going_on=wish.going_on,
            is_read=wish.is_read,
            leave_within=wish.leaves_at - now,
        )
        self._tell(owner, message)

    async def _first_word(
        self, owner: ids.MemberId, words: 'asyncio.Queue[Word]'
    ) -> Word | None:
        assert self._mesh is not None
        try:
            async with asyncio.timeout(ACK_WITHIN):
                return await words.get()
        except asyncio.TimeoutError:
            self._mesh.suspect(owner)
            return None

    async def _last_word(
        self, owner: ids.MemberId, words: 'asyncio.Queue[Word]'
    ) -> Word | None:
        assert self._mesh is not None
        while True:
            try:
                async with asyncio.timeout(_LOOK_AGAIN):
                    word = await words.get()
            except asyncio.TimeoutError:
                if not self._mesh.is_live(owner):
                    return None
                continue
            if not isinstance(word, messages.Queued):
                return word

    def hold(self, held: messages.Held) -> None:
        """Note a generation that was sent to its decode engine."""
        self._held[held.stream] = (held, -1.0)

    def prefilled(
        self,
        stream: ids.StreamId,
        service: ids.ServiceName,
        tokens: int,
        seconds: float,
    ) -> None:
        """Tell that a prompt was read."""
        owner = self._placed_by.get(stream)
        if owner is not None:
            message = messages.Prefilled(stream, service, tokens, seconds)
            self._tell(owner, message)

    def started(self, stream: ids.StreamId) -> None:
        """Tell of the first event of a stream."""
        found = self._held.get(stream)
        owner = self._placed_by.get(stream)
        if found is None or owner is None:
            return
        self._held[stream] = (found[0], clock.now())
        self._tell(owner, messages.Started(stream, found[0].service))

    def release(self, release: messages.Release) -> None:
        """Tell that a generation has ended at its engines."""
        self._held.pop(release.stream, None)
        owner = self._placed_by.pop(release.stream, None)
        if owner is not None:
            self._tell(owner, release)

    def _held_now(self) -> tuple[messages.Held, ...]:
        now = clock.now()
        return tuple(
            messages.Held(
                held.stream,
                held.service,
                held.decode,
                held.prompt,
                held.output,
                held.most,
                now - since if since >= 0 else -1.0,
            )
            for held, since in self._held.values()
        )

    def _tell(self, owner: ids.MemberId, message: messages.AnyMessage) -> None:
        assert self._mesh is not None
        if owner == self._mesh.me:
            self.take(owner, message)
        else:
            self._mesh.send(owner, message)

    # The side of the owner.

    def take(self, member: ids.MemberId, message: messages.AnyMessage) -> None:
        """Take a message of a gateway, this one included."""
        now = clock.now()
        if isinstance(message, messages.Place):
            self._take_place(member, message, now)
        elif isinstance(message, messages.Beat):
            self._take_held(message, now)
        elif isinstance(message, messages.BeatBack):
            self._adopt(message)
        elif isinstance(message, Word):
            self._take_word(member, message)
        elif isinstance(message, messages.Withdraw):
            self._replies.pop(message.stream, None)
            for dispatcher in self._dispatchers.values():
                dispatcher.withdraw(message.stream)
                dispatcher.release(message.stream, 0, 0.0, now)
        elif isinstance(
            message,
            messages.Prefilled | messages.Started | messages.Release,
        ):
            self._take_progress(message, now)
        self._due.set()

    def _figures(self) -> tuple[messages.Figures, ...]:
        return tuple(
            messages.Figures(service, *dispatcher.measured)
            for service, dispatcher in self._dispatchers.items()
        )

    def _adopt(self, back: messages.BeatBack) -> None:
        for told in back.figures:
            dispatcher = self._dispatcher(told.service)
            if dispatcher is not None:
                dispatcher.adopt(
                    figures.Figures(
                        told.rate,
                        told.prompt,
                        told.output,
                        told.pace,
                        told.seen,
                    )
                )

    def decline_all(self) -> None:
        """Send everything that waits here to the next owner."""
        for stream, reply in list(self._replies.items()):
            reply(messages.Declined(stream))
            for dispatcher in self._dispatchers.values():
                dispatcher.withdraw(stream)
        self._replies.clear()

    def _take_place(
        self, member: ids.MemberId, place: messages.Place, now: float
    ) -> None:
        reply = self._reply_to(member)
        dispatcher = self._dispatcher(place.service)
        if dispatcher is None:
            reply(messages.GivenUp(place.stream, 1.0, 'no_service'))
            return
        job = generations.Job(
            stream=place.stream,
            entry=member,
            prompt=place.prompt,
            hint=place.hint,
            most=place.most,
            arrived_at=now,
            start_by=now + place.start_within,
            leaves_at=now + place.leave_within,
            deadline=now + place.end_within,
            subject=place.subject,
            data_centre=place.data_centre,
            avoid=frozenset(place.avoid),
            going_on=place.going_on,
            is_read=place.is_read,
        )
        self._replies[place.stream] = reply
        decision = dispatcher.submit(job, now)
        if decision is not None:
            self._announce(decision)
            return
        for decision in dispatcher.decide(now):
            self._announce(decision)
        if place.stream in self._replies:
            reply(messages.Queued(place.stream))

    def _reply_to(self, member: ids.MemberId) -> Reply:
        assert self._mesh is not None
        mesh = self._mesh
        if member == mesh.me:
            return lambda word: self._take_word(member, word)
        return lambda word: mesh.reply(member, word)

    def _take_word(self, member: ids.MemberId, word: Word) -> None:
        words = self._asked.get(word.stream)
        if words is not None:
            words.put_nowait(word)
        elif isinstance(word, messages.PlacedAt):
            if self._placed_by.get(word.stream) != member:
                self._tell(member, messages.Withdraw(word.stream))

    def _take_held(self, beat: messages.Beat, now: float) -> None:
        by_service: dict[
            ids.ServiceName, list[tuple[ids.UpstreamId, memory.Run]]
        ] = {name: [] for name in self._dispatchers}
        for held in beat.held:
            starts_at = now - held.since if held.since >= 0 else now
            run = memory.Run(
                held.stream,
                beat.member,
                held.prompt,
                held.output,
                held.most,
                starts_at,
            )
            if self._dispatcher(held.service) is not None:
                runs = by_service.setdefault(held.service, [])
                runs.append((held.decode, run))
        for service, runs in by_service.items():
            self._dispatchers[service].rebuild(beat.member, runs, now)

    def _take_progress(
        self,
        message: messages.Prefilled | messages.Started | messages.Release,
        now: float,
    ) -> None:
        dispatcher = self._dispatcher(message.service)
        if dispatcher is None:
            return
        if isinstance(message, messages.Prefilled):
            dispatcher.prefilled(
                message.stream, message.tokens, message.seconds, now
            )
        elif isinstance(message, messages.Started):
            dispatcher.started(message.stream, now)
        else:
            dispatcher.release(
                message.stream, message.tokens, message.seconds, now
            )
            for engine in message.failed:
                dispatcher.engines.failed(engine, now)
            if message.fetched:
                dispatcher.engines.fetched(message.fetched)

    def _dispatcher(
        self, service: ids.ServiceName
    ) -> dispatch.Dispatcher | None:
        found = self._dispatchers.get(service)
        if found is None:
            known = self._directory.service(service)
            if known is None or known.engine is None:
                return None
            found = dispatch.Dispatcher(
                known.engine.kv_tokens, known.engine.slots
            )
            self._dispatchers[service] = found
            self._set_engines(service, found)
        return found

    def _replan(self) -> None:
        config = self._directory.config
        for name in config.services if config is not None else ():
            self._dispatcher(name)
        for service, dispatcher in self._dispatchers.items():
            self._set_engines(service, dispatcher)
        self._due.set()

    def _set_engines(
        self, service: ids.ServiceName, dispatcher: dispatch.Dispatcher
    ) -> None:
        registry = self._directory.registry
        now = clock.now()
        leaving = {
            key for key, upstream in registry.known.items() if upstream.leaving
        }
        dispatcher.set_engines(registry.usable(service, now), leaving, now)

    async def _decide_forever(self) -> None:
        while True:
            now = clock.now()
            looks = []
            for dispatcher in self._dispatchers.values():
                for decision in dispatcher.decide(now):
                    self._announce(decision)
                look = dispatcher.next_look(now)
                if look is not None:
                    looks.append(look - now)
            self._due.clear()
            try:
                async with asyncio.timeout(min(looks, default=1.0)):
                    await self._due.wait()
            except asyncio.TimeoutError:
                self._replan_lapsed()

    def _replan_lapsed(self) -> None:
        now = clock.now()
        for service, dispatcher in self._dispatchers.items():
            dispatcher.lapse(now)
            self._set_engines(service, dispatcher)

    def _announce(self, decision: generations.Decision) -> None:
        job = decision.job
        reply = self._replies.pop(job.stream, None)
        word: Word
        if isinstance(decision, generations.Placed):
            word = messages.PlacedAt(
                job.stream,
                decision.prefill or ids.UpstreamId(''),
                decision.decode,
                decision.why,
                job.output,
            )
            _log.info(
                'Placed.',
                stream=job.stream,
                member=job.entry,
                prefill=decision.prefill or '',
                decode=decision.decode,
                why=decision.why,
            )
        else:
            word = messages.GivenUp(
                job.stream, decision.retry_after, decision.why
            )
            _log.info(
                'Refused.',
                stream=job.stream,
                member=job.entry,
                retry_after=decision.retry_after,
                why=decision.why,
            )
        if reply is not None:
            reply(word)

    async def _read_reports(self) -> None:
        while True:
            await asyncio.sleep(_REPORT_EVERY)
            assert self._mesh is not None
            if self._mesh.owner() != self._mesh.me:
                continue
            for service, dispatcher in list(self._dispatchers.items()):
                await self._read_service(service, dispatcher)
            self._replan()

    async def _read_service(
        self, service: ids.ServiceName, dispatcher: dispatch.Dispatcher
    ) -> None:
        registry = self._directory.registry
        found = registry.usable(service, clock.now())
        replies = await asyncio.gather(
            *(
                self._sender.small(
                    'GET', engine.address, engines.REPORT, _REPORT_TIMEOUT
                )
                for engine in found
            )
        )
        for engine, reply in zip(found, replies, strict=True):
            if isinstance(reply, errors.Failure):
                _log.warning(
                    'No report.', engine=engine.id, detail=reply.detail
                )
                continue
            report = engines.report(reply[1])
            if not isinstance(report, errors.Failure):
                dispatcher.engines.observe(
                    engine.id,
                    report.kv_used,
                    report.stage,
                    report.busy,
                    clock.now(),
                )
