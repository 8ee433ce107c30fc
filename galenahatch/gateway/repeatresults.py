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

"""Exchanges the results of repeated plain calls between gateways.

Each gateway reports its results to the owner with its heartbeats. The owner
replies with the totals of the kinds that a heartbeat names, so gateways
without failures cause no traffic. Candidates for the next owner receive the
same heartbeats.
"""

import math
import typing

from galenahatch import clock
from galenahatch.core import retryvalue
from galenahatch.gateway import records

_MAX_REPORTED_KINDS: typing.Final = 2
"""Kinds in one heartbeat and its reply, about 35 bytes each; the owner takes
at most 160 heartbeats a second. Others follow with the next."""
_UNITS: typing.Final = 100
"""Hundredths in which counts are told."""
_MS: typing.Final = 1000
_MAX_COUNT: typing.Final = 1_000_000
"""Counts beyond it are ignored as absurd: more than a minute's calls."""


class RepeatExchange:
    """Exchanges the results of repeats with the owner.

    Args:
        value: Results as known to this gateway.
    """

    def __init__(self, value: retryvalue.RetryValue) -> None:
        self._value = value

    def take_unreported(self) -> tuple[records.Repeats, ...]:
        """Return the results since the last call, for the next heartbeat."""
        return tuple(
            _to_record(kind, results)
            for kind, results in self._value.take_unreported(
                _MAX_REPORTED_KINDS
            ).items()
        )

    def add_reported(
        self, reported: tuple[records.Repeats, ...]
    ) -> tuple[records.Repeats, ...]:
        """Add results of another gateway; return the totals of these kinds."""
        now = clock.now()
        totals = []
        for record in reported[:_MAX_REPORTED_KINDS]:
            kind = _kind_of(record)
            if kind is not None:
                self._value.add_reported(kind, _results_of(record), now)
                total = self._value.total(kind, now)
                totals.append(_to_record(kind, total))
        return tuple(totals)

    def apply_totals(self, totals: tuple[records.Repeats, ...]) -> None:
        """Use the totals of the owner."""
        now = clock.now()
        for record in totals[:_MAX_REPORTED_KINDS]:
            kind = _kind_of(record)
            if kind is not None:
                self._value.set_total(kind, _results_of(record), now)


def _to_record(
    kind: retryvalue.Kind, results: retryvalue.Results
) -> records.Repeats:
    return records.Repeats(
        kind.service,
        kind.route,
        kind.reason.value,
        round(results.successes * _UNITS),
        round(results.failures * _UNITS),
        round(results.age * _MS) if math.isfinite(results.age) else -1,
    )


def _kind_of(record: records.Repeats) -> retryvalue.Kind | None:
    """Return the kind; None for absurd counts or a newer build's reason."""
    try:
        reason = retryvalue.Reason(record.reason)
    except ValueError:
        return None
    counts = (record.successes, record.failures)
    if not all(0 <= count <= _MAX_COUNT * _UNITS for count in counts):
        return None
    return retryvalue.Kind(record.service, record.route, reason)


def _results_of(record: records.Repeats) -> retryvalue.Results:
    return retryvalue.Results(
        record.successes / _UNITS,
        record.failures / _UNITS,
        record.age_ms / _MS if record.age_ms >= 0 else math.inf,
    )
