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

"""OpenTelemetry instruments of all programs.

Without an endpoint the instruments are no-ops of the API. Names are stable
and listed in docs/operators/metrics.md; a check compares the list.
"""

from opentelemetry import metrics as api

_meter = api.get_meter('galenahatch')

requests = _meter.create_counter(
    'galenahatch.requests', description='Requests by outcome and reason.'
)
first_token = _meter.create_histogram(
    'galenahatch.first_token',
    unit='s',
    description='Time from arrival to the first token.',
)
between_tokens = _meter.create_histogram(
    'galenahatch.between_tokens',
    unit='s',
    description='Mean time between tokens of a request.',
)
prefill_spent = _meter.create_counter(
    'galenahatch.prefill.spent',
    unit='{token}',
    description='Prompt tokens prefilled, cached ones left out.',
)
prefill_wasted = _meter.create_counter(
    'galenahatch.prefill.wasted',
    unit='{token}',
    description='Prompt tokens prefilled whose result was never used.',
)
places_reserved = _meter.create_up_down_counter(
    'galenahatch.places.reserved', description='Decode places reserved.'
)
link_reserved = _meter.create_counter(
    'galenahatch.link.reserved',
    unit='s',
    description='Time of links reserved for transfers.',
)
waiting = _meter.create_up_down_counter(
    'galenahatch.waiting', description='Requests waiting for a place.'
)
given_up = _meter.create_counter(
    'galenahatch.given_up', description='Requests given up, by reason.'
)
claims = _meter.create_counter(
    'galenahatch.claims', description='Claims by status.'
)
claim_groups = _meter.create_counter(
    'galenahatch.claim_groups', description='Table writes for claims.'
)
retries = _meter.create_counter(
    'galenahatch.retries', description='Attempts after the first.'
)
cancels = _meter.create_counter(
    'galenahatch.cancels', description='Streams cancelled, by cause.'
)
foreign_events = _meter.create_counter(
    'galenahatch.foreign_events',
    description='Events of another or older attempt, dropped.',
)
control_bytes = _meter.create_counter(
    'galenahatch.control.bytes',
    unit='By',
    description='Bytes of messages between daemons, sent.',
)
control_seconds = _meter.create_counter(
    'galenahatch.control.seconds',
    unit='s',
    description='Time spent on messages between daemons, received.',
)
frames_dropped = _meter.create_counter(
    'galenahatch.frames_dropped', description='Frames dropped, by reason.'
)
