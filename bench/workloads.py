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

"""The users' workloads at the brief's sizes, as open-loop arrivals.

Lengths are drawn per class; part of the prompts begin with one of a few
templates, so that prefix caches matter. `capacity` says how many requests
a second the engines carry by the time model, cache hits included.
"""

import dataclasses
import random
import typing

from galenahatch.core import cache
from galenahatch import states
from galenahatch.test.standin import model

BYTES_PER_TOKEN: typing.Final = 4
_MEAN_LENGTH: typing.Final = 0.66
_TEMPLATES: typing.Final = 8
_TEMPLATE_SHARE: typing.Final = 0.5
_TEMPLATE_PART: typing.Final = 0.5
_CROWD_SHARE: typing.Final = 0.5


@dataclasses.dataclass(frozen=True)
class Kind:
    """One class of requests.

    Attributes:
        share: of all requests.
        prompt: mean prompt tokens; drawn from half to one and a half.
        output: max_tokens.
        first_token: target, seconds.
        callers: how many callers send it.
    """

    name: str
    share: float
    prompt: int
    output: int
    urgency: states.Urgency
    first_token: float
    callers: int = 4


@dataclasses.dataclass(frozen=True)
class Workload:
    """One user's service.

    Attributes:
        kinds: classes of requests.
        prefills: number of prefill engines.
        decodes: number of decode engines.
        data_centres: over which engines and entries are spread.
        one_way: seconds between data centres.
        waste_weight: the user's setting.
    """

    name: str
    kinds: tuple[Kind, ...]
    prefills: int
    decodes: int
    data_centres: int
    one_way: float
    waste_weight: float


BREMBANA: typing.Final = Workload(
    'Brembana',
    (
        Kind('status', 0.7, 700, 32, states.Urgency.URGENT, 0.58),
        Kind('summary', 0.3, 2600, 220, states.Urgency.BULK, 8.0),
    ),
    prefills=6,
    decodes=4,
    data_centres=3,
    one_way=0.0005,
    waste_weight=0.2,
)
CUMANN: typing.Final = Workload(
    'Cumann',
    (
        Kind('lookup', 0.6, 500, 32, states.Urgency.URGENT, 0.58),
        Kind('narrative', 0.4, 5000, 420, states.Urgency.BULK, 30.0),
    ),
    prefills=5,
    decodes=3,
    data_centres=4,
    one_way=0.0015,
    waste_weight=0.8,
)
WORKLOADS: typing.Final = {w.name: w for w in (BREMBANA, CUMANN)}


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request.

    Attributes:
        at: seconds.
        entry: which of the six entries it meets.
        ticket: of an earlier refusal.
    """

    number: int
    at: float
    kind: Kind
    prompt: str
    tokens: int
    blocks: tuple[int, ...]
    caller: str
    entry: int
    ticket: str = ''


def capacity(workload: Workload, params: model.Params) -> float:
    """Return the requests a second that the engines carry."""
    full = params.step + params.step_per_stream * (params.places - 1)
    prefill = 0.0
    decode = 0.0
    for kind in workload.kinds:
        cached = _TEMPLATE_SHARE * _TEMPLATE_PART
        tokens = kind.prompt * (1 - cached)
        prefill += kind.share * tokens / params.prefill_rate
        transfer = kind.prompt * params.kv_bytes / params.link_rate
        hold = kind.output * _MEAN_LENGTH * full + transfer
        decode += kind.share * hold
    by_prefill = workload.prefills / prefill
    by_decode = workload.decodes * params.places / decode
    return min(by_prefill, by_decode)


def arrivals(
    workload: Workload, rate: float, seconds: float, seed: int, entries: int
) -> list[Arrival]:
    """Return Poisson arrivals with a fixed seed."""
    source = random.Random(seed)
    found: list[Arrival] = []
    at = 0.0
    while True:
        at += source.expovariate(rate)
        if at >= seconds:
            return found
        found.append(_draw(workload, source, len(found), at, entries))


def _caller(source: random.Random, kind: Kind) -> int:
    """Return a caller; the first sends as much as all others together."""
    if source.random() < _CROWD_SHARE:
        return 0
    return source.randrange(1, kind.callers)


def _draw(
    workload: Workload,
    source: random.Random,
    number: int,
    at: float,
    entries: int,
) -> Arrival:
    weights = [kind.share for kind in workload.kinds]
    kind = source.choices(workload.kinds, weights)[0]
    tokens = int(kind.prompt * source.uniform(0.5, 1.5))
    prefix = ''
    if source.random() < _TEMPLATE_SHARE:
        template = f'{kind.name} {source.randrange(_TEMPLATES)} '
        size = int(kind.prompt * _TEMPLATE_PART) * BYTES_PER_TOKEN
        prefix = (template * (size // len(template) + 1))[:size]
    own = f'{number} {source.random()} '
    size = max(1, tokens * BYTES_PER_TOKEN - len(prefix))
    prompt = prefix + (own * (size // len(own) + 1))[:size]
    return Arrival(
        number=number,
        at=at,
        kind=kind,
        prompt=prompt,
        tokens=model.token_count(prompt),
        blocks=cache.hash_blocks(prompt),
        caller=f'{kind.name}-{_caller(source, kind)}',
        entry=source.randrange(entries),
    )
