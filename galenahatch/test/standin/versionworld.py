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

"""Gateways that decide at which version streams run, in simulated time.

Each gateway is its real `VersionAffinity`; store, members' messages and
entries of engines are stand-ins. A call to the store is suspended until the
test ends it with an outcome, so gateways interleave at each call.
"""

import collections.abc
import dataclasses
import enum
import types
import typing

from galenahatch import clock
from galenahatch.core import incarnations
from galenahatch.core import upstreams
from galenahatch.core import versionaffinity
from galenahatch import errors
from galenahatch.gateway import affinity
from galenahatch.gateway import calls
from galenahatch.gateway import follower
from galenahatch.gateway import messages
from galenahatch.gateway import streamaffinity
from galenahatch import ids
from galenahatch.platform import store as stores

SERVICE: typing.Final = ids.ServiceName('s')
MAX_STREAM_S: typing.Final = 50.0
_LINGER_S: typing.Final = 5.0
"""Seconds for which an engine serves after its entry is gone."""
_STEP_S: typing.Final = 1.0
_CALL_TIMEOUT_S: typing.Final = 2.0
_MAX_LATE_S: typing.Final = 5.0


class Outcome(enum.Enum):
    """How a call to the store ends."""

    DONE = 'done'
    REFUSED = 'refused'
    DONE_UNANSWERED = 'done, unanswered'
    LOST = 'lost'
    LATE = 'performed later, unanswered'


@dataclasses.dataclass
class Call:
    """A call to the store that has not ended."""

    apply: collections.abc.Callable[[], typing.Any]
    is_write: bool
    began_at: float

    def __await__(
        self,
    ) -> collections.abc.Generator['Call', typing.Any, typing.Any]:
        return (yield self)


class Store:
    """Rows of the gateways' tables, in an era."""

    def __init__(self, world: 'World') -> None:
        self._world = world
        self.tables: dict[str, dict[str, tuple[int, bytes]]] = {}
        self.ver, self.era, self._shift_s = 1, 1, 0.0
        self._copy: typing.Any = ({}, 1)

    @property
    def now_ms(self) -> float:
        """Time of the store's clock."""
        return (self._world.now + self._shift_s) * 1000

    def copy(self) -> None:
        """Remember all rows."""
        self._copy = {n: dict(t) for n, t in self.tables.items()}, self.ver

    def restore(self, shift_s: float) -> None:
        """Go back to the copy, in a new era; the clock may jump."""
        tables, self.ver = self._copy
        self.tables = {name: dict(table) for name, table in tables.items()}
        self.era += 1
        self._shift_s += shift_s

    def read(self, table: str) -> stores.Rows:
        """Return all rows of a table."""
        found = sorted(self.tables.get(table, {}).items())
        rows = [stores.Row(key, ver, value) for key, (ver, value) in found]
        return stores.Rows(rows, self.ver, self.now_ms, False, self.era)

    def write(
        self,
        expected: collections.abc.Sequence[stores.RowOperation],
        put: collections.abc.Sequence[stores.RowOperation],
        remove: collections.abc.Sequence[stores.RowOperation],
    ) -> stores.Committed | stores.Conflict:
        """Apply a transaction."""
        for row in expected:
            known, _ = self.tables.get(row.table, {}).get(row.key, (0, b''))
            if known != row.ver:
                return stores.Conflict([])
        self.ver += 1
        for row in put:
            assert isinstance(row.value, bytes)
            table = self.tables.setdefault(row.table, {})
            table[row.key] = self.ver, row.value
        for row in remove:
            self.tables.get(row.table, {}).pop(row.key, None)
        return stores.Committed(self.ver, self.now_ms, self.era)


class _Client:
    """A gateway's client of the store."""

    def __init__(self, world: 'World') -> None:
        self._world = world
        self.eras = self
        self.newest = 0

    async def rows(self, table: str) -> typing.Any:
        """Read all rows of a table."""
        return await Call(
            lambda: self._world.store.read(table), False, self._world.now
        )

    async def transact(
        self,
        expected: collections.abc.Sequence[stores.RowOperation] = (),
        put: collections.abc.Sequence[stores.RowOperation] = (),
        remove: collections.abc.Sequence[stores.RowOperation] = (),
    ) -> typing.Any:
        """Apply a transaction."""
        return await Call(
            lambda: self._world.store.write(expected, put, remove),
            True,
            self._world.now,
        )


