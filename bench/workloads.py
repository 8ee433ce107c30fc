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

"""Workloads of two users, as open-loop arrivals.

Lengths are drawn for each class. A share of the prompts begins with one of a
few templates, so that prefix caches have an effect. `capacity` computes from
the time model how many requests a second the engines can serve, with cache
hits.
"""

import dataclasses
import random
import typing

from galenahatch.core import cache
from galenahatch import states
from galenahatch.test.standin import model

BYTES_PER_TOKEN: typing.Final = 4
_MEAN_OUTPUT_SHARE: typing.Final = 0.66
"""Mean length of an output, as a share of max_tokens."""
_TEMPLATES: typing.Final = 8
_TEMPLATE_SHARE: typing.Final = 0.5
"""Share of prompts that begin with a template."""
_TEMPLATE_PROMPT_SHARE: typing.Final = 0.5
"""Length of a template, as a share of the mean prompt."""
_HEAVY_CALLER_SHARE: typing.Final = 0.5
"""Share of the requests that the first caller sends."""


@dataclasses.dataclass(frozen=True)
class Kind:
    """One class of requests.

    Attributes:
        share: share of all requests.
        prompt: mean prompt tokens; lengths are 0.5 to 1.5 times the mean.
        output: max_tokens of a request.
        urgency: urgency of the class.
        first_token_target_s: target for the first token, in seconds.
        callers: number of callers that send the class.
    """

    name: str
    share: float
    prompt: int
    output: int
    urgency: states.Urgency
    first_token_target_s: float
    callers: int = 4


@dataclasses.dataclass(frozen=True)
class Workload:
    """The model service of one user.

    Attributes:
        kinds: classes of requests.
        prefills: number of prefill engines.
        decodes: number of decode engines.
        data_centres: number of data centres; engines and entries are spread
            evenly over them.
        one_way_delay_s: one-way delay in seconds between data centres.
        waste_weight: `waste_weight` setting of the service.
    """

    name: str
    kinds: tuple[Kind, ...]
    prefills: int
    decodes: int
    data_centres: int
    one_way_delay_s: float
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
    one_way_delay_s=0.0005,
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
    one_way_delay_s=0.0015,
    waste_weight=0.8,
)
WORKLOADS: typing.Final = {w.name: w for w in (BREMBANA, CUMANN)}


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request.

    Attributes:
        at: seconds from the start of the run.
        tokens: prompt tokens.
        blocks: hashes of the prompt's blocks, for the prefix cache.
        entry: index of the entry that receives it.
        ticket: queue ticket of an earlier refusal, or an empty string.
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
    """Return the requests a second that the engines can serve."""
    full_step_s = params.step + params.step_per_stream * (params.places - 1)
    prefill_s = 0.0
    decode_s = 0.0
    for kind in workload.kinds:
        cached_share = _TEMPLATE_SHARE * _TEMPLATE_PROMPT_SHARE
        tokens = kind.prompt * (1 - cached_share)
        prefill_s += kind.share * tokens / params.prefill_rate
        transfer_s = kind.prompt * params.kv_bytes / params.link_rate
        hold_s = kind.output * _MEAN_OUTPUT_SHARE * full_step_s + transfer_s
        decode_s += kind.share * hold_s
    prefill_bound_rate = workload.prefills / prefill_s
    decode_bound_rate = workload.decodes * params.places / decode_s
    return min(prefill_bound_rate, decode_bound_rate)


def arrivals(
    workload: Workload, rate: float, seconds: float, seed: int, entries: int
) -> list[Arrival]:
    """Return Poisson arrivals that depend on the seed only."""
    rng = random.Random(seed)
    drawn: list[Arrival] = []
    at = 0.0
    while True:
        at += rng.expovariate(rate)
        if at >= seconds:
            return drawn
        drawn.append(_draw_arrival(workload, rng, len(drawn), at, entries))


def _draw_caller(rng: random.Random, kind: Kind) -> int:
    """Draw a caller; the first sends as much as all others together."""
    if rng.random() < _HEAVY_CALLER_SHARE:
        return 0
    return rng.randrange(1, kind.callers)


def _draw_arrival(
    workload: Workload,
    rng: random.Random,
    number: int,
    at: float,
    entries: int,
) -> Arrival:
    weights = [kind.share for kind in workload.kinds]
    kind = rng.choices(workload.kinds, weights)[0]
    tokens = int(kind.prompt * rng.uniform(0.5, 1.5))
    prefix = ''
    if rng.random() < _TEMPLATE_SHARE:
        template = f'{kind.name} {rng.randrange(_TEMPLATES)} '
        length = int(kind.prompt * _TEMPLATE_PROMPT_SHARE) * BYTES_PER_TOKEN
        prefix = (template * (length // len(template) + 1))[:length]
    suffix = f'{number} {rng.random()} '
    length = max(1, tokens * BYTES_PER_TOKEN - len(prefix))
    prompt = prefix + (suffix * (length // len(suffix) + 1))[:length]
    return Arrival(
        number=number,
        at=at,
        kind=kind,
        prompt=prompt,
        tokens=model.token_count(prompt),
        blocks=cache.hash_blocks(prompt),
        caller=f'{kind.name}-{_draw_caller(rng, kind)}',
        entry=rng.randrange(entries),
    )
