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

"""Who is held back for ending upstreams, and who is not.

Pattern of load: one request ends each engine that begins to run it, and takes
along up to ten others each time, which meet it again where they are retried.
Nothing here needs a network.
"""

import dataclasses
import itertools
import random
import typing

import hypothesis
from hypothesis import strategies
import pytest

from galenahatch.core import generations
from galenahatch.core import placements
from galenahatch.core import poisonparts
from galenahatch.core import quarantine
from galenahatch import ids
from galenahatch.test import cases

_GUILTY: typing.Final = ids.RequestDigest('guilty')
_SOUND: typing.Final = ids.RequestDigest('sound')


def _engine(number: int) -> ids.UpstreamId:
    return ids.UpstreamId(f'i-{number}')


def _known(**ends: str) -> quarantine.Quarantine:
    """Return what is known after each request was at some ends."""
    known = quarantine.Quarantine()
    for digest, engines in ends.items():
        for engine in engines:
            known.record_end(
                ids.RequestDigest(digest), ids.UpstreamId(engine), 0
            )
    return known


def _parts(*names: str) -> tuple[ids.PromptPart, ...]:
    return tuple(poisonparts.part_key(name) for name in names)


def _ended(*ends: str) -> quarantine.Quarantine:
    """Return what is known after ends, each `request engine part...`."""
    known = quarantine.Quarantine()
    for end in ends:
        digest, engine, *names = end.split()
        known.record_end(
            ids.RequestDigest(digest),
            ids.UpstreamId(engine),
            0.0,
            _parts(*names),
        )
    return known


@pytest.mark.parametrize(('ends', 'held'), cases.read('poison_parts.txt'))
def test_which_parts_are_held(ends: str, held: str) -> None:
    """Of parts at the same ends, only requests with all are held."""
    expected = {frozenset(_parts(*line.split())) for line in held.splitlines()}
    assert _ended(*ends.splitlines()).held_parts == expected


def test_part_of_sound_requests_is_cleared() -> None:
    """Before the first end or after it, by any gateway."""
    ends = ['1 A f h', '2 B f h', '3 C f h', '4 D f h']
    known = _ended(*ends)
    assert known.record_success(_SOUND, 1.0, _parts('f', 'm'))
    assert known.held_parts == {frozenset(_parts('h'))}
    other = quarantine.Quarantine()
    other.record_success(_SOUND, 0.0, _parts('f'))
    assert other.merge(_ended(*ends).make_reports(0.0), 1.0)
    assert other.held_parts == {frozenset(_parts('h'))}
    late = quarantine.RECORD_LIFE_S + 2.0
    assert not other.is_suspect(_SOUND, _parts('f'))
    other.prune(late)
    assert not other.held_parts


def test_requests_with_a_held_part_are_not_blamed_themselves() -> None:
    """What stood beside them is none the more suspected."""
    ends = [f'{n} {engine} h' for n, engine in enumerate('ABCD')]
    known = _ended(*ends, 'x A m', 'x B m', 'x C m')
    assert known.held_parts == {frozenset(_parts('h'))}
    assert not known.held
    assert not known.is_suspect(_SOUND, _parts('f', 'n'))
    assert known.is_suspect(_SOUND, _parts('f', 'h'))


@pytest.mark.parametrize(
    ('ends', 'held'),
    [
        ({'x': 'AB'}, set()),
        ({'x': 'AAA'}, set()),
        ({'x': 'ABC'}, {'x'}),
        # Beside it once or twice.
        ({'x': 'ABC', 'y': 'A', 'z': 'BC'}, {'x'}),
        # Beside it each time: nobody knows which of them it is.
        ({'x': 'ABC', 'y': 'ABC'}, set()),
        ({'x': 'ABCD', 'y': 'ABC'}, {'x'}),
        ({'x': 'ABCDE', 'y': 'ABCDE'}, {'x', 'y'}),
        # Two of them, which met once.
        ({'x': 'ABC', 'y': 'CDEF'}, {'y'}),
        ({'x': 'ABCG', 'y': 'CDEF'}, {'x', 'y'}),
    ],
)
def test_who_is_held(ends: dict[str, str], held: set[str]) -> None:
    """An end counts for one request: the one that explains most."""
    assert _known(**ends).held == held


