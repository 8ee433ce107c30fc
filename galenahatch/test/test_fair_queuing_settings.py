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

"""What turns fair queuing on, and what a deployment without it sees."""

import dataclasses
import typing

import pytest

from bench import dispatching
from galenahatch.core import generations
from galenahatch.core import routes
from galenahatch.gateway import directory as directories
from galenahatch.gateway import owner as owners
from galenahatch import ids
from galenahatch.platform import documents
from galenahatch import tasks

_QUOTA: typing.Final = '"rate_per_s": 1000, "burst": 5000'


def _configuration(fields: str) -> routes.Configuration:
    """Return a configuration with two customers; `fields` are of the first."""
    found = documents.decode_configuration(
        f"""{{"version": 1, "routes": [], "services": [
          {{"name": "s", "engine": {{"slots": 8, "kv_tokens": 50000}}}}],
        "tenants": [{{"name": "a", "api_keys": ["k1"], {fields}}},
          {{"name": "b", "api_keys": ["k2"], {_QUOTA}}}]}}""".encode()
    )
    assert isinstance(found, routes.Configuration), found
    return found


@pytest.mark.parametrize(
    ('fields', 'is_enabled', 'expected'),
    [
        (_QUOTA, False, None),
        (f'{_QUOTA}, "priority": 2', False, None),
        (_QUOTA, True, {'a': 1.0, 'b': 1.0}),
        ('"weight": 1', False, {'a': 1.0, 'b': 1.0}),
        ('"weight": 4', False, {'a': 4.0, 'b': 1.0}),
        ('"weight": 4', True, {'a': 4.0, 'b': 1.0}),
    ],
)
def test_what_turns_it_on(
    fields: str, is_enabled: bool, expected: dict[str, float] | None
) -> None:
    """The settings or a stated weight reach the owner's queue."""
    nothing: typing.Any = None
    directory = directories.Directory(
        nothing, tasks.Tasks(), 2.0, fair_queuing=is_enabled
    )
    owner = owners.Owner(directory, nothing, nothing, nothing, nothing)
    directory.config = _configuration(fields)
    owner.refresh_engines()
    shares = owner.dispatchers[ids.ServiceName('s')].shares
    assert shares.is_enabled is (expected is not None)
    assert shares.times.weights == (expected or {})


def test_no_customers() -> None:
    """The feature needs customers in the configuration."""
    found = documents.decode_configuration(
        b'{"version": 1, "routes": [], "services": []}'
    )
    assert isinstance(found, routes.Configuration)
    assert found.fair_queuing_weights(True) is None


class _Replay(dispatching.Replay):
    """A day whose callers may be told apart; records all decisions."""

    def __init__(self, names: tuple[str, ...]) -> None:
        kind = dispatching.DELAYED
        day = dispatching.Day('off', 4, 9, 1.3 * kind.rate(4, 9), ())
        super().__init__(dataclasses.replace(day, engines=kind), 1)
        self._names = names
        self.decisions: list[tuple[float, generations.Decision]] = []

    def make_job(self, caller: typing.Any, now: float) -> generations.Job:
        """Return the job, with a customer and one of two priorities."""
        name = self._names[caller.number % len(self._names)]
        return dataclasses.replace(
            super().make_job(caller, now),
            customer=ids.CustomerName(name),
            priority=caller.number % 2,
        )

    def _apply_decision(
        self, decision: generations.Decision, now: float
    ) -> None:
        nobody = ids.CustomerName('')
        job = dataclasses.replace(decision.job, customer=nobody)
        self.decisions.append((now, dataclasses.replace(decision, job=job)))
        super()._apply_decision(decision, now)


def test_customers_alone_change_nothing() -> None:
    """Customers with quotas, without the feature, in a lasting overload.

    Each placement, refusal, Retry-After, commitment and reason in the log is
    as without customers. With the feature, decisions differ.
    """
    runs = []
    for names, is_enabled in (
        (('',), False),
        (('a', 'a', 'b'), False),
        (('a', 'a', 'b'), True),
    ):
        replay = _Replay(names)
        config = _configuration(_QUOTA)
        replay.owner.shares.configure(config.fair_queuing_weights(is_enabled))
        replay.run()
        runs.append(replay.decisions)
    kinds = {type(entry[-1]) for entry in runs[0]}
    assert kinds == {generations.Placed, generations.Refused}
    assert runs[1] == runs[0]
    assert runs[2] != runs[0]
