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

"""Rows of the store that another writer left, of any content.

Gateways as real processes read them among valid ones. None may end or start
a part of itself again and again; requests are served; what changes later is
followed; and operators are told of each bad row once.
"""

import collections
import collections.abc
import time
import typing

import msgspec
import pytest

from galenahatch.gateway import quarantine
from galenahatch.gateway import roster
from galenahatch.test import fleet as fleets
from galenahatch.test.standin import upstreams

_NESTED: typing.Final = b'[' * 30000 + b']' * 30000
_HUGE: typing.Final = b'1' + b'0' * 4000
_CLOSED: typing.Final = '127.0.0.1:9'
"""Where nobody listens."""
_FOLLOWED_S: typing.Final = 2.0
"""Seconds after which a change of an upstream is in force."""
_RENEWED_S: typing.Final = 12.0
"""Seconds in which versions are written again, twice over."""
_MEMBERS: typing.Final = (
    ('desk', ''),
    ('desk', ''),
    ('model', 'prefill'),
    ('model', 'decode'),
    ('desk', ''),
    ('model', 'decode'),
)
_FAILURES: typing.Final = frozenset({'Task failed.', 'Handler failed.'})
Row = tuple[str, str, bytes]


def _with(valid: typing.Any, **changed: bytes | str) -> bytes:
    """Return a document with some fields as they are written."""
    raw = {
        name: msgspec.Raw(
            value if isinstance(value, bytes) else msgspec.json.encode(value)
        )
        for name, value in changed.items()
    }
    return msgspec.json.encode(valid | raw)


def _entry(of: str = "desk", **changed: bytes | str) -> bytes:
    stage = "decode" if of == "model" else ""
    row = upstreams.Upstream(of, stage).row('draining')
    return _with(row | {'address': _CLOSED}, **changed)


def _servers(*documents: bytes) -> list[Row]:
    return [('servers', f'a-{i}', d) for i, d in enumerate(documents)]


def _member(key: str, **changed: bytes | str) -> Row:
    row = {'port': 7660, 'data_centre': 'dc1', 'proxy_port': 7661}
    return roster.MEMBER_TABLE, key, _with(row, **changed)


def _versions_row(**changed: bytes) -> Row:
    row = {'era': 1, 'left_ms': {'v1': -1}, 'known_ms': 0, 'complete_ms': 1}
    return 'service_versions', 'model', _with(row, **changed)


def _many_versions() -> list[Row]:
    """Return entries of one service, each of a version of its own."""
    return _servers(
        *(_entry('model', version=f'v{n:0190}') for n in range(100)),
        *(
            _entry('model', version=f'{n:099}"' + '\\' * 99)
            for n in range(200)
        ),
    )


