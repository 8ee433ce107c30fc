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
"""Choice of the gateway that proxies requests for one with lost paths.

The owner offers some members that answer and are not partitioned. Until an
offer comes, and if no owner makes one, a gateway tries members by itself.

Times are monotonic seconds; this module does no I/O.
"""

import collections
import collections.abc
import dataclasses
import math
import random
import typing
import zlib

from galenahatch import ids

_OFFERED: typing.Final = 3
"""Members in an offer: a few, so that one that fails costs no new query."""
_MIN_QUERY_INTERVAL_S: typing.Final = 1.0
_QUERY_INTERVAL_S: typing.Final = 0.25
"""Interval of queries per slowdown of heartbeats, so that the owner's cost
stays constant if many gateways ask."""
_OFFER_INTERVALS: typing.Final = 3.0
"""Intervals of queries for which an offer is used."""
_LEFT_OUT_S: typing.Final = 1.0
"""Time for which a proxy that declined or broke is not used."""
_TRIAL_INTERVAL_S: typing.Final = 0.1
"""Time from a failure of a proxy until one that is left out may be tried."""
_ANY: typing.Final = ids.UpstreamId('')
"""Stands for all upstreams."""


@dataclasses.dataclass(frozen=True)
class Proxy:
    """A gateway that proxies requests."""

    member: ids.MemberId
    address: str
    data_centre: ids.DataCentre


def offer(
    candidates: collections.abc.Iterable[Proxy],
    asker: ids.MemberId,
    data_centre: ids.DataCentre,
) -> list[Proxy]:
    """Return the proxies that the owner offers to a gateway.

    Those in its data centre come first. Each list is entered at a place that
    depends on the gateway, so that the load is spread.

    Args:
        candidates: Members that can proxy now.
        asker: Gateway that gets the offer.
        data_centre: Data centre of that gateway.
    """
    near: list[Proxy] = []
    remote: list[Proxy] = []
    for proxy in candidates:
        if proxy.member != asker:
            is_near = proxy.data_centre == data_centre
            (near if is_near else remote).append(proxy)
    place = zlib.crc32(asker.encode())
    return [*_rotated(near, place), *_rotated(remote, place)][:_OFFERED]


def _rotated(
    proxies: collections.abc.Sequence[Proxy], place: int
) -> list[Proxy]:
    """Return the first proxies from a place on, around the end."""
    count = min(_OFFERED, len(proxies))
    return [proxies[(place + n) % len(proxies)] for n in range(count)]


class Proxies:
    """Proxies of one gateway.

    Args:
        random_source: Breaks ties.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._offered: collections.abc.Sequence[Proxy] = ()
        self._offered_until = -math.inf
        self._query_at = -math.inf
        self._interval = _MIN_QUERY_INTERVAL_S
        self._left_out_until: dict[
            tuple[ids.MemberId, ids.UpstreamId], float
        ] = {}
        self._trial_at = -math.inf
        self._in_flight: collections.Counter[ids.MemberId] = (
            collections.Counter()
        )

    def should_query(self, now: float, slowdown: float = 1.0) -> bool:
        """Return whether to ask the owner now, and record the query.

        Args:
            now: Time of the query.
            slowdown: Factor by which heartbeats are slowed down.
        """
        if now < self._query_at:
            return False
        self._interval = max(
            _MIN_QUERY_INTERVAL_S, _QUERY_INTERVAL_S * slowdown
        )
        self._query_at = now + self._interval
        return True

    def record_offer(
        self, offered: collections.abc.Sequence[Proxy], now: float
    ) -> None:
        """Record an offer of the owner."""
        self._offered = offered
        self._offered_until = now + _OFFER_INTERVALS * self._interval

    def choose(
        self,
        known: collections.abc.Callable[[], collections.abc.Iterable[Proxy]],
        upstream: ids.UpstreamId,
        tried: collections.abc.Container[ids.MemberId],
        now: float,
    ) -> Proxy | None:
        """Return the offered proxy with the fewest requests from here.

        If all that may proxy are left out, the one that failed longest ago is
        tried with one request: one slow answer must not leave a gateway
        without any path. Another one follows soon after it has failed, and
        after a second while it has not.

        Args:
            known: Returns the members that might proxy, if no offered one is
                left.
            upstream: Upstream that the request is for.
            tried: Members that the request was sent to.
            now: Time of the choice.
        """
        usable: list[Proxy] = []
        if now < self._offered_until:
            usable = self._usable(self._offered, upstream, tried, now)
        if not usable:
            members = list(known())
            usable = self._usable(members, upstream, tried, now)
            if not usable:
                usable = self._last_resort(members, upstream, tried, now)
        return min(usable, key=self._load, default=None)

    def _last_resort(
        self,
        known: collections.abc.Iterable[Proxy],
        upstream: ids.UpstreamId,
        tried: collections.abc.Container[ids.MemberId],
        now: float,
    ) -> list[Proxy]:
        """Return a proxy that is left out, if it may be tried now."""
        if now < self._trial_at:
            return []
        left_out = [
            proxy
            for proxy in known
            if proxy.member not in tried
            and not self._is_left_out(proxy.member, upstream, now)
        ]
        if left_out:
            self._trial_at = now + _LEFT_OUT_S
        return sorted(left_out, key=self._left_out_time)[:1]

    def _left_out_time(self, proxy: Proxy) -> float:
        return self._left_out_until.get((proxy.member, _ANY), 0.0)

    def _load(self, proxy: Proxy) -> tuple[int, float]:
        return self._in_flight[proxy.member], self._random.random()

    def _usable(
        self,
        proxies: collections.abc.Iterable[Proxy],
        upstream: ids.UpstreamId,
        tried: collections.abc.Container[ids.MemberId],
        now: float,
    ) -> list[Proxy]:
        return [
            proxy
            for proxy in proxies
            if proxy.member not in tried
            and not self._is_left_out(proxy.member, _ANY, now)
            and not self._is_left_out(proxy.member, upstream, now)
        ]

    def _is_left_out(
        self, member: ids.MemberId, upstream: ids.UpstreamId, now: float
    ) -> bool:
        return self._left_out_until.get((member, upstream), now) > now

    def begin(self, member: ids.MemberId) -> None:
        """Record that a request is sent to a proxy."""
        self._in_flight[member] += 1

    def end(self, member: ids.MemberId) -> None:
        """Record that a request at a proxy has ended."""
        self._in_flight[member] -= 1
        if self._in_flight[member] <= 0:
            del self._in_flight[member]

    def leave_out(
        self,
        member: ids.MemberId,
        now: float,
        upstream: ids.UpstreamId = _ANY,
    ) -> None:
        """Record that a proxy declined, broke or can't be reached.

        Args:
            member: The proxy.
            now: Time at which it failed.
            upstream: The only upstream for which that counts, if there is one.
        """
        self._left_out_until = {
            key: until
            for key, until in self._left_out_until.items()
            if until > now
        }
        self._left_out_until[member, upstream] = now + _LEFT_OUT_S
        self._trial_at = now + _TRIAL_INTERVAL_S

    def readmit(self, member: ids.MemberId) -> None:
        """Record that a proxy has passed on an upstream's answer."""
        self._left_out_until.pop((member, _ANY), None)
