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

"""Membership: which members are live, silent or leaving.

It merges three sources: heartbeats, the platform's VM list, and confirmation
by a second member. Only heartbeats prove that a member is live. The VM list
lags, so it is trusted when it reports a VM as leaving or gone, but not when
it reports one as live. Leaving is final for an incarnation: a delayed
heartbeat that reports a member as live does not revert it.
"""

import collections.abc
import dataclasses
import typing

import msgspec

from galenahatch import ids
from galenahatch import messages
from galenahatch import states

FORGET_AFTER_S: typing.Final = 30.0
"""Seconds of silence after which a member is removed."""


@dataclasses.dataclass
class _Member:
    heartbeat: messages.Heartbeat
    heard_at: float


def role_of(member: ids.MemberId) -> str:
    """Return the role in a member's ID."""
    return member.partition('/')[0]


def address_of(member: ids.MemberId) -> str:
    """Return the IP address in a member's ID."""
    return member.partition('/')[2].rpartition(':')[0]


class Membership:
    """Members known to one daemon.

    Args:
        silence_timeout: Seconds without a heartbeat after which a member is
            silent.
    """

    def __init__(self, silence_timeout: float) -> None:
        self.silence_timeout = silence_timeout
        self._members: dict[ids.MemberId, _Member] = {}
        self._leaving_vms: frozenset[str] = frozenset()
        self._listed_vms: frozenset[str] | None = None

    def record_heartbeat(
        self, heartbeat: messages.Heartbeat, now: float
    ) -> bool:
        """Record a heartbeat; return whether its member is new or restarted.

        Args:
            heartbeat: Heartbeat as received.
            now: Monotonic seconds.
        """
        member = self._members.get(heartbeat.member)
        if member is None:
            self._members[heartbeat.member] = _Member(heartbeat, now)
            return True
        is_restarted = member.heartbeat.incarnation != heartbeat.incarnation
        was_leaving = member.heartbeat.standing is states.Standing.LEAVING
        if was_leaving and not is_restarted:
            heartbeat = msgspec.structs.replace(
                heartbeat, standing=states.Standing.LEAVING
            )
        member.heartbeat = heartbeat
        member.heard_at = now
        return is_restarted

    def record_vm_list(
        self,
        live_addresses: collections.abc.Iterable[str],
        leaving_addresses: collections.abc.Iterable[str],
    ) -> None:
        """Record the IP addresses in the platform's VM list."""
        self._leaving_vms = frozenset(leaving_addresses)
        self._listed_vms = frozenset(live_addresses) | self._leaving_vms

    def forget_silent(self, now: float) -> None:
        """Remove members that have been silent for `FORGET_AFTER_S`."""
        for member in self.silent_members(now, FORGET_AFTER_S):
            del self._members[member]

    def live_members(
        self, role: states.Role, now: float
    ) -> list[ids.MemberId]:
        """Return the members of a role that accept new work, sorted."""
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
        """Return the members without a heartbeat for some time.

        Args:
            now: Monotonic seconds.
            seconds: Minimum silence; the silence timeout if None.
        """
        limit = self.silence_timeout if seconds is None else seconds
        return [
            member
            for member, state in self._members.items()
            if now - state.heard_at > limit
        ]

    def silence_duration(self, member: ids.MemberId, now: float) -> float:
        """Return seconds since a member's last heartbeat; -1 if none."""
        state = self._members.get(member)
        return now - state.heard_at if state else -1.0

    def incarnation_of(self, member: ids.MemberId) -> int | None:
        """Return a member's incarnation, or None if it is unknown."""
        state = self._members.get(member)
        return state.heartbeat.incarnation if state else None

    def is_delisted(self, member: ids.MemberId) -> bool:
        """Return whether a member's VM is missing from the VM list."""
        if self._listed_vms is None:
            return False
        return address_of(member) not in self._listed_vms

    def heartbeats(self) -> list[messages.Heartbeat]:
        """Return the last heartbeat of each member, sorted by member."""
        return [
            self._members[member].heartbeat for member in sorted(self._members)
        ]

    def count(self) -> int:
        """Return the number of known members."""
        return len(self._members)
