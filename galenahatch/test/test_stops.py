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

"""Planned stops: nobody's request is lost by them.

Three faults were found here. A call of two seconds ended without an answer
during a stop. The gateway did not run as the balancer had looked away, came
back, and ended before it was through with what had come: `Stopped.` with
`in_flight` 0, and 2 ms later `Sent.` or `Caller disconnected.` of the request
that it had read by then.

A gateway that stops went on taking callers to its last moment. What was in
flight then was cut, and what came after that, on a connection accepted while
the process closed its own, was answered 500. A soak of stops showed it:
requests that "ran 1 times" and got no answer, and status 500 behind the log
line `Stopped.`.

A second signal, or one that met the very end, ended the process and all calls
with it. The same soak showed exit codes -15 and -1.

`galenahatch.test.stops` plays more seeds by hand, and more gateways.
"""

import asyncio
import contextlib
import signal
import socket
import time
import typing

from aiohttp import web
import pytest
import uvloop

from galenahatch.core import routes
from galenahatch.gateway import connections
from galenahatch.gateway import settings
from galenahatch.test import fleet as fleets
from galenahatch.test import ports
from galenahatch.test import stops

_LOOPS: typing.Final = {
    'asyncio': asyncio.new_event_loop,
    'uvloop': uvloop.new_event_loop,
}
_REQUEST: typing.Final = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
_LOOK_AWAY: typing.Final = 2.6
"""Seconds for which a gateway that stops takes new callers."""


@pytest.mark.parametrize('seed', [101, 122, 124, 145])
def test_seed(seed: int) -> None:
    """A stop loses no request that has reached the gateway."""
    assert not stops.play(seed)


@pytest.mark.parametrize('before', [0.1, 0.4])
@pytest.mark.parametrize('delay', [0.0, 1.0])
def test_stop_answers_what_came_in_a_pause(
    before: float, delay: float
) -> None:
    """Requests that wait to be read as a stop may end are answered.

    One comes on a kept connection, one on a connection that the gateway has
    not accepted yet. Each caller sent its request 0.1 s or more before the
    gateway may end.
    """
    with fleets.Fleet(1, (('desk', ''), ('desk', ''))) as fleet:
        (vm,) = fleet.vms
        with fleets.Caller(vm) as kept, fleets.Caller(vm) as fresh:
            assert kept.ask('/once/x').status == 200
            for upstream in fleet.of('desk'):
                upstream.delay = delay
            vm.signal(signal.SIGTERM)
            time.sleep(_LOOK_AWAY - before - 0.1)
            vm.signal(signal.SIGSTOP)
            sent = [kept.begin('/once/x'), fresh.begin('/once/x')]
            time.sleep(before + 0.3)
            vm.signal(signal.SIGCONT)
            answers = [kept.end(), fresh.end()]
        assert [answer.status for answer in answers] == [200, 200]
        assert all(answer.whole for answer in answers)
        assert [fleet.runs(request) for request in sent] == [1, 1]
        assert vm.wait() == 0


def test_stop_takes_who_was_not_accepted() -> None:
    """A caller alone, whose connection was not accepted yet, is answered."""
    with fleets.Fleet(1, (('desk', ''),)) as fleet:
        (vm,) = fleet.vms
        vm.signal(signal.SIGTERM)
        time.sleep(_LOOK_AWAY - 0.2)
        vm.signal(signal.SIGSTOP)
        with fleets.Caller(vm) as caller:
            caller.begin('/once/x')
            time.sleep(0.5)
            vm.signal(signal.SIGCONT)
            assert caller.end().served
        assert vm.wait() == 0


@pytest.mark.parametrize('pause', [0.2, 0.6, 1.2])
def test_stop_paused_at_any_moment(pause: float) -> None:
    """A call that was begun before a stop may end is answered.

    The gateway does not run for one while, at each of some moments around
    the end of the look away; the call takes a second.
    """
    with fleets.Fleet(3, (('desk', ''), ('desk', ''))) as fleet:
        for upstream in fleet.of('desk'):
            upstream.delay = 1.0
        for vm in fleet.vms:
            vm.signal(signal.SIGTERM)
        began = time.monotonic()
        with contextlib.ExitStack() as stack:
            calls_begun = []
            for vm, at in zip(fleet.vms, (2.1, 2.3, 2.5), strict=True):
                time.sleep(max(0.0, began + at - time.monotonic()))
                vm.signal(signal.SIGSTOP)
                caller = stack.enter_context(fleets.Caller(vm))
                caller.begin('/once/x')
                calls_begun.append(caller)
            for vm, at in zip(fleet.vms, (2.1, 2.3, 2.5), strict=True):
                time.sleep(max(0.0, began + at + pause - time.monotonic()))
                vm.signal(signal.SIGCONT)
            answers = [caller.end() for caller in calls_begun]
        assert [answer.status for answer in answers] == [200] * 3
        assert [vm.wait() for vm in fleet.vms] == [0] * 3


def test_stop_waits_for_the_rest_of_a_head() -> None:
    """A request of which a part has come is read on and answered."""
    with fleets.Fleet(1, (('desk', ''),)) as fleet:
        (vm,) = fleet.vms
        with socket.create_connection((vm.address, vm.front)) as caller:
            vm.signal(signal.SIGTERM)
            time.sleep(_LOOK_AWAY - 0.3)
            caller.sendall(b'POST /once/x HTTP/1.1\r\n')
            time.sleep(0.8)
            rest = f'Host: {fleets.HOST}\r\nContent-Length: 0\r\n\r\n'
            caller.sendall(rest.encode())
            caller.settimeout(5.0)
            assert caller.recv(100).startswith(b'HTTP/1.1 200 ')
        assert vm.wait() == 0


