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

"""Counters and histograms of the gateway, in the text format of scrapers.

Instruments are OpenTelemetry's. A scrape reads them once; nothing is sent
on its own. Labels are bounded: reasons, kinds and some customers, never ids
or routes.
"""

import typing

from opentelemetry import metrics as api
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import export
from opentelemetry.sdk.metrics import view

CONTENT_TYPE: typing.Final = 'text/plain; version=0.0.4'
_BUCKET_BOUNDS_S: typing.Final = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.6,
    0.9,
    1.5,
    3.0,
    6.0,
    15.0,
)
"""Bounds of the latency histograms, around the users' objectives."""

_reader = export.InMemoryMetricReader()
_provider = sdk.MeterProvider(
    metric_readers=[_reader],
    views=[
        view.View(
            instrument_type=sdk.Histogram,
            aggregation=view.ExplicitBucketHistogramAggregation(
                _BUCKET_BOUNDS_S
            ),
        )
    ],
    shutdown_on_exit=False,
)
_meter: api.Meter = _provider.get_meter('galenahatch')

answers = _meter.create_counter(
    'galenahatch_answers', description='Answers to callers, by reason.'
)
answer_seconds = _meter.create_histogram(
    'galenahatch_answer_seconds',
    unit='s',
    description='From arrival to a whole answer of a plain service.',
)
first_event_seconds = _meter.create_histogram(
    'galenahatch_first_event_seconds',
    unit='s',
    description='From arrival to the first event of a stream.',
)
pause_seconds = _meter.create_histogram(
    'galenahatch_pause_seconds',
    unit='s',
    description='Longest pause between two events of a stream.',
)
sends = _meter.create_counter(
    'galenahatch_sends', description='Sends to plain services, by fate.'
)
decisions = _meter.create_counter(
    'galenahatch_decisions', description='Decisions as owner, by outcome.'
)
store_losses = _meter.create_counter(
    'galenahatch_store_losses', description='Times that the store was lost.'
)
store_restores = _meter.create_counter(
    'galenahatch_store_restores',
    description='Times that the store came back from an older copy.',
)
STORE_ERA: typing.Final = 'galenahatch_store_era'
store_era = _meter.create_gauge(
    STORE_ERA, description='Newest era that the store named.'
)
owner_changes = _meter.create_counter(
    'galenahatch_owner_changes', description='Times that the owner changed.'
)
stalls = _meter.create_counter(
    'galenahatch_stalls',
    description='Times that this process did not run for a while.',
)
upstream_ends = _meter.create_counter(
    'galenahatch_upstream_ends',
    description='Upstreams that ended under a request just begun.',
)
CUSTOMER_UNITS: typing.Final = 'galenahatch_customer_units'
CUSTOMER_REFUSED: typing.Final = 'galenahatch_customer_refused'
customer_units = _meter.create_counter(
    CUSTOMER_UNITS,
    description='Units of quotas that were granted here, by customer.',
)
customer_refused = _meter.create_counter(
    CUSTOMER_REFUSED,
    description='Requests refused for a quota here, by customer.',
)
CONFIG_VERSION: typing.Final = 'galenahatch_config_version'
config_version = _meter.create_gauge(
    CONFIG_VERSION, description='Version of the configuration in force.'
)
HELD_BACK: typing.Final = 'galenahatch_held_back'
held_back = _meter.create_counter(
    HELD_BACK,
    description='Times that a plain call found no room, by upstream.',
)
GaugeCallback = typing.Callable[[], typing.Mapping[str, float]]
"""Returns the value of each upstream that has one."""
_gauge_callbacks: dict[str, GaugeCallback] = {}


def _upstream_gauge(name: str, unit: str, description: str) -> str:
    def observe(
        options: api.CallbackOptions,
    ) -> typing.Iterable[api.Observation]:
        values = _gauge_callbacks[name]() if name in _gauge_callbacks else {}
        for upstream, value in values.items():
            yield api.Observation(value, {'upstream': upstream})

    _meter.create_observable_gauge(name, [observe], unit, description)
    return name


RATE_LIMIT: typing.Final = _upstream_gauge(
    'galenahatch_upstream_rate_limit',
    '1/s',
    'Requests a second that an upstream takes, by upstream.',
)
LIMITED_SECONDS: typing.Final = _upstream_gauge(
    'galenahatch_upstream_limited_seconds',
    's',
    'Seconds since an upstream began to name a limit, by upstream.',
)
LEAVING_SECONDS: typing.Final = _upstream_gauge(
    'galenahatch_upstream_leaving_seconds',
    's',
    'Seconds since an upstream said that it leaves, by upstream.',
)
PAUSED_SECONDS: typing.Final = _upstream_gauge(
    'galenahatch_upstream_paused_seconds',
    's',
    'Seconds left of a pause that this gateway was asked for, by upstream.',
)
orders = _meter.create_counter(
    'galenahatch_orders', description='Orders sent to engines, by status.'
)


def register_gauge(name: str, gauge: GaugeCallback) -> None:
    """Show what a function returns as one of the gauges by upstream."""
    _gauge_callbacks[name] = gauge


def set_global_provider() -> None:
    """Count here what is counted outside this package as well.

    That is, for one, the bytes between gateways (`bus`). Other programs load
    this module too and export theirs elsewhere, so it is no matter of import.
    """
    api.set_meter_provider(_provider)


def render() -> str:
    """Return all instruments in the text format."""
    data = _reader.get_metrics_data()
    lines: list[str] = []
    if data is None:
        return ''
    for resource in data.resource_metrics:
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                lines.extend(_metric_lines(metric))
    return '\n'.join(lines) + '\n'


def _metric_lines(metric: typing.Any) -> list[str]:
    points = list(metric.data.data_points)
    histogram = bool(points) and hasattr(points[0], 'bucket_counts')
    gauge = isinstance(metric.data, export.Gauge)
    kind = 'histogram' if histogram else 'gauge' if gauge else 'counter'
    name = metric.name.replace('.', '_')
    if kind == 'counter':
        name += '_total'
    lines = [
        f'# HELP {name} {metric.description}',
        f'# TYPE {name} {kind}',
    ]
    for point in points:
        if histogram:
            lines.extend(_histogram_lines(name, point))
        else:
            lines.append(
                f'{name}{_label_text(point.attributes)} {point.value}'
            )
    return lines


def _histogram_lines(name: str, point: typing.Any) -> list[str]:
    lines = []
    total = 0
    bounds = [str(bound) for bound in point.explicit_bounds] + ['+Inf']
    for bound, count in zip(bounds, point.bucket_counts, strict=True):
        total += count
        labels = _label_text({**point.attributes, 'le': bound})
        lines.append(f'{name}_bucket{labels} {total}')
    labels = _label_text(point.attributes)
    lines.append(f'{name}_sum{labels} {point.sum}')
    lines.append(f'{name}_count{labels} {point.count}')
    return lines


def _label_text(attributes: typing.Mapping[str, typing.Any]) -> str:
    if not attributes:
        return ''
    pairs = (f'{key}="{value}"' for key, value in sorted(attributes.items()))
    return '{' + ','.join(pairs) + '}'
