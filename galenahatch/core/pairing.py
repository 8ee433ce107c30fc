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

"""Choice of a prefill and a decode engine for one request.

Decode first: a prefill may begin only if, when its result is ready, a
place on a decode engine is free and the transfer ends before the result
is evicted. Of the pairs that allow it the one with the lowest score wins:
the time at which decoding starts, plus the prefill time that it costs, so
that a prefix in a cache is weighed against a shorter queue in seconds on
both sides. With many engines only a sample is scored, always including
the engines that have a prefix of the prompt.
"""

import collections.abc
import dataclasses
import random
import typing

from galenahatch.core import engines
from galenahatch.core import health
from galenahatch.core import links
from galenahatch import ids

SAMPLE_SIZE: typing.Final = 16
_BEST: typing.Final = 4
_EXPLAINED_LOSERS: typing.Final = 3
_OCCUPANCY_SECONDS: typing.Final = 0.25
"""Score of a full decode engine against an empty one."""


@dataclasses.dataclass(frozen=True)
class Requirements:
    """What a request needs of a pair.

    Attributes:
        prompt_tokens: whole prompt.
        blocks: number of prefix blocks in the prompt.
        hits: leading blocks by engine.
        data_centre: where the entry stands.
        avoid: engines that failed the request before.
        allowed: engines of the entry's site.
        waste_weight: see schema.ModelService.
    """

    prompt_tokens: int
    block_count: int
    hits: collections.abc.Mapping[ids.EngineName, int]
    data_centre: ids.DataCentre
    avoid: frozenset[ids.EngineName]
    allowed: collections.abc.Container[ids.EngineName]
    waste_weight: float


@dataclasses.dataclass(frozen=True)
class Pair:
    """A pair of engines with the predicted course of a request on it.

    Attributes:
        cost: seconds of prefill.
        prefilled_at: when the result is ready.
        sent_at: when the transfer begins.
        arrives_at: when the transfer ends.
        score: lower is better, seconds.
    """

    prefill: engines.PrefillEngine
    decode: engines.DecodeEngine
    cost: float
    prefilled_at: float
    transfer_starts_at: float
    transfer_ends_at: float
    score: float


@dataclasses.dataclass(frozen=True)
class Choice:
    """Result of choosing.

    Attributes:
        pair: the winner, or None.
        others: the losers, best first.
        wait_until: without a winner, when to look again; None if there is
            no engine at all.
    """

    pair: Pair | None
    alternatives: tuple[Pair, ...] = ()
    retry_at: float | None = None

    def explain(self, waited: float) -> str:
        """Return why a pair won, with the scores of the best losers."""
        if self.pair is None:
            return 'no pair'
        losers = ','.join(
            f'{other.prefill.name}+{other.decode.name}:{other.score:.3f}'
            for other in self.alternatives[:_EXPLAINED_LOSERS]
        )
        return (
            f'score={self.pair.score:.3f} waited={waited:.3f} '
            f'cost={self.pair.cost:.3f} others={losers or "none"}'
        )


def choose_pair(
    need: Requirements,
    prefills: collections.abc.Sequence[engines.PrefillEngine],
    decodes: collections.abc.Sequence[engines.DecodeEngine],
    now: float,
    lookahead: float,
    random_source: random.Random,
) -> Choice:
    """Choose a pair.

    Args:
        need: of the request.
        prefills: engines of the cell.
        decodes: engines of the cell.
        now: monotonic seconds.
        lookahead: longest wait for a prefill engine to become idle; more
            stays in the cell's queue, where order can still change.
        random_source: for sampling.
    """
    first = _usable_prefills(need, prefills, random_source)
    if not first:
        return Choice(None)
    idle_at = min(engine.starts_at(now) for engine in first)
    second = _usable_decodes(need, decodes, random_source)
    if not second:
        return Choice(None)
    if idle_at > now + lookahead:
        return Choice(None, retry_at=idle_at - lookahead)
    ranked_prefills = _rank_prefills(need, first, now, lookahead)
    ranked_decodes = _rank_decodes(need, second, now)
    pairs, wait_until = _score(need, ranked_prefills, ranked_decodes, now)
    if not pairs:
        return Choice(None, retry_at=wait_until)
    pairs.sort(key=lambda pair: pair.score)
    return Choice(pairs[0], tuple(pairs[1:]))


def uncached_tokens(need: Requirements, engine: ids.EngineName) -> int:
    """Return the prompt tokens that an engine would have to prefill."""
    if not need.block_count:
        return need.prompt_tokens
    share = need.hits.get(engine, 0) / need.block_count
    return max(1, int(need.prompt_tokens * (1 - share)))


def accepts_work(engine: engines.PrefillEngine | engines.DecodeEngine) -> bool:
    """Return whether an engine takes work, be it on trial."""
    state = engine.health.state
    return not engine.leaving and state is not health.Health.EJECTED


def _open(engine: engines.PrefillEngine | engines.DecodeEngine) -> bool:
    """Return whether an engine may be given one more request."""
    if not accepts_work(engine):
        return False
    on_trial = engine.health.state is health.Health.TRIAL
    return not on_trial or engine.trial_stream is None


