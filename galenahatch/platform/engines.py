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

"""Encodes and decodes control calls to model engines."""

import dataclasses
import typing

import msgspec

from galenahatch import bounds
from galenahatch.core import incarnations
from galenahatch.core import upstreams
from galenahatch import decoding
from galenahatch import errors
from galenahatch import ids
from galenahatch.platform import documents
from galenahatch.platform import wire

REPORT_PATH: typing.Final = '/report'
ORDER_PATH: typing.Final = '/order'


class _Report(msgspec.Struct, frozen=True):
    stage: str | None = None
    active: bounds.Count = 0
    queued: bounds.Count = 0
    kv_used: bounds.Count = 0
    busy: bool = False
    # Orders accepted since its start.
    seq_no: bounds.Number = 0
    # Start in Unix milliseconds.
    born: int | msgspec.UnsetType = msgspec.UNSET


@dataclasses.dataclass(frozen=True)
class Report:
    """An engine's report on its state, up to a second old.

    Attributes:
        active: number of running requests.
        queued: number of waiting requests.
        kv_used: KV cache tokens that can't be evicted.
        stage: current stage.
        executing_order: whether the engine is executing an order.
        orders_accepted: number of orders accepted since the engine's start.
        started_ms: start in Unix milliseconds, or
            `incarnations.UNKNOWN_START`.
    """

    active: int
    queued: int
    kv_used: int
    stage: upstreams.Stage | None
    executing_order: bool
    orders_accepted: int
    started_ms: int = incarnations.UNKNOWN_START

    def may_come_from(self, upstream: ids.UpstreamId) -> bool:
        """Return whether the report may come from an incarnation."""
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
    # Number of orders that the engine must have accepted before this one.
    expected: int


class _Prefilled(msgspec.Struct, frozen=True):
    # Stands in a header of the request to the other engine.
    kv_handle: bounds.Handle


@dataclasses.dataclass(frozen=True)
class PrefillResult:
    """A finished prefill.

    Attributes:
        handle: identifier of the KV cache; can be used once.
    """

    handle: str


_REPORT_DECODER: typing.Final = msgspec.json.Decoder(_Report)
_PREFILLED_DECODER: typing.Final = msgspec.json.Decoder(_Prefilled)


def handle_path(handle: str) -> str:
    """Return the path that frees a handle."""
    return f'/kv-handle/{handle}'


def decode_report(data: bytes) -> Report | errors.Failure:
    """Decode a report."""
    return decoding.decode(
        _REPORT_DECODER, data, errors.BAD_UPSTREAM, _convert_report
    )


def _convert_report(raw: _Report) -> Report:
    return Report(
        active=raw.active,
        queued=raw.queued,
        kv_used=raw.kv_used,
        stage=upstreams.Stage(raw.stage) if raw.stage else None,
        executing_order=raw.busy,
        orders_accepted=raw.seq_no,
        started_ms=documents.checked_start_ms(raw.born),
    )


def decode_prefill_result(data: bytes) -> PrefillResult | errors.Failure:
    """Decode the result of a prefill."""
    return decoding.decode(
        _PREFILLED_DECODER,
        data,
        errors.BAD_UPSTREAM,
        lambda raw: PrefillResult(raw.kv_handle),
    )


def encode_stage_order(
    stage: str, holder: str, fence: int, orders_accepted: int
) -> bytes:
    """Encode an order to change the stage.

    Args:
        stage: new stage.
        holder: holder of the lease.
        fence: fencing token of the lease.
        orders_accepted: number of orders that the engine has accepted.
    """
    return msgspec.json.encode(
        _Order('stage', stage, holder, fence, orders_accepted)
    )


def instance_headers(upstream: ids.UpstreamId) -> dict[str, str]:
    """Return the headers of a call that only one instance may accept."""
    return {
        wire.INSTANCE_HEADER: incarnations.instance_id(upstream),
        'Content-Type': 'application/json',
    }
