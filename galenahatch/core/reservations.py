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

"""Reservations of engines for attempts, and their recovery by a new owner.

An entry confirms its attempts with every report; a reservation that is not
confirmed in time expires. A new owner adopts the attempts that entries report.
"""

import collections.abc
import dataclasses
import typing

from galenahatch.core import pairing
from galenahatch.core import pools
from galenahatch.core import waitestimates
from galenahatch import ids
from galenahatch import messages
from galenahatch import states

CONFIRM_TIMEOUT_S: typing.Final = 30.0
"""Seconds after which an unconfirmed reservation expires."""
_EXPIRY_INTERVAL_S: typing.Final = 1.0


@dataclasses.dataclass
class Reservation:
    """Engines reserved for one attempt."""

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
        engine_pools: Engine pools of the cell.
        estimator: Estimator of how long places are occupied.
    """

    def __init__(
        self, engine_pools: pools.Pools, estimator: waitestimates.WaitEstimator
    ) -> None:
        self._pools = engine_pools
        self._estimator = estimator
        self._by_stream: dict[ids.StreamId, Reservation] = {}
        self._expired_at = 0.0

    @property
    def by_stream(self) -> collections.abc.Mapping[ids.StreamId, Reservation]:
        """Reservations by stream."""
        return self._by_stream

    def get(self, stream: ids.StreamId) -> Reservation | None:
        """Return the reservation of a stream, or None."""
        return self._by_stream.get(stream)

    def reserve(
        self, request: messages.PlaceRequest, pair: pairing.Pair, now: float
    ) -> None:
        """Reserve a pair of engines, and their links."""
        stream = request.stream
        estimate = self._estimator.estimate_hold(
            pair.decode, request.output_tokens, pair.transfer_ends_at
        )
        pair.prefill.add(stream, pair.cost, now)
        pair.decode.add(stream, estimate)
        pair.prefill.link.reserve(
            pair.transfer_starts_at, pair.transfer_ends_at, now
        )
        pair.decode.link.reserve(
            pair.transfer_starts_at, pair.transfer_ends_at, now
        )
        self._by_stream[stream] = Reservation(
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
        """Release and return the reservation of an attempt."""
        reservation = self._by_stream.pop(stream, None)
        if reservation is not None:
            self._free(reservation, now)
        return reservation

    def release_entry(self, entry: ids.MemberId, now: float) -> None:
        """Release all reservations of an entry."""
        for stream, reservation in list(self._by_stream.items()):
            if reservation.entry == entry:
                self.release(stream, now)

    def reconcile(self, report: messages.HeldReport, now: float) -> None:
        """Add, confirm and drop reservations by an entry's full report."""
        reported = {held.stream: held for held in report.owned}
        for stream, reservation in list(self._by_stream.items()):
            if reservation.entry != report.entry:
                continue
            if stream in reported:
                reservation.confirmed_at = now
            elif now - reservation.placed_at > CONFIRM_TIMEOUT_S / 2:
                self.release(stream, now)
        for held in report.owned:
            if held.stream not in self._by_stream:
                self._adopt(report.entry, held, now)

    def expire(self, now: float) -> list[ids.StreamId]:
        """Drop and return reservations that were not confirmed in time."""
        if now - self._expired_at < _EXPIRY_INTERVAL_S:
            return []
        self._expired_at = now
        expired = [
            stream
            for stream, reservation in self._by_stream.items()
            if now - reservation.confirmed_at > CONFIRM_TIMEOUT_S
        ]
        for stream in expired:
            self.release(stream, now)
        return expired

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
        self, entry: ids.MemberId, held: messages.Held, now: float
    ) -> None:
        """Reserve engines for an attempt that another owner placed."""
        prefill = self._pools.prefill(held.prefill)
        decode = self._pools.decode(held.decode)
        if decode is None:
            return
        estimate = self._estimator.estimate_hold(
            decode, held.output_tokens, now
        )
        decode.add(held.stream, estimate)
        if prefill is not None and held.stage is states.Stage.PREFILL:
            prefill.add(held.stream, prefill.cost(held.prompt_tokens), now)
        self._by_stream[held.stream] = Reservation(
            stream=held.stream,
            entry=entry,
            prefill=held.prefill,
            decode=held.decode,
            prompt_tokens=held.prompt_tokens,
            output_tokens=held.output_tokens,
            blocks=(),
            stage=held.stage,
            placed_at=now,
            confirmed_at=now,
        )
