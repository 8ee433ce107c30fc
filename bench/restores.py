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

"""Compares schemes to follow a store that is restored from older copies.

Runs the product's entries (`gateway/entries`) in virtual time. The first two
gateways read the store, and the others get updates from them. The schemes are:

- `numbers`: versions are numbers, without regard to the era;
- `anew`: a gateway that learns of a new era drops its entries and reads again;
- `pairs`: versions are pairs of era and number, and entries that are newer
  than the restored copy stay.

`python -m bench.restores [SEEDS]` prints, for the worst gateway, the seconds
in which an upstream was used after it left and the drain time was over, and
the seconds without any upstream; and for all gateways, the share of the
upstreams' time in which they were live and not used, and the rows read from
the store.
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

_STEP_S: typing.Final = 0.05
_RUN_S: typing.Final = 30.0
_DRAIN_S: typing.Final = 2.0
_HEARTBEAT_INTERVAL_S: typing.Final = 1.2
_SILENCE_TIMEOUT_S: typing.Final = 3 * _HEARTBEAT_INTERVAL_S
_UPDATE_INTERVAL_S: typing.Final = 0.6
_READER_COUNT: typing.Final = 2
_UPSTREAM_COUNT: typing.Final = 30
_CHANGED_COUNT: typing.Final = 5
SIZES: typing.Final = (6, 63, 410)
_SERVICE: typing.Final = ids.ServiceName('desk')


class VersionScheme(enum.Enum):
    """How gateways compare versions of the store."""

    NUMBERS = 'numbers'
    RESET = 'anew'
    PAIRS = 'pairs'


@dataclasses.dataclass(frozen=True)
class Scenario:
    """The events of a run; all times are seconds from its start.

    Attributes:
        restores: time of each restore, and the seconds of writes it loses.
        departures: times at which an upstream leaves.
        joins: times at which an upstream is added.
        changes: times at which some upstreams change their entries.
        other_writes_per_s: writes a second of other clients, which advance
            the version.
    """

    restores: tuple[tuple[float, float], ...]
    departures: tuple[float, ...] = ()
    joins: tuple[float, ...] = ()
    changes: tuple[float, ...] = (6.5, 8.5, 9.5)
    other_writes_per_s: float = 0.5


SCENARIOS: typing.Final[dict[str, Scenario]] = {
    'leaves after': Scenario(((10.0, 5.0),), departures=(14.0, 16.0)),
    'leaves in the lost seconds': Scenario(
        ((10.0, 5.0),), departures=(7.0, 9.0)
    ),
    'leaves just after': Scenario(((10.0, 5.0),), departures=(10.3, 11.0)),
    'numbers are passed': Scenario(
        ((10.0, 2.0),), departures=(10.0, 13.0), other_writes_per_s=200.0
    ),
    'joins in the lost seconds': Scenario(((10.0, 5.0),), joins=(6.0, 8.0)),
    'three restores': Scenario(
        ((8.0, 3.0), (10.0, 5.0), (13.0, 4.0)),
        departures=(6.5, 9.0, 14.0),
        joins=(7.0, 12.0),
    ),
}


@dataclasses.dataclass
class _Upstream:
    """An upstream and the state in its entry.

    Attributes:
        key: key of its row.
        state: state in its entry.
        left_at: time at which it left, or None.
    """

    key: str
    state: str = 'ready'
    left_at: float | None = None


class _Store:
    """Rows of upstreams, with a snapshot of each step."""

    def __init__(self) -> None:
        self.rows: dict[str, stores.Row] = {}
        self.ver = 0
        self.era = 0
        self.rows_read = 0
        self._snapshots: list[tuple[float, int, dict[str, stores.Row]]] = []

    def write(self, upstream: _Upstream) -> None:
        """Write the entry of an upstream."""
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
        """Remove the entry of an upstream."""
        self.ver += 1
        self.rows[key] = stores.Row(key, self.ver, removed=True)

    def take_snapshot(self, now: float) -> None:
        """Save the current rows for later restores."""
        self._snapshots.append((now, self.ver, dict(self.rows)))

    def restore(self, restored_to: float) -> None:
        """Restore the last snapshot of a time, in a new era."""
        snapshots = [
            snapshot
            for snapshot in self._snapshots
            if snapshot[0] <= restored_to
        ]
        _, self.ver, rows = snapshots[-1]
        self.rows = dict(rows)
        self._snapshots = snapshots
        self.era += 1

    def list_rows(self) -> list[stores.Row]:
        """Return all rows that are not removed."""
        selected = [row for row in self.rows.values() if not row.removed]
        self.rows_read += len(selected)
        return selected

    def changed_rows(self, after: int) -> list[stores.Row]:
        """Return the rows that changed after a version."""
        selected = [row for row in self.rows.values() if row.ver > after]
        self.rows_read += len(selected)
        return selected


class _Gateway:
    """The entries of one gateway."""

    def __init__(self, scheme: VersionScheme) -> None:
        self._scheme = scheme
        self._era = 0
        self._feed_version = versions.OLDEST
        self._reset()
        self.next_update_at = 0.0

    def _reset(self) -> None:
        self.entries = entries.Entries(
            _DRAIN_S, _HEARTBEAT_INTERVAL_S, lambda: None
        )

    def _observe_era(self, era: int) -> None:
        """Record the era of the store, or of a peer's heartbeat."""
        if self._scheme is VersionScheme.RESET and era > self._era:
            self._reset()
        self._era = max(self._era, era)

    def read_store(self, store: _Store) -> None:
        """Read new rows, or all rows if the feed can't be continued."""
        era = 0 if self._scheme is VersionScheme.NUMBERS else store.era
        self._observe_era(era)
        version = versions.Version(era, store.ver)
        needs_full_read = not versions.OLDEST < self._feed_version <= version
        if needs_full_read or self._feed_version.era != era:
            self.entries.replace_all(store.list_rows(), version)
        elif rows := store.changed_rows(self._feed_version.number):
            self.entries.apply_changes(rows, version)
        self._feed_version = version

    def request_update(self, peer: '_Gateway') -> None:
        """Get the newer entries of a peer."""
        self._observe_era(peer._era)
        version = self.entries.version
        if peer.entries.version > version:
            request = messages.UpdateRequest(0, version.number, version.era)
            update = peer.entries.update_for(request, b'')
            if update is not None:
                self.entries.apply_update(update)

    def usable_upstreams(self, now: float) -> set[str]:
        """Return the keys of the upstreams that can get new requests."""
        selected = self.entries.registry.usable(_SERVICE, now)
        return {str(upstream.id) for upstream in selected}


