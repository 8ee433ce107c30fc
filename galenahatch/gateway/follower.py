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

A feed delivers changes as they are made. When the store no longer has the
history that a feed needs, or was restored from an older copy, the whole table
is read again. A restore is detected by the era of an answer: reissued version
numbers may already exceed those that the feed knows.

While the store doesn't answer, one feed of each gateway probes it and the
others wait. Gateways that get changes from peers probe less often the more of
them there are; together they still probe several times a second. With every
feed probing, 80 gateways made 4,000 calls in eight seconds, all of them
charged, and loaded a recovering store.
"""

import asyncio
import collections.abc
import dataclasses
import math
import random
import typing

from galenahatch import clock
from galenahatch.core import versions
from galenahatch import errors
from galenahatch.gateway import instruments
from galenahatch import logs
from galenahatch.platform import store as stores

LONG_POLL_S: typing.Final = 3.0
"""Most seconds that a long poll waits for changes. A longer wait needs fewer
calls, which are charged, but a call that was pending when the store went
silent ends only after it, and a change must be in force about five seconds
after the store recovers."""
_MIN_POLL_S: typing.Final = 0.5
_READ_S: typing.Final = 0.2
"""Seconds for a read over a new connection, with a margin."""
_PEERS_S: typing.Final = 0.6
"""Seconds until peers know a change: a heartbeat tells that there is one, and
they ask for it."""
_MIN_RETRY_DELAY_S: typing.Final = 0.15
MAX_RETRY_DELAY_S: typing.Final = 0.8
"""Longest delay between retries while the store fails. Refused calls are
charged, and a configuration must be in force about two seconds after the
store recovers."""
BATCH_DELAY_S: typing.Final = 0.2
"""Seconds before the next call after changes, so that a burst, such as the
start of all upstreams, costs one call. A tenth of the shortest time limit for
a change to take effect."""
_IDLE_CHECK_INTERVAL_S: typing.Final = 0.25
MAX_ANSWER_GAP_S: typing.Final = LONG_POLL_S + 1.0
"""Seconds between two answers beyond which a table is not followed."""
_log = logs.Log('directory')

_JITTER_RANGE: typing.Final = (0.7, 1.3)


def poll_wait(contact: float, feeds_peers: bool) -> float:
    """Return the seconds that a poll waits, so that its silence shows in time.

    A connection may go silent for good, without an error. A poll that waits on
    it hears of no change, and only its own time limit ends it.

    Args:
        contact: Seconds of silence after which changes are to be known.
        feeds_peers: Whether peers learn of them from this gateway.
    """
    retry = _MIN_RETRY_DELAY_S * _JITTER_RANGE[1]
    spent = stores.FEED_MARGIN_S + retry + _READ_S
    if feeds_peers:
        spent += _PEERS_S
    return min(LONG_POLL_S, max(_MIN_POLL_S, contact - spent))


RowsCallback = collections.abc.Callable[
    [list[stores.Row], versions.Version], None
]


@dataclasses.dataclass(frozen=True)
class Currency:
    """As of when a table is known, from the last answer of its feed.

    Attributes:
        at: Time of the last answer, in monotonic seconds.
        since: Time since which answers have come without a gap.
        store_ms: The same moment as `at` on the store's clock.
        era: Era of the store.
    """

    at: float = -1e9
    since: float = math.inf
    store_ms: float = 0.0
    era: int = 0

    def is_current(self, now: float) -> bool:
        """Return whether the table is being followed."""
        return now - self.at <= MAX_ANSWER_GAP_S

    def advanced(self, answer: stores.Rows, now: float) -> 'Currency':
        """Return the currency after an answer."""
        since = self.since if self.is_current(now) else now
        return Currency(now, since, answer.now_ms, answer.era)


class Outage:
    """Coordinates the retries of a gateway's feeds during a store outage.

    Attributes:
        max_retry_delay: Function that returns the most seconds between two
            probes.
    """

    def __init__(self) -> None:
        self._probing_feed: Follower | None = None
        self._delay = 0.0
        self._ended = asyncio.Event()
        self.max_retry_delay: collections.abc.Callable[[], float] = lambda: (
            MAX_RETRY_DELAY_S
        )

    async def wait_to_retry(self, feed: 'Follower') -> None:
        """Wait until a feed whose call failed should retry."""
        if self._probing_feed not in (None, feed):
            await self._wait_for_probing_feed()
            return
        self._probing_feed = feed
        max_delay = self.max_retry_delay()
        self._delay = min(max(_MIN_RETRY_DELAY_S, 2 * self._delay), max_delay)
        await asyncio.sleep(self._delay * random.uniform(*_JITTER_RANGE))

    def record_answer(self, feed: 'Follower') -> None:
        """Record that a feed's call was answered, or that it is now idle."""
        if self._probing_feed is not feed:
            return
        self._probing_feed = None
        self._delay = 0.0
        self._ended.set()
        self._ended = asyncio.Event()

    async def _wait_for_probing_feed(self) -> None:
        # Wait with a timeout, since only part of the store may be failing.
        try:
            async with asyncio.timeout(2 * self.max_retry_delay()):
                await self._ended.wait()
        except asyncio.TimeoutError:
            return


