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

"""Answers that have neither a length nor chunks and end with a connection."""

import collections.abc
import typing

import pytest

from galenahatch.test import fleet as fleets

_MEMBERS: typing.Final = (
    ('desk', ''),
    ('desk', ''),
    ('model', 'prefill'),
    ('model', 'decode'),
    ('model', 'decode'),
)
_EVENTS: typing.Final = 8


@pytest.fixture(scope='module')
def fleet() -> collections.abc.Iterator[fleets.Fleet]:
    """Two gateways before upstreams that frame no answer."""
    with fleets.Fleet(2, _MEMBERS) as started:
        for upstream in started.upstreams:
            upstream.is_framed = False
        yield started


def _event_ids(answer: fleets.Answer) -> list[bytes]:
    lines = answer.body.split(b'\n')
    return [line[4:] for line in lines if line.startswith(b'id: ')]


_WHOLE: typing.Final = [b'%d' % n for n in range(1, _EVENTS + 1)]


@pytest.mark.parametrize('path', ['/once/x', '/often/x', '/say/x', '/tell/x'])
def test_unframed_answer_is_whole(fleet: fleets.Fleet, path: str) -> None:
    """Its caller sees where it ends."""
    for vm in (0, 1):
        answer = fleet.ask(path, vm=vm)
        assert answer.served
        if path in ('/say/x', '/tell/x'):
            assert _event_ids(answer) == _WHOLE


# Guards against a stream that breaks off inside an event and looks complete.
@pytest.mark.parametrize('fault', ['cut', 'end-inside'])
def test_unframed_stream_that_ends_inside_an_event(
    fleet: fleets.Fleet, fault: str
) -> None:
    """It goes on at another engine if it may, and never looks complete."""
    for path in ('/say/x', '/tell/x'):
        for engine in fleet.of('model', 'decode'):
            engine.faults.clear()
            engine.faults.append(fault)
        answer = fleet.ask(path)
        if path == '/say/x':
            assert not answer.whole
            assert _event_ids(answer) == _WHOLE[: _EVENTS // 2 - 1]
            assert fleet.runs(answer.id) == 1
        elif answer.whole:
            assert _event_ids(answer) == _WHOLE
            assert fleet.runs(answer.id) > 1
        else:
            assert _event_ids(answer) == _WHOLE[: len(_event_ids(answer))]
    for engine in fleet.of('model', 'decode'):
        engine.faults.clear()
