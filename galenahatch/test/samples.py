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

"""Small values that several tests use."""

import dataclasses

import multidict

from galenahatch.core import generations
from galenahatch.core import revision
from galenahatch.core import upstreams
from galenahatch.gateway import calls
from galenahatch import ids
from galenahatch import messages
from galenahatch import schema
from galenahatch import states

BASE = """
[[sites]]
name = "bergamo"
region = "lombardy"
data_centres = ["zogno"]
"""


@dataclasses.dataclass(frozen=True)
class Item:
    """Something that waits in a queue."""

    key: ids.StreamId
    flow: ids.CallerName
    urgency: states.Urgency
    share: float
    cost: float


def engine(name: str, role: str) -> schema.Engine:
    """Return an engine."""
    return schema.Engine(
        name=ids.EngineName(name),
        service=ids.ServiceName('x'),
        role=role,
        data_centre=ids.DataCentre('zogno'),
        address='127.0.0.1',
        port=1,
    )


def upstream(port: int) -> upstreams.Upstream:
    """Return a plain upstream at a port of this machine."""
    return upstreams.Upstream(
        ids.UpstreamId('i-1'),
        ids.ServiceName('s'),
        f'127.0.0.1:{port}',
        ids.DataCentre('dc'),
        1,
    )


def plain_call() -> calls.Call:
    """Return a call to a plain service."""
    return calls.Call(
        id='r',
        method='POST',
        host='h',
        target='/x',
        headers=multidict.CIMultiDict(),
        body=b'b',
        arrived_at=0.0,
        caller_timeout=None,
        prompt=None,
        last_event_id='',
    )


def accepted(number: int) -> revision.Accepted:
    """Return an accepted configuration with this revision."""
    bundle = schema.Bundle(BASE, {'bergamo': ''})
    digest = revision.bundle_digest(revision.encode(bundle))
    head = revision.Head(
        ids.Revision(number), ids.ChangeId(f'c{number}'), digest, 'me', ''
    )
    return revision.Accepted(head, bundle)


def heartbeat(
    standing: states.Standing, incarnation: int
) -> messages.Heartbeat:
    """Return a heartbeat of one scheduler."""
    return messages.Heartbeat(
        ids.MemberId('scheduler/127.0.0.1:1'),
        incarnation,
        ids.DataCentre('zogno'),
        standing,
        ids.Revision(1),
    )


def generation(
    stream: str, now: float, fingerprint: str = ''
) -> generations.Job:
    """Return a generation of usual size that arrives now."""
    return generations.Job(
        stream=ids.StreamId(stream),
        entry=ids.MemberId('m'),
        prompt_tokens=5000,
        output_hint=400,
        max_output=1200,
        arrived_at=now,
        start_deadline=now + 0.9,
        abandon_at=now + 3.6,
        deadline=now + 14,
        fingerprint=fingerprint or stream,
        data_centre=ids.DataCentre('a'),
    )
