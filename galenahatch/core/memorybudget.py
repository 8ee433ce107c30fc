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

"""Limits the bytes that a process holds for callers and for upstreams.

The budget is a share of the memory of the VM. It has three parts:

- Request bodies of callers are admitted as a whole. If a body doesn't fit, it
  is rejected before it is read, while nothing has been sent.
- Events of streams: a stream may hold up to a share of what is free (dynamic
  thresholds, as in switches with shared buffers). With few slow callers each
  gets a long buffer; with many the thresholds fall, so that a part always
  remains free for those that come next. Above its threshold a stream's
  upstream isn't read.
- Answers of plain services and requests being written have no threshold, as
  they arrive at once and their sizes are those of other bodies. An answer of
  known length reserves it, so that many at once are read one after the other.
  While the budget is exceeded, only the oldest answer and small ones are read
  on: if all waited for each other, none would be delivered. If one goes on
  for long while others wait, `largest_received` names the one to break off.

If all of them together exceed the budget, `overload` names the transfer to
abort: the one whose caller needs longest to take what is held for it, among
those that hold at least the mean, also of answers that are still received. A
transfer that has just begun holds less than others that are slow, and to abort
a small one would free nothing.

Times are monotonic seconds, sizes are bytes; this module does no I/O.
"""

import collections.abc
import dataclasses
import enum
import math
import typing

_BASE_BYTES: typing.Final = 61 * 1024 * 1024
"""Resident memory of a gateway in a large deployment without requests."""
_HELD_SHARE: typing.Final = 0.5
"""Share of the remaining memory that is budgeted. The rest is for what can't
be counted: socket buffers, buffers of libraries, copies and fragmentation."""
MIN_BYTES: typing.Final = 4 * 1024 * 1024
"""Budget of a VM with hardly any room: some bodies of usual size."""
_BODY_SHARE: typing.Final = 0.25
"""Share of the budget for request bodies. The same share is left for the
copies of them that are being written to upstreams."""
_EVENT_SHARE: typing.Final = 0.5
"""Share of the budget for events of streams, which depend on the pace of
callers and so last longest."""
_CLOSED_SHARE: typing.Final = 0.9
"""Share of the budget from which no body is admitted, so that callers are
rejected at the start before transfers in progress are aborted."""
_THRESHOLD_SHARE: typing.Final = 0.25
"""Threshold of a stream as a share of the free bytes for events: one stream
gets a fifth of them, a hundred together leave 4 in 100 free."""
MAX_STREAM_BYTES: typing.Final = 256 * 1024
"""Largest threshold of a stream: more than a long generation."""
_CUSTOMER_SHARE: typing.Final = 0.5
"""Share of the bytes for events that streams of one customer may hold."""
_SMALL_BYTES: typing.Final = 64 * 1024
"""Answers up to this size are read although the budget is exceeded: the
client library holds as much of each in any case."""
_SMALL_EXCESS: typing.Final = 1.25
"""Share of the budget from which even small ones wait."""
_MIN_RECEIVED_S: typing.Final = 1.0
"""Seconds for which an answer may be received while others wait."""
_STEP_BYTES: typing.Final = 4096
"""Bytes in which the progress of a caller is observed."""
_MIN_IDLE_S: typing.Final = 0.001
_RATE_WINDOW_S: typing.Final = 2.0
"""Seconds after which a rate of a caller is mostly forgotten."""


class Direction(enum.Enum):
    """What held bytes are for."""

    BODIES = 'bodies'
    EVENTS = 'events'
    ANSWERS = 'answers'
    REQUESTS = 'requests'


@dataclasses.dataclass
class Holding:
    """Bytes held for one transfer.

    Attributes:
        direction: What they are for.
        customer: Name of the caller's customer; empty if there is none.
        request: Id of the request, for logs; empty if not known yet.
        opened_at: Time at which the transfer began.
        abort: Function that aborts the transfer; None if it does not depend
            on the pace of a caller.
        held: Bytes held now.
        reserved: Bytes that are expected beyond these.
        rate: Recent rate in bytes per second at which they were taken; 0
            before the first were taken.
        taken_at: Time at which some were last taken, or since which some are
            held.
        is_closed: Whether the transfer has ended.
        break_off: Function that ends a transfer from an upstream; None if it
            can't be ended.
    """

    direction: Direction
    customer: str
    request: str
    opened_at: float
    abort: collections.abc.Callable[[], None] | None = None
    held: int = 0
    reserved: int = 0
    rate: float = 0.0
    taken_at: float = 0.0
    is_closed: bool = False
    break_off: collections.abc.Callable[[], None] | None = None

    def drain_seconds(self, now: float) -> float:
        """Return the seconds until everything will have been taken."""
        # A caller that is idle has taken less than a step in that time.
        idle = max(_MIN_IDLE_S, now - self.taken_at)
        rate = min(self.rate or math.inf, _STEP_BYTES / idle)
        return self.held / max(1.0, rate)


