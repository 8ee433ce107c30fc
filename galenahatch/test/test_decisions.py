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

"""Decisions of the gateway's core, without processes."""

import dataclasses
import math
import random
import re

import hypothesis
from hypothesis import strategies

from galenahatch.core import dispatch
from galenahatch.core import events
from galenahatch.core import fate
from galenahatch.core import figures
from galenahatch.core import generations
from galenahatch.core import lengths
from galenahatch.core import members as members_module
from galenahatch.core import memory
from galenahatch.core import routes
from galenahatch.core import stages
from galenahatch.core import upstreams
from galenahatch.core import versions
from galenahatch import ids

_SERVICE = ids.ServiceName('model')
_MEMBER = ids.MemberId('10.0.0.1')


def _engine(
    name: str,
    stage: upstreams.Stage | None,
    leaving: bool = False,
    data_centre: str = 'a',
) -> upstreams.Upstream:
    return upstreams.Upstream(
        id=ids.UpstreamId(name),
        service=_SERVICE,
        address=f'10.1.0.{len(name)}:80',
        data_centre=ids.DataCentre(data_centre),
        slots=8,
        leaving=leaving,
        stage=stage,
    )


def _dispatcher(prefills: int = 1, decodes: int = 2) -> dispatch.Dispatcher:
    made = dispatch.Dispatcher(capacity=20_000, slots=8)
    engines = [
        _engine(f'p{n}', upstreams.Stage.PREFILL) for n in range(prefills)
    ] + [_engine(f'd{n}', upstreams.Stage.DECODE) for n in range(decodes)]
    made.set_engines(engines, (), 0.0)
    return made


def _job(
    number: int,
    now: float,
    prompt: int = 5000,
    output: int = 3000,
    patience: float = 0.9,
    subject: str = '',
    **more: object,
) -> generations.Job:
    job = generations.Job(
        stream=ids.StreamId(f's{number}'),
        entry=_MEMBER,
        prompt_tokens=prompt,
        output_hint=output,
        max_output=output * 2,
        arrived_at=now,
        start_deadline=now + patience,
        abandon_at=now + 3.6,
        deadline=now + 14,
        fingerprint=subject or f'subject{number}',
        data_centre=ids.DataCentre('a'),
    )
    for name, value in more.items():
        object.__setattr__(job, name, value)
    return job


def _run(
    stream: str, prompt: int, output: int, starts_at: float = 0.0
) -> memory.Run:
    return memory.Run(
        ids.StreamId(stream), _MEMBER, prompt, output, 2 * output, starts_at
    )


# Routes.


def test_longest_prefix() -> None:
    """The longest prefix wins; hosts differ; a port does not."""
    target = (routes.Target(ids.ServiceName('s'), 1),)
    made = [
        routes.Route(
            name,
            host,
            prefix,
            routes.Kind.IDEMPOTENT,
            1.0,
            1.0,
            0,
            target,
            1,
        )
        for name, host, prefix in (
            ('root', 'a', '/'),
            ('long', 'a', '/x/y/'),
            ('short', 'a', '/x/'),
            ('other', 'b', '/x/'),
        )
    ]
    table = routes.RouteTable(made)
    for host, path, expected in (
        ('a', '/x/y/z?q=/x/', 'long'),
        ('A:80', '/x/yy', 'short'),
        ('a', '/x', 'root'),
        ('b', '/x/', 'other'),
        ('b', '/y/', None),
        ('c', '/x/', None),
        ('a', '', None),
    ):
        found = table.find(host, path)
        assert (found.name if found else None) == expected, (host, path)


def test_weights() -> None:
    """Requests are divided by weight."""
    targets = (
        routes.Target(ids.ServiceName('s'), 9),
        routes.Target(ids.ServiceName('t'), 1),
    )
    route = routes.Route(
        'r', 'a', '/', routes.Kind.IDEMPOTENT, 1.0, 1.0, 0, targets, 1
    )
    source = random.Random(1)
    picked = [routes.pick_service(route, source) for _ in range(1000)]
    assert 50 < picked.count(ids.ServiceName('t')) < 150


# Upstreams.