class Follower:
    """Follows the changes of one table of the store.

    Args:
        store: Store to read.
        outage: State shared by all feeds of the gateway.
        table: Name of the table.
        on_all_rows: Callback with all rows after a full read.
        on_changed_rows: Callback with the rows that changed.
        batch_delay: Seconds to wait before the next call after changes.
        is_idle: Whether peers deliver the changes, so that no call is needed.
        poll_wait: Returns the seconds that a poll waits for changes.

    Attributes:
        currency: As of when the table is known.
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
        poll_wait: collections.abc.Callable[[], float] = lambda: LONG_POLL_S,
    ) -> None:
        self._poll_wait = poll_wait
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
        self.currency = Currency()

    @property
    def version(self) -> versions.Version:
        """Version of the store as of which the table was read."""
        return self._version

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            while self._version != versions.OLDEST and self._is_idle():
                self._outage.record_answer(self)
                await asyncio.sleep(_IDLE_CHECK_INTERVAL_S)
            result = await self._read()
            if isinstance(result, errors.Failure):
                await self._record_failure(result)
                continue
            self._record_success(result)
            if result.rows:
                await asyncio.sleep(self._batch_delay)

    async def _read(self) -> stores.Rows | errors.Failure:
        if self._version == versions.OLDEST:
            return await self._read_all()
        # After a failure, probe the store with a call that returns at once.
        wait = 0.0 if self._is_failing else self._poll_wait()
        after = self._version.number
        result = await self._store.changes(self._table, after, wait)
        if isinstance(result, errors.Failure):
            if result.reason is errors.HISTORY_GONE:
                _log.info(
                    'Store history expired; reading the whole table.',
                    table=self._table,
                )
                self._version = versions.OLDEST
            return result
        if result.era != self._version.era:
            _log.info(
                'Store restored; reading the whole table.',
                table=self._table,
                before=self._version.era,
                era=result.era,
            )
            return await self._read_all()
        self._version = max(self._version, result.version)
        if result.rows:
            self._on_changed_rows(result.rows, result.version)
        return result

    async def _read_all(self) -> stores.Rows | errors.Failure:
        result = await self._store.rows(self._table)
        if not isinstance(result, errors.Failure):
            self._version = result.version
            self._on_all_rows(result.rows, result.version)
        return result

    @property
    def last_answer_at(self) -> float:
        """Time of the last successful call."""
        return self.currency.at

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._is_failing

    def _record_success(self, answer: stores.Rows) -> None:
        if self._is_failing:
            _log.info(
                'Store connection recovered.',
                table=self._table,
                away=clock.now() - self._failed_at,
            )
        self._is_failing = False
        self._outage.record_answer(self)
        self.currency = self.currency.advanced(answer, clock.now())

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
