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

from galenahatch import bounds
from galenahatch import clock
from galenahatch.core import upstreams
from galenahatch.core import versionaffinity
from galenahatch import errors
from galenahatch.gateway import follower as followers
from galenahatch.gateway import versionrows
from galenahatch.gateway import versionwrites
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import store as stores

TABLE: typing.Final = versionwrites.TABLE
_ABSENCE_S: typing.Final = 5.0
"""Seconds for which a row that was not found counts as absent."""
_log = logs.Log('versions')

ServiceVersion = tuple[ids.ServiceName, ids.SoftwareVersion]


class VersionHistory:
    """Versions of each service, as far as this gateway and the store know.

    Args:
        store: The platform's store.
        served: Versions in service, or recently.
        currency: Returns as of when the versions in service are known.
        is_used: Returns whether requests may be for a service. Engines may
            name any other, of which nothing is stored.
        max_row_bytes: Bytes of a row that the store takes.

    Attributes:
        read_at: Time at which the last reading of the rows began.
    """

    def __init__(
        self,
        store: stores.Store,
        served: versionaffinity.ServedVersions,
        currency: collections.abc.Callable[[], followers.Currency],
        is_used: collections.abc.Callable[
            [ids.ServiceName], bool
        ] = lambda name: True,
        max_row_bytes: int = bounds.ROW_BYTES,
    ) -> None:
        self._store = store
        self._is_used = is_used
        self._writer = versionwrites.RowWriter(store, max_row_bytes)
        self._served = served
        self._currency = currency
        self._rows: dict[ids.ServiceName, versionrows.Row] = {}
        self._numbers: dict[ids.ServiceName, int] = {}
        self._confirmed_at: dict[ids.ServiceName, float] = {}
        self._era: int | None = None
        self._clock = versionrows.StoreClock()
        self._first_seen: dict[ServiceVersion, float] = {}
        # Numbers of the invalid rows, by key.
        self._invalid: dict[str, int] = {}
        # Services whose row was in force when it was last read or written.
        self._vouched: set[ids.ServiceName] = set()
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
        """Return whether the row tells all versions that streams are of.

        It does as of when it was last read or written.
        """
        row = self._rows.get(service)
        if row is None or service not in self._vouched:
            return False
        return (
            now - self._clock.latest_at(row.known_ms)
            > versionaffinity.VERSION_RETENTION_S
        )

    def find_only(
        self, service: ids.ServiceName, now: float
    ) -> ids.SoftwareVersion | None:
        """Return the version that began all streams; None if not known.

        A version that serves, but isn't listed, has begun none.
        """
        if not self.knows_all(service, now):
            return None
        oldest = now - versionaffinity.VERSION_RETENTION_S
        listed = [
            version
            for version, left_ms in self._rows[service].left_ms.items()
            if left_ms < 0 or self._clock.latest_at(left_ms) >= oldest
        ]
        return listed[0] if len(listed) == 1 else None

    def knows_all_services(self, now: float) -> bool:
        """Return whether all versions of all services are known."""
        return all(self.knows_all(name, now) for name in self._names())

    def _names(self) -> list[ids.ServiceName]:
        """Return the services whose versions matter."""
        return [name for name in self._served.names() if self._is_used(name)]

    # Versions at which streams may begin.

    def usable(
        self, engines: collections.abc.Iterable[upstreams.Upstream]
    ) -> list[upstreams.Upstream]:
        """Return the engines at which streams may begin."""
        now = clock.now()
        return [
            engine
            for engine in engines
            if engine.is_version_known
            and (
                not engine.version
                or self._may_begin((engine.service, engine.version), now)
            )
        ]

    def unconfirmed(self) -> set[ServiceVersion]:
        """Return versions in service at which no stream may begin yet.

        Those that no row will list are left out.
        """
        now = clock.now()
        return {
            key
            for key in self._first_seen
            if self._is_used(key[0])
            and key[0] not in self._writer.oversized
            and not self._may_begin(key, now)
        }

    def needs_reading(self) -> bool:
        """Return whether a reading may let streams begin somewhere."""
        is_old = clock.now() - self.read_at > _ABSENCE_S / 2
        used = {name for name, _ in self._first_seen if self._is_used(name)}
        absent = used - self._rows.keys()
        return bool(self.unconfirmed()) or (is_old and bool(absent))

    def _may_begin(self, key: ServiceVersion, now: float) -> bool:
        first_seen = self._first_seen.get(key, now)
        return (
            now - first_seen > versionrows.LEASE_S
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
        self._clock = versionrows.StoreClock(
            began_at - rows.now_ms / 1000, now - rows.now_ms / 1000
        )
        self._rows, self._numbers = {}, {}
        for row in rows.rows:
            self._apply(row, rows.era, now)
        self._confirmed_at = dict.fromkeys(self._rows, began_at)
        self._era, self.read_at = rows.era, began_at
        self._check_rows(now)
        self._log_reading(rows, now)
        return True

    def _apply(self, stored: stores.Row, era: int, now: float) -> None:
        name = ids.ServiceName(stored.key)
        self._numbers[name] = stored.ver
        row = self._decode(stored, era, now)
        if row is None:
            return
        self._rows[name] = row
        for version, left_ms in row.left_ms.items():
            left_at = now
            if row.era == era and left_ms >= 0:
                left_at = min(now, self._clock.latest_at(left_ms))
            self._served.add_past(name, version, left_at)

    def _decode(
        self, stored: stores.Row, era: int, now: float
    ) -> versionrows.Row | None:
        """Return a row; log once if it is invalid."""
        now_ms = self._clock.latest_ms(now)
        row = versionrows.decode(stored.value, era, now_ms)
        if not isinstance(row, errors.Failure):
            self._invalid.pop(stored.key, None)
            return row
        if self._invalid.get(stored.key) != stored.ver:
            self._invalid[stored.key] = stored.ver
            _log.error(
                'Invalid version row.', key=stored.key, error=row.detail
            )
        return None

    def _check_rows(self, now: float) -> None:
        """Find the rows that are in force."""
        self._vouched = {
            name
            for name, row in self._rows.items()
            if self._is_in_force(row, now)
        }

    def _is_in_force(self, row: versionrows.Row, now: float) -> bool:
        now_ms = self._clock.latest_ms(now)
        return row.era == self._era and row.is_in_force(now_ms)

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
                    for name in self._names()
                    if not self.knows_all(name, now)
                )
            ),
        )

    async def save(self) -> bool:
        """Write rows that lack something; return if the store was called."""
        now = clock.now()
        self._check_rows(now)
        currency = self._currency()
        if not currency.is_current(now) or currency.era != self._era:
            return False
        changed = self._changed_rows(currency, now)
        if not changed:
            return False

        def record(
            written: versionwrites.Rows, result: stores.Committed
        ) -> bool:
            self._record_saved(written, result, now)
            return self.is_loaded

        if await self._writer.write(changed, self._numbers, record):
            # Another owner has written; its versions are added to these.
            await self.load()
        return True

    def _changed_rows(
        self, currency: followers.Currency, now: float
    ) -> dict[ids.ServiceName, versionrows.Row]:
        """Return the rows to write."""
        changed = {}
        for name in self._names():
            row = versionrows.Row(
                currency.era,
                self._left_ms(name, now),
                self._known_ms(name, currency.since, now),
                currency.store_ms,
            )
            fits = self._writer.fits(name, row)
            if fits and versionrows.must_write(self._rows.get(name), row):
                changed[name] = row
        return changed

    def _known_ms(
        self, service: ids.ServiceName, observed_since: float, now: float
    ) -> float:
        """Return since when a row may vouch for all streams; 0 for always.

        It vouches for no more than the one that it replaces. If that one has
        expired, it vouches for what this process has seen itself; if there is
        none, for what begins from now on: others may have used any version.

        Args:
            service: The service.
            observed_since: Time since which this process sees all versions.
            now: Monotonic time in seconds.
        """
        stored = self._rows.get(service)
        if stored is None:
            return self._clock.latest_ms(now)
        since = min(now, self._clock.latest_at(stored.known_ms))
        if not self._is_in_force(stored, now):
            since = max(since, observed_since)
        if now - since > versionaffinity.VERSION_RETENTION_S:
            return 0.0
        return self._clock.latest_ms(since)

    def _record_saved(
        self,
        changed: dict[ids.ServiceName, versionrows.Row],
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
        self._check_rows(began_at)

    def _left_ms(
        self, service: ids.ServiceName, now: float
    ) -> dict[ids.SoftwareVersion, float]:
        left_times = self._served.left_times(service, now)
        return {
            version: -1.0 if math.isinf(at) else self._clock.latest_ms(at)
            for version, at in left_times.items()
        }
