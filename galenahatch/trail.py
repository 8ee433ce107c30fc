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

"""Bounded store of scheduling decisions for `galenahatchctl explain`."""

import collections
import typing

from galenahatch import ids

_MAX_REQUESTS: typing.Final = 5000
_MAX_LINES_PER_REQUEST: typing.Final = 50


class DecisionTrail:
    """Decision lines of the most recent requests."""

    def __init__(self) -> None:
        self._lines: collections.OrderedDict[ids.RequestId, list[str]] = (
            collections.OrderedDict()
        )

    def add(self, request: ids.RequestId, line: str) -> None:
        """Add a line; lines above the limit of a request are dropped."""
        lines = self._lines.setdefault(request, [])
        if len(lines) < _MAX_LINES_PER_REQUEST:
            lines.append(line)
        while len(self._lines) > _MAX_REQUESTS:
            self._lines.popitem(last=False)

    def lines_of(self, request: ids.RequestId) -> tuple[str, ...]:
        """Return the lines of a request, oldest first."""
        return tuple(self._lines.get(request, ()))
