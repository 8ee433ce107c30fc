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

"""A request of this gateway for engines (`gateway/owner_client`)."""

import dataclasses

from galenahatch import ids


@dataclasses.dataclass
class PlacementRequest:
    """A request for engines; points in time are in monotonic seconds.

    Attributes:
        attempt: Number of this attempt at the request, from 1.
        extra_sends: Sends beyond the first that follow if it is placed.
        quota_units: Units to charge to the customer's quota; 0 if they were
            charged before.
        version: The only version at which it may run; empty for any.
        resumes: Keys of the stream that it takes up, if its version isn't
            known here.
        needs_version: Whether several versions serve, so that it can't go on
            without one.
        is_return: Whether its caller takes up a stream that has begun.
    """

    stream: ids.StreamId
    service: ids.ServiceName
    prompt_tokens: int
    estimated_output: int
    max_output: int
    start_by: float
    abandon_at: float
    deadline: float
    last_block_id: str
    avoid: tuple[ids.UpstreamId, ...] = ()
    is_resumed: bool = False
    is_prefilled: bool = False
    max_pause: float = 0.0
    attempt: int = 1
    extra_sends: int = 0
    is_suspect: bool = False
    customer: ids.CustomerName = ids.CustomerName('')
    quota_units: float = 0.0
    priority: int = 0
    version: ids.SoftwareVersion = ids.SoftwareVersion('')
    resumes: tuple[ids.StreamKey, ...] = ()
    needs_version: bool = False
    is_return: bool = False

    @property
    def decision_limit(self) -> float:
        """Time from which the request can't be served any more."""
        if self.is_resumed:
            return self.deadline
        return min(self.abandon_at, self.deadline)
