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

"""Registry of self-registering upstreams and their availability.

Every start of an upstream is a new incarnation, possibly with the same
instance ID (`core/incarnations`), and addresses are reused by others. State
is therefore keyed by incarnation, and each request is pinned to the ID that
it was meant for. The latest known incarnation replaces earlier ones; later
updates about an earlier incarnation are ignored.

An upstream that announces that it is leaving, in its entry or in a response,
never gets new work again; only a later incarnation does. Neither does one
whose entry disappeared, with one exception: entries expire while the store is
unavailable and return about two seconds after it does. If all entries of a
service disappear, its last upstreams are used until then, since rejecting all
requests is worse than a request that an upstream refuses. An unusable entry
removes its upstream without this grace period: it was written, so it did not
expire.
"""

import collections.abc
import dataclasses
import enum
import typing

from galenahatch.core import incarnations
from galenahatch import ids

LAPSE_GRACE_S: typing.Final = 1.8
"""Seconds for which a service is still used after all its entries
disappeared, if the bound on removed upstreams allows it: expired entries are
guaranteed to return within about two seconds."""
_DRAIN_FRACTION: typing.Final = 0.9
"""Fraction of that bound that may be used; the rest covers transit time."""

_REMOVED_RETENTION_S: typing.Final = 60.0
"""Seconds for which a removed upstream is retained."""
_LEAVING_RETENTION_S: typing.Final = 3600.0
"""Seconds for which a leaving announcement is retained: the store may be
unavailable for long and then list the upstream as ready."""
_NO_VERSION: typing.Final = ids.SoftwareVersion('')


class Stage(enum.Enum):
    """Stage of inference that a model engine runs."""

    PREFILL = 'prefill'
    DECODE = 'decode'


@dataclasses.dataclass(frozen=True)
class Upstream:
    """One incarnation of an upstream.

    Attributes:
        address: Address as `ip:port`.
        slots: Maximum number of concurrent requests.
        leaving: Whether it announced that it accepts no new work.
        stage: Stage that a model engine runs; None for other upstreams.
        version: Version of its software; empty if not known or not stated.
        is_version_known: Whether its entry has been read, which alone tells
            the version. An earlier start that stated none counts, too.
    """

    id: ids.UpstreamId
    service: ids.ServiceName
    address: str
    data_centre: ids.DataCentre
    slots: int
    leaving: bool = False
    stage: Stage | None = None
    version: ids.SoftwareVersion = ids.SoftwareVersion('')
    is_version_known: bool = True

    def restarted(
        self, new_id: ids.UpstreamId, stage: Stage | None
    ) -> 'Upstream':
        """Return a later incarnation whose entry has not been read.

        It may be of another version.
        """
        return dataclasses.replace(
            self,
            id=new_id,
            stage=stage,
            version=_NO_VERSION,
            is_version_known=self.is_version_known and not self.version,
        )