def test_leaving_is_final() -> None:
    """Older news never brings a leaving upstream back."""
    registry = upstreams.Registry()
    registry.register(_engine('d', None), 0.0)
    assert registry.accepts_work(ids.UpstreamId('d'), 0.0)
    registry.register(_engine('d', None, leaving=True), 1.0)
    registry.register(_engine('d', None), 2.0)
    assert not registry.accepts_work(ids.UpstreamId('d'), 2.0)
    registry.replace_all([_engine('d', None)], 3.0)
    assert not registry.usable(_SERVICE, 3.0)


def test_lapsed_service_is_used_for_a_while() -> None:
    """A service that vanished whole is used until its entries are due."""
    registry = upstreams.Registry()
    for name in ('d', 'dd'):
        registry.register(_engine(name, None), 0.0)
    registry.replace_all([], 10.0)
    assert len(registry.usable(_SERVICE, 11.0)) == 2
    assert registry.accepts_work(ids.UpstreamId('d'), 11.0)
    assert not registry.usable(_SERVICE, 12.0)
    registry.register(_engine('d', None), 12.1)
    assert not registry.accepts_work(ids.UpstreamId('dd'), 12.1)


def test_one_of_two_that_vanished_gets_nothing() -> None:
    """What vanished while others stand takes no new work at once."""
    registry = upstreams.Registry()
    for name in ('d', 'dd'):
        registry.register(_engine(name, None), 0.0)
    registry.remove(ids.InstanceId('d'), 1.0)
    assert not registry.accepts_work(ids.UpstreamId('d'), 1.0)


# Sends.


@hypothesis.given(
    strategies.lists(strategies.sampled_from(list(fate.Fate)), max_size=6),
    strategies.booleans(),
    strategies.integers(1, 3),
)
def test_sends_against_an_oracle(
    fates: list[fate.Fate], repeatable: bool, most: int
) -> None:
    """A request runs at most once, or at most as often as allowed."""
    sends = fate.Sends()
    may_have_run = 0
    for happened in fates:
        if not sends.may_send(repeatable, most):
            break
        sends.begin()
        assert not sends.cannot_have_run
        assert not sends.may_send(repeatable, most)
        sends.end(happened)
        may_have_run += happened in (fate.Fate.UNCERTAIN, fate.Fate.ANSWERED)
        assert sends.cannot_have_run == (may_have_run == 0)
    assert may_have_run <= (most if repeatable else 1)


# Events.


@hypothesis.given(
    strategies.lists(strategies.integers(1, 30), max_size=10),
    strategies.sampled_from(['\n', '\r\n']),
)
def test_events_in_any_pieces(cuts: list[int], line: str) -> None:
    """However bytes arrive, only whole events come out, in order."""
    whole = ''.join(
        f'id: {n}{line}data: {n}{line}{line}' for n in range(1, 6)
    ).encode()
    data = whole + b'id: 6\nda'
    splitter = events.EventSplitter()
    out = b''
    for cut in cuts:
        out += splitter.feed(data[:cut])
        data = data[cut:]
    out += splitter.feed(data)
    assert out == whole
    assert (splitter.last_id, splitter.count) == ('5', 5)
    assert splitter.partial == b'id: 6\nda'


# Memory.


def test_memory_at_the_end_of_runs_counts() -> None:
    """Two runs fit now and not when both have grown."""
    engine = memory.EngineMemory(10_000, 8)
    engine.add(_run('a', 3000, 3000))
    added = _run('b', 3000, 3000)
    assert engine.load(0.0) < 0.4
    assert not engine.fits(added, 0.0)
    late = _run('b', 3000, 3000, starts_at=3.1)
    assert engine.fits(late, 0.0)


def test_memory_of_others_counts() -> None:
    """What a report shows beyond our own runs is taken into account."""
    engine = memory.EngineMemory(10_000, 8)
    engine.record_usage(8000, 0.0)
    assert not engine.fits(_run('a', 3000, 100), 0.0)
    engine.record_usage(0, 1.0)
    assert engine.fits(_run('a', 3000, 100), 1.0)


