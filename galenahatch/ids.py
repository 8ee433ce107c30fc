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

"""Identifier types.

Each kind of identifier is a distinct type for the type checker, so that a
stream id can't be passed where a request id is meant.
"""

import typing

RequestId = typing.NewType('RequestId', str)
"""A caller's id for a request, or one made up by the entry."""

StreamId = typing.NewType('StreamId', str)
"""One attempt of a request on an engine: `request.attempt`, unique."""

ReservationId = typing.NewType('ReservationId', str)
"""A place held by a scheduler for one attempt."""

RequestDigest = typing.NewType('RequestDigest', str)
"""Digest of what a request asks for and who asks: the same each time that it
comes, whatever its id."""

ClaimKey = typing.NewType('ClaimKey', str)
"""Digest of caller and idempotency key."""

ClaimToken = typing.NewType('ClaimToken', str)
"""Fresh random value that identifies one attempt to claim."""

CallerName = typing.NewType('CallerName', str)
ServiceName = typing.NewType('ServiceName', str)
EngineName = typing.NewType('EngineName', str)
SiteName = typing.NewType('SiteName', str)
RegionName = typing.NewType('RegionName', str)
DataCentre = typing.NewType('DataCentre', str)

CustomerName = typing.NewType('CustomerName', str)
"""Whom a gateway's callers belong to, as operators name it."""

KeyDigest = typing.NewType('KeyDigest', str)
"""Digest of a customer's key; stands for it wherever it is shown."""

InstanceId = typing.NewType('InstanceId', str)
"""The id under which an upstream registers; several starts may share it."""

UpstreamId = typing.NewType('UpstreamId', str)
"""One start of an upstream, see `core/incarnations`."""

MemberId = typing.NewType('MemberId', str)
"""A daemon's `role/ip:port`; survives a restart at the same address."""

Revision = typing.NewType('Revision', int)
"""Number of a configuration; 0 means none yet."""

ChangeId = typing.NewType('ChangeId', str)
"""Random id of one attempt to change the configuration."""

CellId = typing.NewType('CellId', str)
"""Engines scheduled together: `service/region/shard`."""
