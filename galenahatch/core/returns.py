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

"""Keeps the share of taken up streams that go on near that of new ones.

A caller whose gateway died takes its stream up on a new connection. Where
engines are short, such returns are late by their callers' objectives, so that
new streams that can start in time would go before all of them. A share of the
returns is therefore owed a start: it is placed before new streams.
"""

import typing

from galenahatch.core import generations

_OWED_FRACTION: typing.Final = 1.25
"""Share of the returns that go on, as a fraction of that of the new streams
that begin. Callers lose more than half of what they have read below 0.5."""
_INITIAL_SHARE: typing.Final = 0.5
_INITIAL_WEIGHT: typing.Final = 20.0
"""Share assumed of an owner that has decided nothing, and the number of
decisions that it counts for."""
_DECAY: typing.Final = 0.99
"""Factor applied to earlier decisions with each new one: 100 count."""
_MAX_OWED: typing.Final = 8.0
"""Most returns that are owed a start at a time."""
_MAX_AHEAD: typing.Final = 1.0
"""Most returns that count as served beyond what they were owed."""

Job = generations.Job


class Returns:
    """Returns that are owed a start, at one service."""

    def __init__(self) -> None:
        self._placed = _INITIAL_SHARE * _INITIAL_WEIGHT
        self._decided = _INITIAL_WEIGHT
        self._owed = 0.0

    def record_arrival(self, waiting: int) -> bool:
        """Record a return; return whether it is owed a start.

        Args:
            waiting: Number of returns that wait and are owed a start.
        """
        share = _OWED_FRACTION * self._placed / self._decided
        self._owed = min(_MAX_OWED, self._owed + share)
        return self._owed >= waiting + 1

    def record_decision(self, job: Job, is_placed: bool) -> None:
        """Record that a request was placed or refused."""
        if job.is_continuation or job.avoid:
            return
        if not job.is_return:
            self._placed = self._placed * _DECAY + is_placed
            self._decided = self._decided * _DECAY + 1
        elif is_placed:
            self._owed = max(-_MAX_AHEAD, self._owed - 1)
