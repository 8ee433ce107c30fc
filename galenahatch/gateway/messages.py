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

"""Messages between gateways.

The gateway that others ask for decisions is called the owner. Field order is
the wire order: new fields go at the end with a default, so that adjacent
versions can communicate during an update. Durations are in seconds. Points in
time are sent as ages or as remaining time, since the clocks of two VMs can't
be compared. A version of the store is sent as two numbers; its era is 0 if the
sender doesn't know eras. Renamed classes keep their old name as the tag.
"""

import msgspec

from galenahatch.core import upstreams
from galenahatch.core import versionaffinity
from galenahatch.gateway import records
from galenahatch import ids


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all messages."""


class RunningGeneration(msgspec.Struct, frozen=True, array_like=True):
    """A generation that is running on a decode engine.

    Attributes:
        prompt_tokens: Tokens of its prompt.
        expected_tokens: Predicted tokens of its answer.
        max_tokens: Upper limit of the tokens of its answer.
        first_event_age: Seconds since its first event; negative until then.
        tokens_generated: Tokens that its engine has generated so far.
    """

    stream: ids.StreamId
    service: ids.ServiceName
    decode: ids.UpstreamId
    prompt_tokens: int
    expected_tokens: int
    max_tokens: int
    first_event_age: float
    tokens_generated: int = 0


class Outcomes(msgspec.Struct, frozen=True, array_like=True):
    """Decaying counts of sends to a plain upstream and of their failures."""

    upstream: ids.UpstreamId
    sends: float
    failures: float


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """State of a request that may end upstreams.

    Attributes:
        ends: Numbers of the upstreams that ended while processing it.
        age: Seconds since the last such end, or since it was cleared.
        cleared: Whether it has run to completion.
    """

    digest: ids.RequestDigest
    ends: tuple[int, ...]
    age: float
    cleared: bool = False


class QuotaUse(msgspec.Struct, frozen=True, array_like=True):
    """Units that a customer used at a gateway since its last heartbeat."""

    customer: ids.CustomerName
    units: float


class QuotaLevel(msgspec.Struct, frozen=True, array_like=True):
    """Units that a customer may still use now; negative for a debt."""

    customer: ids.CustomerName
    units: float


class Heartbeat(Message, frozen=True, array_like=True, tag='Beat'):
    """A heartbeat, with the state of its sender.

    Attributes:
        member: Sender of the message.
        incarnation: Random number of the sender's process.
        config_version: Version of the sender's configuration.
        upstreams_version: Version of the store as of which it knows upstreams.
        leaving: Whether the sender is stopping.
        running: Generations that the sender is running.
        outcomes: Results of the sender's sends since its last heartbeat.
        order: Version of the sender's row in the store; 0 until it has one.
        reaches_store: Whether the sender follows the store.
        suspicions: Recently changed ones, and some of the others in turn.
        used: Use of customers' quotas since the last heartbeat.
        rate_limits: Limits that upstreams announce or have recently lifted.
        leaving_upstreams: Upstreams whose answers recently announced this.
        era: Era of `upstreams_version`.
        order_era: Era of `order`.
        message_level: Level of messages that the sender knows.
        loads: Latest load reports, of upstreams that state a slowdown.
        repeats: Results of repeated plain calls since the last heartbeat.
        is_partitioned: Whether the sender reaches no upstream.
    """

    member: ids.MemberId
    incarnation: int
    config_version: int
    upstreams_version: int
    leaving: bool
    running: tuple[RunningGeneration, ...] = ()
    outcomes: tuple[Outcomes, ...] = ()
    order: int = 0
    reaches_store: bool = False
    suspicions: tuple[Suspicion, ...] = ()
    used: tuple[QuotaUse, ...] = ()
    rate_limits: tuple[records.RateLimit, ...] = ()
    leaving_upstreams: tuple[ids.UpstreamId, ...] = ()
    era: int = 0
    order_era: int = 0
    message_level: int = 0
    loads: tuple[records.UpstreamLoad, ...] = ()
    repeats: tuple[records.Repeats, ...] = ()
    is_partitioned: bool = False


class HeartbeatReply(Message, frozen=True, array_like=True, tag='BeatBack'):
    """Reply to a heartbeat; other fields have the same meaning there.

    Attributes:
        member_count: Number of gateways that the sender knows.
        figures: Measurements of each service that the sender decides for.
        outcomes: Results of sends of all gateways that send it heartbeats.
        low_quotas: Levels of customers whose quota is nearly used up.
    """

    member: ids.MemberId
    incarnation: int
    config_version: int
    upstreams_version: int
    leaving: bool
    reaches_store: bool = False
    member_count: int = 1
    figures: tuple[records.Figures, ...] = ()
    outcomes: tuple[Outcomes, ...] = ()
    order: int = 0
    suspicions: tuple[Suspicion, ...] = ()
    low_quotas: tuple[QuotaLevel, ...] = ()
    rate_limits: tuple[records.RateLimit, ...] = ()
    leaving_upstreams: tuple[ids.UpstreamId, ...] = ()
    era: int = 0
    order_era: int = 0
    message_level: int = 0
    repeats: tuple[records.Repeats, ...] = ()
    is_partitioned: bool = False


class PlacementRequest(Message, frozen=True, array_like=True, tag='Place'):
    """Requests engines for a generation.

    Attributes:
        length_hint: caller's estimate of the answer's tokens; 0 for none.
        is_prefilled: Whether a prefill engine holds the prompt's KV cache.
        first_event_within: Seconds until the first event must be generated.
        end_within: Seconds until the answer must be complete.
        abandon_within: Seconds until a caller without a first event gives up.
        max_pause: Most seconds allowed between two events.
        attempt: Number of this attempt of the request, from 1.
        extra_sends: Sends beyond the first that will be made if it is placed.
        is_suspect: Whether an engine recently ended while processing it.
        customer: Customer whose quota is charged; may be empty.
        units: Units of the quota that are charged.
        priority: Priority of the request; 0 is the most urgent.
        pauses: Pauses that engines have requested from the sender.
        version: The only software version at which it may run; empty for any.
        resumes: Keys of a stream whose version the sender doesn't know.
        is_return: Whether its caller takes up a stream that has begun.
    """

    stream: ids.StreamId
    member: ids.MemberId
    service: ids.ServiceName
    prompt_tokens: int
    length_hint: int
    max_tokens: int
    first_event_within: float
    end_within: float
    subject: str
    data_centre: ids.DataCentre
    avoid: tuple[ids.UpstreamId, ...] = ()
    is_continuation: bool = False
    is_prefilled: bool = False
    abandon_within: float = 3.0
    max_pause: float = 0.0
    attempt: int = 1
    extra_sends: int = 0
    is_suspect: bool = False
    customer: ids.CustomerName = ids.CustomerName('')
    units: float = 0.0
    priority: int = 0
    pauses: tuple[records.Paused, ...] = ()
    version: ids.SoftwareVersion = ids.SoftwareVersion('')
    resumes: tuple[ids.StreamKey, ...] = ()
    is_return: bool = False


class Queued(Message, frozen=True, array_like=True, tag=True):
    """Confirms that the owner has queued a placement request."""

    stream: ids.StreamId


class Placement(Message, frozen=True, array_like=True, tag='PlacedAt'):
    """Assigns engines to a generation.

    Attributes:
        prefill: Prefill engine; empty if the decode engine does the prefill.
        expected_tokens: Predicted tokens of the answer.
        version: The only software version at which it may run; empty for any.
    """

    stream: ids.StreamId
    prefill: ids.UpstreamId
    decode: ids.UpstreamId
    reason: str
    expected_tokens: int = 0
    version: ids.SoftwareVersion = ids.SoftwareVersion('')


class PlacementRefused(Message, frozen=True, array_like=True, tag='GivenUp'):
    """Refuses a placement request for lack of capacity or quota.

    Attributes:
        retry_after: Seconds after which the caller may retry.
        is_over_quota: Whether the customer's quota is used up.
        version_problem: Why it can't continue at its version; else None.
    """

    stream: ids.StreamId
    retry_after: float
    reason: str
    is_over_quota: bool = False
    version_problem: versionaffinity.Problem | None = None


class Declined(Message, frozen=True, array_like=True, tag=True):
    """Declines a request, since the receiver is no longer the owner."""

    stream: ids.StreamId


class Withdraw(Message, frozen=True, array_like=True, tag=True):
    """Withdraws a placement request, and gives back retries not sent."""

    stream: ids.StreamId
    unsent: int = 0


class Prefilled(Message, frozen=True, array_like=True, tag=True):
    """Reports a prefill: its duration, and the slowdown at its end or 0."""

    stream: ids.StreamId
    service: ids.ServiceName
    tokens: int
    seconds: float
    slowdown: float = 0.0


class Started(Message, frozen=True, array_like=True, tag=True):
    """Reports the first event of a stream, and its engine's slowdown or 0."""

    stream: ids.StreamId
    service: ids.ServiceName
    slowdown: float = 0.0


