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

"""Orders to engines, planned from declared and observed state.

Orders are declarative: they state what an engine should run, not what to do.
An order that arrives late, twice or from a former lease holder is therefore
corrected after the next read, even on engines that ignore fencing.
"""

import collections.abc

import msgspec

from galenahatch import ids
from galenahatch import schema


class Order(msgspec.Struct, frozen=True):
    """Declaration of what an engine should run."""

    model: str
    adapter: str
    version: str
    role: str


class PlannedOrder(msgspec.Struct, frozen=True):
    """Order to send to one engine, with its reason."""

    engine: ids.EngineName
    order: Order
    why: str


def desired_orders(
    settings: schema.Config,
) -> dict[ids.EngineName, Order]:
    """Return the declared order of each engine."""
    services = {service.name: service for service in settings.services}
    return {
        engine.name: Order(
            model=services[engine.service].model,
            adapter=services[engine.service].adapter,
            version=services[engine.service].version,
            role=engine.role,
        )
        for engine in settings.engines
        if engine.service in services
    }


def plan_orders(
    desired: collections.abc.Mapping[ids.EngineName, Order],
    observed: collections.abc.Mapping[ids.EngineName, Order],
) -> list[PlannedOrder]:
    """Return the orders that bring engines to their desired state.

    Engines whose state could not be read get no order until it can be.
    """
    planned = []
    for engine, order in sorted(desired.items()):
        current = observed.get(engine)
        if current is None or current == order:
            continue
        differing = [
            name
            for name in ('model', 'adapter', 'version', 'role')
            if getattr(current, name) != getattr(order, name)
        ]
        planned.append(
            PlannedOrder(engine, order, 'differs in ' + ', '.join(differing))
        )
    return planned
