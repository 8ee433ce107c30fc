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

"""Tracks the era of the platform's store, which each response names.

The era increases by one each time the store is restored from a backup.
"""

import collections.abc
import re
import typing

from galenahatch import logs

HEADER: typing.Final = 'Store-Era'
_ERA_FORMAT: typing.Final = re.compile('[0-9]{1,9}', re.ASCII)
"""Larger numbers are malformed: accepting one would make all later responses
look stale."""
_log = logs.Log('store')

EraCallback = collections.abc.Callable[[int | None, int], None]


def parse_era(values: collections.abc.Sequence[str]) -> int | None:
    """Return the era in the header's values, None unless exactly one."""
    distinct = {value.strip() for value in values}
    if len(distinct) != 1:
        return None
    text = distinct.pop()
    return int(text) if _ERA_FORMAT.fullmatch(text) else None


class EraTracker:
    """Tracks the newest era that the store's responses name.

    Attributes:
        on_change: callback that gets the previous era, or None if there was
            none, and the new era.
    """

    def __init__(self) -> None:
        self._newest: int | None = None
        self._last_invalid: tuple[str, ...] = ()
        self.on_change: EraCallback = lambda before, after: None

    @property
    def newest(self) -> int:
        """The newest era; 0 until a response names one."""
        return self._newest or 0

    def observe(self, values: collections.abc.Sequence[str]) -> int:
        """Record the era header of a response and return the response's era.

        A response without a valid era counts as one of the newest era.
        """
        observed = parse_era(values)
        if observed is None:
            self._handle_invalid(tuple(values))
            return self.newest
        if self._newest is None or observed > self._newest:
            self._set_newest(self._newest, observed)
        return observed

    def _set_newest(self, before: int | None, after: int) -> None:
        self._newest = after
        if before is None:
            _log.info('Store era observed.', era=after)
        else:
            _log.warning('Store restored.', before=before, era=after)
        self.on_change(before, after)

    def _handle_invalid(self, values: tuple[str, ...]) -> None:
        """Handle an invalid era header; log it once while it repeats.

        A store that has not named an era is in era 0: if it names one later,
        it may have been restored in between.
        """
        if not values and not self._newest:
            self._newest = 0
        elif values != self._last_invalid:
            _log.error(
                'Ignored a malformed store era.', values=repr(values)[:80]
            )
        self._last_invalid = values
