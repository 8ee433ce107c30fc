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

"""What operators configure: routes, services, customers and limits.

A route is found by host and longest prefix. Prefixes begin and end with a
slash, so the table is looked up once for each slash of a path, from the
longest candidate down: the cost depends on the path and not on the number
of routes.
"""

import dataclasses
import enum
import random
import typing

from galenahatch.core import customers as customers_module
from galenahatch import ids


class Kind(enum.Enum):
    """What may be done with a request of a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@dataclasses.dataclass(frozen=True)
class Target:
    """A service that a route goes to, with its share of the requests."""

    service: ids.ServiceName
    weight: int


@dataclasses.dataclass(frozen=True)
class Route:
    """One route; times are seconds.

    Attributes:
        prefix: begins and ends with a slash.
        timeout: longest time that a caller is kept waiting.
        objective: time to the answer, or to the first event of a stream,
            that operators aim at.
        priority: 0 is the most urgent.
        max_attempts: engines to which one request may be sent.
        resumable: whether a stream may be resumed at an event id.
        generative: whether requests carry a prompt for a model.
        longest_pause: pause between events that still counts as in time.
        anonymous: whether it takes callers without a key.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    timeout: float
    latency_objective: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int
    resumable: bool = False
    generative: bool = False
    max_event_gap: float = 1.0
    allows_anonymous: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is Kind.IDEMPOTENT or self.resumable


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """What all model engines of a service have in common.

    Attributes:
        slots: requests that run at once.
        kv_tokens: tokens that fit into the memory for KV cache.
        handle_ttl: seconds for which a finished prefill is kept.
        switch: seconds that a change of stage takes.
        stride: tokens in one event of a stream.
    """

    slots: int
    kv_tokens: int
    handle_ttl: float
    switch_time: float
    event_tokens: int


@dataclasses.dataclass(frozen=True)
class Service:
    """One service behind routes.

    Attributes:
        max_connections: that one upstream takes from all VMs together.
        engine: for services that serve models.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclasses.dataclass(frozen=True)
class Limits:
    """What a caller may send, and how long it may take; bytes, seconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One accepted configuration, whole.

    Attributes:
        customers: None where callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ids.ServiceName, Service]
    limits: Limits
    customers: customers_module.Customers | None = None


class RouteTable:
    """Finds the route of a request.

    Args:
        routes: of one configuration.
    """

    def __init__(self, routes: typing.Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a request.

        Args:
            host: value of the Host header; a port is ignored.
            target: path, with or without a query.
        """
        prefixes = self._by_host.get(host.partition(':')[0].lower())
        if prefixes is None:
            return None
        path = target.partition('?')[0]
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


def pick_service(
    route: Route, random_source: random.Random
) -> ids.ServiceName:
    """Return the service for one request, by the weights of the route."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return random_source.choices(route.targets, weights)[0].service
