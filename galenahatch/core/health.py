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

"""Outlier ejection of engines, with readmission by trial requests.

An engine is ejected after consecutive errors, when its load reports stop, or
when its times between tokens are far above those of its peers. After a pause
that doubles with each failed trial, one request probes it. At most half of a
pool is ejected at a time: if more engines fail, the cause is probably
elsewhere, and sending all work to the rest would overload them too.
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
    """Ejection state of an engine."""

    GOOD = 'good'
    EJECTED = 'ejected'
    TRIAL = 'trial'


class EngineHealth:
    """Health of one engine; times are monotonic seconds."""

    def __init__(self) -> None:
        self.state = Health.GOOD
        self._consecutive_errors = 0
        self._slow_samples = 0
        self._ejection_s = FIRST_EJECTION_S
        self._ejected_until = 0.0
        self._reported_at: float | None = None

    def record_success(self, now: float) -> None:
        """Record a successful attempt."""
        self._consecutive_errors = 0
        self._reported_at = now
        if self.state is Health.TRIAL:
            self.state = Health.GOOD
            self._ejection_s = FIRST_EJECTION_S

    def record_report(self, now: float) -> None:
        """Record a load report."""
        self._reported_at = now

    def expect_no_reports(self) -> None:
        """Stop expecting load reports until the next one arrives."""
        self._reported_at = None

    def record_failure(self, now: float) -> None:
        """Record a failed attempt."""
        self._consecutive_errors += 1
        if self.state is Health.TRIAL:
            self._ejection_s = min(self._ejection_s * 2, MAX_EJECTION_S)
            self._eject(now)

    def record_token_interval(
        self, seconds: float, peers: list[float]
    ) -> None:
        """Compare a time between tokens with those of the engine's peers."""
        if len(peers) < 2:
            return
        median = statistics.median(peers)
        is_slow = seconds > SLOW_FACTOR * median
        self._slow_samples = self._slow_samples + 1 if is_slow else 0

    def should_eject(self, now: float) -> bool:
        """Return whether the engine should be ejected."""
        if self.state is not Health.GOOD:
            return False
        is_silent = (
            self._reported_at is not None
            and now - self._reported_at > SILENCE_TIMEOUT_S
        )
        return (
            is_silent
            or self._consecutive_errors >= EJECT_AFTER_ERRORS
            or self._slow_samples >= EJECT_AFTER_SLOW_SAMPLES
        )

    def update(self, now: float, may_eject: bool) -> Health:
        """Update and return the state.

        Args:
            now: Monotonic seconds.
            may_eject: Whether the pool permits another ejection.
        """
        if self.state is Health.EJECTED and now >= self._ejected_until:
            self.state = Health.TRIAL
            self._consecutive_errors = 0
            self._slow_samples = 0
            self._reported_at = now
        elif may_eject and self.should_eject(now):
            self._eject(now)
        return self.state

    def _eject(self, now: float) -> None:
        self.state = Health.EJECTED
        self._ejected_until = now + self._ejection_s
