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

"""`galenahatchctl gateway ...`: gateways on the users' platform.

What the platform's store tells is read through the adapter that the
gateways use, and shown in our words. Only `release` writes. Results and exit
codes are those of the other commands.
"""

import asyncio
import collections.abc
import datetime
import os
import pathlib
import typing

import aiohttp
import cyclopts
import msgspec

from galenahatch import console
from galenahatch.core import customers as customers_module
from galenahatch.core import incarnations
from galenahatch.core import quarantine
from galenahatch.core import routes
from galenahatch import errors
from galenahatch.gateway import instruments
from galenahatch.gateway import lease
from galenahatch.gateway import quarantine as quarantines
from galenahatch.gateway import roster
from galenahatch.platform import deployment
from galenahatch.platform import documents
from galenahatch.platform import store as stores
from galenahatch import scrapes

_ROUTES: typing.Final = (
    'route',
    'host',
    'prefix',
    'kind',
    'services',
    'timeout',
    'attempts',
)
_UPSTREAMS: typing.Final = (
    'upstream',
    'service',
    'address',
    'data_centre',
    'stage',
    'slots',
    'started',
    'standing',
)
_GATEWAYS: typing.Final = (
    'gateway',
    'data_centre',
    'order',
    'answers',
    'gives_orders',
    'configuration',
    'store_era',
)
_LIMITS: typing.Final = (
    'upstream',
    'rate',
    'limited_for',
    'held_back',
    'leaving_for',
    'paused_for',
    'gateways',
)
_CUSTOMERS: typing.Final = (
    'customer',
    'keys',
    'priority',
    'unit',
    'rate',
    'burst',
    'used',
    'refused',
)
_REQUESTS: typing.Final = ('digest', 'ends', 'standing')

app = cyclopts.App(
    name='gateway', help='Gateways on the platform: settings and state.'
)

Json = typing.Annotated[
    bool, cyclopts.Parameter(name='--json', help='Print JSON.')
]
StoreAddress = typing.Annotated[
    str,
    cyclopts.Parameter(
        name='--store',
        help='IP:PORT of the store; else that of the settings file.',
    ),
]
Work = collections.abc.Callable[
    [aiohttp.ClientSession, stores.Store],
    collections.abc.Coroutine[None, None, int],
]


@app.command
def check(file: pathlib.Path, *, json: Json = False) -> int:
    """Check a settings file as a gateway would; works offline."""
    found = deployment.load(str(file))
    if isinstance(found, errors.Failure):
        return console.report_failure(found)
    rows = [
        (name, str(getattr(found, name)))
        for name in ('name', 'data_centre', 'front', 'readiness', 'store')
    ]
    console.print_table(('setting', 'value'), rows, json)
    return console.SUCCESS


@app.command
def config(*, store: StoreAddress = '', json: Json = False) -> int:
    """Show the routes of the newest configuration."""

    async def work(client: aiohttp.ClientSession, at: stores.Store) -> int:
        decoded = await _configuration(at)
        if isinstance(decoded, errors.Failure):
            return console.report_failure(decoded)
        rows = [
            (
                route.name,
                route.host,
                route.prefix,
                route.kind.value,
                ' '.join(f'{t.service}:{t.weight}' for t in route.targets),
                route.timeout,
                route.max_attempts,
            )
            for route in decoded.routes
        ]
        if not json:
            print(f'version {decoded.version}')
        console.print_table(_ROUTES, rows, json)
        return console.SUCCESS

    return _run(store, work)


@app.command
def upstreams(*, store: StoreAddress = '', json: Json = False) -> int:
    """Show the upstreams that have registered themselves."""

    async def work(client: aiohttp.ClientSession, at: stores.Store) -> int:
        found = await at.rows(documents.UPSTREAM_TABLE)
        if isinstance(found, errors.Failure):
            return console.report_failure(found)
        config = await _configuration(at)
        services = (
            None if isinstance(config, errors.Failure) else config.services
        )
        rows = [_upstream(row, services) for row in found.rows]
        console.print_table(_UPSTREAMS, rows, json)
        return console.SUCCESS

    return _run(store, work)


