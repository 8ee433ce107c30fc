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

"""Receives the bodies of callers' requests.

With flow control, a body is admitted as a whole before it is read, by its
stated length; one of unknown length as it arrives. Its bytes count until the
request ends, as the body may be sent again.
"""

import asyncio
import typing

from aiohttp import web

from galenahatch.core import memorybudget
from galenahatch import errors
from galenahatch.gateway import connections
from galenahatch.gateway import flowcontrol
from galenahatch import timeouts

_TIMEOUT_S: typing.Final = 10.0
"""A caller that takes longer to send a body has given up."""


class Body:
    """Body of one request.

    Args:
        request: Request of the caller.
        max_bytes: Configured limit in bytes.
        flow: Flow control of this process; None if bytes are not counted.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        max_bytes: int,
        flow: flowcontrol.FlowControl | None,
    ) -> None:
        self._request = request
        self._max_bytes = max_bytes
        self._flow = flow
        self._admitted = 0
        self._holding: memorybudget.Holding | None = None

    async def read(self) -> bytes | errors.Failure:
        """Receive the body."""
        # A body over the limit is rejected once its bytes show it, as without
        # flow control; until then it may hold no more than the limit.
        length = self._request.content_length or 0
        failure = self._admit(min(length, self._max_bytes))
        if failure is not None:
            return failure
        data = bytearray()
        try:
            async with timeouts.limit(_TIMEOUT_S):
                async for chunk in self._request.content.iter_any():
                    data += chunk
                    if len(data) > self._max_bytes:
                        detail = f'over {self._max_bytes} bytes'
                        return errors.Failure(errors.BODY_TOO_LARGE, detail)
                    failure = self._admit(len(data))
                    if failure is not None:
                        return failure
        except asyncio.TimeoutError:
            return errors.Failure(errors.BODY_TIMEOUT)
        if self._was_refused:
            return errors.Failure(errors.BAD_CHUNKS)
        return bytes(data)

    @property
    def _was_refused(self) -> bool:
        """Whether the connection ended the body before its end."""
        connection = self._request.protocol
        return isinstance(
            connection, connections.CallerConnection
        ) and connection.has_refused(self._request.content)

    def _admit(self, size: int) -> errors.Failure | None:
        """Admit the body up to a size; return a failure if it doesn't fit."""
        if self._flow is None or size <= self._admitted:
            return None
        if self._holding is None:
            self._holding = self._flow.open(memorybudget.Direction.BODIES)
        failure = self._flow.admit_body(self._holding, size - self._admitted)
        if failure is None:
            self._admitted = size
        return failure

    def release(self) -> None:
        """Give the bytes back; call it when the request has ended."""
        if self._flow is not None and self._holding is not None:
            self._flow.budget.close(self._holding)
