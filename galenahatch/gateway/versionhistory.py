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

"""The software versions that serve or served each service, in the store.

A gateway that has just started sees only the versions that serve now. Streams
may have begun at versions that have left since, so it reads which versions
other gateways have seen: a row for each service. Nothing else tells it; a row
that is missing, invalid or out of date says nothing about other versions.

A row is complete up to a time: it lists each version that had an entry in the
store by then, or had left less than `VERSION_RETENTION_S` before. The owner
writes it when a version appears or leaves, and renews it every few seconds.
The time is that of the last answer of its feed of entries, so an owner that
no longer follows the store can't vouch for anything.

Streams begin at a version only if one of these holds, so that no row vouches
for the absence of a version that is in use:

- A reading a moment ago found no row. Whoever writes the first one vouches
  for streams that begin later only.

- The store has confirmed, after the version appeared, that the row lists it
  as serving.
- It appeared more than `LEASE_S` ago. Each row that was complete up to a time
  after its entry was written lists it, and rows from before have expired.

So whoever reads a row less than `LEASE_S` after the time up to which it is
complete knows all versions at which streams may have begun. A row also counts
in its own era only: a store restored from an older copy may have lost a newer
one. Who reads any other row can't know all versions until every stream that
began before has ended.
"""

import collections.abc
import math
import typing

import msgspec

from galenahatch import clock
from galenahatch.core import upstreams
from galenahatch.core import versionaffinity
from galenahatch import errors
from galenahatch.gateway import follower as followers
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import store as stores

TABLE: typing.Final = 'service_versions'
LEASE_S: typing.Final = 20.0
"""Seconds for which a row vouches for the absence of other versions. It covers
the time in which all gateways may be down; for as long, a new version stays
unused if no row can be written."""
RENEWAL_INTERVAL_S: typing.Final = 5.0
_ABSENCE_S: typing.Final = 5.0
"""Seconds for which a row that was not found counts as absent."""
_log = logs.Log('versions')

ServiceVersion = tuple[ids.ServiceName, ids.SoftwareVersion]


class Row(msgspec.Struct, frozen=True):
    """Value of a service's row; times are of the store's clock.

    Attributes:
        era: Era of the store in which it was written.
        left_ms: When each version left; negative while it serves.
        known_ms: Time since which streams began only at these versions; 0 for
            any time.
        complete_ms: Time up to which all versions are listed; 0 for none, as
            in rows of older builds.
    """

    era: int
    left_ms: dict[ids.SoftwareVersion, float]
    known_ms: float = 0.0
    complete_ms: float = 0.0


