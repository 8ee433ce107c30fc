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

"""Load reports of upstreams: their age, their slowdown, and what is told."""

import math
import random

import msgspec
import pytest

from galenahatch import clock
from galenahatch.core import balance
from galenahatch.core import loadreports
from galenahatch.core import members
from galenahatch.core import upstreams
from galenahatch.gateway import calls
from galenahatch.gateway import frames
from galenahatch.gateway import instruments
from galenahatch.gateway import loads as loads_module
from galenahatch.gateway import messages
from galenahatch.gateway import plain
from galenahatch.gateway import records
from galenahatch import ids
from galenahatch.platform import wire
from galenahatch.test import cases

_A, _B = ids.UpstreamId('a'), ids.UpstreamId('b')


def _report(
    slowdown: float | None, waiting: int = 0
) -> loadreports.LoadReport:
    return loadreports.LoadReport(1, waiting, 6, slowdown)


@pytest.mark.parametrize(('steps', 'expected'), cases.read('slowdowns.txt'))
def test_slowdowns(steps: str, expected: str) -> None:
    """A slowdown fades with the age of its report; the latest one counts."""
    loads = loadreports.Loads()
    for step in steps.splitlines():
        verb, at, slowdown = step.split()
        report = _report(None if slowdown == 'none' else float(slowdown))
        if verb == 'record':
            loads.record(_A, report, float(at))
        else:
            loads.merge(_A, report, float(at))
    for line in expected.splitlines():
        at, slowdown, known = line.split()
        assert loads.slowdown(_A, float(at)) == pytest.approx(float(slowdown))
        assert (loads.latest(_A, float(at)) is not None) == (known == 'known')


def test_changed_reports_are_taken_once() -> None:
    """Others are told what they don't assume already, the latest first."""
    loads = loadreports.Loads()
    loads.record(_A, _report(1.0), 0.0)
    loads.record(_B, _report(2.5), 0.1)
    loads.merge(ids.UpstreamId('c'), _report(2.5), 0.1)
    taken = loads.take_changed(8, 0.2)
    assert [name for name, _, _ in taken] == [_B, _A]
    assert [age for _, _, age in taken] == pytest.approx([0.1, 0.2])
    assert loads.take_changed(8, 0.2) == []
    loads.record(_A, _report(1.05), 0.3)
    loads.record(_B, _report(2.5), 0.3)
    taken = loads.take_changed(8, 0.3)
    assert [name for name, _, _ in taken] == [_B], 'it has faded meanwhile'
    loads.record(_A, _report(1.0), 11.0)
    assert loads.take_changed(8, 11.0), 'a new owner knows nothing'


def test_changed_reports_are_bounded() -> None:
    """A message has a bounded number of reports, none of them expired."""
    loads = loadreports.Loads()
    for number in range(1500):
        loads.record(ids.UpstreamId(f'{number}'), _report(2.5), 0.0)
    assert len(loads.take_changed(16, 0.1)) == 16
    loads.record(_A, _report(2.5), 0.2)
    assert loads.take_changed(16, 0.21 + loadreports.SLOWDOWN_LIFE_S) == []


def test_counts_alone_are_not_passed_on() -> None:
    """Counts alone are neither sent on nor do they change the balancing."""
    loads = loadreports.Loads()
    loads.record(_A, _report(None, 3), 0.0)
    assert not loads.reports_slowdown((_A, _B))
    assert loads.take_changed(16, 0.0) == []
    loads.record(_B, _report(1.0), 0.0)
    assert loads.reports_slowdown((_A, _B))
    loads.prune((_A,))
    assert not loads.reports_slowdown((_A, _B))


def _head(text: str, status: int = 200) -> calls.ResponseHead:
    raw = [(b'X-Galenahatch-Instance-Load', text.encode())]
    return wire.decode_response_head(status, raw)


@pytest.mark.parametrize('status', (200, 204, 302, 404, 429, 503))
def test_errors_say_nothing_about_speed(status: int) -> None:
    """An upstream that quickly answers with errors doesn't seem fast."""
    result = plain._executed_result(_head('1,0,6,100', status), 0.001)
    assert (result is not None) == (status < 300)


