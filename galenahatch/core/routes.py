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

"""Configuration by operators: routes, services, customers and limits.

Routes are matched by host and longest prefix. Prefixes begin and end with a
slash, so a lookup tries one prefix per slash in the path, longest first. Its
cost depends on the path, not on the number of routes.
"""

import dataclasses
import enum
import random
import typing

from galenahatch.core import customers as customers_module
from galenahatch import ids


class Kind(enum.Enum):
    """Kind of a route's requests, which determines how they may be retried."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@dataclasses.dataclass(frozen=True)
class Target:
    """Target service of a route, with its weight."""

    service: ids.ServiceName
    weight: int


@dataclasses.dataclass(frozen=True)
class Route:
    """Route with its limits; times are seconds.

    Attributes:
        prefix: Path prefix, which begins and ends with a slash.
        timeout: Maximum time that a caller waits.
        latency_objective: Target time to the response, or to the first event
            of a stream.
        priority: Priority; 0 is the most urgent.
        max_attempts: Maximum number of engines that one request is sent to.
        resumable: Whether a stream may be resumed at an event ID.
        generative: Whether requests carry a prompt for a model.
        max_event_gap: Maximum time between events that counts as on time.
        allows_anonymous: Whether callers without a key are allowed.
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
    """Specification shared by all model engines of a service.

    Attributes:
        slots: Maximum number of concurrent requests.
        kv_tokens: Capacity of the KV cache in tokens.
        handle_ttl: Seconds for which a finished prefill is retained.
        switch_time: Seconds that a change of stage takes.
        event_tokens: Number of tokens in one stream event.
    """

    slots: int
    kv_tokens: int
    handle_ttl: float
    switch_time: float
    event_tokens: int


@dataclasses.dataclass(frozen=True)
class Service:
    """Service that routes forward to.

    Attributes:
        max_connections: Maximum connections from all VMs to one upstream.
        engine: Engine specification, for services that serve models.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits on the size (bytes) and duration (seconds) of requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """Complete accepted configuration.

    Attributes:
        customers: Customers; None if callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ids.ServiceName, Service]
    limits: Limits
    customers: customers_module.Customers | None = None

    @property
    def customer_weights(
        self,
    ) -> typing.Mapping[ids.CustomerName, float] | None:
        """Weights of the customers; None if callers need no key."""
        return None if self.customers is None else self.customers.weights

    def fair_queuing_weights(
        self, is_enabled: bool
    ) -> typing.Mapping[ids.CustomerName, float] | None:
        """Return the weights by which customers share engines.

        Args:
            is_enabled: Whether they share also without explicit weights.

        Returns:
            Weights of the customers; None if requests keep their order.
        """
        customers = self.customers
        if customers is None:
            return None
        if not is_enabled and not customers.has_explicit_weights:
            return None
        return customers.weights


class RouteTable:
    """Lookup table for the route of a request.

    Args:
        routes: Routes of one configuration.
    """

    def __init__(self, routes: typing.Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a request, or None.

        Args:
            host: Value of the Host header; a port is ignored.
            target: Path, with or without a query.
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
    """Pick the service for a request by the weights of its route."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return random_source.choices(route.targets, weights)[0].service
