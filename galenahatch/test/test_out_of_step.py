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
"""A gateway stands still while engines of a new software version join."""

import collections.abc
import concurrent.futures
import contextlib
import signal
import time
import typing

import pytest

from galenahatch.test import fleet as fleets
from galenahatch.test import test_versions as versions

_HALT_S: typing.Final = 1.0
"""Seconds from the return to the gateway until it goes on."""
_ROW: typing.Final[dict[str, typing.Any]] = {
    'era': 1,
    'left_ms': {'v1': -1.0},
    'known_ms': 0.0,
}
"""The store tells that v1 has been the only version for long."""


def _is_listed(
    fleet: fleets.Fleet, vms: collections.abc.Iterable[int]
) -> bool:
    """Return whether one of some gateways has stored that v2 serves."""
    return any(
        line.get('message') == 'Service versions stored.'
        and 'v2' in line['versions'].split(',')
        for vm in vms
        for line in fleet.vms[vm].lines()
    )


def _halted_release(
    halted: int, killed: tuple[int, ...], older: str, store: str
) -> tuple[list[versions._Begun], list[fleets.Answer], list[set[str]]]:
    """Let streams begin while a gateway stands still, and return to it.

    Args:
        halted: The gateway.
        killed: Gateways that end while it stands still.
        older: Version that it knows; empty if engines state none.
        store: What the store does from then on, as of `standin.rows`.

    Returns:
        Streams; what their callers got; versions that each ran at then.
    """
    engines = tuple(v if v == 'v2' else older for v in versions._VERSIONS)
    row = _ROW if older else None
    with (
        versions._fleet(engines, later='v2', row=row) as fleet,
        contextlib.ExitStack() as stack,
        concurrent.futures.ThreadPoolExecutor(1) as threads,
    ):
        time.sleep(1.0)
        others = [vm for vm in range(4) if vm != halted]
        fleet.vms[halted].signal(signal.SIGSTOP)
        stack.callback(fleet.vms[halted].signal, signal.SIGCONT)
        versions._add_version(fleet, 'v2')
        fleets.eventually(lambda: _is_listed(fleet, others), 'v2 is listed')
        time.sleep(0.5)
        streams = versions._begin(fleet, others, stack)
        assert any(stream.version == 'v2' for stream in streams)
        for vm in killed:
            fleet.vms[vm].kill()
        fleet.store.mode = store
        returns = threads.submit(
            versions._resume_all, fleet, (halted,), streams
        )
        time.sleep(_HALT_S)
        fleet.vms[halted].signal(signal.SIGCONT)
        answers = returns.result()
        ran = [
            {u.version for u in versions._ran(fleet, a.id)} for a in answers
        ]
        return streams, answers, ran


# Guards against streams that go on at another software version at a gateway
# that stood still while engines of theirs joined.
@pytest.mark.parametrize(
    ('halted', 'killed', 'older', 'store'),
    [
        pytest.param(0, (), 'v1', '', id='owner'),
        pytest.param(0, (1, 2, 3), 'v1', '', id='owner, alone'),
        pytest.param(0, (1, 2, 3), '', '', id='owner, alone, none stated'),
        pytest.param(1, (0,), 'v1', '', id='successor of a lost owner'),
        pytest.param(3, (0, 1, 2), 'v1', '', id='alone'),
        pytest.param(3, (0, 1, 2), 'v1', 'silent', id='alone, no store'),
    ],
)
def test_streams_return_to_a_gateway_that_stood_still(
    halted: int, killed: tuple[int, ...], older: str, store: str
) -> None:
    """Each goes on at the version that began it, or is refused."""
    streams, answers, ran = _halted_release(halted, killed, older, store)
    begun = [stream.version for stream in streams]
    assert 'v2' in begun
    for version, where in zip(begun, ran, strict=True):
        if version == 'v2':
            assert where <= {version}, (begun, ran)
    assert {a.status for a in answers} <= {200, 429, 503}


# Guards against an owner that stood still and refuses streams that another
# one has stored meanwhile.
def test_stored_streams_go_on_at_an_owner_that_stood_still() -> None:
    """Though all others have ended; of v2 it may know no engine yet."""
    streams, answers, ran = _halted_release(0, (1, 2, 3), 'v1', '')
    for stream, answer, where in zip(streams, answers, ran, strict=True):
        if answer.served:
            assert where == {stream.version}
        else:
            assert stream.version == 'v2'
            assert versions._type(answer) == 'version_not_served'
