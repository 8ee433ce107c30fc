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

"""Selection of a prefill and a decode engine for a request.

A prefill may start only if, when its result is ready, a place on a decode
engine is free and the transfer ends before the result is evicted. Among the
feasible pairs the lowest score wins. The score is the time until decoding
starts plus the prefill time, so a cached prefix and a shorter queue are
compared in the same unit, seconds. In large pools only a sample is scored,
which always includes the engines that cache a prefix of the prompt.
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
_MAX_RANKED: typing.Final = 4
_EXPLAINED_ALTERNATIVES: typing.Final = 3
_OCCUPANCY_PENALTY_S: typing.Final = 0.25
"""Score difference between a full and an empty decode engine."""


@dataclasses.dataclass(frozen=True)
class Requirements:
    """Requirements of a request on a pair of engines.

    Attributes:
        prompt_tokens: Number of tokens in the prompt.
        block_count: Number of prefix blocks in the prompt.
        hits: Number of cached leading blocks by engine.
        data_centre: Data centre of the entry.
        avoid: Engines that failed an earlier attempt of the request.
        allowed: Engines that the entry's site may use.
        waste_weight: See `schema.ModelService`.
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
    """Pair of engines with the predicted schedule of a request.

    Attributes:
        cost: Prefill time in seconds.
        prefilled_at: Time at which the prefill result is ready.
        transfer_starts_at: Time at which the transfer starts.
        transfer_ends_at: Time at which the transfer ends.
        score: Score in seconds; lower is better.
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
    """Result of a selection.

    Attributes:
        pair: Selected pair, or None.
        alternatives: Other feasible pairs, best first.
        retry_at: Time to retry if no pair was selected; None if there is no
            usable engine.
    """

    pair: Pair | None
    alternatives: tuple[Pair, ...] = ()
    retry_at: float | None = None

    def explain(self, waited: float) -> str:
        """Explain the selection with the scores of the best alternatives."""
        if self.pair is None:
            return 'no pair'
        alternatives = ','.join(
            f'{other.prefill.name}+{other.decode.name}:{other.score:.3f}'
            for other in self.alternatives[:_EXPLAINED_ALTERNATIVES]
        )
        return (
            f'score={self.pair.score:.3f} waited={waited:.3f} '
            f'cost={self.pair.cost:.3f} others={alternatives or "none"}'
        )


def choose_pair(
    needs: Requirements,
    prefills: collections.abc.Sequence[engines.PrefillEngine],
    decodes: collections.abc.Sequence[engines.DecodeEngine],
    now: float,
    lookahead: float,
    random_source: random.Random,
) -> Choice:
    """Select a pair of engines.

    Args:
        needs: Requirements of the request.
        prefills: Prefill engines of the cell.
        decodes: Decode engines of the cell.
        now: Monotonic seconds.
        lookahead: Maximum seconds until a prefill engine becomes idle;
            further requests stay in the cell's queue, where the order can
            still change.
        random_source: Random source for sampling.
    """
    usable_prefills = _usable_prefills(needs, prefills, random_source)
    if not usable_prefills:
        return Choice(None)
    idle_at = min(engine.starts_at(now) for engine in usable_prefills)
    usable_decodes = _usable_decodes(needs, decodes, random_source)
    if not usable_decodes:
        return Choice(None)
    if idle_at > now + lookahead:
        return Choice(None, retry_at=idle_at - lookahead)
    ranked_prefills = _rank_prefills(needs, usable_prefills, now, lookahead)
    ranked_decodes = _rank_decodes(needs, usable_decodes, now)
    pairs, retry_at = _score_pairs(needs, ranked_prefills, ranked_decodes, now)
    if not pairs:
        return Choice(None, retry_at=retry_at)
    pairs.sort(key=lambda pair: pair.score)
    return Choice(pairs[0], tuple(pairs[1:]))


def uncached_tokens(needs: Requirements, engine: ids.EngineName) -> int:
    """Return the number of prompt tokens that an engine must prefill."""
    if not needs.block_count:
        return needs.prompt_tokens
    cached_fraction = needs.hits.get(engine, 0) / needs.block_count
    return max(1, int(needs.prompt_tokens * (1 - cached_fraction)))


def accepts_work(engine: engines.PrefillEngine | engines.DecodeEngine) -> bool:
    """Return whether an engine accepts work, possibly as a trial."""
    state = engine.health.state
    return not engine.leaving and state is not health.Health.EJECTED


def _accepts_request(
    engine: engines.PrefillEngine | engines.DecodeEngine,
) -> bool:
    """Return whether an engine may get another request."""
    if not accepts_work(engine):
        return False
    is_on_trial = engine.health.state is health.Health.TRIAL
    return not is_on_trial or engine.trial_stream is None


def _usable_prefills(
    needs: Requirements,
    prefills: collections.abc.Sequence[engines.PrefillEngine],
    random_source: random.Random,
) -> list[engines.PrefillEngine]:
    sample = _sample(prefills, random_source)
    if len(sample) < len(prefills):
        sampled = {engine.name for engine in sample}
        sample += [
            engine
            for engine in prefills
            if engine.name in needs.hits and engine.name not in sampled
        ]
    return _candidates(needs, sample)


def _usable_decodes(
    needs: Requirements,
    decodes: collections.abc.Sequence[engines.DecodeEngine],
    random_source: random.Random,
) -> list[engines.DecodeEngine]:
    sample = _sample(decodes, random_source)
    return _candidates(needs, sample)


_Pooled = typing.TypeVar(
    '_Pooled', engines.PrefillEngine, engines.DecodeEngine
)


def _candidates(needs: Requirements, sample: list[_Pooled]) -> list[_Pooled]:
    """Return the engines that a request may run on.

    An ejected engine is preferred to one that already failed this request.
    """
    allowed = [e for e in sample if e.name in needs.allowed and not e.leaving]
    usable = [engine for engine in allowed if _accepts_request(engine)]
    if not needs.avoid:
        return usable
    not_failed = [
        engine for engine in usable if engine.name not in needs.avoid
    ]
    if not_failed:
        return not_failed
    return [e for e in allowed if e.name not in needs.avoid] or usable


_E = typing.TypeVar('_E')


def _sample(
    pool: collections.abc.Sequence[_E], random_source: random.Random
) -> list[_E]:
    if len(pool) <= SAMPLE_SIZE:
        return list(pool)
    return random_source.sample(pool, SAMPLE_SIZE)


@dataclasses.dataclass(frozen=True)
class _PrefillCandidate:
    """Prefill engine with the predictions for a request."""

    engine: engines.PrefillEngine
    cost: float
    prefilled_at: float
    delay: float


@dataclasses.dataclass(frozen=True)
class _DecodeCandidate:
    """Decode engine with the predictions for a request."""

    engine: engines.DecodeEngine
    free_at: float
    occupancy: float
    delay: float


def _rank_prefills(
    needs: Requirements,
    pool: list[engines.PrefillEngine],
    now: float,
    lookahead: float,
) -> list[_PrefillCandidate]:
    candidates = []
    for engine in pool:
        starts_at = engine.starts_at(now)
        if starts_at > now + lookahead:
            continue
        cost = engine.cost(uncached_tokens(needs, engine.name))
        delay = engines.call_delay(engine.settings, needs.data_centre)
        candidates.append(
            _PrefillCandidate(engine, cost, starts_at + cost, delay)
        )
    candidates.sort(
        key=lambda candidate: (
            candidate.prefilled_at + candidate.cost + candidate.delay
        )
    )
    return candidates[:_MAX_RANKED]


def _rank_decodes(
    needs: Requirements, pool: list[engines.DecodeEngine], now: float
) -> list[_DecodeCandidate]:
    candidates = []
    for engine in pool:
        free_at = engine.free_at(now)
        occupancy = engine.reserved / engine.places
        delay = engines.call_delay(engine.settings, needs.data_centre)
        candidates.append(_DecodeCandidate(engine, free_at, occupancy, delay))
    candidates.sort(
        key=lambda candidate: (candidate.free_at, candidate.occupancy)
    )
    return candidates[:_MAX_RANKED]


def _score_pairs(
    needs: Requirements,
    prefills: list[_PrefillCandidate],
    decodes: list[_DecodeCandidate],
    now: float,
) -> tuple[list[Pair], float]:
    """Return the feasible pairs, and when to retry if there are none."""
    pairs = []
    retry_at = float('inf')
    for prefill in prefills:
        needed_at = now + (prefill.prefilled_at - now) * (
            1 - needs.waste_weight
        )
        for decode in decodes:
            if decode.free_at > needed_at:
                late_by = decode.free_at - needed_at
                retry_at = min(retry_at, now + late_by)
                continue
            pair, late_by = _predict_pair(needs, prefill, decode, now)
            if late_by <= 0:
                pairs.append(pair)
            else:
                retry_at = min(retry_at, now + late_by)
    return pairs, retry_at


def _predict_pair(
    needs: Requirements,
    source: _PrefillCandidate,
    target: _DecodeCandidate,
    now: float,
) -> tuple[Pair, float]:
    """Predict the schedule of a request on a pair.

    Returns:
        Pair, and seconds from the eviction of the result to the end of the
        transfer.
    """
    prefill = source.engine
    decode = target.engine
    size = needs.prompt_tokens * prefill.settings.kv_bytes_per_token
    rate = min(
        prefill.settings.link_bytes_per_second,
        decode.settings.link_bytes_per_second,
    )
    transfer = size / rate + engines.transfer_delay(prefill, decode)
    starts_at = links.earliest(
        prefill.link, decode.link, source.prefilled_at, transfer
    )
    ends_at = starts_at + transfer
    # The prediction of when a place becomes free may be wrong.
    wait = target.free_at - now
    score = ends_at - now + source.cost + source.delay + target.delay + wait
    score += _OCCUPANCY_PENALTY_S * target.occupancy
    pair = Pair(
        prefill,
        decode,
        source.cost,
        source.prefilled_at,
        starts_at,
        ends_at,
        score,
    )
    eviction_time = prefill.settings.eviction_ms / 1000
    if transfer >= eviction_time:
        # The transfer is too long however late it starts: try it anyway.
        return pair, 0.0
    return pair, ends_at - source.prefilled_at - eviction_time