def test_ended_runs_are_not_others() -> None:
    """A report that is older than the end of a run shows no others."""
    engine = memory.EngineMemory(10_000, 8)
    engine.add(_run('a', 3000, 1000))
    engine.remove(ids.StreamId('a'), 1.0)
    engine.record_usage(4000, 1.2)
    assert engine.unknown_tokens < 1


def test_overrun_is_expected_to_go_on() -> None:
    """A run that outlives its prediction keeps its memory in the plan."""
    engine = memory.EngineMemory(10_000, 8)
    engine.add(memory.Run(ids.StreamId('a'), _MEMBER, 3000, 1000, 9000, 0.0))
    assert not engine.fits(_run('b', 2600, 2000, 3.0), 3.0)


# Dispatch.


def test_places_where_memory_is() -> None:
    """Runs are spread, and none is placed beyond the memory."""
    owner = _dispatcher(decodes=2)
    placed = []
    for number in range(6):
        now = number * 0.2
        assert owner.submit(_job(number, now, patience=3.5), now) is None
        placed += owner.decide(now)
    engines = [p.decode for p in placed if isinstance(p, generations.Placed)]
    assert sorted(set(engines)) == ['d0', 'd1']
    assert len(engines) == 4, 'two of 8000 tokens fit into 20,000'


def test_refuses_at_once_and_the_returned_go_first() -> None:
    """Who can't start in time is told when to come back, and then served."""
    owner = _dispatcher(decodes=1)
    now = 0.0
    for number in range(2):
        owner.submit(_job(number, now, patience=3.5), now)
        owner.decide(now)
        now += 0.2
    patience, deadline = 1.4, now + 3.0
    job = _job(2, now, patience=patience, subject='x', deadline=deadline)
    refused = owner.submit(job, now)
    assert isinstance(refused, generations.Refused)
    assert 0.3 <= refused.retry_after <= 14 / 3
    back = now + refused.retry_after
    assert back < now + patience
    owner.release(ids.StreamId('s0'), 3000, 3.0, back)
    assert owner.submit(_job(3, back, prompt=4000), back) is None
    again = _job(4, back, patience=patience, subject='x', deadline=deadline)
    assert owner.submit(again, back) is None
    first = owner.decide(back)[0]
    assert isinstance(first, generations.Placed)
    assert first.job.stream == 's4', 'before one that came just now'


def test_refusal_tells_the_place_and_the_version() -> None:
    """Guards against refusals whose cause can't be told from the log."""
    owner = _dispatcher(decodes=1)
    for number in range(2):
        owner.submit(_job(number, 0.0, patience=3.5), 0.0)
        owner.decide(0.2 * number)
    taken_up = dataclasses.replace(_job(3, 0.5), is_return=True)
    refused = owner.submit(taken_up, 0.5)
    assert isinstance(refused, generations.Refused)
    assert re.search(r' place=\d+ return=True version=any$', refused.why)


def test_returned_too_late_goes_behind_who_can_start_in_time() -> None:
    """An objective counts from the first attempt, and late goes last."""
    owner = _dispatcher(decodes=1)
    for number in range(2):
        owner.submit(_job(number, 0.0, patience=3.5), 0.0)
        owner.decide(0.2 * number)
    refused = owner.submit(_job(2, 0.4, subject='x'), 0.4)
    assert isinstance(refused, generations.Refused)
    back = 0.4 + max(0.9, refused.retry_after)
    owner.release(ids.StreamId('s0'), 3000, 3.0, back)
    assert owner.submit(_job(4, back, subject='x'), back) is None
    assert owner.submit(_job(3, back, prompt=4000), back) is None
    first, *_ = owner.decide(back)
    assert isinstance(first, generations.Placed)
    assert first.job.stream == 's3'
    owner.release(ids.StreamId('s1'), 3000, 3.0, back + 0.3)
    (second,) = owner.decide(back + 0.3)
    assert isinstance(second, generations.Placed)
    assert second.job.stream == 's4', 'late, and served all the same'


