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

"""Shared code of the `galenahatchctl` commands.

Clients of the platform, output and exit codes. The daemons exit with
USAGE_ERROR too.
"""

import asyncio
import collections.abc
import sys
import typing

import aiohttp
import msgspec

from galenahatch import changes as changes_module
from galenahatch import errors
from galenahatch import options as options_module
from galenahatch.platform import http
from galenahatch.platform import objects
from galenahatch.platform import table
from galenahatch.platform import vms

SUCCESS: typing.Final = 0
# Any failure that has no other code.
REFUSED: typing.Final = 1
USAGE_ERROR: typing.Final = 2
CONFLICT: typing.Final = 3
# The change may or may not be accepted, or it is accepted but not yet in force
# everywhere.
UNKNOWN: typing.Final = 4
UNAVAILABLE: typing.Final = 5
_EXIT_CODES: typing.Final = {
    errors.BAD_CONFIGURATION: USAGE_ERROR,
    errors.BAD_SETTING: USAGE_ERROR,
    errors.CHANGE_CONFLICT: CONFLICT,
    errors.CHANGE_UNKNOWN: UNKNOWN,
    errors.NOT_IN_FORCE: UNKNOWN,
    errors.STORE_UNAVAILABLE: UNAVAILABLE,
    errors.NO_SCHEDULER: UNAVAILABLE,
}

Row = collections.abc.Sequence[object]


class Context:
    """Settings and platform clients of one command."""

    def __init__(
        self, options: options_module.Options, client: aiohttp.ClientSession
    ) -> None:
        self.options = options
        self.changes = changes_module.ChangeHistory(
            table.Table(client, options.table_url),
            objects.ObjectStore(client, options.objects_url),
        )
        self.vms = vms.VmListClient(client, options.vms_url)

    async def scheduler_addresses(self) -> list[str]:
        """Return the sorted IP addresses of VMs that may run a scheduler.

        These are the configured peers and the VMs of the system group. If the
        VM list can't be read, they are the peers alone.
        """
        listed = await self.vms.read()
        addresses = set(self.options.peers)
        if not isinstance(listed, errors.Failure):
            addresses.update(
                vm.address for vm in listed.vms if vm.group == vms.SYSTEM_GROUP
            )
        return sorted(addresses)


Command = collections.abc.Callable[
    [Context], collections.abc.Coroutine[None, None, int]
]


def run(settings: options_module.Options | None, command: Command) -> int:
    """Run a command with platform clients and return its exit code."""
    options = settings or options_module.Options()
    # Only the first invalid setting is reported.
    for failure in options_module.find_problems(options):
        return report(failure)

    async def run_with_client() -> int:
        async with http.session(options.platform_token) as client:
            return await command(Context(options, client))

    return asyncio.run(run_with_client())


def report(failure: errors.Failure) -> int:
    """Print a failure to stderr and return its exit code."""
    print(
        f'galenahatchctl: {failure.reason.name}: {failure.reason.message} '
        f'{failure.detail}'.rstrip(),
        file=sys.stderr,
    )
    print(f'  {failure.reason.advice}', file=sys.stderr)
    return _EXIT_CODES.get(failure.reason, REFUSED)


def print_table(
    headings: collections.abc.Sequence[str],
    rows: collections.abc.Sequence[Row],
    as_json: bool,
) -> None:
    if as_json:
        items = [dict(zip(headings, row, strict=True)) for row in rows]
        print(msgspec.json.encode(items).decode())
        return
    cell_rows = [[str(cell) for cell in row] for row in rows]
    lines = [list(headings), *cell_rows]
    widths = [max(len(row[i]) for row in lines) for i in range(len(headings))]
    for row in lines:
        cells = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        print('  '.join(cells).rstrip())
