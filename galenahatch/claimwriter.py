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

"""The task that writes claims to the table, in groups.

Claims of many entries are collected for a few tens of milliseconds and
committed in one transaction, so the writes a second stay bounded however
many daemons there are. A conflict concerns single keys: they are answered
from the values that stand, and the rest is committed again. After a lost
answer the keys are read back.
"""

import asyncio
import collections.abc
import dataclasses
import typing

from galenahatch.core import claimwrites
from galenahatch.core import transaction
from galenahatch import errors
from galenahatch import ids
from galenahatch import logs
from galenahatch import messages
from galenahatch import metrics
from galenahatch.platform import table

MOST_IN_GROUP: typing.Final = 200
_GROUPS_AT_ONCE: typing.Final = 4
_TRIES: typing.Final = 4
_log = logs.Log('claims')

Send = collections.abc.Callable[[messages.AnyMessage], None]


@dataclasses.dataclass(frozen=True)
class Order:
    """One operation on a key, and how to answer it."""

    operation: claimwrites.Operation
    send: Send


class ClaimWriter:
    """Inbox and groups.

    Args:
        store: the table.
        group_seconds: time for which operations are collected.
    """

    def __init__(self, store: table.Table, group_seconds: float) -> None:
        self._table = store
        self._group_seconds = group_seconds
        self._inbox: asyncio.Queue[Order] = asyncio.Queue()
        self._slots = asyncio.Semaphore(_GROUPS_AT_ONCE)
        self._groups: set[asyncio.Task[None]] = set()
        self._open = 0

    @property
    def open(self) -> int:
        """Operations that are not answered yet."""
        return self._open

    def submit(self, operation: claimwrites.Operation, send: Send) -> None:
        """Put an operation into the inbox."""
        self._open += 1
        self._inbox.put_nowait(Order(operation, send))

    async def run(self) -> None:
        """Collect and commit groups until cancelled."""
        while True:
            orders = [await self._inbox.get()]
            await self._slots.acquire()
            await asyncio.sleep(self._group_seconds)
            while not self._inbox.empty() and len(orders) < MOST_IN_GROUP:
                orders.append(self._inbox.get_nowait())
            task = asyncio.create_task(self._work(orders))
            self._groups.add(task)
            task.add_done_callback(self._groups.discard)

    async def _work(self, orders: list[Order]) -> None:
        try:
            await self._commit(self._one_per_key(orders))
        finally:
            self._slots.release()

    def _one_per_key(self, orders: list[Order]) -> dict[ids.ClaimKey, Order]:
        """Return the first operation of each key; later ones wait."""
        chosen: dict[ids.ClaimKey, Order] = {}
        for order in orders:
            if order.operation.key in chosen:
                self._inbox.put_nowait(order)
            else:
                chosen[order.operation.key] = order
        return chosen

    async def _commit(self, pending: dict[ids.ClaimKey, Order]) -> None:
        for _ in range(_TRIES):
            if not pending:
                return
            change = claimwrites.build_transaction(
                [order.operation for order in pending.values()]
            )
            metrics.claim_groups.add(1)
            result = await self._table.commit(change)
            if isinstance(result, transaction.Conflict):
                self._settle_conflicts(pending, result.current)
            elif isinstance(result, errors.Failure):
                await self._read_back(pending)
                return
            else:
                for order in pending.values():
                    self._answer(
                        order, claimwrites.committed_reply(order.operation)
                    )
                return
        await self._read_back(pending)

    def _settle_conflicts(
        self,
        pending: dict[ids.ClaimKey, Order],
        current: collections.abc.Mapping[str, bytes | None],
    ) -> None:
        for name, value in current.items():
            order = pending.pop(claimwrites.claim_key_from(name), None)
            if order is not None:
                self._answer(
                    order, claimwrites.conflict_reply(order.operation, value)
                )

    async def _read_back(self, pending: dict[ids.ClaimKey, Order]) -> None:
        """Answer from what the table holds, if it can be read."""
        names = [claimwrites.table_key(key) for key in pending]
        values = await self._table.read(names)
        for key, order in pending.items():
            if isinstance(values, errors.Failure):
                self._answer(
                    order, claimwrites.unconfirmed_reply(order.operation)
                )
                continue
            value = values.get(claimwrites.table_key(key))
            self._answer(
                order, claimwrites.readback_reply(order.operation, value)
            )

    def _answer(self, order: Order, reply: messages.AnyMessage) -> None:
        self._open -= 1
        if isinstance(reply, messages.ClaimReply):
            metrics.claims.add(1, {'status': reply.status.value})
            _log.info(
                'Claim answered.', key=reply.key, status=reply.status.value
            )
        order.send(reply)
