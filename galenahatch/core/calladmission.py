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

"""Admission control for the plain calls of one service, at the owner.

While a service is contended, its gateways ask the owner before each send. The
owner grants sends as far as the upstreams' windows allow (`core/sendwindow`)
and queues the other calls by priority and customer (`core/waitingcalls`). So
calls wait where it is known which one is the most urgent, and not in the
upstreams' queues. What can't be served is rejected as soon as that is known,
with the time at which there is room (`core/callreturns`): the earlier a caller
knows, the more of its time is left for another attempt.

The estimates decide who may wait, never how much is sent.
"""

import collections
import collections.abc
import dataclasses
import math
import random
import typing

from galenahatch.core import callestimates
from galenahatch.core import callqueue
from galenahatch.core import callreturns
from galenahatch.core import loadreports
from galenahatch.core import plaincalls
from galenahatch.core import sendgrants
from galenahatch.core import sendwindow
from galenahatch.core import upstreams
from galenahatch.core import waitingcalls
from galenahatch import ids

MAX_WAITING: typing.Final = 4096
"""Most calls that wait: what arrives in the usual deadline of 1.5 s at 2,900
requests a second; about 4 MB. No call waits longer than its deadline."""
_POLL_INTERVAL_S: typing.Final = 0.02
"""Seconds between two decisions while calls wait and nothing happens: room may
appear because calls of others end."""
_CONTENDED_OCCUPANCY: typing.Final = 0.8
"""Share of all slots taken above which calls begin to queue at some upstream
although others have room, since gateways choose by figures of the past."""
_CALM_OCCUPANCY: typing.Final = 0.6
"""Share below which the contention ends; apart from the one above by more than
the load changes at random."""
_CALM_S: typing.Final = 1.0
"""Seconds for which the contention lasts on: bursts follow one another, and
every change has to be told to all gateways."""
_HALVING_S: typing.Final = 5.0
"""Seconds after which the counts of customers' grants are halved."""


@dataclasses.dataclass(frozen=True)
class CustomerState:
    """A customer's use of a service.

    Attributes:
        grant_share: Share of the recent grants.
        waiting: Calls that wait.
    """

    grant_share: float
    waiting: int


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """State of a service's admission for operators.

    Attributes:
        is_contended: Whether calls need a grant.
        rate: Calls a second that are granted while calls wait.
        rejections: Rejections by reason since the start.
    """

    is_contended: bool
    rate: float
    upstreams: dict[ids.UpstreamId, sendwindow.WindowState]
    waiting: dict[waitingcalls.Band, int]
    rejections: dict[plaincalls.RejectionReason, int]
    customers: dict[ids.CustomerName, CustomerState]


