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

"""Reservations of transfer time on the network links of engines.

Transfers on a link are sequential. A transfer is reserved for the time its
prefill ends, which may be long after the transfers of shorter prompts. A link
is therefore a list of busy intervals with usable gaps, not a FIFO queue.
"""

import bisect

Interval = tuple[float, float]


class Link:
    """Busy intervals of one link; times are monotonic seconds."""

    def __init__(self) -> None:
        self._intervals: list[Interval] = []

    def earliest(self, start: float, duration: float) -> float:
        """Return the earliest begin of a transfer, at or after `start`."""
        begin = start
        for busy_from, busy_until in self._intervals:
            if busy_until <= begin:
                continue
            if busy_from >= begin + duration:
                break
            begin = busy_until
        return begin

    def reserve(self, start: float, end: float, now: float) -> None:
        """Reserve an interval and remove the past ones."""
        self._intervals = [
            interval for interval in self._intervals if interval[1] > now
        ]
        bisect.insort(self._intervals, (start, end))

    def __len__(self) -> int:
        return len(self._intervals)


def earliest(
    first: Link, second: Link, start: float, duration: float
) -> float:
    """Return the earliest begin of a transfer on two links."""
    begin = start
    while True:
        next_begin = second.earliest(first.earliest(begin, duration), duration)
        if next_begin == begin:
            return begin
        begin = next_begin
