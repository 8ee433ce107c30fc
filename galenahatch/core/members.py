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

"""The members of a deployment, and their order.

The store numbers the rows that members write at their start, so all see the
same order: who has been there longest comes first. A member that restarted
knows nothing; its place is at the end from the moment on at which it is
noticed, until its new row tells so.

A place is a version of the store (`core/versions`). A store that comes back
from an older copy may have lost rows; the rows that it has keep their order,
and are placed anew by the numbers that it lists. What members tell of their
places counts only if it is of the era of the rows that were read.

Silence counts only while this process listens. One that did not run for 0.9 s
took all others for away, and itself for the owner, for half a second after
it; what two owners place fills the same engines.
"""

import dataclasses
import math
import sys
import typing

from galenahatch.core import versions
from galenahatch import ids

SILENCE_TIMEOUT_S: typing.Final = 0.8
"""Seconds without a word after which a member counts as away: three beats."""
HEARTBEAT_INTERVAL_S: typing.Final = 0.25
"""Seconds between beats, where they are not slower."""
LISTEN_INTERVAL_S: typing.Final = 0.25
"""Seconds between two looks at what members send."""
FULL_RATE_MEMBERS: typing.Final = 40
"""Members from which on the beat slows down, so that what the owner spends
on beats stays the same."""
_LATE: typing.Final = 1.3
"""Times its interval after which a beat is missed, where beats are slow."""
_LAST: typing.Final = versions.Version(sys.maxsize, sys.maxsize)
NO_RANK: typing.Final = versions.Version(0, 0)
"""Of a member that has no row yet."""


@dataclasses.dataclass
class Member:
    """What is known of one member.

    Attributes:
        order: its place; the lowest decides.
        outdated: newest place of a process of it that has ended.
        found_at: when its row was first seen.
        hears_store: whether it follows the store without trouble.
    """

    address: str
    port: int
    rank: versions.Version
    discovered_at: float
    heard_at: float = -1e9
    leaving: bool = False
    incarnation: int = 0
    follows_store: bool = False
    stale_rank: versions.Version = NO_RANK
    unlisted_at: float = math.inf

    def update_rank(self, order: versions.Version) -> None:
        """Take a place, if it is newer than the one that is known."""
        known = self.stale_rank if self.rank == _LAST else self.rank
        if order > known:
            self.rank = order

    def update_from_row(self, order: versions.Version) -> None:
        """Take the place of a row.

        After a restore, the row of a process that has ended may be back.
        """
        is_back = order.number <= self.stale_rank.number
        if self.rank != _LAST or not is_back:
            self.update_rank(order)

    def record_restart(self) -> None:
        """Be last until the row of the new process is known."""
        if self.rank != _LAST:
            self.stale_rank = self.rank
        self.rank = _LAST


def liveness_window(slower: float) -> float:
    """Return the seconds in which each member that can be reached is heard.

    Args:
        slower: how many times slower than usual beats are.
    """
    return max(SILENCE_TIMEOUT_S, _LATE * HEARTBEAT_INTERVAL_S * slower)


