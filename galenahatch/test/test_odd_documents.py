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

"""Odd documents of other writers: each concerns nothing but itself."""

import asyncio
import json
import types
import typing

import msgspec
import pytest

from galenahatch.core import upstreams
from galenahatch.core import versionaffinity
from galenahatch import errors
from galenahatch.gateway import lease
from galenahatch.gateway import originlog
from galenahatch.gateway import quarantine
from galenahatch.gateway import roster
from galenahatch.gateway import streamaffinity
from galenahatch.gateway import versionhistory
from galenahatch.platform import documents
from galenahatch.platform import engines
from galenahatch.platform import store as stores
from galenahatch.platform import wire

_ENTRY: typing.Final = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq_no': 1,
}
_DEEP: typing.Final = b'{"x":' * 100_000


def _encode(document: object) -> bytes:
    return json.dumps(document).encode()


def _rows(key: str, value: bytes) -> stores.Rows:
    return stores.Rows([stores.Row(key, 1, value)], 1, 1000.0)


def _store(rows: stores.Rows) -> typing.Any:
    async def read(table: str) -> stores.Rows:
        return rows

    return types.SimpleNamespace(
        rows=read, eras=types.SimpleNamespace(newest=0)
    )


def _read_versions(key: str, value: bytes) -> bool:
    history = versionhistory.VersionHistory(
        _store(_rows(key, value)),
        versionaffinity.ServedVersions(),
        lambda: typing.cast(typing.Any, None),
    )
    assert asyncio.run(history.load())
    return bool(history._rows)


def _read_origins(key: str, value: bytes) -> bool:
    origins = versionaffinity.Origins()
    log = originlog.OriginLog(_store(_rows(key, value)), origins, 'w')
    assert asyncio.run(log.load())
    return bool(log._saved)


def _read_upstream(key: str, value: bytes) -> bool:
    found = documents.decode_upstream(key, value)
    return isinstance(found, upstreams.Upstream)


def _read_config(key: str, value: bytes) -> bool:
    found = documents.decode_configuration(value)
    return not isinstance(found, errors.Failure)


def _read_prefilled(key: str, value: bytes) -> bool:
    found = engines.decode_prefill_result(value)
    return not isinstance(found, errors.Failure)


def _read_report(key: str, value: bytes) -> bool:
    return not isinstance(engines.decode_report(value), errors.Failure)


_READERS: typing.Final[dict[str, typing.Callable[[str, bytes], bool]]] = {
    'upstream': _read_upstream,
    'config': _read_config,
    'member': lambda key, value: bool(
        roster.decode_member_row(stores.Row(key, 1, value))
    ),
    'quarantine': lambda key, value: bool(
        quarantine.decode(stores.Row(key, 1, value))
    ),
    'lease': lambda key, value: bool(
        lease.current_holder(_rows('orders', value))
    ),
    'versions': _read_versions,
    'origins': _read_origins,
    'prefilled': _read_prefilled,
    'report': _read_report,
}
_VALID: typing.Final[dict[str, tuple[str, dict[str, typing.Any]]]] = {
    'upstream': ('i-1', _ENTRY),
    'config': (
        'config',
        {
            'version': 1,
            'routes': [
                {
                    'name': 'r',
                    'host': 'h',
                    'prefix': '/p/',
                    'kind': 'idempotent',
                    'timeout_ms': 100,
                    'backends': [{'service': 's', 'weight': 1}],
                }
            ],
            'services': [{'name': 's'}],
        },
    ),
    'member': ('10.0.0.1', {'port': 7000, 'data_centre': 'z'}),
    'quarantine': ('quarantine/d', {'ends': [1, 2]}),
    'lease': ('orders', {'holder': '10.0.0.1', 'until_ms': 2000.0}),
    'versions': ('s', {'era': 0, 'left_ms': {'v1': -1.0}}),
    'origins': (
        'w/1',
        {'era': 0, 'written_ms': 900.0, 'origins': [['k', 'v1', 9.0]]},
    ),
    'prefilled': ('', {'kv_handle': '3fa09c41b7d5', 'tokens': 3}),
    'report': ('', {'active': 3, 'queued': 0, 'kv_used': 10}),
}


@pytest.mark.parametrize('kind', _READERS)
def test_usual_documents(kind: str) -> None:
    """What is odd below is so by one value only."""
    key, document = _VALID[kind]
    assert _READERS[kind](key, _encode(document))


# One deeply nested row ended the loops of all gateways that read it.
@pytest.mark.parametrize('kind', _READERS)
def test_deep_documents(kind: str) -> None:
    """Deep nesting, in what is read and in what is skipped, is invalid."""
    key, document = _VALID[kind]
    rest = _encode(document)[1:]
    for value in (_DEEP, b'{"new":' + _DEEP + b',' + rest):
        assert not _READERS[kind](key, value)


def _changed(
    kind: str, field: str, value: object
) -> tuple[str, dict[str, typing.Any]]:
    key, document = _VALID[kind]
    if field == 'KEY':
        return str(value), document
    if '.' in field:
        name, _, inner = field.partition('.')
        return key, {**document, name: [{**document[name][0], inner: value}]}
    return key, {**document, field: value}


