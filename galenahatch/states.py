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

"""States that messages carry."""

import enum


class Role(enum.Enum):
    """Which program a daemon is."""

    ENTRY = 'entry'
    SCHEDULER = 'scheduler'
    CONTROLLER = 'controller'


class Standing(enum.Enum):
    """Whether something takes new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Urgency(enum.IntEnum):
    """Class of a request; a lower number is served first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


class Stage(enum.Enum):
    """How far an attempt is."""

    PREFILL = 'prefill'
    TRANSFER = 'transfer'
    DECODE = 'decode'


class ClaimStatus(enum.Enum):
    """What the table holds for a key, seen from one token.

    Attributes:
        MINE: this token.
        OTHERS: another token.
        ABSENT: nothing: the claim was not confirmed, and the key has no
            earlier claim either.
        UNREAD: not known, the table can't be read.
    """

    MINE = 'mine'
    OTHERS = 'others'
    ABSENT = 'absent'
    UNREAD = 'unread'


class HolderState(enum.Enum):
    """What is known of a claim's holder and its token."""

    RUNNING = 'running'
    ABANDONED = 'abandoned'
    FINISHED = 'finished'
    FORGOTTEN = 'forgotten'
    GONE = 'gone'
    SILENT = 'silent'
