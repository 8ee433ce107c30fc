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

"""Task that writes claims to the table in groups.

Claims of many entries are collected for a few tens of milliseconds and
committed in one transaction, so the write rate stays bounded for any number
of daemons. A conflict names the keys that caused it: their operations are
answered from the stored values, and the rest is committed again. When the
outcome of a commit is unknown, the keys are read back.
"""

import asyncio
import collections.abc
import dataclasses
import typing

from galenahatch.core import claimoperations
from galenahatch.core import transaction
from galenahatch import errors
from galenahatch import ids
from galenahatch import logs
from galenahatch import messages
from galenahatch import metrics
from galenahatch.platform import table

MAX_GROUP_SIZE: typing.Final = 200
_MAX_CONCURRENT_GROUPS: typing.Final = 4
_MAX_COMMIT_ATTEMPTS: typing.Final = 4
_log = logs.Log('claims')

Send = collections.abc.Callable[[messages.AnyMessage], None]


@dataclasses.dataclass(frozen=True)
class PendingOperation:
    """An operation on a key and the callback that sends its reply."""

    operation: claimoperations.Operation
    send: Send


class ClaimWriter:
    """Queue of operations and the groups being committed.

    Args:
        store: client of the table.
        group_seconds: seconds for which operations are collected.
    """

    def __init__(self, store: table.Table, group_seconds: float) -> None:
        self._table = store
        self._group_seconds = group_seconds
        self._queue: asyncio.Queue[PendingOperation] = asyncio.Queue()
        self._slots = asyncio.Semaphore(_MAX_CONCURRENT_GROUPS)
        self._groups: set[asyncio.Task[None]] = set()
        self._unanswered_count = 0

    @property
    def unanswered_count(self) -> int:
        """Number of operations that are not answered yet."""
        return self._unanswered_count

    def submit(self, operation: claimoperations.Operation, send: Send) -> None:
        """Queue an operation."""
        self._unanswered_count += 1
        self._queue.put_nowait(PendingOperation(operation, send))

    async def run(self) -> None:
        """Collect and commit groups until cancelled."""
        while True:
            group = [await self._queue.get()]
            await self._slots.acquire()
            await asyncio.sleep(self._group_seconds)
            while not self._queue.empty() and len(group) < MAX_GROUP_SIZE:
                group.append(self._queue.get_nowait())
            task = asyncio.create_task(self._commit_group(group))
            self._groups.add(task)
            task.add_done_callback(self._groups.discard)

    async def _commit_group(self, group: list[PendingOperation]) -> None:
        try:
            await self._commit(self._split_by_key(group))
        finally:
            self._slots.release()

    def _split_by_key(
        self, group: list[PendingOperation]
    ) -> dict[ids.ClaimKey, PendingOperation]:
        """Return the first operation of each key; requeue later ones."""
        first_by_key: dict[ids.ClaimKey, PendingOperation] = {}
        for pending_operation in group:
            if pending_operation.operation.key in first_by_key:
                self._queue.put_nowait(pending_operation)
            else:
                first_by_key[pending_operation.operation.key] = (
                    pending_operation
                )
        return first_by_key

    async def _commit(
        self, pending: dict[ids.ClaimKey, PendingOperation]
    ) -> None:
        for _ in range(_MAX_COMMIT_ATTEMPTS):
            if not pending:
                return
            operations_transaction = claimoperations.build_transaction(
                [
                    pending_operation.operation
                    for pending_operation in pending.values()
                ]
            )
            metrics.claim_groups.add(1)
            result = await self._table.commit(operations_transaction)
            if isinstance(result, transaction.Conflict):
                self._answer_conflicts(pending, result.current)
            elif isinstance(result, errors.Failure):
                await self._read_back(pending)
                return
            else:
                for pending_operation in pending.values():
                    self._answer(
                        pending_operation,
                        claimoperations.committed_reply(
                            pending_operation.operation
                        ),
                    )
                return
        await self._read_back(pending)

    def _answer_conflicts(
        self,
        pending: dict[ids.ClaimKey, PendingOperation],
        current: collections.abc.Mapping[str, bytes | None],
    ) -> None:
        for name, value in current.items():
            pending_operation = pending.pop(
                claimoperations.claim_key_from(name), None
            )
            if pending_operation is not None:
                self._answer(
                    pending_operation,
                    claimoperations.conflict_reply(
                        pending_operation.operation, value
                    ),
                )

    async def _read_back(
        self, pending: dict[ids.ClaimKey, PendingOperation]
    ) -> None:
        """Answer from the stored values if the table can be read."""
        names = [claimoperations.table_key(key) for key in pending]
        values = await self._table.read(names)
        for key, pending_operation in pending.items():
            if isinstance(values, errors.Failure):
                self._answer(
                    pending_operation,
                    claimoperations.unconfirmed_reply(
                        pending_operation.operation
                    ),
                )
                continue
            value = values.get(claimoperations.table_key(key))
            self._answer(
                pending_operation,
                claimoperations.readback_reply(
                    pending_operation.operation, value
                ),
            )

    def _answer(
        self, pending_operation: PendingOperation, reply: messages.AnyMessage
    ) -> None:
        self._unanswered_count -= 1
        if isinstance(reply, messages.ClaimReply):
            metrics.claims.add(1, {'status': reply.status.value})
            _log.info(
                'Claim answered.', key=reply.key, status=reply.status.value
            )
        pending_operation.send(reply)
