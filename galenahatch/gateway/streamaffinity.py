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

"""Version affinity of one request: where its stream may run.

The owner names the version of a stream that its caller takes up, or refuses
it. This gateway checks each engine against that version, as the owner may be
of an older build, and records the version of a stream that begins.
"""

import collections.abc
import typing

from galenahatch.core import upstreams
from galenahatch.core import versionaffinity
from galenahatch.gateway import calls
from galenahatch.gateway import instruments
from galenahatch.gateway import messages
from galenahatch import ids


class Known(typing.Protocol):
    """What this gateway knows of versions; see `affinity.VersionAffinity`."""

    def find(
        self, keys: collections.abc.Iterable[ids.StreamKey]
    ) -> ids.SoftwareVersion | None:
        """Return the version that began a stream, if it is known here."""

    def is_single(self, service: ids.ServiceName) -> bool:
        """Return whether at most one version of a service is known here."""

    def is_only(
        self, service: ids.ServiceName, version: ids.SoftwareVersion
    ) -> bool:
        """Return whether no other version of a service is known here."""

    def record(
        self, call: calls.Call, version: ids.SoftwareVersion, deadline: float
    ) -> None:
        """Record the version of a stream whose first event is to leave."""


def stream_keys(call: calls.Call) -> tuple[ids.StreamKey, ...]:
    """Return all keys of the stream that a request begins or takes up.

    A request without an event takes up no stream, whichever it names.
    """
    first = call.last_event_id and call.resumes
    keys = (first or call.id, call.id, _digest_key(call))
    return tuple(ids.StreamKey(key) for key in dict.fromkeys(keys))


def lookup_keys(call: calls.Call) -> tuple[ids.StreamKey, ...]:
    """Return the keys by which a request that takes up a stream finds it.

    Other streams may be of the same request, so its digest counts only if the
    caller doesn't name the stream.
    """
    return (ids.StreamKey(call.resumes or _digest_key(call)),)


def _digest_key(call: calls.Call) -> str:
    assert call.prompt is not None
    return f'{call.digest}/{call.prompt.last_block_id}'


class StreamAffinity:
    """Version of the stream of one request.

    Args:
        known: Versions that this gateway knows.
        call: Request of the caller.
        service: Service of the stream.
    """

    def __init__(
        self,
        known: Known,
        call: calls.Call,
        service: ids.ServiceName,
    ) -> None:
        self._known = known
        self._call = call
        self._service = service
        self._version = versionaffinity.ANY_VERSION
        # Streams that begin are not counted.
        self._is_counted = not call.last_event_id
        if call.last_event_id:
            self.bind(known.find(lookup_keys(call)))

    @property
    def version(self) -> ids.SoftwareVersion:
        """The only version at which the stream may run; empty for any."""
        if self._known.is_only(self._service, self._version):
            return versionaffinity.ANY_VERSION
        return self._version

    def record_decision(
        self, decision: messages.Placement | messages.PlacementRefused
    ) -> None:
        """Bind the stream to the version that the owner names."""
        if isinstance(decision, messages.Placement):
            self.bind(decision.version)
        if not self._is_counted:
            self._is_counted = True
            result = _result_name(decision, self.version)
            instruments.continued_streams.add(1, {'result': result})

    def bind(self, version: ids.SoftwareVersion | None) -> None:
        """Bind the stream to a version, unless it is bound already."""
        self._version = self._version or version or versionaffinity.ANY_VERSION

    def allows(self, engine: upstreams.Upstream) -> bool:
        """Return whether the stream may run at an engine."""
        return engine.is_version_known and self._version in (
            versionaffinity.ANY_VERSION,
            engine.version,
        )

    def unresolved_keys(self) -> tuple[ids.StreamKey, ...]:
        """Return the keys of the stream, if only others may know its version.

        A gateway that has just started asks even if it knows of one version
        only: others may remember another one.
        """
        if not self._call.last_event_id or self._version:
            return ()
        return lookup_keys(self._call)

    @property
    def is_undecided(self) -> bool:
        """Whether the stream began at one of several versions, unknown which.

        An owner that knows of one version only doesn't decide it.
        """
        return bool(self.unresolved_keys()) and not self._known.is_single(
            self._service
        )

    def record_start(
        self, engine: upstreams.Upstream, deadline: float
    ) -> None:
        """Record the first event of a run, which is about to leave.

        Args:
            engine: Engine that runs it.
            deadline: Time after which the caller doesn't return.
        """
        self.bind(engine.version)
        self._known.record(self._call, self._version, deadline)


def _result_name(
    decision: messages.Placement | messages.PlacementRefused,
    version: ids.SoftwareVersion,
) -> str:
    """Return what came of a stream that its caller takes up, for a metric."""
    if isinstance(decision, messages.Placement):
        return 'bound' if version else 'one_version'
    if decision.version_problem is None:
        return 'refused'
    return decision.version_problem.value
