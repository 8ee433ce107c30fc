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

"""Messages between the daemons.

A frame is one version byte followed by a MessagePack array whose first
item is the tag of the message. `decode` never raises: for a frame that is too
large, of an unknown version or malformed it returns a `Failure`, which the
receiver counts and logs before it drops the frame. Field order is the wire
order: new fields go at the end with a default, so that adjacent versions are
compatible during a rolling update.
"""

import typing

import msgspec

from galenahatch import bus
from galenahatch import decoding
from galenahatch import errors
from galenahatch import ids
from galenahatch import states

VERSION: typing.Final = 1


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all messages."""


class Heartbeat(Message, frozen=True, array_like=True, tag=True):
    """A daemon's heartbeat; a scheduler replies with its own.

    Attributes:
        member: id of the daemon.
        incarnation: random number chosen at start.
        data_centre: data centre of the daemon's VM.
        standing: LEAVING after a planned stop began.
        revision: revision of the daemon's active configuration.
        ready: whether the daemon takes traffic.
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
    """Requests a pair of engines from the owner of a cell.

    A cell is a group of engines that are scheduled together.

    Attributes:
        request: id of the request.
        stream: id of the attempt and of its reservation.
        entry: id of the requesting entry, for orphan detection.
        service: model service.
        site: site whose configuration overlay restricts the engines.
        caller: caller's name, for fair queueing.
        urgency: urgency class.
        prompt_tokens: estimated length of the prompt in tokens.
        output_tokens: maximum number of tokens to generate.
        first_token_timeout: seconds until the first token is too late.
        blocks: hashes of the prompt's prefix blocks, in order.
        avoided_engines: engines that failed this request before.
        data_centre: data centre of the entry.
        revision: revision of the entry's active configuration.
        ticket: ticket from an earlier GivenUp, or empty.
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
    """Assigns a pair of engines to an attempt.

    Attributes:
        explanation: scores of the chosen pair and of the rejected ones.
        transfer: seconds of link time reserved.
    """

    stream: ids.StreamId
    prefill: ids.EngineName
    decode: ids.EngineName
    explanation: str
    transfer: float = 0.0


class GivenUp(Message, frozen=True, array_like=True, tag=True):
    """Refuses to place an attempt.

    Attributes:
        reason: name of the reason in the registry of errors.
        retry_after: seconds until capacity is expected.
        explanation: state of the queue, for the log.
        ticket: ticket for a retry, which is served before the others of its
            class if it comes in time; or empty.
    """

    stream: ids.StreamId
    reason: str
    retry_after: float
    explanation: str
    ticket: str = ''


class Progress(Message, frozen=True, array_like=True, tag=True):
    """Reports that an attempt entered a stage.

    Attributes:
        cached_tokens: prompt tokens that the prefill engine reports as
            cached; -1 if unknown.
        seconds: duration of the previous stage in seconds.
    """

    stream: ids.StreamId
    stage: states.Stage
    cached_tokens: int = -1
    prompt_tokens: int = 0
    seconds: float = 0.0


class Release(Message, frozen=True, array_like=True, tag=True):
    """Reports that an attempt ended and holds no engine resources.

    Attributes:
        failed_engine: engine at fault, or None.
        tokens: number of output tokens generated.
        seconds_per_token: mean seconds between tokens; 0 if unknown.
        note: how the attempt ended, for `explain`.
    """

    stream: ids.StreamId
    failed_engine: ids.EngineName | None = None
    tokens: int = 0
    seconds_per_token: float = 0.0
    note: str = ''


class Held(msgspec.Struct, frozen=True, array_like=True):
    """An attempt that an entry has in flight."""

    stream: ids.StreamId
    cell: ids.CellId
    service: ids.ServiceName
    prefill: ids.EngineName
    decode: ids.EngineName
    stage: states.Stage
    prompt_tokens: int
    output_tokens: int


class HeldReport(Message, frozen=True, array_like=True, tag=True):
    """Lists all of an entry's attempts that a scheduler owns or watches.

    Attributes:
        owned: attempts in cells that the scheduler owns, from which it
            rebuilds its reservations.
        watched: other attempts, which the scheduler cancels if the entry
            goes silent.
    """

    entry: ids.MemberId
    incarnation: int
    owned: tuple[Held, ...]
    watched: tuple[Held, ...] = ()


class Watch(Message, frozen=True, array_like=True, tag=True):
    """Asks a scheduler to watch an attempt before it goes to an engine.

    The scheduler cancels the attempt if the entry is gone.
    """

    entry: ids.MemberId
    incarnation: int
    attempt: Held


class Unwatch(Message, frozen=True, array_like=True, tag=True):
    """Reports that an attempt's streams have ended on its engines."""

    entry: ids.MemberId
    stream: ids.StreamId


