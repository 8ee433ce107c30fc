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

"""Streams that a watcher cancels should their entry go.

An engine keeps a stream when a connection drops, so only an explicit
cancel frees its memory. Each entry tells its watchers of a stream before
it sends work, and again in a complete report with every heartbeat. A
watcher takes over a silent entry's streams once a second member has not
heard the entry either, or the VM list no longer has its VM. A restarted
entry proves that its former incarnation is gone.
"""

import collections.abc
import dataclasses
import typing

from galenahatch import ids
from galenahatch import messages

CONFIRM_TIMEOUT_S: typing.Final = 0.5
"""Seconds for which a second member's answer is waited for."""


@dataclasses.dataclass
class _Entry:
    incarnation: int
    streams: dict[ids.StreamId, messages.Held]
    asked_at: float | None = None
    confirmed: bool = False


class StreamWatch:
    """Streams by entry."""

    def __init__(self) -> None:
        self._entries: dict[ids.MemberId, _Entry] = {}

    def add(
        self,
        entry: ids.MemberId,
        incarnation: int,
        held: collections.abc.Iterable[messages.Held],
    ) -> list[messages.Held]:
        """Add streams; return orphans of an earlier incarnation."""
        orphans = self._renew(entry, incarnation)
        for one in held:
            self._entries[entry].streams[one.stream] = one
        return orphans

    def apply_report(self, report: messages.HeldReport) -> list[messages.Held]:
        """Take a complete report; return orphans of an earlier one."""
        orphans = self._renew(report.entry, report.incarnation)
        streams = {one.stream: one for one in (*report.held, *report.watched)}
        self._entries[report.entry].streams = streams
        return orphans

    def remove(self, entry: ids.MemberId, stream: ids.StreamId) -> None:
        """Forget a stream that ended."""
        state = self._entries.get(entry)
        if state is not None:
            state.streams.pop(stream, None)

    def remove_stream(self, stream: ids.StreamId) -> None:
        """Forget a stream that ended, whosever it was."""
        for state in self._entries.values():
            state.streams.pop(stream, None)

    def record_heartbeat(
        self, entry: ids.MemberId, incarnation: int
    ) -> list[messages.Held]:
        """Note a sign of life; return orphans of an earlier incarnation."""
        state = self._entries.get(entry)
        if state is None:
            return []
        orphans = self._renew(entry, incarnation)
        self._entries[entry].asked_at = None
        self._entries[entry].confirmed = False
        return orphans

    def entries_to_confirm(
        self, silent: collections.abc.Iterable[ids.MemberId], now: float
    ) -> list[ids.MemberId]:
        """Return silent entries to ask a second member about."""
        asked = []
        for entry in silent:
            state = self._entries.get(entry)
            if state is None or not state.streams:
                continue
            waited = state.asked_at is not None and (
                now - state.asked_at < CONFIRM_TIMEOUT_S
            )
            if not state.confirmed and not waited:
                state.asked_at = now
                asked.append(entry)
        return asked

    def confirm_gone(self, entry: ids.MemberId) -> list[messages.Held]:
        """Return the streams to cancel: the entry is taken for gone."""
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

    def _renew(
        self, entry: ids.MemberId, incarnation: int
    ) -> list[messages.Held]:
        state = self._entries.get(entry)
        if state is not None and state.incarnation == incarnation:
            return []
        self._entries[entry] = _Entry(incarnation, {})
        return list(state.streams.values()) if state else []
