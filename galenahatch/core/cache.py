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

"""Index of the prompt prefixes cached by prefill engines.

A prompt is split into blocks. The hash of a block also covers all earlier
blocks, so one hash identifies a whole prefix. Cache events may be late or
lost, so entries are only hints: they expire, a gap in an engine's event
numbers invalidates its entries, and the number of cached tokens reported by
a prefill corrects the index. Memory is bounded by LRU eviction.
"""

import collections
import collections.abc
import typing

import xxhash

from galenahatch import ids

BLOCK_BYTES: typing.Final = 1024
MAX_BLOCKS: typing.Final = 64
_MAX_INDEXED_PREFIXES: typing.Final = 50_000


def hash_blocks(prompt: str) -> tuple[int, ...]:
    """Return the hashes of a prompt's complete blocks, in prompt order."""
    data = prompt.encode()
    digest = xxhash.xxh3_64()
    hashes = []
    block_count = min(len(data) // BLOCK_BYTES, MAX_BLOCKS)
    for number in range(block_count):
        start = number * BLOCK_BYTES
        digest.update(data[start : start + BLOCK_BYTES])
        hashes.append(digest.intdigest())
    return tuple(hashes)


class PrefixIndex:
    """Index of the engines that probably cache each prefix.

    Args:
        max_age: Maximum age of a valid entry, in seconds.
    """

    def __init__(self, max_age: float) -> None:
        self._max_age = max_age
        self._engines_by_prefix: collections.OrderedDict[
            int, dict[ids.EngineName, float]
        ] = collections.OrderedDict()
        self._expected_events: dict[ids.EngineName, tuple[int, int]] = {}
        self._trusted_from: dict[ids.EngineName, float] = {}

    def add_prefixes(
        self,
        engine: ids.EngineName,
        blocks: collections.abc.Iterable[int],
        now: float,
    ) -> None:
        """Record prefixes cached by an engine."""
        for block in blocks:
            engines = self._engines_by_prefix.setdefault(block, {})
            engines[engine] = now
            self._engines_by_prefix.move_to_end(block)
        while len(self._engines_by_prefix) > _MAX_INDEXED_PREFIXES:
            self._engines_by_prefix.popitem(last=False)

    def remove_prefixes(
        self, engine: ids.EngineName, blocks: collections.abc.Iterable[int]
    ) -> None:
        """Remove prefixes that an engine evicted."""
        for block in blocks:
            engines = self._engines_by_prefix.get(block)
            if engines is None:
                continue
            engines.pop(engine, None)
            if not engines:
                del self._engines_by_prefix[block]

    def accept_event(
        self,
        engine: ids.EngineName,
        incarnation: int,
        number: int,
        now: float,
    ) -> bool:
        """Check the number of an event; return False for an old event.

        Event numbers start again when an engine restarts. A restart or a gap
        invalidates all earlier entries of the engine.
        """
        current = (incarnation, number)
        known_incarnation, expected_number = self._expected_events.get(
            engine, current
        )
        if known_incarnation == incarnation and number < expected_number:
            return False
        if known_incarnation != incarnation or number > expected_number:
            self._trusted_from[engine] = now
        self._expected_events[engine] = (incarnation, number + 1)
        return True

    def hits(
        self, blocks: collections.abc.Sequence[int], now: float
    ) -> dict[ids.EngineName, int]:
        """Return how many leading blocks each engine probably caches."""
        hits: dict[ids.EngineName, int] = {}
        for number in range(len(blocks), 0, -1):
            engines = self._engines_by_prefix.get(blocks[number - 1])
            if not engines:
                continue
            for engine, stored_at in engines.items():
                trusted_from = self._trusted_from.get(engine, stored_at)
                is_trusted = (
                    now - stored_at <= self._max_age
                    and stored_at >= trusted_from
                )
                if is_trusted and engine not in hits:
                    hits[engine] = number
        return hits

    def __len__(self) -> int:
        return len(self._engines_by_prefix)
