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
"""Decisions on engines while several software versions are in service."""

import dataclasses
import random
import typing

import pytest

from galenahatch.core import dispatch
from galenahatch.core import generations
from galenahatch.core import ratelimits
from galenahatch.core import upstreams
from galenahatch.core import versionaffinity
from galenahatch.core import versionstages
from galenahatch import ids

_SERVICE: typing.Final = ids.ServiceName('model')
_V1: typing.Final = ids.SoftwareVersion('v1')
_V2: typing.Final = ids.SoftwareVersion('v2')
_PREFILL, _DECODE = upstreams.Stage.PREFILL, upstreams.Stage.DECODE


def _engine(
    name: str, stage: upstreams.Stage, version: ids.SoftwareVersion
) -> upstreams.Upstream:
    return upstreams.Upstream(
        id=ids.UpstreamId(name),
        service=_SERVICE,
        address='10.0.0.1:80',
        data_centre=ids.DataCentre('dc1'),
        slots=8,
        stage=stage,
        version=version,
    )


_ENGINES: typing.Final = (
    _engine('p1', _PREFILL, _V1),
    _engine('p2', _PREFILL, _V2),
    _engine('d1', _DECODE, _V1),
    _engine('d2', _DECODE, _V2),
    _engine('d3', _DECODE, _V2),
)


def _dispatcher(
    engines: typing.Iterable[upstreams.Upstream] = _ENGINES,
) -> dispatch.Dispatcher:
    limiter = ratelimits.Limiter(random.Random(1))
    found = dispatch.Dispatcher(20000, 8, limiter)
    found.set_engines(engines, (), 0.0)
    return found


def _job(number: int, version: ids.SoftwareVersion) -> generations.Job:
    return generations.Job(
        stream=ids.StreamId(f's{number}.1'),
        entry=ids.MemberId('m'),
        prompt_tokens=4000,
        output_hint=1000,
        max_output=2000,
        arrived_at=0.0,
        start_deadline=1.0,
        abandon_at=4.0,
        deadline=10.0,
        fingerprint=f'f{number}',
        data_centre=ids.DataCentre('dc1'),
        version=version,
    )


def _decide(
    dispatcher: dispatch.Dispatcher, jobs: typing.Iterable[generations.Job]
) -> dict[ids.StreamId, generations.Decision]:
    found = [dispatcher.submit(job, 0.0) for job in jobs]
    decisions = [d for d in found if d is not None]
    now = 0.0
    while now < 0.3:
        decisions += dispatcher.decide(now)
        now += 0.02
    return {decision.job.stream: decision for decision in decisions}


@pytest.mark.parametrize('version', [_V1, _V2])
def test_bound_stream_uses_its_version_for_both_stages(
    version: ids.SoftwareVersion,
) -> None:
    """The memory that it goes on from is not handed between versions."""
    decision = _decide(_dispatcher(), [_job(0, version)])[ids.StreamId('s0.1')]
    assert isinstance(decision, generations.Placed)
    versions = {engine.id: engine.version for engine in _ENGINES}
    assert decision.prefill is not None
    assert versions[decision.prefill] == versions[decision.decode] == version


# Load: more streams are bound to a version than its one prefill engine reads
# at a time or, once they have been read, than its decode engine has room for.
@pytest.mark.parametrize('is_prefilled', [False, True])
def test_full_version_does_not_block_others(is_prefilled: bool) -> None:
    """Streams behind them are placed at the other version."""
    jobs = [
        dataclasses.replace(
            _job(number, _V1 if number < 6 else versionaffinity.ANY_VERSION),
            is_prefilled=is_prefilled,
        )
        for number in range(9)
    ]
    others = jobs[6:]
    decisions = _decide(_dispatcher(), jobs)
    placed = [
        d for d in decisions.values() if isinstance(d, generations.Placed)
    ]
    assert {d.decode for d in placed if d.job.version} == {'d1'}
    assert sum(not d.job.version for d in placed) == len(others)
    assert not {'d1'} & {d.decode for d in placed if not d.job.version}


def test_version_without_decode_engine_is_refused_at_once() -> None:
    """With the reason, and also once its engine leaves while it waits."""
    dispatcher = _dispatcher(e for e in _ENGINES if e.id != 'd1')
    refused = dispatcher.submit(_job(0, _V1), 0.0)
    assert isinstance(refused, generations.Refused)
    assert refused.version_problem is versionaffinity.Problem.NOT_SERVED
    dispatcher = _dispatcher()
    for number in range(6):
        assert dispatcher.submit(_job(number, _V1), 0.0) is None
    dispatcher.set_engines((e for e in _ENGINES if e.id != 'd1'), (), 0.0)
    decisions = dispatcher.decide(0.0)
    assert len(decisions) == 6
    assert all(
        isinstance(d, generations.Refused) and d.version_problem
        for d in decisions
    )


