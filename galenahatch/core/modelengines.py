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


_AT_ONCE: typing.Final = 0.15
"""Part of a delay within which a prompt counts as begun when it was given;
times of prefills spread by a tenth."""


@dataclasses.dataclass
class Health:
    """Whether an engine is left alone.

    One that failed is left alone for a while. One that could not even be
    reached is then tried with one run at a time, until a run makes an event.

    Attributes:
        until: when it may be given a run.
        unreachable: whether nothing could be sent to it the last time. Such
            an engine is never the way out when all others are left alone.
    """

    failures: int = 0
    until: float = 0.0
    unreachable: bool = False

    def failed(self, now: float, unreachable: bool = False) -> None:
        """Note a failure."""
        self.failures += 1
        # Once unreachable, only a run that works there shows the contrary: a
        # stream that then breaks off was sent before.
        self.unreachable = self.unreachable or unreachable
        wait = _SUSPECT_FIRST * 2 ** (self.failures - 1)
        self.until = now + min(wait, _SUSPECT_MOST)

    def given(self, now: float) -> None:
        """Note a run that is sent to it."""
        if self.unreachable:
            self.until = max(self.until, now + _TRIAL)

    def alive(self) -> None:
        """Note that a run made its first event there."""
        if self.unreachable:
            self.worked()

    def worked(self) -> None:
        """Note a run that ended well there."""
        self.failures = 0
        self.until = 0.0
        self.unreachable = False


class PrefillEngine:
    """One line of work.

    Attributes:
        idle_at: when it will have read what it was given.
        unread: what it was given and has not answered.
    """

    def __init__(self, upstream: upstreams.Upstream) -> None:
        self.upstream = upstream
        self.health = Health()
        self.idle_at = 0.0
        self.unread: set[ids.StreamId] = set()
        self._read_at = -1e9

    def read(
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
        self.reads_until = -1e9

    def fits(self, run: memory.Run, now: float) -> bool:
        """Return whether one more run has room."""
        return self.memory.fits(run, now)
