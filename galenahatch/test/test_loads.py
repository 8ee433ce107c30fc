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

"""Load reports of upstreams: their age, their slowdown, and what is told."""

import pytest

from galenahatch.core import loadreports
from galenahatch import ids
from galenahatch.test import cases

_A, _B = ids.UpstreamId('a'), ids.UpstreamId('b')


def _report(
    slowdown: float | None, waiting: int = 0
) -> loadreports.LoadReport:
    return loadreports.LoadReport(1, waiting, 6, slowdown)


@pytest.mark.parametrize(('steps', 'expected'), cases.read('slowdowns.txt'))
def test_slowdowns(steps: str, expected: str) -> None:
    """A slowdown fades with the age of its report; the latest one counts."""
    loads = loadreports.Loads()
    for step in steps.splitlines():
        verb, at, slowdown = step.split()
        report = _report(None if slowdown == 'none' else float(slowdown))
        if verb == 'record':
            loads.record(_A, report, float(at))
        else:
            loads.merge(_A, report, float(at))
    for line in expected.splitlines():
        at, slowdown, known = line.split()
        assert loads.slowdown(_A, float(at)) == pytest.approx(float(slowdown))
        assert (loads.latest(_A, float(at)) is not None) == (known == 'known')


def test_changed_reports_are_taken_once() -> None:
    """Others are told what they don't assume already, the latest first."""
    loads = loadreports.Loads()
    loads.record(_A, _report(1.0), 0.0)
    loads.record(_B, _report(2.5), 0.1)
    loads.merge(ids.UpstreamId('c'), _report(2.5), 0.1)
    taken = loads.take_changed(8, 0.2)
    assert [name for name, _, _ in taken] == [_B, _A]
    assert [age for _, _, age in taken] == pytest.approx([0.1, 0.2])
    assert loads.take_changed(8, 0.2) == []
    loads.record(_A, _report(1.05), 0.3)
    loads.record(_B, _report(2.5), 0.3)
    taken = loads.take_changed(8, 0.3)
    assert [name for name, _, _ in taken] == [_B], 'it has faded meanwhile'
    loads.record(_A, _report(1.0), 11.0)
    assert loads.take_changed(8, 11.0), 'a new owner knows nothing'


def test_changed_reports_are_bounded() -> None:
    """A message has a bounded number of reports, none of them expired."""
    loads = loadreports.Loads()
    for number in range(1500):
        loads.record(ids.UpstreamId(f'{number}'), _report(2.5), 0.0)
    assert len(loads.take_changed(16, 0.1)) == 16
    loads.record(_A, _report(2.5), 0.2)
    assert loads.take_changed(16, 0.21 + loadreports.SLOWDOWN_LIFE_S) == []


def test_services_without_a_slowdown_travel_not() -> None:
    """Counts alone are neither told nor do they change the balancing."""
    loads = loadreports.Loads()
    loads.record(_A, _report(None, 3), 0.0)
    assert not loads.reports_slowdown((_A, _B))
    assert loads.take_changed(16, 0.0) == []
    loads.record(_B, _report(1.0), 0.0)
    assert loads.reports_slowdown((_A, _B))
    loads.prune((_A,))
    assert not loads.reports_slowdown((_A, _B))
