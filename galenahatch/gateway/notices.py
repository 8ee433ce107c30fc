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
store tells. One that turns a request away may ask for a pause.
"""

import typing

from galenahatch import clock
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch import ids
from galenahatch import logs

_LOG_EVERY: typing.Final = 1.0
"""Seconds between two lines of a kind on one upstream."""
_log = logs.Log('notices')


class Notices:
    """What answers to this gateway have said."""

    def __init__(self) -> None:
        self._leaving: dict[ids.UpstreamId, float] = {}
        self._logged_at: dict[tuple[ids.UpstreamId, str], float] = {}

    def answered(
        self,
        upstream: ids.UpstreamId,
        sent_at: float,
        head: calls.AnswerHead,
    ) -> None:
        """Take the head of an answer."""
        for value in (head.leaving, head.pause):
            if isinstance(value, errors.Failure):
                self._note(
                    upstream, 'Bad notice ignored.', head, detail=value.detail
                )
        if head.leaving is True and upstream not in self._leaving:
            self._leaving[upstream] = clock.now()
            self._note(upstream, 'Upstream says that it leaves.', head)
        if isinstance(head.pause, float):
            self._note(upstream, 'Pause asked for.', head, seconds=head.pause)

    def _note(
        self,
        upstream: ids.UpstreamId,
        sentence: str,
        head: calls.AnswerHead,
        **fields: typing.Any,
    ) -> None:
        now = clock.now()
        key = upstream, sentence
        if now - self._logged_at.get(key, -_LOG_EVERY) < _LOG_EVERY:
            return
        self._logged_at[key] = now
        _log.info(sentence, upstream=upstream, request=head.request, **fields)

    def forget(self, known: typing.Container[ids.UpstreamId]) -> None:
        """Drop upstreams that are gone."""
        for gone in [key for key in self._leaving if key not in known]:
            del self._leaving[gone]
        for old in [key for key in self._logged_at if key[0] not in known]:
            del self._logged_at[old]