def _usable_prefills(
    need: Requirements,
    prefills: collections.abc.Sequence[engines.PrefillEngine],
    random_source: random.Random,
) -> list[engines.PrefillEngine]:
    sample = _sample(prefills, random_source)
    if len(sample) < len(prefills):
        known = {engine.name for engine in sample}
        sample += [
            engine
            for engine in prefills
            if engine.name in need.hits and engine.name not in known
        ]
    return _candidates(need, sample)


def _usable_decodes(
    need: Requirements,
    decodes: collections.abc.Sequence[engines.DecodeEngine],
    random_source: random.Random,
) -> list[engines.DecodeEngine]:
    sample = _sample(decodes, random_source)
    return _candidates(need, sample)


_Pooled = typing.TypeVar(
    '_Pooled', engines.PrefillEngine, engines.DecodeEngine
)


def _candidates(need: Requirements, sample: list[_Pooled]) -> list[_Pooled]:
    """Return the engines that a request may run on.

    An engine that is ejected is a better try than one that has just failed
    this very request.
    """
    allowed = [e for e in sample if e.name in need.allowed and not e.leaving]
    usable = [engine for engine in allowed if _open(engine)]
    if not need.avoid:
        return usable
    fresh = [engine for engine in usable if engine.name not in need.avoid]
    if fresh:
        return fresh
    return [e for e in allowed if e.name not in need.avoid] or usable


_E = typing.TypeVar('_E')


def _sample(
    pool: collections.abc.Sequence[_E], random_source: random.Random
) -> list[_E]:
    if len(pool) <= SAMPLE_SIZE:
        return list(pool)
    return random_source.sample(pool, SAMPLE_SIZE)


@dataclasses.dataclass(frozen=True)
class _Start:
    """A prefill engine with what a request would meet there."""

    engine: engines.PrefillEngine
    cost: float
    prefilled_at: float
    far: float


@dataclasses.dataclass(frozen=True)
class _Place:
    """A decode engine with what a request would meet there."""

    engine: engines.DecodeEngine
    free_at: float
    occupancy: float
    far: float


def _rank_prefills(
    need: Requirements,
    pool: list[engines.PrefillEngine],
    now: float,
    lookahead: float,
) -> list[_Start]:
    starts = []
    for engine in pool:
        starts_at = engine.starts_at(now)
        if starts_at > now + lookahead:
            continue
        cost = engine.cost(uncached_tokens(need, engine.name))
        far = engines.call_delay(engine.settings, need.data_centre)
        starts.append(_Start(engine, cost, starts_at + cost, far))
    starts.sort(key=lambda start: start.prefilled_at + start.cost + start.far)
    return starts[:_BEST]


def _rank_decodes(
    need: Requirements, pool: list[engines.DecodeEngine], now: float
) -> list[_Place]:
    places = []
    for engine in pool:
        free_at = engine.free_at(now)
        occupancy = engine.reserved / engine.places
        far = engines.call_delay(engine.settings, need.data_centre)
        places.append(_Place(engine, free_at, occupancy, far))
    places.sort(key=lambda place: (place.free_at, place.occupancy))
    return places[:_BEST]


def _score(
    need: Requirements, starts: list[_Start], places: list[_Place], now: float
) -> tuple[list[Pair], float]:
    """Return the pairs that are possible now, else when to look again."""
    pairs = []
    wait_until = float('inf')
    for start in starts:
        place_by = now + (start.prefilled_at - now) * (1 - need.waste_weight)
        for place in places:
            if place.free_at > place_by:
                late = place.free_at - place_by
                wait_until = min(wait_until, now + late)
                continue
            pair, late = _course(need, start, place, now)
            if late <= 0:
                pairs.append(pair)
            else:
                wait_until = min(wait_until, now + late)
    return pairs, wait_until


def _course(
    need: Requirements, start: _Start, place: _Place, now: float
) -> tuple[Pair, float]:
    """Predict the course of the request on a pair.

    Returns:
        The pair, and by how many seconds the transfer would end after the
        result is evicted.
    """
    prefill = start.engine
    decode = place.engine
    size = need.prompt_tokens * prefill.settings.kv_bytes_per_token
    rate = min(
        prefill.settings.link_bytes_per_second,
        decode.settings.link_bytes_per_second,
    )
    transfer = size / rate + engines.transfer_delay(prefill, decode)
    sent_at = links.earliest(
        prefill.link, decode.link, start.prefilled_at, transfer
    )
    arrives_at = sent_at + transfer
    # A place that is only predicted to be free may not be.
    predicted = place.free_at - now
    score = arrives_at - now + start.cost + start.far + place.far + predicted
    score += _OCCUPANCY_SECONDS * place.occupancy
    pair = Pair(
        prefill,
        decode,
        start.cost,
        start.prefilled_at,
        sent_at,
        arrives_at,
        score,
    )
    eviction = prefill.settings.eviction_ms / 1000
    if transfer >= eviction:
        # No wait can make this transfer short enough: let it try.
        return pair, 0.0
    return pair, arrives_at - start.prefilled_at - eviction
