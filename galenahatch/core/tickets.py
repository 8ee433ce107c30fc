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

"""Retry tickets that reserve capacity for callers of rejected requests.

A rejected request gets a ticket with its `Retry-After`. Work promised by
tickets counts as ahead of new requests of the same and less urgent classes,
so that these are not admitted at its expense. A caller that retries in time
with its ticket is served before the others of its class. Unredeemed tickets
expire; promised work is weighted by the recent fraction of redeemed tickets.
"""

import dataclasses
import typing

from galenahatch import states

GRACE_S: typing.Final = 5.0
"""Seconds for which a ticket stays valid after it is due."""
EARLY_S: typing.Final = 0.5
"""Seconds by which a ticket may be redeemed early."""
MAX_TICKETS: typing.Final = 5000
_MAX_PROMISED_SHARE: typing.Final = 0.5
"""Maximum fraction of the cell's admission rate promised by tickets."""


_SMOOTHING: typing.Final = 0.05


@dataclasses.dataclass(frozen=True)
class Ticket:
    """Ticket that promises capacity for one request."""

    due: float
    cost: float
    urgency: states.Urgency


class Tickets:
    """Outstanding tickets; times are monotonic seconds."""

    def __init__(self) -> None:
        self._tickets: dict[str, Ticket] = {}
        self._last_due = 0.0
        self._redeemed_share = 0.0

    def __len__(self) -> int:
        return len(self._tickets)

    def issue(
        self,
        ticket: str,
        wait: float,
        rate: float,
        cost: float,
        urgency: states.Urgency,
        now: float,
    ) -> float:
        """Issue a ticket and return the seconds until it is due.

        Args:
            ticket: New ID of the ticket.
            wait: Predicted seconds until there is capacity.
            rate: Requests per second that the cell admits.
            cost: Prefill time of the request in seconds.
            urgency: Urgency class of the request.
            now: Monotonic seconds.
        """
        self._drop_expired(now)
        due = max(
            now + wait, self._last_due + 1 / (rate * _MAX_PROMISED_SHARE)
        )
        if len(self._tickets) < MAX_TICKETS:
            self._tickets[ticket] = Ticket(due, cost, urgency)
            self._last_due = due
        return due - now

    def redeem(self, ticket: str, now: float) -> bool:
        """Use up a ticket that is due; return whether it is valid."""
        entry = self._tickets.get(ticket)
        if entry is None or now < entry.due - EARLY_S:
            return False
        del self._tickets[ticket]
        if now > entry.due + GRACE_S:
            return False
        self._record_outcome(1.0)
        return True

    def promised_work(
        self, until: float, urgency: states.Urgency, now: float
    ) -> float:
        """Return the promised prefill seconds ahead of a new request.

        Args:
            until: Time at which the new request must start.
            urgency: Urgency class of the new request.
            now: Monotonic seconds.
        """
        work = sum(
            entry.cost
            for entry in self._tickets.values()
            if now - GRACE_S <= entry.due <= until and entry.urgency <= urgency
        )
        return work * self._redeemed_share

    def _record_outcome(self, sample: float) -> None:
        self._redeemed_share += _SMOOTHING * (sample - self._redeemed_share)

    def _drop_expired(self, now: float) -> None:
        """Drop expired tickets, which are ordered by due time."""
        for ticket, entry in list(self._tickets.items()):
            if entry.due + GRACE_S >= now:
                return
            del self._tickets[ticket]
            self._record_outcome(0.0)