def test_times_to_come_back_are_spaced() -> None:
    """Refused callers do not come back all at once."""
    owner = _dispatcher(decodes=1)
    for number in range(2):
        owner.submit(_job(number, 0.0, patience=3.5), 0.0)
        owner.decide(0.2 * number)
    waits = []
    for number in range(2, 6):
        refused = owner.submit(_job(number, 1.0), 1.0)
        assert isinstance(refused, generations.Refused)
        waits.append(refused.retry_after)
    assert waits == sorted(waits)
    assert waits[-1] > waits[0]


def test_kept_goes_before_newer() -> None:
    """Who was held is served first, also when late or less urgent."""
    owner = _dispatcher(decodes=1)
    for number in range(2):
        owner.submit(_job(number, 0.0, patience=3.5), 0.0)
        owner.decide(0.2 * number)
    assert owner.submit(_job(2, 0.4, patience=3.5), 0.4) is None
    assert not owner.decide(0.9), 'kept'
    assert owner.submit(_job(3, 1.0, patience=2.7), 1.0) is None
    owner.release(ids.StreamId('s0'), 3000, 3.0, 1.1)
    (placed,) = owner.decide(1.1)
    assert placed.job.stream == 's2'


def test_late_takes_no_place_of_others() -> None:
    """What has become late goes after what can still start in time."""
    owner = _dispatcher(decodes=1)
    for number in range(2):
        owner.submit(_job(number, 0.0, patience=3.5), 0.0)
        owner.decide(0.2 * number)
    assert owner.submit(_job(2, 0.4, patience=3.0), 0.4) is None
    assert not owner.decide(0.9)
    late = 0.4 + 3.0
    assert owner.submit(_job(3, late, patience=2.7), late) is None
    owner.release(ids.StreamId('s0'), 3000, 3.0, late)
    first, *_ = owner.decide(late)
    assert first.job.stream == 's3'
    owner.release(ids.StreamId('s1'), 3000, 3.0, late)
    (second,) = owner.decide(late + 0.15)
    assert isinstance(second, generations.Placed)
    assert second.job.stream == 's2', 'late, and served all the same'


def test_returned_is_kept_as_long_as_its_caller_stays() -> None:
    """Who comes back has no further attempt, so late is better than never."""
    owner = _dispatcher(decodes=1)
    for number in range(2):
        owner.submit(_job(number, 0.0, patience=3.5), 0.0)
        owner.decide(0.2 * number)
    refused = owner.submit(_job(3, 0.5, subject='x'), 0.5)
    assert isinstance(refused, generations.Refused)
    hopeless = _job(4, 0.9, subject='x', abandon_at=1.0)
    assert isinstance(owner.submit(hopeless, 0.9), generations.Refused)
    assert owner.submit(_job(5, 0.9, subject='x'), 0.9) is None
    assert not owner.decide(2.0)
    owner.release(ids.StreamId('s0'), 3000, 3.0, 3.0)
    (placed,) = owner.decide(3.0)
    assert isinstance(placed, generations.Placed)
    assert placed.job.stream == 's5'


def test_late_is_kept_where_usual_traffic_leaves_room() -> None:
    """A first attempt that can't start in time waits while that is no more
    than a burst, if it is reached before its caller leaves.
    """
    owner = _dispatcher(decodes=2)
    for number in range(4):
        owner.submit(_job(number, 0.0, patience=3.5), 0.0)
        owner.decide(0.2 * number)
    late = _job(5, 2.0, patience=0.3, abandon_at=5.6)
    assert owner.submit(late, 2.0) is None
    assert not owner.decide(2.1)
    owner.release(ids.StreamId('s0'), 3000, 3.0, 3.0)
    (placed,) = owner.decide(3.0)
    assert isinstance(placed, generations.Placed)
    assert placed.job.stream == 's5'


def test_kept_late_only_where_there_will_be_room() -> None:
    """A first attempt that would wait in vain is told so at once."""
    owner = _dispatcher(decodes=2)
    for number in range(4):
        owner.submit(_job(number, 0.0, patience=3.5), 0.0)
        owner.decide(0.2 * number)
    decisions = []
    for number in range(20):
        now = 1.0 + number / 1000
        decisions.append(owner.submit(_job(10 + number, now), now))
    kept = [one for one in decisions if one is None]
    assert 0 < len(kept) < 4, 'served before their callers leave'
    assert all(one is None for one in decisions[: len(kept)])


