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

"""Asks the owner for the engines of one request to a model service.

Each request to the owner has a stream id of its own, so that a late reply is
not taken for the reply to a later request.

A run or a prefill that is silent is kept while a replacement is sought
(`replacement`): an owner that refuses one, or has no room for it, costs the
request nothing as long as the silent engine may still answer.
"""

import asyncio
import collections.abc
import contextlib
import typing

import msgspec

from galenahatch import clock
from galenahatch.core import fate
from galenahatch.core import placements
from galenahatch.core import prefillwork
from galenahatch.core import routes
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import context as contexts
from galenahatch.gateway import instruments
from galenahatch.gateway import messages
from galenahatch.gateway import placementgrants
from galenahatch.gateway import placementrequests
from galenahatch.gateway import prefill as prefills
from galenahatch.gateway import relay as relays
from galenahatch.gateway import replacement
from galenahatch.gateway import streamaffinity
from galenahatch import ids
from galenahatch import logs

_MIN_SEARCH_INTERVAL_S: typing.Final = 0.3
_MAX_SEARCH_INTERVAL_S: typing.Final = 1.0
_SEARCH_GROWTH: typing.Final = 1.5
"""Limits and growth of the time between two requests for a replacement. Many
streams may fall silent at once, and all of them ask the same owner."""
_log = logs.Log('generation')


