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

"""Putting one answer together from the events of its attempts.

Every event names its stream and its offset. Events of another stream or
an older attempt are dropped, an offset that was passed on already is a
duplicate, an offset beyond the next one is a gap and asks for a resume.
Only an end marker at the right offset makes the answer whole.
"""

import enum
import typing

from galenahatch import ids

MAX_FOREIGN_EVENTS: typing.Final = 1000


class Verdict(enum.Enum):
    """What to do with an event."""

    TOKEN = 'token'
    END = 'end'
    DUPLICATE = 'duplicate'
    FOREIGN = 'foreign'
    GAP = 'gap'
    BROKEN = 'broken'


class AnswerAssembler:
    """The answer so far.

    Attributes:
        text: every token passed on.
        offset: number of the next token.
        finish: why generation ended, or empty while it runs.
    """

    def __init__(self) -> None:
        self.parts: list[str] = []
        self.finish_reason = ''
        self._stream: ids.StreamId | None = None
        self._foreign = 0

    @property
    def offset(self) -> int:
        """Number of the next token."""
        return len(self.parts)

    @property
    def text(self) -> str:
        """Every token so far."""
        return ''.join(self.parts)

    def expect_stream(self, stream: ids.StreamId) -> None:
        """Take events of this stream only from now on."""
        self._stream = stream

    def add_token(self, stream: str, offset: int, text: str) -> Verdict:
        """Take a token event."""
        verdict = self._place(stream, offset)
        if verdict is Verdict.TOKEN:
            self.parts.append(text)
        return verdict

    def add_end(self, stream: str, offset: int, finish: str) -> Verdict:
        """Take an end marker; the offset is the number of tokens."""
        verdict = self._place(stream, offset)
        if verdict is Verdict.DUPLICATE:
            return Verdict.BROKEN
        if verdict is not Verdict.TOKEN:
            return verdict
        self.finish_reason = finish
        return Verdict.END

    def _place(self, stream: str, offset: int) -> Verdict:
        if stream != self._stream:
            self._foreign += 1
            if self._foreign > MAX_FOREIGN_EVENTS:
                return Verdict.BROKEN
            return Verdict.FOREIGN
        if self.finish_reason or offset < 0:
            return Verdict.BROKEN
        if offset < self.offset:
            return Verdict.DUPLICATE
        if offset > self.offset:
            return Verdict.GAP
        return Verdict.TOKEN
