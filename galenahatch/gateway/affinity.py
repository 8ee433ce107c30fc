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

"""Version affinity of streams: who knows which version began them.

The gateway that relays a stream records the version of the engine that writes
its first event, and tells the owner and its successor before that event
leaves (`originexchange`). All three keep the record, and the owner stores it
(`originlog`), so it survives the loss of any number of gateways.

Nothing is sent or stored while all engines of a service run one version, and
are known to have done so before (`versionhistory`): then an unknown stream is
of that version too.
"""

import asyncio
import collections.abc
import math
import typing

from galenahatch import bounds
from galenahatch import clock
from galenahatch.core import members
from galenahatch.core import upstreams
from galenahatch.core import versionaffinity
from galenahatch.gateway import affinitymessages
from galenahatch.gateway import calls
from galenahatch.gateway import directory as directories
from galenahatch.gateway import instruments
from galenahatch.gateway import originexchange
from galenahatch.gateway import originlog
from galenahatch.gateway import streamaffinity
from galenahatch.gateway import verdictlog
from galenahatch.gateway import versionhistory
from galenahatch import ids
from galenahatch.platform import store as stores
from galenahatch import tasks

_PRUNE_INTERVAL_S: typing.Final = 2.0
_NEXT_BATCH_DELAY_S: typing.Final = 0.02
_READ_INTERVAL_S: typing.Final = 0.05
"""Least seconds between two readings for streams that return."""
_STORE_CHECK_INTERVAL_S: typing.Final = 0.25
_MAX_RETRY_DELAY_S: typing.Final = 5.0
"""For a gateway that isn't asked: each call to a failing store is charged."""
_MAX_OWNER_RETRY_DELAY_S: typing.Final = 1.0
_SETTLED_OWNER_S: typing.Final = 0.5
"""Seconds after which an owner uses the store: each gateway that has just
started takes itself for the owner until it has heard the others."""
_ASKED_S: typing.Final = 2.0
"""Seconds for which a gateway that was asked about a stream keeps what it read
of the store, though it isn't the owner."""
# The version at which a stream continues; None if others may still tell it.
Resolution = ids.SoftwareVersion | versionaffinity.Problem | None