def _exchange() -> tuple[loads_module.LoadExchange, loadreports.Loads]:
    loads = loadreports.Loads()
    balancer = balance.Balancer(random.Random(1), ids.DataCentre('a'), loads)
    return loads_module.LoadExchange(loads, balancer), loads


def test_owner_is_told() -> None:
    """What one gateway reads in an answer reaches the owner by a heartbeat."""
    sender, _ = _exchange()
    owner, known = _exchange()
    sender.record_answer(_A, _head('3,1,6,250'))
    sender.record_answer(_B, _head('3,1,6'))
    heartbeat = messages.Heartbeat(
        ids.MemberId('m'), 1, 1, 1, False, loads=sender.take_changed(6)
    )
    received = frames.decode(frames.encode(heartbeat))
    assert isinstance(received, messages.Heartbeat)
    owner.merge(received.loads)
    now = clock.now()
    assert known.slowdown(_A, now) > 2.0
    report = known.latest(_A, now)
    assert report is not None and report.total == 4
    assert known.latest(_B, now) is None, 'it states no slowdown'
    assert owner.take_changed(6) == (), 'what others observed goes no further'


def test_absurd_reports_of_members() -> None:
    """Ages and slowdowns that are no numbers are ignored."""
    owner, known = _exchange()
    owner.merge(
        (
            records.UpstreamLoad(_A, 1, 0, 6, math.nan, 0.1),
            records.UpstreamLoad(_A, 1, 0, 6, 2.5, math.inf),
            records.UpstreamLoad(_A, 1, 0, 6, 2.5, math.nan),
            records.UpstreamLoad(_B, 1, 0, 6, 2.5, -1e9),
        )
    )
    now = clock.now()
    assert known.latest(_A, now) is None
    assert known.latest(_B, now + 2.0) is None, 'not from the future'


@pytest.mark.parametrize('size', (1, 6, 74, 195, 410))
def test_reports_at_the_owner_are_bounded(size: int) -> None:
    """All heartbeats together take a bounded part of the owner's link."""
    sender, _ = _exchange()
    for number in range(1500):
        name = ids.UpstreamId(f'engine-{number}@1796000000000')
        sender.record_answer(name, _head('3,1,6,250'))
    loads = sender.take_changed(size)
    interval = members.HEARTBEAT_INTERVAL_S * max(
        1.0, size / members.FULL_RATE_MEMBERS
    )
    data = msgspec.msgpack.encode(loads)
    assert len(data) * size / interval < 28_000 * 0.6
    assert loads


def test_slow_upstreams_are_logged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An operator sees which upstream turned slow, and its figures."""
    lines: list[dict[str, object]] = []
    monkeypatch.setattr(
        loads_module._log,
        'info',
        lambda text, **fields: lines.append({'text': text, **fields}),
    )
    exchange, loads = _exchange()
    known = {
        name: upstreams.Upstream(
            name, ids.ServiceName('s'), '10.0.0.1:80', ids.DataCentre('a'), 6
        )
        for name in (_A, _B, ids.UpstreamId('c'))
    }
    for name in known:
        exchange.record_answer(name, _head('1,0,6,100'))
        seconds = 0.2 if name == _A else 0.06
        exchange._balancer.delays.record(name, seconds, _report(1.0), 0.0)
    exchange.refresh(known)
    exchange.refresh(known)
    assert [line['upstream'] for line in lines] == [_A]
    assert 'usual=0.2' in str(lines[0]['detail'])
    shares = exchange._send_shares()
    assert sum(shares.values()) == pytest.approx(1.0)
    assert set(exchange._expected_delays()) == set(known)


def test_invalid_loads_are_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Invalid figures are counted, and logged once in a while."""
    lines: list[str] = []
    monkeypatch.setattr(
        loads_module._log, 'warning', lambda text, **fields: lines.append(text)
    )
    exchange, loads = _exchange()
    for _ in range(50):
        exchange.record_answer(_A, _head('1,0,6,0'))
    assert len(lines) == 1
    assert 'galenahatch_invalid_loads_total' in instruments.render()
    assert loads.slowdown(_A, clock.now()) == 1.0
    assert not loads.reports_slowdown((_A,))