class VersionHistory:
    """Versions of each service, as far as this gateway and the store know.

    Args:
        store: The platform's store.
        served: Versions in service, or recently.
        currency: Returns as of when the versions in service are known.

    Attributes:
        read_at: Time at which the last reading of the rows began.
    """

    def __init__(
        self,
        store: stores.Store,
        served: versionaffinity.ServedVersions,
        currency: collections.abc.Callable[[], followers.Currency],
    ) -> None:
        self._store = store
        self._served = served
        self._currency = currency
        self._rows: dict[ids.ServiceName, Row] = {}
        self._numbers: dict[ids.ServiceName, int] = {}
        self._confirmed_at: dict[ids.ServiceName, float] = {}
        self._era: int | None = None
        # Monotonic seconds that correspond to 0 of the store's clock.
        self._clock_offset = 0.0
        self._first_seen: dict[ServiceVersion, float] = {}
        # Of services without an engine and a row when rows were read.
        self._unlisted_since = math.inf
        self._known_since: dict[ids.ServiceName, float] = {}
        self.read_at = -math.inf

    @property
    def was_loaded(self) -> bool:
        """Whether the rows have been read since this process started."""
        return self._era is not None

    @property
    def is_loaded(self) -> bool:
        """Whether the rows of the store's present era have been read."""
        return self._era is not None and self._era == self._store.eras.newest

    def update(
        self,
        present: collections.abc.Mapping[
            ids.ServiceName, frozenset[ids.SoftwareVersion]
        ],
        now: float,
    ) -> None:
        """Record the versions of all engines that are listed."""
        self._served.update(present, now)
        seen = {(name, v) for name, found in present.items() for v in found}
        self._first_seen = {
            key: self._first_seen.get(key, now) for key in seen
        }

    def knows_all(self, service: ids.ServiceName, now: float) -> bool:
        """Return whether no stream can be of a version that is unknown."""
        since = self._known_since.get(service, self._unlisted_since)
        return now - since > versionaffinity.VERSION_RETENTION_S

    def knows_all_services(self, now: float) -> bool:
        """Return whether all versions of all services are known."""
        return all(self.knows_all(name, now) for name in self._served.names())

    # Versions at which streams may begin.

    def usable(
        self, engines: collections.abc.Iterable[upstreams.Upstream]
    ) -> list[upstreams.Upstream]:
        """Return the engines at which streams may begin."""
        now = clock.now()
        return [
            engine
            for engine in engines
            if not engine.version
            or self._may_begin((engine.service, engine.version), now)
        ]

    def unconfirmed(self) -> set[ServiceVersion]:
        """Return the versions in service at which no stream may begin yet."""
        now = clock.now()
        return {
            key for key in self._first_seen if not self._may_begin(key, now)
        }

    def needs_reading(self) -> bool:
        """Return whether a reading may let streams begin somewhere."""
        is_old = clock.now() - self.read_at > _ABSENCE_S / 2
        absent = {name for name, _ in self._first_seen} - self._rows.keys()
        return bool(self.unconfirmed()) or (is_old and bool(absent))

    def _may_begin(self, key: ServiceVersion, now: float) -> bool:
        first_seen = self._first_seen.get(key, now)
        return (
            now - first_seen > LEASE_S
            or self._is_confirmed(key, first_seen)
            or self._is_absent(key[0], now)
        )

    def _is_absent(self, service: ids.ServiceName, now: float) -> bool:
        """Return whether a service had no row a moment ago."""
        return (
            self.is_loaded
            and service not in self._numbers
            and now - self.read_at <= _ABSENCE_S
        )

    def _is_confirmed(self, key: ServiceVersion, first_seen: float) -> bool:
        """Return whether the row has listed a version since it appeared."""
        service, version = key
        row = self._rows.get(service)
        return (
            self.is_loaded
            and row is not None
            and row.left_ms.get(version, 0.0) < 0
            and self._confirmed_at[service] >= first_seen
        )

    # Rows of the store.

    async def load(self) -> bool:
        """Read the rows; return whether that succeeded."""
        began_at = clock.now()
        rows = await self._store.rows(TABLE)
        if isinstance(rows, errors.Failure):
            return False
        now = clock.now()
        self._clock_offset = now - rows.now_ms / 1000
        observed = self._observed_since(now)
        self._rows, self._numbers, self._confirmed_at = {}, {}, {}
        told = {
            ids.ServiceName(row.key): self._apply(row, rows, now)
            for row in rows.rows
        }
        for name in self._served.names() | told.keys():
            self._known_since[name] = min(
                self._known_since.get(name, self._unlisted_since),
                told.get(name, now),
                observed,
            )
        self._unlisted_since = min(self._unlisted_since, observed)
        self._confirmed_at = dict.fromkeys(self._rows, began_at)
        self._era, self.read_at = rows.era, began_at
        self._log_reading(rows, now)
        return True

    def _observed_since(self, now: float) -> float:
        """Return since when this process has seen all versions itself.

        What it knew before counts only if it hasn't missed changes since.
        """
        currency = self._currency()
        if not currency.is_current(now):
            currency = followers.Currency(since=now)
        if currency.since > self.read_at:
            self._known_since.clear()
            self._unlisted_since = math.inf
        return currency.since

    def _apply(
        self, stored: stores.Row, rows: stores.Rows, now: float
    ) -> float:
        """Add what a row tells; return since when it tells all versions."""
        name = ids.ServiceName(stored.key)
        self._numbers[name] = stored.ver
        try:
            row = msgspec.json.decode(stored.value, type=Row)
        except msgspec.MsgspecError as error:
            _log.error('Invalid version row.', key=name, error=str(error))
            return now
        self._rows[name] = row
        is_current = row.era == rows.era
        for version, left_ms in row.left_ms.items():
            left_at = now
            if is_current and left_ms >= 0:
                left_at = min(now, self._clock_offset + left_ms / 1000)
            self._served.add_past(name, version, left_at)
        if not is_current or not _is_in_force(row, rows.now_ms):
            return now
        if not row.known_ms:
            return -math.inf
        return self._clock_offset + row.known_ms / 1000

    def _log_reading(self, rows: stores.Rows, now: float) -> None:
        _log.info(
            'Service versions read.',
            era=rows.era,
            ver=rows.ver,
            versions=' '.join(
                f'{name}={",".join(sorted(row.left_ms))}'
                for name, row in self._rows.items()
            ),
            complete_before=' '.join(
                f'{name}={(rows.now_ms - row.complete_ms) / 1000:.1f}'
                for name, row in self._rows.items()
            ),
            in_doubt=' '.join(
                sorted(
                    name
                    for name in self._served.names()
                    if not self.knows_all(name, now)
                )
            ),
        )

    async def save(self) -> bool:
        """Write rows that lack something; return if the store was called."""
        now = clock.now()
        currency = self._currency()
        if not currency.is_current(now) or currency.era != self._era:
            return False
        changed = self._changed_rows(currency, now)
        if not changed:
            return False
        result = await self._store.transact(
            [
                stores.RowOperation(
                    TABLE, name, ver=self._numbers.get(name, 0)
                )
                for name in changed
            ],
            put=[
                stores.RowOperation(
                    TABLE, name, value=msgspec.json.encode(row)
                )
                for name, row in changed.items()
            ],
        )
        if isinstance(result, stores.Committed):
            self._record_saved(changed, result, now)
        elif isinstance(result, stores.Conflict):
            # Another owner has written; its versions are added to these.
            await self.load()
        else:
            _log.warning(
                'Could not store service versions yet.', detail=result.detail
            )
        return True

    def _changed_rows(
        self, currency: followers.Currency, now: float
    ) -> dict[ids.ServiceName, Row]:
        """Return the rows to write."""
        changed = {}
        for name in self._served.names():
            row = Row(
                currency.era,
                self._left_ms(name, now),
                self._known_ms(name, now),
                currency.store_ms,
            )
            if _must_write(self._rows.get(name), row):
                changed[name] = row
        return changed

    def _known_ms(self, service: ids.ServiceName, now: float) -> float:
        """Return since when a row may vouch for all streams; 0 for always.

        A row vouches for no more than the one that it replaces.
        """
        since = self._known_since.get(service, self._unlisted_since)
        stored = self._rows.get(service)
        if stored is None:
            since = now
        elif stored.known_ms:
            known_at = self._clock_offset + stored.known_ms / 1000
            since = max(since, known_at)
        if now - since > versionaffinity.VERSION_RETENTION_S:
            return 0.0
        return self._store_ms(min(since, now))

    def _record_saved(
        self,
        changed: dict[ids.ServiceName, Row],
        result: stores.Committed,
        began_at: float,
    ) -> None:
        for name, row in changed.items():
            known = self._rows.get(name)
            if known is None or known.left_ms.keys() != row.left_ms.keys():
                _log.info(
                    'Service versions stored.',
                    service=name,
                    versions=','.join(sorted(row.left_ms)),
                    era=result.era,
                    ver=result.ver,
                )
        self._rows |= changed
        self._numbers |= dict.fromkeys(changed, result.ver)
        self._confirmed_at |= dict.fromkeys(changed, began_at)
        # A row that a restored store got in the meantime names an earlier
        # era, so it is written again.
        if result.era != self._era:
            self._era = None

    def _left_ms(
        self, service: ids.ServiceName, now: float
    ) -> dict[ids.SoftwareVersion, float]:
        left_times = self._served.left_times(service, now)
        return {
            version: -1.0 if math.isinf(at) else self._store_ms(at)
            for version, at in left_times.items()
        }

    def _store_ms(self, at: float) -> float:
        return max(1.0, (at - self._clock_offset) * 1000)


def _is_in_force(row: Row, now_ms: float) -> bool:
    """Return whether a row lists all versions at which streams may begin."""
    return 0 < row.complete_ms <= now_ms < row.complete_ms + 1000 * LEASE_S


def _must_write(stored: Row | None, wanted: Row) -> bool:
    """Return whether a row must be written; times of leaving don't matter."""
    if stored is None:
        return bool(wanted.left_ms)
    if (
        stored.era != wanted.era
        or {v: at < 0 for v, at in stored.left_ms.items()}
        != {v: at < 0 for v, at in wanted.left_ms.items()}
        or bool(stored.known_ms) != bool(wanted.known_ms)
    ):
        return True
    age_ms = wanted.complete_ms - stored.complete_ms
    return bool(wanted.left_ms) and age_ms >= 1000 * RENEWAL_INTERVAL_S
