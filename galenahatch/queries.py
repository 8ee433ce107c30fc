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

"""Queries that the command line sends to all schedulers concurrently."""

import asyncio
import collections.abc
import typing

import zmq
import zmq.asyncio

from galenahatch import errors
from galenahatch import ids
from galenahatch import messages

_REPLY_TIMEOUT_S: typing.Final = 1.5


async def query_schedulers(
    addresses: collections.abc.Sequence[str],
    port: int,
    query: messages.AnyMessage,
) -> dict[str, messages.AnyMessage]:
    """Return the replies of all schedulers that answer, by IP address."""
    context = zmq.asyncio.Context()
    try:
        replies = await asyncio.gather(
            *(
                _query_scheduler(context, address, port, query)
                for address in addresses
            )
        )
    finally:
        context.destroy(linger=0)
    return {
        address: reply
        for address, reply in zip(addresses, replies, strict=True)
        if reply is not None
    }


async def _query_scheduler(
    context: zmq.asyncio.Context,
    address: str,
    port: int,
    query: messages.AnyMessage,
) -> messages.AnyMessage | None:
    socket = context.socket(zmq.DEALER)
    socket.setsockopt(zmq.LINGER, 0)
    socket.connect(f'tcp://{address}:{port}')
    try:
        async with asyncio.timeout(_REPLY_TIMEOUT_S):
            await socket.send(messages.encode(query))
            reply = messages.decode(await socket.recv())
    except asyncio.TimeoutError:
        return None
    finally:
        socket.close()
    return None if isinstance(reply, errors.Failure) else reply


def newest_heartbeats(
    replies: collections.abc.Mapping[str, messages.AnyMessage],
) -> list[messages.Heartbeat]:
    """Return each daemon's heartbeat with the newest revision."""
    newest: dict[ids.MemberId, messages.Heartbeat] = {}
    for reply in replies.values():
        if not isinstance(reply, messages.StatusReply):
            continue
        for heartbeat in reply.members:
            previous = newest.get(heartbeat.member)
            if previous is None or heartbeat.revision > previous.revision:
                newest[heartbeat.member] = heartbeat
    return [newest[member] for member in sorted(newest)]


def highest_loads(
    replies: collections.abc.Mapping[str, messages.AnyMessage],
) -> list[messages.EngineLoad]:
    """Return each engine's load report with the most reserved places."""
    highest: dict[ids.EngineName, messages.EngineLoad] = {}
    for reply in replies.values():
        if not isinstance(reply, messages.StatusReply):
            continue
        for load in reply.engines:
            previous = highest.get(load.engine)
            if previous is None or load.reserved > previous.reserved:
                highest[load.engine] = load
    return [highest[name] for name in sorted(highest)]


def request_id(text: str) -> ids.RequestId:
    """Convert text to a request id."""
    return ids.RequestId(text)
