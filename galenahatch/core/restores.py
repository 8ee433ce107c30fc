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

"""Reconciliation of an entry list after the store was restored from a backup.

A backup still lists entries that were removed after it was made, and lacks
entries written after it. Live upstreams rewrite their entries and the store
removes those of dead upstreams, but both take seconds. Until then:

- A listed entry that was known to be gone is suspect and not used, unless its
  version number is higher than that of its removal, which only a later write
  can have, or a change of it is observed.
- A missing entry is retained if it appeared at a higher version number than
  the backup's: it can't have been removed, only lost.

After a delay the list is accepted as it is. Times are monotonic seconds. This
module does no I/O.
"""

import collections.abc
import dataclasses
import typing

RETENTION_S: typing.Final = 2.0
"""Seconds within which the platform guarantees that live upstreams have
rewritten their entries."""
_MISSED_HEARTBEATS: typing.Final = 3
"""Missed heartbeats after which the store removes an upstream's entry."""


@dataclasses.dataclass(frozen=True)
class KnownEntry:
    """Known state of an entry.

    Attributes:
        number: Store version number of the entry's last change.
        is_gone: Whether the entry names no usable upstream.
        appeared_at: Store version number at which the entry appeared; 0 if
            that was not observed.
    """

    number: int
    is_gone: bool
    appeared_at: int = 0


class RestoreReconciler:
    """Tracks the suspect and retained entries after a restore.

    Args:
        heartbeat: Seconds between two writes of an upstream's entry.
    """

    def __init__(self, heartbeat: float) -> None:
        self._suspect_s = RETENTION_S + _MISSED_HEARTBEATS * heartbeat
        # Maximum version number at which an entry is suspect, and the time
        # until which it is.
        self._suspects: dict[str, tuple[int, float]] = {}
        # Version number at which an entry appeared, and the time until which
        # it is retained.
        self._retained: dict[str, tuple[int, float]] = {}

    @property
    def is_settled(self) -> bool:
        """Whether no entry is suspect or retained."""
        return not self._suspects and not self._retained

    @property
    def retained(self) -> collections.abc.Set[str]:
        """Entries that remain in use although they are not listed."""
        return self._retained.keys()

    def reconcile(
        self,
        previous: collections.abc.Mapping[str, KnownEntry],
        listed: collections.abc.Mapping[str, int],
        list_number: int,
        now: float,
    ) -> None:
        """Compare the first list after a restore with the known entries.

        Args:
            previous: Known entries before the restore.
            listed: Version number of each listed entry.
            list_number: Store version number of the list.
            now: Monotonic seconds.
        """
        entries = {
            **previous,
            **{
                key: KnownEntry(n, False, n)
                for key, (n, _) in self._retained.items()
            },
            **{
                key: KnownEntry(n, True)
                for key, (n, _) in self._suspects.items()
            },
        }
        self._suspects = {
            key: (entries[key].number, now + self._suspect_s)
            for key, number in listed.items()
            if key in entries
            and entries[key].is_gone
            and number <= entries[key].number
        }
        self._retained = {
            key: (entry.appeared_at, now + RETENTION_S)
            for key, entry in entries.items()
            if key not in listed
            and not entry.is_gone
            and entry.appeared_at > list_number
        }

    def is_suspect(self, key: str, number: int) -> bool:
        """Return whether a listed entry must not be used yet."""
        return key in self._suspects and number <= self._suspects[key][0]

    def record_change(self, key: str) -> None:
        """Record an observed change, which settles an entry."""
        self._suspects.pop(key, None)
        self._retained.pop(key, None)

    def expire(self, now: float) -> tuple[list[str], list[str]]:
        """Settle and return entries no longer suspect or no longer retained.

        Returns:
            Keys of listed entries that are now accepted, and keys of missing
            entries that are now dropped.
        """
        accepted = [k for k, (_, at) in self._suspects.items() if at <= now]
        dropped = [key for key, (_, at) in self._retained.items() if at <= now]
        for key in accepted + dropped:
            self.record_change(key)
        return accepted, dropped
