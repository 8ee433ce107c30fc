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

"""Connections between daemons."""

import asyncio
import collections.abc

import pytest

from galenahatch import bus
from galenahatch.core import members
from galenahatch.core import versions
from galenahatch import errors
from galenahatch.gateway import links
from galenahatch.gateway import messages
from galenahatch import ids
from galenahatch.test import ports
from galenahatch.test.standin import proxy as proxies


def _encode(text: str) -> bytes:
    return text.encode()


def _decode(frame: bytes) -> str | errors.Failure:
    return frame.decode()


_CODEC = bus.Codec[str](_encode, _decode)


async def _until(
    holds: collections.abc.Callable[[], bool],
    seconds: float,
    again: collections.abc.Callable[[], None],
) -> bool:
    """Do something every 50 ms until a condition holds."""
    for _ in range(int(seconds / 0.05)):
        again()
        await asyncio.sleep(0.05)
        if holds():
            return True
    return False


async def _hushed(way: str) -> bool:
    """Return whether words come through again after a silence."""
    endpoint = f'127.0.0.1:{ports.free()}'
    asked: list[bus.Peer] = []
    answered: list[str] = []
    hub = bus.Hub(
        f'tcp://{endpoint}', _CODEC, lambda peer, text: asked.append(peer)
    )
    proxy = proxies.Proxy(endpoint)
    await proxy.start()
    link = bus.Link(f'tcp://{proxy.address}', _CODEC, answered.append)

    def exchange() -> None:
        link.send('word')
        if asked:
            hub.send(asked[-1], 'answer')

    try:
        assert await _until(lambda: bool(answered), 5.0, exchange)
        proxy.hush()
        await asyncio.sleep(0.2)
        seen = asked if way == 'there' else answered
        before = len(seen)
        return await _until(lambda: len(seen) > before, 5.0, exchange)
    finally:
        link.close()
        hub.close()
        proxy.stop()


@pytest.mark.parametrize('way', ['there', 'back'])
def test_silent_connection_is_replaced(way: str) -> None:
    """A connection that carries nothing any more is not kept for ever.

    It is not reset either: only a time-out shows that it is dead.
    """
    assert asyncio.run(_hushed(way))


# Guards against: a member's row with an address that no socket takes ends the
# loop of heartbeats, so that no member behind it hears any.
@pytest.mark.parametrize(
    ('address', 'port'),
    [
        ('127.9.9.1', -1),
        ('127.9.9.1', 0),
        ('127.9.9.1', 70000),
        ('127.9.9.1', 10**30),
        ('no address', 7660),
        ('a\r\nb', 7660),
        ('some.host.invalid', 7660),
        ('*', 7660),
        ('', 7660),
    ],
)
def test_member_without_an_address(address: str, port: int) -> None:
    """Messages to it are lost, and its link can be closed."""

    async def run() -> None:
        known = members.Members(ids.MemberId('me'))
        name = ids.MemberId(address)
        known.add_row(name, port, versions.Version(1, 1), 0.0)
        own = f'tcp://127.0.0.1:{ports.free()}'
        made = links.Links(own, known, lambda *_: None, lambda *_: None)
        for _ in range(2):
            made.send(name, messages.Suspicions(()))
        made.close_link(name)
        made.send(name, messages.Suspicions(()))
        made.close()

    asyncio.run(run())
