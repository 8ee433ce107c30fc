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

"""Reserved time on an engine's link.

Transfers go one after the other. A transfer is reserved for the time when
its prefill will be done, which may be long after transfers of shorter
prompts, so the link is a list of busy intervals with gaps to use, not one
queue.
"""

import bisect

Interval = tuple[float, float]


class Link:
    """Busy intervals of one link; times are monotonic seconds."""

    def __init__(self) -> None:
        self._busy: list[Interval] = []

    def earliest(self, start: float, duration: float) -> float:
        """Return when a transfer that may begin at `start` can begin."""
        begin = start
        for busy_from, busy_until in self._busy:
            if busy_until <= begin:
                continue
            if busy_from >= begin + duration:
                break
            begin = busy_until
        return begin

    def reserve(self, start: float, end: float, now: float) -> None:
        """Reserve an interval and forget those that are over."""
        self._busy = [one for one in self._busy if one[1] > now]
        bisect.insort(self._busy, (start, end))

    def __len__(self) -> int:
        return len(self._busy)


def earliest(
    first: Link, second: Link, start: float, duration: float
) -> float:
    """Return when both links are free for a transfer."""
    begin = start
    while True:
        after = second.earliest(first.earliest(begin, duration), duration)
        if after == begin:
            return begin
        begin = after
