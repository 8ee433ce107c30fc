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

"""Leaving upstreams, merged from three sources.

Each source versions its updates: the configuration by revision, the VM list
by version, an engine's own report by incarnation and sequence number. Only
newer updates of the same source are applied, and any one source suffices to
mark an upstream as leaving, so a stale update or another source never
reverts it.
"""

import collections.abc

from galenahatch import ids
from galenahatch import schema


class LeavingUpstreams:
    """Latest update of each source."""

    def __init__(self) -> None:
        self._revision = -1
        self._draining: frozenset[str] = frozenset()
        self._vm_list_version = -1
        self._leaving_addresses: frozenset[str] = frozenset()
        self._reports: dict[ids.EngineName, tuple[int, int, bool]] = {}

    def record_configuration(
        self, revision: int, draining: collections.abc.Iterable[str]
    ) -> None:
        """Record the draining upstreams of a configuration."""
        if revision > self._revision:
            self._revision = revision
            self._draining = frozenset(draining)

    def record_vm_list(
        self, version: int, addresses: collections.abc.Iterable[str]
    ) -> None:
        """Record the leaving addresses in a version of the VM list."""
        if version > self._vm_list_version:
            self._vm_list_version = version
            self._leaving_addresses = frozenset(addresses)

    def record_report(
        self,
        engine: ids.EngineName,
        incarnation: int,
        sequence: int,
        leaving: bool,
    ) -> None:
        """Record an engine's own report.

        Leaving is final within an incarnation.
        """
        previous = self._reports.get(engine)
        if previous is not None and previous[0] == incarnation:
            if sequence <= previous[1]:
                return
            leaving = leaving or previous[2]
        self._reports[engine] = (incarnation, sequence, leaving)

    def leaving_engines(
        self, declared: collections.abc.Iterable[schema.Engine]
    ) -> frozenset[ids.EngineName]:
        """Return the names of the leaving engines."""
        return frozenset(
            engine.name for engine in declared if self._is_leaving(engine)
        )

    def is_url_leaving(self, url: str, address: str) -> bool:
        """Return whether an upstream of a plain service is leaving."""
        return url in self._draining or address in self._leaving_addresses

    def _is_leaving(self, engine: schema.Engine) -> bool:
        report = self._reports.get(engine.name)
        return (
            engine.name in self._draining
            or engine.address in self._leaving_addresses
            or (report is not None and report[2])
        )
