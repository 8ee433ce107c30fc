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

"""What operators see of the plans for stages of uneven engines."""

import typing

from galenahatch.core import peakplan
from galenahatch.gateway import instruments
from galenahatch.gateway import owner as owners
from galenahatch import ids
from galenahatch import logs

_MAX_ENGINES: typing.Final = 64
"""Engines whose speeds are shown; half of them the slowest."""
_log = logs.Log('stageplans')


class StagePlans:
    """Logs and metrics of the owner's stage plans.

    Args:
        owner: Owner that plans.
    """

    def __init__(self, owner: owners.Owner) -> None:
        self._owner = owner
        self._logged: dict[ids.ServiceName, peakplan.Plan] = {}
        instruments.register_gauge(instruments.ENGINE_SPEED, self._speeds)
        instruments.register_gauge(
            instruments.STAGE_CAPACITY, self._capacities
        )
        instruments.register_gauge(instruments.PEAK_DEMAND, self._peaks)

    def record(self, service: ids.ServiceName) -> None:
        """Log the latest plan if it changes engines or its reason is new."""
        plan = self._owner.dispatchers[service].rebalancer.peak_plan
        logged = self._logged.get(service)
        if plan is None or plan is logged:
            return
        is_new = logged is None or logged.reason is not plan.reason
        self._logged[service] = plan
        if not is_new and not plan.changes:
            return
        _log.info(
            'Stage plan.',
            service=service,
            reason=plan.reason.value,
            peak_requests=round(plan.peak_requests, 1),
            peak_prompts=round(plan.peak_prompts, 1),
            prefill=round(plan.prefill_capacity, 1),
            decode=round(plan.decode_capacity, 1),
            planned_prefill=round(plan.planned_prefill_capacity, 1),
            planned_decode=round(plan.planned_decode_capacity, 1),
            gain=round(plan.gain, 1),
            cost=round(plan.cost, 1),
            changes=len(plan.changes),
        )

    def _speeds(self) -> dict[str, float]:
        """Return the speeds of the slowest and the fastest engines."""
        speeds: dict[str, float] = {}
        for dispatcher in self._owner.dispatchers.values():
            engines = dispatcher.engines
            if not engines.speeds.is_uneven:
                continue
            for key in engines.prefills:
                speeds[str(key)] = engines.speeds.prefill_speed(key)
            for key in engines.decodes:
                speeds[str(key)] = engines.speeds.decode_speed(key)
        ordered = sorted(speeds, key=lambda key: speeds[key])
        half = _MAX_ENGINES // 2
        if len(ordered) > _MAX_ENGINES:
            ordered = ordered[:half] + ordered[-half:]
        return {key: speeds[key] for key in ordered}

    def _capacities(self) -> dict[str, float]:
        values: dict[str, float] = {}
        for service, plan in self._latest().items():
            values[f'{service} prefill'] = plan.prefill_capacity
            values[f'{service} decode'] = plan.decode_capacity
            values[f'{service} prefill, planned'] = (
                plan.planned_prefill_capacity
            )
            values[f'{service} decode, planned'] = plan.planned_decode_capacity
        return values

    def _peaks(self) -> dict[str, float]:
        return {
            str(service): plan.peak_requests
            for service, plan in self._latest().items()
        }

    def _latest(self) -> dict[ids.ServiceName, peakplan.Plan]:
        plans = {
            service: dispatcher.rebalancer.peak_plan
            for service, dispatcher in self._owner.dispatchers.items()
        }
        return {s: plan for s, plan in plans.items() if plan is not None}
