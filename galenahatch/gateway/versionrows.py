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

"""Rows of the store that tell the software versions of each service.

`versionhistory` says what they mean.
"""

import math
import typing

import msgspec

from galenahatch import bounds
from galenahatch.core import versionaffinity
from galenahatch import decoding
from galenahatch import errors
from galenahatch import ids

LEASE_S: typing.Final = 20.0
"""Seconds for which a row vouches for the absence of other versions. It covers
the time in which all gateways may be down; for as long, a new version stays
unused if no row can be written."""
RENEWAL_INTERVAL_S: typing.Final = 5.0
_LEASE_MS: typing.Final = 1000 * LEASE_S
_MAX_AHEAD_MS: typing.Final = 60_000.0
"""Time by which a row's times may be ahead of the store's clock, which writers
estimate. Who replaces a row goes by its times, so absurd ones would stay."""


class Row(msgspec.Struct, frozen=True):
    """Value of a service's row; times are of the store's clock.

    Attributes:
        era: Era of the store in which it was written.
        left_ms: When each version left; negative while it serves.
        known_ms: Time since which streams began only at these versions; 0 for
            any time.
        complete_ms: Time up to which all versions are listed; 0 for none, as
            in rows of older builds.
    """

    era: bounds.Number
    left_ms: dict[
        typing.Annotated[ids.SoftwareVersion, bounds.TEXT], bounds.ClockMs
    ]
    known_ms: bounds.ClockMs = 0.0
    complete_ms: bounds.ClockMs = 0.0

    def is_in_force(self, now_ms: float) -> bool:
        """Return whether it lists all versions that are in use."""
        return 0 < self.complete_ms <= now_ms < self.complete_ms + _LEASE_MS


_DECODER: typing.Final = msgspec.json.Decoder(Row)


def decode(data: bytes, era: int, now_ms: float) -> Row | errors.Failure:
    """Decode the value of a row.

    Args:
        data: The value.
        era: Era of the store in which it was read.
        now_ms: Time of the store's clock.
    """

    def check(row: Row) -> Row:
        if not is_valid(row):
            raise ValueError(f'{len(row.left_ms)} versions')
        latest = max(row.known_ms, row.complete_ms, *row.left_ms.values(), 0)
        if row.era == era and latest > now_ms + _MAX_AHEAD_MS:
            raise ValueError(f'a time of {latest:.0f} ms at {now_ms:.0f} ms')
        return row

    return decoding.decode(
        _DECODER, data, errors.BAD_FRAME, check, max_bytes=bounds.ROW_BYTES
    )


class StoreClock(typing.NamedTuple):
    """The store's clock, as an answer of the store tells it.

    The answer was made while the call lasted, so an instant is known within
    that time only.

    Attributes:
        least_offset: Least monotonic seconds at which it may have shown 0.
        most_offset: Most monotonic seconds at which it may have shown 0.
    """

    least_offset: float = 0.0
    most_offset: float = 0.0

    def latest_ms(self, at: float) -> float:
        """Return the latest time that it may show at an instant."""
        return max(1.0, (at - self.least_offset) * 1000)

    def latest_at(self, shown_ms: float) -> float:
        """Return the latest instant at which it may show a time; 0 is none."""
        if not shown_ms:
            return -math.inf
        return self.most_offset + shown_ms / 1000


def is_valid(row: Row) -> bool:
    """Return whether a row has no more versions than are told apart."""
    return len(row.left_ms) <= versionaffinity.MAX_VERSIONS


def must_write(stored: Row | None, wanted: Row) -> bool:
    """Return whether a row must be written; times of leaving don't matter.

    One that is complete up to a time to come is replaced as well: until then
    it would vouch for what nobody has seen.
    """
    if stored is None:
        return bool(wanted.left_ms)
    if (
        stored.era != wanted.era
        or {v: at < 0 for v, at in stored.left_ms.items()}
        != {v: at < 0 for v, at in wanted.left_ms.items()}
        or bool(stored.known_ms) != bool(wanted.known_ms)
    ):
        return True
    age_ms = wanted.complete_ms - stored.complete_ms
    return bool(wanted.left_ms) and abs(age_ms) >= 1000 * RENEWAL_INTERVAL_S
