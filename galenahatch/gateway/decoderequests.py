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


"""What is sent to decode engines, and what follows if a run fails."""

import dataclasses

from galenahatch import clock
from galenahatch.core import fate
from galenahatch.core import placements
from galenahatch.core import runresponses
from galenahatch.core import upstreams
from galenahatch.gateway import calls
from galenahatch.gateway import context as contexts
from galenahatch.gateway import failover
from galenahatch.gateway import prefill as prefills
from galenahatch.gateway import relay as relays
from galenahatch.gateway import sendresults
from galenahatch.gateway import stream_log
from galenahatch import ids


def forwarding_options(
    call: calls.Call,
    engine: upstreams.Upstream,
    relay: relays.Relay,
    prefill: prefills.Prefill,
    time_left: float,
) -> calls.ForwardingOptions:
    """Return how a request is sent to a decode engine."""
    last_event_id = relay.last_event_id
    if last_event_id:
        stream_log.log_continuation(call, engine, last_event_id)
    return calls.ForwardingOptions(
        engine.id,
        time_left,
        kv_source=prefill.kv_source(),
        last_event_id=last_event_id,
        priority=call.priority,
    )


class Runs:
    """What follows from the runs of one request that don't complete it.

    Args:
        sender: Sends requests to engines.
        call: Request of the caller.
        relay: Relay of its stream.
        deadline: Time by which it must be answered; monotonic seconds.

    Attributes:
        sent_at: Time of the last send; monotonic seconds.
        ran_past_start: Whether a run broke off that wasn't at its start.
    """

    def __init__(
        self,
        sender: failover.FailoverSender,
        call: calls.Call,
        relay: relays.Relay,
        deadline: float,
    ) -> None:
        self._sender = sender
        self._call = call
        self._relay = relay
        self._deadline = deadline
        self.sent_at = 0.0
        self.ran_past_start = False

    def failed(
        self,
        engine: upstreams.Upstream,
        failure: sendresults.FailedSend,
        prefill: prefills.Prefill,
    ) -> prefills.Retry:
        """Return how the request goes on after a send without a response.

        A refusal means that the engine is full or that the handle has expired:
        either engine may be at fault, and the prefill is repeated. If the
        connection failed, the prefill result is still available.
        """
        self._log('Decode request failed.', engine, failure)
        retry = prefills.retry_after(self._sender, engine, failure)
        if failure.fate is fate.Fate.REFUSED and prefill.engine:
            at_fault = (*retry.at_fault, prefill.engine)
            retry = dataclasses.replace(retry, at_fault=at_fault)
        if failure.fate is not fate.Fate.NOT_SENT:
            prefill.delete_unused()
        return retry

    def interrupted(
        self,
        engine: upstreams.Upstream,
        failure: sendresults.FailedSend,
        prefill: prefills.Prefill,
    ) -> prefills.Retry:
        """Return how the request goes on after a run that was interrupted."""
        self._log('Stream interrupted.', engine, failure)
        return self.broken(engine, failure, prefill)

    def broken(
        self,
        engine: upstreams.Upstream,
        failure: sendresults.FailedSend,
        prefill: prefills.Prefill,
    ) -> prefills.Retry:
        """Return the same, for a run whose response can't be used."""
        if failure.is_silence:
            prefill.record_silence()
        run_seconds = clock.now() - self._relay.run_started_at
        if self._relay.run_event_count and run_seconds > placements.STARTUP_S:
            self.ran_past_start = True
        return prefills.retry_after(self._sender, engine, failure)

    def ended(
        self,
        engine: upstreams.Upstream,
        response: sendresults.Response,
        prefill: prefills.Prefill,
    ) -> prefills.Retry | None:
        """Return None if a run that ended is complete.

        A run without any event is not: its engine may have lost the rest.
        """
        if self._relay.has_partial_event:
            failure = response.broken('ended in the middle of an event')
        elif self._relay.is_run_empty:
            failure = sendresults.FailedSend(
                fate.Fate.ANSWERED,
                'ended without an event',
                response.head,
                cause=sendresults.Cause.UPSTREAM,
            )
        else:
            return None
        return self.interrupted(engine, failure, prefill)

    async def read_other(
        self,
        response: sendresults.Response,
        engine: upstreams.Upstream,
    ) -> contexts.CompleteAnswer | prefills.Retry | None:
        """Return what follows from a response; None if it is a stream."""
        head, has_begun = response.head, self._relay.has_reached_caller
        use = runresponses.use_of(
            head.status, head.is_signed, head.is_encoded, has_begun
        )
        if use is runresponses.Use.STREAM:
            return None
        result = await read_answer(response, engine, self._deadline, use)
        if isinstance(result, prefills.Retry):
            failure = sendresults.FailedSend(fate.Fate.ANSWERED, result.detail)
            self._log('Run failed with a response.', engine, failure)
        return result

    def _log(
        self,
        text: str,
        engine: upstreams.Upstream,
        cause: sendresults.FailedSend,
    ) -> None:
        stream_log.log_failure(
            text,
            self._call,
            engine.id,
            cause,
            self._relay.event_count,
            clock.now() - self.sent_at,
        )


async def read_answer(
    response: sendresults.Response,
    engine: upstreams.Upstream,
    deadline: float,
    use: runresponses.Use,
) -> contexts.CompleteAnswer | prefills.Retry:
    """Return a response that is no stream, or how to go on without it.

    A response of which nothing is used isn't read. An engine isn't at fault
    for an answer that found no memory here.
    """
    head = response.head
    at_fault: tuple[ids.UpstreamId, ...] = (engine.id,)
    if use is runresponses.Use.ANSWER:
        body = await response.body(contexts.seconds_until(deadline))
        if body is not None:
            return contexts.CompleteAnswer(head, body)
        at_fault = () if response.lacks_memory else at_fault
    else:
        response.close()
    return prefills.Retry(engine.id, f'status {head.status}', at_fault)
