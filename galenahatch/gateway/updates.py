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

"""Questions to peers for what they know and this gateway does not."""

import typing

from galenahatch import clock
from galenahatch.gateway import directory as directories
from galenahatch.gateway import messages

_REQUEST_INTERVAL_S: typing.Final = 0.6
"""Seconds between two questions for news. A configuration of 350 routes
takes a slow link that long for all members; asked for with each beat, it
filled the owner's queue until nobody heard it any more."""


class UpdateRequester:
    """Decides when to ask a peer.

    Args:
        directory: what this gateway knows.
    """

    def __init__(self, directory: directories.Directory) -> None:
        self._directory = directory
        self._asked_at = -1e9

    def request_for(
        self, beat: messages.Heartbeat | messages.HeartbeatReply
    ) -> messages.UpdateRequest | None:
        """Return what to ask the sender of a beat, if it knows more."""
        config = self._directory.config_version
        known = self._directory.upstreams_version
        told = messages.upstreams_version(beat)
        if beat.config_version <= config and told <= known:
            return None
        if clock.now() - self._asked_at < _REQUEST_INTERVAL_S:
            return None
        self._asked_at = clock.now()
        return messages.UpdateRequest(config, known.number, known.era)

    def is_current(
        self, beat: messages.Heartbeat | messages.HeartbeatReply
    ) -> bool:
        """Return whether the sender of a beat knows the era known here.

        News of an earlier era tell nothing.
        """
        return beat.era >= self._directory.upstreams_version.era
