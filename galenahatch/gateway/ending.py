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

"""What streams came to: metrics, and one log line each."""

import dataclasses

from galenahatch import clock
from galenahatch.gateway import calls
from galenahatch.gateway import instruments
from galenahatch.gateway import relay as relays
from galenahatch.gateway import sender as senders
from galenahatch import ids
from galenahatch import logs

_log = logs.Log('generation')


@dataclasses.dataclass(frozen=True)
class Made:
    """What the last run of a stream made.

    Attributes:
        tokens: of its events.
        seconds: that they took.
    """

    tokens: int
    seconds: float


def lost(
    sentence: str,
    call: calls.Call,
    engine: ids.UpstreamId,
    send: senders.FailedSend,
    events: int,
    seconds: float,
) -> None:
    """Note that a send to a decode engine came to no end.

    Args:
        sentence: of the log line.
        call: of the caller.
        engine: that it went to.
        send: what is known of it.
        events: that the caller has had.
        seconds: since it was sent.
    """
    _log.warning(
        sentence,
        request=call.id,
        engine=engine,
        fate=send.fate.value,
        events=events,
        digest=call.digest,
        seconds=seconds,
        detail=send.detail,
    )


def streamed(
    call: calls.Call,
    relay: relays.Relay,
    spent: relays.Spent,
    stride: int,
    engine: ids.UpstreamId,
) -> Made:
    """Note that a caller has a whole stream.

    Args:
        call: of the caller.
        relay: that passed it on.
        spent: where the time to the first event went.
        stride: tokens of an event.
        engine: that made the last of it.
    """
    # The first event's tokens were made before the clock ran.
    share = relay.run_count / max(1, relay.run_count - 1)
    seconds = (clock.now() - relay.run_first_at) * share
    first = relay.first_at - call.arrived_at
    instruments.first_event_seconds.record(first)
    instruments.pause_seconds.record(relay.longest_pause)
    assert call.prompt is not None
    _log.info(
        'Streamed.',
        request=call.id,
        prompt=call.prompt.tokens,
        likely=call.prompt.estimated_output or 0,
        most=call.prompt.max_output,
        tokens=relay.count * stride,
        first=first,
        seconds=seconds,
        pause=relay.longest_pause,
        engine=engine,
        **dataclasses.asdict(spent),
    )
    return Made(relay.run_count * stride, seconds)
