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

"""Fair shares of one service among customers and priorities.

Start-time fair queuing on two levels, as in `core/fairness`, but over requests
that keep their order by deadline within a customer, and are often refused
before they are served. So no queues are kept: the tags of waiting requests
follow from their order and from what each customer was charged so far
(`core/sharetimes`).

A flow is one customer's requests of one priority. Its virtual time is its
charged cost over the customer's weight; after a pause it is raised to that of
the flows that wait, so that an idle customer gains no credit. The start tag of
a request is the virtual time of its flow with the requests before it. It is
within its customer's share while its start tag is hardly beyond the virtual
time of the flows that wait. Requests within their shares are served by
deadline, all others after them by start tag.

Classes, one for each priority, are served by finish tag. Their weights follow
their rank among the classes that wait, so that each has a guaranteed part of
the service whatever the numbers of the priorities are.

A request is charged its predicted cost when it is placed, corrected once the
tokens of its answer are known. A customer that is refused, or waits for
engines that are not free, is owed what others are served meanwhile, up to a
bound. Virtual times advance with service only, not with the clock: an owner
that was suspended continues with the same shares. A new owner starts with
equal virtual times, which is at most one request per flow from right.
"""

import collections.abc
import dataclasses
import math
import typing

from galenahatch.core import figures
from galenahatch.core import generations
from galenahatch.core import overtaking as overtakings
from galenahatch.core import pool as pools
from galenahatch.core import sharetimes
from galenahatch import ids

_SWEEP_INTERVAL_S: typing.Final = 10.0
"""Interval at which idle flows are dropped: twice the window of mean use."""
_MAX_VIRTUAL_TIME: typing.Final = 1e6
"""Virtual time from which it is counted from zero again, so that small costs
stay precise over weeks."""
_MAX_REFUSED_S: typing.Final = 2.0
"""Longest time for which a flow counts as waiting after a refusal: as long as
a burst."""
_MIN_COST: typing.Final = 1e-6
"""Least cost of a request, in seconds of an engine."""

Job = generations.Job
Cost = collections.abc.Callable[[int, int], float]
"""Returns the cost of a request by the tokens of its prompt and answer."""


class RetryRank(typing.NamedTuple):
    """Rank of a refused request among those that retry; the lowest is first.

    Attributes:
        priority: Priority; 0 is the most urgent.
        is_beyond_share: Whether it was beyond its customer's share.
    """

    priority: int = 0
    is_beyond_share: bool = False


@dataclasses.dataclass(frozen=True)
class _Charge:
    """Charge of a placed request, by its predicted tokens."""

    flow: sharetimes.FlowKey
    prompt_tokens: int
    cost: float


def engine_cost(pool: pools.Pool, estimator: figures.Estimator) -> Cost:
    """Return the cost function of a service, in seconds of an engine.

    A request takes a prefill engine while this reads its prompt, and from then
    to its end the larger of its fractions of a decode engine's memory and
    slots. By tokens alone, a prompt would cost as much as an answer of the
    same length, which takes an engine many times longer.
    """

    def cost(prompt_tokens: int, output_tokens: int) -> float:
        held_tokens = prompt_tokens + output_tokens / 2
        fraction = max(1 / pool.slots, held_tokens / pool.capacity)
        lifetime = (
            estimator.prefill_seconds(prompt_tokens)
            + output_tokens * estimator.figures.pace
        )
        busy = estimator.prefill_busy_seconds(prompt_tokens)
        return max(_MIN_COST, busy + lifetime * fraction)

    return cost


def create(pool: pools.Pool, estimator: figures.Estimator) -> 'FairShares':
    """Return the shares of a service, by seconds of its engines."""

    def capacity() -> float:
        return len(pool.prefills) + len(pool.decodes)

    return FairShares(engine_cost(pool, estimator), capacity)


