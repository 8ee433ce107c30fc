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

"""What upstreams report about their load in the heads of their responses."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load of an upstream at the time of one response.

    Attributes:
        running: Requests that it executes.
        waiting: Requests in its queue.
        slots: Requests that it executes at most; 0 if not stated.
        slowdown: Time that work takes now as a multiple of the usual time;
            None if not stated. It changes many times a second.
    """

    running: int
    waiting: int
    slots: int = 0
    slowdown: float | None = None

    @property
    def total(self) -> int:
        """Requests running and waiting."""
        return self.running + self.waiting
