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

"""Cancellation of streams, retried until the engine confirms.

Closing a connection frees nothing on an engine, so each stream that did not
end normally is cancelled by id. The cancellation is retried with backoff
until the engine confirms that it has no such stream, or its process is gone.
Work in transit may reach the engine after the cancellation, so a second one
follows after a delay.
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

MAX_ABSENT_ATTEMPTS: typing.Final = 5
_SECOND_CANCEL_DELAY_S: typing.Final = 0.5
_log = logs.Log('cancel')

FindEngine = collections.abc.Callable[[ids.EngineName], schema.Engine | None]


class Canceller:
    """Cancels streams in the background.

    Args:
        client: HTTP session for engines.
        find_engine: looks up a configured engine by name.
        background_tasks: runs the cancellations.
    """

    def __init__(
        self,
        client: aiohttp.ClientSession,
        find_engine: FindEngine,
        background_tasks: tasks.Tasks,
    ) -> None:
        self._client = client
        self._find_engine = find_engine
        self._tasks = background_tasks
        self._pending: set[ids.StreamId] = set()

    @property
    def pending_count(self) -> int:
        """Number of streams whose cancellation is not confirmed yet."""
        return len(self._pending)

    def cancel(
        self,
        stream: ids.StreamId,
        engines: collections.abc.Iterable[ids.EngineName],
        cause: str,
        on_confirmed: collections.abc.Callable[[], None],
    ) -> None:
        """Cancel a stream on some engines.

        Args:
            stream: id of the stream to cancel.
            engines: engines that may hold memory for the stream.
            cause: reason shown in the log and in metrics.
            on_confirmed: callback after all engines confirmed.
        """
        if stream in self._pending:
            return
        self._pending.add(stream)
        metrics.cancels.add(1, {'cause': cause})
        names = sorted(set(engines))
        self._tasks.run_once(
            self._cancel_all(stream, names, cause, on_confirmed)
        )

    async def _cancel_all(
        self,
        stream: ids.StreamId,
        engines: list[ids.EngineName],
        cause: str,
        on_confirmed: collections.abc.Callable[[], None],
    ) -> None:
        started_at = clock.now()
        cancels = [self._cancel_one(stream, engine) for engine in engines]
        await asyncio.gather(*cancels)
        self._pending.discard(stream)
        _log.info(
            'Stream cancelled.',
            stream=stream,
            cause=cause,
            seconds=clock.now() - started_at,
        )
        on_confirmed()
        await asyncio.sleep(_SECOND_CANCEL_DELAY_S)
        await asyncio.gather(*(self._cancel_one(stream, e) for e in engines))

    async def _cancel_one(
        self, stream: ids.StreamId, name: ids.EngineName
    ) -> None:
        attempt = 0
        absent_count = 0
        while absent_count < MAX_ABSENT_ATTEMPTS:
            engine = self._find_engine(name)
            result = engine_client.CancelOutcome.ABSENT
            if engine is not None:
                result = await engine_client.cancel(
                    self._client, url_of(engine), stream
                )
            if result is engine_client.CancelOutcome.CONFIRMED:
                return
            is_absent = result is engine_client.CancelOutcome.ABSENT
            absent_count = absent_count + 1 if is_absent else 0
            attempt += 1
            await asyncio.sleep(retry.backoff(attempt, clock.RANDOM))


def url_of(engine: schema.Engine) -> str:
    """Return the base URL of an engine."""
    return f'http://{engine.address}:{engine.port}'