def test_pause_is_no_time_to_look_away() -> None:
    """Callers get their time to go elsewhere from a process that runs.

    The balancer does not hear that a gateway is not ready while that does
    not run. The steps of `test_stop_takes_no_late_streams` beside stalls: the
    stream took over 0.4 s, so the call came 2.7 s after the signal, and found
    nobody listening. Log: `Stopped.`, `seconds` 2.72, after four lines
    `Stalled.` of 1.5 s in all.
    """
    with fleets.Fleet(1, (('desk', ''),)) as fleet:
        (vm,) = fleet.vms
        vm.signal(signal.SIGTERM)
        for _ in range(3):
            time.sleep(0.2)
            vm.signal(signal.SIGSTOP)
            time.sleep(0.5)
            vm.signal(signal.SIGCONT)
        time.sleep(1.0)
        assert fleet.ask('/once/x').served
        assert vm.wait() == 0


def test_stop_refuses_what_it_would_cut() -> None:
    """A call that may outlast the process is refused, and has not run.

    The deadline of calls is 2.5 s, and the process ends 7.6 s after the
    signal at the latest; calls of two seconds keep it until then.
    """
    with fleets.Fleet(1, (('desk', ''),)) as fleet:
        (vm,) = fleet.vms
        (desk,) = fleet.of('desk')
        desk.delay = 2.0
        with fleets.Caller(vm) as first, fleets.Caller(vm) as second:
            vm.signal(signal.SIGTERM)
            time.sleep(2.2)
            first.begin('/once/x')
            time.sleep(1.8)
            second.begin('/once/x')
            time.sleep(1.7)
            late = fleet.ask('/once/x')
            assert first.end().served
            assert second.end().served
        assert late.status == 503
        assert float(late.headers['retry-after']) > 0
        assert not fleet.runs(late.id)
        assert vm.wait() == 0


def test_stop_closes_what_is_idle() -> None:
    """A connection whose last request came in parts is not waited for."""
    with fleets.Fleet(1, (('desk', ''),)) as fleet:
        (vm,) = fleet.vms
        with socket.create_connection((vm.address, vm.front)) as caller:
            head = f'POST /once/x HTTP/1.1\r\nHost: {fleets.HOST}\r\n'
            for part in (head, 'Content-Length: 4\r\n\r\n', 'ab', 'cd'):
                caller.sendall(part.encode())
                time.sleep(0.1)
            caller.settimeout(5.0)
            assert caller.recv(1000).startswith(b'HTTP/1.1 200 ')
            vm.signal(signal.SIGTERM)
            assert vm.wait() == 0
        (stopped,) = (
            line for line in vm.lines() if line['message'] == 'Stopped.'
        )
        assert stopped['connections'] == 0


def test_stop_is_told_more_than_once() -> None:
    """Further signals do not cut a stop short."""
    with fleets.Fleet(1, (('desk', ''),)) as fleet:
        (vm,) = fleet.vms
        (desk,) = fleet.of('desk')
        desk.delay = 2.0
        with fleets.Caller(vm) as caller:
            caller.begin('/once/x')
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                vm.signal(number)
                time.sleep(0.3)
            assert caller.end().served
        assert vm.wait() == 0


async def _answer(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(text='answered')


async def _listening(
    idle_timeout: float = 15.0,
) -> tuple[connections.Server, settings.Address]:
    """Return a server of callers' connections, and where it listens."""
    limits = routes.Limits(idle_timeout=idle_timeout)
    server = connections.Server(_answer, lambda: limits)
    where = settings.Address('127.0.0.1', ports.free())
    await server.listen(where)
    return server, where


@pytest.mark.parametrize('loop', _LOOPS)
def test_idle_connection_with_a_request(loop: str) -> None:
    """A request that came in a pause is read before idleness is judged."""

    async def paused() -> bytes:
        server, where = await _listening(idle_timeout=0.3)
        reader, writer = await asyncio.open_connection(where.host, where.port)
        writer.write(_REQUEST)
        first = await reader.read(1000)
        assert first.endswith(b'answered')
        await asyncio.sleep(0.05)
        writer.write(_REQUEST)
        time.sleep(2.0)
        second = await reader.read(1000)
        writer.close()
        await server.drain(refuse_new=False)
        assert await server.drain(refuse_new=True)
        return second

    with asyncio.Runner(loop_factory=_LOOPS[loop]) as runner:
        assert runner.run(paused()).endswith(b'answered')


@pytest.mark.parametrize('loop', _LOOPS)
@pytest.mark.parametrize('is_kept', [True, False])
def test_leave_answers_what_came_just_before(loop: str, is_kept: bool) -> None:
    """A request that nobody has read, or accepted, is answered.

    The loop does not turn between the request and the look at the sockets.
    """

    async def left() -> bytes:
        server, where = await _listening()
        with socket.create_connection((where.host, where.port)) as caller:
            if is_kept:
                caller.sendall(_REQUEST)
                await asyncio.sleep(0.1)
                assert caller.recv(1000).endswith(b'answered')
                # A connection that was answered just now is kept anyway.
                await asyncio.sleep(0.5)
            caller.sendall(_REQUEST)
            while not await server.drain(refuse_new=False):
                await asyncio.sleep(0.01)
            caller.settimeout(1.0)
            return caller.recv(1000)

    with asyncio.Runner(loop_factory=_LOOPS[loop]) as runner:
        assert runner.run(left()).endswith(b'answered')