class Members:
    """All members with a row.

    Args:
        me: this one.
    """

    def __init__(self, me: ids.MemberId) -> None:
        self._me = me
        self._joined = NO_RANK
        self._era = 0
        self._told_size = 1
        self._listened_at = math.inf
        # In their order; nothing once places or members have changed.
        self._ordered: list[ids.MemberId] | None = None
        self.by_name: dict[ids.MemberId, Member] = {}

    @property
    def rank(self) -> versions.Version:
        """The place that this member's row has got; number 0 until then."""
        return self._joined

    @property
    def size(self) -> int:
        """Members, by rows or by what others tell."""
        return max(1, len(self.by_name), self._told_size)

    @property
    def heartbeat_slowdown(self) -> float:
        """How many times slower than usual beats are."""
        return max(1.0, self.size / FULL_RATE_MEMBERS)

    def add_row(
        self,
        name: ids.MemberId,
        port: int,
        order: versions.Version,
        now: float,
    ) -> bool:
        """Take a row; return whether the member is new."""
        self._era = max(self._era, order.era)
        self._ordered = None
        member = self.by_name.get(name)
        if member is None:
            self.by_name[name] = Member(name, port, order, now)
        else:
            member.update_from_row(order)
            member.leaving = False
            member.unlisted_at = math.inf
        self._place_me()
        return member is None

    def keep_unlisted(
        self, name: ids.MemberId, version: versions.Version, now: float
    ) -> bool:
        """Keep a member that a restored store lacks, if its row was lost.

        It is last until its row is written again.

        Args:
            name: of the member.
            version: as of which the store lists rows.
            now: monotonic seconds.

        Returns:
            Whether it is kept. A row with a number that the store has given
            out again may have been removed.
        """
        member = self.by_name[name]
        if member.rank.number <= version.number:
            return False
        self._ordered = None
        member.rank = _LAST
        member.unlisted_at = min(member.unlisted_at, now)
        return True

    def unlisted_since(self, moment: float) -> list[ids.MemberId]:
        """Return members that have had no row since a moment."""
        return [n for n, m in self.by_name.items() if m.unlisted_at <= moment]

    def remove(self, name: ids.MemberId) -> bool:
        """Forget a member whose row is gone; return whether it was known."""
        self._ordered = None
        return self.by_name.pop(name, None) is not None

    def record_join(self, order: versions.Version) -> None:
        """Note the place that this member's row has got."""
        self._ordered = None
        self._joined = order
        self._place_me()

    def record_row_lost(self) -> None:
        """Note that this member has no row any more."""
        self.record_join(NO_RANK)

    def _place_me(self) -> None:
        """Keep this member last until it has joined.

        A row of before a restart tells of what this process does not know.
        """
        me = self.by_name.get(self._me)
        if me is not None:
            is_placed = self._joined != NO_RANK
            me.rank = self._joined if is_placed else _LAST

    def record_listen(self, now: float) -> float:
        """Note that this process runs, and reads what members send.

        To be called every `LISTEN_EVERY` seconds. After a pause it comes
        before what was sent meanwhile is read: that time is no silence.

        Returns:
            Seconds for which this process did not run; 0 if hardly any.
        """
        missed = now - self._listened_at - LISTEN_INTERVAL_S
        self._listened_at = now
        if missed < LISTEN_INTERVAL_S:
            return 0.0
        for member in self.by_name.values():
            member.heard_at = min(now, member.heard_at + missed)
        return missed

    def record_message(
        self,
        name: ids.MemberId,
        now: float,
        leaving: bool | None = None,
        incarnation: int = 0,
        order: versions.Version = NO_RANK,
    ) -> None:
        """Note a word of a member.

        Args:
            name: of the member.
            now: monotonic seconds.
            leaving: whether it stops, if it told.
            incarnation: of its process, if it told.
            order: of its process's row, if it told; a row that was read
                may be of an earlier process.
        """
        member = self.by_name.get(name)
        if member is None:
            return
        member.heard_at = now
        if leaving is not None:
            member.leaving = leaving
        before = member.rank
        if incarnation and member.incarnation not in (0, incarnation):
            member.record_restart()
        member.incarnation = incarnation or member.incarnation
        if order.era == self._era:
            member.update_rank(order)
        if member.rank != before:
            self._ordered = None

    def set_reported_size(self, size: int) -> None:
        """Note how many members one that is asked often knows of."""
        self._told_size = size

    def set_follows_store(self, name: ids.MemberId, hears_store: bool) -> None:
        """Note whether a member hears the store."""
        member = self.by_name.get(name)
        if member is not None:
            member.follows_store = hears_store

    def first_following_store(self, now: float) -> ids.MemberId | None:
        """Return the first member beside this one that hears the store."""
        for name in self.by_rank():
            if name == self._me or not self.by_name[name].follows_store:
                continue
            if self.is_live(name, now):
                return name
        return None

    def mark_silent(self, name: ids.MemberId) -> None:
        """Count a member as away until it is heard again."""
        member = self.by_name.get(name)
        if member is not None:
            member.heard_at = -1e9

    def by_rank(self) -> list[ids.MemberId]:
        """Return all members, who has been there longest first."""
        if self._ordered is None:
            self._ordered = sorted(
                self.by_name, key=lambda name: (self.by_name[name].rank, name)
            )
        return self._ordered

    def is_live(self, name: ids.MemberId, now: float) -> bool:
        """Return whether a member answers and does not stop."""
        member = self.by_name.get(name)
        if member is None or member.leaving:
            return False
        listened = min(now, self._listened_at + LISTEN_INTERVAL_S)
        return (
            listened - member.heard_at
            < SILENCE_TIMEOUT_S * self.heartbeat_slowdown
        )

    def reachable_fraction(self, now: float) -> float:
        """Return which part of all members this one decides for.

        Those that are silent may be gone, or be decided for elsewhere.
        """
        listened = min(now, self._listened_at + LISTEN_INTERVAL_S)
        others = [m for name, m in self.by_name.items() if name != self._me]
        within = liveness_window(self.heartbeat_slowdown)
        heard = sum(listened - m.heard_at < within for m in others)
        return min(1.0, (1 + heard) / self.size)

    def owner(self, leaving: bool, now: float) -> ids.MemberId:
        """Return the first member that answers; this one in the end.

        Args:
            leaving: whether this one stops.
            now: monotonic seconds.
        """
        for name in self.by_rank():
            if name == self._me:
                if not leaving:
                    return name
            elif self.is_live(name, now):
                return name
        return self._me