class CallAdmission:
    """Decides on the plain calls of one service.

    Args:
        random_source: Random source for ties and staggered returns.
        class_weight: Returns the weight of a priority.
    """

    def __init__(
        self,
        random_source: random.Random,
        class_weight: collections.abc.Callable[[int], float] | None = None,
    ) -> None:
        weight = class_weight or callqueue.class_weight
        self._grants = sendgrants.SendGrants(random_source)
        self._estimates = callestimates.CallEstimates(self._grants)
        self._returns = callreturns.CallReturns(random_source)
        self._waiting = waitingcalls.WaitingCalls(
            weight, self._estimates, self._returns
        )
        self._has_new_upstreams = False
        self._is_contended = False
        self._contended_until = -math.inf
        self._rejections: collections.Counter[plaincalls.RejectionReason] = (
            collections.Counter()
        )
        self._customer_grants: dict[ids.CustomerName, float] = {}
        self._halved_at = 0.0

    def set_upstreams(
        self, usable: typing.Iterable[upstreams.Upstream], now: float
    ) -> None:
        """Set the usable upstreams of the service."""
        self._grants.set_upstreams(usable)
        self._has_new_upstreams = True

    def record_load(
        self,
        upstream: ids.UpstreamId,
        report: loadreports.LoadReport,
        now: float,
    ) -> None:
        """Record the load that an upstream reported at a time."""
        self._grants.record_load(upstream, report, now)

    def submit(
        self, call: plaincalls.PlainCall, now: float
    ) -> plaincalls.Decision | None:
        """Decide on a call, or queue it.

        A call that is submitted again keeps its place or its grant.

        Returns:
            The decision; None if the call waits.
        """
        if call.key in self._waiting:
            return None
        granted = self._grants.upstream_of(call.key)
        if granted is not None:
            return plaincalls.Granted(call, granted, 'submitted again')
        call = self._returns.since_first_attempt(call, now)
        attempt = self._returns.record_arrival(call.fingerprint, now)
        if not self._grants.is_usable(call):
            return self._reject(
                call, plaincalls.RejectionReason.NO_UPSTREAM, now
            )
        is_regular = (
            not call.is_repeat and attempt is not callreturns.Attempt.EARLY
        )
        band = waitingcalls.Band.REPEATED
        if is_regular:
            self._estimates.arrivals.add(now)
            band = waitingcalls.Band.IN_TIME
        if now > self._latest_start(call):
            band = waitingcalls.Band.LATE
        if not self._waiting.is_blocked(band):
            upstream = self._grants.choose(call, now)
            if upstream is not None:
                return self._grant(call, upstream, band, now)
        if len(self._waiting) >= MAX_WAITING:
            return self._reject(
                call, plaincalls.RejectionReason.QUEUE_FULL, now
            )
        has_returned = is_regular and attempt is callreturns.Attempt.RETURNED
        waiting = callqueue.Waiting(call, has_returned)
        if self._waiting.add(waiting, band, now):
            return None
        return self._reject(call, plaincalls.RejectionReason.NO_ROOM, now)

    def end(
        self,
        key: plaincalls.CallKey,
        result: plaincalls.SendResult,
        seconds: float,
        now: float,
    ) -> None:
        """Record the end of a granted send, or withdraw a waiting call.

        Args:
            key: Key of the call; an unknown one is ignored.
            result: How the send ended.
            seconds: Seconds that the send took at its gateway.
            now: Monotonic time in seconds.
        """
        if not self._grants.end(key, result, seconds, now):
            self._waiting.remove(key)

    def decide(self, now: float) -> list[plaincalls.Decision]:
        """Return the decisions on waiting calls that are due."""
        self._grants.expire(now)
        decisions: list[plaincalls.Decision] = []
        if self._has_new_upstreams:
            self._has_new_upstreams = False
            decisions += self._reject_unusable(now)
        decisions += [
            self._reject(waiting.call, plaincalls.RejectionReason.NO_ROOM, now)
            for waiting in self._waiting.take_hopeless(now)
        ]
        while (decision := self._decide_next(now)) is not None:
            decisions.append(decision)
        return decisions

    def next_decision_at(self, now: float) -> float | None:
        """Return when `decide` has to be called next; None if not at all.

        After `decide` was called at a time, it is later than this time.
        """
        times = [self._grants.next_expiry()]
        if len(self._waiting):
            times.append(now + _POLL_INTERVAL_S)
            times.append(self._grants.next_trial_at(now))
            times.append(self._waiting.next_check_at())
        return min((at for at in times if at is not None), default=None)

    def is_contended(self, now: float) -> bool:
        """Return whether calls need a grant."""
        threshold = (
            _CALM_OCCUPANCY if self._is_contended else _CONTENDED_OCCUPANCY
        )
        if len(self._waiting) or self._grants.occupancy(now) >= threshold:
            self._is_contended = True
            self._contended_until = now + _CALM_S
        elif now >= self._contended_until:
            self._is_contended = False
        return self._is_contended

    def snapshot(self, now: float) -> Snapshot:
        """Return the state for operators."""
        counts = self._waiting.customer_counts()
        grants = self._customer_grants
        total = sum(grants.values())
        return Snapshot(
            self.is_contended(now),
            self._estimates.rate(now),
            {
                key: window.state(now)
                for key, window in self._grants.windows.items()
            },
            self._waiting.counts(),
            dict(self._rejections),
            {
                customer: CustomerState(
                    grants.get(customer, 0.0) / total if total else 0.0,
                    counts.get(customer, 0),
                )
                for customer in sorted(grants.keys() | counts.keys())
            },
        )

    def _reject_unusable(
        self, now: float
    ) -> typing.Iterator[plaincalls.Decision]:
        for waiting in self._waiting.calls():
            if not self._grants.is_usable(waiting.call):
                self._waiting.remove(waiting.call.key)
                yield self._reject(
                    waiting.call, plaincalls.RejectionReason.NO_UPSTREAM, now
                )

    def _latest_start(self, call: plaincalls.PlainCall) -> float:
        """Return the time until which a grant lets a call be in time."""
        limit = call.objective_at - call.arrived_at + call.seconds_before
        return call.objective_at - self._estimates.reserved_seconds(limit)

    def _decide_next(self, now: float) -> plaincalls.Decision | None:
        """Decide on the next call for which there is room, if any."""
        while len(self._waiting) and self._grants.has_room(now):
            head = self._next_head(now)
            if head is None:
                return None
            band, waiting, upstream = head
            call = waiting.call
            is_late = now > self._latest_start(call)
            if band is waitingcalls.Band.LATE or not is_late:
                self._waiting.serve(waiting, band)
                return self._grant(call, upstream, band, now)
            if not self._waiting.demote(waiting, band, now):
                return self._reject(
                    call, plaincalls.RejectionReason.NO_ROOM, now
                )
        return None

    def _next_head(
        self, now: float
    ) -> tuple[waitingcalls.Band, callqueue.Waiting, ids.UpstreamId] | None:
        """Return the next call for which some upstream has room."""
        for band, waiting in self._waiting.heads():
            upstream = self._grants.choose(waiting.call, now)
            if upstream is not None:
                return band, waiting, upstream
        return None

    def _grant(
        self,
        call: plaincalls.PlainCall,
        upstream: ids.UpstreamId,
        band: waitingcalls.Band,
        now: float,
    ) -> plaincalls.Granted:
        self._grants.begin(call, upstream, now)
        self._count_grant(call.customer, now)
        state = self._grants.windows[upstream].state(now)
        why = (
            f'{band.value}: {state.in_flight:.0f} of {state.window} in'
            f' flight, {len(self._waiting)} waiting'
        )
        return plaincalls.Granted(call, upstream, why)

    def _count_grant(self, customer: ids.CustomerName, now: float) -> None:
        if now >= self._halved_at + _HALVING_S:
            self._halved_at = now
            self._customer_grants = {
                name: count / 2
                for name, count in self._customer_grants.items()
                if count >= 1
            }
        count = self._customer_grants.get(customer, 0.0)
        self._customer_grants[customer] = count + 1

    def _reject(
        self,
        call: plaincalls.PlainCall,
        reason: plaincalls.RejectionReason,
        now: float,
    ) -> plaincalls.Rejected:
        self._rejections[reason] += 1
        rate = self._estimates.rate(now)
        retry_after = self._returns.schedule(
            call,
            rate,
            self._estimates.spare_rate(now),
            self._latest_start(call),
            now,
        )
        why = (
            f'{len(self._waiting)} waiting, {rate:.1f} a second,'
            f' {len(self._grants)} in flight,'
            f' {call.objective_at - now:.3f} s to be in time'
        )
        return plaincalls.Rejected(call, retry_after, reason, why)