class FairShares:
    """Charged service of the customers of one service, and their order.

    Args:
        cost: Cost of a request.
        capacity: Returns the cost that is served a second, about.
    """

    def __init__(
        self, cost: Cost, capacity: collections.abc.Callable[[], float]
    ) -> None:
        self._cost = cost
        self._capacity = capacity
        self._is_enabled = False
        self._times = sharetimes.Times()
        self._charges: dict[ids.StreamId, _Charge] = {}
        # Until when a flow whose request was refused counts as waiting.
        self._refused_until: dict[sharetimes.FlowKey, float] = {}
        self._swept_at = -math.inf

    @property
    def is_enabled(self) -> bool:
        """Whether customers and priorities share the service."""
        return self._is_enabled

    @property
    def times(self) -> sharetimes.Times:
        """Virtual times of all flows and classes."""
        return self._times

    def configure(self, weights: sharetimes.Weights | None) -> None:
        """Set the customers' weights; None if requests keep their order.

        Requests of a customer that is no longer listed keep their tags and
        count with the default weight. One under a new name starts like a
        customer that was idle.
        """
        self._is_enabled = weights is not None
        if weights is None:
            self._times = sharetimes.Times()
            self._charges.clear()
            self._refused_until.clear()
        else:
            self._times.weights = weights

    def applies_to(self, jobs: collections.abc.Iterable[Job]) -> bool:
        """Return whether requests of several flows compete."""
        return self._is_enabled and len(sharetimes.flow_keys(jobs)) > 1

    def cost(self, job: Job) -> float:
        """Return the predicted cost of a request."""
        return self._cost(job.prompt_tokens, job.predicted_output)

    def predict_cost(self, prompt_tokens: int, output_tokens: int) -> float:
        """Return the cost of a request of this size."""
        return self._cost(prompt_tokens, output_tokens)

    def order(
        self,
        sections: collections.abc.Collection[collections.abc.Sequence[Job]],
        now: float,
    ) -> list[Job]:
        """Return waiting requests in the order in which they are served.

        Args:
            sections: Requests in the order that they have without shares; all
                of a section are served before those of the next.
            now: Monotonic time in seconds.
        """
        waiting = (job for jobs in sections for job in jobs)
        state = self._snapshot(waiting, now)
        return [job for jobs in sections for job in state.order(jobs)]

    def charge(
        self, job: Job, waiting: collections.abc.Iterable[Job], now: float
    ) -> float:
        """Charge a placement; return the charged cost.

        A request that an engine has failed was charged before: its customer
        does not pay for the failure.

        Args:
            job: Request that is placed.
            waiting: All waiting requests, with or without this one.
            now: Monotonic time in seconds.
        """
        if not self._is_enabled or job.is_continuation or job.avoid:
            return 0.0
        jobs = [*waiting, job]
        state = self._snapshot(jobs, now)
        cost = self.cost(job)
        largest = max(map(self.cost, jobs))
        times = self._times
        urgency_class = times.classes.setdefault(
            job.priority, sharetimes.UrgencyClass()
        )
        urgency_class.virtual_time, times.virtual_time = (
            state.charged_class_times(job, largest)
        )
        flow = urgency_class.flows.setdefault(job.customer, sharetimes.Flow())
        flow.virtual_time, urgency_class.flow_virtual_time = (
            state.charged_flow_times(job, largest)
        )
        flow.use.add(cost, now)
        urgency_class.use.add(cost, now)
        self._charges[job.stream] = _Charge(
            sharetimes.flow_key(job), job.prompt_tokens, cost
        )
        self._sweep(now)
        return cost

    def record_refusal(self, job: Job, retry_after: float, now: float) -> None:
        """Record a refusal; its flow counts as waiting until the retry.

        Without this, nobody would wait while all are refused on arrival, and
        service would go to whoever arrives most often.
        """
        if self._is_enabled:
            self._refused_until[sharetimes.flow_key(job)] = now + min(
                retry_after, _MAX_REFUSED_S
            )

    def settle(self, stream: ids.StreamId, tokens: int) -> None:
        """Correct the charge of a request that ended.

        Args:
            stream: Stream that ended.
            tokens: Tokens of the answer; 0 if it broke off, which leaves the
                charge as it is, since an engine has worked on it.
        """
        charge = self._charges.pop(stream, None)
        if charge is None or not tokens:
            return
        priority, customer = charge.flow
        urgency_class = self._times.classes.get(priority)
        flow = urgency_class.flows.get(customer) if urgency_class else None
        if flow is not None:
            actual = self._cost(charge.prompt_tokens, tokens)
            weight = self._times.weight(customer)
            flow.virtual_time += (actual - charge.cost) / weight

    def lag(
        self, job: Job, waiting: collections.abc.Iterable[Job], now: float
    ) -> tuple[float, bool]:
        """Return how far a request is beyond what others were served.

        Args:
            job: Request that arrives, behind those of its flow.
            waiting: All waiting requests, with or without this one.
            now: Monotonic time in seconds.

        Returns:
            Cost per weight that others may be served before it, and whether it
            is beyond its customer's share.
        """
        others = [other for other in waiting if other.stream != job.stream]
        state = self._snapshot((*others, job), now)
        lag = state.lag(job, sharetimes.same_flow(job, others))
        return lag, lag > state.allowances[job.priority]

    def count_retries_before(
        self,
        job: Job,
        due: collections.abc.Mapping[sharetimes.FlowKey, int],
        waiting: collections.abc.Iterable[Job],
        mean_cost: float,
        now: float,
    ) -> int:
        """Return how many expected retries are served before a request.

        A retry is taken for a request of mean cost behind those of its flow
        that wait. So a customer that retries often reserves room from its own
        share.

        Args:
            job: Request that arrives, behind those of its flow.
            due: Number of retries that are expected now, by flow.
            waiting: All waiting requests, with or without this one.
            mean_cost: Mean cost of a request.
            now: Monotonic time in seconds.
        """
        others = [other for other in waiting if other.stream != job.stream]
        state = self._snapshot((*others, job), now)
        ends = {key: self._times.flow_time(key) for key in due}
        for other in others:
            key = sharetimes.flow_key(other)
            if key in ends:
                weight = self._times.weight(other.customer)
                ends[key] += self.cost(other) / weight
        own = sharetimes.flow_key(job)
        count = due.get(own, 0)
        floor = state.floors[job.priority]
        start = floor + state.lag(job, sharetimes.same_flow(job, others))
        start += count * mean_cost / self._times.weight(job.customer)
        for (priority, customer), number in due.items():
            if priority < job.priority:
                count += number
            elif priority == job.priority and customer != job.customer:
                end = max(floor, ends[priority, customer])
                work = (start - end) * self._times.weight(customer)
                count += min(number, max(0, math.ceil(work / mean_cost)))
        return count

    def overtaken_wait(
        self,
        job: Job,
        wait: float,
        ahead: collections.abc.Sequence[Job],
        waiting: collections.abc.Iterable[Job],
        capacity: float,
        now: float,
    ) -> float:
        """Return a predicted wait with the requests that overtake meanwhile.

        They come from customers that are further within their shares and from
        more urgent classes. They take no more than what their flows and
        classes may be served before this one, and no more than they have used
        lately.

        Args:
            job: Request that waits.
            wait: Predicted seconds until those ahead of it are served.
            ahead: Requests ahead of it now.
            waiting: All waiting requests, with or without this one.
            capacity: Cost that is served a second.
            now: Monotonic time in seconds.
        """
        if not self._is_enabled or wait <= 0 or capacity <= 0:
            return wait
        state = self._snapshot((*waiting, job), now)
        overtaking = overtakings.Overtaking(self._times, state, self.cost)
        return overtaking.delay(job, wait, ahead, capacity, now)

    def _snapshot(
        self, waiting: collections.abc.Iterable[Job], now: float
    ) -> sharetimes.Snapshot:
        flows = sharetimes.flow_keys(waiting)
        flows.update(
            key for key, until in self._refused_until.items() if until > now
        )
        return sharetimes.Snapshot(
            self._times, flows, self.cost, self._capacity()
        )

    def _sweep(self, now: float) -> None:
        """Drop idle flows and classes; count virtual times from zero."""
        if now - self._swept_at < _SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        for priority, urgency_class in list(self._times.classes.items()):
            floor = urgency_class.flow_virtual_time
            for name, flow in list(urgency_class.flows.items()):
                is_idle = now - flow.use.last_at > _SWEEP_INTERVAL_S
                if is_idle and flow.virtual_time <= floor:
                    del urgency_class.flows[name]
            if floor > _MAX_VIRTUAL_TIME:
                urgency_class.rebase()
            has_passed = urgency_class.virtual_time <= self._times.virtual_time
            if not urgency_class.flows and has_passed:
                del self._times.classes[priority]
        for key, until in list(self._refused_until.items()):
            if until < now:
                del self._refused_until[key]
        if self._times.virtual_time > _MAX_VIRTUAL_TIME:
            self._times.rebase()
