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

"""Fuzzing of the smaller rules of the core, each against an oracle."""

from hypothesis import given
from hypothesis import stateful
from hypothesis import strategies

from galenahatch import config
from galenahatch.core import assembly
from galenahatch.core import fairness
from galenahatch.core import jobs
from galenahatch.core import lease
from galenahatch.core import leaving
from galenahatch.core import membership
from galenahatch.core import revision
from galenahatch import ids
from galenahatch import messages
from galenahatch import states
from galenahatch.test import samples

_EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(('r1.1', 'r1.2', 'r2.1')),
        strategies.integers(-1, 6),
        strategies.booleans(),
    ),
    max_size=60,
)


@given(_EVENTS, strategies.integers(0, 5))
def test_fuzz_assembly(
    events: list[tuple[str, int, bool]], switch_at: int
) -> None:
    """Whatever comes in, the answer is a true prefix; an end means whole.

    The oracle's answer has five tokens; the second attempt takes over at
    some point, and events of the first, or of another request, still come.
    """
    truth = [f'r1#{i} ' for i in range(5)]
    built = assembly.AnswerAssembler()
    built.expect_stream(ids.StreamId('r1.1'))
    for number, (stream, offset, is_end) in enumerate(events):
        if number == switch_at and not built.finish_reason:
            built.expect_stream(ids.StreamId('r1.2'))
        request = stream.partition('.')[0]
        if is_end:
            verdict = built.add_end(stream, 5, 'stop')
        else:
            text = f'{request}#{offset} '
            if offset >= 5:
                continue
            verdict = built.add_token(stream, offset, text)
        assert built.tokens == truth[: built.offset]
        if verdict is assembly.Verdict.END:
            assert built.tokens == truth
        if verdict is assembly.Verdict.BROKEN:
            return


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Two controllers that pause at any point, and a table.

    Real time is one number here; each controller reads it only when it
    runs. A commit may take effect without its answer arriving.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.record: lease.Record | None = None
        self.leases = {
            name: lease.Lease(ids.MemberId(name), 1, 6.0, 2.5)
            for name in ('a', 'b')
        }
        self.fencing_sent: list[int] = []

    @stateful.rule(seconds=strategies.sampled_from((0.1, 1.0, 2.0, 5.0)))
    def pass_time(self, seconds: float) -> None:
        """Time passes."""
        self.now += seconds

    @stateful.rule(
        name=strategies.sampled_from(('a', 'b')),
        pause=strategies.sampled_from((0.0, 0.5, 4.0)),
        lost=strategies.booleans(),
        stale=strategies.booleans(),
    )
    def renew(self, name: str, pause: float, lost: bool, stale: bool) -> None:
        """A controller reads, pauses, and proposes."""
        mine = self.leases[name]
        mine.observe(self.record, self.now)
        proposal = mine.propose(self.now)
        read = self.record
        began = self.now
        self.now += pause
        if proposal is None or (stale and read != self.record):
            return
        self.record = proposal
        if not lost:
            mine.record_accepted(proposal, began, self.now)

    @stateful.invariant()
    def one_may_order(self) -> None:
        """Never may two controllers send orders at one time."""
        able = [
            name
            for name, one in self.leases.items()
            if one.may_send_orders(self.now)
        ]
        assert len(able) <= 1
        for name in able:
            fencing = self.leases[name].fencing
            assert not self.fencing_sent or fencing >= self.fencing_sent[-1]
            self.fencing_sent.append(fencing)


TestFuzzLease = LeaseMachine.TestCase


@given(strategies.lists(strategies.integers(1, 9), max_size=30))
def test_fuzz_revision(offers: list[int]) -> None:
    """The revision in force is always the highest one offered."""
    in_force = revision.ActiveConfiguration()
    highest = 0
    for number in offers:
        accepted = samples.accepted(number)
        taken = in_force.apply_if_newer(accepted, config.load(accepted.bundle))
        assert taken == (number > highest)
        highest = max(highest, number)
        assert in_force.revision == highest


_NEWS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(('config', 'vms', 'report')),
        strategies.integers(1, 6),
        strategies.booleans(),
    ),
    max_size=40,
)


