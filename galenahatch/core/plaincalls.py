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

"""Plain calls that need a grant of the owner, and the owner's decisions.

Times are monotonic seconds of the owner.
"""

import dataclasses
import enum
import typing

from galenahatch import ids


class CallKey(typing.NamedTuple):
    """Identifies a call: its gateway, and a number that this one gave."""

    member: ids.MemberId
    number: int


class SendResult(enum.Enum):
    """How a granted send ended.

    Attributes:
        ANSWERED: The upstream executed the call and answered.
        REJECTED: The upstream was full and did not execute the call.
        FAILED: The connection failed, or no complete answer arrived in time.
        CANCELLED: The caller disconnected, or nothing was sent.
    """

    ANSWERED = 'answered'
    REJECTED = 'rejected'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class RejectionReason(enum.Enum):
    """Why a call is rejected.

    Attributes:
        NO_ROOM: It would not be answered within its deadline, or only by
            displacing calls that are still in time.
        QUEUE_FULL: The bounds on queued calls are reached.
        NO_UPSTREAM: The service has no usable upstream.
    """

    NO_ROOM = 'no_room'
    QUEUE_FULL = 'queue_full'
    NO_UPSTREAM = 'no_upstream'


@dataclasses.dataclass(frozen=True)
class PlainCall:
    """A plain call that waits for a grant.

    Attributes:
        customer: Customer that it counts for; empty for none.
        share: Weight of the customer among those of its priority.
        priority: Priority; 0 is the most urgent.
        arrived_at: Arrival at its gateway.
        objective_at: Time by which its answer is in time.
        deadline: Time after which its answer is useless.
        fingerprint: Identifies the same call of the same caller when it is
            repeated.
        is_repeat: Whether its gateway has already sent it to an upstream.
        avoid: Upstreams that have already failed it.
        data_centre: Data centre of its gateway.
        seconds_before: Seconds from its caller's first attempt to this one.
    """

    key: CallKey
    customer: ids.CustomerName
    share: float
    priority: int
    arrived_at: float
    objective_at: float
    deadline: float
    fingerprint: str
    is_repeat: bool
    avoid: frozenset[ids.UpstreamId]
    data_centre: ids.DataCentre
    seconds_before: float = 0.0


@dataclasses.dataclass(frozen=True)
class Granted:
    """A call that may be sent to an upstream now.

    Attributes:
        why: Inputs of the decision, for the log.
    """

    call: PlainCall
    upstream: ids.UpstreamId
    why: str


@dataclasses.dataclass(frozen=True)
class Rejected:
    """A call that is rejected and has not been sent.

    Attributes:
        retry_after: Seconds after which there is room for it.
        why: Inputs of the decision, for the log.
    """

    call: PlainCall
    retry_after: float
    reason: RejectionReason
    why: str


Decision = Granted | Rejected
