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

"""State of one model engine as seen by its owner, for either stage.

An engine that failed is suspended for a while (`Health`). A prefill engine is
a queue of prompts, a decode engine a memory with its runs.
"""

import collections
import dataclasses
import math
import typing

from galenahatch.core import latency
from galenahatch.core import memory
from galenahatch.core import pace as paces
from galenahatch.core import upstreams
from galenahatch import ids

_INITIAL_BACKOFF_S: typing.Final = 0.5
_MAX_BACKOFF_S: typing.Final = 4.0
"""Seconds for which an engine that failed is suspended, doubled with each
failure up to the second value: upstreams that crash are back, or their entry
is gone, within about 4 s."""
_TRIAL_S: typing.Final = 0.5
"""Seconds for which an engine that was unreachable runs a single trial before
it gets the next run, unless the trial makes its first event earlier (0.2 to
0.3 s after its placement). Without it, two engines that were gone were sent 50
runs in three seconds, and 27 prompts were read for nothing."""
_SLOW_FACTOR: typing.Final = 1.8
"""Ratio of actual to expected time above which an engine counts as slow;
results that wait for another prompt or a busy gateway occasionally take half
as long again."""
_SLOWNESS_SMOOTHING: typing.Final = 0.6
"""Weight of the newest result: an engine that slows down by four is detected
by the second result, and its recovery by the third."""
_RESULT_TIMEOUT_S: typing.Final = 1.5
"""Seconds for which VMs wait for a result, including message delays."""
_NETWORK_DELAY_S: typing.Final = 0.15
"""Largest delay of messages between VMs in seconds, on small VMs under load.
"""
_SLOWNESS_DECAY_S: typing.Final = 4.0
"""Seconds in which observed slowness decays to a third: faults last for four
to seven seconds, and a trial costs one late prompt."""
_IMMEDIATE_FRACTION: typing.Final = 0.15
"""Fraction of the delay within which a prompt counts as begun on arrival;
prefill times spread by a tenth."""


@dataclasses.dataclass
class Health:
    """Suspension of an engine after failures.

    After the suspension, the engine is tried with one run at a time: an engine
    that fails at once is always the least loaded, and otherwise got eleven
    runs in five seconds, each with its prompt read.

    Attributes:
        suspended_until: Time from which it may be given a run.
        unreachable: Whether the last attempt could send nothing to it. Such an
            engine is never the fallback when all others are suspended.
        trial_until: Time until which it is suspended for a trial run.
        reporters: Number of the failures by the gateway that reported them.
    """

    failures: int = 0
    suspended_until: float = 0.0
    unreachable: bool = False
    trial_until: float = 0.0
    reporters: collections.Counter[ids.MemberId] = dataclasses.field(
        default_factory=collections.Counter
    )

    def record_failure(
        self,
        now: float,
        unreachable: bool = False,
        reporter: ids.MemberId = ids.MemberId(''),
    ) -> None:
        """Record a failure that a gateway reports."""
        self.failures += 1
        self.reporters[reporter] += 1
        # Only a successful run shows that an unreachable engine is back: a
        # stream that breaks off now was sent before.
        self.unreachable = self.unreachable or unreachable
        wait = _INITIAL_BACKOFF_S * 2 ** (self.failures - 1)
        self.suspended_until = now + min(wait, _MAX_BACKOFF_S)

    def withdraw_failures(self, reporter: ids.MemberId) -> None:
        """Withdraw the failures that a gateway reported.

        The suspension stays as long as others report failures too.
        """
        if not self.reporters.pop(reporter, 0):
            return
        self.failures = self.reporters.total()
        if not self.failures:
            self.record_success()

    def record_run(self, now: float) -> None:
        """Record that a run is sent to it."""
        if self.failures:
            self.trial_until = now + _TRIAL_S
            self.suspended_until = max(self.suspended_until, self.trial_until)

    def record_first_event(self) -> None:
        """Record that a run produced its first event."""
        if self.unreachable:
            self.record_success()
        # Ends the trial only. The event may be of a run from before the
        # failure, and the engine may still break off all runs, so the count
        # of failures and a longer suspension stay.
        if self.suspended_until <= self.trial_until:
            self.suspended_until = 0.0

    def record_success(self) -> None:
        """Record that a run completed."""
        self.failures = 0
        self.reporters.clear()
        self.suspended_until = 0.0
        self.unreachable = False


@dataclasses.dataclass(frozen=True)
class _PendingPrompt:
    """A prompt that an engine was given and has not answered.

    Attributes:
        assigned_at: Time at which it was given to the engine.
        expected: Seconds until the result at a healthy engine.
        slowdown: Slowdown that the engine had reported then.
    """

    assigned_at: float
    expected: float
    slowdown: float = 1.0


