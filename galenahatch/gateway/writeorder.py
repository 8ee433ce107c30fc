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

"""Order in which rows of the store are written: none holds up the others."""

import collections.abc
import typing

_MAX_ROWS: typing.Final = 50
"""Rows of a transaction: the store takes 100 entries, and each row is one of
its conditions as well."""
_MAX_BYTES: typing.Final = 500_000
"""Bytes of the rows of a transaction; the store takes 1 MB in base64."""
_MAX_SINGLE_WRITES: typing.Final = 16
"""Rows that are written on their own at a time."""

K = typing.TypeVar('K', bound=str)


class WriteOrder(typing.Generic[K]):
    """Which rows are written in one transaction.

    A transaction that fails may do so for one of its rows. Then each is
    written on its own, those that have failed last, until it succeeds or needs
    no write any more.
    """

    def __init__(self) -> None:
        # Keys of the rows that are written on their own, in order.
        self._single: dict[K, None] = {}

    def groups(self, sizes: collections.abc.Mapping[K, int]) -> list[list[K]]:
        """Return the rows of each transaction.

        Args:
            sizes: Bytes of each row to write.
        """
        self._single = {n: None for n in self._single if n in sizes}
        groups: list[list[K]] = []
        total = _MAX_BYTES
        for name in (n for n in sizes if n not in self._single):
            total += sizes[name]
            if total > _MAX_BYTES or len(groups[-1]) == _MAX_ROWS:
                groups.append([])
                total = sizes[name]
            groups[-1].append(name)
        single = list(self._single)[:_MAX_SINGLE_WRITES]
        return groups + [[name] for name in single]

    def record_success(self, group: collections.abc.Iterable[K]) -> None:
        """Record that a transaction succeeded."""
        for name in group:
            self._single.pop(name, None)

    def record_failure(self, group: collections.abc.Iterable[K]) -> None:
        """Record that a transaction failed, whatever it failed at."""
        self.record_success(group)
        self._single |= dict.fromkeys(group)