class _Directory:
    """Engines as a gateway knows them."""

    def __init__(self) -> None:
        self.registry = upstreams.Registry()
        self.ready = False
        self.is_out_of_date = False
        self.upstreams_currency = follower.Currency()
        self._listener: collections.abc.Callable[[], None] = lambda: None

    def has_service(self, name: ids.ServiceName) -> bool:
        """Return whether a service is configured."""
        return name == SERVICE

    def on_change(self, listener: collections.abc.Callable[[], None]) -> None:
        """Set the listener."""
        self._listener = listener

    def follow(self, world: 'World') -> None:
        """Get an answer of the feed."""
        self.registry.replace_all(world.entries.values(), world.now)
        self.ready = True
        self._listener()
        answer = stores.Rows([], 1, world.store.now_ms, False, world.store.era)
        currency = self.upstreams_currency.advanced(answer, world.now)
        self.upstreams_currency = currency

    def report(self, world: 'World') -> None:
        """Read the reports of all engines that are known."""
        for key in list(self.registry.upstreams):
            start_ms = world.starts.get(incarnations.instance_id(key), 0)
            self.registry.record_restart(
                key, start_ms, upstreams.Stage.DECODE, world.now
            )
        self._listener()


class Gateway:
    """One gateway process.

    Attributes:
        owner_since: Time since which it takes itself for the owner, or None.
        is_following: Whether its feed of entries works.
    """

    def __init__(self, world: 'World', name: str) -> None:
        self._world = world
        self.name = ids.MemberId(name)
        self._incarnation = clock.random_incarnation()
        self.directory = _Directory()
        self.client = _Client(world)
        self.owner_since: float | None = None
        self.is_following = True
        self.affinity = affinity.VersionAffinity(
            typing.cast(typing.Any, self.directory),
            typing.cast(typing.Any, self.client),
            name,
        )
        nothing = types.SimpleNamespace(run_forever=lambda *_: None)
        self.affinity.start(
            typing.cast(typing.Any, self), typing.cast(typing.Any, nothing)
        )
        self.call: Call | None = None
        self._held_answer: typing.Any = None
        self._running: collections.abc.Coroutine[Call, typing.Any, bool] | None
        self._running = None

    # What the affinity sees of the mesh.

    def candidates(self) -> tuple[ids.MemberId, ...]:
        """Return the other members."""
        return tuple(n for n in self._world.gateways if n != self.name)

    def incarnation(self, name: ids.MemberId) -> int:
        """Return the incarnation of a member; 0 if it is unknown."""
        member = self._world.gateways.get(name)
        return member._incarnation if member is not None else 0

    def knows(self, name: ids.MemberId, level: int) -> bool:
        """All gateways know all messages."""
        return True

    def send(self, name: ids.MemberId, message: typing.Any) -> None:
        """Send a message, which the test delivers or drops."""
        receiver = self._world.gateways.get(name)
        if receiver is not None:
            self._world.messages.append((self, receiver, message))

    reply = send

    def owned_seconds(self) -> float | None:
        """Return for how long it has been the owner."""
        if self.owner_since is None:
            return None
        return self._world.now - self.owner_since

    # Calls to the store.

    def follow(self) -> None:
        """Get an answer of the feed of entries."""
        self.client.newest = self._world.store.era
        self.directory.follow(self._world)

    def synchronize(self) -> None:
        """Begin to synchronize with the store, unless it does so already."""
        if self._running is None:
            self._running = self.affinity.synchronize()
            self._advance(None)

    def end_call(self, outcome: Outcome) -> None:
        """End the call in progress."""
        call = self.call
        if call is None:
            return
        if outcome is Outcome.DONE:
            self._take(call.apply())
            return
        self._world.leave_unanswered(call, outcome)
        failure = errors.Failure(errors.STORE_UNAVAILABLE, outcome.value)
        self._advance(failure)

    def _take(self, answer: typing.Any) -> None:
        """Go on with an answer of the store."""
        if isinstance(answer, stores.Rows | stores.Committed):
            self.client.newest = max(self.client.newest, answer.era)
        self._advance(answer)

    def hold_call(self) -> None:
        """Perform the call in progress; its answer isn't read yet."""
        if self.call is not None:
            self._held_answer = self.call.apply()

    def take_held_answer(self) -> None:
        """Read the answer that waits, if there is one."""
        answer, self._held_answer = self._held_answer, None
        if answer is not None:
            self._take(answer)

    def _advance(self, result: typing.Any) -> None:
        assert self._running is not None
        try:
            self.call = self._running.send(result)
        except StopIteration:
            self.call = self._running = None

    def close(self, outcome: Outcome) -> None:
        """End the process; its call may still be performed."""
        if self.call is not None:
            self._world.leave_unanswered(self.call, outcome)
        if self._running is not None:
            self._running.close()