def test_whole_run_clears() -> None:
    """What ran whole is not what ended the engines, also later."""
    known = _known(sound='AB')
    assert known.record_success(_SOUND, 1.0)
    for engine in 'CDEFG':
        known.record_end(_SOUND, ids.UpstreamId(engine), 2.0)
    assert not known.held
    assert not known.is_suspect(_SOUND)
    assert not known.record_success(_SOUND, 3.0)


def test_whole_run_of_a_held_request_clears_it() -> None:
    """A run that was under way as it was held tells that it is sound."""
    known = _known(sound='ABC')
    assert known.held == {_SOUND}
    known.record_success(_SOUND, 1.0)
    assert not known.held


_SUSPICIONS: typing.Final = strategies.lists(
    strategies.builds(
        quarantine.Suspicion,
        digest=strategies.sampled_from('abcd').map(ids.RequestDigest),
        ends=strategies.lists(strategies.integers(0, 6), max_size=4).map(
            tuple
        ),
        age=strategies.floats(0, 100),
        cleared=strategies.booleans(),
    ),
    max_size=12,
)


@hypothesis.given(_SUSPICIONS, strategies.randoms())
def test_same_verdict_in_any_order(
    told: list[quarantine.Suspicion], source: random.Random
) -> None:
    """Gateways that heard the same agree, however often they heard it."""
    first = quarantine.Quarantine()
    first.merge(told, 0.0)
    again = [*told, *told]
    source.shuffle(again)
    second = quarantine.Quarantine()
    for one in again:
        second.merge([one], 0.0)
    assert first.held == second.held


def test_all_is_told_in_the_end() -> None:
    """A gateway that missed messages has everything some beats later."""
    one = quarantine.Quarantine()
    other = quarantine.Quarantine()
    for number in range(100):
        one.record_end(ids.RequestDigest(f'{number}'), _engine(number), 0.0)
    for beat in range(20):
        told = one.make_reports(10.0 + beat)
        assert len(told) <= 16
        other.merge(told, 10.0 + beat)
    assert all(
        other.is_suspect(ids.RequestDigest(f'{number}'))
        for number in range(100)
    )


def test_news_comes_first() -> None:
    """What was just seen is in the very next message."""
    known = quarantine.Quarantine()
    for number in range(100):
        known.record_end(ids.RequestDigest(f'{number}'), _engine(number), 0.0)
    known.record_end(_GUILTY, _engine(0), 50.0)
    assert _GUILTY in {one.digest for one in known.make_reports(50.1)}


def test_more_ends_than_are_kept_are_no_news() -> None:
    """Two gateways that kept other ends of a request come to rest."""
    known = _known(guilty='ABCDEFGH')
    for number in range(100):
        known.record_end(ids.RequestDigest(f'{number}'), _engine(number), 0.0)
    known.merge([quarantine.Suspicion(_GUILTY, (1, 2, 3))], 10.0)
    assert _GUILTY not in {one.digest for one in known.make_reports(10.1)}
    assert known.held == {_GUILTY}


def test_worst_news_comes_first() -> None:
    """An end of a hundred runs does not hide the one that ended three."""
    known = quarantine.Quarantine()
    for number in range(100):
        known.record_end(ids.RequestDigest(f'{number}'), _engine(0), 10.0)
    for engine in range(3):
        known.record_end(_GUILTY, _engine(engine), 10.0)
    assert _GUILTY in {one.digest for one in known.make_reports(10.0)}


