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

"""A request that waits in a cell, and what is decided on it."""

import dataclasses
import typing

from galenahatch import ids
from galenahatch import messages
from galenahatch import states

_PROMISED: typing.Final = ids.CallerName('')


@dataclasses.dataclass(frozen=True)
class Job:
    """A request that waits, with what does not change while it does."""

    request: messages.PlaceRequest
    share: float
    cost: float
    start_by: float
    arrived_at: float
    has_ticket: bool

    @property
    def stream(self) -> ids.StreamId:
        """Unique id."""
        return self.request.stream

    @property
    def caller(self) -> ids.CallerName:
        """Flow in the queue: the caller's, or that of kept promises."""
        return _PROMISED if self.has_ticket else self.request.caller

    @property
    def urgency(self) -> states.Urgency:
        """Its class."""
        return self.request.urgency


@dataclasses.dataclass(frozen=True)
class Decision:
    """What was decided on one attempt, with its explanation."""

    request: messages.PlaceRequest
    answer: messages.Placed | messages.GivenUp
