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

"""Structures within messages between gateways; see `messages` for rules."""

import msgspec

from galenahatch import ids


class RateLimit(msgspec.Struct, frozen=True, array_like=True):
    """Rate limit that an upstream has announced.

    Attributes:
        rate: Requests per second; None if the limit was lifted.
        age: Seconds since the announcement.
    """

    upstream: ids.UpstreamId
    rate: float | None
    age: float


class Figures(msgspec.Struct, frozen=True, array_like=True):
    """Measurements of a service by its owner, from which a new owner starts.

    Attributes:
        rate: Prompt tokens per second of a prefill engine.
        prompt: Mean number of tokens of a prompt.
        output: Mean number of tokens of an answer.
        pace: Seconds per output token.
        seen: Number of requests measured.
        delay: Seconds of a prefill besides processing the prompt.
        alone: Part of the delay in which the engine processes no other prompt.
        reads: Number of prefills measured.
        slack: Seconds from the end of a prefill to the first event.
        pairs: Number of prompts that showed whether the engine had processed
            another one within the delay.
        is_uneven: Whether engines count by their own speeds.
        peak_requests: Requests per second in the peak of recent demand.
        peak_tokens: Prompt tokens per second in the peak.
        mean_speed: Mean speed of the prefill engines, relative to the median.
        slowdown: Mean slowdown of the engines.
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
    is_uneven: bool = False
    peak_requests: float = 0.0
    peak_tokens: float = 0.0
    mean_speed: float = 1.0
    slowdown: float = 1.0


class Paused(msgspec.Struct, frozen=True, array_like=True):
    """A pause that an engine has requested from the sending gateway.

    Attributes:
        seconds_left: Seconds until the pause ends.
    """

    upstream: ids.UpstreamId
    seconds_left: float


class UpstreamLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load that an upstream stated in the head of a response.

    Attributes:
        slowdown: Present time of work as a multiple of the usual; 0 if not
            stated.
        age: Seconds since the response.
    """

    upstream: ids.UpstreamId
    running: int
    waiting: int
    slots: int
    slowdown: float
    age: float


class Repeats(msgspec.Struct, frozen=True, array_like=True):
    """Results of repeated plain calls (`core/retryvalue`).

    Attributes:
        route: Name of the route.
        reason: Reason of the failures that were followed by the repeats.
        successes: Repeats that succeeded, in hundredths.
        failures: The others, in hundredths.
        age_ms: Milliseconds since the last one; -1 if there was none.
    """

    service: ids.ServiceName
    route: str
    reason: str
    successes: int
    failures: int
    age_ms: int