@dataclasses.dataclass
class Stream:
    """A stream of a caller.

    Attributes:
        id: Id of the request that brought its first event.
        versions: Versions of the engines that wrote its events.
        is_settled: Whether the gateways had time to record where it began.
    """

    id: str
    deadline: float
    run: streamaffinity.StreamAffinity
    relayed_by: Gateway | None
    versions: set[ids.SoftwareVersion] = dataclasses.field(default_factory=set)
    is_settled: bool = False


@dataclasses.dataclass
class Asked:
    """A request of a stream for an engine, which its owner hasn't decided.

    Attributes:
        version: Version to which the owner has bound it; None until then.
    """

    stream: Stream
    run: streamaffinity.StreamAffinity
    gateway: Gateway
    owner: Gateway
    arrived_at: float
    version: ids.SoftwareVersion | None = None


class Verdict(enum.Enum):
    """What came of a request for an engine."""

    WAITS = 'waits'
    REFUSED = 'refused'
    RUNS = 'runs'


class World:
    """Gateways, engines, streams and the store."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.store = Store(self)
        self.entries: dict[ids.InstanceId, upstreams.Upstream] = {}
        self.starts: dict[ids.InstanceId, int] = {}
        self._software: dict[ids.InstanceId, ids.SoftwareVersion] = {}
        self.gateways: dict[ids.MemberId, Gateway] = {}
        self.messages: list[tuple[Gateway, Gateway, typing.Any]] = []
        self.late: list[Call] = []
        self._gone: dict[ids.InstanceId, float] = {}
        self._count = 0

    def _number(self) -> str:
        self._count += 1
        return f'{self._count:04x}'

    # Time, the store and members.

    def advance(self, seconds: float) -> None:
        """Let time pass.

        Engines write their entries, feeds that work answer, and unanswered
        calls fail.
        """
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.now + _STEP_S)
            self.rewrite_entries()
            for gateway in self.gateways.values():
                if gateway.is_following:
                    gateway.follow()
                call = gateway.call
                if call and self.now - call.began_at > _CALL_TIMEOUT_S:
                    gateway.end_call(Outcome.LOST)
            self.late = [
                c for c in self.late if self.now - c.began_at < _MAX_LATE_S
            ]

    def leave_unanswered(self, call: Call, outcome: Outcome) -> None:
        """Perform a call now, later or never."""
        if outcome is Outcome.DONE_UNANSWERED and call.is_write:
            call.apply()
        elif outcome is Outcome.LATE and call.is_write:
            self.late.append(call)

    def start(self, name: ids.MemberId) -> Gateway:
        """Start a gateway, which is nobody's owner but its own."""
        gateway = Gateway(self, name)
        self.gateways[name] = gateway
        return gateway

    def kill(self, name: ids.MemberId, outcome: Outcome) -> None:
        """Kill a gateway; the streams that it relays break off."""
        gateway = self.gateways.pop(name)
        gateway.close(outcome)

    def hold(self, name: ids.MemberId) -> Gateway:
        """Let a gateway stand still: nothing reaches it, nothing is told.

        Its call in progress is performed; the answer waits for it.
        """
        gateway = self.gateways.pop(name)
        gateway.hold_call()
        return gateway

    def let_go(self, gateway: Gateway) -> None:
        """Let a gateway that stood still go on with what it knew."""
        self.gateways[gateway.name] = gateway
        if gateway.owner_since is not None:
            gateway.owner_since = self.now
        gateway.take_held_answer()

    def is_running(self, gateway: Gateway | None) -> bool:
        """Return whether a process is still there."""
        return gateway is not None and (
            self.gateways.get(gateway.name) is gateway
        )

    def deliver(self, drops: bool = False) -> None:
        """Deliver all messages that are on their way, or drop them."""
        sent, self.messages = self.messages, []
        for sender, receiver, message in sent:
            if not drops and self.is_running(receiver):
                receiver.affinity.handle_message(sender.name, message)

    # Engines.

    def register(self, version: ids.SoftwareVersion) -> None:
        """Add two engines of a version."""
        for _ in range(2):
            name = ids.InstanceId(f'{version}-{self._number()}')
            self._write_entry(name, version, 1)

    def _write_entry(
        self, name: ids.InstanceId, version: ids.SoftwareVersion, start: int
    ) -> None:
        self.starts[name] = start
        self._software[name] = version
        self.entries[name] = upstreams.Upstream(
            incarnations.upstream_id(name, start),
            SERVICE,
            '',
            ids.DataCentre(''),
            8,
            stage=upstreams.Stage.DECODE,
            version=version,
        )

    def restart(self, version: ids.SoftwareVersion) -> None:
        """Start the engines of a version again, under their ids."""
        for name, entry in self.entries.items():
            self.starts[name] += entry.version == version

    def rewrite_entries(self) -> None:
        """Let all engines that have started again write their entries."""
        for name, entry in list(self.entries.items()):
            self._write_entry(name, entry.version, self.starts[name])

    def remove(self, version: ids.SoftwareVersion) -> None:
        """Remove the engines of a version, all but those in progress.

        An entry is there for longer than a working feed takes to show it.
        """
        for gateway in self.gateways.values():
            if gateway.is_following:
                gateway.follow()
        for key, engine in list(self.entries.items()):
            if engine.version == version:
                del self.entries[key]
                self._gone[key] = self.now

    # Streams.

    def begin(
        self, gateway: Gateway, owner: Gateway, names: str = ''
    ) -> Asked:
        """Ask for an engine for a new stream, which may name another one."""
        call = _call(self._number(), names, '')
        run = streamaffinity.StreamAffinity(gateway.affinity, call, SERVICE)
        stream = Stream(call.id, self.now + MAX_STREAM_S, run, None)
        return Asked(stream, run, gateway, owner, self.now)

    def resume(
        self, stream: Stream, gateway: Gateway, owner: Gateway
    ) -> Asked:
        """Ask for an engine for a stream that its caller takes up."""
        call = _call(self._number(), stream.id, '1')
        run = streamaffinity.StreamAffinity(gateway.affinity, call, SERVICE)
        return Asked(stream, run, gateway, owner, self.now)

    def bind(self, asked: Asked) -> Verdict:
        """Bind a stream to its version as its owner does."""
        version: affinity.Resolution = asked.run.version
        keys = asked.run.unresolved_keys()
        if keys and not version:
            version = asked.owner.affinity.resolve(
                SERVICE, keys, asked.arrived_at
            )
        if isinstance(version, versionaffinity.Problem):
            return Verdict.REFUSED
        asked.version = version
        return Verdict.WAITS

    def place(self, asked: Asked, choice: int) -> Verdict:
        """Place a stream as its owner does, and run it.

        Args:
            asked: The request.
            choice: Selects the engine among those that suit.
        """
        run, owner, version = asked.run, asked.owner, asked.version
        if version is None:
            return Verdict.WAITS
        registry = owner.directory.registry
        usable = owner.affinity.usable(registry.usable(SERVICE, self.now))
        suiting = [e for e in usable if version in ('', e.version)]
        if not suiting:
            owner.affinity.request_listing()
            is_over = self.now - asked.arrived_at > versionaffinity.SETTLE_S
            return Verdict.REFUSED if is_over else Verdict.WAITS
        engine = suiting[choice % len(suiting)]
        run.record_decision(
            messages.Placement(
                ids.StreamId(asked.stream.id),
                ids.UpstreamId(''),
                engine.id,
                '',
                version=version,
            )
        )
        return self._run(asked, engine)

    def _run(self, asked: Asked, engine: upstreams.Upstream) -> Verdict:
        """Run a stream at an engine, if its gateway and the engine agree."""
        run, registry = asked.run, asked.gateway.directory.registry
        known = registry.find(engine.id)
        if known is None or not registry.accepts_work(engine.id, self.now):
            return Verdict.WAITS
        if run.is_undecided or not run.allows(known):
            return Verdict.REFUSED
        name = incarnations.instance_id(engine.id)
        if self.now - self._gone.get(name, self.now) > _LINGER_S:
            return Verdict.WAITS
        run.record_start(known, asked.stream.deadline)
        asked.stream.run = run
        asked.stream.relayed_by = asked.gateway
        asked.stream.versions.add(self._software[name])
        return Verdict.RUNS


def _call(number: str, resumes: str, last_event_id: str) -> calls.Call:
    """Return a caller's request; all are alike but for their ids."""
    return typing.cast(
        calls.Call,
        types.SimpleNamespace(
            id=f'r{number}',
            digest='d',
            prompt=types.SimpleNamespace(last_block_id='b'),
            resumes=resumes,
            last_event_id=last_event_id,
        ),
    )
