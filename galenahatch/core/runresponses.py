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

"""What becomes of a response to a run of a stream.

Until a part of a stream has reached its caller, an engine's complete answer
may be passed on instead. From then on a run can only add events to the stream
or fail: a second head would stand in the middle of the first response. A
status that denies the run is never passed on.
"""

import enum
import typing

from galenahatch.core import fate

_WITHOUT_BODY: typing.Final = (204, 205)
_FIRST_REDIRECT: typing.Final = 300
_FIRST_SERVER_ERROR: typing.Final = 500


class Use(enum.Enum):
    """What is done with a response.

    Attributes:
        STREAM: Its events are relayed.
        ANSWER: It is passed on as a whole, once it is complete.
        NOTHING: The run has failed.
    """

    STREAM = 'stream'
    ANSWER = 'answer'
    NOTHING = 'nothing'


def use_of(
    status: int, is_signed: bool, is_encoded: bool, has_begun: bool
) -> Use:
    """Return what is done with a response.

    Args:
        status: Its status.
        is_signed: Whether it bears an engine's signature.
        is_encoded: Whether its body isn't what the engine wrote.
        has_begun: Whether a part of the stream has reached the caller.
    """
    if is_encoded or status in _WITHOUT_BODY:
        return Use.NOTHING
    if status < _FIRST_REDIRECT:
        return Use.STREAM if is_signed else Use.NOTHING
    if fate.promises_no_run(status):
        return Use.NOTHING
    if has_begun or status >= _FIRST_SERVER_ERROR:
        return Use.NOTHING
    return Use.ANSWER
