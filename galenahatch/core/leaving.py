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

"""Tracks which upstreams are leaving, according to three sources.

A leaving upstream gets no new work. An upstream is an engine, known by its
name, or the URL of a plain service. The sources are the configuration, whose
draining upstreams are leaving, the VM list and an engine's own reports.

An upstream is leaving if at least one source says so. A source can withdraw
only its own mark, and only with a newer update: configurations are ordered by
revision, VM lists by version, an engine's reports by sequence number. An
engine can't withdraw its mark within an incarnation, which is one run of the
engine's process; a report of another incarnation replaces the former one.
"""

import collections.abc

from galenahatch import ids
from galenahatch import schema


class LeavingUpstreams:
    """Upstreams marked as leaving by the latest update of each source."""

    def __init__(self) -> None:
        self._revision = -1
        self._draining: frozenset[str] = frozenset()
        self._vm_list_version = -1
        self._leaving_addresses: frozenset[str] = frozenset()
        self._reports: dict[ids.EngineName, tuple[int, int, bool]] = {}

    def record_configuration(
        self, revision: int, draining: collections.abc.Iterable[str]
    ) -> None:
        """Record the draining upstreams of a configuration.

        Ignored unless the revision is newer than the last recorded one.
        """
        if revision > self._revision:
            self._revision = revision
            self._draining = frozenset(draining)

    def record_vm_list(
        self, version: int, addresses: collections.abc.Iterable[str]
    ) -> None:
        """Record the addresses of the leaving VMs in a version of the VM list.

        Ignored unless the version is newer than the last recorded one.
        """
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

        Ignored unless it is newer than the last one of its incarnation.
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
        """Return the names of the leaving engines.

        Args:
            declared: Engines declared in the configuration.
        """
        return frozenset(
            engine.name
            for engine in declared
            if self._is_engine_leaving(engine)
        )

    def is_url_leaving(self, url: str, address: str) -> bool:
        """Return whether an upstream of a plain service is leaving.

        Args:
            url: URL of the upstream.
            address: Host in the URL, compared with the VM addresses.
        """
        return url in self._draining or address in self._leaving_addresses

    def _is_engine_leaving(self, engine: schema.Engine) -> bool:
        report = self._reports.get(engine.name)
        return (
            engine.name in self._draining
            or engine.address in self._leaving_addresses
            or (report is not None and report[2])
        )
