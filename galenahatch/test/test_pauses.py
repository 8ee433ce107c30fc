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

"""A gateway that did not run for a while blames nobody else for it.

On a VM that does much else a process may wait for a tenth of a second and
more before it runs again. Its event loop then comes to its timers before it
is through with what has come meanwhile, which takes it several turns. Two
failures of callers came of that:

A call to a plain service was refused with "2 usable, 2 tried". The limit of
0.25 s for a connection ran out twice while the gateway itself did not run,
though the connections were there at once. With pauses of 0.3 s the log shows
`Sent.`, fate `not_sent`, `seconds` 0.3012, 0.3017, 0.3014: the length of the
pause, and not the limit.

A call of two seconds ended without an answer during a stop. The gateway did
not run as the balancer had looked away, came back, and ended before it read
what had come: `Stopped.` with `in_flight` 0, and 2 ms later `Sent.` or
`Caller left.` of the request that it had read by then.
"""

import asyncio
import collections.abc
import contextlib
import itertools
import signal
import socket
import time
import typing

from aiohttp import web
import multidict
import pytest
import uvloop

from galenahatch.core import members
from galenahatch.core import routes
from galenahatch.core import upstreams
from galenahatch.gateway import calls
from galenahatch.gateway import connections
from galenahatch.gateway import sender as senders
from galenahatch.gateway import settings
from galenahatch import ids
from galenahatch.platform import wire
from galenahatch.test import fleet as fleets
from galenahatch.test import ports

_LOOPS: typing.Final = {
    'asyncio': asyncio.new_event_loop,
    'uvloop': uvloop.new_event_loop,
}
_PAUSE: typing.Final = 0.3
_SOON: typing.Final = 0.1
"""Seconds that a limit allows, and a stand-in needs a part of."""
_NUMBERS: typing.Final = itertools.count(1)

_REQUEST: typing.Final = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
_LOOK_AWAY: typing.Final = 2.6
"""Seconds for which a gateway that stops takes new callers."""


@pytest.fixture(scope='module')
def desks() -> collections.abc.Iterator[fleets.Fleet]:
    """One plain upstream, and one that streams, without a gateway."""
    with fleets.Fleet(0, (('desk', ''), ('model', 'decode'))) as started:
        yield started


def _upstream(fleet: fleets.Fleet, service: str) -> upstreams.Upstream:
    (standin,) = (one for one in fleet.upstreams if one.service == service)
    return upstreams.Upstream(
        ids.UpstreamId(standin.id),
        ids.ServiceName(service),
        standin.address,
        ids.DataCentre('dc1'),
        slots=8,
    )


async def _send(
    sender: senders.Sender,
    upstream: upstreams.Upstream,
    timeout: float = 5.0,
    keep: bool = False,
) -> senders.Answer | senders.Lost:
    number = f'{next(_NUMBERS):016x}'
    headers = multidict.CIMultiDict({'Host': fleets.HOST})
    call = calls.Call(
        number, 'GET', '', '/x', headers, b'', 0.0, None, None, ''
    )
    told = wire.outgoing(call, calls.Directions(upstream.id, 5.0))
    return await sender.send(
        upstream, call, told, wire.answer_head, timeout, _SOON, keep
    )


