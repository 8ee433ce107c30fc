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

"""What a claim adds: writes of the table, and delay, at several rates.

Calls of a plain service are sent at a fixed rate, in turn one that may be
repeated and one that may not, through two entries. The second kind is
claimed, and its answer stored.
"""

import asyncio
import statistics
import sys
import time
import typing

import aiohttp

from galenahatch.test import deployment

_RATES: typing.Final = (5, 20, 60)
_SECONDS: typing.Final = 6.0


async def _call(
    client: aiohttp.ClientSession, url: str, key: str, times: list[float]
) -> None:
    headers = {'Authorization': f'Bearer {deployment.TOKEN}'}
    if key:
        headers['Idempotency-Key'] = key
    path = '/hire/' if key else '/look/'
    began = time.monotonic()
    target = f'{url}/v1/services/rental{path}{began}'
    async with client.post(target, headers=headers) as answer:
        assert answer.status == 200, await answer.text()
        await answer.read()
    times.append(time.monotonic() - began)


async def _send(
    running: deployment.Deployment, rate: float
) -> tuple[list[float], list[float]]:
    """Send at a rate of each kind; return the times of both."""
    plain: list[float] = []
    once: list[float] = []
    jobs = []
    async with aiohttp.ClientSession() as client:
        for number in range(int(rate * _SECONDS)):
            url = running.entry_url(number % 2)
            key = f'{rate}-{number}'
            for kept, name in ((plain, ''), (once, key)):
                jobs.append(
                    asyncio.create_task(_call(client, url, name, kept))
                )
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*jobs)
    return plain, once


def main() -> int:
    """Measure and print."""
    with deployment.Deployment(vms=2) as running:
        for rate in _RATES:
            before = running.seen('table', '/count')['commits']
            plain, once = asyncio.run(_send(running, rate))
            time.sleep(1.0)
            commits = running.seen('table', '/count')['commits'] - before
            added = statistics.median(once) - statistics.median(plain)
            print(
                f'{rate} claims a second: {commits / _SECONDS:.1f} writes '
                f'a second, {commits / len(once):.2f} a claim; added '
                f'{added * 1000:.0f} ms to '
                f'{statistics.median(plain) * 1000:.0f} ms'
            )
    return 0


if __name__ == '__main__':
    sys.exit(main())
