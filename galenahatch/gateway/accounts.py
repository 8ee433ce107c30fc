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

"""Accounts for customers' quota usage and exchanges it between gateways.

The owner charges generations when it places them. Plain calls are charged by
the gateway that receives them and reported to the owner with the next
heartbeat; the owner's reply lists the customers whose quota is nearly
exhausted (`core/quotas`).
"""

import collections.abc
import typing

from galenahatch import clock
from galenahatch.core import generations
from galenahatch.core import quotas
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import directory as directories
from galenahatch.gateway import instruments
from galenahatch.gateway import messages
from galenahatch import ids
from galenahatch import logs

_REFRESH_INTERVAL_S: typing.Final = 0.05
"""Lifetime of the cached list of nearly exhausted quotas: an owner answers
hundreds of heartbeats a second."""
_MAX_CUSTOMER_LABELS: typing.Final = 100
"""Number of customers that have a metric label of their own."""
_OTHERS_LABEL: typing.Final = '(others)'
_log = logs.Log('accounts')

UsageListener = collections.abc.Callable[[tuple[messages.QuotaUse, ...]], None]


class Accounts:
    """Quota accounting of this gateway.

    Args:
        directory: Source of the customers and their quotas.
        bound: Limit that all gateways together must respect.

    Attributes:
        on_usage: Called to report usage to the owner without delay.
        gateway_count: Returns the number of gateways.
    """

    def __init__(
        self, directory: directories.Directory, bound: quotas.Bound
    ) -> None:
        self._directory = directory
        self._quotas = quotas.Quotas[ids.CustomerName](bound, clock.RANDOM)
        self._config_version = 0
        self._labels: set[ids.CustomerName] = set()
        self._nearly_exhausted: tuple[messages.QuotaLevel, ...] = ()
        self._refreshed_at = 0.0
        self.on_usage: UsageListener = lambda used: None
        self.gateway_count: collections.abc.Callable[[], int] = lambda: 1
        directory.on_change(self._configure)

    def _configure(self) -> None:
        config = self._directory.config
        if config is None or config.version == self._config_version:
            return
        self._config_version = config.version
        instruments.config_version.set(config.version)
        customers_by_name = (
            config.customers.by_name if config.customers else {}
        )
        self._quotas.configure(customers_by_name, clock.now())

    # Plain calls, charged by this gateway.

    def charge(self, call: calls.Call) -> errors.Failure | None:
        """Charge a plain call; return a failure if it is over quota."""
        if call.customer is None or not call.quota_units:
            return None
        denied = self._quotas.acquire(
            call.customer.name, call.quota_units, clock.now(), report_use=True
        )
        self._record(call.customer.name, call.quota_units, denied)
        if denied is not None:
            return quota_failure(denied.why, denied.retry_after)
        if self._quotas.must_report(call.customer.name, self.gateway_count()):
            self.on_usage(self.take_unreported())
        return None

    def refund(self, call: calls.Call) -> None:
        """Refund the charge of a plain call that was not executed."""
        if call.customer is not None and call.quota_units:
            self._quotas.refund(
                call.customer.name,
                call.quota_units,
                clock.now(),
                report_use=True,
            )

    def check_size(self, call: calls.Call) -> errors.Failure | None:
        """Return a failure if a request exceeds its customer's bucket size."""
        if call.customer is None or not call.quota_units:
            return None
        max_units = self._quotas.max_units(call.customer.name)
        if max_units is None or call.quota_units <= max_units:
            return None
        return quota_failure(
            f'{call.quota_units:.0f} units, {max_units:.0f} at most', None
        )

    # Generations, charged by the owner.

    def grant(
        self, customer: ids.CustomerName, units: float
    ) -> quotas.Denied | None:
        """Charge a generation as the owner; return a denial if over quota."""
        if not units:
            return None
        denied = self._quotas.acquire(customer, units, clock.now())
        self._record(customer, units, denied)
        return denied

    def _record(
        self,
        customer: ids.CustomerName,
        units: float,
        denied: quotas.Denied | None,
    ) -> None:
        """Record a decision under its customer's label, or a shared one."""
        label = self._label(customer)
        if denied is None:
            instruments.customer_units.add(units, label)
            return
        instruments.customer_refused.add(1, label)
        _log.info(
            'Over quota.',
            customer=customer,
            why=denied.why,
            config=self._config_version,
        )

    def _label(self, customer: ids.CustomerName) -> dict[str, str]:
        if len(self._labels) < _MAX_CUSTOMER_LABELS:
            self._labels.add(customer)
        return {
            'customer': customer if customer in self._labels else _OTHERS_LABEL
        }

    def record_service(
        self, job: generations.Job, engine_seconds: float
    ) -> None:
        """Record, as the owner, a generation that was placed.

        Args:
            job: Placed generation.
            engine_seconds: Seconds of engines charged for it.
        """
        if job.customer:
            wait = max(0.0, clock.now() - job.arrived_at)
            label = self._label(job.customer)
            instruments.customer_placed.add(1, label)
            instruments.customer_engine_seconds.add(engine_seconds, label)
            instruments.customer_wait_seconds.add(wait, label)

    def record_no_room(self, customer: ids.CustomerName) -> None:
        """Record, as the owner, a generation refused for want of room."""
        if customer:
            instruments.customer_no_room.add(1, self._label(customer))

    def refund_generation(
        self, customer: ids.CustomerName, units: float
    ) -> None:
        """Refund, as the owner, the units charged for a generation."""
        self._quotas.refund(customer, units, clock.now())

    # Usage and levels exchanged between gateways.

    def set_owned_share(self, share: float) -> None:
        """Set the share of all gateways that this one decides for."""
        self._quotas.set_fraction(share)

    def take_unreported(self) -> tuple[messages.QuotaUse, ...]:
        """Return the usage since the last call, for the next heartbeat."""
        unreported = self._quotas.take_unreported()
        return tuple(messages.QuotaUse(*usage) for usage in unreported.items())

    def add_reported(self, used: tuple[messages.QuotaUse, ...]) -> None:
        """Add the usage that another gateway reported."""
        units = {entry.customer: entry.units for entry in used}
        self._quotas.record_remote_use(units, clock.now())

    def remaining(
        self, used: tuple[messages.QuotaUse, ...]
    ) -> tuple[messages.QuotaLevel, ...]:
        """Return the remaining units of the customers in a usage report."""
        names = [entry.customer for entry in used]
        levels = self._quotas.levels(names, clock.now())
        return tuple(messages.QuotaLevel(*level) for level in levels.items())

    def nearly_exhausted(self) -> tuple[messages.QuotaLevel, ...]:
        """Return the customers with little quota left, for replies."""
        now = clock.now()
        if now - self._refreshed_at > _REFRESH_INTERVAL_S:
            self._refreshed_at = now
            levels = self._quotas.low_levels(now)
            self._nearly_exhausted = tuple(
                messages.QuotaLevel(*level) for level in levels.items()
            )
        return self._nearly_exhausted

    def apply_remaining(
        self, reported: tuple[messages.QuotaLevel, ...]
    ) -> None:
        """Apply the remaining units that an owner reported."""
        levels = {level.customer: level.units for level in reported}
        self._quotas.merge_levels(levels, clock.now())


def quota_failure(why: str, retry_after: float | None) -> errors.Failure:
    """Return the failure for a caller whose customer is over quota."""
    if retry_after is None:
        return errors.Failure(errors.ABOVE_QUOTA, why)
    return errors.Failure(errors.OVER_QUOTA, why, retry_after)
