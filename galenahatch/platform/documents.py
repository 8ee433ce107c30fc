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

"""Decodes the documents that operators and upstreams write into the store.

The platform defines the field names. A document that fails to decode yields
a failure that names the invalid field. The last valid configuration stays in
force; an upstream whose entry is invalid is not used, whatever its previous
entry said.
"""

import typing

import msgspec

from galenahatch import bounds
from galenahatch.core import customers
from galenahatch.core import incarnations
from galenahatch.core import routes
from galenahatch.core import upstreams
from galenahatch import decoding
from galenahatch import errors
from galenahatch import ids

CONFIG_TABLE: typing.Final = 'op'
CONFIG_KEY: typing.Final = 'config'
UPSTREAM_TABLE: typing.Final = 'servers'

_MAX_SLOTS: typing.Final = 65_536
"""Concurrent requests above which an entry is rejected; there are no more
source ports than that."""
_MAX_START_MS: typing.Final = 4_102_444_800_000
"""Unix milliseconds of the year 2100. A later start is rejected, since no
real restart could follow it."""
_MAX_UNITS: typing.Final = 10**9
"""Highest weight of a route's target, and highest count of requests."""
_MAX_NAME_CHARS: typing.Final = 200
"""Characters in a customer's name, which is sent in a header."""
_MAX_QUOTA_UNITS: typing.Final = 1e12
"""Units above which a quota is rejected as invalid."""
_MAX_PRIORITY: typing.Final = 100
_MIN_WEIGHT: typing.Final = 1e-3
_MAX_WEIGHT: typing.Final = 1e3
"""Bounds of a customer's weight. Beyond them, one request of the one customer
would count like a day's requests of the other."""


_Weight = typing.Annotated[int, msgspec.Meta(ge=-_MAX_UNITS, le=_MAX_UNITS)]
_Units = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_UNITS)]


class _Target(msgspec.Struct, frozen=True):
    service: bounds.Text
    # Nothing is sent to those of 0 and less.
    weight: _Weight = 1


class _Route(msgspec.Struct, frozen=True):
    name: bounds.Line
    host: bounds.Line
    prefix: bounds.Line
    kind: str
    timeout_ms: bounds.Milliseconds
    target_latency_ms: bounds.Milliseconds = 1000.0
    priority: _Units = 5
    service: bounds.Text | None = None
    # Weighted services; takes precedence over `service`.
    backends: list[_Target] | None = None
    max_attempts: _Units = 1
    # Whether requests carry a prompt for a model.
    sticky: bool = False
    resumable: bool = False
    gap_aim_ms: bounds.Milliseconds = 1000.0
    anonymous: bool = False


class _Engine(msgspec.Struct, frozen=True):
    slots: _Units
    kv_tokens: bounds.Count
    kv_hold_s: bounds.Seconds = 0.5
    switch_s: bounds.Seconds = 6.0
    stride: _Units = 1


class _Service(msgspec.Struct, frozen=True):
    name: bounds.Text
    health_path: bounds.Line = '/health'
    max_conns: _Units = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: bounds.Count = 16384
    max_body_bytes: bounds.Count = 4 * 1024 * 1024
    header_timeout_ms: bounds.Milliseconds = 3000.0
    idle_timeout_ms: bounds.Milliseconds = 15000.0


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str = customers.Unit.REQUESTS.value
    plain_tokens: float = 0.0
    # Share of contested capacity among customers of the same priority.
    weight: float | None = None
    # In units of the quota; a rate of 0 means no limit.
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Config(msgspec.Struct, frozen=True):
    version: bounds.Number
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


class _Upstream(msgspec.Struct, frozen=True):
    # Key of the row that lists the service's versions.
    service: bounds.Name
    address: str
    # Data centre.
    zone: bounds.Text
    # Software version; rows and messages list several.
    version: bounds.Text
    slots: int
    # `ready` or `draining`.
    state: str
    # Remaining milliseconds of slow operation after the start.
    cold_left_ms: bounds.ClockMs
    # Counts writes of this entry, not accepted orders.
    seq_no: bounds.Number
    # Start in Unix milliseconds; older upstreams do not report it.
    born: int | msgspec.UnsetType = msgspec.UNSET
    stage: str | None = None


_CONFIG_DECODER: typing.Final = msgspec.json.Decoder(_Config)
_UPSTREAM_DECODER: typing.Final = msgspec.json.Decoder(_Upstream)


def decode_configuration(data: bytes) -> routes.Configuration | errors.Failure:
    """Decode and validate a configuration document."""
    return decoding.decode(
        _CONFIG_DECODER, data, errors.BAD_CONFIGURATION, _convert_configuration
    )


def decode_upstream(
    key: str, data: bytes
) -> upstreams.Upstream | errors.Failure:
    """Decode an upstream's row; never raise, even on arbitrary bytes.

    Args:
        key: key of the row, which is the upstream's instance id.
        data: value of the row.
    """
    return decoding.decode(
        _UPSTREAM_DECODER,
        data,
        errors.BAD_UPSTREAM,
        lambda raw: _convert_upstream(key, raw),
        max_bytes=bounds.ROW_BYTES,
        subject=key,
    )


