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

"""What the operators' commands share: clients, printing, exit codes."""

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

DONE: typing.Final = 0
REFUSED: typing.Final = 1
BAD_USE: typing.Final = 2
CONFLICT: typing.Final = 3
UNKNOWN: typing.Final = 4
UNAVAILABLE: typing.Final = 5
_CODES: typing.Final = {
    errors.BAD_CONFIGURATION: BAD_USE,
    errors.BAD_SETTING: BAD_USE,
    errors.CHANGE_CONFLICT: CONFLICT,
    errors.CHANGE_UNKNOWN: UNKNOWN,
    errors.NOT_IN_FORCE: UNKNOWN,
    errors.STORE_UNAVAILABLE: UNAVAILABLE,
    errors.NO_SCHEDULER: UNAVAILABLE,
}

Row = collections.abc.Sequence[object]


class Context:
    """Clients of the platform for one command."""

    def __init__(
        self, options: options_module.Options, client: aiohttp.ClientSession
    ) -> None:
        self.options = options
        self.changes = changes_module.Changes(
            table.Table(client, options.table_url),
            objects.Objects(client, options.objects_url),
        )
        self.vms = vms.Vms(client, options.vms_url)

    async def schedulers(self) -> list[str]:
        """Return the IP numbers of VMs that may run a scheduler."""
        listed = await self.vms.read()
        addresses = set(self.options.peers)
        if not isinstance(listed, errors.Failure):
            addresses.update(
                vm.address for vm in listed.vms if vm.group == vms.SYSTEM
            )
        return sorted(addresses)


Work = collections.abc.Callable[
    [Context], collections.abc.Coroutine[None, None, int]
]


def run(settings: options_module.Options | None, work: Work) -> int:
    """Run a command with clients of the platform."""
    options = settings or options_module.Options()
    for failure in options_module.find_problems(options):
        return report(failure)

    async def within() -> int:
        async with http.session(options.platform_token) as client:
            return await work(Context(options, client))

    return asyncio.run(within())


def report(failure: errors.Failure) -> int:
    """Print a failure and return its exit code."""
    print(
        f'galenahatchctl: {failure.reason.name}: {failure.reason.message} '
        f'{failure.detail}'.rstrip(),
        file=sys.stderr,
    )
    print(f'  {failure.reason.advice}', file=sys.stderr)
    return _CODES.get(failure.reason, REFUSED)


def print_rows(
    names: collections.abc.Sequence[str],
    rows: collections.abc.Sequence[Row],
    as_json: bool,
) -> None:
    if as_json:
        items = [dict(zip(names, row, strict=True)) for row in rows]
        print(msgspec.json.encode(items).decode())
        return
    texts = [[str(cell) for cell in row] for row in rows]
    columns = [list(names), *texts]
    widths = [max(len(row[i]) for row in columns) for i in range(len(names))]
    for row in columns:
        cells = (cell.ljust(w) for cell, w in zip(row, widths, strict=True))
        print('  '.join(cells).rstrip())
