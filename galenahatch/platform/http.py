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

"""Sends requests to the platform and turns errors into typed failures."""

import asyncio
import typing

import aiohttp
import msgspec

from galenahatch import errors
from galenahatch.upstream import http

TIMEOUT_S: typing.Final = 2.0
MAX_BODY_BYTES: typing.Final = 64 * 1024 * 1024


class Reply(msgspec.Struct, frozen=True):
    """Status and body of a response."""

    status: int
    body: bytes


def session(token: str) -> aiohttp.ClientSession:
    """Create a session that sends the platform's bearer token.

    Args:
        token: bearer token; empty sends no token.
    """
    headers = {'Authorization': f'Bearer {token}'} if token else {}
    return aiohttp.ClientSession(
        connector=http.Connector(),
        headers=headers,
        timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
    )


async def call(
    client: aiohttp.ClientSession,
    method: str,
    url: str,
    body: bytes | None = None,
) -> Reply | errors.Failure:
    """Send a request; return the response or STORE_UNAVAILABLE.

    A request that fails may still have taken effect.
    """
    try:
        async with client.request(method, url, data=body) as response:
            data = await response.content.read(MAX_BODY_BYTES + 1)
            while not response.content.at_eof():
                chunk = await response.content.read(MAX_BODY_BYTES + 1)
                data += chunk
                if len(data) > MAX_BODY_BYTES:
                    return _unavailable('response too large')
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        return _unavailable(f'{type(error).__name__} {error}')
    if response.status >= 500:
        return _unavailable(f'status {response.status}')
    return Reply(response.status, data)


def _unavailable(detail: str) -> errors.Failure:
    return errors.Failure(errors.STORE_UNAVAILABLE, detail)