class MemoryBudget:
    """Bytes that one process holds.

    Args:
        memory_bytes: Memory of the VM; 0 if unknown, which is taken as a VM
            with hardly any room.

    Attributes:
        total: Budget in bytes.
    """

    def __init__(self, memory_bytes: int) -> None:
        room = int(_HELD_SHARE * (memory_bytes - _BASE_BYTES))
        self.total = max(MIN_BYTES, room)
        self._held = dict.fromkeys(Direction, 0)
        self._reserved = 0
        self._event_bytes: dict[str, int] = {}
        self._abortable: dict[int, Holding] = {}
        self._received: dict[int, Holding] = {}

    @property
    def held(self) -> int:
        """All bytes held."""
        return sum(self._held.values())

    @property
    def reserved(self) -> int:
        """Bytes that answers have reserved and that have not arrived."""
        return self._reserved

    def held_for(self, direction: Direction) -> int:
        """Return the bytes held in one direction."""
        return self._held[direction]

    def open(
        self,
        direction: Direction,
        now: float,
        customer: str = '',
        abort: collections.abc.Callable[[], None] | None = None,
        request: str = '',
    ) -> Holding:
        """Return a new holding without bytes; it must be closed."""
        holding = Holding(
            direction, customer, request, now, abort, taken_at=now
        )
        if abort is not None:
            self._abortable[id(holding)] = holding
        elif direction is Direction.ANSWERS:
            self._received[id(holding)] = holding
        return holding

    def grow(self, holding: Holding, size: int, now: float) -> None:
        """Record bytes that are held from now on."""
        if not holding.held:
            holding.taken_at = now
        self._add(holding, size)

    def reserve(self, holding: Holding, size: int) -> None:
        """Reserve bytes that are expected, if they fit.

        They exclude other reservations only: an upstream that falls silent
        must not keep room from what does arrive.
        """
        if self._fits(size):
            holding.reserved += size
            self._reserved += size

    def _unreserve(self, holding: Holding, size: int) -> None:
        size = min(size, holding.reserved)
        holding.reserved -= size
        self._reserved -= size

    def _add(self, holding: Holding, size: int) -> None:
        if holding.is_closed:
            return
        self._unreserve(holding, max(0, size))
        holding.held += size
        self._held[holding.direction] += size
        if holding.direction is Direction.EVENTS:
            of_customer = self._event_bytes.get(holding.customer, 0) + size
            self._event_bytes[holding.customer] = of_customer
            if not of_customer:
                del self._event_bytes[holding.customer]

    def shrink(self, holding: Holding, size: int, now: float) -> None:
        """Record bytes that a caller has taken and that are free now."""
        size = min(size, holding.held)
        if size > 0:
            self.record_taken(holding, size, now)
            self._add(holding, -size)

    def record_taken(self, holding: Holding, size: int, now: float) -> None:
        """Record bytes that a caller has taken but that are still held."""
        seconds = now - holding.taken_at
        weight = seconds / (seconds + _RATE_WINDOW_S)
        if seconds > 0 and not holding.rate:
            holding.rate = size / seconds
        elif seconds > 0:
            holding.rate += weight * (size / seconds - holding.rate)
        holding.taken_at = now

    def close(self, holding: Holding) -> None:
        """End a transfer and give back all of its bytes."""
        self._add(holding, -holding.held)
        self._unreserve(holding, holding.reserved)
        holding.is_closed = True
        self._abortable.pop(id(holding), None)
        self._received.pop(id(holding), None)

    @property
    def max_body(self) -> int:
        """Size of the largest body that is ever admitted."""
        return int(_CLOSED_SHARE * self.total)

    def admits_body(self, holding: Holding, size: int) -> bool:
        """Return whether a body may grow by some bytes.

        A body that is larger than the share of all bodies is admitted if it is
        the only one.
        """
        others = self._held[Direction.BODIES] - holding.held
        fits = others + holding.held + size <= _BODY_SHARE * self.total
        return (fits or not others) and self.held + size <= self.max_body

    def threshold(self, holding: Holding) -> float:
        """Return the bytes up to which a stream's upstream is read."""
        events = _EVENT_SHARE * self.total
        free = events - self._held[Direction.EVENTS]
        if holding.customer:
            of_customer = self._event_bytes.get(holding.customer, 0)
            free = min(free, _CUSTOMER_SHARE * events - of_customer)
        return min(MAX_STREAM_BYTES, max(0.0, _THRESHOLD_SHARE * free))

    def may_read(self, holding: Holding, size: int = 0) -> bool:
        """Return whether more may be read for a transfer.

        Args:
            size: Bytes that are to be reserved for it.
        """
        if holding.direction is Direction.EVENTS:
            return holding.held <= self.threshold(holding)
        is_oldest = next(iter(self._received.values()), None) is holding
        is_small = holding.held + size <= _SMALL_BYTES
        has_room = self.held <= _SMALL_EXCESS * self.total
        return is_oldest or self._fits(size) or (is_small and has_room)

    def _fits(self, size: int) -> bool:
        """Return whether bytes may be reserved; 0 if any may be held."""
        reserved = self._reserved if size else 0
        return self.held + reserved + size <= self.total

    def largest_received(self, waiting: Holding, now: float) -> Holding | None:
        """Return the answer to break off for one that waits, or None.

        It is the largest, if it is much larger than the one that waits and
        has been received for so long that it may have no end.
        """
        least = 2 * max(_SMALL_BYTES, waiting.held)
        return max(
            (
                holding
                for holding in self._received.values()
                if holding.held > least
                and holding.break_off is not None
                and now - holding.opened_at > _MIN_RECEIVED_S
            ),
            key=lambda holding: holding.held,
            default=None,
        )

    def overload(self, now: float) -> Holding | None:
        """Return the transfer to abort, or None if the budget suffices."""
        if self.held <= self.total or not self._abortable:
            return None
        transfers = (*self._abortable.values(), *self._received.values())
        sizes = [holding.held for holding in transfers if holding.held]
        if not sizes:
            return None
        mean = sum(sizes) / len(sizes)
        return max(
            (h for h in self._abortable.values() if h.held >= mean),
            key=lambda holding: holding.drain_seconds(now),
            default=None,
        )
