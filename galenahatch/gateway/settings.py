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

"""Settings of one gateway process, whatever file they come from.

The file's format belongs to the platform that writes it; an adapter decodes
it into this type and reports each wrong field. Sizes are bytes and times
seconds.
"""

import dataclasses

from galenahatch.core import quotas
from galenahatch import ids


@dataclasses.dataclass(frozen=True)
class Address:
    """Where something listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True)
class Bounds:
    """What the deployment promises to its users.

    Attributes:
        drain: after the news that an upstream leaves, the time until no new
            work reaches it.
        grace: from SIGTERM to SIGKILL.
        retry_ratio: extra sends for each request of a service.
        retry_reserve: extra sends in any window, over all VMs.
        retry_window: length of that window.
        lease: life of the lease on orders.
        quota: of what a customer may use.
    """

    drain: float = 2.0
    grace: float = 8.0
    retry_ratio: float = 0.2
    retry_reserve: float = 50.0
    retry_window: float = 10.0
    lease: float = 3.0
    quota: quotas.Bound = quotas.Bound()


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings of one process.

    Attributes:
        name: of the VM.
        front: where callers connect.
        readiness: where the balancer asks whether to send callers here.
        peer_port: where other gateways connect.
        store: the platform's store.
        heartbeat: between two writes of an upstream's entry there.
    """

    name: str
    address: str
    data_centre: ids.DataCentre
    front: Address
    readiness: Address
    peer_port: int
    store: Address
    bounds: Bounds
    heartbeat: float
