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

"""Configuration: its schema, how overlays merge, and what must hold.

A configuration is one base text and one overlay text for each site, both
TOML. The rule for merging an overlay into the base:

* tables merge key by key;
* a list of tables that have a `name` merges by name; an item with
  `remove = true` takes the named item away;
* every other value of the overlay replaces the base's.

The merged tree of each site is converted field by field, so that every
problem is found in one pass; then the references between items are
checked. Nothing here reads a file or the clock.
"""

import functools
import hashlib
import tomllib
import types
import typing

import msgspec

from galenahatch import ids
from galenahatch import messages

Tree = dict[str, typing.Any]
_BASE: typing.Final = 'base'
_CLASSES: typing.Final = {
    'urgent': messages.Urgency.URGENT,
    'normal': messages.Urgency.NORMAL,
    'bulk': messages.Urgency.BULK,
}


class Problem(msgspec.Struct, frozen=True, order=True):
    """One thing wrong with a configuration.

    Attributes:
        file: `base`, or the overlay's site.
        key: path of the key, such as `engines.p1.places`.
        expected: what should stand there.
    """

    file: str
    key: str
    expected: str


class Site(msgspec.Struct, frozen=True):
    """A place with a configuration overlay of its own.

    Attributes:
        name: unique.
        region: sites of one region schedule together.
        data_centres: whose VMs belong to the site.
    """

    name: ids.SiteName
    region: ids.RegionName
    data_centres: tuple[ids.DataCentre, ...]


class ModelService(msgspec.Struct, frozen=True):
    """A model that callers ask for by name.

    Attributes:
        name: what callers put in `model`.
        model: what the engines load.
        adapter: adapter on top of the model, or empty.
        version: of the model.
        urgency: urgent, normal or bulk, unless the caller says otherwise.
        first_token_ms: target for the time to the first token.
        between_tokens_ms: target for the time between tokens.
        wait_ms: longest wait in the queue; a request that can't start by
            then is given up at once. 0 means the first-token target.
        deadline_ms: for the whole answer, unless the caller says less.
        max_prompt_tokens: longer prompts are refused.
        max_output_tokens: largest `max_tokens` of a request.
        bytes_per_token: to estimate a prompt's length.
        waste_weight: how strongly wasted prefill counts against starting
            early: 0 starts as soon as a place is predicted to be free in
            time, 1 only when one is free now.
        retry_share: retries allowed per request answered.
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
        name: unique.
        service: model service that it serves.
        role: prefill or decode.
        data_centre: where its VM stands.
        address: IP number.
        port: HTTP port.
        places: requests that its memory holds.
        prefill_tokens_per_second: declared speed; corrected by reports.
        kv_bytes_per_token: size of the KV cache that is transferred.
        link_bytes_per_second: rate of its link.
        eviction_ms: time for which a prefill's result is kept.
        checks_fencing: refuses an order with an old fencing number.
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
        name: unique; the path below /v1/services/.
        upstreams: base URLs, nearest first.
        unrepeatable: `METHOD /path-prefix` of calls that run at most once.
        timeout_ms: for one call.
    """

    name: ids.ServiceName
    upstreams: tuple[str, ...]
    unrepeatable: tuple[str, ...] = ()
    timeout_ms: int = 10_000


class Caller(msgspec.Struct, frozen=True):
    """Who may send requests.

    Attributes:
        name: unique.
        token_sha256: digest of the bearer token, in hexadecimal.
        share: weight against other callers of the same urgency.
        urgency: best class that the caller may ask for.
        max_waiting: requests that it may have in a queue at once.
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

    def site_of(self, data_centre: ids.DataCentre) -> Site | None:
        """Return the site that a data centre belongs to."""
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

    def caller_of(self, token: str) -> Caller | None:
        """Return the caller that a bearer token belongs to."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        return self._caller_by_digest.get(digest)


class Bundle(msgspec.Struct, frozen=True):
    """A whole configuration as operators wrote it.

    Attributes:
        base: TOML text.
        overlays: TOML text by site.
        draining: upstreams that `galenahatchctl drain` took out.
    """

    base: str
    overlays: dict[str, str]
    draining: tuple[str, ...] = ()


