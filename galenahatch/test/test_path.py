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

"""The whole path over real processes: a request from end to end."""

import collections.abc
import contextlib
import json
import os
import pathlib
import typing

import pytest

from galenahatch.test import deployment
from galenahatch.test.standin import model


@pytest.fixture(scope='module')
def running() -> collections.abc.Iterator[deployment.Deployment]:
    """Two VMs before a prefill and a decode engine."""
    with deployment.Deployment(vms=2, controllers=True) as started:
        yield started


def test_completion(running: deployment.Deployment) -> None:
    """A completion comes back whole, through either entry."""
    prompt = 'status of garment 4711 ' * 20
    for index in range(2):
        status, headers, body = running.complete(prompt, index, max_tokens=30)
        assert status == 200, body
        assert headers['Galenahatch-Outcome'] == 'answered'
        assert deployment.text_of(body) == model.answer_of(prompt, 30)


def _stream(
    running: deployment.Deployment, path: str, body: dict[str, typing.Any]
) -> list[str]:
    headers = {'Authorization': f'Bearer {deployment.TOKEN}'}
    url = running.entry_url() + path
    status, _, data = deployment.call('POST', url, body, headers)
    assert status == 200
    lines = data.decode().split('\n\n')
    assert all(line.startswith('data: ') for line in lines if line)
    return [line.removeprefix('data: ') for line in lines if line]


def test_streamed_completion(running: deployment.Deployment) -> None:
    """A streamed answer has each token once and ends with [DONE]."""
    body = {
        'model': 'log-reader',
        'prompt': 'a return log',
        'max_tokens': 25,
        'stream': True,
    }
    chunks = _stream(running, '/v1/completions', body)
    assert chunks[-1] == '[DONE]'
    choices = [json.loads(chunk)['choices'][0] for chunk in chunks[:-1]]
    text = ''.join(choice['text'] for choice in choices)
    assert text == model.answer_of('a return log', 25)
    assert choices[-1]['finish_reason'] in ('stop', 'length')


def test_streamed_chat(running: deployment.Deployment) -> None:
    """A chat is streamed as deltas."""
    body = {
        'model': 'log-reader',
        'messages': [{'role': 'user', 'content': 'is it certified?'}],
        'max_tokens': 12,
        'stream': True,
    }
    chunks = _stream(running, '/v1/chat/completions', body)
    deltas = [json.loads(c)['choices'][0]['delta'] for c in chunks[:-1]]
    text = ''.join(delta.get('content', '') for delta in deltas)
    assert text == model.answer_of('user: is it certified?', 12)


def test_second_arrival_gets_the_first_answer(
    running: deployment.Deployment,
) -> None:
    """The same key at another entry runs nothing and answers the same."""
    first = running.complete('bill 1', 0, 'bill-1', True)
    second = running.complete('bill 1', 1, 'bill-1', True)
    assert first[0] == second[0] == 200
    assert first[2]['choices'] == second[2]['choices']
    request = first[2]['id']
    assert running.runs(request) == 1
    assert running.runs(second[1]['Galenahatch-Request-Id']) == 0


def test_reused_key_is_refused(running: deployment.Deployment) -> None:
    """A key that named another body is refused, truthfully."""
    running.complete('bill 2', 0, 'bill-2', True)
    status, headers, body = running.complete('bill 3', 0, 'bill-2', True)
    assert status == 422
    assert body['error']['type'] == 'idempotency_key_reused'
    assert headers['Galenahatch-Outcome'] == 'not_run'


def test_plain_service(running: deployment.Deployment) -> None:
    """An unrepeatable call runs once; its answer is given again."""
    url = running.entry_url() + '/v1/services/rental/hire/42'
    headers = {'Authorization': f'Bearer {deployment.TOKEN}'}
    status, _, body = deployment.call('POST', url, b'x', headers)
    assert status == 400
    assert json.loads(body)['error']['type'] == 'idempotency_key_required'
    headers['Idempotency-Key'] = 'hire-42'
    first = deployment.call('POST', url, b'x', headers)
    second = deployment.call('POST', url, b'x', headers)
    assert first[0] == second[0] == 200
    assert first[2] == second[2]
    assert running.seen('plain')['POST /hire/42 x'] == 1


