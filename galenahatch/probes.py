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

"""Task that polls the load of the engines that this scheduler owns."""

import asyncio
import collections.abc
import typing

import aiohttp

from galenahatch import cancelling
from galenahatch.core import leaving as leaving_module
from galenahatch import errors
from galenahatch import ids
from galenahatch import placementevents
from galenahatch import schema
from galenahatch.upstream import engine as engine_client

_MAX_CONCURRENT_READS: typing.Final = 32


class LoadPoller:
    """Polls load reports and cache events.

    Args:
        client: HTTP session for engines.
        on_report: callback for each report.
        leaving: record of the engines that report that they are leaving.
    """

    def __init__(
        self,
        client: aiohttp.ClientSession,
        on_report: collections.abc.Callable[
            [placementevents.PlacementEvent], None
        ],
        leaving: leaving_module.LeavingUpstreams,
    ) -> None:
        self._client = client
        self._on_report = on_report
        self._leaving_upstreams = leaving
        self._last_event_numbers: dict[ids.EngineName, int] = {}
        self._incarnations: dict[ids.EngineName, int] = {}
        self._slots = asyncio.Semaphore(_MAX_CONCURRENT_READS)

    async def read(
        self, engines: collections.abc.Iterable[schema.Engine]
    ) -> None:
        """Read the load of engines concurrently."""
        await asyncio.gather(*(self._read_one(e) for e in engines))

    async def _read_one(self, engine: schema.Engine) -> None:
        async with self._slots:
            load = await engine_client.fetch_load(
                self._client,
                cancelling.url_of(engine),
                self._last_event_numbers.get(engine.name, -1),
            )
        if isinstance(load, errors.Failure):
            return
        if self._incarnations.get(engine.name) != load.incarnation:
            self._incarnations[engine.name] = load.incarnation
            self._last_event_numbers[engine.name] = -1
        if load.events:
            self._last_event_numbers[engine.name] = load.events[-1].number
        self._leaving_upstreams.record_report(
            engine.name, load.incarnation, load.sequence, load.leaving
        )
        self._on_report(placementevents.EngineReport(engine.name, load))
