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

"""Virtual times of customers and priorities, and the order that they give.

See `core/fairshares`, which charges them.
"""

import collections.abc
import dataclasses
import math
import typing

from galenahatch.core import generations
from galenahatch import ids

CLASS_WEIGHTS: typing.Final = (64.0, 8.0, 1.0)
"""Weights of the most urgent class that waits, of the next, and of each
further one. So a class gets at least a ninth of the service beside one more
urgent class, and at least a part in 73 beside two: callers who can wait wait
longest, but not for good."""
DEFAULT_WEIGHT: typing.Final = 1.0
REORDERING_S: typing.Final = 0.1
"""Seconds of service within which requests keep their order by deadline
whoever sent them: callers don't notice a wait as short as that."""
_MAX_CREDIT_S: typing.Final = 2.0
"""Seconds of its share of the service that a flow may be owed at most. It can
be owed more than a request while its requests are refused; as much as a burst
lasts must not hold back the others afterwards."""
_USE_WINDOW_S: typing.Final = 5.0
"""Time constant of the mean use, longer than a burst."""

Job = generations.Job
FlowKey = tuple[int, ids.CustomerName]
Weights = collections.abc.Mapping[ids.CustomerName, float]


@dataclasses.dataclass
class Use:
    """Mean cost charged a second, which decays exponentially."""

    _rate: float = 0.0
    last_at: float = -math.inf

    def rate(self, now: float) -> float:
        """Return the present cost a second."""
        return self._rate * math.exp(
            min(0.0, (self.last_at - now) / _USE_WINDOW_S)
        )

    def add(self, cost: float, now: float) -> None:
        """Add a charge."""
        self._rate = self.rate(now) + cost / _USE_WINDOW_S
        self.last_at = max(self.last_at, now)


@dataclasses.dataclass
class Flow:
    """Service of one customer's requests of one priority.

    Attributes:
        virtual_time: Charged cost over weight; raised after a pause.
    """

    virtual_time: float = 0.0
    use: Use = dataclasses.field(default_factory=Use)


@dataclasses.dataclass
class UrgencyClass:
    """Service of one priority.

    Attributes:
        virtual_time: Charged cost over the weight of the class; raised after a
            pause.
        flow_virtual_time: Least virtual time of a flow that waited at the last
            charge; a flow that starts to wait starts no earlier.
        flows: Flows whose charges may matter still.
    """

    virtual_time: float = 0.0
    flow_virtual_time: float = 0.0
    flows: dict[ids.CustomerName, Flow] = dataclasses.field(
        default_factory=dict
    )
    use: Use = dataclasses.field(default_factory=Use)

    def rebase(self) -> None:
        """Count the virtual times of the flows from zero."""
        for flow in self.flows.values():
            flow.virtual_time -= self.flow_virtual_time
        self.flow_virtual_time = 0.0


@dataclasses.dataclass
class Times:
    """Virtual times of all classes and flows of one service.

    Attributes:
        weights: Weights of the customers.
        virtual_time: Least virtual time of a class that waited at the last
            charge; a class that starts to wait starts no earlier.
    """

    weights: Weights = dataclasses.field(default_factory=dict)
    classes: dict[int, UrgencyClass] = dataclasses.field(default_factory=dict)
    virtual_time: float = 0.0

    def weight(self, customer: ids.CustomerName) -> float:
        """Return the weight of a customer, also of one that is unknown."""
        return self.weights.get(customer, DEFAULT_WEIGHT)

    def flow_time(self, key: FlowKey) -> float:
        """Return the virtual time at which a flow starts to wait."""
        urgency_class = self.classes.get(key[0])
        if urgency_class is None:
            return 0.0
        flow = urgency_class.flows.get(key[1])
        floor = urgency_class.flow_virtual_time
        return floor if flow is None else max(floor, flow.virtual_time)

    def class_time(self, priority: int) -> float:
        """Return the virtual time at which a class starts to wait."""
        urgency_class = self.classes.get(priority)
        if urgency_class is None:
            return self.virtual_time
        return max(self.virtual_time, urgency_class.virtual_time)

    def rebase(self) -> None:
        """Count the virtual times of the classes from zero."""
        for urgency_class in self.classes.values():
            urgency_class.virtual_time -= self.virtual_time
        self.virtual_time = 0.0


def flow_key(job: Job) -> FlowKey:
    """Return the flow of a request."""
    return job.priority, job.customer


def flow_keys(jobs: collections.abc.Iterable[Job]) -> set[FlowKey]:
    """Return the flows of requests."""
    return set(map(flow_key, jobs))


def same_flow(job: Job, others: collections.abc.Iterable[Job]) -> list[Job]:
    """Return those of other requests that are of a request's flow."""
    key = flow_key(job)
    return [other for other in others if flow_key(other) == key]


