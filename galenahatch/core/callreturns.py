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

"""Times at which rejected callers are asked to return.

Callers wait as asked for up to a third of their remaining time. The returns
are spaced by the rate at which room appears for them: what regular calls leave
or, while these leave less and the caller can still be in time, the share of
grants that `core/callqueue` gives to returning callers. If that reaches beyond
the time that a caller accepts, the return is staggered over the last part of
this time, as in `core/retryafter`: the contention may be over then, and calls
that were rejected together don't return together.

A caller that returns as asked goes ahead of first attempts. One that returns
earlier ranks behind them and is told the same time again, so that it gains
nothing.
"""

import bisect
import collections
import dataclasses
import enum
import random
import typing

from galenahatch.core import callqueue
from galenahatch.core import plaincalls

_MIN_WAIT_S: typing.Final = 0.05
"""A new connection and the way through a gateway take some of it."""
_HEEDED_FRACTION: typing.Final = 1 / 3
"""Fraction of its remaining time up to which a caller waits as asked."""
_STAGGER_FRACTION: typing.Final = 0.4
"""Fraction of the longest wait over which returns are staggered."""
_EARLY_TOLERANCE_S: typing.Final = 0.01
"""Callers round the time that they are told."""
_ARRIVAL_WINDOW_S: typing.Final = 0.1
"""Seconds after the due time within which most returns have arrived."""
_MAX_CALLERS: typing.Final = 4096
"""Most callers that are remembered: all that 2,900 requests a second can be
told within a call's usual deadline of 1.5 s; about 1 MB."""
_KEPT_SMOOTHING: typing.Final = 0.05
_INITIAL_KEPT_SHARE: typing.Final = 0.5


class Attempt(enum.Enum):
    """How a call relates to earlier ones of its caller.

    Attributes:
        FIRST: It was not rejected before, as far as is known.
        RETURNED: It was rejected, and returned when it was asked to.
        EARLY: It was rejected, and returned before it was asked to.
    """

    FIRST = 'first'
    RETURNED = 'returned'
    EARLY = 'early'


@dataclasses.dataclass(frozen=True)
class _Told:
    """A rejected caller.

    Attributes:
        first_at: Arrival of its first attempt.
        due_at: When it was asked to return; None once it has returned.
    """

    first_at: float
    due_at: float | None
    deadline: float


class CallReturns:
    """Callers that were asked to return.

    Args:
        random_source: Random source that staggers returns.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._told: collections.OrderedDict[str, _Told] = (
            collections.OrderedDict()
        )
        # Due times of all remembered callers in ascending order.
        self._due_times: list[float] = []
        self._last_due_at = 0.0
        self._kept_share = _INITIAL_KEPT_SHARE

    def __len__(self) -> int:
        return len(self._told)

    def record_arrival(self, fingerprint: str, now: float) -> Attempt:
        """Record the arrival of a call; return how it relates to others."""
        self._drop_expired(now)
        told = self._told.get(fingerprint)
        if told is None or told.due_at is None or told.deadline < now:
            return Attempt.FIRST
        if now < told.due_at - _EARLY_TOLERANCE_S:
            return Attempt.EARLY
        self._end_wait(told.due_at, is_kept=True)
        self._told[fingerprint] = dataclasses.replace(told, due_at=None)
        return Attempt.RETURNED

    def since_first_attempt(
        self, call: plaincalls.PlainCall, now: float
    ) -> plaincalls.PlainCall:
        """Return a call with the times of its caller's first attempt.

        The objective counts from there, also if that attempt was rejected.
        """
        told = self._told.get(call.fingerprint)
        if told is None or told.deadline < now:
            return call
        spent = max(0.0, call.arrived_at - told.first_at)
        return dataclasses.replace(
            call,
            objective_at=call.objective_at - spent,
            seconds_before=spent,
        )

    def expected(self, until: float, now: float) -> float:
        """Return the number of returns expected up to a time."""
        start = bisect.bisect_left(self._due_times, now - _ARRIVAL_WINDOW_S)
        end = bisect.bisect_right(self._due_times, until)
        return max(0, end - start) * self._kept_share

    def schedule(
        self,
        call: plaincalls.PlainCall,
        rate: float,
        spare_rate: float,
        latest_start: float,
        now: float,
    ) -> float:
        """Return the seconds after which a rejected caller should return.

        Args:
            call: The rejected call.
            rate: Calls a second that are granted.
            spare_rate: Calls a second that regular calls leave.
            latest_start: Time until which a grant lets the call be in time.
            now: Monotonic time in seconds.
        """
        told = self._told.get(call.fingerprint)
        if told is not None and told.due_at is not None and told.due_at > now:
            return told.due_at - now
        longest = _HEEDED_FRACTION * max(0.0, call.deadline - now)
        due_at = now + min(_MIN_WAIT_S, longest)
        room_rate = spare_rate
        if max(due_at, self._last_due_at) <= latest_start:
            room_rate = max(spare_rate, callqueue.RETURNED_SHARE * rate)
        if room_rate > 0:
            due_at = max(due_at, self._last_due_at + 1 / room_rate)
        if room_rate > 0 and due_at <= now + longest:
            self._last_due_at = due_at
        else:
            stagger = _STAGGER_FRACTION * self._random.random()
            due_at = now + longest * (1 - stagger)
        self._remember(call, due_at, now)
        return due_at - now

    def _remember(
        self, call: plaincalls.PlainCall, due_at: float, now: float
    ) -> None:
        if not call.fingerprint:
            return
        self._drop_expired(now)
        first_at = call.arrived_at - call.seconds_before
        if call.fingerprint in self._told:
            self._forget(call.fingerprint, is_kept=True)
        elif len(self._told) >= _MAX_CALLERS:
            return
        self._told[call.fingerprint] = _Told(first_at, due_at, call.deadline)
        bisect.insort(self._due_times, due_at)

    def _forget(self, fingerprint: str, is_kept: bool) -> None:
        told = self._told.pop(fingerprint)
        if told.due_at is not None:
            self._end_wait(told.due_at, is_kept)

    def _end_wait(self, due_at: float, is_kept: bool) -> None:
        del self._due_times[bisect.bisect_left(self._due_times, due_at)]
        self._kept_share += _KEPT_SMOOTHING * (is_kept - self._kept_share)

    def _drop_expired(self, now: float) -> None:
        """Drop callers whose deadline has passed, oldest first.

        A few with a longer deadline may hold back others; lookups check it.
        """
        while self._told:
            fingerprint, told = next(iter(self._told.items()))
            if told.deadline >= now:
                return
            self._forget(fingerprint, is_kept=False)
