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

"""Flow control: applies the memory budget to the transfers of this gateway.

Each transfer opens a holding here and reports the bytes that it holds. If the
budget is exceeded, the transfers that `core/memorybudget` names are aborted
at once, since a process that exceeds the memory of its VM is killed together
with all of its requests.

The sum is always limited. Only where the deployment asks for it, callers that
read slowly are paced as well, with small buffers of connections.
"""

import asyncio
import collections.abc
import contextlib
import typing

from galenahatch import clock
from galenahatch.core import memorybudget
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch.gateway import instruments
from galenahatch import logs

_MAX_PAUSE_S: typing.Final = 2.0
"""Seconds for which an upstream isn't read. Engines cut off a response that
remains unread for some seconds, so a longer pause ends the stream anyway."""
_MAX_RESERVATION_PAUSE_S: typing.Final = _MAX_PAUSE_S / 2
"""Seconds for which an answer waits to reserve its bytes. Then it is read as
long as the budget isn't exceeded: others may have reserved bytes that never
arrive, and it may be larger than the whole budget."""
_POLL_INTERVAL_S: typing.Final = 0.1
"""Seconds between two looks at a transfer that waits for room. What frees it
is a caller's read, which raises no event until a socket buffer is empty."""
_RETRY_AFTER_S: typing.Final = 0.5
"""Seconds after which a rejected body may be sent again: bodies are held for
as long as their requests, most of which end within this time."""
_LOG_INTERVAL_S: typing.Final = 1.0
"""Seconds between two log lines on rejected bodies."""
_DEFAULT_MEMORY_BYTES: typing.Final = 256 * 1024 * 1024
"""Memory of a VM that states none: a budget of some 100 MB, above what any
usual load holds, and far below what one process may have on any VM."""
_SMALL_REQUEST_BYTES: typing.Final = 4096
"""Size up to which a request does not count while it is written."""
LARGE_ANSWER_BYTES: typing.Final = 256 * 1024
"""Size from which an answer counts, and is paced, while it is written to its
caller, even if callers aren't paced otherwise."""
_log = logs.Log('flow')


