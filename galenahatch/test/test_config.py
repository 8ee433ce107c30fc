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

"""Checks of configurations, as cases in test-data/config.txt."""

import dataclasses
import pathlib

import pytest

from galenahatch import config
from galenahatch import options
from galenahatch import schema

_CASES = (
    pathlib.Path(__file__).resolve().parents[2] / 'test-data' / 'config.txt'
)


@dataclasses.dataclass(frozen=True)
class Case:
    """One case."""

    name: str
    base: str
    overlay: str
    expected: list[str]


def cases() -> list[Case]:
    """Return the cases of the file."""
    found = []
    for part in _CASES.read_text().split('\n=== ')[1:]:
        name, _, rest = part.partition('\n')
        base, _, rest = rest.partition('--- overlay\n')
        overlay, _, expected = rest.partition('--- expected\n')
        lines = [line for line in expected.splitlines() if line]
        found.append(Case(name, base, overlay, lines))
    return found


@pytest.mark.parametrize('case', cases(), ids=lambda case: str(case.name))
def test_check(case: Case) -> None:
    """A check gives exactly the problems expected, all at once."""
    bundle = schema.Bundle(case.base, {'bergamo': case.overlay})
    checked = config.check(bundle)
    seen = [f'{p.file} {p.key}: {p.expected}' for p in checked.problems]
    assert seen == case.expected


@pytest.mark.parametrize('case', cases(), ids=lambda case: str(case.name))
def test_load(case: Case) -> None:
    """What checks well loads to the same."""
    bundle = schema.Bundle(case.base, {'bergamo': case.overlay})
    checked = config.check(bundle)
    if not checked.problems:
        assert config.load(bundle) == checked.sites


def test_every_wrong_setting_is_reported() -> None:
    """Settings are checked all at once, and secrets are masked."""
    wrong = options.Options(
        address='host',
        entry_port=0,
        table_url='nowhere',
        heartbeat=-1.0,
        log_level='loud',
        peers=('x',),
        platform_token='secret-token',
    )
    details = [failure.detail for failure in options.find_problems(wrong)]
    assert len(details) == 6
    for flag in (
        '--address',
        '--entry-port',
        '--table-url',
        '--heartbeat',
        '--log-level',
        '--peers',
    ):
        assert any(detail.startswith(flag) for detail in details)
    shown = str(options.masked_settings(wrong))
    assert 'secret-token' not in shown
    assert options.find_problems(options.Options()) == []
