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

"""What a cell's owner knows and predicts of its engines.

A prefill engine works off prompts one after the other, so its load is one
number: when it will be idle. A decode engine holds each request from the
transfer to its last token, so its load is the predicted end of each place.
Predictions are corrected by what entries report, and the engines' own load
reports, which lag, only move slow averages.
"""

import bisect
import dataclasses
import typing

from galenahatch import config
from galenahatch.core import health
from galenahatch import ids

_SMOOTHING: typing.Final = 0.2
_OVERDUE_SHARE: typing.Final = 0.25
_LEAST_RATE_FACTOR: typing.Final = 0.1
_MOST_RATE_FACTOR: typing.Final = 10.0
_CROSS_CENTRE_SECONDS: typing.Final = 0.003
"""Cost of a request between data centres, beside the transfer."""


def smooth(average: float, sample: float) -> float:
    """Return an exponential average with one more sample."""
    return average + _SMOOTHING * (sample - average)


@dataclasses.dataclass
class PrefillEngine:
    """A prefill engine.

    Attributes:
        settings: as declared.
        health: ejection state.
        slowness: measured over declared time of a prefill.
        leaving: whether any source says that it leaves.
    """

    settings: config.Engine
    health: health.EngineHealth
    slowness: float = 1.0
    leaving: bool = False
    trial: ids.StreamId | None = None
    _costs: dict[ids.StreamId, float] = dataclasses.field(default_factory=dict)
    _idle_at: float = 0.0
    _link_free_at: float = 0.0

    @property
    def name(self) -> ids.EngineName:
        """Its name."""
        return self.settings.name

    @property
    def outstanding(self) -> int:
        """Prompts that it has or will get."""
        return len(self._costs)

    def cost(self, tokens: int) -> float:
        """Return the predicted seconds to prefill some tokens."""
        rate = self.settings.prefill_tokens_per_second
        return tokens * self.slowness / rate

    def starts_at(self, now: float) -> float:
        """Return when a prompt placed now would be started."""
        return max(now, self._idle_at)

    def link_free_at(self, now: float) -> float:
        """Return when its link has no reserved transfer left."""
        return max(now, self._link_free_at)

    def add(
        self, stream: ids.StreamId, cost: float, link_until: float, now: float
    ) -> None:
        """Reserve time for a prompt and its transfer."""
        self._costs[stream] = cost
        self._idle_at = self.starts_at(now) + cost
        self._link_free_at = max(self._link_free_at, link_until)

    def done(self, stream: ids.StreamId, now: float, seconds: float) -> None:
        """Note a finished prefill.

        Args:
            stream: whose.
            now: monotonic seconds.
            seconds: how long it took, with its wait; 0 if not known.
        """
        cost = self._costs.pop(stream, 0.0)
        alone = not self._costs
        if seconds > 0 and cost > 0 and alone:
            factor = self.slowness * seconds / cost
            bounded = min(_MOST_RATE_FACTOR, max(_LEAST_RATE_FACTOR, factor))
            self.slowness = smooth(self.slowness, bounded)
        self._idle_at = now + sum(self._costs.values())

    def drop(self, stream: ids.StreamId, now: float) -> None:
        """Free what was reserved for a prompt that will not finish."""
        if stream in self._costs:
            self.done(stream, now, 0.0)


@dataclasses.dataclass
class DecodeEngine:
    """A decode engine.

    Attributes:
        settings: as declared.
        health: ejection state.
        seconds_per_token: smoothed time between tokens.
        usable: places that keep the time between tokens on target.
        leaving: whether any source says that it leaves.
    """

    settings: config.Engine
    health: health.EngineHealth
    seconds_per_token: float
    usable: float
    leaving: bool = False
    trial: ids.StreamId | None = None
    _ends: dict[ids.StreamId, float] = dataclasses.field(default_factory=dict)
    _sorted: list[float] = dataclasses.field(default_factory=list)
    _link_free_at: float = 0.0

    @property
    def name(self) -> ids.EngineName:
        """Its name."""
        return self.settings.name

    @property
    def reserved(self) -> int:
        """Places reserved or held."""
        return len(self._ends)

    @property
    def places(self) -> int:
        """Places that may be used now."""
        return max(1, int(self.usable))

    def link_free_at(self, now: float) -> float:
        """Return when its link has no reserved transfer left."""
        return max(now, self._link_free_at)

    def free_at(self, now: float) -> float:
        """Return when a place is predicted to be free."""
        self._put_off_overdue(now)
        taken = len(self._sorted)
        if taken < self.places:
            return now
        return self._sorted[taken - self.places]

    def add(
        self, stream: ids.StreamId, ends_at: float, link_until: float
    ) -> None:
        """Reserve a place until a predicted time."""
        self._ends[stream] = ends_at
        bisect.insort(self._sorted, ends_at)
        self._link_free_at = max(self._link_free_at, link_until)

    def move(self, stream: ids.StreamId, ends_at: float) -> None:
        """Correct the predicted end of a place."""
        if stream in self._ends:
            self.drop(stream)
            self.add(stream, ends_at, 0.0)

    def drop(self, stream: ids.StreamId) -> None:
        """Free a place."""
        ends_at = self._ends.pop(stream, None)
        if ends_at is not None:
            del self._sorted[bisect.bisect_left(self._sorted, ends_at)]

    def paced(self, seconds: float, target: float, alone: float) -> None:
        """Note a time between tokens and adapt the usable places.

        Args:
            seconds: measured.
            target: what the service wants.
            alone: share of places in use at the time, 0 to 1.
        """
        if seconds <= 0:
            return
        self.seconds_per_token = smooth(self.seconds_per_token, seconds)
        if self.seconds_per_token > target and alone > 0.5:
            self.usable = max(1.0, self.usable * 0.95)
        elif self.seconds_per_token < 0.9 * target:
            self.usable = min(self.settings.places, self.usable + 0.1)

    def _put_off_overdue(self, now: float) -> None:
        """Predict again the places that should have been free by now."""
        while self._sorted and self._sorted[0] <= now:
            overdue = self._sorted[0]
            for stream, ends_at in self._ends.items():
                if ends_at == overdue:
                    break
            else:
                del self._sorted[0]
                continue
            ahead = max(
                self.seconds_per_token, (now - overdue) * _OVERDUE_SHARE
            )
            self.move(stream, now + ahead)


def between(prefill: PrefillEngine, decode: DecodeEngine) -> float:
    """Return the extra seconds of a transfer between data centres."""
    here = prefill.settings.data_centre
    there = decode.settings.data_centre
    return 0.0 if here == there else _CROSS_CENTRE_SECONDS


def away(engine: config.Engine, centre: ids.DataCentre) -> float:
    """Return the extra seconds of calls from another data centre."""
    return 0.0 if engine.data_centre == centre else _CROSS_CENTRE_SECONDS
