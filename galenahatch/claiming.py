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

"""Claiming keys: an entry's side of the talk with the claim writers.

`acquire` gives leave to run a request once, or the answer of the run that
there was, or says why neither. Whatever is left of a claim afterwards,
removing it or storing its answer, goes on in the background until the
table confirms it, and a planned stop waits for that.
"""

import asyncio
import contextlib
import dataclasses
import typing

import msgspec

from galenahatch import clock
from galenahatch.core import claim
from galenahatch.core import rendezvous
from galenahatch.core import retry
from galenahatch import errors
from galenahatch import ids
from galenahatch import logs
from galenahatch import messages
from galenahatch import peers as peers_module
from galenahatch.platform import objects
from galenahatch import states
from galenahatch import tasks

WRITERS: typing.Final = 2
"""Schedulers of a region that write claims; bounds the writes a second."""
_ASK_HOLDER_SECONDS: typing.Final = 1.0
_REPLY_SECONDS: typing.Final = 5.0
_RETRY_AFTER: typing.Final = 2.0
_log = logs.Log('claiming')
_ANSWER: typing.Final = msgspec.msgpack.Decoder(claim.Answer)

Reply = messages.ClaimReply | messages.VoidReply | messages.DoneReply


@dataclasses.dataclass(frozen=True)
class Claimed:
    """Leave to run a request once.

    Attributes:
        key: of the claim.
        record: as it stands in the table.
    """

    key: ids.ClaimKey
    record: claim.Record

    @property
    def token(self) -> ids.ClaimToken:
        """Token of the claim."""
        return self.record.token


