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

"""Merging and validation of configurations.

A configuration is one base text and one overlay text for each site, both
TOML. The rule for merging an overlay into the base:

* tables merge key by key;
* a list of tables that have a `name` merges by name; an item with
  `remove = true` removes the named item;
* every other value of the overlay replaces the base's.

The merged tree of each site is converted field by field, so that every
problem is found in one pass; then the references between items are
checked. This module reads neither files nor the clock.
"""

import tomllib
import types
import typing

import msgspec

from galenahatch import checks
from galenahatch import decoding
from galenahatch import errors
from galenahatch import schema

Tree = dict[str, typing.Any]


class CheckResult(msgspec.Struct, frozen=True):
    """Result of a check: the configuration of each site, and problems."""

    sites: dict[str, schema.Config]
    problems: tuple[checks.Problem, ...]


def check(bundle: schema.Bundle) -> CheckResult:
    """Merge and check the configuration of every site in a bundle."""
    problems: list[checks.Problem] = []
    base = _parse(checks.BASE, bundle.base, problems)
    overlays = {
        site: _parse(site, text, problems)
        for site, text in sorted(bundle.overlays.items())
    }
    if problems:
        return CheckResult({}, tuple(problems))
    _check_unique_names(checks.BASE, base, problems)
    configs: dict[str, schema.Config] = {}
    for site, overlay in overlays.items():
        _check_unique_names(site, overlay, problems)
        merged = merge(base, overlay)
        merged['draining'] = list(bundle.draining)
        config = _convert_strictly(merged)
        if config is None:
            origin = _origin(site, overlay)
            config = _convert(schema.Config, merged, '', origin, problems)
        configs[site] = config
        checks.check_site(site, config, problems)
    if not overlays:
        problems.append(
            checks.Problem(checks.BASE, 'sites', 'an overlay for each site')
        )
    checks.check_across_sites(configs, problems)
    return CheckResult(configs, tuple(sorted(set(problems))))


def load(bundle: schema.Bundle) -> dict[str, schema.Config] | None:
    """Return the configuration of each site without checking it.

    Daemons use this for bundles that were checked before they were accepted.
    Unknown keys are ignored, so that a daemon can read what a newer command
    line wrote. Returns None if a text is invalid.
    """
    loaded = decoding.guard(lambda: _load(bundle), errors.BAD_CONFIGURATION)
    return None if isinstance(loaded, errors.Failure) else loaded


def _load(bundle: schema.Bundle) -> dict[str, schema.Config] | None:
    problems: list[checks.Problem] = []
    base = _parse(checks.BASE, bundle.base, problems)
    configs = {}
    for site, text in bundle.overlays.items():
        merged = merge(base, _parse(site, text, problems))
        merged['draining'] = list(bundle.draining)
        config = _convert_whole(merged)
        if config is None:
            return None
        configs[site] = config
    return None if problems else configs


def _convert_strictly(tree: Tree) -> schema.Config | None:
    """Convert a tree at once; return None if it is invalid, which is rare."""
    if any(_unknown_keys(tree)):
        return None
    return _convert_whole(tree)


def _convert_whole(tree: Tree) -> schema.Config | None:
    config = decoding.convert(tree, schema.Config, errors.BAD_CONFIGURATION)
    return None if isinstance(config, errors.Failure) else config


def _unknown_keys(tree: Tree) -> typing.Iterator[str]:
    hints = typing.get_type_hints(schema.Config)
    for key, value in tree.items():
        if key not in hints:
            yield key
            continue
        item_type = _struct_item_type(hints[key])
        if item_type is not None and isinstance(value, list):
            known_fields = set(item_type.__struct_fields__)
            for item in value:
                if not isinstance(item, dict) or item.keys() - known_fields:
                    yield key


def _parse(file: str, text: str, problems: list[checks.Problem]) -> Tree:
    tree = decoding.guard(
        lambda: tomllib.loads(text), errors.BAD_CONFIGURATION
    )
    if isinstance(tree, errors.Failure):
        expected = f'valid TOML: {tree.detail}'
        problems.append(checks.Problem(file, '', expected))
        return {}
    return tree


def merge(base: Tree, overlay: Tree) -> Tree:
    """Return the base with an overlay merged in."""
    merged = dict(base)
    for key, value in overlay.items():
        base_value = merged.get(key)
        if isinstance(base_value, dict) and isinstance(value, dict):
            merged[key] = merge(base_value, value)
        elif _is_named_list(base_value) and _is_named_list(value):
            merged[key] = _merge_named(base_value, value)
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
            base_item = items.get(item['name'], {})
            items[item['name']] = merge(base_item, item)
    return list(items.values())


