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

"""The era of the platform's store, which each of its answers names.

It rises by one whenever the store comes back from an older copy.
"""

import collections.abc
import re
import typing

from galenahatch import logs

HEADER: typing.Final = 'Store-Era'
_NUMBER: typing.Final = re.compile('[0-9]{1,9}', re.ASCII)
"""Larger numbers are no era: believed once, one would make all later answers
seem out of date."""
_log = logs.Log('store')

EraCallback = collections.abc.Callable[[int | None, int], None]


def parse_era(values: collections.abc.Sequence[str]) -> int | None:
    """Return the era that the values of the header name, if they name one."""
    distinct = {value.strip() for value in values}
    if len(distinct) != 1:
        return None
    text = distinct.pop()
    return int(text) if _NUMBER.fullmatch(text) else None


class EraTracker:
    """The newest era that was heard of.

    Attributes:
        on_change: called with the era before, if one was named, and the new
            one.
    """

    def __init__(self) -> None:
        self._newest: int | None = None
        self._unreadable: tuple[str, ...] = ()
        self.on_change: EraCallback = lambda before, after: None

    @property
    def newest(self) -> int:
        """The newest era; 0 as long as none was named."""
        return self._newest or 0

    def observe(self, values: collections.abc.Sequence[str]) -> int:
        """Take the header of an answer; return the era that it is of.

        An answer without a readable era is taken for one of the newest era.
        """
        told = parse_era(values)
        if told is None:
            self._note_unreadable(tuple(values))
            return self.newest
        if self._newest is None or told > self._newest:
            self._change(self._newest, told)
        return told

    def _change(self, before: int | None, after: int) -> None:
        self._newest = after
        if before is None:
            _log.info('Era of the store.', era=after)
        else:
            _log.warning('Store restored.', before=before, era=after)
        self.on_change(before, after)

    def _note_unreadable(self, values: tuple[str, ...]) -> None:
        """Log a header that names no era, once in a row.

        A store that never names one is in era 0: if it names one later, it
        may have been restored meanwhile.
        """
        if not values and not self._newest:
            self._newest = 0
        elif values != self._unreadable:
            _log.error('Bad era ignored.', values=repr(values)[:80])
        self._unreadable = values