@pytest.mark.parametrize(
    ('body', 'status', 'kind'),
    [
        (b'{', 400, 'bad_json'),
        (b'{"model": 1, "prompt": "x"}', 400, 'bad_field'),
        (b'{"model": "none", "prompt": "x"}', 404, 'unknown_model'),
        (b'{"model": "log-reader", "prompt": ""}', 400, 'bad_field'),
        (
            b'{"model": "log-reader", "prompt": "x", "max_tokens": 0}',
            400,
            'bad_field',
        ),
        (
            b'{"model": "log-reader", "prompt": "x", "max_tokens": 99999999}',
            400,
            'bad_field',
        ),
        (b'[' * 100_000, 400, 'bad_field'),
        (b'x' * (5 * 1024 * 1024), 413, 'body_too_large'),
        (
            b'{"model": "log-reader", "prompt": "' + b'x' * 200_000 + b'"}',
            413,
            'prompt_too_long',
        ),
    ],
)
def test_bad_body(
    running: deployment.Deployment, body: bytes, status: int, kind: str
) -> None:
    """A bad body gets a typed refusal and reaches no engine."""
    before = running.seen('p1')['runs']
    headers = {'Authorization': f'Bearer {deployment.TOKEN}'}
    url = running.entry_url() + '/v1/completions'
    seen, sent, data = deployment.call('POST', url, body, headers)
    assert seen == status
    assert json.loads(data)['error']['type'] == kind
    assert sent['Galenahatch-Outcome'] == 'not_run'
    assert running.seen('p1')['runs'] == before


@pytest.mark.parametrize(
    ('headers', 'status', 'kind'),
    [
        ({'Authorization': 'Bearer wrong'}, 401, 'unauthorized'),
        ({'Galenahatch-Deadline-Ms': '-1'}, 400, 'bad_header'),
        ({'Galenahatch-Deadline-Ms': '1e9'}, 400, 'bad_header'),
        ({'Galenahatch-Priority': 'now'}, 400, 'bad_header'),
        ({'Galenahatch-Non-Idempotent': 'maybe'}, 400, 'bad_header'),
        ({'Idempotency-Key': 'k' * 300}, 400, 'bad_header'),
        (
            {'Galenahatch-Non-Idempotent': 'true'},
            400,
            'idempotency_key_required',
        ),
    ],
)
def test_bad_header(
    running: deployment.Deployment,
    headers: dict[str, str],
    status: int,
    kind: str,
) -> None:
    """A bad header gets a typed refusal."""
    seen, _, body = running.complete('x', headers=headers)
    assert seen == status
    assert body['error']['type'] == kind


def test_unknown_path(running: deployment.Deployment) -> None:
    """A path that there is not gets a typed refusal too."""
    status, _, body = deployment.call('GET', running.entry_url() + '/nothing')
    assert status == 404
    assert json.loads(body)['error']['type'] == 'no_route'


def _descriptors(process: pathlib.Path) -> list[str]:
    """Return what a process has open; it may close some meanwhile."""
    links = []
    for path in (process / 'fd').iterdir():
        with contextlib.suppress(FileNotFoundError):
            links.append(os.readlink(path))
    return links


def test_no_forbidden_means(running: deployment.Deployment) -> None:
    """No daemon opens io_uring, shares memory or starts a process."""
    for process in running.daemons.values():
        base = pathlib.Path('/proc') / str(process.pid)
        # A ring is open for as long as its process runs.
        links = [link for _ in range(3) for link in _descriptors(base)]
        assert links
        assert not [link for link in links if 'io_uring' in link]
        maps = (base / 'maps').read_text()
        assert '/dev/shm' not in maps and '/SYSV' not in maps
        for task in (base / 'task').iterdir():
            assert (task / 'children').read_text() == ''


def test_status_and_explain(running: deployment.Deployment) -> None:
    """Operators see daemons, engines, and a request's decisions."""
    _, _, body = running.complete('explain me')
    code, text = running.ctl('status', '--json')
    assert code == 0, text
    status = json.loads(text)
    roles = [daemon['daemon'].split('/')[0] for daemon in status['daemons']]
    assert sorted(set(roles)) == ['controller', 'entry', 'scheduler']
    assert {engine['engine'] for engine in status['engines']} == {'p1', 'd1'}

    def explained() -> bool:
        code, text = running.ctl('explain', body['id'])
        return code == 0 and 'placed p1+d1' in text and 'answered' in text

    deployment.wait_for(explained, 'explain shows the decisions')
    assert running.ctl('explain', 'nothing')[0] == 1
