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

"""Hostile input between processes: dropped, and the task lives on."""

import collections.abc
import socket

import pytest
import zmq

from galenahatch import bus
from galenahatch import ids
from galenahatch import messages
from galenahatch import states
from galenahatch.test import deployment


@pytest.fixture(scope='module')
def running() -> collections.abc.Iterator[deployment.Deployment]:
    """One VM."""
    options = {'keepalive': '1.0'}
    with deployment.Deployment(vms=1, options=options) as started:
        yield started


FRAMES = (
    b'',
    b'\x00',
    bytes([messages.VERSION + 1]) + b'\x91\xa9Heartbeat',
    bytes([messages.VERSION]) + b'\xc1' * 50,
    bytes([messages.VERSION]) + b'\x91' * 100_000,
    bytes([messages.VERSION]) + b'\x92\xa9Heartbeat\x01',
    b'x' * 1_000_000,
)


def _status(running: deployment.Deployment) -> bool:
    return running.ctl('status')[0] == 0


def test_bad_frames(running: deployment.Deployment) -> None:
    """Malformed, unknown and oversized frames end nothing."""
    context = zmq.Context()
    dealer = context.socket(zmq.DEALER)
    dealer.setsockopt(zmq.LINGER, 500)
    address = running.addresses[0]
    dealer.connect(f'tcp://{address}:{running.ports["scheduler"]}')
    for frame in FRAMES:
        dealer.send(frame)
    dealer.send_multipart([b'a', b'b', b'c'])
    dealer.send(b'x' * (bus.MAX_FRAME_BYTES + 1))
    dealer.close()
    context.term()
    assert _status(running)
    assert running.complete('after bad frames')[0] == 200
    assert running.daemons['scheduler0'].running()
    log = running.daemons['scheduler0'].log_text()
    assert 'Frame dropped' in log


def test_lying_frames(running: deployment.Deployment) -> None:
    """Well-formed messages about things that there are not change nothing."""
    context = zmq.Context()
    dealer = context.socket(zmq.DEALER)
    dealer.setsockopt(zmq.LINGER, 500)
    address = running.addresses[0]
    dealer.connect(f'tcp://{address}:{running.ports["scheduler"]}')
    for message in (
        messages.Release(_stream('none.1')),
        messages.Progress(_stream('none.1'), states.Stage.DECODE),
        messages.ConfigBody(_revision(999), b'no configuration'),
        messages.AliveReply(_member('entry/1.2.3.4:1'), -1.0),
    ):
        dealer.send(messages.encode(message))
    dealer.close()
    context.term()
    assert _status(running)
    assert running.complete('after lying frames')[0] == 200


def test_endless_header(running: deployment.Deployment) -> None:
    """A header without end is cut off; the entry goes on."""
    address = running.addresses[0]
    with socket.create_connection(
        (address, running.ports['entry']), timeout=10
    ) as peer:
        peer.sendall(b'POST /v1/completions HTTP/1.1\r\nX: ')
        try:
            for _ in range(64):
                peer.sendall(b'x' * 4096)
            seen = peer.recv(200)
        except OSError:
            seen = b''
    assert b' 200 ' not in seen
    assert running.complete('after the header')[0] == 200


@pytest.mark.parametrize(
    'sent',
    [b'', b'POST /v1/comp', b'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n'],
)
def test_idle_connection(running: deployment.Deployment, sent: bytes) -> None:
    """A connection that stays idle is closed: fresh, half-way or kept."""
    address = running.addresses[0]
    with socket.create_connection(
        (address, running.ports['entry']), timeout=20
    ) as peer:
        peer.sendall(sent)
        while peer.recv(4096):
            pass


def _stream(text: str) -> ids.StreamId:
    return ids.StreamId(text)


def _revision(number: int) -> ids.Revision:
    return ids.Revision(number)


def _member(text: str) -> ids.MemberId:
    return ids.MemberId(text)
