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

"""The types of `errors`: a reason, and a failure that has one."""

import dataclasses
import enum


class Outcome(enum.Enum):
    """Outcome that is reported to the caller; UNKNOWN unless it is certain."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class Reason:
    """Reason for a failure.

    Attributes:
        name: Stable identifier for programs.
        status: HTTP status.
        outcome: Known outcome of the request.
        message: One sentence for people.
        advice: Recommended action for an operator or caller.
    """

    name: str
    status: int
    outcome: Outcome
    message: str
    advice: str


@dataclasses.dataclass(frozen=True)
class Failure:
    """Result of a function that failed for an expected reason.

    Attributes:
        reason: Entry of the registry.
        detail: Details of the failure for people.
        retry_after: Seconds after which to retry; None if unknown.
        ticket: Ticket to send with the retry; empty for none.
    """

    reason: Reason
    detail: str = ''
    retry_after: float | None = None
    ticket: str = ''

    @property
    def outcome(self) -> Outcome:
        """Known outcome of the request."""
        return self.reason.outcome
