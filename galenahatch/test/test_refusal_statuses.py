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

"""Tests of statuses that promise a caller that its request has not run.

An upstream that rejects a request says so with a mark. Without it the request
has run, whatever the status, and the status isn't passed on.
"""

import collections
import collections.abc
import itertools
import typing

import pytest

from galenahatch.test import fleet as fleets

_MEMBERS: typing.Final = (
    *(('desk', ''),) * 2,
    ('model', 'prefill'),
    *(('model', 'decode'),) * 3,
)
_STAMP: typing.Final = 'x-galenahatch-response-stamp'
_PROMISES: typing.Final = (408, 421, 429, 503)
_TAKEN_UP: typing.Final = '/tell/taken-up'
_CALLS: typing.Final = 80
_FORMS: typing.Final = ('', ' unsigned', ' chunked', ' unframed', ' empty')
_ANSWERS: typing.Final = tuple(
    f'status {status}{form}'
    for status, form in itertools.product((408, 429, 503), _FORMS)
)


@pytest.fixture(scope='module')
def fleet() -> collections.abc.Iterator[fleets.Fleet]:
    """Two gateways; the first one's requests go through the other one."""
    found = fleets.Fleet(2, _MEMBERS, in_order=True)
    found.vms[0].module = 'galenahatch.test.cutgateway'
    for vm in found.vms:
        bounds = {'grace_s': 8, 'drain_ms': 2000, 'lease_ms': 300}
        vm.write_settings(bounds={**bounds, 'retry_slack': 5000})
    with found as started:
        started.vms[0].cut('refuse')
        paths = ('/once/x', '/say/x')
        fleets.eventually(
            lambda: all(started.ask(path).served for path in paths),
            'served through the other one',
        )
        yield started


def _ask(
    fleet: fleets.Fleet,
    vm: int,
    path: str,
    faults: list[str],
    **headers: typing.Any,
) -> fleets.Answer:
    """Send a request whose next runs are answered as planned."""
    planned = collections.deque(faults)
    for upstream in fleet.upstreams:
        upstream.faults, upstream.resumed_faults = planned, planned
    return fleet.ask(path, vm=vm, **headers)


# Guards against 408, 429 and 503 that tell a caller that its request has not
# run, and that it may send it once more, though an upstream has run it.
@pytest.mark.parametrize('vm', [0, 1], ids=['proxied', 'direct'])
@pytest.mark.parametrize('path', ['/once/x', '/say/x'])
def test_request_that_ran_is_not_refused(
    fleet: fleets.Fleet, path: str, vm: int
) -> None:
    """Its caller is told that it may have run, and it isn't repeated."""
    wrong = []
    for planned in _ANSWERS:
        answer = _ask(fleet, vm, path, [planned] * 3)
        is_right = answer.status == 502 and _STAMP not in answer.headers
        if not is_right or fleet.runs(answer.id) != 1:
            wrong.append((planned, answer))
    assert not wrong, wrong


# Guards against the same for requests that may run again: they are repeated,
# and their callers are not told that they never ran.
@pytest.mark.parametrize('vm', [0, 1], ids=['proxied', 'direct'])
@pytest.mark.parametrize('path', ['/often/x', '/tell/x', _TAKEN_UP])
def test_repeatable_request_that_ran_is_repeated(
    fleet: fleets.Fleet, path: str, vm: int
) -> None:
    """It is served by another upstream, or fails after its last attempt."""
    headers = {}
    if path == _TAKEN_UP:
        first = _ask(fleet, vm, path, ['cut'] * 9)
        headers = {'Last_Event_Id': '3', 'Resumes': first.id}
    wrong = []
    for planned in _ANSWERS:
        answer = _ask(fleet, vm, path, [planned], **headers)
        if not answer.served or fleet.runs(answer.id) != 2:
            wrong.append((planned, answer))
        answer = _ask(fleet, vm, path, [planned] * 9, **headers)
        if answer.status in _PROMISES or fleet.runs(answer.id) < 2:
            wrong.append((planned, answer))
    assert not wrong, wrong


# Guards against requests that fail though their upstream has rejected them.
@pytest.mark.parametrize('vm', [0, 1], ids=['proxied', 'direct'])
@pytest.mark.parametrize('path', ['/once/x', '/say/x'])
def test_marked_refusal_is_no_run(
    fleet: fleets.Fleet, path: str, vm: int
) -> None:
    """Another upstream gets the request."""
    answer = _ask(fleet, vm, path, ['refuse'])
    assert answer.served, answer
    assert fleet.runs(answer.id) == 1


# Guards against an upstream that fails its calls with 429 and gets more of
# them than others, as it counts as one that serves them quickly.
def test_upstream_that_denies_its_runs_is_ejected(
    fleet: fleets.Fleet,
) -> None:
    """Most of its calls go to the other upstream."""
    for upstream in fleet.upstreams:
        upstream.faults = collections.deque()
    failing, sound = fleet.of('desk')
    failing.faults.extend(['status 429'] * _CALLS)
    ran = len(sound.ran)
    for _ in range(_CALLS):
        fleet.ask('/once/x', vm=1)
    failing.faults.clear()
    assert len(sound.ran) - ran > 0.75 * _CALLS
