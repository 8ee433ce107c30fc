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

"""Index of prompt prefixes that prefill engines have in their caches.

A prompt is cut into blocks; the hash of a block covers all blocks before
it, so that a hash names a whole prefix. Cache events come late and with
gaps, so an entry is a hint: it ages out, a gap in an engine's event
numbers drops what was known of that engine, and a prefill's own report of
cached tokens corrects the index. Memory is bounded; the least recently
used prefix goes first.
"""

import collections
import collections.abc
import typing

import xxhash

from galenahatch import ids

BLOCK_BYTES: typing.Final = 1024
MAX_BLOCKS: typing.Final = 64
_MAX_PREFIXES: typing.Final = 50_000


def hash_blocks(prompt: str) -> tuple[int, ...]:
    """Return the hashes of a prompt's whole blocks, first to last."""
    data = prompt.encode()
    digest = xxhash.xxh3_64()
    hashes = []
    whole = min(len(data) // BLOCK_BYTES, MAX_BLOCKS)
    for number in range(whole):
        start = number * BLOCK_BYTES
        digest.update(data[start : start + BLOCK_BYTES])
        hashes.append(digest.intdigest())
    return tuple(hashes)


class PrefixIndex:
    """Which engine probably has which prefix.

    Args:
        max_age: seconds after which an entry is not trusted any more.
    """

    def __init__(self, max_age: float) -> None:
        self._max_age = max_age
        self._prefixes: collections.OrderedDict[
            int, dict[ids.EngineName, float]
        ] = collections.OrderedDict()
        self._next_event: dict[ids.EngineName, tuple[int, int]] = {}
        self._trusted_from: dict[ids.EngineName, float] = {}

    def add_prefixes(
        self,
        engine: ids.EngineName,
        blocks: collections.abc.Iterable[int],
        now: float,
    ) -> None:
        """Note that an engine has these prefixes."""
        for block in blocks:
            engines = self._prefixes.setdefault(block, {})
            engines[engine] = now
            self._prefixes.move_to_end(block)
        while len(self._prefixes) > _MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def remove_prefixes(
        self, engine: ids.EngineName, blocks: collections.abc.Iterable[int]
    ) -> None:
        """Note that an engine no longer has these prefixes."""
        for block in blocks:
            engines = self._prefixes.get(block)
            if engines is None:
                continue
            engines.pop(engine, None)
            if not engines:
                del self._prefixes[block]

    def accept_event(
        self,
        engine: ids.EngineName,
        incarnation: int,
        number: int,
        now: float,
    ) -> bool:
        """Take an event's number; return False for an old event.

        An engine that restarts numbers its events anew. After a restart or
        a gap nothing noted before is trusted for that engine.
        """
        fresh = (incarnation, number)
        known, expected = self._next_event.get(engine, fresh)
        if known == incarnation and number < expected:
            return False
        if known != incarnation or number > expected:
            self._trusted_from[engine] = now
        self._next_event[engine] = (incarnation, number + 1)
        return True

    def hits(
        self, blocks: collections.abc.Sequence[int], now: float
    ) -> dict[ids.EngineName, int]:
        """Return by engine how many leading blocks it probably has."""
        found: dict[ids.EngineName, int] = {}
        for number in range(len(blocks), 0, -1):
            engines = self._prefixes.get(blocks[number - 1])
            if not engines:
                continue
            for engine, noted in engines.items():
                trusted = self._trusted_from.get(engine, noted)
                fresh = now - noted <= self._max_age and noted >= trusted
                if fresh and engine not in found:
                    found[engine] = number
        return found

    def __len__(self) -> int:
        return len(self._prefixes)
