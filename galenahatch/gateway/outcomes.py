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

"""Exchanges the outcomes of sends to plain upstreams between gateways.

Each gateway reports the outcomes of its own sends to the owner with its
heartbeats; the owner adds them up and replies with the totals
(`core/outliers`). Candidates for the next owner receive the same heartbeats,
so their totals are complete when they take over.
"""

import heapq
import typing

from galenahatch import clock
from galenahatch.core import outliers
from galenahatch.gateway import messages
from galenahatch import ids

_MAX_REPORTED_UPSTREAMS: typing.Final = 64
"""Upstreams per message, about 25 bytes each; those with the most failures
come first, and few fail at a time."""


class OutcomeExchange:
    """Outcomes known to this gateway.

    Args:
        outlier_detector: Detector that supplies and receives outcomes.
    """

    def __init__(self, outlier_detector: outliers.Outliers) -> None:
        self._outliers = outlier_detector
        self._totals = outliers.Tally()

    def take_unreported(self) -> tuple[messages.Outcomes, ...]:
        """Return the outcomes since the last call, for the next heartbeat."""
        unreported = self._outliers.take_unreported()
        self._add(unreported)
        return _to_message(unreported)

    def add_reported(self, reported: tuple[messages.Outcomes, ...]) -> None:
        """Add the outcomes that another gateway reported."""
        self._add(_from_message(reported))

    def totals(self) -> tuple[messages.Outcomes, ...]:
        """Return the totals of all gateways that report to this one."""
        return _to_message(self._totals.failing(clock.now()))

    def apply_own_totals(self) -> None:
        """Use the totals of this gateway, as the owner."""
        now = clock.now()
        self._outliers.set_totals(self._totals.failing(now), now)

    def apply_owner_totals(
        self, reported: tuple[messages.Outcomes, ...]
    ) -> None:
        """Use the totals reported by the owner."""
        self._outliers.set_totals(_from_message(reported), clock.now())

    def prune(self, known: typing.Container[ids.UpstreamId]) -> None:
        """Drop upstreams that are not known any more."""
        self._totals.prune(known)

    def _add(self, counts: outliers.Counts) -> None:
        now = clock.now()
        for upstream, count in counts.items():
            self._totals.add(upstream, count, now)


def _to_message(counts: outliers.Counts) -> tuple[messages.Outcomes, ...]:
    worst = heapq.nlargest(
        _MAX_REPORTED_UPSTREAMS,
        counts.items(),
        key=lambda item: item[1].failures,
    )
    return tuple(
        messages.Outcomes(upstream, count.sends, count.failures)
        for upstream, count in worst
    )


def _from_message(reported: tuple[messages.Outcomes, ...]) -> outliers.Counts:
    return {
        entry.upstream: outliers.Count(entry.sends, entry.failures)
        for entry in reported
    }
