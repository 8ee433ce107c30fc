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

"""Decides whether one request to a plain service is repeated after a failure.

Only where admission control is enabled for the service; otherwise each repeat
that the route and the retry budget allow is sent.
"""

import typing

from galenahatch import clock
from galenahatch.core import retryvalue
from galenahatch.core import routes
from galenahatch.gateway import calls
from galenahatch.gateway import context as contexts
from galenahatch.gateway import instruments
from galenahatch import ids
from galenahatch import logs

_log = logs.Log('repeats')


class _Failure(typing.NamedTuple):
    """A failed send.

    Attributes:
        fault: Probability that its upstream was the cause.
    """

    kind: retryvalue.Kind
    upstream: ids.UpstreamId
    fault: float


class Repeats:
    """Repeats of one request."""

    def __init__(
        self,
        context: contexts.Context,
        call: calls.Call,
        route: routes.Route,
        service: ids.ServiceName,
    ) -> None:
        self._context = context
        self._call = call
        self._route = route
        self._service = service
        self._failure: _Failure | None = None

    def is_worthwhile(self) -> bool:
        """Return whether to repeat the request after its last failure."""
        failure = self._failure
        if failure is None or not self._is_enabled():
            return True
        value = self._context.retry_value
        now = clock.now()
        is_contended = self._context.contention.is_contended(self._service)
        if value.is_worthwhile(failure.kind, is_contended, now, failure.fault):
            return True
        value.record_withheld(failure.kind, now)
        reason = failure.kind.reason.value
        instruments.retries_withheld.add(
            1, {'service': self._service, 'reason': reason}
        )
        _log.info(
            'Retry withheld.',
            request=self._call.id,
            service=self._service,
            route=self._route.name,
            reason=reason,
            upstream=failure.upstream,
            fault=failure.fault,
            chance=value.chance(failure.kind, now, failure.fault),
            contended=is_contended,
        )
        return False

    def would_repeat_silent(self, upstream: ids.UpstreamId) -> bool:
        """Return whether to repeat the request if an upstream is silent."""
        if not self._is_enabled():
            return True
        return self._context.retry_value.is_worthwhile(
            self._kind(retryvalue.Reason.SILENT),
            self._context.contention.is_contended(self._service),
            clock.now(),
            self._fault(upstream),
        )

    def record_send(self) -> None:
        """Record that the request is repeated."""
        if self._failure is not None and self._is_enabled():
            self._context.retry_value.record_send(
                self._failure.kind, clock.now()
            )

    def record(
        self, upstream: ids.UpstreamId, reason: retryvalue.Reason | None
    ) -> None:
        """Record the result of a send.

        Args:
            upstream: Upstream that the request was sent to.
            reason: Why the send failed; None if it succeeded.
        """
        previous, self._failure = self._failure, None
        if not self._is_enabled():
            return
        if previous is not None:
            self._context.retry_value.record(
                previous.kind, reason is None, clock.now(), previous.fault
            )
        if reason is not None:
            self._failure = _Failure(
                self._kind(reason), upstream, self._fault(upstream)
            )

    def _is_enabled(self) -> bool:
        return self._context.contention.is_enabled(self._service)

    def _kind(self, reason: retryvalue.Reason) -> retryvalue.Kind:
        return retryvalue.Kind(self._service, self._route.name, reason)

    def _fault(self, upstream: ids.UpstreamId) -> float:
        """Return the probability that an upstream caused its failure."""
        now = clock.now()
        usable = self._context.directory.registry.usable(self._service, now)
        outliers = self._context.balancer.outliers
        return retryvalue.upstream_fault(
            outliers.share(upstream, now),
            [outliers.share(u.id, now) for u in usable if u.id != upstream],
        )
