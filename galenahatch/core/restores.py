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

"""What to believe of a list that comes from an older copy of the store.

The copy lists entries again that were removed since it was made, and lacks
those that were written since. Upstreams that live write theirs again, and the
store removes those of upstreams that don't, but both takes seconds. Until
then

- an entry that was known as gone stays so (it is doubted), unless its number
  is higher than the one at which it went, which only a later write can have,
  or a change of it is seen;
- an entry that is lacking is kept if it appeared at a higher number than all
  that the copy has: it can't have been removed, only lost.

After a while the list is believed as it stands. Times are monotonic seconds;
there is no input or output here.
"""

import collections.abc
import dataclasses
import typing

RETENTION_S: typing.Final = 2.0
"""Seconds within which the platform promises that upstreams which live have
written their entries again."""
_HEARTBEATS: typing.Final = 3
"""Heartbeats of an upstream without which the store removes its entry."""


@dataclasses.dataclass(frozen=True)
class KnownEntry:
    """What is known of an entry.

    Attributes:
        number: of the store's version at its last change.
        gone: whether it names nothing to use.
        since: number at which it appeared; 0 if that was not seen.
    """

    number: int
    is_gone: bool
    appeared_at: int = 0


class RestoreReconciler:
    """Entries of a restored list that are not believed yet.

    Args:
        heartbeat: seconds between two writes of an upstream's entry.
    """

    def __init__(self, heartbeat: float) -> None:
        self._doubt = RETENTION_S + _HEARTBEATS * heartbeat
        # Up to which number an entry is doubted, and until when.
        self._doubted: dict[str, tuple[int, float]] = {}
        # Number at which an entry appeared, and until when it counts.
        self._kept: dict[str, tuple[int, float]] = {}

    @property
    def is_settled(self) -> bool:
        """Whether all is believed as it is listed."""
        return not self._doubted and not self._kept

    @property
    def retained(self) -> collections.abc.Set[str]:
        """Entries that count though they are not listed."""
        return self._kept.keys()

    def reconcile(
        self,
        before: collections.abc.Mapping[str, KnownEntry],
        listed: collections.abc.Mapping[str, int],
        newest: int,
        now: float,
    ) -> None:
        """Compare the first list after a restore with what was known.

        Args:
            before: entries as they were known.
            listed: number of each entry in the list.
            newest: number of the version as of which the list is.
            now: monotonic seconds.
        """
        known = {
            **before,
            **{
                key: KnownEntry(n, False, n)
                for key, (n, _) in self._kept.items()
            },
            **{
                key: KnownEntry(n, True)
                for key, (n, _) in self._doubted.items()
            },
        }
        self._doubted = {
            key: (known[key].number, now + self._doubt)
            for key, number in listed.items()
            if key in known
            and known[key].is_gone
            and number <= known[key].number
        }
        self._kept = {
            key: (entry.appeared_at, now + RETENTION_S)
            for key, entry in known.items()
            if key not in listed
            and not entry.is_gone
            and entry.appeared_at > newest
        }

    def is_suspect(self, key: str, number: int) -> bool:
        """Return whether an entry of a list is not to be used yet."""
        return key in self._doubted and number <= self._doubted[key][0]

    def record_change(self, key: str) -> None:
        """Note that a change of an entry was seen."""
        self._doubted.pop(key, None)
        self._kept.pop(key, None)

    def expire(self, now: float) -> tuple[list[str], list[str]]:
        """Return entries that are no longer doubted, or no longer kept."""
        believed = [k for k, (_, at) in self._doubted.items() if at <= now]
        lost = [key for key, (_, at) in self._kept.items() if at <= now]
        for key in believed + lost:
            self.record_change(key)
        return believed, lost
