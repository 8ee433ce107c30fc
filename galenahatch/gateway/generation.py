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

"""Handles a request to a model service: placement, prefill, decode, relay.

A prefill engine processes the prompt; a decode engine fetches the KV cache
from it and generates the response. The owner chooses both (`owner_client`).
When a request ends early, its resources at the engines are released: closing
the connection aborts the work, and an unused prefill handle is deleted.

A resumable stream continues at another engine when its own fails, or is
silent and another one is ready (`replacement`); the caller sees a single
response. Any other stream that fails is reported as broken, never as complete.
"""

import asyncio
import collections.abc
import typing

from galenahatch import clock
from galenahatch.core import fate
from galenahatch.core import placements
from galenahatch.core import routes
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import context as contexts
from galenahatch.gateway import decoderequests
from galenahatch.gateway import generationfailures
from galenahatch.gateway import heldruns
from galenahatch.gateway import instruments
from galenahatch.gateway import messages
from galenahatch.gateway import placer
from galenahatch.gateway import prefill
from galenahatch.gateway import relay as relays
from galenahatch.gateway import replacement
from galenahatch.gateway import sendresults
from galenahatch.gateway import stream_log
from galenahatch.gateway import streamaffinity
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import wire

_CONNECT_TIMEOUT_S: typing.Final = 0.3
_MAX_PLACEMENTS: typing.Final = 6
_log = logs.Log('generation')

Result = contexts.CompleteAnswer | errors.Failure | prefill.Retry | None
"""Result of a run; None if its stream was relayed completely."""


