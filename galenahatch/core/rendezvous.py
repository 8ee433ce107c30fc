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

"""Rendezvous hashing.

The weight of a member for a key is a hash of both; the highest weight wins.
If a member joins or leaves, only the keys that it owns move.
"""

import collections.abc

import xxhash

from galenahatch import ids


def rank(
    key: str, members: collections.abc.Iterable[ids.MemberId]
) -> list[ids.MemberId]:
    """Return the members by descending weight for a key."""
    return sorted(members, key=lambda m: _weight(key, m), reverse=True)


def winner(
    key: str, members: collections.abc.Iterable[ids.MemberId]
) -> ids.MemberId | None:
    """Return the member that owns a key, or None if there are no members."""
    return max(members, key=lambda m: _weight(key, m), default=None)


def _weight(key: str, member: ids.MemberId) -> tuple[int, str]:
    digest = xxhash.xxh3_64_intdigest(f'{key}\x00{member}'.encode())
    return digest, member
