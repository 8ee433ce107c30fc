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

"""Encode and decode messages between gateways.

A frame is one version byte followed by a message encoded with MessagePack.
"""

import typing

import msgspec

from galenahatch import decoding
from galenahatch import errors
from galenahatch.gateway import affinitymessages
from galenahatch.gateway import callmessages
from galenahatch.gateway import messages
from galenahatch.gateway import proxymessages
from galenahatch.gateway import waitingmessages

_VERSION: typing.Final = 1
"""Version of the frames; raise it on every incompatible change to messages."""
_MAX_FRAME_BYTES: typing.Final = 4 * 1024 * 1024
"""Maximum size in bytes of a frame to decode, with its version byte."""

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
    | callmessages.AnyCallMessage
    | proxymessages.AnyProxyMessage
    | affinitymessages.AnyAffinityMessage
    | waitingmessages.AnyWaitingMessage
)
"""Every message that one gateway can send to another."""

_VERSION_PREFIX: typing.Final = bytes([_VERSION])
_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODER: typing.Final = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: AnyMessage) -> bytes:
    """Encode a message as a frame."""
    return _VERSION_PREFIX + _ENCODER.encode(message)


def decode(frame: bytes) -> AnyMessage | errors.Failure:
    """Decode the message in a frame.

    Returns:
        The message, or a failure with the reason `errors.BAD_FRAME` if the
        frame is empty, too large, of another version or malformed.
    """
    if not frame or len(frame) > _MAX_FRAME_BYTES:
        return errors.Failure(errors.BAD_FRAME, f'{len(frame)} bytes')
    if frame[0] != _VERSION:
        return errors.Failure(errors.BAD_FRAME, f'version {frame[0]}')
    return decoding.decode(_DECODER, memoryview(frame)[1:], errors.BAD_FRAME)
