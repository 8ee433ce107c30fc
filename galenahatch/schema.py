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

"""Schema of the configuration.

The structs contain the merged configuration of one site. The operators'
reference is generated from their docstrings.
"""

import functools
import hashlib
import typing

import msgspec

from galenahatch import ids
from galenahatch import states

URGENCY_BY_NAME: typing.Final = {
    'urgent': states.Urgency.URGENT,
    'normal': states.Urgency.NORMAL,
    'bulk': states.Urgency.BULK,
}


class Site(msgspec.Struct, frozen=True):
    """A group of data centres with its own configuration overlay.

    Attributes:
        name: unique name.
        region: region; sites of one region are scheduled together.
        data_centres: data centres whose VMs belong to the site.
    """

    name: ids.SiteName
    region: ids.RegionName
    data_centres: tuple[ids.DataCentre, ...]


class ModelService(msgspec.Struct, frozen=True):
    """A model that callers ask for by name.

    Attributes:
        name: value of `model` in callers' requests.
        model: model that the engines load.
        adapter: adapter loaded with the model; empty for none.
        version: version of the model.
        urgency: default priority class: urgent, normal or bulk.
        first_token_ms: target for the time to the first token.
        between_tokens_ms: target for the time between tokens.
        wait_ms: longest wait in the queue; a request that can't start by
            then is rejected at once. 0 means the first-token target.
        deadline_ms: longest time for the whole response; callers may ask
            for less.
        max_prompt_tokens: longest accepted prompt.
        max_output_tokens: largest `max_tokens` of a request.
        bytes_per_token: ratio to estimate a prompt's length in tokens.
        waste_weight: cost of wasted prefill relative to an early start:
            0 starts as soon as a place is predicted to be free in time,
            1 only when a place is free now.
        retry_share: retries allowed per answered request.
    """

    name: ids.ServiceName
    model: str
    adapter: str = ''
    version: str = '1'
    urgency: str = 'normal'
    first_token_ms: int = 580
    between_tokens_ms: int = 54
    wait_ms: int = 0
    deadline_ms: int = 120_000
    max_prompt_tokens: int = 32_768
    max_output_tokens: int = 4096
    bytes_per_token: float = 4.0
    waste_weight: float = 0.3
    retry_share: float = 0.1


class Engine(msgspec.Struct, frozen=True):
    """A model engine.

    Attributes:
        name: unique name.
        service: model service that it serves.
        role: prefill or decode.
        data_centre: data centre of its VM.
        address: IP address.
        port: HTTP port.
        places: number of requests that fit in its memory.
        prefill_tokens_per_second: declared speed; corrected by reports.
        kv_bytes_per_token: size of the KV cache that is transferred.
        link_bytes_per_second: bandwidth of its link.
        eviction_ms: time for which the result of a prefill is kept.
        checks_fencing: whether it refuses orders with an old fencing token.
    """

    name: ids.EngineName
    service: ids.ServiceName
    role: str
    data_centre: ids.DataCentre
    address: str
    port: int
    places: int = 20
    prefill_tokens_per_second: float = 8000.0
    kv_bytes_per_token: int = 100_000
    link_bytes_per_second: float = 5e9
    eviction_ms: int = 800
    checks_fencing: bool = False


class PlainService(msgspec.Struct, frozen=True):
    """A service that is not a model.

    Attributes:
        name: unique name; the path below /v1/services/.
        upstreams: base URLs, nearest first.
        unrepeatable: `METHOD /path-prefix` of calls that run at most once.
        timeout_ms: timeout of one call.
    """

    name: ids.ServiceName
    upstreams: tuple[str, ...]
    unrepeatable: tuple[str, ...] = ()
    timeout_ms: int = 10_000


class Caller(msgspec.Struct, frozen=True):
    """A client that may send requests.

    Attributes:
        name: unique name.
        token_sha256: SHA-256 digest of the bearer token, in hexadecimal.
        share: weight relative to other callers of the same urgency.
        urgency: highest priority class that the caller may ask for.
        max_waiting: most requests that it may have in a queue at once.
    """

    name: ids.CallerName
    token_sha256: str
    share: float = 1.0
    urgency: str = 'urgent'
    max_waiting: int = 1000


class Config(msgspec.Struct, frozen=True, dict=True):
    """The merged configuration of one site."""

    sites: tuple[Site, ...] = ()
    services: tuple[ModelService, ...] = ()
    engines: tuple[Engine, ...] = ()
    plain_services: tuple[PlainService, ...] = ()
    callers: tuple[Caller, ...] = ()
    draining: tuple[str, ...] = ()

    @functools.cached_property
    def _site_by_centre(self) -> dict[str, Site]:
        return {c: site for site in self.sites for c in site.data_centres}

    @functools.cached_property
    def _service_by_name(self) -> dict[str, ModelService]:
        return {service.name: service for service in self.services}

    @functools.cached_property
    def _plain_by_name(self) -> dict[str, PlainService]:
        return {service.name: service for service in self.plain_services}

    @functools.cached_property
    def _engine_by_name(self) -> dict[str, Engine]:
        return {engine.name: engine for engine in self.engines}

    @functools.cached_property
    def _caller_by_digest(self) -> dict[str, Caller]:
        return {caller.token_sha256: caller for caller in self.callers}

    @functools.cached_property
    def _caller_by_name(self) -> dict[str, Caller]:
        return {caller.name: caller for caller in self.callers}

    def site_of_data_centre(self, data_centre: ids.DataCentre) -> Site | None:
        """Return the site of a data centre."""
        return self._site_by_centre.get(data_centre)

    def service(self, name: str) -> ModelService | None:
        """Return a model service by name."""
        return self._service_by_name.get(name)

    def plain_service(self, name: str) -> PlainService | None:
        """Return a plain service by name."""
        return self._plain_by_name.get(name)

    def engine(self, name: str) -> Engine | None:
        """Return an engine by name."""
        return self._engine_by_name.get(name)

    def caller(self, name: str) -> Caller | None:
        """Return a caller by name."""
        return self._caller_by_name.get(name)

    def caller_by_token(self, token: str) -> Caller | None:
        """Return the caller with a bearer token."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        return self._caller_by_digest.get(digest)


class Bundle(msgspec.Struct, frozen=True):
    """A complete configuration as written by operators.

    Attributes:
        base: TOML text.
        overlays: TOML text by site.
        draining: upstreams drained by `galenahatchctl drain`.
    """

    base: str
    overlays: dict[str, str]
    draining: tuple[str, ...] = ()


def urgency_by_name(name: str) -> states.Urgency | None:
    """Return a priority class by name, or None if there is none."""
    return URGENCY_BY_NAME.get(name)