class Release(Message, frozen=True, array_like=True, tag=True):
    """Releases the engines of a generation that has ended.

    Attributes:
        tokens: Tokens of the answer; 0 if it was interrupted.
        seconds: Seconds from the first to the last event.
        failed: Engines that may have caused a failure.
        unreachable: Engine that could not be reached, or empty.
        kv_source: Prefill engine whose KV cache was transferred, or empty.
        unsent: Retries that were granted and not sent.
    """

    stream: ids.StreamId
    service: ids.ServiceName
    tokens: int = 0
    seconds: float = 0.0
    failed: tuple[ids.UpstreamId, ...] = ()
    kv_source: ids.UpstreamId = ids.UpstreamId('')
    unreachable: ids.UpstreamId = ids.UpstreamId('')
    unsent: int = 0


class QuotaRefund(Message, frozen=True, array_like=True, tag='GivenBack'):
    """Refunds the quota charged for a generation that has not run."""

    customer: ids.CustomerName
    units: float


class QuotaUsage(Message, frozen=True, array_like=True, tag='Spent'):
    """Reports use of quotas before the next heartbeat."""

    used: tuple[QuotaUse, ...]


class QuotaLevels(Message, frozen=True, array_like=True, tag='Left'):
    """Reply to `QuotaUsage`: the remaining quotas."""

    levels: tuple[QuotaLevel, ...]