def test_forgotten_after_its_time() -> None:
    """Ages travel: nobody keeps a request alive by telling of it."""
    first, second = _known(guilty='ABC'), quarantine.Quarantine()
    almost = quarantine.RECORD_LIFE_S - 1.0
    second.merge(first.persistent_records(almost), almost)
    assert second.held == {_GUILTY}
    second.prune(quarantine.RECORD_LIFE_S + 1.0)
    assert not second.held
    second.merge(
        first.persistent_records(quarantine.RECORD_LIFE_S + 1.0),
        quarantine.RECORD_LIFE_S + 1.0,
    )
    assert not second.held


def test_bounded() -> None:
    """Ends of many engines at once fill no memory; who is held stays."""
    known = _known(guilty='ABC')
    for number in range(3000):
        known.record_end(ids.RequestDigest(f'{number}'), _engine(number), 1.0)
    known.prune(2.0)
    assert known.held == {_GUILTY}
    assert len(known.persistent_records(2.0)) == 1
    told = {
        one.digest for beat in range(200) for one in known.make_reports(9.0)
    }
    assert len(told) <= 1024


def test_held_part_stays_among_many_ends() -> None:
    """The parts and requests of many ends at once don't push it out."""
    known = _ended('1 A h', '2 B h', '3 C h')
    for number in range(3000):
        known.record_end(
            ids.RequestDigest(f'x{number}'),
            _engine(number),
            1.0,
            _parts(f'm{number}'),
        )
    known.prune(2.0)
    assert known.held_parts == {frozenset(_parts('h'))}
    assert known.ends(_parts('h')[0]) == 3


def _job(is_suspect: bool, *avoid: int) -> generations.Job:
    return generations.Job(
        stream=ids.StreamId('s'),
        entry=ids.MemberId('m'),
        prompt_tokens=100,
        output_hint=10,
        max_output=20,
        arrived_at=0.0,
        start_deadline=1.0,
        abandon_at=3.0,
        deadline=9.0,
        fingerprint='',
        data_centre=ids.DataCentre('a'),
        avoid=frozenset(_engine(number) for number in avoid),
        is_suspect=is_suspect,
    )


@pytest.mark.parametrize(
    ('is_suspect', 'avoid', 'tried', 'goes'),
    [
        (False, (), (1, 2, 3), {1, 2, 3}),
        (True, (), (), {1, 2, 3}),
        (True, (), (1,), {2, 3}),
        (True, (2,), (1,), {3}),
        # Better where it failed before than beside another suspect.
        (True, (2, 3), (1,), {2, 3}),
        (True, (1, 2, 3), (1,), {2, 3}),
        (True, (), (1, 2, 3), set()),
    ],
)
def test_suspects_begin_apart(
    is_suspect: bool,
    avoid: tuple[int, ...],
    tried: tuple[int, ...],
    goes: set[int],
) -> None:
    """A suspect begins where no other does, and waits if there is none."""
    runs = [_run(number, 0.0) for number in tried]
    runs.append(placements.Placement(_engine(3), 0, 0.0))
    engines = [_engine(number) for number in (1, 2, 3)]
    found = placements.separate_suspects(
        _job(is_suspect, *avoid), runs, engines, (), 0.1
    )
    if found is None:
        assert not goes
        return
    assert {e for e in engines if e not in found.avoid} == {
        _engine(number) for number in goes
    }


def _run(engine: int, placed_at: float) -> placements.Placement:
    return placements.Placement(
        _engine(engine), 0, 0.0, placed_at=placed_at, is_suspect=True
    )


def test_suspects_wait_for_a_short_time() -> None:
    """Those that have begun well, or tell nothing, keep nobody waiting."""
    runs = [_run(1, 0.0), _run(2, 0.0)]
    engines = [_engine(1), _engine(2)]
    assert (
        placements.separate_suspects(_job(True), runs, engines, (), 1.0)
        is None
    )
    runs[1].started_at = 1.0
    assert (
        placements.separate_suspects(_job(True), runs, engines, (), 1.4)
        is None
    )
    found = placements.separate_suspects(_job(True), runs, engines, (), 1.6)
    assert found is not None
    assert found.avoid == {_engine(1)}
    assert (
        placements.separate_suspects(_job(True), runs, engines, (), 2.1)
        is not None
    )


