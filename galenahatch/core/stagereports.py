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

"""Stages that model engines report, and changes of stage that were ordered.

An engine's entry in the store is out of date while the store is unavailable,
so a recent report goes before it. An engine that changes its stage accepts no
work meanwhile.

Times are monotonic seconds.
"""

import collections.abc
import dataclasses
import typing

from galenahatch.core import upstreams
from galenahatch import ids

_MAX_AGE_S: typing.Final = 3.0
"""Seconds for which the stage in an engine's report overrides its entry;
reports are read once a second."""


@dataclasses.dataclass(frozen=True)
class _StageReport:
    stage: upstreams.Stage | None
    busy: bool
    at: float


class StageReports:
    """Reported stages and ordered changes of one service's engines."""

    def __init__(self) -> None:
        self._reports: dict[ids.UpstreamId, _StageReport] = {}
        self._changing: dict[
            ids.UpstreamId, tuple[upstreams.Stage, float]
        ] = {}

    @property
    def is_changing(self) -> bool:
        """Whether an engine was ordered to change its stage."""
        return bool(self._changing)

    def is_awaited(self, engine: ids.UpstreamId) -> bool:
        """Return whether an engine was ordered to change its stage."""
        return engine in self._changing

    def record(
        self,
        engine: ids.UpstreamId,
        stage: upstreams.Stage | None,
        busy: bool,
        now: float,
    ) -> None:
        """Record the report of an engine."""
        self._reports[engine] = _StageReport(stage, busy, now)

    def record_order(
        self, engine: ids.UpstreamId, stage: upstreams.Stage, until: float
    ) -> None:
        """Record an order, which counts as lost after `until`."""
        self._changing[engine] = stage, until

    def is_settled(
        self, engines: collections.abc.Iterable[ids.UpstreamId], now: float
    ) -> bool:
        """Return whether engines reported their stages, and none changes.

        A new owner does not know its predecessor's orders: it counted an
        engine that was changing as a prefill engine, and took a second one.
        """
        latest = self._reports
        if any(
            k not in latest or self._is_old(latest[k], now) for k in engines
        ):
            return False
        busy = (t for t in latest.values() if t.busy)
        return not self._changing and all(self._is_old(t, now) for t in busy)

    def present(
        self, listed: collections.abc.Iterable[upstreams.Upstream], now: float
    ) -> dict[ids.UpstreamId, upstreams.Upstream]:
        """Return the engines that accept work, with their reported stages.

        Args:
            listed: Engines of the service by their entries.
            now: Monotonic time in seconds.
        """
        engines = {engine.id: engine for engine in listed}
        current = {
            key: self._with_reported_stage(engine, now)
            for key, engine in engines.items()
            if not self._is_busy(key, now)
        }
        for key, (stage, until) in list(self._changing.items()):
            entry = current.get(key)
            is_done = entry is not None and entry.stage is stage
            # An unlisted engine ended before it changed; waiting for it would
            # block all further changes.
            if is_done or until < now or key not in engines:
                del self._changing[key]
            else:
                current.pop(key, None)
        return current

    def _is_old(self, report: _StageReport, now: float) -> bool:
        return now - report.at > _MAX_AGE_S

    def _with_reported_stage(
        self, engine: upstreams.Upstream, now: float
    ) -> upstreams.Upstream:
        report = self._reports.get(engine.id)
        if report is None or self._is_old(report, now):
            return engine
        return dataclasses.replace(engine, stage=report.stage)

    def _is_busy(self, engine: ids.UpstreamId, now: float) -> bool:
        report = self._reports.get(engine)
        return (
            report is not None and report.busy and now - report.at < _MAX_AGE_S
        )
