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

"""Time limits on what has not come, not on what was not read yet.

An event loop that did not run for a while, since its VM did other work or was
frozen, comes to its timers before it is through with what has come meanwhile:
a connection, for one, takes it several turns. It would give up a connection
that was made at once, or an answer that is ready. So a limit that has run out
lets the loop turn a few times, and only what is still missing then is given
up.

The timers of a loop do not count the time in which the VM was suspended, and
those to whom an answer was promised do. So limits are moved up by that time
once it is noticed (`catch_up`).
"""

import asyncio
import collections.abc
import contextlib
import typing

from galenahatch import clock

_GRACE_ITERATIONS: typing.Final = 12
"""Turns of the loop for which what has come is still taken. The HTTP library
needs four for a connection, over either loop (found by running the tests of
pauses with fewer), and this is three times that. A turn without work costs 2
to 4 us of a processor."""


class Timer:
    """Ends a scope when its time is over and nothing has come.

    Args:
        scope: of `asyncio.timeout`, without a limit of its own.
        seconds: from now on; None for no limit.
    """

    def __init__(self, scope: asyncio.Timeout, seconds: float | None) -> None:
        self._scope = scope
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.Handle | None = None
        self._suspended_s = clock.total_suspension()
        if seconds is not None:
            self._expires_at = self._loop.time() + seconds
            self._schedule()

    def cancel(self) -> None:
        """End nothing any more; to be called when the scope is left."""
        _ACTIVE_TIMERS.discard(self)
        if self._handle is not None:
            self._handle.cancel()

    def shorten(self, seconds: float) -> None:
        """Ring earlier; only for one whose time is not over yet.

        Args:
            seconds: of a suspension; one that was over as this was set does
                not count.
        """
        if self._handle is not None:
            self._handle.cancel()
        suspended_s = clock.total_suspension()
        self._expires_at -= min(seconds, suspended_s - self._suspended_s)
        self._suspended_s = suspended_s
        self._schedule()

    def _schedule(self) -> None:
        _ACTIVE_TIMERS.add(self)
        remaining_s = max(0.0, self._expires_at - self._loop.time())
        self._handle = self._loop.call_later(
            remaining_s, self._expire, _GRACE_ITERATIONS
        )

    def _expire(self, remaining_iterations: int) -> None:
        _ACTIVE_TIMERS.discard(self)
        if remaining_iterations:
            self._handle = self._loop.call_soon(
                self._expire, remaining_iterations - 1
            )
        elif not self._scope.expired():
            self._scope.reschedule(self._loop.time())


_ACTIVE_TIMERS: typing.Final[set[Timer]] = set()
"""Alarms whose time is not over."""


def deduct_suspension(seconds: float) -> int:
    """Move all limits up by a suspension; return how many there are."""
    timers = list(_ACTIVE_TIMERS)
    for timer in timers:
        timer.shorten(seconds)
    return len(timers)


@contextlib.asynccontextmanager
async def limit(seconds: float | None) -> collections.abc.AsyncIterator[None]:
    """Limit the time that is spent within.

    Args:
        seconds: at the most; None for no limit.

    Raises:
        asyncio.TimeoutError: the time is over, and nothing has come.
    """
    async with asyncio.timeout(None) as scope:
        timer = Timer(scope, seconds)
        try:
            yield
        finally:
            timer.cancel()


async def process_pending_events() -> None:
    """Return when the loop has read what came while it did not run."""
    for _ in range(_GRACE_ITERATIONS):
        await asyncio.sleep(0)