@dataclasses.dataclass
class Result:
    """The result of a run.

    Attributes:
        late_s: seconds in which the worst gateway used an upstream after its
            drain time.
        without_s: seconds in which the worst gateway had no upstream.
        idle_share: share of the upstreams' time without use by a gateway.
        rows_read: rows read from the store.
    """

    late_s: float = 0.0
    without_s: float = 0.0
    idle_share: float = 0.0
    rows_read: int = 0


class Simulation:
    """A run of one scenario with one version scheme."""

    def __init__(
        self, size: int, scenario: Scenario, scheme: VersionScheme, seed: int
    ) -> None:
        self._random = random.Random(seed)
        self._scenario = scenario
        self._store = _Store()
        self._gateways = [_Gateway(scheme) for _ in range(size)]
        self._upstreams = [_Upstream(f'i-{n}') for n in range(_UPSTREAM_COUNT)]
        self._scheduled: list[tuple[float, collections.abc.Callable[[], None]]]
        self._scheduled = []
        self._now = 0.0
        for upstream in self._upstreams:
            self._store.write(upstream)

    def run(self) -> Result:
        """Simulate the scenario."""
        late_s = [0.0] * len(self._gateways)
        without_s = [0.0] * len(self._gateways)
        idle_s = 0.0
        clock.now = lambda: self._now
        while self._now < _RUN_S:
            self._store.take_snapshot(self._now)
            self._apply_events()
            self._propagate()
            for number, gateway in enumerate(self._gateways):
                gateway.entries.accept_settled()
                used = gateway.usable_upstreams(self._now)
                late_s[number] += _STEP_S * bool(used & self._departed_keys())
                without_s[number] += _STEP_S * (not used)
                idle_s += _STEP_S * len(self._live_keys() - used)
            self._now += _STEP_S
        total = len(self._gateways) * _UPSTREAM_COUNT * _RUN_S
        return Result(
            max(late_s), max(without_s), idle_s / total, self._store.rows_read
        )

    def _departed_keys(self) -> set[str]:
        return {
            upstream.key
            for upstream in self._upstreams
            if upstream.left_at is not None
            and self._now - upstream.left_at > _DRAIN_S
        }

    def _live_keys(self) -> set[str]:
        return {
            upstream.key
            for upstream in self._upstreams
            if upstream.left_at is None
        }

    def _count_due(self, times: collections.abc.Iterable[float]) -> int:
        return sum(self._now <= at < self._now + _STEP_S for at in times)

    def _apply_events(self) -> None:
        due = [action for at, action in self._scheduled if at <= self._now]
        self._scheduled = [
            item for item in self._scheduled if item[0] > self._now
        ]
        for action in due:
            action()
        for at, lost_s in self._scenario.restores:
            if self._count_due([at]):
                self._restore(lost_s)
        for _ in range(self._count_due(self._scenario.departures)):
            self._remove_upstream()
        for _ in range(self._count_due(self._scenario.joins)):
            upstream = _Upstream(f'i-{len(self._upstreams)}')
            self._upstreams.append(upstream)
            self._store.write(upstream)
        if self._count_due(self._scenario.changes):
            for upstream in self._upstreams[-_CHANGED_COUNT:]:
                self._store.write(upstream)
        expected = self._scenario.other_writes_per_s * _STEP_S
        self._store.ver += int(expected)
        self._store.ver += self._random.random() < expected % 1

    def _remove_upstream(self) -> None:
        upstream = next(
            upstream for upstream in self._upstreams if not upstream.left_at
        )
        upstream.left_at = self._now
        self._store.remove(upstream.key)

    def _restore(self, lost_s: float) -> None:
        """Restore the store to an earlier time.

        Live upstreams write their lost entries again; the restored entries of
        those that left expire.
        """
        previous_rows = dict(self._store.rows)
        self._store.restore(self._now - lost_s)
        for upstream in self._upstreams:
            key = upstream.key
            if previous_rows[key] == self._store.rows.get(key):
                continue
            if upstream.left_at is None:
                at = self._now + self._random.uniform(
                    0.0, _HEARTBEAT_INTERVAL_S
                )
                self._schedule(at, self._store.write, upstream)
            else:
                self._schedule(
                    self._now + _SILENCE_TIMEOUT_S, self._expire, upstream
                )

    def _schedule(
        self,
        at: float,
        action: collections.abc.Callable[[_Upstream], None],
        upstream: _Upstream,
    ) -> None:
        self._scheduled.append((at, lambda: action(upstream)))

    def _expire(self, upstream: _Upstream) -> None:
        if not self._store.rows[upstream.key].removed:
            self._store.remove(upstream.key)

    def _propagate(self) -> None:
        """Let readers read the store, and other gateways get updates."""
        all_read = len(self._gateways) <= 8
        readers = (
            self._gateways if all_read else self._gateways[:_READER_COUNT]
        )
        for reader in readers:
            reader.read_store(self._store)
        for gateway in self._gateways[len(readers) :]:
            if gateway.next_update_at <= self._now:
                delay_s = self._random.uniform(0.5, 1.0) * _UPDATE_INTERVAL_S
                gateway.next_update_at = self._now + delay_s
                gateway.request_update(self._random.choice(readers))


def main() -> None:
    """Print a table of all scenarios, sizes and schemes."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print(
        'scene                       size  way      late  without  idle  read'
    )
    for name, scenario in SCENARIOS.items():
        for size in SIZES:
            for scheme in VersionScheme:
                runs = [
                    Simulation(size, scenario, scheme, seed).run()
                    for seed in range(1, seeds + 1)
                ]
                print(
                    f'{name:27s} {size:4d}  {scheme.value:8s}'
                    f'{max(run.late_s for run in runs):5.2f}  '
                    f'{max(run.without_s for run in runs):7.2f} '
                    f'{sum(run.idle_share for run in runs) / seeds:.4f} '
                    f'{sum(run.rows_read for run in runs) // seeds:5d}',
                    flush=True,
                )


if __name__ == '__main__':
    main()
