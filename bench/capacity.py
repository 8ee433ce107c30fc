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

"""Measures the slopes in docs/CAPACITY.md: `make capacity`.

Each slope is measured at three or more sizes and fitted by least squares. The
recorded slopes are in bench/slopes.json; the run fails if the largest value of
a measurement is more than `MAX_RATIO` times the recorded one. Processor time
is that of this process, or of a daemon as accounted by the kernel.
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

SLOPES_FILE: typing.Final = pathlib.Path(__file__).with_name('slopes.json')
MAX_RATIO: typing.Final = 2.0
"""Allowed ratio to the recorded value: processor times vary between runs."""
_REPETITIONS: typing.Final = 3
_MEASURED_S: typing.Final = 4.0
_CLOCK_TICKS_PER_S: typing.Final = os.sysconf('SC_CLK_TCK')
_SITE: typing.Final = ids.SiteName('s0')


class Slope(msgspec.Struct):
    """A line fitted to measurements.

    Attributes:
        per_item: increase for each item.
        base: value without items.
        unit: unit of all values.
        sizes: numbers of items at which it was measured.
        values: median at each size.
        spread: largest ratio, over all sizes, of the largest to the smallest
            sample.
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
    """Fit a line through the medians of the samples at each size."""
    values = [statistics.median(repeated) for repeated in samples]
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


def _create_cell(engines: int) -> cell_module.Cell:
    service = schema.ModelService(ids.ServiceName('m0'), 'm')
    cell = cell_module.Cell(service, random.Random(1))
    half = engines // 2
    declared = [_engine(i, 'prefill') for i in range(half)]
    declared += [_engine(i, 'decode') for i in range(half)]
    names = frozenset(engine.name for engine in declared)
    cell.configure(service, declared, {_SITE: names})
    return cell


def _place_request(number: int) -> messages.PlaceRequest:
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


def _seconds_per_decision(engines: int, queue_length: int) -> float:
    """Return the processor seconds for each decision."""
    cell = _create_cell(engines)
    now = 1000.0
    number = 0
    while cell.queue_length < queue_length:
        cell.submit(_place_request(number), 1.0, now)
        number += 1
    round_count = 300
    # About 0.7 of the capacity of the engines, so that reservations are few.
    interval_s = 0.18 / engines
    decision_count = 0
    started_at = time.process_time()
    for _ in range(round_count):
        now += interval_s
        cell.submit(_place_request(number), 1.0, now)
        number += 1
        for decision in cell.decide(now):
            decision_count += 1
            stream = decision.answer.stream
            cell.record_progress(
                messages.Progress(stream, states.Stage.TRANSFER), now
            )
            cell.release(messages.Release(stream, None, 100, 0.03), now)
    return (time.process_time() - started_at) / decision_count


def decision_by_engines() -> Slope:
    """Measure the processor time of a decision by engines in the cell."""
    sizes = (10, 32, 64, 300, 1500)
    samples = [
        [_seconds_per_decision(n, 0) for _ in range(_REPETITIONS)]
        for n in sizes
    ]
    return fit(sizes, samples, 's')


def decision_by_queue() -> Slope:
    """Measure the processor time of a decision by waiting requests."""
    sizes = (10, 100, 1000, 4000)
    samples = [
        [_seconds_per_decision(32, n) for _ in range(_REPETITIONS)]
        for n in sizes
    ]
    return fit(sizes, samples, 's')


def _memory_bytes(
    create: typing.Callable[[int], typing.Any], count: int
) -> int:
    gc.collect()
    tracemalloc.start()
    created = create(count)
    gc.collect()
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del created
    return traced_bytes


def _cell_with_reservations(count: int) -> cell_module.Cell:
    cell = _create_cell(64)
    report = messages.HeldReport(
        ids.MemberId('entry/10.0.0.1:8080'), 1, _held_streams(count)
    )
    cell.reconcile(report, 0.0)
    return cell


def _held_streams(count: int) -> tuple[messages.Held, ...]:
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


def _stream_watch(count: int) -> watch.StreamWatch:
    created = watch.StreamWatch()
    created.add(ids.MemberId('entry/10.0.0.1:8080'), 1, _held_streams(count))
    return created


