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

"""Finds the part of prompts that ends the engines that write answers on it.

Requests with such a part are otherwise all different, so no count of ends
under one request finds them. Ends are counted by part as well. A part that
sound requests share stands beside the harmful one at many ends: it is cleared
by an answer that is written whole on it, which the harmful one never sees.

Of what is left, the part at most ends explains them. Parts that were at the
same ends can't be told apart; then only requests that hold all of them are
held back, so that one with some of them shows which it is. Ends that a single
request explains count for that request, not for its parts.

Times are monotonic seconds; this module does no I/O.
"""

import collections.abc
import typing

from galenahatch import ids

_PREFIX: typing.Final = 'p-'
"""Begins the keys of parts; digests of requests are hexadecimal."""
END_THRESHOLD: typing.Final = 3
"""Ends of engines after which a part is held back."""
SUSPECT_THRESHOLD: typing.Final = 2
"""Ends after which requests with a part don't begin beside other suspects."""
MAX_PARTS: typing.Final = 16
"""Parts of one request that are looked at, from the first one on."""
_MAX_SOUND: typing.Final = 4096

Part = ids.PromptPart
Ends = collections.abc.Set[int]


def part_key(part_id: str) -> Part:
    """Return the key of a part, whose id consists of letters and digits."""
    return Part(ids.RequestDigest(_PREFIX + part_id))


def is_part(key: ids.RequestDigest) -> bool:
    """Return whether a key is that of a part and not that of a request."""
    return key.startswith(_PREFIX)


class SoundParts:
    """Parts on which answers were written whole lately.

    Args:
        retention: Seconds for which a part is remembered.
    """

    def __init__(self, retention: float) -> None:
        self._retention = retention
        self._seen_at: dict[Part, float] = {}

    def record(
        self, parts: collections.abc.Iterable[Part], now: float
    ) -> None:
        """Record a request that ran to completion."""
        for part in parts:
            # The latest is at the end.
            self._seen_at.pop(part, None)
            self._seen_at[part] = now
        while len(self._seen_at) > _MAX_SOUND:
            del self._seen_at[next(iter(self._seen_at))]

    def includes(self, part: ids.RequestDigest, now: float) -> bool:
        """Return whether a part is known to be sound."""
        seen_at = self._seen_at.get(Part(part))
        return seen_at is not None and now - seen_at <= self._retention


class Verdict(typing.NamedTuple):
    """Parts that are held back together.

    Attributes:
        parts: A request is held back if it has all of them.
        ends: Numbers of the engines that they explain.
    """

    parts: frozenset[Part]
    ends: frozenset[int]


def find_verdicts(
    parts: collections.abc.Mapping[Part, Ends],
    requests: collections.abc.Collection[Ends],
) -> list[Verdict]:
    """Return what is held back.

    Args:
        parts: Ends of each part that is not cleared.
        requests: Ends of each request that is not cleared.
    """
    verdicts = []
    explained: set[int] = set()
    for part in sorted(parts, key=lambda key: (-len(parts[key]), key)):
        ends = parts[part] - explained
        if len(ends) < END_THRESHOLD:
            continue
        if any(ends <= single for single in requests):
            continue
        same = frozenset(p for p, others in parts.items() if ends <= others)
        verdicts.append(Verdict(same, frozenset(ends)))
        explained |= parts[part]
    return verdicts
