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

"""Shows that each proof fails without the line it rests on.

Each row of test-data/mutations.txt is made on a scratch copy of the tree;
the named test must then fail. A row whose test still passes, or whose line
is no longer there, is a failure of this check.
"""

import concurrent.futures
import dataclasses
import pathlib
import shutil
import subprocess
import sys
import tempfile
import typing

ROOT: typing.Final = pathlib.Path(__file__).resolve().parents[2]
ROWS: typing.Final = ROOT / 'test-data' / 'mutations.txt'
_AT_ONCE: typing.Final = 3
_COPIED: typing.Final = (
    'galenahatch',
    'bench',
    'test-data',
    'pyproject.toml',
)


@dataclasses.dataclass(frozen=True)
class Mutation:
    """One row."""

    promise: str
    file: str
    line: str
    instead: str
    proof: str


def rows() -> list[Mutation]:
    """Return the rows of the file."""
    found = []
    for line in ROWS.read_text().splitlines():
        if line and not line.startswith('#'):
            found.append(Mutation(*line.split(' | ')))
    return found


def run(mutation: Mutation) -> str:
    """Return what came of one mutation."""
    with tempfile.TemporaryDirectory() as name:
        copy = pathlib.Path(name)
        for part in _COPIED:
            source = ROOT / part
            if source.is_dir():
                shutil.copytree(source, copy / part)
            else:
                shutil.copy(source, copy / part)
        path = copy / mutation.file
        text = path.read_text()
        if text.count(mutation.line) != 1:
            return f'STALE ({text.count(mutation.line)} such lines)'
        path.write_text(text.replace(mutation.line, mutation.instead))
        return _proof(mutation, copy)


def _proof(mutation: Mutation, copy: pathlib.Path) -> str:
    test, _, rest = mutation.proof.partition(' ')
    command = [
        sys.executable,
        '-m',
        'pytest',
        '-x',
        f'galenahatch/test/{test}',
        *rest.split(),
    ]
    done = subprocess.run(command, cwd=copy, capture_output=True, check=False)
    if done.returncode == 1:
        return 'fails without it'
    if done.returncode == 0:
        return 'STILL PASSES'
    return f'NOT RUN (exit code {done.returncode})'


def main(words: list[str]) -> int:
    """Run all rows, or those whose promise holds one of some words."""
    chosen = [
        row
        for row in rows()
        if not words or any(word in row.promise for word in words)
    ]
    wrong = 0
    with concurrent.futures.ThreadPoolExecutor(_AT_ONCE) as pool:
        for row, result in zip(chosen, pool.map(run, chosen), strict=True):
            wrong += result != 'fails without it'
            print(f'{row.promise:28} {row.proof:48} {result}', flush=True)
    print(f'{len(chosen) - wrong} of {len(chosen)} proofs have teeth')
    return int(bool(wrong))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
