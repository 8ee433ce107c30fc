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

"""Expected waits of the plain calls of one service.

The rate at which calls are granted is that at which the upstreams' windows
empty (`core/sendwindow`). A call that can't be in time is served late from the
capacity that regular calls leave, if they leave any.
"""

import math
import typing

from galenahatch.core import sendgrants

_ARRIVALS_S: typing.Final = 0.25
"""Time constant of the arrival rate: a burst has to be noticed within the
objective of a call."""
_TRIAL_INTERVAL_S: typing.Final = 0.5
"""Seconds between two grants while all upstreams get trials only."""

_MAX_RESERVED_SHARE: typing.Final = 0.75
"""Largest share of a call's time that is reserved for unusually long sends;
the rest is left for the wait."""


class ArrivalRate:
    """Exponentially decaying rate of arrivals."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._at = -math.inf
        self._since = 0.0

    def add(self, now: float) -> None:
        """Record an arrival."""
        if now - self._at > 4 * _ARRIVALS_S:
            self._sum, self._since = 0.0, now
        else:
            self._sum *= math.exp((self._at - now) / _ARRIVALS_S)
        self._sum += 1.0
        self._at = now

    def per_second(self, now: float) -> float:
        """Return the arrivals a second."""
        if not self._sum:
            return 0.0
        decayed = self._sum * math.exp((self._at - now) / _ARRIVALS_S)
        # Shortly after the first arrival the sum covers less time.
        covered = -math.expm1((self._since - now) / _ARRIVALS_S)
        return decayed / _ARRIVALS_S / max(covered, 0.1)


class CallEstimates:
    """Expected waits of calls.

    Args:
        grants: Granted sends of the service.
    """

    def __init__(self, grants: sendgrants.SendGrants) -> None:
        self._grants = grants
        self.arrivals = ArrivalRate()

    def rate(self, now: float) -> float:
        """Return the calls a second that are granted; 0 if unknown."""
        return self._grants.rate(now)

    def spare_rate(self, now: float) -> float:
        """Return the calls a second that regular calls leave."""
        return max(0.0, self.rate(now) - self.arrivals.per_second(now))

    def reserved_seconds(self, limit: float) -> float:
        """Return the seconds to reserve for the send of a call.

        That is what nine of ten sends take, so that a call which waits until
        the last moment is still answered in time. If that leaves hardly any
        time to wait, it is the mean: some calls are in time then.

        Args:
            limit: Seconds from the arrival of the call to its limit.
        """
        high = self._grants.high_hold_seconds()
        return max(
            self._grants.hold_seconds(), min(high, _MAX_RESERVED_SHARE * limit)
        )

    def start_delay(self, ahead: float, now: float) -> float:
        """Return the seconds until a call is granted.

        Args:
            ahead: Calls that are granted before it.
            now: Monotonic time in seconds.
        """
        rate = self.rate(now)
        if rate:
            return (ahead + 1) / rate
        return self._delay_without_rate(ahead, now)

    def late_delay(self, ahead: float, now: float) -> float:
        """Return the seconds until a late call is granted; may be infinite."""
        if not self.rate(now):
            return self._delay_without_rate(ahead, now)
        spare_rate = self.spare_rate(now)
        return (ahead + 1) / spare_rate if spare_rate else math.inf

    def _delay_without_rate(self, ahead: float, now: float) -> float:
        if not self._grants.is_suspended():
            return 0.0
        trial_at = self._grants.next_trial_at(now)
        delay = trial_at - now if trial_at is not None else 0.0
        return delay + ahead * _TRIAL_INTERVAL_S
