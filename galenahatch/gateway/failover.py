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
"""Sends requests to upstreams, through other gateways where paths are lost.

Has the interface of the direct sender (`sender`) and stands in its place. A
send goes directly unless the path is known to be lost (`core/reachability`).
If no connection is made, the same request goes to the same upstream through
another gateway, which proves whose fault it is. Nothing else is sent twice: a
send that broke or timed out later only causes a check of the path.
"""

import asyncio
import collections.abc
import dataclasses
import functools
import typing

from galenahatch import clock
from galenahatch.core import fate
from galenahatch.core import proxies as proxies_module
from galenahatch.core import reachability
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import hops
from galenahatch.gateway import inflight
from galenahatch.gateway import instruments
from galenahatch.gateway import proxyoffers
from galenahatch.gateway import sender as senders
from galenahatch.gateway import sendresults
from galenahatch import ids
from galenahatch import logs
from galenahatch.platform import wire
from galenahatch import tasks

_PROXY_CONNECT_TIMEOUT_S: typing.Final = 0.15
_PROBE_TIMEOUT_S: typing.Final = 0.25
"""Limits on connections, which take a few ms within a region."""
_MAX_PROXIES: typing.Final = 3
"""Proxies that one send tries, as long as nothing was sent."""
_MAX_VERDICTS: typing.Final = 2
"""Proxies that have to fail before an upstream counts as unreachable: one of
them may just have lost its own path."""
_MIN_TIME_LEFT_S: typing.Final = 0.02
"""Time below which a send is not tried once more."""
_CHECK_TIMEOUT_S: typing.Final = 0.3
_SendResult = sendresults.Response | sendresults.FailedSend
_PATH_LOST: typing.Final = sendresults.FailedSend(
    fate.Fate.NOT_SENT, 'path lost', cause=sendresults.Cause.PATH
)
_log = logs.Log('paths')


