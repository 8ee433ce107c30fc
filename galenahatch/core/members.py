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

"""The members of a deployment, and their ranks.

The store numbers the rows that members write at their start, so all agree on
the order: the oldest member comes first. A member that restarted has lost its
state; it ranks last from the time at which this is noticed, until its new row
gives it a rank.

A rank is a version of the store (`core/versions`). A store restored from an
older copy may have lost rows; the rows that it has keep their order and are
ranked anew by the numbers that it lists. Ranks that members report count only
if they are of the era of the rows that were read.

Silence counts only while this process listens. A process that was suspended
for 0.9 s took all others for dead, and itself for the owner, for half a second
after it; two owners place requests on the same engines.
"""

import dataclasses
import math
import sys
import typing

from galenahatch.core import versions
from galenahatch import ids

SILENCE_TIMEOUT_S: typing.Final = 0.8
"""Seconds without a message after which a member counts as dead: three
heartbeats."""
HEARTBEAT_INTERVAL_S: typing.Final = 0.25
"""Seconds between heartbeats at full rate."""
LISTEN_INTERVAL_S: typing.Final = 0.25
"""Seconds between two reads of members' messages."""
FULL_RATE_MEMBERS: typing.Final = 40
"""Members above which heartbeats slow down, so that the owner's cost of
heartbeats stays constant."""
_MAX_LATENESS: typing.Final = 1.3
"""Multiple of its interval after which a slowed heartbeat counts as missed."""
_LAST_RANK: typing.Final = versions.Version(sys.maxsize, sys.maxsize)
NO_RANK: typing.Final = versions.Version(0, 0)
"""Rank of a member that has no row yet."""


