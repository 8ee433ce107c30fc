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

"""Model of the prefill time: a fixed delay plus the tokens over a rate.

A result is available after `delay + tokens / rate`. Only the second part is
certain to occupy the engine: one whose result arrives 0.1 s after the prompt
was read may read the next prompt in the meantime. Dividing the tokens by the
total time counts that delay as work and underestimates the rate by half.

Both parts are fitted by a resistant line (Tukey): the newest prefills, sorted
by tokens, are split in three, and the line goes through the medians of the
outer thirds. Outliers, such as prompts that the engine has cached or that
waited in its queue, shift a median little but distort a least-squares fit.

Among engines of unequal speed and moments that are slow, a line can show a
delay that no engine has, and a rate above that of the fastest. There it is
used only if it explains the samples clearly better than a rate alone.
"""

import collections
import statistics
import typing

_WINDOW_SIZE: typing.Final = 45
"""Prefills in the sample. Thirds of 15 tolerate up to five outliers; the
window turns over in about five seconds at one engine in steady use."""
MIN_SAMPLES: typing.Final = 15
"""Prefills needed before the slope is used for planning; thirds of five."""
_MIN_SLOPE_SAMPLES: typing.Final = 6
"""Prefills needed for any slope; thirds of two. Without a slope the whole time
counts as work, and half of what an engine with a delay can read is refused: a
new owner that starts in a burst sees few prompts alone at an engine."""
_MIN_RATE_SAMPLES: typing.Final = 3
"""Prefills needed for any rate. The first one after all VMs have restarted
waits behind prompts that other owners placed: used as the rate, it made an
engine look six times as slow as it was, and for five seconds nearly all
callers were refused while engines used a fifth of their memory."""
_MAX_RATE_RATIO: typing.Final = 4.0
"""Upper bound on the rate, as a multiple of tokens over total time: so few
samples can't show a delay of more than three times the reading time."""
_MAX_UNEXPLAINED_RATIO: typing.Final = 0.7
"""Largest ratio of what a line leaves unexplained to what a rate alone does,
where a line needs proof: a delay of a fifth of the time halves it."""
_MIN_SIZE_RATIO: typing.Final = 1.5
"""Least ratio of large to small prompts that allows a slope: below it, an
error of 10% in a time becomes one of 50% in the slope."""


class Line(typing.NamedTuple):
    """Prefill time as a linear function of the prompt's tokens.

    Attributes:
        delay: Seconds that each prompt takes regardless of its size.
        rate: Tokens a second beyond the delay.
    """

    delay: float
    rate: float

    def seconds(self, tokens: float) -> float:
        """Return the prefill time of a prompt."""
        return self.delay + tokens / self.rate


class Latency:
    """Fit of the newest prefills of a service."""

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[int, float]] = (
            collections.deque(maxlen=_WINDOW_SIZE)
        )

    @property
    def has_slope(self) -> bool:
        """Whether there are enough prefills for a slope."""
        return len(self._samples) >= _MIN_SLOPE_SAMPLES

    def add_sample(
        self,
        tokens: int,
        seconds: float,
        prior: Line,
        needs_proof: bool = False,
    ) -> Line:
        """Add a prefill; return the line fitted to the newest ones.

        Args:
            tokens: Tokens of the prompt.
            seconds: Seconds that the prefill took.
            prior: Line whose slope is kept if the samples show none.
            needs_proof: Whether a delay counts only if it explains the
                samples clearly better than a rate alone.
        """
        self._samples.append((tokens, seconds))
        if len(self._samples) < _MIN_RATE_SAMPLES:
            return prior
        rate = self._slope()
        if rate is None and prior.delay > 0:
            rate = prior.rate
        if rate is not None:
            delay = statistics.median(
                time - size / rate for size, time in self._samples
            )
            line = Line(delay, rate)
            if delay > 0 and (not needs_proof or self._is_proven(line)):
                return line
        # Without evidence of a delay, the whole time counts as work.
        return Line(0.0, self._median_rate())

    def _median_rate(self) -> float:
        return statistics.median(size / time for size, time in self._samples)

    def _is_proven(self, line: Line) -> bool:
        """Return whether a line explains much more than a rate alone."""
        rate = self._median_rate()
        unexplained = unexplained_by_rate = 0.0
        for size, time in self._samples:
            unexplained += abs(time - line.seconds(size))
            unexplained_by_rate += abs(time - size / rate)
        return unexplained < _MAX_UNEXPLAINED_RATIO * unexplained_by_rate

    def _slope(self) -> float | None:
        """Return tokens a second between small and large prompts."""
        if not self.has_slope:
            return None
        ordered = sorted(self._samples, key=lambda sample: sample[0])
        third = len(ordered) // 3
        small, small_seconds = _medians(ordered[:third])
        large, large_seconds = _medians(ordered[-third:])
        is_rising = large_seconds > small_seconds
        if not is_rising or large < _MIN_SIZE_RATIO * small:
            return None
        rate = (large - small) / (large_seconds - small_seconds)
        return min(rate, _MAX_RATE_RATIO * self._median_rate())


def _medians(
    samples: typing.Sequence[tuple[int, float]],
) -> tuple[float, float]:
    tokens, seconds = zip(*samples, strict=True)
    return statistics.median(tokens), statistics.median(seconds)
