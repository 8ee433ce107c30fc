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

"""What sends to plain upstreams came to, told between gateways.

Each gateway tells the owner with its beats what its own sends came to; the
owner adds all up and answers with the sums (`core/outliers`). Whoever may
become the owner hears the same beats, so its sums are complete when it does.
"""

import heapq
import typing

from galenahatch import clock
from galenahatch.core import outliers
from galenahatch.gateway import messages
from galenahatch import ids

_MOST_TOLD: typing.Final = 64
"""Upstreams in one message, some 25 bytes each; those that failed most come
first, and few fail at a time."""


class OutcomeExchange:
    """This gateway's part of it.

    Args:
        known: what this gateway knows of failures.
    """

    def __init__(self, known: outliers.Outliers) -> None:
        self._known = known
        self._totals = outliers.Tally()

    def take_unreported(self) -> tuple[messages.Outcomes, ...]:
        """Return what came since the last call, for the next beat."""
        new = self._known.take_unreported()
        self._add(new)
        return _told(new)

    def add_reported(self, told: tuple[messages.Outcomes, ...]) -> None:
        """Add what another gateway told."""
        self._add(_heard(told))

    def totals(self) -> tuple[messages.Outcomes, ...]:
        """Return the sums over all gateways that tell this one."""
        return _told(self._totals.failing(clock.now()))

    def apply_own_totals(self) -> None:
        """Use this gateway's own sums: it is the owner."""
        now = clock.now()
        self._known.set_totals(self._totals.failing(now), now)

    def apply_owner_totals(self, told: tuple[messages.Outcomes, ...]) -> None:
        """Use the sums of the owner."""
        self._known.set_totals(_heard(told), clock.now())

    def prune(self, known: typing.Container[ids.UpstreamId]) -> None:
        """Drop upstreams that are gone."""
        self._totals.prune(known)

    def _add(self, counts: outliers.Counts) -> None:
        now = clock.now()
        for upstream, count in counts.items():
            self._totals.add(upstream, count, now)


def _told(counts: outliers.Counts) -> tuple[messages.Outcomes, ...]:
    worst = heapq.nlargest(
        _MOST_TOLD, counts.items(), key=lambda item: item[1].failures
    )
    return tuple(
        messages.Outcomes(upstream, count.sends, count.failures)
        for upstream, count in worst
    )


def _heard(told: tuple[messages.Outcomes, ...]) -> outliers.Counts:
    return {
        one.upstream: outliers.Count(one.sends, one.failures) for one in told
    }
