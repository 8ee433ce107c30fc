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

"""The time that a stopping gateway gives to the load balancer."""

import asyncio
import typing

from galenahatch import clock

BALANCER_DRAIN_S: typing.Final = 2.6
"""Minimum seconds for which a stopping gateway accepts new connections, unless
it must exit sooner, and the seconds after which it rejects all new streams.
The load balancer checks readiness once a second and stops using a gateway
after two negative answers; the rest is a margin."""
NO_NEW_CALLERS_S: typing.Final = 1.0
"""Seconds before the exit from which new connections are refused. Requests
already received are answered, or rejected if they would take too long."""
IDLE_CHECK_INTERVAL_S: typing.Final = 0.05
"""Seconds between two checks whether the gateway may exit."""
_MAX_COUNTED_CHECK_S: typing.Final = 2 * IDLE_CHECK_INTERVAL_S
"""Upper limit on the seconds counted for one check interval. Time beyond it is
taken as time in which the process was suspended."""


async def wait_for_balancer(exit_at: float) -> None:
    """Accept callers until the load balancer has stopped sending them.

    Time in which the process was suspended is not counted, since the
    balancer's readiness checks were not answered then. New streams are
    nevertheless rejected from a fixed time on (`HttpFrontend.drain`),
    since the rejection sends their callers to another gateway.
    """
    remaining = BALANCER_DRAIN_S
    while remaining > 0 and clock.now() < exit_at - NO_NEW_CALLERS_S:
        checked_at = clock.now()
        await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
        remaining -= min(clock.now() - checked_at, _MAX_COUNTED_CHECK_S)
