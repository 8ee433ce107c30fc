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

"""Compares policies: `make bench` writes docs/BENCH.md and a plot.

Runs use virtual time and depend on their seed only, so the speed of the
machine does not matter. They are spread over several processes.
"""

import collections.abc
import concurrent.futures
import dataclasses
import itertools
import pathlib
import statistics
import sys
import typing

from bench import plot
from bench import policies
from bench import scenario
from bench import workloads

DOCS: typing.Final = pathlib.Path(__file__).resolve().parents[1] / 'docs'
SEEDS: typing.Final = (1, 2, 3, 4, 5)
LOADS: typing.Final = (0.7, 1.0, 1.3)
RUN_S: typing.Final = 60.0
FAULTS: typing.Final = (
    'prefill killed',
    'decode killed',
    'decode slow',
    'entry killed',
    'reports lag',
    'centre cut off',
)
VARIED_PARAMS: typing.Final = (
    ('places', (12, 40)),
    ('eviction', (0.2, 1.0)),
    ('link_rate', (2e9, 32e9)),
    ('prefill_rate', (1000.0, 16000.0)),
)
_WORKERS: typing.Final = 5
_BASELINE: typing.Final = 'prefill first'
_FAULT_POLICIES: typing.Final = (_BASELINE, policies.OURS, 'no health')

Results = dict[scenario.Scenario, scenario.Outcome]


def _healthy(seeds: collections.abc.Sequence[int]) -> list[scenario.Scenario]:
    return [
        scenario.Scenario(workload, policy, load, 'healthy', seed, RUN_S)
        for workload, policy, load, seed in itertools.product(
            workloads.WORKLOADS, policies.POLICIES, LOADS, seeds
        )
    ]


def _faulty(seeds: collections.abc.Sequence[int]) -> list[scenario.Scenario]:
    return [
        scenario.Scenario(workload, policy, 1.0, fault, seed, RUN_S)
        for workload, policy, fault, seed in itertools.product(
            workloads.WORKLOADS, _FAULT_POLICIES, FAULTS, seeds
        )
    ]


def _with_varied_params(
    seeds: collections.abc.Sequence[int],
) -> list[scenario.Scenario]:
    changes = [
        (name, value) for name, values in VARIED_PARAMS for value in values
    ]
    return [
        scenario.Scenario(
            workload, policy, 1.3, 'healthy', seed, RUN_S, (change,)
        )
        for workload, policy, change, seed in itertools.product(
            workloads.WORKLOADS,
            (_BASELINE, policies.OURS),
            changes,
            seeds,
        )
    ]


def _retrying(
    seeds: collections.abc.Sequence[int],
) -> list[scenario.Scenario]:
    return [
        scenario.Scenario(
            workload,
            policies.OURS,
            load,
            'healthy',
            seed,
            RUN_S,
            retries_refused=True,
        )
        for workload, load, seed in itertools.product(
            workloads.WORKLOADS, (1.0, 1.3), seeds
        )
    ]


def _run_all(scenarios: list[scenario.Scenario]) -> Results:
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as pool:
        outcomes = pool.map(scenario.run, scenarios)
        return dict(zip(scenarios, outcomes, strict=True))


Metric = typing.Callable[[scenario.Outcome], float]


def _select(
    results: Results, metric: Metric, **fields: typing.Any
) -> list[float]:
    """Return a metric of the runs whose scenarios have the given fields."""
    return [
        metric(outcome)
        for key, outcome in results.items()
        if all(getattr(key, k) == v for k, v in fields.items())
    ]


def _healthy_table(results: Results, workload: str) -> list[str]:
    lines = [
        f'### {workload}, healthy',
        '',
        '| policy | load | goodput | by class | wasted prefill '
        '| given up | other callers |',
        '|---|---|---|---|---|---|---|',
    ]
    for policy, load in itertools.product(policies.POLICIES, LOADS):
        fields = {
            'workload': workload,
            'policy': policy,
            'load': load,
            'fault': 'healthy',
            'retries_refused': False,
            'params': (),
        }
        kinds = [kind.name for kind in workloads.WORKLOADS[workload].kinds]
        by_kind = ', '.join(
            f'{kind} '
            f'{_median(_select(results, _kind_goodput(kind), **fields)):.2f}'
            for kind in kinds
        )
        cells = [
            policy,
            str(load),
            scenario.format_spread(
                _select(results, lambda o: o.goodput, **fields)
            ),
            by_kind,
            scenario.format_spread(
                _select(results, lambda o: o.waste, **fields)
            ),
            f'{_median(_select(results, lambda o: o.refused, **fields)):.3f}',
            f'{_median(_select(results, lambda o: o.others, **fields)):.2f}',
        ]
        lines.append('| ' + ' | '.join(cells) + ' |')
    return [*lines, '']


