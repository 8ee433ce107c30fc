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

"""Two-level weighted fair queue.

The first level divides capacity among the urgency classes, the second among
the flows of one class. A flow is the queue of one caller's requests in one
class. Both levels use stride scheduling: serving a request advances the
virtual time of its class by cost over weight, and that of its flow by cost
over the caller's share. The class, and in it the flow, with the lowest
virtual time is served next. No class starves, and a class or flow gains no
credit while it is empty, so that it can't hold back the others afterwards.
"""

import collections
import heapq
import typing

from galenahatch import ids
from galenahatch import states

CLASS_WEIGHTS: typing.Final = {
    states.Urgency.URGENT: 64.0,
    states.Urgency.NORMAL: 8.0,
    states.Urgency.BULK: 1.0,
}
"""Weight of each urgency class."""


class Item(typing.Protocol):
    """Protocol of a queued request."""

    @property
    def stream(self) -> ids.StreamId:
        """Unique ID of the request's attempt."""

    @property
    def caller(self) -> ids.CallerName:
        """Caller, which identifies the flow within the class."""

    @property
    def urgency(self) -> states.Urgency:
        """Urgency class."""

    @property
    def share(self) -> float:
        """Weight of the caller within its class."""

    @property
    def cost(self) -> float:
        """Cost in seconds of engine time."""


_I = typing.TypeVar('_I', bound=Item)


class _Flow(typing.Generic[_I]):
    """Queued requests of one caller in one class."""

    def __init__(self) -> None:
        self.items: collections.deque[_I] = collections.deque()
        # Served cost over share; raised when the flow becomes non-empty.
        self.virtual_time = 0.0
        self.cost = 0.0
        self.share = 1.0
        self.in_heap = False


class _Class(typing.Generic[_I]):
    """Flows of one urgency class."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        # Served cost over weight; raised when the class becomes non-empty.
        self.virtual_time = 0.0
        # Virtual time of the flow served last; a flow that becomes non-empty
        # starts no earlier.
        self.flow_virtual_time = 0.0
        self.flows: dict[ids.CallerName, _Flow[_I]] = {}
        self.flow_heap: list[tuple[float, ids.CallerName]] = []
        self.cost = 0.0
        self.count = 0
        self.total_share = 0.0


class FairQueue(typing.Generic[_I]):
    """Fair queue of requests that wait for a pair of engines."""

    def __init__(self) -> None:
        self._classes: dict[states.Urgency, _Class[_I]] = {
            urgency: _Class(weight)
            for urgency, weight in CLASS_WEIGHTS.items()
        }
        # Highest virtual time at which a class was served; a class that
        # becomes non-empty starts no earlier.
        self._virtual_time = 0.0
        self._by_stream: dict[ids.StreamId, _I] = {}

    def __len__(self) -> int:
        return len(self._by_stream)

    def push(self, item: _I) -> None:
        """Append a request to the flow of its caller and class."""
        urgency_class = self._classes[item.urgency]
        if not urgency_class.count:
            urgency_class.virtual_time = max(
                urgency_class.virtual_time, self._virtual_time
            )
        flow = urgency_class.flows.get(item.caller)
        if flow is None:
            flow = urgency_class.flows[item.caller] = _Flow()
        if not flow.items:
            flow.virtual_time = max(
                flow.virtual_time, urgency_class.flow_virtual_time
            )
            flow.share = item.share
            urgency_class.total_share += item.share
        if not flow.in_heap:
            flow.in_heap = True
            heapq.heappush(
                urgency_class.flow_heap, (flow.virtual_time, item.caller)
            )
        flow.items.append(item)
        flow.cost += item.cost
        urgency_class.cost += item.cost
        urgency_class.count += 1
        self._by_stream[item.stream] = item

    def heads(self) -> list[_I]:
        """Return the next request of each class, lowest virtual time first."""
        waiting = [
            urgency_class
            for urgency_class in self._classes.values()
            if urgency_class.count
        ]
        waiting.sort(key=lambda urgency_class: urgency_class.virtual_time)
        return [
            self._next_flow(urgency_class).items[0]
            for urgency_class in waiting
        ]

    def serve(self, item: _I) -> None:
        """Remove the next request of a class; charge its flow and class."""
        urgency_class = self._classes[item.urgency]
        flow = self._next_flow(urgency_class)
        self._virtual_time = max(
            self._virtual_time, urgency_class.virtual_time
        )
        urgency_class.virtual_time += item.cost / urgency_class.weight
        urgency_class.flow_virtual_time = flow.virtual_time
        flow.virtual_time += item.cost / item.share
        heapq.heapreplace(
            urgency_class.flow_heap, (flow.virtual_time, item.caller)
        )
        self._remove_item(item)

    def remove(self, stream: ids.StreamId) -> _I | None:
        """Remove a request; return it, or None if it is not queued."""
        item = self._by_stream.get(stream)
        if item is not None:
            self._remove_item(item)
        return item

    def count_waiting(self, caller: ids.CallerName) -> int:
        """Return the number of queued requests of a caller."""
        return sum(
            len(urgency_class.flows[caller].items)
            for urgency_class in self._classes.values()
            if caller in urgency_class.flows
        )

    def work_ahead(self, item: _I) -> float:
        """Estimate the queued work in seconds that is served before a request.

        The request is not yet queued. Less urgent classes are ignored.

        Returns:
            All work of the more urgent classes, plus the smaller of two
            bounds for the request's own class: all work of the class, and
            what the class serves, at the callers' shares, while it serves the
            caller's queued work and the request, less the request itself.
        """
        urgency_class = self._classes[item.urgency]
        flow = urgency_class.flows.get(item.caller)
        own_work = flow.cost if flow else 0.0
        other_shares = urgency_class.total_share - (
            flow.share if flow and flow.items else 0.0
        )
        # Work that the class serves per second of work of the caller.
        class_work_ratio = (other_shares + item.share) / item.share
        class_work = min(
            urgency_class.cost,
            own_work * class_work_ratio + item.cost * (class_work_ratio - 1),
        )
        return class_work + self._more_urgent_work(item.urgency)

    def items(self) -> typing.Iterator[_I]:
        """Iterate over all requests in arbitrary order."""
        # A copy, so that the caller can remove requests meanwhile.
        return iter(list(self._by_stream.values()))

    def _more_urgent_work(self, urgency: states.Urgency) -> float:
        return sum(
            urgency_class.cost
            for other_urgency, urgency_class in self._classes.items()
            # Lower values are more urgent.
            if other_urgency < urgency
        )

    def _next_flow(self, urgency_class: _Class[_I]) -> _Flow[_I]:
        """Return the flow of a non-empty class that is served next."""
        while True:
            _, caller = urgency_class.flow_heap[0]
            flow = urgency_class.flows[caller]
            if flow.items:
                return flow
            # An empty flow may still be in the heap.
            heapq.heappop(urgency_class.flow_heap)
            flow.in_heap = False

    def _remove_item(self, item: _I) -> None:
        urgency_class = self._classes[item.urgency]
        flow = urgency_class.flows[item.caller]
        flow.items.remove(item)
        flow.cost -= item.cost
        urgency_class.cost -= item.cost
        urgency_class.count -= 1
        if not flow.items:
            urgency_class.total_share -= flow.share
            # Discard accumulated rounding errors, here and below.
            flow.cost = 0.0
        if not urgency_class.count:
            urgency_class.cost = 0.0
            urgency_class.total_share = 0.0
        del self._by_stream[item.stream]
