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

"""Slots of a stand-in and the FIFO queue before them."""

import asyncio
import collections


class Capacity:
    """What an upstream executes at a time, and how many more may wait.

    Args:
        slots: Requests that are executed at a time.
        queue: Requests that may wait; others are rejected.
    """

    def __init__(self, slots: int, queue: int) -> None:
        self.slots = slots
        self._queue = queue
        self._running = 0
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self.rejected = 0

    @property
    def load(self) -> str:
        """What the load header states."""
        return f'{self._running},{len(self._waiting)},{self.slots}'

    async def enter(self) -> bool:
        """Wait for a slot; return whether there was room to wait."""
        if self._running < self.slots:
            self._running += 1
            return True
        if len(self._waiting) >= self._queue:
            self.rejected += 1
            return False
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        await turn
        return True

    def leave(self) -> None:
        """Give the slot to the next request."""
        if self._waiting:
            self._waiting.popleft().set_result(None)
        else:
            self._running -= 1
