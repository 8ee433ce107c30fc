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

"""The operators' command line.

Results go to standard output, as tables or with `--json` as JSON; errors go
to standard error. Exit codes: 0 done, 1 refused or not found, 2 wrong use
or a bad configuration, 3 a conflict with another change, 4 unknown or not
yet in force, 5 a store or daemon does not answer.
"""

import asyncio
import collections.abc
import difflib
import getpass
import os
import pathlib
import sys
import typing

import aiohttp
import cyclopts
import msgspec

from galenahatch import changes as changes_module
from galenahatch import config
from galenahatch.core import revision
from galenahatch import errors
from galenahatch import messages
from galenahatch import options as options_module
from galenahatch.platform import http
from galenahatch.platform import objects
from galenahatch.platform import table
from galenahatch.platform import vms
from galenahatch import queries
from galenahatch import schema

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
_POLL: typing.Final = 0.25

app = cyclopts.App(
    name='galenahatchctl',
    help='Operate galenahatch: check and apply configurations, see status.',
    config=cyclopts.config.Env(options_module.ENV_PREFIX, command=False),
)

Json = typing.Annotated[
    bool, cyclopts.Parameter(name='--json', help='Print JSON.')
]
Dir = typing.Annotated[
    pathlib.Path,
    cyclopts.Parameter(help='Directory with base.toml and sites/*.toml.'),
]
Settings = typing.Annotated[
    options_module.Options | None, cyclopts.Parameter(name='*')
]
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


def _run(settings: options_module.Options | None, work: Work) -> int:
    """Run a command with clients of the platform."""
    options = settings or options_module.Options()
    for failure in options_module.problems(options):
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


