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

"""Which upstreams leave, joined from three sources.

Each source numbers its news: the configuration by revision, the VM list by
version, an engine's own report by incarnation and sequence. Only newer
news of the same source counts, and one source that says `leaving` is
enough, so older or other news never brings an upstream back.
"""

import collections.abc

from galenahatch import ids
from galenahatch import schema


class LeavingUpstreams:
    """What each source said last."""

    def __init__(self) -> None:
        self._revision = -1
        self._draining: frozenset[str] = frozenset()
        self._version = -1
        self._addresses: frozenset[str] = frozenset()
        self._reports: dict[ids.EngineName, tuple[int, int, bool]] = {}

    def record_configuration(
        self, revision: int, draining: collections.abc.Iterable[str]
    ) -> None:
        """Take the drained upstreams of a configuration."""
        if revision > self._revision:
            self._revision = revision
            self._draining = frozenset(draining)

    def record_vm_list(
        self, version: int, addresses: collections.abc.Iterable[str]
    ) -> None:
        """Take the addresses that a version of the VM list calls leaving."""
        if version > self._version:
            self._version = version
            self._addresses = frozenset(addresses)

    def record_report(
        self,
        engine: ids.EngineName,
        incarnation: int,
        sequence: int,
        leaving: bool,
    ) -> None:
        """Take an engine's own word.

        Within an incarnation leaving is final.
        """
        before = self._reports.get(engine)
        if before is not None and before[0] == incarnation:
            if sequence <= before[1]:
                return
            leaving = leaving or before[2]
        self._reports[engine] = (incarnation, sequence, leaving)

    def leaving_engines(
        self, declared: collections.abc.Iterable[schema.Engine]
    ) -> frozenset[ids.EngineName]:
        """Return the engines that leave."""
        return frozenset(
            engine.name for engine in declared if self._leaves(engine)
        )

    def is_url_leaving(self, url: str, address: str) -> bool:
        """Return whether a plain service's upstream leaves."""
        return url in self._draining or address in self._addresses

    def _leaves(self, engine: schema.Engine) -> bool:
        report = self._reports.get(engine.name)
        return (
            engine.name in self._draining
            or engine.address in self._addresses
            or (report is not None and report[2])
        )
