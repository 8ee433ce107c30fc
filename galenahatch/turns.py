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

"""Turns of work that may be without end.

What a peer sends may cost much more work than its bytes suggest, and an event
loop does nothing else meanwhile. So such work is done in small steps, a few
in each iteration of the loop, one peer after the other. Others wait for an
iteration and not for all of the work.
"""

import asyncio
import collections
import collections.abc
import typing
import weakref

from galenahatch import clock

_ITERATION_S: typing.Final = 0.002
"""Seconds in each iteration of a loop for all steps together. A request takes
some ten iterations, and so at most 20 ms more."""


_MAX_LINES_AT_ONCE: typing.Final = 128
"""A request has some ten lines, an event has three, and few of them arrive
together. So many take some 0.2 ms."""


def is_little(data: bytes) -> bool:
    """Return whether received bytes may be parsed at once, with no turn.

    A chunk, a header, a request and an event each cost a line or more; what
    is no line of its own is part of a body and costs next to nothing.
    """
    return data.count(b'\n') + data.count(b'\r') <= 2 * _MAX_LINES_AT_ONCE


class Turns:
    """Does the work of one event loop that waits for its turn.

    Args:
        loop: The event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        # A loop that is kept by its turns would never be forgotten.
        self._loop = weakref.ref(loop)
        self._waiting: collections.deque[
            collections.abc.Callable[[], bool]
        ] = collections.deque()
        self._is_scheduled = False

    @property
    def is_busy(self) -> bool:
        """Whether work waits for its turn."""
        return bool(self._waiting)

    def add(self, step: collections.abc.Callable[[], bool]) -> None:
        """Add work.

        Args:
            step: Does a little of it, without raising, and returns whether
                there is more.
        """
        self._waiting.append(step)
        if not self._is_scheduled:
            self._schedule()

    async def complete(self, step: collections.abc.Callable[[], bool]) -> None:
        """Wait until work is done; it ends early if the caller is cancelled.

        Args:
            step: As for `add`.
        """
        done = asyncio.get_running_loop().create_future()

        def proceed() -> bool:
            if done.done():
                return False
            if step():
                return True
            done.set_result(None)
            return False

        self.add(proceed)
        await done

    def _schedule(self) -> None:
        loop = self._loop()
        assert loop is not None
        self._is_scheduled = True
        loop.call_soon(self._run)

    def _run(self) -> None:
        """Do steps in turn, for the time of one iteration.

        One that raises ends, and the others go on.
        """
        ends_at = clock.unsuspended() + _ITERATION_S
        try:
            while self._waiting:
                step = self._waiting.popleft()
                if step():
                    self._waiting.append(step)
                if clock.unsuspended() >= ends_at:
                    break
        finally:
            self._is_scheduled = False
            if self._waiting:
                self._schedule()


_TURNS: typing.Final[
    weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, Turns]
] = weakref.WeakKeyDictionary()


def of_loop(loop: asyncio.AbstractEventLoop) -> Turns:
    """Return the turns of an event loop."""
    found = _TURNS.get(loop)
    if found is None:
        found = _TURNS[loop] = Turns(loop)
    return found
