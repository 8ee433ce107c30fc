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

"""Slopes behind docs/CAPACITY.md: `make capacity` measures them again.

Each slope is measured at three or more sizes and fitted by least squares;
the page's slopes stand in bench/slopes.json. The run fails if a slope is
more than the stated margin above the page's. Processor time is this
process's, or a daemon's as the kernel accounts for it.
"""

import dataclasses
import gc
import hashlib
import json
import os
import pathlib
import random
import statistics
import sys
import time
import tracemalloc
import typing

import msgspec
import zmq

from galenahatch import config
from galenahatch.core import cell as cell_module
from galenahatch.core import cells
from galenahatch.core import watch
from galenahatch import ids
from galenahatch import messages
from galenahatch import schema
from galenahatch import states
from galenahatch.test import deployment

PAGE: typing.Final = pathlib.Path(__file__).with_name('slopes.json')
MARGIN: typing.Final = 2.0
"""How much larger than the page's a slope may be: machines are noisy."""
_REPEATS: typing.Final = 3
_SECONDS: typing.Final = 4.0
_TICK: typing.Final = os.sysconf('SC_CLK_TCK')
_SITE: typing.Final = ids.SiteName('s0')


class Slope(msgspec.Struct):
    """A fitted line.

    Attributes:
        per_item: rise for one item more.
        base: value at none.
        unit: of both.
        sizes: where it was measured.
        values: median at each size.
        spread: largest over smallest of the repeats, worst size.
    """

    per_item: float
    base: float
    unit: str
    sizes: list[float]
    values: list[float]
    spread: float


def fit(
    sizes: typing.Sequence[float],
    samples: typing.Sequence[typing.Sequence[float]],
    unit: str,
) -> Slope:
    """Fit a line through the medians of some samples."""
    values = [statistics.median(found) for found in samples]
    line = statistics.linear_regression(sizes, values)
    spread = max(max(f) / max(min(f), 1e-12) for f in samples)
    return Slope(line.slope, line.intercept, unit, list(sizes), values, spread)


def _engine(number: int, role: str, service: int = 0) -> schema.Engine:
    return schema.Engine(
        name=ids.EngineName(f'{role[0]}{number}'),
        service=ids.ServiceName(f'm{service}'),
        role=role,
        data_centre=ids.DataCentre(f'dc{number % 3}'),
        address='10.0.0.1',
        port=9000,
    )


def _cell(engines: int) -> cell_module.Cell:
    service = schema.ModelService(ids.ServiceName('m0'), 'm')
    cell = cell_module.Cell(service, random.Random(1))
    half = engines // 2
    declared = [_engine(i, 'prefill') for i in range(half)]
    declared += [_engine(i, 'decode') for i in range(half)]
    names = frozenset(engine.name for engine in declared)
    cell.configure(service, declared, {_SITE: names})
    return cell


def _request(number: int) -> messages.PlaceRequest:
    return messages.PlaceRequest(
        request=ids.RequestId(f'r{number:019d}'),
        stream=ids.StreamId(f'r{number:019d}.1'),
        entry=ids.MemberId(f'entry/10.0.0.{number % 80}:8080'),
        service=ids.ServiceName('m0'),
        site=_SITE,
        caller=ids.CallerName(f'caller-{number % 660}'),
        urgency=states.Urgency(number % 3),
        prompt_tokens=1000,
        output_tokens=200,
        first_token_timeout=1e6,
        blocks=tuple(range(8)),
        avoided_engines=(),
        data_centre=ids.DataCentre('dc0'),
    )


def _decision_seconds(engines: int, queued: int) -> float:
    """Return processor seconds for each decision taken."""
    cell = _cell(engines)
    now = 1000.0
    number = 0
    while cell.queue_length < queued:
        cell.submit(_request(number), 1.0, now)
        number += 1
    rounds = 300
    # About 0.7 of what the engines carry, so that reservations are few.
    step = 0.18 / engines
    decided = 0
    began = time.process_time()
    for _ in range(rounds):
        now += step
        cell.submit(_request(number), 1.0, now)
        number += 1
        for decision in cell.decide(now):
            decided += 1
            stream = decision.answer.stream
            cell.record_progress(
                messages.Progress(stream, states.Stage.TRANSFER), now
            )
            cell.release(messages.Release(stream, None, 100, 0.03), now)
    return (time.process_time() - began) / decided


def decision_by_engines() -> Slope:
    """Processor time of a decision by engines in the cell."""
    sizes = (10, 32, 64, 300, 1500)
    samples = [
        [_decision_seconds(n, 0) for _ in range(_REPEATS)] for n in sizes
    ]
    return fit(sizes, samples, 's')


def decision_by_queue() -> Slope:
    """Processor time of a decision by requests that wait."""
    sizes = (10, 100, 1000, 4000)
    samples = [
        [_decision_seconds(32, n) for _ in range(_REPEATS)] for n in sizes
    ]
    return fit(sizes, samples, 's')