def class_weights(
    priorities: collections.abc.Iterable[int],
) -> dict[int, float]:
    """Return the weights of classes that compete."""
    return {
        priority: CLASS_WEIGHTS[min(rank, len(CLASS_WEIGHTS) - 1)]
        for rank, priority in enumerate(sorted(priorities))
    }


class Snapshot:
    """Virtual times while certain flows have demand.

    Args:
        times: Virtual times; not changed.
        flows: Flows with demand.
        cost: Returns the predicted cost of a request.
        capacity: Cost that is served a second.

    Attributes:
        class_weights: Weights of the classes with demand.
        floors: Least virtual time of a flow with demand, by priority.
        allowances: Lag up to which a request is within its customer's share,
            by priority.
        virtual_time: Least virtual time of a class with demand.
    """

    def __init__(
        self,
        times: Times,
        flows: collections.abc.Iterable[FlowKey],
        cost: collections.abc.Callable[[Job], float],
        capacity: float,
    ) -> None:
        self._times = times
        self._cost = cost
        self._capacity = capacity
        # Tags of the next request of each flow and class.
        self._starts = {key: times.flow_time(key) for key in flows}
        self.floors: dict[int, float] = {}
        shares: dict[int, float] = {}
        for (priority, customer), start in self._starts.items():
            floor = self.floors.get(priority, math.inf)
            self.floors[priority] = min(floor, start)
            share = shares.get(priority, 0.0) + times.weight(customer)
            shares[priority] = share
        self._shares = shares
        self.class_weights = class_weights(self.floors)
        self.allowances = {
            priority: REORDERING_S * capacity / share
            for priority, share in shares.items()
        }
        self._class_starts = {
            priority: times.class_time(priority) for priority in self.floors
        }
        self.virtual_time = min(
            self._class_starts.values(), default=times.virtual_time
        )

    def lag(
        self, job: Job, own_ahead: collections.abc.Iterable[Job] = ()
    ) -> float:
        """Return the cost per weight that others may be served before a job.

        Args:
            job: One of the requests.
            own_ahead: Requests of its flow that go before it.
        """
        key = flow_key(job)
        ahead = sum(map(self._cost, own_ahead))
        start = self._starts[key] + ahead / self._times.weight(job.customer)
        return start - self.floors[job.priority]

    def charged_flow_times(
        self, job: Job, largest: float
    ) -> tuple[float, float]:
        """Return virtual times once a request is charged.

        Flows that lag by more than their credit are raised. The charged flow
        is not lowered instead: those that are served would all end at the same
        time, and lose their order among each other.

        Args:
            job: Request that is placed.
            largest: Largest cost of the requests that wait.

        Returns:
            Virtual time of the request's flow, and the least of its class.
        """
        weight = self._times.weight(job.customer)
        credit = _MAX_CREDIT_S * self._capacity / self._shares[job.priority]
        start = self._starts[flow_key(job)]
        floor = max(
            self.floors[job.priority], start - max(largest / weight, credit)
        )
        return start + self._cost(job) / weight, floor

    def charged_class_times(
        self, job: Job, largest: float
    ) -> tuple[float, float]:
        """Return virtual times once a request is charged.

        Args:
            job: Request that is placed.
            largest: Largest cost of the requests that wait.

        Returns:
            Virtual time of the request's class, and the least of a class.
        """
        weights = self.class_weights
        credit = _MAX_CREDIT_S * self._capacity / sum(weights.values())
        # Classes are served by finish tag: all may be ahead of one whose
        # request is large by that request.
        most = max(largest / min(weights.values()), credit)
        start = self._class_starts[job.priority]
        floor = max(self.virtual_time, start - most)
        return start + self._cost(job) / weights[job.priority], floor

    def order(self, jobs: collections.abc.Iterable[Job]) -> list[Job]:
        """Return requests in the order in which they are served.

        Called again, it continues after the requests of the last call.

        Args:
            jobs: Requests in the order that they have without shares.
        """
        by_priority: dict[int, list[Job]] = {}
        for job in jobs:
            by_priority.setdefault(job.priority, []).append(job)
        entries: list[tuple[float, int, int, Job]] = []
        for priority, members in by_priority.items():
            finish = self._class_starts[priority]
            for job in self._order_class(priority, members):
                finish += self._cost(job) / self.class_weights[priority]
                entries.append((finish, priority, len(entries), job))
            self._class_starts[priority] = finish
        entries.sort(key=lambda entry: entry[:3])
        return [entry[-1] for entry in entries]

    def _order_class(self, priority: int, jobs: list[Job]) -> list[Job]:
        """Return the requests of a class in order.

        Those within their customers' shares come first, as they are, then all
        others by start tag.
        """
        limit = self.floors[priority] + self.allowances[priority]
        keys = []
        for index, job in enumerate(jobs):
            flow = flow_key(job)
            start = self._starts[flow]
            weight = self._times.weight(job.customer)
            self._starts[flow] = start + self._cost(job) / weight
            keys.append((start if start > limit else -math.inf, index))
        return [jobs[index] for _, index in sorted(keys)]
