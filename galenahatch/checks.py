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

"""Validation of a configuration's values and references."""

import hashlib
import typing

import msgspec

from galenahatch import schema

BASE: typing.Final = 'base'


class Problem(msgspec.Struct, frozen=True, order=True):
    """One problem of a configuration.

    Attributes:
        file: `base`, or the site of the overlay.
        key: Path of the key, such as `engines.p1.places`.
        expected: Description of a valid value.
    """

    file: str
    key: str
    expected: str


def check_site(
    site: str, config: schema.Config, problems: list[Problem]
) -> None:
    """Check the values and references of one site's configuration."""

    def report(key: str, expected: str) -> None:
        problems.append(Problem(site, key, expected))

    if all(declared.name != site for declared in config.sites):
        report('sites', f'a site named {site!r}')
    _check_services(config, report)
    _check_engines(config, report)
    _check_upstreams(config, report)
    for caller in config.callers:
        key = f'callers.{caller.name}'
        if len(caller.token_sha256) != hashlib.sha256().digest_size * 2:
            report(f'{key}.token_sha256', '64 hexadecimal digits')
        if caller.share <= 0:
            report(f'{key}.share', 'more than 0')
        if caller.urgency not in schema.URGENCY_BY_NAME:
            report(
                f'{key}.urgency',
                'one of: ' + ', '.join(schema.URGENCY_BY_NAME),
            )


ReportProblem = typing.Callable[[str, str], None]


def _check_services(config: schema.Config, report: ReportProblem) -> None:
    for service in config.services:
        key = f'services.{service.name}'
        if service.urgency not in schema.URGENCY_BY_NAME:
            report(
                f'{key}.urgency',
                'one of: ' + ', '.join(schema.URGENCY_BY_NAME),
            )
        for name in ('first_token_ms', 'between_tokens_ms', 'deadline_ms'):
            if getattr(service, name) <= 0:
                report(f'{key}.{name}', 'milliseconds, more than 0')
        if not 0 <= service.waste_weight <= 1:
            report(f'{key}.waste_weight', 'a number from 0 to 1')
        if service.bytes_per_token <= 0:
            report(f'{key}.bytes_per_token', 'more than 0')
        for role in ('prefill', 'decode'):
            if not any(
                engine.service == service.name and engine.role == role
                for engine in config.engines
            ):
                report(key, f'at least one {role} engine at this site')


def _check_engines(config: schema.Config, report: ReportProblem) -> None:
    services = {service.name for service in config.services}
    data_centres = {
        data_centre
        for site in config.sites
        for data_centre in site.data_centres
    }
    for engine in config.engines:
        key = f'engines.{engine.name}'
        if engine.service not in services:
            report(f'{key}.service', 'a declared service')
        if engine.role not in ('prefill', 'decode'):
            report(f'{key}.role', 'one of: prefill, decode')
        if engine.data_centre not in data_centres:
            report(f'{key}.data_centre', 'a data centre of a site')
        if not 0 < engine.port < 65536:
            report(f'{key}.port', 'a port from 1 to 65535')
        for name in (
            'places',
            'prefill_tokens_per_second',
            'link_bytes_per_second',
            'eviction_ms',
        ):
            if getattr(engine, name) <= 0:
                report(f'{key}.{name}', 'more than 0')


def _check_upstreams(config: schema.Config, report: ReportProblem) -> None:
    for service in config.plain_services:
        key = f'plain_services.{service.name}'
        if not service.upstreams:
            report(f'{key}.upstreams', 'at least one URL')
        for call in service.unrepeatable:
            method, _, path = call.partition(' ')
            if not method.isupper() or not path.startswith('/'):
                report(f'{key}.unrepeatable', "'METHOD /path', not " + call)
    upstreams = {str(engine.name) for engine in config.engines}
    for service in config.plain_services:
        upstreams.update(service.upstreams)
    for name in config.draining:
        if name not in upstreams:
            report('draining', f'a declared upstream, not {name!r}')


def check_across_sites(
    configs: dict[str, schema.Config], problems: list[Problem]
) -> None:
    """Check that each declared site has an overlay and own data centres."""
    declared_sites = {
        site.name for config in configs.values() for site in config.sites
    }
    for name in declared_sites - configs.keys():
        problems.append(Problem(BASE, f'sites.{name}', 'an overlay file'))
    site_by_centre: dict[str, str] = {}
    for config in configs.values():
        for site in config.sites:
            for data_centre in site.data_centres:
                first_site = site_by_centre.setdefault(data_centre, site.name)
                if first_site != site.name:
                    expected = f'{data_centre!r} in one site, not two'
                    key = f'sites.{site.name}.data_centres'
                    problems.append(Problem(BASE, key, expected))
