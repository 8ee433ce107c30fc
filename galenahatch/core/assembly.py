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

"""Assembly of one answer from the stream events of its attempts.

Every event carries its stream and offset. Events of other streams or earlier
attempts are dropped. An offset that was already forwarded is a duplicate; an
offset past the next one is a gap, after which the stream must be resumed.
Only an end marker at the expected offset completes the answer.
"""

import enum
import typing

from galenahatch import ids

MAX_FOREIGN_EVENTS: typing.Final = 1000


class Verdict(enum.Enum):
    """Classification of an event."""

    TOKEN = 'token'
    END = 'end'
    DUPLICATE = 'duplicate'
    FOREIGN = 'foreign'
    GAP = 'gap'
    BROKEN = 'broken'


class AnswerAssembler:
    """Partial answer assembled from events.

    Attributes:
        tokens: Tokens forwarded so far.
        finish_reason: Why generation ended; empty while it runs.
    """

    def __init__(self) -> None:
        self.tokens: list[str] = []
        self.finish_reason = ''
        self._stream: ids.StreamId | None = None
        self._foreign_events = 0

    @property
    def offset(self) -> int:
        """Index of the next token."""
        return len(self.tokens)

    @property
    def text(self) -> str:
        """Concatenated tokens so far."""
        return ''.join(self.tokens)

    def expect_stream(self, stream: ids.StreamId) -> None:
        """Accept only events of this stream from now on."""
        self._stream = stream

    def add_token(self, stream: str, offset: int, text: str) -> Verdict:
        """Classify a token event and append the token if it is next."""
        verdict = self._classify(stream, offset)
        if verdict is Verdict.TOKEN:
            self.tokens.append(text)
        return verdict

    def add_end(self, stream: str, offset: int, finish_reason: str) -> Verdict:
        """Process an end marker, whose offset is the number of tokens."""
        verdict = self._classify(stream, offset)
        if verdict is Verdict.DUPLICATE:
            return Verdict.BROKEN
        if verdict is not Verdict.TOKEN:
            return verdict
        self.finish_reason = finish_reason
        return Verdict.END

    def _classify(self, stream: str, offset: int) -> Verdict:
        if stream != self._stream:
            self._foreign_events += 1
            if self._foreign_events > MAX_FOREIGN_EVENTS:
                return Verdict.BROKEN
            return Verdict.FOREIGN
        if self.finish_reason or offset < 0:
            return Verdict.BROKEN
        if offset < self.offset:
            return Verdict.DUPLICATE
        if offset > self.offset:
            return Verdict.GAP
        return Verdict.TOKEN