class FailoverSender:
    """Sends requests to all upstreams of one process.

    Args:
        direct: Sender for direct sends.
        paths: Paths of this gateway.
        offers: Source of proxies.
        background: Runner of background tasks.

    Attributes:
        known: Returns all upstreams, which are probed in a partition.
        on_partition: Called with whether this gateway is partitioned from all
            upstreams, after each change.
    """

    def __init__(
        self,
        direct: senders.Sender,
        paths: reachability.Reachability,
        offers: proxyoffers.ProxyOffers,
        background: tasks.Tasks,
    ) -> None:
        self._direct = direct
        self._paths = paths
        self._offers = offers
        self._tasks = background
        self._needs_probes = asyncio.Event()
        self._was_partitioned = False
        self.known: collections.abc.Callable[
            [], collections.abc.Mapping[ids.UpstreamId, upstreams.Upstream]
        ] = dict
        self.on_partition: collections.abc.Callable[[bool], None] = (
            lambda is_partitioned: None
        )
        instruments.register_gauge(
            instruments.LOST_PATHS,
            lambda: {
                'lost': float(len(paths.lost)),
                'partitioned': float(paths.is_partitioned),
            },
        )

    @property
    def waits(self) -> inflight.Waits:
        """Waits for upstreams that are in progress."""
        return self._direct.waits

    @property
    def is_partitioned(self) -> bool:
        """Whether this gateway is partitioned from all upstreams."""
        return self._paths.is_partitioned

    def is_lost(self, upstream: ids.UpstreamId) -> bool:
        """Return whether the path to an upstream is lost."""
        return self._paths.is_lost(upstream)

    async def close(self) -> None:
        """Close all connections."""
        await self._direct.close()

    async def send(
        self,
        upstream: upstreams.Upstream,
        request: calls.Call,
        headers: senders.Headers,
        decode: typing.Callable[[int, typing.Any], calls.ResponseHead],
        timeout: float,
        connect_timeout: float,
        use_pool: bool,
        abandonment: inflight.Abandonment | None = None,
    ) -> sendresults.Response | sendresults.FailedSend:
        """Send a request and return the head of its response.

        The arguments are those of the direct sender.
        """
        began_at = clock.now()
        send = functools.partial(
            self._direct.send,
            upstream,
            request,
            decode=decode,
            use_pool=use_pool,
            abandonment=abandonment,
        )

        async def send_by(hop: hops.Hop) -> _SendResult:
            passed = clock.now() - began_at
            return await send(
                wire.shorten_deadline(headers, passed),
                timeout=timeout - passed,
                connect_timeout=min(connect_timeout, _PROXY_CONNECT_TIMEOUT_S),
                hop=hop,
            )

        failed = _PATH_LOST
        if not self._paths.is_lost(upstream.id):
            result = await send(
                headers, timeout=timeout, connect_timeout=connect_timeout
            )
            if not self._is_unconnected(result, upstream):
                return result
            failed = result
        return await self._send_by_proxy(
            request, upstream, failed, began_at + timeout, send_by
        )

    def _is_unconnected(
        self, result: _SendResult, upstream: upstreams.Upstream
    ) -> typing.TypeGuard[sendresults.FailedSend]:
        """Return whether a direct send found no connection; record it."""
        if not isinstance(result, sendresults.FailedSend) or result.head:
            self._paths.record_answer(clock.now())
            return False
        if result.fate is fate.Fate.NOT_SENT:
            return True
        self.record_silence(upstream)
        return False

    async def _send_by_proxy(
        self,
        request: calls.Call,
        upstream: upstreams.Upstream,
        failed: sendresults.FailedSend,
        deadline: float,
        send_by: collections.abc.Callable[
            [hops.Hop], collections.abc.Awaitable[_SendResult]
        ],
    ) -> _SendResult:
        """Send a request through proxies until one has sent it.

        Args:
            failed: Result if no proxy takes the request.
            deadline: Time by which the head must have arrived.
            send_by: Sends the request through one proxy.
        """
        if self._paths.is_unreachable(upstream.id, clock.now()):
            return failed
        tried: set[ids.MemberId] = set()
        verdicts = 0
        latest = deadline - _MIN_TIME_LEFT_S
        while len(tried) < _MAX_PROXIES and clock.now() < latest:
            proxy = self._offers.choose(upstream.id, tried)
            if proxy is None or verdicts == _MAX_VERDICTS:
                break
            tried.add(proxy.member)
            with self._offers.in_flight(proxy):
                result = await send_by(hops.Hop(proxy.address, upstream.id))
            self._record_proxied(request, upstream, proxy, result)
            if (
                not isinstance(result, sendresults.FailedSend)
                or result.fate is not fate.Fate.NOT_SENT
            ):
                return result
            verdicts += result.cause is sendresults.Cause.UPSTREAM
        if not verdicts:
            return failed
        self._paths.record_unreachable(upstream.id, clock.now())
        return dataclasses.replace(failed, cause=sendresults.Cause.UPSTREAM)

    def _record_proxied(
        self,
        request: calls.Call,
        upstream: upstreams.Upstream,
        proxy: proxies_module.Proxy,
        result: _SendResult,
    ) -> None:
        """Record what the result of a proxied send proves."""
        name = _result_name(result)
        instruments.proxied_sends.add(1, {'result': name})
        _log.info(
            'Sent through a proxy.',
            request=request.id,
            upstream=upstream.id,
            member=proxy.member,
            result=name,
        )
        if isinstance(result, sendresults.FailedSend):
            if result.cause is sendresults.Cause.PROXY:
                self._offers.leave_out(proxy, result.detail)
                return
            if result.cause is sendresults.Cause.PROXY_PATH:
                self._offers.leave_out(proxy, result.detail, upstream.id)
                return
            if result.fate is fate.Fate.NOT_SENT:
                return
        else:
            self._offers.readmit(proxy)
        self._record_lost(upstream, proxy.member)

    async def request_small(
        self,
        method: str,
        upstream: upstreams.Upstream,
        path: str,
        timeout: float,
    ) -> sendresults.SmallResponse | errors.Failure:
        """Send a request of the gateway itself; the response must be small.

        Requests through a proxy are repeated neither there nor here.
        """
        if not self._paths.is_lost(upstream.id):
            reply = await self._direct.request_small(
                method, upstream.address, path, timeout
            )
            if isinstance(reply, errors.Failure):
                self.record_silence(upstream)
            else:
                self._paths.record_answer(clock.now())
            return reply
        proxy = self._offers.choose(upstream.id)
        if proxy is None:
            return errors.Failure(errors.UPSTREAM_UNREACHABLE, 'path lost')
        hop = hops.Hop(proxy.address, upstream.id, hops.Purpose.OWN)
        with self._offers.in_flight(proxy):
            return await self._request_by_proxy(hop, method, path, timeout)

    async def _request_by_proxy(
        self, hop: hops.Hop, method: str, path: str, timeout: float
    ) -> sendresults.SmallResponse | errors.Failure:
        reply = await self._direct.request_small(
            method,
            hop.address,
            path,
            timeout,
            hop=hop,
        )
        if isinstance(reply, errors.Failure):
            return reply
        verdict = hops.verdict(reply.raw_headers)
        if verdict is not hops.Verdict.ANSWERED:
            detail = f'proxy: {verdict.value if verdict else "no verdict"}'
            return errors.Failure(errors.UPSTREAM_UNREACHABLE, detail)
        return reply

    def blames_upstream(
        self, failure: sendresults.FailedSend, upstream: ids.UpstreamId
    ) -> bool:
        """Return whether an upstream may be at fault for a failed send.

        A direct send that failed as the path was lost proves nothing.
        """
        if failure.cause is sendresults.Cause.UNKNOWN:
            return not self._paths.is_lost(upstream)
        return failure.cause is sendresults.Cause.UPSTREAM

    async def refuses_connections(self, upstream: upstreams.Upstream) -> bool:
        """Return whether an upstream's address refuses connections.

        If it does so here, a proxy has to see the same: a lost path may look
        alike. Without a proxy, what is seen here counts.
        """
        is_lost = self._paths.is_lost(upstream.id)
        if not is_lost:
            if not await self._direct.refuses_connections(upstream):
                return False
        verdict = await self._check_by_proxy(upstream)
        if verdict is None:
            return not is_lost
        return verdict is hops.Verdict.REFUSED

    # Checks and probes of paths.

    def record_silence(self, upstream: upstreams.Upstream) -> None:
        """Record a send without an answer; check the path if it is doubtful.

        The check runs in the background, as the send can't be repeated here.
        """
        if self._paths.record_unanswered(upstream.id, clock.now()):
            self._tasks.run_once(self._check(upstream))

    async def _check(self, upstream: upstreams.Upstream) -> None:
        reach = await self._direct.check_port(
            upstream.address, _PROBE_TIMEOUT_S
        )
        if reach is not senders.Reach.CONNECTED:
            await self._check_by_proxy(upstream)

    async def _check_by_proxy(
        self, upstream: upstreams.Upstream
    ) -> hops.Verdict | None:
        """Return whether a proxy connects to an upstream; None if unknown."""
        proxy = self._offers.choose(upstream.id)
        if proxy is None:
            return None
        hop = hops.Hop(proxy.address, upstream.id, hops.Purpose.CHECK)
        reply = await self._direct.request_small(
            'GET',
            hop.address,
            '/',
            _CHECK_TIMEOUT_S,
            hop=hop,
        )
        if isinstance(reply, errors.Failure):
            self._offers.leave_out(proxy, reply.detail)
            return None
        verdict = hops.verdict(reply.raw_headers)
        if verdict is hops.Verdict.ANSWERED:
            self._offers.readmit(proxy)
            self._record_lost(upstream, proxy.member)
        elif verdict is hops.Verdict.NOT_HERE:
            self._offers.leave_out(proxy, 'check', upstream.id)
            return None
        return verdict

    def _record_lost(
        self, upstream: upstreams.Upstream, proxy: ids.MemberId
    ) -> None:
        if not self._paths.record_lost(upstream.id, clock.now()):
            return
        instruments.paths_lost.add(1)
        _log.warning('Path lost.', upstream=upstream.id, reached_by=proxy)
        self._needs_probes.set()
        self._report_partition()

    def _report_partition(self) -> None:
        is_partitioned = self._paths.is_partitioned
        if is_partitioned == self._was_partitioned:
            return
        self._was_partitioned = is_partitioned
        _log.warning(
            'Partitioned from upstreams.'
            if is_partitioned
            else 'Partition from upstreams ended.',
            lost=len(self._paths.lost),
        )
        self.on_partition(is_partitioned)

    async def run(self) -> None:
        """Probe lost paths until they are restored."""
        while True:
            if not self._paths.needs_probes:
                self._needs_probes.clear()
                await self._needs_probes.wait()
            known = self.known()
            due = self._paths.due_probes(list(known), clock.now())
            await asyncio.gather(
                *(self._probe(known[key]) for key in due if key in known)
            )
            await asyncio.sleep(reachability.PROBE_INTERVAL_S)

    async def _probe(self, upstream: upstreams.Upstream) -> None:
        reach = await self._direct.check_port(
            upstream.address, _PROBE_TIMEOUT_S
        )
        if reach is not senders.Reach.CONNECTED:
            return
        seconds = self._paths.record_connected(upstream.id, clock.now())
        if seconds is not None:
            _log.info('Path restored.', upstream=upstream.id, seconds=seconds)
        self._report_partition()

    def prune(self, known: collections.abc.Container[ids.UpstreamId]) -> None:
        """Drop upstreams that are no longer listed."""
        self._paths.prune(known)
        self._report_partition()


def _result_name(result: _SendResult) -> str:
    if isinstance(result, sendresults.FailedSend):
        return f'{result.cause.value}_{result.fate.value}'
    return fate.Fate.ANSWERED.value
