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
did so before (`versionhistory`): then an unknown stream is of that version
too.
"""

import asyncio
import collections.abc
import typing

from galenahatch import clock
from galenahatch.core import members
from galenahatch.core import upstreams
from galenahatch.core import versionaffinity
from galenahatch.gateway import affinitymessages
from galenahatch.gateway import calls
from galenahatch.gateway import directory as directories
from galenahatch.gateway import frames
from galenahatch.gateway import instruments
from galenahatch.gateway import messages
from galenahatch.gateway import originexchange
from galenahatch.gateway import originlog
from galenahatch.gateway import versionhistory
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import store as stores
from galenahatch import tasks

_PRUNE_INTERVAL_S: typing.Final = 2.0
_NEXT_BATCH_DELAY_S: typing.Final = 0.02
_STORE_CHECK_INTERVAL_S: typing.Final = 0.25
_MAX_LOAD_RETRY_DELAY_S: typing.Final = 5.0
"""Longest delay between reads of a failing store by a gateway that isn't
asked; each call is charged."""
_SETTLED_OWNER_S: typing.Final = 0.5
"""Seconds after which an owner uses the store: each gateway that has just
started takes itself for the owner until it has heard the others."""
_ASKED_S: typing.Final = 2.0
"""Seconds for which a gateway that was asked about a stream keeps what it read
of the store, though it isn't the owner."""
_log = logs.Log('versions')
# The version at which a stream continues; None if others may still tell it.
Resolution = ids.SoftwareVersion | versionaffinity.Problem | None


