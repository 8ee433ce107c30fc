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

"""All decoders of what other processes write, with whatever they may write.

`CASES` lists them; `test_list` finds those that it lacks.
"""

import ast
import collections.abc
import dataclasses
import enum
import importlib
import pathlib
import typing

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from galenahatch import answers
from galenahatch import bounds
from galenahatch.core import claim
from galenahatch.core import customers
from galenahatch.core import revision
from galenahatch.core import upstreams
from galenahatch import decoding
from galenahatch import errors
from galenahatch.gateway import frames
from galenahatch.gateway import lease
from galenahatch.gateway import messages as gateway_messages
from galenahatch.gateway import originlog
from galenahatch.gateway import quarantine
from galenahatch.gateway import roster
from galenahatch.gateway import versionrows
from galenahatch import ids
from galenahatch import messages
from galenahatch.platform import deployment
from galenahatch.platform import documents
from galenahatch.platform import engines
from galenahatch.platform import store as stores
from galenahatch import states
from galenahatch.test import samples

PACKAGE: typing.Final = pathlib.Path(decoding.__file__).parent
_ALLOWED: typing.Final = {
    'config: tomllib.loads': 'called by decoding.guard',
}
"""Calls of decoders elsewhere than in `decoding`, and why."""
_LIBRARIES: typing.Final = ('json', 'msgspec', 'pickle', 'tomllib')
_RAW_CALLS: typing.Final = frozenset(
    (
        'json.load',
        'json.loads',
        'msgspec.convert',
        'msgspec.json.decode',
        'msgspec.msgpack.decode',
        'msgspec.toml.decode',
        'msgspec.yaml.decode',
        'pickle.load',
        'pickle.loads',
        'tomllib.load',
        'tomllib.loads',
    )
)
_CONTROLS: typing.Final = frozenset(map(chr, (*range(32), *range(127, 160))))
_CONSTRUCTORS: typing.Final = (
    'msgspec.json.Decoder',
    'msgspec.msgpack.Decoder',
)


@dataclasses.dataclass(frozen=True)
class Case:
    """A decoder.

    Attributes:
        sample: A document that it accepts.
        decode: What calls it; by default, the one function alone.
        prefix: Bytes before the document.
        is_bounded: Whether all that it accepts is bounded. Peers run our own
            code, callers' bodies and lines of logs are checked afterwards,
            and bundles and heads of configurations are checked before.
    """

    sample: object
    decode: collections.abc.Callable[[bytes], object] | None = None
    prefix: bytes = b''
    is_bounded: bool = True


def _upstream(data: bytes) -> object:
    return documents.decode_upstream('i-1', data)


def _member(data: bytes) -> object:
    return roster.decode_member_row(stores.Row('10.0.0.1', 1, data))


def _lease(data: bytes) -> object:
    rows = stores.Rows([stores.Row('orders', 1, data)], 1, 1000.0)
    return lease.current_holder(rows)


