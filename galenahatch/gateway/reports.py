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

"""Reads the reports of model engines, as long as this gateway decides."""

import asyncio
import typing

from galenahatch import clock
from galenahatch.core import dispatch
from galenahatch.core import incarnations
from galenahatch.core import ratelimits
from galenahatch import errors
from galenahatch.gateway import directory as directories
from galenahatch.gateway import mesh as meshes
from galenahatch.gateway import notices as notices_module
from galenahatch.gateway import owner as owners
from galenahatch.gateway import sender as senders
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import engines
from galenahatch import tasks

_REPORT_EVERY: typing.Final = 1.0
"""Seconds between two readings of an engine's report, which is itself up to
a second old and is paid for."""
_REPORT_TIMEOUT: typing.Final = 0.5
_log = logs.Log('reports')


class ReportPoller:
    """Keeps the owner's picture of the engines true.

    Args:
        directory: upstreams.
        mesh: tells who is the owner.
        owner: that is told.
        sender: for the calls.
        limiter: of upstreams, which count these calls too.
        notices: which upstreams want no calls now.
    """

    def __init__(
        self,
        directory: directories.Directory,
        mesh: meshes.Mesh,
        owner: owners.Owner,
        sender: senders.Sender,
        limiter: ratelimits.Limiter,
        notices: notices_module.Notices,
    ) -> None:
        self._notices = notices
        self._directory = directory
        self._mesh = mesh
        self._owner = owner
        self._sender = sender
        self._limiter = limiter

    def start(self, background: tasks.Tasks) -> None:
        """Start to read."""
        background.keep('reports', self._forever)

    async def _forever(self) -> None:
        while True:
            await asyncio.sleep(_REPORT_EVERY)
            if self._mesh.owner() != self._mesh.me:
                continue
            for service, dispatcher in list(self._owner.dispatchers.items()):
                await self._read_service(service, dispatcher)
            self._owner.refresh_engines()

    async def _read_service(
        self, service: ids.ServiceName, dispatcher: dispatch.Dispatcher
    ) -> None:
        registry = self._directory.registry
        now = clock.now()
        found = [
            engine
            for engine in registry.usable(service, now)
            if not self._notices.pause_seconds_left(engine.id)
            and self._limiter.acquire_probe(engine.id, now)
        ]
        replies = await asyncio.gather(
            *(
                self._sender.request_small(
                    'GET', engine.address, engines.REPORT, _REPORT_TIMEOUT
                )
                for engine in found
            )
        )
        for engine, reply in zip(found, replies, strict=True):
            if isinstance(reply, errors.Failure):
                _log.warning(
                    'No report.', engine=engine.id, detail=reply.detail
                )
                continue
            report = engines.report(reply[1])
            if isinstance(report, errors.Failure):
                _log.warning(
                    'Bad report.', engine=engine.id, detail=report.detail
                )
                continue
            self._take(dispatcher, engine.id, report)

    def _take(
        self,
        dispatcher: dispatch.Dispatcher,
        engine: ids.UpstreamId,
        report: engines.Report,
    ) -> None:
        """Take the report of an engine, of its present start alone."""
        told = (incarnations.UNKNOWN_START, incarnations.started_ms(engine))
        if report.born not in told:
            later = self._directory.record_restart(
                engine, report.born, report.stage
            )
            if later is None:
                return
            engine = later.id
        dispatcher.engines.record_report(
            engine, report.kv_used, report.stage, report.busy, clock.now()
        )
