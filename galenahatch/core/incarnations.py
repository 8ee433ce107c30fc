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

"""Incarnations of upstreams.

An upstream may restart under the same instance ID and then has no runs, no
KV cache and no orders. State of an upstream is therefore keyed by its
incarnation: the instance ID plus the start time. Two incarnations are
distinct upstreams that share an address and an ID on the wire, so a restart
implicitly discards earlier state, and late messages about an earlier
incarnation have no effect.

Messages and logs carry an incarnation as text, `id@born`. An upstream that
does not report its start time is identified by its instance ID alone.
"""

import typing

from galenahatch import ids

UNKNOWN_START: typing.Final = 0
"""Start time of an upstream that does not report one."""
_SEPARATOR: typing.Final = '@'


def upstream_id(
    instance_name: ids.InstanceId, start_ms: int
) -> ids.UpstreamId:
    """Return the ID of an incarnation.

    Args:
        instance_name: Instance ID that the upstream registers with.
        start_ms: Start time in Unix milliseconds, or `UNKNOWN_START`.
    """
    if start_ms == UNKNOWN_START and _SEPARATOR not in instance_name:
        return ids.UpstreamId(instance_name)
    return ids.UpstreamId(f'{instance_name}{_SEPARATOR}{start_ms}')


def instance_id(upstream: ids.UpstreamId) -> ids.InstanceId:
    """Return the instance ID, which is used on the wire."""
    name, separator, start = upstream.rpartition(_SEPARATOR)
    has_start = bool(separator) and start.isdecimal()
    return ids.InstanceId(name if has_start else upstream)


def started_ms(upstream: ids.UpstreamId) -> int:
    """Return the start time in Unix milliseconds, or `UNKNOWN_START`."""
    _, separator, start = upstream.rpartition(_SEPARATOR)
    return int(start) if separator and start.isdecimal() else UNKNOWN_START


def is_later_start(upstream: ids.UpstreamId, other: ids.UpstreamId) -> bool:
    """Return whether an upstream is a later incarnation of another."""
    is_same_instance = instance_id(upstream) == instance_id(other)
    return is_same_instance and started_ms(upstream) > started_ms(other)
