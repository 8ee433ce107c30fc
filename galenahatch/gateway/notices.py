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


"""What upstreams' answers say of the next requests, besides their rate.

An upstream that leaves says so in its answers, which may be long before the
store tells. Gateways tell each other: the owner at once, who tells all. One
that turns a request away may ask for a pause.
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
"""Seconds between two lines of a kind on one upstream."""
_ANNOUNCE_S: typing.Final = 60.0
"""Seconds for which gateways tell that an upstream leaves; it has left then,
or each gateway that it answers has heard it itself."""
_MAX_ANNOUNCED: typing.Final = 32
"""Upstreams in one message, the latest ones."""
_log = logs.Log('notices')


class Notices:
    """What answers to this gateway, and to others, have said.

    Args:
        directory: upstreams, those among them that leave.

    Attributes:
        pauses: that upstreams have asked this gateway for.
        tell_owner: sends a message to the owner, and who may be the next.
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
        """Take the head of an answer."""
        for value in (head.leaving, head.pause):
            if isinstance(value, errors.Failure):
                self._log_limited(
                    upstream, 'Bad notice ignored.', head, detail=value.detail
                )
        if head.leaving is True and self._record_leaving(upstream):
            self._log_limited(upstream, 'Upstream says that it leaves.', head)
            self.tell_owner(
                messages.LeavingUpstreams(self.leaving_upstreams())
            )
        if isinstance(head.pause, float):
            self.pauses.start(upstream, head.pause, clock.now())
            self._log_limited(
                upstream, 'Pause asked for.', head, seconds=head.pause
            )

    def pause_seconds_left(self, upstream: ids.UpstreamId) -> float:
        """Return the seconds for which an upstream wants nothing from here."""
        return self.pauses.remaining(upstream, clock.now())

    def pauses_left(self) -> dict[ids.UpstreamId, float]:
        """Return the seconds that are left of each pause."""
        return self.pauses.active(clock.now())

    def _record_leaving(self, upstream: ids.UpstreamId) -> bool:
        """Send an upstream no more; return whether that is news."""
        if not self._directory.mark_leaving(upstream):
            return False
        self._leaving_since[upstream] = clock.now()
        return True

    def leaving_upstreams(self) -> tuple[ids.UpstreamId, ...]:
        """Return the upstreams that have said that they leave."""
        return tuple(self._leaving_since)[-_MAX_ANNOUNCED:]

    def merge(self, leaving: tuple[ids.UpstreamId, ...]) -> None:
        """Take what another gateway tells."""
        for upstream in leaving:
            if self._record_leaving(upstream):
                _log.info('Upstream leaves, by a peer.', upstream=upstream)

    def _log_limited(
        self,
        upstream: ids.UpstreamId,
        sentence: str,
        head: calls.ResponseHead,
        **fields: typing.Any,
    ) -> None:
        now = clock.now()
        key = upstream, sentence
        if now - self._logged_at.get(key, -_LOG_INTERVAL_S) < _LOG_INTERVAL_S:
            return
        self._logged_at[key] = now
        _log.info(
            sentence, upstream=upstream, request=head.request_id, **fields
        )

    def _leaving_seconds(self) -> dict[str, float]:
        now = clock.now()
        found = [(key, now - at) for key, at in self._leaving_since.items()]
        return dict(found[-_MAX_ANNOUNCED:])

    def _paused_seconds(self) -> dict[str, float]:
        return dict(list(self.pauses_left().items())[:_MAX_ANNOUNCED])

    def forget(self, known: typing.Container[ids.UpstreamId]) -> None:
        """Drop what is long ago, and upstreams that are gone."""
        now = clock.now()
        for upstream, told_at in list(self._leaving_since.items()):
            if now - told_at > _ANNOUNCE_S:
                del self._leaving_since[upstream]
        for old in [key for key in self._logged_at if key[0] not in known]:
            del self._logged_at[old]
