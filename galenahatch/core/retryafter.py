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

"""Times at which refused callers are asked to come back.

They are spaced by the rate that usual traffic leaves, so that who returns
finds room; all at once they would be refused again. A returning request is
known by the part of its prompt that only its caller sends.
"""

import dataclasses
import typing

_LEAST_WAIT: typing.Final = 0.3
"""Shortest time after which a refused caller is asked to come back."""
_HEEDED: typing.Final = 1 / 3
"""Callers heed a time to come back up to this part of what they have left."""
_APART: typing.Final = 0.4
"""Part of that time over which those are spread that no room is left for."""
_STEPS: typing.Final = 16
"""Times at which they come: as many as four engines end in a second or two.
"""
_SPREAD: typing.Final = 0.5
"""Seconds around the promised time in which a caller is expected."""


@dataclasses.dataclass
class _Caller:
    """One that was refused.

    Attributes:
        first_at: when it first asked.
        deadline: when it wants no answer any more.
        due: when it is expected back; None once it came.
    """

    first_at: float
    deadline: float
    due: float | None = None


class RetrySchedule:
    """Refused callers that are expected back."""

    def __init__(self) -> None:
        self._callers: dict[str, _Caller] = {}

    def record_arrival(self, subject: str) -> float | None:
        """Note that a request came.

        Returns:
            When it first came, if it was refused before.
        """
        caller = self._callers.get(subject)
        if caller is None:
            return None
        caller.due = None
        return caller.first_at

    def record_placement(self, subject: str) -> None:
        """Note that a request has its engines."""
        self._callers.pop(subject, None)

    def due_count(self, now: float) -> int:
        """Return how many are expected just now."""
        return sum(abs(due - now) < _SPREAD for due in self._dues())

    @property
    def outstanding(self) -> int:
        """How many were told when to come, and have not come."""
        return len(self._dues())

    def _dues(self) -> list[float]:
        callers = self._callers.values()
        return [caller.due for caller in callers if caller.due is not None]

    def schedule(
        self,
        subject: str,
        spare: float,
        queued: float,
        left: float,
        arrived_at: float,
        now: float,
    ) -> float:
        """Return the seconds after which a caller should come back.

        Args:
            subject: by which it is known then; empty for unknown.
            spare: requests a second that usual traffic leaves.
            queued: seconds until those that wait have been placed.
            left: seconds until the caller's deadline.
            arrived_at: when it asked.
            now: monotonic seconds.
        """
        self._drop_old(now)
        spacing = 1 / spare if spare > 0 else _LEAST_WAIT
        last = max(self._dues(), default=now)
        wait = max(_LEAST_WAIT, last + spacing - now, queued)
        wait = min(wait, self._latest(left))
        if subject:
            new = _Caller(arrived_at, now + left)
            self._callers.setdefault(subject, new).due = now + wait
        return wait

    def _latest(self, left: float) -> float:
        """Return the longest wait that a caller heeds, apart from others'.

        While nothing is left for those that come back, all would come at the
        same time after they were refused.
        """
        share = len(self._callers) % _STEPS / _STEPS
        heeded = max(0.0, left) * _HEEDED
        return heeded * (1 - _APART + _APART * share)

    def _drop_old(self, now: float) -> None:
        for subject, caller in list(self._callers.items()):
            if caller.deadline < now:
                del self._callers[subject]