@app.command
def status(*, store: StoreAddress = '', json: Json = False) -> int:
    """Show the gateways in the order in which they decide."""

    async def work(client: aiohttp.ClientSession, at: stores.Store) -> int:
        found = await at.rows(roster.MEMBER_TABLE)
        held = await at.rows(lease.TABLE)
        for one in (found, held):
            if isinstance(one, errors.Failure):
                return console.report_failure(one)
        assert isinstance(found, stores.Rows)
        assert isinstance(held, stores.Rows)
        holder = lease.current_holder(held)
        rows: list[console.Row] = []
        members = filter(roster.is_member, found.rows)
        for row in sorted(members, key=lambda row: row.ver):
            told = roster.decode_member_row(row)
            where = told.data_centre if told is not None else ''
            seen = await scrapes.scrape(client, row.key)
            version = '' if seen is None else scrapes.config_version(seen)
            up, gives = seen is not None, row.key == holder
            era = '' if seen is None else scrapes.store_era(seen)
            rows.append((row.key, where, row.ver, up, gives, version, era))
        console.print_table(_GATEWAYS, rows, json)
        return console.SUCCESS

    return _run(store, work)


@app.command
def customers(*, store: StoreAddress = '', json: Json = False) -> int:
    """Show customers, digests of their keys, quotas and what they used.

    Counts are since each gateway's start, added up over those that answer.
    """

    async def work(client: aiohttp.ClientSession, at: stores.Store) -> int:
        config = await _configuration(at)
        found = await at.rows(roster.MEMBER_TABLE)
        for one in (config, found):
            if isinstance(one, errors.Failure):
                return console.report_failure(one)
        assert isinstance(config, routes.Configuration)
        assert isinstance(found, stores.Rows)
        seen = await _scraped(client, found)
        known = config.customers.by_name if config.customers else {}
        rows = [_customer(one, seen) for one in known.values()]
        console.print_table(_CUSTOMERS, rows, json)
        return console.SUCCESS

    return _run(store, work)


def _customer(
    one: customers_module.Customer, seen: list[scrapes.Samples]
) -> console.Row:
    counts = [scrapes.customer_usage(samples, one.name) for samples in seen]
    return (
        one.name,
        ' '.join(sorted(one.keys)),
        '' if one.priority is None else one.priority,
        one.unit.value,
        one.quota.rate if one.quota else '',
        one.quota.burst if one.quota else '',
        round(sum(used for used, _ in counts)),
        round(sum(refused for _, refused in counts)),
    )


@app.command
def limits(*, store: StoreAddress = '', json: Json = False) -> int:
    """Show what upstreams say in their answers of the next requests.

    That is, the rate that they take, that they leave, and pauses that they
    ask for. Counts are since each gateway's start.
    """

    async def work(client: aiohttp.ClientSession, at: stores.Store) -> int:
        found = await at.rows(roster.MEMBER_TABLE)
        if isinstance(found, errors.Failure):
            return console.report_failure(found)
        seen = await _scraped(client, found)
        console.print_table(_LIMITS, _limits(seen), json)
        return console.SUCCESS

    return _run(store, work)


def _limits(seen: list[scrapes.Samples]) -> list[console.Row]:
    gauges = (
        instruments.RATE_LIMIT,
        instruments.LIMITED_SECONDS,
        instruments.LEAVING_SECONDS,
        instruments.PAUSED_SECONDS,
    )
    named = {
        upstream
        for one in seen
        for gauge in gauges
        for upstream in scrapes.values_by_upstream(one, gauge)
    }
    rows: list[console.Row] = []
    for upstream in sorted(named):
        values = [
            [one[gauge, upstream] for one in seen if (gauge, upstream) in one]
            for gauge in (*gauges, f'{instruments.HELD_BACK}_total')
        ]
        rates, limited, leaving, paused, held_back = values
        rows.append(
            (
                upstream,
                min(rates, default=''),
                round(max(limited), 1) if limited else '',
                round(sum(held_back)),
                round(max(leaving), 1) if leaving else '',
                round(max(paused), 1) if paused else '',
                max(len(rates), len(leaving), len(paused)),
            )
        )
    return rows


