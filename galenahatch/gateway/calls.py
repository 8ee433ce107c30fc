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

"""Callers' requests and heads of upstreams' responses, as decoded values."""

import dataclasses
import functools
import hashlib
import typing

import multidict

from galenahatch.core import customers
from galenahatch.core import loadreports
from galenahatch import errors
from galenahatch import ids

_DIGEST_HEX_DIGITS: typing.Final = 16
"""Among a million requests, the probability that any two have the same digest
is one in thirty million."""


@dataclasses.dataclass(frozen=True)
class Prompt:
    """Token counts of a request to a model, as stated by the caller.

    Attributes:
        tokens: Number of prompt tokens.
        max_output: Limit on the number of output tokens.
        estimated_output: The caller's estimate of the output tokens, accurate
            in the median but often far off; None if not given.
        last_block_id: Id of the last part of the prompt, which is unique to
            this request or its session.
        shared_parts: Parts before the last one, which other requests share.
    """

    tokens: int
    max_output: int
    estimated_output: int | None
    last_block_id: str
    shared_parts: tuple[ids.PromptPart, ...] = ()


@dataclasses.dataclass(frozen=True)
class Call:
    """A caller's request.

    Attributes:
        target: Path and query, byte for byte as received.
        headers: Headers that are forwarded to the upstream.
        caller_timeout: Seconds that the caller waits, from `arrived_at`; None
            if it did not state them.
        last_event_id: Id of the event after which a stream resumes, or empty.
        tokens: Prompt tokens plus the limit on output tokens; None if not
            stated.
        credentials: Values of all credential headers, as received.
        credentials_checked: Whether the credentials were checked and are
            therefore not forwarded.
        customer: Customer of the caller; None if the caller needs no key.
        resumes: Id of the request that brought the first event of the stream
            that this one resumes, or empty.
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
    resumes: str = ''

    @property
    def caller_id(self) -> str:
        """Identity of the caller: its customer, else its credentials.

        Two keys of one customer identify the same caller.
        """
        if self.customer is not None:
            return self.customer.name
        if self.credentials_checked or not self.credentials:
            return ''
        return self.credentials[0]

    @property
    def customer_name(self) -> ids.CustomerName:
        """Name of the customer, or an empty string."""
        if self.customer is None:
            return ids.CustomerName('')
        return self.customer.name

    @property
    def priority(self) -> int | None:
        """Priority of the customer; None if the route's priority applies."""
        return self.customer.priority if self.customer is not None else None

    @property
    def shared_parts(self) -> tuple[ids.PromptPart, ...]:
        """Parts of the prompt that other requests share."""
        return self.prompt.shared_parts if self.prompt is not None else ()

    @property
    def quota_units(self) -> float:
        """Cost of the request in units of its customer's quota."""
        if self.customer is None or self.customer.quota is None:
            return 0.0
        return self.customer.cost(self.tokens)

    @functools.cached_property
    def digest(self) -> ids.RequestDigest:
        """Hash that identifies the request when a caller repeats it.

        The request id differs each time, so it is not included. The parts are
        joined by a byte that can occur only in the body.
        """
        parts = (self.caller_id, self.method, self.host, self.target, '')
        digest = hashlib.sha256(
            '\0'.join(parts).encode(errors='surrogateescape')
        )
        digest.update(self.body)
        return ids.RequestDigest(digest.hexdigest()[:_DIGEST_HEX_DIGITS])


@dataclasses.dataclass(frozen=True)
class ForwardingOptions:
    """Options that are sent to the upstream along with a caller's request.

    Attributes:
        upstream: The only upstream that may execute the request.
        time_left: Seconds until the deadline.
        prefill_only: Whether to process only the prompt and keep the result.
        kv_source: Address and handle of a prefill result, or empty.
        last_event_id: Id of the event after which the stream resumes, or
            empty.
        priority: Scheduling priority at the engine, 0 (highest) to 9.
    """

    upstream: ids.UpstreamId
    time_left: float | None
    prefill_only: bool = False
    kv_source: str = ''
    last_event_id: str = ''
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of an upstream's response.

    Attributes:
        headers: Headers that are forwarded to the caller.
        request_id: Id of the request that is answered, or empty.
        is_signed: Whether the response bears the upstream's signature.
        not_executed: Whether the upstream states that it did not execute the
            request.
        load: Load of the upstream; None if not stated.
        is_encoded: Whether a content coding was applied to the body.
        rate_limit: Requests per second that the upstream accepts from all VMs
            together; None if it states no limit, a failure if the value is
            invalid.
        leaving: Whether the upstream announces that it is shutting down; a
            failure if the value is invalid.
        pause: Seconds for which the upstream, having rejected the request,
            wants no more requests from this VM; None if not stated, a failure
            if the value is invalid.
        load_error: Figures of the load that are malformed or implausible and
            were ignored; None if there are none.
    """

    status: int
    headers: 'multidict.CIMultiDict[str]'
    request_id: str
    is_signed: bool
    not_executed: bool
    load: loadreports.LoadReport | None
    is_encoded: bool
    rate_limit: float | None | errors.Failure = None
    leaving: bool | errors.Failure = False
    pause: float | None | errors.Failure = None
    load_error: errors.Failure | None = None

    @property
    def slowdown(self) -> float:
        """Slowdown that the upstream states; 0 if it states none."""
        return (self.load.slowdown or 0.0) if self.load is not None else 0.0