async def _turns(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


@pytest.mark.parametrize('loop', _LOOPS)
@pytest.mark.parametrize('keep', [False, True])
@pytest.mark.parametrize('turns', range(12))
def test_pause_in_a_connect(
    desks: fleets.Fleet, loop: str, keep: bool, turns: int
) -> None:
    """A connection that was made while the process slept counts as made."""
    upstream = _upstream(desks, 'desk')

    async def paused() -> senders.Answer | senders.Lost:
        sender = senders.Sender()
        sending = asyncio.create_task(_send(sender, upstream, keep=keep))
        await _turns(turns)
        time.sleep(_PAUSE)
        answer = await sending
        await sender.close()
        return answer

    with asyncio.Runner(loop_factory=_LOOPS[loop]) as runner:
        answer = runner.run(paused())
    assert isinstance(answer, senders.Answer), answer


@pytest.mark.parametrize('loop', _LOOPS)
def test_answer_that_came_in_a_pause(desks: fleets.Fleet, loop: str) -> None:
    """An answer that is there counts, though the time for it is over."""
    upstream = _upstream(desks, 'desk')
    (standin,) = desks.of('desk')
    standin.delay = _SOON

    async def paused() -> senders.Answer | senders.Lost:
        sender = senders.Sender()
        sending = asyncio.create_task(
            _send(sender, upstream, timeout=2 * _SOON)
        )
        await asyncio.sleep(_SOON / 2)
        time.sleep(_PAUSE)
        answer = await sending
        await sender.close()
        return answer

    with asyncio.Runner(loop_factory=_LOOPS[loop]) as runner:
        answer = runner.run(paused())
    standin.delay = 0.0
    assert isinstance(answer, senders.Answer), answer


@pytest.mark.parametrize('loop', _LOOPS)
def test_events_that_came_in_a_pause(desks: fleets.Fleet, loop: str) -> None:
    """A stream is not silent whose events wait to be read."""
    upstream = _upstream(desks, 'model')

    async def paused() -> list[bytes | senders.Lost]:
        sender = senders.Sender()
        answer = await _send(sender, upstream)
        assert isinstance(answer, senders.Answer)
        found: list[bytes | senders.Lost] = []
        for _ in range(4):
            reading = asyncio.create_task(answer.read(_SOON))
            await _turns(1)
            time.sleep(_PAUSE)
            found.append(await reading)
        await sender.close()
        return found

    with asyncio.Runner(loop_factory=_LOOPS[loop]) as runner:
        found = runner.run(paused())
    assert not [one for one in found if isinstance(one, senders.Lost)], found


@pytest.mark.parametrize('path', ['/once/x', '/say/x'])
def test_answer_that_was_ready_at_the_deadline(path: str) -> None:
    """An answer that came in a pause is passed on, though the time is over.

    Seen beside stalls: `Stalled.`, and 2 ms later `Stream broken off.` with
    `deadline`, where the engine had sent all its events a second before.
    """
    members = (('desk', ''), ('model', 'decode'))
    with fleets.Fleet(1, members) as fleet:
        (vm,) = fleet.vms
        for upstream in fleet.upstreams:
            upstream.delay, upstream.pause = 1.0, 0.15
        time.sleep(1.0)
        with fleets.Caller(vm) as caller:
            request = caller.begin(path)
            fleets.eventually(lambda: fleet.runs(request), 'running', 2.0)
            time.sleep(0.3)
            vm.signal(signal.SIGSTOP)
            time.sleep(2.6)
            vm.signal(signal.SIGCONT)
            assert caller.end().served


@pytest.mark.parametrize('loop', _LOOPS)
def test_silence_is_still_noticed(desks: fleets.Fleet, loop: str) -> None:
    """A limit holds: what does not come in time is given up."""
    upstream = _upstream(desks, 'desk')
    (standin,) = desks.of('desk')
    standin.delay = 5.0

    async def silent() -> float:
        sender = senders.Sender()
        began = time.monotonic()
        answer = await _send(sender, upstream, timeout=_SOON)
        seconds = time.monotonic() - began
        assert isinstance(answer, senders.Lost)
        await sender.close()
        return seconds

    with asyncio.Runner(loop_factory=_LOOPS[loop]) as runner:
        seconds = runner.run(silent())
    standin.delay = 0.0
    assert _SOON - 0.01 <= seconds < 10 * _SOON


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
        (stopped,) = _told(vm, 'Stopped.')
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
        time.sleep(0.5)
        second = await reader.read(1000)
        writer.close()
        await server.leave(is_late=False)
        assert await server.leave(is_late=True)
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
            caller.sendall(_REQUEST)
            while not await server.leave(is_late=False):
                await asyncio.sleep(0.01)
            caller.settimeout(1.0)
            return caller.recv(1000)

    with asyncio.Runner(loop_factory=_LOOPS[loop]) as runner:
        assert runner.run(left()).endswith(b'answered')


@pytest.mark.parametrize('pause', [0.9, 1.5, 2.5])
def test_pause_takes_nobody_for_away(pause: float) -> None:
    """After a pause, members and the store are heard before they are judged.

    A gateway that had not run for 0.9 s made itself owner until it had read
    the beats that had come, so two owners filled the same engines; from 1.5 s
    on it counted the store as lost. Log: `Owner changed.` to itself and back,
    `Store lost.` with a timeout.
    """
    with fleets.Fleet(3, (('desk', ''), ('model', 'decode'))) as fleet:
        time.sleep(2.0)
        assert all(_told(vm, 'Owner changed.') for vm in fleet.vms)
        before = [len(vm.lines()) for vm in fleet.vms]
        *_, paused = sorted(fleet.vms, key=_joined_at)
        paused.signal(signal.SIGSTOP)
        time.sleep(pause)
        paused.signal(signal.SIGCONT)
        time.sleep(1.0)
        told = paused.lines()[before[fleet.vms.index(paused)] :]
        assert [line for line in told if line['message'] == 'Stalled.']
        wrong = ('Owner changed.', 'Store lost.', 'Member suspected.')
        assert not [line for line in told if line['message'] in wrong]


def _told(vm: fleets.Vm, message: str) -> list[dict[str, typing.Any]]:
    """Return the lines of a gateway's log with a message."""
    return [line for line in vm.lines() if line['message'] == message]


def _joined_at(vm: fleets.Vm) -> int:
    """Return a gateway's place in the order; the first decides."""
    return int(_told(vm, 'Joined.')[0]['order'])


def test_silence_counts_while_listening() -> None:
    """A pause is no silence of others; silence after it is."""
    known = members.Members(ids.MemberId('b'))
    for name, order in (('a', 1), ('b', 2)):
        known.put(ids.MemberId(name), 7660, order, now=0.0)
    known.joined(2)
    other = ids.MemberId('a')
    known.listen(10.0)
    known.heard(other, 10.0)
    # A timer of another task comes first after a pause of five seconds.
    assert known.owner(False, 15.0) == other
    assert known.listen(15.0) == pytest.approx(5.0 - members.LISTEN_EVERY)
    assert known.is_live(other, 15.2)
    for tick in range(1, 6):
        assert not known.listen(15.0 + tick * members.LISTEN_EVERY)
    assert not known.is_live(other, 16.3)
    known.heard(other, 16.3)
    assert known.is_live(other, 16.4)
