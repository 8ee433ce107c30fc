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

"""Whether the repeat of a failed plain call is worth its send.

A cause may be in the upstream, so that a repeat elsewhere succeeds, or in the
call, which then fails wherever it runs. Two observations tell them apart:

- the failure share of the upstream beyond that of its siblings, as a fraction
  of its own share, is the probability that the upstream is the cause
  (`upstream_fault`);
- for all other failures the share of repeats that succeeded, by service, route
  and reason of the failure, recent ones weighted most.

The chance of a repeat is the mean of both, weighted by that probability. It is
optimistic without evidence. While a service is contended a repeat has to
succeed more often than not; otherwise it is withheld only if it nearly never
succeeds. A withheld kind of repeat is tried now and then; if that succeeds,
most of the evidence against it is dropped.

Gateways report their results to the owner, which replies with the totals: one
gateway sees too few failures of a kind in the time for which a cause lasts.

Times are monotonic seconds; this module does no I/O.
"""

import collections
import collections.abc
import dataclasses
import enum
import itertools
import math
import statistics
import typing

from galenahatch.core import outliers
from galenahatch import ids

_DECAY_S: typing.Final = 60.0
"""Seconds in which a result's weight decays to a third. A gateway alone sees
one failure of a kind in several seconds; trials tell of changes."""
_PRIOR_REPEATS: typing.Final = 1.0
"""Repeats assumed to have succeeded, so that they are sent until at least two
were in vain."""
_CONTENDED_CHANCE: typing.Final = 0.5
"""Least chance while contended: more often than not, the repeat saves a call
that its client would otherwise send again."""
_CALM_CHANCE: typing.Final = 0.1
"""Least chance otherwise: ten sends for one call that succeeds."""
_TRIAL_INTERVAL_S: typing.Final = 5.0
"""Seconds after a repeat until one is sent whatever its chance; faults of
upstreams last about as long."""
_MAX_KINDS: typing.Final = 1024
"""Kinds of failures that are kept, about 200 bytes each; there are five for
each route and service."""


class Reason(enum.Enum):
    """Why a send failed.

    Attributes:
        ERROR: The upstream answered with a server error of its own.
        FULL: The upstream rejected the call for lack of room.
        CONNECTION: The connection was not made, or it broke.
        SILENT: No complete answer arrived in time.
        OTHER: The response was unusable, or the upstream rejected the call
            for another reason than lack of room.
    """

    ERROR = 'error'
    FULL = 'full'
    CONNECTION = 'connection'
    SILENT = 'silent'
    OTHER = 'other'


class Kind(typing.NamedTuple):
    """Failures whose repeats are alike."""

    service: ids.ServiceName
    route: str
    reason: Reason


class Results(typing.NamedTuple):
    """Results of repeats.

    Attributes:
        age: Seconds since the last repeat.
    """

    successes: float
    failures: float
    age: float = 0.0


@dataclasses.dataclass
class _Evidence:
    """Decayed results of repeats.

    Attributes:
        at: Time up to which the counts have decayed.
        sent_at: Time of the last repeat.
    """

    successes: float = 0.0
    failures: float = 0.0
    at: float = -math.inf
    sent_at: float = -math.inf

    def decayed(self, now: float) -> Results:
        """Return the results as of now."""
        factor = math.exp(-max(0.0, now - self.at) / _DECAY_S)
        age = max(0.0, now - self.sent_at)
        return Results(self.successes * factor, self.failures * factor, age)

    def chance(self, now: float) -> float:
        """Return the share of repeats that succeeded, with the prior."""
        current = self.decayed(now)
        successes = _PRIOR_REPEATS + current.successes
        return successes / (successes + current.failures)

    def add(self, results: Results, now: float) -> None:
        """Add results."""
        chance = self.chance(now)
        successes, failures, _ = self.decayed(now)
        if results.successes and chance < _CONTENDED_CHANCE:
            # The cause has changed.
            failures *= 1.0 - min(1.0, results.successes) * (1.0 - chance)
        self.successes = successes + results.successes
        self.failures = failures + results.failures
        self.at = max(self.at, now)
        self.sent_at = max(self.sent_at, now - results.age)


