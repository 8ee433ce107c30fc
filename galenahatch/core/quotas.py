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

"""Quotas over all VMs: who may use how much.

Kept for what customers may use, and for the rates that upstreams name
(`core/ratelimits`). What is said of customers below holds for both.

The bound is on a sliding window: what runs for a customer stays under
(rate x window + burst) x (1 + overshoot) + slack, over all VMs. What is
refused below the limit is lost to the customer, so the part that the bound
allows beyond the limit is spent on what can't be known exactly:

- Generations ask the owner for engines anyway, and it alone counts them. Its
  buckets hold somewhat more than the burst (`_MARGIN`), since requests reach
  it in another order than they were sent in.
- Plain calls are counted where they arrive, against the levels that the
  owner last told, and told to it with the next beat; at once where so many
  came that all VMs together might have used half a bucket since (`must_tell`).
- A new owner goes on from the levels that the last one told. After the loss
  of all VMs nobody knows them; buckets then begin with a part (`_FRESH`).
- VMs that can't reach each other have owners of their own. Each uses the
  part of the quota that the VMs which it hears are of all, and a little more
  (`_APART`), as some of those that are silent are gone and not apart. Where
  that part holds less than one request, it is rounded at random to none or
  one (randomized rounding), so that over all VMs the parts are used up and
  not exceeded: a fixed part for each would let no long request pass at all.

A level is that of the whole quota: a VM that decides for a tenth of all takes
ten times the units of each request from it. So its own use is an estimate of
what all VMs have used, once it decides for more of them.

Levels are told and taken over by their minimum, so that words of two owners
may come in any order, late or twice. Times are monotonic seconds.
"""

import dataclasses
import random
import typing

from galenahatch.core import customers

_MARGIN: typing.Final = 0.3
"""Part of what the bound allows beyond the limit that a bucket holds beyond
the burst."""
_FRESH: typing.Final = 0.3
"""The same for the level at which buckets begin that nobody knows of: all
VMs may be lost twice in one window."""
_APART: typing.Final = 0.25
"""The same for VMs that can't reach each other."""
_SPREAD: typing.Final = 0.5
"""Part of a window over which those come back that there is no room for in
it."""
_LEAST_TOLD: typing.Final = 0.25
"""Least part of all VMs that one counts for whose plain calls are told."""
_UNTOLD: typing.Final = 0.5
"""Part of a bucket that all VMs may have used without a word."""
_LOW: typing.Final = 0.5
"""Part of a bucket below which its level is told."""
_MOST_TOLD: typing.Final = 32
"""Levels in one message, some 20 bytes each, the lowest first."""

Key = typing.TypeVar('Key', bound=str)


@dataclasses.dataclass(frozen=True)
class Bound:
    """What all VMs together must keep.

    Attributes:
        window: seconds.
        overshoot: part of the limit by which it may be exceeded.
        slack: units by which it may be exceeded besides.
    """

    window: float = 10.0
    overshoot: float = 0.1
    slack: float = 0.0

    def allowance(self, quota: customers.Quota) -> float:
        """Return the units beyond a quota that a window may hold."""
        limit = quota.rate * self.window + quota.burst
        return self.overshoot * limit + self.slack

    def partition_boost(self, quota: customers.Quota) -> float:
        """Return how many times their part VMs that are apart may use."""
        limit = quota.rate * self.window + quota.burst
        return 1 + _APART * self.allowance(quota) / limit


@dataclasses.dataclass(frozen=True)
class Denied:
    """Why a request goes beyond a quota.

    Attributes:
        retry_after: seconds after which there is room for it; None if there
            never is.
        why: inputs of the decision.
    """

    retry_after: float | None
    why: str


class _Bucket:
    """What one customer may use now."""

    def __init__(self, quota: customers.Quota, bound: Bound) -> None:
        self.set_quota(quota, bound)
        self.level = self.capacity
        self.filled_at = 0.0
        # When there is room for all that were asked to come back.
        self.booked_until = 0.0

    def set_quota(self, quota: customers.Quota, bound: Bound) -> None:
        self.quota = quota
        self.capacity = quota.burst + _MARGIN * bound.allowance(quota)
        self.boost = bound.partition_boost(quota)

    def set_level(self, level: float) -> None:
        self.level = min(self.capacity, level)

    def fill(self, now: float) -> None:
        """Add what has come since the last call."""
        came = self.quota.rate * max(0.0, now - self.filled_at)
        self.filled_at = max(self.filled_at, now)
        self.set_level(self.level + came)

    def share(self, part: float) -> float:
        """Return the part of the quota that may be used for a part of VMs."""
        return min(1.0, part * self.boost)


