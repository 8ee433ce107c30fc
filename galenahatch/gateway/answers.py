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

"""Sends complete answers to callers that may read slowly.

A large answer is written in pieces, as fast as its caller takes them, so that
the connection doesn't hold a second copy of it.
"""

import contextlib
import typing

from aiohttp import web

from galenahatch import clock
from galenahatch.core import memorybudget
from galenahatch.gateway import calls
from galenahatch.gateway import connections
from galenahatch.gateway import flowcontrol

_PIECE_BYTES: typing.Final = 16 * 1024


def is_paced(
    response: web.StreamResponse, flow: flowcontrol.FlowControl
) -> bool:
    """Return whether an answer is to be sent by `send`."""
    if flow.paces_callers:
        return True
    body = response.body if isinstance(response, web.Response) else b''
    size = len(body) if isinstance(body, bytes) else 0
    return size >= flowcontrol.LARGE_ANSWER_BYTES


async def send(
    request: web.BaseRequest,
    response: web.StreamResponse,
    flow: flowcontrol.FlowControl,
    call: calls.Call,
) -> web.StreamResponse:
    """Send an answer and return the response that was sent.

    Its bytes count until the kernel has taken them all.

    Args:
        request: Request as the HTTP library has it.
        response: Answer, of which nothing has been sent.
        flow: Flow control of this process.
        call: The request.
    """
    connection = request.protocol
    assert isinstance(connection, connections.CallerConnection)
    body = response.body if isinstance(response, web.Response) else b''
    data = body if isinstance(body, bytes) else b''
    direction = memorybudget.Direction.ANSWERS
    with flow.hold(direction, len(data), call, connection.abort) as holding:
        # If the connection is lost, the library ends the request.
        with contextlib.suppress(ConnectionError):
            if len(data) <= _PIECE_BYTES:
                await response.prepare(request)
                await response.write_eof()
                return response
            response = _without_body(response, len(data))
            connection.completes_at_eof = True
            await response.prepare(request)
            for begin in range(0, len(data), _PIECE_BYTES):
                piece = data[begin : begin + _PIECE_BYTES]
                await response.write(piece)
                await connection.drain()
                flow.budget.record_taken(holding, len(piece), clock.now())
            await response.write_eof()
    connection.completes_at_eof = False
    return response


def _without_body(
    response: web.StreamResponse, size: int
) -> web.StreamResponse:
    """Return a response with the same head, whose body is written later."""
    streamed = web.StreamResponse(
        status=response.status, headers=response.headers
    )
    streamed.content_length = size
    if response.keep_alive is False:
        streamed.force_close()
    return streamed