def test_refused_while_that_is_free() -> None:
    """Who can no longer start in time hears so early, not when it is late."""
    owner = _dispatcher(decodes=2)
    for number in range(4):
        owner.submit(_job(number, 0.0, patience=3.5), 0.0)
        owner.decide(0.2 * number)
    assert owner.submit(_job(5, 1.0), 1.0) is None
    left = [
        _engine('p0', upstreams.Stage.PREFILL),
        _engine('d0', upstreams.Stage.DECODE),
    ]
    owner.set_engines(left, (), 1.05)
    assert not owner.decide(1.05)
    (refused,) = owner.decide(1.0 + 0.9 / 8)
    assert isinstance(refused, generations.Refused)


def test_room_behind_others_is_seen() -> None:
    """Who only waits for the prefill engine is not refused for memory."""
    owner = _dispatcher(prefills=1, decodes=8)
    for number in range(20, 40):
        # Refused, so all of them are expected back.
        owner.submit(_job(number, 0.0, patience=0.1), 0.0)
    assert owner.submit(_job(1, 0.3), 0.3) is None
    assert owner.decide(0.3), 'it is read now'
    assert owner.submit(_job(2, 0.31), 0.31) is None
    assert not owner.decide(0.31), 'the prefill engine is busy'
    assert owner.submit(_job(3, 0.32), 0.32) is None


def test_larger_than_any_engine_blocks_nobody() -> None:
    """A request over the planned memory goes to an engine that is empty."""
    owner = _dispatcher(decodes=1)
    owner.submit(_job(1, 0.0, prompt=19_000), 0.0)
    (placed,) = owner.decide(0.0)
    assert isinstance(placed, generations.Placed)


def test_nothing_fits_nothing_is_lost() -> None:
    """A withdrawn request leaves nothing behind."""
    owner = _dispatcher()
    owner.submit(_job(1, 0.0), 0.0)
    owner.withdraw(ids.StreamId('s1'))
    assert not owner.decide(0.0)
    assert (owner.waiting_count, owner.running_count) == (0, 0)


def test_failed_engines_are_left_alone() -> None:
    """After a failure the other engine is used, then the first again."""
    owner = _dispatcher(decodes=2)
    owner.engines.record_failure(ids.UpstreamId('d0'), 0.0)
    owner.submit(_job(1, 0.0), 0.0)
    (placed,) = owner.decide(0.0)
    assert isinstance(placed, generations.Placed)
    assert placed.decode == 'd1'
    owner.submit(_job(2, 5.0), 5.0)
    (placed,) = owner.decide(5.0)
    assert isinstance(placed, generations.Placed)
    assert placed.decode == 'd0'


def test_unreachable_engines_are_tried_with_one_run() -> None:
    """Engines that can't be reached get one run at a time, and no more.

    All of them gone at once is no reason to read prompts for them.
    """
    owner = _dispatcher(prefills=2, decodes=2)
    for name in ('d0', 'd1'):
        owner.engines.record_failure(
            ids.UpstreamId(name), 0.0, unreachable=True
        )
    gone_soon = _job(1, 0.0, patience=0.4, abandon_at=0.45)
    refused = owner.submit(gone_soon, 0.0)
    assert isinstance(refused, generations.Refused)
    assert refused.retry_after >= 0.5, 'not before the next trial'
    for number in range(2, 6):
        assert owner.submit(_job(number, 0.0, patience=3.5), 0.0) is None
    assert not owner.decide(0.4)
    tried = owner.decide(0.6) + owner.decide(0.8)
    engines = [p.decode for p in tried if isinstance(p, generations.Placed)]
    assert sorted(engines) == ['d0', 'd1'], 'one run each'
    owner.record_first_event(tried[0].job.stream, 0.9)
    assert len(owner.decide(0.9)) == 1, 'one has shown that it works'


def test_failed_engines_are_the_way_out() -> None:
    """If all failed but can be reached, they are used all the same."""
    owner = _dispatcher(decodes=1)
    owner.engines.record_failure(ids.UpstreamId('d0'), 0.0)
    owner.submit(_job(1, 0.0), 0.0)
    assert owner.decide(0.0)


