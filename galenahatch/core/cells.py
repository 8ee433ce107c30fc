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

"""Division of engines into cells.

A cell is the unit of scheduling of one owner: the engines of one service in
one region. Large sets of engines are sharded to bound the cost of a decision.
The first block of a prompt selects the shard, so that prompts with a common
prefix use the same caches.
"""

import collections.abc
import dataclasses
import typing

import xxhash

from galenahatch import ids
from galenahatch import schema

ENGINES_PER_SHARD: typing.Final = 32


@dataclasses.dataclass(frozen=True)
class CellConfig:
    """Configuration of one cell.

    Attributes:
        cell: Cell ID.
        service: Service that the engines run.
        engines: Engines from all sites of the region.
        allowed_by_site: Engines that each site's overlay allows.
    """

    cell: ids.CellId
    service: schema.ModelService
    engines: tuple[schema.Engine, ...]
    allowed_by_site: dict[ids.SiteName, frozenset[ids.EngineName]]


def cell_configs(
    sites: collections.abc.Mapping[str, schema.Config],
    region: ids.RegionName,
) -> dict[ids.CellId, CellConfig]:
    """Return the configurations of a region's cells."""
    region_sites = _sites_within(sites, region)
    services = {s.name: s for c in region_sites.values() for s in c.services}
    allowed = {
        ids.SiteName(site): frozenset(e.name for e in settings.engines)
        for site, settings in region_sites.items()
    }
    engines = _engines_by_service(region_sites, region)
    configs: dict[ids.CellId, CellConfig] = {}
    for service in services.values():
        service_engines = engines.get(service.name, ())
        shards = shard_count(service_engines)
        for shard in range(shards):
            cell = cell_id(service.name, region, shard)
            shard_engines = tuple(
                e
                for e in service_engines
                if _shard_of(e.name, shards) == shard
            )
            configs[cell] = CellConfig(cell, service, shard_engines, allowed)
    return configs


def shard_count(engines: collections.abc.Collection[schema.Engine]) -> int:
    """Return the number of shards for a set of engines."""
    prefills = sum(engine.role == 'prefill' for engine in engines)
    larger_pool = max(prefills, len(engines) - prefills, 1)
    return -(-larger_pool // ENGINES_PER_SHARD)


def cell_id(
    service: ids.ServiceName, region: ids.RegionName, shard: int
) -> ids.CellId:
    """Return the ID of a cell."""
    return ids.CellId(f'{service}/{region}/{shard}')


def cell_of_request(
    cells: collections.abc.Collection[ids.CellId],
    service: ids.ServiceName,
    region: ids.RegionName,
    blocks: tuple[int, ...],
    request: ids.RequestId,
) -> ids.CellId | None:
    """Return the cell of a request, or None if its service has no cell."""
    prefix = f'{service}/{region}/'
    count = sum(cell.startswith(prefix) for cell in cells)
    if not count:
        return None
    key = str(blocks[0]) if blocks else request
    return cell_id(service, region, _shard_of(key, count))


def _shard_of(key: str, count: int) -> int:
    digest: int = xxhash.xxh3_64_intdigest(key.encode())
    return digest % count


def _sites_within(
    sites: collections.abc.Mapping[str, schema.Config],
    region: ids.RegionName,
) -> dict[str, schema.Config]:
    return {
        name: settings
        for name, settings in sorted(sites.items())
        if any(s.name == name and s.region == region for s in settings.sites)
    }


def _engines_by_service(
    sites: collections.abc.Mapping[str, schema.Config],
    region: ids.RegionName,
) -> dict[ids.ServiceName, tuple[schema.Engine, ...]]:
    """Return the engines in the data centres of a region, by service."""
    by_name: dict[ids.EngineName, schema.Engine] = {}
    for settings in sites.values():
        for engine in settings.engines:
            site = settings.site_of_data_centre(engine.data_centre)
            if site is not None and site.region == region:
                by_name.setdefault(engine.name, engine)
    by_service: dict[ids.ServiceName, list[schema.Engine]] = {}
    for name in sorted(by_name):
        engine = by_name[name]
        by_service.setdefault(engine.service, []).append(engine)
    return {name: tuple(engines) for name, engines in by_service.items()}
