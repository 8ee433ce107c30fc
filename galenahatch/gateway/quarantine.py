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

"""Blocks requests that end upstreams, to protect the other upstreams.

If the connection of a send breaks soon after the upstream began the request,
the request may have ended the upstream. It has if connections to the address
are refused right afterwards: after a connection reset, a lost answer or a
network failure, the upstream still listens or doesn't respond at all. Gateways
exchange what they observe in heartbeats (`core/quarantine`). The owner writes
lasting entries into the store, from which gateways that start at the same time
load them.
"""

import asyncio
import collections.abc
import typing

import msgspec

from galenahatch import bounds
from galenahatch import clock
from galenahatch.core import quarantine
from galenahatch.core import upstreams
from galenahatch import decoding
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import instruments
from galenahatch.gateway import messages
from galenahatch.gateway import writeorder
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import store as stores

ROW_PREFIX: typing.Final = 'quarantine/'
"""Prefix of the keys of rows. They are in the table of gateways, whose feed
delivers them without extra calls."""
_SAVE_INTERVAL_S: typing.Final = 0.5
"""Seconds between two writes of changes to the store."""
_MAX_ROWS_PER_TRANSACTION: typing.Final = 16
"""Limits the written rows, and the removed rows, of one round."""
_ROW_BYTES: typing.Final = 1024
"""More than an entry has; only sums of it matter."""
_log = logs.Log('quarantine')


RefusesConnections = collections.abc.Callable[
    [upstreams.Upstream], collections.abc.Awaitable[bool]
]
Announce = collections.abc.Callable[[tuple[messages.Suspicion, ...]], None]


class Entry(msgspec.Struct, frozen=True):
    """Value of a request's row in the store.

    Attributes:
        ends: Numbers of the upstreams that ended while processing it.
        released: Whether it ran to completion or an operator released it.
    """

    ends: tuple[bounds.Number, ...] = ()
    released: bool = False


_DECODER: typing.Final = msgspec.json.Decoder(Entry)


def decode(row: stores.Row) -> Entry | None:
    """Decode a row; return None if it is invalid.

    The digest in its key is compared only, and the store bounds its length.
    """
    entry = decoding.decode(
        _DECODER, row.value, errors.BAD_FRAME, max_bytes=bounds.ROW_BYTES
    )
    if isinstance(entry, errors.Failure):
        _log.error('Invalid quarantine row.', key=row.key, error=entry.detail)
        return None
    return entry


