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


"""The soak with upstreams that say what they want in their answers.

`python -m galenahatch.test.noticesoak [--seeds N] [--first SEED]` plays the
faults of `soak`; besides, upstreams name rate limits and lift them, say that
they leave, and turn requests away with a pause. It checks, for each gateway
from the moment on at which it passed such an answer on:

- an upstream gets no more than its limit allows in any four seconds, over all
  gateways that were told;
- none that left by its own word gets a request of a gateway that it told;
- at most two requests come within a pause.

A gateway that was frozen, killed or stopped is excused until it is told again,
and an upstream that started again begins anew.
"""

import collections.abc
import dataclasses
import math
import sys
import time
import typing

from galenahatch.test import fleet as fleets
from galenahatch.test import soak
from galenahatch.test.standin import upstreams

_CONTACT: typing.Final = 3.0
_WINDOW: typing.Final = 4.0
_UNDER_WAY: typing.Final = 0.5
DRAIN: typing.Final = 2.0
SLACK: typing.Final = 1.0
"""Seconds for this busy machine on top of the bound on leaving upstreams."""


@dataclasses.dataclass
class Spell:
    """A time in which an upstream said one thing.

    Attributes:
        rate: of the limit that it named, if it named one.
    """

    upstream: upstreams.Upstream
    began_at: float
    rate: float = 0.0
    ended_at: float = math.inf


