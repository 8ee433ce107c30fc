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

"""One model engine as its owner sees it, at either stage.

An engine that failed is left alone for a while (`Health`). A prefill engine
is a line of prompts, a decode engine a memory with the runs in it.
"""

import dataclasses
import math
import typing

from galenahatch.core import latency
from galenahatch.core import memory
from galenahatch.core import pace as paces
from galenahatch.core import upstreams
from galenahatch import ids

_SUSPECT_FIRST: typing.Final = 0.5
_SUSPECT_MOST: typing.Final = 4.0
"""Seconds for which an engine that failed is left alone, doubled with each
failure up to the second figure: upstreams that crash are back, or their
entry is gone, within about four seconds."""
_TRIAL: typing.Final = 0.5
"""Seconds for which an engine that was unreachable is tried with one run
before it gets the next, unless that one makes its first event earlier (0.2
to 0.3 s after it was placed). Two engines that were gone were sent 50 runs
in three seconds without it, and 27 prompts were read for them in vain."""
_SLOW: typing.Final = 1.8
"""Times the expected time from which on an engine counts as slow; results
that wait for another prompt or a busy gateway come a half later now and then.
"""
_SLOW_WEIGHT: typing.Final = 0.6
"""Weight of the newest result: an engine that turned slow by four is known
for it by the second result, and one that is well again by its third."""
_WAITED_FOR: typing.Final = 1.5
"""Seconds for which VMs wait for a result, with the way of their word."""
_WAY: typing.Final = 0.15
"""Seconds that words between VMs may take, on small VMs under load."""
_SLOW_FADES: typing.Final = 4.0
"""Seconds in which what was seen loses all but a third: faults last for four
to seven seconds, and a trial costs one prompt that is late."""
_AT_ONCE: typing.Final = 0.15
"""Part of a delay within which a prompt counts as begun when it was given;
times of prefills spread by a tenth."""


@dataclasses.dataclass
class Health:
    """Whether an engine is left alone.

    One that failed is left alone for a while. It is then tried with one run
    at a time: one that errs at once is always the emptiest, and was given
    eleven runs in five seconds without that, each with its prompt read.

    Attributes:
        until: when it may be given a run.
        unreachable: whether nothing could be sent to it the last time. Such
            an engine is never the way out when all others are left alone.
        trial_until: until when it is left alone for a run that is tried.
    """

    failures: int = 0
    suspended_until: float = 0.0
    unreachable: bool = False
    trial_until: float = 0.0

    def record_failure(self, now: float, unreachable: bool = False) -> None:
        """Note a failure."""
        self.failures += 1
        # Once unreachable, only a run that works there shows the contrary: a
        # stream that then breaks off was sent before.
        self.unreachable = self.unreachable or unreachable
        wait = _SUSPECT_FIRST * 2 ** (self.failures - 1)
        self.suspended_until = now + min(wait, _SUSPECT_MOST)

    def record_run(self, now: float) -> None:
        """Note a run that is sent to it."""
        if self.failures:
            self.trial_until = now + _TRIAL
            self.suspended_until = max(self.suspended_until, self.trial_until)

    def record_first_event(self) -> None:
        """Note that a run made its first event there."""
        if self.unreachable:
            self.record_success()
        # The next run need not wait for this one. The event may be of a run
        # from before the failure, and the engine may still break all off: so
        # neither the count nor a pause that is longer ends with it.
        if self.suspended_until <= self.trial_until:
            self.suspended_until = 0.0

    def record_success(self) -> None:
        """Note a run that ended well there."""
        self.failures = 0
        self.suspended_until = 0.0
        self.unreachable = False


@dataclasses.dataclass(frozen=True)
class _Given:
    """A prompt that an engine was given.

    Attributes:
        at: when.
        expected: seconds until its result at an engine that is well.
    """

    at: float
    expected: float


