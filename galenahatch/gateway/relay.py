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

"""Relays the events of a stream to its caller.

Only complete events are relayed, so a stream that resumes on another engine
continues after the last complete event. This module also records the times
that callers notice: the first event and the longest pause between events.
"""

import asyncio
import collections
import dataclasses
import typing

from galenahatch import clock
from galenahatch.core import events
from galenahatch.gateway import calls
from galenahatch.gateway import context as contexts
from galenahatch import turns

_PIECE_BYTES: typing.Final = 1024
"""Bytes of a stream that are parsed in a turn: at most some 0.2 ms."""


@dataclasses.dataclass
class Spent:
    """Components of the time to the first event, in seconds.

    Attributes:
        waited: Time spent waiting for placement decisions of the owner.
        read: Time spent on prefill.
        made: Time from the last send to a decode engine to its first event.
    """

    waited: float = 0.0
    read: float = 0.0
    made: float = 0.0


class Relay:
    """Relays one caller's stream, which may span runs on several engines.

    Args:
        sink: Connection to the caller.
        last_event_id: Id of the last event that the caller already has.

    Attributes:
        first_event_at: Arrival of the stream's first event; monotonic seconds.
        longest_pause: Longest time between two events of one run, in seconds.
        run_event_count: Number of complete events in the current run.
        run_started_at: Arrival of the current run's first event; monotonic
            seconds.
    """

    def __init__(self, sink: contexts.Sink, last_event_id: str) -> None:
        self._sink = sink
        self._splitter = events.EventSplitter()
        self._splitter.last_id = last_event_id
        self._last_event_at = 0.0
        self._messages_before_run = 0
        self.first_event_at = 0.0
        self.longest_pause = 0.0
        self.run_event_count = 0
        self.run_started_at = 0.0

    @property
    def has_reached_caller(self) -> bool:
        """Whether the response head has been sent to the caller."""
        return self._sink.is_head_sent

    @property
    def last_event_id(self) -> str:
        """Id of the last complete event."""
        return self._splitter.last_id

    @property
    def event_count(self) -> int:
        """Number of complete events so far, over all runs."""
        return self._splitter.count

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has been received in part."""
        return self._splitter.is_partial

    @property
    def is_run_empty(self) -> bool:
        """Whether the current run has brought comments at the most."""
        return self._splitter.message_count == self._messages_before_run

    @property
    def is_event_too_long(self) -> bool:
        """Whether more than any engine sends has come without an event."""
        return self._splitter.is_too_long

    def begin_run(self) -> None:
        """Begin a new run, whose response comes from another engine."""
        self._splitter.drop_partial()
        self._messages_before_run = self._splitter.message_count
        self.run_event_count = 0

    async def feed(self, data: bytes) -> bytes:
        """Parse received bytes and return the events that are complete.

        Many events that were received together are parsed in turns.
        """
        count_before = self._splitter.count
        if turns.is_little(data):
            complete = self._splitter.feed(data)
        else:
            complete = await self._feed_in_turns(data)
        if not complete:
            return complete
        now = clock.now()
        if self.run_event_count:
            pause = now - self._last_event_at
            self.longest_pause = max(self.longest_pause, pause)
        else:
            self.run_started_at = now
            self.first_event_at = self.first_event_at or now
        self.run_event_count += self._splitter.count - count_before
        self._last_event_at = now
        return complete

    async def _feed_in_turns(self, data: bytes) -> bytes:
        pieces = collections.deque(
            data[first : first + _PIECE_BYTES]
            for first in range(0, len(data), _PIECE_BYTES)
        )
        complete: list[bytes] = []

        def step() -> bool:
            complete.append(self._splitter.feed(pieces.popleft()))
            return bool(pieces) and not self._splitter.is_too_long

        await turns.of_loop(asyncio.get_running_loop()).complete(step)
        return b''.join(complete)

    async def forward(self, head: calls.ResponseHead, complete: bytes) -> None:
        """Send complete events to the caller, after the head if needed."""
        if not self._sink.is_head_sent:
            await self._sink.send_head(head)
        await self._sink.write(complete)
