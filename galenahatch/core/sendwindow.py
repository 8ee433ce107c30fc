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

"""Window of sends in flight at one upstream of a plain service.

The window is self-clocked: a send is granted only after another one has ended,
so that grants follow the upstream's capacity without an estimate of its rate.
To keep all slots executing, the sends in flight have to cover the execution
and the messages between two executions in a slot. At a rate of slots / work
seconds, that is

    slots x (1 + message seconds / work seconds).

The messages are the response, the report of its end, the next grant and the
next request. The owner measures two of them: the time between grant and
reported end, less the seconds that the gateway measured. The window is rounded
up to at least one send more than the slots, so the upstream's queue holds
about one call, and a call that is granted starts within a fraction of the work
seconds.

Rejections and failures shrink the window multiplicatively, answers grow it
additively. Failures count only as far as they exceed those of the best
sibling, since requests that fail wherever they run say nothing about the
upstream. An upstream that fails nearly everything gets single trials with an
exponential back-off; it ends its calls at once, so it would otherwise always
have room and drain the queue.
"""

import dataclasses
import math
import typing

from galenahatch.core import loadreports
from galenahatch.core import plaincalls

_MAX_EXCESS_SHARE: typing.Final = 0.5
"""Most sends beyond the slots, as a share of the slots: with more, a granted
call may wait at the upstream longer than half of its execution."""
_GROWTH_SHARE: typing.Final = 0.08
"""Growth by each answer, as a share of the bound: a window recovers within
about two rounds of its slots."""
_REJECTION_FACTOR: typing.Final = 0.7
"""Factor of the window on a rejection; once per execution time, because one
full queue rejects several calls at a time."""
_FAILURE_FACTOR: typing.Final = 0.5
"""Largest share of the window that one failure removes."""
_SHARE_SMOOTHING: typing.Final = 1 / 8
"""Smoothing of the shares of failures and rejections: about the sends that
are in flight at a small upstream."""
_SUSPECT_SHARE: typing.Final = 0.5
"""Share of rejections, or of failures beyond those of the best sibling, above
which only trials are sent."""
_FAILED_SHARE: typing.Final = 0.9
"""Share of failures above which only trials are sent whatever siblings do."""
_FIRST_BACKOFF_S: typing.Final = 0.1
_MAX_BACKOFF_S: typing.Final = 0.5
"""Each trial may cost a caller its answer, and an upstream that has recovered
waits this long at most."""
_REPORT_MAX_AGE_S: typing.Final = 1.0
"""Seconds after which a load report is ignored; plain calls take a fraction
of a second."""
_SLOWDOWN_MAX_AGE_S: typing.Final = 0.5
"""Seconds over which a reported slowdown fades: it changes many times a
second."""
_RESUMED_SHARE: typing.Final = 0.5
"""Share of the bound that a window has after a trial was answered."""
_MAX_RUNNING_FACTOR: typing.Final = 2
"""Reported running calls, as a multiple of the slots, above which a report is
wrong; probes may run beside calls."""
_MAX_LOAD_FACTOR: typing.Final = 16
"""Reported load, as a multiple of the slots, above which a report is wrong:
no caller waits for as many executions."""
_MAX_SLOTS: typing.Final = 1024
"""Most slots that are believed of an upstream whose entry states none."""
_INITIAL_WORK_S: typing.Final = 0.05
"""Seconds of work assumed before the first answer. Nothing else clears what a
first report counted: without grants there are no further reports."""
_LATENCY_SMOOTHING: typing.Final = 0.1
_STALL_INTERVALS: typing.Final = 4.0
"""Mean intervals between answers after which silence lowers the rate."""


@dataclasses.dataclass(frozen=True)
class WindowState:
    """State of a window for operators.

    Attributes:
        window: Sends that may be in flight.
        granted: Sends in flight that the owner granted.
        in_flight: All sends in flight, with those of others as reported.
        hold_seconds: Mean seconds from grant to reported end; 0 if unknown.
        is_suspended: Whether the upstream gets trials only.
    """

    window: int
    granted: int
    in_flight: float
    hold_seconds: float
    is_suspended: bool