def _check_unique_names(
    file: str, tree: Tree, problems: list[checks.Problem]
) -> None:
    """Report names that occur twice in one list of a file."""
    for key, value in tree.items():
        if not isinstance(value, list):
            continue
        seen_names: set[str] = set()
        for item in value:
            name = item.get('name') if isinstance(item, dict) else None
            if isinstance(name, str) and name in seen_names:
                expected = f'one item named {name!r}'
                problems.append(
                    checks.Problem(file, f'{key}.{name}', expected)
                )
            seen_names.add(str(name))


Origin = typing.Callable[[str], str]


def _origin(site: str, overlay: Tree) -> Origin:
    """Return a function that maps a key's path to the file that sets it."""
    overlay_paths = set(_key_paths(overlay, ''))

    def origin(path: str) -> str:
        return site if path in overlay_paths else checks.BASE

    return origin


def _key_paths(value: typing.Any, path: str) -> typing.Iterator[str]:
    if path:
        yield path
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _key_paths(item, f'{path}.{key}' if path else key)
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from _key_paths(item, f'{path}.{_item_name(item, index)}')


def _item_name(item: typing.Any, index: int) -> str:
    if isinstance(item, dict) and isinstance(item.get('name'), str):
        return str(item['name'])
    return str(index)


_T = typing.TypeVar('_T', bound=msgspec.Struct)


def _convert(
    struct_type: type[_T],
    tree: Tree,
    path: str,
    origin: Origin,
    problems: list[checks.Problem],
) -> _T:
    """Convert a table field by field and collect every problem.

    A missing or invalid field gets its default or an empty value of its type,
    so that the following checks can continue.
    """
    hints = typing.get_type_hints(struct_type)
    fields = {
        field.name: field for field in msgspec.structs.fields(struct_type)
    }
    values: Tree = {}
    for key, value in tree.items():
        field_path = f'{path}.{key}' if path else key
        if key not in fields:
            known_fields = ', '.join(fields)
            expected = f'one of: {known_fields}'
            problems.append(
                checks.Problem(origin(field_path), field_path, expected)
            )
            continue
        values[key] = _convert_field(
            hints[key], value, field_path, origin, problems
        )
    for name, field in fields.items():
        if name not in values and field.required:
            field_path = f'{path}.{name}' if path else name
            expected = f'a value: {_type_name(hints[name])}'
            problems.append(checks.Problem(origin(path), field_path, expected))
            values[name] = _empty_value(hints[name])
    return struct_type(**values)


def _convert_field(
    hint: typing.Any,
    value: typing.Any,
    path: str,
    origin: Origin,
    problems: list[checks.Problem],
) -> typing.Any:
    item_type = _struct_item_type(hint)
    if item_type is not None and isinstance(value, list):
        return tuple(
            _convert(
                item_type,
                item if isinstance(item, dict) else {},
                f'{path}.{_item_name(item, index)}',
                origin,
                problems,
            )
            for index, item in enumerate(value)
        )
    converted = decoding.convert(
        value, _without_newtypes(hint), errors.BAD_CONFIGURATION
    )
    if isinstance(converted, errors.Failure):
        expected = f'{_type_name(hint)}, not {value!r}'
        problems.append(checks.Problem(origin(path), path, expected))
        return _empty_value(hint)
    return converted


def _struct_item_type(hint: typing.Any) -> type[msgspec.Struct] | None:
    """Return the item type of a tuple of structs, or None for other types."""
    if typing.get_origin(hint) is not tuple:
        return None
    item = typing.get_args(hint)[0]
    if isinstance(item, type) and issubclass(item, msgspec.Struct):
        return item
    return None


def _without_newtypes(hint: typing.Any) -> typing.Any:
    """Return a type hint with each NewType replaced by its supertype."""
    if isinstance(hint, typing.NewType):
        return hint.__supertype__
    if typing.get_origin(hint) is tuple:
        return types.GenericAlias(
            tuple, (_without_newtypes(typing.get_args(hint)[0]), ...)
        )
    return hint


def _type_name(hint: typing.Any) -> str:
    plain_type = _without_newtypes(hint)
    if typing.get_origin(plain_type) is tuple:
        return f'a list of {_type_name(typing.get_args(plain_type)[0])}'
    names_by_type = {str: 'text', int: 'a whole number', float: 'a number'}
    names_by_type[bool] = 'true or false'
    return names_by_type.get(
        plain_type, getattr(plain_type, '__name__', str(plain_type))
    )


def _empty_value(hint: typing.Any) -> typing.Any:
    plain_type = _without_newtypes(hint)
    if typing.get_origin(plain_type) is tuple:
        return ()
    return plain_type()