class VersionAffinity:
    """Versions that began streams, as far as this gateway knows.

    Args:
        directory: Source of engines and their versions.
        store: The platform's store.
        address: Address of this VM.
        max_row_bytes: Bytes of a row that the store takes.

    Attributes:
        on_read: Callback after versions were read or stored.
    """

    def __init__(
        self,
        directory: directories.Directory,
        store: stores.Store,
        address: str,
        max_row_bytes: int = bounds.ROW_BYTES,
    ) -> None:
        self._directory = directory
        self._origins = versionaffinity.Origins()
        self._served = versionaffinity.ServedVersions()
        self._history = versionhistory.VersionHistory(
            store,
            self._served,
            lambda: directory.upstreams_currency,
            directory.has_service,
            max_row_bytes,
        )
        writer = f'{address}/{clock.random_incarnation():x}'
        self._origin_log = originlog.OriginLog(
            store, self._origins, writer, max_row_bytes
        )
        self._peers: originexchange.OwnerPeers | None = None
        self._exchange: originexchange.OriginExchange | None = None
        self._wake = asyncio.Event()
        self._asked_until = 0.0
        self._reading_wanted_at = -math.inf
        self._is_listing_wanted = False
        self._keeps_origins = False
        # Services whose engines state no version.
        self._unversioned: set[ids.ServiceName] = set()
        self._pause = 0.0
        self._pruned_at = 0.0
        self.on_read: collections.abc.Callable[[], None] = lambda: None
        directory.on_change(self._update_served)
        instruments.register_gauge(
            instruments.STREAM_ORIGINS, lambda: {'': len(self._origins)}
        )
        instruments.register_gauge(
            instruments.STREAM_ORIGIN_ROWS,
            lambda: {'': self._origin_log.row_count},
        )

    def start(
        self, peers: originexchange.OwnerPeers, background: tasks.Tasks
    ) -> None:
        """Connect to the other gateways and start to tell them."""
        self._peers = peers
        self._exchange = originexchange.OriginExchange(self._origins, peers)
        background.run_forever('stream origins', self._tell_forever)
        background.run_forever('version history', self._store_forever)

    def _update_served(self) -> None:
        none = {versionaffinity.ANY_VERSION}
        present = self._present_versions()
        self._unversioned = {
            n for n, found in present.items() if found == none
        }
        frozen = {
            name: frozenset(found - none)
            for name, found in present.items()
            if found != none
        }
        self._history.update(frozen, clock.now())
        self._wake.set()

    def _present_versions(
        self,
    ) -> dict[ids.ServiceName, set[ids.SoftwareVersion]]:
        """Return the versions of engines that may be used, by service.

        Engines whose entries have all lapsed are used for a while.
        """
        registry = self._directory.registry
        engines = list(registry.upstreams.values())
        for name in self._served.names():
            engines += registry.usable(name, clock.now())
        return versionaffinity.stated_versions(engines)

    def is_single(self, service: ids.ServiceName) -> bool:
        """Return whether at most one version of a service is known here."""
        return self._served.is_single(service, clock.now())

    def is_only(
        self, service: ids.ServiceName, version: ids.SoftwareVersion
    ) -> bool:
        """Return whether no other version of a service is known here."""
        return self._served.is_only(service, version, clock.now())

    def usable(
        self, engines: collections.abc.Iterable[upstreams.Upstream]
    ) -> list[upstreams.Upstream]:
        """Return the engines at which the owner may begin streams."""
        return self._history.usable(engines)

    def request_listing(self) -> None:
        """Read or write soon what makes further engines usable."""
        self._is_listing_wanted = True
        self._ask()

    def find(
        self, keys: collections.abc.Iterable[ids.StreamKey]
    ) -> ids.SoftwareVersion | None:
        """Return the version that began a stream, if it is known here."""
        version = self._origins.find(keys, clock.now())
        if version is not None:
            verdictlog.log_found(keys, version, verdictlog.Source.GATEWAY)
        return version

    def resolve(
        self,
        service: ids.ServiceName,
        keys: collections.abc.Collection[ids.StreamKey],
        arrived_at: float,
    ) -> Resolution:
        """Return the version at which a stream continues, as the owner.

        Args:
            service: Service of the stream.
            keys: Keys of the stream.
            arrived_at: Time at which the owner was asked.

        Returns:
            The version; empty if engines state none; `UNKNOWN`; or None if
            others may still tell it, or the store hasn't been read.
        """
        now = clock.now()
        waited = now - arrived_at
        # Another gateway may have listed a new version, so what was read
        # before the stream returned doesn't count.
        is_read = self._history.is_loaded and (
            self._history.read_at >= arrived_at
        )
        version, source = self._find_version(service, keys, is_read)
        if version is not None:
            verdictlog.log_found(keys, version, source, waited)
            return version
        is_loaded = is_read and self._origin_log.is_loaded
        if not is_loaded:
            self._reading_wanted_at = max(self._reading_wanted_at, arrived_at)
            self._ask()
        if not is_loaded or self._is_new_owner():
            if waited < versionaffinity.SETTLE_S:
                return None
        verdictlog.log_unknown(
            service,
            keys,
            self._served.left_times(service, now),
            self._history.knows_all(service, now),
            is_loaded,
            self._is_new_owner(),
        )
        return versionaffinity.Problem.UNKNOWN

    def _find_version(
        self,
        service: ids.ServiceName,
        keys: collections.abc.Iterable[ids.StreamKey],
        is_read: bool,
    ) -> tuple[ids.SoftwareVersion | None, verdictlog.Source]:
        """Return the version of a stream, if it is known, and what tells it.

        Args:
            is_read: Whether the rows of versions count.
        """
        now = clock.now()
        version = self._origins.find(keys, now)
        if version is not None:
            return version, verdictlog.Source.OWNER
        # Others may have listed a version while this gateway stood still.
        is_told = is_read or (
            self._history.was_loaded and self._directory.is_out_of_date
        )
        is_stated = bool(self._served.left_times(service, now))
        if is_told and service in self._unversioned and not is_stated:
            return versionaffinity.ANY_VERSION, verdictlog.Source.NOT_STATED
        only = self._history.find_only(service, now) if is_read else None
        return only, verdictlog.Source.ROW

    def _is_new_owner(self) -> bool:
        """Return whether others may still tell this gateway what they know."""
        assert self._peers is not None
        owned = self._peers.owned_seconds()
        return owned is None or owned < versionaffinity.RECENT_OWNER_S

    def _ask(self) -> None:
        """Use the store soon, also if this gateway isn't the owner."""
        self._asked_until = clock.now() + _ASKED_S
        self._wake.set()

    def record(
        self, call: calls.Call, version: ids.SoftwareVersion, deadline: float
    ) -> None:
        """Record the version of a stream whose first event is about to leave.

        Args:
            call: Request of the caller.
            version: Version of the engine that writes the stream.
            deadline: Time after which the caller doesn't return.
        """
        now = clock.now()
        keys = streamaffinity.stream_keys(call)
        for key in keys:
            self._origins.record(key, version, deadline, now)
        if self._must_keep(now):
            assert self._exchange is not None
            self._exchange.tell(keys, now)
            self._store(keys)

    def handle_message(
        self,
        member: ids.MemberId,
        message: affinitymessages.AnyAffinityMessage,
    ) -> None:
        """Handle a message of another gateway."""
        assert self._peers is not None and self._exchange is not None
        if isinstance(message, affinitymessages.StreamOriginsReceived):
            self._exchange.acknowledge(member, message.number)
            return
        now = clock.now()
        for origin in message.origins:
            expires_at = now + origin.seconds_left
            self._origins.record(origin.key, origin.version, expires_at, now)
        self._store([origin.key for origin in message.origins])
        if message.number:
            received = affinitymessages.StreamOriginsReceived(message.number)
            self._peers.reply(member, received)

    def _must_keep(self, now: float) -> bool:
        """Return whether streams may return to engines of several versions.

        While this can't be known, what each gateway remembers is all there is.
        """
        return (
            self._directory.is_out_of_date
            or self._served.several(now, self._directory.has_service)
            or not self._history.knows_all_services(now)
        )

    def _store(self, keys: collections.abc.Iterable[ids.StreamKey]) -> None:
        """Store origins soon, if this gateway is the owner."""
        assert self._peers is not None
        if self._peers.owned_seconds() is not None:
            self._origin_log.add(keys)
            self._wake.set()

    async def _tell_forever(self) -> None:
        while True:
            has_more = self.tell()
            await asyncio.sleep(
                _NEXT_BATCH_DELAY_S
                if has_more
                else members.HEARTBEAT_INTERVAL_S
            )

    def tell(self) -> bool:
        """Tell others what they lack; return whether more is due at once."""
        assert self._exchange is not None
        now = clock.now()
        if now - self._pruned_at > _PRUNE_INTERVAL_S:
            self._pruned_at = now
            self._origins.prune(now)
        if self._must_keep(now):
            return self._exchange.tell_all(now)
        # All is told once a second version appears.
        self._exchange.reset()
        return False

    async def _store_forever(self) -> None:
        retry_delay = _STORE_CHECK_INTERVAL_S
        while True:
            self._wake.clear()
            delay = _STORE_CHECK_INTERVAL_S
            if not await self.synchronize():
                # A stream that is asked about ends the longer wait below.
                await asyncio.sleep(_STORE_CHECK_INTERVAL_S)
                delay = retry_delay
                retry_delay = min(2 * retry_delay, self._max_retry_delay())
            else:
                retry_delay = _STORE_CHECK_INTERVAL_S
            await asyncio.sleep(self._pause)
            try:
                async with asyncio.timeout(delay):
                    await self._wake.wait()
            except asyncio.TimeoutError:
                pass

    def _max_retry_delay(self) -> float:
        assert self._peers is not None
        if self._peers.owned_seconds() is None:
            return _MAX_RETRY_DELAY_S
        return _MAX_OWNER_RETRY_DELAY_S

    async def synchronize(self) -> bool:
        """Read from the store and write to it; return whether it answers."""
        assert self._peers is not None
        self._pause = 0.0
        if not self._directory.ready:
            return True
        owned = self._peers.owned_seconds()
        self._origin_log.record_owner(owned)
        is_owner = owned is not None and owned >= _SETTLED_OWNER_S
        if not is_owner and clock.now() > self._asked_until:
            self._is_listing_wanted = False
            self._origin_log.unload()
            return self._history.was_loaded or await self._load_history()
        if self._needs_reading() and not await self._load_history():
            return False
        if not self._origin_log.is_loaded:
            if not await self._origin_log.load():
                return False
            self._keeps_origins = False
        if is_owner or self._is_listing_wanted:
            return await self._save(is_owner)
        return True

    def _needs_reading(self) -> bool:
        return (
            not self._history.is_loaded
            or self._history.read_at < self._reading_wanted_at
        )

    async def _load_history(self) -> bool:
        is_read = await self._history.load()
        if is_read:
            self._pause = _READ_INTERVAL_S
            self.on_read()
        return is_read

    async def _save(self, is_owner: bool) -> bool:
        """Store what the store lacks; return whether all versions are usable.

        Args:
            is_owner: Whether origins are stored as well.
        """
        if await self._history.save():
            self._pause = originlog.SAVE_INTERVAL_S
            self.on_read()
        is_read = True
        if self._history.needs_reading():
            is_read = await self._load_history()
        if is_owner:
            await self._save_origins()
        self._is_listing_wanted &= not is_read
        return is_read and not self._history.unconfirmed()

    async def _save_origins(self) -> None:
        must_keep = self._must_keep(clock.now())
        if must_keep and not self._keeps_origins:
            self._origin_log.add(self._origins.keys())
        self._keeps_origins = must_keep
        if await self._origin_log.save(must_keep):
            self._pause = originlog.SAVE_INTERVAL_S
