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

"""The versions that began streams, in the store.

While several versions serve, the owner writes the origins of streams in
batches, a row for each, and removes the rows whose streams have ended. Whoever
becomes the owner reads them, so streams go on at their version after the loss
of any number of gateways. A stream whose first event left since the last batch
is then unknown.

That a stream began at a version stays true, so origins of a store restored
from an older copy count. They may lack some, which are written again.
"""

import collections.abc
import typing

import msgspec

from galenahatch import bounds
from galenahatch import clock
from galenahatch.core import versionaffinity
from galenahatch import decoding
from galenahatch import errors
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import store as stores

TABLE: typing.Final = 'stream_origins'
SAVE_INTERVAL_S: typing.Final = 0.1
"""Least seconds between two writes."""
_MAX_BATCH_BYTES: typing.Final = 40000
"""Encoded origins of a row, unless the store takes less."""
_BATCH_OVERHEAD_BYTES: typing.Final = 256
_MAX_KEY_BYTES: typing.Final = 512
"""Longer keys, which only a caller can choose, are not stored."""
_MAX_STATED_SECONDS: typing.Final = 1e12
"""Longest time that a caller's header can state."""
_MAX_SECONDS_LEFT: typing.Final = 86400.0
"""Longer times are cut: they would keep their rows for ever."""
_MAX_ROWS_WRITTEN: typing.Final = 8
_MAX_ROWS_REMOVED: typing.Final = 64
_MAX_ROWS: typing.Final = 512
"""Rows kept; the oldest are removed first."""
_EXTENSION_S: typing.Final = 1.0
"""Seconds by which a later end of a stream may differ from the stored one."""
_log = logs.Log('versions')


class StoredOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Origin of a stream.

    Attributes:
        seconds_left: Seconds from the write until its caller doesn't return.
    """

    key: typing.Annotated[
        ids.StreamKey, msgspec.Meta(max_length=_MAX_KEY_BYTES)
    ]
    version: typing.Annotated[ids.SoftwareVersion, bounds.TEXT]
    seconds_left: typing.Annotated[
        float, msgspec.Meta(ge=-_MAX_STATED_SECONDS, le=_MAX_STATED_SECONDS)
    ]


class Batch(msgspec.Struct, frozen=True):
    """Value of a row.

    Attributes:
        era: Era of the store in which it was written.
        written_ms: Time of the store's clock.
    """

    era: bounds.Number
    written_ms: bounds.ClockMs
    origins: tuple[StoredOrigin, ...]


_DECODER: typing.Final = msgspec.json.Decoder(Batch)


def decode(data: bytes) -> Batch | errors.Failure:
    """Decode the value of a row."""
    return decoding.decode(
        _DECODER, data, errors.BAD_FRAME, max_bytes=bounds.ROW_BYTES
    )


class OriginLog:
    """Stores origins of streams while this gateway is the owner.

    Args:
        store: The platform's store.
        origins: Versions that began streams, as far as they are known here.
        writer: Prefix of the keys of this gateway's rows.
        max_row_bytes: Bytes of a row that the store takes.
    """

    def __init__(
        self,
        store: stores.Store,
        origins: versionaffinity.Origins,
        writer: str,
        max_row_bytes: int = bounds.ROW_BYTES,
    ) -> None:
        self._max_batch_bytes = min(
            _MAX_BATCH_BYTES, max_row_bytes - _BATCH_OVERHEAD_BYTES
        )
        self._store = store
        self._origins = origins
        self._writer = writer
        self._written_count = 0
        self._unsaved: dict[ids.StreamKey, None] = {}
        self._saved: dict[ids.StreamKey, versionaffinity.Origin] = {}
        # Time at which the last origin of each row expires, oldest first.
        self._rows: dict[str, float] = {}
        self._era: int | None = None
        self._clock_offset = 0.0
        self._owned_s = 0.0

    @property
    def is_loaded(self) -> bool:
        """Whether the rows of the store's present era have been read."""
        return self._era is not None and self._era == self._store.eras.newest

    @property
    def row_count(self) -> int:
        """Rows in the store, as far as this gateway knows."""
        return len(self._rows)

    def add(self, keys: collections.abc.Iterable[ids.StreamKey]) -> None:
        """Store origins with the next batch, unless they are stored."""
        for key in keys:
            origin, saved = self._origins.get(key), self._saved.get(key)
            if origin is None or (
                saved is not None
                and saved.version == origin.version
                and saved.expires_at + _EXTENSION_S > origin.expires_at
            ):
                continue
            self._unsaved[key] = None

    def record_owner(self, owned_s: float | None) -> None:
        """Forget what is stored if another gateway may have written meanwhile.

        Args:
            owned_s: Seconds for which this gateway is the owner, if it is.
        """
        if owned_s is not None and owned_s < self._owned_s:
            self.unload()
        self._owned_s = owned_s or 0.0

    def unload(self) -> None:
        """Forget what is stored, since another gateway writes now."""
        self._era = None
        self._unsaved.clear()
        self._saved.clear()
        self._rows.clear()

    async def load(self) -> bool:
        """Read all rows; return whether that succeeded."""
        rows = await self._store.rows(TABLE)
        if isinstance(rows, errors.Failure):
            return False
        now = clock.now()
        self.unload()
        self._clock_offset = now - rows.now_ms / 1000
        for row in rows.rows:
            self._apply(row, rows, now)
        self._era = rows.era
        _log.info(
            'Stream origins read.',
            era=rows.era,
            ver=rows.ver,
            rows=len(rows.rows),
            origins=len(self._saved),
        )
        return True

    def _apply(
        self, stored: stores.Row, rows: stores.Rows, now: float
    ) -> None:
        batch = decode(stored.value)
        if isinstance(batch, errors.Failure):
            _log.error('Invalid origins.', key=stored.key, error=batch.detail)
            self._rows[stored.key] = now
            return
        age = 0.0
        if batch.era == rows.era:
            age = max(0.0, (rows.now_ms - batch.written_ms) / 1000)
        last_at = now
        for origin in batch.origins:
            seconds_left = min(origin.seconds_left, _MAX_SECONDS_LEFT)
            expires_at = now + seconds_left - age
            if expires_at < now:
                continue
            self._origins.record(origin.key, origin.version, expires_at, now)
            self._saved[origin.key] = versionaffinity.Origin(
                origin.version, expires_at
            )
            last_at = max(last_at, expires_at)
        self._rows[stored.key] = last_at

    async def save(self, must_keep: bool) -> bool:
        """Write new origins, and remove expired rows.

        Args:
            must_keep: Whether streams may return to several versions;
                otherwise only rows are removed.

        Returns:
            Whether the store was called.
        """
        now = clock.now()
        self._prune(now)
        if not must_keep:
            self._unsaved.clear()
        batches = self._take_batches(now)
        expired = self._expired(now)
        if not batches and not expired:
            return False
        keys = [self._next_key() for _ in batches]
        result = await self._store.transact(
            put=[
                stores.RowOperation(
                    TABLE,
                    key,
                    value=msgspec.json.encode(
                        Batch(
                            self._era or 0,
                            (now - self._clock_offset) * 1000,
                            tuple(batch),
                        )
                    ),
                )
                for key, batch in zip(keys, batches, strict=True)
            ],
            remove=[stores.RowOperation(TABLE, key) for key in expired],
        )
        if isinstance(result, stores.Committed):
            self._record_saved(dict(zip(keys, batches, strict=True)), now)
            for key in expired:
                self._rows.pop(key, None)
            return True
        detail = getattr(result, 'detail', 'conflict')
        _log.warning('Could not store stream origins yet.', detail=detail)
        return True

    def _take_batches(self, now: float) -> list[list[StoredOrigin]]:
        """Return the origins to write, by row."""
        batches: list[list[StoredOrigin]] = []
        size = self._max_batch_bytes
        for key in list(self._unsaved):
            origin = self._stored_origin(key, now)
            length = len(msgspec.json.encode(origin)) + 1
            if origin is None or length > self._max_batch_bytes:
                del self._unsaved[key]
                continue
            size += length
            if size > self._max_batch_bytes:
                if len(batches) == _MAX_ROWS_WRITTEN:
                    break
                batches.append([])
                size = length
            batches[-1].append(origin)
        return batches

    def _stored_origin(
        self, key: ids.StreamKey, now: float
    ) -> StoredOrigin | None:
        """Return the origin to write for a key; None if it is not stored."""
        origin = self._origins.get(key)
        if origin is None or origin.expires_at <= now:
            return None
        if len(key.encode()) > _MAX_KEY_BYTES:
            return None
        seconds_left = min(origin.expires_at - now, _MAX_SECONDS_LEFT)
        return StoredOrigin(key, origin.version, seconds_left)

    def _record_saved(
        self, written: dict[str, list[StoredOrigin]], now: float
    ) -> None:
        for key, batch in written.items():
            for origin in batch:
                saved = versionaffinity.Origin(
                    origin.version, now + origin.seconds_left
                )
                self._saved[origin.key] = saved
                current = self._origins.get(origin.key)
                if current is None or current.version == origin.version:
                    self._unsaved.pop(origin.key, None)
            self._rows[key] = now + max(o.seconds_left for o in batch)

    def _expired(self, now: float) -> list[str]:
        """Return rows to remove: those that have expired, and excess ones."""
        expired = [key for key, at in self._rows.items() if at < now]
        excess = len(self._rows) - _MAX_ROWS
        if excess > 0:
            expired += [k for k in self._rows if k not in expired][:excess]
        return expired[:_MAX_ROWS_REMOVED]

    def _prune(self, now: float) -> None:
        if len(self._saved) > len(self._origins):
            self._saved = {
                key: origin
                for key, origin in self._saved.items()
                if origin.expires_at > now
            }

    def _next_key(self) -> str:
        self._written_count += 1
        return f'{self._writer}/{self._written_count:09d}'
