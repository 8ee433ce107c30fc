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

"""Holds back requests that end the upstreams that run them.

Such a request can't be told from others before it runs, is retried under
another id and at another gateway, and takes down all requests that run beside
it. So for each request digest, the upstreams that ended just after it began
there are counted. Three are enough to hold it back.

Requests that were only beside it look the same, and meet it again when they
are retried. Four rules tell them apart:

- a request that ran to completion is harmless, and is cleared for as long as
  it is remembered;
- an end counts for one request: ends that a held request explains no longer
  count for requests that were there as well;
- suspected requests do not start beside each other (`core/placements`), so one
  that was beside a harmful request is not beside it again;
- at plain upstreams, where placement does not prevent it, one may be beside it
  again. As long as two requests share all their ends, neither is held, until
  so many upstreams have ended that this can't wait.

Where requests are all different and share a harmful part of their prompts, the
parts are counted like requests (`core/poisonparts`). What a held part explains
doesn't count for requests.

The records are grow-only sets, and the verdict follows from them alone. So
gateways may report to each other in any order and repeatedly, and reach the
same verdict (`merge`). A record is dropped ten minutes after its last end:
engines may have been repaired meanwhile, and a request that still ends them is
held again after three.

Times are monotonic seconds; this module does no I/O.
"""

import collections.abc
import dataclasses
import typing
import zlib

from galenahatch.core import poisonparts
from galenahatch import ids

END_THRESHOLD: typing.Final = 3
"""Ends of upstreams after which a request is held back."""
_CERTAIN_END_THRESHOLD: typing.Final = 5
"""Ends after which it is held back though another request shares them all."""
_MAX_ENDS: typing.Final = 8
"""Ends kept for a request; more change nothing."""
_MIN_PERSISTENT_ENDS: typing.Final = 2
"""Ends from which a record is stored."""
RECORD_LIFE_S: typing.Final = 600.0
"""Seconds after its last end for which a request is remembered."""
_MAX_RECORDS: typing.Final = 1024
_MAX_REPORTS: typing.Final = 16
"""Records in one message, about 45 bytes each."""
_RECENT_S: typing.Final = 2.0
"""Seconds for which a change is included in each message; others take turns.
"""

Digest = ids.RequestDigest
Parts = collections.abc.Sequence[ids.PromptPart]


@dataclasses.dataclass(frozen=True)
class Suspicion:
    """Report on a request.

    Attributes:
        ends: Numbers of the upstreams that ended under it.
        age: Seconds since its last end, or since it was cleared.
        cleared: Whether it ran to completion.
    """

    digest: Digest
    ends: tuple[int, ...]
    age: float = 0.0
    cleared: bool = False


@dataclasses.dataclass
class _Record:
    """State of a request.

    Attributes:
        changed_at: Time of its last end, or when it was cleared.
        updated_at: Time at which this gateway was informed of that.
    """

    ends: set[int]
    changed_at: float
    updated_at: float
    cleared: bool = False


