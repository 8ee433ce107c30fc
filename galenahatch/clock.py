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

"""Clocks and random numbers of the programs.

The core takes both as arguments; only the programs read them, through this
module.

A VM may be suspended while leases, deadlines and the age of data from the
store or a member go on for the other processes. So all of these are measured
with one clock that includes suspensions. The event loop's timers use a clock
that does not; `timeouts` compensates for it.
"""

import random
import time
import typing

_MIN_SUSPENSION_S: typing.Final = 0.05
"""Smaller differences are ignored, since the process may be interrupted
between the reads of the two clocks."""
RANDOM: typing.Final = random.SystemRandom()


def now() -> float:
    """Return monotonic time in seconds, including suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unsuspended() -> float:
    """Return monotonic time in seconds, excluding suspensions."""
    return time.monotonic()


def total_suspension() -> float:
    """Return the total length of suspensions in seconds, plus a constant."""
    return now() - unsuspended()


class SuspensionDetector:
    """Detects suspensions of the VM from the difference of two clocks."""

    def __init__(self) -> None:
        self._total_s = total_suspension()

    def poll(self) -> float:
        """Return the seconds of suspension since the last poll, or 0."""
        total_s = total_suspension()
        suspension_s = total_s - self._total_s
        if suspension_s < _MIN_SUSPENSION_S:
            return 0.0
        self._total_s = total_s
        return suspension_s


def random_token() -> str:
    """Return a random token of 128 bits in hexadecimal."""
    return f'{RANDOM.getrandbits(128):032x}'


def random_incarnation() -> int:
    """Return a random number that distinguishes a process from a restart."""
    return RANDOM.getrandbits(48)
