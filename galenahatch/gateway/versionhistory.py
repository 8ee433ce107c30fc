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
other gateways have seen. The owner writes one row for each service when a
version appears or leaves, and places no stream at a version before its row is
written, unless that takes too long.

A row counts in the era of the store in which it was written: a store restored
from an older copy may have lost a newer row. Whoever reads a row of an earlier
era, or none although the store was restored, can't know all versions until
every stream that began before has ended.
"""

import collections.abc
import math
import typing

import msgspec

from galenahatch import clock
from galenahatch.core import upstreams
from galenahatch.core import versionaffinity
from galenahatch import errors
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import store as stores

TABLE: typing.Final = 'service_versions'
_FIRST_ERA: typing.Final = 1
"""Newest era in which the store has not been restored."""
_MAX_UNSTORED_S: typing.Final = 1.0
"""Seconds after which a version is used though its row can't be written."""
_log = logs.Log('versions')


class Row(msgspec.Struct, frozen=True):
    """Value of a service's row; times are of the store's clock.

    Attributes:
        era: Era of the store in which it was written.
        left_ms: When each version left; negative while it serves.
        known_ms: Time since which all versions are known; 0 for any time.
    """

    era: int
    left_ms: dict[ids.SoftwareVersion, float]
    known_ms: float = 0.0


class VersionHistory:
    """Versions of each service, as far as this gateway and the store know.

    Args:
        store: The platform's store.
        served: Versions in service, or recently.
    """

    def __init__(
        self, store: stores.Store, served: versionaffinity.ServedVersions
    ) -> None:
        self._store = store
        self._served = served
        self._rows: dict[ids.ServiceName, Row] = {}
        self._numbers: dict[ids.ServiceName, int] = {}
        self._era: int | None = None
        # Monotonic seconds that correspond to 0 of the store's clock.
        self._clock_offset = 0.0
        self._first_seen: dict[
            tuple[ids.ServiceName, ids.SoftwareVersion], float
        ] = {}
        self._observed_since = math.inf
        # Of services that had no engine and no row when rows were read.
        self._unlisted_since = math.inf
        self._known_since: dict[ids.ServiceName, float] = {}

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
        self._observed_since = min(self._observed_since, now)
        seen = {(name, v) for name, found in present.items() for v in found}
        self._first_seen = {
            key: self._first_seen.get(key, now) for key in seen
        }

    def knows_all(self, service: ids.ServiceName, now: float) -> bool:
        """Return whether no stream can be of a version that is unknown."""
        return now - self._since(service) > versionaffinity.VERSION_RETENTION_S

    def knows_all_services(self, now: float) -> bool:
        """Return whether all versions of all services are known."""
        return all(self.knows_all(name, now) for name in self._served.names())

    def usable(
        self, engines: collections.abc.Iterable[upstreams.Upstream]
    ) -> list[upstreams.Upstream]:
        """Return engines that may get streams; all if no version is stored."""
        found = list(engines)
        now = clock.now()
        stored = [e for e in found if self._is_stored(e, now)]
        return stored or found

    def _is_stored(self, engine: upstreams.Upstream, now: float) -> bool:
        key = engine.service, engine.version
        if not engine.version or key not in self._first_seen:
            return True
        row = self._rows.get(engine.service)
        if row is not None and engine.version in row.left_ms:
            return True
        return now - self._first_seen[key] > _MAX_UNSTORED_S

    # Rows of the store.

    async def load(self) -> bool:
        """Read the rows; return whether that succeeded."""
        rows = await self._store.rows(TABLE)
        if isinstance(rows, errors.Failure):
            return False
        now = clock.now()
        self._clock_offset = now - rows.now_ms / 1000
        self._rows, self._numbers = {}, {}
        for row in rows.rows:
            self._apply(row, rows.era, now)
        since = _since_without_row(rows.era, now)
        for name in self._served.names() - self._numbers.keys():
            self._record_known(name, since)
        self._unlisted_since = min(self._unlisted_since, since)
        self._era = rows.era
        _log.info(
            'Service versions read.',
            era=rows.era,
            ver=rows.ver,
            versions=' '.join(
                f'{name}={",".join(sorted(row.left_ms))}'
                for name, row in self._rows.items()
            ),
        )
        return True

    def _apply(self, stored: stores.Row, era: int, now: float) -> None:
        name = ids.ServiceName(stored.key)
        self._numbers[name] = stored.ver
        try:
            row = msgspec.json.decode(stored.value, type=Row)
        except msgspec.MsgspecError as error:
            _log.error('Invalid version row.', key=name, error=str(error))
            self._record_known(name, now)
            return
        self._rows[name] = row
        is_current = row.era == era
        for version, left_ms in row.left_ms.items():
            left_at = now
            if is_current and left_ms >= 0:
                left_at = min(now, self._clock_offset + left_ms / 1000)
            self._served.add_past(name, version, left_at)
        since = -math.inf if not row.known_ms else row.known_ms / 1000
        since = since + self._clock_offset if is_current else now
        self._record_known(name, since)

    def _record_known(self, service: ids.ServiceName, since: float) -> None:
        self._known_since[service] = min(self._since(service), since)

    def _since(self, service: ids.ServiceName) -> float:
        """Return the time since which all versions of a service are known."""
        unlisted = min(self._unlisted_since, self._observed_since)
        return self._known_since.get(service, unlisted)

    async def save(self) -> bool:
        """Write rows that lack something; return if the store was called."""
        now = clock.now()
        wanted = {name: self._row(name, now) for name in self._served.names()}
        changed = {
            name: row
            for name, row in wanted.items()
            if _differs(self._rows.get(name), row)
        }
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
            self._record_saved(changed, result)
        elif isinstance(result, stores.Conflict):
            # Another owner has written; its versions are added to these.
            await self.load()
        else:
            _log.warning(
                'Could not store service versions yet.', detail=result.detail
            )
        return True

    def _record_saved(
        self,
        changed: dict[ids.ServiceName, Row],
        result: stores.Committed,
    ) -> None:
        self._rows |= changed
        self._numbers |= dict.fromkeys(changed, result.ver)
        for name, row in changed.items():
            _log.info(
                'Service versions stored.',
                service=name,
                versions=','.join(sorted(row.left_ms)),
                era=result.era,
                ver=result.ver,
            )

    def _row(self, service: ids.ServiceName, now: float) -> Row:
        return Row(
            self._era or 0,
            {
                version: -1.0 if math.isinf(at) else self._store_ms(at)
                for version, at in self._served.left_times(
                    service, now
                ).items()
            },
            0.0
            if self.knows_all(service, now)
            else self._store_ms(self._since(service)),
        )

    def _store_ms(self, at: float) -> float:
        return max(1.0, (at - self._clock_offset) * 1000)


def _differs(stored: Row | None, wanted: Row) -> bool:
    """Return whether a row must be written; times alone don't matter."""
    if stored is None:
        return bool(wanted.left_ms)
    return (
        stored.era != wanted.era
        or {v: at < 0 for v, at in stored.left_ms.items()}
        != {v: at < 0 for v, at in wanted.left_ms.items()}
        or bool(stored.known_ms) != bool(wanted.known_ms)
    )


def _since_without_row(era: int, now: float) -> float:
    """Return since when versions are known of a service without a row.

    In a store that was never restored, its first engines are new.
    """
    return -math.inf if era <= _FIRST_ERA else now
