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

"""Placed generations and what is still expected of their engines."""

import collections.abc
import dataclasses
import typing

from galenahatch.core import generations
from galenahatch import ids

STARTUP_S: typing.Final = 0.5
"""Seconds after its first event in which a run counts as just begun. A run
that lasts longer is not the cause if its engine ends."""
MAX_SILENT_PAUSES: typing.Final = 4.0
"""Longest silence of a run, as a multiple of its longest pause, that isn't
taken for a disturbance of its engine or its connection. A resumable stream is
given another engine then; callers disconnect after eight such pauses."""
_EXPIRY_S: typing.Final = 15.0
"""Seconds without a report of its VM after which a run is forgotten; longer
than the longest stream of the users, shorter than a minute."""
_FIRST_EVENT_TIMEOUT_S: typing.Final = 2.0
"""Seconds after its placement in which the first event of a run is expected;
its VM may never report it."""


class Start(typing.NamedTuple):
    """First event of a run.

    Attributes:
        seconds: Seconds from the end of the prefill; None if unknown.
        is_late: Whether it took longer than a run may be silent.
    """

    seconds: float | None
    is_late: bool


@dataclasses.dataclass
class Placement:
    """Engines of a run, and when its VM last reported it.

    Attributes:
        had_idle_prefill: Whether its prefill engine had no other prompt; only
            then does its time exclude queueing.
        prefilled_at: Time at which the prompt had been read, if known.
        is_suspect: Whether an engine recently ended under the request.
        started_at: Time of the first event, if known.
        max_pause: Longest pause between two events, in seconds; 0 if unknown.
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
    max_pause: float = 0.0

    def record_start(self, now: float) -> Start:
        """Record the first event."""
        self.started_at = now
        if self.prefilled_at is None:
            return Start(None, is_late=False)
        seconds = now - self.prefilled_at
        is_late = 0 < MAX_SILENT_PAUSES * self.max_pause < seconds
        return Start(seconds, is_late)

    def is_on_trial(self, now: float) -> bool:
        """Return whether its engine may still end under a suspect."""
        if self.started_at is None:
            return (
                self.is_suspect
                and now < self.placed_at + _FIRST_EVENT_TIMEOUT_S
            )
        return self.is_suspect and now < self.started_at + STARTUP_S


def expired(
    running: collections.abc.Mapping[ids.StreamId, Placement], now: float
) -> list[ids.StreamId]:
    """Return the runs whose VM has not reported them for too long."""
    return [
        stream
        for stream, placement in running.items()
        if now - placement.confirmed_at > _EXPIRY_S
    ]


def separate_suspects(
    job: generations.Job,
    running: collections.abc.Iterable[Placement],
    decodes: collections.abc.Iterable[ids.UpstreamId],
    prefills: collections.abc.Iterable[ids.UpstreamId],
    now: float,
) -> generations.Job | None:
    """Return a suspect that avoids engines on trial; None if it has to wait.

    No two suspects start at the same engine at the same time, nor are their
    prompts read so. If an engine ends, it is then clear which request was the
    cause, and a request that was once beside a harmful one does not meet it
    again.

    Args:
        job: Request that needs engines.
        running: All placed runs.
        decodes: Decode engines that the request may use.
        prefills: Prefill engines that the request may use.
        now: Monotonic time in seconds.
    """
    if not job.is_suspect:
        return job
    on_trial = [
        placement for placement in running if placement.is_on_trial(now)
    ]
    trial_decodes = {placement.engine for placement in on_trial}
    trial_prefills = {
        placement.prefill
        for placement in on_trial
        if placement.prefill is not None and placement.prefilled_at is None
    }
    free_decodes = set(decodes) - trial_decodes
    if trial_decodes and not free_decodes:
        return None
    if (
        trial_prefills
        and not job.is_prefilled
        and trial_prefills.issuperset(prefills)
    ):
        return None
    avoid = job.avoid | trial_decodes | trial_prefills
    if not free_decodes - job.avoid:
        avoid -= free_decodes
    return dataclasses.replace(job, avoid=avoid)
