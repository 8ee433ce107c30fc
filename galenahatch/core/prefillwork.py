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

"""Prefills of single engines: what they will take, and what they took."""

import typing

from galenahatch.core import figures
from galenahatch.core import generations
from galenahatch.core import modelengines
from galenahatch.core import placements
from galenahatch.core import pool
from galenahatch import ids

_MAX_MEASURED_S: typing.Final = 1.2
_MAX_SLOWDOWN: typing.Final = 4.0
"""Seconds, and multiple of what an engine of the initial rate takes, up to
which the time of a prefill tells of its engine's speed. A longer one was a
silence, in which the engine or the path stood still."""


class Result(typing.Protocol):
    """Result of a prefill, as its VM reports it."""

    @property
    def stream(self) -> ids.StreamId:
        """Stream that the prompt belongs to."""

    @property
    def tokens(self) -> int:
        """Tokens of the prompt."""

    @property
    def seconds(self) -> float:
        """Seconds that its VM waited for the result."""

    @property
    def slowdown(self) -> float:
        """Slowdown that the engine stated with it; 0 if none."""


def extra_seconds(
    job: generations.Job,
    prefill: modelengines.PrefillEngine | None,
    engines: pool.Pool,
    estimator: figures.Estimator,
    now: float,
) -> float:
    """Return how much longer a prefill takes than at the median engine."""
    if prefill is None:
        return 0.0
    factor = engines.prefill_factor(prefill, now)
    return (factor - 1.0) * estimator.prefill_seconds(job.prompt_tokens)


def assign(
    job: generations.Job,
    prefill: modelengines.PrefillEngine,
    engines: pool.Pool,
    estimator: figures.Estimator,
    now: float,
) -> None:
    """Record that a prompt is sent to an engine."""
    factor = engines.prefill_factor(prefill, now)
    prefill.assign(
        job.stream,
        factor * estimator.prefill_seconds(job.prompt_tokens),
        factor * estimator.prefill_busy_seconds(job.prompt_tokens),
        now,
        engines.speeds.slowdown(prefill.upstream.id, now),
    )


def record(
    placement: placements.Placement,
    result: Result,
    engines: pool.Pool,
    estimator: figures.Estimator,
    now: float,
) -> None:
    """Record that a prompt was read.

    Args:
        placement: Engines of the run.
        result: Result of the prefill.
        engines: Engines of the service.
        estimator: Measurements of the service's requests.
        now: Monotonic time in seconds.
    """
    engine = placement.prefill
    if engine is None:
        return
    placement.prefilled_at = now
    if result.seconds > longest_seconds(result.tokens):
        engines.cancel_prefill(engine, result.stream)
    else:
        _measure(placement, engine, result, engines, estimator, now)


def longest_seconds(tokens: int) -> float:
    """Return the seconds beyond which a prefill was silent."""
    usual = tokens / figures.INITIAL_PREFILL_RATE
    return max(_MAX_MEASURED_S, _MAX_SLOWDOWN * usual)


def _measure(
    placement: placements.Placement,
    engine: ids.UpstreamId,
    result: Result,
    engines: pool.Pool,
    estimator: figures.Estimator,
    now: float,
) -> None:
    """Learn from the time that a prefill took."""
    if placement.had_idle_prefill:
        line, speeds = estimator.prefill_line, engines.speeds
        median_seconds = speeds.record_prefill(
            engine,
            result.tokens + line.delay * line.rate,
            result.seconds,
            now,
            result.slowdown,
        )
        median_rate = speeds.prefill_rate if speeds.is_uneven else None
        estimator.record_prefill(result.tokens, median_seconds, median_rate)
    engines.record_result(
        engine, result.stream, result.seconds, now, result.slowdown
    )
    alone = engines.record_overlap(
        engine,
        placement.placed_at,
        result.tokens,
        estimator.prefill_line,
        estimator.figures.alone,
        now,
    )
    if alone is not None:
        estimator.record_overlap(alone)
