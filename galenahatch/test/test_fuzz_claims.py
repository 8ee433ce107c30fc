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

"""Stateful fuzzing of claims against a simple oracle.

Entries, claim writers and the table are driven step by step; the fuzzer
chooses which message or write is next, lost, late or repeated, which
answer of the table is lost, and when an entry times out or dies. The
oracle counts the runs that each key was dispatched for.
"""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies

from galenahatch.core import claim
from galenahatch.core import claimoperations
from galenahatch.core import transaction
from galenahatch import ids
from galenahatch import messages
from galenahatch import states

_ENTRIES = ('entry/a', 'entry/b')
_KEYS = ('k1', 'k2')


class _Race:
    """Writers of claims of one key, step by step and without Hypothesis."""

    def __init__(self) -> None:
        self.table: dict[str, bytes] = {}
        self.holdings = claim.ClaimTokens()
        self.dispatched: list[str] = []

    def request(self, token: str) -> messages.ClaimRequest:
        """Return a claim of the key, which its entry now waits for."""
        request = messages.ClaimRequest(
            ids.ClaimKey(_KEYS[0]),
            ids.ClaimToken(token),
            'same body',
            ids.MemberId(_ENTRIES[0]),
            1,
        )
        self.holdings.add_pending(request.token)
        return request

    def commit(
        self,
        operation: claimoperations.Operation,
        change: transaction.Transaction,
    ) -> bool:
        """Commit a transaction, give its reply to the entry.

        Returns whether it took effect.
        """
        conflict = any(
            self.table.get(condition.key) != condition.value
            for condition in change.conditions
        )
        name = claimoperations.table_key(operation.key)
        if conflict:
            reply = claimoperations.conflict_reply(
                operation, self.table.get(name)
            )
        else:
            for write in change.writes:
                if write.value is None:
                    self.table.pop(write.key, None)
                else:
                    self.table[write.key] = write.value
            reply = claimoperations.committed_reply(operation)
        if isinstance(reply, messages.ClaimReply):
            if reply.status is states.ClaimStatus.MINE:
                if self.holdings.try_dispatch(reply.token):
                    self.dispatched.append(reply.token)
        return not conflict


def test_second_claim_conflicts() -> None:
    """Of two claims made while the key was absent, only one is dispatched."""
    race = _Race()
    requests = [race.request('t1'), race.request('t2')]
    # Both transactions are built before either of them is committed.
    changes = [claimoperations.build_transaction([r]) for r in requests]
    committed = [
        race.commit(request, change)
        for request, change in zip(requests, changes, strict=True)
    ]
    assert race.dispatched == ['t1']
    assert committed == [True, False]
    name = claimoperations.table_key(requests[0].key)
    assert race.table == {name: claimoperations.encode_new_claim(requests[0])}


def test_stale_void_conflicts() -> None:
    """A void of a claim that lost does not free the key for another run."""
    race = _Race()
    lost = race.request('t1')
    assert race.holdings.abandon(lost.token)
    void = messages.ClaimVoid(
        lost.key, lost.token, claimoperations.encode_new_claim(lost)
    )
    operations: list[claimoperations.Operation] = [
        race.request('t2'),
        void,
        race.request('t3'),
    ]
    committed = [
        race.commit(operation, claimoperations.build_transaction([operation]))
        for operation in operations
    ]
    assert race.dispatched == ['t2']
    assert committed == [True, False, False]


@dataclasses.dataclass
class _Entry:
    incarnation: int = 1
    holdings: claim.ClaimTokens = dataclasses.field(
        default_factory=claim.ClaimTokens
    )


