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

"""Polls the load reports of model engines while this gateway is the owner."""

import asyncio
import typing

from galenahatch import clock
from galenahatch.core import dispatch
from galenahatch.core import incarnations
from galenahatch.core import ratelimits
from galenahatch import errors
from galenahatch.gateway import directory as directories
from galenahatch.gateway import failover
from galenahatch.gateway import loads as loads_module
from galenahatch.gateway import mesh as meshes
from galenahatch.gateway import notices as notices_module
from galenahatch.gateway import owner as owners
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import engines
from galenahatch.platform import wire
from galenahatch import tasks

_POLL_INTERVAL_S: typing.Final = 1.0
"""A report is itself up to a second old, and each poll costs a request."""
_REPORT_TIMEOUT_S: typing.Final = 0.5
_log = logs.Log('reports')


class ReportPoller:
    """Keeps the owner's view of the engines up to date.

    Args:
        directory: Source of upstreams.
        mesh: Source of the current owner.
        owner: Owner whose dispatchers receive the reports.
        sender: Sender for the polls.
        limiter: Rate limiter of upstreams, which count polls as requests.
        notices: Source of upstreams that asked for a pause.
        loads: Load reports, which the responses to the polls feed.
    """

    def __init__(
        self,
        directory: directories.Directory,
        mesh: meshes.Mesh,
        owner: owners.Owner,
        sender: failover.FailoverSender,
        limiter: ratelimits.Limiter,
        notices: notices_module.Notices,
        loads: loads_module.LoadExchange,
    ) -> None:
        self._notices = notices
        self._loads = loads
        self._directory = directory
        self._mesh = mesh
        self._owner = owner
        self._sender = sender
        self._limiter = limiter

    def start(self, background: tasks.Tasks) -> None:
        """Start the polling task."""
        background.run_forever('reports', self._poll_forever)

    async def _poll_forever(self) -> None:
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            if self._mesh.owner() != self._mesh.me:
                continue
            for service, dispatcher in list(self._owner.dispatchers.items()):
                await self._poll_service(service, dispatcher)
            self._owner.refresh_engines()

    async def _poll_service(
        self, service: ids.ServiceName, dispatcher: dispatch.Dispatcher
    ) -> None:
        registry = self._directory.registry
        now = clock.now()
        polled = [
            engine
            for engine in registry.usable(service, now)
            if not self._notices.pause_seconds_left(engine.id)
            and self._limiter.acquire_probe(engine.id, now)
        ]
        replies = await asyncio.gather(
            *(
                self._sender.request_small(
                    'GET',
                    engine,
                    engines.REPORT_PATH,
                    _REPORT_TIMEOUT_S,
                )
                for engine in polled
            )
        )
        for engine, reply in zip(polled, replies, strict=True):
            if isinstance(reply, errors.Failure):
                _log.warning(
                    'Failed to fetch engine report.',
                    engine=engine.id,
                    detail=reply.detail,
                )
                continue
            report = engines.decode_report(reply.body)
            if isinstance(report, errors.Failure):
                _log.warning(
                    'Invalid engine report.',
                    engine=engine.id,
                    detail=report.detail,
                )
                continue
            current = self._apply(dispatcher, engine.id, report)
            if current is not None:
                head = wire.decode_response_head(
                    reply.status, reply.raw_headers
                )
                self._loads.record_answer(current, head)

    def _apply(
        self,
        dispatcher: dispatch.Dispatcher,
        engine: ids.UpstreamId,
        report: engines.Report,
    ) -> ids.UpstreamId | None:
        """Apply a report if it is from the engine's current incarnation.

        Returns:
            That incarnation; None if the report is from another.
        """
        accepted = (
            incarnations.UNKNOWN_START,
            incarnations.started_ms(engine),
        )
        if report.started_ms not in accepted:
            successor = self._directory.record_restart(
                engine, report.started_ms, report.stage
            )
            if successor is None:
                return None
            engine = successor.id
        dispatcher.engines.record_report(
            engine,
            report.kv_used,
            report.stage,
            report.executing_order,
            clock.now(),
        )
        return engine
