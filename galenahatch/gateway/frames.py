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

"""Encoding of messages between gateways: a version byte, then MessagePack."""

import typing

import msgspec

from galenahatch import errors
from galenahatch.gateway import messages

_VERSION: typing.Final = 1
_MAX_BYTES: typing.Final = 4 * 1024 * 1024
"""Largest frame that is accepted."""

AnyMessage = (
    messages.Heartbeat
    | messages.HeartbeatReply
    | messages.PlacementRequest
    | messages.Queued
    | messages.Placement
    | messages.PlacementRefused
    | messages.Declined
    | messages.Withdraw
    | messages.Prefilled
    | messages.Started
    | messages.Release
    | messages.QuotaRefund
    | messages.QuotaUsage
    | messages.QuotaLevels
    | messages.RateLimits
    | messages.LeavingUpstreams
    | messages.PermitRequest
    | messages.PermitReply
    | messages.StageChangeRequest
    | messages.StageChangeReply
    | messages.Suspicions
    | messages.UpdateRequest
    | messages.Update
)

_VERSION_PREFIX: typing.Final = bytes([_VERSION])
_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODER: typing.Final = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: AnyMessage) -> bytes:
    """Encode a message as a frame."""
    return _VERSION_PREFIX + _ENCODER.encode(message)


def decode(frame: bytes) -> AnyMessage | errors.Failure:
    """Decode a frame; return a failure if it is invalid."""
    if not frame or len(frame) > _MAX_BYTES:
        return errors.Failure(errors.BAD_FRAME, f'{len(frame)} bytes')
    if frame[0] != _VERSION:
        return errors.Failure(errors.BAD_FRAME, f'version {frame[0]}')
    try:
        return _DECODER.decode(memoryview(frame)[1:])
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return errors.Failure(errors.BAD_FRAME, str(error))
