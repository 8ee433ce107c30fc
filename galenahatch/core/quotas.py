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

"""Quotas enforced over all VMs by distributed token buckets.

Used for the quotas of customers and for the rate limits that upstreams state
(`core/ratelimits`). What is said of customers below holds for both.

The bound applies to a sliding window: what runs for a customer stays below
(rate x window + burst) x (1 + overshoot) + slack, over all VMs. What is
refused below the limit is lost to the customer, so the allowance beyond the
limit is spent on what can't be known exactly:

- Generations ask the owner for engines anyway, and it alone counts them. Its
  buckets hold somewhat more than the burst (`_BUCKET_MARGIN`), since requests
  reach it in another order than they were sent in.
- Plain requests are counted where they arrive, against the levels that the
  owner last reported, and reported to it with the next heartbeat; at once
  where all VMs together might have used half a bucket since (`must_report`).
- A new owner continues from the levels that the last one reported. After the
  loss of all VMs the levels are unknown; buckets then start partly filled
  (`_INITIAL_LEVEL`).
- VMs that can't reach each other have owners of their own. Each uses the
  fraction of the quota that its reachable VMs are of all, and a little more
  (`_PARTITION_MARGIN`), as some of the silent VMs are down and not
  partitioned. Where that fraction holds less than one request, it is rounded
  at random to none or one (randomized rounding), so that over all VMs the
  fractions are used up and not exceeded: with a fixed fraction for each, no
  long request would ever pass.

A level is that of the whole quota: a VM that decides for a tenth of all takes
ten times the units of each request from it. So its own usage is an estimate of
the usage of all VMs, once it decides for more of them.

Levels are reported and merged by their minimum, so messages of two owners may
arrive in any order, late or twice. Times are monotonic seconds.
"""

import dataclasses
import random
import typing

from galenahatch.core import customers

_BUCKET_MARGIN: typing.Final = 0.3
"""Fraction of the allowance that a bucket holds beyond the burst."""
_INITIAL_LEVEL: typing.Final = 0.3
"""Initial level of a bucket whose level is unknown, as a fraction of the
allowance: all VMs may be lost twice in one window."""
_PARTITION_MARGIN: typing.Final = 0.25
"""Fraction of the allowance for VMs that can't reach each other."""
_RETRY_SPREAD: typing.Final = 0.5
"""Fraction of a window over which retries are spread that find no room in it.
"""
_MIN_REMOTE_FRACTION: typing.Final = 0.25
"""Least fraction of all VMs assumed when plain requests are reported."""
_MAX_UNREPORTED: typing.Final = 0.5
"""Fraction of a bucket that all VMs may have used without a report."""
_LOW_LEVEL: typing.Final = 0.5
"""Fraction of a bucket below which its level is reported."""
_MAX_LEVELS: typing.Final = 32
"""Levels in one message, about 20 bytes each, the lowest first."""

Key = typing.TypeVar('Key', bound=str)


@dataclasses.dataclass(frozen=True)
class Bound:
    """Limit that all VMs together must keep.

    Attributes:
        window: Length of the window in seconds.
        overshoot: Fraction of the limit by which it may be exceeded.
        slack: Units by which it may be exceeded in addition.
    """

    window: float = 10.0
    overshoot: float = 0.1
    slack: float = 0.0

    def allowance(self, quota: customers.Quota) -> float:
        """Return the units beyond a quota that a window may hold."""
        limit = quota.rate * self.window + quota.burst
        return self.overshoot * limit + self.slack

    def partition_boost(self, quota: customers.Quota) -> float:
        """Return the factor by which partitioned VMs exceed their share."""
        limit = quota.rate * self.window + quota.burst
        return 1 + _PARTITION_MARGIN * self.allowance(quota) / limit


@dataclasses.dataclass(frozen=True)
class Denied:
    """Reason why a request exceeds a quota.

    Attributes:
        retry_after: Seconds after which there is room for it; None if there
            never is.
        why: Inputs of the decision.
    """

    retry_after: float | None
    why: str


