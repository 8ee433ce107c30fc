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

"""Tests of answers to uploads that their upstream doesn't read to the end."""

import collections
import collections.abc
import itertools
import typing

import pytest

from galenahatch.test import fleet as fleets
from galenahatch.test.standin import upstreams

_MEMBERS: typing.Final = (
    *(('desk', ''),) * 2,
    ('model', 'prefill'),
    *(('model', 'decode'),) * 3,
)
_STAMP: typing.Final = 'x-galenahatch-response-stamp'
_RECEIVE_BYTES: typing.Final = 4096
_SIZES: typing.Final = (95_000, 2_000_000)
_FRAMINGS: typing.Final = ('unframed', 'length', 'chunked')
_ENDS: typing.Final = ('half-reset', 'reset', 'late-reset')
_ROUTES: typing.Final = ('/once/x', '/often/x', '/say/x', '/tell/x')
_CALLS: typing.Final = 5
_VMS: typing.Final = pytest.mark.parametrize(
    'vm', [0, 1], ids=['proxied', 'direct']
)


@pytest.fixture(scope='module')
def fleet() -> collections.abc.Iterator[fleets.Fleet]:
    """Two gateways; the first one's requests go through the other one.

    What upstreams don't read soon stays at the gateways.
    """
    config = fleets.configuration()
    config['limits']['max_body_bytes'] = max(_SIZES)
    found = fleets.Fleet(2, (), config, in_order=True)
    for member in _MEMBERS:
        upstream = upstreams.Upstream(*member)
        upstream.receive_bytes = _RECEIVE_BYTES
        found.call(upstream.start())
        found.upstreams.append(upstream)
        found.put('servers', upstream.id, upstream.row())
    found.vms[0].module = 'galenahatch.test.cutgateway'
    for vm in found.vms:
        bounds = {'grace_s': 8, 'drain_ms': 2000, 'lease_ms': 300}
        vm.write_settings(bounds={**bounds, 'retry_slack': 5000})
    with found as started:
        started.vms[0].cut('refuse')
        fleets.eventually(
            lambda: all(started.ask(path).served for path in _ROUTES),
            'served through the other one',
        )
        yield started


def _ask(
    fleet: fleets.Fleet,
    vm: int,
    path: str,
    size: int,
    faults: list[str],
    stage: str = '',
) -> fleets.Answer:
    """Send a request; the next upstreams that get it have faults."""
    planned = collections.deque(faults)
    for upstream in fleet.upstreams:
        is_meant = not stage or upstream.stage == stage
        upstream.faults = planned if is_meant else collections.deque()
    return fleet.ask(path, vm=vm, body=b'b' * size)


# Guards against the first part of an answer without a length that is taken
# for all of it, as its connection was closed before it was reset, with the
# request unread.
@_VMS
@pytest.mark.parametrize('path', _ROUTES)
@pytest.mark.parametrize('size', _SIZES)
def test_part_of_an_early_answer_is_not_whole(
    fleet: fleets.Fleet, size: int, path: str, vm: int
) -> None:
    """Its caller gets a failure, or another upstream's answer."""
    wrong = []
    for framing, how in itertools.product(_FRAMINGS, _ENDS):
        fault = f'early 200 {framing} {how}'
        stage = 'decode' if path in ('/say/x', '/tell/x') else ''
        answer = _ask(fleet, vm, path, size, [fault], stage)
        is_part = answer.body == upstreams.EARLY and answer.whole
        is_expected = answer.served if path == '/often/x' else True
        if is_part or not is_expected:
            wrong.append((fault, answer))
    assert not wrong, wrong


# Guards against the same in results of prefills.
@_VMS
@pytest.mark.parametrize('how', _ENDS)
def test_early_prefill_result_ends_no_stream(
    fleet: fleets.Fleet, how: str, vm: int
) -> None:
    """The stream is whole or fails."""
    fault = f'early 200 unframed {how}'
    answer = _ask(fleet, vm, '/tell/x', _SIZES[0], [fault], 'prefill')
    assert answer.served or answer.status >= 500, answer


# Guards against errors that servers state before they have read a long body,
# and that are taken for broken as well.
@_VMS
@pytest.mark.parametrize('path', ['/once/x', '/say/x'])
@pytest.mark.parametrize('status', [302, 400, 413])
def test_early_error_reaches_its_caller(
    fleet: fleets.Fleet, status: int, path: str, vm: int
) -> None:
    """It bears the upstream's signature."""
    stage = 'decode' if path == '/say/x' else ''
    for how in ('half-reset', 'half'):
        fault = f'early {status} unframed {how}'
        answer = _ask(fleet, vm, path, _SIZES[1], [fault], stage)
        assert answer.status == status and _STAMP in answer.headers, answer
        assert answer.body == upstreams.EARLY


# Guards against whole answers without a length that are taken for broken,
# since their request was long.
@_VMS
@pytest.mark.parametrize('path', _ROUTES)
@pytest.mark.parametrize('size', _SIZES)
def test_answer_without_length_to_a_long_request(
    fleet: fleets.Fleet, size: int, path: str, vm: int
) -> None:
    """An upstream that has read all of the request closes its connection."""
    for upstream in fleet.upstreams:
        upstream.is_framed = False
    try:
        for _ in range(_CALLS):
            answer = _ask(fleet, vm, path, size, [])
            assert answer.served, answer
            assert fleet.runs(answer.id) == 1
    finally:
        for upstream in fleet.upstreams:
            upstream.is_framed = True
