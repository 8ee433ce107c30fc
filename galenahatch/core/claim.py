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

"""Claims of non-idempotent requests: at most one run for a key.

A claim is a record in the table, inserted only if the key is absent, that
bears a fresh token. Only the entry that made the token may dispatch the
request, and only after the table confirmed the token. An insert whose
answer was lost is recognised by reading the token back. A claim that
could not be confirmed is abandoned for good: its holder never dispatches
it, and removes it when the table can be reached. No lease is involved, so
no pause of a process can make two runs out of one.
"""

import collections
import enum
import hashlib
import typing

import msgspec

from galenahatch import errors
from galenahatch import ids
from galenahatch import messages
from galenahatch import states

MAX_INLINE_ANSWER_BYTES: typing.Final = 8192
"""Answers up to this size stand in the record itself."""


MAX_ABANDONED_TOKENS: typing.Final = 100_000


class Phase(enum.Enum):
    """State of a claim in the table."""

    CLAIMED = 'claimed'
    DONE = 'done'


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """A finished answer as it was given to the caller.

    Attributes:
        status: HTTP status.
        outcome: value of errors.Outcome.
        content_type: of the body.
        body: whole body, never a stream.
    """

    status: int
    outcome: str
    content_type: str
    body: bytes


class Record(msgspec.Struct, frozen=True, array_like=True):
    """What the table holds for a key.

    Attributes:
        token: of the claim that holds the key.
        fingerprint: digest of the request's body.
        holder: entry that runs it.
        incarnation: of the holder.
        phase: claimed or done.
        answer: the answer, if it is small.
        object_key: where a larger answer stands in the object store.
    """

    token: ids.ClaimToken
    fingerprint: str
    holder: ids.MemberId
    incarnation: int
    phase: Phase = Phase.CLAIMED
    answer: Answer | None = None
    object_key: str = ''


class Arrival(enum.Enum):
    """What a request with a claimed key is to be told or to do."""

    RUN = 'run'
    REPLAY = 'replay'
    ASK_HOLDER = 'ask_holder'
    REUSED = 'reused'


_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODER: typing.Final = msgspec.msgpack.Decoder(Record)


def claim_key(caller: ids.CallerName, idempotency_key: str) -> ids.ClaimKey:
    """Return the key of a claim; callers never share one."""
    text = f'{caller}\x00{idempotency_key}'
    return ids.ClaimKey(hashlib.sha256(text.encode()).hexdigest()[:32])


def request_fingerprint(path: str, body: bytes) -> str:
    """Return the digest that tells a reused key from a repeated one."""
    digest = hashlib.sha256(path.encode() + b'\x00' + body)
    return digest.hexdigest()[:32]


def encode(record: Record) -> bytes:
    """Return the bytes of a record."""
    return _ENCODER.encode(record)


def decode(data: bytes) -> Record | errors.Failure:
    """Return the record of some bytes, or why there is none."""
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError as error:
        return errors.Failure(errors.BAD_FRAME, str(error))


def classify_arrival(
    record: Record, token: ids.ClaimToken, fingerprint: str
) -> Arrival:
    """Return what an arrival with this token may do.

    Args:
        record: read from the table after the arrival's own insert.
        token: the arrival's own.
        fingerprint: of the arrival's body.
    """
    if record.token == token:
        return Arrival.RUN
    if record.fingerprint != fingerprint:
        return Arrival.REUSED
    if record.phase is Phase.DONE:
        return Arrival.REPLAY
    return Arrival.ASK_HOLDER


def finished_record(record: Record, answer: Answer, object_key: str) -> Record:
    """Return the done record of a claim.

    Args:
        record: of the claim.
        answer: the whole answer.
        object_key: where it stands in the object store, or empty to keep
            it in the record.
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
    """What the holder knows of one of its own tokens."""

    PENDING = 'pending'
    RUNNING = 'running'
    ABANDONED = 'abandoned'
    FINISHED = 'finished'


class ClaimTokens:
    """Every token that one entry made, until its fate is in the table.

    A token moves from pending to running or abandoned and never back:
    `dispatch` returns False unless the token is pending, which is the one
    check that stands before any work is sent. Abandoned tokens are
    remembered for long, since a write that was believed lost may still
    take effect; the oldest are forgotten first.
    """

    def __init__(self) -> None:
        self._holds: dict[ids.ClaimToken, Hold] = {}
        self._abandoned: collections.deque[ids.ClaimToken] = (
            collections.deque()
        )
        self._answers: dict[ids.ClaimToken, Answer] = {}

    def add_pending(self, token: ids.ClaimToken) -> None:
        """Note a fresh token, before its claim is sent."""
        self._holds[token] = Hold.PENDING

    def try_dispatch(self, token: ids.ClaimToken) -> bool:
        """Move a confirmed token to running; False if it may not run."""
        if self._holds.get(token) is not Hold.PENDING:
            return False
        self._holds[token] = Hold.RUNNING
        return True

    def abandon(self, token: ids.ClaimToken) -> bool:
        """Give a token up for good; False if it was dispatched."""
        hold = self._holds.get(token)
        if hold in (Hold.RUNNING, Hold.FINISHED):
            return False
        self._remember_abandoned(token)
        return True

    def abandon_dispatched(self, token: ids.ClaimToken) -> None:
        """Give a token up though it was dispatched: nothing started."""
        self._remember_abandoned(token)

    def finish(self, token: ids.ClaimToken, answer: Answer) -> None:
        """Keep the answer of a token until the table has it."""
        self._holds[token] = Hold.FINISHED
        self._answers[token] = answer

    def forget(self, token: ids.ClaimToken) -> None:
        """Forget a token whose fate is in the table."""
        self._holds.pop(token, None)
        self._answers.pop(token, None)

    def state(self, token: ids.ClaimToken) -> Hold | None:
        """Return what is known of a token; None when nothing."""
        return self._holds.get(token)

    def answer(self, token: ids.ClaimToken) -> Answer | None:
        """Return the answer of a finished, unsettled token."""
        return self._answers.get(token)

    def _remember_abandoned(self, token: ids.ClaimToken) -> None:
        self._holds[token] = Hold.ABANDONED
        self._abandoned.append(token)
        if len(self._abandoned) > MAX_ABANDONED_TOKENS:
            self._holds.pop(self._abandoned.popleft(), None)

    def count_unsettled(self) -> int:
        """Return how many tokens are pending, running or unsettled."""
        return sum(hold is not Hold.ABANDONED for hold in self._holds.values())


def claim_reply(
    request: messages.ClaimRequest, stored: bytes | None
) -> messages.ClaimReply:
    """Return the reply to a claim from what the table now holds.

    Args:
        request: the claim.
        stored: the key's record, or None when the table has none.
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
