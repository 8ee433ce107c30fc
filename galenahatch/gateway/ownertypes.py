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

"""Types of the owner's interface (`gateway/owner`)."""

import collections.abc
import typing

from galenahatch.core import upstreams
from galenahatch.core import versionaffinity
from galenahatch.gateway import affinity
from galenahatch.gateway import messages
from galenahatch.gateway import waitingmessages
from galenahatch import ids

OwnerReply = (
    messages.Queued
    | messages.Placement
    | messages.PlacementRefused
    | messages.Declined
)
AnyOwnerMessage = OwnerReply | waitingmessages.UnknownRequests
"""What the owner sends about placements."""
ReplyFunction = collections.abc.Callable[[OwnerReply], None]
DeliverFunction = collections.abc.Callable[
    [ids.MemberId, AnyOwnerMessage], None
]


class VersionPolicy(typing.Protocol):
    """Decides at which software versions streams may run."""

    def resolve(
        self,
        service: ids.ServiceName,
        keys: collections.abc.Collection[ids.StreamKey],
        arrived_at: float,
    ) -> affinity.Resolution:
        """Return the version at which a stream continues."""

    def usable(
        self, engines: collections.abc.Iterable[upstreams.Upstream]
    ) -> list[upstreams.Upstream]:
        """Return the engines at which streams may begin."""

    def request_listing(self) -> None:
        """Ask for engines that are not usable yet to become usable."""


class AnyVersion:
    """Policy that binds no stream to a version."""

    def resolve(
        self,
        service: ids.ServiceName,
        keys: collections.abc.Collection[ids.StreamKey],
        arrived_at: float,
    ) -> affinity.Resolution:
        """Return that any version will do."""
        return versionaffinity.ANY_VERSION

    def usable(
        self, engines: collections.abc.Iterable[upstreams.Upstream]
    ) -> list[upstreams.Upstream]:
        """Return all engines."""
        return list(engines)

    def request_listing(self) -> None:
        """Do nothing: all engines are usable."""


class Asked(typing.NamedTuple):
    """A placement request, and when it arrived; monotonic seconds."""

    member: ids.MemberId
    request: messages.PlacementRequest
    arrived_at: float
