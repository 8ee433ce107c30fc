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

"""What a stopping gateway still begins, and the time that it gives callers.

Whether a request may outlast the process is estimated when it arrives and
again right before it is sent: it may have waited for its body, for the owner
or for a permit in between.
"""

import asyncio
import collections.abc
import contextlib
import math
import typing

from galenahatch import clock
from galenahatch.core import durations
from galenahatch.core import fate
from galenahatch.core import routes
from galenahatch import errors
from galenahatch import timeouts

BALANCER_DRAIN_S: typing.Final = 2.6
"""Minimum seconds for which a stopping gateway accepts new connections, unless
it must exit sooner, and the seconds after which it rejects all new streams.
The load balancer checks readiness once a second and stops using a gateway
after two negative answers; the rest is a margin."""
NO_NEW_CALLERS_S: typing.Final = 1.0
"""Seconds before the exit from which new connections are refused. Requests
already received are answered, or rejected if they would take too long."""
_LAST_ANSWERS_S: typing.Final = 0.2
"""Seconds before the exit at which requests without an answer get an error."""
IDLE_CHECK_INTERVAL_S: typing.Final = 0.05
"""Seconds between two checks whether the gateway may exit."""
_TICK_S: typing.Final = 0.25
_MIN_PAUSE_S: typing.Final = 0.1
"""Seconds by which a tick may be late, and for which a pause is remembered: a
signal that arrived in it is handled shortly after it."""
_MIN_GRACE_SHARE: typing.Final = 0.125
"""Share of the grace that is used after any pause."""
_RETRY_AFTER_S: typing.Final = 0.05
"""Retry delay of a caller that is sent to another gateway."""
_MAX_COUNTED_CHECK_S: typing.Final = 2 * IDLE_CHECK_INTERVAL_S
"""Upper limit on the seconds counted for one check interval. Time beyond it is
taken as time in which the process was suspended."""

_UNKNOWN_OBJECTIVES: typing.Final = 2.0
"""Multiple of its objective that a call of an unknown route is assumed to
take."""


class _Caution(typing.NamedTuple):
    """How sure it has to be that a request ends before the process does.

    Attributes:
        share: Share of the route's requests whose durations count.
        margin: Factor applied to their longest duration.
    """

    share: float
    margin: float


_REPEATABLE: typing.Final = _Caution(0.9, 1.1)
_ONCE: typing.Final = _Caution(1.0, 1.25)


_DISCONNECTED: typing.Final = 'Caller disconnected.'
_T = typing.TypeVar('_T')


class _Unanswered(typing.NamedTuple):
    """A request whose answer has not begun, or may not have."""

    scope: asyncio.Timeout
    is_answered: collections.abc.Callable[[], bool]


class Ended(Exception):
    """The process exits before a request has an answer."""


