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

"""Decodes what operators and upstreams write into the store.

Names in these documents are the platform's. A document that does not decode
is a failure with the field that is wrong. The last good configuration stays
in force; an upstream's entry that is a failure names no upstream to use,
whatever the entry before it said.
"""

import ipaddress
import typing

import msgspec

from galenahatch.core import customers
from galenahatch.core import incarnations
from galenahatch.core import routes
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch import ids

CONFIG_TABLE: typing.Final = 'op'
CONFIG_KEY: typing.Final = 'config'
UPSTREAM_TABLE: typing.Final = 'servers'

_MOST_SLOTS: typing.Final = 65_536
"""Requests at once beyond which an entry is taken for nonsense; there are no
more ports to come from."""
_MOST_BORN: typing.Final = 4_102_444_800_000
"""Unix milliseconds of the year 2100: a start beyond is taken for nonsense,
since no true start would come after it."""
_MOST_PORT: typing.Final = 65_535
_MOST_NAME: typing.Final = 200
"""Characters of a customer's name, which goes into a header."""
_MOST_UNITS: typing.Final = 1e12
"""Units beyond which a quota is taken for nonsense."""
_MOST_PRIORITY: typing.Final = 100


class _Target(msgspec.Struct, frozen=True):
    service: str
    weight: int = 1


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 5
    service: str | None = None
    # Several services, each with its share; stands in place of `service`.
    backends: list[_Target] | None = None
    max_attempts: int = 1
    # Requests carry a prompt for a model.
    sticky: bool = False
    resumable: bool = False
    gap_aim_ms: float = 1000.0
    anonymous: bool = False


class _Engine(msgspec.Struct, frozen=True):
    slots: int
    kv_tokens: int
    kv_hold_s: float = 0.5
    switch_s: float = 6.0
    stride: int = 1


class _Service(msgspec.Struct, frozen=True):
    name: str
    health_path: str = '/health'
    max_conns: int = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str = customers.Unit.REQUESTS.value
    plain_tokens: float = 0.0
    # Units of the quota; a rate of 0 stands for no limit.
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Config(msgspec.Struct, frozen=True):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


class _Upstream(msgspec.Struct, frozen=True):
    service: str
    address: str
    # Data centre.
    zone: str
    # Of its software.
    version: str
    slots: int
    # `ready` or `draining`.
    state: str
    # Milliseconds for which it is still slow after its start.
    cold_left_ms: float
    # Counts what it writes here, not the orders that it took.
    seq_no: int
    # Unix milliseconds of its start; older upstreams do not tell it.
    born: int | msgspec.UnsetType = msgspec.UNSET
    stage: str | None = None


_CONFIG: typing.Final = msgspec.json.Decoder(_Config)
_UPSTREAM: typing.Final = msgspec.json.Decoder(_Upstream)


def decode_configuration(data: bytes) -> routes.Configuration | errors.Failure:
    """Return the configuration in a document."""
    try:
        raw = _CONFIG.decode(data)
        return routes.Configuration(
            version=raw.version,
            routes=tuple(_route(item) for item in raw.routes),
            services={
                ids.ServiceName(item.name): _service(item)
                for item in raw.services
            },
            limits=_limits(raw.limits),
            customers=_customers(raw.tenants),
        )
    except (msgspec.MsgspecError, ValueError) as error:
        return errors.Failure(errors.BAD_CONFIGURATION, str(error))


def decode_upstream(
    key: str, data: bytes
) -> upstreams.Upstream | errors.Failure:
    """Return an upstream from its row; never raises, whatever the bytes.

    Args:
        key: of the row, which is the id of the upstream.
        data: value of the row.
    """
    try:
        raw = _UPSTREAM.decode(data)
        return upstreams.Upstream(
            id=_incarnation(key, raw.born),
            service=ids.ServiceName(raw.service),
            address=_address(raw.address),
            data_centre=ids.DataCentre(raw.zone),
            slots=_slots(raw.slots),
            leaving=_leaving(raw.state),
            stage=upstreams.Stage(raw.stage) if raw.stage else None,
        )
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return errors.Failure(errors.BAD_UPSTREAM, f'{key}: {error}')


def checked_start_ms(told: int | msgspec.UnsetType) -> int:
    """Return the moment at which an upstream says that it started.

    Raises:
        ValueError: it can't be one.
    """
    if told is msgspec.UNSET:
        return incarnations.UNKNOWN_START
    if not 0 <= told <= _MOST_BORN:
        raise ValueError(f'born: {told}')
    return told


def _incarnation(key: str, told: int | msgspec.UnsetType) -> ids.UpstreamId:
    return incarnations.upstream_id(
        ids.InstanceId(key), checked_start_ms(told)
    )


