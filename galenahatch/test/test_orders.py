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

"""Orders to engines under a lease that lapses while its holder sleeps."""

import collections.abc
import functools
import json
import signal

import pytest

from galenahatch.test import deployment

ENGINES = (
    deployment.EngineSpec('p1', 'prefill', checks_fencing=True),
    deployment.EngineSpec('d1', 'decode', checks_fencing=False),
)


@pytest.fixture
def running() -> collections.abc.Iterator[deployment.Deployment]:
    """Two controllers, an engine that checks fencing and one that doesn't."""
    options = {'lease': '2.0'}
    with deployment.Deployment(
        2, ENGINES, controllers=True, options=options
    ) as started:
        yield started


def _running_model(running: deployment.Deployment, name: str) -> str:
    model: str = running.seen(name, '/order')['model']
    return model


def _runs(running: deployment.Deployment, name: str, model: str) -> bool:
    return _running_model(running, name) == model


def _holder(running: deployment.Deployment) -> int:
    """Return which controller holds the lease, as its log tells."""
    taken = {
        index: running.daemons[f'controller{index}']
        .log_text()
        .count('Lease taken')
        for index in range(2)
    }
    return max(taken, key=lambda index: taken[index])


def test_engines_get_their_models(running: deployment.Deployment) -> None:
    """Engines are brought to what is declared, and kept there."""
    for name in ('p1', 'd1'):
        deployment.wait_for(
            functools.partial(_runs, running, name, 'm'),
            f'{name} runs its model',
        )
    wrong = {'model': 'other', 'adapter': '', 'version': '0', 'role': 'x'}
    url = running.urls['d1'] + '/order'
    deployment.call('POST', url, {'order': wrong, 'fencing': 0})
    deployment.wait_for(
        lambda: _running_model(running, 'd1') == 'm', 'd1 is repaired'
    )


def test_holder_sleeps_through_its_lease(
    running: deployment.Deployment,
) -> None:
    """A holder that wakes after its lease sends no order any more."""
    deployment.wait_for(
        lambda: _running_model(running, 'd1') == 'm', 'first orders'
    )
    first = _holder(running)
    sleeper = running.daemons[f'controller{first}']
    sleeper.signal(signal.SIGSTOP)
    other = running.daemons[f'controller{1 - first}']
    deployment.wait_for(
        lambda: 'Lease taken' in other.log_text(), 'the lease moves', 20
    )
    base = running.path / 'config' / 'base.toml'
    text = base.read_text().replace('model = "m"', 'model = "m2"')
    base.write_text(text)
    code, out = running.ctl('apply', str(running.path / 'config'))
    assert code == 0, out
    for name in ('p1', 'd1'):
        deployment.wait_for(
            functools.partial(_runs, running, name, 'm2'),
            f'{name} has the new model',
            20,
        )
    orders = {n: len(running.seen(n)['orders']) for n in ('p1', 'd1')}
    sleeper.signal(signal.SIGCONT)
    deployment.wait_for(
        lambda: (
            json.loads(running.ctl('status', '--json')[1])['daemons']
            and sleeper.running()
        ),
        'the sleeper is back',
    )
    for name in ('p1', 'd1'):
        assert _running_model(running, name) == 'm2'
        fencing = running.seen(name)['orders']
        assert fencing == sorted(fencing)
        assert len(fencing) == orders[name]


def test_stopped_holder_gives_its_lease_up(
    running: deployment.Deployment,
) -> None:
    """A planned stop hands the lease on."""
    deployment.wait_for(
        lambda: _running_model(running, 'd1') == 'm', 'first orders'
    )
    first = _holder(running)
    assert running.daemons[f'controller{first}'].stop() == 0
    other = running.daemons[f'controller{1 - first}']
    deployment.wait_for(
        lambda: 'Lease taken' in other.log_text(), 'the lease moves'
    )
