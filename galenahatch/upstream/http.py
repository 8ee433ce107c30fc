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

"""What the clients of upstreams share: how a failed send is told apart.

A connection that was never made carried no byte of the work: that is
known not to have run. Any later break is unknown.

The client library sends a GET, PUT or DELETE again by itself when the
connection breaks under it, also a fresh one. Work that may run only once
must not be sent twice by any layer, so its session turns the breaks that
the library would repeat on into errors that it passes on.
"""

import asyncio
import typing

import aiohttp
from aiohttp import client_proto

from galenahatch import errors
from galenahatch import timeouts

CLIENT_ERRORS: typing.Final = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    OSError,
)
NO_TIMEOUT: typing.Final = aiohttp.ClientTimeout(total=None)
MAX_BODY_BYTES: typing.Final = 8 * 1024 * 1024
_LIBRARY_NOT_CONNECTED: typing.Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


class NotConnectedError(aiohttp.ClientError):
    """No connection was made: no byte was sent."""


class ConnectionLostError(aiohttp.ClientError):
    """The connection broke when something may have been sent."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request without the library's own second try.

    Raises:
        NotConnectedError: no connection was made.
        BrokenSendError: it broke when something may have been sent.
    """
    try:
        return await handler(request)
    except _LIBRARY_NOT_CONNECTED as error:
        raise NotConnectedError(str(error)) from error
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(str(error)) from error


NOT_CONNECTED: typing.Final = (NotConnectedError, *_LIBRARY_NOT_CONNECTED)
"""No connection was made, whether the library's own second try is off or
not."""


class Connector(aiohttp.TCPConnector):
    """Makes connections within a limit that a pause does not use up."""

    async def _wrap_create_connection(
        self,
        *args: typing.Any,
        timeout: aiohttp.ClientTimeout,
        **options: typing.Any,
    ) -> tuple[asyncio.Transport, client_proto.ResponseHandler]:
        """Make a connection; the kernel does while this process waits.

        With the library's own limit, pauses of 0.27 s refused three calls in
        92 whose upstreams were well.
        """
        async with timeouts.limit(timeout.sock_connect):
            return await super()._wrap_create_connection(
                *args, timeout=NO_TIMEOUT, **options
            )


def session(
    connect_timeout: float, idle_timeout: float, reuse: bool = True
) -> aiohttp.ClientSession:
    """Return a session for upstreams.

    Args:
        connect_timeout: seconds for a connection.
        idle_timeout: seconds without a byte of an answer.
        reuse: keep connections. A kept connection that the upstream closes
            as a request is sent leaves its fate unknown, so work that may
            run only once goes over a fresh one.
    """
    return aiohttp.ClientSession(
        connector=Connector(limit=0, force_close=not reuse),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout, sock_read=idle_timeout
        ),
        auto_decompress=False,
        middlewares=() if reuse else (send_once,),
    )


def send_failure(error: BaseException) -> errors.Failure:
    """Return what is known after an exception of a send."""
    detail = f'{type(error).__name__} {error}'
    if isinstance(error, NOT_CONNECTED):
        return errors.Failure(errors.UPSTREAM_UNREACHABLE, detail)
    return errors.Failure(errors.SEND_INTERRUPTED, detail)


async def read_all(
    response: aiohttp.ClientResponse, limit: int = MAX_BODY_BYTES
) -> bytes | errors.Failure:
    """Return a whole body, or BAD_UPSTREAM if it is over the limit."""
    data = bytearray()
    async for chunk in response.content.iter_any():
        data += chunk
        if len(data) > limit:
            response.close()
            return errors.Failure(errors.BAD_UPSTREAM, 'body too large')
    return bytes(data)
