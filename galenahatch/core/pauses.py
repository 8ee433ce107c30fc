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

"""Pauses requested by upstreams when they reject requests of a VM.

A pause applies only to the VM that received it; an upstream sends one to each
VM separately. Random jitter extends each pause slightly, so that VMs rejected
at the same time don't retry at the same time.

Times are monotonic seconds. This module does no I/O.
"""

import random
import typing

from galenahatch import ids

MAX_PAUSE_S: typing.Final = 300.0
"""Maximum pause in seconds, so that one bad response can't disable an
upstream permanently."""
_JITTER: typing.Final = 0.2
"""Maximum jitter as a fraction of the pause."""


class Pauses:
    """Pauses requested from one VM.

    Args:
        random_source: Random source for the jitter.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._until: dict[ids.UpstreamId, float] = {}

    def start(
        self, upstream: ids.UpstreamId, seconds: float, now: float
    ) -> None:
        """Start or extend the pause of an upstream, never shorten it."""
        jitter_factor = 1 + _JITTER * self._random.random()
        until = now + min(MAX_PAUSE_S, seconds) * jitter_factor
        self._until[upstream] = max(until, self._until.get(upstream, 0.0))

    def remaining(self, upstream: ids.UpstreamId, now: float) -> float:
        """Return the remaining seconds of a pause; 0 if there is none."""
        return max(0.0, self._until.get(upstream, 0.0) - now)

    def active(self, now: float) -> dict[ids.UpstreamId, float]:
        """Drop expired pauses and return the remaining seconds of others."""
        self._until = {
            upstream: until
            for upstream, until in self._until.items()
            if until > now
        }
        return {key: until - now for key, until in self._until.items()}
