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

"""Messages between the project's own processes.

A frame is one version byte followed by a MessagePack array whose first
item is the tag of the message. `decode` never raises: a frame that is too
large, of an unknown version or malformed comes back as a `Failure`, which
the receiver counts, logs and drops. Field order is the wire order: new
fields go at the end with a default, so that neighbouring versions can talk
during a rolling replacement.
"""

import typing

import msgspec

from galenahatch import bus
from galenahatch import errors
from galenahatch import ids
from galenahatch import states

VERSION: typing.Final = 1


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of every message."""


class Heartbeat(Message, frozen=True, array_like=True, tag=True):
    """A daemon's sign of life; a scheduler answers with its own.

    Attributes:
        member: who is alive.
        incarnation: random number chosen at start.
        data_centre: where the VM of the daemon stands.
        standing: leaving once a planned stop began.
        revision: configuration in force on the daemon.
        ready: whether it takes traffic.
        load: requests in flight (entry) or waiting (scheduler).
        reason: why the daemon takes no traffic; empty when ready.
    """

    member: ids.MemberId
    incarnation: int
    data_centre: ids.DataCentre
    standing: states.Standing
    revision: ids.Revision
    ready: bool = True
    load: int = 0
    reason: str = ''


class PlaceRequest(Message, frozen=True, array_like=True, tag=True):
    """Ask a cell's owner for a pair of engines.

    Attributes:
        request: id of the request.
        stream: id of the attempt; the reservation bears it too.
        entry: who asks, for orphan detection.
        service: model service.
        site: whose overlay limits the engines.
        caller: for fair shares.
        urgency: class.
        prompt_tokens: estimated length of the prompt.
        output_tokens: most tokens that will be generated.
        first_token_timeout: seconds until the first token is too late.
        blocks: hashes of the prompt's prefix blocks, first to last.
        avoided_engines: engines that failed this request before.
        data_centre: of the entry.
        revision: configuration that the entry works with.
        ticket: from an earlier GivenUp, or empty.
    """

    request: ids.RequestId
    stream: ids.StreamId
    entry: ids.MemberId
    service: ids.ServiceName
    site: ids.SiteName
    caller: ids.CallerName
    urgency: states.Urgency
    prompt_tokens: int
    output_tokens: int
    first_token_timeout: float
    blocks: tuple[int, ...]
    avoided_engines: tuple[ids.EngineName, ...]
    data_centre: ids.DataCentre
    revision: ids.Revision = ids.Revision(0)
    ticket: str = ''


class Placed(Message, frozen=True, array_like=True, tag=True):
    """The pair of engines for an attempt.

    Attributes:
        explanation: scores of the chosen pair and of the rejected ones.
        transfer: seconds of the links reserved.
    """

    stream: ids.StreamId
    prefill: ids.EngineName
    decode: ids.EngineName
    explanation: str
    transfer: float = 0.0


class GivenUp(Message, frozen=True, array_like=True, tag=True):
    """The cell does not place an attempt.

    Attributes:
        reason: name in the registry of errors.
        retry_after: seconds after which there will be room.
        ticket: to bring back then, or empty.
    """

    stream: ids.StreamId
    reason: str
    retry_after: float
    explanation: str
    ticket: str = ''


class Progress(Message, frozen=True, array_like=True, tag=True):
    """An attempt entered a stage.

    Attributes:
        cached_tokens: prompt tokens the prefill engine found in its cache,
            as it reports them; -1 when not known.
        seconds: how long the stage before took.
    """

    stream: ids.StreamId
    stage: states.Stage
    cached_tokens: int = -1
    prompt_tokens: int = 0
    seconds: float = 0.0


class Release(Message, frozen=True, array_like=True, tag=True):
    """An attempt ended; its engines are free of it.

    Attributes:
        failed_engine: engine at fault, or None.
        tokens: output tokens generated.
        seconds_per_token: mean time between tokens; 0 when not known.
        note: how the attempt ended, for `explain`.
    """

    stream: ids.StreamId
    failed_engine: ids.EngineName | None = None
    tokens: int = 0
    seconds_per_token: float = 0.0
    note: str = ''


class Held(msgspec.Struct, frozen=True, array_like=True):
    """One attempt that an entry has in flight."""

    stream: ids.StreamId
    cell: ids.CellId
    service: ids.ServiceName
    prefill: ids.EngineName
    decode: ids.EngineName
    stage: states.Stage
    prompt_tokens: int
    output_tokens: int


class HeldReport(Message, frozen=True, array_like=True, tag=True):
    """The attempts of an entry that concern one scheduler, complete.

    Attributes:
        owned: attempts in cells that the scheduler owns, from which it
            rebuilds its reservations.
        watched: the others, to cancel should the entry go silent.
    """

    entry: ids.MemberId
    incarnation: int
    owned: tuple[Held, ...]
    watched: tuple[Held, ...] = ()


class Watch(Message, frozen=True, array_like=True, tag=True):
    """Sent to a watcher before work of one attempt goes to an engine."""

    entry: ids.MemberId
    incarnation: int
    attempt: Held


class Unwatch(Message, frozen=True, array_like=True, tag=True):
    """An attempt's streams are confirmed ended on its engines."""

    entry: ids.MemberId
    stream: ids.StreamId


