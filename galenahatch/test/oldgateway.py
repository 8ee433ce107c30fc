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

"""A gateway of a build that doesn't know the messages about plain calls.

It states level 0 and drops such messages as malformed frames, with a log line.
"""

import functools
import operator
import sys
import typing

import msgspec

from galenahatch.gateway import callmessages
from galenahatch.gateway import frames

if __name__ == '__main__':
    callmessages.MESSAGE_LEVEL = 0
    known = [
        message
        for message in typing.get_args(frames.AnyMessage)
        if message.__module__ != callmessages.__name__
    ]
    union = functools.reduce(operator.or_, known)
    frames._DECODER = msgspec.msgpack.Decoder(union)  # type: ignore[misc]
    from galenahatch.gateway import program

    sys.exit(program.main())
