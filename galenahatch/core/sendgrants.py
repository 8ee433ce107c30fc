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

"""Granted sends of one plain service, and the windows of its upstreams."""

import bisect
import collections
import dataclasses
import heapq
import itertools
import math
import random
import typing

from galenahatch.core import loadreports
from galenahatch.core import plaincalls
from galenahatch.core import sendwindow
from galenahatch.core import upstreams
from galenahatch import ids

_TIE_SHARE: typing.Final = 0.1
"""Relative difference in load below which the data centre decides."""

_RECENT_SENDS: typing.Final = 64
"""Sends that a quantile is taken of: enough to place a tenth, and few enough
to follow a change within a fraction of a second under load."""
_HIGH_QUANTILE: typing.Final = 0.9
"""Share of sends that the time reserved for a send covers; a higher one would
depend on single results."""


class RecentHolds:
    """Seconds from grant to reported end of the recent answered sends."""

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque()
        self._ascending: list[float] = []

    def add(self, seconds: float) -> None:
        """Record a send; the oldest one is forgotten."""
        if len(self._recent) >= _RECENT_SENDS:
            oldest = self._recent.popleft()
            del self._ascending[bisect.bisect_left(self._ascending, oldest)]
        self._recent.append(seconds)
        bisect.insort(self._ascending, seconds)

    def high_quantile(self) -> float:
        """Return the seconds that nine of ten sends take; 0 if unknown."""
        if not self._ascending:
            return 0.0
        rank = math.ceil(_HIGH_QUANTILE * len(self._ascending))
        return self._ascending[rank - 1]


@dataclasses.dataclass(frozen=True)
class _Grant:
    call: plaincalls.PlainCall
    upstream: ids.UpstreamId
    granted_at: float