_HEAD: typing.Final = samples.accepted(1).head
_COMPLETION: typing.Final = {'model': 'm', 'prompt': 'p', 'max_tokens': 3}
_ANSWER: typing.Final = claim.Answer(200, 'answered', 'text/plain', b'x')
_ROWS: typing.Final = {
    'rows': [{'key': 'k', 'ver': 3, 'value': 'eA=='}],
    'ver': 3,
    'now_ms': 1.5,
    'has_more': False,
}
_ENTRY: typing.Final = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq_no': 1,
    'born': 5,
    'stage': 'decode',
}
_CONFIG: typing.Final = {
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
    'services': [{'name': 's', 'engine': {'slots': 3, 'kv_tokens': 9}}],
    'limits': {'max_body_bytes': 10},
    'tenants': [{'name': 't', 'api_keys': ['k'], 'weight': 2}],
}
_SETTINGS: typing.Final = {
    'node_name': 'n',
    'ip': '10.0.0.1',
    'zone': 'z',
    'listen': {'front': '10.0.0.1:80', 'readiness': '10.0.0.1:81'},
    'port_range': [7000, 7010],
    'platform': {'address': '10.9.0.1:80'},
    'bounds': {'drain_ms': 5},
    'features': {'flow_control': True},
    'limits': {'memory_mb': 100},
}
CASES: typing.Final[dict[str, Case]] = {
    'answers:_STORED_DECODER': Case(
        {'choices': [{'finish_reason': 'stop', 'message': {'content': 'x'}}]},
        lambda data: answers.decode_stored_completion(
            claim.Answer(200, 'answered', 'text/plain', data)
        ),
        is_bounded=False,
    ),
    'claimclient:_ANSWER_DECODER': Case(_ANSWER),
    'controller:_RECORD_DECODER': Case(['m', 1, 2, 3]),
    'core.claim:_DECODER': Case(
        claim.Record(
            ids.ClaimToken('t'), 'f', ids.MemberId('m'), 1, answer=_ANSWER
        ),
        claim.decode,
        is_bounded=False,
    ),
    'core.revision:_ACCEPTED': Case(
        samples.accepted(1), revision.decode_accepted, is_bounded=False
    ),
    'core.revision:_BUNDLE': Case(
        samples.accepted(1).bundle, is_bounded=False
    ),
    'core.revision:_HEAD': Case(_HEAD, revision.decode_head, is_bounded=False),
    'gateway.frames:_DECODER': Case(
        gateway_messages.Suspicions(
            (gateway_messages.Suspicion(ids.RequestDigest('d'), (1,), 0.5),)
        ),
        frames.decode,
        bytes([1]),
        is_bounded=False,
    ),
    'gateway.lease:_DECODER': Case(
        {'holder': 'h', 'until_ms': 2000.0, 'era': 0}, _lease
    ),
    'gateway.originlog:_DECODER': Case(
        {'era': 1, 'written_ms': 2.0, 'origins': [['k', 'v', 3.0]]},
        originlog.decode,
        is_bounded=False,
    ),
    'gateway.quarantine:_DECODER': Case(
        {'ends': [1, 2], 'released': False},
        lambda data: quarantine.decode(stores.Row('quarantine/d', 1, data)),
    ),
    'gateway.roster:_DECODER': Case(
        {'port': 7000, 'data_centre': 'z', 'proxy_port': 7001}, _member
    ),
    'gateway.versionrows:_DECODER': Case(
        {'era': 1, 'left_ms': {'v': -1.0}, 'known_ms': 1.0, 'complete_ms': 2},
        lambda data: versionrows.decode(data, 1, 10.0),
    ),
    'inbound:_CHAT_DECODER': Case(
        {'model': 'm', 'messages': [{'role': 'user', 'content': 'x'}]},
        is_bounded=False,
    ),
    'inbound:_COMPLETION_DECODER': Case(_COMPLETION, is_bounded=False),
    'messages:_DECODER': Case(
        samples.heartbeat(states.Standing.LIVE, 1),
        messages.decode,
        bytes([messages.VERSION]),
        is_bounded=False,
    ),
    'platform.deployment:_DECODER': Case(_SETTINGS, deployment.decode),
    'platform.documents:_CONFIG_DECODER': Case(
        _CONFIG, documents.decode_configuration
    ),
    'platform.documents:_UPSTREAM_DECODER': Case(_ENTRY, _upstream),
    'platform.engines:_PREFILLED_DECODER': Case(
        {'kv_handle': '3fa09c41b7d5'}, engines.decode_prefill_result
    ),
    'platform.engines:_REPORT_DECODER': Case(
        {'stage': 'decode', 'active': 1, 'kv_used': 4, 'born': 5},
        engines.decode_report,
    ),
    'platform.store:_COMMITTED_DECODER': Case({'ver': 3, 'now_ms': 1.5}),
    # Who reads a row checks it.
    'platform.store:_ROWS_DECODER': Case(_ROWS, is_bounded=False),
    'platform.table:_VALUES_DECODER': Case({'k': 'eA=='}, is_bounded=False),
    'platform.vms:_DECODER': Case(
        {
            'version': 1,
            'vms': [{'name': 'n', 'address': 'a', 'data_centre': 'z'}],
        }
    ),
    'trace:_DECODER': Case({'message': 'm', 'x': 1}, is_bounded=False),
    'upstream.engine:_ERROR_DECODER': Case(
        {'started': True, 'why': 'w'}, is_bounded=False
    ),
    'upstream.engine:_EVENT_DECODER': Case(
        {'stream': 's', 'offset': 1, 'text': 'x'}, is_bounded=False
    ),
    'upstream.engine:_LOAD_DECODER': Case(
        {
            'incarnation': 1,
            'sequence': 2,
            'leaving': False,
            'held': 3,
            'seconds_per_token': 0.1,
            'events': [{'number': 1, 'blocks': [1]}],
        },
        is_bounded=False,
    ),
    'upstream.engine:_ORDER_DECODER': Case(
        {'model': 'm', 'adapter': '', 'version': '1', 'role': 'decode'},
        is_bounded=False,
    ),
    'upstream.engine:_PREFILL_DECODER': Case(
        {'prompt_tokens': 1, 'cached_tokens': 2}
    ),
    'upstream.service:_REFUSAL_DECODER': Case({'started': False}),
}


