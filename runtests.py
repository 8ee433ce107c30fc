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

"""Runs every check by name: `runtests.py [NAME ...]`.

Without names it runs what CI runs. Each check is one command; the exit
code is that of the first check that fails, after all have run.
"""

import ast
import os
import pathlib
import re
import subprocess
import sys
import typing

ROOT: typing.Final = pathlib.Path(__file__).resolve().parent
CODE: typing.Final = ('galenahatch', 'bench', 'runtests.py')
KNOWN_RED: typing.Final = ROOT / 'KNOWN-RED.txt'
MOST_KNOWN_RED: typing.Final = 3
# Modules that do input or output, and may not be seen from the core.
OUTSIDE: typing.Final = (
    'aiohttp',
    'asyncio',
    'datetime',
    'socket',
    'threading',
    'time',
    'zmq',
)
ABOVE_CORE: typing.Final = (
    'galenahatch.clock',
    'galenahatch.logs',
    'galenahatch.metrics',
    'galenahatch.platform',
    'galenahatch.upstream',
)
BELOW_PROGRAMS: typing.Final = ('core', 'platform', 'upstream')
PROGRAMS: typing.Final = ('entry', 'scheduler', 'controller', 'ctl', 'main')

# The platform's headers, calls and fields, which only the adapter spells.
PLATFORM_NAMES: typing.Final = re.compile(
    r'X-Galenahatch-|\brows-(tx|get|feed)|\bblob-|\b(kv_handle|kv_hold_s|'
    r'next_token|create_rev|set_keys|seq_no|max_conns|gap_aim_ms|'
    r'target_latency_ms|cold_left_ms|retry_slack|budget_window_s)\b'
)
# Its words for what our code calls VM, data centre, customer and upstream.
PLATFORM_WORDS: typing.Final = re.compile(
    r'(?<!state )\b(zone|tenant|machine|back ?end)s?\b', re.IGNORECASE
)

# Rows sleep most of their time, each on ports and addresses of its own; each
# starts up to ten processes, so half of the processors are left to those.
WORKERS: typing.Final = max(1, min(6, (os.cpu_count() or 1) // 2))

MODULE_LINES: typing.Final = 430
FUNCTION_LINES: typing.Final = 45

Check = typing.Callable[[], int]


def _command(*args: str) -> int:
    print('+', ' '.join(args), flush=True)
    command = [sys.executable, '-m', *args]
    return subprocess.run(command, cwd=ROOT, check=False).returncode


def _format() -> int:
    return _command('ruff', 'format', '--check', *CODE)


def _lint() -> int:
    return _command('flake8', *CODE)


def _types() -> int:
    return _command('mypy')


def _imports(path: pathlib.Path) -> set[str]:
    """Return the modules that a file imports."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.update(f'{node.module}.{a.name}' for a in node.names)
    return found


def _starts(name: str, modules: typing.Iterable[str]) -> bool:
    return any(name == m or name.startswith(m + '.') for m in modules)


def _layers() -> int:
    """Check that imports point from programs over clients to the core."""
    wrong = []
    package = ROOT / 'galenahatch'
    for path in sorted((package / 'core').glob('*.py')):
        for name in sorted(_imports(path)):
            if _starts(name, (*OUTSIDE, *ABOVE_CORE)):
                wrong.append(f'{path.relative_to(ROOT)}: {name}')
    programs = [f'galenahatch.{name}' for name in PROGRAMS]
    for layer in BELOW_PROGRAMS:
        for path in sorted((package / layer).glob('*.py')):
            for name in sorted(_imports(path)):
                if _starts(name, programs):
                    wrong.append(f'{path.relative_to(ROOT)}: {name}')
    print('layers:', 'wrong imports' if wrong else 'good', flush=True)
    for line in wrong:
        print(' ', line)
    return bool(wrong)


def _boundary() -> int:
    """Check that only the adapter spells the platform's names."""
    wrong = []
    package = ROOT / 'galenahatch'
    for path in sorted(package.rglob('*.py')):
        inside = path.relative_to(package).parts[0]
        if inside in ('platform', 'test'):
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if PLATFORM_NAMES.search(line) or PLATFORM_WORDS.search(line):
                where = f'{path.relative_to(ROOT)}:{number}'
                wrong.append(f'{where}: {line.strip()}')
    print('boundary:', 'crossed' if wrong else 'good', flush=True)
    for line in wrong:
        print(' ', line)
    return bool(wrong)


def _sizes() -> int:
    """Check that modules and functions stay small."""
    wrong = []
    for path in sorted((ROOT / 'galenahatch').rglob('*.py')):
        text = path.read_text()
        lines = len(text.splitlines())
        if lines > MODULE_LINES and 'test' not in path.parts:
            wrong.append(f'{path.relative_to(ROOT)}: {lines} lines')
        for node in ast.walk(ast.parse(text)):
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                length = (node.end_lineno or 0) - node.lineno + 1
                if length > FUNCTION_LINES:
                    where = f'{path.relative_to(ROOT)}:{node.lineno}'
                    wrong.append(f'{where}: {node.name} {length} lines')
    print('sizes:', 'too large' if wrong else 'good', flush=True)
    for line in wrong:
        print(' ', line)
    return bool(wrong)


def _docs() -> int:
    """Check that the reference pages are what the code gives."""
    return _command('galenahatch.test.reference', 'check')


def _known_red() -> list[str]:
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line for line in lines if line.strip()]


def _tests() -> int:
    """Run the tests; the listed known failures are printed, not run."""
    red = _known_red()
    if len(red) > MOST_KNOWN_RED:
        print('KNOWN-RED.txt has more than three lines')
        return 1
    flags = []
    for line in red:
        print('known red:', line, flush=True)
        flags.append(f'--deselect={line.partition(",")[0].strip()}')
    return _command('pytest', '-n', str(WORKERS), *flags)


def _fuzz() -> int:
    return _command('galenahatch.test.fuzz')


def _faults() -> int:
    return _command('galenahatch.test.faults')


def _mutations() -> int:
    return _command('galenahatch.test.mutations')


CI: typing.Final[dict[str, Check]] = {
    'format': _format,
    'lint': _lint,
    'types': _types,
    'layers': _layers,
    'boundary': _boundary,
    'sizes': _sizes,
    'docs': _docs,
    'tests': _tests,
}
LONG: typing.Final[dict[str, Check]] = {
    'fuzz': _fuzz,
    'faults': _faults,
    'mutations': _mutations,
}


def main(names: list[str]) -> int:
    """Run the named checks, or those of CI."""
    known = {**CI, **LONG}
    unknown = [name for name in names if name not in known]
    if unknown:
        print(f'unknown: {", ".join(unknown)}; known: {", ".join(known)}')
        return 2
    results = {name: known[name]() for name in names or CI}
    for name, code in results.items():
        print(f'{name}: {"failed" if code else "passed"}')
    return int(any(results.values()))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
