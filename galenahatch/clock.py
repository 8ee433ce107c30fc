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

"""The clocks and the random numbers of the programs.

The core takes both as arguments; only the programs read them, here.

A VM may be suspended. What was promised to others is as old as it is for
them: leases, deadlines, the age of what the store or a member said. So the
one clock by which all of it is measured counts that time. The timers of the
event loop go by a clock that does not; `timeouts` makes up for it.
"""

import random
import time
import typing

_MIN_SUSPENSION_S: typing.Final = 0.05
"""Seconds; the process may be interrupted between reading two clocks."""
RANDOM: typing.Final = random.SystemRandom()


def now() -> float:
    """Return monotonic seconds, those of a suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unsuspended() -> float:
    """Return monotonic seconds in which the VM was not suspended."""
    return time.monotonic()


def total_suspension() -> float:
    """Return the seconds of all suspensions so far, plus a constant."""
    return now() - unsuspended()


class SuspensionDetector:
    """Finds out that the VM was suspended: the clocks have moved apart."""

    def __init__(self) -> None:
        self._total_s = total_suspension()

    def poll(self) -> float:
        """Return the seconds of suspension since the last look, or 0."""
        total_s = total_suspension()
        suspension_s = total_s - self._total_s
        if suspension_s < _MIN_SUSPENSION_S:
            return 0.0
        self._total_s = total_s
        return suspension_s


def random_token() -> str:
    """Return a fresh random token of 128 bits."""
    return f'{RANDOM.getrandbits(128):032x}'


def random_incarnation() -> int:
    """Return a random number that tells a process from its successor."""
    return RANDOM.getrandbits(48)
