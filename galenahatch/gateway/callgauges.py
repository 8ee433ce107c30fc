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

"""Gauges of the owner's admission control, with a bounded number of labels."""

import collections
import collections.abc
import functools
import typing

from galenahatch.core import calladmission
from galenahatch.core import sendwindow
from galenahatch.gateway import instruments
from galenahatch import ids

_MAX_LABELS: typing.Final = 100
"""Number of upstreams and of customers that have a metric label."""
_OTHERS_LABEL: typing.Final = '(others)'


class Source(typing.Protocol):
    """State of the owner's admission control."""

    @property
    def contended(self) -> collections.abc.Set[ids.ServiceName]:
        """Services whose calls need a grant."""
        ...

    def snapshots(self) -> dict[ids.ServiceName, calladmission.Snapshot]:
        """Return the state of each service's admission."""
        ...


def register(source: Source) -> None:
    """Register the gauges of an owner."""
    for name, callback in (
        (instruments.CALL_IN_FLIGHT, _in_flight),
        (instruments.CALL_WINDOW, _windows),
        (instruments.CALLS_QUEUED, _queued),
        (instruments.CALL_RATE, _rates),
        (instruments.CUSTOMER_CALLS_QUEUED, _customers_queued),
        (instruments.SERVICE_CONTENDED, _contended),
    ):
        instruments.register_gauge(name, functools.partial(callback, source))


def _upstream_states(
    source: Source,
) -> list[tuple[ids.UpstreamId, sendwindow.WindowState]]:
    states = [
        item
        for snapshot in source.snapshots().values()
        for item in snapshot.upstreams.items()
    ]
    return states[:_MAX_LABELS]


def _in_flight(source: Source) -> dict[str, float]:
    return {key: state.granted for key, state in _upstream_states(source)}


def _windows(source: Source) -> dict[str, float]:
    return {key: state.window for key, state in _upstream_states(source)}


def _queued(source: Source) -> dict[str, float]:
    return {
        service: sum(snapshot.waiting.values())
        for service, snapshot in source.snapshots().items()
    }


def _customers_queued(source: Source) -> dict[str, float]:
    """Return the customers with the most queued calls, and the rest."""
    counts: collections.Counter[str] = collections.Counter()
    for snapshot in source.snapshots().values():
        for customer, state in snapshot.customers.items():
            counts[customer] += state.waiting
    shown: dict[str, float] = dict(counts.most_common(_MAX_LABELS))
    others = counts.total() - sum(shown.values())
    return {**shown, _OTHERS_LABEL: others} if others else shown


def _rates(source: Source) -> dict[str, float]:
    return {
        service: snapshot.rate
        for service, snapshot in source.snapshots().items()
    }


def _contended(source: Source) -> dict[str, float]:
    return {
        service: float(service in source.contended)
        for service in source.snapshots()
    }
