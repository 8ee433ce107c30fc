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

"""The fault matrix: every fault at every step of a request's life.

The rows stand in test-data/faults.txt. Each is run over real daemons and
stand-ins: a request is brought to a step, the fault is done, and then the
answer, the engines and a second arrival are compared with the oracle.
`make faults` runs all rows and prints the grid.
"""

import collections.abc
import dataclasses
import json
import queue
import signal
import sys
import threading
import time
import typing

from galenahatch.test import deployment
from galenahatch.test import matrix
from galenahatch.test.standin import model

FREED_SECONDS: typing.Final = 20.0
_STEP_SECONDS: typing.Final = 10.0
_FROZEN_SECONDS: typing.Final = 4.0
_OUTAGE_SECONDS: typing.Final = 2.5
_STALL: typing.Final = 2.0
_LASTING: typing.Final = 120.0
_FILLERS: typing.Final = 7
_WORKERS: typing.Final = 3
ENGINES: typing.Final = (
    deployment.EngineSpec('p1', 'prefill'),
    deployment.EngineSpec('p2', 'prefill'),
    deployment.EngineSpec('d1', 'decode', params={'places': 2}),
    deployment.EngineSpec('d2', 'decode', params={'places': 2}),
)


@dataclasses.dataclass
class Result:
    """What came of a case.

    Attributes:
        outcome: told to the caller, or gone.
        freed: seconds from the fault until no engine held anything.
    """

    outcome: str
    freed: float
    runs: int