def test_no_change_takes_the_last_decode_engine_of_a_version() -> None:
    """Unless it is the only engine of the version."""
    prefills = [e for e in _ENGINES if e.stage is _PREFILL]
    decodes = [e for e in _ENGINES if e.stage is _DECODE]
    changes = [(engine, _PREFILL) for engine in decodes]
    kept = versionstages.keep_decodes(changes, prefills, decodes)
    assert [engine.id for engine, _ in kept] == ['d2']
    alone = versionstages.keep_decodes(changes, prefills[1:], decodes)
    assert [engine.id for engine, _ in alone] == ['d1', 'd2']


def test_version_without_decode_engine_gets_one() -> None:
    """When a stream has asked for it, once within some seconds."""
    prefills = [e for e in _ENGINES if e.stage is _PREFILL]
    decodes = [e for e in _ENGINES if e.version == _V2]
    stages = versionstages.VersionStages()
    assert not stages.plan(prefills, decodes, 0.0)
    stages.record_missing(_V1, 1.0)
    assert stages.plan(prefills, decodes, 1.5) == [(prefills[0], _DECODE)]
    stages.record_missing(_V1, 2.0)
    assert not stages.plan(prefills, decodes, 2.0)
    assert not stages.plan(prefills[:1], decodes, 7.0)


def test_origins_expire_and_conflicts_stand_for_nothing() -> None:
    """Two streams with one key of different versions tell nothing."""
    origins = versionaffinity.Origins()
    one, two = ids.StreamKey('one'), ids.StreamKey('two')
    origins.record(one, _V1, 5.0, 0.0)
    origins.record(two, _V1, 5.0, 0.0)
    origins.record(two, _V2, 3.0, 0.0)
    assert origins.find([one], 4.9) == _V1
    assert origins.find([two], 1.0) is None
    assert origins.find([two, one], 1.0) == _V1
    origins.prune(5.1)
    assert not len(origins)
    for number in range(versionaffinity.MAX_RECORDS + 10):
        origins.record(ids.StreamKey(str(number)), _V1, 5.0, 0.0)
    assert len(origins) == versionaffinity.MAX_RECORDS


def test_version_is_remembered_after_its_last_engine() -> None:
    """As long as callers of its streams may return."""
    served = versionaffinity.ServedVersions()
    served.update({_SERVICE: frozenset({_V1})}, 0.0)
    assert served.is_single(_SERVICE, 0.0)
    served.update({_SERVICE: frozenset({_V2})}, 10.0)
    assert not served.is_single(_SERVICE, 60.0)
    assert served.several(60.0)
    late = 11.0 + versionaffinity.VERSION_RETENTION_S
    assert served.is_single(_SERVICE, late)
    assert not served.several(late)


def test_restart_that_only_a_report_tells_has_no_known_version() -> None:
    """Its entry may state another version than that of the earlier start."""
    registry = upstreams.Registry()
    first = dataclasses.replace(_ENGINES[2], id=ids.UpstreamId('d1@1000'))
    registry.register(first, 0.0)
    started = registry.record_restart(first.id, 2000, _DECODE, 1.0)
    assert started is not None and started.id == 'd1@2000'
    assert not started.version
    assert not _job(0, _V1).may_run_at(started)
    assert _job(0, versionaffinity.ANY_VERSION).may_run_at(started)
    entry = dataclasses.replace(started, version=_V2)
    assert registry.register(entry, 2.0)
    assert registry.find(started.id) == entry


def test_version_that_becomes_known_is_used() -> None:
    """The entry of an engine states it after the engine is known."""
    unknown = [
        dataclasses.replace(engine, version=versionaffinity.ANY_VERSION)
        for engine in _ENGINES
    ]
    dispatcher = _dispatcher(unknown)
    assert isinstance(
        dispatcher.submit(_job(0, _V1), 0.0), generations.Refused
    )
    dispatcher.set_engines(_ENGINES, (), 0.1)
    found = _decide(dispatcher, [_job(1, _V1)])
    assert isinstance(found[ids.StreamId('s1.1')], generations.Placed)