class Quarantine:
    """Requests that may end upstreams."""

    def __init__(self) -> None:
        self._records: dict[Digest, _Record] = {}
        self._sound = poisonparts.SoundParts(RECORD_LIFE_S)
        self._held: frozenset[Digest] = frozenset()
        self._verdicts: list[poisonparts.Verdict] = []
        self._next_report = 0

    @property
    def is_empty(self) -> bool:
        """Whether no request is, or recently was, suspected."""
        return not self._records

    @property
    def held(self) -> frozenset[Digest]:
        """Requests that are held back."""
        return self._held

    @property
    def held_parts(self) -> frozenset[frozenset[ids.PromptPart]]:
        """Sets of parts; requests that have all of one set are held back."""
        return frozenset(verdict.parts for verdict in self._verdicts)

    def is_suspect(self, digest: Digest, parts: Parts = ()) -> bool:
        """Return whether upstreams recently ended under a request.

        Args:
            digest: Digest of the request.
            parts: Parts of its prompt that others may share.
        """
        return self._is_suspected(digest, 1) or any(
            self._is_suspected(part, poisonparts.SUSPECT_THRESHOLD)
            for part in parts
        )

    def _is_suspected(self, key: Digest, threshold: int) -> bool:
        record = self._records.get(key)
        return (
            record is not None
            and not record.cleared
            and len(record.ends) >= threshold
        )

    def ends(self, digest: Digest) -> int:
        """Return how many upstreams ended under a request."""
        record = self._records.get(digest)
        return len(record.ends) if record is not None else 0

    # Observations of this gateway.

    def record_end(
        self,
        digest: Digest,
        upstream: ids.UpstreamId,
        now: float,
        parts: Parts = (),
    ) -> None:
        """Record that an upstream ended just after a request began there."""
        number = zlib.crc32(upstream.encode())
        keys = [
            digest,
            *(part for part in parts if not self._sound.includes(part, now)),
        ]
        self.merge([Suspicion(key, (number,)) for key in keys], now)

    def record_success(
        self, digest: Digest, now: float, parts: Parts = ()
    ) -> bool:
        """Record a completed request; return whether it was suspected."""
        self._sound.record(parts, now)
        suspected = [
            key for key in (digest, *parts) if self._is_suspected(key, 0)
        ]
        self.merge([Suspicion(k, (), cleared=True) for k in suspected], now)
        return bool(suspected)

    # Reports between gateways.

    def make_reports(self, now: float) -> list[Suspicion]:
        """Return recent changes, most ends first, and others in turn."""
        recent = sorted(
            (-len(record.ends), -record.updated_at, digest)
            for digest, record in self._records.items()
            if now - record.updated_at < _RECENT_S
        )
        reported = dict.fromkeys(
            digest for _, _, digest in recent[:_MAX_REPORTS]
        )
        digests = list(self._records)
        while digests and len(reported) < min(_MAX_REPORTS, len(digests)):
            self._next_report = (self._next_report + 1) % len(digests)
            reported[digests[self._next_report]] = None
        return [self._suspicion(digest, now) for digest in reported]

    def persistent_records(self, now: float) -> list[Suspicion]:
        """Return the records that must outlive all gateways."""
        return [
            self._suspicion(digest, now)
            for digest, record in self._records.items()
            if len(record.ends) >= _MIN_PERSISTENT_ENDS
        ]

    def merge(
        self, reports: collections.abc.Iterable[Suspicion], now: float
    ) -> bool:
        """Merge reports of another gateway, or a new observation.

        Returns:
            Whether a part was cleared that is known here to be sound, which
            others may not know.
        """
        changed = [report for report in reports if self._merge(report, now)]
        sound = [
            Suspicion(report.digest, (), cleared=True)
            for report in changed
            if self._sound.includes(report.digest, now)
        ]
        cleared = [self._merge(report, now) for report in sound]
        if changed:
            self._update_held()
        return any(cleared)

    def prune(self, now: float) -> None:
        """Drop expired records, and the oldest if there are too many."""
        expired = [
            digest
            for digest, record in self._records.items()
            if now - record.changed_at > RECORD_LIFE_S
        ]
        excess = len(self._records) - len(expired) - _MAX_RECORDS
        if excess > 0:
            held = self._held.union(*self.held_parts)
            by_age = sorted(
                (digest in held, record.changed_at, digest)
                for digest, record in self._records.items()
            )
            expired += [digest for _, _, digest in by_age[:excess]]
        for digest in expired:
            self._records.pop(digest, None)
        if expired:
            self._update_held()

    def _merge(self, report: Suspicion, now: float) -> bool:
        """Merge a report; return whether it changes the record."""
        if report.age > RECORD_LIFE_S:
            return False
        changed_at = now - max(0.0, report.age)
        record = self._records.get(report.digest)
        if record is None:
            record = _Record(set(), changed_at, now)
            self._records[report.digest] = record
        room = _MAX_ENDS - len(record.ends)
        new_ends = sorted(set(report.ends) - record.ends)[:room]
        if not new_ends and record.cleared >= report.cleared:
            return False
        record.ends.update(new_ends)
        record.cleared |= report.cleared
        record.changed_at = max(record.changed_at, changed_at)
        record.updated_at = now
        return True

    def _update_held(self) -> None:
        """Determine the held requests; those with most ends come first."""
        uncleared = {
            key: record.ends
            for key, record in self._records.items()
            if not record.cleared
        }
        parts = {
            ids.PromptPart(key): ends
            for key, ends in uncleared.items()
            if poisonparts.is_part(key)
        }
        requests = [
            (key, ends) for key, ends in uncleared.items() if key not in parts
        ]
        self._verdicts = poisonparts.find_verdicts(
            parts, [ends for _, ends in requests]
        )
        explained = {end for found in self._verdicts for end in found.ends}
        self._held = _held_requests(requests, explained)

    def _suspicion(self, digest: Digest, now: float) -> Suspicion:
        record = self._records[digest]
        return Suspicion(
            digest,
            tuple(sorted(record.ends)),
            max(0.0, now - record.changed_at),
            record.cleared,
        )


def _held_requests(
    requests: collections.abc.Iterable[tuple[Digest, set[int]]],
    explained: set[int],
) -> frozenset[Digest]:
    """Return the requests to hold back.

    Args:
        requests: Each request that is not cleared, with its ends.
        explained: Ends that held parts explain.
    """
    suspects = sorted(requests, key=lambda item: (-len(item[1]), item[0]))
    by_end: dict[int, set[Digest]] = {}
    for digest, ends in suspects:
        for end in ends:
            by_end.setdefault(end, set()).add(digest)
    held = set()
    for digest, ends in suspects:
        unexplained = ends - explained
        if len(unexplained) < END_THRESHOLD:
            continue
        is_ambiguous = (
            len(set.intersection(*(by_end[end] for end in unexplained))) > 1
        )
        if is_ambiguous and len(unexplained) < _CERTAIN_END_THRESHOLD:
            continue
        held.add(digest)
        if not is_ambiguous:
            explained |= ends
    return frozenset(held)
