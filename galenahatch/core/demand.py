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

"""What a service is asked for, and the peak that recent demand shows.

Callers come in bursts of some seconds on top of waves. Capacity that suffices
for the mean of the last seconds is short in the next burst, and engines need
longer to change their stage than a burst lasts. So arrivals are counted in
windows shorter than a burst, which are kept for as long as bursts recur, and
the peak is a high quantile of them. Old windows lose weight, so a peak that
does not recur fades.

Each request counts once, by its first attempt: those that were refused, or are
sent again by an impatient caller, are not more to serve. Times are monotonic
seconds.
"""

import collections
import typing

WINDOW_S: typing.Final = 2.0
"""Length of a window. Shorter peaks pass while requests wait, within the two
to three seconds that callers allow for a first event."""
_HORIZON_WINDOWS: typing.Final = 45
"""Windows kept: a minute and a half holds several bursts, and a long wave."""
_HALF_LIFE_S: typing.Final = 45.0
"""Seconds after which a window has half of its weight."""
_PEAK_QUANTILE: typing.Final = 0.9
"""Fraction of the time for which capacity is to suffice; bursts of four
seconds every ten leave more than a tenth above it."""
_RECURRENCE_WINDOWS: typing.Final = 8
"""Windows within which a burst shows, since bursts recur about every ten
seconds. Before, one is expected."""
_EXPECTED_BURST_FACTOR: typing.Final = 2.0
"""Expected demand of a burst that has not been seen, as a multiple of the
mean: callers come in bursts of about twice the usual demand."""
_EXPECTED_BURST_WEIGHT: typing.Final = 0.25
"""Weight of that burst, relative to all windows: four seconds in twenty."""
_MAX_FINGERPRINTS: typing.Final = 8192
"""Requests that are recognized if they come again: the streams of a large
service within ten seconds, 1 MB."""


class Window(typing.NamedTuple):
    """Demand of one window.

    Attributes:
        weight: Weight in means and quantiles.
        requests: Requests a second.
        tokens: Prompt tokens a second.
        outputs: Predicted tokens of answers a second.
    """

    weight: float
    requests: float
    tokens: float
    outputs: float = 0.0


class Demand:
    """Demand of one service."""

    def __init__(self) -> None:
        self._begun_at: float | None = None
        self._counts = (0, 0, 0)
        self._windows: collections.deque[tuple[int, int, int]] = (
            collections.deque(maxlen=_HORIZON_WINDOWS)
        )
        self._seen: dict[str, float] = {}
        self._adopted = Window(0.0, 0.0, 0.0)
        self._adopted_at: float | None = None
        self._latest_at = 0.0

    @property
    def is_known(self) -> bool:
        """Whether a window has ended."""
        return bool(self._windows)

    @property
    def latest_peak(self) -> Window:
        """Peak at the time of the last call."""
        if self._begun_at is None:
            return self._adopted
        return self.peak(self._latest_at)

    def record(
        self,
        fingerprint: str,
        tokens: int,
        output: int,
        deadline: float,
        now: float,
    ) -> None:
        """Record a request that was not refused before.

        Args:
            fingerprint: Identifies its repetitions; empty if unknown.
            tokens: Tokens of its prompt.
            output: Predicted tokens of its answer.
            deadline: Time until which its caller may repeat it.
            now: Monotonic time in seconds.
        """
        if fingerprint:
            if self._seen.get(fingerprint, now) > now:
                return
            self._seen.pop(fingerprint, None)
            self._seen[fingerprint] = deadline
            if len(self._seen) > _MAX_FINGERPRINTS:
                del self._seen[next(iter(self._seen))]
        self._advance(now)
        requests, prompts, outputs = self._counts
        self._counts = requests + 1, prompts + tokens, outputs + output

    def adopt(self, requests: float, tokens: float) -> None:
        """Adopt the peak that another owner has seen.

        Args:
            requests: Requests a second.
            tokens: Prompt tokens a second.
        """
        self._adopted = Window(1.0, requests, tokens)
        self._adopted_at = None

    def windows(self, now: float) -> list[Window]:
        """Return the windows, the newest first.

        That which has not ended counts as well once it exceeds the one before
        it: a burst shows in its first second. A burst that could not be seen
        yet is expected.
        """
        self._advance(now)
        decay = 0.5 ** (WINDOW_S / _HALF_LIFE_S)
        counts = list(reversed(self._windows))
        if counts and self._counts[0] > counts[0][0]:
            counts.insert(0, self._counts)
        windows = [
            Window(decay**age, *(count / WINDOW_S for count in window))
            for age, window in enumerate(counts)
        ]
        if windows and len(self._windows) < _RECURRENCE_WINDOWS:
            windows.append(_expected_burst(windows))
        return windows

    def mean_size(self, now: float) -> tuple[float, float] | None:
        """Return the mean tokens of a prompt and of an answer.

        They are means over all windows: with those of the last seconds, the
        capacity of a stage swings by a tenth. None without requests.
        """
        windows = self.windows(now)
        requests = sum(w.weight * w.requests for w in windows)
        if not requests:
            return None
        tokens = sum(w.weight * w.tokens for w in windows)
        outputs = sum(w.weight * w.outputs for w in windows)
        return tokens / requests, outputs / requests

    def peak(self, now: float) -> Window:
        """Return the peak; of two kinds of windows, the larger of each.

        Requests and tokens may peak at different times.
        """
        windows = self.windows(now)
        adopted_at = now if self._adopted_at is None else self._adopted_at
        self._adopted_at = adopted_at
        age = max(0.0, now - adopted_at)
        weight = 0.5 ** (age / _HALF_LIFE_S)
        return Window(
            1.0,
            max(
                _quantile([(w.requests, w.weight) for w in windows]),
                weight * self._adopted.requests,
            ),
            max(
                _quantile([(w.tokens, w.weight) for w in windows]),
                weight * self._adopted.tokens,
            ),
        )

    def _advance(self, now: float) -> None:
        """Close the windows that have ended."""
        self._latest_at = now
        if self._begun_at is None:
            self._begun_at = now
        ended = int((now - self._begun_at) / WINDOW_S)
        for _ in range(min(ended, _HORIZON_WINDOWS)):
            self._windows.append(self._counts)
            self._counts = 0, 0, 0
        if ended > 0:
            self._begun_at += ended * WINDOW_S


def _expected_burst(windows: list[Window]) -> Window:
    """Return a window of a burst that the present ones don't show."""
    weight = sum(w.weight for w in windows)
    factor = _EXPECTED_BURST_FACTOR / weight
    return Window(
        _EXPECTED_BURST_WEIGHT * weight,
        factor * sum(w.weight * w.requests for w in windows),
        factor * sum(w.weight * w.tokens for w in windows),
        factor * sum(w.weight * w.outputs for w in windows),
    )


def _quantile(values: list[tuple[float, float]]) -> float:
    """Return the weighted quantile of values; 0 if there are none."""
    values.sort(reverse=True)
    above = (1 - _PEAK_QUANTILE) * sum(weight for _, weight in values)
    for value, weight in values:
        above -= weight
        if above <= 0:
            return value
    return 0.0