class Peers(originexchange.Peers, typing.Protocol):
    """The part of the mesh that is needed here."""

    def reply(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
        """Send a message to a member that has sent one."""

    def owned_seconds(self) -> float | None:
        """Return for how long this gateway has been the owner."""


def stream_keys(call: calls.Call) -> tuple[ids.StreamKey, ...]:
    """Return the keys of the stream that a request begins or takes up."""
    assert call.prompt is not None
    digest = f'{call.digest}/{call.prompt.last_block_id}'
    return ids.StreamKey(call.resumes or call.id), ids.StreamKey(digest)


class VersionAffinity:
    """Versions that began streams, as far as this gateway knows.

    Args:
        directory: Source of engines and their versions.
        store: The platform's store.
        address: Address of this VM.

    Attributes:
        on_stored: Callback after versions were stored.
    """

    def __init__(
        self,
        directory: directories.Directory,
        store: stores.Store,
        address: str,
    ) -> None:
        self._directory = directory
        self._origins = versionaffinity.Origins()
        self._served = versionaffinity.ServedVersions()
        self._history = versionhistory.VersionHistory(store, self._served)
        writer = f'{address}/{clock.random_incarnation():x}'
        self._origin_log = originlog.OriginLog(store, self._origins, writer)
        self._peers: Peers | None = None
        self._exchange: originexchange.OriginExchange | None = None
        self._wake = asyncio.Event()
        self._asked_until = 0.0
        self._keeps_origins = False
        self._pruned_at = 0.0
        self.on_stored: collections.abc.Callable[[], None] = lambda: None
        directory.on_change(self._update_served)
        instruments.register_gauge(
            instruments.STREAM_ORIGINS, lambda: {'': len(self._origins)}
        )
        instruments.register_gauge(
            instruments.STREAM_ORIGIN_ROWS,
            lambda: {'': self._origin_log.row_count},
        )

    def start(self, peers: Peers, background: tasks.Tasks) -> None:
        """Connect to the other gateways and start to tell them."""
        self._peers = peers
        self._exchange = originexchange.OriginExchange(self._origins, peers)
        background.run_forever('stream origins', self._tell_forever)
        background.run_forever('version history', self._store_forever)

    def _update_served(self) -> None:
        present: dict[ids.ServiceName, set[ids.SoftwareVersion]] = {}
        for upstream in self._directory.registry.upstreams.values():
            if upstream.stage is not None and upstream.version:
                versions = present.setdefault(upstream.service, set())
                versions.add(upstream.version)
        frozen = {name: frozenset(found) for name, found in present.items()}
        self._history.update(frozen, clock.now())
        self._wake.set()

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

    def find(
        self, keys: collections.abc.Iterable[ids.StreamKey]
    ) -> ids.SoftwareVersion | None:
        """Return the version that began a stream, if it is known here."""
        return self._origins.find(keys, clock.now())

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
            The version; empty for any; `UNKNOWN`; or None if others may still
            tell it, or the store hasn't been read.
        """
        now = clock.now()
        version = self._origins.find(keys, now)
        if version is not None:
            return version
        knows_all = self._history.knows_all(service, now)
        if knows_all and self._served.is_single(service, now):
            return versionaffinity.ANY_VERSION
        assert self._peers is not None
        owned = self._peers.owned_seconds()
        is_new = owned is None or owned < versionaffinity.RECENT_OWNER_S
        is_loaded = self._history.is_loaded and self._origin_log.is_loaded
        if not is_loaded:
            self._asked_until = now + _ASKED_S
            self._wake.set()
        if is_new or not is_loaded:
            if now - arrived_at < versionaffinity.SETTLE_S:
                return None
        _log.info(
            'Version of a stream unknown.',
            service=service,
            keys=' '.join(keys),
            versions=' '.join(sorted(self._served.left_times(service, now))),
            knows_all=knows_all,
            loaded=is_loaded,
            owned=owned,
        )
        return versionaffinity.Problem.UNKNOWN

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
        keys = stream_keys(call)
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
        """Return whether streams may return to engines of several versions."""
        return self._served.several(
            now
        ) or not self._history.knows_all_services(now)

    def _store(self, keys: collections.abc.Iterable[ids.StreamKey]) -> None:
        """Store origins soon, if this gateway is the owner."""
        assert self._peers is not None
        if self._peers.owned_seconds() is not None:
            self._origin_log.add(keys)
            self._wake.set()

    async def _tell_forever(self) -> None:
        assert self._exchange is not None
        while True:
            now = clock.now()
            if now - self._pruned_at > _PRUNE_INTERVAL_S:
                self._pruned_at = now
                self._origins.prune(now)
            has_more = False
            if self._must_keep(now):
                has_more = self._exchange.tell_all(now)
            else:
                # All is told once a second version appears.
                self._exchange.reset()
            await asyncio.sleep(
                _NEXT_BATCH_DELAY_S
                if has_more
                else members.HEARTBEAT_INTERVAL_S
            )

    async def _store_forever(self) -> None:
        retry_delay = _STORE_CHECK_INTERVAL_S
        while True:
            self._wake.clear()
            delay = _STORE_CHECK_INTERVAL_S
            if not await self._synchronize():
                # A stream that is asked about ends the longer wait below.
                await asyncio.sleep(_STORE_CHECK_INTERVAL_S)
                delay = retry_delay
                retry_delay = min(2 * retry_delay, _MAX_LOAD_RETRY_DELAY_S)
            else:
                retry_delay = _STORE_CHECK_INTERVAL_S
            try:
                async with asyncio.timeout(delay):
                    await self._wake.wait()
            except asyncio.TimeoutError:
                pass

    async def _synchronize(self) -> bool:
        """Read from the store and write to it; return whether it answers."""
        assert self._peers is not None
        if not self._directory.ready:
            return True
        owned = self._peers.owned_seconds()
        is_owner = owned is not None and owned >= _SETTLED_OWNER_S
        if not is_owner and clock.now() > self._asked_until:
            self._origin_log.unload()
            return self._history.was_loaded or await self._history.load()
        if not self._history.is_loaded and not await self._history.load():
            return False
        if not self._origin_log.is_loaded:
            if not await self._origin_log.load():
                return False
            self._keeps_origins = False
        if is_owner:
            await self._save()
        return True

    async def _save(self) -> None:
        """Store what the store lacks, as the owner."""
        is_called = await self._history.save()
        if is_called:
            self.on_stored()
        must_keep = self._must_keep(clock.now())
        if must_keep and not self._keeps_origins:
            self._origin_log.add(self._origins.keys())
        self._keeps_origins = must_keep
        is_called |= await self._origin_log.save(must_keep)
        if is_called:
            await asyncio.sleep(originlog.SAVE_INTERVAL_S)


class StreamAffinity:
    """Version of the stream of one request.

    Args:
        known: Versions that this gateway knows.
        call: Request of the caller.
        service: Service of the stream.
    """

    def __init__(
        self,
        known: VersionAffinity,
        call: calls.Call,
        service: ids.ServiceName,
    ) -> None:
        self._known = known
        self._call = call
        self._service = service
        self._version = versionaffinity.ANY_VERSION
        # Streams that begin are not counted.
        self._is_counted = not call.last_event_id
        if call.last_event_id:
            self.bind(known.find(stream_keys(call)))

    @property
    def version(self) -> ids.SoftwareVersion:
        """The only version at which the stream may run; empty for any."""
        if self._known.is_only(self._service, self._version):
            return versionaffinity.ANY_VERSION
        return self._version

    def record_decision(
        self, decision: messages.Placement | messages.PlacementRefused
    ) -> None:
        """Bind the stream to the version that the owner names."""
        if isinstance(decision, messages.Placement):
            self.bind(decision.version)
        if not self._is_counted:
            self._is_counted = True
            result = _result_name(decision, self._version)
            instruments.continued_streams.add(1, {'result': result})

    def bind(self, version: ids.SoftwareVersion | None) -> None:
        """Bind the stream to a version, unless it is bound already."""
        self._version = self._version or version or versionaffinity.ANY_VERSION

    def allows(self, engine: upstreams.Upstream) -> bool:
        """Return whether the stream may run at an engine."""
        return self.version in (versionaffinity.ANY_VERSION, engine.version)

    def unresolved_keys(self) -> tuple[ids.StreamKey, ...]:
        """Return the keys of the stream, if only others may know its version.

        A gateway that has just started asks even if it knows of one version
        only: others may remember another one.
        """
        if not self._call.last_event_id or self._version:
            return ()
        return stream_keys(self._call)

    @property
    def is_undecided(self) -> bool:
        """Whether the stream began at one of several versions, unknown which.

        An owner that knows of one version only doesn't decide it.
        """
        return bool(self.unresolved_keys()) and not self._known.is_single(
            self._service
        )

    def record_start(
        self, engine: upstreams.Upstream, deadline: float
    ) -> None:
        """Record the first event of a run, which is about to leave.

        Args:
            engine: Engine that runs it.
            deadline: Time after which the caller doesn't return.
        """
        self.bind(engine.version)
        self._known.record(self._call, self._version, deadline)


def _result_name(
    decision: messages.Placement | messages.PlacementRefused,
    version: ids.SoftwareVersion,
) -> str:
    """Return what came of a stream that its caller takes up, for a metric."""
    if isinstance(decision, messages.Placement):
        return 'bound' if version else 'one_version'
    if decision.version_problem is None:
        return 'refused'
    return decision.version_problem.value