class Case:
    """One row on a deployment that other rows use too."""

    def __init__(
        self, running: deployment.Deployment, row: matrix.Row
    ) -> None:
        self._running = running
        self._row = row
        self._steps = row.fault.split('+')
        self._id = f'{row.name}-{time.monotonic_ns()}'
        self._prompt = f'{self._id} ' * 30
        self._fillers: list[matrix.Caller] = []

    def run(self) -> Result:
        """Run the case; AssertionError if a promise is broken."""
        try:
            return self._run()
        finally:
            self._repair()

    def _run(self) -> Result:
        self._prepare()
        caller = self._caller(0)
        caller.start()
        self._reach_step(caller)
        at = time.monotonic()
        for fault in self._steps:
            _FAULTS[fault](self, caller)
        caller.join(60)
        assert not caller.is_alive(), 'no answer'
        for filler in self._fillers:
            filler.join(60)
        # Work that would last is seen to be freed while it lasts.
        freed = self._freed(at) if self._lasts() else 0.0
        self._clear()
        freed = freed or self._freed(at)
        runs = self._runs()
        self._check(caller, runs)
        if self._row.once:
            self._second(caller)
        return Result(caller.outcome, freed, runs)

    def _caller(self, index: int) -> matrix.Caller:
        return matrix.Caller(
            self._running, index, self._prompt, self._id, self._row.once
        )

    # Bringing a request to a step.

    def _prepare(self) -> None:
        """Set the stand-ins so that the step lasts."""
        running = self._running
        lasts = self._lasts()
        slow = {'slow': 100.0 if lasts else 3.0}
        if self._row.step == 'claim':
            running.fault('table', slow=0.8)
        elif self._row.step == 'queue':
            self._fill()
        elif self._row.step == 'prefill':
            for name in ('p1', 'p2'):
                running.fault(
                    name, stall_prefill=_LASTING if lasts else _STALL
                )
        elif self._row.step == 'transfer':
            for name in ('d1', 'd2'):
                running.fault(name, stall_transfer=_LASTING if lasts else 0.5)
        elif self._row.step == 'decode':
            for name in ('d1', 'd2'):
                running.fault(name, **slow)
        for fault in self._steps:
            before = _BEFORE.get(fault)
            if before is not None:
                before(self)

    def _lasts(self) -> bool:
        """Return whether engines must be freed by a cancel, not by the end.

        The work is made to last far longer than the memory is waited for,
        so that only a cancel can free it in time.
        """
        gone = {'caller_gone', 'entry_killed', 'cancel_lost', 'vm_killed'}
        steps = ('prefill', 'transfer', 'decode')
        return self._row.step in steps and bool(gone.intersection(self._steps))

    def _fill(self) -> None:
        """Occupy every decode place for a while."""
        for name in ('d1', 'd2'):
            self._running.fault(name, slow=6.0)
        for number in range(_FILLERS):
            prompt = f'filler {number} {self._id}'
            filler = matrix.Caller(self._running, 2, prompt, '', False)
            filler.start()
            self._fillers.append(filler)
        deployment.wait_for(
            lambda: len(self._running.held()) >= 2, 'places are taken'
        )

    def _reach_step(self, caller: matrix.Caller) -> None:
        checks: dict[str, collections.abc.Callable[[], bool]] = {
            'claim': lambda: True,
            'queue': lambda: self._waiting() > 0,
            'prefill': lambda: self._held_by('p'),
            'transfer': lambda: self._held_by('d'),
            'decode': self._decoding,
            'done': lambda: not caller.is_alive(),
        }
        if self._row.step == 'claim':
            time.sleep(0.3)
        if self._ends_before_step():
            return
        deployment.wait_for(
            checks[self._row.step], f'step {self._row.step}', _STEP_SECONDS
        )

    def _ends_before_step(self) -> bool:
        """Return whether the fault itself keeps the step from lasting."""
        immediate = {
            'engine_refuses',
            'engine_error',
            'refused_late',
            'cut',
            'two_entries',
            'no_end',
            'no_end_ever',
            'duplicates',
            'foreign',
            'huge_line',
            'huge_line_ever',
        }
        return bool(immediate.intersection(self._steps))

    def _waiting(self) -> int:
        code, text = self._running.ctl('status', '--json')
        if code != 0:
            return 0
        daemons = json.loads(text)['daemons']
        return sum(
            daemon['load']
            for daemon in daemons
            if daemon['daemon'].startswith('scheduler')
        )

    def _streams(self, names: str) -> list[str]:
        return [
            stream
            for name in self._running.engines
            if name.startswith(names)
            for stream in self._running.seen(name, '/held')
        ]

    def _held_by(self, names: str) -> bool:
        return bool(self._streams(names))

    def _decoding(self) -> bool:
        return any(
            stream.endswith('/decode')
            for name in ('d1', 'd2')
            for stream in self._new_runs(name)
        )

    # What ran.

    def _new_runs(self, name: str) -> dict[str, int]:
        """Return the runs since the case began on one engine."""
        if not self._running.stand_ins[name].running():
            return self._last_seen.get(name, {})
        seen: dict[str, int] = self._running.seen(name)['runs']
        known = self._known.get(name, {})
        fresh = {k: v for k, v in seen.items() if k not in known}
        self._last_seen[name] = fresh
        return fresh

    def note_runs(self) -> None:
        """Remember the runs before this case."""
        self._known = {
            name: self._running.seen(name)['runs']
            for name in self._running.engines
        }
        self._last_seen: dict[str, dict[str, int]] = {}

    def _runs(self) -> int:
        """Return how many prefills began for the case's request."""
        fillers = len(self._fillers)
        total = 0
        for name in ('p1', 'p2'):
            runs = self._new_runs(name)
            total += sum(n for s, n in runs.items() if '/' not in s)
        return max(0, total - fillers)

    def _decodes(self) -> int:
        total = 0
        for name in ('d1', 'd2'):
            runs = self._new_runs(name)
            total += sum(n for s, n in runs.items() if s.endswith('/decode'))
        return max(0, total - len(self._fillers))

    def _freed(self, since: float) -> float:
        deployment.wait_for(
            lambda: not self._running_held(), 'memory is freed', FREED_SECONDS
        )
        return time.monotonic() - since

    def _running_held(self) -> list[str]:
        return [
            stream
            for name in self._running.engines
            if self._running.stand_ins[name].running()
            for stream in self._running.seen(name, '/held')
        ]

    # The oracle.

    def _check(self, caller: matrix.Caller, runs: int) -> None:
        assert caller.outcome in self._row.allowed, (
            f'outcome {caller.outcome} {caller.body}'
        )
        if caller.outcome == 'answered':
            truth = model.answer_of(self._prompt, matrix.MAX_TOKENS)
            assert caller.text() == truth, 'not the whole answer'
        if caller.outcome == 'not_run':
            assert runs == 0, f'not_run, yet {runs} runs'
        if self._row.once:
            assert runs <= 1, f'{runs} prefills'
            assert self._decodes() <= 1, 'decoded twice'

    def _second(self, first: matrix.Caller) -> None:
        """Send the key again at another entry, until it is not in flight."""
        self._running.wait_ready()
        until = time.monotonic() + 15
        while True:
            second = self._caller(1)
            second.run()
            kind = ''
            if second.outcome != 'answered':
                kind = second.body['error']['type']
            if kind not in ('in_flight', 'claim_abandoned', 'claim_unread'):
                break
            if time.monotonic() > until:
                break
            time.sleep(0.5)
        assert self._runs() <= 1, f'{self._runs()} prefills after a second'
        assert self._decodes() <= 1, 'decoded twice after a second'
        if first.outcome == 'answered':
            assert second.outcome == 'answered', second.body
        if second.outcome == 'answered':
            truth = model.answer_of(self._prompt, matrix.MAX_TOKENS)
            assert second.text() == truth, 'a second, other answer'
        if first.outcome in ('failed', 'unknown') and self._runs():
            told = (first.outcome, 'answered', 'unknown')
            assert second.outcome in told, second.body

    # Repairing for the next row.

    def _clear(self) -> None:
        """Undo faults that go on."""
        running = self._running
        for name, process in running.stand_ins.items():
            if process.running() and name != 'vms':
                running.fault(name)

    def _repair(self) -> None:
        running = self._running
        for name, process in running.stand_ins.items():
            process.signal(signal.SIGCONT)
            if not process.running():
                process.start()
                deployment.wait_for(
                    lambda n=name: bool(  # type: ignore[misc]
                        deployment.call('GET', running.urls[n] + '/runs')
                    ),
                    f'{name} answers',
                )
        self._clear()
        running.list_vms()
        for process in running.daemons.values():
            process.signal(signal.SIGCONT)
            if not process.running():
                process.start()
        running.wait_ready()
        deployment.wait_for(
            lambda: not running.held(), 'all is freed', FREED_SECONDS
        )


