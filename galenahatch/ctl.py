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
to standard error. Exit codes: 0 success, 1 refused or not found, 2 usage
error or invalid configuration, 3 conflict with another change, 4 outcome
unknown or not yet in force, 5 a store or daemon does not answer.
"""

import asyncio
import collections.abc
import difflib
import getpass
import os
import pathlib
import sys
import typing

import cyclopts
import msgspec

from galenahatch import changes as changes_module
from galenahatch import config
from galenahatch import console
from galenahatch.core import revision
from galenahatch import errors
from galenahatch import explaining
from galenahatch import messages
from galenahatch import options as options_module
from galenahatch import queries
from galenahatch import schema

_STATUS_INTERVAL_S: typing.Final = 0.25
_DAEMON_COLUMNS: typing.Final = (
    'daemon',
    'standing',
    'ready',
    'revision',
    'load',
    'why',
)
_ENGINE_COLUMNS: typing.Final = (
    'engine',
    'service',
    'standing',
    'reserved',
    'places',
    'ms_per_token',
)
Replies = collections.abc.Mapping[str, messages.AnyMessage]

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


def read_bundle(
    directory: pathlib.Path, draining: tuple[str, ...] = ()
) -> schema.Bundle | errors.Failure:
    """Read a bundle from a configuration directory."""
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
    """Check a bundle and print every problem."""
    problems = config.check(bundle).problems
    if not problems:
        return None
    rows = [(p.file, p.key, p.expected) for p in problems]
    stdout = sys.stdout
    if not as_json:
        sys.stdout = sys.stderr
    try:
        console.print_table(('file', 'key', 'expected'), rows, as_json)
    finally:
        sys.stdout = stdout
    return errors.Failure(
        errors.BAD_CONFIGURATION, f'{len(problems)} problems'
    )


@app.command
def check(directory: Dir, *, json: Json = False) -> int:
    """Check a configuration for every site; works offline."""
    bundle = read_bundle(directory)
    if isinstance(bundle, errors.Failure):
        return console.report(bundle)
    failure = _check(bundle, json)
    if failure is not None:
        return console.report(failure)
    print(f'{len(bundle.overlays)} sites are good.')
    return console.SUCCESS


@app.command
def apply(
    directory: Dir,
    *,
    read: typing.Annotated[
        int | None,
        cyclopts.Parameter(help='Revision on which the change is based.'),
    ] = None,
    note: str = '',
    wait: typing.Annotated[
        float,
        cyclopts.Parameter(help='Seconds to wait until in force; 0: no wait.'),
    ] = 0.0,
    settings: Settings = None,
) -> int:
    """Make a configuration the next revision, by compare-and-set."""

    async def work(context: console.Context) -> int:
        head = await context.changes.read_head()
        if isinstance(head, errors.Failure):
            return console.report(head)
        current = head.revision if head else 0
        if read is not None and read != current:
            by = f'revision {current} is by {head.author}' if head else 'none'
            return console.report(errors.Failure(errors.CHANGE_CONFLICT, by))
        draining: tuple[str, ...] = ()
        if head is not None:
            old_bundle = await context.changes.read_bundle(head)
            if isinstance(old_bundle, errors.Failure):
                return console.report(old_bundle)
            draining = old_bundle.draining
        bundle = read_bundle(directory, draining)
        if isinstance(bundle, errors.Failure):
            return console.report(bundle)
        failure = _check(bundle, False)
        if failure is not None:
            return console.report(failure)
        return await _apply(context, bundle, head, note, wait)

    return console.run(settings, work)


async def _apply(
    context: console.Context,
    bundle: schema.Bundle,
    head: revision.Head | None,
    note: str,
    wait: float,
) -> int:
    accepted = await context.changes.apply(bundle, head, _author(), note)
    if isinstance(accepted, errors.Failure):
        return console.report(accepted)
    print(f'Revision {accepted.revision} is accepted.')
    if not wait:
        return console.SUCCESS
    return await _wait(context, accepted.revision, wait)


async def _wait(context: console.Context, number: int, seconds: float) -> int:
    """Wait until a revision is in force on every live daemon."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    while True:
        replies = await queries.query_schedulers(
            await context.scheduler_addresses(),
            context.options.scheduler_port,
            messages.StatusRequest(),
        )
        heartbeats = queries.newest_heartbeats(replies)
        behind = [m.member for m in heartbeats if m.revision < number]
        if heartbeats and not behind:
            print(f'In force on {len(heartbeats)} daemons.')
            return console.SUCCESS
        if loop.time() > deadline:
            detail = ', '.join(behind) or 'no daemon answers'
            return console.report(errors.Failure(errors.NOT_IN_FORCE, detail))
        await asyncio.sleep(_STATUS_INTERVAL_S)


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

    async def work(context: console.Context) -> int:
        bundle = await _newest(context)
        if isinstance(bundle, errors.Failure):
            return console.report(bundle)
        if not site:
            print(_format_bundle(bundle))
            return console.SUCCESS
        merged = config.check(bundle).sites.get(site)
        if merged is None:
            return console.report(
                errors.Failure(errors.NOT_FOUND, f'site {site}')
            )
        data = msgspec.json.encode(merged)
        print((data if json else msgspec.json.format(data)).decode())
        return console.SUCCESS

    return console.run(settings, work)


async def _newest(context: console.Context) -> schema.Bundle | errors.Failure:
    head = await context.changes.read_head()
    if isinstance(head, errors.Failure):
        return head
    if head is None:
        return errors.Failure(errors.NO_CONFIGURATION)
    return await context.changes.read_bundle(head)


