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

"""Task that owns a scheduler's cells.

It handles events from its inbox one at a time, lets the cells decide, and
sends the decisions to the requesting entries. Each decision is one log line.
Cells are created for those this scheduler owns and for any other that an entry
requests: two schedulers that disagree on the membership can only overcommit
an engine for a short time.
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
from galenahatch import placementevents
from galenahatch import states
from galenahatch import trail

_IDLE_INTERVAL_S: typing.Final = 0.25
_log = logs.Log('placement')


class Placement:
    """Cells and the inbox of their events.

    Args:
        settings: distribution of the configuration.
        data_centre: data centre of this scheduler.
        trail_of_decisions: log of decisions for `explain`.
        on_placed: callback for each placed attempt, before its entry is
            notified.
    """

    def __init__(
        self,
        settings: distribution.Distribution,
        data_centre: ids.DataCentre,
        trail_of_decisions: trail.DecisionTrail,
        on_placed: collections.abc.Callable[
            [ids.MemberId, messages.Held], None
        ],
    ) -> None:
        self._config = settings
        self._data_centre = data_centre
        self._trail = trail_of_decisions
        self._on_placed = on_placed
        self._inbox: asyncio.Queue[placementevents.PlacementEvent] = (
            asyncio.Queue()
        )
        self._cells: dict[ids.CellId, cell_module.Cell] = {}
        self._cell_by_stream: dict[ids.StreamId, ids.CellId] = {}
        self._reply_senders: dict[
            ids.StreamId, collections.abc.Callable[[messages.AnyMessage], None]
        ] = {}
        self._leaving: frozenset[ids.EngineName] = frozenset()
        self._reported_waiting = 0
        # Revision of the cells; the active configuration may be newer.
        self._revision = ids.Revision(0)
        # Requests of entries with a newer revision than this scheduler's.
        self._deferred: list[placementevents.EntryMessage] = []
        self._cell_configs: collections.abc.Mapping[
            ids.CellId, cells_module.CellConfig
        ] = {}

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return sum(cell.queue_length for cell in self._cells.values())

    @property
    def cells(self) -> tuple[cell_module.Cell, ...]:
        """The cells, in no particular order."""
        return tuple(self._cells.values())

    def put(self, event: placementevents.PlacementEvent) -> None:
        """Queue an event."""
        self._inbox.put_nowait(event)

    def engine_loads(self) -> tuple[messages.EngineLoad, ...]:
        """Return the load of the engines of all cells."""
        loads = []
        for cell in self._cells.values():
            for prefill in cell.prefills:
                loads.append(
                    messages.EngineLoad(
                        prefill.name,
                        cell.service.name,
                        _engine_status(
                            prefill.leaving, prefill.health.state.value
                        ),
                        prefill.queued_prompts,
                        prefill.settings.places,
                        0.0,
                    )
                )
            for decode in cell.decodes:
                loads.append(
                    messages.EngineLoad(
                        decode.name,
                        cell.service.name,
                        _engine_status(
                            decode.leaving, decode.health.state.value
                        ),
                        decode.reserved,
                        decode.places,
                        decode.seconds_per_token,
                    )
                )
        return tuple(loads)

    async def run(self) -> None:
        """Handle events and decide until cancelled."""
        while True:
            timeout = self._next_timeout()
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout(timeout):
                    self._handle_event(await self._inbox.get())
            while not self._inbox.empty():
                self._handle_event(self._inbox.get_nowait())
            self._decide()

    def _next_timeout(self) -> float:
        now = clock.now()
        decision_times = [
            cell.next_decision_at(now) for cell in self._cells.values()
        ]
        times = [at - now for at in decision_times if at is not None]
        return max(0.001, min(times, default=_IDLE_INTERVAL_S))

    def _handle_event(self, event: placementevents.PlacementEvent) -> None:
        if isinstance(event, placementevents.EntryMessage):
            self._handle_message(event)
        elif isinstance(event, placementevents.EngineReport):
            self._apply_engine_report(event)
        elif isinstance(event, placementevents.EntryGone):
            self._forget_entry(event.entry)
        else:
            self._refresh(event)

    def _handle_message(self, event: placementevents.EntryMessage) -> None:
        message = event.message
        now = clock.now()
        if isinstance(message, messages.PlaceRequest):
            self._submit(message, event.send, now)
        elif isinstance(message, messages.Progress):
            cell = self._cell_of_stream(message.stream)
            if cell is not None:
                cell.record_progress(message, now)
        elif isinstance(message, messages.Release):
            self._release(message, now)
        elif isinstance(message, messages.HeldReport):
            self._reconcile(message, now)

    def _submit(
        self,
        request: messages.PlaceRequest,
        send: collections.abc.Callable[[messages.AnyMessage], None],
        now: float,
    ) -> None:
        existing = self._cell_of_stream(request.stream)
        if existing is not None:
            self._answer_repeated(existing, request, send)
            return
        cell_id, cell = self._cell_for(request)
        if cell_id is None or cell is None:
            if request.revision > self._revision:
                self._deferred.append(
                    placementevents.EntryMessage(request, send)
                )
                return
            reason = errors.UNKNOWN_MODEL.name
            send(messages.GivenUp(request.stream, reason, 1.0, 'no cell'))
            return
        share, refusal = self._caller_share(cell, request)
        if refusal is not None:
            reason = refusal.name
            send(messages.GivenUp(request.stream, reason, 1.0, 'share'))
            return
        self._cell_by_stream[request.stream] = cell_id
        self._reply_senders[request.stream] = send
        decision = cell.submit(request, share, now)
        if decision is not None:
            self._announce(decision)

    def _answer_repeated(
        self,
        cell: cell_module.Cell,
        request: messages.PlaceRequest,
        send: collections.abc.Callable[[messages.AnyMessage], None],
    ) -> None:
        """Answer a request that the entry sent again."""
        reservation = cell.active_reservations.get(request.stream)
        if reservation is None:
            self._reply_senders[request.stream] = send
            return
        send(
            messages.Placed(
                request.stream,
                reservation.prefill,
                reservation.decode,
                'repeated',
            )
        )

    def _caller_share(
        self, cell: cell_module.Cell, request: messages.PlaceRequest
    ) -> tuple[float, errors.Reason | None]:
        """Return a caller's weight and the reason to refuse it, if any."""
        settings = self._config.sites.get(request.site)
        caller = settings.caller(request.caller) if settings else None
        if caller is None:
            return 1.0, None
        if cell.queue_length_of(caller.name) >= caller.max_waiting:
            return caller.share, errors.SHARE_USED
        return caller.share, None

    def _release(self, release: messages.Release, now: float) -> None:
        cell = self._cell_of_stream(release.stream)
        self._cell_by_stream.pop(release.stream, None)
        self._reply_senders.pop(release.stream, None)
        request = request_of(release.stream)
        self._trail.add(request, f'released {release.note}')
        if cell is not None:
            was_reserved = release.stream in cell.active_reservations
            cell.release(release, now)
            if was_reserved:
                metrics.places_reserved.add(-1)

    def _reconcile(self, report: messages.HeldReport, now: float) -> None:
        by_cell: dict[ids.CellId, list[messages.Held]] = {}
        for held in report.owned:
            if (
                held.cell not in self._cells
                and held.cell in self._cell_configs
            ):
                self._ensure_cell(self._cell_configs[held.cell])
            self._cell_by_stream.setdefault(held.stream, held.cell)
            by_cell.setdefault(held.cell, []).append(held)
        for cell_id, cell in self._cells.items():
            held_here = tuple(by_cell.get(cell_id, ()))
            cell_report = messages.HeldReport(
                report.entry, report.incarnation, held_here
            )
            cell.reconcile(cell_report, now)

    def _apply_engine_report(
        self, event: placementevents.EngineReport
    ) -> None:
        now = clock.now()
        load = event.load
        for cell in self._cells.values():
            if not cell.has_engine(event.engine):
                continue
            cell.record_token_interval(
                event.engine, load.seconds_per_token, now
            )
            for cache_event in load.events:
                if not cell.prefix_index.accept_event(
                    event.engine, load.incarnation, cache_event.number, now
                ):
                    continue
                if cache_event.evicted:
                    cell.prefix_index.remove_prefixes(
                        event.engine, cache_event.blocks
                    )
                else:
                    cell.prefix_index.add_prefixes(
                        event.engine, cache_event.blocks, now
                    )

    def _forget_entry(self, entry: ids.MemberId) -> None:
        for cell in self._cells.values():
            cell.remove_entry(entry, clock.now())

    def _refresh(self, event: placementevents.OwnershipUpdate) -> None:
        self._leaving = event.leaving
        self._cell_configs = event.cell_configs
        self._revision = event.revision
        deferred, self._deferred = self._deferred, []
        for deferred_message in deferred:
            self._inbox.put_nowait(deferred_message)
        for cell_id in event.owned:
            self._ensure_cell(event.cell_configs[cell_id])
        for cell_id, cell in list(self._cells.items()):
            if cell_id not in event.owned:
                cell.expect_no_load_reports()
            cell_config = event.cell_configs.get(cell_id)
            if cell_config is not None:
                cell.configure(
                    cell_config.service,
                    cell_config.engines,
                    cell_config.allowed_by_site,
                )
                cell.set_leaving(self._leaving)
            elif not cell.queue_length and not cell.active_reservations:
                del self._cells[cell_id]

    def _ensure_cell(
        self, cell_config: cells_module.CellConfig
    ) -> cell_module.Cell:
        cell = self._cells.get(cell_config.cell)
        if cell is None:
            random_source = random.Random(clock.random_incarnation())
            cell = cell_module.Cell(cell_config.service, random_source)
            self._cells[cell_config.cell] = cell
        cell.configure(
            cell_config.service,
            cell_config.engines,
            cell_config.allowed_by_site,
        )
        cell.set_leaving(self._leaving)
        return cell

    def _cell_for(
        self, request: messages.PlaceRequest
    ) -> tuple[ids.CellId | None, cell_module.Cell | None]:
        region = self._config.region_of(self._data_centre)
        if region is None:
            return None, None
        cell_id = cells_module.cell_of_request(
            self._cell_configs.keys(),
            request.service,
            region,
            request.blocks,
            request.request,
        )
        if cell_id is None:
            return None, None
        return cell_id, self._cells.get(cell_id) or self._ensure_cell(
            self._cell_configs[cell_id]
        )

    def _cell_of_stream(self, stream: ids.StreamId) -> cell_module.Cell | None:
        cell_id = self._cell_by_stream.get(stream)
        return self._cells.get(cell_id) if cell_id else None

    def _decide(self) -> None:
        now = clock.now()
        for cell in self._cells.values():
            for stream in cell.expire(now):
                self._cell_by_stream.pop(stream, None)
                metrics.places_reserved.add(-1)
                _log.warning('Reservation expired.', stream=stream)
            for decision in cell.decide(now):
                self._announce(decision)
        metrics.waiting.add(self.waiting - self._reported_waiting)
        self._reported_waiting = self.waiting

    def _announce(self, decision: jobs.Decision) -> None:
        """Log a decision, add it to the trail, and send it to its entry."""
        answer = decision.answer
        request = decision.request
        send = self._reply_senders.pop(answer.stream, None)
        if isinstance(answer, messages.Placed):
            line = (
                f'placed {answer.prefill}+{answer.decode} {answer.explanation}'
            )
            metrics.places_reserved.add(1)
            metrics.link_reserved.add(answer.transfer)
            self._on_placed(request.entry, self._held_attempt(request, answer))
            _log.info(
                'Request placed.',
                request=request.request,
                stream=answer.stream,
                prefill=answer.prefill,
                decode=answer.decode,
                why=answer.explanation,
            )
        else:
            line = f'given up {answer.reason} {answer.explanation}'
            self._cell_by_stream.pop(answer.stream, None)
            metrics.given_up.add(1, {'reason': answer.reason})
            _log.info(
                'Placement refused.',
                request=request.request,
                stream=answer.stream,
                reason=answer.reason,
                retry_after=answer.retry_after,
                why=answer.explanation,
            )
        self._trail.add(request.request, line)
        if send is not None:
            send(answer)

    def _held_attempt(
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
    """Return the id of the request that an attempt belongs to."""
    return ids.RequestId(stream.rpartition('.')[0])


def _engine_status(leaving: bool, health: str) -> str:
    return states.Standing.LEAVING.value if leaving else health
