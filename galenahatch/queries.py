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

"""Questions of the command line to all schedulers at once."""

import asyncio
import collections.abc
import typing

import zmq
import zmq.asyncio

from galenahatch import errors
from galenahatch import ids
from galenahatch import messages

_SECONDS: typing.Final = 1.5


async def ask(
    addresses: collections.abc.Sequence[str],
    port: int,
    question: messages.AnyMessage,
) -> dict[str, messages.AnyMessage]:
    """Return the answer of each scheduler that gave one, by IP number."""
    context = zmq.asyncio.Context()
    try:
        answers = await asyncio.gather(
            *(_ask_one(context, a, port, question) for a in addresses)
        )
    finally:
        context.destroy(linger=0)
    return {
        address: answer
        for address, answer in zip(addresses, answers, strict=True)
        if answer is not None
    }


async def _ask_one(
    context: zmq.asyncio.Context,
    address: str,
    port: int,
    question: messages.AnyMessage,
) -> messages.AnyMessage | None:
    socket = context.socket(zmq.DEALER)
    socket.setsockopt(zmq.LINGER, 0)
    socket.connect(f'tcp://{address}:{port}')
    try:
        async with asyncio.timeout(_SECONDS):
            await socket.send(messages.encode(question))
            answer = messages.decode(await socket.recv())
    except asyncio.TimeoutError:
        return None
    finally:
        socket.close()
    return None if isinstance(answer, errors.Failure) else answer


def members(
    replies: collections.abc.Mapping[str, messages.AnyMessage],
) -> list[messages.Heartbeat]:
    """Return each daemon as the scheduler with the newest word has it."""
    found: dict[ids.MemberId, messages.Heartbeat] = {}
    for reply in replies.values():
        if not isinstance(reply, messages.StatusReply):
            continue
        for heartbeat in reply.members:
            known = found.get(heartbeat.member)
            if known is None or heartbeat.revision > known.revision:
                found[heartbeat.member] = heartbeat
    return [found[member] for member in sorted(found)]


def engines(
    replies: collections.abc.Mapping[str, messages.AnyMessage],
) -> list[messages.EngineLoad]:
    """Return each engine as its busiest owner has it."""
    found: dict[ids.EngineName, messages.EngineLoad] = {}
    for reply in replies.values():
        if not isinstance(reply, messages.StatusReply):
            continue
        for load in reply.engines:
            known = found.get(load.engine)
            if known is None or load.reserved > known.reserved:
                found[load.engine] = load
    return [found[name] for name in sorted(found)]


def request_id(text: str) -> ids.RequestId:
    """Return a request id."""
    return ids.RequestId(text)