class PrefillEngine:
    """Queue of prompts of one prefill engine.

    Engines may slow down without notice. The slowdown is measured from each
    result, and from a pending one once it is overdue. It decays, so a slow
    engine that was avoided is tried again.

    Attributes:
        idle_at: Time at which it will have read its prompts.
        pending: Prompts given to it and not answered.
    """

    def __init__(self, upstream: upstreams.Upstream) -> None:
        self.upstream = upstream
        self.health = Health()
        self.idle_at = 0.0
        self.pending: dict[ids.StreamId, _PendingPrompt] = {}
        self._last_result_at = -1e9
        self._slowness = 1.0
        self._slowness_at = 0.0

    def assign(
        self,
        stream: ids.StreamId,
        expected: float,
        busy: float,
        now: float,
        slowdown: float = 1.0,
    ) -> None:
        """Record a prompt that is sent to it.

        Args:
            stream: Stream that the prompt belongs to.
            expected: Seconds until the result at a healthy, idle engine.
            busy: Seconds for which such an engine reads nothing else.
            now: Monotonic time in seconds.
            slowdown: Slowdown that it reports, part of both times.
        """
        begins_at = max(now, self.idle_at)
        self.pending[stream] = _PendingPrompt(
            now, max(1e-3, begins_at - now + expected), slowdown
        )
        self.idle_at = begins_at + busy * self._observed_slowness(now)
        self.health.record_run(now)

    def slowness(self, now: float) -> float:
        """Return the ratio of actual to expected time of its work.

        An overdue prompt counts while its VM may still wait for it; afterwards
        it carries no information.
        """
        slowness = self._observed_slowness(now)
        for prompt in self.pending.values():
            if now - prompt.assigned_at < _RESULT_TIMEOUT_S:
                waited = now - prompt.assigned_at - _NETWORK_DELAY_S
                slowness = max(slowness, waited / prompt.expected)
        return slowness if slowness > _SLOW_FACTOR else 1.0

    def _observed_slowness(self, now: float) -> float:
        """Return the same as shown by past results."""
        decay = math.exp(
            -max(0.0, now - self._slowness_at) / _SLOWNESS_DECAY_S
        )
        slowness = 1.0 + (self._slowness - 1.0) * decay
        return slowness if slowness > _SLOW_FACTOR else 1.0

    def record_result(
        self,
        stream: ids.StreamId,
        seconds: float,
        now: float,
        slowdown: float = 1.0,
    ) -> None:
        """Record that it has read the prompt of a stream.

        Args:
            stream: Stream that the prompt belongs to.
            seconds: Seconds that its VM waited for the result. Message delays
                between VMs are excluded: a slow VM would make all engines look
                slow.
            now: Monotonic time in seconds.
            slowdown: Slowdown that it reports now; what it explains is no
                fault of the engine.
        """
        prompt = self.pending.pop(stream, None)
        if prompt is None:
            return
        explained = max(1.0, slowdown / prompt.slowdown)
        slowness = max(1.0, seconds / explained / prompt.expected)
        self._slowness += _SLOWNESS_SMOOTHING * (slowness - self._slowness)
        self._slowness_at = now

    def record_overlap(
        self,
        placed_at: float,
        tokens: int,
        line: latency.Line,
        alone: float,
        now: float,
    ) -> float | None:
        """Record a result; return how far prefills overlap.

        Args:
            placed_at: Time at which the prompt was given to the engine.
            tokens: Tokens of the prompt.
            line: Prefill time at an idle engine.
            alone: Present estimate of the fraction of the delay without
                reading.
            now: Time at which the result arrived.

        Returns:
            Fraction of the previous prompt's delay in which the engine had not
            begun this one; None if that can't be told.
        """
        previous, self._last_result_at = (
            self._last_result_at,
            max(now, self._last_result_at),
        )
        if line.delay <= 0 or placed_at >= previous:
            return None
        idle_at = previous - line.delay
        begun_at = now - line.seconds(tokens)
        lost_fraction = (begun_at - idle_at) / line.delay
        was_queued = (
            begun_at - max(placed_at, idle_at)
            > _IMMEDIATE_FRACTION * line.delay
        )
        # A prompt begun on arrival can only lower the estimate.
        return lost_fraction if was_queued else min(lost_fraction, alone)


class DecodeEngine:
    """Memory and runs of one decode engine.

    Attributes:
        prefilling_until: Time until which it reads a prompt itself.
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
        """Return whether one more run fits."""
        return self.memory.fits(run, now)
