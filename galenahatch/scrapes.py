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

"""Reads the metrics of gateways, as operators' commands show them."""

import asyncio
import re
import typing

import aiohttp

from galenahatch.gateway import instruments
from galenahatch.gateway import node

_ANSWER: typing.Final = 1.0
"""Seconds for a gateway's metrics; they take some ms."""
_SAMPLE: typing.Final = re.compile(
    r'(?P<name>\w+)(?:\{(?P<labels>[^}]*)\})? (?P<value>\S+)'
)
_SUBJECT: typing.Final = re.compile(r'(?:customer|upstream)="([^"]*)"')

Samples = dict[tuple[str, str], float]
"""Values by metric and customer or upstream; empty where there is none."""


def parse(text: str) -> Samples:
    """Return the samples of a scrape; of other labels all are added up."""
    samples: Samples = {}
    for line in text.splitlines():
        found = _SAMPLE.fullmatch(line)
        if found is None:
            continue
        subject = _SUBJECT.search(found['labels'] or '')
        key = (found['name'], subject.group(1) if subject else '')
        samples[key] = samples.get(key, 0.0) + float(found['value'])
    return samples


async def read(client: aiohttp.ClientSession, address: str) -> Samples | None:
    """Return the samples of a gateway; None if it does not answer."""
    url = f'http://{address}:{node.METRICS_PORT}/metrics'
    limit = aiohttp.ClientTimeout(total=_ANSWER)
    try:
        async with client.get(url, timeout=limit) as response:
            if response.status != 200:
                return None
            return parse(await response.text())
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
        return None


def version(samples: Samples) -> int:
    """Return the version of the configuration that a gateway has."""
    return int(samples.get((instruments.CONFIG_VERSION, ''), 0))


def store_era(samples: Samples) -> int:
    """Return the newest era of the store that a gateway has heard of."""
    return int(samples.get((instruments.STORE_ERA, ''), 0))


def of_customer(samples: Samples, name: str) -> tuple[float, float]:
    """Return the units and the refusals that a gateway has counted."""
    return (
        samples.get((f'{instruments.CUSTOMER_UNITS}_total', name), 0.0),
        samples.get((f'{instruments.CUSTOMER_REFUSED}_total', name), 0.0),
    )


def of_upstreams(samples: Samples, metric: str) -> dict[str, float]:
    """Return the values of a metric, by upstream."""
    return {
        subject: value
        for (name, subject), value in samples.items()
        if name == metric and subject
    }
