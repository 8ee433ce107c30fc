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

"""Splits a stream of server-sent events into whole events.

An engine may stop in the middle of an event, so nothing is passed on before
its event is complete. The id of the last whole event is kept: a stream can
be resumed after it.
"""

import re
import typing

_END: typing.Final = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID: typing.Final = re.compile(rb'(?:^|[\r\n])id: ?([^\r\n]*)')


class EventSplitter:
    """Whole events of one stream.

    Attributes:
        last_id: id of the last whole event; empty before the first.
        count: whole events so far.
    """

    def __init__(self) -> None:
        self.last_id = ''
        self.count = 0
        self._rest = b''

    @property
    def partial(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Take bytes; return those of whole events."""
        data = self._rest + data
        end = 0
        for match in _END.finditer(data):
            block = data[end : match.end()]
            end = match.end()
            self.count += 1
            found = _ID.search(block)
            if found is not None:
                self.last_id = found.group(1).decode('latin-1')
        self._rest = data[end:]
        return data[:end]

    def drop_partial(self) -> None:
        """Drop what is not whole: another engine goes on."""
        self._rest = b''