class NoticeSoak(soak.Soak):
    """One seed, with upstreams that say what they want."""

    def __init__(self, seed: int, seconds: float) -> None:
        self._disturbed: list[tuple[fleets.Vm, float]] = []
        self._limits: list[Spell] = []
        self._leaves: list[Spell] = []
        self._cut_at: list[float] = []
        super().__init__(seed, seconds, restarts=False)

    def _more_actions(
        self,
    ) -> tuple[collections.abc.Callable[[], None], ...]:
        return (self._limit,) * 3 + (self._say_leaving,) + (self._pause,) * 2

    def _up(self) -> fleets.Vm | None:
        vm = super()._up()
        if vm is not None:
            self._disturbed.append((vm, time.monotonic()))
        return vm

    def _begin(self, vm: fleets.Vm) -> None:
        # What it was told while it stopped, it has forgotten.
        self._disturbed.append((vm, time.monotonic()))
        super()._begin(vm)

    def _disturb_links(self) -> None:
        self._cut_at.append(time.monotonic())
        super()._disturb_links()

    def _reset_links(self) -> None:
        self._cut_at.append(time.monotonic())
        super()._reset_links()

    # What upstreams say.

    def _limit(self) -> None:
        upstream = self._random.choice(self._fleet.upstreams)
        rate = self._random.choice((0.0, 0.5, 2.0, 8.0))
        if 'Server-Limit' in upstream.says:
            return
        upstream.says['Server-Limit'] = str(rate)
        spell = Spell(upstream, time.monotonic(), rate)
        self._limits.append(spell)

        def lift() -> None:
            # It may have started again meanwhile, and name another one.
            if spell.ended_at == math.inf:
                spell.ended_at = time.monotonic()
                upstream.says.pop('Server-Limit', None)

        self._later(5.0, 9.0, lift)

    def _say_leaving(self) -> None:
        upstream = self._random.choice(self._fleet.upstreams)
        if 'Server-Leaving' in upstream.says:
            return
        upstream.says['Server-Leaving'] = '1'
        spell = Spell(upstream, time.monotonic())
        self._leaves.append(spell)

        def start_again() -> None:
            spell.ended_at = time.monotonic()
            upstream.says.clear()
            for limit in self._limits:
                if limit.upstream is upstream:
                    limit.ended_at = min(limit.ended_at, spell.ended_at)
            self._fleet.run(upstream.start_again)
            self._fleet.put('servers', upstream.id, upstream.row())

        self._later(4.0, 6.0, start_again)

    def _pause(self) -> None:
        upstream = self._random.choice(self._fleet.upstreams)
        upstream.says['Retry-After'] = str(self._random.choice((1, 2, 4)))
        fault = 'no-prefill' if upstream.stage == 'prefill' else 'refuse'
        upstream.faults.extend([fault] * 5)
        self._later(2.0, 5.0, lambda: upstream.says.pop('Retry-After', None))

    # Verdicts.

    def _heal(self) -> list[str]:
        for upstream in self._fleet.upstreams:
            upstream.says.clear()
        now = time.monotonic()
        for spell in self._limits + self._leaves:
            spell.ended_at = min(spell.ended_at, now)
        return super()._heal()

    def _verdicts(self) -> list[str]:
        broken = super()._verdicts()
        for spell in self._limits:
            broken += self._over_limit(spell)
        for spell in self._leaves:
            broken += self._after_leaving(spell)
        for upstream in self._fleet.upstreams:
            broken += self._within_pause(upstream)
        return broken

    def _told(self, spell: Spell, header: str) -> dict[str, list[float]]:
        """Return when each gateway passed such an answer on."""
        told: dict[str, list[float]] = {}
        for asked in self._asked:
            headers = asked.answer.headers
            stamp = headers.get('x-galenahatch-response-stamp', '')
            if header not in headers or stamp != f'stamp-{spell.upstream.id}':
                continue
            if spell.began_at <= asked.at <= spell.ended_at:
                told.setdefault(asked.vm.address, []).append(asked.at)
        return told

    def _is_bound(
        self, told: dict[str, list[float]], seen: upstreams.Seen, after: float
    ) -> bool:
        """Return whether a gateway knew, for so long, as it sent a request."""
        address = via(seen)
        return any(
            at + after <= seen.at
            and not self._is_excused(address, at, seen.at)
            for at in told.get(address, ())
        )

    def _is_excused(self, address: str, since: float, until: float) -> bool:
        return any(
            vm.address == address and since <= at <= until
            for vm, at in self._disturbed
        )

    def _over_limit(self, spell: Spell) -> list[str]:
        told = self._told(spell, 'server-limit')
        first = min((at for times in told.values() for at in times), default=0)
        times = [
            seen.at
            for seen in spell.upstream.seen
            if first + _CONTACT <= seen.at <= spell.ended_at
            and self._is_bound(told, seen, _UNDER_WAY)
        ]
        allowed = 1.5 * spell.rate * _WINDOW + 5
        for at in times:
            count = sum(at <= later < at + _WINDOW for later in times)
            if count > allowed:
                return [f'limit: {count} requests, {allowed:.0f} allowed']
        return []

    def _after_leaving(self, spell: Spell) -> list[str]:
        told = self._told(spell, 'server-leaving')
        return [
            f'left by its word: {spell.upstream.id} got {seen.id}'
            for seen in spell.upstream.seen
            if seen.at < spell.ended_at
            and seen.told('expect-instance') == spell.upstream.id
            and self._is_bound(told, seen, DRAIN + SLACK)
        ]

    def _within_pause(self, upstream: upstreams.Upstream) -> list[str]:
        broken = []
        for refusal in upstream.seen:
            if not refusal.refused or 'Retry-After' not in refusal.said:
                continue
            until = refusal.at + float(refusal.said['Retry-After'])
            # A pause ends with the start of the upstream that asked for it.
            wanted = refusal.told('expect-instance')
            came = [
                seen
                for seen in upstream.seen
                if via(seen) == via(refusal)
                and seen.told('expect-instance') == wanted
                and refusal.at + _UNDER_WAY < seen.at < until
            ]
            cut = any(refusal.at - 2.0 < at < until for at in self._cut_at)
            excused = self._is_excused(via(refusal), refusal.at, until)
            if len(came) > 2 and not cut and not excused:
                broken.append(f'pause: {upstream.id} got {len(came)}')
        return broken


def via(seen: upstreams.Seen) -> str:
    """Return the address of the gateway that a request went through."""
    return seen.headers.get('x-via', '')


def play(seed: int, seconds: float = soak.SECONDS) -> list[str]:
    """Play one seed; return what was broken."""
    return NoticeSoak(seed, seconds).run()


def main() -> int:
    """Play seeds and print what they broke."""
    return soak.play_seeds('Soak with notices', NoticeSoak)


if __name__ == '__main__':
    sys.exit(main())
