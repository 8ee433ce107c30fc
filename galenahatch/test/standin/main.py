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

"""The stand-ins' program: one subcommand each."""

import asyncio
import signal
import typing

from aiohttp import web
import cyclopts

from galenahatch.core import orders
from galenahatch.test.standin import engine
from galenahatch.test.standin import model
from galenahatch.test.standin import peer
from galenahatch.test.standin import stores

app = cyclopts.App(name='standin', help='Stand-ins for tests.')


async def _serve(routes: list[web.RouteDef], address: str, port: int) -> None:
    runner = web.AppRunner(peer.application(routes), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, address, port, shutdown_timeout=0.1)
    await site.start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    await runner.cleanup()


@app.command(name='engine')
def run_engine(
    address: str,
    port: int,
    *,
    role: str = 'decode',
    checks_fencing: bool = False,
    params: typing.Annotated[
        model.Params | None, cyclopts.Parameter(name='*')
    ] = None,
) -> None:
    """Serve as a model engine."""
    order = orders.Order('none', '', '0', role)
    standin = engine.Standin(params or model.Params(), order, checks_fencing)
    asyncio.run(_serve(engine.routes(standin), address, port))


@app.command(name='table')
def run_table(address: str, port: int) -> None:
    """Serve as the table."""
    asyncio.run(_serve(stores.table_routes(), address, port))


@app.command(name='objects')
def run_objects(address: str, port: int) -> None:
    """Serve as the object store."""
    asyncio.run(_serve(stores.object_routes(), address, port))


@app.command(name='vms')
def run_vms(address: str, port: int) -> None:
    """Serve as the VM list."""
    asyncio.run(_serve(stores.vm_routes(), address, port))


@app.command(name='plain')
def run_plain(address: str, port: int) -> None:
    """Serve as a plain service."""
    asyncio.run(_serve(stores.plain_routes(), address, port))


if __name__ == '__main__':
    app()
