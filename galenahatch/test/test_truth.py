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

"""What a caller is told is never more than what is known."""

import collections.abc

import pytest

from galenahatch.test import deployment


@pytest.fixture(scope='module')
def running() -> collections.abc.Iterator[deployment.Deployment]:
    """One VM before one engine of each role."""
    options = {'connect-timeout': '0.5'}
    with deployment.Deployment(1, options=options) as started:
        yield started


def test_broken_then_refused(running: deployment.Deployment) -> None:
    """An attempt that broke off makes a later refusal no `not_run`."""
    running.fault('p1', cut_prefill=1)
    status, headers, body = running.complete('first broken', max_tokens=4)
    assert status == 200, body
    running.fault('p1', refuse_after_start=1, refuse_next=3)
    status, headers, body = running.complete('then refused', max_tokens=4)
    assert headers['Galenahatch-Outcome'] == 'failed', body


def test_refused_every_time(running: deployment.Deployment) -> None:
    """Refusals alone are `not_run`, with Retry-After."""
    running.fault('p1', refuse=100)
    status, headers, body = running.complete('refused', max_tokens=4)
    running.fault('p1')
    assert headers['Galenahatch-Outcome'] == 'not_run', body
    assert 'Retry-After' in headers
    assert running.runs(headers['Galenahatch-Request-Id']) == 0


def test_unreachable(running: deployment.Deployment) -> None:
    """An engine that is not there ran nothing."""
    running.stand_ins['p1'].kill()
    status, headers, body = running.complete('unreachable', max_tokens=4)
    assert status == 503
    assert headers['Galenahatch-Outcome'] == 'not_run', body
    running.stand_ins['p1'].start()
