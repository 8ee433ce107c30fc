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

"""When an owner counts engines by their speeds."""

import typing

import pytest

from galenahatch import clock
from galenahatch.core import demand as demands
from galenahatch.core import loadreports
from galenahatch.core import routes
from galenahatch.core import upstreams
from galenahatch.gateway import directory as directories
from galenahatch.gateway import owner as owners
from galenahatch import ids
from galenahatch.platform import documents
from galenahatch import tasks

_SERVICE: typing.Final = ids.ServiceName('s')
_ENGINES: typing.Final = [ids.UpstreamId('p0'), ids.UpstreamId('d0')]


@pytest.mark.parametrize(
    ('engine', 'slowdown', 'is_uneven'),
    [
        ('p0', None, False),
        ('p0', 1.0, True),
        ('p0', 3.0, True),
        ('another', 3.0, False),
    ],
)
def test_reports_reach_the_speeds(
    engine: str, slowdown: float | None, is_uneven: bool
) -> None:
    """Engines count by speed once one of the service reports a slowdown."""
    nothing: typing.Any = None
    directory = directories.Directory(nothing, tasks.Tasks(), 2.0)
    loads = loadreports.Loads()
    owner = owners.Owner(directory, nothing, nothing, nothing, nothing, loads)
    configuration = documents.decode_configuration(
        b"""{"version": 1, "routes": [], "services": [
          {"name": "s", "engine": {"slots": 8, "kv_tokens": 50000}}]}"""
    )
    assert isinstance(configuration, routes.Configuration), configuration
    directory.config = configuration
    now = clock.now()
    for name, stage in zip(_ENGINES, upstreams.Stage, strict=True):
        directory.registry.register(
            upstreams.Upstream(
                name, _SERVICE, name, ids.DataCentre('dc'), 8, stage=stage
            ),
            now,
        )
    owner.refresh_engines()
    speeds = owner.dispatchers[_SERVICE].engines.speeds
    assert not speeds.is_uneven, 'no report yet'

    report = loadreports.LoadReport(1, 0, 8, slowdown)
    loads.merge(ids.UpstreamId(engine), report, now)
    owner.refresh_engines()

    assert speeds.is_uneven is is_uneven
    assert speeds.slowdown(_ENGINES[0], now) == (
        slowdown if is_uneven else 1.0
    )


def test_adopted_peak_before_requests() -> None:
    """Figures that are passed on before a request leave the peak adopted."""
    demand = demands.Demand()
    demand.adopt(20.0, 90_000.0)
    assert demand.latest_peak.requests == 20.0
    assert demand.peak(50_000.0).requests == 20.0
    assert not demand.is_known
