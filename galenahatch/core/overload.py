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
"""Decides when a VM has more work than one of its resources carries.

Three resources may be the narrow one. The link: what is written is counted
and compared with its stated rate; a queue on the link delays whatever crosses
it, also what was accepted long before. The processor: the event loop runs
late. Memory and descriptors: each open connection takes some of both.

Times are monotonic seconds and sizes are bytes; this module does no I/O.
"""

import collections
import dataclasses
import enum
import math
import typing

_RATE_WINDOW_S: typing.Final = 0.25
"""Time constant of the average rate on the link."""
_LINK_SHARE: typing.Final = 0.85
"""Share of the link's rate above which the VM is overloaded: close to its
rate, each burst builds a queue."""
_MAX_LINK_DELAY_S: typing.Final = 0.05
"""Delay by a queue on the link above which the VM is overloaded."""
_MAX_LAG_S: typing.Final = 0.05
"""Lateness of the event loop above which the VM is overloaded."""
_LAG_SAMPLES: typing.Final = 3
"""Successive samples that must all be late: one alone is a pause, which has
ended once it is seen."""
_PRESSURE: typing.Final = 0.7
"""Utilization, relative to overload, from which callers reconnect."""
_CONNECTION_BYTES: typing.Final = 64 * 1024
"""Memory for a connection, with its request and its buffers."""
_CONNECTION_DESCRIPTORS: typing.Final = 2
"""Descriptors for a connection and its request to an upstream."""
_SHARE_FOR_CONNECTIONS: typing.Final = 0.5
"""Share of memory and descriptors that callers' connections may take."""


class Resource(enum.Enum):
    """A resource of a VM."""

    LINK = 'link'
    EVENT_LOOP = 'event_loop'
    CONNECTIONS = 'connections'


class Stage(enum.Enum):
    """How a VM treats its callers.

    Attributes:
        NORMAL: All connections are accepted and kept.
        PRESSURE: Callers reconnect after each answer.
        OVERLOAD: New connections are refused as well.
    """

    NORMAL = 'normal'
    PRESSURE = 'pressure'
    OVERLOAD = 'overload'


@dataclasses.dataclass(frozen=True)
class Limits:
    """Capacity of a VM; 0 if it isn't stated.

    Attributes:
        link_rate: Bytes per second that the link carries in each direction.
        memory: Memory of the process in bytes.
        descriptors: Number of descriptors of the process.
    """

    link_rate: float = 0.0
    memory: int = 0
    descriptors: int = 0

    @property
    def connections(self) -> float:
        """Callers' connections that memory and descriptors suffice for."""
        by_memory = self.memory / _CONNECTION_BYTES or math.inf
        by_descriptors = self.descriptors / _CONNECTION_DESCRIPTORS or math.inf
        return _SHARE_FOR_CONNECTIONS * min(by_memory, by_descriptors)


class _Link:
    """Rate on a link, and the queue that a link of its rate would have."""

    def __init__(self, capacity: float) -> None:
        self._capacity = capacity
        self._updated_at = 0.0
        self._total = 0
        self._rate = 0.0
        self._backlog = 0.0

    @property
    def rate(self) -> float:
        """Average bytes per second of late."""
        return self._rate

    @property
    def delay(self) -> float:
        """Seconds that what is written now waits in the queue."""
        return self._backlog / self._capacity if self._capacity else 0.0

    @property
    def utilization(self) -> float:
        """Utilization; 1 is the most at which the link is no obstacle."""
        if not self._capacity:
            return 0.0
        share = self._rate / self._capacity / _LINK_SHARE
        return max(share, self.delay / _MAX_LINK_DELAY_S)

    def record(self, total: int, now: float) -> None:
        """Record the bytes written since the process started."""
        seconds = max(0.0, now - self._updated_at)
        sent = total - self._total
        self._updated_at, self._total = now, total
        decay = math.exp(-seconds / _RATE_WINDOW_S)
        self._rate = self._rate * decay + sent / _RATE_WINDOW_S
        carried = self._capacity * seconds
        self._backlog = max(0.0, self._backlog + sent - carried)


class Overload:
    """Utilization of one VM's resources.

    Args:
        limits: Capacity of the VM.
    """

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._link = _Link(limits.link_rate)
        self._lags: collections.deque[float] = collections.deque(
            maxlen=_LAG_SAMPLES
        )
        self._connections = 0

    @property
    def link_rate(self) -> float:
        """Bytes per second written of late."""
        return self._link.rate

    @property
    def link_delay(self) -> float:
        """Seconds that what is written now waits in the link's queue."""
        return self._link.delay

    @property
    def utilizations(self) -> dict[Resource, float]:
        """Utilization of each resource; 1 is where overload begins."""
        lag = min(self._lags) if len(self._lags) == _LAG_SAMPLES else 0.0
        return {
            Resource.LINK: self._link.utilization,
            Resource.EVENT_LOOP: lag / _MAX_LAG_S,
            Resource.CONNECTIONS: self._connections / self._limits.connections,
        }

    @property
    def bottleneck(self) -> Resource:
        """The resource with the highest utilization."""
        utilizations = self.utilizations
        return max(utilizations, key=lambda resource: utilizations[resource])

    @property
    def stage(self) -> Stage:
        """How callers are treated now."""
        utilization = max(self.utilizations.values())
        if utilization >= 1:
            return Stage.OVERLOAD
        return Stage.PRESSURE if utilization >= _PRESSURE else Stage.NORMAL

    def record_written(self, total: int, now: float) -> None:
        """Record the bytes written since the process started."""
        self._link.record(total, now)

    def record_lag(self, seconds: float) -> None:
        """Record the lateness of a timer of the event loop."""
        self._lags.append(seconds)

    def record_connections(self, count: int) -> None:
        """Record the number of callers' open connections."""
        self._connections = count
