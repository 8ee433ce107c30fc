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

"""Log lines and metrics about streams that completed or failed."""

import dataclasses

from galenahatch import clock
from galenahatch.core import upstreams
from galenahatch.gateway import calls
from galenahatch.gateway import instruments
from galenahatch.gateway import relay as relays
from galenahatch.gateway import sendresults
from galenahatch import ids
from galenahatch import logs

_log = logs.Log('generation')


@dataclasses.dataclass(frozen=True)
class RunOutput:
    """Output of the last run of a stream.

    Attributes:
        tokens: Number of tokens generated.
        seconds: Generation time of these tokens.
    """

    tokens: int
    seconds: float


def log_failure(
    text: str,
    call: calls.Call,
    engine: ids.UpstreamId,
    failure: sendresults.FailedSend,
    events: int,
    seconds: float,
) -> None:
    """Log that a request to a decode engine failed.

    Args:
        text: Message of the log line.
        call: Request of the caller.
        engine: Decode engine.
        failure: Cause of the failure.
        events: Number of events relayed to the caller.
        seconds: Seconds since the request was sent.
    """
    _log.warning(
        text,
        request=call.id,
        engine=engine,
        fate=failure.fate.value,
        events=events,
        digest=call.digest,
        seconds=seconds,
        detail=failure.detail,
    )


def log_continuation(
    call: calls.Call, engine: upstreams.Upstream, last_event_id: str
) -> None:
    """Log that a stream is about to go on at an engine.

    Args:
        call: Request of the caller.
        engine: Decode engine.
        last_event_id: Id of the last event that the caller has.
    """
    _log.info(
        'Stream continues.',
        request=call.id,
        resumes=call.resumes,
        event=last_event_id,
        engine=engine.id,
        version=engine.version,
    )


def record_attempt(call: calls.Call, has_begun: bool, reason: str) -> None:
    """Count what came of a caller's attempt to begin or take up a stream.

    Args:
        call: Request of the caller.
        has_begun: Whether the head of a stream has been sent to the caller.
        reason: Why it ended without one; `answered` if the engine's answer is
            no stream.
    """
    labels = {
        'kind': 'return' if call.last_event_id else 'new',
        'outcome': 'began' if has_begun else 'none',
        'reason': 'none' if has_begun else reason,
    }
    instruments.stream_attempts.add(1, labels)


def log_completed_stream(
    call: calls.Call,
    relay: relays.Relay,
    spent: relays.Spent,
    tokens_per_event: int,
    engine: ids.UpstreamId,
) -> RunOutput:
    """Log a completed stream and record its metrics.

    Args:
        call: Request of the caller.
        relay: Relay that forwarded the stream.
        spent: Components of the time to the first event.
        tokens_per_event: Number of tokens in each event.
        engine: Decode engine of the last run.

    Returns:
        Output of the last run.
    """
    # The first event's tokens were generated before the clock was started.
    share = relay.run_event_count / max(1, relay.run_event_count - 1)
    seconds = (clock.now() - relay.run_started_at) * share
    first = relay.first_event_at - call.arrived_at
    instruments.first_event_seconds.record(first)
    instruments.pause_seconds.record(relay.longest_pause)
    assert call.prompt is not None
    _log.info(
        'Stream completed.',
        request=call.id,
        prompt=call.prompt.tokens,
        likely=call.prompt.estimated_output or 0,
        most=call.prompt.max_output,
        tokens=relay.event_count * tokens_per_event,
        first=first,
        seconds=seconds,
        pause=relay.longest_pause,
        engine=engine,
        **dataclasses.asdict(spent),
    )
    return RunOutput(relay.run_event_count * tokens_per_event, seconds)
