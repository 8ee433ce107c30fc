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

"""Runs the named checks: `runtests.py [NAME ...]`.

Without names, runs those of CI; fuzz, faults and mutations run only when
named. All named checks run even if one fails; the exit code is 1 if any
failed, and 2 if a name is unknown.
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
# Tests that are known to fail, one a line: the pytest node id, a comma, then
# the command and seed, what was seen, and the issue.
KNOWN_RED: typing.Final = ROOT / 'KNOWN-RED.txt'
MAX_KNOWN_RED: typing.Final = 5
# Libraries for I/O, threads and clocks, which the core must not import.
CORE_FORBIDDEN_LIBRARIES: typing.Final = (
    'aiohttp',
    'asyncio',
    'datetime',
    'socket',
    'threading',
    'time',
    'zmq',
)
# Modules and packages of galenahatch that the core must not import.
CORE_FORBIDDEN_MODULES: typing.Final = (
    'galenahatch.clock',
    'galenahatch.logs',
    'galenahatch.metrics',
    'galenahatch.platform',
    'galenahatch.upstream',
)
# Packages that must not import PROGRAMS.
PACKAGES_WITHOUT_PROGRAMS: typing.Final = ('core', 'platform', 'upstream')
PROGRAMS: typing.Final = ('entry', 'scheduler', 'controller', 'ctl', 'main')

# Headers, calls and fields of the users' platform. Only its adapter,
# galenahatch/platform, and galenahatch/test may use them.
PLATFORM_NAMES: typing.Final = re.compile(
    r'X-Galenahatch-|\brows-(tx|get|feed)|\bblob-|\b(kv_handle|kv_hold_s|'
    r'next_token|create_rev|set_keys|seq_no|max_conns|gap_aim_ms|'
    r'target_latency_ms|cold_left_ms|retry_slack|budget_window_s)\b'
)
# The platform's terms for VM (machine), data centre (zone), customer (tenant)
# and upstream (back end). 'state machine' is allowed.
PLATFORM_WORDS: typing.Final = re.compile(
    r'(?<!state )\b(zone|tenant|machine|back ?end)s?\b', re.IGNORECASE
)

# Parallel pytest workers. Tests sleep most of the time, and each has ports and
# addresses of its own. Each starts up to ten processes; half of the CPUs are
# left to those.
WORKERS: typing.Final = max(1, min(6, (os.cpu_count() or 1) // 2))

MAX_MODULE_LINES: typing.Final = 430
MAX_FUNCTION_LINES: typing.Final = 45

# A check returns its exit code; 0 means that it passed.
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


def _imported_modules(path: pathlib.Path) -> set[str]:
    """Return the names of the modules that a file imports."""
    imported: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            imported.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            imported.update(f'{node.module}.{a.name}' for a in node.names)
    return imported


def _is_in_modules(name: str, modules: typing.Iterable[str]) -> bool:
    return any(name == m or name.startswith(m + '.') for m in modules)


def _layers() -> int:
    """Check the direction of imports.

    The core imports neither libraries for I/O, threads and clocks nor outer
    layers. The core, the platform and the upstream package import no program.
    """
    violations = []
    package = ROOT / 'galenahatch'
    for path in sorted((package / 'core').glob('*.py')):
        for name in sorted(_imported_modules(path)):
            if _is_in_modules(
                name, (*CORE_FORBIDDEN_LIBRARIES, *CORE_FORBIDDEN_MODULES)
            ):
                violations.append(f'{path.relative_to(ROOT)}: {name}')
    programs = [f'galenahatch.{name}' for name in PROGRAMS]
    for layer in PACKAGES_WITHOUT_PROGRAMS:
        for path in sorted((package / layer).glob('*.py')):
            for name in sorted(_imported_modules(path)):
                if _is_in_modules(name, programs):
                    violations.append(f'{path.relative_to(ROOT)}: {name}')
    print('layers:', 'wrong imports' if violations else 'good', flush=True)
    for line in violations:
        print(' ', line)
    return bool(violations)


def _boundary() -> int:
    """Check that only the adapter uses the platform's names and terms."""
    violations = []
    package = ROOT / 'galenahatch'
    for path in sorted(package.rglob('*.py')):
        subpackage = path.relative_to(package).parts[0]
        if subpackage in ('platform', 'test'):
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if PLATFORM_NAMES.search(line) or PLATFORM_WORDS.search(line):
                location = f'{path.relative_to(ROOT)}:{number}'
                violations.append(f'{location}: {line.strip()}')
    print('boundary:', 'crossed' if violations else 'good', flush=True)
    for line in violations:
        print(' ', line)
    return bool(violations)


def _sizes() -> int:
    """Check that modules, except tests, and functions aren't too long."""
    violations = []
    for path in sorted((ROOT / 'galenahatch').rglob('*.py')):
        text = path.read_text()
        lines = len(text.splitlines())
        if lines > MAX_MODULE_LINES and 'test' not in path.parts:
            violations.append(f'{path.relative_to(ROOT)}: {lines} lines')
        for node in ast.walk(ast.parse(text)):
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                length = (node.end_lineno or 0) - node.lineno + 1
                if length > MAX_FUNCTION_LINES:
                    location = f'{path.relative_to(ROOT)}:{node.lineno}'
                    violations.append(
                        f'{location}: {node.name} {length} lines'
                    )
    print('sizes:', 'too large' if violations else 'good', flush=True)
    for line in violations:
        print(' ', line)
    return bool(violations)


def _docs() -> int:
    """Check that the reference pages match the code."""
    return _command('galenahatch.test.reference', 'check')


def _known_red() -> list[str]:
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line for line in lines if line.strip()]


def _tests() -> int:
    """Run the tests; print the known failures instead of running them."""
    known_red = _known_red()
    if len(known_red) > MAX_KNOWN_RED:
        print(f'KNOWN-RED.txt has more than {MAX_KNOWN_RED} lines')
        return 1
    flags = []
    for line in known_red:
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
    """Run the named checks, or the checks of CI if none is named."""
    checks = {**CI, **LONG}
    unknown = [name for name in names if name not in checks]
    if unknown:
        print(f'unknown: {", ".join(unknown)}; known: {", ".join(checks)}')
        return 2
    results = {name: checks[name]() for name in names or CI}
    for name, code in results.items():
        print(f'{name}: {"failed" if code else "passed"}')
    return int(any(results.values()))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
