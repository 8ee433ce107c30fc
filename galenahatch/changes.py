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

"""Changing the configuration: compare-and-set, recognised when repeated.

A change names the revision that its author read. Its body goes to the
object store under its digest, then one transaction moves the head. The
head bears the change's random id, so a change whose answer was lost is
found again by reading the head or the history.
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

_READ_BACKS: typing.Final = 5
_READ_BACK_PAUSE: typing.Final = 0.3


class Changes:
    """The history of the configuration.

    Args:
        tables: the table.
        stored: the object store.
    """

    def __init__(self, tables: table.Table, stored: objects.Objects) -> None:
        self._table = tables
        self._objects = stored

    async def head(self) -> revision.Head | None | errors.Failure:
        """Return the newest head; None before the first change."""
        values = await self._table.read([revision.HEAD_KEY])
        if isinstance(values, errors.Failure):
            return values
        data = values.get(revision.HEAD_KEY)
        return None if data is None else revision.decode_head(data)

    async def bundle(
        self, head: revision.Head
    ) -> schema.Bundle | errors.Failure:
        """Return the body of a change."""
        body = await self._objects.get(revision.body_key(head.digest))
        if isinstance(body, errors.Failure):
            return body
        return revision.decode_bundle(body, head.digest)

    async def history(self) -> list[revision.Head] | errors.Failure:
        """Return every head, newest first."""
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
        read: revision.Head | None,
        author: str,
        note: str,
    ) -> revision.Head | errors.Failure:
        """Make a bundle the next configuration.

        Args:
            bundle: already checked.
            read: the head that the author saw; None for a first change.
            author: who applies it.
            note: one line on the change.

        Returns:
            The accepted head; CHANGE_CONFLICT if another change was
            accepted first; CHANGE_UNKNOWN if the table can't tell.
        """
        body = revision.encode(bundle)
        digest = revision.bundle_digest(body)
        failure = await self._objects.put(revision.body_key(digest), body)
        if failure is not None:
            return failure
        number = (read.revision if read else 0) + 1
        head = revision.Head(
            ids.Revision(number),
            ids.ChangeId(clock.random_token()),
            digest,
            author,
            note,
        )
        done = await self._table.commit(_move(read, head))
        if isinstance(done, transaction.Committed):
            return head
        return await self._recognise(head)

    async def _recognise(
        self, head: revision.Head
    ) -> revision.Head | errors.Failure:
        """Find out whether a change was accepted after all."""
        key = revision.history_key(head.revision)
        for _ in range(_READ_BACKS):
            values = await self._table.read([key])
            if not isinstance(values, errors.Failure):
                data = values.get(key)
                if data is not None:
                    return _compare(head, data)
            await asyncio.sleep(_READ_BACK_PAUSE)
        return errors.Failure(errors.CHANGE_UNKNOWN, f'change {head.change}')


def _move(
    read: revision.Head | None, head: revision.Head
) -> transaction.Transaction:
    before = revision.encode(read) if read else None
    after = revision.encode(head)
    return transaction.Transaction(
        (transaction.Condition(revision.HEAD_KEY, before),),
        (
            transaction.Write(revision.HEAD_KEY, after),
            transaction.Write(revision.history_key(head.revision), after),
        ),
    )


def _compare(
    head: revision.Head, data: bytes
) -> revision.Head | errors.Failure:
    standing = revision.decode_head(data)
    if isinstance(standing, errors.Failure):
        return standing
    if standing.change == head.change:
        return head
    detail = (
        f'revision {standing.revision} is by {standing.author}: '
        f'{standing.note}'
    )
    return errors.Failure(errors.CHANGE_CONFLICT, detail)


def with_draining(
    bundle: schema.Bundle, upstream: str, drained: bool
) -> schema.Bundle:
    """Return a bundle with one upstream drained or not."""
    others = [name for name in bundle.draining if name != upstream]
    names = [*others, upstream] if drained else others
    return msgspec.structs.replace(bundle, draining=tuple(sorted(names)))
