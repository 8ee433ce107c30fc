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

"""Grants of sends to plain services, as a call requests and uses them."""

import collections.abc
import dataclasses

from galenahatch.core import loadreports
from galenahatch.core import plaincalls
from galenahatch import ids


@dataclasses.dataclass(frozen=True)
class GrantRequest:
    """What the owner needs to know of a call; times are monotonic seconds.

    Attributes:
        request_id: Id of the call, for the log.
        arrived_at: Arrival at this gateway.
        objective_at: Time by which its answer is in time.
        deadline: Time after which its answer is useless.
        fingerprint: Identifies the call when its caller repeats it.
        is_repeat: Whether it has already been sent to an upstream.
        avoid: Upstreams that can't be used for it.
    """

    request_id: str
    service: ids.ServiceName
    customer: ids.CustomerName
    priority: int
    arrived_at: float
    objective_at: float
    deadline: float
    fingerprint: str
    is_repeat: bool
    avoid: frozenset[ids.UpstreamId]


class Grant:
    """Permission for one send to an upstream.

    Args:
        upstream: Upstream that the call may be sent to.
        number: Number of the request.
        report_end: Reports the end of the send to the owner.
    """

    def __init__(
        self,
        upstream: ids.UpstreamId,
        number: int,
        report_end: collections.abc.Callable[
            [plaincalls.SendResult, float, loadreports.LoadReport | None], None
        ],
    ) -> None:
        self.upstream = upstream
        self.number = number
        self._report_end = report_end
        self._is_ended = False

    def end(
        self,
        result: plaincalls.SendResult,
        seconds: float = 0.0,
        load: loadreports.LoadReport | None = None,
    ) -> None:
        """Report the end of the send, unless that has been done.

        Args:
            result: How it ended.
            seconds: Time that it took.
            load: Load that the response stated.
        """
        if not self._is_ended:
            self._is_ended = True
            self._report_end(result, seconds, load)


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The owner rejected the call.

    Attributes:
        retry_after: Seconds after which there is room for it.
    """

    reason: plaincalls.RejectionReason
    retry_after: float
    why: str


@dataclasses.dataclass(frozen=True)
class Undecided:
    """No owner decides; the gateway decides on its own."""

    why: str


Outcome = Grant | Rejected | Undecided
