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

"""Which software version began which stream.

What engines of two software versions write doesn't fit together, so a stream
continues only at the version that wrote its first event. A stream is known by
keys: the ids of the requests that brought its events, and a digest by which a
caller that names no id is recognised. Two streams may share a digest; if they
began at different versions, it stands for neither.

The versions in service are remembered for a while after their last engine:
as long as only one has been there, every stream is of that version. A process
that has just started can't know it from its own memory
(`gateway/versionhistory`).

Times are monotonic seconds; this module does no I/O.
"""

import collections.abc
import dataclasses
import enum
import math
import typing

from galenahatch.core import upstreams
from galenahatch import ids

VERSION_RETENTION_S: typing.Final = 60.0
"""Seconds after its last engine for which streams of a version may return; the
longest streams are shorter."""
MAX_RECORDS: typing.Final = 131072
"""Keys remembered; 14 s of 2,900 streams a second have 81,200."""
MAX_VERSIONS: typing.Final = 256
"""Versions of a service within their retention that are told apart."""
SETTLE_S: typing.Final = 0.6
"""Seconds for which a gateway that has just become the owner waits for what
others know of a stream; they tell it within a heartbeat."""
RECENT_OWNER_S: typing.Final = 2.0
"""Seconds for which an owner counts as new."""

Key = ids.StreamKey
Version = ids.SoftwareVersion
ANY_VERSION: typing.Final = Version('')
"""No restriction to a version."""


class Problem(enum.Enum):
    """Reason why a stream can't continue at its version.

    Attributes:
        UNKNOWN: It is not known which of several versions began it.
        NOT_SERVED: No decode engine runs the version that began it.
    """

    UNKNOWN = 'unknown'
    NOT_SERVED = 'not_served'


@dataclasses.dataclass(frozen=True)
class Origin:
    """Version that began a stream.

    Attributes:
        version: The version; empty if several streams share the key.
        expires_at: Time after which the caller doesn't return.
    """

    version: Version
    expires_at: float


class Origins:
    """Origins of streams, by key."""

    def __init__(self) -> None:
        self._origins: dict[Key, Origin] = {}

    def __len__(self) -> int:
        return len(self._origins)

    def find(
        self, keys: collections.abc.Iterable[Key], now: float
    ) -> Version | None:
        """Return the version of the first key that is known, or None."""
        for key in keys:
            origin = self._origins.get(key)
            if origin is None or origin.expires_at < now:
                continue
            if origin.version:
                return origin.version
        return None

    def record(
        self, key: Key, version: Version, expires_at: float, now: float
    ) -> None:
        """Record the version that began a stream, or that it continues at."""
        known = self._origins.pop(key, None)
        if known is not None and known.expires_at >= now:
            if known.version != version:
                version = ANY_VERSION
            expires_at = max(expires_at, known.expires_at)
        # The latest is at the end, so the front expires about first.
        self._origins[key] = Origin(version, expires_at)
        if len(self._origins) > MAX_RECORDS:
            del self._origins[next(iter(self._origins))]

    def get(self, key: Key) -> Origin | None:
        """Return what is known of a key."""
        return self._origins.get(key)

    def keys(self) -> list[Key]:
        """Return all keys, those recorded last in front."""
        return list(reversed(self._origins))

    def prune(self, now: float) -> None:
        """Forget streams whose callers don't return any more."""
        expired = [
            key
            for key, origin in self._origins.items()
            if origin.expires_at < now
        ]
        for key in expired:
            del self._origins[key]


def stated_versions(
    engines: collections.abc.Iterable[upstreams.Upstream],
) -> dict[ids.ServiceName, set[Version]]:
    """Return the versions of model engines, by service.

    Empty stands for engines that state none. Those whose version isn't known
    yet count for no version.
    """
    versions: dict[ids.ServiceName, set[Version]] = {}
    for engine in engines:
        if engine.stage is not None and engine.is_version_known:
            versions.setdefault(engine.service, set()).add(engine.version)
    return versions


class ServedVersions:
    """Versions in service, or recently, by service.

    Of each service, the `MAX_VERSIONS + 1` versions that left last are kept.
    So a service with more than `MAX_VERSIONS` may have had others.
    """

    def __init__(self) -> None:
        self._present: dict[ids.ServiceName, frozenset[Version]] = {}
        self._left_at: dict[ids.ServiceName, dict[Version, float]] = {}

    def update(
        self,
        present: collections.abc.Mapping[ids.ServiceName, frozenset[Version]],
        now: float,
    ) -> None:
        """Set the versions of all engines that are listed."""
        for service, versions in self._present.items():
            for version in versions - present.get(service, frozenset()):
                self._add_left(service, version, now)
        for service in list(self._left_at):
            self._prune(service, now)
        self._present = dict(present)

    def add_past(
        self, service: ids.ServiceName, version: Version, left_at: float
    ) -> None:
        """Add a version that served before, as another process recorded it."""
        self._add_left(service, version, left_at)

    def _add_left(
        self, service: ids.ServiceName, version: Version, left_at: float
    ) -> None:
        left = self._left_at.setdefault(service, {})
        left[version] = max(left.get(version, left_at), left_at)
        if len(left) > MAX_VERSIONS + 1:
            del left[min(left, key=left.__getitem__)]

    def names(self) -> set[ids.ServiceName]:
        """Return the services of which any version is known."""
        return {*self._present, *self._left_at}

    def left_times(
        self, service: ids.ServiceName, now: float
    ) -> dict[Version, float]:
        """Return when versions of a service left; infinity if they serve."""
        self._prune(service, now)
        present = self._present.get(service, frozenset())
        left = self._left_at.get(service, {})
        return left | dict.fromkeys(present, math.inf)

    def several(
        self,
        now: float,
        is_used: collections.abc.Callable[
            [ids.ServiceName], bool
        ] = lambda name: True,
    ) -> bool:
        """Return whether any service has several versions, or had.

        Args:
            now: Monotonic time in seconds.
            is_used: Returns whether a service counts.
        """
        return any(
            is_used(name) and not self.is_single(name, now)
            for name in self.names()
        )

    def is_single(self, service: ids.ServiceName, now: float) -> bool:
        """Return whether at most one version of a service is known."""
        return len(self.left_times(service, now)) <= 1

    def is_only(
        self, service: ids.ServiceName, version: Version, now: float
    ) -> bool:
        """Return whether no other version of a service is known."""
        return self.left_times(service, now).keys() <= {version}

    def _prune(self, service: ids.ServiceName, now: float) -> None:
        left = self._left_at.get(service, {})
        for version, left_at in list(left.items()):
            if now - left_at > VERSION_RETENTION_S:
                del left[version]
        if not left:
            self._left_at.pop(service, None)
