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

"""Upstreams that register themselves, and which of them take new work.

Every start of an upstream is a new incarnation, which may have the id of the
one before (`core/incarnations`), and addresses are used again by others. So
everything is kept by incarnation, and a send is pinned to the id that it was
meant for. The latest start that was heard of replaces the ones before it;
what is heard of an earlier one later on changes nothing.

An upstream that says that it is leaving, in its entry or in an answer, never
takes new work again; only a later start of it does. One whose entry vanished
takes none either, with one exception: entries lapse while the store is away
and come back about two seconds after its return. If a whole service vanished
that way, its last members are used until then, since refusing everything
would be worse than a send that is turned away. An entry that can't be used
takes the upstream away without that grace: somebody wrote it, so it did not
lapse.
"""

import collections.abc
import dataclasses
import enum
import typing

from galenahatch.core import incarnations
from galenahatch import ids

LAPSE_GRACE_S: typing.Final = 1.8
"""Seconds for which a service that vanished whole is still used, if the
bound on leaving upstreams allows it: lapsed entries are promised back within
about two seconds."""
_DRAIN_SHARE: typing.Final = 0.9
"""Part of that bound that may be used; the rest is for the way."""

_REMEMBERED: typing.Final = 60.0
"""Seconds for which a removed upstream is remembered as gone."""
_LEFT_REMEMBERED: typing.Final = 3600.0
"""Seconds for which one that said that it leaves is remembered: the store may
be away for long, and tell of it as ready afterwards."""


class Stage(enum.Enum):
    """What a model engine does."""

    PREFILL = 'prefill'
    DECODE = 'decode'


@dataclasses.dataclass(frozen=True)
class Upstream:
    """One incarnation of an upstream.

    Attributes:
        address: `ip:port`.
        slots: requests that it runs at once.
        leaving: whether it told that it takes no new work.
        stage: of a model engine.
    """

    id: ids.UpstreamId
    service: ids.ServiceName
    address: str
    data_centre: ids.DataCentre
    slots: int
    leaving: bool = False
    stage: Stage | None = None