class ClaimRequest(Message, frozen=True, array_like=True, tag=True):
    """Claim a key for one run.

    Attributes:
        fingerprint: digest of the body, to tell a reused key.
        holder: entry that will run it.
        incarnation: of the holder: a restarted entry knows nothing of it.
    """

    key: ids.ClaimKey
    token: ids.ClaimToken
    fingerprint: str
    holder: ids.MemberId
    incarnation: int


class ClaimReply(Message, frozen=True, array_like=True, tag=True):
    """Answer to a claim; the record when another token holds the key."""

    key: ids.ClaimKey
    token: ids.ClaimToken
    status: states.ClaimStatus
    record: bytes = b''


class ClaimVoid(Message, frozen=True, array_like=True, tag=True):
    """Remove a claim that was never dispatched; confirmed by VoidReply.

    Attributes:
        record: the claim as it would stand in the table.
    """

    key: ids.ClaimKey
    token: ids.ClaimToken
    record: bytes


class VoidReply(Message, frozen=True, array_like=True, tag=True):
    """Whether the table is known to hold no such claim."""

    key: ids.ClaimKey
    token: ids.ClaimToken
    removed: bool


class ClaimDone(Message, frozen=True, array_like=True, tag=True):
    """Mark a claim as finished; its answer is in the object store.

    Attributes:
        expected_record: the record that the table holds now.
        record: the finished record.
    """

    key: ids.ClaimKey
    token: ids.ClaimToken
    expected_record: bytes
    record: bytes


class DoneReply(Message, frozen=True, array_like=True, tag=True):
    """Whether the table has the finished record."""

    key: ids.ClaimKey
    token: ids.ClaimToken
    stored: bool


class ClaimQuery(Message, frozen=True, array_like=True, tag=True):
    """Ask the holder of a claim what became of it, through a scheduler.

    Attributes:
        record: the record that the table holds.
    """

    key: ids.ClaimKey
    token: ids.ClaimToken
    holder: ids.MemberId
    incarnation: int
    requester: ids.MemberId
    record: bytes


class ClaimAnswer(Message, frozen=True, array_like=True, tag=True):
    """Answer to a ClaimQuery.

    Attributes:
        answer: the encoded answer when the state is finished.
    """

    token: ids.ClaimToken
    requester: ids.MemberId
    state: states.HolderState
    answer: bytes = b''


class AliveQuery(Message, frozen=True, array_like=True, tag=True):
    """Ask another scheduler how long ago it heard of a member."""

    member: ids.MemberId


class AliveReply(Message, frozen=True, array_like=True, tag=True):
    """Seconds since the member was heard; negative when never."""

    member: ids.MemberId
    silence: float


class ConfigRequest(Message, frozen=True, array_like=True, tag=True):
    """Ask a peer for its configuration if it is above a revision."""

    newer_than: ids.Revision


class ConfigBody(Message, frozen=True, array_like=True, tag=True):
    """A peer's accepted configuration, encoded (see revision.Accepted)."""

    revision: ids.Revision
    body: bytes


class StatusRequest(Message, frozen=True, array_like=True, tag=True):
    """Ask a scheduler for what it knows; answered by StatusReply."""


class EngineLoad(msgspec.Struct, frozen=True, array_like=True):
    """One engine as its owner sees it."""

    engine: ids.EngineName
    service: ids.ServiceName
    standing: str
    reserved: int
    places: int
    seconds_per_token: float


class StatusReply(Message, frozen=True, array_like=True, tag=True):
    """Members and engines known to a scheduler."""

    members: tuple[Heartbeat, ...]
    engines: tuple[EngineLoad, ...]
    waiting: int


class ExplainRequest(Message, frozen=True, array_like=True, tag=True):
    """Ask for the decisions taken for one request."""

    request: ids.RequestId


class ExplainReply(Message, frozen=True, array_like=True, tag=True):
    """Decision lines of one request, oldest first."""

    request: ids.RequestId
    lines: tuple[str, ...]


AnyMessage = (
    Heartbeat
    | PlaceRequest
    | Placed
    | GivenUp
    | Progress
    | Release
    | HeldReport
    | Watch
    | Unwatch
    | ClaimRequest
    | ClaimReply
    | ClaimVoid
    | VoidReply
    | ClaimDone
    | DoneReply
    | ClaimQuery
    | ClaimAnswer
    | AliveQuery
    | AliveReply
    | ConfigRequest
    | ConfigBody
    | StatusRequest
    | StatusReply
    | ExplainRequest
    | ExplainReply
)

_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODER: typing.Final[msgspec.msgpack.Decoder[AnyMessage]] = (
    msgspec.msgpack.Decoder(AnyMessage)
)
_PREFIX: typing.Final = bytes([VERSION])


def encode(message: AnyMessage) -> bytes:
    """Return the frame of a message."""
    return _PREFIX + _ENCODER.encode(message)


def decode(frame: bytes) -> AnyMessage | errors.Failure:
    """Return the message of a frame, or why there is none."""
    if not frame or len(frame) > bus.MAX_FRAME_BYTES:
        return errors.Failure(errors.BAD_FRAME, f'{len(frame)} bytes')
    if frame[0] != VERSION:
        return errors.Failure(errors.BAD_FRAME, f'version {frame[0]}')
    try:
        return _DECODER.decode(memoryview(frame)[1:])
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return errors.Failure(errors.BAD_FRAME, str(error))


CODEC: typing.Final = bus.Codec[AnyMessage](encode, decode)
"""Messages between entries, schedulers and controllers."""
