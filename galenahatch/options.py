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

"""Settings of the programs.

One frozen `Options` object contains all settings; each field is a flag and an
environment variable of the same name (`--table-url`,
`GALENAHATCH_TABLE_URL`). `find_problems` checks what types can't express, and
reports all invalid settings at once.
"""

import dataclasses
import ipaddress
import typing
from urllib import parse

from galenahatch import errors
from galenahatch import ids

ENV_PREFIX: typing.Final = 'GALENAHATCH_'
_SECRET_NAME_PARTS: typing.Final = ('token', 'secret', 'password')
_LOG_LEVELS: typing.Final = ('debug', 'info', 'warning', 'error')


@dataclasses.dataclass(frozen=True)
class Options:
    """Settings; times are seconds, sizes bytes.

    Attributes:
        address: IP address of this VM, to which peers connect.
        data_centre: data centre of this VM.
        entry_port: HTTP port of every entry for callers.
        scheduler_port: port of every scheduler for peers.
        scheduler_http_port: port of every scheduler for health checks.
        controller_http_port: port of every controller for health checks.
        table_url: base URL of the platform's table.
        objects_url: base URL of the platform's object store.
        vms_url: base URL of the platform's VM list.
        peers: IP addresses of schedulers to try before the VM list is read.
        platform_token: bearer token for the platform's services.
        heartbeat: minimum interval between heartbeats; it grows with the
            number of members to limit the control traffic.
        silence: missed heartbeats after which a member counts as silent.
        config_poll: interval between reads of the revision.
        vms_poll: interval between reads of the VM list.
        load_poll: interval between reads of an engine's load.
        claim_group: time for which claims are collected into a group.
        claim_timeout: time after which a claim counts as unconfirmed.
        connect_timeout: timeout for a connection to an upstream.
        idle_timeout: timeout for a stream of an engine without any bytes.
        lease: duration of a controller's lease.
        look_away: time for which a stopping entry continues to listen until
            the load balancer has noticed.
        max_body_bytes: largest request body.
        max_header_bytes: longest header line of a request.
        keepalive: time for which an idle connection of a caller stays open.
        otlp_endpoint: URL of the metrics collector; empty for no export.
        log_level: debug, info, warning or error.
        log_json: write log lines as JSON.
    """

    address: str = '127.0.0.1'
    data_centre: ids.DataCentre = ids.DataCentre('local')
    entry_port: int = 8080
    scheduler_port: int = 8081
    scheduler_http_port: int = 8082
    controller_http_port: int = 8083
    table_url: str = 'http://127.0.0.1:9001'
    objects_url: str = 'http://127.0.0.1:9002'
    vms_url: str = 'http://127.0.0.1:9003'
    peers: tuple[str, ...] = ()
    platform_token: str = ''
    heartbeat: float = 0.5
    silence: int = 4
    config_poll: float = 1.0
    vms_poll: float = 1.0
    load_poll: float = 0.5
    claim_group: float = 0.02
    claim_timeout: float = 2.0
    connect_timeout: float = 1.0
    idle_timeout: float = 10.0
    lease: float = 6.0
    look_away: float = 3.0
    max_body_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 8190
    keepalive: float = 30.0
    otlp_endpoint: str = ''
    log_level: str = 'info'
    log_json: bool = False


def find_problems(options: Options) -> list[errors.Failure]:
    """Return a failure for each invalid setting."""
    failures: list[errors.Failure] = []

    def report(name: str, expected: str) -> None:
        flag = '--' + name.replace('_', '-')
        value = masked_settings(options)[name]
        detail = f'{flag} is {value!r}, expected {expected}'
        failures.append(errors.Failure(errors.BAD_SETTING, detail))

    _check_addresses(options, report)
    for field in dataclasses.fields(options):
        value = getattr(options, field.name)
        if isinstance(value, bool):
            continue
        if field.name.endswith('_port') and not 0 < value < 65536:
            report(field.name, 'a port from 1 to 65535')
        elif isinstance(value, int | float) and value <= 0:
            if field.name != 'look_away' or value < 0:
                report(field.name, 'more than 0')
    if options.log_level not in _LOG_LEVELS:
        report('log_level', 'one of ' + ', '.join(_LOG_LEVELS))
    return failures


def _check_addresses(
    options: Options, report: typing.Callable[[str, str], None]
) -> None:
    for name in ('table_url', 'objects_url', 'vms_url', 'otlp_endpoint'):
        value = getattr(options, name)
        if not value and name == 'otlp_endpoint':
            continue
        if not _is_url(value):
            report(name, 'an http or https URL')
    if not _is_ip(options.address):
        report('address', 'an IP number')
    if not all(_is_ip(peer) for peer in options.peers):
        report('peers', 'IP numbers')


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_url(text: str) -> bool:
    try:
        url = parse.urlsplit(text)
    except ValueError:
        return False
    return url.scheme in ('http', 'https') and bool(url.hostname)


def masked_settings(options: Options) -> dict[str, typing.Any]:
    """Return the settings with all secrets masked."""
    settings = dataclasses.asdict(options)
    for name, value in settings.items():
        if value and any(mark in name for mark in _SECRET_NAME_PARTS):
            settings[name] = '********'
    return settings