def test_decode_reads_when_no_prefill_engine_is_left() -> None:
    """Without prefill engines the decode engine reads the prompt."""
    owner = _dispatcher(prefills=0)
    owner.submit(_job(1, 0.0), 0.0)
    (placed,) = owner.decide(0.0)
    assert isinstance(placed, generations.Placed)
    assert placed.prefill is None


def test_prefill_is_given_work_only_when_idle() -> None:
    """What waits, waits in the queue, where order is still possible."""
    owner = _dispatcher(prefills=1, decodes=4)
    for number in range(3):
        owner.submit(_job(number, 0.0), 0.0)
    assert len(owner.decide(0.0)) == 1
    assert len(owner.decide(0.15)) == 1


def test_rebuild_from_beats() -> None:
    """A new owner learns what runs, and forgets what is no longer told."""
    owner = _dispatcher(decodes=1)
    held = [
        (ids.UpstreamId('d0'), _run('old1', 5000, 3000)),
        (ids.UpstreamId('d0'), _run('old2', 5000, 3000)),
    ]
    owner.reconcile_runs(_MEMBER, held, 0.0)
    assert owner.running_count == 2
    assert isinstance(owner.submit(_job(1, 0.1), 0.1), generations.Refused)
    owner.reconcile_runs(_MEMBER, [], 2.0)
    assert owner.running_count == 0


def test_changing_engine_takes_no_work() -> None:
    """An engine that changes its stage is used again in the new one."""
    owner = _dispatcher(prefills=2, decodes=1)
    moved = ids.UpstreamId('p1')
    owner.engines.record_stage_order(moved, upstreams.Stage.DECODE, 10.0)
    engines = [
        _engine('p0', upstreams.Stage.PREFILL),
        _engine('p1', upstreams.Stage.PREFILL),
        _engine('d0', upstreams.Stage.DECODE),
    ]
    owner.set_engines(engines, (), 1.0)
    for number in range(2):
        owner.submit(_job(number, 1.0, patience=3.5), 1.0)
    places = [owner.decide(1.0 + 0.2 * n) for n in range(3)]
    used = {p.decode for step in places for p in step if hasattr(p, 'decode')}
    assert used == {'d0'}
    owner.engines.record_report(moved, 0, upstreams.Stage.DECODE, False, 2.0)
    owner.set_engines(engines, (), 2.0)
    owner.submit(_job(7, 2.0, patience=3.5), 2.0)
    (placed,) = owner.decide(2.0)
    assert isinstance(placed, generations.Placed)
    assert placed.decode == 'p1'


def test_no_plan_before_every_engine_has_told_its_stage() -> None:
    """A new owner does not take away what the one before it ordered."""
    owner = _dispatcher(prefills=2, decodes=1)
    stages_of = {'p0': 'PREFILL', 'p1': 'PREFILL', 'd0': 'DECODE'}
    for name, stage in stages_of.items():
        assert not owner.engines.is_settled(1.0)
        is_busy = name == 'p1'
        owner.engines.record_report(
            ids.UpstreamId(name), 0, upstreams.Stage[stage], is_busy, 1.0
        )
    assert not owner.engines.is_settled(1.0), 'one is about to change'
    owner.engines.record_report(
        ids.UpstreamId('p1'), 0, upstreams.Stage.DECODE, False, 2.0
    )
    assert owner.engines.is_settled(2.0)
    assert not owner.engines.is_settled(9.0), 'too old'


def test_engine_that_ends_while_it_changes_holds_up_nothing() -> None:
    """A crash during a change of stage does not forbid the next change."""
    owner = _dispatcher(prefills=2, decodes=1)
    owner.engines.record_stage_order(
        ids.UpstreamId('p1'), upstreams.Stage.DECODE, 20.0
    )
    left = [
        _engine('p0', upstreams.Stage.PREFILL),
        _engine('d0', upstreams.Stage.DECODE),
    ]
    assert owner.engines.is_changing
    owner.set_engines(left, (), 1.0)
    assert not owner.engines.is_changing


