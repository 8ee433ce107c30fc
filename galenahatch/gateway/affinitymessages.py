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

"""Messages about the software versions that began streams.

They are sent only to members whose heartbeats state that they know them
(`Heartbeat.message_level`). The rules of `gateway/messages` apply.
"""

import msgspec

from galenahatch.gateway import messages
from galenahatch import ids

VERSIONS_LEVEL = 3
"""Level of gateways that know `StreamOrigins`, and the fields of placement
requests that name a version."""
MESSAGE_LEVEL = 4
"""Level of gateways that know all messages of this module."""


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Version that began a stream.

    Attributes:
        version: The version; empty if several streams share the key.
        seconds_left: Seconds until its caller doesn't return any more.
    """

    key: ids.StreamKey
    version: ids.SoftwareVersion
    seconds_left: float


class StreamOrigins(messages.Message, frozen=True, array_like=True, tag=True):
    """Reports versions that began streams to the owner and its successor.

    Attributes:
        number: Number of this message, which the reply repeats; 0 if the
            sender expects none.
    """

    origins: tuple[StreamOrigin, ...]
    number: int = 0


class StreamOriginsReceived(
    messages.Message, frozen=True, array_like=True, tag=True
):
    """Acknowledges `StreamOrigins`."""

    number: int


AnyAffinityMessage = StreamOrigins | StreamOriginsReceived
"""Every message of this module."""
