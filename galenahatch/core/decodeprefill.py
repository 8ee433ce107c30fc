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

"""Prompts that decode engines read themselves.

A decode engine reads at half of the speed of a prefill engine, and its runs
make next to no tokens meanwhile. Where prefill engines keep up this only
costs. Where they don't, because some were lost or demand came in a burst,
memory of decode engines would stay empty while requests wait: with 3 prefill
engines for 20 decode engines, those held 0.45 of their memory for twelve
seconds, and a third of the requests was refused.

Each reading is a pause for the runs of its engine, so only prompts are read
that fit well into the pause that is allowed, and one at a time.
"""

import typing

from galenahatch.core import figures
from galenahatch.core import generations

_SLOWER: typing.Final = 2.0
"""Times that a decode engine takes longer for a prompt."""
REST_S: typing.Final = 0.08
"""Seconds between two readings of an engine, in which its runs make an
event: two within one event's time made pauses of 0.5 to 0.9 s for all of its
runs, one made 0.2 s."""
_PAUSE_SHARE: typing.Final = 0.7
"""Part of the longest pause that a reading may take. The rest is for the
event that its runs were about to make: 45 to 55 ms of 300."""
_BEHIND: typing.Final = 0.25
"""Part of its objective that a request would have to wait for the prefill
engines, from which on decode engines help them."""
PREFILL_EQUIVALENT: typing.Final = 0.15
"""Prefill engines that a decode engine stands for while it helps: it reads a
prompt in 0.2 s and rests, where they take 0.1 s, and half of the prompts are
short enough."""


def prefill_seconds(
    job: generations.Job, measures: figures.Estimator
) -> float:
    """Return how long a decode engine reads a prompt."""
    return _SLOWER * job.prompt_tokens / measures.figures.rate


def busy_seconds(job: generations.Job, measures: figures.Estimator) -> float:
    """Return the seconds in which it reads no other prompt."""
    return prefill_seconds(job, measures) + REST_S


def mean_prefill_seconds(measures: figures.Estimator) -> float:
    """Return how long a decode engine reads a prompt of mean length."""
    return _SLOWER * measures.figures.prompt / measures.figures.rate


def fits_pause(job: generations.Job, measures: figures.Estimator) -> bool:
    """Return whether a reading fits into the pause that is allowed."""
    return prefill_seconds(job, measures) <= _PAUSE_SHARE * job.max_pause


def is_prefill_bound(
    prefills: int, ending: float, measures: figures.Estimator
) -> bool:
    """Return whether prefill engines, and not memory, limit what is served.

    Args:
        prefills: engines that read prompts.
        ending: runs a second that the decode engines can end.
        measures: what a prompt takes.
    """
    return prefills < ending * measures.prefill_busy_seconds(
        measures.figures.prompt
    )


def is_prefill_late(
    job: generations.Job,
    waiting: int,
    prefills: int,
    measures: figures.Estimator,
) -> bool:
    """Return whether prefill engines are too late for a request.

    Args:
        job: that waits.
        waiting: requests that wait.
        prefills: engines that read prompts.
        measures: what a prompt takes.
    """
    each = measures.prefill_busy_seconds(measures.figures.prompt)
    wait = waiting * each / max(1, prefills)
    return wait > _BEHIND * (job.start_deadline - job.arrived_at)
