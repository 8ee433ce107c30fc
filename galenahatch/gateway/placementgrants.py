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

"""What an owner's decision on a placement allows a gateway to do."""

import dataclasses
import typing

from galenahatch.gateway import messages
from galenahatch.gateway import prefill as prefills


@dataclasses.dataclass
class Grant:
    """Sends of a placement that the owner took from the retry budget.

    Attributes:
        prefill: Prefill that it was asked for.
        earlier_reads: Sends of that prefill before.
        reads: Sends of prefills that were granted.
        runs: Sends of runs that were granted.
        run_sends: Sends of runs that were made.
    """

    prefill: prefills.Prefill
    earlier_reads: int
    reads: int
    runs: int
    run_sends: int = 0

    @property
    def unsent(self) -> int:
        """Sends that were granted and not made."""
        was_read = self.prefill.sends > self.earlier_reads
        return max(0, self.reads - was_read) + max(
            0, self.runs - self.run_sends
        )


def may_change(
    decision: messages.Placement | messages.PlacementRefused,
) -> typing.TypeGuard[messages.PlacementRefused]:
    """Return whether it is a refusal that may not be repeated soon."""
    return (
        isinstance(decision, messages.PlacementRefused)
        and decision.version_problem is None
        and not decision.is_over_quota
    )
