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

"""Entry points of the programs."""

import sys
import typing

import cyclopts
import msgspec

from galenahatch import application
from galenahatch import console
from galenahatch import controller as controller_module
from galenahatch import ctl as ctl_module
from galenahatch import entry as entry_module
from galenahatch import gatewayctl
from galenahatch import options as options_module
from galenahatch import scheduler as scheduler_module

DaemonFactory = typing.Callable[[options_module.Options], application.Daemon]


def _run_daemon(name: str, help_text: str, factory: DaemonFactory) -> int:
    """Read and check the settings, run a daemon and return the exit code."""
    app = cyclopts.App(
        name=name,
        help=help_text,
        config=cyclopts.config.Env(options_module.ENV_PREFIX, command=False),
    )

    @app.default
    def serve(
        *,
        settings: typing.Annotated[
            options_module.Options | None, cyclopts.Parameter(name='*')
        ] = None,
        print_settings: bool = False,
    ) -> int:
        options = settings or options_module.Options()
        if print_settings:
            masked = options_module.masked_settings(options)
            data = msgspec.json.encode(masked)
            print(msgspec.json.format(data).decode())
            return 0
        if not application.report_option_problems(options):
            return console.USAGE_ERROR
        return application.run(factory(options), name)

    return _exit_code(app)


def _exit_code(app: cyclopts.App) -> int:
    result = app(result_action='return_value')
    return result if isinstance(result, int) else 0


def entry() -> None:
    """Run galenahatch-entry."""
    help_text = 'Take requests from callers and run them.'
    sys.exit(_run_daemon('galenahatch-entry', help_text, entry_module.Entry))


def scheduler() -> None:
    """Run galenahatch-scheduler."""
    help_text = 'Decide where requests run; write claims; watch entries.'
    name = 'galenahatch-scheduler'
    sys.exit(_run_daemon(name, help_text, scheduler_module.Scheduler))


def controller() -> None:
    """Run galenahatch-controller."""
    help_text = 'Bring engines to the models, versions and roles declared.'
    name = 'galenahatch-controller'
    sys.exit(_run_daemon(name, help_text, controller_module.Controller))


def ctl() -> None:
    """Run galenahatchctl."""
    ctl_module.app.command(gatewayctl.app)
    sys.exit(_exit_code(ctl_module.app))
