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

"""Metrics of the gateway in the Prometheus text format.

The instruments are those of OpenTelemetry. Metrics are read by scrapes and
never pushed. The number of label values is bounded: reasons, kinds and some
customers, but no ids or routes.
"""

import typing

from opentelemetry import metrics as api
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import export
from opentelemetry.sdk.metrics import view

from galenahatch.gateway import metrictext

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
"""Bucket bounds in seconds of the latency histograms, which are dense around
the latency objectives."""

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
customer_engine_seconds = _meter.create_counter(
    'galenahatch_customer_engine_seconds',
    description='Seconds of engines charged here, by customer.',
)
customer_wait_seconds = _meter.create_counter(
    'galenahatch_customer_wait_seconds',
    description='Seconds that placed generations waited here, by customer.',
)
customer_placed = _meter.create_counter(
    'galenahatch_customer_placed',
    description='Generations placed here, by customer.',
)
customer_no_room = _meter.create_counter(
    'galenahatch_customer_no_room',
    description='Generations refused here for want of room, by customer.',
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
call_grants = _meter.create_counter(
    'galenahatch_call_grants',
    description='Sends to plain services granted as owner, by service.',
)
call_rejections = _meter.create_counter(
    'galenahatch_call_rejections',
    description='Plain calls rejected as owner, by service and reason.',
)
call_outcomes = _meter.create_counter(
    'galenahatch_call_outcomes',
    description='What came of the grants that this gateway asked for.',
)
retries_withheld = _meter.create_counter(
    'galenahatch_retries_withheld',
    description='Repeats of plain calls not sent, by service and reason.',
)
call_wait_seconds = _meter.create_histogram(
    'galenahatch_call_wait_seconds',
    unit='s',
    description='From the arrival of a plain call to its grant, by service.',
)
transfers_aborted = _meter.create_counter(
    'galenahatch_transfers_aborted',
    description='Transfers to slow callers that were aborted, by reason.',
)
answers_refused = _meter.create_counter(
    'galenahatch_answers_refused',
    description='Answers broken off, by address of the server and kind.',
)
event_loop_lag_seconds = _meter.create_histogram(
    'galenahatch_event_loop_lag_seconds',
    unit='s',
    description='Lateness of timers of the event loop.',
)
connections_refused = _meter.create_counter(
    'galenahatch_connections_refused',
    description='Connections of callers refused unread, by resource.',
)
bodies_rejected = _meter.create_counter(
    'galenahatch_bodies_rejected',
    description='Request bodies rejected for want of memory.',
)
GaugeCallback = typing.Callable[[], typing.Mapping[str, float]]
"""Returns the values of a gauge by the value of its label."""
_gauge_callbacks: dict[str, GaugeCallback] = {}


def _gauge(
    name: str, unit: str, description: str, label: str = 'upstream'
) -> str:
    def observe(
        options: api.CallbackOptions,
    ) -> typing.Iterable[api.Observation]:
        values = _gauge_callbacks[name]() if name in _gauge_callbacks else {}
        for key, value in values.items():
            yield api.Observation(value, {label: key})

    _meter.create_observable_gauge(name, [observe], unit, description)
    return name


RATE_LIMIT: typing.Final = _gauge(
    'galenahatch_upstream_rate_limit',
    '1/s',
    'Requests a second that an upstream takes, by upstream.',
)
LIMITED_SECONDS: typing.Final = _gauge(
    'galenahatch_upstream_limited_seconds',
    's',
    'Seconds since an upstream began to name a limit, by upstream.',
)
LEAVING_SECONDS: typing.Final = _gauge(
    'galenahatch_upstream_leaving_seconds',
    's',
    'Seconds since an upstream said that it leaves, by upstream.',
)
PAUSED_SECONDS: typing.Final = _gauge(
    'galenahatch_upstream_paused_seconds',
    's',
    'Seconds left of a pause that this gateway was asked for, by upstream.',
)
HELD_BYTES: typing.Final = _gauge(
    'galenahatch_held_bytes',
    'By',
    'Bytes held for callers and upstreams, by direction.',
    'direction',
)
UTILIZATION: typing.Final = _gauge(
    'galenahatch_utilization',
    '1',
    'Utilization of a resource of this VM; 1 is where overload begins.',
    'resource',
)
CALL_IN_FLIGHT: typing.Final = _gauge(
    'galenahatch_call_in_flight',
    '1',
    'Granted sends in flight as the owner counts them, by upstream.',
)
CALL_WINDOW: typing.Final = _gauge(
    'galenahatch_call_window',
    '1',
    'Sends that the owner allows at the same time, by upstream.',
)
CALLS_QUEUED: typing.Final = _gauge(
    'galenahatch_calls_queued',
    '1',
    'Plain calls that wait for a grant of this owner, by service.',
    'service',
)
CALL_RATE: typing.Final = _gauge(
    'galenahatch_call_rate',
    '1/s',
    'Calls a second that end while others wait, by service.',
    'service',
)
CUSTOMER_CALLS_QUEUED: typing.Final = _gauge(
    'galenahatch_customer_calls_queued',
    '1',
    'Plain calls that wait for a grant of this owner, by customer.',
    'customer',
)
SERVICE_CONTENDED: typing.Final = _gauge(
    'galenahatch_service_contended',
    '1',
    'Whether calls to a service need a grant of this owner, by service.',
    'service',
)
UPSTREAM_SLOWDOWN: typing.Final = _gauge(
    'galenahatch_upstream_slowdown',
    '1',
    'Time that work takes now, as a multiple of the usual, by upstream.',
)
EXPECTED_DELAY: typing.Final = _gauge(
    'galenahatch_upstream_expected_delay_seconds',
    's',
    'Seconds until a plain call sent now would end, by upstream.',
)
SEND_SHARE: typing.Final = _gauge(
    'galenahatch_upstream_send_share',
    '1',
    'Share of the last responses of its service, by upstream.',
)
invalid_loads = _meter.create_counter(
    'galenahatch_invalid_loads',
    description='Responses whose load was malformed or implausible.',
)
ENGINE_SPEED: typing.Final = _gauge(
    'galenahatch_engine_speed',
    '1',
    'Speed of an engine in its stage, relative to the median one; of many'
    ' engines the slowest and the fastest.',
)
STAGE_CAPACITY: typing.Final = _gauge(
    'galenahatch_stage_capacity',
    '1/s',
    'Requests a second that a stage of a service completes by the latest'
    ' plan, at present and as planned.',
    'stage',
)
PEAK_DEMAND: typing.Final = _gauge(
    'galenahatch_peak_demand',
    '1/s',
    'Requests a second in the peak of recent demand, by service.',
    'service',
)
proxied_sends = _meter.create_counter(
    'galenahatch_proxied_sends',
    description='Sends through another gateway, by what came of them.',
)
proxied_requests = _meter.create_counter(
    'galenahatch_proxied_requests',
    description='Requests proxied for other gateways, by verdict.',
)
paths_lost = _meter.create_counter(
    'galenahatch_paths_lost',
    description='Times that the path to an upstream was lost.',
)
LOST_PATHS: typing.Final = _gauge(
    'galenahatch_lost_paths',
    '1',
    'Upstreams that other gateways reach and this one does not.',
    'state',
)
STREAM_ORIGINS: typing.Final = _gauge(
    'galenahatch_stream_origins',
    '1',
    'Keys of streams whose software version is known here.',
)
STREAM_ORIGIN_ROWS: typing.Final = _gauge(
    'galenahatch_stream_origin_rows',
    '1',
    'Rows of the store with the versions that began streams; of the owner.',
)
lost_decisions = _meter.create_counter(
    'galenahatch_lost_decisions',
    description='Waiting requests whose decision did not arrive, by remedy.',
)
continued_streams = _meter.create_counter(
    'galenahatch_continued_streams',
    description='Streams taken up again by callers, by what came of them.',
)
stream_attempts = _meter.create_counter(
    'galenahatch_stream_attempts',
    description='Streams that callers begin or take up, by outcome, reason.',
)
silent_runs = _meter.create_counter(
    'galenahatch_silent_runs',
    description='Runs whose engine fell silent, and what became of them.',
)
silent_prefills = _meter.create_counter(
    'galenahatch_silent_prefills',
    description='Prefills that were silent, and those that were replaced.',
)
orders = _meter.create_counter(
    'galenahatch_orders', description='Orders sent to engines, by status.'
)


def register_gauge(name: str, callback: GaugeCallback) -> None:
    """Set the function that returns the values of a gauge by its label."""
    _gauge_callbacks[name] = callback


def set_global_provider() -> None:
    """Make metrics defined outside this package part of these metrics.

    One example is the bytes sent between gateways (`bus`). This is not done
    on import, since other programs also import this module but export their
    metrics elsewhere.
    """
    api.set_meter_provider(_provider)


def render() -> str:
    """Return all metrics in the text format."""
    data = _reader.get_metrics_data()
    lines: list[str] = []
    if data is None:
        return ''
    for resource in data.resource_metrics:
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                lines.extend(metrictext.lines(metric))
    return '\n'.join(lines) + '\n'


def record_era(before: int | None, after: int) -> None:
    """Record the store's era, which rises when an older copy is restored."""
    store_era.set(after)
    if before is not None:
        store_restores.add(after - before)
