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

"""Where a placed generation is, and what is awaited of its engines."""

import collections.abc
import dataclasses
import typing

from galenahatch.core import generations
from galenahatch import ids

STARTUP_S: typing.Final = 0.5
"""Seconds from its first event in which a run has just begun. One that goes on
for longer is not what ends its engine."""
_LAPSE: typing.Final = 15.0
"""Seconds without a sign of its VM after which a run is forgotten; longer
than the longest stream of the users, shorter than a minute."""
_STARTS: typing.Final = 2.0
"""Seconds from its placement in which the first event of a run is awaited; its
VM may never tell of it."""


@dataclasses.dataclass
class Placement:
    """Where a run is, and when its VM last told of it.

    Attributes:
        is_alone: whether its prefill engine had no other prompt: only then
            its time tells what a prompt takes, and not how many wait there.
        read_at: when its prompt had been read, if known.
        is_suspect: whether an engine ended under it lately.
        started_at: when its first event came, if known.
    """

    engine: ids.UpstreamId
    output_hint: int
    confirmed_at: float
    prefill: ids.UpstreamId | None = None
    placed_at: float = 0.0
    had_idle_prefill: bool = False
    prefilled_at: float | None = None
    is_suspect: bool = False
    started_at: float | None = None

    def is_on_trial(self, now: float) -> bool:
        """Return whether its engine may still end under a suspect."""
        if self.started_at is None:
            return self.is_suspect and now < self.placed_at + _STARTS
        return self.is_suspect and now < self.started_at + STARTUP_S


def expired(
    placed: collections.abc.Mapping[ids.StreamId, Placement], now: float
) -> list[ids.StreamId]:
    """Return the runs whose VM has been silent for long."""
    return [
        stream
        for stream, placement in placed.items()
        if now - placement.confirmed_at > _LAPSE
    ]


def separate_suspects(
    job: generations.Job,
    placed: collections.abc.Iterable[Placement],
    decodes: collections.abc.Iterable[ids.UpstreamId],
    prefills: collections.abc.Iterable[ids.UpstreamId],
    now: float,
) -> generations.Job | None:
    """Return a suspect with the engines that it avoids; None if it waits.

    No two suspects begin beside each other, nor are read so. Should an engine
    end, it is known which of them it was, and whoever was once beside a
    request that ends engines is not beside it again.

    Args:
        job: that wants engines.
        placed: all runs.
        decodes: decode engines that it may go to.
        prefills: prefill engines that it may go to.
        now: seconds of the owner.
    """
    if not job.is_suspect:
        return job
    tried = [one for one in placed if one.is_on_trial(now)]
    taken = {one.engine for one in tried}
    reading = {
        one.prefill
        for one in tried
        if one.prefill is not None and one.prefilled_at is None
    }
    free = set(decodes) - taken
    if taken and not free:
        return None
    if reading and not job.is_prefilled and reading.issuperset(prefills):
        return None
    avoid = job.avoid | taken | reading
    if not free - job.avoid:
        avoid -= free
    return dataclasses.replace(job, avoid=avoid)
