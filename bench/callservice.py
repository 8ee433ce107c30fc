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

"""Clients' requests and the upstreams that execute them, in virtual time.

The traffic and the service of `bench/callfleet`.
"""

import collections
import collections.abc
import dataclasses
import functools
import typing

from galenahatch.core import loadreports
from galenahatch.core import plaincalls
from galenahatch.core import upstreams
from galenahatch import ids

WORK_S: typing.Final = 0.06
OBJECTIVE_S: typing.Final = 0.31
_QUEUE: typing.Final = 24

Result = plaincalls.SendResult
Reply = collections.abc.Callable[[Result, loadreports.LoadReport | None], None]


class Surroundings(typing.Protocol):
    """Virtual time, and what disturbs the upstreams."""

    now: float
    distort: collections.abc.Callable[
        [loadreports.LoadReport], loadreports.LoadReport | None
    ]

    def at(
        self, delay: float, action: collections.abc.Callable[[], object]
    ) -> None:
        """Run an action after some seconds."""
        ...

    def work_factor(self) -> float:
        """Return the work of a call as a multiple of the mean."""
        ...


@dataclasses.dataclass(frozen=True)
class Source:
    """Calls that arrive at random.

    Attributes:
        rate: Calls a second.
        heeds: Whether its clients wait as asked before they return.
    """

    rate: float
    start: float
    end: float
    customers: tuple[str, ...] = ('',)
    priority: int = 0
    gateways: tuple[int, ...] = ()
    heeds: bool = True


@dataclasses.dataclass
class Request:
    """A client's request, with all its attempts."""

    id: str
    source: Source
    customer: str
    first_at: float
    arrived_at: float = 0.0
    attempts: int = 0
    sends: int = 0
    answered_at: float | None = None
    is_done: bool = False
    avoid: set[ids.UpstreamId] = dataclasses.field(default_factory=set)

    @property
    def in_time(self) -> bool:
        """Whether it was answered within its objective, since its attempt."""
        answered = self.answered_at
        return answered is not None and (
            answered - self.arrived_at <= OBJECTIVE_S
        )


class Engine:
    """An upstream that executes calls."""

    def __init__(
        self, fleet: Surroundings, upstream: upstreams.Upstream
    ) -> None:
        self._fleet = fleet
        self.upstream = upstream
        self.slots = upstream.slots
        self.slowdown = 1.0
        self.fails = False
        self.received = 0
        self._running = 0
        self._queue: collections.deque[tuple[float, Reply]] = (
            collections.deque()
        )

    def report(self) -> loadreports.LoadReport | None:
        """Return the load as the fleet's reports state it."""
        return self._fleet.distort(
            loadreports.LoadReport(
                self._running, len(self._queue), self.slots, self.slowdown
            )
        )

    def receive(self, deadline: float, reply: Reply) -> None:
        """Execute a call, queue it or reject it."""
        self.received += 1
        if self.fails:
            reply(Result.FAILED, None)
        elif len(self._queue) >= _QUEUE:
            reply(Result.REJECTED, self.report())
        else:
            self._queue.append((deadline, reply))
            self._start()

    def _start(self) -> None:
        while self._queue and self._running < self.slots:
            deadline, reply = self._queue.popleft()
            if deadline <= self._fleet.now:
                reply(Result.REJECTED, self.report())
                continue
            self._running += 1
            work = WORK_S * self.slowdown * self._fleet.work_factor()
            self._fleet.at(work, functools.partial(self._finish, reply))

    def _finish(self, reply: Reply) -> None:
        self._running -= 1
        self._start()
        reply(Result.FAILED if self.fails else Result.ANSWERED, self.report())
