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

"""Tests of streams that callers take up again while engines are short."""

import collections
import dataclasses
import heapq
import itertools

import pytest

from galenahatch.core import dispatch
from galenahatch.core import generations
from galenahatch.core import upstreams
from galenahatch import ids

_OBJECTIVE_S = 0.9
_TIME_LEFT_S = 14.0
_ATTEMPTS = 4
_STEP_S = 0.02


def _dispatcher(decodes: int) -> dispatch.Dispatcher:
    made = dispatch.Dispatcher(capacity=40_000, slots=8)
    stages = [upstreams.Stage.PREFILL] + [upstreams.Stage.DECODE] * decodes
    made.set_engines(
        [
            upstreams.Upstream(
                id=ids.UpstreamId(f'e{number}'),
                service=ids.ServiceName('model'),
                address=f'10.1.0.{number}:80',
                data_centre=ids.DataCentre('a'),
                slots=8,
                stage=stage,
            )
            for number, stage in enumerate(stages)
        ],
        (),
        0.0,
    )
    return made


def _job(number: int, caller: str, is_return: bool) -> generations.Job:
    return generations.Job(
        stream=ids.StreamId(f's{number}'),
        entry=ids.MemberId('10.0.0.1'),
        prompt_tokens=5000,
        output_hint=3000,
        max_output=6000,
        arrived_at=0.0,
        start_deadline=_OBJECTIVE_S,
        abandon_at=4 * _OBJECTIVE_S,
        deadline=_TIME_LEFT_S,
        fingerprint=caller,
        data_centre=ids.DataCentre('a'),
        is_return=is_return,
    )


class _Callers:
    """Callers that come again as they are told to."""

    def __init__(self, owner: dispatch.Dispatcher) -> None:
        self._owner = owner
        self._numbers = itertools.count()
        self._attempts: list[tuple[float, int, str, bool, int, float]] = []
        self._ends: list[tuple[float, ids.StreamId]] = []
        self._attempts_made: dict[ids.StreamId, int] = {}
        self.outcomes: dict[bool, collections.Counter[str]] = {
            True: collections.Counter(),
            False: collections.Counter(),
        }

    def add(self, at: float, is_return: bool) -> None:
        """Let a caller come."""
        number = next(self._numbers)
        attempt = (at, number, f'c{number}', is_return, 1, at + _TIME_LEFT_S)
        heapq.heappush(self._attempts, attempt)

    def step(self, now: float) -> None:
        """Let callers come, engines finish and the owner decide."""
        while self._ends and self._ends[0][0] <= now:
            _, stream = heapq.heappop(self._ends)
            self._owner.release(stream, 3000, 3.0, now)
        while self._attempts and self._attempts[0][0] <= now:
            self._submit(heapq.heappop(self._attempts), now)
        for decision in self._owner.decide(now):
            self._record(decision, now)

    def _submit(
        self, attempt: tuple[float, int, str, bool, int, float], now: float
    ) -> None:
        _, _, caller, is_return, count, until = attempt
        job = _job(next(self._numbers), caller, is_return)
        job = dataclasses.replace(
            job,
            arrived_at=now,
            start_deadline=now + _OBJECTIVE_S,
            abandon_at=now + 4 * _OBJECTIVE_S,
            deadline=until,
        )
        self._attempts_made[job.stream] = count
        decision = self._owner.submit(job, now)
        if decision is not None:
            self._record(decision, now)

    def _record(self, decision: generations.Decision, now: float) -> None:
        job = decision.job
        count = self._attempts_made.pop(job.stream)
        if isinstance(decision, generations.Placed):
            self.outcomes[job.is_return]['placed'] += 1
            heapq.heappush(self._ends, (now + 3.0, job.stream))
            return
        self.outcomes[job.is_return]['refused'] += 1
        at = now + decision.retry_after
        if count < _ATTEMPTS and at < job.deadline:
            again = (
                at,
                next(self._numbers),
                job.fingerprint,
                job.is_return,
                count + 1,
                job.deadline,
            )
            heapq.heappush(self._attempts, again)

    def share(self, is_return: bool) -> float:
        """Return the share of the attempts that were placed."""
        outcomes = self.outcomes[is_return]
        return outcomes['placed'] / outcomes.total()


@pytest.mark.parametrize('overload', (1.5, 2.0, 3.0))
@pytest.mark.parametrize('herd', (15, 40))
@pytest.mark.parametrize('decodes', (3, 6))
def test_share_of_returns_follows_that_of_new_streams(
    decodes: int, herd: int, overload: float
) -> None:
    """Guards against streams that are lost once their gateway has died."""
    # Guards against returns that rank behind all new streams.
    owner = _dispatcher(decodes)
    callers = _Callers(owner)
    # Each engine holds five of these for three seconds.
    gap = 3.0 / (5 * decodes * overload)
    for number in range(int(25 / gap)):
        callers.add(number * gap, is_return=False)
    for number in range(herd):
        callers.add(1.0 + 0.02 * number, is_return=True)
        callers.add(12.0 + 0.02 * number, is_return=True)
    for tick in range(int(25 / _STEP_S)):
        callers.step(tick * _STEP_S)
    assert callers.share(is_return=False) < 0.9, 'engines are short'
    assert callers.share(True) >= 0.5 * callers.share(False)
