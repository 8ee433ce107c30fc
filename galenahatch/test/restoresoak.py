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

"""The soak with a store that comes back from older copies.

`python -m galenahatch.test.restoresoak [--seeds N] [--first SEED]` plays the
faults of `noticesoak`; besides, the store goes back to a copy, with or without
an outage, several times in a row, while upstreams leave and gateways restart.
The operator and the upstreams write again what was lost. It checks besides:

- no upstream that has left gets work of a gateway that was up all the while,
  also if the copy calls it ready;
- all gateways have a row in the end.
"""

import collections.abc
import functools
import sys
import time
import typing

import msgspec

from galenahatch.gateway import roster
from galenahatch.test import fleet as fleets
from galenahatch.test import noticesoak
from galenahatch.test import soak
from galenahatch.test.standin import upstreams

_WRITTEN_AGAIN: typing.Final = 1.2
"""Seconds within which an upstream that lives writes its entry again."""
_HEARD: typing.Final = 1.0
"""Seconds within which gateways hear of an upstream that leaves; what a
restore takes back before that, they can't know."""
_STARTS: typing.Final = 4.0
"""Seconds that a gateway takes to start on a busy machine: it reads the store
at the end of them, and knows nothing better than the copy."""
_LAPSE: typing.Final = 3.6
"""Seconds after which the store removes the entry of one that is silent."""


class RestoreSoak(noticesoak.NoticeSoak):
    """One seed, with restores of the store."""

    def __init__(self, seed: int, seconds: float) -> None:
        self._draining: set[str] = set()
        self._gone: list[tuple[upstreams.Upstream, str, float]] = []
        self._begun: list[tuple[fleets.Vm, float]] = []
        super().__init__(seed, seconds)

    def _begin(self, vm: fleets.Vm) -> None:
        self._begun.append((vm, time.monotonic()))
        super()._begin(vm)

    def _more_actions(
        self,
    ) -> tuple[collections.abc.Callable[[], None], ...]:
        more = super()._more_actions()
        return (*more, *[self._copy] * 4, *[self._restore] * 4)

    def _copy(self) -> None:
        """Make a copy; some of what is written next will be lost."""
        self._fleet.run(self._fleet.store.copy)
        upstream = self._random.choice(self._fleet.upstreams)
        for _ in range(self._random.randint(0, 60)):
            self._fleet.put('servers', upstream.id, self._row(upstream))
        if self._random.random() < 0.3:
            self._leave()

    def _restore(self) -> None:
        store = self._fleet.store
        if store.mode:
            return
        store.mode = self._random.choice(('', 'reset', 'busy'))
        leaves = self._random.random() < 0.5
        heard = time.monotonic() - _HEARD
        self._gone = [left for left in self._gone if left[2] < heard]

        def back() -> None:
            written = dict(store.tables.get('op', {}))
            self._fleet.run(store.restore)
            for key, row in written.items():
                self._fleet.put('op', key, msgspec.json.decode(row.value))
            store.mode = ''
            for upstream in self._fleet.upstreams:
                write = functools.partial(self._write, upstream)
                self._later(0.0, _WRITTEN_AGAIN, write)
            self._later(_LAPSE, _LAPSE, self._lapse)
            if leaves:
                self._leave()

        self._later(0.0, 0.8, back)

    def _row(self, upstream: upstreams.Upstream) -> dict[str, typing.Any]:
        is_leaving = upstream.id in self._draining
        return upstream.row('draining') if is_leaving else upstream.row()

    def _write(self, upstream: upstreams.Upstream) -> None:
        """Write an upstream's entry as it is by now, if the store lacks it."""
        row = self._row(upstream)
        stored = self._fleet.store.tables.get('servers', {}).get(upstream.id)
        if stored is None or stored.value != msgspec.json.encode(row):
            self._fleet.put('servers', upstream.id, row)

    def _lapse(self) -> None:
        """Remove the entries of upstreams that are gone."""
        living = {upstream.id for upstream in self._fleet.upstreams}
        for key in self._fleet.store.tables.get('servers', {}).keys() - living:
            self._fleet.drop('servers', key)

    def _leave(self) -> None:
        """An upstream leaves, and is long about it."""
        upstream = self._random.choice(self._fleet.upstreams)
        old = upstream.id
        if old in self._draining:
            return
        self._draining.add(old)
        self._write(upstream)
        if not self._fleet.store.mode:
            self._gone.append((upstream, old, time.monotonic()))

        def back() -> None:
            upstream.id = f'{old}+'
            self._fleet.drop('servers', old)
            self._write(upstream)

        self._later(6.0, 7.0, back)

    def _store(self) -> None:
        self._gone.clear()
        super()._store()

    # Verdicts.

    def _verdicts(self) -> list[str]:
        broken = super()._verdicts()
        for upstream, old, at in self._gone:
            broken += [
                f'left before a restore: {old} ran {seen.id}'
                for seen in upstream.seen
                if seen.ran
                and seen.at > at + noticesoak.DRAIN + noticesoak.SLACK
                and seen.told('expect-instance') == old
                and not self._is_excused(noticesoak.via(seen), at, seen.at)
                and not self._has_begun(noticesoak.via(seen), at, seen.at)
                and not self._has_started_again(upstream, at, seen.at)
            ]
        return broken

    def _has_begun(self, address: str, since: float, until: float) -> bool:
        """Return whether a gateway may not have been up all the while."""
        return any(
            vm.address == address and since - _STARTS <= at <= until
            for vm, at in self._begun
        )

    def _has_started_again(
        self, upstream: upstreams.Upstream, since: float, until: float
    ) -> bool:
        """Return whether a later start of an upstream, which may take work."""
        return any(
            spell.upstream is upstream and since <= spell.ended_at <= until
            for spell in self._leaves
        )

    def _heal(self) -> list[str]:
        broken = super()._heal()
        everybody = {vm.address for vm in self._fleet.vms}
        until = time.monotonic() + noticesoak.DRAIN
        while time.monotonic() < until and everybody - self._present():
            time.sleep(0.05)
        lacking = everybody - self._present()
        return [*broken, *(f'without a row: {name}' for name in lacking)]

    def _present(self) -> set[str]:
        table = dict(self._fleet.store.tables.get(roster.MEMBER_TABLE, {}))
        return {key for key, row in table.items() if not row.removed}


def play(seed: int, seconds: float = soak.SECONDS) -> list[str]:
    """Play one seed; return what was broken."""
    return RestoreSoak(seed, seconds).run()


def main() -> int:
    """Play seeds and print what they broke."""
    return soak.play_seeds('Soak with restores of the store', RestoreSoak)


if __name__ == '__main__':
    sys.exit(main())
