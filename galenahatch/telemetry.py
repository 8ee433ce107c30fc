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

"""Export of metrics over OTLP/HTTP.

Separate from the instruments (`metrics`): loading the exporter takes about
30 ms and 2 MB, which a program that serves its own metrics does not need.
"""

import typing

from opentelemetry.exporter.otlp.proto.http import metric_exporter
from opentelemetry import metrics as api
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import export
from opentelemetry.sdk import resources

_EXPORT_INTERVAL_MS: typing.Final = 10_000


def configure(endpoint: str, program: str) -> None:
    """Export metrics over OTLP/HTTP if an endpoint is set.

    Args:
        endpoint: URL of the collector; empty for no export.
        program: Service name that the collector shows.
    """
    if not endpoint:
        return
    reader = export.PeriodicExportingMetricReader(
        metric_exporter.OTLPMetricExporter(endpoint=endpoint),
        export_interval_millis=_EXPORT_INTERVAL_MS,
    )
    resource = resources.Resource.create({'service.name': program})
    provider = sdk.MeterProvider(metric_readers=[reader], resource=resource)
    api.set_meter_provider(provider)