@dataclasses.dataclass
class Member:
    """State of one member.

    Attributes:
        rank: Its rank; the lowest decides.
        stale_rank: Newest rank of a process of it that has ended.
        discovered_at: Time at which its row was first seen.
        follows_store: Whether it follows the store without errors.
        data_centre: Its data centre, or empty.
        proxy_port: Port on which it proxies requests; 0 if it doesn't.
        is_partitioned: Whether it says that it reaches no upstream.
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
    data_centre: str = ''
    proxy_port: int = 0
    is_partitioned: bool = False

    def update_rank(self, rank: versions.Version) -> None:
        """Set the rank if it is newer than the known one."""
        current = self.stale_rank if self.rank == _LAST_RANK else self.rank
        if rank > current:
            self.rank = rank

    def update_from_row(self, rank: versions.Version) -> None:
        """Set the rank of a row.

        After a restore, the row of a process that has ended may reappear.
        """
        is_restored = rank.number <= self.stale_rank.number
        if self.rank != _LAST_RANK or not is_restored:
            self.update_rank(rank)

    def record_restart(self) -> None:
        """Rank last until the row of the new process is known."""
        if self.rank != _LAST_RANK:
            self.stale_rank = self.rank
        self.rank = _LAST_RANK


def liveness_window(slowdown: float) -> float:
    """Return the seconds within which each reachable member is heard.

    Args:
        slowdown: Factor by which heartbeats are slowed down.
    """
    return max(
        SILENCE_TIMEOUT_S, _MAX_LATENESS * HEARTBEAT_INTERVAL_S * slowdown
    )


class Members:
    """All members with a row.

    Args:
        own_name: Name of this member.
    """

    def __init__(self, own_name: ids.MemberId) -> None:
        self._own_name = own_name
        self._own_rank = NO_RANK
        self._era = 0
        self._reported_size = 1
        self._last_listen_at = math.inf
        # Names by rank; None after ranks or members have changed.
        self._ranking: list[ids.MemberId] | None = None
        self.by_name: dict[ids.MemberId, Member] = {}

    @property
    def rank(self) -> versions.Version:
        """Rank of this member's row; number 0 until it has one."""
        return self._own_rank

    @property
    def size(self) -> int:
        """Number of members, by rows or by others' reports."""
        return max(1, len(self.by_name), self._reported_size)

    @property
    def heartbeat_slowdown(self) -> float:
        """Factor by which heartbeats are slowed down."""
        return max(1.0, self.size / FULL_RATE_MEMBERS)

    def add_row(
        self,
        name: ids.MemberId,
        port: int,
        rank: versions.Version,
        now: float,
    ) -> bool:
        """Add or update a member; return whether it is new."""
        self._era = max(self._era, rank.era)
        self._ranking = None
        member = self.by_name.get(name)
        if member is None:
            self.by_name[name] = Member(name, port, rank, now)
        else:
            member.update_from_row(rank)
            member.leaving = False
            member.unlisted_at = math.inf
        self._update_own_rank()
        return member is None

    def set_proxy(
        self, name: ids.MemberId, port: int, data_centre: str
    ) -> None:
        """Set where a member proxies requests, as stated in its row."""
        member = self.by_name[name]
        member.proxy_port = port
        member.data_centre = data_centre

    def record_partition(
        self, name: ids.MemberId, is_partitioned: bool
    ) -> None:
        """Record whether a member says that it reaches no upstream."""
        member = self.by_name.get(name)
        if member is not None:
            member.is_partitioned = is_partitioned

    def keep_unlisted(
        self, name: ids.MemberId, version: versions.Version, now: float
    ) -> bool:
        """Keep a member that a restored store lacks, if its row was lost.

        It ranks last until its row is written again.

        Args:
            name: Name of the member.
            version: Version as of which the store lists rows.
            now: Monotonic time in seconds.

        Returns:
            Whether it is kept. A row whose number the store has assigned again
            may have been removed.
        """
        member = self.by_name[name]
        if member.rank.number <= version.number:
            return False
        self._ranking = None
        member.rank = _LAST_RANK
        member.unlisted_at = min(member.unlisted_at, now)
        return True

    def unlisted_since(self, time: float) -> list[ids.MemberId]:
        """Return members that have had no row since a time."""
        return [n for n, m in self.by_name.items() if m.unlisted_at <= time]

    def remove(self, name: ids.MemberId) -> bool:
        """Remove a member whose row is gone; return whether it was known."""
        self._ranking = None
        return self.by_name.pop(name, None) is not None

    def record_join(self, rank: versions.Version) -> None:
        """Set the rank of this member's row."""
        self._ranking = None
        self._own_rank = rank
        self._update_own_rank()

    def record_row_lost(self) -> None:
        """Record that this member no longer has a row."""
        self.record_join(NO_RANK)

    def _update_own_rank(self) -> None:
        """Rank this member last until it has joined.

        A row from before a restart says nothing about this process.
        """
        member = self.by_name.get(self._own_name)
        if member is not None:
            is_placed = self._own_rank != NO_RANK
            member.rank = self._own_rank if is_placed else _LAST_RANK

    def stalled_seconds(self, now: float) -> float:
        """Return for how long this process has not listened as it should."""
        return max(0.0, now - self._last_listen_at - LISTEN_INTERVAL_S)

    def record_listen(self, now: float) -> float:
        """Record that this process runs and reads members' messages.

        Called every `LISTEN_INTERVAL_S` seconds. After a suspension it is
        called before the messages that arrived meanwhile are read: that time
        is no silence.

        Returns:
            Seconds for which this process was suspended; 0 if negligible.
        """
        paused = self.stalled_seconds(now)
        self._last_listen_at = now
        if paused < LISTEN_INTERVAL_S:
            return 0.0
        for member in self.by_name.values():
            member.heard_at = min(now, member.heard_at + paused)
        return paused

    def record_message(
        self,
        name: ids.MemberId,
        now: float,
        leaving: bool | None = None,
        incarnation: int = 0,
        rank: versions.Version = NO_RANK,
    ) -> None:
        """Record a message of a member.

        Args:
            name: Name of the member.
            now: Monotonic time in seconds.
            leaving: Whether it is stopping, if reported.
            incarnation: Incarnation of its process, if reported.
            rank: Rank of its process's row, if reported; a row that was read
                may be of an earlier process.
        """
        member = self.by_name.get(name)
        if member is None:
            return
        member.heard_at = now
        if leaving is not None:
            member.leaving = leaving
        previous = member.rank
        if incarnation and member.incarnation not in (0, incarnation):
            member.record_restart()
        member.incarnation = incarnation or member.incarnation
        if rank.era == self._era:
            member.update_rank(rank)
        if member.rank != previous:
            self._ranking = None

    def set_reported_size(self, size: int) -> None:
        """Set the size of the deployment that another member reports."""
        self._reported_size = size

    def set_follows_store(self, name: ids.MemberId, hears_store: bool) -> None:
        """Record whether a member follows the store."""
        member = self.by_name.get(name)
        if member is not None:
            member.follows_store = hears_store

    def first_following_store(
        self, now: float, reaches_upstreams: bool = False
    ) -> ids.MemberId | None:
        """Return the first other live member that follows the store.

        Args:
            now: Monotonic time in seconds.
            reaches_upstreams: Whether it must not be partitioned from them.
        """
        for name in self.by_rank():
            member = self.by_name[name]
            if name == self._own_name or not member.follows_store:
                continue
            if reaches_upstreams and member.is_partitioned:
                continue
            if self.is_live(name, now):
                return name
        return None

    def mark_silent(self, name: ids.MemberId) -> None:
        """Treat a member as dead until its next message."""
        member = self.by_name.get(name)
        if member is not None:
            member.heard_at = -1e9

    def by_rank(self) -> list[ids.MemberId]:
        """Return all members, the oldest first."""
        if self._ranking is None:
            self._ranking = sorted(
                self.by_name, key=lambda name: (self.by_name[name].rank, name)
            )
        return self._ranking

    def is_live(self, name: ids.MemberId, now: float) -> bool:
        """Return whether a member sends messages and is not stopping."""
        member = self.by_name.get(name)
        if member is None or member.leaving:
            return False
        listened_at = min(now, self._last_listen_at + LISTEN_INTERVAL_S)
        return (
            listened_at - member.heard_at
            < SILENCE_TIMEOUT_S * self.heartbeat_slowdown
        )

    def reachable_fraction(self, now: float) -> float:
        """Return the fraction of all members that this one decides for.

        Silent members may be dead, or have another owner.
        """
        listened_at = min(now, self._last_listen_at + LISTEN_INTERVAL_S)
        others = [
            m for name, m in self.by_name.items() if name != self._own_name
        ]
        window = liveness_window(self.heartbeat_slowdown)
        reachable = sum(listened_at - m.heard_at < window for m in others)
        return min(1.0, (1 + reachable) / self.size)

    def owner(self, leaving: bool, now: float) -> ids.MemberId:
        """Return the first live member; this one as a last resort.

        Args:
            leaving: Whether this member is stopping.
            now: Monotonic time in seconds.
        """
        for name in self.by_rank():
            if name == self._own_name:
                if not leaving:
                    return name
            elif self.is_live(name, now):
                return name
        return self._own_name