# The list.


def _name(path: pathlib.Path) -> str:
    return '.'.join(path.relative_to(PACKAGE).with_suffix('').parts)


def _dotted(node: ast.expr) -> str:
    """Return a name with its attributes; empty for other expressions."""
    if isinstance(node, ast.Name):
        return node.id
    if isinstance(node, ast.Attribute):
        return f'{_dotted(node.value)}.{node.attr}'
    return ''


def _find_decoders(tree: ast.Module) -> dict[str, ast.expr]:
    """Return the decoders that a module constructs, by their names."""
    found = {}
    for node in tree.body:
        if isinstance(node, ast.AnnAssign) and node.value is not None:
            if isinstance(node.target, ast.Name):
                found[node.target.id] = node.value
        elif isinstance(node, ast.Assign):
            found.update(
                (target.id, node.value)
                for target in node.targets
                if isinstance(target, ast.Name)
            )
    return {
        name: value
        for name, value in found.items()
        if isinstance(value, ast.Call) and _dotted(value.func) in _CONSTRUCTORS
    }


def find_unguarded(module: str, text: str) -> list[str]:
    """Return how a module decodes otherwise than by the one function."""
    tree = ast.parse(text)
    decoders = _find_decoders(tree)
    guarded = set()
    found = []
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        function = _dotted(node.func)
        if function == 'decoding.decode' and node.args:
            guarded.add(node.args[0])
        if function in _CONSTRUCTORS and node not in decoders.values():
            found.append(f'{module}: {function} without a name')
    for node in ast.walk(tree):
        name = _dotted(node) if isinstance(node, ast.Attribute) else ''
        if name in _RAW_CALLS:
            found.append(f'{module}: {name}')
        elif isinstance(node, ast.ImportFrom) and node.module in _LIBRARIES:
            found.append(f'{module}: from {node.module}')
        elif isinstance(node, ast.alias) and node.asname:
            if node.name.partition('.')[0] in _LIBRARIES:
                found.append(f'{module}: {node.name} as {node.asname}')
        elif isinstance(node, ast.Name) and isinstance(node.ctx, ast.Load):
            if node.id in decoders and node not in guarded:
                found.append(f'{module}: {node.id}')
    return found


def test_list() -> None:
    """Each decoder is called by the one function, and is one of `CASES`."""
    unguarded, decoders = [], set()
    for path in sorted(PACKAGE.rglob('*.py')):
        module = _name(path)
        if module == 'decoding' or module.startswith('test.'):
            continue
        text = path.read_text()
        unguarded += find_unguarded(module, text)
        decoders |= {
            f'{module}:{name}' for name in _find_decoders(ast.parse(text))
        }
    assert sorted(unguarded) == sorted(_ALLOWED)
    assert decoders == CASES.keys()


