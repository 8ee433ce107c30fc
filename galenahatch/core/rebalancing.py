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

"""Decides when engines of a service change their stage.

The cost of a request is derived from measurements alone (`core/forecast`);
`core/stages` computes the best division and the cost of a change. This module
checks that the measurements suffice, and which engines are missed now. Where
engines are uneven, `core/peakplan` plans for the peak of recent demand.
"""

import typing

from galenahatch.core import demand
from galenahatch.core import figures
from galenahatch.core import forecast
from galenahatch.core import generations
from galenahatch.core import peakplan
from galenahatch.core import pool
from galenahatch.core import stages
from galenahatch.core import upstreams
from galenahatch.core import versionstages
from galenahatch import ids

_MIN_SIZES: typing.Final = 12
_MIN_PREFILLS: typing.Final = 8
"""Requests and prefills measured before a change is planned: the mean of
twelve sizes with a spread factor of 1.6 is off by an eighth, and a change must
gain more. Planned without a measured pace, an engine was taken away within two
seconds of the start."""
_MIN_PACED_TOKENS: typing.Final = 1000
"""Tokens behind the measured pace before it is used for planning: 100 events
or more of any engine, whose times spread by a fifth."""
_PEAK_PLAN_INTERVAL_S: typing.Final = demand.WINDOW_S
"""Seconds between two plans for the peak, which changes with each window."""
_CALM_S: typing.Final = 3.0
"""Seconds without a refusal before engines change their stage: they are away
for some seconds, which costs most when there are too few."""