class Claiming:
    """Claims of one entry.

    Args:
        peers: schedulers.
        stored: the object store, for large answers.
        owner: runs background tasks.
        timeout: seconds after which a claim counts as unconfirmed.
    """

    def __init__(
        self,
        peers: peers_module.Peers,
        stored: objects.Objects,
        owner: tasks.Tasks,
        timeout: float,
    ) -> None:
        self._peers = peers
        self._objects = stored
        self._owner = owner
        self._timeout = timeout
        self._holdings = claim.ClaimTokens()
        self._replies: dict[ids.ClaimToken, asyncio.Future[Reply]] = {}
        self._queries: dict[
            ids.ClaimToken, asyncio.Future[messages.ClaimAnswer]
        ] = {}
        self._voiding: dict[ids.ClaimToken, Claimed] = {}

    @property
    def open(self) -> int:
        """Claims whose fate is not in the table yet."""
        return self._holdings.count_unsettled() + len(self._voiding)

    async def acquire(
        self, key: ids.ClaimKey, fingerprint: str
    ) -> Claimed | claim.Answer | errors.Failure:
        """Claim a key for one run."""
        token = ids.ClaimToken(clock.random_token())
        self._holdings.add_pending(token)
        request = messages.ClaimRequest(
            key,
            token,
            fingerprint,
            self._peers.member,
            self._peers.incarnation,
        )
        record = claim.Record(
            token, fingerprint, self._peers.member, self._peers.incarnation
        )
        claimed = Claimed(key, record)
        try:
            reply = await self._ask(key, request, self._timeout)
        except asyncio.CancelledError:
            self.abandon(claimed)
            raise
        assert reply is None or isinstance(reply, messages.ClaimReply)
        if reply is not None:
            if reply.status is states.ClaimStatus.MINE:
                return claimed
            if reply.status is states.ClaimStatus.OTHERS:
                self._holdings.forget(token)
                return await self._taken(reply, fingerprint)
        self.abandon(claimed)
        # Only a table that was read vouches for a key that never ran.
        absent = reply is not None and (
            reply.status is states.ClaimStatus.ABSENT
        )
        reason = errors.CLAIM_UNCONFIRMED if absent else errors.CLAIM_UNREAD
        return errors.Failure(reason, retry_after=_RETRY_AFTER)

    def dispatch(self, claimed: Claimed) -> bool:
        """Return whether the work may be sent now, once."""
        return self._holdings.try_dispatch(claimed.token)

    def abandon(self, claimed: Claimed, not_started: bool = False) -> None:
        """Give a claim up and remove it in the background.

        Args:
            claimed: the claim.
            not_started: it is known that no upstream began the work though
                it was dispatched.
        """
        if not_started:
            self._holdings.abandon_dispatched(claimed.token)
        elif not self._holdings.abandon(claimed.token):
            return
        self._void(claimed)

    def finish(self, claimed: Claimed, answer: claim.Answer) -> None:
        """Keep an answer and store it in the background."""
        self._holdings.finish(claimed.token, answer)
        self._owner.run_once(self._store(claimed, answer))

    def take(self, message: messages.AnyMessage) -> None:
        """Take a message about claims from a scheduler."""
        if isinstance(message, messages.ClaimQuery):
            self._answer_query(message)
        elif isinstance(message, messages.ClaimAnswer):
            self._take_answer(message)
        elif isinstance(message, Reply):
            future = self._replies.get(message.token)
            if future is not None and not future.done():
                future.set_result(message)

    def _take_answer(self, message: messages.ClaimAnswer) -> None:
        """Take what a scheduler or the holder says of a claim.

        Every scheduler is asked, and one that has no word of the holder
        knows nothing: its answer doesn't count.
        """
        query = self._queries.get(message.token)
        if message.state is states.HolderState.SILENT or query is None:
            return
        if not query.done():
            query.set_result(message)

    # Talk with the claim writers.

    async def _ask(
        self,
        key: ids.ClaimKey,
        message: messages.ClaimRequest
        | messages.ClaimVoid
        | messages.ClaimDone,
        seconds: float,
    ) -> Reply | None:
        """Send an operation to its writer; None without an answer."""
        writer = self._writer(key)
        if writer is None or not self._peers.send(writer, message):
            return None
        future: asyncio.Future[Reply]
        future = asyncio.get_running_loop().create_future()
        self._replies[message.token] = future
        try:
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout(seconds):
                    return await future
            return None
        finally:
            self._replies.pop(message.token, None)

    def _writer(self, key: ids.ClaimKey) -> ids.MemberId | None:
        """Return the scheduler that writes a key."""
        live = self._peers.schedulers()
        writers = rendezvous.rank('claims', live)[:WRITERS]
        return rendezvous.winner(key, writers)

    async def _store(self, claimed: Claimed, answer: claim.Answer) -> None:
        """Store an answer until the table has it."""
        object_key = ''
        attempt = 0
        if len(answer.body) > claim.MAX_INLINE_ANSWER_BYTES:
            object_key = f'answers/{claimed.key}/{claimed.token}'
            body = msgspec.msgpack.encode(answer)
            while await self._objects.put(object_key, body) is not None:
                attempt += 1
                await asyncio.sleep(retry.backoff(attempt, clock.RANDOM))
        done = claim.finished_record(claimed.record, answer, object_key)
        message = messages.ClaimDone(
            claimed.key,
            claimed.token,
            claim.encode(claimed.record),
            claim.encode(done),
        )
        while True:
            reply = await self._ask(claimed.key, message, _REPLY_SECONDS)
            if isinstance(reply, messages.DoneReply) and reply.stored:
                break
            attempt += 1
            await asyncio.sleep(retry.backoff(attempt, clock.RANDOM))
        self._holdings.forget(claimed.token)

    def _void(self, claimed: Claimed) -> None:
        if claimed.token not in self._voiding:
            self._voiding[claimed.token] = claimed
            self._owner.run_once(self._remove(claimed))

    async def _remove(self, claimed: Claimed) -> None:
        """Remove a claim until the table no longer has it."""
        message = messages.ClaimVoid(
            claimed.key, claimed.token, claim.encode(claimed.record)
        )
        attempt = 0
        while True:
            reply = await self._ask(claimed.key, message, _REPLY_SECONDS)
            if isinstance(reply, messages.VoidReply) and reply.gone:
                break
            attempt += 1
            await asyncio.sleep(retry.backoff(attempt, clock.RANDOM))
        self._voiding.pop(claimed.token, None)

    # Keys that another claim holds.

    async def _taken(
        self, reply: messages.ClaimReply, fingerprint: str
    ) -> claim.Answer | errors.Failure:
        record = claim.decode(reply.record)
        if isinstance(record, errors.Failure):
            return record
        verdict = claim.classify_arrival(record, reply.token, fingerprint)
        if verdict is claim.Arrival.REUSED:
            return errors.Failure(errors.KEY_REUSED)
        if verdict is claim.Arrival.REPLAY:
            return await self._stored(record)
        state = await self._state_of(reply.key, record)
        if isinstance(state, claim.Answer):
            return state
        _log.info('Key is taken.', key=reply.key, state=state.value)
        return _while_taken(state)

    async def _stored(
        self, record: claim.Record
    ) -> claim.Answer | errors.Failure:
        if record.answer is not None:
            return record.answer
        body = await self._objects.get(record.object_key)
        if isinstance(body, errors.Failure):
            detail = 'the stored answer can not be read now'
            return errors.Failure(errors.STORE_UNAVAILABLE, detail, 2.0)
        return _decode_answer(body)

    async def _state_of(
        self, key: ids.ClaimKey, record: claim.Record
    ) -> states.HolderState | claim.Answer:
        """Return what the holder of a claim says of it."""
        mine = (self._peers.member, self._peers.incarnation)
        if (record.holder, record.incarnation) == mine:
            return self._own_state(record, key)
        reply = await self._ask_holder(key, record)
        if reply is None:
            return states.HolderState.SILENT
        if reply.state is states.HolderState.FINISHED:
            answer = _decode_answer(reply.answer)
            if isinstance(answer, claim.Answer):
                return answer
        return reply.state

    async def _ask_holder(
        self, key: ids.ClaimKey, record: claim.Record
    ) -> messages.ClaimAnswer | None:
        query = messages.ClaimQuery(
            key=key,
            token=record.token,
            holder=record.holder,
            incarnation=record.incarnation,
            asker=self._peers.member,
            claimed=claim.encode(record),
        )
        future = self._queries.get(record.token)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._queries[record.token] = future
        self._peers.broadcast(query)
        try:
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout(_ASK_HOLDER_SECONDS):
                    return await asyncio.shield(future)
            return None
        finally:
            self._queries.pop(record.token, None)

    def _own_state(
        self, record: claim.Record, key: ids.ClaimKey
    ) -> states.HolderState | claim.Answer:
        answer = self._holdings.answer(record.token)
        if answer is not None:
            return answer
        hold = self._holdings.state(record.token)
        if hold is claim.Hold.ABANDONED:
            self._void(Claimed(key, record))
            return states.HolderState.ABANDONED
        if hold is None:
            return states.HolderState.FORGOTTEN
        return states.HolderState.RUNNING

    def _answer_query(self, query: messages.ClaimQuery) -> None:
        """Answer another entry's question about a token of this one."""
        hold = self._holdings.state(query.token)
        known = {
            claim.Hold.PENDING: states.HolderState.RUNNING,
            claim.Hold.RUNNING: states.HolderState.RUNNING,
            claim.Hold.FINISHED: states.HolderState.FINISHED,
            claim.Hold.ABANDONED: states.HolderState.ABANDONED,
            None: states.HolderState.FORGOTTEN,
        }
        if hold is claim.Hold.ABANDONED:
            record = claim.decode(query.claimed)
            if isinstance(record, claim.Record):
                self._void(Claimed(query.key, record))
        answer = self._holdings.answer(query.token)
        body = msgspec.msgpack.encode(answer) if answer else b''
        reply = messages.ClaimAnswer(
            query.token, query.asker, known[hold], body
        )
        self._peers.broadcast(reply)


def _decode_answer(body: bytes) -> claim.Answer | errors.Failure:
    try:
        return _ANSWER.decode(body)
    except msgspec.MsgspecError as error:
        return errors.Failure(errors.BAD_FRAME, str(error))


def _while_taken(state: states.HolderState) -> errors.Failure:
    """Return what a second arrival is told."""
    if state is states.HolderState.ABANDONED:
        return errors.Failure(errors.CLAIM_ABANDONED, retry_after=_RETRY_AFTER)
    if state is states.HolderState.GONE:
        return errors.Failure(errors.HOLDER_GONE)
    return errors.Failure(errors.IN_FLIGHT, state.value, _RETRY_AFTER)