class SendGrants:
    """Sends that the owner granted and whose end is not reported yet.

    Args:
        random_source: Random source that breaks ties.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._upstreams: dict[ids.UpstreamId, upstreams.Upstream] = {}
        self._windows: dict[ids.UpstreamId, sendwindow.SendWindow] = {}
        self._grants: dict[plaincalls.CallKey, _Grant] = {}
        self._expiries: list[tuple[float, int, _Grant]] = []
        self._order = itertools.count()
        self._rate = 0.0
        self._rate_at = -math.inf
        self._hold_seconds = 0.0
        self._recent_holds = RecentHolds()

    def __len__(self) -> int:
        return len(self._grants)

    @property
    def windows(
        self,
    ) -> typing.Mapping[ids.UpstreamId, sendwindow.SendWindow]:
        """Windows of the usable upstreams."""
        return self._windows

    def set_upstreams(
        self, usable: typing.Iterable[upstreams.Upstream]
    ) -> None:
        """Set the usable upstreams; known ones keep their windows."""
        self._upstreams = {u.id: u for u in usable if not u.leaving}
        previous = self._windows
        self._windows = {}
        for upstream in self._upstreams.values():
            window = previous.get(upstream.id)
            if window is None:
                window = self._new_window(upstream)
            window.set_slots(upstream.slots)
            self._windows[upstream.id] = window
        self._update_means()

    def _new_window(
        self, upstream: upstreams.Upstream
    ) -> sendwindow.SendWindow:
        """Return a window with the grants from before the upstream lapsed."""
        window = sendwindow.SendWindow(upstream.slots)
        for grant in self._grants.values():
            if grant.upstream == upstream.id:
                window.begin(grant.granted_at)
        return window

    def upstream_of(self, key: plaincalls.CallKey) -> ids.UpstreamId | None:
        """Return the upstream that a call was granted, if any."""
        grant = self._grants.get(key)
        return grant.upstream if grant is not None else None

    def is_usable(self, call: plaincalls.PlainCall) -> bool:
        """Return whether there is an upstream that hasn't failed a call."""
        return any(key not in call.avoid for key in self._windows)

    def has_room(self, now: float) -> bool:
        """Return whether some upstream has room."""
        return any(window.has_room(now) for window in self._windows.values())

    def choose(
        self, call: plaincalls.PlainCall, now: float
    ) -> ids.UpstreamId | None:
        """Return the least loaded upstream with room; None if there is none.

        Similar loads are decided by the data centre, then at random. A trial
        of a suspended upstream comes first: it is rare, and nothing else
        shows that the upstream has recovered.
        """
        costs = {
            key: (window.trial_at is None, window.cost(now))
            for key, window in self._windows.items()
            if key not in call.avoid and window.has_room(now)
        }
        if not costs:
            return None
        is_regular, lowest = min(costs.values())
        similar = [
            key
            for key, cost in costs.items()
            if cost <= (is_regular, lowest * (1 + _TIE_SHARE))
        ]
        near = [
            key
            for key in similar
            if self._upstreams[key].data_centre == call.data_centre
        ]
        return self._random.choice(near or similar)

    def begin(
        self,
        call: plaincalls.PlainCall,
        upstream: ids.UpstreamId,
        now: float,
    ) -> None:
        """Record a granted send."""
        grant = _Grant(call, upstream, now)
        self._grants[call.key] = grant
        heapq.heappush(
            self._expiries, (call.deadline, next(self._order), grant)
        )
        self._windows[upstream].begin(now)

    def end(
        self,
        key: plaincalls.CallKey,
        result: plaincalls.SendResult,
        seconds: float,
        now: float,
    ) -> bool:
        """Record the end of a send; return whether it was granted."""
        grant = self._grants.pop(key, None)
        if grant is None:
            return False
        window = self._windows.get(grant.upstream)
        if window is not None:
            lowest = min(w.failure_share for w in self._windows.values())
            window.end(result, seconds, grant.granted_at, lowest, now)
            if result is plaincalls.SendResult.ANSWERED:
                self._recent_holds.add(now - grant.granted_at)
            self._update_means()
        return True

    def expire(self, now: float) -> None:
        """End the grants of which nothing was heard until the deadline."""
        while self._expiries and self._expiries[0][0] <= now:
            _, _, grant = heapq.heappop(self._expiries)
            if self._grants.get(grant.call.key) is grant:
                self.end(
                    grant.call.key,
                    plaincalls.SendResult.CANCELLED,
                    now - grant.granted_at,
                    now,
                )

    def next_expiry(self) -> float | None:
        """Return the time at which the next grant expires."""
        while self._expiries:
            expires_at, _, grant = self._expiries[0]
            if self._grants.get(grant.call.key) is grant:
                return expires_at
            heapq.heappop(self._expiries)
        return None

    def record_load(
        self,
        upstream: ids.UpstreamId,
        report: loadreports.LoadReport,
        now: float,
    ) -> None:
        """Record the load that an upstream reported."""
        window = self._windows.get(upstream)
        if window is not None:
            window.record_load(report, now)
            self._update_means()

    def rate(self, now: float) -> float:
        """Return the calls a second that end while calls wait.

        Upstreams that have not answered yet count like the mean of the others.
        """
        if now != self._rate_at:
            self._rate_at = now
            self._rate = self._compute_rate(now)
        return self._rate

    def _compute_rate(self, now: float) -> float:
        rates = [window.rate(now) for window in self._windows.values()]
        known = [rate for rate in rates if rate]
        if not known:
            return 0.0
        unknown = sum(
            not window.hold_seconds and window.trial_at is None
            for window in self._windows.values()
        )
        return sum(known) * (1 + unknown / len(known))

    def next_trial_at(self, now: float) -> float | None:
        """Return the time of the next trial of a suspended upstream."""
        times = [window.trial_at for window in self._windows.values()]
        return min(
            (at for at in times if at is not None and at > now), default=None
        )

    def is_suspended(self) -> bool:
        """Return whether all upstreams get trials only."""
        windows = self._windows.values()
        return all(window.trial_at is not None for window in windows)

    def hold_seconds(self) -> float:
        """Return the mean seconds from grant to end; 0 if unknown."""
        return self._hold_seconds

    def high_hold_seconds(self) -> float:
        """Return the seconds that nine of ten sends take; 0 if unknown."""
        return self._recent_holds.high_quantile()

    def _update_means(self) -> None:
        """Update the means over all upstreams after any of them changed."""
        self._rate_at = -math.inf
        known = [w for w in self._windows.values() if w.hold_seconds]
        # Fast upstreams answer more calls.
        weights = [window.size / window.hold_seconds for window in known]
        total = sum(weights)
        self._hold_seconds = (
            sum(window.size for window in known) / total if total else 0.0
        )

    def occupancy(self, now: float) -> float:
        """Return the sends in flight as a share of all slots."""
        slots = sum(window.slots for window in self._windows.values())
        loads = [window.in_flight(now) for window in self._windows.values()]
        return sum(loads) / slots if slots else 0.0