def _convert_upstream(key: str, raw: _Upstream) -> upstreams.Upstream:
    return upstreams.Upstream(
        id=_upstream_id(bounds.check_id(key), raw.born),
        service=ids.ServiceName(bounds.check_key(raw.service)),
        address=bounds.check_address(raw.address),
        data_centre=ids.DataCentre(raw.zone),
        slots=_checked_slots(raw.slots),
        leaving=_is_draining(raw.state),
        stage=upstreams.Stage(raw.stage) if raw.stage else None,
        version=ids.SoftwareVersion(raw.version),
    )


def checked_start_ms(reported: int | msgspec.UnsetType) -> int:
    """Return the start time that an upstream reports, in Unix milliseconds.

    Raises:
        ValueError: the time is out of range.
    """
    if reported is msgspec.UNSET:
        return incarnations.UNKNOWN_START
    if not 0 <= reported <= _MAX_START_MS:
        raise ValueError(f'born: {reported}')
    return reported


def _upstream_id(
    key: str, reported: int | msgspec.UnsetType
) -> ids.UpstreamId:
    return incarnations.upstream_id(
        ids.InstanceId(key), checked_start_ms(reported)
    )


def _checked_slots(slots: int) -> int:
    if not 0 < slots <= _MAX_SLOTS:
        raise ValueError(f'slots: {slots}')
    return slots


def _is_draining(state: str) -> bool:
    if state not in ('ready', 'draining'):
        raise ValueError(f'state: {state}')
    return state == 'draining'


def _convert_configuration(raw: _Config) -> routes.Configuration:
    return routes.Configuration(
        version=raw.version,
        routes=tuple(_convert_route(item) for item in raw.routes),
        services={
            ids.ServiceName(item.name): _convert_service(item)
            for item in raw.services
        },
        limits=_convert_limits(raw.limits),
        customers=_convert_customers(raw.tenants),
    )


def _convert_route(raw: _Route) -> routes.Route:
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


def _convert_customers(
    raw: list[_Tenant] | None,
) -> customers.Customers | None:
    """Convert the customers; return None if the document lists none.

    Keys appear in errors by their digests only.

    Raises:
        ValueError: a field has an invalid value.
    """
    if raw is None:
        return None
    names: set[str] = set()
    keys: set[ids.KeyDigest] = set()
    converted = []
    for item in raw:
        customer = _convert_customer(item)
        if customer.name in names:
            raise ValueError(f'tenant {customer.name}: duplicate name')
        duplicates = sorted(keys & customer.keys)
        if duplicates:
            raise ValueError(
                f'tenant {item.name}: duplicate key {duplicates[0]}'
            )
        names.add(customer.name)
        keys |= customer.keys
        converted.append(customer)
    return customers.Customers(converted)


def _convert_customer(raw: _Tenant) -> customers.Customer:
    is_name = raw.name.isascii() and raw.name.isprintable()
    if not is_name or not 0 < len(raw.name.strip()) <= _MAX_NAME_CHARS:
        raise ValueError(f'tenant name: {raw.name[:_MAX_NAME_CHARS]!r}')
    for field in ('plain_tokens', 'rate_per_s', 'burst'):
        value = getattr(raw, field)
        if not 0 <= value <= _MAX_QUOTA_UNITS:
            raise ValueError(f'tenant {raw.name}: {field}: {value}')
    if raw.priority is not None and not 0 <= raw.priority <= _MAX_PRIORITY:
        raise ValueError(f'tenant {raw.name}: priority: {raw.priority}')
    weight = raw.weight
    if weight is not None and not _MIN_WEIGHT <= weight <= _MAX_WEIGHT:
        raise ValueError(f'tenant {raw.name}: weight: {weight}')
    if not all(raw.api_keys):
        raise ValueError(f'tenant {raw.name}: api_keys: empty key')
    keys = frozenset(customers.key_digest(key) for key in raw.api_keys)
    if len(keys) < len(raw.api_keys):
        raise ValueError(f'tenant {raw.name}: api_keys: duplicate key')
    quota = None
    if raw.rate_per_s:
        quota = customers.Quota(raw.rate_per_s, raw.burst)
    return customers.Customer(
        name=ids.CustomerName(raw.name),
        keys=keys,
        priority=raw.priority,
        weight=weight,
        unit=_parse_unit(raw),
        quota=quota,
        default_tokens=raw.plain_tokens,
    )


def _parse_unit(raw: _Tenant) -> customers.Unit:
    try:
        return customers.Unit(raw.unit)
    except ValueError:
        raise ValueError(f'tenant {raw.name}: unit: {raw.unit!r}') from None


def _convert_service(raw: _Service) -> routes.Service:
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


def _convert_limits(raw: _Limits) -> routes.Limits:
    return routes.Limits(
        max_header_bytes=raw.max_header_bytes,
        max_body_bytes=raw.max_body_bytes,
        header_timeout=raw.header_timeout_ms / 1000,
        idle_timeout=raw.idle_timeout_ms / 1000,
    )