class RequestHandler:
    """Handles one request to a model service; the stream goes to `sink`."""

    def __init__(
        self,
        context: contexts.Context,
        call: calls.Call,
        route: routes.Route,
        service: routes.Service,
        sink: contexts.Sink,
    ) -> None:
        assert call.prompt is not None and service.engine is not None
        self._context = context
        self._call = call
        self._route = route
        self._service = service
        self._spec = service.engine
        self._sends = fate.Sends()
        self._relay = relays.Relay(sink, call.last_event_id)
        self._deadline = contexts.answer_deadline(call, route)
        self._detail = ''
        self._spent = relays.Spent()
        self._send_fate = fate.Fate.NOT_SENT
        self._stage = 'waiting'
        self._decode_engine = ids.UpstreamId('')
        self._affinity = streamaffinity.StreamAffinity(
            context.affinity, call, service.name
        )
        self._was_placed = False
        self._prefill = prefill.Prefill(context, call, service)
        self._placer = placer.Placer(
            context,
            call,
            route,
            service,
            self._relay,
            self._affinity,
            self._deadline,
        )
        self._replacement: replacement.Replacement | None = None
        self._held = heldruns.HeldRun(self._placer.release)
        self._runs = decoderequests.Runs(
            context.sender, call, self._relay, self._deadline
        )
        self._failures = generationfailures.Failures(
            self._relay, self._sends, self._deadline
        )

    async def run(self) -> contexts.CompleteAnswer | errors.Failure | None:
        """Serve the request; return None if its stream was relayed completely.

        Raises:
            generationfailures.StreamBroken: The stream failed after a part of
                it was relayed.
        """
        drain = self._context.drain
        try:
            result = await drain.run(
                self._run(),
                self._sends,
                lambda: self._relay.has_reached_caller,
            )
            if self._was_placed and isinstance(result, errors.Failure):
                self._placer.refund_quota(result)
            return self._failures.final(result)
        except asyncio.CancelledError:
            _log.info(
                drain.why_cancelled,
                request=self._call.id,
                stage=self._stage,
                seconds=clock.now() - self._call.arrived_at,
            )
            raise
        finally:
            self._held.end()
            self._prefill.delete_unused()
            if self._replacement is not None:
                self._placer.discard(self._replacement)

    async def _run(self) -> contexts.CompleteAnswer | errors.Failure | None:
        placements_left = _MAX_PLACEMENTS
        while placements_left or self._replacement is not None:
            if contexts.has_passed(self._deadline):
                break
            placements_left -= self._replacement is None
            placement = await self._place()
            if isinstance(placement, messages.PlacementRefused):
                return self._failures.refused(placement)
            self._was_placed = True
            result = await self._attempt(placement)
            while isinstance(result, prefill.Retry):
                await self._record_failure(result)
                held = None if self._replacement else self._held.take()
                if held is None:
                    break
                result = await self._resume_held(held)
            else:
                return result
            if self._context.guard.is_blocked(self._call):
                failure = self._context.guard.failure(self._call)
                return self._failures.failed(failure)
            limit = self._route.max_attempts
            if not self._sends.may_send(self._route.is_repeatable, limit):
                break
        return self._failures.gave_up(self._detail)

    async def _record_failure(self, retry: prefill.Retry) -> None:
        """Record what a failed attempt told."""
        self._detail = retry.detail
        self._placer.avoid += {retry.avoid, *retry.at_fault}
        if retry.disconnected is not None and not self._runs.ran_past_start:
            guard = self._context.guard
            await guard.record_cut(self._call, retry.disconnected)

    async def _place(self) -> messages.Placement | messages.PlacementRefused:
        """Return the engines of the next run; they may be known already."""
        found, self._replacement = self._replacement, None
        if found is not None:
            self._prefill = found.prefill
            return found.placement
        self._stage = 'waiting'
        started_at = clock.now()
        placement = await self._placer.place(
            self._prefill, may_have_run=not self._sends.cannot_have_run
        )
        self._spent.waited += clock.now() - started_at
        self._affinity.record_decision(placement)
        return placement

    async def _attempt(self, placement: messages.Placement) -> Result:
        find = self._context.directory.registry.find
        stream = placement.stream
        release = messages.Release(stream, self._service.name)
        try:
            engine = find(placement.prefill)
            decoder = find(placement.decode)
            if decoder is None or not self._placer.takes_work(decoder):
                return prefill.Retry(placement.decode, 'decode engine gone')
            if self._affinity.is_undecided:
                return self._failures.failed(
                    errors.Failure(errors.VERSION_UNKNOWN)
                )
            if not self._affinity.allows(decoder):
                return prefill.Retry(placement.decode, 'other version')
            if self._placer.may_be_cut(self._sends):
                return self._context.drain.failure()
            if engine is not None:
                self._stage = 'prefill'
                started_at = clock.now()
                retry, self._replacement = await self._placer.read(
                    placement, self._prefill
                )
                self._spent.read += clock.now() - started_at
                if retry is not None:
                    release = retry.applied_to(release)
                    return retry
            result = await self._decode(
                stream, decoder, placement.expected_tokens
            )
            release = self._final_release(release, result)
            return result
        finally:
            self._held.release(release)

    def _final_release(
        self, release: messages.Release, result: Result
    ) -> messages.Release:
        if isinstance(result, prefill.Retry):
            return result.applied_to(release)
        if result is not None:
            return release
        self._context.guard.record_completion(self._call)
        output = stream_log.log_completed_stream(
            self._call,
            self._relay,
            self._spent,
            self._spec.event_tokens,
            self._decode_engine,
        )
        return messages.Release(
            release.stream,
            release.service,
            tokens=output.tokens,
            seconds=output.seconds,
            kv_source=self._prefill.engine,
        )

    async def _decode(
        self, stream: ids.StreamId, engine: upstreams.Upstream, output: int
    ) -> Result:
        """Send the request to its decode engine and relay the response."""
        if not self._placer.takes_work(engine):
            return prefill.Retry(engine.id, 'decode engine gone')
        if self._placer.may_be_cut(self._sends):
            return self._context.drain.failure()
        self._decode_engine = engine.id
        self._stage = 'decode'
        prompt, limit = self._placer.token_counts()
        running = messages.RunningGeneration(
            stream, self._service.name, engine.id, prompt, output, limit, -1.0
        )
        self._context.owner_client.track_running(running, self._output_tokens)
        self._sends.begin()
        self._placer.begin_run(stream)
        self._runs.sent_at = clock.now()
        self._send_fate = fate.Fate.UNCERTAIN
        try:
            return await self._run_watched(
                engine, lambda watch: self._send_decode(running, engine, watch)
            )
        finally:
            self._sends.end(self._send_fate)
            if self._send_fate is fate.Fate.NOT_SENT:
                self._placer.take_back_run(stream)

    async def _run_watched(
        self,
        engine: upstreams.Upstream,
        run: collections.abc.Callable[
            [replacement.Watch], collections.abc.Awaitable[Result]
        ],
        first_silence: float | None = None,
    ) -> Result:
        """Wait for a run until its replacement is certain."""
        watch = self._watch(engine, first_silence)
        try:
            async with watch:
                return await run(watch)
        except asyncio.TimeoutError:
            if watch.found is None:
                raise
            self._replacement = watch.found
            return self._handle_replaced(engine)

    async def _resume_held(self, held: heldruns.Run) -> Result:
        """Read a silent run on; a prompt read for its replacement is stale."""
        self._prefill.delete_unused()
        heldruns.log_resumption(self._call.id, held)
        self._sends.resume()
        self._decode_engine = held.engine.id
        self._send_fate = fate.Fate.ANSWERED
        release = messages.Release(held.running.stream, self._service.name)
        try:
            result = await self._run_watched(
                held.engine,
                lambda watch: self._relay_stream(held, watch),
                self._held.pause_after_rejection(self._relay.event_count),
            )
            release = self._final_release(release, result)
            return result
        finally:
            self._sends.end(self._send_fate)
            self._held.release(release)

    async def _send_decode(
        self,
        running: messages.RunningGeneration,
        engine: upstreams.Upstream,
        watch: replacement.Watch,
    ) -> Result:
        time_left = contexts.seconds_until(self._deadline)
        options = decoderequests.forwarding_options(
            self._call, engine, self._relay, self._prefill, time_left
        )
        with watch.waiting():
            response = await self._context.sender.send(
                engine,
                self._call,
                wire.upstream_headers(self._call, options),
                wire.decode_response_head,
                timeout=time_left,
                connect_timeout=_CONNECT_TIMEOUT_S,
                use_pool=False,
                abandonment=self._held.abandonment,
            )
        if isinstance(response, sendresults.FailedSend):
            self._send_fate = response.fate
            if self._held.goes_on:
                return prefill.Retry(engine.id, 'silent run goes on')
            return self._runs.failed(engine, response, self._prefill)
        self._send_fate = fate.Fate.ANSWERED
        self._prefill.mark_fetched()
        run = heldruns.Run(running, engine, response)
        return await self._relay_response(run, watch)

    def _watch(
        self, engine: upstreams.Upstream, first_silence: float | None
    ) -> replacement.Watch:
        """Return a watch of a run that is about to begin."""
        silence = placements.MAX_SILENT_PAUSES * self._route.max_event_gap
        may_replace = self._route.resumable and self._sends.may_replace(
            self._route.is_repeatable, self._route.max_attempts
        )
        return replacement.Watch(
            silence if may_replace else None,
            lambda: self._placer.find_replacement(engine, self._prefill),
            self._placer.discard,
            self._context.tasks,
            first_silence,
        )

    def _handle_replaced(self, engine: upstreams.Upstream) -> prefill.Retry:
        """Give up a silent run whose replacement is certain."""
        instruments.silent_runs.add(1, {'result': 'replaced'})
        silence = sendresults.FailedSend(fate.Fate.UNCERTAIN, 'silent')
        if self._send_fate is fate.Fate.ANSWERED:
            return self._runs.interrupted(engine, silence, self._prefill)
        self._context.sender.record_silence(engine)
        return self._runs.failed(engine, silence, self._prefill)

    def _output_tokens(self) -> int:
        """Return the number of tokens generated in the current run."""
        return self._relay.run_event_count * self._spec.event_tokens

    async def _relay_response(
        self, run: heldruns.Run, watch: replacement.Watch
    ) -> Result:
        other = await self._runs.read_other(run.response, run.engine)
        if other is not None:
            return other
        self._held.end()
        self._relay.begin_run()
        return await self._relay_stream(run, watch)

    async def _relay_stream(
        self, run: heldruns.Run, watch: replacement.Watch
    ) -> errors.Failure | prefill.Retry | None:
        try:
            return await self._relay_events(run, watch)
        finally:
            if watch.found is not None:
                self._held.hold(run)
            else:
                run.response.close()

    async def _relay_events(
        self, run: heldruns.Run, watch: replacement.Watch
    ) -> errors.Failure | prefill.Retry | None:
        running, engine, response = run
        head, has_begun = response.head, self._relay.run_event_count > 0
        while True:
            # Data that has arrived is relayed even after the deadline.
            time_left = max(0.0, contexts.seconds_until(self._deadline))
            with watch.waiting():
                data = await response.read(time_left)
            if isinstance(data, sendresults.FailedSend):
                if contexts.has_passed(self._deadline):
                    return self._failures.deadline()
                return self._runs.interrupted(engine, data, self._prefill)
            if not data:
                return self._runs.ended(engine, response, self._prefill)
            events = await self._relay.feed(data)
            if contexts.is_overrun(self._deadline):
                return self._failures.deadline()
            if self._relay.is_event_too_long:
                failure = response.broken('event long')
                return self._runs.broken(engine, failure, self._prefill)
            if not events:
                continue
            if not has_begun:
                has_begun = True
                self._affinity.record_start(
                    engine, contexts.last_return(self._call, self._route)
                )
                self._spent.made = (
                    self._relay.run_started_at - self._runs.sent_at
                )
                client = self._context.owner_client
                client.report_started(running.stream, head.slowdown)
            await self._relay.forward(head, events)
