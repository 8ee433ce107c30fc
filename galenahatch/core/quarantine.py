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

"""Requests that end the upstreams that begin to run them.

Such a request can't be told from others before it runs, comes again under
another id and at another gateway, and takes all down that run beside it. So
it is counted, by its digest, which upstreams ended under a request that had
just begun there. Three are enough to hold it back.

Those who were only beside it look alike, and meet it again where they are
retried. Four things tell them apart:

- a request that ran whole is none of these, and is cleared for as long as
  anything is remembered of it;
- an end counts for one request: what a held request explains no longer
  counts for those who were there as well;
- requests that are suspected do not begin beside each other
  (`core/placements`), so one that was beside it is not so again;
- where nobody decides that, at plain upstreams, one may be beside it again.
  As long as another was at all the same ends, neither is held, until so many
  have ended that this can't wait.

The records are sets that only grow, and the verdict follows from them alone.
So gateways may tell each other what they know in any order and as often as
they like, and come to the same verdict (`hear`). A record is forgotten ten
minutes after its last end: engines may have been mended meanwhile, and a
request that still ends them is held again after three.

Times are monotonic seconds; there is no input or output here.
"""

import collections.abc
import dataclasses
import typing
import zlib

from galenahatch import ids

END_THRESHOLD: typing.Final = 3
"""Ends of upstreams after which a request is held back."""
_ENDS_SURELY: typing.Final = 5
"""Ends after which it is held back though another one was at all of them."""
_MOST_ENDS: typing.Final = 8
"""Ends that are kept of a request; more change nothing."""
_LASTING: typing.Final = 2
"""Ends from which on a record is worth to be stored."""
RECORD_LIFE_S: typing.Final = 600.0
"""Seconds after its last end for which a request is remembered."""
_MOST_RECORDS: typing.Final = 1024
_MOST_TOLD: typing.Final = 16
"""Records in one message, some 45 bytes each."""
_FRESH: typing.Final = 2.0
"""Seconds for which a change goes into each message; all else in turn."""

Digest = ids.RequestDigest


@dataclasses.dataclass(frozen=True)
class Suspicion:
    """What is told of a request.

    Attributes:
        ends: numbers of the upstreams that ended under it.
        age: seconds since its last end, or since it was cleared.
        cleared: whether it ran whole.
    """

    digest: Digest
    ends: tuple[int, ...]
    age: float = 0.0
    cleared: bool = False


@dataclasses.dataclass
class _Record:
    """What is known of a request.

    Attributes:
        changed_at: its last end, or when it was cleared.
        learnt_at: when that was learnt here.
    """

    ends: set[int]
    changed_at: float
    learnt_at: float
    cleared: bool = False


class Quarantine:
    """What is known of requests that may end upstreams."""

    def __init__(self) -> None:
        self._records: dict[Digest, _Record] = {}
        self._held: frozenset[Digest] = frozenset()
        self._turn = 0

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected, nor was of late."""
        return not self._records

    @property
    def held(self) -> frozenset[Digest]:
        """Requests that are held back."""
        return self._held

    def is_suspect(self, digest: Digest) -> bool:
        """Return whether an upstream ended under a request lately."""
        record = self._records.get(digest)
        return record is not None and not record.cleared

    def ends(self, digest: Digest) -> int:
        """Return how many upstreams ended under a request."""
        record = self._records.get(digest)
        return len(record.ends) if record is not None else 0

    # What this gateway sees.

    def record_end(
        self, digest: Digest, upstream: ids.UpstreamId, now: float
    ) -> None:
        """Note that an upstream ended under a request it had just begun."""
        number = zlib.crc32(upstream.encode())
        self.merge([Suspicion(digest, (number,))], now)

    def record_success(self, digest: Digest, now: float) -> bool:
        """Note that a request ran whole; return whether it was suspected."""
        if not self.is_suspect(digest):
            return False
        self.merge([Suspicion(digest, (), cleared=True)], now)
        return True

    # What gateways tell each other.

    def make_reports(self, now: float) -> list[Suspicion]:
        """Return what is new, most ends first, and of the rest some."""
        fresh = sorted(
            (-len(record.ends), -record.learnt_at, digest)
            for digest, record in self._records.items()
            if now - record.learnt_at < _FRESH
        )
        told = dict.fromkeys(digest for _, _, digest in fresh[:_MOST_TOLD])
        rest = list(self._records)
        while rest and len(told) < min(_MOST_TOLD, len(rest)):
            self._turn = (self._turn + 1) % len(rest)
            told[rest[self._turn]] = None
        return [self._suspicion(digest, now) for digest in told]

    def persistent_records(self, now: float) -> list[Suspicion]:
        """Return what must outlive all gateways."""
        return [
            self._suspicion(digest, now)
            for digest, record in self._records.items()
            if len(record.ends) >= _LASTING
        ]

    def merge(
        self, told: collections.abc.Iterable[Suspicion], now: float
    ) -> None:
        """Add what another gateway knows, or a new observation."""
        changes = [self._merge(one, now) for one in told]
        if any(changes):
            self._judge()

    def prune(self, now: float) -> None:
        """Drop what was long ago, and the oldest of too many."""
        old = [
            digest
            for digest, record in self._records.items()
            if now - record.changed_at > RECORD_LIFE_S
        ]
        excess = len(self._records) - len(old) - _MOST_RECORDS
        if excess > 0:
            by_age = sorted(
                (digest in self._held, record.changed_at, digest)
                for digest, record in self._records.items()
            )
            old += [digest for _, _, digest in by_age[:excess]]
        for digest in old:
            self._records.pop(digest, None)
        if old:
            self._judge()

    def _merge(self, told: Suspicion, now: float) -> bool:
        """Take a record; return whether it tells something new."""
        if told.age > RECORD_LIFE_S:
            return False
        changed_at = now - max(0.0, told.age)
        record = self._records.get(told.digest)
        if record is None:
            record = _Record(set(), changed_at, now)
            self._records[told.digest] = record
        room = _MOST_ENDS - len(record.ends)
        new = sorted(set(told.ends) - record.ends)[:room]
        if not new and record.cleared >= told.cleared:
            return False
        record.ends.update(new)
        record.cleared |= told.cleared
        record.changed_at = max(record.changed_at, changed_at)
        record.learnt_at = now
        return True

    def _judge(self) -> None:
        """Find who is held: who explains most ends comes first."""
        suspects = sorted(
            (
                (digest, record.ends)
                for digest, record in self._records.items()
                if not record.cleared
            ),
            key=lambda item: (-len(item[1]), item[0]),
        )
        by_end: dict[int, set[Digest]] = {}
        for digest, ends in suspects:
            for end in ends:
                by_end.setdefault(end, set()).add(digest)
        explained: set[int] = set()
        held = set()
        for digest, ends in suspects:
            own = ends - explained
            if len(own) < END_THRESHOLD:
                continue
            alike = len(set.intersection(*(by_end[end] for end in own))) > 1
            if alike and len(own) < _ENDS_SURELY:
                continue
            held.add(digest)
            if not alike:
                explained |= ends
        self._held = frozenset(held)

    def _suspicion(self, digest: Digest, now: float) -> Suspicion:
        record = self._records[digest]
        return Suspicion(
            digest,
            tuple(sorted(record.ends)),
            max(0.0, now - record.changed_at),
            record.cleared,
        )
