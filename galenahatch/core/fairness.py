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

"""Weighted fair queue with two levels.

The first level divides capacity between the urgency classes, the second
between the callers of one class. Both use stride scheduling: each flow has
a virtual time that advances by cost over weight when it is served, and the
flow that is furthest behind is served next. A class with little traffic is
so always served at once, and none starves.
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


class Item(typing.Protocol):
    """What can wait in the queue."""

    @property
    def stream(self) -> ids.StreamId:
        """Unique id."""

    @property
    def caller(self) -> ids.CallerName:
        """Flow within the class."""

    @property
    def urgency(self) -> states.Urgency:
        """Class."""

    @property
    def share(self) -> float:
        """Weight of the caller."""

    @property
    def cost(self) -> float:
        """Work in seconds of an engine."""


_I = typing.TypeVar('_I', bound=Item)


class _Flow(typing.Generic[_I]):
    """Requests of one caller in one class."""

    def __init__(self) -> None:
        self.items: collections.deque[_I] = collections.deque()
        self.virtual = 0.0
        self.cost = 0.0
        self.share = 1.0
        self.queued = False


class _Class(typing.Generic[_I]):
    """Flows of one urgency."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.virtual = 0.0
        self.flow_virtual = 0.0
        self.flows: dict[ids.CallerName, _Flow[_I]] = {}
        self.heap: list[tuple[float, ids.CallerName]] = []
        self.cost = 0.0
        self.count = 0
        self.shares = 0.0


class FairQueue(typing.Generic[_I]):
    """Requests that wait for a place."""

    def __init__(self) -> None:
        self._classes: dict[states.Urgency, _Class[_I]] = {
            urgency: _Class(weight)
            for urgency, weight in CLASS_WEIGHTS.items()
        }
        self._virtual = 0.0
        self._by_stream: dict[ids.StreamId, _I] = {}

    def __len__(self) -> int:
        return len(self._by_stream)

    def push(self, item: _I) -> None:
        """Add a request behind those of its caller and class."""
        level = self._classes[item.urgency]
        if not level.count:
            level.virtual = max(level.virtual, self._virtual)
        flow = level.flows.get(item.caller)
        if flow is None:
            flow = level.flows[item.caller] = _Flow()
        if not flow.items:
            flow.virtual = max(flow.virtual, level.flow_virtual)
            flow.share = item.share
            level.shares += item.share
        if not flow.queued:
            flow.queued = True
            heapq.heappush(level.heap, (flow.virtual, item.caller))
        flow.items.append(item)
        flow.cost += item.cost
        level.cost += item.cost
        level.count += 1
        self._by_stream[item.stream] = item

    def heads(self) -> list[_I]:
        """Return the first request of each class, next to serve first."""
        waiting = [c for c in self._classes.values() if c.count]
        waiting.sort(key=lambda level: level.virtual)
        return [self._next_flow(level).items[0] for level in waiting]

    def serve(self, item: _I) -> None:
        """Remove one of the heads and charge its flow."""
        level = self._classes[item.urgency]
        flow = self._next_flow(level)
        self._virtual = max(self._virtual, level.virtual)
        level.virtual += item.cost / level.weight
        level.flow_virtual = flow.virtual
        flow.virtual += item.cost / item.share
        heapq.heapreplace(level.heap, (flow.virtual, item.caller))
        self._take_out(item)

    def remove(self, stream: ids.StreamId) -> _I | None:
        """Remove a request wherever it waits; None when it does not."""
        item = self._by_stream.get(stream)
        if item is not None:
            self._take_out(item)
        return item

    def count_waiting(self, caller: ids.CallerName) -> int:
        """Return how many requests of a caller wait."""
        return sum(
            len(level.flows[caller].items)
            for level in self._classes.values()
            if caller in level.flows
        )

    def work_ahead(self, item: _I) -> float:
        """Return the work that is served before a new request.

        It is the smaller of two bounds: everything of this class and the
        more urgent ones, and the caller's own work stretched by the share
        that the others take.
        """
        level = self._classes[item.urgency]
        flow = level.flows.get(item.caller)
        own = flow.cost if flow else 0.0
        others = level.shares - (flow.share if flow and flow.items else 0.0)
        stretch = (others + item.share) / item.share
        within = min(level.cost, own * stretch + item.cost * (stretch - 1))
        return within + self._above(item.urgency)

    def items(self) -> typing.Iterator[_I]:
        """Iterate over all requests, in no special order."""
        return iter(list(self._by_stream.values()))

    def _above(self, urgency: states.Urgency) -> float:
        return sum(
            level.cost
            for other, level in self._classes.items()
            if other < urgency
        )

    def _next_flow(self, level: _Class[_I]) -> _Flow[_I]:
        while True:
            _, caller = level.heap[0]
            flow = level.flows[caller]
            if flow.items:
                return flow
            heapq.heappop(level.heap)
            flow.queued = False

    def _take_out(self, item: _I) -> None:
        level = self._classes[item.urgency]
        flow = level.flows[item.caller]
        flow.items.remove(item)
        flow.cost -= item.cost
        level.cost -= item.cost
        level.count -= 1
        if not flow.items:
            level.shares -= flow.share
            flow.cost = 0.0
        if not level.count:
            level.cost = 0.0
            level.shares = 0.0
        del self._by_stream[item.stream]
