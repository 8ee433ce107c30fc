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

"""Messages about plain calls that need a grant of the owner.

They are sent only to members whose heartbeats state that they know them
(`Heartbeat.message_level`), so that older gateways never see them. The rules
of `gateway/messages` apply: new fields at the end with a default; durations
in place of points in time.
"""

from galenahatch.gateway import messages
from galenahatch.gateway import records
from galenahatch.gateway import waitingmessages
from galenahatch import ids

MESSAGE_LEVEL = 1
"""Level that a gateway states if it knows the messages of this module."""


class CallRequest(messages.Message, frozen=True, array_like=True, tag=True):
    """Requests a grant for a plain call.

    Attributes:
        objective_within: Seconds until the answer is late.
        end_within: Seconds until the answer is useless.
        waited: Seconds since the call arrived at the gateway.
    """

    member: ids.MemberId
    number: int
    service: ids.ServiceName
    customer: ids.CustomerName
    priority: int
    objective_within: float
    end_within: float
    waited: float
    fingerprint: str
    data_centre: ids.DataCentre
    avoid: tuple[ids.UpstreamId, ...] = ()
    is_repeat: bool = False


class CallQueued(messages.Message, frozen=True, array_like=True, tag=True):
    """Confirms that the owner has queued a call."""

    number: int


class CallGranted(messages.Message, frozen=True, array_like=True, tag=True):
    """Grants one send to an upstream."""

    number: int
    upstream: ids.UpstreamId


class CallRejected(messages.Message, frozen=True, array_like=True, tag=True):
    """Rejects a call.

    Attributes:
        retry_after: Seconds after which there is room.
        reason: Value of `plaincalls.RejectionReason`.
    """

    number: int
    retry_after: float
    reason: str
    why: str = ''


class CallDeclined(messages.Message, frozen=True, array_like=True, tag=True):
    """Declines a queued call, which the next owner may grant."""

    number: int


class CallEnded(messages.Message, frozen=True, array_like=True, tag=True):
    """Reports the end of a granted send, or of the wait for a grant.

    Attributes:
        upstream: Upstream that was granted; empty if the call was waiting.
        result: Value of `plaincalls.SendResult`.
        seconds: Seconds that the send took.
        load: Load that the response stated.
    """

    member: ids.MemberId
    service: ids.ServiceName
    number: int
    upstream: ids.UpstreamId
    result: str
    seconds: float = 0.0
    load: records.UpstreamLoad | None = None


class LoadNotice(messages.Message, frozen=True, array_like=True, tag=True):
    """Tells the owner that an upstream reports a queue, without delay."""

    member: ids.MemberId
    service: ids.ServiceName
    loads: tuple[records.UpstreamLoad, ...]


class Contention(messages.Message, frozen=True, array_like=True, tag=True):
    """Tells gateways for which services calls need a grant now.

    Attributes:
        seconds: Seconds for which this holds unless it is repeated.
    """

    services: tuple[ids.ServiceName, ...]
    seconds: float


OwnerReply = CallQueued | CallGranted | CallRejected | CallDeclined
"""What the owner sends about one call."""
OwnerMessage = OwnerReply | Contention | waitingmessages.UnknownRequests
"""What the owner sends."""
OwnerRequest = CallRequest | CallEnded | LoadNotice
"""What gateways send to the owner."""
AnyCallMessage = OwnerReply | OwnerRequest | Contention
"""Every message of this module."""
