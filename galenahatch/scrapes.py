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

"""Scrapes the metrics of gateways for the operators' commands."""

import asyncio
import re
import typing

import aiohttp

from galenahatch.gateway import instruments
from galenahatch.gateway import node
from galenahatch.gateway import roster
from galenahatch.platform import store as stores

_SCRAPE_TIMEOUT_S: typing.Final = 1.0
"""Timeout for the scrape of one gateway, which takes a few ms."""
_SAMPLE_PATTERN: typing.Final = re.compile(
    r'(?P<name>\w+)(?:\{(?P<labels>[^}]*)\})? (?P<value>\S+)'
)
_SUBJECT_LABEL_PATTERN: typing.Final = re.compile(
    r'(?:customer|upstream)="([^"]*)"'
)

Samples = dict[tuple[str, str], float]
"""Values by metric name and customer or upstream, which is empty for metrics
without such a label."""


def parse(text: str) -> Samples:
    """Parse a scrape and sum the samples over all other labels."""
    samples: Samples = {}
    for line in text.splitlines():
        match = _SAMPLE_PATTERN.fullmatch(line)
        if match is None:
            continue
        subject = _SUBJECT_LABEL_PATTERN.search(match['labels'] or '')
        key = (match['name'], subject.group(1) if subject else '')
        samples[key] = samples.get(key, 0.0) + float(match['value'])
    return samples


async def scrape(
    client: aiohttp.ClientSession, address: str
) -> Samples | None:
    """Return the samples of a gateway, or None if it does not answer."""
    url = f'http://{address}:{node.METRICS_PORT}/metrics'
    timeout = aiohttp.ClientTimeout(total=_SCRAPE_TIMEOUT_S)
    try:
        async with client.get(url, timeout=timeout) as response:
            if response.status != 200:
                return None
            return parse(await response.text())
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
        return None


def config_version(samples: Samples) -> int:
    """Return the version of a gateway's configuration."""
    return int(samples.get((instruments.CONFIG_VERSION, ''), 0))


def store_era(samples: Samples) -> int:
    """Return the newest store era known to a gateway."""
    return int(samples.get((instruments.STORE_ERA, ''), 0))


async def scrape_all(
    client: aiohttp.ClientSession, member_rows: stores.Rows
) -> list[Samples]:
    """Return the metrics of each gateway that answers."""
    members = filter(roster.is_member, member_rows.rows)
    reads = [scrape(client, member.key) for member in members]
    return [s for s in await asyncio.gather(*reads) if s is not None]


def customer_usage(samples: Samples, name: str) -> tuple[float, float]:
    """Return a customer's used units and refused requests at a gateway."""
    return (
        samples.get((f'{instruments.CUSTOMER_UNITS}_total', name), 0.0),
        samples.get((f'{instruments.CUSTOMER_REFUSED}_total', name), 0.0),
    )


def values_by_upstream(samples: Samples, metric: str) -> dict[str, float]:
    """Return the values of a metric by upstream."""
    return {
        subject: value
        for (name, subject), value in samples.items()
        if name == metric and subject
    }
