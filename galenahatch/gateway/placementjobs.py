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

"""Turns placement requests and reported generations into the owner's."""

from galenahatch.core import generations
from galenahatch.core import memory
from galenahatch.gateway import messages
from galenahatch import ids


def create(
    member: ids.MemberId,
    request: messages.PlacementRequest,
    version: ids.SoftwareVersion,
    arrived_at: float,
) -> generations.Job:
    """Return the job for a placement request, in the owner's clock time.

    Args:
        version: The only software version at which it may run; empty for any.
        arrived_at: Time at which the owner was asked.
    """
    return generations.Job(
        stream=request.stream,
        entry=member,
        prompt_tokens=request.prompt_tokens,
        output_hint=request.length_hint,
        max_output=request.max_tokens,
        arrived_at=arrived_at,
        start_deadline=arrived_at + request.first_event_within,
        abandon_at=arrived_at + request.abandon_within,
        deadline=arrived_at + request.end_within,
        fingerprint=request.subject,
        data_centre=request.data_centre,
        avoid=frozenset(request.avoid),
        is_continuation=request.is_continuation,
        is_prefilled=request.is_prefilled,
        max_pause=request.max_pause,
        is_suspect=request.is_suspect,
        customer=request.customer,
        units=request.units,
        priority=request.priority,
        version=version,
        is_return=request.is_return,
        paused_until={
            pause.upstream: arrived_at + pause.seconds_left
            for pause in request.pauses
        },
    )


def run_of(
    generation: messages.RunningGeneration, member: ids.MemberId, now: float
) -> memory.Run:
    """Return the run of a generation that a gateway reports.

    Args:
        generation: The generation.
        member: Gateway that reports it.
        now: Monotonic time in seconds.
    """
    starts_at = now - max(0.0, generation.first_event_age)
    return memory.Run(
        generation.stream,
        member,
        generation.prompt_tokens,
        generation.expected_tokens,
        generation.max_tokens,
        starts_at,
        generation.tokens_generated,
        now,
    )