class SendWindow:
    """Sends in flight at one upstream, and how many more it may get.

    Args:
        slots: Slots that the upstream's entry states; 0 for none.
    """

    def __init__(self, slots: int) -> None:
        self._stated_slots = slots
        self._slots = max(1, slots)
        self._limit = math.inf
        self._granted = 0
        self._hold_seconds = 0.0
        self._work_seconds = 0.0
        self._message_seconds = 0.0
        self._failure_share = 0.0
        self._rejection_share = 0.0
        self._shrunk_at = -math.inf
        self._busy_since = -math.inf
        self._last_end_at = -math.inf
        self._backoff = 0.0
        self._trial_at: float | None = None
        self._is_trial_pending = False
        self._others = 0.0
        self._reported_at = -math.inf
        self._slowdown = 1.0
        self._update_size()

    @property
    def slots(self) -> int:
        """Calls that the upstream executes concurrently."""
        return self._slots

    @property
    def size(self) -> int:
        """Sends that may be in flight; at least 1."""
        return self._size

    @property
    def failure_share(self) -> float:
        """Smoothed share of sends that failed."""
        return self._failure_share

    @property
    def hold_seconds(self) -> float:
        """Mean seconds from grant to reported end; 0 if unknown."""
        return self._hold_seconds

    @property
    def trial_at(self) -> float | None:
        """Time of the next trial; None if the upstream is not suspended."""
        return self._trial_at

    def set_slots(self, slots: int) -> None:
        """Set the slots that the upstream's entry states."""
        if slots != self._stated_slots:
            self._stated_slots = slots
            self._slots = max(1, slots)
            self._update_size()

    def in_flight(self, now: float) -> float:
        """Return the sends in flight, with those of others as reported.

        What others sent is assumed to be executed at the usual speed since the
        report, so that a report blocks the upstream no longer than its queue.
        """
        age = now - self._reported_at
        if age >= _REPORT_MAX_AGE_S:
            return float(self._granted)
        executed = age * self._slots / (self._work_seconds or _INITIAL_WORK_S)
        return self._granted + max(0.0, self._others - executed)

    def has_room(self, now: float) -> bool:
        """Return whether a send may be granted now."""
        if self._trial_at is not None:
            return now >= self._trial_at and not self._is_trial_pending
        return self.in_flight(now) + 1 <= self.size

    def cost(self, now: float) -> float:
        """Return the load that a further send would meet, to compare."""
        load = (self.in_flight(now) + 1) / self.size
        age = max(0.0, now - self._reported_at)
        freshness = max(0.0, 1 - age / _SLOWDOWN_MAX_AGE_S)
        return load * (1 + (self._slowdown - 1) * freshness)

    def rate(self, now: float) -> float:
        """Return the calls a second that end here while calls wait.

        Silence lowers it, so that a stalled upstream isn't counted on.
        """
        if self._trial_at is not None or not self._hold_seconds:
            return 0.0
        rate = self.size / self._hold_seconds
        if self._granted:
            expected_end = self._busy_since + self._hold_seconds
            silence = now - max(self._last_end_at, expected_end)
            if silence * rate > _STALL_INTERVALS:
                return _STALL_INTERVALS / silence
        return rate

    def record_load(self, report: loadreports.LoadReport, now: float) -> None:
        """Record the load that the upstream reported.

        Impossible figures and reports older than the last one are ignored.
        """
        slots = self._believed_slots(report)
        if (
            now < self._reported_at
            or min(report.running, report.waiting) < 0
            or report.running > _MAX_RUNNING_FACTOR * slots
            or report.total > _MAX_LOAD_FACTOR * slots
        ):
            return
        if report.waiting and report.running:
            # It executes fewer than it has slots for. A response may be
            # counted out before the next call is counted in.
            slots = min(slots, report.running + 1)
        if slots != self._slots:
            self._slots = slots
            self._update_size()
        # The report may still count the call that it answers.
        self._others = max(0.0, report.total - self._granted - 1.0)
        self._reported_at = now
        if report.slowdown is not None and 0 < report.slowdown < math.inf:
            self._slowdown = report.slowdown

    def _believed_slots(self, report: loadreports.LoadReport) -> int:
        stated = self._stated_slots
        if report.slots <= 0:
            return max(1, stated)
        return min(report.slots, stated if stated > 0 else _MAX_SLOTS)

    def begin(self, now: float) -> None:
        """Record a granted send."""
        if not self._granted:
            self._busy_since = now
        self._granted += 1
        if self._trial_at is not None:
            self._is_trial_pending = True

    def end(
        self,
        result: plaincalls.SendResult,
        seconds: float,
        granted_at: float,
        lowest_failure_share: float,
        now: float,
    ) -> None:
        """Record the end of a granted send.

        Args:
            result: How it ended.
            seconds: Seconds that the send took at its gateway.
            granted_at: Time of the grant.
            lowest_failure_share: Failure share of the best upstream.
            now: Monotonic time in seconds.
        """
        self._granted = max(0, self._granted - 1)
        is_trial = self._trial_at is not None and granted_at >= self._trial_at
        if is_trial:
            self._is_trial_pending = False
        if result is plaincalls.SendResult.CANCELLED:
            return
        self._last_end_at = now
        is_failure = result is plaincalls.SendResult.FAILED
        is_rejection = result is plaincalls.SendResult.REJECTED
        self._failure_share += _SHARE_SMOOTHING * (
            is_failure - self._failure_share
        )
        self._rejection_share += _SHARE_SMOOTHING * (
            is_rejection - self._rejection_share
        )
        if not is_failure and not is_rejection:
            self._record_answer(seconds, now - granted_at, is_trial)
            return
        excess = max(0.0, self._failure_share - lowest_failure_share)
        if is_failure:
            self._shrink(1 - _FAILURE_FACTOR * excess)
        elif now >= self._shrunk_at + self._work_seconds:
            self._shrunk_at = now
            self._shrink(_REJECTION_FACTOR)
        if self._is_suspect(excess):
            self._suspend(is_trial, now)

    def state(self, now: float) -> WindowState:
        """Return the state for operators."""
        return WindowState(
            self.size,
            self._granted,
            self.in_flight(now),
            self._hold_seconds,
            self._trial_at is not None,
        )

    def _is_suspect(self, excess: float) -> bool:
        """Return whether the upstream fails or rejects nearly everything."""
        return (
            max(excess, self._rejection_share) > _SUSPECT_SHARE
            or self._failure_share > _FAILED_SHARE
        )

    def _update_size(self) -> None:
        excess = 0.0
        if self._work_seconds:
            excess = 2 * self._message_seconds / self._work_seconds
        excess = min(excess, _MAX_EXCESS_SHARE)
        self._bound = self._slots + max(1, math.ceil(excess * self._slots))
        self._size = max(1, int(min(self._limit, self._bound)))

    def _shrink(self, factor: float) -> None:
        self._limit = max(1.0, min(self._limit, self._bound) * factor)
        self._update_size()

    def _suspend(self, is_trial: bool, now: float) -> None:
        if self._trial_at is None:
            self._backoff = _FIRST_BACKOFF_S
        elif is_trial:
            self._backoff = min(_MAX_BACKOFF_S, 2 * self._backoff)
        else:
            # Sent before the upstream was suspended.
            return
        self._limit = 1.0
        self._update_size()
        self._trial_at = now + self._backoff

    def _record_answer(
        self, seconds: float, held: float, is_trial: bool
    ) -> None:
        seconds = min(max(0.0, seconds), held)
        if not self._hold_seconds:
            self._hold_seconds = held
            self._work_seconds = seconds
            self._message_seconds = held - seconds
        smoothing = _LATENCY_SMOOTHING
        self._hold_seconds += smoothing * (held - self._hold_seconds)
        self._work_seconds += smoothing * (seconds - self._work_seconds)
        self._message_seconds += smoothing * (
            held - seconds - self._message_seconds
        )
        if is_trial:
            self._trial_at = None
            self._failure_share = min(self._failure_share, _SUSPECT_SHARE)
            self._rejection_share = 0.0
            self._limit = _RESUMED_SHARE * self._bound
        grown = min(self._limit, self._bound) + _GROWTH_SHARE * self._bound
        self._limit = math.inf if grown >= self._bound else grown
        self._update_size()
