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

"""Measures the table writes and the latency that claims add.

Sends pairs of calls to a plain service through two entries at several fixed
rates. One call of each pair may be repeated; the other has an idempotency
key, so that the entry claims the key and stores the answer.
"""

import asyncio
import statistics
import sys
import time
import typing

import aiohttp

from galenahatch.test import deployment

_RATES_PER_S: typing.Final = (5, 20, 60)
_RUN_S: typing.Final = 6.0


async def _call(
    client: aiohttp.ClientSession, url: str, key: str, durations: list[float]
) -> None:
    headers = {'Authorization': f'Bearer {deployment.TOKEN}'}
    if key:
        headers['Idempotency-Key'] = key
    path = '/hire/' if key else '/look/'
    started_at = time.monotonic()
    target_url = f'{url}/v1/services/rental{path}{started_at}'
    async with client.post(target_url, headers=headers) as response:
        assert response.status == 200, await response.text()
        await response.read()
    durations.append(time.monotonic() - started_at)


async def _measure_calls(
    running: deployment.Deployment, rate: float
) -> tuple[list[float], list[float]]:
    """Send both kinds of calls at a rate.

    Returns:
        Durations in seconds of the repeatable and of the claimed calls.
    """
    repeatable: list[float] = []
    claimed: list[float] = []
    calls = []
    async with aiohttp.ClientSession() as client:
        for number in range(int(rate * _RUN_S)):
            url = running.entry_url(number % 2)
            key = f'{rate}-{number}'
            for durations, idempotency_key in (
                (repeatable, ''),
                (claimed, key),
            ):
                calls.append(
                    asyncio.create_task(
                        _call(client, url, idempotency_key, durations)
                    )
                )
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*calls)
    return repeatable, claimed


def main() -> int:
    """Print the writes and the added latency at each rate."""
    with deployment.Deployment(vms=2) as running:
        for rate in _RATES_PER_S:
            before = running.seen('table', '/count')['commits']
            repeatable, claimed = asyncio.run(_measure_calls(running, rate))
            time.sleep(1.0)
            commits = running.seen('table', '/count')['commits'] - before
            added = statistics.median(claimed) - statistics.median(repeatable)
            print(
                f'{rate} claims a second: {commits / _RUN_S:.1f} writes '
                f'a second, {commits / len(claimed):.2f} a claim; added '
                f'{added * 1000:.0f} ms to '
                f'{statistics.median(repeatable) * 1000:.0f} ms'
            )
    return 0


if __name__ == '__main__':
    sys.exit(main())
