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

"""What the path adds: entry and scheduler against the engines straight.

A client streams completions through an entry, and straight from the same
stand-in engines, in turn within one run, and compares the time to the
first token and between tokens. Then the entry's processor time is read at
several loads and fitted to requests and tokens.
"""

import asyncio
import concurrent.futures
import dataclasses
import statistics
import sys
import time
import typing

import aiohttp
import msgspec

from bench import capacity
from galenahatch.test import deployment
from galenahatch.test.standin import model

_ROUNDS: typing.Final = 60
_TOKENS: typing.Final = 40
_LOADS: typing.Final = ((4, 40), (8, 40), (16, 40), (8, 120))
_SECONDS: typing.Final = 6.0
_CLIENTS: typing.Final = 3
_WIDTH: typing.Final = 40
_FAST: typing.Final = {
    'places': 64,
    'step': 0.010,
    'step_per_stream': 0.0,
    'prefill_rate': 50_000.0,
}


@dataclasses.dataclass(frozen=True)
class Timing:
    """Seconds to the first token and between tokens."""

    first: float
    between: float


async def _timed(
    lines: aiohttp.StreamReader, began: float, mark: bytes
) -> Timing:
    times = []
    async for line in lines:
        if mark in line:
            times.append(time.monotonic())
    spread = times[-1] - times[0]
    return Timing(times[0] - began, spread / max(1, len(times) - 1))


async def _straight(
    client: aiohttp.ClientSession,
    running: deployment.Deployment,
    prompt: str,
    stream: str,
) -> Timing:
    began = time.monotonic()
    call = {
        'stream': stream,
        'prompt': prompt,
        'generated': [],
        'priority': 1,
    }
    url = running.urls['p1'] + '/prefill'
    async with client.post(url, data=msgspec.json.encode(call)) as done:
        await done.read()
    body = {
        'stream': stream,
        'source': running.urls['p1'],
        'max_tokens': _TOKENS,
        'priority': 1,
    }
    url = running.urls['d1'] + '/decode'
    async with client.post(url, data=msgspec.json.encode(body)) as answer:
        return await _timed(answer.content, began, b'"text"')


async def _through(
    client: aiohttp.ClientSession,
    entry: str,
    prompt: str,
    tokens: int = _TOKENS,
) -> Timing:
    began = time.monotonic()
    body = {
        'model': 'log-reader',
        'prompt': prompt,
        'max_tokens': tokens,
        'stream': True,
    }
    url = entry + '/v1/completions'
    headers = {'Authorization': f'Bearer {deployment.TOKEN}'}
    async with client.post(url, json=body, headers=headers) as answer:
        assert answer.status == 200, await answer.text()
        return await _timed(answer.content, began, b'"finish_reason":null')


async def _compare(running: deployment.Deployment) -> None:
    straight = []
    through = []
    async with aiohttp.ClientSession() as client:
        for number in range(_ROUNDS):
            prompt = f'pair {number} ' * 40
            one = await _straight(client, running, prompt, f's{number}.1')
            straight.append(one)
            through.append(await _through(client, running.entry_url(), prompt))
    pairs = list(zip(through, straight, strict=True))
    first = [t.first / s.first for t, s in pairs]
    between = [t.between / s.between for t, s in pairs]
    added = [(t.first - s.first) * 1000 for t, s in pairs]
    print(
        f'first token, through / straight: {_spread(first)}; '
        f'added {statistics.median(added):.2f} ms'
    )
    print(f'between tokens, through / straight: {_spread(between)}')


def _spread(values: list[float]) -> str:
    cuts = statistics.quantiles(values, n=10)
    middle = statistics.median(values)
    return f'median {middle:.3f} (tenths {cuts[0]:.3f} to {cuts[-1]:.3f})'


@dataclasses.dataclass
class _Sample:
    """What an entry did in some time."""

    requests: float = 0.0
    tokens: float = 0.0
    share: float = 0.0


