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

"""Load state and predictions of a cell's engines, kept by its owner.

A prefill engine processes prompts sequentially, so its load is the time at
which it becomes idle. A decode engine holds each request from the transfer to
the last token, so its load is the predicted end of each request. Reports of
entries correct the predictions. Load reports of the engines themselves lag
and only update slow averages.
"""

import bisect
import dataclasses
import typing

from galenahatch.core import health
from galenahatch.core import links
from galenahatch import ids
from galenahatch import schema

_SMOOTHING: typing.Final = 0.2
_MIN_SLOWNESS: typing.Final = 0.1
_MAX_SLOWNESS: typing.Final = 10.0
_INTER_DATA_CENTRE_DELAY_S: typing.Final = 0.003
"""Extra delay of a request between data centres, excluding its transfer."""


def smooth(average: float, sample: float) -> float:
    """Return an exponential moving average updated with a sample."""
    return average + _SMOOTHING * (sample - average)


@dataclasses.dataclass
class PrefillEngine:
    """Prefill engine.

    Attributes:
        settings: Declared settings.
        health: Ejection state.
        slowness: Ratio of measured to declared prefill time.
        leaving: Whether any source reports it as leaving.
        trial_stream: Attempt that probes the engine after an ejection.
        link: Network link with its reserved transfers.
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
        """Number of prompts running or reserved."""
        return len(self._costs)

    def cost(self, tokens: int) -> float:
        """Return the predicted prefill time of a number of tokens."""
        rate = self.settings.prefill_tokens_per_second
        return tokens * self.slowness / rate

    def starts_at(self, now: float) -> float:
        """Return when a prompt placed now would start."""
        return max(now, self._idle_at)

    def add(self, stream: ids.StreamId, cost: float, now: float) -> None:
        """Reserve prefill time for a prompt."""
        self._costs[stream] = cost
        self._idle_at = self.starts_at(now) + cost

    def finish(self, stream: ids.StreamId, now: float, seconds: float) -> None:
        """Record a finished prefill.

        Args:
            stream: Stream of the prompt.
            now: Monotonic seconds.
            seconds: Duration including queueing; 0 if unknown.
        """
        cost = self._costs.pop(stream, 0.0)
        was_only_prompt = not self._costs
        if seconds > 0 and cost > 0 and was_only_prompt:
            slowness = self.slowness * seconds / cost
            bounded = min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, slowness))
            self.slowness = smooth(self.slowness, bounded)
        self._idle_at = now + sum(self._costs.values())

    def release(self, stream: ids.StreamId, now: float) -> None:
        """Release the time reserved for a prompt that will not finish."""
        if stream in self._costs:
            self.finish(stream, now, 0.0)


@dataclasses.dataclass(frozen=True)
class HoldEstimate:
    """Prediction of how long a request occupies a place.

    Attributes:
        ends_at: Predicted end for an answer of typical length.
        latest_end: End if the request generates its maximum output.
    """

    ends_at: float
    latest_end: float


@dataclasses.dataclass
class DecodeEngine:
    """Decode engine.

    Attributes:
        settings: Declared settings.
        health: Ejection state.
        seconds_per_token: Smoothed time between tokens.
        concurrency_limit: Number of requests that keeps the time between
            tokens on target.
        leaving: Whether any source reports it as leaving.
        trial_stream: Attempt that probes the engine after an ejection.
        link: Network link with its reserved transfers.
    """

    settings: schema.Engine
    health: health.EngineHealth
    seconds_per_token: float
    concurrency_limit: float
    leaving: bool = False
    trial_stream: ids.StreamId | None = None
    _estimates: dict[ids.StreamId, HoldEstimate] = dataclasses.field(
        default_factory=dict
    )
    _by_end: list[tuple[float, ids.StreamId]] = dataclasses.field(
        default_factory=list
    )
    link: links.Link = dataclasses.field(default_factory=links.Link)

    @property
    def name(self) -> ids.EngineName:
        """Its name."""
        return self.settings.name

    @property
    def reserved(self) -> int:
        """Number of places reserved or occupied."""
        return len(self._estimates)

    @property
    def places(self) -> int:
        """Number of places that may be used now."""
        return max(1, round(self.concurrency_limit))

    def free_at(self, now: float) -> float:
        """Return when a place is predicted to become free."""
        self._extend_overdue(now)
        held = len(self._by_end)
        if held < self.places:
            return now
        return self._by_end[held - self.places][0]

    def add(self, stream: ids.StreamId, estimate: HoldEstimate) -> None:
        """Reserve a place."""
        self._estimates[stream] = estimate
        bisect.insort(self._by_end, (estimate.ends_at, stream))

    def reschedule(self, stream: ids.StreamId, estimate: HoldEstimate) -> None:
        """Update the prediction of how long a place is occupied."""
        if stream in self._estimates:
            self.release(stream)
            self.add(stream, estimate)

    def release(self, stream: ids.StreamId) -> None:
        """Release a place."""
        estimate = self._estimates.pop(stream, None)
        if estimate is not None:
            index = bisect.bisect_left(
                self._by_end, (estimate.ends_at, stream)
            )
            del self._by_end[index]

    def record_token_interval(
        self, seconds: float, target: float, occupancy: float
    ) -> None:
        """Record a time between tokens and adapt the concurrency limit.

        Args:
            seconds: Measured time between tokens.
            target: Target time between tokens of the service.
            occupancy: Fraction of places in use, 0 to 1.
        """
        if seconds <= 0:
            return
        self.seconds_per_token = smooth(self.seconds_per_token, seconds)
        if self.seconds_per_token > target and occupancy > 0.5:
            self.concurrency_limit = max(1.0, self.concurrency_limit * 0.95)
        elif self.seconds_per_token < 0.9 * target:
            self.concurrency_limit = min(
                self.settings.places, self.concurrency_limit + 0.1
            )

    def _extend_overdue(self, now: float) -> None:
        """Extend the predictions of requests that should have ended by now.

        Such a request ends at some time before its latest end; the estimate
        is half of the remaining time.
        """
        while self._by_end and self._by_end[0][0] <= now:
            stream = self._by_end[0][1]
            latest_end = self._estimates[stream].latest_end
            remaining = max(2 * self.seconds_per_token, latest_end - now)
            self.reschedule(
                stream, HoldEstimate(now + remaining / 2, latest_end)
            )


def transfer_delay(prefill: PrefillEngine, decode: DecodeEngine) -> float:
    """Return the extra transfer delay between data centres, in seconds."""
    source = prefill.settings.data_centre
    destination = decode.settings.data_centre
    return 0.0 if source == destination else _INTER_DATA_CENTRE_DELAY_S


def call_delay(engine: schema.Engine, data_centre: ids.DataCentre) -> float:
    """Return the extra call delay from another data centre, in seconds."""
    return (
        0.0
        if engine.data_centre == data_centre
        else _INTER_DATA_CENTRE_DELAY_S
    )
