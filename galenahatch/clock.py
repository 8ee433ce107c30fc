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

"""The clock and the random numbers of the programs.

The core takes both as arguments; only the programs read them, here.
"""

import random
import time
import typing

RANDOM: typing.Final = random.SystemRandom()


def now() -> float:
    """Return monotonic seconds."""
    return time.monotonic()


def token() -> str:
    """Return a fresh random token of 128 bits."""
    return f'{RANDOM.getrandbits(128):032x}'


def incarnation() -> int:
    """Return a random number that tells a process from its successor."""
    return RANDOM.getrandbits(48)
