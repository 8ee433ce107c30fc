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

"""The task that owns a scheduler's cells.

It takes messages from its inbox one at a time, lets the cells decide, and
sends the decisions to the entries that asked. Each decision is one log
line. A cell is made for what this scheduler owns, and for any other that
an entry asks it for: two schedulers that disagree on the members only
over-offer an engine for a moment.
"""

import asyncio
import collections.abc
import contextlib
import random
import typing

from galenahatch import clock
from galenahatch.core import cell as cell_module
from galenahatch.core import cells as cells_module
from galenahatch.core import jobs
from galenahatch import distribution
from galenahatch import errors
from galenahatch import ids
from galenahatch import logs
from galenahatch import messages
from galenahatch import metrics
from galenahatch import news as news_module
from galenahatch import states
from galenahatch import trail

_IDLE_LOOK: typing.Final = 0.25
_log = logs.Log('placement')


class Placement:
    """Cells and their inbox.

    Args:
        settings: the configuration in force.
        data_centre: of this scheduler.
        kept: decision lines for `explain`.
        placed: told of each attempt that is placed, before its entry is.
    """

    def __init__(
        self,
        settings: distribution.Distribution,
        data_centre: ids.DataCentre,
        kept: trail.DecisionTrail,
        placed: collections.abc.Callable[[ids.MemberId, messages.Held], None],
    ) -> None:
        self._config = settings
        self._data_centre = data_centre
        self._trail = kept
        self._placed = placed
        self._inbox: asyncio.Queue[news_module.News] = asyncio.Queue()
        self._cells: dict[ids.CellId, cell_module.Cell] = {}
        self._cell_by_stream: dict[ids.StreamId, ids.CellId] = {}
        self._waiters: dict[
            ids.StreamId, collections.abc.Callable[[messages.AnyMessage], None]
        ] = {}
        self._leaving: frozenset[ids.EngineName] = frozenset()
        self._reported_waiting = 0
        # Of the plans; the configuration in force may be ahead of them.
        self._revision = ids.Revision(0)
        # Requests of entries that are ahead of this scheduler's revision.
        self._early: list[news_module.FromEntry] = []
        self._plans: collections.abc.Mapping[
            ids.CellId, cells_module.CellConfig
        ] = {}

    @property
    def waiting(self) -> int:
        """Requests that wait for a place."""
        return sum(cell.queue_length for cell in self._cells.values())

    @property
    def cells(self) -> tuple[cell_module.Cell, ...]:
        """The cells, in no special order."""
        return tuple(self._cells.values())

    def tell(self, news: news_module.News) -> None:
        """Put news into the inbox."""
        self._inbox.put_nowait(news)

    def loads(self) -> tuple[messages.EngineLoad, ...]:
        """Return the engines of all cells."""
        found = []
        for cell in self._cells.values():
            for prefill in cell.prefills:
                found.append(
                    messages.EngineLoad(
                        prefill.name,
                        cell.service.name,
                        _standing(prefill.leaving, prefill.health.state.value),
                        prefill.queued_prompts,
                        prefill.settings.places,
                        0.0,
                    )
                )
            for decode in cell.decodes:
                found.append(
                    messages.EngineLoad(
                        decode.name,
                        cell.service.name,
                        _standing(decode.leaving, decode.health.state.value),
                        decode.reserved,
                        decode.places,
                        decode.seconds_per_token,
                    )
                )
        return tuple(found)

    async def run(self) -> None:
        """Work through the inbox until cancelled."""
        while True:
            timeout = self._next_look()
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout(timeout):
                    self._take(await self._inbox.get())
            while not self._inbox.empty():
                self._take(self._inbox.get_nowait())
            self._decide()

    def _next_look(self) -> float:
        now = clock.now()
        looks = [cell.next_decision_at(now) for cell in self._cells.values()]
        times = [look - now for look in looks if look is not None]
        return max(0.001, min(times, default=_IDLE_LOOK))

    def _take(self, news: news_module.News) -> None:
        if isinstance(news, news_module.FromEntry):
            self._take_message(news)
        elif isinstance(news, news_module.EngineReport):
            self._take_report(news)
        elif isinstance(news, news_module.EntryGone):
            self._forget_entry(news.entry)
        else:
            self._refresh(news)

    def _take_message(self, news: news_module.FromEntry) -> None:
        message = news.message
        now = clock.now()
        if isinstance(message, messages.PlaceRequest):
            self._submit(message, news.send, now)
        elif isinstance(message, messages.Progress):
            cell = self._cell_with(message.stream)
            if cell is not None:
                cell.record_progress(message, now)
        elif isinstance(message, messages.Release):
            self._release(message, now)
        elif isinstance(message, messages.HeldReport):
            self._rebuild(message, now)

    def _submit(
        self,
        request: messages.PlaceRequest,
        send: collections.abc.Callable[[messages.AnyMessage], None],
        now: float,
    ) -> None:
        known = self._cell_with(request.stream)
        if known is not None:
            self._repeat(known, request, send)
            return
        cell_id, cell = self._cell_for(request)
        if cell_id is None or cell is None:
            if request.revision > self._revision:
                self._early.append(news_module.FromEntry(request, send))
                return
            reason = errors.UNKNOWN_MODEL.name
            send(messages.GivenUp(request.stream, reason, 1.0, 'no cell'))
            return
        share, refused = self._share(cell, request)
        if refused is not None:
            reason = refused.name
            send(messages.GivenUp(request.stream, reason, 1.0, 'share'))
            return
        self._cell_by_stream[request.stream] = cell_id
        self._waiters[request.stream] = send
        decision = cell.submit(request, share, now)
        if decision is not None:
            self._announce(decision)

    def _repeat(
        self,
        cell: cell_module.Cell,
        request: messages.PlaceRequest,
        send: collections.abc.Callable[[messages.AnyMessage], None],
    ) -> None:
        """Answer a request that was sent again."""
        reservation = cell.active_reservations.get(request.stream)
        if reservation is None:
            self._waiters[request.stream] = send
            return
        send(
            messages.Placed(
                request.stream,
                reservation.prefill,
                reservation.decode,
                'repeated',
            )
        )

    def _share(
        self, cell: cell_module.Cell, request: messages.PlaceRequest
    ) -> tuple[float, errors.Reason | None]:
        """Return a caller's weight, or why it may not wait."""
        settings = self._config.sites.get(request.site)
        caller = settings.caller(request.caller) if settings else None
        if caller is None:
            return 1.0, None
        if cell.queue_length_of(caller.name) >= caller.max_waiting:
            return caller.share, errors.SHARE_USED
        return caller.share, None

    def _release(self, release: messages.Release, now: float) -> None:
        cell = self._cell_with(release.stream)
        self._cell_by_stream.pop(release.stream, None)
        self._waiters.pop(release.stream, None)
        request = request_of(release.stream)
        self._trail.add(request, f'released {release.note}')
        if cell is not None:
            before = release.stream in cell.active_reservations
            cell.release(release, now)
            if before:
                metrics.places_reserved.add(-1)

    def _rebuild(self, report: messages.HeldReport, now: float) -> None:
        by_cell: dict[ids.CellId, list[messages.Held]] = {}
        for held in report.held:
            if held.cell not in self._cells and held.cell in self._plans:
                self._make_cell(self._plans[held.cell])
            self._cell_by_stream.setdefault(held.stream, held.cell)
            by_cell.setdefault(held.cell, []).append(held)
        for cell_id, cell in self._cells.items():
            held_here = tuple(by_cell.get(cell_id, ()))
            part = messages.HeldReport(
                report.entry, report.incarnation, held_here
            )
            cell.reconcile(part, now)

    def _take_report(self, news: news_module.EngineReport) -> None:
        now = clock.now()
        load = news.load
        for cell in self._cells.values():
            if not cell.has_engine(news.engine):
                continue
            cell.record_token_interval(
                news.engine, load.seconds_per_token, now
            )
            for event in load.events:
                if not cell.prefix_index.accept_event(
                    news.engine, load.incarnation, event.number, now
                ):
                    continue
                if event.evicted:
                    cell.prefix_index.remove_prefixes(
                        news.engine, event.blocks
                    )
                else:
                    cell.prefix_index.add_prefixes(
                        news.engine, event.blocks, now
                    )

    def _forget_entry(self, entry: ids.MemberId) -> None:
        for cell in self._cells.values():
            cell.remove_entry(entry, clock.now())

    def _refresh(self, news: news_module.Refresh) -> None:
        self._leaving = news.leaving
        self._plans = news.plans
        self._revision = news.revision
        early, self._early = self._early, []
        for waiting in early:
            self._inbox.put_nowait(waiting)
        for cell_id in news.owned:
            self._make_cell(news.plans[cell_id])
        for cell_id, cell in list(self._cells.items()):
            if cell_id not in news.owned:
                cell.expect_no_load_reports()
            found = news.plans.get(cell_id)
            if found is not None:
                cell.configure(
                    found.service, found.engines, found.allowed_by_site
                )
                cell.set_leaving(self._leaving)
            elif not cell.queue_length and not cell.active_reservations:
                del self._cells[cell_id]

    def _make_cell(self, plan: cells_module.CellConfig) -> cell_module.Cell:
        cell = self._cells.get(plan.cell)
        if cell is None:
            source = random.Random(clock.random_incarnation())
            cell = cell_module.Cell(plan.service, source)
            self._cells[plan.cell] = cell
        cell.configure(plan.service, plan.engines, plan.allowed_by_site)
        cell.set_leaving(self._leaving)
        return cell

    def _cell_for(
        self, request: messages.PlaceRequest
    ) -> tuple[ids.CellId | None, cell_module.Cell | None]:
        region = self._config.region_of(self._data_centre)
        if region is None:
            return None, None
        cell_id = cells_module.cell_of_request(
            self._plans.keys(),
            request.service,
            region,
            request.blocks,
            request.request,
        )
        if cell_id is None:
            return None, None
        return cell_id, self._cells.get(cell_id) or self._make_cell(
            self._plans[cell_id]
        )

    def _cell_with(self, stream: ids.StreamId) -> cell_module.Cell | None:
        cell_id = self._cell_by_stream.get(stream)
        return self._cells.get(cell_id) if cell_id else None

    def _decide(self) -> None:
        now = clock.now()
        for cell in self._cells.values():
            for stream in cell.expire(now):
                self._cell_by_stream.pop(stream, None)
                metrics.places_reserved.add(-1)
                _log.warning('Reservation lapsed.', stream=stream)
            for decision in cell.decide(now):
                self._announce(decision)
        metrics.waiting.add(self.waiting - self._reported_waiting)
        self._reported_waiting = self.waiting

    def _announce(self, decision: jobs.Decision) -> None:
        """Send a decision to its entry, log it, and keep it."""
        answer = decision.answer
        request = decision.request
        send = self._waiters.pop(answer.stream, None)
        if isinstance(answer, messages.Placed):
            line = f'placed {answer.prefill}+{answer.decode} {answer.why}'
            metrics.places_reserved.add(1)
            metrics.link_reserved.add(answer.transfer)
            self._placed(request.entry, self._held(request, answer))
            _log.info(
                'Request placed.',
                request=request.request,
                stream=answer.stream,
                prefill=answer.prefill,
                decode=answer.decode,
                why=answer.why,
            )
        else:
            line = f'given up {answer.reason} {answer.why}'
            self._cell_by_stream.pop(answer.stream, None)
            metrics.given_up.add(1, {'reason': answer.reason})
            _log.info(
                'Request given up.',
                request=request.request,
                stream=answer.stream,
                reason=answer.reason,
                retry_after=answer.retry_after,
                why=answer.why,
            )
        self._trail.add(request.request, line)
        if send is not None:
            send(answer)

    def _held(
        self, request: messages.PlaceRequest, placed: messages.Placed
    ) -> messages.Held:
        return messages.Held(
            stream=placed.stream,
            cell=self._cell_by_stream[placed.stream],
            service=request.service,
            prefill=placed.prefill,
            decode=placed.decode,
            stage=states.Stage.PREFILL,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
        )


def request_of(stream: ids.StreamId) -> ids.RequestId:
    """Return the request that an attempt belongs to."""
    return ids.RequestId(stream.rpartition('.')[0])


def _standing(leaving: bool, health: str) -> str:
    return states.Standing.LEAVING.value if leaving else health
