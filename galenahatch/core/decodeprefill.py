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

"""Prefill of prompts by decode engines.

A decode engine reads prompts at half the speed of a prefill engine, and its
runs generate next to no tokens meanwhile, so where prefill engines keep up
this only costs. Where they don't, because some were lost or a burst arrived,
the memory of decode engines would stay empty while requests wait: with 3
prefill engines for 20 decode engines, those used 0.45 of their memory for
twelve seconds, and a third of the requests was refused.

Each such prefill pauses the engine's runs, so only prompts that fit well into
the allowed pause are read, one at a time.
"""

import typing

from galenahatch.core import figures
from galenahatch.core import generations

_SLOWDOWN: typing.Final = 2.0
"""Factor by which a decode engine reads a prompt more slowly."""
REST_S: typing.Final = 0.08
"""Seconds between two prefills of a decode engine, in which its runs generate
an event: two prefills within one event's time caused pauses of 0.5 to 0.9 s
for all runs, one caused 0.2 s."""
_PAUSE_FRACTION: typing.Final = 0.7
"""Fraction of the longest allowed pause that a prefill may take. The rest is
for the event that the runs were about to generate: 45 to 55 ms of 300."""
_MAX_WAIT_FRACTION: typing.Final = 0.25
"""Wait for prefill engines, as a fraction of a request's objective, above
which decode engines help."""
PREFILL_EQUIVALENT: typing.Final = 0.15
"""Prefill engines that a helping decode engine replaces: it reads a prompt in
0.2 s and rests, where they take 0.1 s, and half of the prompts are short
enough."""


def prefill_seconds(
    job: generations.Job, estimator: figures.Estimator
) -> float:
    """Return the time in which a decode engine reads a prompt."""
    return _SLOWDOWN * job.prompt_tokens / estimator.figures.rate


def busy_seconds(job: generations.Job, estimator: figures.Estimator) -> float:
    """Return the seconds before the engine can read another prompt."""
    return prefill_seconds(job, estimator) + REST_S


def mean_prefill_seconds(estimator: figures.Estimator) -> float:
    """Return the time in which a decode engine reads a mean prompt."""
    return _SLOWDOWN * estimator.figures.prompt / estimator.figures.rate


def fits_pause(job: generations.Job, estimator: figures.Estimator) -> bool:
    """Return whether a prefill fits into the pause that is allowed."""
    return prefill_seconds(job, estimator) <= _PAUSE_FRACTION * job.max_pause


def is_prefill_bound(
    prefills: float, completion_rate: float, estimator: figures.Estimator
) -> bool:
    """Return whether prefill engines, and not memory, are the bottleneck.

    Args:
        prefills: Number of prefill engines, in median engines.
        completion_rate: Runs a second that the decode engines can complete.
        estimator: Measurements of the service's requests.
    """
    return prefills < completion_rate * estimator.prefill_busy_seconds(
        estimator.figures.prompt
    )


def is_prefill_late(
    job: generations.Job,
    waiting: int,
    prefills: float,
    estimator: figures.Estimator,
) -> bool:
    """Return whether prefill engines would be too late for a request.

    Args:
        job: Waiting request.
        waiting: Number of waiting requests.
        prefills: Number of prefill engines, in median engines.
        estimator: Measurements of the service's requests.
    """
    seconds_each = estimator.prefill_busy_seconds(estimator.figures.prompt)
    wait = waiting * seconds_each / max(1, prefills)
    return wait > _MAX_WAIT_FRACTION * (job.start_deadline - job.arrived_at)
