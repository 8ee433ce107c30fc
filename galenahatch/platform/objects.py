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

"""Client of the platform's object store.

Each object is written once, under a digest or a unique token, so writing it
again is idempotent.
"""

import aiohttp

from galenahatch import errors
from galenahatch.platform import http


class ObjectStore:
    """Client of the object store at a base URL.

    Args:
        client: session that sends the platform's bearer token.
        url: base URL.
    """

    def __init__(self, client: aiohttp.ClientSession, url: str) -> None:
        self._client = client
        self._url = url.rstrip('/')

    async def put(self, key: str, body: bytes) -> errors.Failure | None:
        """Store an object; return None on success."""
        url = f'{self._url}/objects/{key}'
        reply = await http.call(self._client, 'PUT', url, body)
        if isinstance(reply, errors.Failure):
            return reply
        if reply.status != 200:
            return errors.Failure(
                errors.STORE_UNAVAILABLE, f'status {reply.status}'
            )
        return None

    async def get(self, key: str) -> bytes | errors.Failure:
        """Return an object's contents, or NOT_FOUND."""
        url = f'{self._url}/objects/{key}'
        reply = await http.call(self._client, 'GET', url)
        if isinstance(reply, errors.Failure):
            return reply
        if reply.status != 200:
            return errors.Failure(errors.NOT_FOUND, key)
        return reply.body
