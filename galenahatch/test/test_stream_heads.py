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


"""Tests of what may follow the head of a stream that its caller has.

A result of a later run can only be more of the stream or its failure: the
connection is then closed in the middle of the response.
"""

import asyncio
import collections
import collections.abc
import itertools
import types
import typing

import pytest

from galenahatch.core import fate
from galenahatch import errors
from galenahatch.gateway import context as contexts
from galenahatch.gateway import generationfailures
from galenahatch.test import fleet as fleets
from galenahatch.test import rawanswers
from galenahatch.test.standin import upstreams

_MEMBERS: typing.Final = (
    ('model', 'prefill'),
    *(('model', 'decode'),) * 4,
)
_STAMP: typing.Final = 'x-galenahatch-response-stamp'
_WHOLE: typing.Final = b''.join(
    f'id: {number}\ndata: piece {number}\n\n'.encode()
    for number in range(1, 9)
)
_STATUSES: typing.Final = (302, 304, 400, 404, 408, 418, 429, 500, 503)
_FORMS: typing.Final = ('', 'unsigned', 'encoded', 'empty', 'unframed')
_ERRORS: typing.Final = tuple(
    f'status {status} {form}'.rstrip()
    for status, form in itertools.product(_STATUSES, _FORMS)
)


def _request(path: str, **headers: str) -> tuple[str, bytes]:
    """Return the id and the bytes of a request for a stream."""
    request = f'{next(fleets.IDS):016x}'
    lines = {
        'Host': fleets.HOST,
        'X-Galenahatch-Request-Id': request,
        'X-Galenahatch-Deadline-Ms': '2500',
        'X-Galenahatch-Model': 'm',
        'X-Galenahatch-Token-Count': '1000,100',
        'X-Galenahatch-Prompt-Prefix': f'{request}:1000',
        'Content-Length': '0',
        'Connection': 'close',
        **{name.replace('_', '-'): text for name, text in headers.items()},
    }
    head = ''.join(f'{name}: {text}\r\n' for name, text in lines.items())
    return request, f'POST {path}x HTTP/1.1\r\n{head}\r\n'.encode()


def _set_faults(
    fleet: fleets.Fleet,
    first: collections.abc.Iterable[str],
    resumed: collections.abc.Iterable[str],
) -> None:
    """Plan what happens to the next runs, whichever engines get them."""
    faults, resumed_faults = (
        collections.deque(first),
        collections.deque(resumed),
    )
    for engine in fleet.of('model', 'decode'):
        engine.faults, engine.resumed_faults = faults, resumed_faults
        engine.stall = 0.9


@pytest.fixture(scope='module')
def fleet() -> collections.abc.Iterator[fleets.Fleet]:
    """One gateway, with a retry budget for all tests."""
    found = fleets.Fleet(1, _MEMBERS)
    bounds = {'grace_s': 8, 'drain_ms': 2000, 'lease_ms': 300}
    found.vms[0].write_settings(bounds={**bounds, 'retry_slack': 5000})
    with found as started:
        yield started


class _Exchange(typing.NamedTuple):
    """What came of a request.

    Attributes:
        runs: How each run of it ended.
    """

    got: rawanswers.Got
    received: bytes
    runs: list[str]


def _ask(fleet: fleets.Fleet, path: str, **headers: str) -> _Exchange:
    request, data = _request(path, **headers)
    received = asyncio.run(rawanswers.exchange(fleet.vms[0], data))
    runs = [seen.ended for seen in fleet.seen(request) if seen.ran]
    return _Exchange(rawanswers.parse(received), received, runs)


def _check_begun(shown: _Exchange) -> None:
    """Assert that a stream is whole, or ends early where all can see it."""
    got = shown.got
    assert got.status == 200 and got.headers[_STAMP], shown
    assert shown.received.count(b'HTTP/1.1') == 1, shown
    assert upstreams.STATED not in shown.received, shown
    events = got.body.replace(b': comment\n\n', b'')
    if got.is_whole:
        assert events == _WHOLE, shown
    else:
        assert _WHOLE.startswith(events), shown


_FIRST_RUNS: typing.Final = ('cut', 'end-inside', 'stall', 'mute')


