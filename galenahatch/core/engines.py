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

from galenahatch.core import health
from galenahatch.core import links
from galenahatch import ids
from galenahatch import schema

_SMOOTHING: typing.Final = 0.2
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
        trial: attempt that it is tried with.
        link: reserved transfers.
    """

    settings: schema.Engine
    health: health.EngineHealth
    slowness: float = 1.0
    leaving: bool = False
    trial_stream: ids.StreamId | None = None
    _costs: dict[ids.StreamId, float] = dataclasses.field(default_factory=dict)
    _idle_at: float = 0.0
    link: links.Link = dataclasses.field(default_factory=links.Link)

    @property
    def name(self) -> ids.EngineName:
        """Its name."""
        return self.settings.name

    @property
    def queued_prompts(self) -> int:
        """Prompts that it has or will get."""
        return len(self._costs)

    def cost(self, tokens: int) -> float:
        """Return the predicted seconds to prefill some tokens."""
        rate = self.settings.prefill_tokens_per_second
        return tokens * self.slowness / rate

    def starts_at(self, now: float) -> float:
        """Return when a prompt placed now would be started."""
        return max(now, self._idle_at)

    def add(self, stream: ids.StreamId, cost: float, now: float) -> None:
        """Reserve time for a prompt."""
        self._costs[stream] = cost
        self._idle_at = self.starts_at(now) + cost

    def finish(self, stream: ids.StreamId, now: float, seconds: float) -> None:
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

    def release(self, stream: ids.StreamId, now: float) -> None:
        """Free what was reserved for a prompt that will not finish."""
        if stream in self._costs:
            self.finish(stream, now, 0.0)


@dataclasses.dataclass(frozen=True)
class HoldEstimate:
    """How long a request is predicted to hold a place.

    Attributes:
        ends_at: predicted end, by the usual length of answers.
        latest: end if it generates all the tokens that it may.
    """

    ends_at: float
    latest_end: float


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

    settings: schema.Engine
    health: health.EngineHealth
    seconds_per_token: float
    concurrency_limit: float
    leaving: bool = False
    trial_stream: ids.StreamId | None = None
    _held: dict[ids.StreamId, HoldEstimate] = dataclasses.field(
        default_factory=dict
    )
    _sorted: list[tuple[float, ids.StreamId]] = dataclasses.field(
        default_factory=list
    )
    link: links.Link = dataclasses.field(default_factory=links.Link)

    @property
    def name(self) -> ids.EngineName:
        """Its name."""
        return self.settings.name

    @property
    def reserved(self) -> int:
        """Places reserved or held."""
        return len(self._held)

    @property
    def places(self) -> int:
        """Places that may be used now."""
        return max(1, round(self.concurrency_limit))

    def free_at(self, now: float) -> float:
        """Return when a place is predicted to be free."""
        self._put_off_overdue(now)
        taken = len(self._sorted)
        if taken < self.places:
            return now
        return self._sorted[taken - self.places][0]

    def add(self, stream: ids.StreamId, stay: HoldEstimate) -> None:
        """Reserve a place."""
        self._held[stream] = stay
        bisect.insort(self._sorted, (stay.ends_at, stream))

    def reschedule(self, stream: ids.StreamId, stay: HoldEstimate) -> None:
        """Correct how long a place is held."""
        if stream in self._held:
            self.release(stream)
            self.add(stream, stay)

    def release(self, stream: ids.StreamId) -> None:
        """Free a place."""
        stay = self._held.pop(stream, None)
        if stay is not None:
            at = bisect.bisect_left(self._sorted, (stay.ends_at, stream))
            del self._sorted[at]

    def record_token_interval(
        self, seconds: float, target: float, alone: float
    ) -> None:
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
            self.concurrency_limit = max(1.0, self.concurrency_limit * 0.95)
        elif self.seconds_per_token < 0.9 * target:
            self.concurrency_limit = min(
                self.settings.places, self.concurrency_limit + 0.1
            )

    def _put_off_overdue(self, now: float) -> None:
        """Predict again the places that should have been free by now.

        A request that outlived its predicted end will end somewhere before
        its latest one; half of what is left is the best guess.
        """
        while self._sorted and self._sorted[0][0] <= now:
            stream = self._sorted[0][1]
            latest = self._held[stream].latest_end
            left = max(2 * self.seconds_per_token, latest - now)
            self.reschedule(stream, HoldEstimate(now + left / 2, latest))


def transfer_delay(prefill: PrefillEngine, decode: DecodeEngine) -> float:
    """Return the extra seconds of a transfer between data centres."""
    here = prefill.settings.data_centre
    there = decode.settings.data_centre
    return 0.0 if here == there else _CROSS_CENTRE_SECONDS


def call_delay(engine: schema.Engine, centre: ids.DataCentre) -> float:
    """Return the extra seconds of calls from another data centre."""
    return 0.0 if engine.data_centre == centre else _CROSS_CENTRE_SECONDS
