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

"""Orders to engines: from what is declared and what is read back.

Orders are declarative: one says what an engine should run, not what to do.
So an order that arrives late, twice or from a holder that lost its lease
is put right by the next reading, also on engines that ignore fencing.
"""

import collections.abc

import msgspec

from galenahatch import ids
from galenahatch import schema


class Order(msgspec.Struct, frozen=True):
    """What an engine should run."""

    model: str
    adapter: str
    version: str
    role: str


class PlannedOrder(msgspec.Struct, frozen=True):
    """An order to send to one engine, and why."""

    engine: ids.EngineName
    order: Order
    why: str


def desired_orders(
    settings: schema.Config,
) -> dict[ids.EngineName, Order]:
    """Return what each engine should run."""
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
    wanted: collections.abc.Mapping[ids.EngineName, Order],
    observed: collections.abc.Mapping[ids.EngineName, Order],
) -> list[PlannedOrder]:
    """Return the orders that bring engines to what is wanted.

    Engines that could not be read are left alone until they can be.
    """
    sends = []
    for engine, order in sorted(wanted.items()):
        seen = observed.get(engine)
        if seen is None or seen == order:
            continue
        changed = [
            name
            for name in ('model', 'adapter', 'version', 'role')
            if getattr(seen, name) != getattr(order, name)
        ]
        sends.append(
            PlannedOrder(engine, order, 'differs in ' + ', '.join(changed))
        )
    return sends
