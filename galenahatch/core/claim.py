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

"""Claims of non-idempotent requests: at most one run per idempotency key.

A claim is a record with a unique token that is inserted into the table only
if the key is absent. Only the entry that created the token may dispatch the
request, and only after the table confirmed the token. If the response to an
insert is lost, reading the token back shows whether it took effect. A claim
that can't be confirmed is abandoned permanently: its holder never dispatches
it and removes it once the table is reachable. Claims do not rely on leases,
so a paused process can't cause a second run.
"""

import collections
import enum
import hashlib
import typing

import msgspec

from galenahatch import bounds
from galenahatch import decoding
from galenahatch import errors
from galenahatch import ids
from galenahatch import messages
from galenahatch import states

MAX_INLINE_ANSWER_BYTES: typing.Final = 8192
"""Maximum size of an answer stored in the record itself."""


MAX_ABANDONED_TOKENS: typing.Final = 100_000


class Phase(enum.Enum):
    """State of a stored claim."""

    CLAIMED = 'claimed'
    DONE = 'done'


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """Complete answer as sent to the caller.

    Attributes:
        status: HTTP status.
        outcome: Value of `errors.Outcome`.
        content_type: Content type of the body.
        body: Complete body, never a stream.
    """

    status: typing.Annotated[int, msgspec.Meta(ge=100, le=599)]
    outcome: bounds.Text
    content_type: bounds.Line
    body: bytes


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Record of an idempotency key in the table.

    Attributes:
        token: Token of the claim that holds the key.
        fingerprint: Digest of the request's path and body.
        holder: Entry that runs the request.
        incarnation: Incarnation of the holder.
        phase: Whether the request is claimed or done.
        answer: Answer, if it is small enough to be stored inline.
        object_key: Key of a larger answer in the object store.
    """

    token: ids.ClaimToken
    fingerprint: str
    holder: ids.MemberId
    incarnation: int
    phase: Phase = Phase.CLAIMED
    answer: Answer | None = None
    object_key: str = ''


class Arrival(enum.Enum):
    """How to handle a request whose key is claimed."""

    RUN = 'run'
    REPLAY = 'replay'
    ASK_HOLDER = 'ask_holder'
    REUSED = 'reused'


_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODER: typing.Final = msgspec.msgpack.Decoder(Record)


def claim_key(caller: ids.CallerName, idempotency_key: str) -> ids.ClaimKey:
    """Return the key of a claim, which is unique to the caller."""
    text = f'{caller}\x00{idempotency_key}'
    return ids.ClaimKey(hashlib.sha256(text.encode()).hexdigest()[:32])


def request_fingerprint(path: str, body: bytes) -> str:
    """Return the digest that tells a reused key from a repeated request."""
    digest = hashlib.sha256(path.encode() + b'\x00' + body)
    return digest.hexdigest()[:32]


def encode(record: Record) -> bytes:
    """Encode a record."""
    return _ENCODER.encode(record)


def decode(data: bytes) -> Record | errors.Failure:
    """Decode a record, or return why it is invalid."""
    return decoding.decode(_DECODER, data, errors.BAD_FRAME)


def classify_arrival(
    record: Record, token: ids.ClaimToken, fingerprint: str
) -> Arrival:
    """Return how to handle a request that tried to claim a key.

    Args:
        record: Record read from the table after the request's own insert.
        token: Token of the request.
        fingerprint: Digest of the request's path and body.
    """
    if record.token == token:
        return Arrival.RUN
    if record.fingerprint != fingerprint:
        return Arrival.REUSED
    if record.phase is Phase.DONE:
        return Arrival.REPLAY
    return Arrival.ASK_HOLDER


def finished_record(record: Record, answer: Answer, object_key: str) -> Record:
    """Return the record of a finished claim.

    Args:
        record: Record of the claim.
        answer: Complete answer.
        object_key: Key of the answer in the object store; empty to store it
            in the record.
    """
    return Record(
        token=record.token,
        fingerprint=record.fingerprint,
        holder=record.holder,
        incarnation=record.incarnation,
        phase=Phase.DONE,
        answer=None if object_key else answer,
        object_key=object_key,
    )


class Hold(enum.Enum):
    """State of a token at its holder."""

    PENDING = 'pending'
    RUNNING = 'running'
    ABANDONED = 'abandoned'
    FINISHED = 'finished'


class ClaimTokens:
    """Tokens that one entry created and whose results are not yet stored.

    A token moves from pending to running or abandoned and never back.
    `try_dispatch` returns False unless the token is pending; this is the only
    check before work is sent. Abandoned tokens are retained for a long time,
    since a write that seemed lost may still take effect; the oldest are
    dropped first.
    """

    def __init__(self) -> None:
        self._states: dict[ids.ClaimToken, Hold] = {}
        self._abandoned: collections.deque[ids.ClaimToken] = (
            collections.deque()
        )
        self._answers: dict[ids.ClaimToken, Answer] = {}

    def add_pending(self, token: ids.ClaimToken) -> None:
        """Add a new token before its claim is sent."""
        self._states[token] = Hold.PENDING

    def try_dispatch(self, token: ids.ClaimToken) -> bool:
        """Mark a confirmed token as running; return False if it may not."""
        if self._states.get(token) is not Hold.PENDING:
            return False
        self._states[token] = Hold.RUNNING
        return True

    def abandon(self, token: ids.ClaimToken) -> bool:
        """Abandon a token; return False if it was already dispatched."""
        state = self._states.get(token)
        if state in (Hold.RUNNING, Hold.FINISHED):
            return False
        self._remember_abandoned(token)
        return True

    def abandon_dispatched(self, token: ids.ClaimToken) -> None:
        """Abandon a dispatched token whose request never started."""
        self._remember_abandoned(token)

    def finish(self, token: ids.ClaimToken, answer: Answer) -> None:
        """Retain the answer of a token until the table stores it."""
        self._states[token] = Hold.FINISHED
        self._answers[token] = answer

    def forget(self, token: ids.ClaimToken) -> None:
        """Remove a token whose result is stored in the table."""
        self._states.pop(token, None)
        self._answers.pop(token, None)

    def state(self, token: ids.ClaimToken) -> Hold | None:
        """Return the state of a token, or None if it is unknown."""
        return self._states.get(token)

    def answer(self, token: ids.ClaimToken) -> Answer | None:
        """Return the answer of a finished token that is not yet stored."""
        return self._answers.get(token)

    def _remember_abandoned(self, token: ids.ClaimToken) -> None:
        self._states[token] = Hold.ABANDONED
        self._abandoned.append(token)
        if len(self._abandoned) > MAX_ABANDONED_TOKENS:
            self._states.pop(self._abandoned.popleft(), None)

    def count_unsettled(self) -> int:
        """Return the number of pending, running and unstored tokens."""
        return sum(
            state is not Hold.ABANDONED for state in self._states.values()
        )


def claim_reply(
    request: messages.ClaimRequest, stored: bytes | None
) -> messages.ClaimReply:
    """Return the reply to a claim, given the record in the table.

    Args:
        request: Claim.
        stored: Encoded record of the key, or None if there is none.
    """
    status = states.ClaimStatus.ABSENT
    other = b''
    if stored is not None:
        record = decode(stored)
        if isinstance(record, errors.Failure):
            status = states.ClaimStatus.UNREAD
        elif record.token == request.token:
            status = states.ClaimStatus.MINE
        else:
            status = states.ClaimStatus.OTHERS
            other = stored
    return messages.ClaimReply(request.key, request.token, status, other)
