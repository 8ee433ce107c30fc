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

Times are monotonic seconds; this module does no I/O.
"""

import collections
import collections.abc
import dataclasses
import enum
import math
import statistics
import typing

from galenahatch.core import outliers
from galenahatch import ids

_DECAY_S: typing.Final = 60.0
"""Seconds in which a result's weight decays to a third. One gateway sees a
failure of one kind in several seconds; trials tell of changes."""
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

    def decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self.at) / _DECAY_S)
        self.successes *= factor
        self.failures *= factor
        self.at = max(self.at, now)

    def chance(self, now: float) -> float:
        factor = math.exp(-max(0.0, now - self.at) / _DECAY_S)
        successes = _PRIOR_REPEATS + self.successes * factor
        return successes / (successes + self.failures * factor)


class RetryValue:
    """Results of the repeats of one gateway."""

    def __init__(self) -> None:
        self._evidence: collections.OrderedDict[Kind, _Evidence] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._evidence)

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
        evidence = self._get(kind)
        evidence.decay(now)
        weight = 1.0 - fault
        if not succeeded:
            evidence.failures += weight
            return
        chance = evidence.chance(now)
        if chance < _CONTENDED_CHANCE:
            # The cause has changed.
            evidence.failures *= 1.0 - weight * (1.0 - chance)
        evidence.successes += weight

    def record_send(self, kind: Kind, now: float) -> None:
        """Record that a repeat is sent."""
        self._get(kind).sent_at = now

    def chance(self, kind: Kind, now: float, fault: float = 0.0) -> float:
        """Return the probability that a repeat succeeds, from 0 to 1."""
        evidence = self._evidence.get(kind)
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
        evidence = self._evidence.get(kind)
        if evidence is None or now - evidence.sent_at >= _TRIAL_INTERVAL_S:
            return True
        least = _CONTENDED_CHANCE if is_contended else _CALM_CHANCE
        return self.chance(kind, now, fault) >= least

    def _get(self, kind: Kind) -> _Evidence:
        evidence = self._evidence.setdefault(kind, _Evidence())
        self._evidence.move_to_end(kind)
        if len(self._evidence) > _MAX_KINDS:
            self._evidence.popitem(last=False)
        return evidence


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