def reservation_bytes() -> Slope:
    """Measure the memory of a reservation at its owner."""
    sizes = (200, 1000, 5000)
    samples = [
        [
            float(_memory_bytes(_cell_with_reservations, n))
            for _ in range(_REPETITIONS)
        ]
        for n in sizes
    ]
    return fit(sizes, samples, 'B')


def watched_bytes() -> Slope:
    """Measure the memory of a watched stream."""
    sizes = (200, 1000, 5000)
    samples = [
        [float(_memory_bytes(_stream_watch, n)) for _ in range(_REPETITIONS)]
        for n in sizes
    ]
    return fit(sizes, samples, 'B')


def report_bytes() -> Slope:
    """Measure the size of a report by attempts in flight."""
    sizes = (1, 20, 100)

    def size(count: int) -> float:
        report = messages.HeldReport(
            ids.MemberId('entry/10.0.0.1:8080'), 1, _held_streams(count)
        )
        return float(len(messages.encode(report)))

    return fit(sizes, [[size(n)] for n in sizes], 'B')


def create_bundle(engines: int, sites: int, callers: int) -> schema.Bundle:
    """Create a configuration of a given size."""
    toml_parts = [
        f'[[sites]]\nname="s{s}"\nregion="r{s % 5}"\ndata_centres=["dc{s}"]\n'
        for s in range(sites)
    ]
    services = 23
    toml_parts += [
        f'[[services]]\nname="m{m}"\nmodel="m{m}"\n' for m in range(services)
    ]
    for number in range(engines):
        role = 'prefill' if number % 2 else 'decode'
        toml_parts.append(
            f'[[engines]]\nname="e{number}"\n'
            f'service="m{number // 2 % services}"\nrole="{role}"\n'
            f'data_centre="dc{number % sites}"\n'
            f'address="10.0.{number // 250}.{number % 250}"\nport=9000\n'
        )
    for number in range(callers):
        digest = hashlib.sha256(str(number).encode()).hexdigest()
        toml_parts.append(
            f'[[callers]]\nname="c{number}"\ntoken_sha256="{digest}"\n'
        )
    return schema.Bundle(
        '\n'.join(toml_parts), {f's{s}': '' for s in range(sites)}
    )


