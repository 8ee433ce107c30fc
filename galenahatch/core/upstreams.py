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

Every start of an upstream is a new incarnation with an id of its own, and
addresses are used again by others. So everything is kept by id, and a send
is pinned to the id that it was meant for.

An upstream that says that it is leaving never takes new work again. One
whose entry vanished takes none either, with one exception: entries lapse
while the store is away and come back about two seconds after its return.
If a whole service vanished that way, its last members are used until then,
since refusing everything would be worse than a send that is turned away.
"""

import dataclasses
import enum
import typing

from galenahatch import ids

LAPSE_GRACE: typing.Final = 1.8
"""Seconds for which a service that vanished whole is still used, if the
bound on leaving upstreams allows it: lapsed entries are promised back within
about two seconds."""
_DRAIN_SHARE: typing.Final = 0.9
"""Part of that bound that may be used; the rest is for the way."""

_REMEMBERED: typing.Final = 60.0
"""Seconds for which a removed upstream is remembered as gone."""


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
        self._grace = min(LAPSE_GRACE, _DRAIN_SHARE * drain)
        self._known: dict[ids.UpstreamId, Upstream] = {}
        self._removed: dict[ids.UpstreamId, tuple[float, Upstream]] = {}
        self._left: dict[ids.UpstreamId, float] = {}

    @property
    def known(self) -> typing.Mapping[ids.UpstreamId, Upstream]:
        """Upstreams by id."""
        return self._known

    def put(self, upstream: Upstream, now: float) -> bool:
        """Take an entry; return whether it changed anything."""
        if upstream.id in self._left and not upstream.leaving:
            # Once an upstream has said that it leaves, it does not return
            # under this id: what says otherwise is older news.
            return False
        if upstream.leaving:
            self._left.setdefault(upstream.id, now)
        before = self._known.get(upstream.id)
        self._removed.pop(upstream.id, None)
        self._known[upstream.id] = upstream
        return before != upstream

    def remove(self, upstream: ids.UpstreamId, now: float) -> bool:
        """Take the news that an entry is gone."""
        gone = self._known.pop(upstream, None)
        if gone is None:
            return False
        self._removed[upstream] = (now, gone)
        self._forget_old(now)
        return True

    def replace(self, entries: typing.Iterable[Upstream], now: float) -> None:
        """Take the whole list: what is not in it is gone."""
        current = {entry.id: entry for entry in entries}
        for missing in [key for key in self._known if key not in current]:
            self.remove(missing, now)
        for entry in current.values():
            self.put(entry, now)

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
        return found

    def takes_work(self, upstream: ids.UpstreamId, now: float) -> bool:
        """Return whether an upstream may be sent new work."""
        found = self._known.get(upstream)
        if found is not None:
            return not found.leaving
        removed = self._removed.get(upstream)
        if removed is None:
            return False
        service = removed[1].service
        return any(u.id == upstream for u in self.usable(service, now))

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
            if key not in self._known and now - left_at > _REMEMBERED:
                del self._left[key]