class PrefillEngine:
    """One line of work.

    Engines turn slow without a word. How much longer than expected an engine
    takes is seen from each result, and from one that is overdue while it is.
    What was seen fades, so one that was left alone for it is tried again.

    Attributes:
        idle_at: when it will have read what it was given.
        unread: what it was given and has not answered.
    """

    def __init__(self, upstream: upstreams.Upstream) -> None:
        self.upstream = upstream
        self.health = Health()
        self.idle_at = 0.0
        self.pending: dict[ids.StreamId, _Given] = {}
        self._read_at = -1e9
        self._seen = 1.0
        self._seen_at = 0.0

    def assign(
        self,
        stream: ids.StreamId,
        reading: float,
        occupied: float,
        now: float,
    ) -> None:
        """Note a prompt that is sent to it.

        Args:
            stream: that wants it.
            reading: seconds until the result at an idle engine that is well.
            occupied: seconds for which such an engine reads nothing else.
            now: monotonic seconds.
        """
        begins = max(now, self.idle_at)
        self.pending[stream] = _Given(now, max(1e-3, begins - now + reading))
        self.idle_at = begins + occupied * self._learnt(now)
        self.health.record_run(now)

    def slowness(self, now: float) -> float:
        """Return how many times as long as expected its work takes.

        What is overdue counts as long as its VM may still wait for it; one
        that ended tells nothing any more.
        """
        seen = self._learnt(now)
        for given in self.pending.values():
            if now - given.at < _WAITED_FOR:
                waited = now - given.at - _WAY
                seen = max(seen, waited / given.expected)
        return seen if seen > _SLOW else 1.0

    def _learnt(self, now: float) -> float:
        """Return the same, as results have shown."""
        fading = math.exp(-max(0.0, now - self._seen_at) / _SLOW_FADES)
        seen = 1.0 + (self._seen - 1.0) * fading
        return seen if seen > _SLOW else 1.0

    def record_result(
        self, stream: ids.StreamId, seconds: float, now: float
    ) -> None:
        """Note that it has read the prompt of a stream.

        Args:
            stream: that wanted it.
            seconds: that its VM waited for the result. The way of the words
                between VMs is none of it: a VM that is slow itself would
                have made all engines look slow.
            now: monotonic seconds.
        """
        given = self.pending.pop(stream, None)
        if given is None:
            return
        seen = max(1.0, seconds / given.expected)
        self._seen += _SLOW_WEIGHT * (seen - self._seen)
        self._seen_at = now

    def record_overlap(
        self,
        placed_at: float,
        tokens: int,
        line: latency.Line,
        alone: float,
        now: float,
    ) -> float | None:
        """Note that a prompt was read.

        Args:
            placed_at: when it was given to the engine.
            tokens: of the prompt.
            line: what a prompt takes at an idle engine.
            alone: part of the delay in which it is believed to read nothing.
            now: when its result came.

        Returns:
            The part of the delay of the prompt before in which the engine
            had not begun with this one; None if it tells nothing of that.
        """
        before, self._read_at = self._read_at, max(now, self._read_at)
        if line.delay <= 0 or placed_at >= before:
            return None
        idle_at = before - line.delay
        begun = now - line.seconds(tokens)
        seen = (begun - idle_at) / line.delay
        has_waited = begun - max(placed_at, idle_at) > _AT_ONCE * line.delay
        # One that was begun at once can only show that less is lost.
        return seen if has_waited else min(seen, alone)


class DecodeEngine:
    """Memory, and the runs in it.

    Attributes:
        reads_until: until when it reads a prompt itself.
    """

    def __init__(
        self,
        upstream: upstreams.Upstream,
        capacity: int,
        slots: int,
        pace: paces.Pace,
    ) -> None:
        self.upstream = upstream
        self.health = Health()
        self.memory = memory.EngineMemory(capacity, slots, pace)
        self.prefilling_until = -1e9

    def fits(self, run: memory.Run, now: float) -> bool:
        """Return whether one more run has room."""
        return self.memory.fits(run, now)
