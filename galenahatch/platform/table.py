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

"""Client of the platform's transactional table.

The interface is deliberately small: read keys, scan a prefix, and commit a
transaction whose conditions compare whole values. A commit that fails with
STORE_UNAVAILABLE may still have taken effect.
"""

import collections.abc
import typing
from urllib import parse

import aiohttp
import msgspec

from galenahatch.core import transaction as transactions
from galenahatch import decoding
from galenahatch import errors
from galenahatch.platform import http

_CONFLICT_STATUS: typing.Final = 409

_Values = dict[str, bytes | None]
_VALUES_DECODER: typing.Final = msgspec.json.Decoder(_Values)


class Table:
    """Client of the table at a base URL.

    Args:
        client: session that sends the platform's bearer token.
        url: base URL.
    """

    def __init__(self, client: aiohttp.ClientSession, url: str) -> None:
        self._client = client
        self._url = url.rstrip('/')

    async def read(
        self, keys: collections.abc.Sequence[str]
    ) -> dict[str, bytes | None] | errors.Failure:
        """Return the value of each key, or None for an absent key."""
        body = msgspec.json.encode(list(keys))
        reply = await http.call(
            self._client, 'POST', f'{self._url}/read', body
        )
        return _decode_values(reply)

    async def scan(
        self, prefix: str
    ) -> dict[str, bytes | None] | errors.Failure:
        """Return all keys with a prefix and their values."""
        query = parse.urlencode({'prefix': prefix})
        url = f'{self._url}/scan?{query}'
        return _decode_values(await http.call(self._client, 'GET', url))

    async def commit(
        self, transaction: transactions.Transaction
    ) -> transactions.Committed | transactions.Conflict | errors.Failure:
        """Commit a transaction, or return the current values on a conflict."""
        body = msgspec.json.encode(transaction)
        reply = await http.call(
            self._client, 'POST', f'{self._url}/commit', body
        )
        if isinstance(reply, errors.Failure):
            return reply
        if reply.status == _CONFLICT_STATUS:
            current = _decode_values(http.Reply(200, reply.body))
            if isinstance(current, errors.Failure):
                return current
            return transactions.Conflict(current)
        if reply.status != 200:
            return errors.Failure(
                errors.STORE_UNAVAILABLE, f'status {reply.status}'
            )
        return transactions.Committed()


def _decode_values(
    reply: http.Reply | errors.Failure,
) -> dict[str, bytes | None] | errors.Failure:
    if isinstance(reply, errors.Failure):
        return reply
    if reply.status != 200:
        return errors.Failure(
            errors.STORE_UNAVAILABLE, f'status {reply.status}'
        )
    return decoding.decode(
        _VALUES_DECODER, reply.body, errors.STORE_UNAVAILABLE
    )
