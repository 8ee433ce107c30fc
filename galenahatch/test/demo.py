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

"""The main job on stand-ins: `make demo`.

Starts the stand-ins and two VMs on loopback, sends a streamed and a
non-idempotent request, shows the answers and the decision lines, stops
everything gracefully, and fails if anything was not as it should be.
"""

import json
import sys

from galenahatch.test import deployment
from galenahatch.test.standin import model

_PROMPT = 'Return log of plant laundry bin 17: jacket torn at the sleeve. ' * 9


def _say(text: str) -> None:
    print(text, flush=True)


def _check(good: bool, what: str) -> None:
    _say(f'  {"good" if good else "WRONG"}: {what}')
    if not good:
        raise AssertionError(what)


def _streamed(running: deployment.Deployment) -> str:
    _say('A streamed completion, through the first entry:')
    body = {
        'model': 'log-reader',
        'prompt': _PROMPT,
        'max_tokens': 24,
        'stream': True,
    }
    headers = {'Authorization': f'Bearer {deployment.TOKEN}'}
    url = running.entry_url(0) + '/v1/completions'
    status, seen, data = deployment.call('POST', url, body, headers)
    lines = [line[6:] for line in data.decode().split('\n\n') if line]
    chunks = [json.loads(line) for line in lines if line != '[DONE]']
    text = ''.join(chunk['choices'][0]['text'] for chunk in chunks)
    _say(f'  {text}')
    _check(status == 200 and lines[-1] == '[DONE]', 'ended with its marker')
    _check(text == model.answer_of(_PROMPT, 24), 'whole, each token once')
    return seen['Galenahatch-Request-Id']


def _billed(running: deployment.Deployment) -> str:
    _say('A non-idempotent request, twice: at each entry once:')
    first = running.complete('Bill for bin 17', 0, 'bill-17', True)
    second = running.complete('Bill for bin 17', 1, 'bill-17', True)
    _say(f'  {deployment.text_of(first[2])}')
    request: str = first[2]['id']
    _check(first[0] == 200 and second[0] == 200, 'both answered')
    _check(first[2]['choices'] == second[2]['choices'], 'the same answer')
    again = second[1]['Galenahatch-Request-Id']
    _check(running.runs(request) == 1, 'ran once')
    _check(running.runs(again) == 0, 'and not again')
    return request


def _explained(running: deployment.Deployment, request: str) -> None:
    _say('Its decisions, by galenahatchctl explain:')

    def shown() -> bool:
        code, text = running.ctl('explain', request)
        return code == 0 and 'answered' in text

    deployment.wait_for(shown, 'decisions are kept')
    for line in running.ctl('explain', request)[1].splitlines():
        _say(f'  {line}')


def _stopped(running: deployment.Deployment) -> None:
    _say('A planned stop of every daemon:')
    for name, process in running.daemons.items():
        code = process.stop()
        _check(code == 0, f'{name} ended with exit code {code}')


def main() -> int:
    """Run the demo; return the exit code."""
    _say('Starting stand-ins and two VMs on loopback ...')
    try:
        with deployment.Deployment(vms=2, controllers=True) as running:
            _say(running.ctl('status')[1])
            streamed = _streamed(running)
            _billed(running)
            _explained(running, streamed)
            _check(running.held() == [], 'no engine holds anything')
            _stopped(running)
    except AssertionError as error:
        _say(f'The demo failed: {error}')
        return 1
    _say('All as it should be.')
    return 0


if __name__ == '__main__':
    sys.exit(main())
