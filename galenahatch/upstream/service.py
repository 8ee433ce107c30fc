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

"""Client of a plain service: sends a request, reads the whole response."""

import typing

import aiohttp
import msgspec

from galenahatch import decoding
from galenahatch import errors
from galenahatch.upstream import http

_DROPPED_HEADERS: typing.Final = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_REFUSED_STATUS: typing.Final = 503


class Call(msgspec.Struct, frozen=True):
    """A request to a plain service."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Result(msgspec.Struct, frozen=True):
    """A plain service's response, forwarded unchanged."""

    status: int
    content_type: str
    body: bytes


def forwardable_headers(headers: typing.Mapping[str, str]) -> dict[str, str]:
    """Return the headers to forward to a service."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in _DROPPED_HEADERS
    }


async def call(
    client: aiohttp.ClientSession,
    url: str,
    request: Call,
    total_timeout: float,
) -> Result | errors.Failure:
    """Send a request to a service.

    Args:
        client: HTTP session.
        url: base URL of the upstream.
        request: request to send.
        total_timeout: time-out of the whole request in seconds.
    """
    timeout = aiohttp.ClientTimeout(
        total=total_timeout, sock_connect=client.timeout.sock_connect
    )
    try:
        async with client.request(
            request.method,
            url.rstrip('/') + request.path,
            data=request.body,
            headers=request.headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            data = await http.read_all(response)
    except http.CLIENT_ERRORS as error:
        return http.send_failure(error)
    if isinstance(data, errors.Failure):
        return data
    if response.status == _REFUSED_STATUS and _states_not_started(data):
        return errors.Failure(errors.UPSTREAM_REFUSED, url)
    content_type = response.headers.get(
        'Content-Type', 'application/octet-stream'
    )
    return Result(response.status, content_type, data)


def _states_not_started(data: bytes) -> bool:
    """Return whether a refusal states that no work was started."""
    refusal = decoding.decode(_REFUSAL_DECODER, data, errors.BAD_UPSTREAM)
    return isinstance(refusal, _Refusal) and refusal.started is False


class _Refusal(msgspec.Struct, frozen=True):
    started: bool | None = None


_REFUSAL_DECODER: typing.Final = msgspec.json.Decoder(_Refusal)
