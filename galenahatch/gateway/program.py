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

"""Runs the gateway as a program.

The command-line library of the other programs is not loaded, since the path
of the settings file is the only option and each VM would pay for its memory.
"""

import asyncio
import datetime
import signal
import sys
import typing

import aiomisc
import uvloop

from galenahatch import errors
from galenahatch.gateway import instruments
from galenahatch.gateway import node
from galenahatch import logs
from galenahatch.platform import deployment

_EXIT_USAGE_ERROR: typing.Final = 2
_NO_TIMEOUT_S: typing.Final = datetime.timedelta(days=7).total_seconds()


def main() -> int:
    """Run the gateway until a signal stops it; return the exit code."""
    path = deployment.settings_path()
    settings = deployment.load(path)
    if isinstance(settings, errors.Failure):
        print(f'{settings.reason.name}: {settings.detail}', file=sys.stderr)
        return _EXIT_USAGE_ERROR
    logs.configure_bounded('info')
    instruments.set_global_provider()
    log = logs.Log('gateway')
    gateway = node.Gateway(settings, path)
    try:
        with aiomisc.entrypoint(
            gateway,
            log_config=False,
            loop_factory=uvloop.new_event_loop,
            shutdown_timeout=_NO_TIMEOUT_S,
            pool_size=1,
            catch_signals=(),
        ) as loop:
            _install_signal_handlers(loop, gateway)
            loop.run_forever()
        _ignore_signals()
    except OSError as error:
        log.error('Could not start.', error=str(error))
        return 1
    return 0


def _install_signal_handlers(
    loop: asyncio.AbstractEventLoop, gateway: node.Gateway
) -> None:
    """Shut down on the first signal, and ignore later ones during shutdown.

    The service library restores the default handlers when it begins to stop,
    and so does the event loop when it is closed. A signal after that would end
    the process and interrupt all running calls.
    """
    handlers = {
        signal.SIGTERM: gateway.begin_shutdown,
        signal.SIGINT: gateway.begin_shutdown,
        signal.SIGHUP: gateway.reload,
    }

    def handle(number: int, frame: object) -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(handlers[signal.Signals(number)])

    for number in handlers:
        signal.signal(number, handle)


def _ignore_signals() -> None:
    """Ignore signals, since the process is about to exit by itself."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
