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

"""One lease in the table, safe without synchronised clocks.

The record holds a fencing number and a counter that the holder raises with
each renewal. Nobody compares clocks: a standby takes the lease only after
it has itself seen the record unchanged for the lease's whole length, on
its own monotonic clock, and by compare-and-set on what it saw. The holder
stops much earlier, half the length after the last renewal *began*. A new
holder then waits until the longest order of the old one must be over.
"""

import typing

import msgspec

from galenahatch import ids

HOLD_FRACTION: typing.Final = 0.5
"""Share of the lease's length for which the holder trusts a renewal."""


class Record(msgspec.Struct, frozen=True, array_like=True):
    """The lease as it stands in the table."""

    holder: ids.MemberId
    incarnation: int
    fencing: int
    renewal: int


class Lease:
    """One controller's view of the lease.

    Args:
        member: this controller.
        incarnation: of this process.
        length: seconds; the same on every controller.
        longest_order: seconds after which no order is on its way.
    """

    def __init__(
        self,
        member: ids.MemberId,
        incarnation: int,
        length: float,
        longest_order: float,
    ) -> None:
        self._member = member
        self._incarnation = incarnation
        self._length = length
        self._longest_order = longest_order
        self._seen: Record | None = None
        self._seen_at = 0.0
        self._valid_until = 0.0
        self._orders_from = 0.0

    @property
    def fencing(self) -> int:
        """Fencing number last seen."""
        return self._seen.fencing if self._seen else 0

    def observe(self, record: Record | None, now: float) -> None:
        """Take the record as read from the table."""
        if record != self._seen:
            self._seen = record
            self._seen_at = now

    def propose(self, now: float) -> Record | None:
        """Return the record to compare-and-set, or None to stand by.

        The holder proposes a renewal; a standby proposes to take over once
        the record has not changed for the lease's length.
        """
        seen = self._seen
        if seen is None:
            return Record(self._member, self._incarnation, 1, 0)
        if self._is_mine(seen):
            return Record(
                seen.holder, seen.incarnation, seen.fencing, seen.renewal + 1
            )
        if now - self._seen_at <= self._length:
            return None
        return Record(self._member, self._incarnation, seen.fencing + 1, 0)

    def record_accepted(
        self, record: Record, began: float, now: float
    ) -> None:
        """Note that the table took a proposal.

        Args:
            record: the proposal.
            began: when the transaction was sent.
            now: when its answer came.
        """
        fresh = self._seen is None or self._seen.fencing != record.fencing
        if fresh:
            self._orders_from = now + self._longest_order
        self._seen = record
        self._seen_at = now
        self._valid_until = began + self._length * HOLD_FRACTION

    def resign(self) -> None:
        """Send no order any more."""
        self._valid_until = 0.0

    def may_send_orders(self, now: float) -> bool:
        """Return whether an order may be sent now."""
        seen = self._seen
        if seen is None or not self._is_mine(seen):
            return False
        return self._orders_from <= now < self._valid_until

    def is_holder(self, now: float) -> bool:
        """Return whether this controller holds the lease for sure."""
        seen = self._seen
        return (
            seen is not None
            and self._is_mine(seen)
            and now < self._valid_until
        )

    def _is_mine(self, record: Record) -> bool:
        return (
            record.holder == self._member
            and record.incarnation == self._incarnation
        )
