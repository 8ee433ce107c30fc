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

"""Seeks an upstream for a second send while the first one is silent.

Silence doesn't tell an upstream that answers in a second from a connection
that never carries another byte. So the first send is kept until the second
one is certain, with its upstream chosen and its retry paid for. Only then is
the first one ended: two upstreams never work at the same request. A search
that fails is repeated while enough time is left, and the wait goes on.
"""

import asyncio
import collections.abc
import contextlib
import typing

from galenahatch import clock
from galenahatch.core import upstreams
from galenahatch.gateway import inflight
from galenahatch import tasks
from galenahatch import timeouts

_SILENCE_SHARE: typing.Final = 0.4
"""Share of a send's time after which a second upstream is sought; the second
send needs the rest."""
_MIN_SHARE: typing.Final = 0.2
"""Share of that time below which a second send is too late."""
_INTERVAL_S: typing.Final = 0.25
"""Seconds between two searches: budgets, limits and queues change slowly."""


class Search:
    """Search for the upstream of a second send.

    Args:
        time_left: Seconds until the request must be answered; None if it may
            not be sent again.
        choose: Chooses an upstream for the second send; None if there is
            none. May be cancelled.
        pay: Returns whether the retry budget allows the second send.
        release: Releases what the last choice holds.
        background: Runner of background tasks.

    Attributes:
        abandonment: Ends the first send once the second one is certain.
        found: Upstream of the second send, if it is certain.
    """

    def __init__(
        self,
        time_left: float | None,
        choose: collections.abc.Callable[
            [], collections.abc.Awaitable[upstreams.Upstream | None]
        ],
        pay: collections.abc.Callable[[], bool],
        release: collections.abc.Callable[[], None],
        background: tasks.Tasks,
    ) -> None:
        self._time_left = time_left
        self._ends_at = clock.now() + (time_left or 0.0) * (1 - _MIN_SHARE)
        self._choose = choose
        self._pay = pay
        self._release = release
        self._background = background
        self._task: asyncio.Task[None] | None = None
        self.abandonment = inflight.Abandonment()
        self.found: upstreams.Upstream | None = None

    @contextlib.contextmanager
    def during_silence(self) -> collections.abc.Iterator[None]:
        """Search while the context lasts, after some silence."""
        if self._time_left is None:
            yield
            return
        timer = timeouts.Timer(self._start, _SILENCE_SHARE * self._time_left)
        try:
            yield
        finally:
            timer.cancel()
            if self._task is not None:
                self._task.cancel()

    def _start(self) -> None:
        self._task = self._background.run_once(self._seek())

    async def _seek(self) -> None:
        while self._is_in_time():
            upstream = await self._choose()
            # The answer may have come while the choice was made.
            await timeouts.process_pending_events()
            if upstream is not None and self._is_in_time() and self._pay():
                self.found = upstream
                self.abandonment.request()
                return
            self._release()
            await asyncio.sleep(_INTERVAL_S)

    def _is_in_time(self) -> bool:
        return clock.now() < self._ends_at
