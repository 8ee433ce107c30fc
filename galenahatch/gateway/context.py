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

"""Components shared by all requests, and their deadlines and results."""

import dataclasses
import typing

from galenahatch import clock
from galenahatch.core import balance
from galenahatch.core import loadreports
from galenahatch.core import retrybudget
from galenahatch.core import retryvalue
from galenahatch.core import routes
from galenahatch import errors
from galenahatch.gateway import accounts as accounts_module
from galenahatch.gateway import affinity
from galenahatch.gateway import callgrants
from galenahatch.gateway import calls
from galenahatch.gateway import contention as contention_module
from galenahatch.gateway import directory as directories
from galenahatch.gateway import draining
from galenahatch.gateway import failover
from galenahatch.gateway import flowcontrol
from galenahatch.gateway import notices as notices_module
from galenahatch.gateway import overload
from galenahatch.gateway import owner_client
from galenahatch.gateway import quarantine
from galenahatch.gateway import ratelimits
from galenahatch import tasks

_MIN_RETRY_AFTER_S: typing.Final = 0.05
"""Shortest delay in seconds after which a refused caller may retry."""

_MAX_OVERRUN_S: typing.Final = 0.5
"""Seconds after its deadline for which a stream's data is relayed."""
_MIN_PATIENCE_S: typing.Final = 2.0
_PATIENCE_OBJECTIVES: typing.Final = 4.0
_PATIENCE_PAUSES: typing.Final = 8.0
"""Callers abandon a stream without events after the longest of: this many
seconds, multiples of the objective, and multiples of the longest pause."""

_TIMER_TOLERANCE_S: typing.Final = 0.01
"""Seconds by which a timer of the event loop may fire early, since the loop
counts from its last reading of the clock."""


@dataclasses.dataclass(frozen=True)
class Context:
    """Components shared by all requests of a process."""

    directory: directories.Directory
    sender: failover.FailoverSender
    balancer: balance.Balancer
    budget: retrybudget.LocalBudget
    owner_client: owner_client.OwnerClient
    affinity: affinity.VersionAffinity
    guard: quarantine.Guard
    accounts: accounts_module.Accounts
    rate_limits: ratelimits.RateLimits
    notices: notices_module.Notices
    tasks: tasks.Tasks
    loads: loadreports.Loads
    contention: contention_module.Contention
    call_grants: callgrants.CallGrants
    retry_value: retryvalue.RetryValue
    overload: overload.OverloadManager
    drain: draining.Drain
    flow: flowcontrol.FlowControl | None = None


@dataclasses.dataclass(frozen=True)
class CompleteAnswer:
    """A complete answer of an upstream."""

    head: calls.ResponseHead
    body: bytes


class Sink(typing.Protocol):
    """Destination of a stream: the caller's connection."""

    @property
    def is_head_sent(self) -> bool:
        """Whether the head of the answer has been sent."""
        ...

    async def send_head(self, head: calls.ResponseHead) -> None:
        """Send the head of the answer."""
        ...

    async def write(self, data: bytes) -> None:
        """Send complete events."""
        ...


def answer_deadline(call: calls.Call, route: routes.Route) -> float:
    """Return the time by which a request must be answered."""
    patience = route.timeout
    if call.caller_timeout is not None:
        patience = min(patience, call.caller_timeout)
    return call.arrived_at + patience


def is_overrun(deadline: float) -> bool:
    """Return whether data that arrives is no longer relayed."""
    return seconds_until(deadline) < -_MAX_OVERRUN_S


def last_return(call: calls.Call, route: routes.Route) -> float:
    """Return the time until which a caller may take its stream up again."""
    return call.arrived_at + max(call.caller_timeout or 0.0, route.timeout)


def abandonment_time(call: calls.Call, route: routes.Route) -> float:
    """Return the time at which a caller without a first event gives up."""
    patience = max(
        _MIN_PATIENCE_S,
        _PATIENCE_OBJECTIVES * route.latency_objective,
        _PATIENCE_PAUSES * route.max_event_gap,
    )
    return call.arrived_at + patience


def priority(call: calls.Call, route: routes.Route) -> int:
    """Return the customer's priority for a request, else the route's."""
    return route.priority if call.priority is None else call.priority


def seconds_until(time: float) -> float:
    """Return the seconds until a time; negative if it has passed."""
    return time - clock.now()


def has_passed(time: float) -> bool:
    """Return whether a time has come, allowing for early timers."""
    return seconds_until(time) <= _TIMER_TOLERANCE_S


def retryable_failure(
    reason: errors.Reason, detail: str, retry_after: float
) -> errors.Failure:
    """Return a failure with the delay in seconds after which to retry."""
    return errors.Failure(reason, detail, max(_MIN_RETRY_AFTER_S, retry_after))
