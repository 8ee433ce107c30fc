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

"""Client of the claim writers, used by entries to claim idempotency keys.

`acquire` returns a claim to run a request once, the stored answer of an
earlier run, or the reason for neither. Removing a claim and storing its answer
continue in the background until the table confirms them; a planned stop waits
for that.
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
from galenahatch import decoding
from galenahatch import errors
from galenahatch import ids
from galenahatch import logs
from galenahatch import messages
from galenahatch import peers as peers_module
from galenahatch.platform import objects
from galenahatch import states
from galenahatch import tasks

MAX_WRITERS: typing.Final = 2
"""Schedulers of a region that write claims; bounds the write rate."""
_HOLDER_TIMEOUT_S: typing.Final = 1.0
_REPLY_TIMEOUT_S: typing.Final = 5.0
_RETRY_AFTER_S: typing.Final = 2.0
_log = logs.Log('claiming')
_ANSWER_DECODER: typing.Final = msgspec.msgpack.Decoder(claim.Answer)

Reply = messages.ClaimReply | messages.VoidReply | messages.DoneReply


@dataclasses.dataclass(frozen=True)
class Claimed:
    """A claim that permits one run of a request.

    Attributes:
        key: key of the claim.
        record: record of the claim in the table.
    """

    key: ids.ClaimKey
    record: claim.Record

    @property
    def token(self) -> ids.ClaimToken:
        """Token of the claim."""
        return self.record.token


class ClaimClient:
    """Acquires and settles the claims of one entry.

    Args:
        peers: links to the schedulers.
        object_store: client of the object store, for large answers.
        background_tasks: runs removals and stores of answers.
        timeout: seconds after which a claim counts as unconfirmed.
    """

    def __init__(
        self,
        peers: peers_module.Peers,
        object_store: objects.ObjectStore,
        background_tasks: tasks.Tasks,
        timeout: float,
    ) -> None:
        self._peers = peers
        self._objects = object_store
        self._tasks = background_tasks
        self._timeout = timeout
        self._tokens = claim.ClaimTokens()
        self._replies: dict[ids.ClaimToken, asyncio.Future[Reply]] = {}
        self._queries: dict[
            ids.ClaimToken, asyncio.Future[messages.ClaimAnswer]
        ] = {}
        self._pending_removals: dict[ids.ClaimToken, Claimed] = {}

    @property
    def unsettled_count(self) -> int:
        """Number of claims whose final state is not in the table yet."""
        return self._tokens.count_unsettled() + len(self._pending_removals)

    async def acquire(
        self, key: ids.ClaimKey, fingerprint: str
    ) -> Claimed | claim.Answer | errors.Failure:
        """Claim a key for one run of a request.

        Returns:
            the claim, the stored answer of an earlier run, or the failure.
        """
        token = ids.ClaimToken(clock.random_token())
        self._tokens.add_pending(token)
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
            reply = await self._send_to_writer(key, request, self._timeout)
        except asyncio.CancelledError:
            self.abandon(claimed)
            raise
        assert reply is None or isinstance(reply, messages.ClaimReply)
        if reply is not None:
            if reply.status is states.ClaimStatus.MINE:
                return claimed
            if reply.status is states.ClaimStatus.OTHERS:
                self._tokens.forget(token)
                return await self._resolve_existing(reply, fingerprint)
        self.abandon(claimed)
        # Only a successful read of the table proves that the key never ran.
        is_absent = reply is not None and (
            reply.status is states.ClaimStatus.ABSENT
        )
        reason = errors.CLAIM_UNCONFIRMED if is_absent else errors.CLAIM_UNREAD
        return errors.Failure(reason, retry_after=_RETRY_AFTER_S)

    def try_dispatch(self, claimed: Claimed) -> bool:
        """Mark the claim as dispatched; return whether work may be sent."""
        return self._tokens.try_dispatch(claimed.token)

    def abandon(self, claimed: Claimed, not_started: bool = False) -> None:
        """Abandon a claim and remove it in the background.

        Args:
            claimed: claim to abandon.
            not_started: whether it is certain that no upstream started the
                work although it was dispatched.
        """
        if not_started:
            self._tokens.abandon_dispatched(claimed.token)
        elif not self._tokens.abandon(claimed.token):
            return
        self._remove_in_background(claimed)

    def finish(self, claimed: Claimed, answer: claim.Answer) -> None:
        """Record an answer and store it in the background."""
        self._tokens.finish(claimed.token, answer)
        self._tasks.run_once(self._store_until_confirmed(claimed, answer))

    def handle_message(self, message: messages.AnyMessage) -> None:
        """Handle a message about claims from a scheduler."""
        if isinstance(message, messages.ClaimQuery):
            self._answer_query(message)
        elif isinstance(message, messages.ClaimAnswer):
            self._handle_claim_answer(message)
        elif isinstance(message, Reply):
            reply_future = self._replies.get(message.token)
            if reply_future is not None and not reply_future.done():
                reply_future.set_result(message)

    def _handle_claim_answer(self, message: messages.ClaimAnswer) -> None:
        """Handle an answer about a claim from its holder or a scheduler.

        Every scheduler is queried. One that has not heard from the holder
        answers SILENT, which says nothing about the claim and is ignored.
        """
        query = self._queries.get(message.token)
        if message.state is states.HolderState.SILENT or query is None:
            return
        if not query.done():
            query.set_result(message)

    # Requests to the claim writers.

    async def _send_to_writer(
        self,
        key: ids.ClaimKey,
        message: messages.ClaimRequest
        | messages.ClaimVoid
        | messages.ClaimDone,
        timeout: float,
    ) -> Reply | None:
        """Send an operation to its writer; return None on a timeout."""
        writer = self._writer(key)
        if writer is None or not self._peers.send(writer, message):
            return None
        reply_future: asyncio.Future[Reply]
        reply_future = asyncio.get_running_loop().create_future()
        self._replies[message.token] = reply_future
        try:
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout(timeout):
                    return await reply_future
            return None
        finally:
            self._replies.pop(message.token, None)

    def _writer(self, key: ids.ClaimKey) -> ids.MemberId | None:
        """Return the scheduler that writes the claims of a key."""
        live = self._peers.schedulers()
        writers = rendezvous.rank('claims', live)[:MAX_WRITERS]
        return rendezvous.winner(key, writers)

    async def _store_until_confirmed(
        self, claimed: Claimed, answer: claim.Answer
    ) -> None:
        """Store an answer, retrying until the table confirms it."""
        object_key = ''
        attempt = 0
        if len(answer.body) > claim.MAX_INLINE_ANSWER_BYTES:
            object_key = f'answers/{claimed.key}/{claimed.token}'
            body = msgspec.msgpack.encode(answer)
            while await self._objects.put(object_key, body) is not None:
                attempt += 1
                await asyncio.sleep(retry.backoff(attempt, clock.RANDOM))
        finished = claim.finished_record(claimed.record, answer, object_key)
        message = messages.ClaimDone(
            claimed.key,
            claimed.token,
            claim.encode(claimed.record),
            claim.encode(finished),
        )
        while True:
            reply = await self._send_to_writer(
                claimed.key, message, _REPLY_TIMEOUT_S
            )
            if isinstance(reply, messages.DoneReply) and reply.stored:
                break
            attempt += 1
            await asyncio.sleep(retry.backoff(attempt, clock.RANDOM))
        self._tokens.forget(claimed.token)

    def _remove_in_background(self, claimed: Claimed) -> None:
        if claimed.token not in self._pending_removals:
            self._pending_removals[claimed.token] = claimed
            self._tasks.run_once(self._remove_until_confirmed(claimed))

    async def _remove_until_confirmed(self, claimed: Claimed) -> None:
        """Remove a claim, retrying until the table confirms the removal."""
        message = messages.ClaimVoid(
            claimed.key, claimed.token, claim.encode(claimed.record)
        )
        attempt = 0
        while True:
            reply = await self._send_to_writer(
                claimed.key, message, _REPLY_TIMEOUT_S
            )
            if isinstance(reply, messages.VoidReply) and reply.removed:
                break
            attempt += 1
            await asyncio.sleep(retry.backoff(attempt, clock.RANDOM))
        self._pending_removals.pop(claimed.token, None)

    # Keys that another claim already holds.

    async def _resolve_existing(
        self, reply: messages.ClaimReply, fingerprint: str
    ) -> claim.Answer | errors.Failure:
        record = claim.decode(reply.record)
        if isinstance(record, errors.Failure):
            return record
        verdict = claim.classify_arrival(record, reply.token, fingerprint)
        if verdict is claim.Arrival.REUSED:
            return errors.Failure(errors.KEY_REUSED)
        if verdict is claim.Arrival.REPLAY:
            return await self._load_stored_answer(record)
        state = await self._holder_state(reply.key, record)
        if isinstance(state, claim.Answer):
            return state
        _log.info('Key is already claimed.', key=reply.key, state=state.value)
        return _existing_claim_failure(state)

    async def _load_stored_answer(
        self, record: claim.Record
    ) -> claim.Answer | errors.Failure:
        if record.answer is not None:
            return record.answer
        body = await self._objects.get(record.object_key)
        if isinstance(body, errors.Failure):
            detail = 'the stored answer cannot be read now'
            return errors.Failure(errors.STORE_UNAVAILABLE, detail, 2.0)
        return _decode_answer(body)

    async def _holder_state(
        self, key: ids.ClaimKey, record: claim.Record
    ) -> states.HolderState | claim.Answer:
        """Return the claim's state, or its answer, as its holder reports."""
        own_identity = (self._peers.member, self._peers.incarnation)
        if (record.holder, record.incarnation) == own_identity:
            return self._own_state(record, key)
        reply = await self._query_holder(key, record)
        if reply is None:
            return states.HolderState.SILENT
        if reply.state is states.HolderState.FINISHED:
            answer = _decode_answer(reply.answer)
            if isinstance(answer, claim.Answer):
                return answer
        return reply.state

    async def _query_holder(
        self, key: ids.ClaimKey, record: claim.Record
    ) -> messages.ClaimAnswer | None:
        query = messages.ClaimQuery(
            key=key,
            token=record.token,
            holder=record.holder,
            incarnation=record.incarnation,
            requester=self._peers.member,
            record=claim.encode(record),
        )
        reply_future = self._queries.get(record.token)
        if reply_future is None:
            reply_future = asyncio.get_running_loop().create_future()
            self._queries[record.token] = reply_future
        self._peers.broadcast(query)
        try:
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout(_HOLDER_TIMEOUT_S):
                    return await asyncio.shield(reply_future)
            return None
        finally:
            self._queries.pop(record.token, None)

    def _own_state(
        self, record: claim.Record, key: ids.ClaimKey
    ) -> states.HolderState | claim.Answer:
        answer = self._tokens.answer(record.token)
        if answer is not None:
            return answer
        token_state = self._tokens.state(record.token)
        if token_state is claim.Hold.ABANDONED:
            self._remove_in_background(Claimed(key, record))
            return states.HolderState.ABANDONED
        if token_state is None:
            return states.HolderState.FORGOTTEN
        return states.HolderState.RUNNING

    def _answer_query(self, query: messages.ClaimQuery) -> None:
        """Answer another entry's query about a token of this entry."""
        token_state = self._tokens.state(query.token)
        reported_states = {
            claim.Hold.PENDING: states.HolderState.RUNNING,
            claim.Hold.RUNNING: states.HolderState.RUNNING,
            claim.Hold.FINISHED: states.HolderState.FINISHED,
            claim.Hold.ABANDONED: states.HolderState.ABANDONED,
            None: states.HolderState.FORGOTTEN,
        }
        if token_state is claim.Hold.ABANDONED:
            record = claim.decode(query.record)
            if isinstance(record, claim.Record):
                self._remove_in_background(Claimed(query.key, record))
        answer = self._tokens.answer(query.token)
        body = msgspec.msgpack.encode(answer) if answer else b''
        reply = messages.ClaimAnswer(
            query.token, query.requester, reported_states[token_state], body
        )
        self._peers.broadcast(reply)


def _decode_answer(body: bytes) -> claim.Answer | errors.Failure:
    return decoding.decode(_ANSWER_DECODER, body, errors.BAD_FRAME)


def _existing_claim_failure(state: states.HolderState) -> errors.Failure:
    """Return the failure for a request whose key is already claimed."""
    if state is states.HolderState.ABANDONED:
        return errors.Failure(
            errors.CLAIM_ABANDONED, retry_after=_RETRY_AFTER_S
        )
    if state is states.HolderState.GONE:
        return errors.Failure(errors.HOLDER_GONE)
    return errors.Failure(errors.IN_FLIGHT, state.value, _RETRY_AFTER_S)
