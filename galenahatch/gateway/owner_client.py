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

"""Where generations run: asking the owner.

Every gateway can decide (`owner`). It asks the owner that it sees; one that
does not acknowledge at once is taken for gone, and the next one is asked,
in the end this gateway itself. An owner that was frozen may answer late:
what it placed is released again.
"""

import asyncio
import collections.abc
import dataclasses
import typing

import msgspec

from galenahatch import clock
from galenahatch.core import ratelimits
from galenahatch.core import retrybudget
from galenahatch.gateway import accounts as accounts_module
from galenahatch.gateway import directory as directories
from galenahatch.gateway import frames
from galenahatch.gateway import mesh as meshes
from galenahatch.gateway import messages
from galenahatch.gateway import owner as owners
from galenahatch.gateway import records
from galenahatch import ids
from galenahatch import tasks
from galenahatch import timeouts

ACK_TIMEOUT_S: typing.Final = 0.12
"""Seconds for the owner's first word. Round trips take some ms; a frozen or
cut owner costs a request this much and not its objective."""
_LOOK_AGAIN: typing.Final = 0.25
"""Seconds between two looks at whether the owner still answers."""
PlacementResult = messages.Placement | messages.PlacementRefused


@dataclasses.dataclass
class PlacementRequest:
    """A generation that wants engines; moments are monotonic seconds.

    Attributes:
        attempt: number of this attempt of the request, from 1.
        extra: sends beyond the first that it will make if it is placed.
        units: of the customer's quota, if they are not granted yet.
    """

    stream: ids.StreamId
    service: ids.ServiceName
    prompt_tokens: int
    estimated_output: int
    max_output: int
    start_by: float
    caller_leaves_at: float
    deadline: float
    last_block_id: str
    avoid: tuple[ids.UpstreamId, ...] = ()
    is_resumed: bool = False
    is_prefilled: bool = False
    longest_pause: float = 0.0
    attempt: int = 1
    extra_sends: int = 0
    is_suspect: bool = False
    customer: ids.CustomerName = ids.CustomerName('')
    quota_units: float = 0.0
    priority: int = 0


@dataclasses.dataclass
class _Running:
    """A generation at its decode engine.

    Attributes:
        made: returns the tokens that the engine has made so far.
        began_at: when its first event came.
    """

    held: messages.RunningGeneration
    made: collections.abc.Callable[[], int]
    began_at: float | None = None


