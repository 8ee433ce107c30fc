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

"""The soak with customers: keys come and go, one customer has a quota.

`python -m galenahatch.test.keysoak [--seeds N] [--first SEED]` plays the
faults of `soak`, and checks besides:

- no key goes on to an upstream or into a log, and each run bears the name of
  the customer that holds the key;
- a key that no configuration ever held runs nothing;
- what runs for the customer with a quota stays under the bound in every
  window, over all gateways;
- at the end keys that are gone are refused by all gateways.
"""

import collections
import random
import sys
import typing

from galenahatch.test import fleet as fleets
from galenahatch.test import soak

_OWN: typing.Final = {
    'key-of-shop': 'shop',
    'second-key-of-shop': 'shop',
    'key-of-desk': 'desk',
    'key-of-limited': 'limited',
}
_STAYS: typing.Final = 'key-of-shop'
_NEVER: typing.Final = 'key-of-nobody'
_RATE: typing.Final = 3000.0
_BURST: typing.Final = 3000.0
_WINDOW: typing.Final = 10.0
_OVERSHOOT: typing.Final = 0.1
_SLACK: typing.Final = 20_000.0
_CALL: typing.Final = 200.0
_STREAM: typing.Final = 1100.0


class KeySoak(soak.Soak):
    """One seed, with customers."""

    def __init__(self, seed: int, seconds: float) -> None:
        self._keys = set(_OWN)
        super().__init__(seed, seconds, restarts=True)
        for vm in self._fleet.vms:
            vm.write_settings(bounds=_bounds())

    def _document(self, version: int) -> dict[str, typing.Any]:
        """Return a configuration with the keys that are held now.

        With each version after the first a key may go or come back.
        """
        if version > 1:
            self._keys = {_STAYS} | {
                key for key in sorted(_OWN) if self._random.random() < 0.6
            }
        customers: dict[str, dict[str, typing.Any]] = {
            name: {'api_keys': []} for name in sorted(set(_OWN.values()))
        }
        for key in sorted(self._keys):
            customers[_OWN[key]]['api_keys'].append(key)
        customers['limited'] |= {
            'unit': 'tokens',
            'plain_tokens': _CALL,
            'rate_per_s': _RATE,
            'burst': _BURST,
        }
        return fleets.with_customers(version, customers)

    def _credentials(self, source: random.Random) -> dict[str, typing.Any]:
        key = source.choice((*_OWN, 'key-of-limited', _NEVER))
        return {'Authorization': f'Bearer {key}', 'X_Key': key}

    def _known(self) -> dict[str, typing.Any]:
        return {'Authorization': f'Bearer {_STAYS}', 'X_Key': _STAYS}

    def _heal(self) -> list[str]:
        return super()._heal() + self._gone_keys()

    def _gone_keys(self) -> list[str]:
        """Return the gateways that still let a key in that is gone."""
        broken = []
        for vm in self._fleet.vms:
            for key in sorted(set(_OWN) - self._keys):
                with fleets.Caller(vm) as caller:
                    bearer: dict[str, typing.Any] = {
                        'Authorization': f'Bearer {key}',
                        'X_Key': key,
                    }
                    status = caller.ask('/once/x', **bearer).status
                if status != 401:
                    broken.append(f'gone key: {vm.address} {status}')
        return broken

    def _verdicts(self) -> list[str]:
        return super()._verdicts() + self._books() + self._fullest()

    def _books(self) -> list[str]:
        """Return what upstreams and logs should not have seen."""
        broken = []
        for upstream in self._fleet.upstreams:
            for seen in upstream.seen:
                holder = _OWN.get(seen.headers.get('x-key', ''), '')
                if seen.told('tenant') != holder or not holder:
                    broken.append(f'customer: {seen.id} {seen.headers}')
                if 'authorization' in seen.headers:
                    broken.append(f'key went on: {seen.id}')
        for vm in self._fleet.vms:
            text = vm.log.read_text(errors='replace')
            broken += [f'key in the log: {key}' for key in _OWN if key in text]
        return broken

    def _fullest(self) -> list[str]:
        """Return the windows in which too much ran for the customer."""
        first: dict[str, tuple[float, float]] = {}
        for upstream in self._fleet.upstreams:
            for seen in upstream.seen:
                if seen.ran and seen.told('tenant') == 'limited':
                    units = _STREAM if seen.told('token-count') else _CALL
                    at = min(seen.at, first.get(seen.id, (seen.at, 0.0))[0])
                    first[seen.id] = at, units
        limit = _RATE * _WINDOW + _BURST
        bound = limit * (1 + _OVERSHOOT) + _SLACK
        inside: collections.deque[tuple[float, float]] = collections.deque()
        for at, units in sorted(first.values()):
            inside.append((at, units))
            while inside[0][0] <= at - _WINDOW:
                inside.popleft()
            total = sum(one for _, one in inside)
            if total > bound:
                return [f'quota: {total:.0f} units, {bound:.0f} at most']
        return []


def _bounds() -> dict[str, float]:
    return {
        'grace_s': 8,
        'drain_ms': 2000,
        'lease_ms': 300,
        'quota_window_s': _WINDOW,
        'quota_overshoot': _OVERSHOOT,
        'quota_slack': _SLACK,
    }


def play(seed: int, seconds: float = soak.SECONDS) -> list[str]:
    """Play one seed; return what was broken."""
    return KeySoak(seed, seconds).run()


def main() -> int:
    """Play seeds and print what they broke."""
    return soak.play_seeds('Soak with customers', KeySoak)


if __name__ == '__main__':
    sys.exit(main())
