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

"""When the engines of a service are divided anew.

What a request costs comes from measurements alone (`core/forecast`); what
the division should be, and what a change costs, from `core/stages`. Here
stands whether enough was measured, and whether engines are missed now.
"""

import typing

from galenahatch.core import figures
from galenahatch.core import forecast
from galenahatch.core import pool
from galenahatch.core import stages
from galenahatch.core import upstreams

_LEAST_SIZES: typing.Final = 12
_LEAST_READS: typing.Final = 8
"""Requests whose sizes, and prefills whose times, were seen before the
division of engines is planned: a mean of twelve sizes that spread by a factor
of 1.6 is off by an eighth, and a change must gain more. Planned on a pace
that no run had shown, an engine was taken away in the second second."""
_LEAST_PACED: typing.Final = 1000
"""Tokens from which the pace was measured before it is planned with: 100
events or more of any engine, whose times spread by a fifth."""
_CALM: typing.Final = 3.0
"""Seconds without a refusal before engines change their stage: they are
away for some seconds, which costs most when there are too few."""


class Rebalancer:
    """The division of one service's engines.

    Args:
        engines: the engines.
        measures: what requests take.
        expected: tells what a request costs.
    """

    def __init__(
        self,
        engines: pool.Pool,
        measures: figures.Estimator,
        expected: forecast.Forecast,
    ) -> None:
        self._pool = engines
        self._measures = measures
        self._forecast = expected
        self._planner = stages.Planner()
        self._short_at = -1e9
        self._lagged_at = -1e9

    def set_engines(
        self,
        engines: typing.Iterable[str],
        leaving: typing.Container[str],
        now: float,
    ) -> None:
        """Take which engines there are, and which have said they leave."""
        self._planner.set_engines(engines, leaving, now)

    def record_refusal(self, now: float) -> None:
        """Note that a request was refused."""
        self._short_at = now

    def record_prefill_wait(self, now: float) -> None:
        """Note that a request has waited for prefill engines."""
        self._lagged_at = now

    def reset_plan(self) -> None:
        """Note that an engine did not change though it should."""
        self._planner.reset()

    def plan_stage_changes(
        self, is_waiting: bool, now: float
    ) -> list[tuple[upstreams.Upstream, upstreams.Stage]]:
        """Return the engines whose stage should change.

        Args:
            is_waiting: whether requests wait for engines.
            now: monotonic seconds.
        """
        if not self._pool.is_settled(now) or not self._is_measured():
            return []
        # A slow one is missed least. Taken by idleness alone, the others went,
        # for the slow one is never idle, and all prompts waited for it.
        prefills = sorted(
            self._pool.prefills.values(),
            key=lambda e: (-e.slowness(now), e.idle_at),
        )
        decodes = sorted(
            self._pool.decodes.values(), key=lambda e: e.memory.load(now)
        )
        is_calm = not is_waiting and now - self._short_at > _CALM
        return self._planner.plan(
            self._forecast.request_costs(),
            [engine.upstream for engine in prefills],
            [engine.upstream for engine in decodes],
            is_calm,
            now - self._lagged_at < _CALM,
            now,
        )

    def _is_measured(self) -> bool:
        """Return whether a plan would rest on nothing but measurements."""
        known = self._measures
        return (
            known.figures.seen >= _LEAST_SIZES
            and known.figures.reads >= _LEAST_READS
            and self._pool.paced_tokens >= _LEAST_PACED
        )
