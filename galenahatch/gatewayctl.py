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

Reads the store through the adapter that the gateways use. Only `release`
writes. Output and exit codes are those of the other commands.
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

_ROUTE_COLUMNS: typing.Final = (
    'route',
    'host',
    'prefix',
    'kind',
    'services',
    'timeout',
    'attempts',
)
_UPSTREAM_COLUMNS: typing.Final = (
    'upstream',
    'service',
    'address',
    'data_centre',
    'stage',
    'slots',
    'started',
    'standing',
)
_GATEWAY_COLUMNS: typing.Final = (
    'gateway',
    'data_centre',
    'order',
    'answers',
    'gives_orders',
    'configuration',
    'store_era',
)
_LIMIT_COLUMNS: typing.Final = (
    'upstream',
    'rate',
    'limited_for',
    'held_back',
    'leaving_for',
    'paused_for',
    'gateways',
)
_CUSTOMER_COLUMNS: typing.Final = (
    'customer',
    'keys',
    'priority',
    'weight',
    'unit',
    'rate',
    'burst',
    'used',
    'refused',
)
_REQUEST_COLUMNS: typing.Final = ('digest', 'ends', 'standing')

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
        help='IP:PORT of the store; default: that of the settings file.',
    ),
]
Work = collections.abc.Callable[
    [aiohttp.ClientSession, stores.Store],
    collections.abc.Coroutine[None, None, int],
]


@app.command
def check(file: pathlib.Path, *, json: Json = False) -> int:
    """Check a settings file as a gateway would; works offline."""
    settings = deployment.load(str(file))
    if isinstance(settings, errors.Failure):
        return console.report(settings)
    console.print_table(('setting', 'value'), settings.summary(), json)
    return console.SUCCESS


@app.command
def config(*, store: StoreAddress = '', json: Json = False) -> int:
    """Show the routes of the newest configuration."""

    async def work(client: aiohttp.ClientSession, tables: stores.Store) -> int:
        configuration = await _configuration(tables)
        if isinstance(configuration, errors.Failure):
            return console.report(configuration)
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
            for route in configuration.routes
        ]
        if not json:
            print(f'version {configuration.version}')
        console.print_table(_ROUTE_COLUMNS, rows, json)
        return console.SUCCESS

    return _run_command(store, work)


@app.command
def upstreams(*, store: StoreAddress = '', json: Json = False) -> int:
    """Show the upstreams that have registered themselves."""

    async def work(client: aiohttp.ClientSession, tables: stores.Store) -> int:
        snapshot = await tables.rows(documents.UPSTREAM_TABLE)
        if isinstance(snapshot, errors.Failure):
            return console.report(snapshot)
        config = await _configuration(tables)
        services = (
            None if isinstance(config, errors.Failure) else config.services
        )
        rows = [_upstream_row(row, services) for row in snapshot.rows]
        console.print_table(_UPSTREAM_COLUMNS, rows, json)
        return console.SUCCESS

    return _run_command(store, work)


@app.command
def status(*, store: StoreAddress = '', json: Json = False) -> int:
    """Show the gateways in their membership order."""

    async def work(client: aiohttp.ClientSession, tables: stores.Store) -> int:
        member_rows = await tables.rows(roster.MEMBER_TABLE)
        lease_rows = await tables.rows(lease.TABLE)
        for result in (member_rows, lease_rows):
            if isinstance(result, errors.Failure):
                return console.report(result)
        assert isinstance(member_rows, stores.Rows)
        assert isinstance(lease_rows, stores.Rows)
        holder = lease.current_holder(lease_rows)
        rows: list[console.Row] = []
        members = filter(roster.is_member, member_rows.rows)
        for row in sorted(members, key=lambda row: row.ver):
            member = roster.decode_member_row(row)
            centre = member.data_centre if member is not None else ''
            stats = await scrapes.scrape(client, row.key)
            version = '' if stats is None else scrapes.config_version(stats)
            is_up, leads = stats is not None, row.key == holder
            era = '' if stats is None else scrapes.store_era(stats)
            rows.append((row.key, centre, row.ver, is_up, leads, version, era))
        console.print_table(_GATEWAY_COLUMNS, rows, json)
        return console.SUCCESS

    return _run_command(store, work)


@app.command
def customers(*, store: StoreAddress = '', json: Json = False) -> int:
    """Show customers with key digests, quotas and usage.

    Counts start with each gateway's process and are summed over the gateways
    that answer.
    """

    async def work(client: aiohttp.ClientSession, tables: stores.Store) -> int:
        config = await _configuration(tables)
        member_rows = await tables.rows(roster.MEMBER_TABLE)
        for result in (config, member_rows):
            if isinstance(result, errors.Failure):
                return console.report(result)
        assert isinstance(config, routes.Configuration)
        assert isinstance(member_rows, stores.Rows)
        samples = await scrapes.scrape_all(client, member_rows)
        customers = config.customers or customers_module.Customers(())
        rows = [
            _customer_row(customer, customers.weights[name], samples)
            for name, customer in customers.by_name.items()
        ]
        console.print_table(_CUSTOMER_COLUMNS, rows, json)
        return console.SUCCESS

    return _run_command(store, work)


def _customer_row(
    customer: customers_module.Customer,
    weight: float,
    scraped: list[scrapes.Samples],
) -> console.Row:
    counts = [scrapes.customer_usage(s, customer.name) for s in scraped]
    return (
        customer.name,
        ' '.join(sorted(customer.keys)),
        '' if customer.priority is None else customer.priority,
        weight,
        customer.unit.value,
        customer.quota.rate if customer.quota else '',
        customer.quota.burst if customer.quota else '',
        round(sum(used for used, _ in counts)),
        round(sum(refused for _, refused in counts)),
    )


