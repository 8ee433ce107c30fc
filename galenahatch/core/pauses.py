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

"""Pauses that upstreams ask one VM for when they turn its requests away.

A pause concerns the VM that was told: upstreams tell each one by itself. It
lasts a little longer than was asked for, by chance, so that VMs that were
turned away at the same moment don't come back at the same moment.

Times are monotonic seconds; there is no input or output here.
"""

import random
import typing

from galenahatch import ids

MAX_PAUSE_S: typing.Final = 300.0
"""Seconds after which an upstream is tried in any case: one bad answer must
not take it out for good."""
_SPREAD: typing.Final = 0.2
"""Part of a pause by which it may be longer."""


class Pauses:
    """What one VM was asked for.

    Args:
        random_source: spreads the ends.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._until: dict[ids.UpstreamId, float] = {}

    def start(
        self, upstream: ids.UpstreamId, seconds: float, now: float
    ) -> None:
        """Take what an upstream asks for; an earlier pause is not cut."""
        spread = 1 + _SPREAD * self._random.random()
        until = now + min(MAX_PAUSE_S, seconds) * spread
        self._until[upstream] = max(until, self._until.get(upstream, 0.0))

    def remaining(self, upstream: ids.UpstreamId, now: float) -> float:
        """Return the seconds that are left of a pause; 0 if there is none."""
        return max(0.0, self._until.get(upstream, 0.0) - now)

    def active(self, now: float) -> dict[ids.UpstreamId, float]:
        """Return the seconds that are left of each pause; drop old ones."""
        self._until = {
            upstream: until
            for upstream, until in self._until.items()
            if until > now
        }
        return {key: until - now for key, until in self._until.items()}
