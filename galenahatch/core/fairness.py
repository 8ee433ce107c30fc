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

Classes and flows exist while they have requests, or a virtual time that the
others have not reached yet.
"""

import collections
import collections.abc
import heapq
import itertools
import typing


class Item(typing.Protocol):
    """Protocol of a queued request."""

    @property
    def key(self) -> collections.abc.Hashable:
        """Unique ID of the request."""

    @property
    def flow(self) -> str:
        """Flow within the class."""

    @property
    def urgency(self) -> int:
        """Urgency class; lower numbers are more urgent."""

    @property
    def share(self) -> float:
        """Weight of the flow within its class; above 0."""

    @property
    def cost(self) -> float:
        """Cost, in one unit for all requests."""


_I = typing.TypeVar('_I', bound=Item)


class _Flow(typing.Generic[_I]):
    """Queued requests of one flow in one class."""

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
        self.flows: dict[str, _Flow[_I]] = {}
        # Virtual time, order and name of each flow. Ties are broken by the
        # order in which flows entered, so that no name is favoured.
        self.flow_heap: list[tuple[float, int, str]] = []
        # Empty flows that are no longer in the heap.
        self.idle_flows: list[str] = []
        self.cost = 0.0
        self.count = 0
        self.total_share = 0.0

    def drop_idle_flows(self) -> None:
        """Drop the empty flows whose virtual time has passed."""
        remaining = []
        for name in self.idle_flows:
            flow = self.flows.get(name)
            if flow is None or flow.in_heap:
                continue
            if flow.virtual_time <= self.flow_virtual_time:
                del self.flows[name]
            else:
                remaining.append(name)
        self.idle_flows = remaining


class FairQueue(typing.Generic[_I]):
    """Fair queue of requests.

    Args:
        class_weight: Returns the weight of an urgency class; above 0.
    """

    def __init__(
        self, class_weight: collections.abc.Callable[[int], float]
    ) -> None:
        self._class_weight = class_weight
        self._order = itertools.count()
        self._classes: dict[int, _Class[_I]] = {}
        # Highest virtual time at which a class was served; a class that
        # becomes non-empty starts no earlier.
        self._virtual_time = 0.0
        self._by_key: dict[collections.abc.Hashable, _I] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def push(self, item: _I) -> None:
        """Append a request to its flow."""
        urgency_class = self._classes.get(item.urgency)
        if urgency_class is None:
            urgency_class = _Class(self._class_weight(item.urgency))
            self._classes[item.urgency] = urgency_class
        if not urgency_class.count:
            urgency_class.virtual_time = max(
                urgency_class.virtual_time, self._virtual_time
            )
        flow = urgency_class.flows.get(item.flow)
        if flow is None:
            flow = urgency_class.flows[item.flow] = _Flow()
        if not flow.items:
            flow.virtual_time = max(
                flow.virtual_time, urgency_class.flow_virtual_time
            )
            flow.share = item.share
            urgency_class.total_share += item.share
        if not flow.in_heap:
            flow.in_heap = True
            heapq.heappush(
                urgency_class.flow_heap,
                (flow.virtual_time, next(self._order), item.flow),
            )
        flow.items.append(item)
        flow.cost += item.cost
        urgency_class.cost += item.cost
        urgency_class.count += 1
        self._by_key[item.key] = item

    def heads(self) -> list[_I]:
        """Return the next request of each class, lowest virtual time first."""
        waiting = [
            (urgency_class.virtual_time, urgency)
            for urgency, urgency_class in self._classes.items()
            if urgency_class.count
        ]
        return [
            self._next_flow(self._classes[urgency]).items[0]
            for _, urgency in sorted(waiting)
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
            urgency_class.flow_heap,
            (flow.virtual_time, next(self._order), item.flow),
        )
        self._remove_item(item)
        urgency_class.drop_idle_flows()
        self._drop_idle_classes()

    def remove(self, key: collections.abc.Hashable) -> _I | None:
        """Remove a request; return it, or None if it is not queued."""
        item = self._by_key.get(key)
        if item is not None:
            self._remove_item(item)
        return item

    def count_waiting(self, flow: str) -> int:
        """Return the number of queued requests of a flow in all classes."""
        return sum(
            len(urgency_class.flows[flow].items)
            for urgency_class in self._classes.values()
            if flow in urgency_class.flows
        )

    def work_ahead(self, item: _I) -> float:
        """Estimate the cost of the requests that are served before another.

        The request is not yet queued. Less urgent classes are ignored.

        Returns:
            All work of the more urgent classes, plus the smaller of two
            bounds for the request's own class: all work of the class, and
            what the class serves, at the flows' shares, while it serves the
            flow's queued work and the request, less the request itself.
        """
        return self._class_work(item) + self._more_urgent_work(item.urgency)

    def items(self) -> typing.Iterator[_I]:
        """Iterate over all requests in arbitrary order."""
        # A copy, so that the caller can remove requests meanwhile.
        return iter(list(self._by_key.values()))

    def _class_work(self, item: _I) -> float:
        urgency_class = self._classes.get(item.urgency)
        if urgency_class is None:
            return 0.0
        flow = urgency_class.flows.get(item.flow)
        own_work = flow.cost if flow else 0.0
        other_shares = urgency_class.total_share - (
            flow.share if flow and flow.items else 0.0
        )
        # Work that the class serves per unit of the flow's work.
        class_work_ratio = (other_shares + item.share) / item.share
        return min(
            urgency_class.cost,
            own_work * class_work_ratio + item.cost * (class_work_ratio - 1),
        )

    def _more_urgent_work(self, urgency: int) -> float:
        return sum(
            urgency_class.cost
            for other_urgency, urgency_class in self._classes.items()
            if other_urgency < urgency
        )

    def _next_flow(self, urgency_class: _Class[_I]) -> _Flow[_I]:
        """Return the flow of a non-empty class that is served next."""
        while True:
            _, _, name = urgency_class.flow_heap[0]
            flow = urgency_class.flows[name]
            if flow.items:
                return flow
            # An empty flow may still be in the heap.
            heapq.heappop(urgency_class.flow_heap)
            flow.in_heap = False
            urgency_class.idle_flows.append(name)

    def _drop_idle_classes(self) -> None:
        """Drop the empty classes whose virtual time has passed."""
        idle = [
            urgency
            for urgency, urgency_class in self._classes.items()
            if not urgency_class.count
            and urgency_class.virtual_time <= self._virtual_time
        ]
        for urgency in idle:
            del self._classes[urgency]

    def _remove_item(self, item: _I) -> None:
        urgency_class = self._classes[item.urgency]
        flow = urgency_class.flows[item.flow]
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
        del self._by_key[item.key]
