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

"""What an owner tells its successor about a service.

The figures are those of `core/figures`, with the peak of recent demand and how
the speeds of engines are distributed. Speeds of single engines are not handed
on: there may be many of them, and a new owner learns each from its first
results.
"""

from galenahatch.core import demand as demands
from galenahatch.core import figures
from galenahatch.core import pool


def measured_figures(
    estimator: figures.Estimator,
    engines: pool.Pool,
    demand: demands.Demand,
) -> figures.Figures:
    """Return the measurements so far.

    Args:
        estimator: Measurements of the service's requests.
        engines: Engines of the service.
        demand: Recent demand for it.
    """
    estimator.record_pace(engines.mean_pace(estimator.figures.pace))
    speeds = engines.speeds
    if not speeds.is_uneven:
        return estimator.figures
    peak = demand.latest_peak
    return estimator.figures._replace(
        is_uneven=True,
        peak_requests=peak.requests,
        peak_tokens=peak.tokens,
        mean_speed=speeds.mean_speed(engines.prefills),
        slowdown=speeds.mean_slowdown,
    )


def adopt(
    reported: figures.Figures,
    estimator: figures.Estimator,
    engines: pool.Pool,
    demand: demands.Demand,
) -> None:
    """Adopt another owner's measurements if they cover more requests.

    Args:
        reported: Measurements of the other owner.
        estimator: Measurements of the service's requests.
        engines: Engines of the service.
        demand: Recent demand for it.
    """
    if not estimator.adopt(reported):
        return
    for engine in engines.decodes.values():
        if not engine.memory.runs:
            engine.memory.pace = reported.pace
    if reported.is_uneven:
        engines.speeds.adopt(reported.mean_speed, reported.slowdown)
        demand.adopt(reported.peak_requests, reported.peak_tokens)