class Checked(msgspec.Struct, frozen=True):
    """What a check gives: a configuration by site, or problems."""

    sites: dict[str, Config]
    problems: tuple[Problem, ...]


def urgency(name: str) -> messages.Urgency | None:
    """Return the class of a name."""
    return _CLASSES.get(name)


def check(bundle: Bundle) -> Checked:
    """Merge and check a bundle for every site."""
    problems: list[Problem] = []
    base = _parse(_BASE, bundle.base, problems)
    overlays = {
        site: _parse(site, text, problems)
        for site, text in sorted(bundle.overlays.items())
    }
    if problems:
        return Checked({}, tuple(problems))
    _check_names(_BASE, base, problems)
    configs: dict[str, Config] = {}
    for site, overlay in overlays.items():
        _check_names(site, overlay, problems)
        merged = merge(base, overlay)
        merged['draining'] = list(bundle.draining)
        config = _convert_whole(merged)
        if config is None:
            origin = _origin(site, overlay)
            config = _convert(Config, merged, '', origin, problems)
        configs[site] = config
        _check_config(site, config, problems)
    if not overlays:
        problems.append(Problem(_BASE, 'sites', 'an overlay for each site'))
    _check_sites(configs, problems)
    return Checked(configs, tuple(sorted(set(problems))))


def load(bundle: Bundle) -> dict[str, Config] | None:
    """Return the configuration of each site without checking it.

    Daemons use this for what was checked before it was accepted. Unknown
    keys are ignored, so that a daemon understands what a newer command
    line wrote. None means that a text can't be used at all.
    """
    problems: list[Problem] = []
    base = _parse(_BASE, bundle.base, problems)
    configs = {}
    for site, text in bundle.overlays.items():
        merged = merge(base, _parse(site, text, problems))
        merged['draining'] = list(bundle.draining)
        try:
            configs[site] = msgspec.convert(merged, Config)
        except msgspec.ValidationError:
            return None
    return None if problems else configs


def _convert_whole(merged: Tree) -> Config | None:
    """Convert at once; None if anything is wrong, which is rare."""
    if any(_unknown_keys(merged)):
        return None
    try:
        return msgspec.convert(merged, Config)
    except msgspec.ValidationError:
        return None


def _unknown_keys(merged: Tree) -> typing.Iterator[str]:
    hints = typing.get_type_hints(Config)
    for key, value in merged.items():
        if key not in hints:
            yield key
            continue
        kind = _struct_item(hints[key])
        if kind is not None and isinstance(value, list):
            known = set(kind.__struct_fields__)
            for item in value:
                if not isinstance(item, dict) or item.keys() - known:
                    yield key


def _parse(file: str, text: str, problems: list[Problem]) -> Tree:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        problems.append(Problem(file, '', f'valid TOML: {error}'))
        return {}


def merge(base: Tree, overlay: Tree) -> Tree:
    """Return the base with an overlay merged in."""
    merged = dict(base)
    for key, value in overlay.items():
        below = merged.get(key)
        if isinstance(below, dict) and isinstance(value, dict):
            merged[key] = merge(below, value)
        elif _is_named_list(below) and _is_named_list(value):
            merged[key] = _merge_named(below, value)
        else:
            merged[key] = value
    return merged


def _is_named_list(value: typing.Any) -> bool:
    return isinstance(value, list) and all(
        isinstance(item, dict) and 'name' in item for item in value
    )


def _merge_named(base: typing.Any, overlay: typing.Any) -> list[Tree]:
    items: dict[typing.Any, Tree] = {item['name']: item for item in base}
    for item in overlay:
        if item.get('remove') is True:
            items.pop(item['name'], None)
        else:
            below = items.get(item['name'], {})
            items[item['name']] = merge(below, item)
    return list(items.values())


