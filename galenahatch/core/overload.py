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

Three resources may be the narrow one. The link: what is written and read is
counted and compared with its stated rate, and the time of new connections
shows the queue on it, whatever its rate. The processor: the event loop runs
late. Memory and descriptors: each open connection takes some of both.

Load is shed in steps, as far as other VMs can take it. Under pressure, the VM
asks the load balancer for no new connections, and a share of the callers to
reconnect, which grows with the utilization: so load moves to other VMs
gradually, and stays here if all of them are alike. Under overload, new
connections are refused before anything is read from them, so that their
requests may be sent to another VM of the data centre; a few are accepted in
any case, since a VM that accepts none counts as failed.

Times are monotonic seconds and sizes are bytes; this module does no I/O.
"""

import collections
import dataclasses
import enum
import math
import typing

_RATE_WINDOW_S: typing.Final = 0.5
"""Time constant of the average rate on the link."""
_LINK_SHARE: typing.Final = 0.85
"""Share of the link's rate that is used without a queue, as work is bursty."""
_MAX_LINK_DELAY_S: typing.Final = 0.05
"""Delay by a queue on the link that callers may see."""
_MAX_LAG_S: typing.Final = 0.1
"""Lateness of the event loop that callers may see."""
_LAG_SAMPLES: typing.Final = 3
"""Successive samples that must all be late: one alone is a pause, which has
ended once it is seen."""
_CONNECT_WINDOW_S: typing.Final = 0.5
_MIN_CONNECTS: typing.Final = 4
_MIN_UPSTREAMS: typing.Final = 2
"""Connections of the last `_CONNECT_WINDOW_S` seconds, and upstreams that they
lead to, which must all have been slow: a queue here delays each of them, a
slow upstream only its own."""
_BASE_CONNECT_WINDOW_S: typing.Final = 60.0
"""Time for which the fastest connection is remembered, or longer if the link
is busy: then none may show how fast connections are without a queue."""
_CONNECTION_BYTES: typing.Final = 64 * 1024
"""Memory for a connection, with its request and its buffers."""
_CONNECTION_DESCRIPTORS: typing.Final = 2
"""Descriptors for a connection and its request to an upstream."""
_SHARE_FOR_CONNECTIONS: typing.Final = 0.5
"""Share of memory and descriptors that callers' connections may take."""

_REFUSE: typing.Final = 1.5
"""Utilization from which new connections are refused."""
_RELIEVED: typing.Final = 0.85
_RELIEVED_S: typing.Final = 0.5
"""Utilization below which, and time after which, a VM takes new connections
again."""
_RECONNECT_FROM: typing.Final = 0.95
_RECONNECT_ALL: typing.Final = 1.55
"""Utilizations between which the share of callers that are asked to reconnect
grows from none to all."""
_MAX_REFUSAL_S: typing.Final = 0.5
"""Time after which a connection is accepted in any case."""


class Resource(enum.Enum):
    """A resource of a VM."""

    LINK = 'link'
    EVENT_LOOP = 'event_loop'
    CONNECTIONS = 'connections'


class Alternatives(enum.Enum):
    """Other VMs that callers reach when this one turns them away.

    Attributes:
        NONE: None, so that turning callers away only makes them come back.
        REMOTE: VMs of other data centres, once the load balancer has stopped
            using this one.
        NEARBY: VMs of the same data centre, at the next attempt.
    """

    NONE = 'none'
    REMOTE = 'remote'
    NEARBY = 'nearby'