@app.command
def held(*, store: StoreAddress = '', json: Json = False) -> int:
    """Show the requests under which two engines and more have ended."""

    async def work(client: aiohttp.ClientSession, at: stores.Store) -> int:
        found = await at.rows(roster.MEMBER_TABLE)
        if isinstance(found, errors.Failure):
            return console.report_failure(found)
        rows: list[console.Row] = []
        for row in found.rows:
            entry = None if roster.is_member(row) else quarantines.decode(row)
            if entry is not None:
                digest = row.key.removeprefix(quarantines.ROW_PREFIX)
                rows.append((digest, len(entry.ends), _standing(entry)))
        console.print_table(_REQUESTS, rows, json)
        return console.SUCCESS

    return _run(store, work)


def _standing(entry: quarantines.Entry) -> str:
    if entry.released:
        return 'released'
    is_held = len(entry.ends) >= quarantine.END_THRESHOLD
    return 'held back' if is_held else 'suspected'


@app.command
def release(digest: str, *, store: StoreAddress = '') -> int:
    """Let a request through again that is held back."""

    async def work(client: aiohttp.ClientSession, at: stores.Store) -> int:
        key = quarantines.ROW_PREFIX + digest
        found = await at.rows(roster.MEMBER_TABLE)
        if isinstance(found, errors.Failure):
            return console.report_failure(found)
        rows = [row for row in found.rows if row.key == key]
        known = quarantines.decode(rows[0]) if rows else None
        if known is None:
            return console.report_failure(
                errors.Failure(errors.NOT_FOUND, digest)
            )
        value = msgspec.json.encode(
            quarantines.Entry(known.ends, released=True)
        )
        seen = stores.RowOperation(roster.MEMBER_TABLE, key, ver=rows[0].ver)
        made = stores.RowOperation(roster.MEMBER_TABLE, key, value=value)
        written = await at.transact([seen], put=[made])
        if isinstance(written, errors.Failure):
            return console.report_failure(written)
        # A restore between both calls has given the number to another row.
        is_restored = (
            isinstance(written, stores.Committed) and written.era != found.era
        )
        if isinstance(written, stores.Conflict) or is_restored:
            detail = f'{digest} was written meanwhile'
            return console.report_failure(
                errors.Failure(errors.CHANGE_CONFLICT, detail)
            )
        return console.SUCCESS

    return _run(store, work)


async def _scraped(
    client: aiohttp.ClientSession, found: stores.Rows
) -> list[scrapes.Samples]:
    """Return the metrics of all gateways that answer."""
    members = filter(roster.is_member, found.rows)
    reads = [scrapes.scrape(client, row.key) for row in members]
    return [one for one in await asyncio.gather(*reads) if one is not None]


async def _configuration(
    at: stores.Store,
) -> routes.Configuration | errors.Failure:
    """Return the newest configuration."""
    found = await at.rows(documents.CONFIG_TABLE)
    if isinstance(found, errors.Failure):
        return found
    values = [r.value for r in found.rows if r.key == documents.CONFIG_KEY]
    if not values:
        return errors.Failure(errors.NO_CONFIGURATION)
    return documents.decode_configuration(values[0])


def _upstream(
    row: stores.Row, services: collections.abc.Container[str] | None
) -> console.Row:
    """Return what an entry shows: the upstream, or why it names none.

    Args:
        row: of the store.
        services: of the newest configuration; None if there is none.
    """
    one = documents.decode_upstream(row.key, row.value)
    if isinstance(one, errors.Failure):
        return (row.key, '', '', '', '', '', '', one.detail)
    standing = 'leaving' if one.leaving else 'ready'
    if services is not None and one.service not in services:
        standing = 'service not configured'
    return (
        incarnations.instance_id(one.id),
        one.service,
        one.address,
        one.data_centre,
        one.stage.value if one.stage else '',
        one.slots,
        _started(incarnations.started_ms(one.id)),
        standing,
    )


def _started(born: int) -> str:
    """Return the moment of a start; empty if it is not told."""
    if born == incarnations.UNKNOWN_START:
        return ''
    moment = datetime.datetime.fromtimestamp(born / 1000, datetime.UTC)
    return moment.isoformat(timespec='milliseconds')


def _run(address: str, work: Work) -> int:
    """Run a command with a client of the store."""
    if not address:
        path = deployment.settings_path() or os.devnull
        found = deployment.load(path)
        if isinstance(found, errors.Failure):
            return console.report_failure(found)
        address = str(found.store)

    async def within() -> int:
        async with aiohttp.ClientSession() as client:
            return await work(client, stores.Store(client, address))

    return asyncio.run(within())
