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

"""A short soak by fixed seeds, and every seed that ever failed."""

import pathlib
import typing

import pytest

from galenahatch.test import soak

_FILE: typing.Final = pathlib.Path(__file__).parents[2] / 'test-data'
_SECONDS: typing.Final = 6.0


def _seeds() -> list[int]:
    """Return the seeds of the file; a line is a seed and its cause."""
    lines = (_FILE / 'soak.txt').read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line[:1].isdigit()]


@pytest.mark.parametrize('seed', _seeds())
def test_seed(seed: int) -> None:
    """No promise is broken while faults overlap."""
    assert not soak.play(seed, _SECONDS)
