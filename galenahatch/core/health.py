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

"""Whether an engine is given work: ejection and trial re-admission.

Errors in a row, silence, or times between tokens far above those of its
peers eject an engine. It is tried again with one request after a pause
that doubles with each failed trial. At most half of a pool is ejected at
a time: with more than that out, the cause is likely elsewhere, and piling
all work on the rest would take them down too.
"""

import enum
import statistics
import typing

EJECT_AFTER_ERRORS: typing.Final = 3
SILENCE_TIMEOUT_S: typing.Final = 3.0
SLOW_FACTOR: typing.Final = 2.5
EJECT_AFTER_SLOW_SAMPLES: typing.Final = 3
FIRST_EJECTION_S: typing.Final = 5.0
MAX_EJECTION_S: typing.Final = 60.0
MAX_EJECTED_SHARE: typing.Final = 0.5


class Health(enum.Enum):
    """State of one engine."""

    GOOD = 'good'
    EJECTED = 'ejected'
    TRIAL = 'trial'


class EngineHealth:
    """Health of one engine; times are monotonic seconds."""

    def __init__(self) -> None:
        self.state = Health.GOOD
        self._errors = 0
        self._slow = 0
        self._pause = FIRST_EJECTION_S
        self._until = 0.0
        self._heard_at: float | None = None

    def record_success(self, now: float) -> None:
        """Note an attempt that the engine served."""
        self._errors = 0
        self._heard_at = now
        if self.state is Health.TRIAL:
            self.state = Health.GOOD
            self._pause = FIRST_EJECTION_S

    def record_report(self, now: float) -> None:
        """Note a load report."""
        self._heard_at = now

    def expect_no_reports(self) -> None:
        """Expect no load reports until the next one."""
        self._heard_at = None

    def record_failure(self, now: float) -> None:
        """Note an attempt that the engine failed."""
        self._errors += 1
        if self.state is Health.TRIAL:
            self._pause = min(self._pause * 2, MAX_EJECTION_S)
            self._eject(now)

    def record_token_interval(
        self, seconds: float, peers: list[float]
    ) -> None:
        """Note a time between tokens beside those of its peers."""
        if len(peers) < 2:
            return
        usual = statistics.median(peers)
        slow = seconds > SLOW_FACTOR * usual
        self._slow = self._slow + 1 if slow else 0

    def should_eject(self, now: float) -> bool:
        """Return whether the engine should be ejected."""
        if self.state is not Health.GOOD:
            return False
        silent = (
            self._heard_at is not None
            and now - self._heard_at > SILENCE_TIMEOUT_S
        )
        return (
            silent
            or self._errors >= EJECT_AFTER_ERRORS
            or self._slow >= EJECT_AFTER_SLOW_SAMPLES
        )

    def update(self, now: float, may_eject: bool) -> Health:
        """Move between states and return the state.

        Args:
            now: monotonic seconds.
            may_eject: whether enough of the pool is left.
        """
        if self.state is Health.EJECTED and now >= self._until:
            self.state = Health.TRIAL
            self._errors = 0
            self._slow = 0
            self._heard_at = now
        elif may_eject and self.should_eject(now):
            self._eject(now)
        return self.state

    def _eject(self, now: float) -> None:
        self.state = Health.EJECTED
        self._until = now + self._pause
