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

"""Keeps requests that end upstreams from the upstreams that are left.

A send whose connection breaks off under a request that had just begun may
have ended its upstream. It has if nobody listens at its address right after:
a connection that was reset, an answer that was lost or a way that was cut
leave an upstream that still listens, or one that says nothing at all. What
is seen is told to the other gateways with the beats (`core/quarantine`), and
the owner writes what must last into the store, where gateways that start
together find it.
"""

import asyncio
import collections.abc
import typing

import msgspec

from galenahatch import clock
from galenahatch.core import quarantine
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import instruments
from galenahatch.gateway import messages
from galenahatch.gateway import sender as senders
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import store as stores

ROW_PREFIX: typing.Final = 'quarantine/'
"""Of the keys of rows. They stand in the table of the gateways, whose feed
brings them without a call of their own."""
_SAVE_INTERVAL_S: typing.Final = 0.5
_MAX_ROWS_PER_TRANSACTION: typing.Final = 16
"""Rows in one transaction."""
_log = logs.Log('quarantine')


Announce = collections.abc.Callable[[tuple[messages.Suspicion, ...]], None]


class Entry(msgspec.Struct, frozen=True):
    """A row in the store.

    Attributes:
        ends: numbers of the upstreams that ended under the request.
        released: whether it ran whole, or an operator lets it through.
    """

    ends: tuple[int, ...] = ()
    released: bool = False


def decode(row: stores.Row) -> Entry | None:
    """Return what a row tells; None if it can't be read."""
    try:
        return msgspec.json.decode(row.value, type=Entry)
    except msgspec.MsgspecError as error:
        _log.error('Bad row.', key=row.key, error=str(error))
        return None


class Guard:
    """This gateway's part of it.

    Args:
        sender: asks whether an upstream still listens.
        store: keeps what must last.
        table: of the rows.

    Attributes:
        announce: tells others at once; beats are slow where there are many
            gateways.
    """

    def __init__(
        self, sender: senders.Sender, store: stores.Store, table: str
    ) -> None:
        self._sender = sender
        self._store = store
        self._table = table
        self._quarantine = quarantine.Quarantine()
        self._blocked: frozenset[ids.RequestDigest] = frozenset()
        self._stored: dict[ids.RequestDigest, Entry] = {}
        self.announce: Announce = lambda told: None

    # What courses ask and tell.

    def is_blocked(self, call: calls.Call) -> bool:
        """Return whether a request may not go to an upstream."""
        return bool(self._blocked) and call.digest in self._blocked

    def is_suspect(self, call: calls.Call) -> bool:
        """Return whether an upstream ended under a request lately."""
        return not self._quarantine.is_empty and self._quarantine.is_suspect(
            call.digest
        )

    def failure(self, call: calls.Call) -> errors.Failure:
        """Return what the caller of a held request is told."""
        ends = self._quarantine.ends(call.digest)
        detail = f'{ends} engines ended; digest {call.digest}'
        return errors.Failure(errors.ENDS_ENGINES, detail)

    async def record_cut(
        self, call: calls.Call, upstream: upstreams.Upstream
    ) -> None:
        """Note that a send broke off soon after its upstream began it."""
        if not await self._sender.refuses_connections(upstream):
            return
        self._quarantine.record_end(call.digest, upstream.id, clock.now())
        instruments.upstream_ends.add(1)
        _log.warning(
            'Upstream ended under a request.',
            request=call.id,
            upstream=upstream.id,
            digest=call.digest,
            ends=self._quarantine.ends(call.digest),
        )
        self._update_blocked()
        self.announce(self.suspicions())

    def record_completion(self, call: calls.Call) -> None:
        """Note that a request ran whole."""
        if self._quarantine.is_empty:
            return
        if self._quarantine.record_success(call.digest, clock.now()):
            _log.info('Request cleared.', request=call.id, digest=call.digest)
            self._update_blocked()
            self.announce(self.suspicions())

    # What gateways tell each other.

    def suspicions(self) -> tuple[messages.Suspicion, ...]:
        """Return what goes into a beat, or the answer to one."""
        if self._quarantine.is_empty:
            return ()
        return tuple(
            messages.Suspicion(one.digest, one.ends, one.age, one.cleared)
            for one in self._quarantine.make_reports(clock.now())
        )

    def merge(
        self, told: collections.abc.Iterable[messages.Suspicion]
    ) -> None:
        """Add what another gateway knows."""
        self._merge(
            quarantine.Suspicion(one.digest, one.ends, one.age, one.cleared)
            for one in told
        )

    def _merge(
        self, told: collections.abc.Iterable[quarantine.Suspicion]
    ) -> None:
        self._quarantine.merge(told, clock.now())
        self._update_blocked()

    def _update_blocked(self) -> None:
        """Take the verdicts, and log those that are new."""
        held = self._quarantine.held
        if held == self._blocked:
            return
        for digest in held - self._blocked:
            ends = self._quarantine.ends(digest)
            _log.warning('Request held back.', digest=digest, ends=ends)
        for digest in self._blocked - held:
            _log.info('Request let through again.', digest=digest)
        self._blocked = held
        self.announce(self.suspicions())

    # What outlives all gateways.

    def begin_snapshot(self) -> None:
        """Begin to take all rows that are stored.

        A store that comes back from an older copy may have lost some: the
        owner writes them again.
        """
        self._stored.clear()

    def apply_row(self, row: stores.Row) -> None:
        """Take a row of the store.

        A row that is gone was forgotten by the owner, and is here as well
        when its time has come.
        """
        digest = ids.RequestDigest(row.key.removeprefix(ROW_PREFIX))
        if row.removed:
            self._stored.pop(digest, None)
            return
        found = decode(row)
        if found is None:
            return
        self._stored[digest] = found
        self._merge(
            [quarantine.Suspicion(digest, found.ends, cleared=found.released)]
        )

    async def run(self, decides: collections.abc.Callable[[], bool]) -> None:
        """Forget what is old, and store what must last.

        Args:
            decides: whether this gateway is the owner, who writes.
        """
        while True:
            self._quarantine.prune(clock.now())
            self._update_blocked()
            if decides():
                await self._save()
            await asyncio.sleep(_SAVE_INTERVAL_S)

    async def _save(self) -> None:
        """Write what is new into the store, and remove what was forgotten."""
        new, gone = self._unsaved()
        if not new and not gone:
            return
        put = [
            stores.Entry(
                self._table,
                ROW_PREFIX + digest,
                value=msgspec.json.encode(made),
            )
            for digest, made in new.items()
        ]
        remove = [
            stores.Entry(self._table, ROW_PREFIX + digest) for digest in gone
        ]
        result = await self._store.transact(put=put, remove=remove)
        if not isinstance(result, stores.Written):
            _log.warning('Not stored yet.', rows=len(put) + len(remove))
            return
        self._stored.update(new)
        for digest in gone:
            self._stored.pop(digest, None)

    def _unsaved(
        self,
    ) -> tuple[dict[ids.RequestDigest, Entry], list[ids.RequestDigest]]:
        """Return rows to write and to remove, as many as go at once."""
        lasting = {
            one.digest: Entry(one.ends, one.cleared)
            for one in self._quarantine.persistent_records(clock.now())
        }
        new = [
            (digest, made)
            for digest, made in lasting.items()
            if self._stored.get(digest) != made
        ]
        gone = [digest for digest in self._stored if digest not in lasting]
        return dict(new[:_MAX_ROWS_PER_TRANSACTION]), gone[
            :_MAX_ROWS_PER_TRANSACTION
        ]
