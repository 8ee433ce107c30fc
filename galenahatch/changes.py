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

"""Changes of the configuration by compare-and-set.

A change names the revision that its author read. Its body is written to the
object store under its digest, then one transaction replaces the head. The head
contains the random id of the change, so if the table's response is lost, the
outcome is determined by reading the history.
"""

import asyncio
import typing

import msgspec

from galenahatch import clock
from galenahatch.core import revision
from galenahatch.core import transaction
from galenahatch import errors
from galenahatch import ids
from galenahatch.platform import objects
from galenahatch.platform import table
from galenahatch import schema

_READ_BACK_ATTEMPTS: typing.Final = 5
_READ_BACK_INTERVAL_S: typing.Final = 0.3


class ChangeHistory:
    """Client of the configuration's head and history.

    Args:
        table_client: Client of the table.
        object_store: Client of the object store.
    """

    def __init__(
        self, table_client: table.Table, object_store: objects.ObjectStore
    ) -> None:
        self._table = table_client
        self._objects = object_store

    async def read_head(self) -> revision.Head | None | errors.Failure:
        """Return the newest head, or None before the first change."""
        values = await self._table.read([revision.HEAD_KEY])
        if isinstance(values, errors.Failure):
            return values
        data = values.get(revision.HEAD_KEY)
        return None if data is None else revision.decode_head(data)

    async def read_bundle(
        self, head: revision.Head
    ) -> schema.Bundle | errors.Failure:
        """Read the bundle of a head from the object store."""
        body = await self._objects.get(revision.body_key(head.digest))
        if isinstance(body, errors.Failure):
            return body
        return revision.decode_bundle(body, head.digest)

    async def read_history(self) -> list[revision.Head] | errors.Failure:
        """Return all heads, newest first."""
        values = await self._table.scan('config/history/')
        if isinstance(values, errors.Failure):
            return values
        heads = []
        for data in values.values():
            head = revision.decode_head(data or b'')
            if isinstance(head, errors.Failure):
                return head
            heads.append(head)
        return sorted(heads, key=lambda head: -head.revision)

    async def apply(
        self,
        bundle: schema.Bundle,
        base_head: revision.Head | None,
        author: str,
        note: str,
    ) -> revision.Head | errors.Failure:
        """Propose a bundle as the next configuration.

        Args:
            bundle: Bundle without problems.
            base_head: Head on which the change is based; None for the first.
            author: Name of the author.
            note: Description in one line.

        Returns:
            The accepted head; CHANGE_CONFLICT if another change was
            accepted first; CHANGE_UNKNOWN if the outcome can't be read.
        """
        body = revision.encode(bundle)
        digest = revision.bundle_digest(body)
        failure = await self._objects.put(revision.body_key(digest), body)
        if failure is not None:
            return failure
        next_revision = (base_head.revision if base_head else 0) + 1
        head = revision.Head(
            ids.Revision(next_revision),
            ids.ChangeId(clock.random_token()),
            digest,
            author,
            note,
        )
        outcome = await self._table.commit(_head_transaction(base_head, head))
        if isinstance(outcome, transaction.Committed):
            return head
        return await self._resolve_unconfirmed(head)

    async def _resolve_unconfirmed(
        self, head: revision.Head
    ) -> revision.Head | errors.Failure:
        """Read the history to determine whether a change was accepted."""
        key = revision.history_key(head.revision)
        for _ in range(_READ_BACK_ATTEMPTS):
            values = await self._table.read([key])
            if not isinstance(values, errors.Failure):
                data = values.get(key)
                if data is not None:
                    return _compare_accepted(head, data)
            await asyncio.sleep(_READ_BACK_INTERVAL_S)
        return errors.Failure(errors.CHANGE_UNKNOWN, f'change {head.change}')


def _head_transaction(
    base_head: revision.Head | None, head: revision.Head
) -> transaction.Transaction:
    before = revision.encode(base_head) if base_head else None
    after = revision.encode(head)
    return transaction.Transaction(
        (transaction.Condition(revision.HEAD_KEY, before),),
        (
            transaction.Write(revision.HEAD_KEY, after),
            transaction.Write(revision.history_key(head.revision), after),
        ),
    )


def _compare_accepted(
    head: revision.Head, data: bytes
) -> revision.Head | errors.Failure:
    accepted = revision.decode_head(data)
    if isinstance(accepted, errors.Failure):
        return accepted
    if accepted.change == head.change:
        return head
    detail = (
        f'revision {accepted.revision} is by {accepted.author}: '
        f'{accepted.note}'
    )
    return errors.Failure(errors.CHANGE_CONFLICT, detail)


def set_draining(
    bundle: schema.Bundle, upstream: str, drained: bool
) -> schema.Bundle:
    """Return a copy of a bundle with one upstream drained or undrained."""
    other_names = [name for name in bundle.draining if name != upstream]
    draining = [*other_names, upstream] if drained else other_names
    return msgspec.structs.replace(bundle, draining=tuple(sorted(draining)))
