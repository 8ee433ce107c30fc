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

"""Cancels that are tried until the engine confirms.

Closing a socket frees nothing at an engine, so each stream that did not
end by itself is cancelled by id, again and again, until the engine says
that it has no such stream, or the engine's process is gone. Work that
was on its way to the engine may arrive after the cancel, so the cancel is
sent once more a little later.
"""

import asyncio
import collections.abc
import typing

import aiohttp

from galenahatch import clock
from galenahatch.core import retry
from galenahatch import ids
from galenahatch import logs
from galenahatch import metrics
from galenahatch import schema
from galenahatch import tasks
from galenahatch.upstream import engine as engine_client

ABSENT_TRIES: typing.Final = 5
_SETTLE: typing.Final = 0.5
_log = logs.Log('cancel')

FindEngine = collections.abc.Callable[[ids.EngineName], schema.Engine | None]


class Canceller:
    """Streams that are being cancelled.

    Args:
        client: session for engines.
        find: finds a declared engine.
        owner: runs the tasks.
    """

    def __init__(
        self,
        client: aiohttp.ClientSession,
        find: FindEngine,
        owner: tasks.Tasks,
    ) -> None:
        self._client = client
        self._find = find
        self._owner = owner
        self._open: set[ids.StreamId] = set()

    @property
    def open(self) -> int:
        """Streams whose cancel is not confirmed yet."""
        return len(self._open)

    def cancel(
        self,
        stream: ids.StreamId,
        engines: collections.abc.Iterable[ids.EngineName],
        cause: str,
        then: collections.abc.Callable[[], None],
    ) -> None:
        """Cancel a stream on some engines.

        Args:
            stream: whose memory to free.
            engines: where it may be held.
            cause: for the log.
            then: called when all engines confirmed.
        """
        if stream in self._open:
            return
        self._open.add(stream)
        metrics.cancels.add(1, {'cause': cause})
        names = sorted(set(engines))
        self._owner.run_once(self._cancel_all(stream, names, cause, then))

    async def _cancel_all(
        self,
        stream: ids.StreamId,
        engines: list[ids.EngineName],
        cause: str,
        then: collections.abc.Callable[[], None],
    ) -> None:
        began = clock.now()
        jobs = [self._cancel_one(stream, engine) for engine in engines]
        await asyncio.gather(*jobs)
        self._open.discard(stream)
        _log.info(
            'Stream cancelled.',
            stream=stream,
            cause=cause,
            seconds=clock.now() - began,
        )
        then()
        await asyncio.sleep(_SETTLE)
        await asyncio.gather(*(self._cancel_one(stream, e) for e in engines))

    async def _cancel_one(
        self, stream: ids.StreamId, name: ids.EngineName
    ) -> None:
        attempt = 0
        absent = 0
        while absent < ABSENT_TRIES:
            engine = self._find(name)
            result = engine_client.Cancelled.ABSENT
            if engine is not None:
                result = await engine_client.cancel(
                    self._client, url_of(engine), stream
                )
            if result is engine_client.Cancelled.CONFIRMED:
                return
            is_absent = result is engine_client.Cancelled.ABSENT
            absent = absent + 1 if is_absent else 0
            attempt += 1
            await asyncio.sleep(retry.backoff(attempt, clock.RANDOM))


def url_of(engine: schema.Engine) -> str:
    """Return the base URL of an engine."""
    return f'http://{engine.address}:{engine.port}'
