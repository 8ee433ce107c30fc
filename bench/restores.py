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

"""Compares ways to follow a store that comes back from older copies.

Plays the product's entries (`gateway/entries`) in virtual time, for gateways
of which the first two read the store and tell the others. Compared are:

- `numbers`: versions are numbers, whatever era they are of;
- `anew`: who hears of a new era forgets all and reads again;
- `pairs`: versions are pairs of era and number, and what is known better than
  the copy stays.

`python -m bench.restores [SEEDS]` shows, for the worst gateway, the seconds
for which an upstream that left was used beyond the bound, and the seconds
without any upstream; and for all, the part of the upstreams' time in which
they lived and were not used, and the rows read from the store.
"""

import collections.abc
import dataclasses
import enum
import random
import sys
import typing

import msgspec

from galenahatch import clock
from galenahatch.core import versions
from galenahatch.gateway import entries
from galenahatch.gateway import messages
from galenahatch import ids
from galenahatch.platform import store as stores

_STEP: typing.Final = 0.05
_LASTS: typing.Final = 30.0
_DRAIN: typing.Final = 2.0
_HEARTBEAT: typing.Final = 1.2
_SILENT: typing.Final = 3 * _HEARTBEAT
_ASK_EVERY: typing.Final = 0.6
_READERS: typing.Final = 2
_UPSTREAMS: typing.Final = 30
_CHANGED: typing.Final = 5
SIZES: typing.Final = (6, 63, 410)
_SERVICE: typing.Final = ids.ServiceName('desk')


class Way(enum.Enum):
    """How versions are compared."""

    NUMBERS = 'numbers'
    ANEW = 'anew'
    PAIRS = 'pairs'


@dataclasses.dataclass(frozen=True)
class Scene:
    """What happens.

    Attributes:
        restores: moments, and seconds that each takes back.
        leaves: moments at which an upstream leaves.
        joins: moments at which one is added.
        changes: moments at which some upstreams change their entries.
        writes: of others, a second; they move the counter on.
    """

    restores: tuple[tuple[float, float], ...]
    leaves: tuple[float, ...] = ()
    joins: tuple[float, ...] = ()
    changes: tuple[float, ...] = (6.5, 8.5, 9.5)
    writes: float = 0.5


SCENES: typing.Final[dict[str, Scene]] = {
    'leaves after': Scene(((10.0, 5.0),), leaves=(14.0, 16.0)),
    'leaves in the lost seconds': Scene(((10.0, 5.0),), leaves=(7.0, 9.0)),
    'leaves just after': Scene(((10.0, 5.0),), leaves=(10.3, 11.0)),
    'numbers are passed': Scene(
        ((10.0, 2.0),), leaves=(10.0, 13.0), writes=200.0
    ),
    'joins in the lost seconds': Scene(((10.0, 5.0),), joins=(6.0, 8.0)),
    'three restores': Scene(
        ((8.0, 3.0), (10.0, 5.0), (13.0, 4.0)),
        leaves=(6.5, 9.0, 14.0),
        joins=(7.0, 12.0),
    ),
}


@dataclasses.dataclass
class _Upstream:
    """One upstream; what it last wrote, and when.

    Attributes:
        left_at: when it said that it leaves, if it has.
    """

    key: str
    state: str = 'ready'
    left_at: float | None = None


class _Store:
    """Rows of upstreams, with copies of each step."""

    def __init__(self) -> None:
        self.rows: dict[str, stores.Row] = {}
        self.ver = 0
        self.era = 0
        self.read = 0
        self._copies: list[tuple[float, int, dict[str, stores.Row]]] = []

    def write(self, upstream: _Upstream) -> None:
        """Write an upstream's entry."""
        self.ver += 1
        entry = {
            'service': _SERVICE,
            'address': '10.1.0.9:80',
            'zone': 'a',
            'version': 'v1',
            'slots': 4,
            'state': upstream.state,
            'cold_left_ms': 0,
            'seq_no': 1,
        }
        value = msgspec.json.encode(entry)
        self.rows[upstream.key] = stores.Row(upstream.key, self.ver, value)

    def remove(self, key: str) -> None:
        """Remove an entry."""
        self.ver += 1
        self.rows[key] = stores.Row(key, self.ver, removed=True)

    def copy(self, now: float) -> None:
        """Remember what there is."""
        self._copies.append((now, self.ver, dict(self.rows)))

    def restore(self, moment: float) -> None:
        """Go back to a moment."""
        copies = [copy for copy in self._copies if copy[0] <= moment]
        _, self.ver, rows = copies[-1]
        self.rows = dict(rows)
        self._copies = copies
        self.era += 1

    def listed(self) -> list[stores.Row]:
        """Return all rows."""
        found = [row for row in self.rows.values() if not row.removed]
        self.read += len(found)
        return found

    def changed(self, after: int) -> list[stores.Row]:
        """Return the rows that changed after a version."""
        found = [row for row in self.rows.values() if row.ver > after]
        self.read += len(found)
        return found


