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
_MAX_END_BYTES: typing.Final = 4
_EVENT_DATA: typing.Final = b'data'
MAX_EVENT_BYTES: typing.Final = 1024 * 1024
"""Longest event; what is longer is no event of an engine. Also the bytes of
comments between two events."""
_MAX_COMMENTS: typing.Final = 4096
"""Comments between two events: an engine may send one each second so that the
connection stays in use, and a stream takes some minutes."""


class EventSplitter:
    """Parser for the events of one stream.

    Attributes:
        last_id: Id of the last complete event; empty before the first.
        count: Number of complete events so far, comments included.
        message_count: The same without comments.
    """

    def __init__(self) -> None:
        self.last_id = ''
        self.count = 0
        self.message_count = 0
        self._buffer = bytearray()
        self._comments = 0
        self._comment_bytes = 0

    @property
    def partial(self) -> bytes:
        """Bytes of the incomplete event at the end."""
        return bytes(self._buffer)

    @property
    def is_partial(self) -> bool:
        """Whether an incomplete event is at the end."""
        return bool(self._buffer)

    @property
    def is_too_long(self) -> bool:
        """Whether more than any engine sends has come without an event."""
        return (
            len(self._buffer) > MAX_EVENT_BYTES
            or self._comment_bytes > MAX_EVENT_BYTES
            or self._comments > _MAX_COMMENTS
        )

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return those that complete events.

        The incomplete event isn't searched again, however many pieces it
        comes in.
        """
        searched = max(0, len(self._buffer) - _MAX_END_BYTES + 1)
        if self._buffer:
            self._buffer += data
        else:
            self._buffer = bytearray(data)
        end = 0
        for match in _EVENT_END.finditer(self._buffer, searched):
            self._take(self._buffer[end : match.end()])
            end = match.end()
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        return complete

    def _take(self, block: bytearray) -> None:
        """Count a complete event, or what has its form."""
        self.count += 1
        id_field = _EVENT_ID.search(block)
        if id_field is not None:
            self.last_id = id_field.group(1).decode('latin-1')
        elif _EVENT_DATA not in block:
            self._comments += 1
            self._comment_bytes += len(block)
            return
        self.message_count += 1
        self._comments = self._comment_bytes = 0

    def drop_partial(self) -> None:
        """Drop the incomplete event: another engine continues the stream."""
        self._buffer = bytearray()
        self._comments = self._comment_bytes = 0
