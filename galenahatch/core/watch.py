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

"""Streams that a watcher cancels if their entry fails.

An engine keeps a stream when its connection drops, so only an explicit cancel
frees the stream's memory. An entry registers each stream with its watchers
before it sends work, and includes it in a complete report with every
heartbeat. A watcher takes over the streams of a silent entry once a second
member confirms the silence, or the VM list no longer contains the entry's VM.
The restart of an entry proves that its earlier incarnation is gone.
"""

import collections.abc
import dataclasses
import typing

from galenahatch import ids
from galenahatch import messages

CONFIRM_TIMEOUT_S: typing.Final = 0.5
"""Seconds to wait for a second member's reply."""


@dataclasses.dataclass
class _Entry:
    incarnation: int
    streams: dict[ids.StreamId, messages.Held]
    queried_at: float | None = None
    confirmed: bool = False


class StreamWatch:
    """Watched streams by entry."""

    def __init__(self) -> None:
        self._entries: dict[ids.MemberId, _Entry] = {}

    def add(
        self,
        entry: ids.MemberId,
        incarnation: int,
        held: collections.abc.Iterable[messages.Held],
    ) -> list[messages.Held]:
        """Add streams; return orphaned ones of an earlier incarnation."""
        orphans = self._start_incarnation(entry, incarnation)
        for held_stream in held:
            self._entries[entry].streams[held_stream.stream] = held_stream
        return orphans

    def apply_report(self, report: messages.HeldReport) -> list[messages.Held]:
        """Apply a complete report; return earlier, orphaned streams.

        A stream is orphaned if it belongs to an earlier incarnation.
        """
        orphans = self._start_incarnation(report.entry, report.incarnation)
        streams = {
            held_stream.stream: held_stream
            for held_stream in (*report.owned, *report.watched)
        }
        self._entries[report.entry].streams = streams
        return orphans

    def remove(self, entry: ids.MemberId, stream: ids.StreamId) -> None:
        """Remove an ended stream of an entry."""
        state = self._entries.get(entry)
        if state is not None:
            state.streams.pop(stream, None)

    def remove_stream(self, stream: ids.StreamId) -> None:
        """Remove a stream that ended, whichever entry it belongs to."""
        for state in self._entries.values():
            state.streams.pop(stream, None)

    def record_heartbeat(
        self, entry: ids.MemberId, incarnation: int
    ) -> list[messages.Held]:
        """Record a heartbeat; return orphans of an earlier incarnation."""
        state = self._entries.get(entry)
        if state is None:
            return []
        orphans = self._start_incarnation(entry, incarnation)
        self._entries[entry].queried_at = None
        self._entries[entry].confirmed = False
        return orphans

    def entries_to_confirm(
        self, silent: collections.abc.Iterable[ids.MemberId], now: float
    ) -> list[ids.MemberId]:
        """Return the silent entries to query a second member about."""
        to_query = []
        for entry in silent:
            state = self._entries.get(entry)
            if state is None or not state.streams:
                continue
            is_query_pending = state.queried_at is not None and (
                now - state.queried_at < CONFIRM_TIMEOUT_S
            )
            if not state.confirmed and not is_query_pending:
                state.queried_at = now
                to_query.append(entry)
        return to_query

    def confirm_gone(self, entry: ids.MemberId) -> list[messages.Held]:
        """Mark an entry as gone and return its streams to cancel."""
        state = self._entries.get(entry)
        if state is None:
            return []
        state.confirmed = True
        orphans = list(state.streams.values())
        state.streams = {}
        return orphans

    def count(self) -> int:
        """Return how many streams are watched."""
        return sum(len(state.streams) for state in self._entries.values())

    def _start_incarnation(
        self, entry: ids.MemberId, incarnation: int
    ) -> list[messages.Held]:
        state = self._entries.get(entry)
        if state is not None and state.incarnation == incarnation:
            return []
        self._entries[entry] = _Entry(incarnation, {})
        return list(state.streams.values()) if state else []