class Guard:
    """Applies the quarantine to the requests of this gateway.

    Args:
        refuses_connections: Returns whether an upstream has stopped to
            listen.
        store: Store for lasting entries.
        table: Table of their rows.

    Attributes:
        announce: Function that sends changes to other gateways at once, since
            heartbeats are infrequent with many gateways.
    """

    def __init__(
        self,
        refuses_connections: RefusesConnections,
        store: stores.Store,
        table: str,
    ) -> None:
        self._refuses_connections = refuses_connections
        self._store = store
        self._table = table
        self._quarantine = quarantine.Quarantine()
        self._blocked: frozenset[ids.RequestDigest] = frozenset()
        self._blocked_parts: frozenset[frozenset[ids.PromptPart]] = frozenset()
        self._stored: dict[ids.RequestDigest, Entry] = {}
        self._order = writeorder.WriteOrder[ids.RequestDigest]()
        self.announce: Announce = lambda suspicions: None

    # Checks and reports of requests.

    def is_blocked(self, call: calls.Call) -> bool:
        """Return whether a request must not be sent to upstreams."""
        if self._blocked and call.digest in self._blocked:
            return True
        return bool(self._blocked_parts) and bool(self._harmful_parts(call))

    def _harmful_parts(self, call: calls.Call) -> list[ids.PromptPart]:
        """Return the parts of a prompt for which a request is blocked."""
        parts = frozenset(call.shared_parts)
        held = (sorted(h) for h in self._blocked_parts if h <= parts)
        return next(held, [])

    def is_suspect(self, call: calls.Call) -> bool:
        """Return whether an upstream recently ended during a request."""
        return not self._quarantine.is_empty and self._quarantine.is_suspect(
            call.digest, call.shared_parts
        )

    def failure(self, call: calls.Call) -> errors.Failure:
        """Return the failure for the caller of a blocked request."""
        key = next(iter(self._harmful_parts(call)), call.digest)
        ends = self._quarantine.ends(key)
        detail = f'{ends} engines ended; digest {key}'
        return errors.Failure(errors.ENDS_ENGINES, detail)

    async def record_cut(
        self, call: calls.Call, upstream: upstreams.Upstream
    ) -> None:
        """Record that a send broke off soon after the upstream began it."""
        if not await self._refuses_connections(upstream):
            return
        parts = call.shared_parts
        self._quarantine.record_end(
            call.digest, upstream.id, clock.now(), parts
        )
        instruments.upstream_ends.add(1)
        _log.warning(
            'Upstream ended under a request.',
            request=call.id,
            upstream=upstream.id,
            digest=call.digest,
            ends=self._quarantine.ends(call.digest),
            parts=' '.join(
                f'{part}={self._quarantine.ends(part)}' for part in parts
            ),
        )
        self._update_blocked()
        self.announce(self.suspicions())

    def record_completion(self, call: calls.Call) -> None:
        """Record that a request ran to completion."""
        if self._quarantine.record_success(
            call.digest, clock.now(), call.shared_parts
        ):
            _log.info('Request cleared.', request=call.id, digest=call.digest)
            self._update_blocked()
            self.announce(self.suspicions())

    # Exchange with other gateways.

    def suspicions(self) -> tuple[messages.Suspicion, ...]:
        """Return the suspicions for a heartbeat or a reply to one."""
        if self._quarantine.is_empty:
            return ()
        return tuple(
            messages.Suspicion(item.digest, item.ends, item.age, item.cleared)
            for item in self._quarantine.make_reports(clock.now())
        )

    def merge(
        self, suspicions: collections.abc.Iterable[messages.Suspicion]
    ) -> None:
        """Merge suspicions of another gateway."""
        self._merge(
            quarantine.Suspicion(
                item.digest, item.ends, item.age, item.cleared
            )
            for item in suspicions
        )

    def _merge(
        self, suspicions: collections.abc.Iterable[quarantine.Suspicion]
    ) -> None:
        has_news = self._quarantine.merge(suspicions, clock.now())
        self._update_blocked()
        if has_news:
            self.announce(self.suspicions())

    def _update_blocked(self) -> None:
        """Update the blocked requests, and log the changes."""
        blocked, parts = self._quarantine.held, self._quarantine.held_parts
        if blocked == self._blocked and parts == self._blocked_parts:
            return
        for held in parts - self._blocked_parts:
            _log.warning(
                'Prompt parts held back.', parts=' '.join(sorted(held))
            )
        for held in self._blocked_parts - parts:
            _log.info(
                'Prompt parts let through again.', parts=' '.join(sorted(held))
            )
        self._blocked_parts = parts
        for digest in blocked - self._blocked:
            ends = self._quarantine.ends(digest)
            _log.warning('Request held back.', digest=digest, ends=ends)
        for digest in self._blocked - blocked:
            _log.info('Request let through again.', digest=digest)
        self._blocked = blocked
        self.announce(self.suspicions())

    # Persistent entries.

    def begin_snapshot(self) -> None:
        """Prepare for a new list of all stored rows.

        A store restored from an older copy may have lost rows, which the
        owner writes again.
        """
        self._stored.clear()

    def apply_row(self, row: stores.Row) -> None:
        """Apply a row of the store.

        A removed row had expired at the owner, and expires here as well. Rows
        of other kinds are ignored.
        """
        if not row.key.startswith(ROW_PREFIX):
            return
        digest = ids.RequestDigest(row.key.removeprefix(ROW_PREFIX))
        if row.removed:
            self._stored.pop(digest, None)
            return
        stored = decode(row)
        if stored is None:
            return
        self._stored[digest] = stored
        self._merge(
            [
                quarantine.Suspicion(
                    digest, stored.ends, cleared=stored.released
                )
            ]
        )

    async def run(self, is_owner: collections.abc.Callable[[], bool]) -> None:
        """Discard expired entries, and store lasting ones.

        Args:
            is_owner: Function that returns whether this gateway is the owner,
                which writes rows.
        """
        while True:
            self._quarantine.prune(clock.now())
            self._update_blocked()
            if is_owner():
                await self._save()
            await asyncio.sleep(_SAVE_INTERVAL_S)

    async def _save(self) -> None:
        """Write new entries to the store, and remove expired ones."""
        new, expired = self._unsaved()
        if not new and not expired:
            return
        sizes = dict.fromkeys([*new, *expired], _ROW_BYTES)
        for group in self._order.groups(sizes):
            result = await self._store.transact(
                put=[
                    stores.RowOperation(
                        self._table,
                        ROW_PREFIX + digest,
                        value=msgspec.json.encode(new[digest]),
                    )
                    for digest in group
                    if digest in new
                ],
                remove=[
                    stores.RowOperation(self._table, ROW_PREFIX + digest)
                    for digest in group
                    if digest not in new
                ],
            )
            if not isinstance(result, stores.Committed):
                self._order.record_failure(group)
                _log.warning(
                    'Could not store quarantine entries yet.',
                    rows=len(group),
                )
                return
            self._order.record_success(group)
            for digest in group:
                if digest in new:
                    self._stored[digest] = new[digest]
                else:
                    self._stored.pop(digest, None)

    def _unsaved(
        self,
    ) -> tuple[dict[ids.RequestDigest, Entry], list[ids.RequestDigest]]:
        """Return rows to write and remove in one round."""
        lasting = {
            item.digest: Entry(item.ends, item.cleared)
            for item in self._quarantine.persistent_records(clock.now())
        }
        new = [
            (digest, entry)
            for digest, entry in lasting.items()
            if self._stored.get(digest) != entry
        ]
        expired = [digest for digest in self._stored if digest not in lasting]
        return dict(new[:_MAX_ROWS_PER_TRANSACTION]), expired[
            :_MAX_ROWS_PER_TRANSACTION
        ]