_CASES: typing.Final[dict[str, list[Row]]] = {
    'entry-nested': _servers(
        _NESTED, _entry(other=_NESTED), _entry(slots=_NESTED)
    ),
    'entry-number': _servers(
        *(
            _entry('desk', **{field: value})
            for field in ('slots', 'seq_no', 'cold_left_ms', 'born')
            for value in (_HUGE, b'1e999', b'-1e400', b'-' + _HUGE)
        )
    ),
    'entry-address': _servers(
        *(
            _entry(service, address=address, state='ready')
            for service in ('desk', 'model')
            for address in (
                '127.0.0.1:0',
                '127.0.0.1:70000',
                '127.0.0.1:-1',
                '127.0.0.1:' + '9' * 5000,
                '127.0.0.1:\u0661',
                'fe80::1:8141',
                '[[10.0.0.1]]:80',
                '[::1%lo\r\n]:80',
                ':80',
                '',
            )
        )
    ),
    'entry-text': _servers(
        *(
            _entry(service, **{field: value})
            for service in ('desk', 'model')
            for field in ('service', 'zone', 'version', 'state')
            for value in (b'"\\ud800"', b'"\xff"', '\r\n\x00', 'x' * 9000)
        ),
        b'',
        b'null',
        b'[]',
        b'\xff\xfe',
        b'{"service":',
    ),
    'entry-key': [
        ('servers', key, _entry(service, state='ready'))
        for key in ('a\r\nb', 'c\x00d', 'e\nf', 'g\u2028h', '', 'i' * 200)
        for service in ('desk', 'model')
    ],
    'version-long': _servers(
        *(_entry('other', version=mark * 40000) for mark in 'ab'),
        *(
            _entry('other', version=mark * 40000, stage='decode')
            for mark in 'ab'
        ),
    ),
    'version-many': _many_versions(),
    'services-many': _servers(
        *(_entry('model', service=f'other-{n}') for n in range(90))
    ),
    'member-port': [
        _member('127.9.9.1', port=b'-1'),
        _member('127.9.9.2', port=b'0'),
        _member('127.9.9.3', port=b'70000'),
        _member('127.9.9.4', port=_HUGE),
        _member('127.9.9.5', proxy_port=b'-1'),
        _member('127.9.9.6', proxy_port=b'70000'),
    ],
    'member-address': [
        _member('no address'),
        _member('a\r\nb'),
        _member('*'),
        _member('127.9.9.1:80'),
        _member('127.9.9.1;127.9.9.2'),
    ],
    'member-nested': [
        (roster.MEMBER_TABLE, '127.9.9.1', _NESTED),
        _member('127.9.9.2', other=_NESTED),
        _member('127.9.9.3', port=b'"x"'),
    ],
    'quarantine': [
        (roster.MEMBER_TABLE, quarantine.ROW_PREFIX + key, document)
        for key, document in (
            ('aa', _NESTED),
            ('bb', b'{"ends": [' + _HUGE + b', 1' + b'0' * 30 + b', 3]}'),
            ('cc', b'{"ends": [36893488147419103232, 1, 2]}'),
            ('dd', b'{"ends": [-36893488147419103232, 1, 2]}'),
            ('e' * 180, b'{"ends": [1, 2, 3, 4]}'),
        )
    ]
    + [(roster.MEMBER_TABLE, 'x/' + 'y' * 198, b'{}')],
    'versions': [
        _versions_row(other=_NESTED),
        ('service_versions', 'desk', _NESTED),
        ('service_versions', 'a\r\nb', b'{}'),
    ],
    'versions-number': [_versions_row(known_ms=b'1e300', era=_HUGE)],
    'versions-wide': [
        _versions_row(
            left_ms=msgspec.json.encode({f'{n:0100}': -1 for n in range(600)})
        )
    ],
    'origins': [
        ('stream_origins', 'a/1', _NESTED),
        (
            'stream_origins',
            'b/1',
            b'{"era":1,"written_ms":1e300,"origins":[["k","v",1e300]]}',
        ),
    ],
    'lease': [('leases', 'orders', _NESTED)],
}


