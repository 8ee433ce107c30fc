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

"""What upstreams' answers say of the rate of requests that they take."""

import typing

from galenahatch import clock
from galenahatch.core import ratelimits
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import instruments
from galenahatch import ids
from galenahatch import logs

_LOG_EVERY: typing.Final = 1.0
"""Seconds between two lines on one upstream that says something new in each
answer."""
_MOST_LABELS: typing.Final = 100
"""Upstreams that metrics show each by itself."""
_log = logs.Log('ratelimits')


class RateLimits:
    """This gateway's part in keeping them."""

    def __init__(self) -> None:
        self._notices = ratelimits.Notices()
        self._logged_at: dict[ids.UpstreamId, float] = {}
        instruments.watch_rate_limits(self._rates)

    def answered(
        self,
        upstream: ids.UpstreamId,
        sent_at: float,
        head: calls.AnswerHead,
    ) -> None:
        """Take the head of an answer."""
        rate = head.rate_limit
        if isinstance(rate, errors.Failure):
            if self._may_log(upstream):
                _log.warning(
                    'Bad rate limit ignored.',
                    upstream=upstream,
                    request=head.request,
                    detail=rate.detail,
                )
            return
        now = clock.now()
        if not self._notices.answered(upstream, rate, sent_at, now):
            return
        self._log_change(upstream, 'answer', head.request)

    def _log_change(
        self, upstream: ids.UpstreamId, source: str, request: str
    ) -> None:
        if not self._may_log(upstream):
            return
        rate = self._notices.rate(upstream)
        _log.info(
            'Rate limit lifted.' if rate is None else 'Rate limit named.',
            upstream=upstream,
            rate=rate or 0.0,
            source=source,
            request=request,
        )

    def _may_log(self, upstream: ids.UpstreamId) -> bool:
        now = clock.now()
        if now - self._logged_at.get(upstream, -_LOG_EVERY) < _LOG_EVERY:
            return False
        self._logged_at[upstream] = now
        return True

    def forget(self, known: typing.Container[ids.UpstreamId]) -> None:
        """Drop upstreams that are gone."""
        self._notices.forget(known, clock.now())
        for gone in [key for key in self._logged_at if key not in known]:
            del self._logged_at[gone]

    def _rates(self) -> dict[str, float]:
        """Return the limits in force, for metrics."""
        rates = {
            str(upstream): notice.rate
            for upstream, notice in self._notices.known.items()
            if notice.rate is not None
        }
        return dict(list(rates.items())[:_MOST_LABELS])
