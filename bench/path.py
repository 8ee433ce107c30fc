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

"""Measures the overhead of the entry and the scheduler.

The entry is the HTTP front end, which serves requests of callers through
schedulers and upstreams. A client streams completions alternately directly
from stand-in engines and through an entry to the same engines, and compares
the time to the first token and the time between tokens. Then the processor
time of the entry and of the scheduler is measured at several loads, and the
cost per request and per token is fitted by least squares. Finally, the
throughput of a single entry is measured under load from several processes.
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

_COMPARED_PAIRS: typing.Final = 60
_OUTPUT_TOKENS: typing.Final = 40
# Concurrent requests and max_tokens of each load.
_LOADS: typing.Final = ((4, 40), (8, 40), (16, 40), (8, 120))
_RUN_S: typing.Final = 6.0
_CLIENT_PROCESSES: typing.Final = 3
_CONCURRENT_REQUESTS: typing.Final = 40
_FAST_ENGINE: typing.Final = {
    'places': 64,
    'step': 0.010,
    'step_per_stream': 0.0,
    'prefill_rate': 50_000.0,
}


@dataclasses.dataclass(frozen=True)
class Timing:
    """Latency of one completion.

    Attributes:
        first_token_s: seconds to the first token.
        token_interval_s: mean seconds between tokens.
    """

    first_token_s: float
    token_interval_s: float


async def _read_timing(
    lines: aiohttp.StreamReader, started_at: float, marker: bytes
) -> Timing:
    """Time the lines that contain a marker; each counts as one token.

    This is not exact. The entry joins tokens that arrive together into one
    line. The end marker of an engine has an empty text and counts too.
    """
    arrival_times = []
    async for line in lines:
        if marker in line:
            arrival_times.append(time.monotonic())
    duration_s = arrival_times[-1] - arrival_times[0]
    return Timing(
        arrival_times[0] - started_at,
        duration_s / max(1, len(arrival_times) - 1),
    )


async def _call_engines(
    client: aiohttp.ClientSession,
    running: deployment.Deployment,
    prompt: str,
    stream_id: str,
) -> Timing:
    started_at = time.monotonic()
    call = {
        'stream': stream_id,
        'prompt': prompt,
        'generated': [],
        'priority': 1,
    }
    url = running.urls['p1'] + '/prefill'
    async with client.post(url, data=msgspec.json.encode(call)) as response:
        await response.read()
    body = {
        'stream': stream_id,
        'source': running.urls['p1'],
        'max_tokens': _OUTPUT_TOKENS,
        'priority': 1,
    }
    url = running.urls['d1'] + '/decode'
    async with client.post(url, data=msgspec.json.encode(body)) as response:
        return await _read_timing(response.content, started_at, b'"text"')


async def _call_entry(
    client: aiohttp.ClientSession,
    entry: str,
    prompt: str,
    max_tokens: int = _OUTPUT_TOKENS,
) -> Timing:
    started_at = time.monotonic()
    body = {
        'model': 'log-reader',
        'prompt': prompt,
        'max_tokens': max_tokens,
        'stream': True,
    }
    url = entry + '/v1/completions'
    headers = {'Authorization': f'Bearer {deployment.TOKEN}'}
    async with client.post(url, json=body, headers=headers) as response:
        assert response.status == 200, await response.text()
        return await _read_timing(
            response.content, started_at, b'"finish_reason":null'
        )


async def _print_comparison(running: deployment.Deployment) -> None:
    direct = []
    routed = []
    async with aiohttp.ClientSession() as client:
        for number in range(_COMPARED_PAIRS):
            prompt = f'pair {number} ' * 40
            timing = await _call_engines(
                client, running, prompt, f's{number}.1'
            )
            direct.append(timing)
            routed.append(
                await _call_entry(client, running.entry_url(), prompt)
            )
    timings = list(zip(routed, direct, strict=True))
    first_token_ratios = [
        t.first_token_s / s.first_token_s for t, s in timings
    ]
    token_interval_ratios = [
        t.token_interval_s / s.token_interval_s for t, s in timings
    ]
    added_ms = [(t.first_token_s - s.first_token_s) * 1000 for t, s in timings]
    print(
        'first token, through / straight: '
        f'{_format_spread(first_token_ratios)}; '
        f'added {statistics.median(added_ms):.2f} ms'
    )
    print(
        'between tokens, through / straight: '
        f'{_format_spread(token_interval_ratios)}'
    )


def _format_spread(values: list[float]) -> str:
    deciles = statistics.quantiles(values, n=10)
    median = statistics.median(values)
    return (
        f'median {median:.3f} (tenths {deciles[0]:.3f} to {deciles[-1]:.3f})'
    )


@dataclasses.dataclass
class _Sample:
    """Load and processor use of a daemon.

    Attributes:
        requests: requests a second.
        tokens: tokens a second.
        core_share: share of a core that the daemon used.
    """

    requests: float = 0.0
    tokens: float = 0.0
    core_share: float = 0.0


async def _run_load(entry: str, concurrency: int, max_tokens: int) -> _Sample:
    """Keep a number of requests in flight, and return their rates."""
    sample = _Sample()
    deadline = time.monotonic() + _RUN_S
    started_at = time.monotonic()

    async def send_requests(
        client: aiohttp.ClientSession, number: int
    ) -> None:
        count = 0
        while time.monotonic() < deadline:
            prompt = f'load {number} {count} {concurrency} {max_tokens}'
            await _call_entry(client, entry, prompt, max_tokens)
            output_tokens, _ = model.length_of(prompt, max_tokens)
            sample.requests += 1
            sample.tokens += output_tokens
            count += 1

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as client:
        await asyncio.gather(
            *(send_requests(client, n) for n in range(concurrency))
        )
    seconds = time.monotonic() - started_at
    sample.requests /= seconds
    sample.tokens /= seconds
    return sample


def _print_slopes(running: deployment.Deployment) -> None:
    samples: dict[str, list[_Sample]] = {'entry0': [], 'scheduler0': []}
    for concurrency, max_tokens in _LOADS:
        before = {n: _cpu_seconds(running, n) for n in samples}
        started_at = time.monotonic()
        load = asyncio.run(
            _run_load(running.entry_url(), concurrency, max_tokens)
        )
        seconds = time.monotonic() - started_at
        for name, daemon_samples in samples.items():
            core_share = (_cpu_seconds(running, name) - before[name]) / seconds
            daemon_samples.append(
                _Sample(load.requests, load.tokens, core_share)
            )
            print(
                f'{name}: {load.requests:.1f} requests/s, '
                f'{load.tokens:.0f} tokens/s, {core_share:.3f} of a core'
            )
    for name, daemon_samples in samples.items():
        seconds_per_request, seconds_per_token = _fit_cpu_slopes(
            daemon_samples
        )
        print(
            f'{name}: {seconds_per_request * 1e3:.2f} ms a request, '
            f'{seconds_per_token * 1e6:.1f} us a token'
        )


def _print_single_entry_throughput(running: deployment.Deployment) -> None:
    """Print the throughput of one entry that is the bottleneck.

    Several client processes load it, and main() starts enough engines to have
    a place for every request.
    """
    before = _cpu_seconds(running, 'entry0')
    started_at = time.monotonic()
    with concurrent.futures.ProcessPoolExecutor(_CLIENT_PROCESSES) as pool:
        futures = [
            pool.submit(_run_load_process, running.entry_url(), number)
            for number in range(_CLIENT_PROCESSES)
        ]
        samples = [future.result() for future in futures]
    core_share = (_cpu_seconds(running, 'entry0') - before) / (
        time.monotonic() - started_at
    )
    print(
        f'one entry carried {sum(s.requests for s in samples):.0f} requests/s '
        f'and {sum(s.tokens for s in samples):.0f} tokens/s '
        f'with {core_share:.2f} of a core'
    )


def _run_load_process(entry: str, number: int) -> _Sample:
    return asyncio.run(_run_load(entry, _CONCURRENT_REQUESTS, 60 + number))


def _cpu_seconds(running: deployment.Deployment, name: str) -> float:
    pid = running.daemons[name].pid
    return capacity.cpu_seconds(pid)


def _fit_cpu_slopes(samples: list[_Sample]) -> tuple[float, float]:
    """Fit core_share = a * requests + b * tokens by least squares."""
    sum_rr = sum(s.requests**2 for s in samples)
    sum_tt = sum(s.tokens**2 for s in samples)
    sum_rt = sum(s.requests * s.tokens for s in samples)
    sum_rs = sum(s.requests * s.core_share for s in samples)
    sum_ts = sum(s.tokens * s.core_share for s in samples)
    determinant = sum_rr * sum_tt - sum_rt * sum_rt
    seconds_per_request = (sum_rs * sum_tt - sum_ts * sum_rt) / determinant
    seconds_per_token = (sum_ts * sum_rr - sum_rs * sum_rt) / determinant
    return seconds_per_request, seconds_per_token


def main() -> int:
    """Run all measurements and print their results."""
    engines = (
        deployment.EngineSpec('p1', 'prefill', params=_FAST_ENGINE),
        deployment.EngineSpec('d1', 'decode', params=_FAST_ENGINE),
    )
    with deployment.Deployment(1, engines) as running:
        asyncio.run(_print_comparison(running))
        _print_slopes(running)
    # One engine of each role for each client process, which sends fewer
    # concurrent requests than an engine has places.
    engine_specs = [
        deployment.EngineSpec(f'{role[0]}{number}', role, params=_FAST_ENGINE)
        for role in ('prefill', 'decode')
        for number in range(1, _CLIENT_PROCESSES + 1)
    ]
    with deployment.Deployment(1, engine_specs) as running:
        _print_single_entry_throughput(running)
    return 0


if __name__ == '__main__':
    sys.exit(main())
