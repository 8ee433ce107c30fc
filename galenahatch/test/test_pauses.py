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
is through with what has come meanwhile, which takes it several turns. A
failure of callers came of that; what it did to stops stands in `test_stops`.

A call to a plain service was refused with "2 usable, 2 tried". The limit of
0.25 s for a connection ran out twice while the gateway itself did not run,
though the connections were there at once. With pauses of 0.3 s the log shows
`Sent.`, fate `not_sent`, `seconds` 0.3012, 0.3017, 0.3014: the length of the
pause, and not the limit.
"""

import asyncio
import collections.abc
import itertools
import signal
import time
import typing

import multidict
import pytest
import uvloop

from galenahatch.core import members
from galenahatch.core import upstreams
from galenahatch.core import versions
from galenahatch.gateway import calls
from galenahatch.gateway import sender as senders
from galenahatch.gateway import sendresults
from galenahatch import ids
from galenahatch.platform import wire
from galenahatch.test import fleet as fleets

_LOOPS: typing.Final = {
    'asyncio': asyncio.new_event_loop,
    'uvloop': uvloop.new_event_loop,
}
_PAUSE: typing.Final = 0.3
_SOON: typing.Final = 0.1
"""Seconds that a limit allows, and a stand-in needs a part of."""
_NUMBERS: typing.Final = itertools.count(1)


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
) -> sendresults.Response | sendresults.FailedSend:
    number = f'{next(_NUMBERS):016x}'
    headers = multidict.CIMultiDict({'Host': fleets.HOST})
    call = calls.Call(
        number, 'GET', '', '/x', headers, b'', 0.0, None, None, ''
    )
    told = wire.upstream_headers(
        call, calls.ForwardingOptions(upstream.id, 5.0)
    )
    return await sender.send(
        upstream, call, told, wire.decode_response_head, timeout, _SOON, keep
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

    async def paused() -> sendresults.Response | sendresults.FailedSend:
        sender = senders.Sender()
        sending = asyncio.create_task(_send(sender, upstream, keep=keep))
        await _turns(turns)
        time.sleep(_PAUSE)
        answer = await sending
        await sender.close()
        return answer

    with asyncio.Runner(loop_factory=_LOOPS[loop]) as runner:
        answer = runner.run(paused())
    assert isinstance(answer, sendresults.Response), answer


@pytest.mark.parametrize('loop', _LOOPS)
def test_answer_that_came_in_a_pause(desks: fleets.Fleet, loop: str) -> None:
    """An answer that is there counts, though the time for it is over."""
    upstream = _upstream(desks, 'desk')
    (standin,) = desks.of('desk')
    standin.delay = _SOON

    async def paused() -> sendresults.Response | sendresults.FailedSend:
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
    assert isinstance(answer, sendresults.Response), answer


@pytest.mark.parametrize('loop', _LOOPS)
def test_events_that_came_in_a_pause(desks: fleets.Fleet, loop: str) -> None:
    """A stream is not silent whose events wait to be read."""
    upstream = _upstream(desks, 'model')

    async def paused() -> list[bytes | sendresults.FailedSend]:
        sender = senders.Sender()
        answer = await _send(sender, upstream)
        assert isinstance(answer, sendresults.Response)
        found: list[bytes | sendresults.FailedSend] = []
        for _ in range(4):
            reading = asyncio.create_task(answer.read(_SOON))
            await _turns(1)
            time.sleep(_PAUSE)
            found.append(await reading)
        await sender.close()
        return found

    with asyncio.Runner(loop_factory=_LOOPS[loop]) as runner:
        found = runner.run(paused())
    assert not [
        one for one in found if isinstance(one, sendresults.FailedSend)
    ], found


@pytest.mark.parametrize('path', ['/once/x', '/say/x'])
def test_answer_that_was_ready_at_the_deadline(path: str) -> None:
    """An answer that came in a pause is passed on, though the time is over.

    Seen beside stalls: `Stalled.`, and 2 ms later `Stream aborted.` with
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


async def _tick(late: list[float]) -> None:
    """Note how late the timers of this loop are."""
    while True:
        due = time.monotonic() + _SOON / 10
        await asyncio.sleep(_SOON / 10)
        late.append(time.monotonic() - due)


@pytest.mark.parametrize('loop', _LOOPS)
def test_silence_is_still_noticed(desks: fleets.Fleet, loop: str) -> None:
    """A limit holds: what does not come in time is given up."""
    upstream = _upstream(desks, 'desk')
    (standin,) = desks.of('desk')
    standin.delay = 5.0

    async def silent() -> float:
        sender = senders.Sender()
        late: list[float] = []
        ticking = asyncio.create_task(_tick(late))
        began = time.monotonic()
        answer = await _send(sender, upstream, timeout=_SOON)
        seconds = time.monotonic() - began
        print(f'{seconds:.3f} s; ticks up to {max(late, default=0):.3f} late')
        ticking.cancel()
        assert isinstance(answer, sendresults.FailedSend)
        await sender.close()
        return seconds

    with asyncio.Runner(loop_factory=_LOOPS[loop]) as runner:
        seconds = runner.run(silent())
    standin.delay = 0.0
    assert _SOON - 0.01 <= seconds < 10 * _SOON


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
        place = versions.Version(0, order)
        known.add_row(ids.MemberId(name), 7660, place, now=0.0)
    known.record_join(versions.Version(0, 2))
    other = ids.MemberId('a')
    known.record_listen(10.0)
    known.record_message(other, 10.0)
    # A timer of another task comes first after a pause of five seconds.
    assert known.owner(False, 15.0) == other
    assert known.record_listen(15.0) == pytest.approx(
        5.0 - members.LISTEN_INTERVAL_S
    )
    assert known.is_live(other, 15.2)
    for tick in range(1, 6):
        assert not known.record_listen(15.0 + tick * members.LISTEN_INTERVAL_S)
    assert not known.is_live(other, 16.3)
    known.record_message(other, 16.3)
    assert known.is_live(other, 16.4)