class Drain:
    """Decides what a gateway begins while it stops.

    Attributes:
        is_active: Whether the gateway is stopping.
    """

    def __init__(self) -> None:
        self.is_active = False
        self._rejects_streams_at = 0.0
        self._exits_at = 0.0
        self._is_ending = False
        self._unanswered: set[_Unanswered] = set()
        self._by_route = durations.Durations()
        self._by_service = durations.Durations()

    def begin(self, rejects_streams_at: float, exits_at: float) -> None:
        """Begin to turn requests away.

        Args:
            rejects_streams_at: Time from which new streams are rejected.
            exits_at: Time at which the process exits.
        """
        self.is_active = True
        self._rejects_streams_at = rejects_streams_at
        self._exits_at = exits_at

    @contextlib.contextmanager
    def observe(
        self, route: str, service: str
    ) -> collections.abc.Iterator['Observation']:
        """Observe how long a request lasts."""
        observation = Observation()
        now = clock.now()
        by_route = self._by_route.begin(route, now)
        by_service = self._by_service.begin(service, now)
        try:
            yield observation
        finally:
            now = clock.now()
            self._by_route.end(by_route, now, observation.is_whole)
            self._by_service.end(by_service, now, observation.is_whole)

    def may_cut_call(self, route: routes.Route, deadline: float) -> bool:
        """Return whether the exit may cut a plain call that begins now.

        Callers that have had the time to look away know another gateway, so
        calls of unknown routes are refused then.

        Args:
            route: Its route.
            deadline: Time by which it is answered in any case.
        """
        if not self.is_active or deadline <= self._exits_at:
            return False
        has_looked_away = clock.now() >= self._rejects_streams_at
        if has_looked_away and not self._by_route.is_known(route.name):
            return True
        prior = _UNKNOWN_OBJECTIVES * route.latency_objective
        return self._outlasts(self._by_route, route.name, prior, route)

    def may_cut_stream(self, route: routes.Route, service: str) -> bool:
        """Return whether the exit may cut a stream that begins now.

        All are rejected once callers have had the time to look away, as a
        process that started recently doesn't know how long streams last.
        """
        if not self.is_active:
            return False
        if clock.now() > self._rejects_streams_at:
            return True
        if self._by_route.is_known(route.name):
            return self._outlasts(self._by_route, route.name, 0.0, route)
        return self._outlasts(self._by_service, service, 0.0, route)

    def _outlasts(
        self,
        known: durations.Durations,
        name: str,
        prior: float,
        route: routes.Route,
    ) -> bool:
        caution = _REPEATABLE if route.is_repeatable else _ONCE
        now = clock.now()
        seconds = known.high(name, caution.share, prior, now)
        return now + caution.margin * seconds > self._exits_at

    def failure(self) -> errors.Failure:
        """Return the failure of a request that wasn't begun."""
        return errors.Failure(errors.LEAVING, '', _RETRY_AFTER_S)

    async def run(
        self,
        work: collections.abc.Awaitable[_T],
        sends: fate.Sends,
        is_answered: collections.abc.Callable[[], bool] = lambda: False,
    ) -> _T | errors.Failure:
        """Handle a request until the exit at most.

        Args:
            work: Handles the request.
            sends: Sends of the request.
            is_answered: Returns whether its answer has begun.
        """
        try:
            async with self.until_exit(is_answered):
                return await work
        except Ended:
            if sends.cannot_have_run:
                return self.failure()
            detail = 'the gateway stopped'
            return errors.Failure(errors.SEND_INTERRUPTED, detail)

    @property
    def why_cancelled(self) -> str:
        """Log message for a request that is cancelled."""
        return 'Ended by the exit.' if self._is_ending else _DISCONNECTED

    @contextlib.asynccontextmanager
    async def until_exit(
        self, is_answered: collections.abc.Callable[[], bool] = lambda: False
    ) -> collections.abc.AsyncIterator[None]:
        """Limit a block by the exit of the process.

        Args:
            is_answered: Returns whether an answer has begun, to which no
                error can be added.

        Raises:
            Ended: The process exits now.
        """
        scope = asyncio.timeout(None)
        unanswered = _Unanswered(scope, is_answered)
        try:
            async with scope:
                self._unanswered.add(unanswered)
                try:
                    yield
                finally:
                    self._unanswered.discard(unanswered)
        except asyncio.TimeoutError:
            if scope.expired():
                raise Ended from None
            raise

    async def end_unanswered(self) -> None:
        """End the requests that can still get an error, before the exit."""
        # Answers may have arrived while this process didn't run.
        await timeouts.process_pending_events()
        self._is_ending = True
        for unanswered in tuple(self._unanswered):
            if not unanswered.is_answered():
                timeouts.end(unanswered.scope)

    async def wait_for_requests(
        self,
        close_idle: collections.abc.Callable[
            [bool], collections.abc.Awaitable[bool]
        ],
        in_flight: collections.abc.Callable[[], int],
    ) -> None:
        """Wait until all requests are answered, at most until the exit.

        Args:
            close_idle: Closes idle connections and returns whether none is
                left; is told whether to refuse new ones.
            in_flight: Returns the number of requests in progress.
        """
        while clock.now() < self._exits_at:
            refuse_new = clock.now() > self._exits_at - NO_NEW_CALLERS_S
            if await close_idle(refuse_new) and not in_flight():
                return
            if clock.now() > self._exits_at - _LAST_ANSWERS_S:
                await self.end_unanswered()
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
        await self.end_unanswered()


class RunClock:
    """Tells what a pause of this process has taken from the grace.

    The grace counts from the signal, also if this process was not running
    then.
    """

    def __init__(self) -> None:
        self._ran_at = clock.now()
        self._paused_at = self._resumed_at = -math.inf

    async def run(self) -> None:
        """Notice when this process doesn't run."""
        while True:
            self.tick(clock.now())
            await asyncio.sleep(_TICK_S)

    def tick(self, now: float) -> None:
        """Record that this process runs."""
        if now - self._ran_at > _TICK_S + _MIN_PAUSE_S:
            self._paused_at, self._resumed_at = self._ran_at, now
        self._ran_at = now

    def grace_left(self, grace: float, now: float) -> float:
        """Return what is surely left of the grace for a signal handled now.

        It is a part of the grace at least: a process that still runs was not
        killed, so after a longer pause the signal came late in it.
        """
        sent_at = now
        if now - self._ran_at > _TICK_S + _MIN_PAUSE_S:
            sent_at = self._ran_at
        elif now - self._resumed_at < _MIN_PAUSE_S:
            sent_at = self._paused_at
        return max(sent_at + grace - now, _MIN_GRACE_SHARE * grace)


class Observation:
    """A request whose duration is observed.

    Attributes:
        is_whole: Whether it took as long as such a request takes.
    """

    def __init__(self) -> None:
        self.is_whole = False


async def wait_for_balancer(exit_at: float) -> None:
    """Accept callers until the load balancer has stopped sending them.

    Time in which the process was suspended is not counted, since the
    balancer's readiness checks were not answered then. New streams are
    nevertheless rejected from a fixed time on (`HttpFrontend.drain`),
    since the rejection sends their callers to another gateway.
    """
    remaining = BALANCER_DRAIN_S
    while remaining > 0 and clock.now() < exit_at - NO_NEW_CALLERS_S:
        checked_at = clock.now()
        await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
        remaining -= min(clock.now() - checked_at, _MAX_COUNTED_CHECK_S)
