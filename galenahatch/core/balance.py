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

"""Chooses an upstream for a plain request on one VM.

Each VM decides on its own, from its requests in flight and the load that
upstreams report in their answers. An upstream whose requests fail more often
than those of its best sibling (`core/outliers`) is charged extra load, so that
it is used only once its siblings are full. There is no limit on how many
upstreams are avoided this way: if all fail alike, none is avoided, and as long
as one serves well it is preferred to those that don't. Requests that may be
repeated carry a smaller penalty, so that they detect a recovery.

Where upstreams state how long work takes, the expected delay of the call
(`core/expecteddelay`) takes the place of the load. All VMs see the same idle
upstream, so each counts its own requests since the last report, and takes the
better of two random upstreams. Those of its own data centre come first while
they are in time. Upstreams with failures are compared with that choice by
their whole cost.
"""

import collections.abc
import dataclasses
import random
import typing

from galenahatch.core import expecteddelay
from galenahatch.core import loadreports
from galenahatch.core import outliers
from galenahatch.core import upstreams
from galenahatch import ids

_FAILURE_WEIGHT_ONCE: typing.Final = 12.0
"""Load, in multiples of an upstream's slots, that a failure share of 1 adds
for a request that may run only once. An upstream that fails a fifth of its
requests is used once its siblings have a queue of twice their slots, about 45
ms at the users' services."""
_FAILURE_WEIGHT_REPEATABLE: typing.Final = 6.0
"""The same for a request that a second upstream may run."""
_AVOIDED_EXCESS: typing.Final = 0.1
"""Excess failure share above which an upstream is logged as avoided: it adds
more load than a queue as long as its slots."""
_LOAD_MAX_AGE_S: typing.Final = 1.0
"""Seconds after which a reported load is ignored."""
_REMOTE_WEIGHT: typing.Final = 0.2
"""Load, in requests, added for an upstream in another data centre."""
_REMOTE_DELAY_S: typing.Final = 0.003
"""Seconds added for an upstream in another data centre of the region: the
round trip, and about as much for the bytes that it takes."""
_LOCAL_SHARE: typing.Final = 0.5
"""Share of the remaining time that a call in the own data centre may take. The
rest is left for what the expected delay doesn't know."""
_NEAR_SHARE: typing.Final = 0.2
"""Difference of costs, as a share of the work of a call, that is ignored: the
sends of other VMs since the last report make as much."""


@dataclasses.dataclass
class _State:
    in_flight: int = 0
    reported_load: int = 0
    reported_at: float = -1e9
    sent_since_report: int = 0
    avoided: bool = False


class _Option(typing.NamedTuple):
    """An upstream that may be chosen.

    Attributes:
        cost: Expected delay plus distance and failures, in seconds.
        is_local: Whether it is in the data centre of this VM.
        fails: Whether it fails so often that it is avoided.
    """

    upstream: upstreams.Upstream
    cost: float
    is_local: bool
    fails: bool


class Result(typing.NamedTuple):
    """A request that an upstream executed.

    Attributes:
        seconds: Time from the send to the answer.
        report: Load that the answer stated.
    """

    seconds: float
    report: loadreports.LoadReport | None


