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

"""Client of the cells' owners, used by entries to place requests.

A placement request is resent every second until it is answered, each time to
the current owner, which identifies repeats by their stream id. A lost message,
a restarted owner or a change of owner therefore delays a request but does not
lose it.
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

_RESEND_INTERVAL_S: typing.Final = 1.0
REPORT_INTERVAL_S: typing.Final = 8.0
"""Seconds between complete reports of the attempts in flight."""
_NO_SCHEDULER_DELAY_S: typing.Final = 0.1
_RETRY_AFTER_S: typing.Final = 2.0
_log = logs.Log('placing')


class PlacementClient:
    """Pending placement requests and the attempts in flight.

    Args:
        peers: links to the schedulers.
        settings: distribution of the configuration.
        data_centre: data centre of this entry.
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
        self._pending: dict[
            ids.StreamId,
            asyncio.Future[messages.Placed | messages.GivenUp],
        ] = {}
        self._held: dict[ids.StreamId, messages.Held] = {}
        self._owners: dict[ids.StreamId, ids.MemberId] = {}
        self._watchers: dict[ids.StreamId, ids.MemberId | None] = {}
        # Incarnation of each scheduler and time of its last report.
        self._last_reports: dict[ids.MemberId, tuple[int | None, float]] = {}

    @property
    def in_flight(self) -> int:
        """Number of attempts in flight."""
        return len(self._held)

    def apply_configuration(self) -> None:
        """Compute the cells of a new configuration."""
        region = self._config.region_of(self._data_centre)
        if region is not None:
            cell_configs = cells.cell_configs(self._config.sites, region)
            self._cells = frozenset(cell_configs)

    async def place(
        self, request: messages.PlaceRequest
    ) -> messages.Placed | errors.Failure:
        """Request the engines for an attempt; return a failure if refused."""
        give_up_at = clock.now() + request.first_token_timeout
        reply_future: asyncio.Future[messages.Placed | messages.GivenUp]
        reply_future = asyncio.get_running_loop().create_future()
        self._pending[request.stream] = reply_future
        try:
            return await self._send_until_answered(
                request, reply_future, give_up_at
            )
        except asyncio.CancelledError:
            self.release(messages.Release(request.stream, note='withdrawn'))
            raise
        finally:
            self._pending.pop(request.stream, None)

    async def _send_until_answered(
        self,
        request: messages.PlaceRequest,
        reply_future: asyncio.Future[messages.Placed | messages.GivenUp],
        give_up_at: float,
    ) -> messages.Placed | errors.Failure:
        while True:
            remaining = give_up_at - clock.now()
            if remaining <= 0:
                release = messages.Release(request.stream, note='no answer')
                self.release(release)
                return errors.Failure(
                    errors.NO_SCHEDULER, retry_after=_RETRY_AFTER_S
                )
            owner = self._owner_of_cell(self.cell_of(request))
            if owner is None:
                await asyncio.sleep(min(remaining, _NO_SCHEDULER_DELAY_S))
                continue
            self._owners[request.stream] = owner
            resent = msgspec.structs.replace(
                request, first_token_timeout=remaining
            )
            self._peers.send(owner, resent)
            # The owner refuses the request before its timeout; waiting for
            # the whole interval leaves time for the reply to arrive.
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout(_RESEND_INTERVAL_S):
                    return self._apply_reply(
                        await asyncio.shield(reply_future)
                    )

    def _apply_reply(
        self, answer: messages.Placed | messages.GivenUp
    ) -> messages.Placed | errors.Failure:
        if isinstance(answer, messages.Placed):
            return answer
        self._owners.pop(answer.stream, None)
        reason = errors.REASONS.get(answer.reason, errors.NO_ENGINE)
        return errors.Failure(
            reason, answer.explanation, answer.retry_after, answer.ticket
        )

    def handle_reply(self, answer: messages.Placed | messages.GivenUp) -> None:
        """Handle an owner's reply."""
        reply_future = self._pending.get(answer.stream)
        if reply_future is not None and not reply_future.done():
            reply_future.set_result(answer)
        elif answer.stream not in self._held:
            if isinstance(answer, messages.Placed):
                release = messages.Release(answer.stream, note='late answer')
                self._peers.broadcast(release)

    def record_attempt(self, held: messages.Held) -> None:
        """Record an attempt and notify its watcher before work is sent."""
        self._held[held.stream] = held
        message = messages.Watch(
            self._peers.member, self._peers.incarnation, held
        )
        # The owner placed the attempt, so only the watcher is notified.
        watcher = self._choose_watcher(self._owners.get(held.stream))
        self._watchers[held.stream] = watcher
        if watcher is not None:
            self._peers.send(watcher, message)

    def report_progress(
        self,
        stream: ids.StreamId,
        stage: states.Stage,
        cached_tokens: int,
        seconds: float,
    ) -> None:
        """Report to the owner that an attempt entered a stage."""
        held = self._held.get(stream)
        if held is None:
            return
        self._held[stream] = msgspec.structs.replace(held, stage=stage)
        owner = self._owners.get(stream)
        if owner is not None:
            progress = messages.Progress(
                stream, stage, cached_tokens, held.prompt_tokens, seconds
            )
            self._peers.send(owner, progress)

    def release(self, release: messages.Release) -> None:
        """Tell owner and watcher that an attempt holds no resources."""
        stream = release.stream
        owner = self._owners.pop(stream, None)
        self._held.pop(stream, None)
        if owner is not None:
            self._peers.send(owner, release)
        unwatch = messages.Unwatch(self._peers.member, stream)
        watcher = self._watchers.pop(stream, None)
        if watcher is not None and watcher != owner:
            self._peers.send(watcher, unwatch)

    def send_reports(self) -> None:
        """Send complete reports of the attempts in flight that are due.

        Called with each heartbeat. Each change has a message of its own, so a
        complete report only repairs losses. It is sent periodically, and at
        once to a scheduler that is new, restarted, or takes over attempts from
        one that is gone.
        """
        now = clock.now()
        live = set(self._peers.schedulers())
        changed = self._reassign(live)
        for member in live:
            incarnation = self._peers.membership.incarnation_of(member)
            reported_incarnation, reported_at = self._last_reports.get(
                member, (None, -REPORT_INTERVAL_S)
            )
            due = (
                now - reported_at >= REPORT_INTERVAL_S
                or reported_incarnation != incarnation
            )
            if due or member in changed:
                self._last_reports[member] = (incarnation, now)
                self._send_report(member)
        for member in self._last_reports.keys() - live:
            del self._last_reports[member]

    def _reassign(self, live: set[ids.MemberId]) -> set[ids.MemberId]:
        """Reassign attempts of gone schedulers; return the new schedulers."""
        changed = set()
        for stream, held in self._held.items():
            if self._owners.get(stream) not in live:
                owner = self._owner_of_cell(held.cell)
                if owner is not None:
                    self._owners[stream] = owner
                    changed.add(owner)
            if self._watchers.get(stream) not in live:
                watcher = self._choose_watcher(self._owners.get(stream))
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
        """Return the cell of a request; None if there is none."""
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

    def _choose_watcher(
        self, owner: ids.MemberId | None
    ) -> ids.MemberId | None:
        """Return a scheduler besides the owner, preferably on another VM."""
        ranked = rendezvous.rank(self._peers.member, self._peers.schedulers())
        others = [member for member in ranked if member != owner]
        own_address = self._peers.member.partition('/')[2].rpartition(':')[0]
        remote = [m for m in others if f'/{own_address}:' not in m]
        return next(iter(remote or others), None)
