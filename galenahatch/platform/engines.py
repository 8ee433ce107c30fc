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

"""Calls to model engines beside the requests of callers."""

import dataclasses
import typing

import msgspec

from galenahatch.core import incarnations
from galenahatch.core import upstreams
from galenahatch import errors
from galenahatch import ids
from galenahatch.platform import documents
from galenahatch.platform import wire

REPORT_PATH: typing.Final = '/report'
ORDER_PATH: typing.Final = '/order'


class _Report(msgspec.Struct, frozen=True):
    stage: str | None = None
    active: int = 0
    queued: int = 0
    kv_used: int = 0
    busy: bool = False
    # Orders taken since its start.
    seq_no: int = 0
    # Unix milliseconds of its start.
    born: int | msgspec.UnsetType = msgspec.UNSET


@dataclasses.dataclass(frozen=True)
class Report:
    """What an engine tells of itself, up to a second old.

    Attributes:
        active: requests that run.
        queued: requests that wait.
        kv_used: tokens of memory that can't yield.
        stage: that it is in.
        executing_order: whether an order is being carried out.
        orders_accepted: orders that it has taken since its start.
        started_ms: Unix milliseconds of its start, or `incarnations.UNKNOWN`.
    """

    active: int
    queued: int
    kv_used: int
    stage: upstreams.Stage | None
    executing_order: bool
    orders_accepted: int
    started_ms: int = incarnations.UNKNOWN_START

    def may_come_from(self, upstream: ids.UpstreamId) -> bool:
        """Return whether it may come from a certain start."""
        unknown = incarnations.UNKNOWN_START
        return self.started_ms in (
            unknown,
            incarnations.started_ms(upstream),
        ) or (incarnations.started_ms(upstream) == unknown)


class _Order(msgspec.Struct, frozen=True):
    op: str
    stage: str
    holder: str
    fence: int
    # Orders that the engine must have taken until then.
    expected: int


class _Prefilled(msgspec.Struct, frozen=True):
    kv_handle: str


@dataclasses.dataclass(frozen=True)
class PrefillResult:
    """A finished prefill.

    Attributes:
        handle: names its result; can be taken once.
    """

    handle: str


_REPORT: typing.Final = msgspec.json.Decoder(_Report)
_PREFILLED: typing.Final = msgspec.json.Decoder(_Prefilled)


def handle_path(handle: str) -> str:
    """Return the path at which a handle is freed."""
    return f'/kv-handle/{handle}'


def decode_report(data: bytes) -> Report | errors.Failure:
    """Return the report in a body."""
    try:
        raw = _REPORT.decode(data)
        stage = upstreams.Stage(raw.stage) if raw.stage else None
        started_ms = documents.checked_start_ms(raw.born)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return errors.Failure(errors.BAD_UPSTREAM, str(error))
    return Report(
        active=raw.active,
        queued=raw.queued,
        kv_used=raw.kv_used,
        stage=stage,
        executing_order=raw.busy,
        orders_accepted=raw.seq_no,
        started_ms=started_ms,
    )


def decode_prefill_result(data: bytes) -> PrefillResult | errors.Failure:
    """Return the result of a prefill in a body."""
    try:
        return PrefillResult(_PREFILLED.decode(data).kv_handle)
    except msgspec.MsgspecError as error:
        return errors.Failure(errors.BAD_UPSTREAM, str(error))


def encode_stage_order(
    stage: str, holder: str, fence: int, taken: int
) -> bytes:
    """Return the body of an order to change the stage.

    Args:
        stage: the new one.
        holder: of the lease.
        fence: fencing number of the lease.
        taken: orders that the engine has taken so far.
    """
    return msgspec.json.encode(_Order('stage', stage, holder, fence, taken))


def instance_headers(upstream: ids.UpstreamId) -> dict[str, str]:
    """Return the headers of a call that only one upstream may take."""
    return {
        wire.INSTANCE_HEADER: incarnations.instance_id(upstream),
        'Content-Type': 'application/json',
    }
