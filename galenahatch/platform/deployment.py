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

"""Reads the settings file that the platform writes for each process.

The platform defines the field names, and only this module uses them.
Unknown fields are ignored, so that the platform can add fields. A missing
or invalid field is reported with its name, its value and the expected value.
"""

import dataclasses
import math
import os
import typing

import msgspec

from galenahatch import bounds
from galenahatch.core import quotas
from galenahatch import decoding
from galenahatch import errors
from galenahatch.gateway import settings
from galenahatch import ids

PATH_VARIABLE: typing.Final = 'GALENAHATCH_SETTINGS'
_BYTES_PER_MB: typing.Final = 1_000_000
_BYTES_PER_MBIT: typing.Final = 125_000
_PRESSURE_CONTRACT: typing.Final = 'pressure'
"""Contract that turns on all features unless `features` says otherwise."""


_MAX_AMOUNT: typing.Final = 1e9
"""Highest number of MB, Mbit/s or requests; exact when multiplied."""
_Amount = typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_AMOUNT)]


class _Listen(msgspec.Struct, frozen=True):
    front: str
    readiness: str


class _Bounds(msgspec.Struct, frozen=True):
    drain_ms: bounds.Milliseconds = 2000.0
    grace_s: bounds.Seconds = 8.0
    retry_budget_ratio: _Amount = 0.2
    retry_slack: _Amount = 50.0
    budget_window_s: bounds.Seconds = 10.0
    lease_ms: bounds.Milliseconds = 3000.0
    contact_ms: bounds.Milliseconds = 3000.0
    quota_window_s: bounds.Seconds = 10.0
    quota_overshoot: _Amount = 0.1
    quota_slack: _Amount = 0.0


class _Platform(msgspec.Struct, frozen=True):
    address: str
    row_bytes: typing.Annotated[int, msgspec.Meta(ge=1024)] = bounds.ROW_BYTES


class _Limits(typing.NamedTuple):
    memory_bytes: int
    link_rate: float


class _File(msgspec.Struct, frozen=True):
    node_name: bounds.Text
    ip: bounds.Text
    zone: bounds.Text
    listen: _Listen
    port_range: tuple[int, int]
    platform: _Platform
    bounds: _Bounds = _Bounds()
    heartbeat_ms: float = 1200.0
    contracts: object = ()
    features: object = None
    limits: object = None


_DECODER: typing.Final = msgspec.json.Decoder(_File)


def settings_path() -> str:
    """Return the path of the settings file, or an empty string if unset."""
    return os.environ.get(PATH_VARIABLE, '')


def load(file: str) -> settings.Settings | errors.Failure:
    """Read and validate a settings file."""
    try:
        with open(file, 'rb') as source:
            data = source.read()
    except OSError as error:
        return errors.Failure(errors.BAD_SETTING, f'{file}: {error}')
    return decode(data)


def decode(data: bytes) -> settings.Settings | errors.Failure:
    """Decode and validate the contents of a settings file."""
    return decoding.decode(_DECODER, data, errors.BAD_SETTING, _convert)


def _convert(raw: _File) -> settings.Settings | errors.Failure:
    front = _parse_address('listen.front', raw.listen.front)
    readiness = _parse_address('listen.readiness', raw.listen.readiness)
    store = _parse_address('platform.address', raw.platform.address)
    for address in (front, readiness, store):
        if isinstance(address, errors.Failure):
            return address
    assert isinstance(front, settings.Address)
    assert isinstance(readiness, settings.Address)
    assert isinstance(store, settings.Address)
    first, last = raw.port_range
    if not 0 < first < last < 65536:
        return _invalid_field(
            'port_range', raw.port_range, 'two ports in ascending order'
        )
    if not 0 < raw.heartbeat_ms < math.inf:
        return _invalid_field(
            'heartbeat_ms', raw.heartbeat_ms, 'a finite time above 0'
        )
    features = _parse_features(raw.contracts, raw.features)
    if isinstance(features, errors.Failure):
        return features
    limits = _parse_limits(raw.limits)
    if isinstance(limits, errors.Failure):
        return limits
    return settings.Settings(
        name=raw.node_name,
        address=raw.ip,
        data_centre=ids.DataCentre(raw.zone),
        front=front,
        readiness=readiness,
        peer_port=first,
        proxy_port=first + 1,
        store=store,
        max_row_bytes=raw.platform.row_bytes,
        bounds=_convert_bounds(raw.bounds),
        heartbeat=raw.heartbeat_ms / 1000,
        features=features,
        memory_bytes=limits.memory_bytes,
        link_rate=limits.link_rate,
    )


def _convert_bounds(raw: _Bounds) -> settings.Bounds:
    return settings.Bounds(
        drain=raw.drain_ms / 1000,
        grace=raw.grace_s,
        retry_ratio=raw.retry_budget_ratio,
        retry_reserve=raw.retry_slack,
        retry_window=raw.budget_window_s,
        lease=raw.lease_ms / 1000,
        contact=raw.contact_ms / 1000,
        quota=quotas.Bound(
            raw.quota_window_s, raw.quota_overshoot, raw.quota_slack
        ),
    )


def _parse_features(
    contracts: object, overrides: object
) -> settings.Features | errors.Failure:
    """Return the features that contracts ask for, or that are named.

    The value of a wrong field is part of the failure, which a typed decoder
    would leave out.
    """
    if not isinstance(contracts, list | tuple) or not all(
        isinstance(contract, str) for contract in contracts
    ):
        return _invalid_field('contracts', contracts, 'a list of names')
    if overrides is None:
        overrides = {}
    if not isinstance(overrides, dict):
        return _invalid_field('features', overrides, 'an object')
    enabled: dict[str, bool] = {}
    for field in dataclasses.fields(settings.Features):
        value = overrides.get(field.name, _PRESSURE_CONTRACT in contracts)
        if not isinstance(value, bool):
            return _invalid_field(
                f'features.{field.name}', value, 'true or false'
            )
        enabled[field.name] = value
    return settings.Features(**enabled)


def _parse_limits(limits: object) -> _Limits | errors.Failure:
    """Return the limits of the VM."""
    if limits is None:
        return _Limits(0, 0.0)
    if not isinstance(limits, dict):
        return _invalid_field('limits', limits, 'an object')
    memory_mb = _parse_limit(limits, 'memory_mb')
    if isinstance(memory_mb, errors.Failure):
        return memory_mb
    link_mbps = _parse_limit(limits, 'link_mbps')
    if isinstance(link_mbps, errors.Failure):
        return link_mbps
    return _Limits(int(memory_mb * _BYTES_PER_MB), link_mbps * _BYTES_PER_MBIT)


def _parse_limit(
    limits: dict[str, typing.Any], name: str
) -> float | errors.Failure:
    """Return a limit of the VM; 0 if it isn't stated."""
    limit = limits.get(name, 0)
    is_number = isinstance(limit, int | float) and limit is not True
    if not is_number or not 0 <= limit <= _MAX_AMOUNT:
        return _invalid_field(
            f'limits.{name}',
            limit,
            f'a finite number of at least 0, at most {_MAX_AMOUNT:g}',
        )
    return float(limit)


def _parse_address(field: str, text: str) -> settings.Address | errors.Failure:
    host, _, port = text.rpartition(':')
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        return _invalid_field(field, text, 'IP:PORT')
    return settings.Address(host, int(port))


def _invalid_field(field: str, value: object, expected: str) -> errors.Failure:
    detail = (
        f'{field} is {decoding.printable(repr(value))}, expected {expected}'
    )
    return errors.Failure(errors.BAD_SETTING, detail)
