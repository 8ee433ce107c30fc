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

"""Generations that request engines, and the decisions on them.

Times are monotonic seconds of the owner.
"""

import dataclasses
import enum
import typing

from galenahatch.core import lengths
from galenahatch.core import memory
from galenahatch.core import upstreams
from galenahatch.core import versionaffinity
from galenahatch import ids


@dataclasses.dataclass(frozen=True)
class Job:
    """A generation that requests engines.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        output_hint: The caller's estimate of the answer's tokens; 0 for none.
        max_output: Upper bound on the tokens of the answer.
        start_deadline: Time by which its first event is due.
        abandon_at: Time at which the caller gives up without a first event.
        deadline: Time by which the complete answer is due.
        fingerprint: Id of the part of the prompt that only this caller sends;
            identifies a retry.
        avoid: Engines that have already failed the request.
        paused_until: Times until which engines accept nothing from its VM.
        is_continuation: Whether part of the answer was already passed on.
        is_prefilled: Whether a prefill engine already holds its result.
        max_pause: Longest pause between two events, in seconds.
        is_suspect: Whether an engine recently ended under the request.
        customer: Customer that it counts for; empty for none.
        units: Units of the customer's quota granted to it.
        priority: Priority; 0 is the most urgent.
        predicted_output: Predicted tokens of the answer; set by the
            dispatcher.
        is_retry: Whether it was refused before and asked to retry; set by the
            dispatcher.
        is_committed: Whether it is to be served before all that arrived later,
            or last once it is late; set by the dispatcher.
        is_late: Whether it is to be served though it can't start in time; set
            by the dispatcher.
        version: The only software version at which it may run; empty for any.
        is_return: Whether its caller takes up a stream that has begun.
        is_owed: Whether it is a return that goes before new streams; set by
            the dispatcher.
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
    version: ids.SoftwareVersion = ids.SoftwareVersion('')
    is_return: bool = False
    is_owed: bool = False

    def is_paused(self, engine: ids.UpstreamId, now: float) -> bool:
        """Return whether an engine accepts nothing from this job's VM."""
        return self.paused_until.get(engine, 0.0) > now

    def may_run_at(self, engine: upstreams.Upstream) -> bool:
        """Return whether an engine runs a version that it may run at."""
        return not self.version or self.version == engine.version

    def prepared(
        self,
        predicted: lengths.Lengths,
        first_at: float | None,
        is_owed: bool = False,
    ) -> typing.Self:
        """Return it as it is queued.

        Args:
            predicted: Predictor of the tokens of answers.
            first_at: Time of its first attempt; None if this is the first.
            is_owed: Whether it is a return that goes before new streams.
        """
        start_deadline = self.start_deadline
        if first_at is not None and not is_owed:
            start_deadline = start_deadline - self.arrived_at + first_at
        return dataclasses.replace(
            self,
            predicted_output=predicted.predict(
                self.output_hint, self.max_output
            ),
            is_retry=first_at is not None,
            start_deadline=start_deadline,
            is_owed=is_owed,
        )

    def make_run(self, starts_at: float) -> memory.Run:
        """Return its run at a decode engine.

        Args:
            starts_at: Predicted time of the first token.
        """
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
    """The engines that a request was placed on.

    Attributes:
        prefill: Prefill engine; None if the decode engine reads the prompt.
        why: Inputs of the decision, for the log.
        cost: Cost charged to its customer, in seconds of an engine.
    """

    job: Job
    prefill: ids.UpstreamId | None
    decode: ids.UpstreamId
    why: str
    cost: float = 0.0


@dataclasses.dataclass(frozen=True)
class Refused:
    """A request that is refused at once.

    Attributes:
        retry_after: Seconds after which there is room for it.
        why: Inputs of the decision, for the log.
        version_problem: Why it can't continue at its software version; None
            for other reasons.
    """

    job: Job
    retry_after: float
    why: str
    version_problem: versionaffinity.Problem | None = None


Decision = Placed | Refused


class Lack(enum.Enum):
    """Reason why a request can't be placed now.

    Attributes:
        MEMORY: No decode engine has room.
        PREFILL: No engine can read its prompt soon.
        TRIAL: Each decode engine has another suspect that has just begun.
    """

    MEMORY = 'memory'
    PREFILL = 'prefill'
    TRIAL = 'trial'
