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

"""What a prompt takes at a prefill engine: a fixed delay, and a rate.

The time until a result is there is `delay + tokens / rate`. Only the second
part surely keeps the engine busy: an engine whose result comes 0.1 s after it
was read may read the next prompt meanwhile. Dividing tokens by the whole
time takes that delay for work, and finds an engine half as fast as it is.

Both parts come from a resistant line (Tukey): the newest prefills, ordered
by tokens, are cut in three, and the line goes through the medians of the
outer two. A prompt that the engine still keeps, and one that waited in its
queue, move a median little, where they bend a line of least squares.
"""

import collections
import statistics
import typing

_WINDOW: typing.Final = 45
"""Prefills that count. Thirds of 15 bear five outliers at most; the window
turns over in about five seconds at one engine in steady use."""
MIN_SAMPLES: typing.Final = 15
"""Prefills from which on a plan rests on the slope; thirds of five."""
_LEAST_FOR_SLOPE: typing.Final = 6
"""Prefills from which on there is a slope at all; thirds of two. Without one
all of the time is taken for work, and half of what an engine with a delay can
read is refused: a new owner sees few prompts alone when it starts in a
burst."""
_LEAST_FOR_RATE: typing.Final = 3
"""Prefills from which on there is a rate at all. The first one after all VMs
have restarted waits behind what other owners placed: taken for the rate, it
showed an engine to be six times as slow as it is, and for five seconds nearly
all callers were refused before engines that stood at a fifth of their memory.
"""
_MOST_WORK: typing.Final = 4.0
"""Times that a rate may exceed tokens by the whole time: no delay of more
than three times the reading is told from so few."""
_LEAST_SPREAD: typing.Final = 1.5
"""Times that the large prompts must exceed the small ones for a slope: below
that, an error of a tenth in a time is one of a half in the slope."""


class Line(typing.NamedTuple):
    """Time by tokens.

    Attributes:
        delay: seconds that each prompt takes, whatever its size.
        rate: tokens a second beyond that.
    """

    delay: float
    rate: float

    def seconds(self, tokens: float) -> float:
        """Return how long a prompt takes."""
        return self.delay + tokens / self.rate


class Latency:
    """The newest prefills of a service."""

    def __init__(self) -> None:
        self._seen: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=_WINDOW
        )

    @property
    def has_slope(self) -> bool:
        """Whether there are enough prefills for a slope."""
        return len(self._seen) >= _LEAST_FOR_SLOPE

    def add_sample(self, tokens: int, seconds: float, believed: Line) -> Line:
        """Take a prefill; return the line through the newest ones.

        Args:
            tokens: of the prompt.
            seconds: that it took.
            believed: line whose slope goes on to hold if they show none.
        """
        self._seen.append((tokens, seconds))
        if len(self._seen) < _LEAST_FOR_RATE:
            return believed
        rate = self._slope()
        if rate is None and believed.delay > 0:
            rate = believed.rate
        if rate is not None:
            delay = statistics.median(s - t / rate for t, s in self._seen)
            if delay > 0:
                return Line(delay, rate)
        # Nothing shows a delay: all of the time is taken for work.
        return Line(0.0, statistics.median(t / s for t, s in self._seen))

    def _slope(self) -> float | None:
        """Return tokens a second between small and large prompts."""
        if not self.has_slope:
            return None
        ordered = sorted(self._seen, key=lambda seen: seen[0])
        third = len(ordered) // 3
        small, small_seconds = _medians(ordered[:third])
        large, large_seconds = _medians(ordered[-third:])
        rises = large_seconds > small_seconds
        if not rises or large < _LEAST_SPREAD * small:
            return None
        rate = (large - small) / (large_seconds - small_seconds)
        whole = statistics.median(t / s for t, s in self._seen)
        return min(rate, _MOST_WORK * whole)


def _medians(
    seen: typing.Sequence[tuple[int, float]],
) -> tuple[float, float]:
    tokens, seconds = zip(*seen, strict=True)
    return statistics.median(tokens), statistics.median(seconds)
