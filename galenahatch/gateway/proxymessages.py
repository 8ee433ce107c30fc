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
"""Messages by which gateways with lost paths find proxies.

They are sent only to members whose heartbeats state that they know them
(`Heartbeat.message_level`). The rules of `gateway/messages` apply.
"""

from galenahatch.gateway import messages
from galenahatch import ids

MESSAGE_LEVEL = 2
"""Level that a gateway states if it knows the messages of this module."""


class ProxyQuery(messages.Message, frozen=True, array_like=True, tag=True):
    """Asks the owner for gateways that proxy requests.

    Attributes:
        is_partitioned: Whether the sender is partitioned from all upstreams.
    """

    member: ids.MemberId
    data_centre: ids.DataCentre
    is_partitioned: bool = False


class ProxyOffer(messages.Message, frozen=True, array_like=True, tag=True):
    """Reply to `ProxyQuery`; the members' rows state their ports."""

    members: tuple[ids.MemberId, ...]


AnyProxyMessage = ProxyQuery | ProxyOffer
"""Every message of this module."""
