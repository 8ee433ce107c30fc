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

"""Planned stops under signals and pauses, by fixed seeds.

What happens: a gateway that stops went on taking callers to its last moment.
What was in flight then was cut, and what came after that, on a connection
accepted while the process closed its own, was answered 500. A signal that met
the very end ended the process by itself. The soak showed it: requests that
"ran 1 times" and got no answer, status 500 with the log line `Stopped.` before
it, exit codes -15 and -1.

`galenahatch.test.stops` plays more seeds by hand, and more gateways.
"""

import pytest

from galenahatch.test import stops


@pytest.mark.parametrize('seed', [101, 122, 124, 145])
def test_seed(seed: int) -> None:
    """A stop loses no request that has reached the gateway."""
    assert not stops.play(seed)
