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

"""The task that owns cells, without processes."""

import asyncio

from galenahatch import clock
from galenahatch import config
from galenahatch.core import cells
from galenahatch.core import revision
from galenahatch import distribution
from galenahatch import ids
from galenahatch import messages
from galenahatch import options
from galenahatch import placement
from galenahatch import placementevents
from galenahatch.platform import objects
from galenahatch.platform import table
from galenahatch import schema
from galenahatch import states
from galenahatch import tasks
from galenahatch.test import samples
from galenahatch import trail
from galenahatch.upstream import engine

_SERVICE = """
[[services]]
name = "x"
model = "m"
"""
_CENTRE = ids.DataCentre('zogno')


def _engine_toml(name: str, role: str) -> str:
    return (
        f'[[engines]]\nname = "{name}"\nservice = "x"\nrole = "{role}"\n'
        'data_centre = "zogno"\naddress = "127.0.0.1"\nport = 1\n'
    )


def _accepted() -> revision.Accepted:
    base = samples.BASE + _SERVICE
    base += _engine_toml('p1', 'prefill') + _engine_toml('d1', 'decode')
    bundle = schema.Bundle(base, {'bergamo': ''})
    digest = revision.bundle_digest(revision.encode(bundle))
    head = revision.Head(ids.Revision(1), ids.ChangeId('c'), digest, 'me', '')
    return revision.Accepted(head, bundle)


def _request(number: int) -> messages.PlaceRequest:
    return messages.PlaceRequest(
        request=ids.RequestId(f'r{number}'),
        stream=ids.StreamId(f'r{number}.1'),
        entry=ids.MemberId('entry/127.0.0.1:1'),
        service=ids.ServiceName('x'),
        site=ids.SiteName('bergamo'),
        caller=ids.CallerName('planner'),
        urgency=states.Urgency.NORMAL,
        prompt_tokens=10,
        output_tokens=10,
        first_token_timeout=1.0,
        blocks=(),
        avoided_engines=(),
        data_centre=_CENTRE,
        revision=ids.Revision(1),
    )


def _settings(
    accepted: revision.Accepted,
) -> distribution.Distribution:
    """Return a configuration in force, without stores."""
    settings = distribution.Distribution(
        options.Options(data_centre=_CENTRE),
        table.Table(None, ''),  # type: ignore[arg-type]
        objects.ObjectStore(None, ''),  # type: ignore[arg-type]
        tasks.Tasks(),
    )
    settings.active.apply_if_newer(accepted, config.load(accepted.bundle))
    return settings


async def _place_before_refresh() -> list[messages.AnyMessage]:
    """Ask when the configuration is in force but not planned yet."""
    accepted = _accepted()
    sites = config.load(accepted.bundle)
    assert sites is not None
    settings = _settings(accepted)
    owner = placement.Placement(
        settings, _CENTRE, trail.DecisionTrail(), lambda entry, held: None
    )
    answers: list[messages.AnyMessage] = []
    running = asyncio.create_task(owner.run())
    owner.put(placementevents.EntryMessage(_request(1), answers.append))
    await asyncio.sleep(0.01)
    plans = cells.cell_configs(sites, ids.RegionName('lombardy'))
    refresh = placementevents.OwnershipUpdate(
        ids.Revision(1), plans, frozenset(plans), frozenset()
    )
    owner.put(refresh)
    await asyncio.sleep(0.01)
    running.cancel()
    return answers


def test_request_before_the_plans() -> None:
    """A request that is ahead of the owner's plans waits for them.

    It was told unknown_model when the configuration was in force already
    but its cells were not planned yet.
    """
    answers = asyncio.run(_place_before_refresh())
    assert len(answers) == 1
    assert isinstance(answers[0], messages.Placed), answers


async def _events_after_restart() -> dict[ids.EngineName, int]:
    """Report cache events of an engine, before and after it restarts."""
    accepted = _accepted()
    sites = config.load(accepted.bundle)
    assert sites is not None
    owner = placement.Placement(
        _settings(accepted),
        _CENTRE,
        trail.DecisionTrail(),
        lambda entry, held: None,
    )
    plans = cells.cell_configs(sites, ids.RegionName('lombardy'))
    owner.put(
        placementevents.OwnershipUpdate(
            ids.Revision(1), plans, frozenset(plans), frozenset()
        )
    )
    name = ids.EngineName('p1')
    for incarnation, numbers, block in ((1, range(5), 7), (2, range(2), 8)):
        events = tuple(engine.CacheEvent(n, (block,)) for n in numbers)
        load = engine.Load(incarnation, 1, False, 0, 0.0, events)
        owner.put(placementevents.EngineReport(name, load))
    running = asyncio.create_task(owner.run())
    await asyncio.sleep(0.01)
    running.cancel()
    (cell,) = owner.cells
    return cell.prefix_index.hits((8,), clock.now())


def test_cache_events_of_a_restarted_engine() -> None:
    """A restarted engine numbers its events anew; they count.

    They were taken for old ones, so its cache was never known again.
    """
    assert asyncio.run(_events_after_restart()) == {'p1': 1}
