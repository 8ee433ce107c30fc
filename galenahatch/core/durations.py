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


"""How long requests last, by their route.

Requests that still run count with their age once that is unusual, so that
requests which all take longer than before are noticed before the first of
them has ended.
"""

import collections
import collections.abc
import typing

_SAMPLES: typing.Final = 50
_MIN_SAMPLES: typing.Final = 8
"""Requests after which a route counts as known."""
_MAX_ROUTES: typing.Final = 256
"""Routes that are remembered: configurations may replace all of them."""


class Running:
    """A request that runs."""

    def __init__(self, route: str, began_at: float) -> None:
        self.route = route
        self.began_at = began_at


class Durations:
    """Durations of the newest requests of each route."""

    def __init__(self) -> None:
        self._ended: collections.OrderedDict[str, collections.deque[float]] = (
            collections.OrderedDict()
        )
        self._running: set[Running] = set()

    def begin(self, route: str, now: float) -> Running:
        """Record that a request begins; call `end` when it has ended."""
        running = Running(route, now)
        self._running.add(running)
        return running

    def end(self, running: Running, now: float, is_whole: bool) -> None:
        """Record that a request has ended.

        Args:
            running: The request.
            now: Monotonic time in seconds.
            is_whole: Whether it took as long as such a request takes.
        """
        self._running.discard(running)
        if not is_whole:
            return
        ended = self._ended.setdefault(
            running.route, collections.deque(maxlen=_SAMPLES)
        )
        ended.append(now - running.began_at)
        self._ended.move_to_end(running.route)
        if len(self._ended) > _MAX_ROUTES:
            self._ended.popitem(last=False)

    def is_known(self, route: str) -> bool:
        """Return whether enough requests of a route have ended."""
        return len(self._ended.get(route, ())) >= _MIN_SAMPLES

    def high(
        self, route: str, share: float, prior: float, now: float
    ) -> float:
        """Return the seconds within which a share of requests ends.

        Args:
            route: Name of the route.
            share: Share of the requests; 1 for all of them.
            prior: Seconds to assume if none has ended yet.
            now: Monotonic time in seconds.
        """
        ended = sorted(self._ended.get(route, ())) or [prior]
        usual = _quantile(ended, share)
        ages = [
            now - running.began_at
            for running in self._running
            if running.route == route
        ]
        unusual = [age for age in ages if age > usual]
        return _quantile(sorted([*ended, *unusual]), share)


def _quantile(ordered: collections.abc.Sequence[float], share: float) -> float:
    index = int(share * len(ordered))
    return ordered[min(index, len(ordered) - 1)]