class FlowControl:
    """Transfers of one gateway.

    Args:
        memory_bytes: Memory of the VM; 0 if unknown.
        paces_callers: Whether callers that read slowly are paced.

    Attributes:
        budget: Bytes held.
        paces_callers: As the argument.
    """

    def __init__(self, memory_bytes: int, paces_callers: bool = True) -> None:
        self.budget = memorybudget.MemoryBudget(memory_bytes)
        self.paces_callers = paces_callers
        self._rejected = 0
        self._logged_at = 0.0
        instruments.register_gauge(instruments.HELD_BYTES, self._held_bytes)

    def _held_bytes(self) -> dict[str, float]:
        held = self.budget.held_for
        return {
            direction.value: float(held(direction))
            for direction in memorybudget.Direction
        }

    def open(
        self,
        direction: memorybudget.Direction,
        call: calls.Call | None = None,
        abort: collections.abc.Callable[[], None] | None = None,
    ) -> memorybudget.Holding:
        """Return a new holding without bytes; it must be closed.

        Args:
            call: Request that the transfer belongs to, if it is known.
            abort: Function that aborts the transfer; None if it does not
                depend on the pace of a caller.
        """
        customer = call.customer_name if call is not None else ''
        request = call.id if call is not None else ''
        return self.budget.open(
            direction, clock.now(), customer, abort, request
        )

    @contextlib.contextmanager
    def hold(
        self,
        direction: memorybudget.Direction,
        size: int = 0,
        call: calls.Call | None = None,
        abort: collections.abc.Callable[[], None] | None = None,
    ) -> collections.abc.Iterator[memorybudget.Holding]:
        """Hold bytes for one transfer while the context is entered."""
        holding = self.open(direction, call, abort)
        try:
            self.grow(holding, size)
            yield holding
        finally:
            self.budget.close(holding)

    def grow(self, holding: memorybudget.Holding, size: int) -> None:
        """Record bytes held, and abort transfers if that is too much."""
        now = clock.now()
        self.budget.grow(holding, size, now)
        while True:
            chosen = self.budget.overload(now)
            if chosen is None:
                return
            self.abort(chosen, 'memory')

    def abort(self, holding: memorybudget.Holding, reason: str) -> None:
        """Abort a transfer and give back its bytes.

        Args:
            holding: Transfer that has a function for it.
            reason: Reason for logs and metrics.
        """
        now = clock.now()
        assert holding.abort is not None
        instruments.transfers_aborted.add(1, {'reason': reason})
        _log.warning(
            'Transfer to a slow caller aborted.',
            request=holding.request,
            reason=reason,
            direction=holding.direction.value,
            customer=holding.customer,
            held=holding.held,
            rate=holding.rate,
            idle=now - holding.taken_at,
            seconds=now - holding.opened_at,
            total=self.budget.held,
            limit=self.budget.total,
        )
        self.budget.close(holding)
        holding.abort()

    def admit_body(
        self, holding: memorybudget.Holding, size: int
    ) -> errors.Failure | None:
        """Record bytes of a body; return a failure if they don't fit."""
        if not size:
            return None
        if self.budget.admits_body(holding, size):
            self.grow(holding, size)
            return None
        self._rejected += 1
        instruments.bodies_rejected.add(1)
        now = clock.now()
        if now - self._logged_at > _LOG_INTERVAL_S:
            _log.warning(
                'Request body rejected.',
                size=size,
                bodies=self.budget.held_for(memorybudget.Direction.BODIES),
                total=self.budget.held,
                limit=self.budget.total,
                rejected=self._rejected,
            )
            self._logged_at, self._rejected = now, 0
        detail = f'{size} more bytes do not fit'
        return errors.Failure(errors.SHORT_OF_MEMORY, detail, _RETRY_AFTER_S)

    async def wait_for_room(
        self,
        holding: memorybudget.Holding,
        update: collections.abc.Callable[[], None] = lambda: None,
        is_complete: collections.abc.Callable[[], bool] = lambda: False,
        size: int = 0,
    ) -> bool:
        """Wait until more may be read; return False if that takes too long.

        Args:
            update: Records what the caller has taken meanwhile.
            is_complete: Returns whether all has arrived, so that reading it
                takes no further memory.
            size: Bytes to reserve, if it is known how many follow.
        """
        paused_at = clock.now()
        while not is_complete() and not self.budget.may_read(holding, size):
            pause = clock.now() - paused_at
            if pause > _MAX_PAUSE_S:
                return False
            if pause > _MAX_RESERVATION_PAUSE_S:
                size = 0
                self._break_off_largest(holding)
            await asyncio.sleep(_POLL_INTERVAL_S)
            update()
        self.budget.reserve(holding, size)
        return True

    def _break_off_largest(self, waiting: memorybudget.Holding) -> None:
        """Break off an answer that may have no end, for one that waits."""
        now = clock.now()
        chosen = self.budget.largest_received(waiting, now)
        if chosen is None or chosen.break_off is None:
            return
        instruments.transfers_aborted.add(1, {'reason': 'endless'})
        _log.warning(
            'Answer broken off for others.',
            held=chosen.held,
            seconds=now - chosen.opened_at,
            total=self.budget.held,
            limit=self.budget.total,
        )
        self.budget.close(chosen)
        chosen.break_off()


def paces_callers(flow: FlowControl | None) -> bool:
    """Return whether callers that read slowly are paced."""
    return flow is not None and flow.paces_callers


def hold(
    flow: FlowControl | None,
    direction: memorybudget.Direction,
    size: int = 0,
    abort: collections.abc.Callable[[], None] | None = None,
) -> contextlib.AbstractContextManager[memorybudget.Holding | None]:
    """Hold bytes for one transfer, if they are counted."""
    is_request = direction is memorybudget.Direction.REQUESTS
    # The kernel takes small requests at once.
    if flow is None or (is_request and size <= _SMALL_REQUEST_BYTES):
        return contextlib.nullcontext()
    return flow.hold(direction, size, abort=abort)


def grow(
    flow: FlowControl | None, holding: memorybudget.Holding | None, size: int
) -> None:
    """Record bytes held, if they are counted."""
    if flow is not None and holding is not None:
        flow.grow(holding, size)


def create(paces_callers: bool, memory_bytes: int) -> FlowControl:
    """Return the limits on held bytes.

    Args:
        paces_callers: Whether callers that read slowly are paced.
        memory_bytes: Memory of the VM; 0 if unknown.
    """
    return FlowControl(memory_bytes or _DEFAULT_MEMORY_BYTES, paces_callers)