def _kind_goodput(name: str) -> Metric:
    return lambda outcome: outcome.goodput_by_kind.get(name, 0.0)


def _median(values: list[float]) -> float:
    return statistics.median(values)


def remaining_engine_share(workload: str, fault: str) -> float:
    """Return the share of engines that a fault leaves, in the worse role."""
    config = workloads.WORKLOADS[workload]
    lost_engines = {
        'prefill killed': (1, 0),
        'decode killed': (0, 1),
        'decode slow': (0, 1),
        'centre cut off': (
            len(range(1, config.prefills, config.data_centres)),
            len(range(1, config.decodes, config.data_centres)),
        ),
    }.get(fault, (0, 0))
    return min(
        1 - lost_engines[0] / config.prefills,
        1 - lost_engines[1] / config.decodes,
    )


def _fault_table(results: Results, workload: str) -> list[str]:
    lines = [
        f'### {workload}, load 1.0, a fault after '
        f'{scenario.FAULT_AT_S:.0f} s, requests that came after it',
        '',
        '| fault | policy | goodput | wasted prefill | share of healthy '
        '| engines left | kept per engine |',
        '|---|---|---|---|---|---|---|',
    ]
    for fault, policy in itertools.product(FAULTS, _FAULT_POLICIES):
        fields = {
            'workload': workload,
            'policy': policy,
            'load': 1.0,
            'retries_refused': False,
            'params': (),
        }
        faulty = _select(
            results, lambda o: o.goodput_after_fault, fault=fault, **fields
        )
        healthy = _select(
            results, lambda o: o.goodput_after_fault, fault='healthy', **fields
        )
        waste = _select(results, lambda o: o.waste, fault=fault, **fields)
        share = _median(faulty) / _median(healthy)
        remaining_share = remaining_engine_share(workload, fault)
        cells = [
            fault,
            policy,
            scenario.format_spread(faulty),
            f'{_median(waste):.3f}',
            f'{share:.2f}',
            f'{remaining_share:.2f}',
            f'{share / remaining_share:.2f}',
        ]
        lines.append('| ' + ' | '.join(cells) + ' |')
    return [*lines, '']


def _varied_table(results: Results, workload: str) -> list[str]:
    lines = [
        f'### {workload}, load 1.3, other engines',
        '',
        f'| parameter | value | goodput, {_BASELINE} | goodput, ours '
        '| waste, ours |',
        '|---|---|---|---|---|',
    ]
    for name, values in VARIED_PARAMS:
        for value in values:
            fields = {
                'workload': workload,
                'load': 1.3,
                'params': ((name, value),),
            }
            base = _select(
                results, lambda o: o.goodput, policy=_BASELINE, **fields
            )
            ours = _select(
                results, lambda o: o.goodput, policy=policies.OURS, **fields
            )
            waste = _select(
                results, lambda o: o.waste, policy=policies.OURS, **fields
            )
            cells = [
                name,
                f'{value:g}',
                scenario.format_spread(base),
                scenario.format_spread(ours),
                scenario.format_spread(waste),
            ]
            lines.append('| ' + ' | '.join(cells) + ' |')
    return [*lines, '']


def _retry_table(results: Results) -> list[str]:
    lines = [
        '### Retry-After: callers that were given up and came back once',
        '',
        '| workload | load | given up at first | served in time on return |',
        '|---|---|---|---|',
    ]
    for workload, load in itertools.product(workloads.WORKLOADS, (1.0, 1.3)):
        fields = {'workload': workload, 'load': load, 'retries_refused': True}
        refused = _select(results, lambda o: o.refused, **fields)
        retried = _select(results, lambda o: o.retry_goodput, **fields)
        cells = [
            workload,
            str(load),
            scenario.format_spread(refused),
            scenario.format_spread(retried),
        ]
        lines.append('| ' + ' | '.join(cells) + ' |')
    return [*lines, '']


