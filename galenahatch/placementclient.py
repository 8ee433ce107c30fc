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

"""Placing requests: an entry's side of the talk with the owners of cells.

A request to place is sent again every second until it is answered, to the
owner of that moment; the owner recognises it by its stream. So a lost
message, a restarted owner or a change of owner delays a request and loses
nothing.
"""

import asyncio
import contextlib
import typing

import msgspec

from galenahatch import clock
from galenahatch.core import cells
from galenahatch.core import rendezvous
from galenahatch import distribution
from galenahatch import errors
from galenahatch import ids
from galenahatch import logs
from galenahatch import messages
from galenahatch import peers as peers_module
from galenahatch import states

_AGAIN: typing.Final = 1.0
REPORT_EVERY: typing.Final = 8.0
"""Seconds between complete reports of attempts."""
_NO_SCHEDULER_WAIT: typing.Final = 0.1
_RETRY_AFTER: typing.Final = 2.0
_log = logs.Log('placing')


class PlacementClient:
    """Requests that wait for a place, and attempts in flight.

    Args:
        peers: schedulers.
        settings: configuration in force.
        data_centre: of this entry.
    """

    def __init__(
        self,
        peers: peers_module.Peers,
        settings: distribution.Distribution,
        data_centre: ids.DataCentre,
    ) -> None:
        self._peers = peers
        self._config = settings
        self._data_centre = data_centre
        self._cells: frozenset[ids.CellId] = frozenset()
        self._waiting: dict[
            ids.StreamId,
            asyncio.Future[messages.Placed | messages.GivenUp],
        ] = {}
        self._held: dict[ids.StreamId, messages.Held] = {}
        self._owners: dict[ids.StreamId, ids.MemberId] = {}
        self._watchers: dict[ids.StreamId, ids.MemberId | None] = {}
        # When each scheduler had its last report, and who it was then.
        self._reported: dict[ids.MemberId, tuple[int | None, float]] = {}

    @property
    def held(self) -> int:
        """Attempts in flight."""
        return len(self._held)

    def replan(self) -> None:
        """Take a new configuration."""
        region = self._config.region_of(self._data_centre)
        if region is not None:
            plans = cells.cell_configs(self._config.sites, region)
            self._cells = frozenset(plans)

    async def place(
        self, request: messages.PlaceRequest
    ) -> messages.Placed | errors.Failure:
        """Return the engines for an attempt, or why there are none."""
        until = clock.now() + request.first_token_timeout
        future: asyncio.Future[messages.Placed | messages.GivenUp]
        future = asyncio.get_running_loop().create_future()
        self._waiting[request.stream] = future
        try:
            return await self._ask(request, future, until)
        except asyncio.CancelledError:
            self.release(messages.Release(request.stream, note='withdrawn'))
            raise
        finally:
            self._waiting.pop(request.stream, None)

    async def _ask(
        self,
        request: messages.PlaceRequest,
        future: asyncio.Future[messages.Placed | messages.GivenUp],
        until: float,
    ) -> messages.Placed | errors.Failure:
        while True:
            left = until - clock.now()
            if left <= 0:
                note = messages.Release(request.stream, note='no answer')
                self.release(note)
                return errors.Failure(
                    errors.NO_SCHEDULER, retry_after=_RETRY_AFTER
                )
            owner = self._owner_of_cell(self.cell_of(request))
            if owner is None:
                await asyncio.sleep(min(left, _NO_SCHEDULER_WAIT))
                continue
            self._owners[request.stream] = owner
            fresh = msgspec.structs.replace(request, first_token_timeout=left)
            self._peers.send(owner, fresh)
            # The owner gives up in time; its answer is waited for a little
            # beyond that.
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout(_AGAIN):
                    return self._outcome(await asyncio.shield(future))

    def _outcome(
        self, answer: messages.Placed | messages.GivenUp
    ) -> messages.Placed | errors.Failure:
        if isinstance(answer, messages.Placed):
            return answer
        self._owners.pop(answer.stream, None)
        reason = errors.REASONS.get(answer.reason, errors.NO_ENGINE)
        return errors.Failure(
            reason, answer.explanation, answer.retry_after, answer.ticket
        )

    def answered(self, answer: messages.Placed | messages.GivenUp) -> None:
        """Take an owner's answer."""
        future = self._waiting.get(answer.stream)
        if future is not None and not future.done():
            future.set_result(answer)
        elif answer.stream not in self._held:
            if isinstance(answer, messages.Placed):
                note = messages.Release(answer.stream, note='late answer')
                self._peers.broadcast(note)

    def hold(self, held: messages.Held) -> None:
        """Note an attempt before its work is sent, and tell watchers."""
        self._held[held.stream] = held
        message = messages.Watch(
            self._peers.member, self._peers.incarnation, held
        )
        # The owner knows of the attempt, since it placed it.
        watcher = self._watcher(self._owners.get(held.stream))
        self._watchers[held.stream] = watcher
        if watcher is not None:
            self._peers.send(watcher, message)

    def progress(
        self,
        stream: ids.StreamId,
        stage: states.Stage,
        cached_tokens: int,
        seconds: float,
    ) -> None:
        """Tell the owner how far an attempt is."""
        held = self._held.get(stream)
        if held is None:
            return
        self._held[stream] = msgspec.structs.replace(held, stage=stage)
        owner = self._owners.get(stream)
        if owner is not None:
            news = messages.Progress(
                stream, stage, cached_tokens, held.prompt_tokens, seconds
            )
            self._peers.send(owner, news)

    def release(self, release: messages.Release) -> None:
        """Tell owner and watcher that an attempt holds nothing more."""
        stream = release.stream
        owner = self._owners.pop(stream, None)
        self._held.pop(stream, None)
        if owner is not None:
            self._peers.send(owner, release)
        unwatch = messages.Unwatch(self._peers.member, stream)
        watcher = self._watchers.pop(stream, None)
        if watcher is not None and watcher != owner:
            self._peers.send(watcher, unwatch)

    def report(self) -> None:
        """Tell owners and watchers of all attempts in flight, if due.

        Called with each heartbeat. Single messages tell of each change, so
        a complete report only repairs what was lost: it is sent now and
        then, and at once to a scheduler that is new, restarted, or takes
        attempts over from one that is gone.
        """
        now = clock.now()
        live = set(self._peers.schedulers())
        changed = self._reassign(live)
        for member in live:
            incarnation = self._peers.membership.incarnation_of(member)
            known, at = self._reported.get(member, (None, -REPORT_EVERY))
            due = now - at >= REPORT_EVERY or known != incarnation
            if due or member in changed:
                self._reported[member] = (incarnation, now)
                self._send_report(member)
        for member in self._reported.keys() - live:
            del self._reported[member]

    def _reassign(self, live: set[ids.MemberId]) -> set[ids.MemberId]:
        """Move attempts of schedulers that are gone; return the new ones."""
        changed = set()
        for stream, held in self._held.items():
            if self._owners.get(stream) not in live:
                owner = self._owner_of_cell(held.cell)
                if owner is not None:
                    self._owners[stream] = owner
                    changed.add(owner)
            if self._watchers.get(stream) not in live:
                watcher = self._watcher(self._owners.get(stream))
                self._watchers[stream] = watcher
                if watcher is not None:
                    changed.add(watcher)
        return changed

    def _send_report(self, member: ids.MemberId) -> None:
        held = self._held.values()
        report = messages.HeldReport(
            entry=self._peers.member,
            incarnation=self._peers.incarnation,
            owned=tuple(
                h for h in held if self._owners.get(h.stream) == member
            ),
            watched=tuple(
                h
                for h in held
                if self._watchers.get(h.stream) == member
                and self._owners.get(h.stream) != member
            ),
        )
        self._peers.send(member, report)

    def cell_of(self, request: messages.PlaceRequest) -> ids.CellId | None:
        """Return the cell of a request; None if its service has none."""
        region = self._config.region_of(self._data_centre)
        if region is None:
            return None
        return cells.cell_of_request(
            self._cells,
            request.service,
            region,
            request.blocks,
            request.request,
        )

    def _owner_of_cell(self, cell: ids.CellId | None) -> ids.MemberId | None:
        if cell is None:
            return None
        return rendezvous.winner(cell, self._peers.schedulers())

    def _watcher(self, owner: ids.MemberId | None) -> ids.MemberId | None:
        """Return a second scheduler, if possible not on this VM."""
        ranked = rendezvous.rank(self._peers.member, self._peers.schedulers())
        others = [member for member in ranked if member != owner]
        own = self._peers.member.partition('/')[2].rpartition(':')[0]
        far = [m for m in others if f'/{own}:' not in m]
        return next(iter(far or others), None)
