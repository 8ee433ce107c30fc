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

"""Promises of room to callers that were given up.

A request that is given up gets a ticket with its `Retry-After`. Work that
was promised counts as ahead of new requests of its class and of less
urgent ones, so that these are not let in at its cost, and a caller that
comes back in time with its ticket is served before the others of its
class. A promise that nobody redeems lapses; promises count by the share
that is redeemed lately.
"""

import dataclasses
import typing

from galenahatch import states

GRACE_S: typing.Final = 5.0
"""Seconds for which a promise is kept after its time."""
EARLY_S: typing.Final = 0.5
"""Seconds by which a caller may be early."""
MAX_TICKETS: typing.Final = 5000
_SHARE: typing.Final = 0.5
"""Share of the cell's intake that is promised at most."""


_SMOOTHING: typing.Final = 0.05


@dataclasses.dataclass(frozen=True)
class Ticket:
    """Room promised for one request."""

    due: float
    cost: float
    urgency: states.Urgency


class Tickets:
    """Outstanding promises; times are monotonic seconds."""

    def __init__(self) -> None:
        self._due: dict[str, Ticket] = {}
        self._last_due = 0.0
        self._redeemed = 0.0

    def __len__(self) -> int:
        return len(self._due)

    def issue(
        self,
        ticket: str,
        wait: float,
        rate: float,
        cost: float,
        urgency: states.Urgency,
        now: float,
    ) -> float:
        """Promise room and return in how many seconds.

        Args:
            ticket: fresh id of the promise.
            wait: predicted seconds until there is room.
            rate: requests a second that the cell takes in.
            cost: prefill seconds of the request.
            urgency: its class.
            now: monotonic seconds.
        """
        self._forget(now)
        due = max(now + wait, self._last_due + 1 / (rate * _SHARE))
        if len(self._due) < MAX_TICKETS:
            self._due[ticket] = Ticket(due, cost, urgency)
            self._last_due = due
        return due - now

    def redeem(self, ticket: str, now: float) -> bool:
        """Return whether a ticket is good now; it is used up then."""
        promise = self._due.get(ticket)
        if promise is None or now < promise.due - EARLY_S:
            return False
        del self._due[ticket]
        if now > promise.due + GRACE_S:
            return False
        self._note(1.0)
        return True

    def promised_work(
        self, until: float, urgency: states.Urgency, now: float
    ) -> float:
        """Return the prefill seconds that come before a new request.

        Args:
            until: when the new request must start.
            urgency: its class.
            now: monotonic seconds.
        """
        promised = sum(
            promise.cost
            for promise in self._due.values()
            if now - GRACE_S <= promise.due <= until
            and promise.urgency <= urgency
        )
        return promised * self._redeemed

    def _note(self, redeemed: float) -> None:
        self._redeemed += _SMOOTHING * (redeemed - self._redeemed)

    def _forget(self, now: float) -> None:
        """Forget the promises that lapsed; they are in order of time."""
        for ticket, promise in list(self._due.items()):
            if promise.due + GRACE_S >= now:
                return
            del self._due[ticket]
            self._note(0.0)