def _format_bundle(bundle: schema.Bundle) -> str:
    sections = [f'# base\n{bundle.base}']
    for site, text in sorted(bundle.overlays.items()):
        sections.append(f'# sites/{site}\n{text}')
    sections.append(f'# drained: {", ".join(bundle.draining) or "none"}')
    return '\n'.join(sections)


@app.command
def history(*, json: Json = False, settings: Settings = None) -> int:
    """List the accepted changes, newest first."""

    async def work(context: console.Context) -> int:
        heads = await context.changes.read_history()
        if isinstance(heads, errors.Failure):
            return console.report(heads)
        rows = [(h.revision, h.author, h.note, h.change) for h in heads]
        console.print_table(
            ('revision', 'author', 'note', 'change'), rows, json
        )
        return console.SUCCESS

    return console.run(settings, work)


@app.command
def diff(old: int, new: int, *, settings: Settings = None) -> int:
    """Show what changed between two revisions."""

    async def work(context: console.Context) -> int:
        heads = await context.changes.read_history()
        if isinstance(heads, errors.Failure):
            return console.report(heads)
        line_lists = []
        for number in (old, new):
            head = next((h for h in heads if h.revision == number), None)
            if head is None:
                detail = f'revision {number}'
                return console.report(errors.Failure(errors.NOT_FOUND, detail))
            bundle = await context.changes.read_bundle(head)
            if isinstance(bundle, errors.Failure):
                return console.report(bundle)
            line_lists.append(_format_bundle(bundle).splitlines())
        lines = difflib.unified_diff(
            line_lists[0], line_lists[1], f'revision {old}', f'revision {new}'
        )
        print('\n'.join(line.rstrip('\n') for line in lines))
        return console.SUCCESS

    return console.run(settings, work)


@app.command
def status(*, json: Json = False, settings: Settings = None) -> int:
    """Show every daemon and every engine."""

    async def work(context: console.Context) -> int:
        replies = await queries.query_schedulers(
            await context.scheduler_addresses(),
            context.options.scheduler_port,
            messages.StatusRequest(),
        )
        if not replies:
            return console.report(errors.Failure(errors.NO_SCHEDULER))
        daemons = _daemon_rows(replies)
        engines = _engine_rows(replies)
        if json:
            body = {
                'daemons': [
                    dict(zip(_DAEMON_COLUMNS, d, strict=True)) for d in daemons
                ],
                'engines': [
                    dict(zip(_ENGINE_COLUMNS, e, strict=True)) for e in engines
                ],
            }
            print(msgspec.json.encode(body).decode())
            return console.SUCCESS
        console.print_table(_DAEMON_COLUMNS, daemons, False)
        print()
        console.print_table(_ENGINE_COLUMNS, engines, False)
        return console.SUCCESS

    return console.run(settings, work)


def _daemon_rows(replies: Replies) -> list[console.Row]:
    return [
        (m.member, m.standing.value, m.ready, m.revision, m.load, m.reason)
        for m in queries.newest_heartbeats(replies)
    ]


def _engine_rows(replies: Replies) -> list[console.Row]:
    return [
        (
            e.engine,
            e.service,
            e.standing,
            e.reserved,
            e.places,
            round(e.seconds_per_token * 1000, 1),
        )
        for e in queries.highest_loads(replies)
    ]


async def _set_draining(
    context: console.Context, upstream: str, drained: bool, wait: float
) -> int:
    head = await context.changes.read_head()
    if isinstance(head, errors.Failure):
        return console.report(head)
    if head is None:
        return console.report(errors.Failure(errors.NO_CONFIGURATION))
    old_bundle = await context.changes.read_bundle(head)
    if isinstance(old_bundle, errors.Failure):
        return console.report(old_bundle)
    bundle = changes_module.set_draining(old_bundle, upstream, drained)
    failure = _check(bundle, False)
    if failure is not None:
        return console.report(failure)
    verb = 'drain' if drained else 'undrain'
    return await _apply(context, bundle, head, f'{verb} {upstream}', wait)


@app.command
def drain(
    upstream: str, *, wait: float = 0.0, settings: Settings = None
) -> int:
    """Stop sending new work to an upstream: an engine's name, or a URL."""
    return console.run(
        settings, lambda c: _set_draining(c, upstream, True, wait)
    )


@app.command
def undrain(
    upstream: str, *, wait: float = 0.0, settings: Settings = None
) -> int:
    """Resume sending work to a drained upstream."""
    return console.run(
        settings, lambda c: _set_draining(c, upstream, False, wait)
    )


@app.command
def explain(
    request_id: str,
    *,
    logs: list[pathlib.Path] | None = None,
    json: Json = False,
    settings: Settings = None,
) -> int:
    """Show the scheduling decisions for one request.

    Args:
        request_id: Request id from the response, or as the client sent it.
        logs: Log files of gateways; without them, schedulers are queried.
    """
    if logs:
        return explaining.explain(request_id, logs, json)

    async def work(context: console.Context) -> int:
        replies = await queries.query_schedulers(
            await context.scheduler_addresses(),
            context.options.scheduler_port,
            messages.ExplainRequest(queries.request_id(request_id)),
        )
        if not replies:
            return console.report(errors.Failure(errors.NO_SCHEDULER))
        rows = [
            (scheduler, line)
            for scheduler, reply in replies.items()
            if isinstance(reply, messages.ExplainReply)
            for line in reply.lines
        ]
        if not rows:
            detail = f'request {request_id}'
            return console.report(errors.Failure(errors.NOT_FOUND, detail))
        console.print_table(('scheduler', 'decision'), rows, json)
        return console.SUCCESS

    return console.run(settings, work)