@app.command
def limits(*, store: StoreAddress = '', json: Json = False) -> int:
    """Show the limits that upstreams announce in their responses.

    These are rate limits, announced shutdowns and requested pauses. Counts
    start with each gateway's process.
    """

    async def work(client: aiohttp.ClientSession, tables: stores.Store) -> int:
        member_rows = await tables.rows(roster.MEMBER_TABLE)
        if isinstance(member_rows, errors.Failure):
            return console.report(member_rows)
        scraped = await scrapes.scrape_all(client, member_rows)
        console.print_table(_LIMIT_COLUMNS, _limit_rows(scraped), json)
        return console.SUCCESS

    return _run_command(store, work)


def _limit_rows(scraped: list[scrapes.Samples]) -> list[console.Row]:
    gauges = (
        instruments.RATE_LIMIT,
        instruments.LIMITED_SECONDS,
        instruments.LEAVING_SECONDS,
        instruments.PAUSED_SECONDS,
    )
    names = {
        upstream
        for stats in scraped
        for gauge in gauges
        for upstream in scrapes.values_by_upstream(stats, gauge)
    }
    rows: list[console.Row] = []
    for upstream in sorted(names):
        values = [
            [s[gauge, upstream] for s in scraped if (gauge, upstream) in s]
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
    """Show the requests during which two or more engines ended."""

    async def work(client: aiohttp.ClientSession, tables: stores.Store) -> int:
        snapshot = await tables.rows(roster.MEMBER_TABLE)
        if isinstance(snapshot, errors.Failure):
            return console.report(snapshot)
        rows: list[console.Row] = []
        for row in snapshot.rows:
            entry = None if roster.is_member(row) else quarantines.decode(row)
            if entry is not None:
                digest = row.key.removeprefix(quarantines.ROW_PREFIX)
                rows.append((digest, len(entry.ends), _hold_state(entry)))
        console.print_table(_REQUEST_COLUMNS, rows, json)
        return console.SUCCESS

    return _run_command(store, work)


def _hold_state(entry: quarantines.Entry) -> str:
    if entry.released:
        return 'released'
    is_held = len(entry.ends) >= quarantine.END_THRESHOLD
    return 'held back' if is_held else 'suspected'


@app.command
def release(digest: str, *, store: StoreAddress = '') -> int:
    """Release a quarantined request."""

    async def work(client: aiohttp.ClientSession, tables: stores.Store) -> int:
        key = quarantines.ROW_PREFIX + digest
        before = await tables.rows(roster.MEMBER_TABLE)
        if isinstance(before, errors.Failure):
            return console.report(before)
        rows = [row for row in before.rows if row.key == key]
        entry = quarantines.decode(rows[0]) if rows else None
        if entry is None:
            return console.report(errors.Failure(errors.NOT_FOUND, digest))
        value = msgspec.json.encode(
            quarantines.Entry(entry.ends, released=True)
        )
        old = stores.RowOperation(roster.MEMBER_TABLE, key, ver=rows[0].ver)
        new = stores.RowOperation(roster.MEMBER_TABLE, key, value=value)
        written = await tables.transact([old], put=[new])
        if isinstance(written, errors.Failure):
            return console.report(written)
        # After a restore the same row version may belong to another row.
        is_restored = (
            isinstance(written, stores.Committed) and written.era != before.era
        )
        if isinstance(written, stores.Conflict) or is_restored:
            detail = f'{digest} was changed by another writer'
            return console.report(
                errors.Failure(errors.CHANGE_CONFLICT, detail)
            )
        return console.SUCCESS

    return _run_command(store, work)


async def _configuration(
    tables: stores.Store,
) -> routes.Configuration | errors.Failure:
    """Return the newest configuration."""
    found = await tables.rows(documents.CONFIG_TABLE)
    if isinstance(found, errors.Failure):
        return found
    values = [r.value for r in found.rows if r.key == documents.CONFIG_KEY]
    if not values:
        return errors.Failure(errors.NO_CONFIGURATION)
    return documents.decode_configuration(values[0])


def _upstream_row(
    row: stores.Row, services: collections.abc.Container[str] | None
) -> console.Row:
    """Return the table row of an upstream, or of an entry with its error.

    Args:
        row: Row of the upstream in the store.
        services: Services of the newest configuration; None without one.
    """
    upstream = documents.decode_upstream(row.key, row.value)
    if isinstance(upstream, errors.Failure):
        return (row.key, '', '', '', '', '', '', upstream.detail)
    standing = 'leaving' if upstream.leaving else 'ready'
    if services is not None and upstream.service not in services:
        standing = 'service not configured'
    return (
        incarnations.instance_id(upstream.id),
        upstream.service,
        upstream.address,
        upstream.data_centre,
        upstream.stage.value if upstream.stage else '',
        upstream.slots,
        _format_start(incarnations.started_ms(upstream.id)),
        standing,
    )


def _format_start(started_ms: int) -> str:
    """Return the start time in ISO format; empty if it is unknown."""
    if started_ms == incarnations.UNKNOWN_START:
        return ''
    start = datetime.datetime.fromtimestamp(started_ms / 1000, datetime.UTC)
    return start.isoformat(timespec='milliseconds')


def _run_command(address: str, work: Work) -> int:
    """Run a command with a store client and return its exit code."""
    if not address:
        path = deployment.settings_path() or os.devnull
        settings = deployment.load(path)
        if isinstance(settings, errors.Failure):
            return console.report(settings)
        address = str(settings.store)

    async def run_with_client() -> int:
        async with aiohttp.ClientSession() as client:
            return await work(client, stores.Store(client, address))

    return asyncio.run(run_with_client())