@pytest.mark.parametrize(
    'text',
    [
        'x = msgspec.json.decode(data, type=int)',
        'x = msgspec.convert(data, int)',
        'decode = json.loads',
        'from msgspec import json',
        'import msgspec as m',
        '_D = msgspec.json.Decoder(int)\nx = _D.decode(data)',
        '_D: T = msgspec.msgpack.Decoder(int)\ny = _D',
        'x = msgspec.json.Decoder(int).decode(data)',
    ],
)
def test_list_finds(text: str) -> None:
    """Each way around the one function is found."""
    assert find_unguarded('m', text)


# Whatever is written.

_DEEP: typing.Final = 100_000
_ODD_JSON: typing.Final = (
    b'[' * _DEEP,
    b'{"x":' * _DEEP,
    b'[' * 200 + b']' * 200,
    b'9' * 5000,
    b'-' + b'9' * 400,
    b'18446744073709551615',
    b'9007199254740993',
    b'-1',
    b'0',
    b'70000',
    b'1e400',
    b'-1e300',
    b'1e300',
    b'0.5',
    b'NaN',
    b'"\\ud800"',
    b'"\\u0000"',
    b'"a\\r\\nX: 1"',
    b'"\xff\xfe"',
    b'"\xed\xa0\x80"',
    b'"\\u2028"',
    b'"' + b'x' * 40_000 + b'"',
    b'""',
    b'null',
    b'true',
    b'[]',
    b'{}',
    b'[1, "x", {}]',
    b'{"a": 1, "a": [2]}',
)
_ODD_MSGPACK: typing.Final = (
    b'\x91' * _DEEP,
    b'\x81\x01' * _DEEP,
    b'\xcf' + b'\xff' * 8,
    b'\xd3\x80' + b'\x00' * 7,
    b'\xcb\x7f\xf8' + b'\x00' * 6,
    b'\xcb\x7f\xf0' + b'\x00' * 6,
    b'\xa2\xff\xfe',
    b'\xa3\xed\xa0\x80',
    b'\xa3a\r\n',
    b'\xda\x9c\x40' + b'x' * 40_000,
    b'\xdd\xff\xff\xff\xff',
    b'\xdf\xff\xff\xff\xff',
    b'\xc6\xff\xff\xff\xff',
    b'\xc7\x0c\xff' + b'\xff' * 12,
    b'\xc0',
    b'\xc3',
    b'\x90',
    b'\x80',
    b'\xff',
    b'\x01',
)
_ODD_KEYS: typing.Final = ('', 'x' * 40_000, 'a\r\n', '\0', 'new', 'ä')


def _decoder(name: str) -> typing.Any:
    module, _, attribute = name.partition(':')
    return getattr(importlib.import_module(f'galenahatch.{module}'), attribute)


_DECODERS: typing.Final = {name: _decoder(name) for name in CASES}


def _is_json(name: str) -> bool:
    return isinstance(_DECODERS[name], msgspec.json.Decoder)


def _codec(name: str) -> typing.Any:
    return msgspec.json if _is_json(name) else msgspec.msgpack


def _odd(name: str) -> tuple[bytes, ...]:
    return _ODD_JSON if _is_json(name) else _ODD_MSGPACK


def _sample(name: str) -> dict[str, typing.Any]:
    """Return a document, under one key so that all of it can be replaced."""
    codec = _codec(name)
    return {'whole': codec.decode(codec.encode(CASES[name].sample))}


def _paths(tree: typing.Any) -> list[tuple[typing.Any, ...]]:
    """Return where a document has values, the whole first."""
    items: typing.Any = ()
    if isinstance(tree, dict):
        items = tree.items()
    elif isinstance(tree, list):
        items = enumerate(tree)
    return [(), *((key, *rest) for key, v in items for rest in _paths(v))]


