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

import typing

_LEAST_WAIT: typing.Final = 0.3
"""Shortest time after which a refused caller is asked to come back."""
_HEEDED: typing.Final = 1 / 3
"""Callers heed a time to come back up to this part of what they have left."""
_LEAST_SPARE: typing.Final = 0.3
"""Least part of the engines' rate that is promised to refused callers."""
_SPREAD: typing.Final = 0.5
"""Seconds around the promised time in which a caller is expected."""
_LIFE: typing.Final = 10.0
"""Seconds after which a caller that did not come back is forgotten."""


class Returns:
    """Refused callers that are expected back."""

    def __init__(self) -> None:
        self._due: dict[str, float] = {}

    def came(self, subject: str) -> bool:
        """Return whether a request was refused before, and note its coming."""
        return self._due.pop(subject, None) is not None

    def due(self, now: float) -> int:
        """Return how many are expected just now."""
        return sum(
            now - _SPREAD < due < now + _SPREAD for due in self._due.values()
        )

    def promise(
        self,
        subject: str,
        spare: float,
        rate: float,
        queued: float,
        left: float,
        now: float,
    ) -> float:
        """Return the seconds after which a caller should come back.

        Args:
            subject: by which it is known then; empty for unknown.
            spare: requests a second that usual traffic leaves.
            rate: requests a second that the engines can end.
            queued: seconds until those that wait have been placed.
            left: seconds until the caller's deadline.
            now: monotonic seconds.
        """
        self._drop_old(now)
        spare = max(_LEAST_SPARE * rate, spare)
        spacing = 1 / spare if spare > 0 else _LEAST_WAIT
        last = max(self._due.values(), default=now)
        wait = max(_LEAST_WAIT, last + spacing - now, queued)
        wait = min(wait, max(0.0, left) * _HEEDED)
        if subject:
            self._due[subject] = now + wait
        return wait

    def _drop_old(self, now: float) -> None:
        for subject, due in list(self._due.items()):
            if due + _LIFE < now:
                del self._due[subject]
