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

"""Finds the log lines of a request in the logs of gateways.

A line belongs to a request if it has the id of the request or of one of its
streams. Recent events of the request's upstreams are included, since they are
often the cause of a failure.
"""

import collections.abc
import datetime
import pathlib
import typing

import msgspec

from galenahatch import decoding
from galenahatch import errors

_EVENT_WINDOW_S: typing.Final = 10.0
"""Seconds before the first line of a request from which events of its
upstreams are included; longer than any limit on the delay of such events."""
_DECODER: typing.Final = msgspec.json.Decoder(dict[str, typing.Any])
_STANDARD_KEYS: typing.Final = ('time', 'level', 'part', 'message')


class Line(msgspec.Struct, frozen=True):
    """One line of a log.

    Attributes:
        at: Time as written in the log.
        part: Part of the program that logged the line.
        message: Log sentence.
        fields: All other keys of the line.
    """

    at: str
    part: str
    message: str
    fields: dict[str, typing.Any]

    @property
    def text(self) -> str:
        """Fields in the form `key=value`, separated by spaces."""
        return ' '.join(
            f'{key}={value:.4g}'
            if isinstance(value, float)
            else f'{key}={value}'
            for key, value in self.fields.items()
            if value != ''
        )


def read_logs(files: collections.abc.Iterable[pathlib.Path]) -> list[Line]:
    """Read log files and return their lines, sorted by time.

    Text before the first brace of a line, such as the prefix of a log
    collector, is ignored; so are lines without a JSON object.
    """
    lines = []
    for file in files:
        for raw_line in file.read_bytes().splitlines():
            line = _parse(raw_line)
            if line is not None:
                lines.append(line)
    return sorted(lines, key=lambda line: line.at)


def _parse(raw_line: bytes) -> Line | None:
    start = raw_line.find(b'{')
    if start < 0:
        return None
    data = decoding.decode(_DECODER, raw_line[start:], errors.BAD_JSON)
    if isinstance(data, errors.Failure) or 'message' not in data:
        return None
    fields = {
        key: value if isinstance(value, str | int | float) else str(value)
        for key, value in data.items()
        if key not in _STANDARD_KEYS
    }
    return Line(
        str(data.get('time', '')),
        str(data.get('part', '')),
        str(data['message']),
        fields,
    )


def request_lines(
    lines: collections.abc.Sequence[Line], request: str
) -> list[Line]:
    """Return the lines of a request and recent events of its upstreams."""
    own_lines = [line for line in lines if _is_of_request(line, request)]
    if not own_lines:
        return []
    involved = {
        line.fields[key]
        for line in own_lines
        for key in ('upstream', 'engine', 'prefill', 'decode')
        if line.fields.get(key)
    }
    first, last = own_lines[0].at, own_lines[-1].at
    upstream_events = [
        line
        for line in lines
        if line not in own_lines
        and 'request' not in line.fields
        and 'stream' not in line.fields
        and _event_window_start(first) <= line.at <= last
        and {line.fields.get('upstream'), line.fields.get('engine')} & involved
    ]
    return sorted([*own_lines, *upstream_events], key=lambda line: line.at)


def _is_of_request(line: Line, request: str) -> bool:
    if line.fields.get('request') == request:
        return True
    return str(line.fields.get('stream', '')).startswith(f'{request}.')


def _event_window_start(timestamp: str) -> str:
    """Return the start of the event window before a time.

    A time that is not in ISO format is returned unchanged.
    """

    try:
        parsed = datetime.datetime.fromisoformat(timestamp)
    except ValueError:
        return timestamp
    return (parsed - datetime.timedelta(seconds=_EVENT_WINDOW_S)).isoformat()