def _address(address: str) -> str:
    host, _, port = address.rpartition(':')
    ipaddress.ip_address(host.strip('[]'))
    is_number = port.isascii() and port.isdigit()
    if not is_number or not 0 < int(port) <= _MOST_PORT:
        raise ValueError(f'address: {address}')
    return address


def _slots(slots: int) -> int:
    if not 0 < slots <= _MOST_SLOTS:
        raise ValueError(f'slots: {slots}')
    return slots


def _leaving(state: str) -> bool:
    if state not in ('ready', 'draining'):
        raise ValueError(f'state: {state}')
    return state == 'draining'


def _route(raw: _Route) -> routes.Route:
    if raw.backends:
        targets = tuple(
            routes.Target(ids.ServiceName(item.service), item.weight)
            for item in raw.backends
            if item.weight > 0
        )
    elif raw.service is not None:
        targets = (routes.Target(ids.ServiceName(raw.service), 1),)
    else:
        targets = ()
    if not targets:
        raise ValueError(f'route {raw.name}: no service')
    return routes.Route(
        name=raw.name,
        host=raw.host,
        prefix=raw.prefix,
        kind=routes.Kind(raw.kind),
        timeout=raw.timeout_ms / 1000,
        latency_objective=raw.target_latency_ms / 1000,
        priority=raw.priority,
        targets=targets,
        max_attempts=raw.max_attempts,
        resumable=raw.resumable,
        generative=raw.sticky,
        max_event_gap=raw.gap_aim_ms / 1000,
        allows_anonymous=raw.anonymous,
    )


def _customers(
    raw: list[_Tenant] | None,
) -> customers.Customers | None:
    """Return the customers; None if the document does not speak of any.

    Keys are named by their digests.

    Raises:
        ValueError: a field has a wrong value.
    """
    if raw is None:
        return None
    names: set[str] = set()
    keys: set[ids.KeyDigest] = set()
    found = []
    for item in raw:
        customer = _customer(item)
        if customer.name in names:
            raise ValueError(f'tenant {customer.name}: name held twice')
        twice = sorted(keys & customer.keys)
        if twice:
            raise ValueError(f'tenant {item.name}: key {twice[0]} held twice')
        names.add(customer.name)
        keys |= customer.keys
        found.append(customer)
    return customers.Customers(found)


def _customer(raw: _Tenant) -> customers.Customer:
    is_name = raw.name.isascii() and raw.name.isprintable()
    if not is_name or not 0 < len(raw.name.strip()) <= _MOST_NAME:
        raise ValueError(f'tenant name: {raw.name[:_MOST_NAME]!r}')
    for field in ('plain_tokens', 'rate_per_s', 'burst'):
        value = getattr(raw, field)
        if not 0 <= value <= _MOST_UNITS:
            raise ValueError(f'tenant {raw.name}: {field}: {value}')
    if raw.priority is not None and not 0 <= raw.priority <= _MOST_PRIORITY:
        raise ValueError(f'tenant {raw.name}: priority: {raw.priority}')
    if not all(raw.api_keys):
        raise ValueError(f'tenant {raw.name}: api_keys: an empty one')
    keys = frozenset(customers.key_digest(key) for key in raw.api_keys)
    if len(keys) < len(raw.api_keys):
        raise ValueError(f'tenant {raw.name}: api_keys: one held twice')
    quota = None
    if raw.rate_per_s:
        quota = customers.Quota(raw.rate_per_s, raw.burst)
    return customers.Customer(
        name=ids.CustomerName(raw.name),
        keys=keys,
        priority=raw.priority,
        unit=_unit(raw),
        quota=quota,
        default_tokens=raw.plain_tokens,
    )


def _unit(raw: _Tenant) -> customers.Unit:
    try:
        return customers.Unit(raw.unit)
    except ValueError:
        raise ValueError(f'tenant {raw.name}: unit: {raw.unit!r}') from None


def _service(raw: _Service) -> routes.Service:
    engine = None
    if raw.engine is not None:
        engine = routes.EngineSpec(
            slots=raw.engine.slots,
            kv_tokens=raw.engine.kv_tokens,
            handle_ttl=raw.engine.kv_hold_s,
            switch_time=raw.engine.switch_s,
            event_tokens=raw.engine.stride,
        )
    return routes.Service(
        name=ids.ServiceName(raw.name),
        health_path=raw.health_path,
        max_connections=raw.max_conns,
        engine=engine,
    )


def _limits(raw: _Limits) -> routes.Limits:
    return routes.Limits(
        max_header_bytes=raw.max_header_bytes,
        max_body_bytes=raw.max_body_bytes,
        header_timeout=raw.header_timeout_ms / 1000,
        idle_timeout=raw.idle_timeout_ms / 1000,
    )
