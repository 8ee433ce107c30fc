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

"""Decisions of a cell in situations that were found to go wrong."""

import random

import msgspec

from galenahatch.core import cell as cell_module
from galenahatch import ids
from galenahatch import messages
from galenahatch import schema
from galenahatch import states

_SITE = ids.SiteName('s')


def _engine(name: str, role: str, places: int = 2) -> schema.Engine:
    return schema.Engine(
        name=ids.EngineName(name),
        service=ids.ServiceName('x'),
        role=role,
        data_centre=ids.DataCentre('zogno'),
        address='127.0.0.1',
        port=1,
        places=places,
    )


def _cell(*engines: schema.Engine) -> cell_module.Cell:
    service = schema.ModelService(ids.ServiceName('x'), 'm')
    cell = cell_module.Cell(service, random.Random(1))
    names = frozenset(engine.name for engine in engines)
    cell.configure(service, engines, {_SITE: names})
    return cell


def _request(
    number: int, urgency: states.Urgency, patience: float
) -> messages.PlaceRequest:
    return messages.PlaceRequest(
        request=ids.RequestId(f'r{number}'),
        stream=ids.StreamId(f'r{number}.1'),
        entry=ids.MemberId('entry/127.0.0.1:1'),
        service=ids.ServiceName('x'),
        site=_SITE,
        caller=ids.CallerName('a'),
        urgency=urgency,
        prompt_tokens=100,
        output_tokens=10,
        first_token_timeout=patience,
        blocks=(),
        avoided_engines=(),
        data_centre=ids.DataCentre('zogno'),
    )


def _run_flood(patience: float) -> float | None:
    """Return when a bulk request is placed beside many urgent ones."""
    cell = _cell(_engine('p1', 'prefill'), _engine('d1', 'decode', 4))
    now = 100.0
    bulk = _request(0, states.Urgency.BULK, 60.0)
    for number in range(1, 20):
        cell.submit(
            _request(number, states.Urgency.URGENT, patience), 1.0, now
        )
    cell.submit(bulk, 1.0, now)
    running: list[tuple[float, ids.StreamId]] = []
    number = 20
    while now < 140.0:
        now += 0.05
        # Fewer urgent requests than the engines carry.
        cell.submit(
            _request(number, states.Urgency.URGENT, patience), 1.0, now
        )
        number += 1
        for decision in cell.decide(now):
            if not isinstance(decision.answer, messages.Placed):
                continue
            if decision.answer.stream == bulk.stream:
                return now - 100.0
            running.append((now + 0.1, decision.answer.stream))
        while running and running[0][0] <= now:
            stream = running.pop(0)[1]
            cell.record_progress(
                messages.Progress(stream, states.Stage.DECODE), now
            )
            cell.release(messages.Release(stream, None, 5, 0.01), now)
    return None


def test_patient_urgent_requests_do_not_starve_bulk() -> None:
    """Urgent requests that can wait long kept every place for themselves."""
    placed_after = _run_flood(patience=30.0)
    assert placed_after is not None
    assert placed_after < 20.0


def test_urgent_requests_do_not_starve_bulk() -> None:
    """Nor do those that can't wait."""
    placed_after = _run_flood(patience=0.58)
    assert placed_after is not None
    assert placed_after < 20.0


def _refused(cell: cell_module.Cell, now: float) -> messages.GivenUp:
    """Fill a cell until it gives a request up; return what it said."""
    number = 1000
    while True:
        number += 1
        request = _request(number, states.Urgency.NORMAL, 2.0)
        decision = cell.submit(request, 1.0, now)
        if decision is not None:
            assert isinstance(decision.answer, messages.GivenUp)
            return decision.answer


def test_a_caller_that_comes_back_is_served_first() -> None:
    """A ticket is good once, at its time, and goes before the queue."""
    cell = _cell(_engine('p1', 'prefill'), _engine('d1', 'decode', 50))
    now = 100.0
    refusal = _refused(cell, now)
    assert refusal.ticket
    now += refusal.retry_after
    again = msgspec.structs.replace(
        _request(1, states.Urgency.NORMAL, 2.0), ticket=refusal.ticket
    )
    assert cell.submit(again, 1.0, now) is None
    placed = [
        decision.answer.stream
        for decision in cell.decide(now)
        if isinstance(decision.answer, messages.Placed)
    ]
    assert placed[0] == again.stream


def test_a_ticket_before_its_time_is_worth_nothing() -> None:
    """Coming back at once does not jump the queue."""
    cell = _cell(_engine('p1', 'prefill'), _engine('d1', 'decode', 50))
    refusal = _refused(cell, 100.0)
    assert refusal.retry_after > 1.0
    again = msgspec.structs.replace(
        _request(1, states.Urgency.NORMAL, 2.0), ticket=refusal.ticket
    )
    decision = cell.submit(again, 1.0, 100.0)
    assert decision is not None
    assert isinstance(decision.answer, messages.GivenUp)


def test_an_ejected_engine_is_better_than_one_that_just_failed() -> None:
    """A request whose engine died was sent there again and again.

    The only other engine had been ejected as slow, so the dead one was all
    that was left.
    """
    cell = _cell(
        _engine('p1', 'prefill'),
        _engine('d1', 'decode'),
        _engine('d2', 'decode'),
    )
    for _ in range(3):
        cell.record_failure(ids.EngineName('d2'), 99.0)
    cell.decide(100.0)
    again = msgspec.structs.replace(
        _request(1, states.Urgency.NORMAL, 5.0),
        avoided_engines=(ids.EngineName('d1'),),
    )
    assert cell.submit(again, 1.0, 100.0) is None
    answer = cell.decide(100.1)[0].answer
    assert isinstance(answer, messages.Placed)
    assert answer.decode == 'd2'
