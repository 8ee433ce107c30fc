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

"""Messages about decisions of the owner, which are counted and logged."""

from galenahatch.core import generations
from galenahatch.gateway import instruments
from galenahatch.gateway import messages
from galenahatch import ids
from galenahatch import logs

_log = logs.Log('owner')


def create(
    decision: generations.Decision,
) -> messages.Placement | messages.PlacementRefused:
    """Return the message about a decision; count and log it."""
    if isinstance(decision, generations.Placed):
        return _placement(decision)
    job = decision.job
    instruments.decisions.add(1, {'outcome': 'refused'})
    _log.info(
        'Refused.',
        stream=job.stream,
        member=job.entry,
        retry_after=decision.retry_after,
        why=decision.why,
        is_return=job.is_return,
    )
    return messages.PlacementRefused(
        job.stream,
        decision.retry_after,
        decision.why,
        version_problem=decision.version_problem,
    )


def _placement(decision: generations.Placed) -> messages.Placement:
    job = decision.job
    instruments.decisions.add(1, {'outcome': 'placed'})
    _log.info(
        'Placed.',
        stream=job.stream,
        member=job.entry,
        prefill=decision.prefill or '',
        decode=decision.decode,
        version=job.version,
        why=decision.why,
        is_return=job.is_return,
    )
    return messages.Placement(
        job.stream,
        decision.prefill or ids.UpstreamId(''),
        decision.decode,
        decision.why,
        job.predicted_output,
        job.version,
    )