def change_seconds() -> Slope:
    """Measure the processor time to apply a change, by declared engines."""
    sizes = (100, 500, 1500)

    def apply_seconds(engines: int) -> float:
        bundle = create_bundle(engines, 16, engines * 660 // 1500)
        started_at = time.process_time()
        sites = config.load(bundle)
        assert sites is not None
        cells.cell_configs(sites, ids.RegionName('r0'))
        return time.process_time() - started_at

    samples = [[apply_seconds(n) for _ in range(_REPETITIONS)] for n in sizes]
    return fit(sizes, samples, 's')


def cpu_seconds(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(') ', 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _CLOCK_TICKS_PER_S


def _core_share(pid: int, call: typing.Callable[[], None]) -> float:
    """Return the share of a core that a process uses during a call."""
    cpu_before = cpu_seconds(pid)
    started_at = time.monotonic()
    call()
    return (cpu_seconds(pid) - cpu_before) / (time.monotonic() - started_at)


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

    def send_heartbeats(self, rate: float, seconds: float) -> None:
        """Send heartbeats and empty reports for each member.

        Args:
            rate: heartbeats a second of each member.
            seconds: duration.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            started_at = time.monotonic()
            for number, socket in self._sockets:
                self._send(number, socket)
                while socket.poll(0):
                    socket.recv()
            time.sleep(max(0.0, 1 / rate - (time.monotonic() - started_at)))

    def _send(self, number: int, socket: zmq.Socket[bytes]) -> None:
        member = ids.MemberId(f'entry/10.0.{number // 200}.{number % 200}:1')
        heartbeat = messages.Heartbeat(
            member,
            1,
            ids.DataCentre('zogno'),
            states.Standing.LIVE,
            ids.Revision(1),
        )
        socket.send(messages.encode(heartbeat))
        socket.send(messages.encode(messages.HeldReport(member, 1, ())))

    def close(self) -> None:
        """Close the sockets."""
        for _, socket in self._sockets:
            socket.close()
        self._context.term()


def heartbeat_seconds() -> Slope:
    """Measure a scheduler's core share by heartbeats and reports a second."""
    sizes = (0, 20, 60, 120)
    samples = []
    with deployment.Deployment(vms=1) as running:
        pid = running.daemons['scheduler0'].pid
        for count in sizes:
            members = _Members(running, count)

            def send_heartbeats(members: _Members = members) -> None:
                members.send_heartbeats(1.0, _MEASURED_S)

            send_heartbeats()
            samples.append(
                [
                    _core_share(pid, send_heartbeats)
                    for _ in range(_REPETITIONS)
                ]
            )
            members.close()
    return fit(sizes, samples, 'share of a core')


def _idle_core_shares(pid: int) -> list[float]:
    """Return the shares of a core that a process uses without load."""
    return [
        _core_share(pid, lambda: time.sleep(_MEASURED_S))
        for _ in range(_REPETITIONS)
    ]


def entry_idle() -> Slope:
    """Measure the core share of an entry by its connected schedulers."""
    sizes = (1, 3, 6)
    samples = []
    for count in sizes:
        with deployment.Deployment(vms=count) as running:
            pid = running.daemons['entry0'].pid
            samples.append(_idle_core_shares(pid))
    return fit(sizes, samples, 'share of a core')


def probe_seconds() -> Slope:
    """Measure a scheduler's core share by engines polled each second."""
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
            samples.append(_idle_core_shares(pid))
    return fit(sizes, samples, 'share of a core')


def configuration_bytes() -> Slope:
    """Measure the memory of a configuration by declared engines."""
    sizes = (100, 500, 1500)
    samples = []
    for count in sizes:
        bundle = create_bundle(count, 16, count * 660 // 1500)

        def create(_: int, bundle: schema.Bundle = bundle) -> typing.Any:
            sites = config.load(bundle)
            assert sites is not None
            return sites, cells.cell_configs(sites, ids.RegionName('r0'))

        samples.append([float(_memory_bytes(create, 0))])
    return fit(sizes, samples, 'B')


@dataclasses.dataclass(frozen=True)
class Measurement:
    """A named function that measures a slope."""

    name: str
    run: typing.Callable[[], Slope]


MEASUREMENTS: typing.Final = (
    Measurement('decision_by_engines', decision_by_engines),
    Measurement('decision_by_queue', decision_by_queue),
    Measurement('reservation_bytes', reservation_bytes),
    Measurement('watched_bytes', watched_bytes),
    Measurement('report_bytes', report_bytes),
    Measurement('change_seconds', change_seconds),
    Measurement('configuration_bytes', configuration_bytes),
    Measurement('heartbeat_seconds', heartbeat_seconds),
    Measurement('entry_idle', entry_idle),
    Measurement('probe_seconds', probe_seconds),
)


def main(args: list[str]) -> int:
    """Measure slopes and compare them with the recorded ones.

    Args:
        args: names of measurements, all if none; `write` records the slopes
            instead of comparing them.
    """
    recorded: dict[str, Slope] = {}
    if SLOPES_FILE.exists():
        recorded = msgspec.json.decode(
            SLOPES_FILE.read_bytes(), type=dict[str, Slope]
        )
    slopes: dict[str, Slope] = {}
    exceeded = []
    names = [arg for arg in args if arg != 'write']
    for measurement in MEASUREMENTS:
        if names and measurement.name not in names:
            continue
        slope = measurement.run()
        slopes[measurement.name] = slope
        print(
            f'{measurement.name}: {slope.per_item:.3g} {slope.unit} an item, '
            f'{slope.base:.3g} at none; spread {slope.spread:.2f}; '
            + ' '.join(
                f'{s:g}:{v:.3g}'
                for s, v in zip(slope.sizes, slope.values, strict=True)
            ),
            flush=True,
        )
        recorded_slope = recorded.get(measurement.name)
        largest_value = max(slope.values)
        if recorded_slope and largest_value > MAX_RATIO * max(
            recorded_slope.values
        ):
            exceeded.append(measurement.name)
    if 'write' in args:
        recorded.update(slopes)
        data = {name: msgspec.to_builtins(s) for name, s in recorded.items()}
        SLOPES_FILE.write_text(json.dumps(data, indent=1) + '\n')
        return 0
    for name in exceeded:
        print(f'{name}: more than {MAX_RATIO} times the page')
    return int(bool(exceeded))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
