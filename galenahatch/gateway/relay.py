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

"""Passing a stream's events on to its caller.

Only whole events are passed on, so a stream that goes on at another engine
begins where the last event ended. The times that matter to the caller are
taken here: the first event of a run, and the longest pause.
"""

import dataclasses

from galenahatch import clock
from galenahatch.core import events
from galenahatch.gateway import calls
from galenahatch.gateway import context as contexts


@dataclasses.dataclass
class Spent:
    """Where the time to the first event went, in seconds.

    Attributes:
        waited: for the owner's decisions.
        read: for prompts to be read.
        made: by decode engines, from the last send on.
    """

    waited: float = 0.0
    read: float = 0.0
    made: float = 0.0


class Relay:
    """One caller's stream, over all its runs.

    Args:
        sink: where it goes.
        last_event: id of the event that the caller has had already.

    Attributes:
        first_at: when the first event of all came; monotonic seconds.
        longest_pause: seconds between two events of one run.
        run_count: whole events of the present run.
        run_first_at: when its first event came.
    """

    def __init__(self, sink: contexts.Sink, last_event: str) -> None:
        self._sink = sink
        self._splitter = events.EventSplitter()
        self._splitter.last_id = last_event
        self._event_at = 0.0
        self.first_at = 0.0
        self.longest_pause = 0.0
        self.run_count = 0
        self.run_first_at = 0.0

    @property
    def has_reached_caller(self) -> bool:
        """Whether the caller has had the head of the answer."""
        return self._sink.is_head_sent

    @property
    def last_event(self) -> str:
        """Id of the last whole event."""
        return self._splitter.last_id

    @property
    def count(self) -> int:
        """Whole events so far."""
        return self._splitter.count

    @property
    def is_within_event(self) -> bool:
        """Whether a part of an event has come, and not its end."""
        return bool(self._splitter.partial)

    def restart(self) -> None:
        """Begin with the answer of another run."""
        self._splitter.drop_partial()
        self.run_count = 0

    def feed(self, data: bytes) -> bytes:
        """Take what came; return the whole events in it."""
        before = self._splitter.count
        whole = self._splitter.feed(data)
        if not whole:
            return whole
        now = clock.now()
        if self.run_count:
            pause = now - self._event_at
            self.longest_pause = max(self.longest_pause, pause)
        else:
            self.run_first_at = now
            self.first_at = self.first_at or now
        self.run_count += self._splitter.count - before
        self._event_at = now
        return whole

    async def pass_on(self, head: calls.ResponseHead, whole: bytes) -> None:
        """Send whole events to the caller."""
        if not self._sink.is_head_sent:
            await self._sink.send_head(head)
        await self._sink.write(whole)
