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
"""

import dataclasses
import random
import typing

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


@dataclasses.dataclass
class _State:
    in_flight: int = 0
    reported_load: int = 0
    reported_at: float = -1e9
    avoided: bool = False


class Balancer:
    """Load and failures of the plain services' upstreams as seen by one VM.

    Args:
        random_source: Random source that breaks ties.
        data_centre: Data centre of this VM.
    """

    def __init__(
        self, random_source: random.Random, data_centre: ids.DataCentre
    ) -> None:
        self._random = random_source
        self._data_centre = data_centre
        self._states: dict[ids.UpstreamId, _State] = {}
        self.outliers = outliers.Outliers()

    def choose(
        self,
        candidates: typing.Sequence[upstreams.Upstream],
        avoid: typing.Container[ids.UpstreamId],
        now: float,
        repeatable: bool = False,
    ) -> upstreams.Upstream | None:
        """Return the upstream with the least load and failures."""
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

        def cost(index: int) -> tuple[float, float]:
            excess = max(0.0, shares[index].least - baseline)
            load = self._load(allowed[index], now)
            return load + weight * excess, self._random.random()

        return allowed[min(range(len(allowed)), key=cost)]

    def begin(self, upstream: ids.UpstreamId) -> None:
        """Record that a request is sent."""
        self._state(upstream).in_flight += 1

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
    ) -> bool | None:
        """Record the outcome of a request.

        Args:
            upstream: Upstream that the request was sent to.
            succeeded: Whether the upstream answered without an error.
            siblings: All upstreams of the service.
            now: Monotonic time in seconds.

        Returns:
            Whether the upstream is avoided, if that has changed; None
            otherwise.
        """
        self.cancel(upstream)
        self.outliers.record(upstream, succeeded, now)
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

    def prune(self, present: typing.Container[ids.UpstreamId]) -> None:
        """Drop upstreams that are no longer listed."""
        self.outliers.prune(present)
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

    def _state(self, upstream: ids.UpstreamId) -> _State:
        state = self._states.get(upstream)
        if state is None:
            state = self._states[upstream] = _State()
        return state