class RateLimits(Message, frozen=True, array_like=True, tag=True):
    """Reports rate limits of upstreams before the next heartbeat."""

    limits: tuple[records.RateLimit, ...]


class LeavingUpstreams(Message, frozen=True, array_like=True, tag='Leaving'):
    """Reports upstreams that are leaving before the next heartbeat."""

    upstreams: tuple[ids.UpstreamId, ...]


class PermitRequest(Message, frozen=True, array_like=True, tag='Permit'):
    """Requests permission for one request to a rate-limited upstream.

    Attributes:
        number: Number of this message, which the reply repeats.
        limit: Rate limit known to the sender; a new owner may not know it.
    """

    member: ids.MemberId
    number: int
    limit: records.RateLimit


class PermitReply(Message, frozen=True, array_like=True, tag='Permitted'):
    """Reply to `PermitRequest`.

    Attributes:
        wait: Seconds until there is capacity; 0 if the request may be sent.
    """

    number: int
    wait: float


class StageChangeRequest(Message, frozen=True, array_like=True, tag='Change'):
    """Requests a stage order from a gateway that reaches the store."""

    member: ids.MemberId
    engine: ids.UpstreamId
    stage: upstreams.Stage


class StageChangeReply(Message, frozen=True, array_like=True, tag='Changed'):
    """Reply that says whether the engine may be changing its stage."""

    engine: ids.UpstreamId
    stage: upstreams.Stage
    ordered: bool


class Suspicions(Message, frozen=True, array_like=True, tag=True):
    """Reports requests that may end upstreams before the next heartbeat."""

    suspicions: tuple[Suspicion, ...]


class UpdateRequest(Message, frozen=True, array_like=True, tag='Ask'):
    """Requests data newer than the sender's versions.

    Attributes:
        era: Era of `upstreams_version`.
    """

    config_version: int
    upstreams_version: int
    era: int = 0


class UpdateRow(msgspec.Struct, frozen=True, array_like=True):
    """An upstream's row in the store.

    Attributes:
        version: Version of the store at the last change.
        document: Value of the row; empty if it was removed.
    """

    key: str
    version: int
    document: bytes


class Update(Message, frozen=True, array_like=True, tag='News'):
    """Reply to `UpdateRequest` with newer data.

    Attributes:
        config: Compressed configuration; empty if the receiver's is current.
        after: Version of the store after which rows are included.
        upstreams_version: Version of the store as of which rows are included.
        rows: Upstreams that changed in between.
        is_complete: Whether these are all rows; others have been removed.
        era: Era of both versions; of `after` only if not complete.
    """

    config: bytes
    after: int
    upstreams_version: int
    rows: tuple[UpdateRow, ...]
    is_complete: bool = False
    era: int = 0
