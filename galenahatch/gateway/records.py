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

"""What messages between gateways carry; see `messages` for the rules."""

import msgspec

from galenahatch import ids


class RateLimit(msgspec.Struct, frozen=True, array_like=True):
    """What an upstream said of the rate of requests that it takes.

    Attributes:
        rate: requests a second; None if it names no limit any more.
        age: seconds since that was so.
    """

    upstream: ids.UpstreamId
    rate: float | None
    age: float


class Figures(msgspec.Struct, frozen=True, array_like=True):
    """What an owner has measured of a service; a new one begins with it.

    Attributes:
        rate: prompt tokens a second of a prefill engine.
        prompt: mean tokens of a prompt.
        output: mean tokens of an answer.
        pace: seconds for a token.
        seen: requests that were measured.
        delay: seconds that a prefill takes besides reading.
        alone: part of the delay in which the engine reads nothing else.
        reads: prefills that were measured.
        slack: seconds from the end of a prefill to the first event.
        pairs: prompts that told whether the engine had read within the delay.
    """

    service: ids.ServiceName
    rate: float
    prompt: float
    output: float
    pace: float
    seen: int
    delay: float = 0.0
    alone: float = 0.0
    reads: int = 0
    slack: float = 0.0
    pairs: int = 0


class Paused(msgspec.Struct, frozen=True, array_like=True):
    """An engine that wants nothing from the gateway that tells this.

    Attributes:
        left: seconds that are left of the pause.
    """

    upstream: ids.UpstreamId
    seconds_left: float
