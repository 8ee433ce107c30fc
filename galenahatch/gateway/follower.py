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

"""Feeds of the store's tables.

A feed brings changes as they are made; when the store has dropped the
history that a feed needs, or has come back from an older copy, the table is
read again. A restore is known by the era of an answer: the numbers that are
given out again may have passed those that the feed knows.

While the store does not answer, one feed of this gateway asks whether it is
back and the others wait for it. Gateways that others would tell of changes
ask less often the more of them there are: together they still ask several
times a second. Eighty that asked with each feed made 4,000 calls in eight
seconds, each of them paid for, and a load on a store that was coming back.
"""

import asyncio
import collections.abc
import random
import typing

from galenahatch import clock
from galenahatch.core import versions
from galenahatch import errors
from galenahatch.gateway import instruments
from galenahatch import logs
from galenahatch.platform import store as stores

LONG_POLL_S: typing.Final = 3.0
"""Seconds for which a feed call waits at the store. Calls are paid for; but
a call that began when the store fell silent ends only then, and a change
must be in force about five seconds after the store is back."""
_MIN_RETRY_DELAY_S: typing.Final = 0.15
MAX_RETRY_DELAY_S: typing.Final = 0.8
"""Seconds between tries while the store fails: each refused call is paid
for, and a configuration must be in force about two seconds after the store
is back."""
BATCH_DELAY_S: typing.Final = 0.2
"""Seconds between two calls of a feed that brings changes: those that come
close together, as when all upstreams start, cost one call. A tenth of the
shortest bound on a change."""
_IDLE_CHECK_INTERVAL_S: typing.Final = 0.25
_log = logs.Log('directory')

_JITTER_RANGE: typing.Final = (0.7, 1.3)

RowsCallback = collections.abc.Callable[
    [list[stores.Row], versions.Version], None
]


class Outage:
    """What the feeds of a gateway know of a store that does not answer.

    Attributes:
        longest_pause: tells the seconds between two questions at the most.
    """

    def __init__(self) -> None:
        self._probing_feed: Follower | None = None
        self._delay = 0.0
        self._ended = asyncio.Event()
        self.max_retry_delay: collections.abc.Callable[[], float] = lambda: (
            MAX_RETRY_DELAY_S
        )

    async def wait_to_retry(self, feed: 'Follower') -> None:
        """Return when a feed whose call failed should call again."""
        if self._probing_feed not in (None, feed):
            await self._wait_for_probing_feed()
            return
        self._probing_feed = feed
        longest = self.max_retry_delay()
        self._delay = min(max(_MIN_RETRY_DELAY_S, 2 * self._delay), longest)
        await asyncio.sleep(self._delay * random.uniform(*_JITTER_RANGE))

    def record_answer(self, feed: 'Follower') -> None:
        """Note that a feed's call was answered, or that it calls no more."""
        if self._probing_feed is not feed:
            return
        self._probing_feed = None
        self._delay = 0.0
        self._ended.set()
        self._ended = asyncio.Event()

    async def _wait_for_probing_feed(self) -> None:
        # Only a part of the store may be away: not for ever.
        try:
            async with asyncio.timeout(2 * self.max_retry_delay()):
                await self._ended.wait()
        except asyncio.TimeoutError:
            return


class Follower:
    """Follows one table of the store.

    Args:
        store: to read.
        outage: shared by all feeds of the gateway.
        table: its name.
        take_all: called with all rows after a reading.
        take_some: called with the rows that changed.
        gather: seconds between two calls that bring changes.
        idle: whether peers tell what the feed would.
    """

    def __init__(
        self,
        store: stores.Store,
        outage: Outage,
        table: str,
        on_all_rows: RowsCallback,
        on_changed_rows: RowsCallback,
        batch_delay: float = BATCH_DELAY_S,
        is_idle: collections.abc.Callable[[], bool] = lambda: False,
    ) -> None:
        self._batch_delay = batch_delay
        self._is_idle = is_idle
        self._store = store
        self._outage = outage
        self._table = table
        self._on_all_rows = on_all_rows
        self._on_changed_rows = on_changed_rows
        self._version = versions.OLDEST
        self._is_failing = False
        self._failed_at = 0.0
        self.last_answer_at = -1e9

    @property
    def version(self) -> versions.Version:
        """Version of the store up to which the table was read."""
        return self._version

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            while self._version != versions.OLDEST and self._is_idle():
                self._outage.record_answer(self)
                await asyncio.sleep(_IDLE_CHECK_INTERVAL_S)
            found = await self._read()
            if isinstance(found, errors.Failure):
                await self._record_failure(found)
                continue
            self._record_success()
            if found.rows:
                await asyncio.sleep(self._batch_delay)

    async def _read(self) -> stores.Rows | errors.Failure:
        if self._version == versions.OLDEST:
            return await self._read_all()
        # After a failure, ask whether the store is back, and do not wait.
        wait = 0.0 if self._is_failing else LONG_POLL_S
        after = self._version.number
        found = await self._store.changes(self._table, after, wait)
        if isinstance(found, errors.Failure):
            if found.reason is errors.HISTORY_GONE:
                _log.info('History gone, reading again.', table=self._table)
                self._version = versions.OLDEST
            return found
        if found.era != self._version.era:
            _log.info(
                'Store restored, reading again.',
                table=self._table,
                before=self._version.era,
                era=found.era,
            )
            return await self._read_all()
        self._version = max(self._version, found.version)
        if found.rows:
            self._on_changed_rows(found.rows, found.version)
        return found

    async def _read_all(self) -> stores.Rows | errors.Failure:
        found = await self._store.rows(self._table)
        if not isinstance(found, errors.Failure):
            self._version = found.version
            self._on_all_rows(found.rows, found.version)
        return found

    def _record_success(self) -> None:
        if self._is_failing:
            _log.info(
                'Store regained.',
                table=self._table,
                away=clock.now() - self._failed_at,
            )
        self._is_failing = False
        self._outage.record_answer(self)
        self.last_answer_at = clock.now()

    async def _record_failure(self, failure: errors.Failure) -> None:
        if failure.reason is errors.HISTORY_GONE:
            return
        if not self._is_failing:
            self._is_failing = True
            self._failed_at = clock.now()
            instruments.store_losses.add(1)
            _log.warning(
                'Store lost.',
                table=self._table,
                reason=failure.reason.name,
                detail=failure.detail,
            )
        await self._outage.wait_to_retry(self)