class Registry:
    """All upstreams that are known.

    Args:
        drain: seconds after which an upstream that is gone may get nothing.
    """

    def __init__(self, drain: float = 2.0) -> None:
        self._grace = min(LAPSE_GRACE_S, _DRAIN_SHARE * drain)
        self._known: dict[ids.UpstreamId, Upstream] = {}
        self._removed: dict[ids.UpstreamId, tuple[float, Upstream]] = {}
        self._left: dict[ids.UpstreamId, float] = {}
        # Latest start of each instance, and when it was heard of last.
        self._latest: dict[ids.InstanceId, tuple[ids.UpstreamId, float]] = {}

    @property
    def upstreams(self) -> typing.Mapping[ids.UpstreamId, Upstream]:
        """Upstreams by id."""
        return self._known

    def latest_start(self, instance: ids.InstanceId) -> ids.UpstreamId | None:
        """Return the latest start of an instance that was heard of."""
        found = self._latest.get(instance)
        return found[0] if found is not None else None

    def register(self, upstream: Upstream, now: float) -> bool:
        """Take an entry; return whether it changed anything."""
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
                self._forget(latest)
        self._latest[instance] = upstream.id, now
        if upstream.id in self._left and not upstream.leaving:
            # Once an upstream has said that it leaves, this start of it does
            # not return: what says otherwise is older news.
            return False
        if upstream.leaving:
            self._left.setdefault(upstream.id, now)
        before = self._known.get(upstream.id)
        self._removed.pop(upstream.id, None)
        self._known[upstream.id] = upstream
        return before != upstream

    def mark_leaving(self, upstream: ids.UpstreamId, now: float) -> bool:
        """Take from an upstream itself that it leaves.

        Returns:
            Whether that is news.
        """
        if upstream in self._left:
            return False
        self._left[upstream] = now
        found = self._known.get(upstream)
        if found is not None:
            self._known[upstream] = dataclasses.replace(found, leaving=True)
        removed = self._removed.get(upstream)
        if removed is not None:
            gone = dataclasses.replace(removed[1], leaving=True)
            self._removed[upstream] = removed[0], gone
        return True

    def record_restart(
        self,
        upstream: ids.UpstreamId,
        born: int,
        stage: Stage | None,
        now: float,
    ) -> Upstream | None:
        """Take from an upstream itself when it started.

        It tells so earlier than its entry may. One that leaves is not used
        again before its entry says so.

        Args:
            upstream: that was asked.
            born: Unix milliseconds of its start, as it says.
            stage: that it is in, as it says.
            now: monotonic seconds.

        Returns:
            The later start, if it is one that takes work.
        """
        before = self._known.get(upstream)
        if before is None or before.leaving:
            return None
        instance = incarnations.instance_id(upstream)
        later = incarnations.upstream_id(instance, born)
        if not incarnations.is_later_start(later, upstream):
            return None
        started = dataclasses.replace(before, id=later, stage=stage)
        self.register(started, now)
        return started

    def remove(self, instance: ids.InstanceId, now: float) -> bool:
        """Take the news that an entry is gone."""
        latest = self.latest_start(instance)
        gone = self._known.pop(latest, None) if latest is not None else None
        if gone is None:
            return False
        self._removed[gone.id] = (now, gone)
        self._latest[instance] = gone.id, now
        self._forget_old(now)
        return True

    def remove_unusable(self, instance: ids.InstanceId, now: float) -> bool:
        """Take the news that an entry names no upstream that can be used."""
        was_known = self.remove(instance, now)
        latest = self.latest_start(instance)
        if latest is not None:
            self._removed.pop(latest, None)
        return was_known

    def replace_all(
        self,
        entries: typing.Iterable[Upstream],
        now: float,
        kept: collections.abc.Set[str] = frozenset(),
    ) -> None:
        """Take the whole list: what is not in it is gone, or is kept."""
        current = {incarnations.instance_id(e.id): e for e in entries}
        present = {incarnations.instance_id(key) for key in self._known}
        for missing in present - current.keys() - kept:
            self.remove(missing, now)
        for entry in current.values():
            self.register(entry, now)

    def usable(self, service: ids.ServiceName, now: float) -> list[Upstream]:
        """Return the upstreams of a service that take new work."""
        found = [
            upstream
            for upstream in self._known.values()
            if upstream.service == service and not upstream.leaving
        ]
        return found or self._lapsed(service, now)

    def find(self, upstream: ids.UpstreamId) -> Upstream | None:
        """Return an upstream, also one whose entry vanished lately."""
        found = self._known.get(upstream)
        if found is None and upstream in self._removed:
            return self._removed[upstream][1]
        return found or self._ahead(upstream)

    def accepts_work(self, upstream: ids.UpstreamId, now: float) -> bool:
        """Return whether an upstream may be sent new work."""
        if upstream in self._left:
            return False
        found = self._known.get(upstream)
        if found is not None:
            return not found.leaving
        ahead = self._ahead(upstream)
        if ahead is not None:
            return not ahead.leaving
        removed = self._removed.get(upstream)
        if removed is None:
            return False
        service = removed[1].service
        return any(u.id == upstream for u in self.usable(service, now))

    def _ahead(self, upstream: ids.UpstreamId) -> Upstream | None:
        """Return a start that another VM knows of and this one does not yet.

        The owner reads an engine's report before the engine's entry is
        written again, and places runs on the start that it found there.
        """
        latest = self.latest_start(incarnations.instance_id(upstream))
        if latest is None or latest not in self._known:
            return None
        if not incarnations.is_later_start(upstream, latest):
            return None
        return dataclasses.replace(self._known[latest], id=upstream)

    def _forget(self, upstream: ids.UpstreamId) -> None:
        """Forget a start that another one has followed."""
        self._known.pop(upstream, None)
        self._removed.pop(upstream, None)
        self._left.pop(upstream, None)

    def _lapsed(self, service: ids.ServiceName, now: float) -> list[Upstream]:
        return [
            upstream
            for removed_at, upstream in self._removed.values()
            if upstream.service == service
            and not upstream.leaving
            and now - removed_at < self._grace
        ]

    def _forget_old(self, now: float) -> None:
        for key, (removed_at, _) in list(self._removed.items()):
            if now - removed_at > _REMEMBERED:
                del self._removed[key]
        for key, left_at in list(self._left.items()):
            if key not in self._known and now - left_at > _LEFT_REMEMBERED:
                del self._left[key]
        for instance, (latest, heard_at) in list(self._latest.items()):
            is_old = now - heard_at > _REMEMBERED
            if is_old and latest not in self._known:
                if latest not in self._removed:
                    del self._latest[instance]
