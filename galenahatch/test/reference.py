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

"""The operators' reference pages, written from the code.

`python -m galenahatch.test.reference` writes them; with `check` it fails
if a committed page differs, so that no page goes stale.
"""

import dataclasses
import pathlib
import re
import sys
import typing

import docstring_parser
import msgspec

from galenahatch import config
from galenahatch import errors
from galenahatch import options
from galenahatch import schema

ROOT: typing.Final = pathlib.Path(__file__).resolve().parents[2]
PAGES: typing.Final = ROOT / 'docs' / 'operators'
_NOTE: typing.Final = 'Written from the code by `make reference`; do not edit.'
_TABLES: typing.Final = (
    ('sites', schema.Site),
    ('services', schema.ModelService),
    ('engines', schema.Engine),
    ('plain_services', schema.PlainService),
    ('callers', schema.Caller),
)


def _attributes(kind: type) -> dict[str, str]:
    """Return what a doc comment says of each attribute."""
    parsed = docstring_parser.parse(kind.__doc__ or '')
    return {
        param.arg_name: ' '.join((param.description or '').split())
        for param in parsed.params
    }


def _table(
    heads: typing.Sequence[str], rows: typing.Iterable[typing.Sequence[str]]
) -> list[str]:
    lines = ['| ' + ' | '.join(heads) + ' |', '|---' * len(heads) + '|']
    for row in rows:
        cells = (cell.replace('|', '\\|') for cell in row)
        lines.append('| ' + ' | '.join(cells) + ' |')
    return [*lines, '']


def settings_page() -> str:
    """Return the reference of flags and environment variables."""
    texts = _attributes(options.Options)
    rows = []
    for field in dataclasses.fields(options.Options):
        flag = '--' + field.name.replace('_', '-')
        variable = options.ENV_PREFIX + field.name.upper()
        default = str(field.default) if field.default != () else 'none'
        rows.append(
            (
                f'`{flag}`',
                f'`{variable}`',
                f'`{default}`' if default else 'empty',
                texts[field.name],
            )
        )
    heads = ('flag', 'environment variable', 'default', 'meaning')
    lines = ['# Settings', '', _NOTE, '', 'Times are seconds, sizes bytes.']
    lines += ['`--print-settings` prints what is in force, secrets masked.']
    return '\n'.join([*lines, '', *_table(heads, rows)])


def configuration_page() -> str:
    """Return the reference of the configuration files."""
    lines = ['# Configuration', '', _NOTE, '']
    text = (config.__doc__ or '').strip().partition('\n\n')[2]
    lines += [*text.splitlines(), '']
    for key, kind in _TABLES:
        doc = (kind.__doc__ or '').strip().partition('\n')[0]
        lines += [f'## `[[{key}]]`', '', doc, '']
        texts = _attributes(kind)
        rows = []
        for field in msgspec.structs.fields(kind):
            default = 'required' if field.required else f'`{field.default!r}`'
            meaning = texts.get(field.name, field.name)
            rows.append((f'`{field.name}`', default, meaning))
        lines += _table(('key', 'default', 'meaning'), rows)
    return '\n'.join(lines)


def errors_page() -> str:
    """Return the reference of reasons."""
    rows = [
        (
            f'`{reason.name}`',
            str(reason.status),
            reason.outcome.value,
            reason.message,
            reason.advice,
        )
        for reason in sorted(errors.REASONS.values(), key=lambda r: r.name)
    ]
    heads = ('reason', 'status', 'outcome', 'meaning', 'what to do')
    return '\n'.join(['# Reasons', '', _NOTE, '', *_table(heads, rows)])


def metrics_page() -> str:
    """Return the reference of metrics and log prefixes."""
    source = (ROOT / 'galenahatch' / 'metrics.py').read_text()
    found = re.findall(
        r"create_(\w+)\(\s*'([\w.]+)',\s*(?:unit='([^']*)',\s*)?"
        r"description='([^']*)'",
        source,
    )
    rows = [
        (f'`{n}`', kind, unit or '1', text) for kind, n, unit, text in found
    ]
    lines = ['# Metrics and logs', '', _NOTE, '']
    lines += _table(('metric', 'kind', 'unit', 'meaning'), rows)
    prefixes = []
    for path in sorted((ROOT / 'galenahatch').rglob('*.py')):
        if 'test' in path.parts:
            continue
        text = path.read_text()
        for prefix in re.findall(r"logs\.Log\('(\w+)'\)", text):
            doc = text.partition('"""')[2].partition('\n')[0]
            prefixes.append((f'`{prefix}:`', doc.rstrip('."')))
    lines += _table(('log prefix', 'part'), sorted(prefixes))
    return '\n'.join(lines)


PAGE_OF: typing.Final[dict[str, typing.Callable[[], str]]] = {
    'settings.md': settings_page,
    'configuration.md': configuration_page,
    'errors.md': errors_page,
    'metrics.md': metrics_page,
}


def main(args: list[str]) -> int:
    """Write or check the pages."""
    stale = []
    for name, page in PAGE_OF.items():
        text = page().rstrip('\n') + '\n'
        path = PAGES / name
        if 'check' in args:
            if not path.exists() or path.read_text() != text:
                stale.append(name)
        else:
            path.write_text(text)
    for name in stale:
        print(f'docs/operators/{name} is stale: run make reference')
    return int(bool(stale))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
