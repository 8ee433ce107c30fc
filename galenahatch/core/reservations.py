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

"""Engines held for attempts, and how a new owner learns of them.

An entry confirms its attempts with every report; a reservation without a
sign of its entry lapses. A new owner adopts what entries report.
"""

import collections.abc
import dataclasses
import typing

from galenahatch.core import pairing
from galenahatch.core import pools
from galenahatch.core import waits
from galenahatch import ids
from galenahatch import messages
from galenahatch import states

CONFIRM_TIMEOUT_S: typing.Final = 30.0
"""Seconds after which a reservation without a sign lapses."""
_LAPSE_EVERY: typing.Final = 1.0


@dataclasses.dataclass
class Reservation:
    """Engines held for one attempt."""

    stream: ids.StreamId
    entry: ids.MemberId
    prefill: ids.EngineName
    decode: ids.EngineName
    prompt_tokens: int
    output_tokens: int
    blocks: tuple[int, ...]
    stage: states.Stage
    placed_at: float
    confirmed_at: float


class Reservations:
    """Reservations of a cell; times are monotonic seconds.

    Args:
        engines_of: engines of the cell.
        predicted: how long places are held.
    """

    def __init__(
        self, engines_of: pools.Pools, predicted: waits.WaitEstimator
    ) -> None:
        self._pools = engines_of
        self._waits = predicted
        self._held: dict[ids.StreamId, Reservation] = {}
        self._lapsed_at = 0.0

    @property
    def by_stream(self) -> collections.abc.Mapping[ids.StreamId, Reservation]:
        """Reservations by stream."""
        return self._held

    def get(self, stream: ids.StreamId) -> Reservation | None:
        """Return a reservation."""
        return self._held.get(stream)

    def reserve(
        self, request: messages.PlaceRequest, pair: pairing.Pair, now: float
    ) -> None:
        """Reserve a pair of engines, and their links."""
        stream = request.stream
        stay = self._waits.estimate_hold(
            pair.decode, request.output_tokens, pair.transfer_ends_at
        )
        pair.prefill.add(stream, pair.cost, now)
        pair.decode.add(stream, stay)
        pair.prefill.link.reserve(
            pair.transfer_starts_at, pair.transfer_ends_at, now
        )
        pair.decode.link.reserve(
            pair.transfer_starts_at, pair.transfer_ends_at, now
        )
        self._held[stream] = Reservation(
            stream=stream,
            entry=request.entry,
            prefill=pair.prefill.name,
            decode=pair.decode.name,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            blocks=request.blocks,
            stage=states.Stage.PREFILL,
            placed_at=now,
            confirmed_at=now,
        )

    def release(self, stream: ids.StreamId, now: float) -> Reservation | None:
        """Free what an attempt held, and return what that was."""
        reservation = self._held.pop(stream, None)
        if reservation is not None:
            self._free(reservation, now)
        return reservation

    def release_entry(self, entry: ids.MemberId, now: float) -> None:
        """Free everything of an entry."""
        for stream, reservation in list(self._held.items()):
            if reservation.entry == entry:
                self.release(stream, now)

    def reconcile(self, report: messages.HeldReport, now: float) -> None:
        """Take an entry's complete report: add, confirm and drop."""
        reported = {one.stream: one for one in report.held}
        for stream, reservation in list(self._held.items()):
            if reservation.entry != report.entry:
                continue
            if stream in reported:
                reservation.confirmed_at = now
            elif now - reservation.placed_at > CONFIRM_TIMEOUT_S / 2:
                self.release(stream, now)
        for one in report.held:
            if one.stream not in self._held:
                self._adopt(report.entry, one, now)

    def expire(self, now: float) -> list[ids.StreamId]:
        """Drop reservations without a sign of their entry."""
        if now - self._lapsed_at < _LAPSE_EVERY:
            return []
        self._lapsed_at = now
        lapsed = [
            stream
            for stream, reservation in self._held.items()
            if now - reservation.confirmed_at > CONFIRM_TIMEOUT_S
        ]
        for stream in lapsed:
            self.release(stream, now)
        return lapsed

    def _free(self, reservation: Reservation, now: float) -> None:
        prefill = self._pools.prefill(reservation.prefill)
        if prefill is not None:
            prefill.release(reservation.stream, now)
            if prefill.trial_stream == reservation.stream:
                prefill.trial_stream = None
        decode = self._pools.decode(reservation.decode)
        if decode is not None:
            decode.release(reservation.stream)
            if decode.trial_stream == reservation.stream:
                decode.trial_stream = None

    def _adopt(
        self, entry: ids.MemberId, one: messages.Held, now: float
    ) -> None:
        """Reserve for an attempt that another owner placed."""
        prefill = self._pools.prefill(one.prefill)
        decode = self._pools.decode(one.decode)
        if decode is None:
            return
        stay = self._waits.estimate_hold(decode, one.output_tokens, now)
        decode.add(one.stream, stay)
        if prefill is not None and one.stage is states.Stage.PREFILL:
            prefill.add(one.stream, prefill.cost(one.prompt_tokens), now)
        self._held[one.stream] = Reservation(
            stream=one.stream,
            entry=entry,
            prefill=one.prefill,
            decode=one.decode,
            prompt_tokens=one.prompt_tokens,
            output_tokens=one.output_tokens,
            blocks=(),
            stage=one.stage,
            placed_at=now,
            confirmed_at=now,
        )