class Rebalancer:
    """Plans stage changes of one service's engines.

    Args:
        engines: Engines of the service.
        estimator: Measurements of the service's requests.
        predictions: Source of the cost of a request.
        switch_time: Seconds for which an engine is away for a change.

    Attributes:
        demand: Recent demand.
        peak_plan: Latest plan for the peak of demand; None before the first.
    """

    def __init__(
        self,
        engines: pool.Pool,
        estimator: figures.Estimator,
        predictions: forecast.Forecast,
        switch_time: float,
    ) -> None:
        self._switch_time = switch_time
        self.demand = demand.Demand()
        self.peak_plan: peakplan.Plan | None = None
        self._peak_planned_at = -1e9
        self._pool = engines
        self._estimator = estimator
        self._forecast = predictions
        self._planner = stages.Planner()
        self._versions = versionstages.VersionStages()
        self._refused_at = -1e9
        self._prefill_waited_at = -1e9

    def set_engines(
        self,
        engines: typing.Iterable[str],
        leaving: typing.Container[str],
        now: float,
    ) -> None:
        """Set the engines present, and those that announced they leave."""
        self._planner.set_engines(engines, leaving, now)

    def record_arrival(self, job: generations.Job, now: float) -> None:
        """Record a request that was not refused before."""
        self.demand.record(
            job.fingerprint,
            job.prompt_tokens,
            job.predicted_output,
            job.deadline,
            now,
        )

    def record_refusal(self, now: float) -> None:
        """Record that a request was refused."""
        self._refused_at = now

    def record_missing_version(
        self, version: ids.SoftwareVersion, now: float
    ) -> None:
        """Record a stream that found no decode engine of its version."""
        self._versions.record_missing(version, now)

    def record_prefill_wait(self, now: float) -> None:
        """Record that a request has waited for prefill engines."""
        self._prefill_waited_at = now

    def reset_plan(self) -> None:
        """Record that an engine did not change its stage as ordered."""
        self._planner.reset()

    def plan_stage_changes(
        self, is_waiting: bool, now: float
    ) -> list[tuple[upstreams.Upstream, upstreams.Stage]]:
        """Return the engines whose stage should change.

        Args:
            is_waiting: Whether requests wait for engines.
            now: Monotonic time in seconds.
        """
        if self._versions.is_any_missing and not self._pool.is_changing:
            engines = self._engines_to_change(now)
            missing = self._versions.plan(*engines, now)
            if missing:
                return missing
        changes = self._plan_division(is_waiting, now)
        if not changes:
            return []
        engines = self._engines_to_change(now)
        return versionstages.keep_decodes(changes, *engines)

    def _plan_division(
        self, is_waiting: bool, now: float
    ) -> list[tuple[upstreams.Upstream, upstreams.Stage]]:
        """Return the changes that divide engines best among the stages."""
        if self._pool.speeds.is_uneven:
            return self._plan_for_peak(now)
        if not self._pool.is_settled(now) or not self._has_evidence():
            return []
        prefills, decodes = self._engines_to_change(now)
        is_calm = not is_waiting and now - self._refused_at > _CALM_S
        return self._planner.plan(
            self._forecast.request_costs(),
            prefills,
            decodes,
            is_calm,
            now - self._prefill_waited_at < _CALM_S,
            now,
        )

    def _engines_to_change(
        self, now: float
    ) -> tuple[list[upstreams.Upstream], list[upstreams.Upstream]]:
        """Return prefill and decode engines, those to change first in front.

        Slow engines change first. Sorted by idleness alone, a slow engine
        would stay, as it is never idle, and all prompts would wait for it.
        """
        prefills = sorted(
            self._pool.prefills.values(),
            key=lambda engine: (-engine.slowness(now), engine.idle_at),
        )
        decodes = sorted(
            self._pool.decodes.values(),
            key=lambda engine: engine.memory.load(now),
        )
        return [e.upstream for e in prefills], [e.upstream for e in decodes]

    def _plan_for_peak(
        self, now: float
    ) -> list[tuple[upstreams.Upstream, upstreams.Stage]]:
        """Return the changes for the peak of recent demand."""
        engines = {*self._pool.prefills, *self._pool.decodes}
        self._pool.speeds.set_engines(engines, now)
        is_due = now - self._peak_planned_at >= _PEAK_PLAN_INTERVAL_S
        if not is_due or not self._planner.is_due(now):
            return []
        if not self._pool.is_settled(now) or not self._has_evidence():
            return []
        size = self.demand.mean_size(now)
        if not size or size[0] <= 0 or not self.demand.is_known:
            return []
        self._peak_planned_at = now
        prefills, decodes = self._engines_to_change(now)
        self.peak_plan = peakplan.make_plan(
            self._capacities(prefills, True, *size),
            self._capacities(decodes, False, *size),
            self.demand.windows(now),
            self.demand.peak(now),
            size[0],
            self._switch_time,
        )
        if self.peak_plan.changes:
            self._planner.record_plan(now)
        return list(self.peak_plan.changes)

    def _capacities(
        self,
        engines: list[upstreams.Upstream],
        are_prefills: bool,
        prompt: float,
        output: float,
    ) -> list[peakplan.EngineCapacity]:
        """Return what engines can do in either stage.

        While the time of a prefill is not fully known, present prefill
        engines count by the longer and decode engines by the shorter one, so
        that a change has to pay off for both.

        Args:
            engines: Engines of one stage.
            are_prefills: Whether that is the prefill stage.
            prompt: Mean tokens of a prompt.
            output: Mean tokens of an answer.
        """
        speeds = self._pool.speeds
        shortest, longest = self._estimator.prefill_busy_range(prompt)
        seconds = longest if are_prefills else shortest
        read = self._estimator.prefill_seconds(round(prompt))
        capacity = self._pool.decode_capacity
        runs = capacity.concurrent_runs(prompt + output / 2, output)
        pace = capacity.lasting_seconds(runs)
        return [
            peakplan.EngineCapacity(
                engine,
                stages.UTILIZATION
                * speeds.relative_prefills(engine.id)
                / seconds,
                stages.UTILIZATION
                * capacity.completion_rate(
                    runs,
                    output,
                    pace / speeds.decode_speed(engine.id),
                    read,
                ),
            )
            for engine in engines
        ]

    def _has_evidence(self) -> bool:
        """Return whether there are enough measurements for a plan."""
        estimator = self._estimator
        return (
            estimator.figures.seen >= _MIN_SIZES
            and estimator.figures.reads >= _MIN_PREFILLS
            and self._pool.paced_tokens >= _MIN_PACED_TOKENS
        )
