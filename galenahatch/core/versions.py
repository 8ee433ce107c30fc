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

"""Versions of the store, across restores.

The store counts its transactions, and may come back from an older copy: then
its counter goes back, and numbers are given out again. Its era rises with
each such restore, so the pair of era and number only ever rises.
"""

import typing


class Version(typing.NamedTuple):
    """A version of the store.

    Attributes:
        era: how often the store was restored; 0 if it does not tell.
        number: of its counter in that era.
    """

    era: int
    number: int


OLDEST: typing.Final = Version(0, -1)
"""Older than all versions."""


def is_restore(before: Version, after: Version) -> bool:
    """Return whether the store was restored between two versions.

    Args:
        before: known until now; `NEVER` if nothing was known.
        after: of the news.
    """
    return before != OLDEST and before.era < after.era
