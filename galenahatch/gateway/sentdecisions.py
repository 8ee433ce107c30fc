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

"""Decisions that the owner has sent and whose arrival is not confirmed.

A decision is kept until its run is reported. A gateway that still waits for it
gets it again; a placement only while its engines are still reserved.
"""

import collections.abc
import typing

from galenahatch.core import dispatch
from galenahatch.core import generations
from galenahatch.gateway import messages
from galenahatch import ids

RETENTION_S: typing.Final = 15.0
"""Seconds for which a decision is kept; requests wait no longer."""
MAX_DECISIONS: typing.Final = 16384
_TRANSIT_S: typing.Final = 0.1
"""Seconds in which a decision reaches a gateway that isn't suspended."""

Message = messages.Placement | messages.PlacementRefused


class Sent(typing.NamedTuple):
    """A decision; monotonic seconds."""

    member: ids.MemberId
    message: Message
    job: generations.Job
    sent_at: float

    def may_be_in_transit(self, now: float) -> bool:
        """Return whether it may still arrive."""
        return now - self.sent_at < _TRANSIT_S

    def is_in_force(
        self, dispatchers: collections.abc.Iterable[dispatch.Dispatcher]
    ) -> bool:
        """Return whether the engines of a placement are still reserved."""
        if isinstance(self.message, messages.PlacementRefused):
            return True
        for dispatcher in dispatchers:
            decode = dispatcher.engines.decodes.get(self.message.decode)
            if decode is not None and self.message.stream in (
                decode.memory.runs
            ):
                return True
        return False


class SentDecisions:
    """Decisions by stream, oldest first."""

    def __init__(self) -> None:
        self._sent: dict[ids.StreamId, Sent] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def record(
        self,
        member: ids.MemberId,
        message: Message,
        job: generations.Job,
        now: float,
    ) -> None:
        """Record that a decision is sent, and forget old ones."""
        self._sent.pop(message.stream, None)
        self._sent[message.stream] = Sent(member, message, job, now)
        for stream, sent in list(_oldest(self._sent)):
            is_old = now - sent.sent_at > RETENTION_S
            if not is_old and len(self._sent) <= MAX_DECISIONS:
                break
            del self._sent[stream]

    def confirm(self, stream: ids.StreamId) -> None:
        """Record that a decision has arrived, or is obsolete."""
        self._sent.pop(stream, None)

    def find(self, member: ids.MemberId, stream: ids.StreamId) -> Sent | None:
        """Return the decision on a member's stream, if it is kept."""
        sent = self._sent.get(stream)
        return sent if sent is not None and sent.member == member else None


def _oldest(
    sent: dict[ids.StreamId, Sent],
) -> collections.abc.Iterator[tuple[ids.StreamId, Sent]]:
    """Yield the two oldest decisions: each new one replaces two at most."""
    for _, item in zip(range(2), sent.items(), strict=False):
        yield item
