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

"""Which start of an upstream is meant.

An upstream may start again under the id that it registers with. It then
holds nothing of before: no runs, no KV cache, no orders. Whatever is kept
about an upstream is therefore kept by its incarnation, the id together with
the moment of the start. Two moments are two upstreams that share an address
and an id on the wire, so a new start forgets by itself what was known of the
one before, and news of that one changes nothing.

An incarnation travels through messages and logs as text, `id@born`. An
upstream that does not tell when it started goes by its id alone.
"""

import typing

from galenahatch import ids

UNKNOWN_START: typing.Final = 0
"""Stands for the start of an upstream that does not tell it."""
_MARK: typing.Final = '@'


def upstream_id(instance: ids.InstanceId, born: int) -> ids.UpstreamId:
    """Return the incarnation of an instance.

    Args:
        instance: id under which it registers.
        born: Unix milliseconds of its start, or `UNKNOWN`.
    """
    if born == UNKNOWN_START and _MARK not in instance:
        return ids.UpstreamId(instance)
    return ids.UpstreamId(f'{instance}{_MARK}{born}')


def instance_id(upstream: ids.UpstreamId) -> ids.InstanceId:
    """Return the id on the wire."""
    name, mark, moment = upstream.rpartition(_MARK)
    is_told = bool(mark) and moment.isdecimal()
    return ids.InstanceId(name if is_told else upstream)


def started_ms(upstream: ids.UpstreamId) -> int:
    """Return the Unix milliseconds of the start, or `UNKNOWN`."""
    _, mark, moment = upstream.rpartition(_MARK)
    return int(moment) if mark and moment.isdecimal() else UNKNOWN_START


def is_later_start(upstream: ids.UpstreamId, other: ids.UpstreamId) -> bool:
    """Return whether an upstream is a later start of another's instance."""
    is_same = instance_id(upstream) == instance_id(other)
    return is_same and started_ms(upstream) > started_ms(other)