def _bytes_of(make: typing.Callable[[int], typing.Any], count: int) -> int:
    gc.collect()
    tracemalloc.start()
    kept = make(count)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used


def _reservations(count: int) -> cell_module.Cell:
    cell = _cell(64)
    report = messages.HeldReport(
        ids.MemberId('entry/10.0.0.1:8080'), 1, _held(count)
    )
    cell.reconcile(report, 0.0)
    return cell


def _held(count: int) -> tuple[messages.Held, ...]:
    return tuple(
        messages.Held(
            stream=ids.StreamId(f'r{i:019d}.1'),
            cell=ids.CellId('log-reader/lombardy/0'),
            service=ids.ServiceName('m0'),
            prefill=ids.EngineName(f'p{i % 32}'),
            decode=ids.EngineName(f'd{i % 32}'),
            stage=states.Stage.DECODE,
            prompt_tokens=1000,
            output_tokens=200,
        )
        for i in range(count)
    )


def _watched(count: int) -> watch.StreamWatch:
    kept = watch.StreamWatch()
    kept.add(ids.MemberId('entry/10.0.0.1:8080'), 1, _held(count))
    return kept


def reservation_bytes() -> Slope:
    """Memory of a reservation at its owner."""
    sizes = (200, 1000, 5000)
    samples = [
        [float(_bytes_of(_reservations, n)) for _ in range(_REPEATS)]
        for n in sizes
    ]
    return fit(sizes, samples, 'B')


def watched_bytes() -> Slope:
    """Memory of a watched stream."""
    sizes = (200, 1000, 5000)
    samples = [
        [float(_bytes_of(_watched, n)) for _ in range(_REPEATS)] for n in sizes
    ]
    return fit(sizes, samples, 'B')


def report_bytes() -> Slope:
    """Size of a report by attempts in flight."""
    sizes = (1, 20, 100)

    def size(count: int) -> float:
        report = messages.HeldReport(
            ids.MemberId('entry/10.0.0.1:8080'), 1, _held(count)
        )
        return float(len(messages.encode(report)))

    return fit(sizes, [[size(n)] for n in sizes], 'B')


def bundle_of(engines: int, sites: int, callers: int) -> schema.Bundle:
    """Return a configuration of some size."""
    parts = [
        f'[[sites]]\nname="s{s}"\nregion="r{s % 5}"\ndata_centres=["dc{s}"]\n'
        for s in range(sites)
    ]
    services = 23
    parts += [
        f'[[services]]\nname="m{m}"\nmodel="m{m}"\n' for m in range(services)
    ]
    for number in range(engines):
        role = 'prefill' if number % 2 else 'decode'
        parts.append(
            f'[[engines]]\nname="e{number}"\n'
            f'service="m{number // 2 % services}"\nrole="{role}"\n'
            f'data_centre="dc{number % sites}"\n'
            f'address="10.0.{number // 250}.{number % 250}"\nport=9000\n'
        )
    for number in range(callers):
        digest = hashlib.sha256(str(number).encode()).hexdigest()
        parts.append(
            f'[[callers]]\nname="c{number}"\ntoken_sha256="{digest}"\n'
        )
    return schema.Bundle('\n'.join(parts), {f's{s}': '' for s in range(sites)})


