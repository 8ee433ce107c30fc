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

"""Metrics in the text format of Prometheus."""

import typing

from opentelemetry.sdk.metrics import export


def lines(metric: typing.Any) -> list[str]:
    """Return the lines of a metric."""
    points = list(metric.data.data_points)
    is_histogram = bool(points) and hasattr(points[0], 'bucket_counts')
    is_gauge = isinstance(metric.data, export.Gauge)
    kind = 'histogram' if is_histogram else 'gauge' if is_gauge else 'counter'
    name = metric.name.replace('.', '_')
    if kind == 'counter':
        name += '_total'
    found = [
        f'# HELP {name} {metric.description}',
        f'# TYPE {name} {kind}',
    ]
    for point in points:
        if is_histogram:
            found.extend(_histogram_lines(name, point))
        else:
            found.append(
                f'{name}{_label_text(point.attributes)} {point.value}'
            )
    return found


def _histogram_lines(name: str, point: typing.Any) -> list[str]:
    found = []
    cumulative = 0
    bounds = [str(bound) for bound in point.explicit_bounds] + ['+Inf']
    for bound, count in zip(bounds, point.bucket_counts, strict=True):
        cumulative += count
        labels = _label_text({**point.attributes, 'le': bound})
        found.append(f'{name}_bucket{labels} {cumulative}')
    labels = _label_text(point.attributes)
    found.append(f'{name}_sum{labels} {point.sum}')
    found.append(f'{name}_count{labels} {point.count}')
    return found


def _label_text(attributes: typing.Mapping[str, typing.Any]) -> str:
    if not attributes:
        return ''
    pairs = (f'{key}="{value}"' for key, value in sorted(attributes.items()))
    return '{' + ','.join(pairs) + '}'
