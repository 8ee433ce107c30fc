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

"""Versions of the store that messages name, as ordered values."""

from galenahatch.core import versions
from galenahatch.gateway import messages


def order_version(
    message: messages.Heartbeat | messages.HeartbeatReply,
) -> versions.Version:
    """Return the version of the sender's row, which orders the members."""
    return versions.Version(message.order_era, message.order)


def upstreams_version(
    message: messages.Heartbeat
    | messages.HeartbeatReply
    | messages.UpdateRequest
    | messages.Update,
) -> versions.Version:
    """Return the version as of which the sender knows upstreams."""
    return versions.Version(message.era, message.upstreams_version)
