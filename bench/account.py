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

"""Reports which losses lowered the score of a simulated day.

    fleetbench run SITE DAY --log all --report REPORT > LOG
    python -m bench.account LOG REPORT

Prints the deductions in the report; the outcomes of attempts at streams, with
the longest phase of each late one; and a row for each window of two seconds:
placements, completions, refusals, the load of decode engines, the owner's
figures at its last refusal, and the stage orders and losses. A line of the
log has the simulated time, the VM, and the JSON line of the gateway.
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
_WINDOW_S: typing.Final = 2
_MIN_PRINTED_PRICE: typing.Final = 0.004
"""Smaller deductions are not printed: days differ by more than this."""
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
    """A log line of a gateway.

    Attributes:
        time_s: simulated time in seconds.
        vm: name of the VM that wrote it.
        fields: the decoded JSON object.
    """

    time_s: float
    vm: str
    fields: dict[str, typing.Any]

    @property
    def message(self) -> str:
        """The log sentence, or an empty string."""
        return str(self.fields.get('message', ''))

    def decision_input(self, name: str) -> str:
        """Return one input of the logged decision, or an empty string."""
        matched = re.search(
            rf'\b{name}=(\S+)', str(self.fields.get('why', ''))
        )
        return matched[1] if matched else ''


def parse_lines(text: str) -> list[Line]:
    """Return the log lines of gateways in the output of a run, by time."""
    lines = []
    for output_line in text.splitlines():
        matched = _LINE.match(output_line)
        if matched is None:
            continue
        try:
            fields = json.loads(matched[3])
        except ValueError:
            continue
        lines.append(Line(float(matched[1]), matched[2], fields))
    return sorted(lines, key=lambda line: line.time_s)


def count_attempt_outcomes(
    lines: collections.abc.Iterable[Line], target_s: float
) -> list[str]:
    """Return the outcomes of attempts at streams, most frequent first."""
    counts: collections.Counter[str] = collections.Counter()
    for line in lines:
        if line.message == 'Stream completed.':
            counts[_classify_completed(line.fields, target_s)] += 1
        elif line.message == 'Refused.':
            is_repeated = line.decision_input('returned') == 'True'
            is_past_deadline = 'no_time_left' in str(
                line.fields.get('why', '')
            )
            kind = 'refused again' if is_repeated else 'refused'
            counts[f'{kind}, after waiting' if is_past_deadline else kind] += 1
        elif line.message == 'Stream aborted.':
            counts[f'broken off: {line.fields.get("detail", "")}'] += 1
    return [f'{count:6d}  {name}' for name, count in counts.most_common()]


def _classify_completed(fields: dict[str, typing.Any], target_s: float) -> str:
    """Return whether a stream began in time, or the phase that delayed it."""
    if fields['first'] <= target_s:
        return 'in time, by its own attempt'
    time_by_part = {part: fields[part] for part in ('waited', 'read', 'made')}
    return f'late: {max(time_by_part, key=lambda part: time_by_part[part])}'


def window_rows(lines: collections.abc.Sequence[Line]) -> list[str]:
    """Return a row for each window of the day that has log lines."""
    rows = []
    by_window: dict[int, list[Line]] = collections.defaultdict(list)
    for line in lines:
        by_window[int(line.time_s // _WINDOW_S)].append(line)
    for number in sorted(by_window):
        if number >= 0:
            rows.append(_window_row(number * _WINDOW_S, by_window[number]))
    return rows


def _window_row(start: int, lines: list[Line]) -> str:
    counts = collections.Counter(line.message for line in lines)
    placed = [line for line in lines if line.message == 'Placed.']
    loads = [float(line.decision_input('load') or 0) for line in placed]
    waits = [float(line.decision_input('waited') or 0) for line in placed]
    refusals = [line for line in lines if line.decision_input('served')]
    owner_figures = ''
    if refusals:
        last = refusals[-1]
        names = ('served', 'rate', 'delay', 'pace', 'prefills', 'decodes')
        owner_figures = ' '.join(
            f'{name}={last.decision_input(name)}' for name in names
        )
    events = _count_events(lines)
    return (
        f'{start:4d}  placed {len(placed):3d}'
        f' ended {counts["Stream completed."]:3d}'
        f' refused {counts["Refused."]:3d}'
        f' load {statistics.fmean(loads) if loads else 0.0:.2f}'
        f' waited {statistics.fmean(waits) if waits else 0.0:.2f}'
        f'  {owner_figures}  {events}'.rstrip()
    )


def _count_events(lines: list[Line]) -> str:
    """Count losses and orders, once for each upstream or member."""
    subjects_by_event: dict[str, set[str]] = collections.defaultdict(set)
    for line in lines:
        name = _EVENTS.get(line.message)
        if name is not None:
            fields = line.fields
            subject = fields.get('engine') or fields.get('upstream')
            subjects_by_event[name].add(
                str(subject or fields.get('owner') or line.vm)
            )
    return ', '.join(
        f'{name} {len(subjects)}'
        for name, subjects in subjects_by_event.items()
    )


def summarize_report(report: dict[str, typing.Any]) -> list[str]:
    """Return the score, deductions and outcomes of the whole day."""
    rows = [f'worth {report["G"]:.3f}']
    for name, weight, value in report['parts']:
        rows.append(f'{weight * value:8.3f} of {weight:.2f}  {name}')
    for name, _, price in report['prices']:
        if price >= _MIN_PRINTED_PRICE:
            rows.append(f'{-price:8.3f}  {name}')
    for group in report['classes']:
        rows.append(
            f'{group["name"]:16} {group["n"]:5d} asked,'
            f' {group["in_aim"]:5d} in time, {group["late"]:4d} late,'
            f' {group["refused"]:4d} refused, {group["failed"]:4d} failed'
        )
    for outcome, count, _ in report['unserved_by']:
        rows.append(f'{count:6d}  not served, last: {outcome}')
    return rows


def main() -> int:
    """Print the deductions and outcomes of one day."""
    parser = argparse.ArgumentParser(description='Account of a played day')
    parser.add_argument('log', type=pathlib.Path)
    parser.add_argument('report', type=pathlib.Path)
    parser.add_argument(
        '--aim', type=float, default=0.9, help='seconds to a first event'
    )
    options = parser.parse_args()
    lines = parse_lines(options.log.read_text(errors='replace'))
    if not lines:
        parser.error(
            f'{options.log}: no log line of a gateway;'
            ' run fleetbench with --log all'
        )
    report = json.loads(options.report.read_text())
    for title, rows in (
        ('The day', summarize_report(report)),
        ('Attempts at streams', count_attempt_outcomes(lines, options.aim)),
        ('Each two seconds', window_rows(lines)),
    ):
        print(f'\n{title}\n')
        print('\n'.join(rows))
    return 0


if __name__ == '__main__':
    sys.exit(main())
