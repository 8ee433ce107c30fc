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

"""The program: settings in, gateway up, exit code out.

The command-line library of the other programs is not loaded here: the one
setting is where the settings file is, and each VM pays for its memory.
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
    """Run the gateway until it is told to stop; return the exit code."""
    path = deployment.path()
    settings = deployment.load(path)
    if isinstance(settings, errors.Failure):
        print(f'{settings.reason.name}: {settings.detail}', file=sys.stderr)
        return _EXIT_USAGE_ERROR
    logs.set_up_bounded('info')
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
    """Begin a stop at the first signal, and let no later one cut it short.

    The library of services gives signals back to the system as it begins to
    stop, and the loop does as it is closed; any signal after that would end
    the process, and break every call that runs.
    """
    work = {
        signal.SIGTERM: gateway.begin_shutdown,
        signal.SIGINT: gateway.begin_shutdown,
        signal.SIGHUP: gateway.reload,
    }

    def take(number: int, frame: object) -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(work[signal.Signals(number)])

    for number in work:
        signal.signal(number, take)


def _ignore_signals() -> None:
    """Let none of them end a process that is about to end by itself."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
