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

"""What customers use of their quotas, and what gateways tell of it.

The owner counts generations, which ask it for engines. Plain calls are
counted by the gateway that takes them; the owner hears of them with the next
beat, and tells with its answer which customers are short (`core/quotas`).
"""

import collections.abc
import typing

from galenahatch import clock
from galenahatch.core import quotas
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import directory as directories
from galenahatch.gateway import instruments
from galenahatch.gateway import messages
from galenahatch import ids
from galenahatch import logs

_LOOK_EVERY: typing.Final = 0.05
"""Seconds for which told levels are not looked up again: an owner answers
hundreds of beats a second."""
_MOST_LABELS: typing.Final = 100
"""Customers that are counted each by itself."""
_REST: typing.Final = '(others)'
_log = logs.Log('accounts')

UsageListener = collections.abc.Callable[[tuple[messages.QuotaUse, ...]], None]


class Accounts:
    """This gateway's part of it.

    Args:
        directory: customers and their quotas.
        bound: that all gateways together keep.

    Attributes:
        announce: tells the owner at once what was used here.
        size: returns how many gateways there are.
    """

    def __init__(
        self, directory: directories.Directory, bound: quotas.Bound
    ) -> None:
        self._directory = directory
        self._quotas = quotas.Quotas[ids.CustomerName](bound, clock.RANDOM)
        self._version = 0
        self._labels: set[ids.CustomerName] = set()
        self._low: tuple[messages.QuotaLevel, ...] = ()
        self._looked_at = 0.0
        self.on_usage: UsageListener = lambda used: None
        self.gateway_count: collections.abc.Callable[[], int] = lambda: 1
        directory.on_change(self._configure)

    def _configure(self) -> None:
        config = self._directory.config
        if config is None or config.version == self._version:
            return
        self._version = config.version
        instruments.config_version.set(config.version)
        known = config.customers.by_name if config.customers else {}
        self._quotas.configure(known, clock.now())

    # Plain calls, counted here.

    def charge(self, call: calls.Call) -> errors.Failure | None:
        """Count a plain call; return why it may not run."""
        if call.customer is None or not call.quota_units:
            return None
        denied = self._quotas.acquire(
            call.customer.name, call.quota_units, clock.now(), report_use=True
        )
        self._note(call.customer.name, call.quota_units, denied)
        if denied is not None:
            return quota_failure(denied.why, denied.retry_after)
        if self._quotas.must_report(call.customer.name, self.gateway_count()):
            self.on_usage(self.take_unreported())
        return None

    def refund(self, call: calls.Call) -> None:
        """Take back the charge of a plain call that did not run."""
        if call.customer is not None and call.quota_units:
            self._quotas.refund(
                call.customer.name,
                call.quota_units,
                clock.now(),
                report_use=True,
            )

    def check_size(self, call: calls.Call) -> errors.Failure | None:
        """Return why a request can never run, if it is too large."""
        if call.customer is None or not call.quota_units:
            return None
        most = self._quotas.max_units(call.customer.name)
        if most is None or call.quota_units <= most:
            return None
        return quota_failure(
            f'{call.quota_units:.0f} units, {most:.0f} at most', None
        )

    # Generations, counted by the owner.

    def grant(
        self, customer: ids.CustomerName, units: float
    ) -> quotas.Denied | None:
        """Count a generation as the owner; return why it may not run."""
        if not units:
            return None
        denied = self._quotas.acquire(customer, units, clock.now())
        self._note(customer, units, denied)
        return denied

    def _note(
        self,
        customer: ids.CustomerName,
        units: float,
        denied: quotas.Denied | None,
    ) -> None:
        """Count a decision under its customer, or with those beyond many."""
        if len(self._labels) < _MOST_LABELS:
            self._labels.add(customer)
        label = {'customer': customer if customer in self._labels else _REST}
        if denied is None:
            instruments.customer_units.add(units, label)
            return
        instruments.customer_refused.add(1, label)
        _log.info(
            'Over quota.',
            customer=customer,
            why=denied.why,
            config=self._version,
        )

    def refund_generation(
        self, customer: ids.CustomerName, units: float
    ) -> None:
        """Take back, as the owner, what a generation was granted."""
        self._quotas.refund(customer, units, clock.now())

    # What gateways tell each other.

    def set_owned_share(self, part: float) -> None:
        """Note for which part of all gateways this one decides."""
        self._quotas.set_fraction(part)

    def take_unreported(self) -> tuple[messages.QuotaUse, ...]:
        """Return what was used here since the last call, for a beat."""
        untold = self._quotas.take_unreported()
        return tuple(messages.QuotaUse(*item) for item in untold.items())

    def add_reported(self, used: tuple[messages.QuotaUse, ...]) -> None:
        """Count what another gateway tells with its beat."""
        units = {one.customer: one.units for one in used}
        self._quotas.record_remote_use(units, clock.now())

    def remaining(
        self, used: tuple[messages.QuotaUse, ...]
    ) -> tuple[messages.QuotaLevel, ...]:
        """Return what is left to the customers of another gateway's calls."""
        names = [one.customer for one in used]
        levels = self._quotas.levels(names, clock.now())
        return tuple(messages.QuotaLevel(*item) for item in levels.items())

    def nearly_exhausted(self) -> tuple[messages.QuotaLevel, ...]:
        """Return the customers that are short, for the answer to a beat."""
        now = clock.now()
        if now - self._looked_at > _LOOK_EVERY:
            self._looked_at = now
            levels = self._quotas.low_levels(now)
            self._low = tuple(
                messages.QuotaLevel(*it) for it in levels.items()
            )
        return self._low

    def apply_remaining(self, low: tuple[messages.QuotaLevel, ...]) -> None:
        """Take what an owner tells."""
        levels = {one.customer: one.units for one in low}
        self._quotas.merge_levels(levels, clock.now())


def quota_failure(why: str, retry_after: float | None) -> errors.Failure:
    """Return what a caller is told whose customer has used its quota."""
    if retry_after is None:
        return errors.Failure(errors.ABOVE_QUOTA, why)
    return errors.Failure(errors.OVER_QUOTA, why, retry_after)