@pytest.mark.parametrize(
    ('reading', 'avoid', 'goes'),
    [
        ((), (), {11, 12}),
        ((11,), (), {12}),
        ((11, 12), (), None),
        # The other one failed it before: its decode engine reads it.
        ((11,), (12,), set()),
    ],
)
def test_suspects_are_not_read_beside_each_other(
    reading: tuple[int, ...], avoid: tuple[int, ...], goes: set[int] | None
) -> None:
    """A request may end the engine that reads it, too."""
    runs = [
        dataclasses.replace(_run(place, 0.0), prefill=_engine(reader))
        for place, reader in enumerate(reading, 1)
    ]
    engines = [_engine(number) for number in (1, 2, 3)]
    readers = [_engine(number) for number in (11, 12)]
    job = _job(True, *avoid)
    found = placements.separate_suspects(job, runs, engines, readers, 0.1)
    if goes is None:
        assert found is None
        for run in runs:
            run.prefilled_at = 0.1
        found = placements.separate_suspects(job, runs, engines, readers, 0.1)
        assert found is not None
        return
    assert found is not None
    assert {e for e in readers if e not in found.avoid} == {
        _engine(number) for number in goes
    }


def _placed(
    asking: list[ids.RequestDigest],
    known: quarantine.Quarantine,
    engines: list[ids.UpstreamId],
    source: random.Random,
) -> list[tuple[ids.RequestDigest, placements.Placement]]:
    """Return where requests begin; some suspects may have to wait."""
    runs: list[tuple[ids.RequestDigest, placements.Placement]] = []
    for digest in asking:
        suspect = known.is_suspect(digest)
        placed = [run for _, run in runs]
        job = placements.separate_suspects(
            _job(suspect), placed, engines, (), 0.0
        )
        if job is None:
            continue
        free = [engine for engine in engines if engine not in job.avoid]
        place = placements.Placement(
            source.choice(free), 0, 0.0, is_suspect=suspect
        )
        runs.append((digest, place))
    return runs


@pytest.mark.parametrize('seed', range(20))
@pytest.mark.parametrize('engines', [1, 2, 5, 30])
def test_hundred_beside_it_are_served(seed: int, engines: int) -> None:
    """The guilty one is held soon, and each that was beside it runs.

    In each round some come and are placed with all that are left, suspects
    apart; an engine at which the guilty one runs ends and is back under a new
    name. All others run whole. All runs have just begun when an engine ends:
    the hardest case.
    """
    source = random.Random(seed)
    known = quarantine.Quarantine()
    starts = itertools.count(engines)
    names = [_engine(number) for number in range(engines)]
    left: list[ids.RequestDigest] = []
    rounds = 0
    while left or not known.held:
        left += [
            ids.RequestDigest(f'{rounds}.{number}')
            for number in range(10 if rounds < 10 else 0)
        ]
        rounds += 1
        assert rounds < 120, known.held
        asking = [d for d in (*left, _GUILTY) if d not in known.held]
        source.shuffle(asking)
        runs = _placed(asking, known, names, source)
        ended = {place.engine for digest, place in runs if digest == _GUILTY}
        for digest, place in runs:
            if place.engine in ended:
                known.record_end(digest, place.engine, 0.0)
            else:
                known.record_success(digest, 0.0)
                left.remove(digest)
        names = [
            _engine(next(starts)) if name in ended else name for name in names
        ]
        assert known.held <= {_GUILTY}
    assert known.ends(_GUILTY) == quarantine.END_THRESHOLD
