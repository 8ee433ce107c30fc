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

"""A caller's request and an upstream's answer, decoded from the wire."""

import dataclasses
import functools
import hashlib
import typing

import multidict

from galenahatch.core import customers
from galenahatch import errors
from galenahatch import ids

_DIGEST_DIGITS: typing.Final = 16
"""Hexadecimal digits of a digest. Two of a million requests have the same one
with a chance of one in thirty million."""


@dataclasses.dataclass(frozen=True)
class Prompt:
    """What a request for a model says of its size.

    Attributes:
        tokens: of the prompt.
        most_output: bound on the tokens of the answer.
        likely_output: the caller's estimate, right in the middle and often
            far off; None if it gave none.
        subject: id of the last part of the prompt, which only this request
            or its session has.
    """

    tokens: int
    max_output: int
    estimated_output: int | None
    last_block_id: str


@dataclasses.dataclass(frozen=True)
class Call:
    """A caller's request.

    Attributes:
        target: path and query, to the byte as they came.
        headers: that go on to the upstream.
        patience: seconds that the caller waits, counted from `arrived_at`;
            None if it did not say.
        last_event: id after which a stream goes on, or empty.
        tokens: of its prompt and at most of its answer; None if not said.
        credentials: as sent, one for each header of them.
        is_identified: whether credentials were looked at, and go nowhere.
        customer: whom the caller belongs to; None if it needs no key.
    """

    id: str
    method: str
    host: str
    target: str
    headers: 'multidict.CIMultiDict[str]'
    body: bytes
    arrived_at: float
    caller_timeout: float | None
    prompt: Prompt | None
    last_event_id: str
    tokens: int | None = None
    credentials: tuple[str, ...] = ()
    credentials_checked: bool = False
    customer: customers.Customer | None = None

    @property
    def caller_id(self) -> str:
        """What tells whose request it is.

        Two keys of one customer stand for the same caller.
        """
        if self.customer is not None:
            return self.customer.name
        if self.credentials_checked or not self.credentials:
            return ''
        return self.credentials[0]

    @property
    def customer_name(self) -> ids.CustomerName:
        """Name of the customer, or empty."""
        if self.customer is None:
            return ids.CustomerName('')
        return self.customer.name

    @property
    def priority(self) -> int | None:
        """What its customer goes by; None where the route's counts."""
        return self.customer.priority if self.customer is not None else None

    @property
    def quota_units(self) -> float:
        """What it counts as in the quota of its customer."""
        if self.customer is None or self.customer.quota is None:
            return 0.0
        return self.customer.cost(self.tokens)

    @functools.cached_property
    def digest(self) -> ids.RequestDigest:
        """What tells this request from others when it comes again.

        Its id is new each time. The parts are joined by a byte that none but
        the body can hold.
        """
        parts = (self.caller_id, self.method, self.host, self.target, '')
        digest = hashlib.sha256(
            '\0'.join(parts).encode(errors='surrogateescape')
        )
        digest.update(self.body)
        return ids.RequestDigest(digest.hexdigest()[:_DIGEST_DIGITS])


@dataclasses.dataclass(frozen=True)
class ForwardingOptions:
    """What this system tells the upstream beside the caller's request.

    Attributes:
        upstream: the only one that may run it.
        patience: seconds that are left for it.
        prefill_only: read the prompt and keep the result.
        kv_source: address and handle of a prefill's result, or empty.
        last_event: id after which the stream goes on, or empty.
        priority: rank at the engine, 0 to 9; 0 goes first.
    """

    upstream: ids.UpstreamId
    time_left: float | None
    prefill_only: bool = False
    kv_source: str = ''
    last_event_id: str = ''
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of an upstream's answer.

    Attributes:
        headers: that go on to the caller.
        request: id of the request that it answers, or empty.
        signed: whether it bears the upstream's signature.
        not_executed: whether it says that the request did not run.
        load: requests running and waiting at the upstream; None if it does
            not tell.
        encoded: whether the body went through a content coding.
        rate_limit: requests a second that the upstream takes from all VMs
            together; None if it names no limit, a failure if what it names
            is none.
        leaving: whether the upstream says that it leaves; a failure if it
            says something else.
        pause: seconds for which the upstream, which turned the request away,
            wants nothing more from this VM; None or a failure as above.
    """

    status: int
    headers: 'multidict.CIMultiDict[str]'
    request_id: str
    is_signed: bool
    not_executed: bool
    load: int | None
    is_encoded: bool
    rate_limit: float | None | errors.Failure = None
    leaving: bool | errors.Failure = False
    pause: float | None | errors.Failure = None
