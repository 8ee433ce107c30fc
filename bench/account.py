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

"""Where the worth of a played day went, from its log and its report.

    fleetbench run SITE DAY --log all --report REPORT > LOG
    python -m bench.account LOG REPORT

Prints what the report takes off; how attempts at streams ended, and which
part of the time made the late ones late; and a line for each two seconds:
what was placed, ended, refused and lost, how full decode engines were, what
the owner believed at its last refusal, and which orders and losses fell into
them. A line of a log is its simulated time, the VM, and our own JSON.
"""

import argparse
import collections
import collections.abc
import dataclasses
import json
import pathlib
import re
import statistics
import sys
import typing

_LINE: typing.Final = re.compile(r'\s*(-?[\d.]+) (\S+) (\{.*\})\s*$')
_WINDOW: typing.Final = 2
_LEAST_SHOWN: typing.Final = 0.004
"""Worth below which a price is not printed; days differ by more."""
_EVENTS: typing.Final = {
    'Change wanted.': 'order',
    'Upstream gone.': 'gone',
    'Owner changed.': 'owner',
    'Decode request failed.': 'decode lost',
    'Prefill request failed.': 'prefill lost',
    'Stream interrupted.': 'stream lost',
}


@dataclasses.dataclass(frozen=True)
class Line:
    """One line of our log."""

    at: float
    vm: str
    fields: dict[str, typing.Any]

    @property
    def message(self) -> str:
        """What happened."""
        return str(self.fields.get('message', ''))

    def why(self, name: str) -> str:
        """Return one of the inputs that a decision rests on, or ''."""
        found = re.search(rf'\b{name}=(\S+)', str(self.fields.get('why', '')))
        return found[1] if found else ''


def read(text: str) -> list[Line]:
    """Return the lines of our own logs in what a run printed."""
    lines = []
    for raw in text.splitlines():
        found = _LINE.match(raw)
        if found is None:
            continue
        try:
            fields = json.loads(found[3])
        except ValueError:
            continue
        lines.append(Line(float(found[1]), found[2], fields))
    return sorted(lines, key=lambda line: line.at)


def endings(lines: collections.abc.Iterable[Line], aim: float) -> list[str]:
    """Return how attempts at streams ended, the most frequent first."""
    counts: collections.Counter[str] = collections.Counter()
    for line in lines:
        if line.message == 'Stream completed.':
            counts[_streamed(line.fields, aim)] += 1
        elif line.message == 'Refused.':
            again = line.why('returned') == 'True'
            late = 'no_time_left' in str(line.fields.get('why', ''))
            kind = 'refused again' if again else 'refused'
            counts[f'{kind}, after waiting' if late else kind] += 1
        elif line.message == 'Stream aborted.':
            counts[f'broken off: {line.fields.get("detail", "")}'] += 1
    return [f'{count:6d}  {name}' for name, count in counts.most_common()]


def _streamed(fields: dict[str, typing.Any], aim: float) -> str:
    """Return whether a stream began in time, or what made it late."""
    if fields['first'] <= aim:
        return 'in time, by its own attempt'
    spent = {part: fields[part] for part in ('waited', 'read', 'made')}
    return f'late: {max(spent, key=lambda part: spent[part])}'


def windows(lines: collections.abc.Sequence[Line]) -> list[str]:
    """Return a line for each window of the day."""
    rows = []
    by_window: dict[int, list[Line]] = collections.defaultdict(list)
    for line in lines:
        by_window[int(line.at // _WINDOW)].append(line)
    for number in sorted(by_window):
        if number >= 0:
            rows.append(_window(number * _WINDOW, by_window[number]))
    return rows


def _window(start: int, lines: list[Line]) -> str:
    counts = collections.Counter(line.message for line in lines)
    placed = [line for line in lines if line.message == 'Placed.']
    loads = [float(line.why('load') or 0) for line in placed]
    waits = [float(line.why('waited') or 0) for line in placed]
    refusals = [line for line in lines if line.why('served')]
    believed = ''
    if refusals:
        last = refusals[-1]
        names = ('served', 'rate', 'delay', 'pace', 'prefills', 'decodes')
        believed = ' '.join(f'{name}={last.why(name)}' for name in names)
    events = _events(lines)
    return (
        f'{start:4d}  placed {len(placed):3d}'
        f' ended {counts["Stream completed."]:3d}'
        f' refused {counts["Refused."]:3d}'
        f' load {statistics.fmean(loads) if loads else 0.0:.2f}'
        f' waited {statistics.fmean(waits) if waits else 0.0:.2f}'
        f'  {believed}  {events}'.rstrip()
    )


def _events(lines: list[Line]) -> str:
    """Return losses and orders, each upstream's or member's once."""
    seen: dict[str, set[str]] = collections.defaultdict(set)
    for line in lines:
        name = _EVENTS.get(line.message)
        if name is not None:
            fields = line.fields
            of = fields.get('engine') or fields.get('upstream')
            seen[name].add(str(of or fields.get('owner') or line.vm))
    return ', '.join(f'{name} {len(of)}' for name, of in seen.items())


def summary(report: dict[str, typing.Any]) -> list[str]:
    """Return what the report says of the whole day."""
    rows = [f'worth {report["G"]:.3f}']
    for name, weight, value in report['parts']:
        rows.append(f'{weight * value:8.3f} of {weight:.2f}  {name}')
    for name, _, price in report['prices']:
        if price >= _LEAST_SHOWN:
            rows.append(f'{-price:8.3f}  {name}')
    for one in report['classes']:
        rows.append(
            f'{one["name"]:16} {one["n"]:5d} asked, {one["in_aim"]:5d} in'
            f' time, {one["late"]:4d} late, {one["refused"]:4d} refused,'
            f' {one["failed"]:4d} failed'
        )
    for end, count, _ in report['unserved_by']:
        rows.append(f'{count:6d}  not served, last: {end}')
    return rows


def main() -> int:
    """Print the account of one day."""
    parser = argparse.ArgumentParser(description='Account of a played day')
    parser.add_argument('log', type=pathlib.Path)
    parser.add_argument('report', type=pathlib.Path)
    parser.add_argument(
        '--aim', type=float, default=0.9, help='seconds to a first event'
    )
    options = parser.parse_args()
    lines = read(options.log.read_text(errors='replace'))
    if not lines:
        parser.error(f'{options.log}: no line of our logs; run with --log all')
    report = json.loads(options.report.read_text())
    for title, rows in (
        ('The day', summary(report)),
        ('Attempts at streams', endings(lines, options.aim)),
        ('Each two seconds', windows(lines)),
    ):
        print(f'\n{title}\n')
        print('\n'.join(rows))
    return 0


if __name__ == '__main__':
    sys.exit(main())
