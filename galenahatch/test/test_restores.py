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

"""A store that comes back from an older copy.

It forgets what it had acknowledged, gives versions out again, and names a new
era. Nothing that a gateway keeps by versions may be misled by that.
"""

import asyncio
import collections.abc
import time
import typing

import aiohttp
from aiohttp import web
import pytest

from galenahatch.core import incarnations
from galenahatch.gateway import directory as directories
from galenahatch import ids
from galenahatch.platform import documents
from galenahatch.platform import store as stores
from galenahatch import tasks
from galenahatch.test.standin import rows

_DRAIN: typing.Final = 2.0
"""Seconds after the store took it at which each gateway knows who leaves."""
_KEY: typing.Final = 'i-1'


def _entry(state: str = 'ready', born: int = 7) -> dict[str, typing.Any]:
    return {
        'service': 'desk',
        'address': '10.1.0.9:80',
        'zone': 'a',
        'version': 'v1',
        'slots': 4,
        'state': state,
        'cold_left_ms': 0,
        'seq_no': 1,
        'born': born,
    }


class _Gateway:
    """What one gateway knows, from a store of the test."""

    def __init__(self, standin: rows.Store) -> None:
        self.store = standin
        self.directory: directories.Directory

    def put(self, state: str = 'ready', born: int = 7) -> None:
        """Write the upstream's entry."""
        self.store.put(documents.UPSTREAM_TABLE, _KEY, _entry(state, born))

    def drop(self) -> None:
        """Remove the upstream's entry."""
        self.store.drop(documents.UPSTREAM_TABLE, _KEY)

    def write(self, times: int) -> None:
        """Write something else."""
        for number in range(times):
            self.store.put('other', 'row', number)

    def uses(self, born: int = 7) -> bool:
        """Return whether the upstream gets new work."""
        upstream = incarnations.incarnation(ids.InstanceId(_KEY), born)
        usable = self.directory.registry.usable(
            ids.ServiceName('desk'), time.clock_gettime(time.CLOCK_BOOTTIME)
        )
        return upstream in [one.id for one in usable]

    async def until(self, used: bool, seconds: float = _DRAIN) -> None:
        """Wait until the upstream is used, or is not."""
        async with asyncio.timeout(seconds):
            while self.uses() is not used:
                await asyncio.sleep(0.02)


def _play(
    scene: collections.abc.Callable[
        [_Gateway], collections.abc.Coroutine[None, None, None]
    ],
) -> None:
    """Play a scene with a gateway that follows a store."""

    async def run() -> None:
        gateway = _Gateway(rows.Store())
        runner = web.AppRunner(gateway.store.app(), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        address = f'127.0.0.1:{runner.addresses[0][1]}'
        background = tasks.Tasks()
        gateway.put()
        async with aiohttp.ClientSession() as client:
            gateway.directory = directories.Directory(
                stores.Store(client, address), background, _DRAIN
            )
            gateway.directory.run()
            try:
                await gateway.until(used=True)
                await scene(gateway)
            finally:
                await background.stop()
        await runner.cleanup()

    asyncio.run(run())


# Guards against: an upstream gets requests long after it said that it leaves,
# since the versions of a restored store are lower than those known before.
@pytest.mark.parametrize('news', ['leaving', 'gone'])
@pytest.mark.parametrize(
    ('when', 'more'), [('after', 2), ('away', 2), ('away', 40)]
)
def test_leaving_after_a_restore_is_known_in_time(
    news: str, when: str, more: int
) -> None:
    """The counter is lower than before when the feed asks, or has passed it.

    The upstream leaves while the store turns this gateway away, or after.
    """

    async def scene(gateway: _Gateway) -> None:
        def leave() -> None:
            if news == 'gone':
                gateway.drop()
            else:
                gateway.put('draining')

        gateway.store.copy()
        gateway.write(30)
        gateway.put(born=7)
        await asyncio.sleep(0.3)
        gateway.store.mode = 'busy'
        await asyncio.sleep(0.2)
        gateway.store.restore()
        if when == 'away':
            leave()
        gateway.write(more)
        gateway.store.mode = ''
        if when == 'after':
            await asyncio.sleep(1.0)
            leave()
        await gateway.until(used=False)

    _play(scene)