class ClaimRequest(Message, frozen=True, array_like=True, tag=True):
    """Asks a scheduler to claim an idempotency key for one run.

    Attributes:
        token: unique id of this claim.
        fingerprint: digest of path and body, to detect a reused key.
        holder: entry that will run the request.
        incarnation: incarnation of the holder; a restarted entry has lost its
            claims.
    """

    key: ids.ClaimKey
    token: ids.ClaimToken
    fingerprint: str
    holder: ids.MemberId
    incarnation: int


class ClaimReply(Message, frozen=True, array_like=True, tag=True):
    """Reply to a ClaimRequest; has the record if another token won."""

    key: ids.ClaimKey
    token: ids.ClaimToken
    status: states.ClaimStatus
    record: bytes = b''


class ClaimVoid(Message, frozen=True, array_like=True, tag=True):
    """Removes a claim that was never dispatched; VoidReply confirms it.

    Attributes:
        record: the record that the table holds if the claim was written;
            a different one is not removed.
    """

    key: ids.ClaimKey
    token: ids.ClaimToken
    record: bytes


class VoidReply(Message, frozen=True, array_like=True, tag=True):
    """Reply to a ClaimVoid: whether the table surely holds no such claim."""

    key: ids.ClaimKey
    token: ids.ClaimToken
    removed: bool


class ClaimDone(Message, frozen=True, array_like=True, tag=True):
    """Marks a claim as finished.

    Attributes:
        expected_record: the record that the table must still hold.
        record: the finished record with the answer, or with its key in the
            object store if it is large.
    """

    key: ids.ClaimKey
    token: ids.ClaimToken
    expected_record: bytes
    record: bytes


class DoneReply(Message, frozen=True, array_like=True, tag=True):
    """Reply to a ClaimDone: whether nothing is left to write."""

    key: ids.ClaimKey
    token: ids.ClaimToken
    stored: bool


class ClaimQuery(Message, frozen=True, array_like=True, tag=True):
    """Queries the state of a claim from its holder, through a scheduler.

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
    """Reply to a ClaimQuery.

    Attributes:
        answer: encoded answer if the state is FINISHED.
    """

    token: ids.ClaimToken
    requester: ids.MemberId
    state: states.HolderState
    answer: bytes = b''


class AliveQuery(Message, frozen=True, array_like=True, tag=True):
    """Asks another scheduler when it last heard from a member."""

    member: ids.MemberId


class AliveReply(Message, frozen=True, array_like=True, tag=True):
    """Tells the seconds since a member's last heartbeat; negative if none."""

    member: ids.MemberId
    silence: float


class ConfigRequest(Message, frozen=True, array_like=True, tag=True):
    """Requests a peer's configuration if it is newer than a revision."""

    newer_than: ids.Revision


class ConfigBody(Message, frozen=True, array_like=True, tag=True):
    """A peer's accepted configuration, encoded (see revision.Accepted)."""

    revision: ids.Revision
    body: bytes


class StatusRequest(Message, frozen=True, array_like=True, tag=True):
    """Requests the status of a scheduler; answered by StatusReply."""


class EngineLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of an engine as recorded by its owner."""

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
    """Requests the log of decisions about one request."""

    request: ids.RequestId


class ExplainReply(Message, frozen=True, array_like=True, tag=True):
    """Decision log lines of one request, oldest first."""

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
    """Encode a message as a frame."""
    return _PREFIX + _ENCODER.encode(message)


def decode(frame: bytes) -> AnyMessage | errors.Failure:
    """Decode the message in a frame; return a failure if it is invalid."""
    if not frame or len(frame) > bus.MAX_FRAME_BYTES:
        return errors.Failure(errors.BAD_FRAME, f'{len(frame)} bytes')
    if frame[0] != VERSION:
        return errors.Failure(errors.BAD_FRAME, f'version {frame[0]}')
    return decoding.decode(_DECODER, memoryview(frame)[1:], errors.BAD_FRAME)


CODEC: typing.Final = bus.Codec[AnyMessage](encode, decode)
"""Messages between entries, schedulers and controllers."""
