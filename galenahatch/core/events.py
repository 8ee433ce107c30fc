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

"""Splits a byte stream of server-sent events into complete events.

An engine may stop in the middle of an event, so nothing is passed on until its
event is complete. The id of the last complete event is kept, so that the
stream can be resumed after it.
"""

import re
import typing

_EVENT_END: typing.Final = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_EVENT_ID: typing.Final = re.compile(rb'(?:^|[\r\n])id: ?([^\r\n]*)')
MAX_EVENT_BYTES: typing.Final = 1024 * 1024
"""Longest event; what is longer is no event of an engine."""


class EventSplitter:
    """Parser for the events of one stream.

    Attributes:
        last_id: Id of the last complete event; empty before the first.
        count: Number of complete events so far.
    """

    def __init__(self) -> None:
        self.last_id = ''
        self.count = 0
        self._buffer = b''

    @property
    def partial(self) -> bytes:
        """Bytes of the incomplete event at the end."""
        return self._buffer

    @property
    def is_too_long(self) -> bool:
        """Whether the incomplete event is longer than any event."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return those that complete events."""
        data = self._buffer + data
        end = 0
        for match in _EVENT_END.finditer(data):
            block = data[end : match.end()]
            end = match.end()
            self.count += 1
            id_field = _EVENT_ID.search(block)
            if id_field is not None:
                self.last_id = id_field.group(1).decode('latin-1')
        self._buffer = data[end:]
        return data[:end]

    def drop_partial(self) -> None:
        """Drop the incomplete event: another engine continues the stream."""
        self._buffer = b''
