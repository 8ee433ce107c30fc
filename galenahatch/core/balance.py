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

"""Choice of an upstream of a plain service by one VM, on its own.

Each VM sees its own requests in flight and the load that each answer tells.
An upstream whose answers fail more often than those of its best sibling
(`core/outliers`) counts as busier than it is, by so much that it is used
only when its siblings are full. There is no limit on how many are avoided
so: if all fail alike, nobody is, and as long as one serves well it is better
than those that don't. Requests that may be repeated avoid it less, so they
find out when it is well again.
"""

import dataclasses
import random
import typing

from galenahatch.core import outliers
from galenahatch.core import upstreams
from galenahatch import ids

_AVOID_ONCE: typing.Final = 12.0
"""Load, in parts of an upstream's slots, that a share of failures of 1 is
worth to a request that may run only once. One that loses a fifth of its
requests is used when its siblings have a queue of twice their slots, some 45
ms at the users' services."""
_AVOID_REPEATABLE: typing.Final = 6.0
"""The same for a request that a second upstream may run."""
_AVOIDED: typing.Final = 0.1
"""Excess of failures from which on an upstream is called avoided in logs:
more than a queue of its slots."""
_LOAD_LIFE: typing.Final = 1.0
"""Seconds for which the load that an answer tells is believed."""
_AWAY: typing.Final = 0.2
"""Weight, in requests, of an upstream in another data centre."""


@dataclasses.dataclass
class _State:
    in_flight: int = 0
    told: int = 0
    told_at: float = -1e9
    avoided: bool = False


class Balancer:
    """What one VM knows of the upstreams of plain services.

    Args:
        random_source: breaks ties.
        data_centre: of this VM.
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
        """Return the upstream that is likely to answer soonest and well."""
        allowed = [c for c in candidates if c.id not in avoid]
        if not allowed:
            return None
        weight = _AVOID_REPEATABLE if repeatable else _AVOID_ONCE
        shares = [self.outliers.share(c.id, now) for c in allowed]
        usual = min(share.likely for share in shares)

        def cost(at: int) -> tuple[float, float]:
            excess = max(0.0, shares[at].least - usual)
            load = self._load(allowed[at], now)
            return load + weight * excess, self._random.random()

        return allowed[min(range(len(allowed)), key=cost)]

    def begin(self, upstream: ids.UpstreamId) -> None:
        """Note a request that is sent."""
        self._state(upstream).in_flight += 1

    def cancel(self, upstream: ids.UpstreamId) -> None:
        """Note a send whose caller left: it tells nothing of the upstream."""
        state = self._state(upstream)
        state.in_flight = max(0, state.in_flight - 1)

    def end(
        self,
        upstream: ids.UpstreamId,
        good: bool,
        siblings: typing.Sequence[upstreams.Upstream],
        now: float,
    ) -> bool | None:
        """Note how a send ended.

        Args:
            upstream: that it went to.
            good: whether it was answered, and without an error.
            siblings: all upstreams of the service.
            now: monotonic seconds.

        Returns:
            whether the upstream is avoided, if that has changed; else None.
        """
        self.cancel(upstream)
        self.outliers.record(upstream, good, now)
        shares = [self.outliers.share(s.id, now) for s in siblings]
        usual = min((share.likely for share in shares), default=0.0)
        excess = self.outliers.share(upstream, now).least - usual
        avoided = excess > _AVOIDED
        state = self._state(upstream)
        if avoided == state.avoided:
            return None
        state.avoided = avoided
        return avoided

    def record_load(
        self, upstream: ids.UpstreamId, load: int, now: float
    ) -> None:
        """Take the load that an answer told."""
        state = self._state(upstream)
        state.told = load
        state.told_at = now

    def prune(self, known: typing.Container[ids.UpstreamId]) -> None:
        """Drop upstreams that are gone."""
        self.outliers.prune(known)
        for gone in [key for key in self._states if key not in known]:
            del self._states[gone]

    def _load(self, upstream: upstreams.Upstream, now: float) -> float:
        """Return the load in parts of the upstream's slots."""
        state = self._state(upstream.id)
        load = float(state.in_flight)
        if now - state.told_at < _LOAD_LIFE:
            load = max(load, load * 0.5 + state.told)
        if upstream.data_centre != self._data_centre:
            load += _AWAY
        return load / max(1, upstream.slots)

    def _state(self, upstream: ids.UpstreamId) -> _State:
        state = self._states.get(upstream)
        if state is None:
            state = self._states[upstream] = _State()
        return state
