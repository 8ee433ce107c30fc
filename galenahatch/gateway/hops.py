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
"""Headers of the hop between two gateways that proxy a request.

The request is forwarded as the upstream is to get it. Headers with the prefix
of this module state how, and what came of it; they never leave the hop.
"""

import collections.abc
import dataclasses
import enum
import typing

import multidict

from galenahatch import ids

PREFIX: typing.Final = 'Galenahatch-Proxy-'
_UPSTREAM: typing.Final = PREFIX + 'Upstream'
_REQUEST: typing.Final = PREFIX + 'Request'
_TIMEOUT: typing.Final = PREFIX + 'Timeout'
_POOLED: typing.Final = PREFIX + 'Pooled'
_PURPOSE: typing.Final = PREFIX + 'Purpose'
_VERDICT: typing.Final = PREFIX + 'Verdict'
_MAX_TIMEOUT_S: typing.Final = 3600.0
_HOP_S: typing.Final = 0.02
"""Time for the hop: the proxy states a timeout before the sender's own."""

RawHeaders = collections.abc.Iterable[tuple[bytes, bytes]]


class Purpose(enum.Enum):
    """What a proxied request is for.

    Attributes:
        WORK: A caller's request, for an upstream that takes new work.
        OWN: A request of the gateway itself, such as for a report.
        CHECK: Nothing is sent; only a connection is tried.
    """

    WORK = 'work'
    OWN = 'own'
    CHECK = 'check'


class Verdict(enum.Enum):
    """What a proxy says of a request.

    Attributes:
        ANSWERED: The upstream's response follows; a check connected.
        UNREACHABLE: No connection to the upstream; nothing was sent.
        REFUSED: The same; the upstream's address refuses connections.
        DECLINED: The proxy takes no requests; nothing was sent.
        NOT_HERE: The proxy takes none for this upstream; nothing was sent.
        INTERRUPTED: The connection to the upstream broke.
        SILENT: The upstream did not answer in time.
    """

    ANSWERED = 'answered'
    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    DECLINED = 'declined'
    NOT_HERE = 'not_here'
    INTERRUPTED = 'interrupted'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True)
class Hop:
    """Way of a request through another gateway.

    Attributes:
        address: IP address and port of the proxy.
        upstream: Upstream that gets the request.
    """

    address: str
    upstream: ids.UpstreamId
    purpose: Purpose = Purpose.WORK

    def add_headers(
        self,
        headers: typing.Mapping[str, str],
        request: str,
        use_pool: bool,
        timeout: float,
    ) -> 'multidict.CIMultiDict[str]':
        """Return headers with those of the hop.

        Args:
            headers: Headers for the upstream.
            request: Id of the request, for the log of the proxy.
            use_pool: Whether the proxy uses a pooled connection.
            timeout: Seconds until the upstream must have answered.
        """
        added = multidict.CIMultiDict(headers)
        added[_UPSTREAM] = self.upstream
        added[_REQUEST] = request
        added[_TIMEOUT] = f'{max(timeout - _HOP_S, timeout / 2):.4f}'
        added[_POOLED] = str(int(use_pool))
        added[_PURPOSE] = self.purpose.value
        return added


@dataclasses.dataclass(frozen=True)
class Instructions:
    """What the headers of a hop ask of the proxy.

    The fields are those of `Hop.add_headers`.
    """

    upstream: ids.UpstreamId
    request: str
    timeout: float
    use_pool: bool
    purpose: Purpose


def instructions(
    headers: typing.Mapping[str, str],
) -> Instructions | None:
    """Decode the headers of a hop; return None if they are invalid."""
    try:
        timeout = float(headers[_TIMEOUT])
        purpose = Purpose(headers[_PURPOSE])
        upstream = ids.UpstreamId(headers[_UPSTREAM])
    except (KeyError, ValueError):
        return None
    if not 0 < timeout <= _MAX_TIMEOUT_S:
        return None
    return Instructions(
        upstream,
        headers.get(_REQUEST, ''),
        timeout,
        headers.get(_POOLED) == '1',
        purpose,
    )


def verdict_headers(verdict: Verdict) -> 'multidict.CIMultiDict[str]':
    """Return the headers that state a verdict."""
    return multidict.CIMultiDict({_VERDICT: verdict.value})


def verdict(raw: RawHeaders) -> Verdict | None:
    """Return the verdict in a proxy's response; None if there is none."""
    name = _VERDICT.lower().encode()
    for key, value in raw:
        if key.lower() == name:
            try:
                return Verdict(value.decode('latin-1'))
            except ValueError:
                return None
    return None


def remove_headers(raw: RawHeaders) -> list[tuple[bytes, bytes]]:
    """Return headers without those of the hop."""
    prefix = PREFIX.lower().encode()
    return [item for item in raw if not item[0].lower().startswith(prefix)]
