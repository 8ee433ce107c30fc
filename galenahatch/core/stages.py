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

"""How many engines should read prompts, and how many make answers.

A service ends as many requests a second as the slower of its two stages. A
prefill engine is busy for the time that a prompt takes; a decode engine is
limited by its memory, of which each request holds a part for its life. From
both times the best division follows. A change costs an order and takes the
engine away for some seconds, so it must raise the rate by a good part, and
no engine may have vanished lately: those that crash mostly come back by
themselves.
"""

import dataclasses
import math
import typing

from galenahatch.core import upstreams

MIN_GAIN: typing.Final = 1.15
"""Times the present rate that a division must reach to be worth a change."""
MIN_GAIN_BUSY: typing.Final = 1.4
"""The same while requests wait and the engines that change are missed
meanwhile. A surplus of prefill engines is not missed: decode engines limit,
and go on. It is given up at once, for the first of the bursts that follow
each other every ten seconds leaves no calm moment."""
_FREE_GAIN: typing.Final = 1.1
"""The same where engines change that nobody misses meanwhile: the price is
an order. Engines that are half empty show little of the gain yet."""
_SAME: typing.Final = 0.97
"""Part of the present rate from which on a division counts as no worse."""
_SETTLED: typing.Final = 5.0
"""Seconds since an engine vanished without a word, and since the last plan;
engines that crash are back within about four."""
_HELPED: typing.Final = 0.3
"""Part of the prompts that decode engines may read, at the most; half of
them are short enough where that was measured."""
_PREFILL_USE: typing.Final = 0.85
"""Part of a prefill engine's time that is planned for, so that prompts wait
for each other little."""


@dataclasses.dataclass(frozen=True)
class RequestCost:
    """What one request costs.

    Attributes:
        read: seconds of a prefill engine.
        hold: seconds of a decode engine, the whole of it.
        help: seconds of a decode engine that reads the prompt itself.
    """

    prefill_seconds: float
    decode_seconds: float
    decode_prefill_seconds: float = math.inf


def throughput(work: RequestCost, prefills: int, decodes: int) -> float:
    """Return requests a second that a division of engines can end.

    Where prefill engines limit, decode engines read what those leave, up to
    a part of all prompts: some are too long for the pause that their runs
    may make. Their time then goes into holding and reading.
    """
    reading = _PREFILL_USE * prefills / work.prefill_seconds
    making = decodes / work.decode_seconds
    if making <= reading:
        return making
    if math.isinf(work.decode_prefill_seconds):
        return reading
    if not prefills:
        # Prompts that are too long make every run of their engine pause for
        # too long: what is served then is late.
        return (
            _HELPED
            * decodes
            / (work.decode_seconds + work.decode_prefill_seconds)
        )
    helped = (decodes + reading * work.decode_prefill_seconds) / (
        work.decode_seconds + work.decode_prefill_seconds
    )
    return max(reading, min(helped, reading / (1 - _HELPED)))


def best_prefill_count(work: RequestCost, engines: int) -> int:
    """Return how many of some engines should read prompts."""
    if engines < 2:
        return engines
    return max(
        range(1, engines),
        key=lambda prefills: throughput(work, prefills, engines - prefills),
    )


class Planner:
    """Decides on changes of stage for one service."""

    def __init__(self) -> None:
        self._engines: frozenset[str] = frozenset()
        self._vanished_at = -1e9
        self._planned_at = -1e9

    def set_engines(
        self,
        engines: typing.Iterable[str],
        leaving: typing.Container[str],
        now: float,
    ) -> None:
        """Take which engines there are, and which have said they leave."""
        current = frozenset(engines)
        lost = self._engines - current
        if any(engine not in leaving for engine in lost):
            self._vanished_at = now
        self._engines = current

    def reset(self) -> None:
        """Forget the last plan: nothing came of it."""
        self._planned_at = -1e9

    def plan(
        self,
        works: typing.Sequence[RequestCost],
        prefills: typing.Sequence[upstreams.Upstream],
        decodes: typing.Sequence[upstreams.Upstream],
        calm: bool,
        lags: bool,
        now: float,
    ) -> list[tuple[upstreams.Upstream, upstreams.Stage]]:
        """Return the engines to change, and to which stage.

        Args:
            works: what one request may cost, as far as it is known; a change
                has to pay whichever it is.
            prefills: engines that read, the most idle first.
            decodes: engines that make answers, the most idle first.
            calm: whether no request has waited lately.
            lags: whether requests have waited for prefill engines lately. No
                decode engine is given up for less: it is missed at once, and
                what it would gain rests on figures.
            now: monotonic seconds.
        """
        total = len(prefills) + len(decodes)
        unsettled_at = max(self._vanished_at, self._planned_at)
        if total < 2 or now - unsettled_at < _SETTLED:
            return []
        surplus = _agreed(
            [len(prefills) - best_prefill_count(work, total) for work in works]
        )
        if not surplus or (surplus < 0 and prefills and not lags):
            return []
        engines = (len(prefills), len(decodes))
        if not all(_pays(work, engines, surplus, calm) for work in works):
            return []
        self._planned_at = now
        if surplus > 0:
            stage = upstreams.Stage.DECODE
            return [(e, stage) for e in prefills[:surplus]]
        stage = upstreams.Stage.PREFILL
        return [(e, stage) for e in decodes[:-surplus]]


def _agreed(surpluses: typing.Sequence[int]) -> int:
    """Return the smallest change if all go one way, 0 otherwise."""
    if min(surpluses) > 0:
        return min(surpluses)
    return min(0, max(surpluses))


def _pays(
    work: RequestCost, engines: tuple[int, int], surplus: int, calm: bool
) -> bool:
    """Return whether a change gains more than it costs meanwhile."""
    prefills, decodes = engines
    before = throughput(work, prefills, decodes)
    after = throughput(work, prefills - surplus, decodes + surplus)
    if surplus > 0:
        meanwhile = throughput(work, prefills - surplus, decodes)
    else:
        meanwhile = throughput(work, prefills, decodes + surplus)
    if surplus > 0 and meanwhile > _SAME * before:
        return after >= _FREE_GAIN * before
    return after >= (MIN_GAIN if calm else MIN_GAIN_BUSY) * before
