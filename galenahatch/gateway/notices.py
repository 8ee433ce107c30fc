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


"""Notices in answers of upstreams, besides rate limits.

An upstream that is leaving says so in its answers, possibly long before its
entry in the store shows it. Gateways forward this notice to the owner at once,
and the owner to all others. An upstream that refuses a request may ask for a
pause.
"""

import typing

from galenahatch import clock
from galenahatch.core import pauses
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import directory as directories
from galenahatch.gateway import frames
from galenahatch.gateway import instruments
from galenahatch.gateway import messages
from galenahatch import ids
from galenahatch import logs

_LOG_INTERVAL_S: typing.Final = 1.0
"""Minimum number of seconds between two equal log lines for an upstream."""
_ANNOUNCE_S: typing.Final = 60.0
"""Seconds for which gateways announce a leaving upstream. By then it has left,
or has itself notified every gateway that uses it."""
_MAX_ANNOUNCED: typing.Final = 32
"""Most upstreams in one message; the latest ones are kept."""
_log = logs.Log('notices')


class Notices:
    """Notices in answers to this gateway and to others.

    Args:
        directory: List of upstreams, in which those that leave are marked.

    Attributes:
        pauses: Pauses that upstreams have requested from this gateway.
        tell_owner: Function that sends a message to the owner and the
            candidates to succeed it.
    """

    def __init__(self, directory: directories.Directory) -> None:
        self._directory = directory
        self._leaving_since: dict[ids.UpstreamId, float] = {}
        self.pauses = pauses.Pauses(clock.RANDOM)
        self.tell_owner: typing.Callable[[frames.AnyMessage], None] = (
            lambda message: None
        )
        instruments.register_gauge(
            instruments.LEAVING_SECONDS, self._leaving_seconds
        )
        instruments.register_gauge(
            instruments.PAUSED_SECONDS, self._paused_seconds
        )
        self._logged_at: dict[tuple[ids.UpstreamId, str], float] = {}

    def record_answer(
        self,
        upstream: ids.UpstreamId,
        sent_at: float,
        head: calls.ResponseHead,
    ) -> None:
        """Record the notices in the head of an answer."""
        for value in (head.leaving, head.pause):
            if isinstance(value, errors.Failure):
                self._log_limited(
                    upstream,
                    'Ignored an invalid notice.',
                    head,
                    detail=value.detail,
                )
        if head.leaving is True and self._record_leaving(upstream):
            self._log_limited(upstream, 'Upstream says that it leaves.', head)
            self.tell_owner(
                messages.LeavingUpstreams(self.leaving_upstreams())
            )
        if isinstance(head.pause, float):
            self.pauses.start(upstream, head.pause, clock.now())
            self._log_limited(
                upstream,
                'Upstream requested a pause.',
                head,
                seconds=head.pause,
            )

    def pause_seconds_left(self, upstream: ids.UpstreamId) -> float:
        """Return the seconds until an upstream's pause ends; 0 without one."""
        return self.pauses.remaining(upstream, clock.now())

    def pauses_left(self) -> dict[ids.UpstreamId, float]:
        """Return the seconds until the end of each pause."""
        return self.pauses.active(clock.now())

    def _record_leaving(self, upstream: ids.UpstreamId) -> bool:
        """Mark an upstream as leaving; return whether that is a change."""
        if not self._directory.mark_leaving(upstream):
            return False
        self._leaving_since[upstream] = clock.now()
        return True

    def leaving_upstreams(self) -> tuple[ids.UpstreamId, ...]:
        """Return the upstreams that have announced that they are leaving."""
        return tuple(self._leaving_since)[-_MAX_ANNOUNCED:]

    def merge(self, leaving: tuple[ids.UpstreamId, ...]) -> None:
        """Add leaving upstreams that another gateway reports."""
        for upstream in leaving:
            if self._record_leaving(upstream):
                _log.info(
                    'A peer reports a leaving upstream.', upstream=upstream
                )

    def _log_limited(
        self,
        upstream: ids.UpstreamId,
        message: str,
        head: calls.ResponseHead,
        **fields: typing.Any,
    ) -> None:
        now = clock.now()
        key = upstream, message
        if now - self._logged_at.get(key, -_LOG_INTERVAL_S) < _LOG_INTERVAL_S:
            return
        self._logged_at[key] = now
        _log.info(
            message, upstream=upstream, request=head.request_id, **fields
        )

    def _leaving_seconds(self) -> dict[str, float]:
        now = clock.now()
        ages = [(key, now - at) for key, at in self._leaving_since.items()]
        return dict(ages[-_MAX_ANNOUNCED:])

    def _paused_seconds(self) -> dict[str, float]:
        return dict(list(self.pauses_left().items())[:_MAX_ANNOUNCED])

    def prune(self, known: typing.Container[ids.UpstreamId]) -> None:
        """Discard expired announcements and data of removed upstreams."""
        now = clock.now()
        for upstream, since in list(self._leaving_since.items()):
            if now - since > _ANNOUNCE_S:
                del self._leaving_since[upstream]
        for key in [key for key in self._logged_at if key[0] not in known]:
            del self._logged_at[key]