class _Bucket:
    """Token bucket of one customer."""

    def __init__(self, quota: customers.Quota, bound: Bound) -> None:
        self.set_quota(quota, bound)
        self.level = self.capacity
        self.refilled_at = 0.0
        # Time at which there is room for all scheduled retries.
        self.booked_until = 0.0

    def set_quota(self, quota: customers.Quota, bound: Bound) -> None:
        self.quota = quota
        self.capacity = quota.burst + _BUCKET_MARGIN * bound.allowance(quota)
        self.boost = bound.partition_boost(quota)

    def set_level(self, level: float) -> None:
        self.level = min(self.capacity, level)

    def refill(self, now: float) -> None:
        """Add the units accrued since the last call."""
        added = self.quota.rate * max(0.0, now - self.refilled_at)
        self.refilled_at = max(self.refilled_at, now)
        self.set_level(self.level + added)

    def share(self, fraction: float) -> float:
        """Return the fraction of the quota for a fraction of all VMs."""
        return min(1.0, fraction * self.boost)


class Quotas(typing.Generic[Key]):
    """The buckets of all customers, as known to one VM.

    Args:
        bound: Limit that all VMs together must keep.
        random_source: Random source that rounds fractions of requests.
    """

    def __init__(self, bound: Bound, random_source: random.Random) -> None:
        self._bound = bound
        self._random = random_source
        self._buckets: dict[Key, _Bucket] = {}
        self._unreported: dict[Key, float] = {}
        self._fraction = 1.0
        self._is_new = True

    def configure(
        self,
        configured: typing.Mapping[Key, customers.Customer],
        now: float,
    ) -> None:
        """Set the customers of a configuration.

        A customer that is new in it starts with its burst; an increase of the
        burst is available at once.
        """
        limited = {
            name: customer.quota
            for name, customer in configured.items()
            if customer.quota is not None
        }
        for name in self._buckets.keys() - limited.keys():
            self.remove(name)
        for name, quota in limited.items():
            self.set_quota(name, quota, now)
        self._is_new = False

    def remove(self, name: Key) -> None:
        """Remove a quota, so that nothing is limited."""
        self._buckets.pop(name, None)
        self._unreported.pop(name, None)

    def set_quota(self, name: Key, quota: customers.Quota, now: float) -> None:
        """Set a quota that is new or has changed."""
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = _Bucket(quota, self._bound)
            bucket.refilled_at = now
            if self._is_new:
                bucket.set_level(_INITIAL_LEVEL * self._bound.allowance(quota))
            return
        if bucket.quota == quota:
            return
        bucket.refill(now)
        raised = quota.burst - bucket.quota.burst
        bucket.set_quota(quota, self._bound)
        bucket.set_level(bucket.level + max(0.0, raised))
        bucket.booked_until = now

    def set_fraction(self, fraction: float) -> None:
        """Set the fraction of all VMs that this one decides for."""
        self._fraction = fraction

    def acquire(
        self,
        name: Key,
        units: float,
        now: float,
        report_use: bool = False,
    ) -> Denied | None:
        """Take the units of a request; return why it may not run.

        Args:
            name: Name of the customer.
            units: Units of the request.
            now: Monotonic time in seconds.
            report_use: Whether to report the use with the next heartbeat.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return None
        bucket.refill(now)
        if units > bucket.capacity:
            why = f'{units:.0f} units, {bucket.capacity:.0f} at most'
            return Denied(None, why)
        if not self._try_spend(bucket, units):
            return self._denied(bucket, units, now)
        if report_use:
            self._unreported[name] = self._unreported.get(name, 0.0) + units
        return None

    def can_acquire(self, name: Key, units: float, now: float) -> bool:
        """Return whether `acquire` may grant units."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return True
        bucket.refill(now)
        wanted = min(units / bucket.share(self._fraction), bucket.capacity)
        return wanted <= bucket.level

    def available(self, name: Key, now: float) -> tuple[float, float]:
        """Return the units available here, and those accrued a second.

        Args:
            name: Name of a customer with a quota.
            now: Monotonic time in seconds.
        """
        bucket = self._buckets[name]
        bucket.refill(now)
        share = bucket.share(self._fraction)
        return bucket.level * share, bucket.quota.rate * share

    def _try_spend(self, bucket: _Bucket, units: float) -> bool:
        """Take units from a bucket, if it holds them.

        If even a full bucket would not, the request passes with a probability
        equal to the fraction of it that the bucket holds, and empties the
        bucket: the expected units are those available.
        """
        wanted = units / bucket.share(self._fraction)
        if wanted <= bucket.level:
            bucket.level -= wanted
            return True
        if wanted <= bucket.capacity or bucket.level <= 0:
            return False
        passes = self._random.random() * wanted < bucket.level
        bucket.level = 0.0
        return passes

    def _denied(self, bucket: _Bucket, units: float, now: float) -> Denied:
        """Return when there is room, after all scheduled retries."""
        share = bucket.share(self._fraction)
        rate = bucket.quota.rate * share
        wait = max(0.0, units - bucket.level * share) / rate
        wait = max(wait, bucket.booked_until - now + units / rate)
        if wait > self._bound.window:
            # Not all retries arrive, so the schedule ends with the window.
            wait = self._bound.window * (
                1 - _RETRY_SPREAD * self._random.random()
            )
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
        bucket.refill(now)
        bucket.set_level(bucket.level + units / bucket.share(self._fraction))
        if report_use:
            self._unreported[name] = self._unreported.get(name, 0.0) - units

    def max_units(self, name: Key) -> float | None:
        """Return the largest units of one request; None for no limit."""
        bucket = self._buckets.get(name)
        return None if bucket is None else bucket.capacity

    # Reports between VMs.

    def must_report(self, name: Key, size: int) -> bool:
        """Return whether the use here can't wait for the next heartbeat.

        Args:
            name: Name of the customer.
            size: Number of VMs that may have used as much.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return False
        unreported = self._unreported.get(name, 0.0)
        return unreported * size >= _MAX_UNREPORTED * bucket.capacity

    def levels(
        self, names: typing.Iterable[Key], now: float
    ) -> dict[Key, float]:
        """Return the levels of some customers."""
        levels = {}
        for name in names:
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.refill(now)
                levels[name] = bucket.level
        return levels

    def take_unreported(self) -> dict[Key, float]:
        """Return the use here since the last call."""
        unreported, self._unreported = self._unreported, {}
        return unreported

    def record_remote_use(
        self, used: typing.Mapping[Key, float], now: float
    ) -> None:
        """Deduct what another VM has used; the level may become negative.

        An owner that has just started to receive reports has too few of them
        to divide by its fraction.
        """
        fraction = max(self._fraction, _MIN_REMOTE_FRACTION)
        for name, units in used.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.refill(now)
                bucket.set_level(bucket.level - units / bucket.share(fraction))

    def low_levels(self, now: float) -> dict[Key, float]:
        """Return the levels of customers that are short of units."""
        levels = {}
        for name, bucket in self._buckets.items():
            bucket.refill(now)
            if bucket.level < _LOW_LEVEL * bucket.capacity:
                levels[name] = bucket.level
        if len(levels) <= _MAX_LEVELS:
            return levels
        lowest = sorted(levels, key=lambda name: levels[name])
        return {name: levels[name] for name in lowest[:_MAX_LEVELS]}

    def merge_levels(
        self, levels: typing.Mapping[Key, float], now: float
    ) -> None:
        """Merge the levels that an owner reports."""
        for name, level in levels.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.refill(now)
                bucket.set_level(min(bucket.level, level))
