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

"""Tests of connections to the store that go silent for good.

New connections work all the while, so only a time limit shows it.
"""

import concurrent.futures
import time
import typing

import pytest

from galenahatch.test import fleet as fleets
from galenahatch.test.standin import proxy as proxies

_MEMBERS: typing.Final = (('desk', ''), ('counter', ''))
_CONTACT_S: typing.Final = 2.0
_BUSY_S: typing.Final = 0.8
"""Allowance for gateways that share a busy machine."""
_BOUNDS: typing.Final = {
    'grace_s': 8,
    'drain_ms': 2000,
    'lease_ms': 300,
    'contact_ms': 1000 * _CONTACT_S,
}


def _configuration(version: int, service: str) -> dict[str, typing.Any]:
    config = fleets.configuration(version)
    (desk, *_) = config['services']
    config['services'].append({**desk, 'name': 'counter'})
    for route in config['routes']:
        if route['prefix'] == '/often/':
            route['service'] = service
    return config


# Guards against configurations and leaving upstreams that gateways learn of
# too late, as all polls of the store had begun just before it went silent.
@pytest.mark.parametrize('count', [1, 3, 10])
def test_changes_behind_silent_connections(count: int) -> None:
    """They are known once the gateways had time to notice the silence."""
    found = fleets.Fleet(count, _MEMBERS, _configuration(1, 'desk'))
    fronts = []
    for vm in found.vms:
        front = proxies.Proxy(vm.store)
        found.call(front.start())
        fronts.append(front)
        vm.write_settings(
            bounds=_BOUNDS,
            platform={'address': front.address, 'form': 'table'},
        )
    with found as started:
        (counter,) = started.of('counter')
        # All polls end with this change, and the next ones begin together.
        started.put('op', 'config', _configuration(2, 'desk'))
        time.sleep(0.4)
        for front in fronts:
            started.run(front.hush)
        silent_at = time.monotonic()
        time.sleep(0.5)
        started.put('op', 'config', _configuration(3, 'counter'))
        bound_at = silent_at + _CONTACT_S + _BUSY_S
        time.sleep(bound_at - time.monotonic())
        with concurrent.futures.ThreadPoolExecutor(count) as threads:
            answers = list(
                threads.map(
                    lambda vm: started.ask('/often/x', vm=vm), range(count)
                )
            )
        late = [answer for answer in answers if answer.id not in counter.ran]
        assert not late, f'{len(late)} of {count}'
    for front in fronts:
        front.stop()
