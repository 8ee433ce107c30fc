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

"""Stage changes while several software versions are in service.

A stream that has begun needs a decode engine of its version. So no change
takes the last one of a version with several engines, and a version that has
none gets one when a stream asks for it.

Times are monotonic seconds; this module does no I/O.
"""

import collections.abc
import typing

from galenahatch.core import upstreams
from galenahatch import ids

_WANTED_S: typing.Final = 3.0
"""Seconds after a refused stream in which its version counts as asked for."""
_INTERVAL_S: typing.Final = 5.0
"""Seconds between two such changes: an order may have to be tried again."""

Changes = list[tuple[upstreams.Upstream, upstreams.Stage]]


class VersionStages:
    """Stages of the engines of each version of one service."""

    def __init__(self) -> None:
        self._missing: dict[ids.SoftwareVersion, float] = {}
        self._planned_at = -1e9

    @property
    def is_any_missing(self) -> bool:
        """Whether a stream may have found no decode engine lately."""
        return bool(self._missing)

    def record_missing(self, version: ids.SoftwareVersion, now: float) -> None:
        """Record a stream that found no decode engine of its version."""
        self._missing[version] = now

    def plan(
        self,
        prefills: collections.abc.Sequence[upstreams.Upstream],
        decodes: collections.abc.Sequence[upstreams.Upstream],
        now: float,
    ) -> Changes:
        """Return a prefill engine to change for a version without decode.

        Args:
            prefills: Prefill engines, those to change first in front.
            decodes: Decode engines.
            now: Monotonic time in seconds.
        """
        if now - self._planned_at < _INTERVAL_S:
            return []
        served = {engine.version for engine in decodes}
        wanted = {
            version
            for version, missed_at in self._missing.items()
            if now - missed_at < _WANTED_S and version not in served
        }
        self._missing = {v: self._missing[v] for v in wanted}
        for engine in prefills:
            if engine.version in wanted and len(prefills) > 1:
                self._planned_at = now
                return [(engine, upstreams.Stage.DECODE)]
        return []


def keep_decodes(
    changes: Changes,
    prefills: collections.abc.Sequence[upstreams.Upstream],
    decodes: collections.abc.Sequence[upstreams.Upstream],
) -> Changes:
    """Return changes without those that take a version's last decode engine.

    An engine that is alone with its version may be taken: streams that need it
    would be refused with the next failure anyway.
    """
    engines = [engine.version for engine in (*prefills, *decodes)]
    if len(set(engines)) < 2:
        return changes
    left = [engine.version for engine in decodes]
    kept: Changes = []
    for engine, stage in changes:
        if stage is upstreams.Stage.PREFILL:
            is_last = left.count(engine.version) == 1
            if is_last and engines.count(engine.version) > 1:
                continue
            left.remove(engine.version)
        kept.append((engine, stage))
    return kept
