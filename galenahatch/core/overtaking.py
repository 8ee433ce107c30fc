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

"""Delay of a waiting request by those that will overtake it.

A request waits not only for those ahead of it now: requests of customers that
are further within their shares, and of more urgent classes, still arrive and
go first. They take no more than what their flows and classes may be served
before it, and no more than they have used lately.
"""

import collections.abc
import typing

from galenahatch.core import generations
from galenahatch.core import sharetimes

_MAX_FRACTION: typing.Final = 0.95
"""Largest fraction of the service assumed to be taken by those that overtake,
which avoids a division by zero."""

Job = generations.Job


class Overtaking:
    """Requests that may overtake others.

    Args:
        times: Virtual times.
        state: Virtual times while the present requests wait.
        cost: Returns the predicted cost of a request.
    """

    def __init__(
        self,
        times: sharetimes.Times,
        state: sharetimes.Snapshot,
        cost: collections.abc.Callable[[Job], float],
    ) -> None:
        self._times = times
        self._state = state
        self._cost = cost

    def delay(
        self,
        job: Job,
        wait: float,
        ahead: collections.abc.Collection[Job],
        capacity: float,
        now: float,
    ) -> float:
        """Return a wait including the service of those that overtake.

        Args:
            job: Request that waits.
            wait: Predicted seconds until those ahead of it are served.
            ahead: Requests ahead of it now.
            capacity: Cost that is served a second.
            now: Monotonic time in seconds.
        """
        flow_work, flow_use = self._other_flows(job, ahead, now)
        class_work, class_use = self._more_urgent_classes(job, ahead, now)
        own = sharetimes.flow_key(job)
        counted = sum(
            self._cost(other)
            for other in ahead
            if sharetimes.flow_key(other) != own
        )
        work = max(0.0, flow_work + class_work - counted)
        fraction = min(_MAX_FRACTION, (flow_use + class_use) / capacity)
        return min(wait + work / capacity, wait / (1 - fraction))

    def _other_flows(
        self, job: Job, ahead: collections.abc.Iterable[Job], now: float
    ) -> tuple[float, float]:
        """Return what other flows may be served first, and their use."""
        floor = self._state.floors[job.priority]
        own_ahead = sharetimes.same_flow(job, ahead)
        start = floor + self._state.lag(job, own_ahead)
        urgency_class = self._times.classes.get(job.priority)
        work = use = 0.0
        for name, flow in urgency_class.flows.items() if urgency_class else ():
            behind = start - max(floor, flow.virtual_time)
            if name != job.customer and behind > 0:
                work += self._times.weight(name) * behind
                use += flow.use.rate(now)
        return work, use

    def _more_urgent_classes(
        self, job: Job, ahead: collections.abc.Iterable[Job], now: float
    ) -> tuple[float, float]:
        """Return what more urgent classes may be served first; their use."""
        classes = self._times.classes
        weights = sharetimes.class_weights(
            {*classes, *self._state.class_weights}
        )
        own_cost = self._cost(job) + sum(
            self._cost(other)
            for other in ahead
            if other.priority == job.priority
        )
        finish = self._times.class_time(job.priority)
        finish += own_cost / weights[job.priority]
        work = use = 0.0
        for priority, urgency_class in classes.items():
            if priority < job.priority:
                behind = finish - self._times.class_time(priority)
                work += weights[priority] * max(0.0, behind)
                use += urgency_class.use.rate(now)
        return work, use
