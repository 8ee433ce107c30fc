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
"""Sheds callers while this VM is overloaded.

All connections to callers, upstreams and other gateways count the bytes that
they carry, as all of them share the link of the VM. Messages between gateways
and what the store is sent aren't counted; they are little, and the time of
new connections shows whatever is on the link.
"""

import asyncio
import collections.abc
import random
import resource
import typing

from galenahatch import clock
from galenahatch.core import members as members_module
from galenahatch.core import overload
from galenahatch.gateway import instruments
from galenahatch.gateway import settings as settings_module
from galenahatch import ids
from galenahatch import logs
from galenahatch import tasks

_SEGMENT_BYTES: typing.Final = 52
"""Bytes of the headers that a network adds to what is written at once."""
_LAG_INTERVAL_S: typing.Final = 0.1
"""Seconds between two samples of the event loop's lateness."""
_MEMBERS_INTERVAL_S: typing.Final = 1.0
"""Seconds between two looks at the other gateways."""
_LOG_INTERVAL_S: typing.Final = 1.0
"""Least seconds between two log lines on overload."""
_log = logs.Log('overload')


def _ignore(address: str, seconds: float) -> None:
    """Do nothing with the time of a connection."""


class Meter:
    """Counts what a process writes and reads, and times new connections.

    Args:
        on_connect: Called with the address of a new connection, and the
            seconds that it took.

    Attributes:
        connections: Number of open connections of callers and gateways.
    """

    def __init__(
        self,
        on_connect: collections.abc.Callable[[str, float], None] = _ignore,
    ) -> None:
        self._written = 0
        self._read = 0
        self.on_connect = on_connect
        self.connections = 0

    @property
    def written(self) -> int:
        """Bytes written so far, with the headers of the network."""
        return self._written

    @property
    def read(self) -> int:
        """Bytes read so far, with the headers of the network."""
        return self._read

    def count_written(self, size: int) -> None:
        """Count bytes that are written at once."""
        self._written += size + _SEGMENT_BYTES

    def count_read(self, size: int) -> None:
        """Count bytes that are read at once."""
        self._read += size + _SEGMENT_BYTES


class MeteredTransport:
    """Transport that counts what is written to it.

    Args:
        transport: The actual transport.
        meter: Counter of the bytes.
    """

    __slots__ = ('_count', '_transport', 'is_closing')

    def __init__(self, transport: asyncio.BaseTransport, meter: Meter) -> None:
        self._transport: typing.Any = transport
        self._count = meter.count_written
        self.is_closing = transport.is_closing

    def __getattr__(self, name: str) -> typing.Any:
        """Return an attribute of the actual transport."""
        return getattr(self._transport, name)

    def write(self, data: collections.abc.Sized) -> None:
        """Write bytes."""
        self._count(len(data))
        self._transport.write(data)

    def writelines(
        self, chunks: collections.abc.Iterable[collections.abc.Sized]
    ) -> None:
        """Write several chunks of bytes."""
        data = list(chunks)
        self._count(sum(map(len, data)))
        self._transport.writelines(data)


class OverloadManager:
    """Decides how callers are treated while this VM is overloaded.

    Args:
        settings: Settings of this process.
        random_source: Chooses the callers that reconnect.

    Attributes:
        meter: Counts what this process writes and reads.
    """

    def __init__(
        self, settings: settings_module.Settings, random_source: random.Random
    ) -> None:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        limits = overload.Limits(
            settings.link_rate, settings.memory_bytes, descriptors
        )
        self._overload = overload.Overload(limits)
        self._random = random_source
        self._stage = overload.Stage.NORMAL
        self._logged_at = 0.0
        self._refused = 0
        self.meter = Meter(self._record_connect)
        instruments.register_gauge(instruments.UTILIZATION, self._utilizations)

    def _utilizations(self) -> dict[str, float]:
        self._update()
        return {
            key.value: value
            for key, value in self._overload.utilizations.items()
        }

    def _record_connect(self, address: str, seconds: float) -> None:
        self._overload.record_connect(address, seconds, clock.now())

    def _update(self) -> overload.Overload:
        """Return the current state; log its stage if it has changed."""
        now = clock.now()
        meter = self.meter
        self._overload.update(
            meter.written, meter.read, meter.connections, now
        )
        stage = self._overload.stage
        is_due = now - self._logged_at >= _LOG_INTERVAL_S
        if stage is not self._stage and is_due:
            self._stage, self._logged_at = stage, now
            self._log_stage(stage)
        return self._overload

    def _log_stage(self, stage: overload.Stage) -> None:
        bottleneck, utilization = self._overload.bottleneck
        _log.warning(
            'Load stage changed.',
            stage=stage.value,
            resource=bottleneck.value,
            utilization=utilization,
            link_rate=self._overload.link_rate,
            link_delay=self._overload.link_delay,
            refused=self._refused,
        )

    def start(
        self,
        members: members_module.Members,
        me: ids.MemberId,
        background: tasks.Tasks,
    ) -> None:
        """Connect to the other components and start to sample.

        Args:
            members: All gateways.
            me: This gateway.
            background: Runner of background tasks.
        """
        background.run_forever('overload', self._sample_lag)
        background.run_forever(
            'alternatives', lambda: self._follow(members, me)
        )

    async def _follow(
        self, members: members_module.Members, me: ids.MemberId
    ) -> None:
        """Keep track of the other gateways."""
        while True:
            self._overload.record_alternatives(_alternatives(members, me))
            await asyncio.sleep(_MEMBERS_INTERVAL_S)

    async def _sample_lag(self) -> None:
        """Sample the lateness of the event loop."""
        while True:
            began_at = clock.now()
            await asyncio.sleep(_LAG_INTERVAL_S)
            lag = max(0.0, clock.now() - began_at - _LAG_INTERVAL_S)
            self._overload.record_lag(lag)
            instruments.event_loop_lag_seconds.record(lag)
            self._update()

    @property
    def is_in_rotation(self) -> bool:
        """Whether the load balancer should send new connections."""
        return self._update().is_in_rotation

    @property
    def should_reconnect(self) -> bool:
        """Whether the caller that is answered is asked to reconnect."""
        share = self._update().reconnect_share
        return share > 0 and self._random.random() < share

    def admits(self) -> bool:
        """Return whether to accept a new connection of a caller."""
        if self._update().admit(clock.now()):
            return True
        self._refused += 1
        bottleneck, _ = self._overload.bottleneck
        instruments.connections_refused.add(1, {'resource': bottleneck.value})
        return False


def _alternatives(
    members: members_module.Members, me: ids.MemberId
) -> overload.Alternatives:
    """Return which other gateways callers reach."""
    own = members.by_name.get(me)
    others = [member for name, member in members.by_name.items() if name != me]
    if not others or own is None:
        return overload.Alternatives.NONE
    if any(member.data_centre == own.data_centre for member in others):
        return overload.Alternatives.NEARBY
    return overload.Alternatives.REMOTE
