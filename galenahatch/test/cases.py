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

"""Cases of tests, as text.

A file of `test-data` has an introduction, and for each case a line `== TITLE`,
what is given, and after `-- ` what is expected.
"""

import pathlib
import typing

import pytest

FOLDER: typing.Final = pathlib.Path(__file__).parents[2] / 'test-data'


def read(name: str) -> list[typing.Any]:
    """Return what is given and expected of each case, as parameters."""
    found = []
    for block in (FOLDER / name).read_text().split('\n== ')[1:]:
        title, _, rest = block.partition('\n')
        given, _, expected = rest.partition('\n-- ')
        found.append(pytest.param(given, expected.strip(), id=title))
    return found