class Balancer:
    """Load and failures of the plain services' upstreams as seen by one VM.

    Args:
        random_source: Random source that breaks ties.
        data_centre: Data centre of this VM.
        loads: Latest load reports of the upstreams.

    Attributes:
        outliers: Failure rates of the upstreams.
        delays: Speeds and expected delays of the upstreams.
    """

    def __init__(
        self,
        random_source: random.Random,
        data_centre: ids.DataCentre,
        loads: loadreports.Loads | None = None,
    ) -> None:
        self._random = random_source
        self._data_centre = data_centre
        self._loads = loads or loadreports.Loads()
        self.delays = expecteddelay.ExpectedDelays(self._loads)
        self._states: dict[ids.UpstreamId, _State] = {}
        self.outliers = outliers.Outliers()

    def choose(
        self,
        candidates: typing.Sequence[upstreams.Upstream],
        avoid: typing.Container[ids.UpstreamId],
        now: float,
        repeatable: bool = False,
        time_left: float | None = None,
    ) -> upstreams.Upstream | None:
        """Return the upstream with the least load and failures.

        Args:
            candidates: Upstreams of the service.
            avoid: Upstreams that are not chosen.
            now: Monotonic time in seconds.
            repeatable: Whether a second upstream may run the request.
            time_left: Seconds until the answer is late; None if unknown.
        """
        allowed = [
            candidate for candidate in candidates if candidate.id not in avoid
        ]
        if not allowed:
            return None
        weight = (
            _FAILURE_WEIGHT_REPEATABLE if repeatable else _FAILURE_WEIGHT_ONCE
        )
        shares = [
            self.outliers.share(candidate.id, now) for candidate in allowed
        ]
        baseline = min(share.likely for share in shares)
        siblings = [candidate.id for candidate in candidates]
        if self._loads.reports_slowdown(siblings):
            excesses = [max(0.0, s.least - baseline) for s in shares]
            options = self._options(allowed, excesses, weight, siblings, now)
            return self._choose_by_delay(options, siblings, time_left)

        def cost(index: int) -> tuple[float, float]:
            excess = max(0.0, shares[index].least - baseline)
            load = self._load(allowed[index], now)
            return load + weight * excess, self._random.random()

        return allowed[min(range(len(allowed)), key=cost)]

    def begin(self, upstream: ids.UpstreamId) -> None:
        """Record that a request is sent."""
        state = self._state(upstream)
        state.in_flight += 1
        state.sent_since_report += 1

    def cancel(self, upstream: ids.UpstreamId) -> None:
        """Record that the caller of a request disconnected."""
        state = self._state(upstream)
        state.in_flight = max(0, state.in_flight - 1)

    def end(
        self,
        upstream: ids.UpstreamId,
        succeeded: bool,
        siblings: typing.Sequence[upstreams.Upstream],
        now: float,
        result: Result | None = None,
    ) -> bool | None:
        """Record the outcome of a request.

        Args:
            upstream: Upstream that the request was sent to.
            succeeded: Whether the upstream answered without an error.
            siblings: All upstreams of the service.
            now: Monotonic time in seconds.
            result: Time that the upstream took, if it executed the request.

        Returns:
            Whether the upstream is avoided, if that has changed; None
            otherwise.
        """
        self.cancel(upstream)
        self.outliers.record(upstream, succeeded, now)
        if succeeded and result is not None:
            self.delays.record(upstream, result.seconds, result.report, now)
        shares = [self.outliers.share(s.id, now) for s in siblings]
        baseline = min((share.likely for share in shares), default=0.0)
        excess = self.outliers.share(upstream, now).least - baseline
        avoided = excess > _AVOIDED_EXCESS
        state = self._state(upstream)
        if avoided == state.avoided:
            return None
        state.avoided = avoided
        return avoided

    def record_load(
        self, upstream: ids.UpstreamId, load: int, now: float
    ) -> None:
        """Record the load that an upstream reported in an answer."""
        state = self._state(upstream)
        state.reported_load = load
        state.reported_at = now
        state.sent_since_report = 0

    def expected_delays(
        self,
        siblings: collections.abc.Sequence[upstreams.Upstream],
        now: float,
    ) -> dict[ids.UpstreamId, float]:
        """Return the expected delay in seconds at all upstreams of a service.

        Distance and failures are not included.
        """
        names = [sibling.id for sibling in siblings]
        delays = self._expected_delays(siblings, names, now)
        return dict(zip(names, delays, strict=True))

    def prune(self, present: typing.Container[ids.UpstreamId]) -> None:
        """Drop upstreams that are no longer listed."""
        self.outliers.prune(present)
        self.delays.prune(present)
        for upstream in [key for key in self._states if key not in present]:
            del self._states[upstream]

    def _load(self, upstream: upstreams.Upstream, now: float) -> float:
        """Return the load as a multiple of the upstream's slots."""
        state = self._state(upstream.id)
        load = float(state.in_flight)
        if now - state.reported_at < _LOAD_MAX_AGE_S:
            load = max(load, load * 0.5 + state.reported_load)
        if upstream.data_centre != self._data_centre:
            load += _REMOTE_WEIGHT
        return load / max(1, upstream.slots)

    def _options(
        self,
        candidates: collections.abc.Sequence[upstreams.Upstream],
        excesses: collections.abc.Sequence[float],
        weight: float,
        siblings: collections.abc.Sequence[ids.UpstreamId],
        now: float,
    ) -> list[_Option]:
        """Return the candidates with their costs.

        Args:
            candidates: Upstreams that may be chosen.
            excesses: Failure share beyond that of the best, of each.
            weight: Load, in multiples of the slots, for an excess of 1.
            siblings: All upstreams of the service.
            now: Monotonic time in seconds.
        """
        delays = self._expected_delays(candidates, siblings, now)
        penalty = weight * self.delays.median(siblings)
        options = []
        for upstream, delay, excess in zip(
            candidates, delays, excesses, strict=True
        ):
            is_local = upstream.data_centre == self._data_centre
            distance = 0.0 if is_local else _REMOTE_DELAY_S
            cost = delay + distance + penalty * excess
            fails = excess > _AVOIDED_EXCESS
            options.append(_Option(upstream, cost, is_local, fails))
        return options

    def _expected_delays(
        self,
        candidates: collections.abc.Sequence[upstreams.Upstream],
        siblings: collections.abc.Sequence[ids.UpstreamId],
        now: float,
    ) -> list[float]:
        return self.delays.delays(
            [(c, self._in_flight(c.id, now)) for c in candidates],
            siblings,
            now,
        )

    def _in_flight(self, upstream: ids.UpstreamId, now: float) -> int:
        """Return the requests at an upstream, of all VMs as far as known."""
        state = self._state(upstream)
        report = self._loads.latest(upstream, now)
        if report is None:
            return state.in_flight
        unreported = min(state.in_flight, state.sent_since_report)
        return max(state.in_flight, report.total + unreported)

    def _choose_by_delay(
        self,
        options: collections.abc.Sequence[_Option],
        siblings: collections.abc.Sequence[ids.UpstreamId],
        time_left: float | None,
    ) -> upstreams.Upstream:
        """Return the better of two random upstreams, local ones first."""
        tolerance = _NEAR_SHARE * self.delays.median(siblings)
        reliable = [option for option in options if not option.fails]
        if time_left is not None:
            local = self._better_of_two(
                [option for option in reliable if option.is_local], tolerance
            )
            if local is not None and local.cost <= _LOCAL_SHARE * time_left:
                return local.upstream
        chosen = self._better_of_two(reliable, tolerance)
        failing = [option for option in options if option.fails]
        compared = failing if chosen is None else [chosen, *failing]
        return min(compared, key=lambda option: option.cost).upstream

    def _better_of_two(
        self, options: collections.abc.Sequence[_Option], tolerance: float
    ) -> _Option | None:
        """Return the cheaper of two random options, either if nearly equal."""
        if not options:
            return None
        sample = self._random.sample(options, min(2, len(options)))
        limit = min(option.cost for option in sample) + tolerance
        return self._random.choice([o for o in sample if o.cost <= limit])

    def _state(self, upstream: ids.UpstreamId) -> _State:
        state = self._states.get(upstream)
        if state is None:
            state = self._states[upstream] = _State()
        return state
