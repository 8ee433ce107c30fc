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

"""Who is alive, who is leaving.

Three sources are joined: heartbeats, the platform's VM list, and a second
member's word. Heartbeats alone prove life. The VM list lags, so it is
believed when it says that a VM leaves or is gone, never when it says that
one lives. Leaving is final for an incarnation: a heartbeat that was
delayed and still says live does not bring a member back.
"""

import collections.abc
import dataclasses
import typing

import msgspec

from galenahatch import ids
from galenahatch import messages
from galenahatch import states

FORGET_AFTER_S: typing.Final = 30.0
"""Seconds of silence after which a member is no longer remembered."""


@dataclasses.dataclass
class _Member:
    heartbeat: messages.Heartbeat
    heard_at: float


def role_of(member: ids.MemberId) -> str:
    """Return the role in a member's id."""
    return member.partition('/')[0]


def address_of(member: ids.MemberId) -> str:
    """Return the IP number in a member's id."""
    return member.partition('/')[2].rpartition(':')[0]


class Membership:
    """Members known to one daemon.

    Args:
        silence: seconds without a heartbeat until a member is silent.
    """

    def __init__(self, silence: float) -> None:
        self.silence_timeout = silence
        self._members: dict[ids.MemberId, _Member] = {}
        self._leaving_vms: frozenset[str] = frozenset()
        self._listed_vms: frozenset[str] | None = None

    def record_heartbeat(
        self, heartbeat: messages.Heartbeat, now: float
    ) -> bool:
        """Take a heartbeat; return whether the member is new or restarted.

        Args:
            heartbeat: as received.
            now: monotonic seconds.
        """
        known = self._members.get(heartbeat.member)
        if known is None:
            self._members[heartbeat.member] = _Member(heartbeat, now)
            return True
        restarted = known.heartbeat.incarnation != heartbeat.incarnation
        was_leaving = known.heartbeat.standing is states.Standing.LEAVING
        if was_leaving and not restarted:
            heartbeat = msgspec.structs.replace(
                heartbeat, standing=states.Standing.LEAVING
            )
        known.heartbeat = heartbeat
        known.heard_at = now
        return restarted

    def record_vm_list(
        self,
        live: collections.abc.Iterable[str],
        leaving: collections.abc.Iterable[str],
    ) -> None:
        """Take the platform's VM list, as IP numbers."""
        self._leaving_vms = frozenset(leaving)
        self._listed_vms = frozenset(live) | self._leaving_vms

    def forget_silent(self, now: float) -> None:
        """Drop members that have been silent for long."""
        for member in self.silent_members(now, FORGET_AFTER_S):
            del self._members[member]

    def live_members(
        self, role: states.Role, now: float
    ) -> list[ids.MemberId]:
        """Return the members of a role that take new work, sorted."""
        return sorted(
            member
            for member, state in self._members.items()
            if role_of(member) == role.value
            and now - state.heard_at <= self.silence_timeout
            and state.heartbeat.standing is states.Standing.LIVE
            and address_of(member) not in self._leaving_vms
        )

    def silent_members(
        self, now: float, seconds: float | None = None
    ) -> list[ids.MemberId]:
        """Return the members not heard for some time."""
        limit = self.silence_timeout if seconds is None else seconds
        return [
            member
            for member, state in self._members.items()
            if now - state.heard_at > limit
        ]

    def silence_duration(self, member: ids.MemberId, now: float) -> float:
        """Return seconds since a member was heard; negative if never."""
        state = self._members.get(member)
        return now - state.heard_at if state else -1.0

    def incarnation_of(self, member: ids.MemberId) -> int | None:
        """Return a member's incarnation; None if it was never heard."""
        state = self._members.get(member)
        return state.heartbeat.incarnation if state else None

    def is_delisted(self, member: ids.MemberId) -> bool:
        """Return whether the VM list no longer has a member's VM."""
        if self._listed_vms is None:
            return False
        return address_of(member) not in self._listed_vms

    def heartbeats(self) -> list[messages.Heartbeat]:
        """Return the last heartbeat of each member, sorted by member."""
        return [
            self._members[member].heartbeat for member in sorted(self._members)
        ]

    def count(self) -> int:
        """Return how many members are remembered."""
        return len(self._members)
