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

Every gateway may ask any other to decide for it; the one asked is called
the owner here. Field order is the wire order: new fields go at the end with
a default, so that neighbouring versions can talk while one is replaced by
the other. Durations are seconds; moments are told as ages or as time left,
since the clocks of two VMs can't be compared. A version of the store goes
as two numbers, the era of it being 0 where a sender does not know eras.
"""

import msgspec

from galenahatch.core import upstreams
from galenahatch.core import versions
from galenahatch.gateway import records
from galenahatch import ids


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of every message."""


class RunningGeneration(msgspec.Struct, frozen=True, array_like=True):
    """A generation that runs at a decode engine.

    Attributes:
        since: seconds since its first event; negative until then.
        made: tokens that its engine has made so far.
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
    """What sends to a plain upstream came to; the newest count most."""

    upstream: ids.UpstreamId
    sends: float
    failures: float


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a request that may end upstreams.

    Attributes:
        ends: numbers of the upstreams that ended under it.
        age: seconds since its last end, or since it was cleared.
        cleared: whether it ran whole.
    """

    digest: ids.RequestDigest
    ends: tuple[int, ...]
    age: float
    cleared: bool = False


class QuotaUse(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway counted of a customer since its last beat."""

    customer: ids.CustomerName
    units: float


class QuotaLevel(msgspec.Struct, frozen=True, array_like=True):
    """What a customer may still use now; a debt if negative."""

    customer: ids.CustomerName
    units: float


class Heartbeat(Message, frozen=True, array_like=True, tag='Beat'):
    """A sign of life, with all that its sender runs.

    Attributes:
        member: the sender.
        incarnation: random number of its process.
        config: version of the configuration in force there.
        upstreams: version of the store up to which it knows upstreams.
        leaving: whether it stops.
        held: what it runs.
        outcomes: of its sends since the last beat.
        order: version of its row in the store, 0 until it has one.
        hears_store: whether its sender follows the store without trouble.
        suspicions: that changed of late, and of the rest some in turn.
        used: of customers' quotas since the last beat.
        rate_limits: that upstreams name, or have lifted of late.
        leaving_upstreams: that have said so in an answer of late.
        era: of `upstreams`.
        order_era: of `order`.
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


class HeartbeatReply(Message, frozen=True, array_like=True, tag='BeatBack'):
    """The answer to a beat.

    Attributes:
        hears_store: whether its sender follows the store without trouble.
        members: gateways that it knows of.
        figures: of each service that it decides for.
        outcomes: of the sends of all gateways that beat to it.
        order: version of its row in the store, 0 until it has one.
        suspicions: that changed of late, and of the rest some in turn.
        low: customers that are short.
        rate_limits: that upstreams name, or have lifted of late.
        leaving_upstreams: that have said so in an answer of late.
        era: of `upstreams`.
        order_era: of `order`.
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


class PlacementRequest(Message, frozen=True, array_like=True, tag='Place'):
    """Asks for engines for a generation.

    Attributes:
        hint: the caller's estimate of the answer's tokens, 0 for none.
        is_read: whether a prefill engine holds the prompt's result.
        start_within: seconds until its first event must have been made.
        end_within: seconds until its answer must be whole.
        leave_within: seconds until the caller leaves without a first event.
        longest_pause: seconds that may lie between two of its events.
        attempt: number of this attempt of the request, from 1.
        extra: sends beyond the first that it will make if it is placed.
        is_suspect: whether an engine ended under it lately.
        customer: that it counts for, or empty.
        units: of the customer's quota that it counts as.
        priority: 0 is the most urgent.
        paused: engines that want nothing from this gateway now.
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
    leave_within: float = 3.0
    longest_pause: float = 0.0
    attempt: int = 1
    extra_sends: int = 0
    is_suspect: bool = False
    customer: ids.CustomerName = ids.CustomerName('')
    units: float = 0.0
    priority: int = 0
    pauses: tuple[records.Paused, ...] = ()


class Queued(Message, frozen=True, array_like=True, tag=True):
    """The owner has a request and decides later."""

    stream: ids.StreamId


class Placement(Message, frozen=True, array_like=True, tag='PlacedAt'):
    """The engines of a generation.

    Attributes:
        prefill: empty if the prompt is not read apart.
        output: predicted tokens of the answer.
    """

    stream: ids.StreamId
    prefill: ids.UpstreamId
    decode: ids.UpstreamId
    reason: str
    expected_tokens: int = 0


class PlacementRefused(Message, frozen=True, array_like=True, tag='GivenUp'):
    """There is no room in time; come back after some seconds.

    Attributes:
        is_over_quota: whether its customer has used its quota.
    """

    stream: ids.StreamId
    retry_after: float
    reason: str
    is_over_quota: bool = False


class Declined(Message, frozen=True, array_like=True, tag=True):
    """The owner does not decide any more: ask another one."""

    stream: ids.StreamId


class Withdraw(Message, frozen=True, array_like=True, tag=True):
    """A request no longer wants engines."""

    stream: ids.StreamId


class Prefilled(Message, frozen=True, array_like=True, tag=True):
    """A prompt was read, in some seconds."""

    stream: ids.StreamId
    service: ids.ServiceName
    tokens: int
    seconds: float


class Started(Message, frozen=True, array_like=True, tag=True):
    """The first event of a stream came."""

    stream: ids.StreamId
    service: ids.ServiceName


class Release(Message, frozen=True, array_like=True, tag=True):
    """A generation has ended at its engines.

    Attributes:
        tokens: of the answer; 0 if it broke off.
        seconds: from its first event to its last.
        failed: engines that may be at fault.
        unreachable: engine that nothing could be sent to, or empty.
        fetched: prefill engine whose result was taken over, or empty.
    """

    stream: ids.StreamId
    service: ids.ServiceName
    tokens: int = 0
    seconds: float = 0.0
    failed: tuple[ids.UpstreamId, ...] = ()
    kv_source: ids.UpstreamId = ids.UpstreamId('')
    unreachable: ids.UpstreamId = ids.UpstreamId('')


class QuotaRefund(Message, frozen=True, array_like=True, tag='GivenBack'):
    """A generation that was counted for a customer has not run."""

    customer: ids.CustomerName
    units: float


class QuotaUsage(Message, frozen=True, array_like=True, tag='Spent'):
    """Tells what customers used, ahead of the next beat."""

    used: tuple[QuotaUse, ...]


class QuotaLevels(Message, frozen=True, array_like=True, tag='Left'):
    """The answer: what is left to them."""

    levels: tuple[QuotaLevel, ...]


class RateLimits(Message, frozen=True, array_like=True, tag=True):
    """Tells what upstreams have said of it, ahead of the next beat."""

    limits: tuple[records.RateLimit, ...]


class LeavingUpstreams(Message, frozen=True, array_like=True, tag='Leaving'):
    """Tells of upstreams that leave, ahead of the next beat."""

    upstreams: tuple[ids.UpstreamId, ...]


class PermitRequest(Message, frozen=True, array_like=True, tag='Permit'):
    """Asks for one request to an upstream that names a rate limit.

    Attributes:
        number: of this question.
        limit: as the sender knows it; a new owner may not have heard of it.
    """

    member: ids.MemberId
    number: int
    limit: records.RateLimit


class PermitReply(Message, frozen=True, array_like=True, tag='Permitted'):
    """The answer.

    Attributes:
        wait: seconds until there is room; 0 if the request may be sent.
    """

    number: int
    wait: float


class StageChangeRequest(Message, frozen=True, array_like=True, tag='Change'):
    """Asks a gateway that hears the store to order a change of stage."""

    member: ids.MemberId
    engine: ids.UpstreamId
    stage: upstreams.Stage


class StageChangeReply(Message, frozen=True, array_like=True, tag='Changed'):
    """What came of it: whether the engine may be changing now."""

    engine: ids.UpstreamId
    stage: upstreams.Stage
    ordered: bool


class Suspicions(Message, frozen=True, array_like=True, tag=True):
    """Tells of requests that may end upstreams, ahead of the next beat."""

    suspicions: tuple[Suspicion, ...]


class UpdateRequest(Message, frozen=True, array_like=True, tag='Ask'):
    """Asks for what is newer than the sender's versions.

    Attributes:
        era: of `upstreams`.
    """

    config_version: int
    upstreams_version: int
    era: int = 0


class UpdateRow(msgspec.Struct, frozen=True, array_like=True):
    """An upstream's row in the store.

    Attributes:
        ver: version of the store at its last change.
        document: empty if the row is gone.
    """

    key: str
    version: int
    document: bytes


class Update(Message, frozen=True, array_like=True, tag='News'):
    """What a gateway knows.

    Attributes:
        config: compressed document, empty if the asker's is as new.
        after: version of the store from which on rows are told.
        upstreams: version of the store up to which rows are told.
        rows: of upstreams that changed in between.
        is_whole: whether they are all that there are, and what is not among
            them is gone.
        era: of both versions; for the older one only if not all is told.
    """

    config: bytes
    after: int
    upstreams_version: int
    rows: tuple[UpdateRow, ...]
    is_complete: bool = False
    era: int = 0


def order_version(message: Heartbeat | HeartbeatReply) -> versions.Version:
    """Return the place in the order that the sender of a message tells."""
    return versions.Version(message.order_era, message.order)


def upstreams_version(
    message: Heartbeat | HeartbeatReply | UpdateRequest | Update,
) -> versions.Version:
    """Return the version up to which the sender of a message knows."""
    return versions.Version(message.era, message.upstreams_version)
