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

"""Requests to peers for newer configuration and upstreams."""

import typing

from galenahatch import clock
from galenahatch.gateway import directory as directories
from galenahatch.gateway import messages
from galenahatch.gateway import messageversions

_REQUEST_INTERVAL_S: typing.Final = 0.6
"""Minimum number of seconds between two requests. Sending a configuration of
350 routes to all members takes that long on a slow link. When it was requested
with every heartbeat, the owner's send queue filled up and its heartbeats were
no longer received."""


class UpdateRequester:
    """Decides when to request an update from a peer.

    Args:
        directory: Local copy of the configuration and upstreams.
    """

    def __init__(self, directory: directories.Directory) -> None:
        self._directory = directory
        self._requested_at = -1e9

    def request_for(
        self, heartbeat: messages.Heartbeat | messages.HeartbeatReply
    ) -> messages.UpdateRequest | None:
        """Return the request to send if a member has newer data, else None."""
        config = self._directory.config_version
        version = self._directory.upstreams_version
        peer_version = messageversions.upstreams_version(heartbeat)
        if heartbeat.config_version <= config and peer_version <= version:
            return None
        if clock.now() - self._requested_at < _REQUEST_INTERVAL_S:
            return None
        self._requested_at = clock.now()
        return messages.UpdateRequest(config, version.number, version.era)

    def is_current(
        self, heartbeat: messages.Heartbeat | messages.HeartbeatReply
    ) -> bool:
        """Return whether a member knows the newest era known here.

        Data of an earlier era is useless.
        """
        return heartbeat.era >= self._directory.upstreams_version.era
