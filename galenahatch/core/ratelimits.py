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

"""Rate limits that upstreams name in their answers.

An upstream names the requests a second that it takes from all VMs together,
for as long as it says so. VMs tell each other what they heard. Each word has
a time, and the latest one of an upstream counts (last writer wins): one that
names a limit has the time at which its answer came, and one that names none
the time at which its request was sent. So an answer that was made before the
upstream named its limit, and came after it, does not lift the limit.

Times are monotonic seconds; there is no input or output here.
"""

import dataclasses
import typing

from galenahatch import ids

_LEAST_RATE: typing.Final = 0.25
"""Requests a second that are sent in any case. An upstream that gets none
could never say that it takes some again."""
_DISAGREEMENT: typing.Final = 0.5
"""Seconds by which a word without a limit must be later than one that names
it: what another VM tells seems later by its time on the way."""
_REMEMBERED: typing.Final = 10.0
"""Seconds for which VMs are told that a limit was lifted."""
_KEPT: typing.Final = 60.0
"""Seconds for which the limit of an upstream without an entry is kept."""
_MOST_TOLD: typing.Final = 16
"""Limits in one message, some 30 bytes each."""


@dataclasses.dataclass(frozen=True)
class Notice:
    """What is known of one upstream.

    Attributes:
        rate: requests a second; None if it names no limit any more.
        at: when that was so.
        since: when it last began to name a limit, or ceased to.
    """

    rate: float | None
    at: float
    since: float


@dataclasses.dataclass(frozen=True)
class Told:
    """What VMs tell each other of one upstream.

    Attributes:
        rate: requests a second; None if it names no limit any more.
        age: seconds since that was so.
    """

    upstream: ids.UpstreamId
    rate: float | None
    age: float


class Notices:
    """The latest word of each upstream that names a limit, or did so."""

    def __init__(self) -> None:
        self._notices: dict[ids.UpstreamId, Notice] = {}
        self._turn = 0

    @property
    def known(self) -> typing.Mapping[ids.UpstreamId, Notice]:
        """What is known of each upstream."""
        return self._notices

    def rate(self, upstream: ids.UpstreamId) -> float | None:
        """Return the limit of an upstream; None if it has none."""
        notice = self._notices.get(upstream)
        return notice.rate if notice is not None else None

    def answered(
        self,
        upstream: ids.UpstreamId,
        rate: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Take what an answer says; return whether the limit changed.

        Args:
            upstream: that answers.
            rate: that it names; None if it names none.
            sent_at: when its request was sent.
            now: monotonic seconds.
        """
        return self._take(upstream, rate, sent_at if rate is None else now)

    def hear(self, told: Told, now: float) -> bool:
        """Take what another VM tells; return whether the limit changed."""
        return self._take(told.upstream, told.rate, now - max(0.0, told.age))

    def _take(
        self, upstream: ids.UpstreamId, rate: float | None, at: float
    ) -> bool:
        before = self._notices.get(upstream)
        if rate is not None:
            rate = max(_LEAST_RATE, rate)
        if before is None:
            if rate is None:
                return False
            self._notices[upstream] = Notice(rate, at, at)
            return True
        lifts = rate is None and before.rate is not None
        if at <= before.at + (_DISAGREEMENT if lifts else 0.0):
            return False
        is_new = (rate is None) != (before.rate is None)
        since = at if is_new else before.since
        self._notices[upstream] = Notice(rate, at, since)
        return rate != before.rate

    def tell(self, now: float) -> list[Told]:
        """Return what other VMs should know; of very many some in turn."""
        told = [
            Told(upstream, notice.rate, max(0.0, now - notice.at))
            for upstream, notice in self._notices.items()
            if notice.rate is not None or now - notice.at < _REMEMBERED
        ]
        if len(told) <= _MOST_TOLD:
            return told
        self._turn = (self._turn + _MOST_TOLD) % len(told)
        return (told + told)[self._turn : self._turn + _MOST_TOLD]

    def forget(
        self, known: typing.Container[ids.UpstreamId], now: float
    ) -> None:
        """Drop upstreams that are gone; entries may lapse and come back."""
        for upstream, notice in list(self._notices.items()):
            if upstream not in known and now - notice.at > _KEPT:
                del self._notices[upstream]