Fault = collections.abc.Callable[[Case, matrix.Caller], None]


def _caller_gone(case: Case, caller: matrix.Caller) -> None:
    caller.leave()


def _kill(name: str) -> Fault:
    def fault(case: Case, caller: matrix.Caller) -> None:
        case._running.daemons[name].kill()

    return fault


def _entry_frozen(case: Case, caller: matrix.Caller) -> None:
    entry = case._running.daemons['entry0']
    entry.signal(signal.SIGSTOP)
    time.sleep(_FROZEN_SECONDS)
    entry.signal(signal.SIGCONT)


def _owner(case: Case) -> str:
    """Return the scheduler that owns the cell: it knows its engines."""
    for index in range(len(case._running.addresses)):
        log = case._running.daemons[f'scheduler{index}'].log_text()
        lines = [ln for ln in log.splitlines() if 'Request placed' in ln]
        if lines and case._running.daemons[f'scheduler{index}'].running():
            return f'scheduler{index}'
    return 'scheduler1'


def _scheduler_killed(case: Case, caller: matrix.Caller) -> None:
    case._running.daemons[_owner(case)].kill()


def _scheduler_stopped(case: Case, caller: matrix.Caller) -> None:
    assert case._running.daemons[_owner(case)].stop() == 0


def _schedulers_killed(case: Case, caller: matrix.Caller) -> None:
    for name, process in case._running.daemons.items():
        if name.startswith('scheduler'):
            process.kill()


def _engine_killed(case: Case, caller: matrix.Caller) -> None:
    letter = 'p' if case._row.step == 'prefill' else 'd'
    for name in case._running.engines:
        if name.startswith(letter):
            if case._running.seen(name, '/held'):
                case._running.stand_ins[name].kill()
                return


def _stores(*names: str) -> Fault:
    def fault(case: Case, caller: matrix.Caller) -> None:
        for name in names:
            case._running.fault(name, down=True)

        def back() -> None:
            time.sleep(_OUTAGE_SECONDS)
            for name in names:
                case._running.fault(name)

        threading.Thread(target=back, daemon=True).start()

    return fault


def _set(
    names: str, **faults: typing.Any
) -> collections.abc.Callable[[Case], None]:
    """Return a function that sets faults on engines before the request."""

    def before(case: Case) -> None:
        for name in case._running.stand_ins:
            if name in names.split():
                case._running.fault(name, **faults)

    return before


def _nothing(case: Case, caller: matrix.Caller) -> None:
    """The fault was set before the request."""


def _cancel_lost(case: Case, caller: matrix.Caller) -> None:
    for name in case._running.engines:
        case._running.fault(name, lose_cancels=10, slow=100.0)
    caller.leave()


def _stopped(case: Case, caller: matrix.Caller) -> None:
    assert case._running.daemons['entry0'].stop() == 0


def _all_stopped(case: Case, caller: matrix.Caller) -> None:
    for index in range(len(case._running.addresses)):
        for program in ('entry', 'scheduler'):
            process = case._running.daemons[f'{program}{index}']
            assert process.stop() == 0, f'{program}{index}'
            process.start()
        case._running.wait_ready()


def _two_entries(case: Case, caller: matrix.Caller) -> None:
    """Send the same key at another entry at the same time."""
    other = case._caller(1)
    other.run()
    caller.join(60)
    told = sorted((caller.outcome, other.outcome))
    # Whichever claims the key first runs it; the other hears that it runs,
    # or has the same answer.
    assert told in (['answered', 'answered'], ['answered', 'unknown']), told
    if other.outcome == 'answered':
        truth = model.answer_of(case._prompt, matrix.MAX_TOKENS)
        assert other.text() == truth


