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

"""Tracks whether a request may have run at an upstream.

A caller may be told "not run" only if no attempt can have begun. The rules
that decide this are kept apart from sockets, so that they can be tested on
their own.
"""

import enum
import typing

_PROMISES: typing.Final = frozenset((408, 421, 429, 503))


def promises_no_run(status: int) -> bool:
    """Return whether a status tells a caller that its request hasn't run.

    It may then send even a request again that may run only once. A response
    of an upstream that ran the request must not reach it with such a status.
    """
    return status in _PROMISES


class Fate(enum.Enum):
    """Outcome of one attempt.

    Attributes:
        NOT_SENT: No byte reached an upstream.
        REFUSED: The upstream replied that it did not run the request.
        UNCERTAIN: The request may have run; no complete answer arrived.
        ANSWERED: The upstream ran the request and answered.
    """

    NOT_SENT = 'not_sent'
    REFUSED = 'refused'
    UNCERTAIN = 'uncertain'
    ANSWERED = 'answered'


class Sends:
    """All attempts of one request.

    Attributes:
        ran: Number of attempts that ran or may have run.
    """

    def __init__(self) -> None:
        self.ran = 0
        self._in_flight = False

    @property
    def cannot_have_run(self) -> bool:
        """Whether no upstream has begun the request, nor ever will."""
        return not self.ran and not self._in_flight

    def begin(self) -> None:
        """Record that bytes may be sent from now on."""
        self._in_flight = True

    def end(self, outcome: Fate) -> None:
        """Record the outcome of the attempt in flight."""
        self._in_flight = False
        if outcome in (Fate.UNCERTAIN, Fate.ANSWERED):
            self.ran += 1

    def resume(self) -> None:
        """Record that an attempt that ran is in flight again."""
        self.ran -= 1
        self._in_flight = True

    def may_replace(self, repeatable: bool, max_attempts: int) -> bool:
        """Return whether another attempt may follow the one in flight."""
        return repeatable and self.ran + 1 < max_attempts

    def may_send(self, repeatable: bool, max_attempts: int) -> bool:
        """Return whether another attempt is allowed.

        Args:
            repeatable: Whether the request may run more than once.
            max_attempts: Number of upstreams that may run it.
        """
        if self._in_flight:
            return False
        if not self.ran:
            return True
        return repeatable and self.ran < max_attempts
