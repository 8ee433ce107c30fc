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

"""Engines that the owner may not use until the store lists their version.

A version that has just appeared is listed within milliseconds
(`versionhistory`). A request that nothing else can serve waits for that.
"""

import collections.abc

from galenahatch import clock
from galenahatch.core import modelengines
from galenahatch.core import upstreams
from galenahatch.core import versionaffinity
from galenahatch.core import versionchoice
from galenahatch.gateway import ownertypes
from galenahatch import ids


class Listing:
    """Versions in service at which no stream may begin yet.

    Args:
        policy: Decides at which versions streams may begin.
    """

    def __init__(self, policy: ownertypes.VersionPolicy) -> None:
        self._policy = policy
        self._unlisted: dict[ids.ServiceName, set[ids.SoftwareVersion]] = {}

    def usable(
        self,
        service: ids.ServiceName,
        engines: collections.abc.Collection[upstreams.Upstream],
    ) -> list[upstreams.Upstream]:
        """Return the engines of a service that streams may use."""
        usable = self._policy.usable(engines)
        listed = {engine.version for engine in usable}
        self._unlisted[service] = {e.version for e in engines} - listed
        return usable

    def must_wait(
        self,
        asked: ownertypes.Asked,
        version: ids.SoftwareVersion,
        decodes: collections.abc.Mapping[
            ids.UpstreamId, modelengines.DecodeEngine
        ],
    ) -> bool:
        """Return whether only an engine that isn't usable yet can serve.

        Args:
            asked: The request.
            version: Version at which its stream continues; empty for any.
            decodes: Decode engines in use.
        """
        unlisted = self._unlisted.get(asked.request.service)
        if not unlisted or versionchoice.has_engine(version, decodes):
            return False
        if version and version not in unlisted:
            return False
        if clock.now() - asked.arrived_at >= versionaffinity.SETTLE_S:
            return False
        self._policy.request_listing()
        return True