def test_unreachable_engine_is_tried_though_a_stream_breaks_off() -> None:
    """Neither a stream sent before nor a lapsed entry makes it a sound one."""
    owner = _dispatcher(prefills=1, decodes=2)
    dark = ids.UpstreamId('d0')
    owner.engines.record_failure(dark, 0.0, unreachable=True)
    owner.engines.record_failure(dark, 0.1)
    every = [
        _engine('p0', upstreams.Stage.PREFILL),
        _engine('d0', upstreams.Stage.DECODE),
        _engine('d1', upstreams.Stage.DECODE),
    ]
    owner.set_engines(every[::2], (), 1.0)
    owner.set_engines(every, (), 2.0)
    placed = []
    for number in range(4):
        now = 2.0 + 0.13 * number
        owner.submit(_job(number, now, output=300, patience=3.5), now)
        placed += owner.decide(now)
    used = [p.decode for p in placed if isinstance(p, generations.Placed)]
    assert used.count(dark) == 1, 'one run, until it makes an event'


# Stages.


def test_surplus_of_prefill_engines_is_given_up_in_a_burst() -> None:
    """Bursts that follow each other leave no calm moment to wait for.

    Three of six engines read, which one and a half could: a change costs
    nothing then, and is made though requests wait. A decode engine is kept
    unless requests wait for prompts to be read.
    """
    work = stages.RequestCost(prefill_seconds=0.11, decode_seconds=0.29)
    engines = [_engine(f'e{n}', None) for n in range(6)]
    planner = stages.Planner()
    ((_, stage),) = planner.plan(
        [work], engines[:3], engines[3:], False, False, 10.0
    )
    assert stage is upstreams.Stage.DECODE
    for lags in (False, True):
        found = stages.Planner().plan(
            [work], engines[:1], engines[1:], True, lags, 10.0
        )
        assert bool(found) is lags


def test_last_prefill_engine_is_replaced_at_once() -> None:
    """Decode engines that read everything themselves make all of it late.

    The last prefill engine was taken away, and 115 of 250 streams paused for
    longer than they may through the rest of the day.
    """
    work = stages.RequestCost(
        prefill_seconds=0.1, decode_seconds=0.33, decode_prefill_seconds=0.2
    )
    engines = [_engine(f'e{n}', None) for n in range(3)]
    ((_, stage),) = stages.Planner().plan(
        [work], [], engines, False, False, 10.0
    )
    assert stage is upstreams.Stage.PREFILL


def test_change_must_pay_whatever_is_not_known() -> None:
    """As long as overlap is not known, a change has to pay either way."""
    engines = [_engine(f'e{n}', None) for n in range(6)]
    overlaps = stages.RequestCost(prefill_seconds=0.11, decode_seconds=0.29)
    serial = stages.RequestCost(prefill_seconds=0.22, decode_seconds=0.29)
    planner = stages.Planner()
    works = [overlaps, serial]
    assert not planner.plan(works, engines[:3], engines[3:], True, True, 10.0)
    assert planner.plan([overlaps], engines[:3], engines[3:], True, True, 10.0)


def test_best_division() -> None:
    """Engines are divided by what a request costs at both stages."""
    work = stages.RequestCost(prefill_seconds=0.094, decode_seconds=0.36)
    assert stages.best_prefill_count(work, 4) == 1
    assert stages.best_prefill_count(work, 9) == 2
    assert stages.best_prefill_count(stages.RequestCost(1.0, 0.1), 4) == 3


def test_engines_that_crash_delay_a_plan() -> None:
    """An engine lost without a word is waited for, one that left is not."""
    work = stages.RequestCost(prefill_seconds=0.094, decode_seconds=0.36)
    prefills = [_engine(f'p{n}', None) for n in range(2)]
    decodes = [_engine(f'd{n}', None) for n in range(3)]
    planner = stages.Planner()
    every = [e.id for e in (*prefills, *decodes)]
    planner.set_engines(every, (), 0.0)
    planner.set_engines(every[:-1], (), 1.0)
    assert not planner.plan([work], prefills, decodes[:2], True, True, 2.0)
    planner.set_engines(every[:-2], {every[-2]}, 6.5)
    ((engine, stage),) = planner.plan(
        [work], prefills, decodes[:1], True, True, 6.5
    )
    assert (engine.id, stage) == ('p0', upstreams.Stage.DECODE)


