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

"""Enumerations that are sent in messages."""

import enum


class Role(enum.Enum):
    """Program that a daemon runs."""

    ENTRY = 'entry'
    SCHEDULER = 'scheduler'
    CONTROLLER = 'controller'


class Standing(enum.Enum):
    """Whether a daemon accepts new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Urgency(enum.IntEnum):
    """Priority class of a request; lower numbers are served first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


class Stage(enum.Enum):
    """Stage of an attempt."""

    PREFILL = 'prefill'
    TRANSFER = 'transfer'
    DECODE = 'decode'


class ClaimStatus(enum.Enum):
    """Status of a key's claim in the table, relative to one token.

    Attributes:
        MINE: The claim has this token.
        OTHERS: The claim has another token.
        ABSENT: There is no claim: this one was not confirmed, and the key
            has no earlier claim.
        UNREAD: Unknown, because the table can't be read.
    """

    MINE = 'mine'
    OTHERS = 'others'
    ABSENT = 'absent'
    UNREAD = 'unread'


class HolderState(enum.Enum):
    """State of the process that holds a claim, and of its token."""

    RUNNING = 'running'
    ABANDONED = 'abandoned'
    FINISHED = 'finished'
    FORGOTTEN = 'forgotten'
    GONE = 'gone'
    SILENT = 'silent'
