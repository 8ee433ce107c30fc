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

"""Messages about requests that wait for a decision of the owner.

A request, its queueing and its decision are one message each, and any of them
may be lost. So a gateway repeats which requests it waits for, and the owner
answers with those that it doesn't know. They are sent only to members whose
heartbeats state that they know them (`Heartbeat.message_level`). The rules of
`gateway/messages` apply.
"""

from galenahatch.gateway import messages
from galenahatch import ids

MESSAGE_LEVEL = 5
"""Level of gateways that know the messages of this module."""


class WaitingRequests(
    messages.Message, frozen=True, array_like=True, tag=True
):
    """Lists the requests for which a gateway waits.

    Attributes:
        streams: Streams that wait for a placement.
        calls: Numbers of plain calls that wait for a grant.
    """

    member: ids.MemberId
    streams: tuple[ids.StreamId, ...] = ()
    calls: tuple[int, ...] = ()


class UnknownRequests(
    messages.Message, frozen=True, array_like=True, tag=True
):
    """Reply to `WaitingRequests`: those that the owner doesn't know.

    They were lost, or decided on without effect, and must be sent again.
    """

    streams: tuple[ids.StreamId, ...] = ()
    calls: tuple[int, ...] = ()


AnyWaitingMessage = WaitingRequests | UnknownRequests
"""Every message of this module."""