def _target_table(results: Results) -> list[str]:
    """Return a table of the results against targets fixed beforehand."""
    lines = [
        '### Against the targets, at 1.3',
        '',
        '| workload | best baseline | its goodput | ours | ratio (target 2) '
        '| its waste | ours | share (target 0.2) |',
        '|---|---|---|---|---|---|---|---|',
    ]
    for workload in workloads.WORKLOADS:
        fields = {
            'workload': workload,
            'load': 1.3,
            'fault': 'healthy',
            'retries_refused': False,
            'params': (),
        }

        def goodput(policy: str, fields: typing.Any = fields) -> float:
            shares = _select(
                results, lambda o: o.goodput, policy=policy, **fields
            )
            return _median(shares)

        def waste(policy: str, fields: typing.Any = fields) -> float:
            shares = _select(
                results, lambda o: o.waste, policy=policy, **fields
            )
            return _median(shares)

        best = max(policies.BASELINES, key=goodput)
        ours = policies.OURS
        share = waste(ours) / waste(best) if waste(best) else float('nan')
        cells = [
            workload,
            best,
            f'{goodput(best):.3f}',
            f'{goodput(ours):.3f}',
            f'{goodput(ours) / goodput(best):.2f}',
            f'{waste(best):.4f}',
            f'{waste(ours):.4f}',
            f'{share:.2f}',
        ]
        lines.append('| ' + ' | '.join(cells) + ' |')
    return [*lines, '']


def report(results: Results, seeds: collections.abc.Sequence[int]) -> str:
    """Return the text of the page."""
    params = dataclasses.asdict(scenario.PARAMS)
    lines = [
        '# Policies compared',
        '',
        'Written by `make bench`; do not edit. Virtual time, '
        f'{RUN_S:.0f} s of open-loop arrivals, seeds {list(seeds)}; '
        'median (lowest-highest).',
        '',
        f'Engines: {params}.',
        '',
        'Goodput: requests whose first token met the target of its class '
        'and whose mean time between tokens was at most '
        f'{scenario.TOKEN_INTERVAL_TARGET_S * 1000:.0f} ms, '
        'over all offered. Other '
        'callers: goodput, in the worse class, of the callers beside the '
        'one that sends as much as all of them together.',
        '',
        '![goodput and wasted prefill](bench.svg)',
        '',
        *_target_table(results),
    ]
    for workload in workloads.WORKLOADS:
        lines += _healthy_table(results, workload)
        lines += _fault_table(results, workload)
        lines += _varied_table(results, workload)
    lines += _retry_table(results)
    return '\n'.join(lines)


def _bars(results: Results) -> list[plot.Bar]:
    bars = []
    for workload, policy in itertools.product(
        workloads.WORKLOADS, policies.POLICIES
    ):
        fields = {
            'workload': workload,
            'policy': policy,
            'load': 1.3,
            'fault': 'healthy',
            'retries_refused': False,
            'params': (),
        }
        goodput = _select(results, lambda o: o.goodput, **fields)
        waste = _select(results, lambda o: o.waste, **fields)
        bars.append(
            plot.Bar(workload, policy, _median(goodput), _median(waste))
        )
    return bars


def main(args: list[str]) -> int:
    """Run all scenarios and write the page.

    Args:
        args: `quick` runs one seed and prints the page instead.
    """
    seeds = SEEDS[:1] if 'quick' in args else SEEDS
    scenarios = [
        *_healthy(seeds),
        *_faulty(seeds[:3]),
        *_with_varied_params(seeds[:3]),
        *_retrying(seeds),
    ]
    print(f'{len(scenarios)} runs ...', flush=True)
    results = _run_all(scenarios)
    page = report(results, seeds)
    if 'quick' in args:
        print(page)
        return 0
    DOCS.mkdir(exist_ok=True)
    (DOCS / 'BENCH.md').write_text(page + '\n')
    (DOCS / 'bench.svg').write_text(plot.svg(_bars(results)))
    print('\n'.join(_target_table(results)))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
