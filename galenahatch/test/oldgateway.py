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

"""A gateway of a build that knows no messages of a level above 0.

It states level 0 and drops such messages as malformed frames, with a log line.
It doesn't proxy requests, and its row names no port for them.
"""

import dataclasses
import functools
import operator
import sys
import typing

import msgspec

from galenahatch import errors
from galenahatch.gateway import affinitymessages
from galenahatch.gateway import callmessages
from galenahatch.gateway import frames
from galenahatch.gateway import proxymessages
from galenahatch.gateway import settings as settings_module
from galenahatch.gateway import waitingmessages
from galenahatch.platform import deployment

_NEWER = (
    affinitymessages.__name__,
    callmessages.__name__,
    proxymessages.__name__,
    waitingmessages.__name__,
)

_load = deployment.load


def _load_without_proxy(
    file: str,
) -> settings_module.Settings | errors.Failure:
    settings = _load(file)
    if isinstance(settings, errors.Failure):
        return settings
    return dataclasses.replace(settings, proxy_port=0)


if __name__ == '__main__':
    affinitymessages.MESSAGE_LEVEL = 0
    affinitymessages.VERSIONS_LEVEL = 0
    callmessages.MESSAGE_LEVEL = 0
    proxymessages.MESSAGE_LEVEL = 0
    waitingmessages.MESSAGE_LEVEL = 0
    known = [
        message
        for message in typing.get_args(frames.AnyMessage)
        if message.__module__ not in _NEWER
    ]
    union = functools.reduce(operator.or_, known)
    frames._DECODER = msgspec.msgpack.Decoder(union)  # type: ignore[misc]
    from galenahatch.gateway import program

    deployment.load = _load_without_proxy
    sys.exit(program.main())