def change_seconds() -> Slope:
    """Processor time of taking a change, by engines declared."""
    sizes = (100, 500, 1500)

    def taken(engines: int) -> float:
        bundle = bundle_of(engines, 16, engines * 660 // 1500)
        began = time.process_time()
        sites = config.load(bundle)
        assert sites is not None
        cells.cell_configs(sites, ids.RegionName('r0'))
        return time.process_time() - began

    samples = [[taken(n) for _ in range(_REPEATS)] for n in sizes]
    return fit(sizes, samples, 's')


def cpu_seconds(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(') ', 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICK


def _load_of(pid: int, work: typing.Callable[[], None]) -> float:
    """Return the share of a core that a process uses during some work."""
    before = cpu_seconds(pid)
    began = time.monotonic()
    work()
    return (cpu_seconds(pid) - before) / (time.monotonic() - began)


class _Members:
    """Members that send heartbeats to a scheduler."""

    def __init__(self, running: deployment.Deployment, count: int) -> None:
        self._context = zmq.Context()
        port = running.ports['scheduler']
        self._sockets = []
        for number in range(count):
            socket = self._context.socket(zmq.DEALER)
            socket.setsockopt(zmq.LINGER, 0)
            socket.connect(f'tcp://{running.addresses[0]}:{port}')
            self._sockets.append((number, socket))

    def beat(self, rate: float, seconds: float) -> None:
        """Send heartbeats and empty reports at a rate for each member."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            began = time.monotonic()
            for number, socket in self._sockets:
                self._send(number, socket)
                while socket.poll(0):
                    socket.recv()
            time.sleep(max(0.0, 1 / rate - (time.monotonic() - began)))

    def _send(self, number: int, socket: zmq.Socket[bytes]) -> None:
        member = ids.MemberId(f'entry/10.0.{number // 200}.{number % 200}:1')
        beat = messages.Heartbeat(
            member,
            1,
            ids.DataCentre('zogno'),
            states.Standing.LIVE,
            ids.Revision(1),
        )
        socket.send(messages.encode(beat))
        socket.send(messages.encode(messages.HeldReport(member, 1, ())))

    def close(self) -> None:
        """Close the sockets."""
        for _, socket in self._sockets:
            socket.close()
        self._context.term()


def heartbeat_seconds() -> Slope:
    """Share of a scheduler's core by heartbeats (with reports) a second."""
    sizes = (0, 20, 60, 120)
    samples = []
    with deployment.Deployment(vms=1) as running:
        pid = running.daemons['scheduler0'].pid
        for count in sizes:
            members = _Members(running, count)

            def work(members: _Members = members) -> None:
                members.beat(1.0, _SECONDS)

            work()
            samples.append([_load_of(pid, work) for _ in range(_REPEATS)])
            members.close()
    return fit(sizes, samples, 'share of a core')


def _idle_loads(pid: int) -> list[float]:
    """Return the shares of a core that a process uses by itself."""
    return [
        _load_of(pid, lambda: time.sleep(_SECONDS)) for _ in range(_REPEATS)
    ]


def entry_idle() -> Slope:
    """Share of an entry's core by schedulers that it is linked to."""
    sizes = (1, 3, 6)
    samples = []
    for count in sizes:
        with deployment.Deployment(vms=count) as running:
            pid = running.daemons['entry0'].pid
            samples.append(_idle_loads(pid))
    return fit(sizes, samples, 'share of a core')


def probe_seconds() -> Slope:
    """Share of a scheduler's core by engines that it reads each second."""
    sizes = (2, 10, 20)
    samples = []
    for count in sizes:
        specs = [
            deployment.EngineSpec(f'{role[0]}{i}', role)
            for i in range(count // 2)
            for role in ('prefill', 'decode')
        ]
        options = {'load-poll': '1.0'}
        with deployment.Deployment(1, specs, options=options) as running:
            pid = running.daemons['scheduler0'].pid
            samples.append(_idle_loads(pid))
    return fit(sizes, samples, 'share of a core')


def configuration_bytes() -> Slope:
    """Memory of a configuration by engines declared."""
    sizes = (100, 500, 1500)
    samples = []
    for count in sizes:
        bundle = bundle_of(count, 16, count * 660 // 1500)

        def make(_: int, bundle: schema.Bundle = bundle) -> typing.Any:
            sites = config.load(bundle)
            assert sites is not None
            return sites, cells.cell_configs(sites, ids.RegionName('r0'))

        samples.append([float(_bytes_of(make, 0))])
    return fit(sizes, samples, 'B')


@dataclasses.dataclass(frozen=True)
class Measure:
    """A slope to measure."""

    name: str
    run: typing.Callable[[], Slope]


MEASURES: typing.Final = (
    Measure('decision_by_engines', decision_by_engines),
    Measure('decision_by_queue', decision_by_queue),
    Measure('reservation_bytes', reservation_bytes),
    Measure('watched_bytes', watched_bytes),
    Measure('report_bytes', report_bytes),
    Measure('change_seconds', change_seconds),
    Measure('configuration_bytes', configuration_bytes),
    Measure('heartbeat_seconds', heartbeat_seconds),
    Measure('entry_idle', entry_idle),
    Measure('probe_seconds', probe_seconds),
)


def main(args: list[str]) -> int:
    """Measure; `write` keeps the slopes, otherwise they are compared."""
    page: dict[str, Slope] = {}
    if PAGE.exists():
        page = msgspec.json.decode(PAGE.read_bytes(), type=dict[str, Slope])
    found: dict[str, Slope] = {}
    worse = []
    names = [arg for arg in args if arg != 'write']
    for measure in MEASURES:
        if names and measure.name not in names:
            continue
        slope = measure.run()
        found[measure.name] = slope
        print(
            f'{measure.name}: {slope.per_item:.3g} {slope.unit} an item, '
            f'{slope.base:.3g} at none; spread {slope.spread:.2f}; '
            + ' '.join(
                f'{s:g}:{v:.3g}'
                for s, v in zip(slope.sizes, slope.values, strict=True)
            ),
            flush=True,
        )
        before = page.get(measure.name)
        largest = max(slope.values)
        if before and largest > MARGIN * max(before.values):
            worse.append(measure.name)
    if 'write' in args:
        page.update(found)
        data = {name: msgspec.to_builtins(s) for name, s in page.items()}
        PAGE.write_text(json.dumps(data, indent=1) + '\n')
        return 0
    for name in worse:
        print(f'{name}: more than {MARGIN} times the page')
    return int(bool(worse))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