# An entry's key is sent as a header, and its version stands in a row.
@pytest.mark.parametrize(
    ('kind', 'field', 'value'),
    [
        ('upstream', 'KEY', 'i\r\nX: 1'),
        ('upstream', 'KEY', 'i\0'),
        ('upstream', 'KEY', 'i\udcff'),
        ('upstream', 'KEY', 'i' * 300),
        ('upstream', 'version', 'v' * 40_000),
        ('upstream', 'version', 'v\n'),
        ('upstream', 'service', 's' * 300),
        ('upstream', 'service', 'ä' * 150),
        ('upstream', 'service', ''),
        ('upstream', 'zone', 'z\0'),
        ('upstream', 'address', 'fe80::1:8141'),
        ('upstream', 'address', '[[10.0.0.1]]:80'),
        ('upstream', 'address', '[10.0.0.1]:80'),
        ('upstream', 'address', '[fe80::1%x\n]:80'),
        ('upstream', 'address', '0.0.0.0:80'),
        ('upstream', 'address', '10.0.0.1:080'),
        ('upstream', 'cold_left_ms', 1e300),
        ('upstream', 'seq_no', 2**70),
        ('config', 'version', 2**70),
        ('config', 'routes.host', 'h\r\n'),
        ('config', 'routes.prefix', '/p\0/'),
        ('config', 'routes.timeout_ms', 1e300),
        ('config', 'routes.timeout_ms', -1),
        ('config', 'routes.priority', 2**70),
        ('config', 'routes.backends', [{'service': 's', 'weight': 10**400}]),
        ('config', 'services.health_path', '/h\r\nX: 1'),
        ('config', 'services.max_conns', 2**70),
        ('member', 'KEY', 'fe80::1%x\n'),
        ('member', 'KEY', 'no address'),
        ('member', 'port', -1),
        ('member', 'port', 70_000),
        ('member', 'proxy_port', 2**70),
        ('member', 'data_centre', 'z' * 40_000),
        ('quarantine', 'ends', [2**70]),
        ('lease', 'until_ms', 1e300),
        ('lease', 'until_ms', 1e9),
        ('lease', 'holder', 'h\n'),
        ('versions', 'left_ms', {'v' * 40_000: -1.0}),
        ('versions', 'left_ms', {'v1': 1e300}),
        ('versions', 'left_ms', {'v1': 1e14}),
        ('versions', 'known_ms', 1e14),
        ('versions', 'complete_ms', 1e14),
        ('versions', 'era', 2**70),
        ('origins', 'written_ms', 1e300),
        ('origins', 'origins', [['k', 'v' * 40_000, 9.0]]),
        ('origins', 'origins', [['k', 'v1', 1e300]]),
        ('prefilled', 'kv_handle', 'h\r\nX: 1'),
        ('prefilled', 'kv_handle', '../order'),
        ('prefilled', 'kv_handle', 'h' * 40_000),
        ('report', 'active', -5),
        ('report', 'kv_used', 2**70),
        ('report', 'seq_no', 2**70),
    ],
)
def test_odd_values(kind: str, field: str, value: object) -> None:
    """A value that can't be used where it is used makes a row invalid."""
    key, document = _changed(kind, field, value)
    assert not _READERS[kind](key, _encode(document))


@pytest.mark.parametrize(
    ('address', 'expected'),
    [
        ('10.0.0.1:80', '10.0.0.1:80'),
        ('127.0.0.1:65535', '127.0.0.1:65535'),
        ('[2001:db8::1]:80', '[2001:db8::1]:80'),
        ('[2001:DB8:0::1]:80', '[2001:db8::1]:80'),
    ],
)
def test_addresses(address: str, expected: str) -> None:
    """An address has one form, whoever writes it."""
    entry = {**_ENTRY, 'address': address}
    found = documents.decode_upstream('i-1', _encode(entry))
    assert isinstance(found, upstreams.Upstream), found
    assert found.address == expected


def test_long_error() -> None:
    """A failure quotes no more of a document than a line of a log takes."""
    entry = {**_ENTRY, 'state': 'x\n' * 20_000}
    found = documents.decode_upstream('i-1', _encode(entry))
    assert isinstance(found, errors.Failure)
    assert len(found.detail) < 1000 and found.detail.isprintable()


# Such a key ended the loop that stores the versions of all streams.
def test_odd_bytes_of_callers() -> None:
    """Keys of streams can be sent and stored, whatever a caller sends."""
    raw = [
        (b'Host', b'h'),
        (b'X-Galenahatch-Request-Id', b'r\xff'),
        (b'X-Galenahatch-Model', b'm'),
        (b'X-Galenahatch-Token-Count', b'10,20'),
        (b'X-Galenahatch-Prompt-Prefix', b'5c:8,\xfe:2'),
        (b'Last-Event-Id', b'\xfd'),
    ]
    for resumes in ([], [(b'Resumes', b'\xfc')]):
        call = wire.decode_call('POST', '/p', raw + resumes, b'', 0.0)
        for key in streamaffinity.stream_keys(call):
            _encode_all(key)
        _encode_all(call.last_event_id)
    head = wire.decode_response_head(200, raw)
    assert head.request_id == call.id


def _encode_all(text: str) -> None:
    msgspec.json.encode(text)
    msgspec.msgpack.encode(text)
