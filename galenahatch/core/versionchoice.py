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

"""Choice of engines while several software versions are in service.

A stream that has begun is bound to its version. One that begins prefers two
engines of one version, as its memory moves between them. While a bound stream
waits for engines, those of its version are given to others last: it has no
other choice.
"""

import collections.abc
import typing

from galenahatch.core import generations
from galenahatch.core import modelengines
from galenahatch.core import upstreams
from galenahatch import ids

REMOTE_WEIGHT: typing.Final = 0.1
"""Load, as a fraction of an engine's memory, added for a transfer between data
centres, which takes twice as long and is charged for."""
_OTHER_VERSION_WEIGHT: typing.Final = 0.1
"""The same for a transfer between software versions."""
_WANTED_WEIGHT: typing.Final = 1.0
"""The same for an engine that a bound stream waits for: a full engine's."""

Versions = collections.abc.Container[ids.SoftwareVersion]
EngineT = typing.TypeVar(
    'EngineT', modelengines.PrefillEngine, modelengines.DecodeEngine
)


def allowed(
    job: generations.Job, engines: collections.abc.Iterable[EngineT]
) -> list[EngineT]:
    """Return the engines whose version a request may run at."""
    return [engine for engine in engines if job.may_run_at(engine.upstream)]


def names(
    job: generations.Job, engines: collections.abc.Iterable[EngineT]
) -> collections.abc.Iterator[ids.UpstreamId]:
    """Yield the ids of the engines whose version a request may run at."""
    for engine in engines:
        if job.may_run_at(engine.upstream):
            yield engine.upstream.id


def is_served(
    job: generations.Job,
    decodes: collections.abc.Mapping[
        ids.UpstreamId, modelengines.DecodeEngine
    ],
) -> bool:
    """Return whether a decode engine runs a version that suits a request."""
    return not job.version or has_engine(job.version, decodes)


def has_engine(
    version: ids.SoftwareVersion,
    decodes: collections.abc.Mapping[
        ids.UpstreamId, modelengines.DecodeEngine
    ],
) -> bool:
    """Return whether a decode engine runs a version; empty for any."""
    return any(
        version in ('', engine.upstream.version) for engine in decodes.values()
    )


def is_reserved(
    job: generations.Job, engine: upstreams.Upstream, wanted: Versions
) -> bool:
    """Return whether an engine is for bound streams first.

    Args:
        wanted: Versions for which bound streams wait.
    """
    return not job.version and engine.version in wanted


def decode_cost(
    job: generations.Job,
    engine: modelengines.DecodeEngine,
    prefill: modelengines.PrefillEngine | None,
    wanted: Versions,
    now: float,
) -> float:
    """Return the cost of a decode engine, as a fraction of its memory.

    Args:
        prefill: Engine that reads the prompt; None if none does.
        wanted: Versions for which bound streams wait.
        now: Monotonic time in seconds.
    """
    cost = engine.memory.load(now)
    if prefill is not None:
        here, there = engine.upstream, prefill.upstream
        cost += REMOTE_WEIGHT * (here.data_centre != there.data_centre)
        cost += _OTHER_VERSION_WEIGHT * (here.version != there.version)
    return cost + _WANTED_WEIGHT * is_reserved(job, engine.upstream, wanted)