class _Gateway:
    """What one gateway knows."""

    def __init__(self, way: Way) -> None:
        self._way = way
        self._era = 0
        self._feed = versions.OLDEST
        self._forget()
        self.asks_at = 0.0

    def _forget(self) -> None:
        self.entries = entries.Entries(_DRAIN, _HEARTBEAT, lambda: None)

    def _hear(self, era: int) -> None:
        """Take the era that the store or a peer names."""
        if self._way is Way.ANEW and era > self._era:
            self._forget()
        self._era = max(self._era, era)

    def follow(self, store: _Store) -> None:
        """Read what is new in the store."""
        era = 0 if self._way is Way.NUMBERS else store.era
        self._hear(era)
        version = versions.Version(era, store.ver)
        is_gone = not versions.OLDEST < self._feed <= version
        if is_gone or self._feed.era != era:
            self.entries.replace_all(store.listed(), version)
        elif rows := store.changed(self._feed.number):
            self.entries.apply_changes(rows, version)
        self._feed = version

    def ask(self, peer: '_Gateway') -> None:
        """Hear a peer's beat, and ask it for news."""
        self._hear(peer._era)
        known = self.entries.version
        if peer.entries.version > known:
            question = messages.UpdateRequest(0, known.number, known.era)
            news = peer.entries.update_for(question, b'')
            if news is not None:
                self.entries.apply_update(news)

    def used(self, now: float) -> set[str]:
        """Return the upstreams that get new work."""
        found = self.entries.registry.usable(_SERVICE, now)
        return {str(upstream.id) for upstream in found}


@dataclasses.dataclass
class Result:
    """What a play came to; seconds of the worst gateway."""

    late: float = 0.0
    without: float = 0.0
    idle: float = 0.0
    read: int = 0


class Play:
    """One scene with gateways that go one way."""

    def __init__(self, size: int, scene: Scene, way: Way, seed: int) -> None:
        self._random = random.Random(seed)
        self._scene = scene
        self._store = _Store()
        self._gateways = [_Gateway(way) for _ in range(size)]
        self._upstreams = [_Upstream(f'i-{n}') for n in range(_UPSTREAMS)]
        self._later: list[tuple[float, collections.abc.Callable[[], None]]]
        self._later = []
        self._now = 0.0
        for upstream in self._upstreams:
            self._store.write(upstream)

    def run(self) -> Result:
        """Play it."""
        late = [0.0] * len(self._gateways)
        without = [0.0] * len(self._gateways)
        idle = 0.0
        clock.now = lambda: self._now
        while self._now < _LASTS:
            self._store.copy(self._now)
            self._happen()
            self._tell()
            for number, gateway in enumerate(self._gateways):
                gateway.entries.accept_settled()
                used = gateway.used(self._now)
                late[number] += _STEP * bool(used & self._left())
                without[number] += _STEP * (not used)
                idle += _STEP * len(self._living() - used)
            self._now += _STEP
        total = len(self._gateways) * _UPSTREAMS * _LASTS
        return Result(max(late), max(without), idle / total, self._store.read)

    def _left(self) -> set[str]:
        return {
            upstream.key
            for upstream in self._upstreams
            if upstream.left_at is not None
            and self._now - upstream.left_at > _DRAIN
        }

    def _living(self) -> set[str]:
        return {one.key for one in self._upstreams if one.left_at is None}

    def _due(self, moments: collections.abc.Iterable[float]) -> int:
        return sum(self._now <= at < self._now + _STEP for at in moments)

    def _happen(self) -> None:
        due = [work for at, work in self._later if at <= self._now]
        self._later = [one for one in self._later if one[0] > self._now]
        for work in due:
            work()
        for at, lost in self._scene.restores:
            if self._due([at]):
                self._restore(lost)
        for _ in range(self._due(self._scene.leaves)):
            self._leave()
        for _ in range(self._due(self._scene.joins)):
            upstream = _Upstream(f'i-{len(self._upstreams)}')
            self._upstreams.append(upstream)
            self._store.write(upstream)
        if self._due(self._scene.changes):
            for upstream in self._upstreams[-_CHANGED:]:
                self._store.write(upstream)
        expected = self._scene.writes * _STEP
        self._store.ver += int(expected)
        self._store.ver += self._random.random() < expected % 1

    def _leave(self) -> None:
        upstream = next(one for one in self._upstreams if not one.left_at)
        upstream.left_at = self._now
        self._store.remove(upstream.key)

    def _restore(self, lost: float) -> None:
        """Upstreams that live write again, and those that left lapse."""
        before = dict(self._store.rows)
        self._store.restore(self._now - lost)
        for upstream in self._upstreams:
            key = upstream.key
            if before[key] == self._store.rows.get(key):
                continue
            if upstream.left_at is None:
                at = self._now + self._random.uniform(0.0, _HEARTBEAT)
                self._at(at, self._store.write, upstream)
            else:
                self._at(self._now + _SILENT, self._lapse, upstream)

    def _at(
        self,
        moment: float,
        work: collections.abc.Callable[[_Upstream], None],
        upstream: _Upstream,
    ) -> None:
        self._later.append((moment, lambda: work(upstream)))

    def _lapse(self, upstream: _Upstream) -> None:
        if not self._store.rows[upstream.key].removed:
            self._store.remove(upstream.key)

    def _tell(self) -> None:
        """Let readers follow the store, and others ask them."""
        small = len(self._gateways) <= 8
        readers = self._gateways if small else self._gateways[:_READERS]
        for reader in readers:
            reader.follow(self._store)
        for gateway in self._gateways[len(readers) :]:
            if gateway.asks_at <= self._now:
                pause = self._random.uniform(0.5, 1.0) * _ASK_EVERY
                gateway.asks_at = self._now + pause
                gateway.ask(self._random.choice(readers))


def main() -> None:
    """Print a table of all scenes, sizes and ways."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print(
        'scene                       size  way      late  without  idle  read'
    )
    for name, scene in SCENES.items():
        for size in SIZES:
            for way in Way:
                runs = [
                    Play(size, scene, way, seed).run()
                    for seed in range(1, seeds + 1)
                ]
                print(
                    f'{name:27s} {size:4d}  {way.value:8s}'
                    f'{max(run.late for run in runs):5.2f}  '
                    f'{max(run.without for run in runs):7.2f} '
                    f'{sum(run.idle for run in runs) / seeds:.4f} '
                    f'{sum(run.read for run in runs) // seeds:5d}',
                    flush=True,
                )


if __name__ == '__main__':
    main()