class _Watch:
    """Gateways that read odd rows."""

    def __init__(self, rows: list[Row]) -> None:
        self._rows = rows
        self._version = 1
        self.fleet = fleets.Fleet(2, _MEMBERS, in_order=True)
        self.fleet.store.page_rows = 500
        self.later = self.fleet.upstreams[4:]
        for upstream in self.later:
            self.fleet.drop('servers', upstream.id)
        self._write()

    def _write(self) -> None:
        for table, key, document in self._rows:
            self.fleet.put_bytes(table, key, document)

    def write_again(self) -> None:
        """Write the rows again, and let all tables be read as a whole."""
        for table, key, _ in self._rows:
            self.fleet.drop(table, key)
        time.sleep(0.5)
        self._write()
        self.fleet.run(self.fleet.store.compact)

    def serves(self) -> None:
        """Check that both gateways serve requests of each kind.

        A machine that does much else may turn a caller away, who comes back.
        """
        for number in range(12):
            path = ('/often/x', '/once/x', '/say/x')[number % 3]
            vm = number // 3 % 2
            answer = self.fleet.ask(path, vm=vm)
            for _ in range(5):
                if answer.status in (0, 429, 503):
                    time.sleep(0.3)
                    answer = self.fleet.ask(path, vm=vm)
            assert answer.served, (path, answer)

    def follows_configuration(self) -> None:
        """Check that a new configuration is in force."""
        self._version += 1
        self.fleet.put('op', 'config', fleets.configuration(self._version))
        fleets.eventually(
            lambda: all(
                self._version in _values(vm, 'Configuration in force.')
                for vm in self.fleet.vms
            ),
            'the configuration is in force',
        )

    def follows_leaving(self, leaving: upstreams.Upstream) -> None:
        """Check that an upstream that leaves gets nothing more."""
        row = leaving.row('draining')
        self.fleet.put('servers', leaving.id, row)
        time.sleep(_FOLLOWED_S)
        seen = len(leaving.seen)
        self.serves()
        assert len(leaving.seen) == seen

    def add_version(self) -> None:
        """Add an engine of another version."""
        engine = self.later[1]
        engine.version = 'v2'
        self.fleet.put('servers', engine.id, engine.row())

    def follows_new(self) -> None:
        """Check that a new upstream gets requests."""
        added = self.later[0]
        self.fleet.put('servers', added.id, added.row())

        def is_used() -> bool:
            self.fleet.ask('/often/x')
            return bool(added.ran)

        fleets.eventually(is_used, 'a new upstream is used', _FOLLOWED_S * 2)

    def stores_versions(self) -> None:
        """Check that the versions of the model are written and renewed."""

        def row() -> dict[str, typing.Any]:
            table = self.fleet.store.tables.get('service_versions', {})
            stored = table.get('model')
            try:
                found = msgspec.json.decode(stored.value if stored else b'')
            except (msgspec.MsgspecError, RecursionError):
                return {}
            return found if isinstance(found, dict) else {}

        now_ms = time.monotonic() * 1000
        fleets.eventually(
            lambda: (
                row().get('complete_ms', 0) > now_ms
                and 'v2' in row().get('left_ms', ())
                and row().get('known_ms', 0) <= time.monotonic() * 1000
            ),
            'the versions are renewed',
            _RENEWED_S,
        )

    def runs_on(self) -> None:
        """Check that nothing has ended, failed or been logged each time."""
        for vm in self.fleet.vms:
            assert vm.exit_code() is None
            lines = vm.lines()
            failed = [
                line
                for line in lines
                if line['message'] in _FAILURES or 'level' not in line
            ]
            assert not failed, failed[:3]
            # A row that was written twice has been read three times as well.
            told = collections.Counter(
                tuple(sorted((k, v) for k, v in line.items() if k != 'time'))
                for line in lines
                if line['level'] == 'error'
            )
            assert all(count <= 3 for count in told.values()), told
            refused = [
                line for line in lines if 'Could not' in line['message']
            ]
            assert len(refused) < 3, refused[:3]
        owners = [
            _values(vm, 'Owner changed.', 'owner') for vm in self.fleet.vms
        ]
        assert len({found[-1] for found in owners}) == 1


def _values(
    vm: fleets.Vm, message: str, field: str = 'version'
) -> list[typing.Any]:
    return [line[field] for line in vm.lines() if line['message'] == message]


# Guards against: one entry that another writer left stops what a gateway does
# for all others: it no longer serves, follows the store or hears its peers.
@pytest.mark.parametrize('rows', _CASES.values(), ids=_CASES)
def test_odd_rows_stop_nothing(rows: list[Row]) -> None:
    """Odd rows are there at the start, and come again later."""
    watch = _Watch(rows)
    with watch.fleet:
        watch.serves()
        watch.add_version()
        watch.write_again()
        watch.follows_configuration()
        watch.follows_new()
        watch.follows_leaving(watch.fleet.upstreams[0])
        if rows != _CASES['version-many']:
            watch.stores_versions()
        watch.serves()
        watch.runs_on()


# Guards against: what one caller sends stops what a gateway does for all.
def test_odd_callers_stop_nothing() -> None:
    """Headers hold bytes that are no text, or very many."""
    watch = _Watch([])
    names = (
        'X-Galenahatch-Request-Id',
        'X-Galenahatch-Prompt-Prefix',
        'X-Galenahatch-Model',
        'Resumes',
        'Last-Event-Id',
        'Authorization',
        'Other',
    )
    with watch.fleet:
        watch.add_version()
        for value in ('\xe9', '\xff' * 9, 'b' * 600):
            for name in names:
                for path in ('/tell/x', '/often/x'):
                    watch.fleet.ask(path, 'POST', b'', 0, **{name: value})
        watch.serves()
        watch.follows_new()
        watch.stores_versions()
        watch.runs_on()