class Placer:
    """Asks for the engines of one request.

    Args:
        context: Components that the request handlers share.
        call: Request of the caller.
        route: Its route.
        service: Its service.
        relay: Relay of its stream.
        affinity: Software version of its stream.
        deadline: Time by which it must be answered; monotonic seconds.

    Attributes:
        avoid: Engines that it is not to be placed at.
    """

    def __init__(
        self,
        context: contexts.Context,
        call: calls.Call,
        route: routes.Route,
        service: routes.Service,
        relay: relays.Relay,
        affinity: streamaffinity.StreamAffinity,
        deadline: float,
    ) -> None:
        assert call.prompt is not None and service.engine is not None
        self._context = context
        self._call = call
        self._route = route
        self._service = service.name
        self._event_tokens = service.engine.event_tokens
        self._prompt = call.prompt
        self._relay = relay
        self._affinity = affinity
        self._deadline = deadline
        self._request_count = 0
        self._run_sends = 0
        self._grants: dict[ids.StreamId, placementgrants.Grant] = {}
        self.avoid: list[ids.UpstreamId] = []

    async def place(
        self, prefill: prefills.Prefill, may_have_run: bool
    ) -> messages.Placement | messages.PlacementRefused:
        """Return the engines for the next run, or a refusal.

        A request that may have run can't be refused any more, only fail. So
        its refusals are final only once it has waited for as long as a run may
        be silent: retry budget or an engine may be free again by then.

        Args:
            prefill: Prefill of the request; may have a result.
            may_have_run: Whether an engine may have begun the request.
        """
        patience = placements.MAX_SILENT_PAUSES * self._route.max_event_gap
        give_up_at = min(self._deadline, clock.now() + patience)
        while True:
            decision = await self._ask(self.avoid, prefill)
            if not may_have_run or not placementgrants.may_change(decision):
                return decision
            spread = clock.RANDOM.uniform(1.0, _SEARCH_GROWTH)
            wait = max(decision.retry_after, _MIN_SEARCH_INTERVAL_S * spread)
            if (
                clock.now() + wait > give_up_at
                or self._context.guard.is_blocked(self._call)
            ):
                return decision
            await asyncio.sleep(wait)

    async def _ask(
        self,
        avoid: collections.abc.Iterable[ids.UpstreamId],
        prefill: prefills.Prefill,
    ) -> messages.Placement | messages.PlacementRefused:
        """Ask the owner, and record what it granted."""
        reads, runs = prefill.extra_sends(), int(self._run_sends > 0)
        request = self._request(
            tuple(avoid), bool(prefill.kv_source()), reads + runs
        )
        grant = placementgrants.Grant(prefill, prefill.sends, reads, runs)
        decision = await self._context.owner_client.place(request)
        if isinstance(decision, messages.Placement):
            self._grants[decision.stream] = grant
        return decision

    def begin_run(self, stream: ids.StreamId) -> None:
        """Record that a run may be sent; a further one is a retry."""
        self._count_run(stream, 1)

    def take_back_run(self, stream: ids.StreamId) -> None:
        """Record that the run has not reached its engine after all."""
        self._count_run(stream, -1)

    def _count_run(self, stream: ids.StreamId, count: int) -> None:
        self._run_sends += count
        if (grant := self._grants.get(stream)) is not None:
            grant.run_sends += count

    def release(self, release: messages.Release) -> None:
        """Release the engines of a placement, and give back unsent retries."""
        grant = self._grants.pop(release.stream, None)
        unsent = grant.unsent if grant is not None else 0
        release = msgspec.structs.replace(release, unsent=unsent)
        self._context.owner_client.release(release)

    async def read(
        self,
        placement: messages.Placement,
        prefill: prefills.Prefill,
        silent: tuple[ids.UpstreamId, ...] = (),
    ) -> tuple[prefills.Retry | None, replacement.Replacement | None]:
        """Have a prompt read where the owner placed it.

        A silent prefill goes on until its replacement is certain. Its place
        at the decode engine is kept as well, and the owner is told so.

        Args:
            placement: Engines; the prefill engine may be missing or gone.
            prefill: Prefill to run.
            silent: Engines that the run must not go on at.

        Returns:
            Why it failed or was given up, and its replacement, if any.
        """
        if (engine := self._find(placement.prefill)) is None:
            return None, None
        self._track(placement)
        watch = replacement.Watch(
            prefillwork.longest_seconds(self._prompt.tokens),
            lambda: self._replace_prefill(placement, engine, prefill, silent),
            self.discard,
            self._context.tasks,
        )
        try:
            async with watch:
                with watch.waiting():
                    retry = await prefill.run(
                        placement.stream,
                        engine,
                        self._relay.last_event_id,
                        self._deadline,
                    )
                return retry, None
        except asyncio.TimeoutError:
            if watch.found is None:
                raise
            instruments.silent_prefills.add(1, {'result': 'replaced'})
            return prefill.give_up(engine), watch.found

    async def _replace_prefill(
        self,
        placement: messages.Placement,
        engine: upstreams.Upstream,
        prefill: prefills.Prefill,
        silent: tuple[ids.UpstreamId, ...],
    ) -> replacement.Replacement | None:
        """Seek a replacement of a prefill at a silent engine.

        The owner is told, so that it gives the engine no further prompts.
        """
        _log.info('Prefill silent.', request=self._call.id, engine=engine.id)
        instruments.silent_prefills.add(1, {'result': 'silent'})
        if not self._context.sender.is_lost(engine.id):
            self._context.owner_client.report_silence(
                placement.stream, self._service, engine.id
            )
        return await self._find_other((*silent, engine.id), prefill)

    def _track(self, placement: messages.Placement) -> None:
        """Report to the owner that a place at a decode engine is in use."""
        prompt, limit = self.token_counts()
        running = messages.RunningGeneration(
            placement.stream,
            self._service,
            placement.decode,
            prompt,
            placement.expected_tokens,
            limit,
            -1.0,
        )
        self._context.owner_client.track_running(running, lambda: 0)

    async def find_replacement(
        self, engine: upstreams.Upstream, prefill: prefills.Prefill
    ) -> replacement.Replacement | None:
        """Seek a replacement of a silent run until there is one.

        Args:
            engine: Decode engine of the silent run.
            prefill: Prefill of that run.

        Returns:
            The replacement; None if there can't be any more.
        """
        _log.info('Engine silent.', request=self._call.id, engine=engine.id)
        instruments.silent_runs.add(1, {'result': 'silent'})
        return await self._find_other((engine.id,), prefill)

    async def _find_other(
        self,
        silent: tuple[ids.UpstreamId, ...],
        prefill: prefills.Prefill,
    ) -> replacement.Replacement | None:
        """Seek other engines until they are found.

        The prompt is read before they count as found, so that what is silent
        ends only for a run that can begin.

        Args:
            silent: Engines that the run must not go on at.
            prefill: Prefill so far.

        Returns:
            The engines; None if it is too late for any.
        """
        avoid = [*self.avoid, *silent]
        successor = prefill.successor()
        interval = _MIN_SEARCH_INTERVAL_S
        while not self._is_too_late():
            if self._context.guard.is_blocked(self._call):
                return None
            decision = await self._ask(avoid, successor)
            self._affinity.record_decision(decision)
            retry_after = 0.0
            if isinstance(decision, messages.PlacementRefused):
                retry_after = decision.retry_after
            else:
                found = await self._prepare(decision, successor, silent)
                if isinstance(found, replacement.Replacement):
                    return found
                avoid += {found.avoid, *found.at_fault}
            spread = clock.RANDOM.uniform(1.0, _SEARCH_GROWTH)
            await asyncio.sleep(max(retry_after, interval * spread))
            interval = min(_SEARCH_GROWTH * interval, _MAX_SEARCH_INTERVAL_S)
        return None

    def _is_too_late(self) -> bool:
        """Return whether the owner would place the request no more."""
        limit = self._deadline
        if not self._relay.has_reached_caller:
            patience = contexts.abandonment_time(self._call, self._route)
            limit = min(limit, patience)
        return contexts.has_passed(limit)

    async def _prepare(
        self,
        placement: messages.Placement,
        prefill: prefills.Prefill,
        silent: tuple[ids.UpstreamId, ...],
    ) -> prefills.Retry | replacement.Replacement:
        """Read the prompt for a replacement; return why that failed.

        If that prefill is silent as well, the replacement may be another one.
        """
        release = messages.Release(placement.stream, self._service)
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(lambda: self.release(release))
            if not self._may_replace(placement, silent):
                return prefills.Retry(placement.decode, 'unusable')
            cleanup.callback(prefill.delete_unused)
            retry, found = await self.read(placement, prefill, silent)
            if retry is not None:
                release = retry.applied_to(release)
                return found or retry
            if not self._may_replace(placement, silent):
                return prefills.Retry(placement.decode, 'left meanwhile')
            cleanup.pop_all()
        placement = msgspec.structs.replace(
            placement, prefill=ids.UpstreamId('')
        )
        return replacement.Replacement(placement, prefill)

    def _may_replace(
        self, placement: messages.Placement, silent: tuple[ids.UpstreamId, ...]
    ) -> bool:
        """Return whether a run may go on where the owner placed it."""
        decoder = self._find(placement.decode)
        return (
            decoder is not None
            and decoder.id not in silent
            and self.takes_work(decoder)
            and not self._affinity.is_undecided
            and self._affinity.allows(decoder)
        )

    def may_be_cut(self, sends: fate.Sends) -> bool:
        """Return whether not to begin the request, as the exit may cut it."""
        if not sends.cannot_have_run or self._relay.has_reached_caller:
            return False
        return self._context.drain.may_cut_stream(self._route, self._service)

    def refund_quota(self, failure: errors.Failure) -> None:
        """Refund the customer's quota if the request was not executed."""
        cost = self._call.quota_units
        if cost and failure.outcome is errors.Outcome.NOT_RUN:
            self._context.owner_client.refund_units(
                self._call.customer_name, cost
            )

    def discard(self, found: replacement.Replacement) -> None:
        """Release a replacement that isn't needed."""
        found.prefill.delete_unused()
        self.release(messages.Release(found.stream, self._service))

    def takes_work(self, upstream: upstreams.Upstream) -> bool:
        """Return whether the request may still be sent to an upstream.

        Another gateway may have quarantined the request in the meantime, or
        the upstream may have asked this gateway to pause.
        """
        paused = self._context.notices.pause_seconds_left(upstream.id)
        if paused or self._context.guard.is_blocked(self._call):
            return False
        registry = self._context.directory.registry
        return registry.accepts_work(upstream.id, clock.now())

    def token_counts(self) -> tuple[int, int]:
        """Return the tokens to prefill and the limit on remaining output."""
        output = self._relay.event_count * self._event_tokens
        limit = max(self._event_tokens, self._prompt.max_output - output)
        return self._prompt.tokens + output, limit

    def _find(self, key: ids.UpstreamId) -> upstreams.Upstream | None:
        return self._context.directory.registry.find(key)

    def _request(
        self,
        avoid: tuple[ids.UpstreamId, ...],
        is_prefilled: bool,
        extra_sends: int,
    ) -> placementrequests.PlacementRequest:
        self._request_count += 1
        attempt = self._request_count
        generated = self._relay.event_count * self._event_tokens
        estimated = self._prompt.estimated_output or 0
        prompt_tokens, max_output = self.token_counts()
        call, route = self._call, self._route
        return placementrequests.PlacementRequest(
            stream=ids.StreamId(f'{call.id}.{attempt}'),
            service=self._service,
            prompt_tokens=prompt_tokens,
            estimated_output=max(0, estimated - generated),
            max_output=max_output,
            start_by=call.arrived_at + route.latency_objective,
            abandon_at=contexts.abandonment_time(call, route),
            deadline=self._deadline,
            last_block_id=self._prompt.last_block_id,
            avoid=avoid,
            is_resumed=self._relay.has_reached_caller,
            is_prefilled=is_prefilled,
            max_pause=route.max_event_gap,
            attempt=attempt,
            extra_sends=extra_sends,
            is_suspect=self._context.guard.is_suspect(call),
            customer=call.customer_name,
            quota_units=call.quota_units if attempt == 1 else 0.0,
            priority=contexts.priority(call, route),
            version=self._affinity.version,
            resumes=self._affinity.unresolved_keys(),
            needs_version=self._affinity.is_undecided,
            is_return=bool(call.last_event_id),
        )
