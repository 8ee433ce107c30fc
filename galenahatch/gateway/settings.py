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

"""Settings of a gateway process, independent of the file format.

The platform that writes the settings file defines its format. An adapter
decodes it into these types and reports each invalid field. Sizes are in bytes
and durations in seconds.
"""

import dataclasses

from galenahatch.core import quotas
from galenahatch import ids


@dataclasses.dataclass(frozen=True)
class Address:
    """IP address and port of a listening socket."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits that the deployment guarantees to its users.

    Attributes:
        drain: Time from the announcement that an upstream is leaving until it
            gets no new work.
        grace: Time from SIGTERM to SIGKILL.
        retry_ratio: Extra sends allowed per request of a service.
        retry_reserve: Further extra sends allowed in any window, for all VMs.
        retry_window: Length of that window.
        lease: Lifetime of the lease on orders, and the interval required
            between orders of two holders.
        contact: Time after a disruption of connections by which a gateway
            knows again what has changed.
        quota: Limits on the overshoot of customers' quotas.
    """

    drain: float = 2.0
    grace: float = 8.0
    retry_ratio: float = 0.2
    retry_reserve: float = 50.0
    retry_window: float = 10.0
    lease: float = 3.0
    contact: float = 3.0
    quota: quotas.Bound = quotas.Bound()


@dataclasses.dataclass(frozen=True)
class Features:
    """Features that a deployment asks for.

    Attributes:
        admission_control: Whether plain calls to a service that lacks
            capacity need a grant of the owner.
        flow_control: Whether the bytes held for slow callers and upstreams
            are limited.
        fair_queuing: Whether customers and priorities share contested engines
            also where no customer's weight is configured.
    """

    admission_control: bool = False
    flow_control: bool = False
    fair_queuing: bool = False


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings of one gateway process.

    Attributes:
        name: Name of the VM.
        address: IP address of the VM.
        data_centre: Data centre of the VM.
        front: Address for connections of callers.
        readiness: Address for readiness checks of the load balancer.
        peer_port: Port for connections of other gateways.
        proxy_port: Port for requests that this gateway proxies for others.
        store: Address of the platform's store.
        bounds: Limits that the deployment guarantees.
        heartbeat: Time between two writes of an upstream's entry to the store.
        features: Features that the deployment asks for.
        memory_bytes: Memory of the VM for this process; 0 if not stated.
        link_rate: Bytes per second that the VM's link carries in each
            direction; 0 if not stated.
        max_row_bytes: Bytes of a row that the store takes.
    """

    name: str
    address: str
    data_centre: ids.DataCentre
    front: Address
    readiness: Address
    peer_port: int
    proxy_port: int
    store: Address
    bounds: Bounds
    heartbeat: float
    features: Features = Features()
    memory_bytes: int = 0
    link_rate: float = 0.0
    max_row_bytes: int = 65536

    def summary(self) -> list[tuple[str, str]]:
        """Return the settings that operators check, with their values."""
        rows = [
            (name, str(getattr(self, name)))
            for name in ('name', 'data_centre', 'front', 'readiness', 'store')
        ]
        features = dataclasses.asdict(self.features)
        rows += [
            (f'features.{name}', 'on' if is_on else 'off')
            for name, is_on in features.items()
        ]
        return rows