class Stage(enum.Enum):
    """How a VM treats its callers.

    Attributes:
        NORMAL: All connections are accepted and kept.
        PRESSURE: No new connections are asked for, and a share of the callers
            reconnects.
        OVERLOAD: Most new connections are refused as well.
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


class _Rate:
    """Average rate of what is written, or of what is read."""

    def __init__(self) -> None:
        self._updated_at = 0.0
        self._total = 0
        self.value = 0.0

    def record(self, total: int, now: float) -> None:
        """Record the bytes counted since the process started."""
        decay = math.exp(-max(0.0, now - self._updated_at) / _RATE_WINDOW_S)
        sent = total - self._total
        self._updated_at, self._total = now, total
        self.value = self.value * decay + sent / _RATE_WINDOW_S


class _Queue:
    """Delay of new connections, compared with the fastest one of late."""

    def __init__(self) -> None:
        self._recent: collections.deque[tuple[float, float, str]] = (
            collections.deque()
        )
        self._base = math.inf
        self._base_at = 0.0

    def record(
        self, address: str, seconds: float, now: float, is_busy: bool
    ) -> None:
        """Record the time that a connection took to be established."""
        self._recent.append((now, seconds, address))
        is_old = now - self._base_at > _BASE_CONNECT_WINDOW_S
        if seconds <= self._base or (is_old and not is_busy):
            self._base, self._base_at = seconds, now

    def delay(self, now: float) -> float:
        """Return the seconds by which all recent connections were delayed."""
        while self._recent and self._recent[0][0] < now - _CONNECT_WINDOW_S:
            self._recent.popleft()
        if len(self._recent) < _MIN_CONNECTS:
            return 0.0
        if len({address for _, _, address in self._recent}) < _MIN_UPSTREAMS:
            return 0.0
        return min(seconds for _, seconds, _ in self._recent) - self._base


class Overload:
    """Utilization of one VM's resources, and how its callers are treated.

    Args:
        limits: Capacity of the VM.
    """

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._written, self._read = _Rate(), _Rate()
        self._queue = _Queue()
        self._link_delay = 0.0
        self._lags: collections.deque[float] = collections.deque(
            maxlen=_LAG_SAMPLES
        )
        self._utilizations = dict.fromkeys(Resource, 0.0)
        self._accepted_at = -math.inf
        self._used_at = -math.inf
        self._is_in_rotation = True
        self._alternatives = Alternatives.NONE

    @property
    def link_rate(self) -> float:
        """Bytes per second of late, in the direction with more of them."""
        return max(self._written.value, self._read.value)

    @property
    def link_delay(self) -> float:
        """Seconds by which a queue on the link delays new connections."""
        return self._link_delay

    @property
    def utilizations(self) -> dict[Resource, float]:
        """Utilization of each resource; above 1, callers notice."""
        return self._utilizations

    @property
    def _link_share(self) -> float:
        """Share of the link's capacity that is used; 0 if it isn't stated."""
        capacity = _LINK_SHARE * self._limits.link_rate
        return self.link_rate / capacity if capacity else 0.0

    @property
    def bottleneck(self) -> tuple[Resource, float]:
        """The resource with the highest utilization, and its utilization."""
        return max(self._utilizations.items(), key=lambda item: item[1])

    @property
    def stage(self) -> Stage:
        """How callers are treated now."""
        _, utilization = self.bottleneck
        is_nearby = self._alternatives is Alternatives.NEARBY
        if utilization >= _REFUSE and is_nearby:
            return Stage.OVERLOAD
        return Stage.NORMAL if self._is_in_rotation else Stage.PRESSURE

    @property
    def is_in_rotation(self) -> bool:
        """Whether the load balancer should send new connections."""
        return self._is_in_rotation

    @property
    def reconnect_share(self) -> float:
        """Share of the callers that are asked to reconnect."""
        if self._is_in_rotation:
            return 0.0
        _, utilization = self.bottleneck
        step = _RECONNECT_ALL - _RECONNECT_FROM
        return min(1.0, max(0.0, (utilization - _RECONNECT_FROM) / step))

    def update(
        self, written: int, read: int, connections: int, now: float
    ) -> None:
        """Record the present use.

        Args:
            written: Bytes written since the process started.
            read: Bytes read since the process started.
            connections: Number of callers' open connections.
            now: Time of these figures.
        """
        self._written.record(written, now)
        self._read.record(read, now)
        self._link_delay = self._queue.delay(now)
        lag = min(self._lags) if len(self._lags) == _LAG_SAMPLES else 0.0
        self._utilizations = {
            Resource.LINK: max(
                self._link_share, self._link_delay / _MAX_LINK_DELAY_S
            ),
            Resource.EVENT_LOOP: lag / _MAX_LAG_S,
            Resource.CONNECTIONS: connections / self._limits.connections,
        }
        self._update_rotation(now)

    def _update_rotation(self, now: float) -> None:
        _, utilization = self.bottleneck
        if utilization >= 1 and self._alternatives is not Alternatives.NONE:
            self._is_in_rotation = False
        if utilization >= _RELIEVED:
            self._used_at = now
        elif now - self._used_at > _RELIEVED_S:
            self._is_in_rotation = True

    def record_alternatives(self, alternatives: Alternatives) -> None:
        """Record which other VMs callers reach."""
        self._alternatives = alternatives

    def record_lag(self, seconds: float) -> None:
        """Record the lateness of a timer of the event loop."""
        self._lags.append(seconds)

    def record_connect(self, address: str, seconds: float, now: float) -> None:
        """Record the time that a connection took to be established.

        Args:
            address: Address of the upstream.
            seconds: Time that it took.
            now: Time at which it was established.
        """
        is_busy = self._link_share >= _RELIEVED
        self._queue.record(address, seconds, now, is_busy)

    def admit(self, now: float) -> bool:
        """Return whether to accept a new connection, and record that."""
        is_due = now - self._accepted_at >= _MAX_REFUSAL_S
        if self.stage is Stage.OVERLOAD and not is_due:
            return False
        self._accepted_at = now
        return True
