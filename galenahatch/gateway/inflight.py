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

"""Sends that are under way, by the upstream that they went to.

A start of an upstream that is known to be over answers nothing more. Where
it was cut off as it ended, no reset tells so, and a send to it would wait for
its timeout: four pauses of a stream, the whole deadline of a request that may
run only once. So each wait for an upstream is limited here, and ends shortly
after a later start of the same upstream was heard of.
"""

import asyncio
import collections.abc
import contextlib
import typing

from galenahatch import clock
from galenahatch.core import incarnations
from galenahatch import ids
from galenahatch import timeouts

_STILL_COMES: typing.Final = 0.1
"""Seconds for which bytes that the start before had sent are still taken: a
way of some ms, and a buffer that is full."""
_REMEMBERED: typing.Final = 60.0
"""Seconds for which a start is remembered as over; no send lasts longer."""


class Waits:
    """The waits of one process for all upstreams."""

    def __init__(self) -> None:
        self._open: dict[ids.UpstreamId, set[asyncio.Timeout]] = {}
        self._over: dict[ids.UpstreamId, float] = {}

    @contextlib.asynccontextmanager
    async def limit(
        self, upstream: ids.UpstreamId, seconds: float | None
    ) -> collections.abc.AsyncIterator[None]:
        """Limit the time that is spent within.

        Args:
            upstream: that is waited for.
            seconds: at the most; None if only the upstream's end counts.

        Raises:
            asyncio.TimeoutError: the time is over, or the upstream.
        """
        if upstream in self._over:
            seconds = min(seconds or _STILL_COMES, _STILL_COMES)
        async with asyncio.timeout(None) as scope:
            alarm = timeouts.Alarm(scope, seconds)
            scopes = self._open.setdefault(upstream, set())
            scopes.add(scope)
            try:
                yield
            finally:
                alarm.cancel()
                scopes.discard(scope)
                if not scopes and self._open.get(upstream) is scopes:
                    del self._open[upstream]

    def end_older_waits(self, upstream: ids.UpstreamId) -> int:
        """Take a start; end the waits for those before it.

        Returns:
            How many waits end.
        """
        over = [
            key
            for key in self._open
            if incarnations.started_ms(key) != incarnations.UNKNOWN_START
            and incarnations.is_later_start(upstream, key)
        ]
        now = clock.now()
        self._over = {
            key: at for key, at in self._over.items() if now - at < _REMEMBERED
        } | dict.fromkeys(over, now)
        scopes = [scope for key in over for scope in self._open[key]]
        for scope in scopes:
            _end_soon(scope)
        return len(scopes)


def _end_soon(scope: asyncio.Timeout) -> None:
    ends_at = asyncio.get_running_loop().time() + _STILL_COMES
    planned = scope.when()
    if not scope.expired() and (planned is None or planned > ends_at):
        scope.reschedule(ends_at)
