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

"""Refusals of placement requests that never reach a dispatcher."""

import typing

from galenahatch.core import quotas
from galenahatch.core import versionaffinity
from galenahatch.gateway import instruments
from galenahatch.gateway import messages
from galenahatch import ids
from galenahatch import logs

_REFUSAL_RETRY_AFTER_S: typing.Final = 0.3
"""Retry delay of a request that was not executed and was refused because no
retry budget is left; it comes back as a new request."""
_log = logs.Log('owner')


def without_budget(
    member: ids.MemberId, request: messages.PlacementRequest
) -> messages.PlacementRefused:
    """Refuse a retry before any prefill is done for it."""
    why = 'retry budget spent'
    instruments.decisions.add(1, {'outcome': 'refused'})
    _log.info(
        'Refused.',
        stream=request.stream,
        member=member,
        retry_after=_REFUSAL_RETRY_AFTER_S,
        why=why,
        sends=request.extra_sends,
        is_return=request.is_return,
    )
    return messages.PlacementRefused(
        request.stream, _REFUSAL_RETRY_AFTER_S, why
    )


def over_quota(
    member: ids.MemberId,
    request: messages.PlacementRequest,
    denied: quotas.Denied,
) -> messages.PlacementRefused:
    """Refuse a request whose customer is over quota."""
    retry_after = denied.retry_after or _REFUSAL_RETRY_AFTER_S
    instruments.decisions.add(1, {'outcome': 'over_quota'})
    _log.info(
        'Refused.',
        stream=request.stream,
        member=member,
        customer=request.customer,
        retry_after=retry_after,
        why=denied.why,
        is_return=request.is_return,
    )
    return messages.PlacementRefused(
        request.stream, retry_after, denied.why, True
    )


def version_unknown(
    member: ids.MemberId,
    stream: ids.StreamId,
    resumes: tuple[ids.StreamKey, ...],
) -> messages.PlacementRefused:
    """Refuse a stream of which nobody knows the version that began it."""
    why = 'software version unknown'
    instruments.decisions.add(1, {'outcome': 'refused'})
    _log.info(
        'Refused.',
        stream=stream,
        member=member,
        resumes=resumes[0],
        why=why,
    )
    return messages.PlacementRefused(
        stream,
        0.0,
        why,
        version_problem=versionaffinity.Problem.UNKNOWN,
    )


def without_decision(
    owner: ids.MemberId, stream: ids.StreamId
) -> messages.PlacementRefused:
    """Refuse a request that can't be served any more, as its gateway."""
    why = 'no decision in time'
    instruments.lost_decisions.add(1, {'remedy': 'refused'})
    _log.warning('No decision in time.', stream=stream, owner=owner)
    return messages.PlacementRefused(stream, _REFUSAL_RETRY_AFTER_S, why)
