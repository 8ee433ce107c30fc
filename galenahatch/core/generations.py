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

"""Generations that ask for engines, and what is decided on them.

Times are monotonic seconds of the owner.
"""

import dataclasses
import enum
import typing

from galenahatch.core import memory
from galenahatch import ids


@dataclasses.dataclass(frozen=True)
class Job:
    """A generation that asks for engines.

    Attributes:
        prompt: tokens of the prompt.
        hint: the caller's estimate of the answer's tokens, 0 for none.
        most: bound on the tokens of the answer.
        start_by: until when its first event must have been made.
        leaves_at: when the caller leaves without a first event.
        deadline: until when the whole answer must be there.
        subject: id of the part of the prompt that only this caller sends;
            tells that a request comes back.
        avoid: engines that failed the request already.
        paused: until when engines want nothing from its VM.
        going_on: whether a part of the answer was already passed on.
        is_read: whether a prefill engine holds its result already.
        longest_pause: seconds between two events at the most.
        is_suspect: whether an engine ended under it lately.
        customer: that it counts for, or empty.
        units: of the customer's quota that it was granted.
        priority: 0 is the most urgent.
        output: predicted tokens of the answer; set by the dispatcher.
        returned: whether it was refused before, with a time to come back;
            set by the dispatcher.
        kept: whether it is to be served before all that came after it, or
            last once it has become late; set by the dispatcher.
        is_late: whether it is to be served though it can't start in time;
            set by the dispatcher.
    """

    stream: ids.StreamId
    entry: ids.MemberId
    prompt_tokens: int
    output_hint: int
    max_output: int
    arrived_at: float
    start_deadline: float
    abandon_at: float
    deadline: float
    fingerprint: str
    data_centre: ids.DataCentre
    avoid: frozenset[ids.UpstreamId] = frozenset()
    is_continuation: bool = False
    is_prefilled: bool = False
    max_pause: float = 0.0
    is_suspect: bool = False
    customer: ids.CustomerName = ids.CustomerName('')
    units: float = 0.0
    priority: int = 0
    predicted_output: int = 0
    is_retry: bool = False
    paused_until: typing.Mapping[ids.UpstreamId, float] = dataclasses.field(
        default_factory=dict
    )
    is_committed: bool = False
    is_late: bool = False

    def is_paused(self, engine: ids.UpstreamId, now: float) -> bool:
        """Return whether an engine wants nothing from this job's VM."""
        return self.paused_until.get(engine, 0.0) > now

    def make_run(self, starts_at: float) -> memory.Run:
        """Return what it holds at a decode engine from some moment on."""
        return memory.Run(
            stream=self.stream,
            entry=self.entry,
            prompt_tokens=self.prompt_tokens,
            predicted_output=self.predicted_output,
            max_output=self.max_output,
            starts_at=starts_at,
        )


@dataclasses.dataclass(frozen=True)
class Placed:
    """A request's engines.

    Attributes:
        prefill: None if the decode engine reads the prompt itself.
        why: inputs of the decision, for the log.
    """

    job: Job
    prefill: ids.UpstreamId | None
    decode: ids.UpstreamId
    why: str


@dataclasses.dataclass(frozen=True)
class Refused:
    """A request that is given up at once.

    Attributes:
        retry_after: seconds after which there is room for it.
        why: inputs of the decision, for the log.
    """

    job: Job
    retry_after: float
    why: str


Decision = Placed | Refused


class Lack(enum.Enum):
    """Why a request can't be placed now.

    Attributes:
        MEMORY: no decode engine has room.
        PREFILL: no engine can read its prompt soon.
        TRIAL: each decode engine has another suspect that has just begun.
    """

    MEMORY = 'memory'
    PREFILL = 'prefill'
    TRIAL = 'trial'
