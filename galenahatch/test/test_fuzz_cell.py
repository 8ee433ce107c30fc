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

"""Stateful fuzzing of a cell against a simple oracle.

The fuzzer submits requests, lets time pass, reports progress late or not
at all, lets engines leave and entries die, and replaces the owner by one
that rebuilds from reports. The oracle keeps who was answered, and what
each entry holds.
"""

import random

from hypothesis import stateful
from hypothesis import strategies
import pytest

from galenahatch.core import cell as cell_module
from galenahatch.core import health
from galenahatch.core import jobs
from galenahatch import errors
from galenahatch import ids
from galenahatch import messages
from galenahatch import schema
from galenahatch import states

_ENTRIES = ('entry/a', 'entry/b')
_PLACES = 3
_SITE = ids.SiteName('s')


def _engine(name: str, role: str) -> schema.Engine:
    return schema.Engine(
        name=ids.EngineName(name),
        service=ids.ServiceName('x'),
        role=role,
        data_centre=ids.DataCentre('zogno'),
        address='127.0.0.1',
        port=1,
        places=_PLACES,
    )


_ENGINES = (
    _engine('p1', 'prefill'),
    _engine('p2', 'prefill'),
    _engine('d1', 'decode'),
    _engine('d2', 'decode'),
)
_NAMES = frozenset(engine.name for engine in _ENGINES)


def _cell() -> cell_module.Cell:
    service = schema.ModelService(ids.ServiceName('x'), 'm')
    cell = cell_module.Cell(service, random.Random(1))
    cell.configure(service, _ENGINES, {_SITE: _NAMES})
    return cell


def _request(number: int) -> messages.PlaceRequest:
    return messages.PlaceRequest(
        request=ids.RequestId(f'r{number}'),
        stream=ids.StreamId(f'r{number}.1'),
        entry=ids.MemberId(_ENTRIES[0]),
        service=ids.ServiceName('x'),
        site=_SITE,
        caller=ids.CallerName('a'),
        urgency=states.Urgency.NORMAL,
        prompt_tokens=100,
        output_tokens=10,
        first_token_timeout=60.0,
        blocks=(),
        avoided_engines=(),
        data_centre=ids.DataCentre('zogno'),
    )


def _names(*names: str) -> frozenset[ids.EngineName]:
    return frozenset(ids.EngineName(name) for name in names)


@pytest.mark.parametrize(
    'leaving', [_names('p1'), _names('d1'), _names('p1', 'd1')]
)
def test_leaving_engine_gets_no_request(
    leaving: frozenset[ids.EngineName],
) -> None:
    """The other engine of its role gets all of them."""
    cell = _cell()
    cell.set_leaving(leaving)
    now = 1000.0
    for number in range(_PLACES):
        assert cell.submit(_request(number), 1.0, now) is None
    answers = []
    for _ in range(10):
        answers += [decision.answer for decision in cell.decide(now)]
        now += 0.5
    assert len(answers) == _PLACES
    for answer in answers:
        assert isinstance(answer, messages.Placed)
        assert answer.prefill not in leaving
        assert answer.decode not in leaving


@pytest.mark.parametrize('leaving', [_names('p1', 'p2'), _names('d1', 'd2')])
def test_leaving_role_gets_no_request(
    leaving: frozenset[ids.EngineName],
) -> None:
    """If all engines of a role leave, requests are refused at once.

    Two checks keep requests off leaving engines. `pairing._candidates`
    filters them out before it calls `pairing.accepts_work`, so a placement
    alone can't show that `accepts_work` looks at `leaving`. In
    `Cell.submit`, `accepts_work` alone decides: without its check a new
    request is queued, and refused only when the cell next decides.
    """
    cell = _cell()
    now = 1000.0
    assert cell.submit(_request(0), 1.0, now) is None
    cell.set_leaving(leaving)
    for number in range(1, 4):
        decision = cell.submit(_request(number), 1.0, now)
        assert decision is not None, 'queued for engines that leave'
        assert isinstance(decision.answer, messages.GivenUp)
        assert decision.answer.reason == errors.NO_ENGINE.name
    # The request that was queued before they left isn't placed either.
    answers = [decision.answer for decision in cell.decide(now)]
    assert [answer.stream for answer in answers] == [_request(0).stream]
    assert isinstance(answers[0], messages.GivenUp)
    assert answers[0].reason == errors.NO_ENGINE.name


