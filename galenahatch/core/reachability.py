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
"""Paths of one gateway to upstreams, and whether they are lost.

A failed connection doesn't tell whether the upstream failed or only the path
from here. So another gateway tries the same upstream: if it reaches it, the
path is lost (asymmetric reachability), otherwise the upstream is unreachable
and nobody else is asked about it for a while.

Two paths lost with no answer on a direct send in between count as a partition
from all upstreams, as trying the rest one by one would cost a request each.
The first connection that succeeds refutes it. Lost paths are probed; one that
is lost again soon after its return is probed at longer intervals.

Times are monotonic seconds; this module does no I/O.
"""

import collections.abc
import dataclasses
import math
import typing

from galenahatch import ids

PROBE_INTERVAL_S: typing.Final = 0.5
"""Interval between probes while a path is lost."""
_MAX_PROBE_INTERVAL_S: typing.Final = 4.0
_FLAP_S: typing.Final = 10.0
"""A path lost again within this time of its return is probed less often."""
_UNREACHABLE_S: typing.Final = 1.0
"""Time for which no other gateway is asked about an unreachable upstream."""
_CHECK_INTERVAL_S: typing.Final = 1.0
"""Minimum interval between two checks of a path that was not lost."""
_PARTITION_PATHS: typing.Final = 2
"""Upstreams whose silence or lost paths point to a partition."""
_MAX_PROBES: typing.Final = 4
"""Paths that are probed at the same time."""


@dataclasses.dataclass
class _Path:
    """Path to one upstream that has failed.

    Attributes:
        lost_at: Time at which it was lost; None if it is not lost.
        restored_at: Time of the last successful connection.
        unreachable_until: Time until which no gateway reaches the upstream.
        checked_at: Time of the last check after sends without an answer.
        probe_at: Time of the next probe.
        interval: Seconds until the probe after that.
    """

    lost_at: float | None = None
    restored_at: float = -math.inf
    unreachable_until: float = -math.inf
    checked_at: float = -math.inf
    probe_at: float = 0.0
    interval: float = PROBE_INTERVAL_S

    def lose(self, now: float) -> None:
        if now - self.restored_at > _FLAP_S:
            self.interval = PROBE_INTERVAL_S
        else:
            self.interval = min(2 * self.interval, _MAX_PROBE_INTERVAL_S)
        self.lost_at = now
        self.probe_at = now + self.interval


class Reachability:
    """Paths of this gateway to all upstreams."""

    def __init__(self) -> None:
        self._paths: dict[ids.UpstreamId, _Path] = {}
        self._answered_at = -math.inf
        self._unanswered: set[ids.UpstreamId] = set()
        self._probed: collections.abc.Sequence[ids.UpstreamId] = ()
        self._probe_at = 0.0
        self.is_partitioned = False

    @property
    def lost(self) -> list[ids.UpstreamId]:
        """Upstreams whose paths are known to be lost."""
        return [
            key
            for key, path in self._paths.items()
            if path.lost_at is not None
        ]

    @property
    def needs_probes(self) -> bool:
        """Whether a path is lost."""
        return self.is_partitioned or bool(self.lost)

    def is_lost(self, upstream: ids.UpstreamId) -> bool:
        """Return whether the path to an upstream is lost."""
        if self.is_partitioned:
            return True
        path = self._paths.get(upstream)
        return path is not None and path.lost_at is not None

    def is_unreachable(self, upstream: ids.UpstreamId, now: float) -> bool:
        """Return whether no gateway reached an upstream a moment ago."""
        path = self._paths.get(upstream)
        return path is not None and now < path.unreachable_until

    def record_unanswered(self, upstream: ids.UpstreamId, now: float) -> bool:
        """Record a direct send without an answer; it may have arrived.

        Returns:
            Whether to check the path: other upstreams did not answer either,
            and no send was answered in between. A single upstream that is
            silent would get a connection from each gateway.
        """
        self._unanswered.add(upstream)
        if len(self._unanswered) < _PARTITION_PATHS:
            return False
        path = self._path(upstream)
        if now - path.checked_at < _CHECK_INTERVAL_S:
            return False
        path.checked_at = now
        return path.lost_at is None and now >= path.unreachable_until

    def record_answer(self, now: float) -> None:
        """Record an answer to a direct send."""
        self._answered_at = now
        if self._unanswered:
            self._unanswered.clear()

    def record_lost(self, upstream: ids.UpstreamId, now: float) -> bool:
        """Record that another gateway reached an upstream and this one not.

        Returns:
            Whether the path was not known to be lost.
        """
        path = self._path(upstream)
        path.unreachable_until = -math.inf
        if path.lost_at is not None:
            return False
        path.lose(now)
        recent = [
            other
            for other in self._paths.values()
            if other.lost_at is not None and other.lost_at > self._answered_at
        ]
        if len(recent) >= _PARTITION_PATHS and not self.is_partitioned:
            self.is_partitioned = True
            self._probe_at = now
        return True

    def record_unreachable(self, upstream: ids.UpstreamId, now: float) -> None:
        """Record that no gateway that tried reached an upstream."""
        path = self._path(upstream)
        path.unreachable_until = now + _UNREACHABLE_S
        path.lost_at = None

    def record_connected(
        self, upstream: ids.UpstreamId, now: float
    ) -> float | None:
        """Record a direct connection.

        Returns:
            Seconds for which the path was lost; None if it was not.
        """
        if self.is_partitioned:
            self.is_partitioned = False
            for path in self._paths.values():
                path.probe_at = min(path.probe_at, now)
        self.record_answer(now)
        known = self._paths.get(upstream)
        if known is None or known.lost_at is None:
            return None
        seconds = now - known.lost_at
        known.lost_at = None
        known.restored_at = now
        return seconds

    def due_probes(
        self, known: collections.abc.Sequence[ids.UpstreamId], now: float
    ) -> list[ids.UpstreamId]:
        """Return the upstreams to which a connection is tried now.

        In a partition that is one at a time of all, those not yet tried first:
        any that is reached refutes it.

        Args:
            known: All upstreams.
            now: Time of the probes.
        """
        if self.is_partitioned:
            return self._next_of_all(known, now)
        due = [
            key
            for key, path in self._paths.items()
            if path.lost_at is not None and path.probe_at <= now
        ][:_MAX_PROBES]
        for key in due:
            path = self._paths[key]
            path.probe_at = now + path.interval
        return due

    def _next_of_all(
        self, known: collections.abc.Sequence[ids.UpstreamId], now: float
    ) -> list[ids.UpstreamId]:
        if now < self._probe_at or not known:
            return []
        self._probe_at = now + PROBE_INTERVAL_S
        last_round = {key: n for n, key in enumerate(self._probed)}
        chosen = min(
            known,
            key=lambda key: (last_round.get(key, -1), key in self._paths),
        )
        others = [key for key in self._probed if key in set(known) - {chosen}]
        self._probed = [*others, chosen]
        return [chosen]

    def prune(self, known: collections.abc.Container[ids.UpstreamId]) -> None:
        """Drop upstreams that are no longer listed, and old silence.

        Called about once a second, within which a partition shows.
        """
        for key in [key for key in self._paths if key not in known]:
            del self._paths[key]
        self._unanswered.clear()
        if not self._paths:
            self.is_partitioned = False

    def _path(self, upstream: ids.UpstreamId) -> _Path:
        return self._paths.setdefault(upstream, _Path())