@dataclasses.dataclass
class _Sent:
    """An operation on its way to the table, or its reply on its way back."""

    entry: str
    incarnation: int
    operation: claimoperations.Operation
    reply: messages.AnyMessage | None = None


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Entries that claim, against the table."""

    def __init__(self) -> None:
        super().__init__()
        self.table: dict[str, bytes] = {}
        self.entries = {name: _Entry() for name in _ENTRIES}
        self.operations: list[_Sent] = []
        self.replies: list[_Sent] = []
        self.late: list[transaction.Transaction] = []
        self.claims: dict[str, messages.ClaimRequest] = {}
        self.runs: dict[str, list[str]] = {key: [] for key in _KEYS}
        self.told_not_run: set[str] = set()
        self.answers: dict[str, claim.Answer] = {}
        self.tokens = 0

    def _apply(
        self, change: transaction.Transaction
    ) -> dict[str, bytes | None]:
        conflict = {
            c.key: self.table.get(c.key)
            for c in change.conditions
            if self.table.get(c.key) != c.value
        }
        if not conflict:
            for write in change.writes:
                if write.value is None:
                    self.table.pop(write.key, None)
                else:
                    self.table[write.key] = write.value
        return conflict

    @stateful.rule(
        entry=strategies.sampled_from(_ENTRIES),
        key=strategies.sampled_from(_KEYS),
    )
    def arrive(self, entry: str, key: str) -> None:
        """A request with this key arrives at an entry."""
        state = self.entries[entry]
        self.tokens += 1
        request = messages.ClaimRequest(
            ids.ClaimKey(key),
            ids.ClaimToken(f't{self.tokens}'),
            'same body',
            ids.MemberId(entry),
            state.incarnation,
        )
        state.holdings.add_pending(request.token)
        self.claims[request.token] = request
        self.operations.append(_Sent(entry, state.incarnation, request))

    @stateful.precondition(lambda self: self.operations)
    @stateful.rule(
        data=strategies.data(),
        fate=strategies.sampled_from(
            ('done', 'done', 'answer lost', 'late', 'unread', 'down')
        ),
        again=strategies.booleans(),
    )
    def write(
        self, data: strategies.DataObject, fate: str, again: bool
    ) -> None:
        """A writer takes an operation to the table."""
        number = data.draw(strategies.integers(0, len(self.operations) - 1))
        sent = self.operations[number]
        if not again:
            del self.operations[number]
        operation = sent.operation
        change = claimoperations.build_transaction([operation])
        name = claimoperations.table_key(operation.key)
        if fate == 'done':
            conflict = self._apply(change)
            if conflict:
                reply = claimoperations.conflict_reply(
                    operation, conflict[name]
                )
            else:
                reply = claimoperations.committed_reply(operation)
        elif fate in ('answer lost', 'late'):
            if fate == 'late':
                self.late.append(change)
            else:
                self._apply(change)
            reply = claimoperations.readback_reply(
                operation, self.table.get(name)
            )
        else:
            if fate == 'unread':
                self._apply(change)
            reply = claimoperations.unconfirmed_reply(operation)
        self._check_vouched(reply)
        self.replies.append(
            _Sent(sent.entry, sent.incarnation, operation, reply)
        )

    def _check_vouched(self, reply: messages.AnyMessage) -> None:
        """A key that a writer vouches for has not run, by any arrival."""
        if isinstance(reply, messages.ClaimReply):
            if reply.status is states.ClaimStatus.ABSENT:
                assert not self.runs[reply.key]

    @stateful.precondition(lambda self: self.late)
    @stateful.rule()
    def late_write(self) -> None:
        """A write that was believed lost takes effect."""
        self._apply(self.late.pop(0))

    @stateful.precondition(lambda self: self.replies)
    @stateful.rule(
        data=strategies.data(),
        lost=strategies.sampled_from((False,) * 4 + (True,)),
    )
    def reply(self, data: strategies.DataObject, lost: bool) -> None:
        """A reply reaches its entry, or is lost."""
        number = data.draw(strategies.integers(0, len(self.replies) - 1))
        sent = self.replies.pop(number)
        entry = self.entries[sent.entry]
        if lost or sent.incarnation != entry.incarnation:
            return
        if isinstance(sent.reply, messages.ClaimReply):
            self._claimed(sent.entry, sent.reply)
        elif (
            isinstance(sent.reply, messages.VoidReply)
            and not sent.reply.removed
        ):
            self.operations.append(sent)
        elif isinstance(sent.reply, messages.DoneReply):
            if not sent.reply.stored:
                self.operations.append(sent)

    def _claimed(self, name: str, reply: messages.ClaimReply) -> None:
        holdings = self.entries[name].holdings
        if reply.status is states.ClaimStatus.MINE:
            if holdings.try_dispatch(reply.token):
                assert reply.token not in self.told_not_run
                self.runs[reply.key].append(reply.token)
        elif reply.status is states.ClaimStatus.OTHERS:
            record = claim.decode(reply.record)
            assert isinstance(record, claim.Record)
            verdict = claim.classify_arrival(record, reply.token, 'same body')
            assert verdict is not claim.Arrival.RUN
            if verdict is claim.Arrival.REPLAY:
                assert record.answer == self.answers[reply.key]
        else:
            self._abandon(name, reply.token)

    def _abandon(self, name: str, token: ids.ClaimToken) -> None:
        entry = self.entries[name]
        if not entry.holdings.abandon(token):
            return
        self.told_not_run.add(token)
        request = self.claims[token]
        void = messages.ClaimVoid(
            request.key, token, claimoperations.encode_new_claim(request)
        )
        self.operations.append(_Sent(name, entry.incarnation, void))

    def _pending(self) -> list[str]:
        """Return the tokens that an entry still waits for."""
        return [
            token
            for token, request in sorted(self.claims.items())
            if self.entries[request.holder].holdings.state(request.token)
            is claim.Hold.PENDING
        ]

    @stateful.precondition(lambda self: self._pending())
    @stateful.rule(data=strategies.data())
    def time_out(self, data: strategies.DataObject) -> None:
        """An entry gives a claim up: its caller is told not_run."""
        token = data.draw(strategies.sampled_from(self._pending()))
        request = self.claims[token]
        self._abandon(request.holder, request.token)

    @stateful.precondition(lambda self: any(self.runs.values()))
    @stateful.rule(key=strategies.sampled_from(_KEYS))
    def finish(self, key: str) -> None:
        """A run ends and its answer is to be stored."""
        if not self.runs[key] or key in self.answers:
            return
        token = ids.ClaimToken(self.runs[key][0])
        request = self.claims[token]
        entry = self.entries[request.holder]
        if entry.holdings.state(token) is not claim.Hold.RUNNING:
            return
        answer = claim.Answer(200, 'answered', 'text/plain', token.encode())
        self.answers[key] = answer
        entry.holdings.finish(token, answer)
        before = claimoperations.encode_new_claim(request)
        record = claim.decode(before)
        assert isinstance(record, claim.Record)
        after = claim.encode(claim.finished_record(record, answer, ''))
        done = messages.ClaimDone(request.key, token, before, after)
        self.operations.append(_Sent(request.holder, entry.incarnation, done))

    @stateful.rule(name=strategies.sampled_from(_ENTRIES))
    def restart(self, name: str) -> None:
        """An entry is killed and comes back without memory."""
        incarnation = self.entries[name].incarnation + 1
        self.entries[name] = _Entry(incarnation)

    @stateful.invariant()
    def at_most_one_run(self) -> None:
        """No key was dispatched twice, and not_run was never untrue."""
        for tokens in self.runs.values():
            assert len(tokens) <= 1
            assert not self.told_not_run.intersection(tokens)


TestFuzzClaims = ClaimMachine.TestCase
