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

"""Configuration in force everywhere, never reverting, under failure."""

import collections.abc
import json
import signal
import threading
import time

import pytest

from galenahatch.test import deployment

FORCE_SECONDS = 15.0


@pytest.fixture
def running() -> collections.abc.Iterator[deployment.Deployment]:
    """Three VMs; each test may break them."""
    with deployment.Deployment(vms=3) as started:
        yield started


def _revisions(running: deployment.Deployment) -> dict[str, int]:
    code, text = running.ctl('status', '--json')
    if code != 0:
        return {}
    daemons = json.loads(text)['daemons']
    return {daemon['daemon']: daemon['revision'] for daemon in daemons}


def _in_force(running: deployment.Deployment, number: int) -> bool:
    revisions = _revisions(running)
    return len(revisions) == len(running.daemons) and all(
        revision == number for revision in revisions.values()
    )


def _apply(
    running: deployment.Deployment, *args: str, extra: str = ''
) -> tuple[int, str]:
    running.write_config(extra)
    return running.ctl('apply', str(running.path / 'config'), *args)


def test_wait_until_in_force(running: deployment.Deployment) -> None:
    """`apply --wait` returns once every daemon has the revision."""
    code, text = _apply(running, '--wait', '15', '--note', 'second')
    assert code == 0, text
    assert 'In force on 6 daemons' in text
    assert _in_force(running, 2)
    code, text = running.ctl('history', '--json')
    notes = [change['note'] for change in json.loads(text)]
    assert notes == ['second', '']
    assert running.ctl('diff', '1', '2')[0] == 0


def test_operators_race(running: deployment.Deployment) -> None:
    """Of three changes based on one revision, one is accepted.

    The table is slow, so that all have read it before any writes.
    """
    running.fault('table', slow=1.2)
    results: list[tuple[int, str]] = []

    def change(note: str) -> None:
        directory = str(running.path / 'config')
        args = ('apply', directory, '--read', '1', '--note', note)
        results.append(running.ctl(*args))

    threads = [
        threading.Thread(target=change, args=(f'note {i}',)) for i in range(3)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(code for code, _ in results) == [0, 3, 3], results
    lost = [text for code, text in results if code == 3]
    assert all('change_conflict' in text for text in lost)
    running.fault('table')
    deployment.wait_for(
        lambda: _in_force(running, 2), 'in force', FORCE_SECONDS
    )


def test_answer_to_apply_lost(running: deployment.Deployment) -> None:
    """A change whose answer was lost is recognised, and made once."""
    running.fault('table', lose_answers=1)
    code, text = _apply(running, '--note', 'lost')
    assert code == 0, text
    assert 'Revision 2 is accepted' in text
    code, text = running.ctl('history', '--json')
    assert len(json.loads(text)) == 2


def test_stale_read_never_reverts(running: deployment.Deployment) -> None:
    """A table that shows an old head changes nothing back."""
    mark = running.urls['table'] + '/mark'
    assert deployment.call('POST', mark)[0] == 200
    assert _apply(running, '--wait', '15')[0] == 0
    running.fault('table', stale=True)
    time.sleep(2.5)
    assert _in_force(running, 2)


def test_frozen_through_a_change(running: deployment.Deployment) -> None:
    """An entry that slept through a change has it soon after it wakes."""
    entry = running.daemons['entry1']
    entry.signal(signal.SIGSTOP)
    assert _apply(running)[0] == 0
    time.sleep(3.0)
    entry.signal(signal.SIGCONT)
    deployment.wait_for(
        lambda: _in_force(running, 2), 'in force', FORCE_SECONDS
    )


def test_started_in_an_outage(running: deployment.Deployment) -> None:
    """A daemon that starts while both stores are down asks its peers."""
    assert _apply(running, '--wait', '15')[0] == 0
    for store in ('table', 'objects'):
        running.fault(store, down=True)
    for name in ('entry2', 'scheduler2'):
        running.daemons[name].kill()
        running.daemons[name].start()
    deployment.wait_for(
        lambda: _in_force(running, 2), 'learnt from peers', FORCE_SECONDS
    )
    running.wait_ready()
    assert running.complete('during the outage', 2)[0] == 200


def test_all_replaced_in_an_outage(running: deployment.Deployment) -> None:
    """With neither stores nor peers: not ready, says why, runs nothing."""
    for store in ('table', 'objects'):
        running.fault(store, down=True)
    for process in running.daemons.values():
        process.kill()
    for process in running.daemons.values():
        process.start()
    url = running.entry_url()
    deployment.wait_for(
        lambda: deployment.call('GET', url + '/healthz')[0] == 200, 'alive'
    )
    status, _, body = deployment.call('GET', url + '/readyz')
    assert status == 503
    assert json.loads(body)['why'] == 'no configuration'
    status, headers, answer = running.complete('x')
    assert status == 503
    assert answer['error']['type'] == 'no_configuration'
    assert headers['Galenahatch-Outcome'] == 'not_run'
    assert 'Retry-After' in headers
    # Whether this key ran before can't be known, so it isn't denied.
    _, headers, answer = running.complete('x', key='k', once=True)
    assert headers['Galenahatch-Outcome'] == 'unknown'
    for store in ('table', 'objects'):
        running.fault(store)
    running.wait_ready()
    assert running.complete('x')[0] == 200


def test_bad_change_is_refused(running: deployment.Deployment) -> None:
    """A configuration with problems is never accepted."""
    code, text = _apply(running, extra='[[engines]]\nname = "x"\nport = "y"')
    assert code == 2
    assert 'engines.x.port' in text and 'engines.x.service' in text
    assert _in_force(running, 1)
