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

"""What is known of one send of a request to an upstream.

A refusal that promises "not run" may only be told to a caller if no send
of the request can have begun. The rules that decide this stand here, apart
from sockets, so that they can be tested on their own.
"""

import enum


class Fate(enum.Enum):
    """What became of one send.

    Attributes:
        NOT_SENT: no byte reached an upstream.
        REFUSED: the upstream said that it did not run the request.
        UNCERTAIN: it may have run; no whole answer came.
        ANSWERED: the upstream ran it and answered.
    """

    NOT_SENT = 'not_sent'
    REFUSED = 'refused'
    UNCERTAIN = 'uncertain'
    ANSWERED = 'answered'


class Sends:
    """All sends of one request.

    Attributes:
        ran: sends that ran or may have run.
    """

    def __init__(self) -> None:
        self.ran = 0
        self._open = False

    @property
    def cannot_have_run(self) -> bool:
        """Whether no upstream has begun the request, nor ever will."""
        return not self.ran and not self._open

    def begin(self) -> None:
        """Note that bytes may leave from now on."""
        self._open = True

    def end(self, fate: Fate) -> None:
        """Note what became of the send that was begun."""
        self._open = False
        if fate in (Fate.UNCERTAIN, Fate.ANSWERED):
            self.ran += 1

    def may_send(self, repeatable: bool, max_attempts: int) -> bool:
        """Return whether another send is allowed.

        Args:
            repeatable: whether the request may run more than once.
            max_attempts: upstreams that may run it.
        """
        if self._open:
            return False
        if not self.ran:
            return True
        return repeatable and self.ran < max_attempts
