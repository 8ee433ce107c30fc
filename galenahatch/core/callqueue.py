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

"""Plain calls that wait for a grant, in the order in which they are granted.

A weighted fair queue (`core/fairness`) decides whose call is next, by priority
and customer. Its items are anonymous places; which call of a customer takes
the place is decided here. Calls of callers that returned when they were asked
to form a class of their own with half the weight: they go first, but take no
more than a third of the grants from first attempts. A first attempt that is
rejected can still return; one that has returned can't. If their customer has
more calls waiting, the calls that returned take every third place of its own
instead, so a customer that exceeds its share gains nothing over others by
being rejected.

While they wait, the first attempts of priority p get at least
w(p) / (1.5 x sum of w) of the grants.
"""

import collections.abc
import dataclasses
import itertools
import typing

from galenahatch.core import fairness
from galenahatch.core import plaincalls
from galenahatch import ids

RETURNED_SHARE: typing.Final = 1 / 3
"""Share of a customer's or class's grants that calls which returned take from
first attempts."""
_WEIGHT_RATIO: typing.Final = 8.0
"""Weight of a priority relative to the next one: a less urgent call is rarely
served in place of a more urgent one, but is served."""
_MAX_PRIORITY: typing.Final = 8
"""Priorities above it count as equal, so that weights remain numbers."""


def class_weight(priority: int) -> float:
    """Return the default weight of a priority among the others."""
    return _WEIGHT_RATIO ** -min(max(priority, 0), _MAX_PRIORITY)


@dataclasses.dataclass(eq=False)
class Waiting:
    """A call that waits for a grant.

    Attributes:
        has_returned: Whether its caller returned when it was asked to.
    """

    call: plaincalls.PlainCall
    has_returned: bool


@dataclasses.dataclass(frozen=True, eq=False)
class _Place:
    """A place in the fair queue, for some call of its flow."""

    key: int
    flow: str
    urgency: int
    share: float
    cost: float = 1.0


_FlowKey = tuple[int, str]
_MIN_SHARE: typing.Final = 1e-3


class _Flow:
    """Calls of one customer in one class."""

    def __init__(self) -> None:
        self._returned: list[Waiting] = []
        self._first: list[Waiting] = []
        # Grants to first attempts for each one to a call that returned.
        self._ratio = round(1 / RETURNED_SHARE) - 1
        self._first_served = self._ratio

    def __len__(self) -> int:
        return len(self._returned) + len(self._first)

    def __iter__(self) -> typing.Iterator[Waiting]:
        yield from self._returned
        yield from self._first

    @property
    def next(self) -> Waiting:
        """The call that takes the next place."""
        is_turn = self._first_served >= self._ratio
        if self._returned and (is_turn or not self._first):
            return self._returned[0]
        return self._first[0]

    def last(self, has_returned: bool) -> Waiting | None:
        """Return the last call that returned, or the last first attempt."""
        calls = self._returned if has_returned else self._first
        return calls[-1] if calls else None

    def position(self, has_returned: bool) -> float:
        """Return the calls of the flow before one to be added."""
        returned, first = len(self._returned), len(self._first)
        if has_returned:
            return returned + min(first, (returned + 1) * self._ratio)
        return first + min(returned, (first + 1) / self._ratio)

    def add(self, waiting: Waiting) -> None:
        """Add a call after those of its kind."""
        self._list_of(waiting).append(waiting)

    def remove(self, waiting: Waiting) -> None:
        """Remove a call."""
        self._list_of(waiting).remove(waiting)

    def serve(self) -> Waiting:
        """Remove the call that takes the next place."""
        waiting = self.next
        self.remove(waiting)
        self._first_served += 1
        if waiting.has_returned:
            self._first_served = 0
        return waiting

    def _list_of(self, waiting: Waiting) -> list[Waiting]:
        return self._returned if waiting.has_returned else self._first