async def _send_for(entry: str, width: int, tokens: int) -> _Sample:
    """Keep some requests in flight and count."""
    sample = _Sample()
    until = time.monotonic() + _SECONDS
    began = time.monotonic()

    async def one(client: aiohttp.ClientSession, number: int) -> None:
        count = 0
        while time.monotonic() < until:
            prompt = f'load {number} {count} {width} {tokens}'
            await _through(client, entry, prompt, tokens)
            length, _ = model.length_of(prompt, tokens)
            sample.requests += 1
            sample.tokens += length
            count += 1

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as client:
        await asyncio.gather(*(one(client, n) for n in range(width)))
    seconds = time.monotonic() - began
    sample.requests /= seconds
    sample.tokens /= seconds
    return sample


def _slopes(running: deployment.Deployment) -> None:
    samples: dict[str, list[_Sample]] = {'entry0': [], 'scheduler0': []}
    for width, tokens in _LOADS:
        before = {n: _cpu(running, n) for n in samples}
        began = time.monotonic()
        found = asyncio.run(_send_for(running.entry_url(), width, tokens))
        seconds = time.monotonic() - began
        for name, kept in samples.items():
            share = (_cpu(running, name) - before[name]) / seconds
            kept.append(_Sample(found.requests, found.tokens, share))
            print(
                f'{name}: {found.requests:.1f} requests/s, '
                f'{found.tokens:.0f} tokens/s, {share:.3f} of a core'
            )
    for name, kept in samples.items():
        by_request, by_token = _fit(kept)
        print(
            f'{name}: {by_request * 1e3:.2f} ms a request, '
            f'{by_token * 1e6:.1f} us a token'
        )


def _carried(running: deployment.Deployment) -> None:
    """Measure what one entry carries when it is the bottleneck."""
    before = _cpu(running, 'entry0')
    began = time.monotonic()
    with concurrent.futures.ProcessPoolExecutor(_CLIENTS) as pool:
        jobs = [
            pool.submit(_send_from, running.entry_url(), number)
            for number in range(_CLIENTS)
        ]
        samples = [job.result() for job in jobs]
    share = (_cpu(running, 'entry0') - before) / (time.monotonic() - began)
    print(
        f'one entry carried {sum(s.requests for s in samples):.0f} requests/s '
        f'and {sum(s.tokens for s in samples):.0f} tokens/s '
        f'with {share:.2f} of a core'
    )


def _send_from(entry: str, number: int) -> _Sample:
    return asyncio.run(_send_for(entry, _WIDTH, 60 + number))


def _cpu(running: deployment.Deployment, name: str) -> float:
    pid = running.daemons[name].pid
    return capacity.cpu_seconds(pid)


def _fit(samples: list[_Sample]) -> tuple[float, float]:
    """Fit share = a * requests + b * tokens by least squares."""
    rr = sum(s.requests**2 for s in samples)
    tt = sum(s.tokens**2 for s in samples)
    rt = sum(s.requests * s.tokens for s in samples)
    rs = sum(s.requests * s.share for s in samples)
    ts = sum(s.tokens * s.share for s in samples)
    determinant = rr * tt - rt * rt
    by_request = (rs * tt - ts * rt) / determinant
    by_token = (ts * rr - rs * rt) / determinant
    return by_request, by_token


def main() -> int:
    """Measure and print."""
    engines = (
        deployment.EngineSpec('p1', 'prefill', params=_FAST),
        deployment.EngineSpec('d1', 'decode', params=_FAST),
    )
    with deployment.Deployment(1, engines) as running:
        asyncio.run(_compare(running))
        _slopes(running)
    more = [
        deployment.EngineSpec(f'{role[0]}{number}', role, params=_FAST)
        for role in ('prefill', 'decode')
        for number in range(1, _CLIENTS + 1)
    ]
    with deployment.Deployment(1, more) as running:
        _carried(running)
    return 0


if __name__ == '__main__':
    sys.exit(main())