def _vm_killed(case: Case, caller: matrix.Caller) -> None:
    case._running.daemons['entry0'].kill()
    case._running.daemons['scheduler0'].kill()


_FAULTS: typing.Final[dict[str, Fault]] = {
    'caller_gone': _caller_gone,
    'entry_killed': _kill('entry0'),
    'entry_frozen': _entry_frozen,
    'entry_stopped': _stopped,
    'all_stopped_in_turn': _all_stopped,
    'scheduler_killed': _scheduler_killed,
    'scheduler_stopped': _scheduler_stopped,
    'schedulers_killed': _schedulers_killed,
    'engine_killed': _engine_killed,
    'engine_refuses': _nothing,
    'engine_error': _nothing,
    'refused_late': _nothing,
    'cut': _nothing,
    'stalled': _nothing,
    'no_end': _nothing,
    'no_end_ever': _nothing,
    'huge_line_ever': _nothing,
    'duplicates': _nothing,
    'foreign': _nothing,
    'huge_line': _nothing,
    'cancel_lost': _cancel_lost,
    'table_down': _stores('table'),
    'stores_down': _stores('table', 'objects'),
    'table_answer_lost': _nothing,
    'table_late': _nothing,
    'table_slow': _nothing,
    'two_entries': _two_entries,
    'vm_killed': _vm_killed,
    'vms_stale': _nothing,
}
_BEFORE: typing.Final[dict[str, collections.abc.Callable[[Case], None]]] = {
    'engine_refuses': _set('p1 p2', refuse=1),
    'engine_error': _set('p1 p2', error=1),
    'refused_late': _set('p1 p2', refuse_after_start=1),
    'no_end': _set('d1 d2', no_end=1),
    'no_end_ever': _set('d1 d2', no_end=100),
    'huge_line_ever': _set('d1 d2', huge=100),
    'duplicates': _set('d1 d2', duplicate=True),
    'foreign': _set('d1 d2', foreign=True),
    'huge_line': _set('d1 d2', huge=1),
    'stalled': _set('d1', stall_transfer=3.0),
    'table_answer_lost': _set('table', lose_answers=1),
    'table_late': _set('table', late=1.0),
    'table_slow': _set('table', slow=1.2),
}


def _cut_before(case: Case) -> None:
    """Cut the connection, once, at the step of the row."""
    if case._row.step == 'prefill':
        _set('p1 p2', cut_prefill=1)(case)
    else:
        _set('d1 d2', cut_at=5, slow=3.0)(case)


_BEFORE['cut'] = _cut_before


def knows(row: matrix.Row) -> bool:
    """Return whether each fault of a row can be done."""
    return all(fault in _FAULTS for fault in row.fault.split('+'))


def start() -> deployment.Deployment:
    """Return a deployment for the matrix, not yet started."""
    return deployment.Deployment(
        vms=3,
        engines=ENGINES,
        service={'wait_ms': 60_000, 'waste_weight': 1.0},
    )


def run_row(running: deployment.Deployment, row: matrix.Row) -> Result:
    """Run one row."""
    case = Case(running, row)
    case.note_runs()
    return case.run()


def main(names: list[str]) -> int:
    """Run all rows, or those whose names hold one of some words."""
    chosen = [
        row
        for row in matrix.rows()
        if not names or any(name in row.name for name in names)
    ]
    work: queue.SimpleQueue[matrix.Row] = queue.SimpleQueue()
    for row in chosen:
        work.put(row)
    results: dict[str, bool] = {}
    workers = [
        threading.Thread(target=_work, args=(work, results))
        for _ in range(min(_WORKERS, len(chosen)))
    ]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    passed = sum(results.values())
    failed = len(results) - passed
    not_run = [row.name for row in matrix.rows() if row.name not in results]
    print(f'{passed} passed, {failed} failed, {len(not_run)} not run')
    for name in not_run if not names else ():
        print(f'not run: {name}')
    return int(passed != len(chosen))


def _work(
    work: queue.SimpleQueue[matrix.Row], results: dict[str, bool]
) -> None:
    """Run rows on a deployment of one's own until none is left."""
    with start() as running:
        while True:
            try:
                row = work.get_nowait()
            except queue.Empty:
                return
            try:
                result = run_row(running, row)
            except AssertionError as error:
                results[row.name] = False
                text = f'FAIL  {str(error)[:200]}'
            else:
                results[row.name] = True
                freed = f'{result.freed:5.2f} s'
                if row.step == 'queue':
                    freed = 'with the others'
                text = f'pass  {result.outcome:9} freed {freed}'
            print(f'{row.name:48} {text}', flush=True)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