class Registry:
    """Registry of all known upstreams.

    Args:
        drain: Seconds after which a removed upstream must get no requests.
    """

    def __init__(self, drain: float = 2.0) -> None:
        self._lapse_grace = min(LAPSE_GRACE_S, _DRAIN_FRACTION * drain)
        self._upstreams: dict[ids.UpstreamId, Upstream] = {}
        self._removed: dict[ids.UpstreamId, tuple[float, Upstream]] = {}
        self._leaving_since: dict[ids.UpstreamId, float] = {}
        # Latest incarnation of each instance, and the time of its last update.
        self._latest_starts: dict[
            ids.InstanceId, tuple[ids.UpstreamId, float]
        ] = {}

    @property
    def upstreams(self) -> typing.Mapping[ids.UpstreamId, Upstream]:
        """Upstreams by ID."""
        return self._upstreams

    def latest_start(self, instance: ids.InstanceId) -> ids.UpstreamId | None:
        """Return the latest known incarnation of an instance, or None."""
        latest = self._latest_starts.get(instance)
        return latest[0] if latest is not None else None

    def register(self, upstream: Upstream, now: float) -> bool:
        """Add or update an upstream; return whether anything changed."""
        instance = incarnations.instance_id(upstream.id)
        latest = self.latest_start(instance)
        if latest is not None:
            if (
                incarnations.started_ms(upstream.id)
                == incarnations.UNKNOWN_START
            ):
                upstream = dataclasses.replace(upstream, id=latest)
            elif incarnations.is_later_start(latest, upstream.id):
                return False
            elif latest != upstream.id:
                self._discard(latest)
        self._latest_starts[instance] = upstream.id, now
        if upstream.id in self._leaving_since and not upstream.leaving:
            # Leaving is final for an incarnation: an entry that says
            # otherwise is stale.
            return False
        if upstream.leaving:
            self._leaving_since.setdefault(upstream.id, now)
        previous = self._upstreams.get(upstream.id)
        self._removed.pop(upstream.id, None)
        self._upstreams[upstream.id] = upstream
        return previous != upstream

    def mark_leaving(self, upstream: ids.UpstreamId, now: float) -> bool:
        """Record an upstream's own announcement that it is leaving.

        Returns:
            Whether it was not known to be leaving.
        """
        if upstream in self._leaving_since:
            return False
        self._leaving_since[upstream] = now
        known = self._upstreams.get(upstream)
        if known is not None:
            self._upstreams[upstream] = dataclasses.replace(
                known, leaving=True
            )
        removed = self._removed.get(upstream)
        if removed is not None:
            leaving = dataclasses.replace(removed[1], leaving=True)
            self._removed[upstream] = removed[0], leaving
        return True

    def record_restart(
        self,
        upstream: ids.UpstreamId,
        start_ms: int,
        stage: Stage | None,
        now: float,
    ) -> Upstream | None:
        """Record the start time that an upstream itself reports.

        The report may precede the entry. An upstream known to be leaving is
        not used again until its entry shows the new incarnation.

        Args:
            upstream: Upstream that was queried.
            start_ms: Reported start time in Unix milliseconds.
            stage: Reported stage.
            now: Monotonic seconds.

        Returns:
            Later incarnation if there is one that accepts work, else None.
        """
        known = self._upstreams.get(upstream)
        if known is None or known.leaving:
            return None
        instance = incarnations.instance_id(upstream)
        new_id = incarnations.upstream_id(instance, start_ms)
        if not incarnations.is_later_start(new_id, upstream):
            return None
        started = known.restarted(new_id, stage)
        self.register(started, now)
        return started

    def remove(self, instance: ids.InstanceId, now: float) -> bool:
        """Remove an upstream whose entry disappeared."""
        latest = self.latest_start(instance)
        removed = (
            self._upstreams.pop(latest, None) if latest is not None else None
        )
        if removed is None:
            return False
        self._removed[removed.id] = (now, removed)
        self._latest_starts[instance] = removed.id, now
        self._prune(now)
        return True

    def remove_unusable(self, instance: ids.InstanceId, now: float) -> bool:
        """Remove an upstream whose entry is unusable, without grace period."""
        was_known = self.remove(instance, now)
        latest = self.latest_start(instance)
        if latest is not None:
            self._removed.pop(latest, None)
        return was_known

    def replace_all(
        self,
        entries: typing.Iterable[Upstream],
        now: float,
        retained: collections.abc.Set[str] = frozenset(),
    ) -> None:
        """Apply a complete list and remove entries missing from it.

        Args:
            entries: All listed upstreams.
            now: Monotonic seconds.
            retained: Instance IDs to keep although they are not listed.
        """
        by_instance = {incarnations.instance_id(e.id): e for e in entries}
        known_instances = {
            incarnations.instance_id(key) for key in self._upstreams
        }
        for missing in known_instances - by_instance.keys() - retained:
            self.remove(missing, now)
        for entry in by_instance.values():
            self.register(entry, now)

    def usable(self, service: ids.ServiceName, now: float) -> list[Upstream]:
        """Return the upstreams of a service that accept new work."""
        accepting = [
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == service and not upstream.leaving
        ]
        return accepting or self._lapsed(service, now)

    def find(self, upstream: ids.UpstreamId) -> Upstream | None:
        """Return an upstream, including a recently removed one."""
        known = self._upstreams.get(upstream)
        if known is None and upstream in self._removed:
            return self._removed[upstream][1]
        return known or self._unlisted_start(upstream)

    def accepts_work(self, upstream: ids.UpstreamId, now: float) -> bool:
        """Return whether an upstream accepts new work."""
        if upstream in self._leaving_since:
            return False
        known = self._upstreams.get(upstream)
        if known is not None:
            return not known.leaving
        unlisted = self._unlisted_start(upstream)
        if unlisted is not None:
            return not unlisted.leaving
        removed = self._removed.get(upstream)
        if removed is None:
            return False
        service = removed[1].service
        return any(u.id == upstream for u in self.usable(service, now))

    def _unlisted_start(self, upstream: ids.UpstreamId) -> Upstream | None:
        """Return an incarnation that only another VM knows of yet.

        The owner reads an engine's report before the engine rewrites its
        entry, and places runs on the incarnation that it found there.
        """
        latest = self.latest_start(incarnations.instance_id(upstream))
        if latest is None or latest not in self._upstreams:
            return None
        if not incarnations.is_later_start(upstream, latest):
            return None
        known = self._upstreams[latest]
        return known.restarted(upstream, known.stage)

    def _discard(self, upstream: ids.UpstreamId) -> None:
        """Remove an incarnation that a later one replaced."""
        self._upstreams.pop(upstream, None)
        self._removed.pop(upstream, None)
        self._leaving_since.pop(upstream, None)

    def _lapsed(self, service: ids.ServiceName, now: float) -> list[Upstream]:
        return [
            upstream
            for removed_at, upstream in self._removed.values()
            if upstream.service == service
            and not upstream.leaving
            and now - removed_at < self._lapse_grace
        ]

    def _prune(self, now: float) -> None:
        for key, (removed_at, _) in list(self._removed.items()):
            if now - removed_at > _REMOVED_RETENTION_S:
                del self._removed[key]
        for key, leaving_since in list(self._leaving_since.items()):
            if (
                key not in self._upstreams
                and now - leaving_since > _LEAVING_RETENTION_S
            ):
                del self._leaving_since[key]
        for instance, (latest, updated_at) in list(
            self._latest_starts.items()
        ):
            is_expired = now - updated_at > _REMOVED_RETENTION_S
            if is_expired and latest not in self._upstreams:
                if latest not in self._removed:
                    del self._latest_starts[instance]
