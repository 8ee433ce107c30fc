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

"""What the clients of the platform share: one call, one typed failure."""

import asyncio
import typing

import aiohttp
import msgspec

from galenahatch import errors

TIMEOUT_S: typing.Final = 2.0
MAX_BODY_BYTES: typing.Final = 64 * 1024 * 1024


class Reply(msgspec.Struct, frozen=True):
    """Status and body of an answer."""

    status: int
    body: bytes


def session(token: str) -> aiohttp.ClientSession:
    """Return a session that bears the platform's token.

    Args:
        token: bearer token, or empty for none.
    """
    headers = {'Authorization': f'Bearer {token}'} if token else {}
    return aiohttp.ClientSession(
        headers=headers,
        timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
    )


async def call(
    client: aiohttp.ClientSession,
    method: str,
    url: str,
    body: bytes | None = None,
) -> Reply | errors.Failure:
    """Return the answer of a store, or STORE_UNAVAILABLE.

    After a failure the call may have taken effect all the same.
    """
    try:
        async with client.request(method, url, data=body) as response:
            data = await response.content.read(MAX_BODY_BYTES + 1)
            while not response.content.at_eof():
                more = await response.content.read(MAX_BODY_BYTES + 1)
                data += more
                if len(data) > MAX_BODY_BYTES:
                    return _unavailable('answer too large')
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        return _unavailable(f'{type(error).__name__} {error}')
    if response.status >= 500:
        return _unavailable(f'status {response.status}')
    return Reply(response.status, data)


def _unavailable(detail: str) -> errors.Failure:
    return errors.Failure(errors.STORE_UNAVAILABLE, detail)
