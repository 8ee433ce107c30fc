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

"""Queued requests of a cell and the decisions on them."""

import dataclasses
import typing

from galenahatch import ids
from galenahatch import messages
from galenahatch import states

CLASS_WEIGHTS: typing.Final = {
    states.Urgency.URGENT: 64.0,
    states.Urgency.NORMAL: 8.0,
    states.Urgency.BULK: 1.0,
}
"""Weight of each urgency class."""
_TICKET_FLOW: typing.Final = ids.CallerName('')


@dataclasses.dataclass(frozen=True)
class Job:
    """Queued request with the values that stay constant while it waits."""

    request: messages.PlaceRequest
    share: float
    cost: float
    start_by: float
    arrived_at: float
    has_ticket: bool

    @property
    def stream(self) -> ids.StreamId:
        """Unique ID."""
        return self.request.stream

    @property
    def key(self) -> ids.StreamId:
        """Key in the queue."""
        return self.request.stream

    @property
    def flow(self) -> ids.CallerName:
        """Flow in the queue: the caller, or the flow of ticket holders."""
        return _TICKET_FLOW if self.has_ticket else self.request.caller

    @property
    def urgency(self) -> states.Urgency:
        """Urgency class."""
        return self.request.urgency


@dataclasses.dataclass(frozen=True)
class Decision:
    """Decision on one attempt, with its explanation."""

    request: messages.PlaceRequest
    answer: messages.Placed | messages.GivenUp


def class_weight(urgency: int) -> float:
    """Return the weight of an urgency class."""
    return CLASS_WEIGHTS[states.Urgency(urgency)]
