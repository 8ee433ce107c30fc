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

"""Waits for responses of upstreams, which end when the upstream restarts.

An incarnation of an upstream that has ended sends no more responses. If it
was disconnected from the network when it ended, no reset arrives, and a send
would wait for its timeout: four pauses of a stream, or the whole deadline of a
request that may be executed only once. Therefore all waits are registered
here and end shortly after a later incarnation of the upstream is reported.
"""

import asyncio
import collections.abc
import contextlib
import functools
import typing

from galenahatch import clock
from galenahatch.core import incarnations
from galenahatch import ids
from galenahatch import logs
from galenahatch import timeouts

_GRACE_S: typing.Final = 0.1
"""Time in which bytes sent by an ended incarnation are still accepted: a few
ms of network delay and a full buffer."""
_ENDED_MEMORY_S: typing.Final = 60.0
"""Time for which an incarnation is remembered as ended; no send takes
longer."""
_NEVER: typing.Final = contextlib.nullcontext()
_log = logs.Log('gateway')


class Abandonment:
    """Lets the wait of one send end before its timeout."""

    def __init__(self) -> None:
        self._scope: asyncio.Timeout | None = None
        self._is_requested = False

    def request(self) -> None:
        """End the wait now, as if its time were up."""
        self._is_requested = True
        if self._scope is not None:
            timeouts.end(self._scope)

    @contextlib.contextmanager
    def ends(self, scope: asyncio.Timeout) -> collections.abc.Iterator[None]:
        """Apply to a scope while the context lasts."""
        self._scope = scope
        try:
            if self._is_requested:
                timeouts.end(scope)
            yield
        finally:
            self._scope = None


class Waits:
    """Waits of one process for responses of all upstreams."""

    def __init__(self) -> None:
        self._active: dict[ids.UpstreamId, set[asyncio.Timeout]] = {}
        self._ended_at: dict[ids.UpstreamId, float] = {}

    @contextlib.asynccontextmanager
    async def limit(
        self,
        upstream: ids.UpstreamId,
        seconds: float | None,
        abandonment: Abandonment | None = None,
    ) -> collections.abc.AsyncIterator[None]:
        """Limit the time spent in the context.

        Args:
            upstream: Upstream whose response is awaited.
            seconds: Timeout; None to wait until the upstream has ended.
            abandonment: Ends the wait on request; None if nothing does.

        Raises:
            asyncio.TimeoutError: The time is up, the upstream has ended, or
                the wait was abandoned.
        """
        if upstream in self._ended_at:
            seconds = min(seconds or _GRACE_S, _GRACE_S)
        async with asyncio.timeout(None) as scope:
            timer = timeouts.Timer(
                functools.partial(timeouts.end, scope), seconds
            )
            scopes = self._active.setdefault(upstream, set())
            scopes.add(scope)
            try:
                with abandonment.ends(scope) if abandonment else _NEVER:
                    yield
            finally:
                timer.cancel()
                scopes.discard(scope)
                if not scopes and self._active.get(upstream) is scopes:
                    del self._active[upstream]

    def cancel_older(self, upstream: ids.UpstreamId) -> None:
        """Cancel calls that wait for the previous process of an upstream."""
        count = self.end_older_waits(upstream)
        if count:
            _log.info(
                'Canceled calls to a restarted upstream.',
                upstream=upstream,
                waits=count,
            )

    def end_older_waits(self, upstream: ids.UpstreamId) -> int:
        """End the waits for earlier incarnations of an upstream.

        Returns:
            Number of waits that end.
        """
        ended = [
            key
            for key in self._active
            if incarnations.started_ms(key) != incarnations.UNKNOWN_START
            and incarnations.is_later_start(upstream, key)
        ]
        now = clock.now()
        self._ended_at = {
            key: at
            for key, at in self._ended_at.items()
            if now - at < _ENDED_MEMORY_S
        } | dict.fromkeys(ended, now)
        scopes = [scope for key in ended for scope in self._active[key]]
        for scope in scopes:
            _end_soon(scope)
        return len(scopes)


def _end_soon(scope: asyncio.Timeout) -> None:
    deadline = asyncio.get_running_loop().time() + _GRACE_S
    current = scope.when()
    if not scope.expired() and (current is None or current > deadline):
        scope.reschedule(deadline)
