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

"""Lease in the table that is safe without synchronised clocks.

The record holds a fencing token and a counter that the holder increments with
each renewal. Clocks are never compared: a standby takes over only after it has
observed an unchanged record for the full lease duration on its own monotonic
clock, using compare-and-set on the observed record. The holder stops much
earlier, half the duration after it *sent* its last renewal. A new holder then
waits until any order of the previous holder must have ended.
"""

import typing

import msgspec

from galenahatch import bounds
from galenahatch import ids

HOLD_FRACTION: typing.Final = 0.5
"""Fraction of the lease duration for which a renewal is valid."""


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Record of the lease in the table."""

    holder: typing.Annotated[ids.MemberId, bounds.TEXT]
    incarnation: bounds.Number
    fencing: bounds.Number
    renewal: bounds.Number


class Lease:
    """View of the lease at one controller.

    Args:
        member: Member ID of this controller.
        incarnation: Incarnation of this process.
        duration: Lease duration in seconds, the same on every controller.
        max_order_time: Seconds after which no order is still in transit.
    """

    def __init__(
        self,
        member: ids.MemberId,
        incarnation: int,
        duration: float,
        max_order_time: float,
    ) -> None:
        self._member = member
        self._incarnation = incarnation
        self._duration = duration
        self._max_order_time = max_order_time
        self._record: Record | None = None
        self._record_changed_at = 0.0
        self._valid_until = 0.0
        self._orders_allowed_at = 0.0

    @property
    def fencing(self) -> int:
        """Last observed fencing token."""
        return self._record.fencing if self._record else 0

    def observe(self, record: Record | None, now: float) -> None:
        """Record the value read from the table."""
        if record != self._record:
            self._record = record
            self._record_changed_at = now

    def propose(self, now: float) -> Record | None:
        """Return the record to compare-and-set, or None to stand by.

        The holder proposes a renewal. A standby proposes a takeover once the
        record has been unchanged for the lease duration.
        """
        current = self._record
        if current is None:
            return Record(self._member, self._incarnation, 1, 0)
        if self._is_own(current):
            return Record(
                current.holder,
                current.incarnation,
                current.fencing,
                current.renewal + 1,
            )
        if now - self._record_changed_at <= self._duration:
            return None
        return Record(self._member, self._incarnation, current.fencing + 1, 0)

    def record_accepted(
        self, record: Record, sent_at: float, now: float
    ) -> None:
        """Record that the table accepted a proposal.

        Args:
            record: Accepted record.
            sent_at: Time at which the transaction was sent.
            now: Time at which the response arrived.
        """
        is_takeover = (
            self._record is None or self._record.fencing != record.fencing
        )
        if is_takeover:
            self._orders_allowed_at = now + self._max_order_time
        self._record = record
        self._record_changed_at = now
        self._valid_until = sent_at + self._duration * HOLD_FRACTION

    def resign(self) -> None:
        """Stop sending orders."""
        self._valid_until = 0.0

    def may_send_orders(self, now: float) -> bool:
        """Return whether orders may be sent now."""
        current = self._record
        if current is None or not self._is_own(current):
            return False
        return self._orders_allowed_at <= now < self._valid_until

    def is_holder(self, now: float) -> bool:
        """Return whether this controller certainly holds the lease."""
        current = self._record
        return (
            current is not None
            and self._is_own(current)
            and now < self._valid_until
        )

    def _is_own(self, record: Record) -> bool:
        return (
            record.holder == self._member
            and record.incarnation == self._incarnation
        )
