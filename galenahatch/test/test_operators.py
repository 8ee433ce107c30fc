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

"""What operators use: the command line, log lines, metrics."""

import collections.abc
import json
import re

import pytest

from galenahatch.test import deployment


@pytest.fixture(scope='module')
def running() -> collections.abc.Iterator[deployment.Deployment]:
    """One VM that logs JSON lines and exports metrics."""
    options = {'log-json': ''}
    with deployment.Deployment(1, options=options) as started:
        yield started


def test_check_is_offline(running: deployment.Deployment) -> None:
    """Check needs no daemon and no store, and names file, key and type."""
    directory = str(running.path / 'config')
    assert running.ctl('check', directory)[0] == 0
    overlay = running.path / 'config' / 'sites' / 'bergamo.toml'
    before = overlay.read_text()
    overlay.write_text('[[engines]]\nname = "p1"\nplaces = "many"\n')
    code, text = running.ctl('check', directory)
    overlay.write_text(before)
    assert code == 2
    assert 'bergamo' in text and 'engines.p1.places' in text
    assert 'a whole number' in text


def test_show(running: deployment.Deployment) -> None:
    """The configuration is shown as written, and merged for a site."""
    code, text = running.ctl('show')
    assert code == 0 and '# base' in text and '# drained: none' in text
    code, text = running.ctl('show', '--site', 'bergamo', '--json')
    assert code == 0
    names = [engine['name'] for engine in json.loads(text)['engines']]
    assert sorted(names) == ['d1', 'p1']
    assert running.ctl('show', '--site', 'nowhere')[0] == 1


def test_diff(running: deployment.Deployment) -> None:
    """A drain shows as a change."""
    assert running.ctl('drain', 'd1')[0] == 0
    assert running.ctl('undrain', 'd1')[0] == 0
    code, text = running.ctl('diff', '1', '2')
    assert code == 0
    assert '-# drained: none' in text and '+# drained: d1' in text
    assert running.ctl('diff', '1', '99')[0] == 1
    code, text = running.ctl('history')
    assert code == 0 and 'drain d1' in text


def test_errors_go_to_standard_error(running: deployment.Deployment) -> None:
    """A store that is down is exit code 5, with advice."""
    running.fault('table', down=True)
    code, text = running.ctl('history')
    running.fault('table')
    assert code == 5
    assert 'store_unavailable' in text


def test_one_line_for_each_decision(running: deployment.Deployment) -> None:
    """Each placement and each routed call is one JSON line."""
    status, headers, _ = running.complete('one line')
    assert status == 200
    request = headers['Galenahatch-Request-Id']
    lines = [
        json.loads(line)
        for line in running.daemons['scheduler0'].log_text().splitlines()
        if line.startswith('{')
    ]
    placed = [
        line
        for line in lines
        if line.get('request') == request
        and line['message'] == 'Request placed.'
    ]
    assert len(placed) == 1
    assert placed[0]['part'] == 'placement'
    assert placed[0]['prefill'] == 'p1' and placed[0]['decode'] == 'd1'
    assert re.search(r'score=.* others=', placed[0]['why'])
    url = running.entry_url() + '/v1/services/rental/garments'
    headers = {'Authorization': f'Bearer {deployment.TOKEN}'}
    assert deployment.call('GET', url, None, headers)[0] == 200
    log = running.daemons['entry0'].log_text()
    assert log.count('Call routed.') == 1


def test_metrics_are_exported() -> None:
    """With an endpoint set, metrics arrive there over OTLP."""
    with deployment.Deployment(1) as running:
        entry = running.daemons['entry0']
        assert entry.stop() == 0
        endpoint = running.urls['plain'] + '/v1/metrics'
        entry.args += ['--otlp-endpoint', endpoint]
        entry.start()
        running.wait_ready()
        assert running.complete('counted')[0] == 200
        assert entry.stop() == 0
        seen = running.seen('plain')
        assert any(name.startswith('POST /v1/metrics') for name in seen)
