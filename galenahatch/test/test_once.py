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

"""Non-idempotent work runs at most once, whatever breaks."""

import collections.abc
import json
import typing

import pytest

from galenahatch.test import deployment


@pytest.fixture(scope='module')
def running() -> collections.abc.Iterator[deployment.Deployment]:
    """Two VMs and a plain service."""
    with deployment.Deployment(vms=2) as started:
        yield started


def _hire(
    running: deployment.Deployment,
    method: str,
    item: str,
    key: str,
    index: int = 0,
) -> tuple[int, dict[str, str], typing.Any]:
    url = running.entry_url(index) + f'/v1/services/rental/hire/{item}'
    headers = {
        'Authorization': f'Bearer {deployment.TOKEN}',
        'Idempotency-Key': key,
    }
    status, seen, body = deployment.call(method, url, b'', headers)
    return status, seen, json.loads(body)


@pytest.mark.parametrize('method', ['POST', 'PUT'])
def test_cut_after_the_call_ran(
    running: deployment.Deployment, method: str
) -> None:
    """A connection cut after the call ran: unknown, and never again.

    PUT is of its own interest: HTTP calls it idempotent, and the client
    library sends such a call again by itself when a connection breaks.
    """
    item = f'cut-{method}'
    running.fault('plain', cut=True)
    try:
        status, headers, body = _hire(running, method, item, item)
        assert running.seen('plain')[f'{method} /hire/{item} '] == 1
        assert headers['Galenahatch-Outcome'] == 'unknown', body
    finally:
        running.fault('plain')
    again = _hire(running, method, item, item, index=1)
    assert again[0] == status
    assert again[1]['Galenahatch-Outcome'] == 'unknown'
    assert running.seen('plain')[f'{method} /hire/{item} '] == 1


def test_refused_call_may_come_again(running: deployment.Deployment) -> None:
    """A refusal before the start is not_run, and the key is free again."""
    running.fault('plain', refuse=True)
    try:
        status, headers, _ = _hire(running, 'POST', 'refused', 'refused')
        assert status == 503
        assert headers['Galenahatch-Outcome'] == 'not_run'
        assert 'Retry-After' in headers
    finally:
        running.fault('plain')

    def answered() -> bool:
        return _hire(running, 'POST', 'refused', 'refused')[0] == 200

    deployment.wait_for(answered, 'the key can be used again')
    assert running.seen('plain')['POST /hire/refused '] == 1


@pytest.mark.parametrize('path', ['//hire/s', '/%68ire/s', '/./hire/s'])
def test_spelling_does_not_slip_past_a_rule(
    running: deployment.Deployment, path: str
) -> None:
    """Another spelling of an unrepeatable path needs a key too."""
    url = running.entry_url() + '/v1/services/rental' + path
    headers = {'Authorization': f'Bearer {deployment.TOKEN}'}
    status, _, body = deployment.call('POST', url, b'', headers)
    assert status == 400
    assert json.loads(body)['error']['type'] == 'idempotency_key_required'


def test_large_answer_is_kept(running: deployment.Deployment) -> None:
    """An answer too large for its claim comes back from the object store.

    While the object store is down, its holder gives it from memory.
    """
    running.fault('plain', pad=50_000)
    running.fault('objects', down=True)
    try:
        first = _hire(running, 'POST', 'large', 'large')
        assert first[0] == 200 and len(first[2]['pad']) == 50_000
        second = _hire(running, 'POST', 'large', 'large', index=1)
        assert second[2] == first[2]
    finally:
        running.fault('objects')
    running.fault('plain')

    def stored() -> bool:
        objects = running.seen('objects', '/names')
        return any(name.startswith('answers/') for name in objects)

    deployment.wait_for(stored, 'the answer is stored')
    for index in range(2):
        again = _hire(running, 'POST', 'large', 'large', index=index)
        assert again[2] == first[2]
    assert running.seen('plain')['POST /hire/large '] == 1
