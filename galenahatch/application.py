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

"""Life cycle shared by all daemons.

An application object is an aiomisc service: `start` opens sockets and starts
tasks, `stop` runs on SIGTERM or SIGINT and returns when no request is in
flight. The shutdown has no timeout.
"""

import asyncio
import datetime
import signal
import sys
import typing

import aiohttp
from aiohttp import web
import aiomisc
import uvloop

from galenahatch import clock
from galenahatch import distribution
from galenahatch import logs
from galenahatch import options as options_module
from galenahatch import peers
from galenahatch.platform import http
from galenahatch.platform import objects
from galenahatch.platform import table
from galenahatch.platform import vms
from galenahatch import states
from galenahatch import tasks
from galenahatch import telemetry
from galenahatch.upstream import http as upstream

_SHUTDOWN_TIMEOUT_S: typing.Final = datetime.timedelta(days=7).total_seconds()
"""Long enough that it never interrupts a graceful shutdown."""


class Daemon(aiomisc.Service):
    """Base class of all daemons.

    Attributes:
        options: Settings.
        tasks: Background tasks, cancelled at the end of `stop`.
    """

    def __init__(self, options: options_module.Options) -> None:
        super().__init__()
        self.options = options
        self.tasks = tasks.Tasks()
        self._runner: web.AppRunner | None = None
        self._platform_client: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Start the daemon."""
        raise TypeError('a daemon defines start')

    def open_clients(self, role: states.Role, handler: peers.Handler) -> None:
        """Open the clients of the platform, the engines and the peers.

        Args:
            role: Role of this daemon.
            handler: Handler of messages received from schedulers.
        """
        options = self.options
        client = http.session(options.platform_token)
        self._platform_client = client
        self.engines = upstream.session(
            options.connect_timeout, options.idle_timeout
        )
        self.table = table.Table(client, options.table_url)
        self.objects = objects.ObjectStore(client, options.objects_url)
        self.vms = vms.VmListClient(client, options.vms_url)
        self.config = distribution.Distribution(
            options, self.table, self.objects, self.tasks
        )
        self.peers = peers.Peers(options, role, self.config, self.vms, handler)

    def start_peer_tasks(self) -> None:
        """Start heartbeats to peers and updates of the configuration."""
        self.config.set_requester(self.peers.send)
        self.peers.start(self.tasks)
        self.config.start()

    async def listen(
        self,
        app: web.Application,
        port: int,
        keepalive: float,
        max_header_bytes: int = 8190,
    ) -> None:
        """Serve HTTP on the address of this VM."""
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=keepalive,
            max_line_size=max_header_bytes,
            max_field_size=max_header_bytes,
        )
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self.options.address,
            port,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
            reuse_address=True,
        )
        await site.start()

    async def close(self) -> None:
        """Cancel background tasks, then close sockets and clients."""
        await self.tasks.stop()
        if self._runner is not None:
            await self._runner.cleanup()
        if self._platform_client is not None:
            await self._platform_client.close()
            await self.engines.close()
            self.peers.close()


def health_routes(
    not_ready_reason: typing.Callable[[], str],
) -> list[web.RouteDef]:
    """Return the routes of the health checks.

    Args:
        not_ready_reason: Function that returns why the daemon is not ready;
            empty if it accepts requests.
    """

    async def alive(request: web.Request) -> web.Response:
        return web.json_response({'alive': True})

    async def ready(request: web.Request) -> web.Response:
        reason = not_ready_reason()
        body = {'ready': not reason, 'why': reason}
        return web.json_response(body, status=503 if reason else 200)

    return [web.get('/healthz', alive), web.get('/readyz', ready)]


def run(daemon: Daemon, program: str) -> int:
    """Run a daemon until it receives a signal; return the exit code."""
    options = daemon.options
    logs.configure(options.log_level, options.log_json)
    telemetry.configure(options.otlp_endpoint, program)
    log = logs.Log(program)
    started_at = clock.now()
    try:
        with aiomisc.entrypoint(
            daemon,
            log_config=False,
            loop_factory=uvloop.new_event_loop,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        ) as loop:
            log.info('Started.', address=options.address)
            loop.run_forever()
    except OSError as error:
        log.error('Could not start.', error=str(error))
        return 1
    log.info('Stopped.', seconds=clock.now() - started_at)
    return 0


def ignore_signals(log: logs.Log) -> None:
    """Keep further signals from interrupting a graceful shutdown."""
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(
            signal_number, log.info, 'Already shutting down.'
        )


def report_option_problems(options: options_module.Options) -> bool:
    """Print every invalid setting; return whether all are valid."""
    failures = options_module.find_problems(options)
    for failure in failures:
        print(f'{failure.reason.name}: {failure.detail}', file=sys.stderr)
    return not failures
