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

"""Measures what load reports in heartbeats cost, by encoding messages.

Each gateway sends a heartbeat to the owner and to a candidate. The number of
reports in one follows from the responses of the half second that a slowdown
lasts, up to the limit; the largest load is where all heartbeats are full. The
processor time is that of taking, encoding, decoding and merging the reports,
without sockets, as the median of several runs.
"""

import statistics
import time
import typing

from galenahatch.core import loadreports
from galenahatch.core import members
from galenahatch.gateway import frames
from galenahatch.gateway import loads as exchanges
from galenahatch.gateway import messages
from galenahatch.gateway import records
from galenahatch.gateway import roster
from galenahatch import ids

SIZES: typing.Final = (6, 74, 195, 410)
_ENGINES: typing.Final = 1500
_RESPONSES: typing.Final = 2 * 2900.0
"""Responses a second over all gateways: a prefill and a stream for each
request of the design size."""
_CHANGED_SHARE: typing.Final = 0.3
"""Share of the reports that differ from what the owner assumes: upstreams in a
slow moment, and those whose moment has ended."""
_RUNS: typing.Final = 7
_ROUNDS: typing.Final = 300


def _heartbeat(
    loads: tuple[records.UpstreamLoad, ...],
) -> messages.Heartbeat:
    return messages.Heartbeat(
        ids.MemberId('10.0.0.1'), 1 << 40, 9, 99_999, False, loads=loads
    )


def _load(number: int) -> records.UpstreamLoad:
    name = ids.UpstreamId(f'engine-{number:04d}@1796000000000')
    return records.UpstreamLoad(name, 7, 0, 24, 2.5, 0.123456)


def _bytes(count: int) -> int:
    loads = tuple(_load(number) for number in range(count))
    return len(frames.encode(_heartbeat(loads)))


def _sender_seconds(count: int) -> float:
    """Return the seconds to take and encode some reports."""
    report = loadreports.LoadReport(7, 0, 24, 2.5)
    names = [_load(number).upstream for number in range(count)]
    began_at = time.perf_counter()
    for step in range(_ROUNDS):
        loads = loadreports.Loads()
        for name in names:
            loads.record(name, report, float(step))
        taken = tuple(
            records.UpstreamLoad(
                name, r.running, r.waiting, r.slots, r.slowdown or 0.0, age
            )
            for name, r, age in loads.take_changed(
                exchanges.MAX_REPORTS, float(step)
            )
        )
        frames.encode(_heartbeat(taken))
    return (time.perf_counter() - began_at) / _ROUNDS


def _owner_seconds(count: int) -> float:
    """Return the seconds to decode and merge some reports."""
    data = frames.encode(
        _heartbeat(tuple(_load(number) for number in range(count)))
    )
    loads = loadreports.Loads()
    for number in range(_ENGINES):
        loads.merge(_load(number).upstream, loadreports.LoadReport(1, 0), -1.0)
    began_at = time.perf_counter()
    for step in range(_ROUNDS):
        message = frames.decode(data)
        assert isinstance(message, messages.Heartbeat)
        for load in message.loads:
            report = loadreports.LoadReport(
                load.running, load.waiting, load.slots, load.slowdown
            )
            loads.merge(load.upstream, report, float(step))
    return (time.perf_counter() - began_at) / _ROUNDS


def _median(measure: typing.Callable[[int], float], count: int) -> float:
    return statistics.median(measure(count) for _ in range(_RUNS))


def main() -> None:
    """Print bytes and processor time by the number of gateways."""
    print(
        f'heartbeat: {_bytes(0)} B without reports,'
        f' {_bytes(exchanges.MAX_REPORTS)} B with {exchanges.MAX_REPORTS}'
    )
    print('| gateways | reports | B/s a gateway | core | owner B/s | core |')
    print('|---|---|---|---|---|---|')
    for size in SIZES:
        slowdown = max(1.0, size / members.FULL_RATE_MEMBERS)
        rate = 1 / (members.HEARTBEAT_INTERVAL_S * slowdown)
        lasting = min(1 / rate, loadreports.SLOWDOWN_LIFE_S)
        expected = _RESPONSES / size * lasting * _CHANGED_SHARE
        most = exchanges.max_reports(size)
        for label, count in (
            ('usual', min(most, round(expected))),
            ('most', most),
        ):
            added = _bytes(count) - _bytes(0)
            sent = rate * added * roster.OWNER_CANDIDATES
            send_core = rate * (_median(_sender_seconds, count))
            owner_core = rate * size * _median(_owner_seconds, count)
            print(
                f'| {size} | {count} ({label}) | {sent:.0f}'
                f' | {send_core:.3%} | {rate * size * added:.0f}'
                f' | {owner_core:.2%} |'
            )


if __name__ == '__main__':
    main()
