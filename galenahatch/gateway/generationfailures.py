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

"""What a caller is told if its generation can't be served, or not to its end.

Once a part of the stream has reached the caller, no other answer can follow:
the connection is aborted, so that the stream can't appear complete.
"""

import typing

from galenahatch.core import fate
from galenahatch.core import versionaffinity
from galenahatch import errors
from galenahatch.gateway import accounts
from galenahatch.gateway import context as contexts
from galenahatch.gateway import messages
from galenahatch.gateway import relay as relays

_RETRY_AFTER_S: typing.Final = 0.3


class StreamBroken(Exception):
    """A stream failed after a part of it had reached the caller."""


class Failures:
    """Failures of one request to a model service.

    Args:
        relay: Relay of its stream.
        sends: Its sends to decode engines.
        deadline: Time by which it must be answered; monotonic seconds.
    """

    def __init__(
        self, relay: relays.Relay, sends: fate.Sends, deadline: float
    ) -> None:
        self._relay = relay
        self._sends = sends
        self._deadline = deadline

    def failed(self, failure: errors.Failure) -> errors.Failure:
        """Return a failure, if the caller can still be told.

        Raises:
            StreamBroken: A part of the stream has reached the caller.
        """
        if self._relay.has_reached_caller:
            raise StreamBroken(failure.detail)
        return failure

    def final(
        self, result: contexts.CompleteAnswer | errors.Failure | None
    ) -> contexts.CompleteAnswer | errors.Failure | None:
        """Return a result, if none has a head that comes too late.

        Raises:
            StreamBroken: A part of the stream has reached the caller, and
                the result isn't the rest of it.
        """
        if isinstance(result, errors.Failure):
            return self.failed(result)
        if result is not None and self._relay.has_reached_caller:
            raise StreamBroken(f'status {result.head.status} after its head')
        return result

    def deadline(self) -> errors.Failure:
        """Return the failure of a stream that isn't complete in time."""
        return self.failed(errors.Failure(errors.DEADLINE, 'deadline'))

    def refused(self, refusal: messages.PlacementRefused) -> errors.Failure:
        """Return the failure of a request that the owner refused."""
        if not self._sends.cannot_have_run:
            failure = errors.Failure(errors.SEND_INTERRUPTED, refusal.reason)
        elif refusal.version_problem is versionaffinity.Problem.UNKNOWN:
            failure = errors.Failure(errors.VERSION_UNKNOWN, refusal.reason)
        elif refusal.version_problem is not None:
            failure = contexts.retryable_failure(
                errors.VERSION_NOT_SERVED, refusal.reason, refusal.retry_after
            )
        elif refusal.is_over_quota:
            failure = accounts.quota_failure(
                refusal.reason, refusal.retry_after
            )
        else:
            failure = contexts.retryable_failure(
                errors.NO_TIME, refusal.reason, refusal.retry_after
            )
        return self.failed(failure)

    def gave_up(self, detail: str) -> errors.Failure:
        """Return the failure of a request whose last send failed."""
        if self._sends.cannot_have_run:
            failure = contexts.retryable_failure(
                errors.NO_ENGINE, detail, _RETRY_AFTER_S
            )
        elif contexts.has_passed(self._deadline):
            failure = errors.Failure(errors.DEADLINE, detail)
        else:
            failure = errors.Failure(errors.SEND_INTERRUPTED, detail)
        return self.failed(failure)