# Figures.


def test_rate_is_that_of_most_prompts() -> None:
    """Neither prompts that an engine still keeps nor queues mislead.

    A prompt that is kept is read at once; a rate believed of that had three
    of four prefill engines make answers.
    """
    source = random.Random(4)
    known = figures.Estimator()
    for number in range(200):
        seconds = 0.1
        if number % 4 == 1:
            seconds = 0.005
        elif number % 4 == 2:
            seconds = 0.1 + 0.1 * source.random()
        known.record_prefill(5000, seconds)
        if number >= 20:
            assert 40_000 < known.figures.rate < 65_000, number


# Lengths.


def test_lengths_lie_between_hint_and_usual() -> None:
    """Bad hints count for little, and none for nothing."""
    source = random.Random(5)
    known = lengths.Lengths()
    assert known.predict(700, 600) == 600
    for _ in range(300):
        length = math.exp(source.gauss(math.log(3000), 0.4))
        hint = length * math.exp(source.gauss(0, 0.8))
        known.add_sample(int(hint), int(length))
    usual = known.predict(0, 100_000)
    assert 2700 < usual < 3700
    assert usual < known.predict(9000, 100_000) < 6000
    assert 1500 < known.predict(900, 100_000) < usual
    assert known.predict(9000, 2000) == 2000


# Members.


def _place(number: int) -> versions.Version:
    return versions.Version(0, number)


def test_restarted_member_decides_last() -> None:
    """Who restarted knows nothing and is last until its new row is seen."""
    members = members_module.Members(ids.MemberId('c'))
    for order, name in enumerate('abc', 1):
        members.add_row(ids.MemberId(name), 1, _place(order), 0.0)
    for name in 'ab':
        members.record_message(ids.MemberId(name), 0.0, False, incarnation=1)
    assert members.owner(False, 0.1) == 'a'
    members.record_message(ids.MemberId('a'), 0.2, False, incarnation=2)
    assert members.owner(False, 0.3) == 'b'
    members.add_row(ids.MemberId('a'), 1, _place(1), 0.3)
    assert members.owner(False, 0.3) == 'b', 'a row of before tells nothing'
    members.add_row(ids.MemberId('a'), 1, _place(9), 0.4)
    members.record_message(ids.MemberId('a'), 0.4, False, incarnation=2)
    assert members.by_rank() == ['b', 'a', 'c']
    members.record_join(_place(3))
    assert members.by_rank() == ['b', 'c', 'a']
    assert members.owner(False, 2.0) == 'c', 'both others are silent'
    assert members.owner(True, 0.4) == 'b', 'this one stops'


def test_rows_of_before_a_restart_are_not_believed() -> None:
    """All have restarted; one row that was read is of before.

    Its member comes last by what it tells of itself, so all ask the same
    owner though they read the rows at different moments.
    """
    members = members_module.Members(ids.MemberId('c'))
    members.add_row(ids.MemberId('a'), 1, _place(1), 0.0)
    members.add_row(ids.MemberId('b'), 1, _place(21), 0.0)
    members.record_message(
        ids.MemberId('a'), 0.1, False, incarnation=5, rank=_place(22)
    )
    members.record_message(
        ids.MemberId('b'), 0.1, False, incarnation=6, rank=_place(21)
    )
    assert members.owner(False, 0.2) == 'b'
    members.add_row(ids.MemberId('a'), 1, _place(1), 0.2)
    assert members.owner(False, 0.2) == 'b', 'read late, and still of before'


def test_pace_outlives_an_entry_that_lapses() -> None:
    """What was measured of the engines counts while their entries are away."""
    owner = _dispatcher(decodes=1)
    owner.submit(_job(1, 0.0), 0.0)
    (placed,) = owner.decide(0.0)
    owner.release(placed.job.stream, 3000, 3.0, 3.0)
    measured = owner.engines.paced_tokens
    assert measured == 3000
    owner.set_engines([], (), 4.0)
    owner.set_engines([_engine('d0', upstreams.Stage.DECODE)], (), 5.0)
    assert owner.engines.paced_tokens == measured
