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

"""Figures that owners hand over to each other in heartbeats."""

import collections.abc

import msgspec

from galenahatch.core import dispatch
from galenahatch.core import figures
from galenahatch.gateway import records
from galenahatch import ids


def encode(
    dispatchers: collections.abc.Mapping[ids.ServiceName, dispatch.Dispatcher],
) -> tuple[records.Figures, ...]:
    """Return the measured figures of each service."""
    return tuple(
        records.Figures(service, *dispatcher.measured_figures)
        for service, dispatcher in dispatchers.items()
    )


def decode(reported: records.Figures) -> figures.Figures:
    """Return the figures of a service that another owner has measured."""
    measured = figures.Figures(*msgspec.structs.astuple(reported)[1:])
    slack = measured.slack or figures.INITIAL_SLACK_S
    return measured._replace(slack=slack)