class OwnerClient:
    """This gateway's talk with the owner.

    Args:
        directory: upstreams and services.
        data_centre: of this VM.
        budget: of retries, for what this gateway decides on.
        accounts: of customers, for the same.
        limiter: of upstreams, for the same.
        paused: returns the engines that want nothing from this gateway, and
            the seconds for which they don't.
    """

    def __init__(
        self,
        directory: directories.Directory,
        data_centre: ids.DataCentre,
        budget: retrybudget.OwnerBudget,
        accounts: accounts_module.Accounts,
        limiter: ratelimits.Limiter,
        paused: collections.abc.Callable[[], dict[ids.UpstreamId, float]],
    ) -> None:
        self._paused = paused
        self._data_centre = data_centre
        self._mesh: meshes.Mesh | None = None
        self._asked: dict[ids.StreamId, asyncio.Queue[owners.OwnerReply]] = {}
        self._held: dict[ids.StreamId, _Running] = {}
        self._placed_by: dict[ids.StreamId, ids.MemberId] = {}
        self.owner = owners.Owner(
            directory, budget, accounts, limiter, self._deliver
        )

    def start(self, mesh: meshes.Mesh, background: tasks.Tasks) -> None:
        """Start to decide and to ask."""
        self._mesh = mesh
        mesh.running_generations = self._held_now
        mesh.figures = self.owner.figures
        self.owner.start(background)

    def handle_message(
        self, member: ids.MemberId, message: frames.AnyMessage
    ) -> None:
        """Take a message of another gateway."""
        if isinstance(message, messages.HeartbeatReply):
            self.owner.adopt_figures(message)
        elif isinstance(message, owners.OwnerReply):
            self._take_word(member, message)
        else:
            self.owner.handle_message(member, message)

    def _deliver(self, member: ids.MemberId, word: owners.OwnerReply) -> None:
        """Send a word of this gateway as the owner."""
        assert self._mesh is not None
        if member == self._mesh.me:
            self._take_word(member, word)
        else:
            self._mesh.reply(member, word)

    async def place(self, wish: PlacementRequest) -> PlacementResult:
        """Return the engines of a generation, or when to come back."""
        assert self._mesh is not None
        words: asyncio.Queue[owners.OwnerReply] = asyncio.Queue()
        self._asked[wish.stream] = words
        try:
            while True:
                owner = self._mesh.owner()
                self._submit(owner, wish)
                word = await self._first_word(owner, words)
                if isinstance(word, messages.Queued):
                    word = await self._last_word(owner, words)
                if isinstance(word, PlacementResult):
                    if isinstance(word, messages.Placement):
                        self._placed_by[wish.stream] = owner
                    return word
                self._tell(owner, messages.Withdraw(wish.stream))
        except asyncio.CancelledError:
            self._tell(self._mesh.owner(), messages.Withdraw(wish.stream))
            raise
        finally:
            del self._asked[wish.stream]

    def _submit(self, owner: ids.MemberId, wish: PlacementRequest) -> None:
        assert self._mesh is not None
        now = clock.now()
        message = messages.PlacementRequest(
            stream=wish.stream,
            member=self._mesh.me,
            service=wish.service,
            prompt_tokens=wish.prompt_tokens,
            length_hint=wish.estimated_output,
            max_tokens=wish.max_output,
            first_event_within=wish.start_by - now,
            end_within=wish.deadline - now,
            subject=wish.last_block_id,
            data_centre=self._data_centre,
            avoid=wish.avoid,
            is_continuation=wish.is_resumed,
            is_prefilled=wish.is_prefilled,
            leave_within=wish.caller_leaves_at - now,
            longest_pause=wish.longest_pause,
            attempt=wish.attempt,
            extra_sends=wish.extra_sends,
            is_suspect=wish.is_suspect,
            customer=wish.customer,
            units=wish.quota_units,
            priority=wish.priority,
            pauses=tuple(
                records.Paused(*item) for item in self._paused().items()
            ),
        )
        self._tell(owner, message)

    async def _first_word(
        self, owner: ids.MemberId, words: 'asyncio.Queue[owners.OwnerReply]'
    ) -> owners.OwnerReply | None:
        assert self._mesh is not None
        try:
            async with timeouts.limit(ACK_TIMEOUT_S):
                return await words.get()
        except asyncio.TimeoutError:
            self._mesh.suspect(owner)
            return None

    async def _last_word(
        self, owner: ids.MemberId, words: 'asyncio.Queue[owners.OwnerReply]'
    ) -> owners.OwnerReply | None:
        assert self._mesh is not None
        while True:
            try:
                async with timeouts.limit(_LOOK_AGAIN):
                    word = await words.get()
            except asyncio.TimeoutError:
                if not self._mesh.is_live(owner):
                    return None
                continue
            if not isinstance(word, messages.Queued):
                return word

    def track_running(
        self,
        held: messages.RunningGeneration,
        made: collections.abc.Callable[[], int],
    ) -> None:
        """Note a generation that was sent to its decode engine.

        Args:
            held: the generation.
            made: returns the tokens that the engine has made so far.
        """
        self._held[held.stream] = _Running(held, made)

    def report_prefilled(
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

    def report_started(self, stream: ids.StreamId) -> None:
        """Tell of the first event of a stream."""
        found = self._held.get(stream)
        owner = self._placed_by.get(stream)
        if found is None or owner is None:
            return
        found.began_at = clock.now()
        self._tell(owner, messages.Started(stream, found.held.service))

    def release(self, release: messages.Release) -> None:
        """Tell that a generation has ended at its engines."""
        self._held.pop(release.stream, None)
        owner = self._placed_by.pop(release.stream, None)
        if owner is not None:
            self._tell(owner, release)

    def refund_units(self, customer: ids.CustomerName, units: float) -> None:
        """Tell that a generation which was granted units has not run."""
        assert self._mesh is not None
        message = messages.QuotaRefund(customer, units)
        self._tell(self._mesh.owner(), message)

    def _held_now(self) -> tuple[messages.RunningGeneration, ...]:
        now = clock.now()
        return tuple(
            msgspec.structs.replace(
                running.held,
                first_event_age=now - running.began_at,
                tokens_generated=running.made(),
            )
            if running.began_at is not None
            else running.held
            for running in self._held.values()
        )

    def _tell(self, owner: ids.MemberId, message: frames.AnyMessage) -> None:
        assert self._mesh is not None
        if owner == self._mesh.me:
            self.handle_message(owner, message)
        else:
            self._mesh.send(owner, message)

    def _take_word(
        self, member: ids.MemberId, word: owners.OwnerReply
    ) -> None:
        words = self._asked.get(word.stream)
        if words is not None:
            words.put_nowait(word)
        elif isinstance(word, messages.Placement):
            if self._placed_by.get(word.stream) != member:
                self._tell(member, messages.Withdraw(word.stream))
