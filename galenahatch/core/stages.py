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

"""Plans how many engines of a service run prefill and how many decode.

The throughput of a service is that of the slower of its two stages. A prefill
engine is busy for the time that a prompt takes; a decode engine is limited by
its memory, of which each request holds a part for its lifetime. Both times
determine the best division. A stage change costs an order and takes the engine
away for some seconds, so it must raise the throughput by a good margin, and no
engine may have vanished recently: most that crash come back by themselves.
"""

import dataclasses
import math
import typing

from galenahatch.core import upstreams

MIN_GAIN: typing.Final = 1.15
"""Least ratio of the new to the present throughput that justifies a change."""
MIN_GAIN_BUSY: typing.Final = 1.4
"""The same while requests wait and the changing engines are missed meanwhile.
A surplus of prefill engines is not missed, since the decode engines are the
bottleneck and continue; it is given up at once, as bursts that follow each
other every ten seconds leave no calm moment."""
_MIN_GAIN_FREE: typing.Final = 1.1
"""The same where the changing engines are not missed meanwhile: the only cost
is an order. Engines that are half empty show little of the gain yet."""
_EQUAL_RATE: typing.Final = 0.97
"""Fraction of the present throughput above which a division counts as no
worse."""
_SETTLE_S: typing.Final = 5.0
"""Seconds to wait after an engine vanished without notice, and after the last
plan; engines that crash are back within about 4 s."""
_MAX_DECODE_PREFILL_SHARE: typing.Final = 0.3
"""Largest fraction of the prompts that decode engines may read; about half of
all prompts are short enough."""
UTILIZATION: typing.Final = 0.85
"""Planned utilization of engines, which keeps queueing low."""


@dataclasses.dataclass(frozen=True)
class RequestCost:
    """Engine time that one request takes.

    Attributes:
        prefill_seconds: Seconds of a prefill engine.
        decode_seconds: Seconds of a whole decode engine.
        decode_prefill_seconds: Seconds of a decode engine that reads the
            prompt itself.
    """

    prefill_seconds: float
    decode_seconds: float
    decode_prefill_seconds: float = math.inf


def throughput(cost: RequestCost, prefills: int, decodes: int) -> float:
    """Return the requests a second that a division of engines completes.

    Where prefill engines are the bottleneck, decode engines read the prompts
    that remain, up to a fraction of all: some prompts are too long for the
    pause that their runs may make. Decode time is then split between decoding
    and prefill.
    """
    prefill_rate = UTILIZATION * prefills / cost.prefill_seconds
    decode_rate = decodes / cost.decode_seconds
    if decode_rate <= prefill_rate:
        return decode_rate
    if math.isinf(cost.decode_prefill_seconds):
        return prefill_rate
    if not prefills:
        # Long prompts pause every run of their engine for too long, so what
        # is served then is late.
        return (
            _MAX_DECODE_PREFILL_SHARE
            * decodes
            / (cost.decode_seconds + cost.decode_prefill_seconds)
        )
    combined_rate = (decodes + prefill_rate * cost.decode_prefill_seconds) / (
        cost.decode_seconds + cost.decode_prefill_seconds
    )
    return max(
        prefill_rate,
        min(combined_rate, prefill_rate / (1 - _MAX_DECODE_PREFILL_SHARE)),
    )


def best_prefill_count(cost: RequestCost, engines: int) -> int:
    """Return how many of some engines should run prefill."""
    if engines < 2:
        return engines
    return max(
        range(1, engines),
        key=lambda prefills: throughput(cost, prefills, engines - prefills),
    )


class Planner:
    """Plans the stage changes of one service."""

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
        """Set the engines present, and those that announced they leave."""
        current = frozenset(engines)
        vanished = self._engines - current
        if any(engine not in leaving for engine in vanished):
            self._vanished_at = now
        self._engines = current

    def reset(self) -> None:
        """Forget the last plan: it was not carried out."""
        self._planned_at = -1e9

    def is_due(self, now: float) -> bool:
        """Return whether engines have settled since they last changed."""
        return now - max(self._vanished_at, self._planned_at) >= _SETTLE_S

    def record_plan(self, now: float) -> None:
        """Record that stage changes were planned."""
        self._planned_at = now

    def plan(
        self,
        costs: typing.Sequence[RequestCost],
        prefills: typing.Sequence[upstreams.Upstream],
        decodes: typing.Sequence[upstreams.Upstream],
        is_calm: bool,
        is_prefill_late: bool,
        now: float,
    ) -> list[tuple[upstreams.Upstream, upstreams.Stage]]:
        """Return the engines to change, and their new stages.

        Args:
            costs: Possible costs of one request; a change has to pay off for
                each.
            prefills: Prefill engines, the most idle first.
            decodes: Decode engines, the most idle first.
            is_calm: Whether no request has waited recently.
            is_prefill_late: Whether requests have waited for prefill engines
                recently. Otherwise no decode engine is given up: it is missed
                at once, while the gain rests on estimates.
            now: Monotonic time in seconds.
        """
        total = len(prefills) + len(decodes)
        if total < 2 or not self.is_due(now):
            return []
        surplus = _smallest_common(
            [len(prefills) - best_prefill_count(cost, total) for cost in costs]
        )
        if not surplus or (surplus < 0 and prefills and not is_prefill_late):
            return []
        engines = (len(prefills), len(decodes))
        if not all(
            _is_worthwhile(cost, engines, surplus, is_calm) for cost in costs
        ):
            return []
        self._planned_at = now
        if surplus > 0:
            stage = upstreams.Stage.DECODE
            return [(e, stage) for e in prefills[:surplus]]
        stage = upstreams.Stage.PREFILL
        return [(e, stage) for e in decodes[:-surplus]]


def _smallest_common(surpluses: typing.Sequence[int]) -> int:
    """Return the smallest change if all have the same sign, 0 otherwise."""
    if min(surpluses) > 0:
        return min(surpluses)
    return min(0, max(surpluses))


def _is_worthwhile(
    cost: RequestCost, engines: tuple[int, int], surplus: int, is_calm: bool
) -> bool:
    """Return whether a change gains more than it costs meanwhile."""
    prefills, decodes = engines
    before = throughput(cost, prefills, decodes)
    after = throughput(cost, prefills - surplus, decodes + surplus)
    if surplus > 0:
        during = throughput(cost, prefills - surplus, decodes)
    else:
        during = throughput(cost, prefills, decodes + surplus)
    if surplus > 0 and during > _EQUAL_RATE * before:
        return after >= _MIN_GAIN_FREE * before
    return after >= (MIN_GAIN if is_calm else MIN_GAIN_BUSY) * before
