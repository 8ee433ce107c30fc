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

"""Timeouts that process pending I/O before they expire.

After a pause of the event loop, because its VM was busy or suspended, expired
timers run before I/O that arrived meanwhile is processed completely: a
connection takes several iterations of the loop. A plain timeout would abandon
a connection that is established or a response that is ready. So an expired
timeout first lets the loop run a few iterations and cancels only what is still
incomplete then.

The timers of the event loop do not count the time in which the VM was
suspended, but callers that wait for a response do. So timeouts are shortened
by that time once the suspension is detected (`deduct_suspension`).
"""

import asyncio
import collections.abc
import contextlib
import functools
import typing

from galenahatch import clock

_GRACE_ITERATIONS: typing.Final = 12
"""Loop iterations in which pending I/O is processed before a timeout expires.
The HTTP library needs four for a connection with either event loop; the tests
of pauses fail with fewer. This is three times that. An idle iteration costs 2
to 4 us of CPU time."""


class Timer:
    """Calls a function after a time and after pending I/O was processed.

    Args:
        on_expiry: Called once when the time is up.
        seconds: Timeout in seconds from now; None for no timeout.
    """

    def __init__(
        self,
        on_expiry: collections.abc.Callable[[], None],
        seconds: float | None,
    ) -> None:
        self._on_expiry = on_expiry
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.Handle | None = None
        self._suspended_s = clock.total_suspension()
        if seconds is not None:
            self._expires_at = self._loop.time() + seconds
            self._schedule()

    def cancel(self) -> None:
        """Stop the timer; must be called when it is no longer needed."""
        _ACTIVE_TIMERS.discard(self)
        if self._handle is not None:
            self._handle.cancel()

    def shorten(self, seconds: float) -> None:
        """Expire earlier; only for a timer that has not expired yet.

        Args:
            seconds: Length of a suspension in seconds. The part before the
                timer was set is not deducted.
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
        else:
            self._on_expiry()


_ACTIVE_TIMERS: typing.Final[set[Timer]] = set()
"""Timers that have not expired yet."""


def deduct_suspension(seconds: float) -> int:
    """Shorten all active timers by a suspension; return their number."""
    timers = list(_ACTIVE_TIMERS)
    for timer in timers:
        timer.shorten(seconds)
    return len(timers)


@contextlib.asynccontextmanager
async def limit(seconds: float | None) -> collections.abc.AsyncIterator[None]:
    """Limit the duration of a block.

    Args:
        seconds: Timeout in seconds; None for no timeout.

    Raises:
        asyncio.TimeoutError: The timeout expired and no pending I/O completed
            the block.
    """
    async with asyncio.timeout(None) as scope:
        timer = Timer(functools.partial(end, scope), seconds)
        try:
            yield
        finally:
            timer.cancel()


def end(scope: asyncio.Timeout) -> None:
    """Let a timeout scope expire now."""
    if not scope.expired():
        scope.reschedule(asyncio.get_running_loop().time())


async def process_pending_events() -> None:
    """Wait until the loop has processed I/O that arrived during a pause."""
    for _ in range(_GRACE_ITERATIONS):
        await asyncio.sleep(0)