@strategies.composite
def _mutations(draw: strategies.DrawFn, name: str) -> bytes:
    """Return a document with something odd in it."""
    codec, tree = _codec(name), _sample(name)
    path = draw(strategies.sampled_from(_paths(tree)[1:]))
    odd = msgspec.Raw(draw(strategies.sampled_from(_odd(name))))
    parent: typing.Any = tree
    for key in path[:-1]:
        parent = parent[key]
    target = parent[path[-1]]
    action = draw(strategies.integers(0, 3))
    if action == 1 and isinstance(target, dict):
        target[draw(strategies.sampled_from(_ODD_KEYS))] = odd
    elif action == 1 and isinstance(target, list):
        target.append(odd)
    elif action == 2 and len(path) > 1:
        del parent[path[-1]]
    elif (
        action == 3 and _is_json(name) and isinstance(target, dict) and target
    ):
        # A key twice.
        key = draw(strategies.sampled_from(sorted(target)))
        pair = codec.encode({key: odd})[1:-1]
        body = codec.encode(target)[:-1]
        parent[path[-1]] = msgspec.Raw(body + b',' + pair + b'}')
    else:
        parent[path[-1]] = odd
    data: bytes = CASES[name].prefix + codec.encode(tree['whole'])
    cut = draw(strategies.integers(0, 2 * len(data)))
    return data[:cut] if cut else data


def _call(name: str, data: bytes) -> object:
    decode = CASES[name].decode
    if decode is not None:
        return decode(data)
    return decoding.decode(_DECODERS[name], data, errors.BAD_FRAME)


def _check(value: typing.Any) -> None:
    """Check that a value can be sent on, logged and calculated with."""
    if isinstance(value, bool | enum.Enum | bytes | None):
        return
    if isinstance(value, str):
        assert len(value) <= 4096 and not set(value) & _CONTROLS
        value.encode()
    elif isinstance(value, int):
        assert abs(value) < 2**63
    elif isinstance(value, float):
        assert abs(value) <= 1e15
    elif isinstance(value, dict):
        _check((*value.keys(), *value.values()))
    elif isinstance(value, tuple | list | frozenset | set):
        for item in value:
            _check(item)
    elif isinstance(value, msgspec.Struct):
        _check(msgspec.structs.astuple(value))
    elif isinstance(value, customers.Customers):
        _check(value.weights)
    else:
        _check([getattr(value, f.name) for f in dataclasses.fields(value)])
    if isinstance(value, upstreams.Upstream):
        assert bounds.check_address(value.address) == value.address
        assert len(value.version) <= 200


def _check_result(name: str, result: object) -> None:
    if isinstance(result, errors.Failure):
        assert len(result.detail) < 1000
        assert result.detail.isprintable()
    elif CASES[name].is_bounded:
        _check(result)


@pytest.mark.parametrize('name', CASES)
def test_samples(name: str) -> None:
    """What is odd below is so by one value only."""
    case = CASES[name]
    result = _call(name, case.prefix + _codec(name).encode(case.sample))
    assert result and not isinstance(result, errors.Failure), result
    _check_result(name, result)


@pytest.mark.parametrize('name', CASES)
@hypothesis.settings(max_examples=60)
@hypothesis.given(strategies.data())
def test_odd_documents(name: str, data: strategies.DataObject) -> None:
    """No document raises, and what is accepted can be used."""
    _check_result(name, _call(name, data.draw(_mutations(name))))


@pytest.mark.parametrize('name', CASES)
@hypothesis.settings(max_examples=40)
@hypothesis.given(strategies.binary())
def test_odd_bytes(name: str, data: bytes) -> None:
    """No bytes raise."""
    _check_result(name, _call(name, CASES[name].prefix + data))


@hypothesis.given(strategies.text(max_size=60))
def test_odd_addresses(text: str) -> None:
    """No text raises anything but a ValueError, as a key or an address."""
    for check in (bounds.check_id, bounds.check_key, bounds.check_address):
        try:
            _check(check(text) if check is not bounds.check_key else '')
        except ValueError:
            pass


@pytest.mark.parametrize('name', CASES)
def test_every_odd_value(name: str) -> None:
    """Each odd value at each place of a document."""
    for path in _paths(_sample(name))[1:]:
        for odd in _odd(name):
            tree: typing.Any = _sample(name)
            parent = tree
            for key in path[:-1]:
                parent = parent[key]
            parent[path[-1]] = msgspec.Raw(odd)
            data = _codec(name).encode(tree['whole'])
            _check_result(name, _call(name, CASES[name].prefix + data))
