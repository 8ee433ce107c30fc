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

"""The rows of the fault matrix that CI runs; `make faults` runs all."""

import collections.abc

import pytest

from galenahatch.test import deployment
from galenahatch.test import faults
from galenahatch.test import matrix


@pytest.fixture(scope='module')
def running() -> collections.abc.Iterator[deployment.Deployment]:
    """Three VMs before two engines of each role."""
    with faults.start() as started:
        yield started


@pytest.mark.parametrize(
    'row', [r for r in matrix.rows() if r.ci], ids=lambda row: str(row.name)
)
def test_fault(running: deployment.Deployment, row: matrix.Row) -> None:
    """A row holds all that the matrix says."""
    faults.run_row(running, row)


def test_every_row_is_known() -> None:
    """Each row names a fault and a step that there is, once."""
    found = [row.name for row in matrix.rows()]
    assert len(found) == len(set(found))
    for row in matrix.rows():
        assert row.kind in ('repeat', 'once')
        assert faults.knows(row)