def _check_names(file: str, tree: Tree, problems: list[Problem]) -> None:
    """Report names that stand twice in one file."""
    for key, value in tree.items():
        if not isinstance(value, list):
            continue
        seen: set[str] = set()
        for item in value:
            name = item.get('name') if isinstance(item, dict) else None
            if isinstance(name, str) and name in seen:
                expected = f'one item named {name!r}'
                problems.append(Problem(file, f'{key}.{name}', expected))
            seen.add(str(name))


Origin = typing.Callable[[str], str]


def _origin(site: str, overlay: Tree) -> Origin:
    """Return a function from a key's path to the file that sets it."""
    paths = set(_paths(overlay, ''))

    def origin(path: str) -> str:
        return site if path in paths else _BASE

    return origin


def _paths(value: typing.Any, path: str) -> typing.Iterator[str]:
    if path:
        yield path
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _paths(item, f'{path}.{key}' if path else key)
    elif isinstance(value, list):
        for number, item in enumerate(value):
            yield from _paths(item, f'{path}.{_item_name(item, number)}')


def _item_name(item: typing.Any, number: int) -> str:
    if isinstance(item, dict) and isinstance(item.get('name'), str):
        return str(item['name'])
    return str(number)


_T = typing.TypeVar('_T', bound=msgspec.Struct)


def _convert(
    kind: type[_T],
    tree: Tree,
    path: str,
    origin: Origin,
    problems: list[Problem],
) -> _T:
    """Convert a table field by field and collect every problem.

    A wrong field takes its default, or an empty value of its type, so that
    the checks that follow can go on.
    """
    hints = typing.get_type_hints(kind)
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    values: Tree = {}
    for key, value in tree.items():
        below = f'{path}.{key}' if path else key
        if key not in fields:
            known = ', '.join(fields)
            expected = f'one of: {known}'
            problems.append(Problem(origin(below), below, expected))
            continue
        values[key] = _convert_field(
            hints[key], value, below, origin, problems
        )
    for name, field in fields.items():
        if name not in values and field.required:
            below = f'{path}.{name}' if path else name
            expected = f'a value: {_type_name(hints[name])}'
            problems.append(Problem(origin(path), below, expected))
            values[name] = _empty(hints[name])
    return kind(**values)


def _convert_field(
    hint: typing.Any,
    value: typing.Any,
    path: str,
    origin: Origin,
    problems: list[Problem],
) -> typing.Any:
    item_kind = _struct_item(hint)
    if item_kind is not None and isinstance(value, list):
        return tuple(
            _convert(
                item_kind,
                item if isinstance(item, dict) else {},
                f'{path}.{_item_name(item, number)}',
                origin,
                problems,
            )
            for number, item in enumerate(value)
        )
    try:
        return msgspec.convert(value, _plain(hint))
    except msgspec.ValidationError:
        expected = f'{_type_name(hint)}, not {value!r}'
        problems.append(Problem(origin(path), path, expected))
        return _empty(hint)


def _struct_item(hint: typing.Any) -> type[msgspec.Struct] | None:
    """Return the struct type of a tuple of structs."""
    if typing.get_origin(hint) is not tuple:
        return None
    item = typing.get_args(hint)[0]
    if isinstance(item, type) and issubclass(item, msgspec.Struct):
        return item
    return None


def _plain(hint: typing.Any) -> typing.Any:
    """Return a hint with NewType replaced by what it stands for."""
    if isinstance(hint, typing.NewType):
        return hint.__supertype__
    if typing.get_origin(hint) is tuple:
        return types.GenericAlias(
            tuple, (_plain(typing.get_args(hint)[0]), ...)
        )
    return hint


def _type_name(hint: typing.Any) -> str:
    plain = _plain(hint)
    if typing.get_origin(plain) is tuple:
        return f'a list of {_type_name(typing.get_args(plain)[0])}'
    names = {str: 'text', int: 'a whole number', float: 'a number'}
    names[bool] = 'true or false'
    return names.get(plain, getattr(plain, '__name__', str(plain)))


def _empty(hint: typing.Any) -> typing.Any:
    plain = _plain(hint)
    if typing.get_origin(plain) is tuple:
        return ()
    return plain()


