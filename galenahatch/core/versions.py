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

"""Versions of the store that increase monotonically across restores.

The store numbers its transactions. Restoring a backup moves the counter back,
so that numbers are reused. Each restore increments the era, so the pair of era
and number only increases.
"""

import typing


class Version(typing.NamedTuple):
    """Version of the store.

    Attributes:
        era: Number of restores; 0 if the store does not report it.
        number: Transaction counter within the era.
    """

    era: int
    number: int


OLDEST: typing.Final = Version(0, -1)
"""Sentinel older than all versions."""


def is_restore(before: Version, after: Version) -> bool:
    """Return whether the store was restored between two versions.

    Args:
        before: Last known version; `OLDEST` if none.
        after: Version of an update.
    """
    return before != OLDEST and before.era < after.era