class Tally:
    """Results of repeats by kind; bounded."""

    def __init__(self) -> None:
        self._evidence: collections.OrderedDict[Kind, _Evidence] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._evidence)

    def get(self, kind: Kind) -> _Evidence | None:
        """Return the results of a kind."""
        return self._evidence.get(kind)

    def add(self, kind: Kind, results: Results, now: float) -> None:
        """Add results of a kind."""
        evidence = self._evidence.setdefault(kind, _Evidence())
        self._evidence.move_to_end(kind)
        evidence.add(results, now)
        if len(self._evidence) > _MAX_KINDS:
            self._evidence.popitem(last=False)

    def replace(self, kind: Kind, results: Results, now: float) -> None:
        """Replace the results of a kind by better known ones."""
        known = self._evidence.pop(kind, _Evidence())
        self.add(kind, results._replace(age=math.inf), now)
        sent_at = max(known.sent_at, now - results.age)
        self._evidence[kind].sent_at = sent_at


class RetryValue:
    """Results of repeats as known to one gateway.

    The owner adds up what gateways report, and they replace theirs by its
    totals. Without an owner each goes on with what it knows.
    """

    def __init__(self) -> None:
        self._tally = Tally()
        self._unreported: dict[Kind, Results] = {}

    def __len__(self) -> int:
        return len(self._tally)

    def record(
        self, kind: Kind, succeeded: bool, now: float, fault: float = 0.0
    ) -> None:
        """Record the result of a repeat.

        Args:
            kind: The failure that it followed.
            succeeded: Whether the call succeeded.
            now: Monotonic time in seconds.
            fault: Probability from 0 to 1 that the upstream was the cause of
                the failure, which then tells nothing about the call.
        """
        weight = 1.0 - fault
        self._add(
            kind,
            Results(weight * succeeded, weight * (not succeeded)),
            now,
        )

    def record_send(self, kind: Kind, now: float) -> None:
        """Record that a repeat is sent."""
        self._add(kind, Results(0.0, 0.0), now)

    def record_withheld(self, kind: Kind, now: float) -> None:
        """Record that a repeat is withheld, which asks for the totals."""
        self._add(kind, Results(0.0, 0.0, math.inf), now)

    def _add(self, kind: Kind, results: Results, now: float) -> None:
        self._tally.add(kind, results, now)
        if kind in self._unreported or len(self._unreported) < _MAX_KINDS:
            old = self._unreported.get(kind, Results(0.0, 0.0, math.inf))
            self._unreported[kind] = Results(
                old.successes + results.successes,
                old.failures + results.failures,
                min(old.age, results.age),
            )

    def take_unreported(self, limit: int) -> dict[Kind, Results]:
        """Return results since the last call, to be reported.

        Their age is 0, or infinite if no repeat was sent.
        """
        taken = dict(itertools.islice(self._unreported.items(), limit))
        for kind in taken:
            del self._unreported[kind]
        return taken

    def add_reported(self, kind: Kind, results: Results, now: float) -> None:
        """Add results that another gateway reported."""
        self._tally.add(kind, results, now)

    def total(self, kind: Kind, now: float) -> Results:
        """Return all results of a kind that are known here."""
        return (self._tally.get(kind) or _Evidence()).decayed(now)

    def set_total(self, kind: Kind, results: Results, now: float) -> None:
        """Replace the results of a kind by the owner's."""
        self._tally.replace(kind, results, now)

    def chance(self, kind: Kind, now: float, fault: float = 0.0) -> float:
        """Return the probability that a repeat succeeds, from 0 to 1."""
        evidence = self._tally.get(kind)
        chance = evidence.chance(now) if evidence is not None else 1.0
        return fault + (1.0 - fault) * chance

    def is_worthwhile(
        self, kind: Kind, is_contended: bool, now: float, fault: float = 0.0
    ) -> bool:
        """Return whether a repeat should be sent.

        Args:
            kind: The failure that it follows.
            is_contended: Whether the service has less capacity than calls.
            now: Monotonic time in seconds.
            fault: Probability that the upstream was the cause.
        """
        evidence = self._tally.get(kind)
        if evidence is None or now - evidence.sent_at >= _TRIAL_INTERVAL_S:
            return True
        least = _CONTENDED_CHANCE if is_contended else _CALM_CHANCE
        return self.chance(kind, now, fault) >= least


def upstream_fault(
    failed: outliers.Share, siblings: collections.abc.Sequence[outliers.Share]
) -> float:
    """Return the probability that an upstream caused its failure.

    Args:
        failed: Failure share of the upstream.
        siblings: Failure shares of the other upstreams of its service.

    Returns:
        The probability, from 0 to 1; 0 if there are no siblings.
    """
    if not siblings or failed.likely <= 0.0:
        return 0.0
    # One standard deviation above, as `least` is one below.
    usual = statistics.median_low(
        2 * share.likely - share.least for share in siblings
    )
    return min(1.0, max(0.0, failed.least - usual) / failed.likely)