class CellMachine(stateful.RuleBasedStateMachine):
    """One cell and its entries."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.service = schema.ModelService(
            ids.ServiceName('x'), 'm', wait_ms=3000, waste_weight=1.0
        )
        self.cell = self._fresh()
        self.count = 0
        self.waiting: dict[ids.StreamId, messages.PlaceRequest] = {}
        self.held: dict[ids.StreamId, messages.Held] = {}
        self.entry_of: dict[ids.StreamId, str] = {}
        self.leaving: frozenset[ids.EngineName] = frozenset()
        self.rebuilt = False

    def _fresh(self) -> cell_module.Cell:
        cell = cell_module.Cell(self.service, random.Random(1))
        cell.configure(self.service, _ENGINES, {_SITE: _NAMES})
        return cell

    def _take(self, decisions: list[jobs.Decision]) -> None:
        for decision in decisions:
            answer = decision.answer
            request = self.waiting.pop(answer.stream)
            if isinstance(answer, messages.GivenUp):
                assert answer.retry_after > 0
                continue
            assert answer.prefill not in self.leaving
            assert answer.decode not in self.leaving
            self.held[answer.stream] = messages.Held(
                answer.stream,
                ids.CellId('x'),
                ids.ServiceName('x'),
                answer.prefill,
                answer.decode,
                states.Stage.PREFILL,
                request.prompt_tokens,
                request.output_tokens,
            )

    @stateful.rule(
        entry=strategies.sampled_from(_ENTRIES),
        urgency=strategies.sampled_from(list(states.Urgency)),
        prompt=strategies.sampled_from((10, 1000, 8000)),
        output=strategies.sampled_from((1, 50, 400)),
        caller=strategies.sampled_from(('a', 'b')),
    )
    def submit(
        self,
        entry: str,
        urgency: states.Urgency,
        prompt: int,
        output: int,
        caller: str,
    ) -> None:
        """An entry asks for a place."""
        self.count += 1
        stream = ids.StreamId(f'r{self.count}.1')
        request = messages.PlaceRequest(
            request=ids.RequestId(f'r{self.count}'),
            stream=stream,
            entry=ids.MemberId(entry),
            service=ids.ServiceName('x'),
            site=_SITE,
            caller=ids.CallerName(caller),
            urgency=urgency,
            prompt_tokens=prompt,
            output_tokens=output,
            first_token_timeout=2.0,
            blocks=(),
            avoided_engines=(),
            data_centre=ids.DataCentre('zogno'),
        )
        self.waiting[stream] = request
        self.entry_of[stream] = entry
        decision = self.cell.submit(request, 1.0, self.now)
        if decision is not None:
            self._take([decision])

    @stateful.rule(seconds=strategies.sampled_from((0.0, 0.01, 0.3, 2.0)))
    def pass_time(self, seconds: float) -> None:
        """Time passes and the cell decides."""
        self.now += seconds
        self._take(self.cell.decide(self.now))

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(
        data=strategies.data(),
        stage=strategies.sampled_from(
            (states.Stage.TRANSFER, states.Stage.DECODE)
        ),
    )
    def progress(
        self, data: strategies.DataObject, stage: states.Stage
    ) -> None:
        """An entry reports progress."""
        stream = data.draw(strategies.sampled_from(sorted(self.held)))
        self.cell.record_progress(
            messages.Progress(stream, stage, 0, 10, 0.1), self.now
        )

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(
        data=strategies.data(), failed=strategies.sampled_from((None, 'd1'))
    )
    def release(self, data: strategies.DataObject, failed: str | None) -> None:
        """An attempt ends."""
        stream = data.draw(strategies.sampled_from(sorted(self.held)))
        del self.held[stream]
        name = ids.EngineName(failed) if failed else None
        self.cell.release(messages.Release(stream, name, 20, 0.03), self.now)

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=strategies.data())
    def withdraw(self, data: strategies.DataObject) -> None:
        """A caller goes away while its request waits."""
        stream = data.draw(strategies.sampled_from(sorted(self.waiting)))
        del self.waiting[stream]
        self.cell.release(messages.Release(stream), self.now)

    @stateful.rule(name=strategies.sampled_from(('p1', 'd1')))
    def leave(self, name: str) -> None:
        """An engine leaves, or no longer does."""
        self.leaving = self.leaving ^ {ids.EngineName(name)}
        self.cell.set_leaving(self.leaving)

    @stateful.rule(entry=strategies.sampled_from(_ENTRIES))
    def die(self, entry: str) -> None:
        """An entry is taken for gone."""
        self.cell.remove_entry(ids.MemberId(entry), self.now)
        for state in (self.waiting, self.held):
            for stream in [s for s in state if self.entry_of[s] == entry]:
                del state[stream]

    @stateful.rule()
    def replace_owner(self) -> None:
        """A new owner rebuilds from reports; entries ask again."""
        self.cell = self._fresh()
        self.cell.set_leaving(self.leaving)
        for entry in _ENTRIES:
            held = tuple(
                one
                for stream, one in sorted(self.held.items())
                if self.entry_of[stream] == entry
            )
            report = messages.HeldReport(ids.MemberId(entry), 1, held)
            self.cell.reconcile(report, self.now)
        for request in list(self.waiting.values()):
            decision = self.cell.submit(request, 1.0, self.now)
            if decision is not None:
                self._take([decision])

    @stateful.invariant()
    def nothing_lost_or_overfilled(self) -> None:
        """Each request waits or was answered; places are never overbooked."""
        assert self.cell.queue_length == len(self.waiting)
        assert set(self.cell.active_reservations) == set(self.held)
        for decode in self.cell.decodes:
            mine = sum(h.decode == decode.name for h in self.held.values())
            assert decode.reserved == mine
            assert mine <= _PLACES

    def teardown(self) -> None:
        """When all attempts end, nothing stays reserved."""
        for stream in list(self.held):
            self.cell.release(messages.Release(stream), self.now)
        for prefill in self.cell.prefills:
            assert prefill.queued_prompts == 0
        for decode in self.cell.decodes:
            assert decode.reserved == 0
        states = [d.health.state for d in self.cell.decodes]
        assert states.count(health.Health.EJECTED) <= len(states) / 2


TestFuzzCell = CellMachine.TestCase