class Quotas(typing.Generic[Key]):
    """The buckets of all customers, as one VM knows them.

    Args:
        bound: that all VMs together keep.
        random_source: rounds parts of requests.
    """

    def __init__(self, bound: Bound, random_source: random.Random) -> None:
        self._bound = bound
        self._random = random_source
        self._buckets: dict[Key, _Bucket] = {}
        self._untold: dict[Key, float] = {}
        self._part = 1.0
        self._is_new = True

    def configure(
        self,
        known: typing.Mapping[Key, customers.Customer],
        now: float,
    ) -> None:
        """Take the customers of a configuration.

        A customer that is new in it begins with its burst; a burst that was
        raised is there at once.
        """
        limited = {
            name: customer.quota
            for name, customer in known.items()
            if customer.quota is not None
        }
        for name in self._buckets.keys() - limited.keys():
            self.remove(name)
        for name, quota in limited.items():
            self.set_quota(name, quota, now)
        self._is_new = False

    def remove(self, name: Key) -> None:
        """Forget a quota: nothing is limited any more."""
        self._buckets.pop(name, None)
        self._untold.pop(name, None)

    def set_quota(self, name: Key, quota: customers.Quota, now: float) -> None:
        """Take a quota that is new or has changed."""
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = _Bucket(quota, self._bound)
            bucket.filled_at = now
            if self._is_new:
                bucket.set_level(_FRESH * self._bound.allowance(quota))
            return
        if bucket.quota == quota:
            return
        bucket.fill(now)
        raised = quota.burst - bucket.quota.burst
        bucket.set_quota(quota, self._bound)
        bucket.set_level(bucket.level + max(0.0, raised))
        bucket.booked_until = now

    def set_fraction(self, part: float) -> None:
        """Note for which part of all VMs this one decides."""
        self._part = part

    def acquire(
        self,
        name: Key,
        units: float,
        now: float,
        report_use: bool = False,
    ) -> Denied | None:
        """Take a request's units; return why it may not run.

        Args:
            name: of the customer.
            units: that the request counts as.
            now: monotonic seconds.
            told: whether the owner must hear of it with the next beat.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return None
        bucket.fill(now)
        if units > bucket.capacity:
            why = f'{units:.0f} units, {bucket.capacity:.0f} at most'
            return Denied(None, why)
        if not self._has_room(bucket, units):
            return self._denied(bucket, units, now)
        if report_use:
            self._untold[name] = self._untold.get(name, 0.0) + units
        return None

    def can_acquire(self, name: Key, units: float, now: float) -> bool:
        """Return whether `take` may grant units."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return True
        bucket.fill(now)
        wanted = min(units / bucket.share(self._part), bucket.capacity)
        return wanted <= bucket.level

    def available(self, name: Key, now: float) -> tuple[float, float]:
        """Return the units that are left here, and those a second.

        Args:
            name: of one with a quota.
            now: monotonic seconds.
        """
        bucket = self._buckets[name]
        bucket.fill(now)
        share = bucket.share(self._part)
        return bucket.level * share, bucket.quota.rate * share

    def _has_room(self, bucket: _Bucket, units: float) -> bool:
        """Take units from a bucket, if it holds them.

        Where not even a full one would, a request passes with the probability
        that the part of it is which the bucket holds, and empties it: the
        expected units are those that were there.
        """
        wanted = units / bucket.share(self._part)
        if wanted <= bucket.level:
            bucket.level -= wanted
            return True
        if wanted <= bucket.capacity or bucket.level <= 0:
            return False
        passes = self._random.random() * wanted < bucket.level
        bucket.level = 0.0
        return passes

    def _denied(self, bucket: _Bucket, units: float, now: float) -> Denied:
        """Return when there is room, behind all that were told to come."""
        share = bucket.share(self._part)
        rate = bucket.quota.rate * share
        wait = max(0.0, units - bucket.level * share) / rate
        wait = max(wait, bucket.booked_until - now + units / rate)
        if wait > self._bound.window:
            # Not all come back; so far ahead nothing is known.
            wait = self._bound.window * (1 - _SPREAD * self._random.random())
        else:
            bucket.booked_until = now + wait
        why = (
            f'{units:.0f} units, {bucket.level * share:.0f} left,'
            f' {bucket.quota.rate:.0f} a second, part {share:.3f}'
        )
        return Denied(wait, why)

    def refund(
        self,
        name: Key,
        units: float,
        now: float,
        report_use: bool = False,
    ) -> None:
        """Return the units of a request that did not run."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return
        bucket.fill(now)
        bucket.set_level(bucket.level + units / bucket.share(self._part))
        if report_use:
            self._untold[name] = self._untold.get(name, 0.0) - units

    def max_units(self, name: Key) -> float | None:
        """Return the most units of one request; None for no limit."""
        bucket = self._buckets.get(name)
        return None if bucket is None else bucket.capacity

    # What VMs tell each other.

    def must_report(self, name: Key, size: int) -> bool:
        """Return whether what was used here can't wait for the next beat.

        Args:
            name: of the customer.
            size: VMs that may have used as much.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return False
        untold = self._untold.get(name, 0.0)
        return untold * size >= _UNTOLD * bucket.capacity

    def levels(
        self, names: typing.Iterable[Key], now: float
    ) -> dict[Key, float]:
        """Return the levels of some customers."""
        found = {}
        for name in names:
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.fill(now)
                found[name] = bucket.level
        return found

    def take_unreported(self) -> dict[Key, float]:
        """Return what was used here since the last call."""
        untold, self._untold = self._untold, {}
        return untold

    def record_remote_use(
        self, used: typing.Mapping[Key, float], now: float
    ) -> None:
        """Take what another VM has counted; it may lead to a debt.

        An owner that has just begun to hear the others has heard too few of
        them to divide by its part.
        """
        part = max(self._part, _LEAST_TOLD)
        for name, units in used.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.fill(now)
                bucket.set_level(bucket.level - units / bucket.share(part))

    def low_levels(self, now: float) -> dict[Key, float]:
        """Return the levels of customers that are short."""
        levels = {}
        for name, bucket in self._buckets.items():
            bucket.fill(now)
            if bucket.level < _LOW * bucket.capacity:
                levels[name] = bucket.level
        if len(levels) <= _MOST_TOLD:
            return levels
        lowest = sorted(levels, key=lambda name: levels[name])
        return {name: levels[name] for name in lowest[:_MOST_TOLD]}

    def merge_levels(
        self, levels: typing.Mapping[Key, float], now: float
    ) -> None:
        """Take the levels that an owner tells."""
        for name, level in levels.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.fill(now)
                bucket.set_level(min(bucket.level, level))
