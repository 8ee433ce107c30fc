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
"""Measures the utilization of this VM's link and processor.

All connections to callers, upstreams and other gateways count the bytes that
they write, as all of them share the link of the VM. What the platform's store
is sent isn't counted; it is little.
"""

import asyncio
import collections.abc
import resource
import typing

from galenahatch import clock
from galenahatch.core import overload
from galenahatch.gateway import instruments
from galenahatch import logs

_SEGMENT_BYTES: typing.Final = 52
"""Bytes of the headers that a network adds to what is written at once."""
_LAG_INTERVAL_S: typing.Final = 0.1
"""Seconds between two samples of the event loop's lateness."""
_LOG_INTERVAL_S: typing.Final = 1.0
"""Least seconds between two log lines on overload."""
_log = logs.Log('overload')


class Meter:
    """Counts the bytes that a process writes to its connections."""

    def __init__(self) -> None:
        self._total = 0

    @property
    def total(self) -> int:
        """Bytes written so far, with the headers of the network."""
        return self._total

    def add(self, size: int) -> None:
        """Count bytes that are written at once."""
        self._total += size + _SEGMENT_BYTES


class MeteredTransport:
    """Transport that counts what is written to it.

    Args:
        transport: The actual transport.
        meter: Counter of the bytes.
    """

    __slots__ = ('_add', '_transport', 'is_closing')

    def __init__(self, transport: asyncio.BaseTransport, meter: Meter) -> None:
        self._transport: typing.Any = transport
        self._add = meter.add
        self.is_closing = transport.is_closing

    def __getattr__(self, name: str) -> typing.Any:
        """Return an attribute of the actual transport."""
        return getattr(self._transport, name)

    def write(self, data: collections.abc.Sized) -> None:
        """Write bytes."""
        self._add(len(data))
        self._transport.write(data)

    def writelines(
        self, chunks: collections.abc.Iterable[collections.abc.Sized]
    ) -> None:
        """Write several chunks of bytes."""
        data = list(chunks)
        self._add(sum(map(len, data)))
        self._transport.writelines(data)


class OverloadManager:
    """Measures how much of this VM's capacity is used.

    Args:
        link_rate: Bytes per second that the link carries; 0 if unknown.
        memory_bytes: Memory of the VM; 0 if unknown.

    Attributes:
        meter: Counts what this process writes.
    """

    def __init__(self, link_rate: float, memory_bytes: int) -> None:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        limits = overload.Limits(link_rate, memory_bytes, descriptors)
        self._overload = overload.Overload(limits)
        self.meter = Meter()
        self._stage = overload.Stage.NORMAL
        self._logged_at = 0.0
        instruments.register_gauge(instruments.UTILIZATION, self._utilizations)

    def _utilizations(self) -> dict[str, float]:
        self._update()
        return {
            key.value: value
            for key, value in self._overload.utilizations.items()
        }

    def _update(self) -> overload.Stage:
        """Return the current stage; log it if it has changed."""
        now = clock.now()
        self._overload.record_written(self.meter.total, now)
        stage = self._overload.stage
        is_due = now - self._logged_at >= _LOG_INTERVAL_S
        if stage is not self._stage and is_due:
            self._stage, self._logged_at = stage, now
            self._log_stage(stage)
        return stage

    def _log_stage(self, stage: overload.Stage) -> None:
        utilizations = self._overload.utilizations
        bottleneck = self._overload.bottleneck
        _log.warning(
            'Load stage changed.',
            stage=stage.value,
            resource=bottleneck.value,
            utilization=utilizations[bottleneck],
            link_rate=self._overload.link_rate,
            link_delay=self._overload.link_delay,
        )

    async def run(self) -> None:
        """Sample the lateness of the event loop."""
        while True:
            began_at = clock.now()
            await asyncio.sleep(_LAG_INTERVAL_S)
            lag = clock.now() - began_at - _LAG_INTERVAL_S
            self._overload.record_lag(lag)
            instruments.event_loop_lag_seconds.record(lag)
            self._update()