class CallQueue:
    """Calls that wait for a grant.

    Args:
        weight: Returns the weight of a priority.
    """

    def __init__(self, weight: collections.abc.Callable[[int], float]) -> None:
        self._priority_weight = weight
        self._weights: dict[int, float] = {}
        self._places = fairness.FairQueue[_Place](self._weight)
        self._flows: dict[_FlowKey, _Flow] = {}
        self._place_of: dict[plaincalls.CallKey, _Place] = {}
        self._class_counts: dict[int, int] = {}
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._place_of)

    def __contains__(self, key: plaincalls.CallKey) -> bool:
        return key in self._place_of

    def push(self, waiting: Waiting) -> None:
        """Append a call to those of its customer and priority."""
        place = self._new_place(waiting)
        self._places.push(place)
        self._place_of[waiting.call.key] = place
        flow = self._flows.setdefault((place.urgency, place.flow), _Flow())
        flow.add(waiting)
        self._count(place.urgency, 1)

    def heads(self) -> list[Waiting]:
        """Return the next call of each class, that to be granted first."""
        return [
            self._flows[place.urgency, place.flow].next
            for place in self._places.heads()
        ]

    def serve(self, head: Waiting) -> None:
        """Remove one of the heads, and charge its customer and class."""
        own = self._place_of[head.call.key]
        flow_key = (own.urgency, own.flow)
        for place in self._places.heads():
            if (place.urgency, place.flow) == flow_key:
                self._places.serve(place)
                self._flows[flow_key].serve()
                self._forget(head, place)
                return

    def remove(self, key: plaincalls.CallKey) -> Waiting | None:
        """Remove a call; return it, or None if it isn't queued."""
        place = self._place_of.get(key)
        if place is None:
            return None
        flow = self._flows[place.urgency, place.flow]
        waiting = next(w for w in flow if w.call.key == key)
        self._places.remove(place.key)
        flow.remove(waiting)
        self._forget(waiting, place)
        return waiting

    def ahead(self, waiting: Waiting) -> float:
        """Estimate the calls that are granted before one to be queued."""
        place = self._new_place(waiting)
        flow = self._flows.get((place.urgency, place.flow), _Flow())
        return self._ahead(place, flow, waiting.has_returned)

    def trim(
        self,
        is_hopeless: collections.abc.Callable[[Waiting, float], bool],
    ) -> list[Waiting]:
        """Remove the last calls of each flow as long as they are hopeless.

        Args:
            is_hopeless: Judges a call by the number of calls before it.
        """
        removed = []
        for flow in list(self._flows.values()):
            for has_returned in (True, False):
                while (last := flow.last(has_returned)) is not None:
                    if not is_hopeless(last, self._ahead_of_last(flow, last)):
                        break
                    self.remove(last.call.key)
                    removed.append(last)
        return removed

    def calls(self) -> typing.Iterator[Waiting]:
        """Iterate over all calls, by class and customer."""
        for flow in self._flows.values():
            yield from flow

    def _weight(self, urgency: int) -> float:
        weight = self._weights.get(urgency)
        if weight is None:
            weight = self._priority_weight(urgency // 2)
            if urgency % 2 == 0:
                weight *= RETURNED_SHARE / (1 - RETURNED_SHARE)
            self._weights[urgency] = weight
        return weight

    def _new_place(self, waiting: Waiting) -> _Place:
        call = waiting.call
        urgency = 2 * call.priority + 1
        flow = str(call.customer)
        if waiting.has_returned and (urgency, flow) not in self._flows:
            urgency -= 1
        share = max(_MIN_SHARE, call.share)
        return _Place(next(self._order), flow, urgency, share)

    def _ahead_of_last(self, flow: _Flow, last: Waiting) -> float:
        """Estimate the calls that are granted before the last of a flow."""
        place = self._place_of[last.call.key]
        self._places.remove(place.key)
        flow.remove(last)
        self._count(place.urgency, -1)
        ahead = self._ahead(place, flow, last.has_returned)
        self._places.push(place)
        flow.add(last)
        self._count(place.urgency, 1)
        return ahead

    def _ahead(self, place: _Place, flow: _Flow, has_returned: bool) -> float:
        """Estimate the calls ahead of one whose place is not in the queue.

        While its class reaches it, every other class gets its weight.
        """
        more_urgent = sum(
            count
            for urgency, count in self._class_counts.items()
            if urgency < place.urgency
        )
        # Calls of its class up to the last place of its flow, scaled to the
        # place that it takes in the flow.
        in_class = self._places.work_ahead(place) - more_urgent + 1
        position = flow.position(has_returned)
        own = in_class * (position + 1) / (len(flow) + 1)
        others = sum(
            min(
                count,
                own * self._weight(urgency) / self._weight(place.urgency),
            )
            for urgency, count in self._class_counts.items()
            if urgency != place.urgency
        )
        return own - 1 + others

    def _forget(self, waiting: Waiting, place: _Place) -> None:
        """Drop a call whose flow gave up a place, maybe that of another."""
        flow_key = (place.urgency, place.flow)
        flow = self._flows[flow_key]
        own = self._place_of.pop(waiting.call.key)
        if own is not place:
            for other in flow:
                if self._place_of[other.call.key] is place:
                    self._place_of[other.call.key] = own
                    break
        if not flow:
            del self._flows[flow_key]
        self._count(place.urgency, -1)

    def _count(self, urgency: int, added: int) -> None:
        count = self._class_counts.get(urgency, 0) + added
        if count:
            self._class_counts[urgency] = count
        else:
            self._class_counts.pop(urgency, None)


def customer_counts(
    queues: typing.Iterable[CallQueue],
) -> dict[ids.CustomerName, int]:
    """Return the number of waiting calls of each customer."""
    counts: dict[ids.CustomerName, int] = {}
    for queue in queues:
        for waiting in queue.calls():
            customer = waiting.call.customer
            counts[customer] = counts.get(customer, 0) + 1
    return counts