@given(_NEWS)
def test_fuzz_leaving(news: list[tuple[str, int, bool]]) -> None:
    """An engine leaves if the newest word of any source says so."""
    engine = samples.engine('d1', 'decode')
    joined = leaving.LeavingUpstreams()
    newest: dict[str, tuple[int, bool]] = {}
    for source, number, leaves in news:
        before = newest.get(source, (0, False))
        if source == 'config':
            joined.record_configuration(
                number, [engine.name] if leaves else []
            )
        elif source == 'vms':
            joined.record_vm_list(number, [engine.address] if leaves else [])
        else:
            joined.record_report(engine.name, 1, number, leaves)
            # An engine that said it leaves does not come back by itself.
            leaves = leaves or before[1]
        if number > before[0]:
            newest[source] = (number, leaves)
        expected = any(leaves for _, leaves in newest.values())
        assert (engine.name in joined.leaving_engines([engine])) == expected


@given(
    strategies.lists(
        strategies.tuples(strategies.booleans(), strategies.integers(1, 3)),
        max_size=40,
    )
)
def test_fuzz_leaving_member(beats: list[tuple[bool, int]]) -> None:
    """A member that said it leaves is not live again until it restarts."""
    members = membership.Membership(2.0)
    left: set[int] = set()
    for number, (leaves, incarnation) in enumerate(sorted(beats, key=_second)):
        standing = states.Standing.LIVE
        if leaves:
            standing = states.Standing.LEAVING
            left.add(incarnation)
        now = 1.0 + number * 0.01
        members.record_heartbeat(samples.heartbeat(standing, incarnation), now)
        live = members.live_members(states.Role.SCHEDULER, now)
        assert bool(live) == (incarnation not in left)


def _second(pair: tuple[bool, int]) -> int:
    return pair[1]


class QueueMachine(stateful.RuleBasedStateMachine):
    """The fair queue against a plain set."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = fairness.FairQueue[samples.Item](jobs.class_weight)
        self.items: dict[ids.StreamId, samples.Item] = {}
        self.count = 0

    @stateful.rule(
        caller=strategies.sampled_from(('a', 'b', 'c')),
        urgency=strategies.sampled_from(list(states.Urgency)),
        cost=strategies.floats(0.001, 2.0),
        share=strategies.sampled_from((0.5, 1.0, 4.0)),
    )
    def push(
        self, caller: str, urgency: states.Urgency, cost: float, share: float
    ) -> None:
        """A request joins."""
        self.count += 1
        item = samples.Item(
            ids.StreamId(f's{self.count}'),
            ids.CallerName(caller),
            urgency,
            share,
            cost,
        )
        assert self.queue.work_ahead(item) >= 0
        self.queue.push(item)
        self.items[item.key] = item

    @stateful.precondition(lambda self: self.items)
    @stateful.rule()
    def pop(self) -> None:
        """The head is served; it is the first of its caller and class."""
        item = self.queue.heads()[0]
        self.queue.serve(item)
        del self.items[item.key]
        same = [
            other
            for other in self.items.values()
            if (other.flow, other.urgency) == (item.flow, item.urgency)
        ]
        assert all(int(o.key[1:]) > int(item.key[1:]) for o in same)

    @stateful.precondition(lambda self: self.items)
    @stateful.rule(data=strategies.data())
    def remove(self, data: strategies.DataObject) -> None:
        """A request goes away from the middle."""
        stream = data.draw(strategies.sampled_from(sorted(self.items)))
        assert self.queue.remove(stream) is self.items.pop(stream)
        assert self.queue.remove(stream) is None

    @stateful.invariant()
    def same_content(self) -> None:
        """Queue and oracle hold the same requests."""
        assert len(self.queue) == len(self.items)
        assert {i.key for i in self.queue.items()} == set(self.items)
        assert bool(self.queue.heads()) == bool(self.items)


TestFuzzQueue = QueueMachine.TestCase

_NAMES = strategies.sampled_from(('a', 'b'))
_TREES = strategies.recursive(
    strategies.integers(0, 3),
    lambda below: strategies.dictionaries(_NAMES, below, max_size=2),
    max_leaves=6,
)


@given(
    strategies.dictionaries(_NAMES, _TREES),
    strategies.dictionaries(_NAMES, _TREES),
)
def test_fuzz_merge(base: config.Tree, overlay: config.Tree) -> None:
    """An overlay merged again changes nothing; without one, nothing does."""
    merged = config.merge(base, overlay)
    assert config.merge(merged, overlay) == merged
    assert config.merge(base, {}) == base


@given(strategies.binary(max_size=300))
def test_fuzz_frames(frame: bytes) -> None:
    """No frame makes the decoder raise."""
    messages.decode(frame)
    messages.decode(bytes([messages.VERSION]) + frame)
