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

"""What gateways tell each other about streams, while messages are lost."""

import random
import typing

import pytest

from galenahatch.core import versionaffinity
from galenahatch.gateway import affinitymessages
from galenahatch.gateway import frames
from galenahatch.gateway import originexchange
from galenahatch import ids

_OWNER, _NEXT = ids.MemberId('owner'), ids.MemberId('next')
_V1: typing.Final = ids.SoftwareVersion('v1')
_STEP_S: typing.Final = 0.25


class _Peers:
    """Two other gateways, and messages to them that may be lost.

    Args:
        loss: Share of messages that are lost, either way.
        seed: Of the losses.
    """

    def __init__(self, loss: float, seed: int = 1) -> None:
        self._luck, self._loss = random.Random(seed), loss
        self.level = affinitymessages.MESSAGE_LEVEL
        self.incarnations = {_OWNER: 1, _NEXT: 2}
        self.known: dict[ids.MemberId, set[ids.StreamKey]] = {
            _OWNER: set(),
            _NEXT: set(),
        }
        self.sent = 0
        self.acknowledged: list[tuple[ids.MemberId, int]] = []

    def candidates(self) -> tuple[ids.MemberId, ...]:
        """Return both."""
        return _OWNER, _NEXT

    def incarnation(self, name: ids.MemberId) -> int:
        """Return the incarnation of a member."""
        return self.incarnations[name]

    def knows(self, name: ids.MemberId, level: int) -> bool:
        """Return whether a member knows messages."""
        return level <= self.level

    def send(self, name: ids.MemberId, message: frames.AnyMessage) -> None:
        """Deliver a message, unless it is lost."""
        assert isinstance(message, affinitymessages.StreamOrigins)
        self.sent += 1
        if self._luck.random() < self._loss:
            return
        self.known[name] |= {origin.key for origin in message.origins}
        if message.number and self._luck.random() >= self._loss:
            self.acknowledged.append((name, message.number))

    def restart(self, name: ids.MemberId) -> None:
        """Let a member forget all."""
        self.known[name].clear()
        self.incarnations[name] += 10


def _exchange(
    peers: _Peers, count: int
) -> tuple[originexchange.OriginExchange, set[ids.StreamKey]]:
    """Return an exchange that has told some streams as they began."""
    origins = versionaffinity.Origins()
    exchange = originexchange.OriginExchange(origins, peers)
    keys = [ids.StreamKey(str(number)) for number in range(count)]
    for key in keys:
        origins.record(key, _V1, 60.0, 0.0)
        exchange.tell([key], 0.0)
    return exchange, set(keys)


def _run(
    exchange: originexchange.OriginExchange, peers: _Peers, seconds: float
) -> None:
    for step in range(1, int(seconds / _STEP_S) + 1):
        exchange.tell_all(step * _STEP_S)
        for name, number in peers.acknowledged:
            exchange.acknowledge(name, number)
        peers.acknowledged.clear()


# Guards against streams that owner and successor never hear of, since the one
# message about each was lost.
@pytest.mark.parametrize('seed', range(5))
def test_lost_origins_are_told_again(seed: int) -> None:
    """Both know all within seconds, while one message in three is lost."""
    peers = _Peers(0.33, seed)
    exchange, keys = _exchange(peers, 300)
    assert peers.known[_OWNER] < keys
    _run(exchange, peers, 8.0)
    assert peers.known == {_OWNER: keys, _NEXT: keys}
    sent = peers.sent
    _run(exchange, peers, 2.0)
    assert peers.sent == sent, 'all is acknowledged'


# Guards against an owner that restarted so fast that nobody missed it.
def test_restarted_member_is_told_all() -> None:
    """By its incarnation."""
    peers = _Peers(0.0)
    exchange, keys = _exchange(peers, 300)
    _run(exchange, peers, 1.0)
    peers.restart(_OWNER)
    _run(exchange, peers, 1.0)
    assert peers.known[_OWNER] == keys


def test_member_that_is_gone_costs_little() -> None:
    """It gets eight messages each time that they are given up."""
    peers = _Peers(1.0)
    exchange, _ = _exchange(peers, 5000)
    before = peers.sent
    _run(exchange, peers, 10.0)
    assert peers.sent - before < 2 * 8 * 10.0 / 0.3


def test_older_build_is_told_once() -> None:
    """It doesn't acknowledge."""
    peers = _Peers(0.0)
    peers.level = affinitymessages.VERSIONS_LEVEL
    exchange, keys = _exchange(peers, 10)
    _run(exchange, peers, 2.0)
    assert peers.known[_NEXT] == keys
    assert peers.sent < 30
