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

"""Draws a bar chart as SVG without a plotting library."""

import dataclasses
import typing
from xml.sax import saxutils

_ROW_HEIGHT: typing.Final = 18
_LABEL_WIDTH: typing.Final = 190
_BAR_WIDTH: typing.Final = 420
_COLOURS: typing.Final = ('#4477aa', '#cc6677')


@dataclasses.dataclass(frozen=True)
class Bar:
    """Goodput and wasted prefill of one policy, as fractions from 0 to 1."""

    group: str
    name: str
    goodput: float
    waste: float


def svg(bars: list[Bar]) -> str:
    """Return an SVG chart with one row for each bar."""
    rows: list[str] = []
    y = 30
    group = ''
    for bar in bars:
        if bar.group != group:
            group = bar.group
            y += 14
            rows.append(_text(10, y, f'{group}, load 1.3', 'bold'))
            y += 8
        rows += _row(bar, y)
        y += _ROW_HEIGHT
    legend = [
        _text(_LABEL_WIDTH, 16, 'goodput', 'bold', _COLOURS[0]),
        _text(_LABEL_WIDTH + 80, 16, 'wasted prefill', 'bold', _COLOURS[1]),
    ]
    width = _LABEL_WIDTH + _BAR_WIDTH + 120
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
        f'height="{y + 10}" font-family="sans-serif" font-size="11">\n'
        + '\n'.join([*legend, *rows])
        + '\n</svg>\n'
    )


def _row(bar: Bar, y: int) -> list[str]:
    values = f'{bar.goodput:.2f}  {bar.waste:.3f}'
    return [
        _text(20, y + 11, bar.name),
        _rect(y + 2, bar.goodput, 7, _COLOURS[0]),
        _rect(y + 10, bar.waste, 4, _COLOURS[1]),
        _text(_LABEL_WIDTH + _BAR_WIDTH + 8, y + 11, values),
    ]


def _rect(y: int, share: float, height: int, colour: str) -> str:
    return (
        f'<rect x="{_LABEL_WIDTH}" y="{y}" width="{share * _BAR_WIDTH:.1f}" '
        f'height="{height}" fill="{colour}"/>'
    )


def _text(
    x: int, y: int, text: str, weight: str = 'normal', colour: str = '#222222'
) -> str:
    return (
        f'<text x="{x}" y="{y}" font-weight="{weight}" fill="{colour}">'
        f'{saxutils.escape(text)}</text>'
    )
