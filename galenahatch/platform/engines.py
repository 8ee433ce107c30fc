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

import typing

import msgspec

from galenahatch import errors

REPORT: typing.Final = '/report'


class Report(msgspec.Struct, frozen=True):
    """What an engine tells of itself, up to a second old.

    Attributes:
        active: requests that run.
        queued: requests that wait.
        kv_used: tokens of memory that can't yield.
        kv_total: tokens of memory.
    """

    active: int = 0
    queued: int = 0
    kv_used: int = 0
    kv_total: int = 0


class Prefilled(msgspec.Struct, frozen=True):
    """A finished prefill.

    Attributes:
        kv_handle: names its result; can be taken once.
        tokens: that were read, or found in the engine's cache.
    """

    kv_handle: str
    tokens: int = 0


_REPORT: typing.Final = msgspec.json.Decoder(Report)
_PREFILLED: typing.Final = msgspec.json.Decoder(Prefilled)


def handle_path(handle: str) -> str:
    """Return the path at which a handle is freed."""
    return f'/kv-handle/{handle}'


def report(data: bytes) -> Report | errors.Failure:
    """Return the report in a body."""
    try:
        return _REPORT.decode(data)
    except msgspec.MsgspecError as error:
        return errors.Failure(errors.BAD_UPSTREAM, str(error))


def prefilled(data: bytes) -> Prefilled | errors.Failure:
    """Return the result of a prefill in a body."""
    try:
        return _PREFILLED.decode(data)
    except msgspec.MsgspecError as error:
        return errors.Failure(errors.BAD_UPSTREAM, str(error))
