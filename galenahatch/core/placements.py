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

"""Where a placed generation is, and what is awaited of its engines."""

import dataclasses

from galenahatch import ids


@dataclasses.dataclass
class Placement:
    """Where a run is, and when its VM last told of it.

    Attributes:
        is_alone: whether its prefill engine had no other prompt: only then
            its time tells what a prompt takes, and not how many wait there.
        read_at: when its prompt had been read, if known.
    """

    engine: ids.UpstreamId
    hint: int
    told_at: float
    prefill: ids.UpstreamId | None = None
    placed_at: float = 0.0
    is_alone: bool = False
    read_at: float | None = None
