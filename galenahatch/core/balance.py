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
Upstreams whose answers fail much more often than those of their siblings,
or that are silent, are left alone for a while and tried again gently; never
more than half of them at once, since all of them failing alike says more
about the requests than about the upstreams.
"""

import collections
import dataclasses
import random
import typing

from galenahatch.core import upstreams
from galenahatch import ids

_OUTCOMES: typing.Final = 20
"""Newest outcomes of each upstream that are compared."""
_LEAST_OUTCOMES: typing.Final = 6
_WORSE_BY: typing.Final = 0.3
"""Share of errors over that of the siblings at which an upstream is left
alone; ordinary error shares of the users' services reach 0.15."""
_SILENCES: typing.Final = 2
"""Failures to connect or to answer in time, in a row, that suffice."""
_BROKEN_FIRST: typing.Final = 0.5
"""Seconds for which an upstream is left alone after it broke a fresh
connection off without an answer, doubled with each further one in a row. It
looks idle and draws what its siblings would serve: one of three that went
down and up for five seconds lost 575 requests of 80 VMs, each of which
waited for six outcomes before it drew a conclusion."""
_ALONE_FIRST: typing.Final = 1.0
_ALONE_MOST: typing.Final = 4.0
_LOAD_LIFE: typing.Final = 1.0
"""Seconds for which the load that an answer tells is believed."""
_AWAY: typing.Final = 0.2
"""Weight, in requests, of an upstream in another data centre."""


class Outcome(typing.NamedTuple):
    """How a send ended, as far as the upstream's health goes.

    Attributes:
        good: whether it was answered, and without an error.
        silent: whether nothing at all was heard.
        broken: whether a fresh connection ended without an answer; on a
            kept one that may be its age.
    """

    good: bool
    silent: bool = False
    broken: bool = False


@dataclasses.dataclass
class _State:
    in_flight: int = 0
    told: int = 0
    told_at: float = -1e9
    outcomes: collections.deque[bool] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_OUTCOMES)
    )
    silences: int = 0
    breaks: int = 0
    ejections: int = 0
    alone_until: float = 0.0

    @property
    def error_share(self) -> float:
        if len(self.outcomes) < _LEAST_OUTCOMES:
            return 0.0
        return self.outcomes.count(False) / len(self.outcomes)


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

    def choose(
        self,
        candidates: typing.Sequence[upstreams.Upstream],
        avoid: typing.Container[ids.UpstreamId],
        now: float,
    ) -> upstreams.Upstream | None:
        """Return the least loaded upstream that is well, if there is one."""
        allowed = [c for c in candidates if c.id not in avoid]
        if not allowed:
            return None
        well = [c for c in allowed if self._state(c.id).alone_until <= now]
        return min(well or allowed, key=lambda c: self._cost(c, now))

    def begin(self, upstream: ids.UpstreamId) -> None:
        """Note a request that is sent."""
        self._state(upstream).in_flight += 1

    def end(
        self,
        upstream: ids.UpstreamId,
        outcome: Outcome,
        siblings: typing.Sequence[upstreams.Upstream],
        now: float,
    ) -> bool:
        """Note how it ended; return whether the upstream is ejected now."""
        state = self._state(upstream)
        state.in_flight = max(0, state.in_flight - 1)
        state.outcomes.append(outcome.good)
        if outcome.good:
            state.silences = 0
            state.breaks = 0
            if state.error_share < _WORSE_BY:
                state.ejections = 0
            return False
        state.silences = state.silences + 1 if outcome.silent else 0
        others = [s.id for s in siblings if s.id != upstream]
        if self._is_worse(state, others):
            wait = _ALONE_FIRST * 2**state.ejections
            if not self._eject(state, others, wait, now):
                return False
            state.ejections += 1
            state.outcomes.clear()
            state.silences = 0
            return True
        if not outcome.broken:
            return False
        wait = _BROKEN_FIRST * 2**state.breaks
        state.breaks += 1
        return self._eject(state, others, wait, now)

    def told_load(
        self, upstream: ids.UpstreamId, load: int, now: float
    ) -> None:
        """Take the load that an answer told."""
        state = self._state(upstream)
        state.told = load
        state.told_at = now

    def forget(self, known: typing.Container[ids.UpstreamId]) -> None:
        """Drop upstreams that are gone."""
        for gone in [key for key in self._states if key not in known]:
            del self._states[gone]

    def _is_worse(
        self, state: _State, others: typing.Sequence[ids.UpstreamId]
    ) -> bool:
        if state.silences >= _SILENCES:
            return True
        shares = [self._state(other).error_share for other in others]
        usual = sorted(shares)[len(shares) // 2] if shares else 0.0
        return state.error_share > usual + _WORSE_BY

    def _eject(
        self,
        state: _State,
        others: typing.Sequence[ids.UpstreamId],
        wait: float,
        now: float,
    ) -> bool:
        """Leave an upstream alone, unless half of them are already."""
        out = sum(1 for o in others if self._state(o).alone_until > now)
        if 2 * (out + 1) > len(others) + 1:
            return False
        state.alone_until = now + min(wait, _ALONE_MOST)
        return True

    def _cost(
        self, upstream: upstreams.Upstream, now: float
    ) -> tuple[float, float]:
        state = self._state(upstream.id)
        load = float(state.in_flight)
        if now - state.told_at < _LOAD_LIFE:
            load = max(load, load * 0.5 + state.told)
        if upstream.data_centre != self._data_centre:
            load += _AWAY
        slots = max(1, upstream.slots)
        return load / slots, self._random.random()

    def _state(self, upstream: ids.UpstreamId) -> _State:
        state = self._states.get(upstream)
        if state is None:
            state = self._states[upstream] = _State()
        return state