# Guards against a second response, with a head of its own, inside a stream
# that has begun: the answer of another engine that failed to go on with it.
@pytest.mark.parametrize('first', _FIRST_RUNS)
def test_error_inside_a_stream_that_has_begun(
    fleet: fleets.Fleet, first: str
) -> None:
    """No head follows; without a further engine the stream is cut."""
    wrong = []
    is_slow = first in ('stall', 'mute')
    for error in _ERRORS[:: 5 if is_slow else 1]:
        _set_faults(fleet, [first], [error] * 9)
        shown = _ask(fleet, '/tell/')
        try:
            _check_begun(shown)
            assert shown.got.is_whole is (first == 'stall'), shown
        except (AssertionError, KeyError) as failure:
            wrong.append((error, failure))
    assert not wrong, wrong


# Guards against streams that end with the first engine that fails to go on
# with them, though attempts are left and another engine would.
@pytest.mark.parametrize('error', ['status 302', 'status 400', 'status 429'])
def test_stream_goes_on_behind_a_failed_resumption(
    fleet: fleets.Fleet, error: str
) -> None:
    """A third engine writes the rest."""
    _set_faults(fleet, ['cut'], [error])
    shown = _ask(fleet, '/tell/')
    _check_begun(shown)
    assert shown.got.is_whole, shown
    assert error in shown.runs


# Guards against a second head from any other way on which a request ends once
# its stream has begun, as with the error of a gateway that exits just then.
@pytest.mark.parametrize('has_begun', [False, True])
def test_late_result_ends_a_stream(has_begun: bool) -> None:
    """An answer or an error is returned only if no head has been sent."""
    relay: typing.Any = types.SimpleNamespace(has_reached_caller=has_begun)
    failures = generationfailures.Failures(relay, fate.Sends(), 0.0)
    head: typing.Any = types.SimpleNamespace(status=400)
    assert failures.final(None) is None
    for result in (
        contexts.CompleteAnswer(head, b''),
        errors.Failure(errors.SEND_INTERRUPTED, 'the gateway stopped'),
    ):
        if not has_begun:
            assert failures.final(result) is result
            continue
        with pytest.raises(generationfailures.StreamBroken):
            failures.final(result)


_EMPTY: typing.Final = (
    'status 204',
    'status 205',
    'status 205 empty chunked',
    'status 200 empty',
    'status 200 empty chunked',
    'status 200 empty unframed',
    'status 206 empty',
    'status 200 comment',
    'status 200 comment chunked',
)


# Guards against streams that end early and look complete: the engine that was
# to go on with one answered with a success without any event.
@pytest.mark.parametrize('first', ['cut', 'end-inside', 'mute'])
def test_empty_run_completes_no_stream(
    fleet: fleets.Fleet, first: str
) -> None:
    """It goes on at a further engine; without one it is visibly cut."""
    wrong = []
    for answer in _EMPTY[:: 4 if first == 'mute' else 1]:
        for count in (1, 9):
            _set_faults(fleet, [first], [answer] * count)
            shown = _ask(fleet, '/tell/')
            try:
                _check_begun(shown)
                assert shown.got.is_whole is (count == 1), shown
            except (AssertionError, KeyError) as failure:
                wrong.append((answer, count, failure))
    assert not wrong, wrong


# Guards against empty answers to a first run that pass for streams, and that
# aren't repeated where the request may run again.
@pytest.mark.parametrize('answer', _EMPTY)
def test_empty_first_run_is_no_stream(
    fleet: fleets.Fleet, answer: str
) -> None:
    """Its caller gets a stream of another engine, or a failure."""
    _set_faults(fleet, [answer] * 2, [])
    assert _ask(fleet, '/tell/').got.body.endswith(_WHOLE)
    _set_faults(fleet, [answer], [])
    shown = _ask(fleet, '/say/')
    assert shown.runs == [answer]
    if 'comment' in answer:
        # A comment reaches the caller at once, so the head has been sent.
        assert not shown.got.is_whole, shown
    else:
        assert shown.got.status == 502, shown
        assert _STAMP not in shown.got.headers
