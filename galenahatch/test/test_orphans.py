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

"""When an entry is taken for gone, without processes."""

import typing

from galenahatch import cancelling
from galenahatch import clock
from galenahatch.core import membership
from galenahatch import ids
from galenahatch import messages
from galenahatch import orphans
from galenahatch import peers
from galenahatch import states

_ENTRY = ids.MemberId('entry/10.0.0.1:8080')
_SILENCE = 2.0


class _Peers:
    """A region with one other scheduler."""

    member = ids.MemberId('scheduler/10.0.0.2:8081')

    def __init__(self, silent_for: float) -> None:
        self.membership = membership.Membership(_SILENCE)
        heartbeat = messages.Heartbeat(
            _ENTRY,
            1,
            ids.DataCentre('zogno'),
            states.Standing.LIVE,
            ids.Revision(1),
        )
        self.membership.record_heartbeat(heartbeat, clock.now() - silent_for)

    def schedulers(self) -> list[ids.MemberId]:
        return [self.member, ids.MemberId('scheduler/10.0.0.3:8081')]

    def send(self, member: ids.MemberId, message: messages.AnyMessage) -> bool:
        return True


class _Canceller:
    """Keeps what would be cancelled."""

    def __init__(self) -> None:
        self.streams: list[ids.StreamId] = []

    def cancel(self, stream: ids.StreamId, *rest: object) -> None:
        self.streams.append(stream)


def _watching(silent_for: float) -> tuple[orphans.OrphanCanceller, _Canceller]:
    canceller = _Canceller()
    guard = orphans.OrphanCanceller(
        typing.cast(peers.Peers, _Peers(silent_for)),
        typing.cast(cancelling.Canceller, canceller),
        lambda entry: None,
    )
    held = messages.Held(
        ids.StreamId('r.1'),
        ids.CellId('c'),
        ids.ServiceName('x'),
        ids.EngineName('p1'),
        ids.EngineName('d1'),
        states.Stage.DECODE,
        10,
        10,
    )
    guard.record_placement(_ENTRY, held)
    return guard, canceller


def test_a_second_member_confirms() -> None:
    """A second scheduler that has not heard the entry either confirms."""
    guard, canceller = _watching(silent_for=3.0)
    guard.record_reply(messages.AliveReply(_ENTRY, 3.0))
    assert canceller.streams == ['r.1']


def test_a_member_that_never_heard_it_confirms_nothing() -> None:
    """A scheduler that has just started knows nothing of the entry.

    Its word was taken for a confirmation, and streams of an entry that
    was merely slow were cancelled.
    """
    guard, canceller = _watching(silent_for=3.0)
    guard.record_reply(messages.AliveReply(_ENTRY, -1.0))
    assert canceller.streams == []


def test_a_member_that_hears_it_keeps_it() -> None:
    """As long as one scheduler hears the entry, its streams stay."""
    guard, canceller = _watching(silent_for=20.0)
    guard.record_reply(messages.AliveReply(_ENTRY, 0.5))
    guard.check_at(clock.now())
    assert canceller.streams == []


def test_long_silence_is_enough() -> None:
    """An entry that nobody can tell about is gone after long silence."""
    guard, canceller = _watching(silent_for=20.0)
    guard.record_reply(messages.AliveReply(_ENTRY, -1.0))
    guard.check_at(clock.now())
    assert canceller.streams == ['r.1']