def _print_rows(
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


def read_bundle(
    directory: pathlib.Path, draining: tuple[str, ...] = ()
) -> schema.Bundle | errors.Failure:
    """Return the bundle of a directory."""
    try:
        base = (directory / 'base.toml').read_text()
        overlays = {
            path.stem: path.read_text()
            for path in sorted((directory / 'sites').glob('*.toml'))
        }
    except (OSError, UnicodeDecodeError) as error:
        return errors.Failure(errors.BAD_CONFIGURATION, str(error))
    return schema.Bundle(base, overlays, draining)


def _check(bundle: schema.Bundle, as_json: bool) -> errors.Failure | None:
    """Print every problem of a bundle."""
    problems = config.check(bundle).problems
    if not problems:
        return None
    rows = [(p.file, p.key, p.expected) for p in problems]
    with_stream = sys.stdout
    if not as_json:
        sys.stdout = sys.stderr
    try:
        _print_rows(('file', 'key', 'expected'), rows, as_json)
    finally:
        sys.stdout = with_stream
    return errors.Failure(
        errors.BAD_CONFIGURATION, f'{len(problems)} problems'
    )


@app.command
def check(directory: Dir, *, json: Json = False) -> int:
    """Check a configuration for every site; works offline."""
    bundle = read_bundle(directory)
    if isinstance(bundle, errors.Failure):
        return report(bundle)
    failure = _check(bundle, json)
    if failure is not None:
        return report(failure)
    print(f'{len(bundle.overlays)} sites are good.')
    return DONE


@app.command
def apply(
    directory: Dir,
    *,
    read: typing.Annotated[
        int | None,
        cyclopts.Parameter(help='Revision that the change is based on.'),
    ] = None,
    note: str = '',
    wait: typing.Annotated[
        float,
        cyclopts.Parameter(help='Seconds to wait until in force; 0: none.'),
    ] = 0.0,
    settings: Settings = None,
) -> int:
    """Make a configuration the next revision, by compare-and-set."""

    async def work(context: Context) -> int:
        head = await context.changes.head()
        if isinstance(head, errors.Failure):
            return report(head)
        current = head.revision if head else 0
        if read is not None and read != current:
            by = f'revision {current} is by {head.author}' if head else 'none'
            return report(errors.Failure(errors.CHANGE_CONFLICT, by))
        draining: tuple[str, ...] = ()
        if head is not None:
            before = await context.changes.bundle(head)
            if isinstance(before, errors.Failure):
                return report(before)
            draining = before.draining
        bundle = read_bundle(directory, draining)
        if isinstance(bundle, errors.Failure):
            return report(bundle)
        failure = _check(bundle, False)
        if failure is not None:
            return report(failure)
        return await _accept(context, bundle, head, note, wait)

    return _run(settings, work)


async def _accept(
    context: Context,
    bundle: schema.Bundle,
    head: revision.Head | None,
    note: str,
    wait: float,
) -> int:
    accepted = await context.changes.apply(bundle, head, _author(), note)
    if isinstance(accepted, errors.Failure):
        return report(accepted)
    print(f'Revision {accepted.revision} is accepted.')
    if not wait:
        return DONE
    return await _wait(context, accepted.revision, wait)


async def _wait(context: Context, number: int, seconds: float) -> int:
    """Wait until every live daemon has a revision in force."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while True:
        replies = await queries.ask(
            await context.schedulers(),
            context.options.scheduler_port,
            messages.StatusRequest(),
        )
        members = queries.members(replies)
        behind = [m.member for m in members if m.revision < number]
        if members and not behind:
            print(f'In force on {len(members)} daemons.')
            return DONE
        if loop.time() > until:
            detail = ', '.join(behind) or 'no daemon answers'
            return report(errors.Failure(errors.NOT_IN_FORCE, detail))
        await asyncio.sleep(_POLL)


def _author() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return str(os.getuid())


@app.command
def show(
    *, site: str = '', json: Json = False, settings: Settings = None
) -> int:
    """Show the newest configuration, merged for one site or as written."""

    async def work(context: Context) -> int:
        bundle = await _newest(context)
        if isinstance(bundle, errors.Failure):
            return report(bundle)
        if not site:
            print(_written(bundle))
            return DONE
        merged = config.check(bundle).sites.get(site)
        if merged is None:
            return report(errors.Failure(errors.NOT_FOUND, f'site {site}'))
        data = msgspec.json.encode(merged)
        print((data if json else msgspec.json.format(data)).decode())
        return DONE

    return _run(settings, work)


async def _newest(context: Context) -> schema.Bundle | errors.Failure:
    head = await context.changes.head()
    if isinstance(head, errors.Failure):
        return head
    if head is None:
        return errors.Failure(errors.NO_CONFIGURATION)
    return await context.changes.bundle(head)


def _written(bundle: schema.Bundle) -> str:
    parts = [f'# base\n{bundle.base}']
    for site, text in sorted(bundle.overlays.items()):
        parts.append(f'# sites/{site}\n{text}')
    parts.append(f'# drained: {", ".join(bundle.draining) or "none"}')
    return '\n'.join(parts)


@app.command
def history(*, json: Json = False, settings: Settings = None) -> int:
    """List the accepted changes, newest first."""

    async def work(context: Context) -> int:
        heads = await context.changes.history()
        if isinstance(heads, errors.Failure):
            return report(heads)
        rows = [(h.revision, h.author, h.note, h.change) for h in heads]
        _print_rows(('revision', 'author', 'note', 'change'), rows, json)
        return DONE

    return _run(settings, work)


@app.command
def diff(old: int, new: int, *, settings: Settings = None) -> int:
    """Show what changed between two revisions."""

    async def work(context: Context) -> int:
        heads = await context.changes.history()
        if isinstance(heads, errors.Failure):
            return report(heads)
        texts = []
        for number in (old, new):
            head = next((h for h in heads if h.revision == number), None)
            if head is None:
                detail = f'revision {number}'
                return report(errors.Failure(errors.NOT_FOUND, detail))
            bundle = await context.changes.bundle(head)
            if isinstance(bundle, errors.Failure):
                return report(bundle)
            texts.append(_written(bundle).splitlines())
        lines = difflib.unified_diff(
            texts[0], texts[1], f'revision {old}', f'revision {new}'
        )
        print('\n'.join(line.rstrip('\n') for line in lines))
        return DONE

    return _run(settings, work)


@app.command
def status(*, json: Json = False, settings: Settings = None) -> int:
    """Show every daemon and every engine."""

    async def work(context: Context) -> int:
        replies = await queries.ask(
            await context.schedulers(),
            context.options.scheduler_port,
            messages.StatusRequest(),
        )
        if not replies:
            return report(errors.Failure(errors.NO_SCHEDULER))
        daemons = [
            (m.member, m.standing.value, m.ready, m.revision, m.load, m.why)
            for m in queries.members(replies)
        ]
        names = ('daemon', 'standing', 'ready', 'revision', 'load', 'why')
        engines = [
            (
                e.engine,
                e.service,
                e.standing,
                e.reserved,
                e.places,
                round(e.seconds_per_token * 1000, 1),
            )
            for e in queries.engines(replies)
        ]
        engine_names = (
            'engine',
            'service',
            'standing',
            'reserved',
            'places',
            'ms_per_token',
        )
        if json:
            body = {
                'daemons': [dict(zip(names, d, strict=True)) for d in daemons],
                'engines': [
                    dict(zip(engine_names, e, strict=True)) for e in engines
                ],
            }
            print(msgspec.json.encode(body).decode())
            return DONE
        _print_rows(names, daemons, False)
        print()
        _print_rows(engine_names, engines, False)
        return DONE

    return _run(settings, work)


async def _set_draining(
    context: Context, upstream: str, drained: bool, wait: float
) -> int:
    head = await context.changes.head()
    if isinstance(head, errors.Failure):
        return report(head)
    if head is None:
        return report(errors.Failure(errors.NO_CONFIGURATION))
    before = await context.changes.bundle(head)
    if isinstance(before, errors.Failure):
        return report(before)
    bundle = changes_module.with_draining(before, upstream, drained)
    failure = _check(bundle, False)
    if failure is not None:
        return report(failure)
    verb = 'drain' if drained else 'undrain'
    return await _accept(context, bundle, head, f'{verb} {upstream}', wait)


@app.command
def drain(
    upstream: str, *, wait: float = 0.0, settings: Settings = None
) -> int:
    """Give an upstream no new work: an engine's name, or a URL."""
    return _run(settings, lambda c: _set_draining(c, upstream, True, wait))


@app.command
def undrain(
    upstream: str, *, wait: float = 0.0, settings: Settings = None
) -> int:
    """Give a drained upstream work again."""
    return _run(settings, lambda c: _set_draining(c, upstream, False, wait))


@app.command
def explain(
    request_id: str, *, json: Json = False, settings: Settings = None
) -> int:
    """Show the decisions taken for one request."""

    async def work(context: Context) -> int:
        replies = await queries.ask(
            await context.schedulers(),
            context.options.scheduler_port,
            messages.ExplainRequest(queries.request_id(request_id)),
        )
        if not replies:
            return report(errors.Failure(errors.NO_SCHEDULER))
        rows = [
            (scheduler, line)
            for scheduler, reply in replies.items()
            if isinstance(reply, messages.ExplainReply)
            for line in reply.lines
        ]
        if not rows:
            detail = f'request {request_id}'
            return report(errors.Failure(errors.NOT_FOUND, detail))
        _print_rows(('scheduler', 'decision'), rows, json)
        return DONE

    return _run(settings, work)