def _check_config(site: str, config: Config, problems: list[Problem]) -> None:
    """Check values and references of one site's configuration."""

    def wrong(key: str, expected: str) -> None:
        problems.append(Problem(site, key, expected))

    if all(s.name != site for s in config.sites):
        wrong('sites', f'a site named {site!r}')
    _check_services(config, wrong)
    _check_engines(config, wrong)
    _check_upstreams(config, wrong)
    for caller in config.callers:
        key = f'callers.{caller.name}'
        if len(caller.token_sha256) != hashlib.sha256().digest_size * 2:
            wrong(f'{key}.token_sha256', '64 hexadecimal digits')
        if caller.share <= 0:
            wrong(f'{key}.share', 'more than 0')
        if caller.urgency not in _CLASSES:
            wrong(f'{key}.urgency', 'one of: ' + ', '.join(_CLASSES))


Wrong = typing.Callable[[str, str], None]


def _check_services(config: Config, wrong: Wrong) -> None:
    for service in config.services:
        key = f'services.{service.name}'
        if service.urgency not in _CLASSES:
            wrong(f'{key}.urgency', 'one of: ' + ', '.join(_CLASSES))
        for name in ('first_token_ms', 'between_tokens_ms', 'deadline_ms'):
            if getattr(service, name) <= 0:
                wrong(f'{key}.{name}', 'milliseconds, more than 0')
        if not 0 <= service.waste_weight <= 1:
            wrong(f'{key}.waste_weight', 'a number from 0 to 1')
        if service.bytes_per_token <= 0:
            wrong(f'{key}.bytes_per_token', 'more than 0')
        for role in ('prefill', 'decode'):
            if not any(
                e.service == service.name and e.role == role
                for e in config.engines
            ):
                wrong(key, f'at least one {role} engine at this site')


def _check_engines(config: Config, wrong: Wrong) -> None:
    services = {service.name for service in config.services}
    centres = {c for site in config.sites for c in site.data_centres}
    for engine in config.engines:
        key = f'engines.{engine.name}'
        if engine.service not in services:
            wrong(f'{key}.service', 'a declared service')
        if engine.role not in ('prefill', 'decode'):
            wrong(f'{key}.role', 'one of: prefill, decode')
        if engine.data_centre not in centres:
            wrong(f'{key}.data_centre', 'a data centre of a site')
        if not 0 < engine.port < 65536:
            wrong(f'{key}.port', 'a port from 1 to 65535')
        for name in (
            'places',
            'prefill_tokens_per_second',
            'link_bytes_per_second',
            'eviction_ms',
        ):
            if getattr(engine, name) <= 0:
                wrong(f'{key}.{name}', 'more than 0')


def _check_upstreams(config: Config, wrong: Wrong) -> None:
    for service in config.plain_services:
        key = f'plain_services.{service.name}'
        if not service.upstreams:
            wrong(f'{key}.upstreams', 'at least one URL')
        for call in service.unrepeatable:
            method, _, path = call.partition(' ')
            if not method.isupper() or not path.startswith('/'):
                wrong(f'{key}.unrepeatable', "'METHOD /path', not " + call)
    known = {str(engine.name) for engine in config.engines}
    for plain in config.plain_services:
        known.update(plain.upstreams)
    for name in config.draining:
        if name not in known:
            wrong('draining', f'a declared upstream, not {name!r}')


def _check_sites(configs: dict[str, Config], problems: list[Problem]) -> None:
    """Check that each declared site has an overlay, and agrees."""
    declared = {s.name for c in configs.values() for s in c.sites}
    for name in declared - configs.keys():
        problems.append(Problem(_BASE, f'sites.{name}', 'an overlay file'))
    centres: dict[str, str] = {}
    for config in configs.values():
        for site in config.sites:
            for centre in site.data_centres:
                owner = centres.setdefault(centre, site.name)
                if owner != site.name:
                    expected = f'{centre!r} in one site, not two'
                    key = f'sites.{site.name}.data_centres'
                    problems.append(Problem(_BASE, key, expected))
